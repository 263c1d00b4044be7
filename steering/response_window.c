#include "steering/response_window.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

#define BUCKET_NS (500 * NS_PER_MS)
/*
 * A share that the peers' one yields by chance with a probability of e^-12, or
 * more often, shows nothing. 40 hosts are compared 4 times a second in 5 spans.
 */
#define EVIDENCE_MIN 12
/*
 * Healthy hosts have shares up to this, so a share has to exceed it by more than
 * chance, too. Without this, a host with 19 % was marked within 34 s, as its share
 * in one span was above FAILING_SHARE_MIN; with 4, too.
 */
#define HEALTHY_SHARE_MAX 0.2
#define HEALTHY_EVIDENCE_MIN 6
#define HIGH_EVIDENCE_MIN 3

/* Buckets of each span. */
static const int span_buckets[RESPONSE_SPANS] = { 2, 4, 8, 16,
						  RESPONSE_WINDOW_BUCKETS };

static struct response_count *bucket_get(struct response_window *window,
					 int age)
{
	uint64_t index =
		(uint64_t)(window->period - age) % RESPONSE_WINDOW_BUCKETS;

	return &window->buckets[index];
}

static void window_advance(struct response_window *window, int64_t now_ns)
{
	int64_t period = now_ns / BUCKET_NS;

	if (period - window->period >= RESPONSE_WINDOW_BUCKETS) {
		memset(window->buckets, 0, sizeof(window->buckets));
		window->period = period;
	}
	while (window->period < period) {
		window->period++;
		memset(bucket_get(window, 0), 0, sizeof(struct response_count));
	}
}

void response_window_add(struct response_window *window, uint32_t responses,
			 uint32_t shorts, int64_t now_ns)
{
	window_advance(window, now_ns);
	bucket_get(window, 0)->responses += responses;
	bucket_get(window, 0)->shorts += shorts;
}

void response_window_sum(struct response_window *window, int64_t now_ns)
{
	struct response_count sum = { 0 };
	int age = 0;

	window_advance(window, now_ns);
	for (int i = 0; i < RESPONSE_SPANS; i++) {
		for (; age < span_buckets[i]; age++) {
			sum.responses += bucket_get(window, age)->responses;
			sum.shorts += bucket_get(window, age)->shorts;
		}
		window->spans[i] = sum;
	}
}

double response_share(const struct response_count *count)
{
	return count->responses > 0 ? (double)count->shorts / count->responses
				    : 0;
}

/* Kullback-Leibler divergence of two shares. */
static double divergence(double share, double from)
{
	double sum = share > 0 ? share * log(share / from) : 0;

	if (share < 1)
		sum += (1 - share) * log((1 - share) / (1 - from));
	return sum;
}

/* Evidence that a share is above that of healthy hosts. */
static double healthy_evidence(const struct response_count *count)
{
	return count->responses *
	       divergence(response_share(count), HEALTHY_SHARE_MAX);
}

bool response_count_is_high(const struct response_count *count)
{
	return count->responses >= FAILING_RESPONSES_MIN &&
	       response_share(count) >= FAILING_SHARE_MIN &&
	       healthy_evidence(count) >= HIGH_EVIDENCE_MIN;
}

/* Chernoff bound: the logarithm of the probability of the share is below it. */
bool response_count_is_failing(const struct response_count *count,
			       double peer_share)
{
	double from = MAX(peer_share, FAILING_PEER_SHARE_MIN);
	double share = response_share(count);

	return count->responses >= FAILING_RESPONSES_MIN &&
	       share >= FAILING_SHARE_MIN &&
	       share >= FAILING_PEER_FACTOR * peer_share &&
	       count->responses * divergence(share, from) >= EVIDENCE_MIN &&
	       healthy_evidence(count) >= HEALTHY_EVIDENCE_MIN;
}
