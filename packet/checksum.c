#include "packet/checksum.h"

#include "packet/bytes.h"
#include "packet/packet.h"

static uint64_t checksum_sum(const uint8_t *data, size_t length, uint64_t sum)
{
	size_t i;

	for (i = 0; i + 1 < length; i += 2)
		sum += bytes_read_u16(data + i);
	if (i < length)
		sum += (uint64_t)data[i] << 8;
	return sum;
}

static uint16_t checksum_fold(uint64_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

uint16_t checksum_bytes(const uint8_t *data, size_t length)
{
	return checksum_fold(checksum_sum(data, length, 0));
}

uint16_t checksum_transport(const struct ip_address *source,
			    const struct ip_address *destination,
			    uint8_t protocol, const uint8_t *segment,
			    size_t length)
{
	size_t skipped = ip_address_is_v4(source) ? 12 : 0;
	uint64_t sum = protocol + (uint64_t)length;

	sum = checksum_sum(source->bytes + skipped, 16 - skipped, sum);
	sum = checksum_sum(destination->bytes + skipped, 16 - skipped, sum);
	return checksum_fold(checksum_sum(segment, length, sum));
}
