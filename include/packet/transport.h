#ifndef PARSLEYLADDER_PACKET_TRANSPORT_H
#define PARSLEYLADDER_PACKET_TRANSPORT_H

/**
 * Parameters of the transport protocol that callers and hosts speak. A balancer
 * sees the callers' half of a flow only, and interprets it by these.
 */

#include "common/clock.h"

/** Longest payload of a packet, in bytes. */
#define TRANSPORT_PAYLOAD_BYTES_MAX 1200
/** Packets that an end may have in flight. */
#define TRANSPORT_WINDOW_PACKETS 16
#define TRANSPORT_WINDOW_BYTES \
	(TRANSPORT_WINDOW_PACKETS * TRANSPORT_PAYLOAD_BYTES_MAX)
/** Time until the first retransmission of a packet; doubles with each. */
#define TRANSPORT_RETRANSMISSION_NS (200 * NS_PER_MS)
/** Longest interval between retransmissions. */
#define TRANSPORT_RETRANSMISSION_MAX_NS (1600 * NS_PER_MS)
/** A caller sends the last copy of its opening packet after this time. */
#define TRANSPORT_LAST_OPENING_NS (600 * NS_PER_MS)
/** A caller gives up an attempt that has not been accepted for this long. */
#define TRANSPORT_OPENING_TIMEOUT_NS (1400 * NS_PER_MS)

#endif
