#include "placement/target.h"

#include <glib.h>
#include <stdbool.h>

struct balance {
	const struct maglev_host *hosts;
	uint32_t *count; /* buckets by host */
	uint32_t *quota_low; /* floor of the fair share */
	uint32_t *quota_high; /* ceiling of it */
	uint32_t *target;
	uint32_t size;
};

static void balance_init(struct balance *balance, size_t host_count)
{
	uint64_t weights = 0;

	balance->count = g_new0(uint32_t, host_count + 1);
	balance->quota_low = g_new0(uint32_t, host_count + 1);
	balance->quota_high = g_new0(uint32_t, host_count + 1);
	for (size_t i = 0; i < host_count; i++)
		weights += balance->hosts[i].weight;
	for (size_t i = 0; weights > 0 && i < host_count; i++) {
		uint64_t share =
			(uint64_t)balance->size * balance->hosts[i].weight;

		balance->quota_low[i] = (uint32_t)(share / weights);
		balance->quota_high[i] =
			(uint32_t)((share + weights - 1) / weights);
	}
}

static void balance_clear(struct balance *balance)
{
	g_free(balance->count);
	g_free(balance->quota_low);
	g_free(balance->quota_high);
}

static void bucket_move(struct balance *balance, uint32_t bucket, uint32_t host)
{
	if (balance->target[bucket] != MAGLEV_NO_HOST)
		balance->count[balance->target[bucket]]--;
	balance->target[bucket] = host;
	balance->count[host]++;
}

/* Moves buckets that are free or above quota to the host in @wanted. */
static void buckets_rebalance(struct balance *balance, const uint32_t *wanted)
{
	for (uint32_t i = 0; i < balance->size; i++) {
		uint32_t host = wanted[i];
		uint32_t now = balance->target[i];

		if (host == MAGLEV_NO_HOST || host == now ||
		    balance->hosts[host].weight == 0)
			continue;
		if (now == MAGLEV_NO_HOST) {
			if (balance->count[host] < balance->quota_high[host])
				bucket_move(balance, i, host);
		} else if (balance->count[now] > balance->quota_high[now] &&
			   balance->count[host] < balance->quota_low[host]) {
			bucket_move(balance, i, host);
		}
	}
}

static uint32_t host_below(const struct balance *balance, const uint32_t *quota,
			   size_t host_count)
{
	for (uint32_t i = 0; i < host_count; i++) {
		if (balance->hosts[i].weight > 0 &&
		    balance->count[i] < quota[i])
			return i;
	}
	return MAGLEV_NO_HOST;
}

/* Buckets that no preference settled. */
static void buckets_fill(struct balance *balance, size_t host_count)
{
	for (uint32_t i = 0; i < balance->size; i++) {
		uint32_t now = balance->target[i];
		uint32_t host;

		if (now != MAGLEV_NO_HOST &&
		    balance->count[now] <= balance->quota_high[now])
			continue;
		host = host_below(balance, balance->quota_low, host_count);
		if (host == MAGLEV_NO_HOST && now == MAGLEV_NO_HOST)
			host = host_below(balance, balance->quota_high,
					  host_count);
		if (host != MAGLEV_NO_HOST)
			bucket_move(balance, i, host);
	}
}

void targets_choose(const struct maglev_host *hosts, size_t host_count,
		    const uint32_t *base, uint32_t *target, uint32_t size)
{
	struct balance balance = { .hosts = hosts,
				   .target = target,
				   .size = size };
	uint32_t *wanted = g_new(uint32_t, size);

	balance_init(&balance, host_count);
	for (uint32_t i = 0; i < size; i++) {
		if (target[i] != MAGLEV_NO_HOST && hosts[target[i]].weight == 0)
			target[i] = MAGLEV_NO_HOST;
		if (target[i] != MAGLEV_NO_HOST)
			balance.count[target[i]]++;
	}
	/* A bucket whose target is its base needs no exceptions. */
	buckets_rebalance(&balance, base);
	maglev_build(hosts, host_count, wanted, size);
	buckets_rebalance(&balance, wanted);
	buckets_fill(&balance, host_count);
	g_free(wanted);
	balance_clear(&balance);
}
