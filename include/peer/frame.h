#ifndef PARSLEYLADDER_PEER_FRAME_H
#define PARSLEYLADDER_PEER_FRAME_H

/** First bytes of a frame between two transports. Internal to the package. */

#include <stdint.h>

#define FRAME_PRIORITY_MASK 0x0f
#define FRAME_LAST 0x10 /* the message ends with this frame */
#define FRAME_FRAGMENT 0x20 /* message number and fragment number follow */

static inline void frame_put_u16(uint8_t *out, uint16_t value)
{
	out[0] = (uint8_t)(value >> 8);
	out[1] = (uint8_t)value;
}

static inline uint16_t frame_get_u16(const uint8_t *data)
{
	return (uint16_t)(data[0] << 8 | data[1]);
}

#endif
