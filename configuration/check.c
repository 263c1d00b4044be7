/* Checks of a revision that compare several of its fields or parts. */

#include <string.h>

#include "configuration/parts.h"

struct check {
	const struct configuration *configuration;
	GHashTable *labels;
	struct error *error;
	/* What the name, id or address of the key belongs to. */
	GHashTable *profiles;
	GHashTable *host_names; /* of one service */
	GHashTable *host_ids;
	GHashTable *host_endpoints; /* of one service */
	GHashTable *zones; /* of a host's address and port */
	GHashTable *addresses;
};

const char *part_label(GHashTable *labels, const char *part_name)
{
	const char *label = labels ? g_hash_table_lookup(labels, part_name)
				   : NULL;

	return label ? label : part_name;
}

static bool fail(const struct check *check, const struct service *service,
		 const char *format, ...) __attribute__((format(printf, 3, 4)));

static bool fail(const struct check *check, const struct service *service,
		 const char *format, ...)
{
	char *part_name = service ? g_strconcat("service/", service->name, NULL)
				  : g_strdup("profiles");
	va_list arguments;
	char *problem;

	va_start(arguments, format);
	problem = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	error_set(check->error, ERROR_CONFIGURATION, "%s: %s",
		  part_label(check->labels, part_name), problem);
	g_free(problem);
	g_free(part_name);
	return false;
}

static char *endpoint_print(const struct ip_address *address, uint16_t port)
{
	char text[IP_ADDRESS_TEXT_BYTES];

	ip_address_print(address, text);
	return g_strdup_printf(strchr(text, ':') ? "[%s]:%u" : "%s:%u", text,
			       port);
}

static bool address_is_unicast(const struct ip_address *address)
{
	const uint8_t *bytes = address->bytes;
	static const uint8_t zero[sizeof(address->bytes)];

	if (ip_address_is_v4(address))
		return bytes[12] != 0 && bytes[12] < 224;
	return bytes[0] != 0xff && memcmp(bytes, zero, sizeof(zero)) != 0;
}

static bool check_profiles(struct check *check)
{
	const struct configuration *configuration = check->configuration;

	for (size_t i = 0; i < configuration->profile_count; i++) {
		struct profile *profile = &configuration->profiles[i];

		if (!g_hash_table_insert(check->profiles, profile->name,
					 profile))
			return fail(check, NULL,
				    "$.profiles[%zu].name: \"%s\" is used "
				    "twice, allowed a name of its own",
				    i, profile->name);
	}
	return true;
}

static bool check_address(struct check *check, const struct service *service,
			  size_t i)
{
	const struct service_address *address = &service->addresses[i];
	char *endpoint = endpoint_print(&address->address, address->port);
	char *key = g_strconcat(
		endpoint,
		address->protocol == PACKET_PROTOCOL_TCP ? " tcp" : " udp",
		NULL);
	const struct service *other =
		g_hash_table_lookup(check->addresses, key);

	g_free(endpoint);
	if (other)
		fail(check, service,
		     "$.addresses[%zu]: %s belongs to service \"%s\", allowed "
		     "an address of one service",
		     i, key, other->name);
	else if (!address_is_unicast(&address->address))
		fail(check, service,
		     "$.addresses[%zu].address: %s is not unicast, allowed a "
		     "unicast address",
		     i, key);
	else
		return g_hash_table_insert(check->addresses, key,
					   (gpointer)service);
	g_free(key);
	return false;
}

static bool check_host_endpoint(struct check *check,
				const struct service *service, size_t i)
{
	const struct host *host = &service->hosts[i];
	char *key = endpoint_print(&host->address, host->port);
	const char *zone = g_hash_table_lookup(check->zones, key);
	bool is_valid = false;

	if (!address_is_unicast(&host->address))
		fail(check, service,
		     "$.hosts[%zu].address: %s is not unicast, allowed a "
		     "unicast address",
		     i, key);
	else if (g_hash_table_contains(check->host_endpoints, key))
		fail(check, service,
		     "$.hosts[%zu].address: %s is used twice, allowed one host "
		     "of a service",
		     i, key);
	else if (zone && strcmp(zone, host->zone) != 0)
		fail(check, service,
		     "$.hosts[%zu].availability_zone: \"%s\" differs from "
		     "another service's for %s, allowed \"%s\"",
		     i, host->zone, key, zone);
	else
		is_valid = true;
	if (is_valid) {
		g_hash_table_insert(check->zones, g_strdup(key),
				    (gpointer)host->zone);
		g_hash_table_add(check->host_endpoints, g_strdup(key));
	}
	g_free(key);
	return is_valid;
}

static bool check_host(struct check *check, const struct service *service,
		       size_t i)
{
	struct host *host = &service->hosts[i];
	const struct host *other;

	if (!g_hash_table_add(check->host_names, host->name))
		return fail(check, service,
			    "$.hosts[%zu].name: \"%s\" is used twice, allowed "
			    "a name of its own",
			    i, host->name);
	other = g_hash_table_lookup(check->host_ids,
				    GUINT_TO_POINTER(host->id));
	if (other)
		return fail(check, service,
			    "$.hosts[%zu].name: \"%s\" has the same id "
			    "%08x as host \"%s\", allowed another name",
			    i, host->name, host->id, other->name);
	g_hash_table_insert(check->host_ids, GUINT_TO_POINTER(host->id), host);
	return check_host_endpoint(check, service, i);
}

static bool check_service(struct check *check, const struct service *service)
{
	bool is_valid = true;

	g_hash_table_remove_all(check->host_names);
	g_hash_table_remove_all(check->host_endpoints);
	for (size_t i = 0; i < service->address_count && is_valid; i++)
		is_valid = check_address(check, service, i);
	for (size_t i = 0; i < service->host_count && is_valid; i++)
		is_valid = check_host(check, service, i);
	return is_valid;
}

bool configuration_check(const struct configuration *configuration,
			 GHashTable *labels, struct error *error)
{
	struct check check = {
		.configuration = configuration,
		.labels = labels,
		.error = error,
		.profiles = g_hash_table_new(g_str_hash, g_str_equal),
		.host_names = g_hash_table_new(g_str_hash, g_str_equal),
		.host_ids = g_hash_table_new(NULL, NULL),
		.host_endpoints = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL),
		.zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL),
		.addresses = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL),
	};
	bool is_valid = check_profiles(&check);

	for (size_t i = 0; i < configuration->service_count && is_valid; i++)
		is_valid = check_service(&check, &configuration->services[i]);
	g_hash_table_unref(check.profiles);
	g_hash_table_unref(check.host_names);
	g_hash_table_unref(check.host_ids);
	g_hash_table_unref(check.host_endpoints);
	g_hash_table_unref(check.zones);
	g_hash_table_unref(check.addresses);
	return is_valid;
}
