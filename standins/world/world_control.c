#include <stdlib.h>
#include <string.h>

#include "packet/packet.h"
#include "standins/control.h"
#include "standins/world/world.h"

#define PAYLOAD_BYTES_DEFAULT 200

static bool service_read(struct world *world, JsonObject *request,
			 uint32_t *service, struct error *error)
{
	const char *name = control_text(request, "service", "");

	if (catalogue_find(world->catalogue, name, service))
		return true;
	return error_set(error, ERROR_NOT_FOUND, "no service '%s'", name);
}

/* NULL is a valid result: no host named, which means all hosts. */
static bool host_read(struct world *world, JsonObject *request,
		      const struct catalogue_host **host, struct error *error)
{
	const char *name = control_text(request, "host", NULL);
	const struct catalogue_service *service = catalogue_find(
		world->catalogue, control_text(request, "service", ""), NULL);

	*host = NULL;
	if (!name)
		return true;
	for (guint i = 0; service && i < service->hosts->len; i++) {
		*host = service->hosts->pdata[i];
		if (strcmp((*host)->name, name) == 0)
			return true;
	}
	return error_set(error, ERROR_NOT_FOUND, "no host '%s'", name);
}

static bool handle_balancer(struct world *world, JsonObject *request,
			    JsonBuilder *reply, struct error *error)
{
	return fabric_add(world->fabric, control_text(request, "name", ""),
			  control_text(request, "address", ""),
			  (uint16_t)control_number(request, "port", 0),
			  control_zone(request, "zone"), error);
}

static bool handle_balancer_gone(struct world *world, JsonObject *request,
				 JsonBuilder *reply, struct error *error)
{
	double lag_s = control_number(request, "lag_s", 0);

	if (fabric_remove(world->fabric, control_text(request, "name", ""),
			  (int64_t)(lag_s * (double)NS_PER_S)))
		return true;
	return error_set(error, ERROR_NOT_FOUND, "no such balancer");
}

static bool handle_catalogue(struct world *world, JsonObject *request,
			     JsonBuilder *reply, struct error *error)
{
	JsonArray *parts;

	if (!json_object_has_member(request, "parts"))
		return error_set(error, ERROR_USAGE, "no parts");
	parts = json_object_get_array_member(request, "parts");
	for (guint i = 0; i < json_array_get_length(parts); i++)
		if (!catalogue_update(world->catalogue,
				      json_array_get_object_element(parts, i),
				      clock_now_ns(clock_system()), error))
			return false;
	return servers_update(world->servers, error);
}

static bool handle_close(struct world *world, JsonObject *request,
			 JsonBuilder *reply, struct error *error)
{
	const struct catalogue_host *host;
	uint32_t service;
	uint32_t closed;

	if (!service_read(world, request, &service, error) ||
	    !host_read(world, request, &host, error))
		return false;
	if (!host)
		callers_stop_opening(world->callers, service);
	closed = callers_close(world->callers, service, host,
			       control_number(request, "reopen", 0) != 0);
	control_add_number(reply, "closing", closed);
	return true;
}

static bool handle_host_down(struct world *world, JsonObject *request,
			     JsonBuilder *reply, struct error *error)
{
	const struct catalogue_host *host;

	if (!host_read(world, request, &host, error))
		return false;
	if (!host)
		return error_set(error, ERROR_USAGE, "no host given");
	servers_set_down(world->servers, host->index,
			 control_number(request, "down", 1) != 0);
	return true;
}

static bool handle_open(struct world *world, JsonObject *request,
			JsonBuilder *reply, struct error *error)
{
	struct callers_plan plan = {
		.protocol = PACKET_PROTOCOL_TCP,
		.count = (uint32_t)control_number(request, "flows", 0),
		.flows_per_s = control_number(request, "flows_per_s", 0),
	};

	if (!service_read(world, request, &plan.service, error))
		return false;
	if (strcmp(control_text(request, "protocol", "tcp"), "udp") == 0)
		plan.protocol = PACKET_PROTOCOL_UDP;
	plan.shape.requests_per_s = control_number(request, "rate", 0);
	plan.shape.request_count =
		(uint32_t)control_number(request, "requests", 0);
	plan.shape.payload_bytes = (uint16_t)control_number(
		request, "payload_bytes", PAYLOAD_BYTES_DEFAULT);
	plan.shape.ends_with_reset = control_number(request, "reset", 0) != 0;
	if (callers_open(world->callers, &plan))
		return true;
	return error_set(error, ERROR_NOT_FOUND,
			 "service has no address for the protocol");
}

static bool handle_report(struct world *world, JsonObject *request,
			  JsonBuilder *reply, struct error *error)
{
	world_report(world, reply);
	return true;
}

static bool handle_send(struct world *world, JsonObject *request,
			JsonBuilder *reply, struct error *error)
{
	uint32_t service;

	if (!service_read(world, request, &service, error))
		return false;
	callers_send(world->callers, service,
		     (uint32_t)control_number(request, "requests", 1));
	return true;
}

static bool handle_stop_opening(struct world *world, JsonObject *request,
				JsonBuilder *reply, struct error *error)
{
	uint32_t service;

	if (!service_read(world, request, &service, error))
		return false;
	callers_stop_opening(world->callers, service);
	return true;
}

struct request_handler {
	const char *name;
	bool (*handle)(struct world *world, JsonObject *request,
		       JsonBuilder *reply, struct error *error);
};

/* Sorted by name for bsearch(). */
static const struct request_handler handlers[] = {
	{ "balancer", handle_balancer },
	{ "balancer_gone", handle_balancer_gone },
	{ "catalogue", handle_catalogue },
	{ "close", handle_close },
	{ "host_down", handle_host_down },
	{ "open", handle_open },
	{ "report", handle_report },
	{ "send", handle_send },
	{ "stop_opening", handle_stop_opening },
};

static int handler_compare(const void *key, const void *element)
{
	return strcmp(key, ((const struct request_handler *)element)->name);
}

bool world_control(void *context, JsonObject *request, JsonBuilder *reply,
		   struct error *error)
{
	struct world *world = context;
	const char *name = control_text(request, "do", "");
	const struct request_handler *handler =
		bsearch(name, handlers, G_N_ELEMENTS(handlers),
			sizeof(handlers[0]), handler_compare);

	if (network_request(world->network, request))
		return true;
	if (!handler)
		return error_set(error, ERROR_USAGE, "no request '%s'", name);
	return handler->handle(world, request, reply, error);
}
