#include "standins/world/segment.h"

#include <string.h>
#include <xxhash.h>

#include "packet/build.h"
#include "standins/world/ledger.h"

#define PAYLOAD_MAGIC 0x504c5251 /* "PLRQ" */

#define IP_PROTOCOL_ICMP 1
#define ICMP_UNREACHABLE 3
#define ICMP_ADMINISTRATIVELY_PROHIBITED 13

struct request_header {
	uint32_t magic;
	uint32_t number;
	uint64_t flow_id;
	uint32_t is_last;
};

static uint64_t hash_words(uint64_t a, uint64_t b, uint64_t c)
{
	uint64_t words[] = { a, b, c };

	return XXH3_64bits(words, sizeof(words));
}

static uint32_t initial_sequence(uint64_t flow_id, bool is_server)
{
	return (uint32_t)hash_words(flow_id, is_server, 1);
}

static struct ip_address loopback_address_make(uint32_t address)
{
	struct ip_address result = { .bytes = { [10] = 0xff, [11] = 0xff } };

	for (int i = 0; i < 4; i++)
		result.bytes[12 + i] = (uint8_t)(address >> (24 - 8 * i));
	return result;
}

static uint32_t ip_address_to_v4(const struct ip_address *address)
{
	const uint8_t *bytes = address->bytes + 12;

	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

static uint32_t segment_sequence(const struct segment *segment)
{
	uint32_t first = initial_sequence(segment->flow_id, false);

	if (segment->tcp_flags & TCP_FLAG_SYN)
		return first;
	if (segment->request_number == 0)
		return first + 1;
	return first + 1 +
	       (segment->request_number - 1) * segment->payload_bytes;
}

size_t segment_build(const struct segment *segment,
		     uint8_t buffer[SEGMENT_BYTES])
{
	uint8_t payload[SEGMENT_BYTES] = { 0 };
	struct request_header header = {
		.magic = PAYLOAD_MAGIC,
		.number = segment->request_number,
		.flow_id = segment->flow_id,
		.is_last = segment->is_last,
	};
	struct packet_fields fields = {
		.source = loopback_address_make(
			(uint32_t)(segment->flow_id >> 16)),
		.destination = loopback_address_make(segment->service.address),
		.source_port = (uint16_t)segment->flow_id,
		.destination_port = segment->service.port,
		.protocol = segment->service.protocol,
		.tcp_flags = segment->tcp_flags,
		.tcp_sequence = segment_sequence(segment),
		.tcp_window = 65535,
		.payload = payload,
	};

	if (segment->tcp_flags & TCP_FLAG_ACK)
		fields.tcp_acknowledgement =
			initial_sequence(segment->flow_id, true) + 1;
	if (segment->request_number != 0) {
		memcpy(payload, &header, sizeof(header));
		fields.payload_bytes =
			MAX(segment->payload_bytes, sizeof(header));
	}
	return packet_build(&fields, buffer, SEGMENT_BYTES);
}

bool segment_read(const uint8_t *data, size_t length,
		  struct connection_packet *packet)
{
	struct request_header header;
	struct packet_facts facts;

	if (packet_parse(data, length, &facts) != PACKET_OK ||
	    !ip_address_is_v4(&facts.key.caller))
		return false;
	memset(packet, 0, sizeof(*packet));
	packet->flow_id = FLOW_ID(ip_address_to_v4(&facts.key.caller),
				  facts.key.caller_port);
	packet->protocol = facts.key.protocol;
	packet->tcp_flags = facts.tcp_flags;
	if (facts.payload_bytes < sizeof(header))
		return facts.payload_bytes == 0;
	memcpy(&header, data + length - facts.payload_bytes, sizeof(header));
	if (header.magic != PAYLOAD_MAGIC || header.flow_id != packet->flow_id)
		return false;
	packet->request_number = header.number;
	packet->is_last = header.is_last != 0;
	return true;
}

uint8_t segment_answer_count(uint64_t flow_id, uint32_t request_number)
{
	return (uint8_t)(1 + hash_words(flow_id, request_number, 2) % 3);
}

uint64_t segment_answer_check(uint64_t flow_id, uint32_t request_number,
			      uint8_t answer_index)
{
	return hash_words(flow_id, request_number, 3 + answer_index);
}

static uint32_t read_u32(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

static uint16_t read_u16(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

/* @tcp: header of a segment from the service to the caller. */
static bool reset_is_acceptable(const uint8_t *tcp, uint64_t flow_id)
{
	uint8_t flags = tcp[13];

	if (!(flags & TCP_FLAG_RST))
		return false;
	if (flags & TCP_FLAG_ACK)
		return read_u32(tcp + 8) ==
		       initial_sequence(flow_id, false) + 1;
	return read_u32(tcp + 4) == initial_sequence(flow_id, true) + 1;
}

static bool icmp_read(const uint8_t *icmp, size_t length, uint64_t *flow_id)
{
	const uint8_t *inner = icmp + 8;
	size_t header_bytes;

	if (length < 8 + 20 + 8 || icmp[0] != ICMP_UNREACHABLE ||
	    icmp[1] != ICMP_ADMINISTRATIVELY_PROHIBITED)
		return false;
	header_bytes = (inner[0] & 0x0f) * 4;
	if (length < 8 + header_bytes + 8)
		return false;
	*flow_id =
		FLOW_ID(read_u32(inner + 12), read_u16(inner + header_bytes));
	return true;
}

bool segment_read_refusal(const uint8_t *data, size_t length,
			  struct reply *reply)
{
	size_t header_bytes;

	if (length < 20 || data[0] >> 4 != 4)
		return false;
	header_bytes = (data[0] & 0x0f) * 4;
	memset(reply, 0, sizeof(*reply));
	reply->kind = REPLY_REFUSAL;
	if (data[9] == IP_PROTOCOL_ICMP && length > header_bytes)
		return icmp_read(data + header_bytes, length - header_bytes,
				 &reply->flow_id);
	if (data[9] != PACKET_PROTOCOL_TCP || length < header_bytes + 20)
		return false;
	reply->flow_id =
		FLOW_ID(read_u32(data + 16), read_u16(data + header_bytes + 2));
	return reset_is_acceptable(data + header_bytes, reply->flow_id);
}
