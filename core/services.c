#include <string.h>
#include <xxhash.h>

#include "core/core_state.h"

struct service_state *service_state_find(const struct core *core, uint32_t id)
{
	return g_hash_table_lookup(core->services, GUINT_TO_POINTER(id));
}

void service_state_free(void *data)
{
	struct service_state *service = data;

	g_free(service->buckets);
	g_free(service->vetoes);
	g_free(service->hosts);
	if (service->acknowledged)
		g_array_free(service->acknowledged, TRUE);
	g_free(service);
}

static uint64_t address_hash(const struct ip_address *address, uint16_t port,
			     uint8_t protocol)
{
	uint64_t words[2];

	memcpy(words, address->bytes, sizeof(words));
	words[0] ^= ((uint64_t)port << 8) + protocol;
	words[1] ^= words[0] * UINT64_C(0x9e3779b97f4a7c15);
	words[1] ^= words[1] >> 29;
	words[1] *= UINT64_C(0xbf58476d1ce4e5b9);
	return words[1] ^ (words[1] >> 32);
}

static struct address_binding *binding_slot(struct address_binding *bindings,
					    size_t slots,
					    const struct ip_address *address,
					    uint16_t port, uint8_t protocol)
{
	size_t slot = address_hash(address, port, protocol) & (slots - 1);

	for (;; slot = (slot + 1) & (slots - 1)) {
		struct address_binding *binding = &bindings[slot];

		if (!binding->service ||
		    (binding->address.port == port &&
		     binding->address.protocol == protocol &&
		     memcmp(binding->address.address.bytes, address->bytes,
			    sizeof(address->bytes)) == 0))
			return binding;
	}
}

const struct address_binding *binding_find(const struct core *core,
					   const struct flow_key *key)
{
	const struct address_binding *binding;

	if (!core->bindings)
		return NULL;
	binding = binding_slot(core->bindings, core->binding_slots,
			       &key->service, key->service_port, key->protocol);
	return binding->service ? binding : NULL;
}

bool binding_is_quarantined(const struct core *core,
			    const struct address_binding *binding)
{
	return binding->since_revision > binding->service->committed_revision &&
	       core_has_rule(core, CORE_RULE_QUARANTINE);
}

static void binding_add(struct core *core, struct address_binding *bindings,
			size_t slots, struct service_state *service,
			const struct service_address *address, bool is_first)
{
	struct address_binding *binding =
		binding_slot(bindings, slots, &address->address, address->port,
			     address->protocol);
	const struct address_binding *old = NULL;

	if (core->bindings)
		old = binding_slot(core->bindings, core->binding_slots,
				   &address->address, address->port,
				   address->protocol);
	binding->address = *address;
	binding->service = service;
	binding->since_revision = is_first ? 0 : core->configuration->revision;
	/* Names of services are compared by id: the old state may be freed. */
	if (old && old->service && old->service->id == service->id)
		binding->since_revision = old->since_revision;
	service->address_revision =
		MAX(service->address_revision, binding->since_revision);
}

static void bindings_build(struct core *core, bool is_first)
{
	const struct configuration *configuration = core->configuration;
	struct address_binding *bindings;
	size_t count = 0;
	size_t slots = 16;

	for (size_t i = 0; i < configuration->service_count; i++)
		count += configuration->services[i].address_count;
	while (slots < 4 * count)
		slots *= 2;
	bindings = g_new0(struct address_binding, slots);
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		for (size_t j = 0; j < service->address_count; j++)
			binding_add(core, bindings, slots,
				    service_state_find(core, service->id),
				    &service->addresses[j], is_first);
	}
	g_free(core->bindings);
	core->bindings = bindings;
	core->binding_slots = slots;
}

static struct team *team_get(struct core *core, const char *name)
{
	struct team *team = g_hash_table_lookup(core->teams, name);

	if (!team) {
		team = g_new0(struct team, 1);
		g_hash_table_insert(core->teams, g_strdup(name), team);
	}
	return team;
}

static void service_apply(struct core *core, const struct service *service)
{
	struct service_state *state = service_state_find(core, service->id);

	if (!state) {
		state = g_new0(struct service_state, 1);
		state->id = service->id;
		state->acknowledged =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(core->services,
				    GUINT_TO_POINTER(service->id), state);
		if (core->view)
			state->coordinator_id =
				coordinator_find(core->view, service->id);
	}
	state->service = service;
	state->closing_interval_ns = 0;
	state->team = team_get(core, service->team);
	state->host_count = service->host_count;
	g_free(state->hosts);
	state->hosts = g_new0(struct host_entry *, service->host_count + 1);
	for (size_t i = 0; i < service->host_count; i++)
		state->hosts[i] = host_state_find(core, service->hosts[i].id);
}

/* A team may open what its services may open together. */
static void teams_apply(struct core *core)
{
	const struct configuration *configuration = core->configuration;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->teams);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct team *)value)->limit = 0;
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		team_get(core, service->team)->limit +=
			service->profile->new_flows_per_second;
	}
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		if (service->profile->new_flows_per_second == 0)
			team_get(core, service->team)->limit = 0;
	}
}

void services_apply(struct core *core, bool is_first)
{
	const struct configuration *configuration = core->configuration;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((struct service_state *)value)->service = NULL;
	for (size_t i = 0; i < configuration->service_count; i++)
		service_apply(core, &configuration->services[i]);
	teams_apply(core);
	bindings_build(core, is_first);
	g_hash_table_iter_init(&iterator, core->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (!((struct service_state *)value)->service)
			g_hash_table_iter_remove(&iterator);
	}
}
