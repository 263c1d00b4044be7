/*
 * Fuzz target of the packet package: parsing, refusals and the pass header.
 * Apart from memory errors it finds refusals that are malformed or would be
 * answered in turn, and pass headers that do not survive a round trip.
 */

#include <stdlib.h>
#include <string.h>

#include "packet/packet.h"
#include "packet/pass_header.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void require(bool is_true)
{
	if (!is_true)
		abort();
}

/* Two balancers must not answer each other's refusals for ever. */
static void refusal_check(const uint8_t *data, size_t size,
			  const struct packet_facts *facts)
{
	uint8_t refusal[PACKET_REFUSAL_BYTES];
	uint8_t second[PACKET_REFUSAL_BYTES];
	struct packet_facts answer;
	size_t length = packet_build_refusal(data, size, facts, refusal);
	enum packet_outcome outcome;

	if (length == 0)
		return;
	outcome = packet_parse(refusal, length, &answer);
	/* The service address may be martian, and the quote may be short. */
	if (outcome == PACKET_MARTIAN)
		return;
	if (facts->key.protocol == PACKET_PROTOCOL_TCP)
		require(outcome == PACKET_OK);
	if (outcome != PACKET_OK)
		return;
	require(ip_address_equal(&answer.key.service, &facts->key.caller) ||
		answer.is_icmp_error);
	require(packet_build_refusal(refusal, length, &answer, second) == 0);
}

static void packet_check(const uint8_t *data, size_t size)
{
	char text[IP_ADDRESS_TEXT_BYTES];
	struct packet_facts facts;
	struct ip_address address;

	if (packet_parse(data, size, &facts) != PACKET_OK)
		return;
	require(facts.payload_bytes <= size);
	require(facts.key.protocol == PACKET_PROTOCOL_TCP ||
		facts.key.protocol == PACKET_PROTOCOL_UDP);
	require(flow_key_hash(&facts.key, 1) == flow_key_hash(&facts.key, 1));
	ip_address_print(&facts.key.caller, text);
	require(ip_address_parse(text, &address));
	require(ip_address_equal(&address, &facts.key.caller));
	refusal_check(data, size, &facts);
}

static void pass_header_check(const uint8_t *data, size_t size)
{
	uint8_t bytes[PASS_HEADER_BYTES];
	struct pass_header header;

	if (!pass_header_read(data, size, &header))
		return;
	pass_header_write(&header, bytes);
	require(memcmp(bytes, data, PASS_HEADER_BYTES) == 0);
	packet_check(data + PASS_HEADER_BYTES, size - PASS_HEADER_BYTES);
}

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	packet_check(data, size);
	pass_header_check(data, size);
	return 0;
}
