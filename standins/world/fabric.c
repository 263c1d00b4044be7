#include "standins/world/fabric.h"

#include <arpa/inet.h>
#include <string.h>

#include "edge/edge.h"

#define RECEIVE_BUFFER_BYTES (4 * 1024 * 1024)

struct balancer {
	char *name;
	struct sockaddr_in address;
	GQuark zone;
	int64_t removed_ns; /* not chosen from then on; INT64_MAX = never */
};

struct fabric {
	struct fabric_options options;
	struct edge *edge;
	GArray *balancers; /* struct balancer */
	GArray *candidates; /* guint, filled for each packet */
	struct fabric_counters counters;
};

struct transit {
	struct sockaddr_in destination;
	size_t length;
	uint8_t data[];
};

static void on_datagram(void *context, uint8_t *data, size_t length,
			const struct sockaddr_storage *source)
{
	struct fabric *fabric = context;

	(void)source;
	fabric->counters.refusals++;
	fabric->options.on_refusal(fabric->options.context, data, length);
}

static void balancer_clear(void *data)
{
	g_free(((struct balancer *)data)->name);
}

struct fabric *fabric_create(const struct fabric_options *options,
			     struct error *error)
{
	struct fabric *fabric = g_new0(struct fabric, 1);
	struct edge_options edge_options = {
		.address = "127.0.0.1",
		.receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
		.on_datagram = on_datagram,
		.context = fabric,
	};

	fabric->options = *options;
	fabric->balancers = g_array_new(FALSE, TRUE, sizeof(struct balancer));
	g_array_set_clear_func(fabric->balancers, balancer_clear);
	fabric->candidates = g_array_new(FALSE, FALSE, sizeof(guint));
	fabric->edge = edge_create(&edge_options, error);
	if (fabric->edge)
		return fabric;
	fabric_destroy(fabric);
	return NULL;
}

void fabric_destroy(struct fabric *fabric)
{
	if (fabric->edge)
		edge_destroy(fabric->edge);
	g_array_free(fabric->candidates, TRUE);
	g_array_free(fabric->balancers, TRUE);
	g_free(fabric);
}

uint16_t fabric_port(const struct fabric *fabric)
{
	return edge_port(fabric->edge);
}

static struct balancer *balancer_at(const struct fabric *fabric, guint index)
{
	return &g_array_index(fabric->balancers, struct balancer, index);
}

static struct balancer *balancer_find(const struct fabric *fabric,
				      const char *name)
{
	for (guint i = 0; i < fabric->balancers->len; i++)
		if (strcmp(balancer_at(fabric, i)->name, name) == 0)
			return balancer_at(fabric, i);
	return NULL;
}

bool fabric_add(struct fabric *fabric, const char *name, const char *address,
		uint16_t port, GQuark zone, struct error *error)
{
	struct balancer added = { .zone = zone, .removed_ns = INT64_MAX };
	struct balancer *known = balancer_find(fabric, name);

	added.address.sin_family = AF_INET;
	added.address.sin_port = htons(port);
	if (inet_pton(AF_INET, address, &added.address.sin_addr) != 1)
		return error_set(error, ERROR_USAGE,
				 "balancer address '%s' is not IPv4", address);
	if (known) {
		added.name = known->name;
		*known = added;
		return true;
	}
	added.name = g_strdup(name);
	g_array_append_val(fabric->balancers, added);
	return true;
}

bool fabric_remove(struct fabric *fabric, const char *name, int64_t lag_ns)
{
	struct balancer *balancer = balancer_find(fabric, name);

	if (!balancer)
		return false;
	balancer->removed_ns = clock_now_ns(fabric->options.clock) + lag_ns;
	return true;
}

/* A balancer is known by its address: it may send from several ports. */
GQuark fabric_zone_of(const struct fabric *fabric,
		      const struct sockaddr_storage *source)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)source;

	if (source->ss_family != AF_INET)
		return 0;
	for (guint i = 0; i < fabric->balancers->len; i++) {
		const struct balancer *balancer = balancer_at(fabric, i);

		if (balancer->address.sin_addr.s_addr ==
		    address->sin_addr.s_addr)
			return balancer->zone;
	}
	return 0;
}

static const struct balancer *balancer_choose(struct fabric *fabric,
					      GQuark zone)
{
	int64_t now_ns = clock_now_ns(fabric->options.clock);
	guint chosen;

	g_array_set_size(fabric->candidates, 0);
	for (guint i = 0; i < fabric->balancers->len; i++) {
		const struct balancer *balancer = balancer_at(fabric, i);

		if (balancer->removed_ns > now_ns &&
		    !network_is_cut(fabric->options.network, zone,
				    balancer->zone))
			g_array_append_val(fabric->candidates, i);
	}
	if (fabric->candidates->len == 0)
		return NULL;
	chosen = network_random(fabric->options.network,
				fabric->candidates->len);
	return balancer_at(fabric,
			   g_array_index(fabric->candidates, guint, chosen));
}

static void transit_end(void *context, void *data)
{
	struct fabric *fabric = context;
	struct transit *transit = data;

	edge_send_copy(fabric->edge, (struct sockaddr *)&transit->destination,
		       sizeof(transit->destination), transit->data,
		       transit->length);
}

void fabric_send(struct fabric *fabric, GQuark zone, const uint8_t *data,
		 size_t length)
{
	const struct balancer *balancer = balancer_choose(fabric, zone);
	struct transit *transit;
	int64_t delay_ns;

	if (!balancer) {
		fabric->counters.packets_unroutable++;
		return;
	}
	if (!network_plan(fabric->options.network,
			  g_quark_from_static_string(NETWORK_CALLERS),
			  balancer->zone, &delay_ns)) {
		fabric->counters.packets_lost++;
		return;
	}
	fabric->counters.packets_sent++;
	transit = g_malloc(sizeof(*transit) + length);
	transit->destination = balancer->address;
	transit->length = length;
	memcpy(transit->data, data, length);
	schedule_add(fabric->options.schedule,
		     clock_now_ns(fabric->options.clock) + delay_ns,
		     transit_end, fabric, transit);
}

void fabric_flush(struct fabric *fabric)
{
	edge_flush(fabric->edge);
}

const struct fabric_counters *fabric_counters(const struct fabric *fabric)
{
	return &fabric->counters;
}
