#include "standins/scenario/deployment.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Hosts that a scenario adds get 127.0.3.N. */
#define ADDED_HOST_FORMAT "127.0.3.%u"

uint16_t deployment_free_port(const char *address, int socket_type)
{
	struct sockaddr_in bound = { .sin_family = AF_INET };
	socklen_t length = sizeof(bound);
	int fd = socket(AF_INET, socket_type | SOCK_CLOEXEC, 0);
	uint16_t port = 0;

	inet_pton(AF_INET, address, &bound.sin_addr);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&bound, length) == 0 &&
	    getsockname(fd, (struct sockaddr *)&bound, &length) == 0)
		port = ntohs(bound.sin_port);
	if (fd >= 0)
		close(fd);
	return port;
}

static void host_set_port(JsonObject *host)
{
	const char *address = json_object_get_string_member(host, "address");

	json_object_set_int_member(host, "port",
				   deployment_free_port(address, SOCK_DGRAM));
}

static void zone_add(struct deployment *deployment, JsonObject *host)
{
	const char *zone =
		json_object_get_string_member(host, "availability_zone");

	for (guint i = 0; i < deployment->zones->len; i++)
		if (strcmp(deployment->zones->pdata[i], zone) == 0)
			return;
	g_ptr_array_add(deployment->zones, g_strdup(zone));
}

static void service_adopt(struct deployment *deployment, JsonObject *service)
{
	JsonArray *hosts = json_object_get_array_member(service, "hosts");

	for (guint i = 0; i < json_array_get_length(hosts); i++) {
		JsonObject *host = json_array_get_object_element(hosts, i);

		host_set_port(host);
		zone_add(deployment, host);
	}
}

static bool part_load(struct deployment *deployment, const char *path,
		      struct error *error)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GError) failure = NULL;
	JsonObject *part;
	char *name;

	if (!json_parser_load_from_file(parser, path, &failure))
		return error_set(error, ERROR_IO, "%s", failure->message);
	part = json_object_ref(
		json_node_get_object(json_parser_get_root(parser)));
	if (json_object_has_member(part, "hosts")) {
		service_adopt(deployment, part);
		name = g_strconcat("service/",
				   json_object_get_string_member(part, "name"),
				   NULL);
	} else {
		name = g_strdup("profiles");
	}
	g_hash_table_insert(deployment->parts, name, part);
	return true;
}

static int zone_compare(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

struct deployment *deployment_load(const char *directory, struct error *error)
{
	g_autoptr(GError) failure = NULL;
	g_autoptr(GDir) files = g_dir_open(directory, 0, &failure);
	struct deployment *deployment;
	const char *name;

	if (!files) {
		error_set(error, ERROR_IO, "%s", failure->message);
		return NULL;
	}
	deployment = g_new0(struct deployment, 1);
	deployment->directory = g_strdup(directory);
	deployment->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)json_object_unref);
	deployment->zones = g_ptr_array_new_with_free_func(g_free);
	deployment->next_host = 1;
	while ((name = g_dir_read_name(files)) != NULL) {
		g_autofree char *path = g_build_filename(directory, name, NULL);

		if (g_str_has_suffix(name, ".json") &&
		    !part_load(deployment, path, error)) {
			deployment_destroy(deployment);
			return NULL;
		}
	}
	g_ptr_array_sort(deployment->zones, zone_compare);
	return deployment;
}

void deployment_destroy(struct deployment *deployment)
{
	g_hash_table_destroy(deployment->parts);
	g_ptr_array_free(deployment->zones, TRUE);
	g_free(deployment->directory);
	g_free(deployment);
}

JsonObject *deployment_service(struct deployment *deployment, const char *name,
			       struct error *error)
{
	g_autofree char *key = g_strconcat("service/", name, NULL);
	JsonObject *part = g_hash_table_lookup(deployment->parts, key);

	if (!part)
		error_set(error, ERROR_NOT_FOUND, "no service '%s'", name);
	return part;
}

static JsonArray *host_find(struct deployment *deployment, const char *service,
			    const char *host, guint *index, struct error *error)
{
	JsonObject *part = deployment_service(deployment, service, error);
	JsonArray *hosts;

	if (!part)
		return NULL;
	hosts = json_object_get_array_member(part, "hosts");
	for (*index = 0; *index < json_array_get_length(hosts); (*index)++) {
		JsonObject *entry =
			json_array_get_object_element(hosts, *index);

		if (strcmp(json_object_get_string_member(entry, "name"),
			   host) == 0)
			return hosts;
	}
	error_set(error, ERROR_NOT_FOUND, "service %s has no host '%s'",
		  service, host);
	return NULL;
}

bool deployment_set_host(struct deployment *deployment, const char *service,
			 const char *host, const char *state,
			 struct error *error)
{
	JsonArray *hosts;
	guint index;

	hosts = host_find(deployment, service, host, &index, error);
	if (!hosts)
		return false;
	json_object_set_string_member(
		json_array_get_object_element(hosts, index), "state", state);
	return true;
}

bool deployment_remove_host(struct deployment *deployment, const char *service,
			    const char *host, struct error *error)
{
	JsonArray *hosts;
	guint index;

	hosts = host_find(deployment, service, host, &index, error);
	if (!hosts)
		return false;
	json_array_remove_element(hosts, index);
	return true;
}

bool deployment_add_host(struct deployment *deployment, const char *service,
			 const char *host, const char *zone,
			 struct error *error)
{
	JsonObject *part = deployment_service(deployment, service, error);
	g_autofree char *address = NULL;
	JsonObject *added;
	JsonArray *hosts;

	if (!part)
		return false;
	hosts = json_object_get_array_member(part, "hosts");
	if (json_array_get_length(hosts) == 0)
		return error_set(error, ERROR_USAGE, "service without hosts");
	address = g_strdup_printf(ADDED_HOST_FORMAT, deployment->next_host++);
	added = json_object_new();
	json_object_set_string_member(added, "name", host);
	json_object_set_string_member(added, "address", address);
	json_object_set_string_member(added, "availability_zone", zone);
	json_object_set_int_member(added, "slots", 3);
	json_object_set_int_member(added, "connections", 2000);
	json_object_set_string_member(added, "state", "serving");
	host_set_port(added);
	json_array_add_object_element(hosts, added);
	return true;
}
