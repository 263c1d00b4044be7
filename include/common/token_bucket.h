#ifndef PARSLEYLADDER_COMMON_TOKEN_BUCKET_H
#define PARSLEYLADDER_COMMON_TOKEN_BUCKET_H

/**
 * Token bucket: allows a rate per second with a burst. The caller passes
 * the time, in nanoseconds of any monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

struct token_bucket {
	uint32_t rate_per_s;
	uint32_t burst;
	int64_t tokens; /* below 0 after token_bucket_overdraw() */
	uint64_t fraction; /* of a token, in 1e-9; lost when the bucket is full */
	int64_t updated_ns;
};

/** Fills the bucket. With a rate of 0 it is never refilled. */
void token_bucket_init(struct token_bucket *bucket, uint32_t rate_per_s,
		       uint32_t burst, int64_t now_ns);
/** Tokens at @now_ns; negative until an overdraft is refilled. */
int64_t token_bucket_available(struct token_bucket *bucket, int64_t now_ns);
/** Takes @amount tokens, or none and returns false if fewer are available. */
bool token_bucket_take(struct token_bucket *bucket, int64_t now_ns,
		       uint32_t amount);
/** Takes @amount in any case, but leaves no less than minus one burst. */
void token_bucket_overdraw(struct token_bucket *bucket, int64_t now_ns,
			   uint32_t amount);

#endif
