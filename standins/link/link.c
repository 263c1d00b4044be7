#include "standins/link/link.h"

#include <stdlib.h>
#include <string.h>

#include "standins/control.h"

struct link *link_create(uint64_t seed)
{
	struct link *link = g_new0(struct link, 1);
	struct schedule_options options = { .clock = clock_system() };

	link->schedule = schedule_create(&options);
	link->network = network_create(seed);
	link->pairs =
		g_ptr_array_new_with_free_func((GDestroyNotify)pair_destroy);
	return link;
}

void link_destroy(struct link *link)
{
	g_ptr_array_free(link->pairs, TRUE);
	schedule_destroy(link->schedule);
	network_destroy(link->network);
	g_free(link);
}

static bool handle_cut_pair(struct link *link, JsonObject *request,
			    JsonBuilder *reply, struct error *error)
{
	const char *a = control_text(request, "a", "");
	const char *b = control_text(request, "b", "");
	unsigned int found = 0;

	for (guint i = 0; i < link->pairs->len; i++) {
		struct pair *pair = link->pairs->pdata[i];

		if ((strcmp(pair->from, a) != 0 || strcmp(pair->to, b) != 0) &&
		    (strcmp(pair->from, b) != 0 || strcmp(pair->to, a) != 0))
			continue;
		pair->is_cut = control_number(request, "cut", 1) != 0;
		found++;
	}
	if (found == 0)
		return error_set(error, ERROR_NOT_FOUND, "no pair %s and %s", a,
				 b);
	return true;
}

static bool handle_pair(struct link *link, JsonObject *request,
			JsonBuilder *reply, struct error *error)
{
	struct pair_options options = {
		.from = control_text(request, "from", ""),
		.to = control_text(request, "to", ""),
		.from_zone = control_text(request, "from_zone", ""),
		.to_zone = control_text(request, "to_zone", ""),
		.listen = control_text(request, "listen", "127.0.0.1"),
		.address = control_text(request, "address", ""),
		.pass_port = (uint16_t)control_number(request, "pass_port", 0),
		.peer_port = (uint16_t)control_number(request, "peer_port", 0),
	};
	struct pair *pair = pair_create(link, &options, error);

	if (!pair)
		return false;
	g_ptr_array_add(link->pairs, pair);
	control_add_number(reply, "pass_port", edge_port(pair->edge));
	control_add_number(reply, "peer_port", pair->peer_port);
	return true;
}

static bool handle_report(struct link *link, JsonObject *request,
			  JsonBuilder *reply, struct error *error)
{
	const struct link_counters *counters = &link->counters;

	control_add_number(reply, "link_passed_datagrams",
			   (double)counters->passed_datagrams);
	control_add_number(reply, "link_passed_lost",
			   (double)counters->passed_lost);
	control_add_number(reply, "link_peer_bytes",
			   (double)counters->peer_bytes);
	control_add_number(reply, "link_peer_connections",
			   (double)counters->peer_connections);
	return true;
}

struct request_handler {
	const char *name;
	bool (*handle)(struct link *link, JsonObject *request,
		       JsonBuilder *reply, struct error *error);
};

/* Sorted by name for bsearch(). */
static const struct request_handler handlers[] = {
	{ "cut_pair", handle_cut_pair },
	{ "pair", handle_pair },
	{ "report", handle_report },
};

static int handler_compare(const void *key, const void *element)
{
	return strcmp(key, ((const struct request_handler *)element)->name);
}

bool link_control(void *context, JsonObject *request, JsonBuilder *reply,
		  struct error *error)
{
	struct link *link = context;
	const char *name = control_text(request, "do", "");
	const struct request_handler *handler =
		bsearch(name, handlers, G_N_ELEMENTS(handlers),
			sizeof(handlers[0]), handler_compare);

	if (network_request(link->network, request))
		return true;
	if (!handler)
		return error_set(error, ERROR_USAGE, "no request '%s'", name);
	return handler->handle(link, request, reply, error);
}
