#include "common/token_bucket.h"

#include "common/clock.h"

void token_bucket_init(struct token_bucket *bucket, uint32_t rate_per_s,
		       uint32_t burst, int64_t now_ns)
{
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	bucket->tokens = burst;
	bucket->fraction = 0;
	bucket->updated_ns = now_ns;
}

static void token_bucket_refill(struct token_bucket *bucket, int64_t now_ns)
{
	int64_t elapsed_ns = now_ns - bucket->updated_ns;
	uint64_t missing = (uint64_t)(bucket->burst - bucket->tokens);
	uint64_t rate = bucket->rate_per_s;
	uint64_t credit;

	if (elapsed_ns <= 0 || rate == 0)
		return;
	bucket->updated_ns = now_ns;
	credit = bucket->fraction;
	bucket->fraction = 0;
	/*
	 * The product in the first branch cannot overflow: there, the elapsed
	 * time exceeds the time that fills the bucket by at most 1 s.
	 */
	if ((uint64_t)(elapsed_ns / NS_PER_S) <= missing / rate)
		credit += (uint64_t)elapsed_ns * rate;
	else
		credit = missing * NS_PER_S;
	if (credit / NS_PER_S >= missing) {
		bucket->tokens = bucket->burst;
		return;
	}
	bucket->tokens += (int64_t)(credit / NS_PER_S);
	bucket->fraction = credit % NS_PER_S;
}

int64_t token_bucket_available(struct token_bucket *bucket, int64_t now_ns)
{
	token_bucket_refill(bucket, now_ns);
	return bucket->tokens;
}

bool token_bucket_take(struct token_bucket *bucket, int64_t now_ns,
		       uint32_t amount)
{
	if (token_bucket_available(bucket, now_ns) < amount)
		return false;
	bucket->tokens -= amount;
	return true;
}

void token_bucket_overdraw(struct token_bucket *bucket, int64_t now_ns,
			   uint32_t amount)
{
	int64_t left = token_bucket_available(bucket, now_ns) - amount;
	int64_t floor = -(int64_t)bucket->burst;

	bucket->tokens = left > floor ? left : floor;
}
