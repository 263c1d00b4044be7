#include "configuration/diff.h"

#include <string.h>

#include "configuration/field_reader.h"

static const char *const kind_names[CHANGE_KINDS] = {
	[CHANGE_PROFILE_ADDED] = "profile added",
	[CHANGE_PROFILE_REMOVED] = "profile removed",
	[CHANGE_PROFILE_CHANGED] = "profile changed",
	[CHANGE_SERVICE_ADDED] = "service added",
	[CHANGE_SERVICE_REMOVED] = "service removed",
	[CHANGE_SERVICE_CHANGED] = "service changed",
	[CHANGE_ADDRESS_ADDED] = "address added",
	[CHANGE_ADDRESS_REMOVED] = "address removed",
	[CHANGE_ADDRESS_MOVED] = "address moved",
	[CHANGE_HOST_ADDED] = "host added",
	[CHANGE_HOST_REMOVED] = "host removed",
	[CHANGE_HOST_DRAINED] = "host drained",
	[CHANGE_HOST_RESUMED] = "host resumed",
	[CHANGE_HOST_CHANGED] = "host changed",
};

/** Appends a change; takes over @name and @detail. */
static struct configuration_change *add(GArray *changes, enum change_kind kind,
					const struct service *service,
					char *name, char *detail)
{
	struct configuration_change change = {
		.kind = kind,
		.service = service ? g_strdup(service->name) : NULL,
		.name = name,
		.detail = detail,
	};

	g_array_append_val(changes, change);
	return &g_array_index(changes, struct configuration_change,
			      changes->len - 1);
}

/** Lists the fields that differ as "field old -> new"; NULL if none does. */
static char *changed_fields(const struct field_table *table, const void *old,
			    const void *new)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < table->field_count; i++) {
		char *before = field_print_value(&table->fields[i], old);
		char *after = field_print_value(&table->fields[i], new);

		if (strcmp(before, after) != 0)
			g_string_append_printf(text, "%s%s %s -> %s",
					       text->len > 0 ? ", " : "",
					       table->fields[i].name, before,
					       after);
		g_free(before);
		g_free(after);
	}
	return g_string_free(text, text->len == 0);
}

static const struct profile *
find_profile(const struct configuration *configuration, const char *name)
{
	for (size_t i = 0; i < configuration->profile_count; i++) {
		if (strcmp(configuration->profiles[i].name, name) == 0)
			return &configuration->profiles[i];
	}
	return NULL;
}

static void compare_profiles(GArray *changes, const struct configuration *old,
			     const struct configuration *new)
{
	for (size_t i = 0; i < new->profile_count; i++) {
		const struct profile *after = &new->profiles[i];
		const struct profile *before = find_profile(old, after->name);
		char *detail;

		if (!before) {
			add(changes, CHANGE_PROFILE_ADDED, NULL,
			    g_strdup(after->name), NULL);
			continue;
		}
		detail = changed_fields(configuration_profile_fields(), before,
					after);
		if (detail)
			add(changes, CHANGE_PROFILE_CHANGED, NULL,
			    g_strdup(after->name), detail);
	}
	for (size_t i = 0; i < old->profile_count; i++) {
		const char *name = old->profiles[i].name;

		if (!find_profile(new, name))
			add(changes, CHANGE_PROFILE_REMOVED, NULL,
			    g_strdup(name), NULL);
	}
}

static char *address_print(const struct service_address *address)
{
	char text[IP_ADDRESS_TEXT_BYTES];

	ip_address_print(&address->address, text);
	return g_strdup_printf(
		strchr(text, ':') ? "[%s]:%u %s" : "%s:%u %s", text,
		address->port,
		address->protocol == PACKET_PROTOCOL_TCP ? "tcp" : "udp");
}

/** Service that has @address in @configuration, or NULL. */
static const struct service *
service_of(const struct configuration *configuration,
	   const struct service_address *address)
{
	struct flow_key key = {
		.service = address->address,
		.service_port = address->port,
		.protocol = address->protocol,
	};

	return configuration_find_service(configuration, &key);
}

static void compare_address(GArray *changes, const struct configuration *old,
			    const struct service *service,
			    const struct service_address *address)
{
	const struct service *before = service_of(old, address);

	if (!before) {
		add(changes, CHANGE_ADDRESS_ADDED, service,
		    address_print(address), NULL);
		return;
	}
	if (strcmp(before->name, service->name) == 0 &&
	    strcmp(before->team, service->team) == 0)
		return;
	add(changes, CHANGE_ADDRESS_MOVED, service, address_print(address),
	    g_strdup_printf("from service \"%s\" of team \"%s\" to service "
			    "\"%s\" of team \"%s\"",
			    before->name, before->team, service->name,
			    service->team))
		->breaks_flows = true;
}

static void compare_addresses(GArray *changes, const struct configuration *old,
			      const struct configuration *new)
{
	for (size_t i = 0; i < new->service_count; i++) {
		const struct service *service = &new->services[i];

		for (size_t j = 0; j < service->address_count; j++)
			compare_address(changes, old, service,
					&service->addresses[j]);
	}
	for (size_t i = 0; i < old->service_count; i++) {
		const struct service *service = &old->services[i];

		for (size_t j = 0; j < service->address_count; j++) {
			if (service_of(new, &service->addresses[j]))
				continue;
			add(changes, CHANGE_ADDRESS_REMOVED, service,
			    address_print(&service->addresses[j]), NULL)
				->breaks_flows = true;
		}
	}
}

static void compare_host(GArray *changes, const struct service *service,
			 const struct host *before, const struct host *after)
{
	struct host other = *before;
	char *detail;

	if (before->state != after->state)
		add(changes,
		    after->state == HOST_DRAINING ? CHANGE_HOST_DRAINED
						  : CHANGE_HOST_RESUMED,
		    service, g_strdup(after->name), NULL);
	other.state = after->state;
	detail = changed_fields(configuration_host_fields(), &other, after);
	if (detail)
		add(changes, CHANGE_HOST_CHANGED, service,
		    g_strdup(after->name), detail)
			->breaks_flows = before->port != after->port ||
					 memcmp(&before->address,
						&after->address,
						sizeof(before->address)) != 0;
}

static void compare_hosts(GArray *changes, const struct service *old,
			  const struct service *new)
{
	for (size_t i = 0; i < new->host_count; i++) {
		const struct host *after = &new->hosts[i];
		const struct host *before = service_host_by_id(old, after->id);

		if (before)
			compare_host(changes, new, before, after);
		else
			add(changes, CHANGE_HOST_ADDED, new,
			    g_strdup(after->name), NULL);
	}
	for (size_t i = 0; i < old->host_count; i++) {
		const struct host *before = &old->hosts[i];
		bool is_draining = before->state == HOST_DRAINING;

		if (service_host_by_id(new, before->id))
			continue;
		add(changes, CHANGE_HOST_REMOVED, old, g_strdup(before->name),
		    g_strdup(is_draining ? "was draining" : "was serving"))
			->breaks_flows = !is_draining;
	}
}

static void compare_service(GArray *changes, const struct service *old,
			    const struct service *new)
{
	GString *detail = g_string_new(NULL);

	if (strcmp(old->team, new->team) != 0)
		g_string_append_printf(detail, "team %s -> %s", old->team,
				       new->team);
	if (strcmp(old->profile->name, new->profile->name) != 0)
		g_string_append_printf(detail, "%sprofile %s -> %s",
				       detail->len > 0 ? ", " : "",
				       old->profile->name, new->profile->name);
	if (detail->len > 0)
		add(changes, CHANGE_SERVICE_CHANGED, new, NULL,
		    g_strdup(detail->str));
	g_string_free(detail, TRUE);
	compare_hosts(changes, old, new);
}

static void compare_services(GArray *changes, const struct configuration *old,
			     const struct configuration *new)
{
	for (size_t i = 0; i < new->service_count; i++) {
		const struct service *after = &new->services[i];
		const struct service *before =
			configuration_service_by_name(old, after->name);

		if (before)
			compare_service(changes, before, after);
		else
			add(changes, CHANGE_SERVICE_ADDED, after, NULL,
			    g_strdup_printf("%zu hosts", after->host_count));
	}
	for (size_t i = 0; i < old->service_count; i++) {
		const struct service *before = &old->services[i];

		if (configuration_service_by_name(new, before->name))
			continue;
		add(changes, CHANGE_SERVICE_REMOVED, before, NULL,
		    g_strdup_printf("%zu hosts", before->host_count))
			->breaks_flows = true;
	}
}

/** By kind, then service, then name, so that the output is stable. */
static gint compare_changes(gconstpointer a, gconstpointer b)
{
	const struct configuration_change *first = a;
	const struct configuration_change *second = b;
	int order = (int)first->kind - (int)second->kind;

	if (order == 0)
		order = g_strcmp0(first->service, second->service);
	return order != 0 ? order : g_strcmp0(first->name, second->name);
}

struct configuration_diff *
configuration_diff_create(const struct configuration *old,
			  const struct configuration *new)
{
	struct configuration_diff *diff = g_new0(struct configuration_diff, 1);
	GArray *changes =
		g_array_new(FALSE, FALSE, sizeof(struct configuration_change));

	compare_profiles(changes, old, new);
	compare_services(changes, old, new);
	compare_addresses(changes, old, new);
	g_array_sort(changes, compare_changes);
	diff->change_count = changes->len;
	diff->changes = (struct configuration_change *)(void *)g_array_free(
		changes, FALSE);
	for (size_t i = 0; i < diff->change_count; i++)
		diff->counts[diff->changes[i].kind]++;
	return diff;
}

void configuration_diff_destroy(struct configuration_diff *diff)
{
	if (!diff)
		return;
	for (size_t i = 0; i < diff->change_count; i++) {
		g_free(diff->changes[i].service);
		g_free(diff->changes[i].name);
		g_free(diff->changes[i].detail);
	}
	g_free(diff->changes);
	g_free(diff);
}

bool configuration_diff_check(const struct configuration_diff *diff,
			      struct error *error)
{
	for (size_t i = 0; i < diff->change_count; i++) {
		const struct configuration_change *change = &diff->changes[i];

		if (change->kind == CHANGE_ADDRESS_MOVED)
			return error_set(error, ERROR_CONFIGURATION,
					 "service/%s: $.addresses: %s moves "
					 "%s, allowed an address that the old "
					 "revision does not have",
					 change->service, change->name,
					 change->detail);
	}
	return true;
}

char *configuration_diff_print(const struct configuration_diff *diff)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < diff->change_count; i++) {
		const struct configuration_change *change = &diff->changes[i];

		g_string_append_printf(text, "%s:", kind_names[change->kind]);
		if (change->service)
			g_string_append_printf(text, " %s", change->service);
		if (change->name)
			g_string_append_printf(text, " %s", change->name);
		if (change->detail)
			g_string_append_printf(text, ", %s", change->detail);
		if (change->breaks_flows)
			g_string_append(text, ", breaks open flows");
		g_string_append_c(text, '\n');
	}
	if (diff->change_count == 0)
		g_string_append(text, "no change\n");
	return g_string_free(text, FALSE);
}
