#include "configuration/configuration.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "configuration/parts.h"

#define SERVICE_PREFIX "service/"

/** What the hash of a service address covers. */
struct address_key {
	uint8_t address[16];
	uint16_t port;
	uint8_t protocol;
	uint8_t padding; /* always 0 */
};

bool configuration_part_name_is_valid(const char *part_name)
{
	return strcmp(part_name, "profiles") == 0 ||
	       (g_str_has_prefix(part_name, SERVICE_PREFIX) &&
		name_is_valid(part_name + strlen(SERVICE_PREFIX)));
}

uint64_t configuration_part_digest(GBytes *part)
{
	size_t length;
	const void *data = g_bytes_get_data(part, &length);

	return XXH3_64bits(data, length);
}

static GList *sorted_names(GHashTable *parts)
{
	return g_list_sort(g_hash_table_get_keys(parts), (GCompareFunc)strcmp);
}

GHashTable *configuration_part_digests(GHashTable *parts)
{
	GHashTable *digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iterator;
	gpointer name;
	gpointer part;

	g_hash_table_iter_init(&iterator, parts);
	while (g_hash_table_iter_next(&iterator, &name, &part)) {
		uint64_t digest = configuration_part_digest(part);

		g_hash_table_insert(digests, g_strdup(name),
				    g_memdup2(&digest, sizeof(digest)));
	}
	return digests;
}

uint64_t configuration_digest_of_digests(GHashTable *digests)
{
	GList *names = sorted_names(digests);
	GString *lines = g_string_new(NULL);
	uint64_t digest;

	for (GList *name = names; name; name = name->next)
		g_string_append_printf(
			lines, "%s=%016" PRIx64 "\n", (const char *)name->data,
			*(uint64_t *)g_hash_table_lookup(digests, name->data));
	digest = XXH3_64bits(lines->str, lines->len);
	g_string_free(lines, TRUE);
	g_list_free(names);
	return digest;
}

uint64_t configuration_index_digest(GHashTable *parts)
{
	GHashTable *digests = configuration_part_digests(parts);
	uint64_t digest = configuration_digest_of_digests(digests);

	g_hash_table_unref(digests);
	return digest;
}

static bool read_profiles(struct configuration *configuration,
			  GHashTable *labels, struct error *error)
{
	struct profiles_document document = { 0 };
	GBytes *part = g_hash_table_lookup(configuration->parts, "profiles");

	if (!part)
		return error_set(error, ERROR_CONFIGURATION,
				 "profiles: part is missing");
	if (!profiles_document_read(part_label(labels, "profiles"), part,
				    &document, error)) {
		profiles_document_clear(&document);
		return false;
	}
	configuration->profiles = document.profiles;
	configuration->profile_count = document.profile_count;
	return true;
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

/** Fails with the names of the profiles that there are. */
static bool fail_profile(const struct configuration *configuration,
			 const char *source, const char *name,
			 struct error *error)
{
	GString *names = g_string_new(NULL);

	for (size_t i = 0; i < configuration->profile_count; i++)
		g_string_append_printf(names, "%s%s", i > 0 ? ", " : "",
				       configuration->profiles[i].name);
	error_set(error, ERROR_CONFIGURATION,
		  "%s: $.profile: \"%s\" is not known, allowed %s", source,
		  name, names->str);
	g_string_free(names, TRUE);
	return false;
}

/** Copies the service of a part that @previous has too; false if it has not. */
static bool copy_service(struct configuration *configuration,
			 const struct configuration *previous,
			 const char *part_name)
{
	GBytes *part = g_hash_table_lookup(configuration->parts, part_name);
	GBytes *known =
		previous ? g_hash_table_lookup(previous->parts, part_name)
			 : NULL;
	const struct service *service;
	const struct profile *profile;
	struct service *copy;

	if (!known || !g_bytes_equal(part, known))
		return false;
	service = configuration_service_by_id(
		previous,
		configuration_id_of(part_name + strlen(SERVICE_PREFIX)));
	profile = service ? find_profile(configuration, service->profile->name)
			  : NULL;
	if (!profile)
		return false;
	copy = &configuration->services[configuration->service_count++];
	*copy = *service;
	copy->profile = profile;
	copy->addresses =
		g_memdup2(service->addresses,
			  service->address_count * sizeof(*copy->addresses));
	copy->hosts = g_memdup2(service->hosts,
				service->host_count * sizeof(*copy->hosts));
	return true;
}

static bool read_service(struct configuration *configuration,
			 const char *part_name, GHashTable *labels,
			 struct error *error)
{
	const char *source = part_label(labels, part_name);
	const char *name = part_name + strlen(SERVICE_PREFIX);
	struct service_document document = { 0 };
	GBytes *part = g_hash_table_lookup(configuration->parts, part_name);
	bool is_valid = service_document_read(source, part, &document, error);

	if (is_valid && strcmp(document.service.name, name) != 0)
		is_valid = error_set(error, ERROR_CONFIGURATION,
				     "%s: $.name: \"%s\" differs from the "
				     "part's name, allowed \"%s\"",
				     source, document.service.name, name);
	if (is_valid) {
		document.service.profile =
			find_profile(configuration, document.profile_name);
		if (!document.service.profile)
			is_valid = fail_profile(configuration, source,
						document.profile_name, error);
	}
	if (!is_valid) {
		service_document_clear(&document);
		return false;
	}
	configuration->services[configuration->service_count++] =
		document.service;
	return true;
}

static bool read_parts(struct configuration *configuration,
		       const struct configuration *previous, GHashTable *labels,
		       struct error *error)
{
	GList *names = sorted_names(configuration->parts);
	char text[NAME_TEXT_BYTES];
	bool is_valid = read_profiles(configuration, labels, error);

	configuration->services = g_new0(struct service, g_list_length(names));
	for (GList *name = names; name && is_valid; name = name->next) {
		if (strcmp(name->data, "profiles") == 0)
			continue;
		if (!configuration_part_name_is_valid(name->data))
			is_valid = error_set(error, ERROR_CONFIGURATION,
					     "%s: unknown part, allowed "
					     "profiles and service/NAME",
					     name_print(name->data, text));
		else if (!copy_service(configuration, previous, name->data))
			is_valid = read_service(configuration, name->data,
						labels, error);
	}
	g_list_free(names);
	return is_valid;
}

static int compare_hosts(const void *a, const void *b)
{
	uint32_t first = ((const struct host *)a)->id;
	uint32_t second = ((const struct host *)b)->id;

	return (first > second) - (first < second);
}

static int compare_services(const void *a, const void *b)
{
	uint32_t first = ((const struct service *)a)->id;
	uint32_t second = ((const struct service *)b)->id;

	return (first > second) - (first < second);
}

static bool sort_by_id(struct configuration *configuration, GHashTable *labels,
		       struct error *error)
{
	struct service *services = configuration->services;

	qsort(services, configuration->service_count, sizeof(*services),
	      compare_services);
	for (size_t i = 0; i < configuration->service_count; i++) {
		char *part_name;

		qsort(services[i].hosts, services[i].host_count,
		      sizeof(struct host), compare_hosts);
		if (i == 0 || services[i].id != services[i - 1].id)
			continue;
		part_name = g_strconcat(SERVICE_PREFIX, services[i].name, NULL);
		error_set(error, ERROR_CONFIGURATION,
			  "%s: $.name: \"%s\" has the same id %08x as service "
			  "\"%s\", allowed another name",
			  part_label(labels, part_name), services[i].name,
			  services[i].id, services[i - 1].name);
		g_free(part_name);
		return false;
	}
	return true;
}

static uint64_t address_hash(const struct ip_address *address, uint16_t port,
			     uint8_t protocol)
{
	struct address_key key = { .port = port, .protocol = protocol };

	memcpy(key.address, address->bytes, sizeof(key.address));
	return XXH3_64bits(&key, sizeof(key));
}

static void index_addresses(struct configuration *configuration)
{
	size_t count = 0;
	size_t slot_count = 16;

	for (size_t i = 0; i < configuration->service_count; i++)
		count += configuration->services[i].address_count;
	/* At most half full, so that a probe sequence stays short. */
	while (slot_count < 2 * count)
		slot_count *= 2;
	configuration->address_slot_mask = slot_count - 1;
	configuration->address_slots = g_new0(struct address_slot, slot_count);
	for (size_t i = 0; i < configuration->service_count; i++) {
		const struct service *service = &configuration->services[i];

		for (size_t j = 0; j < service->address_count; j++) {
			const struct service_address *address =
				&service->addresses[j];
			size_t at = address_hash(&address->address,
						 address->port,
						 address->protocol);

			at &= configuration->address_slot_mask;
			while (configuration->address_slots[at].address)
				at = (at + 1) &
				     configuration->address_slot_mask;
			configuration->address_slots[at].address = address;
			configuration->address_slots[at].service = service;
		}
	}
}

static GHashTable *copy_parts(GHashTable *parts)
{
	GHashTable *copy = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	GHashTableIter iterator;
	gpointer name;
	gpointer part;

	g_hash_table_iter_init(&iterator, parts);
	while (g_hash_table_iter_next(&iterator, &name, &part))
		g_hash_table_insert(copy, g_strdup(name), g_bytes_ref(part));
	return copy;
}

static struct configuration *create(const struct configuration *previous,
				    uint64_t revision, GHashTable *parts,
				    GHashTable *labels, struct error *error)
{
	struct configuration *configuration = g_new0(struct configuration, 1);

	configuration->revision = revision;
	configuration->references = 1;
	configuration->parts = copy_parts(parts);
	/* Host indices in errors are those of the part, so sorting is last. */
	if (!read_parts(configuration, previous, labels, error) ||
	    !configuration_check(configuration, labels, error) ||
	    !sort_by_id(configuration, labels, error)) {
		configuration_unref(configuration);
		return NULL;
	}
	configuration->digest = configuration_index_digest(parts);
	index_addresses(configuration);
	return configuration;
}

struct configuration *configuration_create_labelled(uint64_t revision,
						    GHashTable *parts,
						    GHashTable *labels,
						    struct error *error)
{
	return create(NULL, revision, parts, labels, error);
}

struct configuration *
configuration_create_after(const struct configuration *previous,
			   uint64_t revision, GHashTable *parts,
			   struct error *error)
{
	struct configuration *configuration =
		create(previous, revision, parts, NULL, NULL);

	/* Copied hosts are sorted, so an error could have the wrong index. */
	return configuration ? configuration
			     : create(NULL, revision, parts, NULL, error);
}

struct configuration *configuration_create(uint64_t revision, GHashTable *parts,
					   struct error *error)
{
	return create(NULL, revision, parts, NULL, error);
}

struct configuration *configuration_ref(struct configuration *configuration)
{
	g_atomic_int_inc(&configuration->references);
	return configuration;
}

void configuration_unref(struct configuration *configuration)
{
	if (!configuration ||
	    !g_atomic_int_dec_and_test(&configuration->references))
		return;
	for (size_t i = 0; i < configuration->service_count; i++) {
		g_free(configuration->services[i].addresses);
		g_free(configuration->services[i].hosts);
	}
	g_free(configuration->services);
	g_free(configuration->profiles);
	g_free(configuration->address_slots);
	g_hash_table_unref(configuration->parts);
	g_free(configuration);
}

const struct service *
configuration_find_service(const struct configuration *configuration,
			   const struct flow_key *key)
{
	size_t at =
		address_hash(&key->service, key->service_port, key->protocol);

	for (;; at++) {
		const struct address_slot *slot;

		at &= configuration->address_slot_mask;
		slot = &configuration->address_slots[at];
		if (!slot->address)
			return NULL;
		if (slot->address->port == key->service_port &&
		    slot->address->protocol == key->protocol &&
		    memcmp(&slot->address->address, &key->service,
			   sizeof(key->service)) == 0)
			return slot->service;
	}
}

const struct service *
configuration_service_by_id(const struct configuration *configuration,
			    uint32_t service_id)
{
	struct service key = { .id = service_id };

	return bsearch(&key, configuration->services,
		       configuration->service_count, sizeof(key),
		       compare_services);
}

const struct service *
configuration_service_by_name(const struct configuration *configuration,
			      const char *name)
{
	for (size_t i = 0; i < configuration->service_count; i++) {
		if (strcmp(configuration->services[i].name, name) == 0)
			return &configuration->services[i];
	}
	return NULL;
}

const struct host *service_host_by_id(const struct service *service,
				      uint32_t host_id)
{
	struct host key = { .id = host_id };

	return bsearch(&key, service->hosts, service->host_count, sizeof(key),
		       compare_hosts);
}
