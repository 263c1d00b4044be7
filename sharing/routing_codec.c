#include "sharing/routing_codec.h"

#include <string.h>
#include <xxhash.h>

#include "sharing/byte_codec.h"
#include "sharing/field_codec.h"

/* The first record: version, idle timeout, version of the base, digest. */
#define HEADER_FIELDS 4
/* A rule: address, port, targets; without targets, the rule is removed. */
#define RULE_FIELDS 3
#define REMOVAL_FIELDS 2
/* A target: length of the name, the name, the weight. */
#define WEIGHT_BYTES 4

static GByteArray *targets_encode(const struct route_rule *rule)
{
	GByteArray *bytes = g_byte_array_new();

	for (uint32_t i = 0; i < rule->target_count; i++) {
		const struct route_target *target = &rule->targets[i];
		size_t length = strlen(target->service);

		bytes_put(bytes, length, 1);
		g_byte_array_append(bytes, (const guint8 *)target->service,
				    (guint)length);
		bytes_put(bytes, target->weight, WEIGHT_BYTES);
	}
	return bytes;
}

static GByteArray *rule_encode(const struct route_rule *rule, bool is_removed)
{
	GByteArray *bytes = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, bytes,
			  is_removed ? REMOVAL_FIELDS : RULE_FIELDS);
	field_write_bytes(&writer, rule->address.bytes,
			  sizeof(rule->address.bytes));
	field_write_uint(&writer, rule->port);
	if (!is_removed)
		field_write_byte_array(&writer, targets_encode(rule));
	return bytes;
}

/* Both rule lists are sorted, so one pass finds the differences. */
static void changes_encode(const struct routing *routing,
			   const struct routing *base, GByteArray *bytes)
{
	size_t base_count = base ? base->rule_count : 0;
	size_t old = 0, new = 0;

	while (old < base_count || new < routing->rule_count) {
		int order = 1;

		if (new == routing->rule_count)
			order = -1;
		else if (old < base_count)
			order = route_rule_compare(&base->rules[old],
						   &routing->rules[new]);
		if (order < 0)
			record_put(bytes, rule_encode(&base->rules[old], true));
		else if (order > 0 || !route_rule_equal(&base->rules[old],
							&routing->rules[new]))
			record_put(bytes,
				   rule_encode(&routing->rules[new], false));
		old += order <= 0;
		new += order >= 0;
	}
}

uint64_t routing_digest(const struct routing *routing)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t digest;

	changes_encode(routing, NULL, bytes);
	/* Integer fields are limited to 63 bits. */
	digest = XXH3_64bits(bytes->data, bytes->len) >> 1;
	g_byte_array_unref(bytes);
	return digest;
}

GByteArray *routing_encode(const struct routing *routing, uint64_t digest,
			   const struct routing *base)
{
	GByteArray *bytes = g_byte_array_new();
	GByteArray *header = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, header, HEADER_FIELDS);
	field_write_uint(&writer, routing->version);
	field_write_uint(&writer, routing->idle_timeout_ms);
	field_write_uint(&writer, base ? base->version : 0);
	field_write_uint(&writer, digest);
	record_put(bytes, header);
	changes_encode(routing, base, bytes);
	return bytes;
}

static bool target_decode(const uint8_t **data, const uint8_t *end,
			  struct route_target *target)
{
	size_t length = bytes_get(data, 1);

	if (length == 0 || length > NAME_BYTES_MAX ||
	    (size_t)(end - *data) < length + WEIGHT_BYTES ||
	    memchr(*data, '\0', length))
		return false;
	memcpy(target->service, *data, length);
	*data += length;
	target->weight = (uint32_t)bytes_get(data, WEIGHT_BYTES);
	return true;
}

static bool targets_decode(const uint8_t *data, size_t length,
			   struct route_rule *rule)
{
	const uint8_t *end = length > 0 ? data + length : data;

	while (data < end) {
		if (rule->target_count == ROUTE_TARGETS_MAX ||
		    !target_decode(&data, end,
				   &rule->targets[rule->target_count]))
			return false;
		rule->target_count++;
	}
	return true;
}

/* A change of one rule. */
struct rule_change {
	struct route_rule rule;
	bool is_removed;
};

static bool change_decode(const uint8_t *data, size_t length,
			  struct rule_change *change)
{
	struct route_rule *rule = &change->rule;
	const uint8_t *targets = NULL;
	struct array_reader reader;
	const uint8_t *address;
	size_t address_bytes;
	size_t targets_bytes = 0;

	memset(change, 0, sizeof(*change));
	if (!array_reader_init(&reader, data, length))
		return false;
	change->is_removed = reader.count == REMOVAL_FIELDS;
	address = field_read_bytes(&reader, &address_bytes);
	rule->port = (uint16_t)field_read_uint(&reader, UINT16_MAX);
	if (!change->is_removed)
		targets = field_read_bytes(&reader, &targets_bytes);
	if (!array_reader_is_done(&reader) ||
	    address_bytes != sizeof(rule->address.bytes))
		return false;
	memcpy(rule->address.bytes, address, address_bytes);
	return targets_decode(targets, targets_bytes, rule);
}

/* Appends the rules of @base, from *@next on, that precede @rule. */
static void rules_copy(const struct routing *base, size_t *next,
		       const struct route_rule *rule, GArray *rules)
{
	while (base && *next < base->rule_count &&
	       (!rule || route_rule_compare(&base->rules[*next], rule) < 0)) {
		g_array_append_val(rules, base->rules[*next]);
		(*next)++;
	}
}

static bool changes_apply(const uint8_t *data, const uint8_t *end,
			  const struct routing *base, GArray *rules)
{
	size_t next = 0;

	while (data < end) {
		struct rule_change change;
		const uint8_t *record;
		size_t length;

		if (rules->len >= ROUTES_MAX ||
		    !record_get(&data, end, &record, &length) ||
		    !change_decode(record, length, &change))
			return false;
		rules_copy(base, &next, &change.rule, rules);
		if (base && next < base->rule_count &&
		    route_rule_compare(&base->rules[next], &change.rule) == 0)
			next++;
		if (!change.is_removed)
			g_array_append_val(rules, change.rule);
	}
	rules_copy(base, &next, NULL, rules);
	return rules->len <= ROUTES_MAX;
}

struct routing_header {
	uint64_t version;
	uint32_t idle_timeout_ms;
	uint64_t base_version; /* 0 if complete */
	uint64_t digest;
};

static bool header_decode(const uint8_t **data, const uint8_t *end,
			  struct routing_header *header)
{
	struct array_reader reader;
	const uint8_t *record;
	size_t length;

	if (!record_get(data, end, &record, &length) ||
	    !array_reader_init(&reader, record, length))
		return false;
	header->version = field_read_uint(&reader, G_MAXINT64);
	header->idle_timeout_ms =
		(uint32_t)field_read_uint(&reader, UINT32_MAX);
	header->base_version = field_read_uint(&reader, G_MAXINT64);
	header->digest = field_read_uint(&reader, G_MAXINT64);
	return array_reader_is_done(&reader);
}

struct routing *routing_decode(const uint8_t *data, size_t length,
			       const struct routing *base)
{
	const uint8_t *end = data + length;
	struct routing_header header;
	struct routing *routing;
	GArray *rules;
	guint count;

	if (length > ROUTING_BYTES_MAX || !header_decode(&data, end, &header))
		return NULL;
	if (header.base_version == 0)
		base = NULL;
	else if (!base || base->version != header.base_version)
		return NULL;
	rules = g_array_new(FALSE, FALSE, sizeof(struct route_rule));
	if (!changes_apply(data, end, base, rules)) {
		g_array_unref(rules);
		return NULL;
	}
	count = rules->len;
	routing = routing_create(
		header.version, header.idle_timeout_ms,
		(struct route_rule *)g_array_free(rules, FALSE), count);
	if (routing_digest(routing) == header.digest)
		return routing;
	routing_unref(routing);
	return NULL;
}
