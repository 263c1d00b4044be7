#include "standins/world/catalogue.h"

#include <arpa/inet.h>
#include <string.h>

#include "packet/packet.h"
#include "standins/control.h"

static void host_destroy(void *data)
{
	struct catalogue_host *host = data;

	g_free(host->name);
	g_free(host->address);
	g_free(host);
}

static void service_destroy(void *data)
{
	struct catalogue_service *service = data;

	g_free(service->name);
	g_array_free(service->addresses, TRUE);
	g_ptr_array_free(service->hosts, TRUE);
	g_free(service);
}

struct catalogue *catalogue_create(void)
{
	struct catalogue *catalogue = g_new0(struct catalogue, 1);

	catalogue->services = g_ptr_array_new_with_free_func(service_destroy);
	catalogue->hosts = g_ptr_array_new();
	return catalogue;
}

void catalogue_destroy(struct catalogue *catalogue)
{
	g_ptr_array_free(catalogue->hosts, TRUE);
	g_ptr_array_free(catalogue->services, TRUE);
	g_free(catalogue);
}

struct catalogue_service *catalogue_find(const struct catalogue *catalogue,
					 const char *name, uint32_t *index)
{
	for (guint i = 0; i < catalogue->services->len; i++) {
		struct catalogue_service *service =
			catalogue->services->pdata[i];

		if (strcmp(service->name, name) != 0)
			continue;
		if (index)
			*index = i;
		return service;
	}
	return NULL;
}

const struct catalogue_address *
catalogue_service_address(const struct catalogue_service *service,
			  uint8_t protocol)
{
	for (guint i = 0; i < service->addresses->len; i++) {
		const struct catalogue_address *address = &g_array_index(
			service->addresses, struct catalogue_address, i);

		if (address->protocol == protocol)
			return address;
	}
	return NULL;
}

static struct catalogue_service *
service_require(struct catalogue *catalogue, const char *name, uint32_t *index)
{
	struct catalogue_service *service =
		catalogue_find(catalogue, name, index);

	if (service)
		return service;
	service = g_new0(struct catalogue_service, 1);
	service->name = g_strdup(name);
	service->addresses =
		g_array_new(FALSE, TRUE, sizeof(struct catalogue_address));
	service->hosts = g_ptr_array_new_with_free_func(host_destroy);
	*index = catalogue->services->len;
	g_ptr_array_add(catalogue->services, service);
	return service;
}

static bool address_read(struct catalogue_service *service, JsonObject *object,
			 struct error *error)
{
	const char *text = control_text(object, "address", "");
	struct catalogue_address address = {
		.port = (uint16_t)control_number(object, "port", 0),
		.protocol = PACKET_PROTOCOL_TCP,
	};
	struct in_addr parsed;

	if (strcmp(control_text(object, "protocol", "tcp"), "udp") == 0)
		address.protocol = PACKET_PROTOCOL_UDP;
	if (inet_pton(AF_INET, text, &parsed) != 1)
		return error_set(error, ERROR_CONFIGURATION,
				 "service address '%s' is not IPv4", text);
	address.address = ntohl(parsed.s_addr);
	g_array_append_val(service->addresses, address);
	return true;
}

static struct catalogue_host *host_require(struct catalogue *catalogue,
					   struct catalogue_service *service,
					   const char *name)
{
	struct catalogue_host *host;

	for (guint i = 0; i < service->hosts->len; i++) {
		host = service->hosts->pdata[i];
		if (strcmp(host->name, name) == 0)
			return host;
	}
	host = g_new0(struct catalogue_host, 1);
	host->name = g_strdup(name);
	host->index = catalogue->hosts->len;
	g_ptr_array_add(catalogue->hosts, host);
	g_ptr_array_add(service->hosts, host);
	return host;
}

static void host_read(struct catalogue *catalogue, uint32_t service_index,
		      JsonObject *object, int64_t now_ns)
{
	struct catalogue_host *host = host_require(
		catalogue, catalogue->services->pdata[service_index],
		control_text(object, "name", ""));
	bool is_draining = strcmp(control_text(object, "state", "serving"),
				  "draining") == 0;

	if (!host->address)
		host->address = g_strdup(control_text(object, "address", ""));
	host->port = (uint16_t)control_number(object, "port", 0);
	host->service = service_index;
	host->zone = g_quark_from_string(
		control_text(object, "availability_zone", ""));
	host->is_published = true;
	if (is_draining && !host->is_draining)
		host->drained_ns = now_ns;
	host->is_draining = is_draining;
}

bool catalogue_update(struct catalogue *catalogue, JsonObject *part,
		      int64_t now_ns, struct error *error)
{
	const char *name = control_text(part, "name", NULL);
	struct catalogue_service *service;
	JsonArray *addresses;
	JsonArray *hosts;
	uint32_t index;

	if (!name || !json_object_has_member(part, "addresses") ||
	    !json_object_has_member(part, "hosts"))
		return error_set(error, ERROR_CONFIGURATION,
				 "part is not a service");
	service = service_require(catalogue, name, &index);
	addresses = json_object_get_array_member(part, "addresses");
	hosts = json_object_get_array_member(part, "hosts");
	g_array_set_size(service->addresses, 0);
	for (guint i = 0; i < json_array_get_length(addresses); i++)
		if (!address_read(service,
				  json_array_get_object_element(addresses, i),
				  error))
			return false;
	for (guint i = 0; i < service->hosts->len; i++)
		((struct catalogue_host *)service->hosts->pdata[i])
			->is_published = false;
	for (guint i = 0; i < json_array_get_length(hosts); i++)
		host_read(catalogue, index,
			  json_array_get_object_element(hosts, i), now_ns);
	return true;
}
