#include "common/token_bucket.h"

#include "common/clock.h"

void token_bucket_init(struct token_bucket *bucket, uint32_t rate_per_s,
		       uint32_t burst, int64_t now_ns)
{
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	bucket->tokens = burst;
	bucket->updated_ns = now_ns;
}

static void token_bucket_refill(struct token_bucket *bucket, int64_t now_ns)
{
	int64_t elapsed_ns = now_ns - bucket->updated_ns;
	int64_t missing = bucket->burst - bucket->tokens;
	int64_t rate = bucket->rate_per_s;
	int64_t gained;

	if (elapsed_ns <= 0 || rate == 0)
		return;
	/* Whole seconds first, so that the product below cannot overflow. */
	if (elapsed_ns / NS_PER_S > missing / rate) {
		bucket->tokens = bucket->burst;
		bucket->updated_ns = now_ns;
		return;
	}
	gained = elapsed_ns / NS_PER_S * rate +
		 elapsed_ns % NS_PER_S * rate / NS_PER_S;
	if (gained >= missing) {
		bucket->tokens = bucket->burst;
		bucket->updated_ns = now_ns;
		return;
	}
	bucket->tokens += gained;
	/* Advance by the time of whole tokens only, to keep the fraction. */
	bucket->updated_ns +=
		gained / rate * NS_PER_S + gained % rate * NS_PER_S / rate;
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

void token_bucket_force(struct token_bucket *bucket, int64_t now_ns,
			uint32_t amount)
{
	int64_t left = token_bucket_available(bucket, now_ns) - amount;
	int64_t floor = -(int64_t)bucket->burst;

	bucket->tokens = left > floor ? left : floor;
}
