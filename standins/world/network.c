#include "standins/world/network.h"

#include <string.h>

#include "common/clock.h"
#include "standins/control.h"

struct link {
	GQuark a;
	GQuark b;
	struct network_path path;
	bool is_cut;
};

struct network {
	GArray *links; /* struct link; a few dozen at most */
	GRand *random;
};

struct network *network_create(uint64_t seed)
{
	struct network *network = g_new0(struct network, 1);
	guint32 words[] = { (guint32)seed, (guint32)(seed >> 32) };

	network->links = g_array_new(FALSE, TRUE, sizeof(struct link));
	network->random = g_rand_new_with_seed_array(words, 2);
	return network;
}

void network_destroy(struct network *network)
{
	g_array_free(network->links, TRUE);
	g_rand_free(network->random);
	g_free(network);
}

static struct link *link_find(const struct network *network, GQuark a, GQuark b)
{
	for (guint i = 0; i < network->links->len; i++) {
		struct link *link =
			&g_array_index(network->links, struct link, i);

		if ((link->a == a && link->b == b) ||
		    (link->a == b && link->b == a))
			return link;
	}
	return NULL;
}

static struct link *link_require(struct network *network, GQuark a, GQuark b)
{
	struct link *link = link_find(network, a, b);
	struct link added = { .a = a, .b = b };

	if (link)
		return link;
	g_array_append_val(network->links, added);
	return &g_array_index(network->links, struct link,
			      network->links->len - 1);
}

void network_set_path(struct network *network, GQuark a, GQuark b,
		      const struct network_path *path)
{
	link_require(network, a, b)->path = *path;
}

void network_set_delay(struct network *network, GQuark a, GQuark b,
		       int64_t delay_ns, int64_t jitter_ns)
{
	struct link *link = link_require(network, a, b);

	link->path.delay_ns = delay_ns;
	link->path.jitter_ns = jitter_ns;
}

void network_set_loss(struct network *network, GQuark a, GQuark b, double loss)
{
	link_require(network, a, b)->path.loss = loss;
}

void network_set_cut(struct network *network, GQuark a, GQuark b, bool is_cut)
{
	link_require(network, a, b)->is_cut = is_cut;
}

bool network_is_cut(const struct network *network, GQuark a, GQuark b)
{
	const struct link *link = link_find(network, a, b);

	return link && link->is_cut;
}

bool network_plan(struct network *network, GQuark a, GQuark b,
		  int64_t *delay_ns)
{
	const struct link *link = link_find(network, a, b);

	*delay_ns = 0;
	if (!link)
		return true;
	if (link->is_cut)
		return false;
	if (link->path.loss > 0 &&
	    g_rand_double(network->random) < link->path.loss)
		return false;
	*delay_ns = link->path.delay_ns;
	if (link->path.jitter_ns > 0)
		*delay_ns += (int64_t)(g_rand_double(network->random) *
				       (double)link->path.jitter_ns);
	return true;
}

uint32_t network_random(struct network *network, uint32_t bound)
{
	return (uint32_t)g_rand_int_range(network->random, 0, (gint32)bound);
}

bool network_request(struct network *network, JsonObject *request)
{
	const char *name = control_text(request, "do", "");
	GQuark a = control_zone(request, "a");
	GQuark b = control_zone(request, "b");
	double delay_ms = control_number(request, "delay_ms", 0);
	double jitter_ms = control_number(request, "jitter_ms", 0);

	if (strcmp(name, "cut") == 0)
		network_set_cut(network, a, b,
				control_number(request, "cut", 1) != 0);
	else if (strcmp(name, "delay") == 0)
		network_set_delay(network, a, b,
				  (int64_t)(delay_ms * (double)NS_PER_MS),
				  (int64_t)(jitter_ms * (double)NS_PER_MS));
	else if (strcmp(name, "lose") == 0)
		network_set_loss(network, a, b,
				 control_number(request, "loss", 0));
	else
		return false;
	return true;
}
