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
/* In the extended encoding, a rule has its attributes as well. */
#define EXTENDED_RULE_FIELDS 7
/*
 * After the rules of the extended encoding, a service limit: service, length
 * of the slow start, rate; with the service alone, the limit is removed.
 */
#define LIMIT_FIELDS 3
#define LIMIT_REMOVAL_FIELDS 1
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

static const unsigned int rule_fields[ROUTES_ENCODINGS] = {
	[ROUTES_PLAIN] = RULE_FIELDS,
	[ROUTES_EXTENDED] = EXTENDED_RULE_FIELDS,
};

static void attributes_write(struct field_writer *writer,
			     const struct route_rule *rule)
{
	field_write_uint(writer, rule->priority);
	field_write_uint(writer, rule->time_limit_ms);
	field_write_uint(writer, rule->target_latency_ms);
	field_write_uint(writer, rule->is_idempotent);
}

static GByteArray *rule_encode(const struct route_rule *rule, bool is_removed,
			       enum routes_encoding encoding)
{
	GByteArray *bytes = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, bytes,
			  is_removed ? REMOVAL_FIELDS : rule_fields[encoding]);
	field_write_bytes(&writer, rule->address.bytes,
			  sizeof(rule->address.bytes));
	field_write_uint(&writer, rule->port);
	if (is_removed)
		return bytes;
	field_write_byte_array(&writer, targets_encode(rule));
	if (encoding == ROUTES_EXTENDED)
		attributes_write(&writer, rule);
	return bytes;
}

/* True if the encodings of both rules are the same. */
static bool rule_is_same(const struct route_rule *a, const struct route_rule *b,
			 enum routes_encoding encoding)
{
	return route_rule_equal(a, b) &&
	       (encoding == ROUTES_PLAIN || route_rule_attributes_equal(a, b));
}

/* Both rule lists are sorted, so one pass finds the differences. */
static void rule_changes_encode(const struct routing *routing,
				enum routes_encoding encoding,
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
			record_put(bytes, rule_encode(&base->rules[old], true,
						      encoding));
		else if (order > 0 ||
			 !rule_is_same(&base->rules[old], &routing->rules[new],
				       encoding))
			record_put(bytes, rule_encode(&routing->rules[new],
						      false, encoding));
		old += order <= 0;
		new += order >= 0;
	}
}

static GByteArray *limit_encode(const struct service_limit *limit,
				bool is_removed)
{
	GByteArray *bytes = g_byte_array_new();
	struct field_writer writer;

	field_writer_init(&writer, bytes,
			  is_removed ? LIMIT_REMOVAL_FIELDS : LIMIT_FIELDS);
	field_write_text(&writer, limit->service);
	if (is_removed)
		return bytes;
	field_write_uint(&writer, limit->slow_start_s);
	field_write_uint(&writer, limit->flows_per_1000_s);
	return bytes;
}

static bool limit_is_same(const struct service_limit *a,
			  const struct service_limit *b)
{
	return a->slow_start_s == b->slow_start_s &&
	       a->flows_per_1000_s == b->flows_per_1000_s;
}

/* Like rule_changes_encode(), for the limits of services. */
static void limit_changes_encode(const struct routing *routing,
				 const struct routing *base, GByteArray *bytes)
{
	size_t base_count = base ? base->limit_count : 0;
	size_t old = 0, new = 0;

	while (old < base_count || new < routing->limit_count) {
		int order = 1;

		if (new == routing->limit_count)
			order = -1;
		else if (old < base_count)
			order = service_limit_compare(&base->limits[old],
						      &routing->limits[new]);
		if (order < 0)
			record_put(bytes,
				   limit_encode(&base->limits[old], true));
		else if (order > 0 || !limit_is_same(&base->limits[old],
						     &routing->limits[new]))
			record_put(bytes,
				   limit_encode(&routing->limits[new], false));
		old += order <= 0;
		new += order >= 0;
	}
}

static void changes_encode(const struct routing *routing,
			   enum routes_encoding encoding,
			   const struct routing *base, GByteArray *bytes)
{
	rule_changes_encode(routing, encoding, base, bytes);
	if (encoding == ROUTES_EXTENDED)
		limit_changes_encode(routing, base, bytes);
}

uint64_t routing_digest(const struct routing *routing,
			enum routes_encoding encoding)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t digest;

	changes_encode(routing, encoding, NULL, bytes);
	/* Integer fields are limited to 63 bits. */
	digest = XXH3_64bits(bytes->data, bytes->len) >> 1;
	g_byte_array_unref(bytes);
	return digest;
}

GByteArray *routing_encode(const struct routing *routing,
			   enum routes_encoding encoding, uint64_t digest,
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
	changes_encode(routing, encoding, base, bytes);
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

/* A change of one rule, or of one service limit. */
struct routing_change {
	struct route_rule rule;
	struct service_limit limit;
	bool is_limit;
	bool is_removed;
};

static void attributes_read(struct array_reader *reader,
			    struct route_rule *rule)
{
	rule->priority = (uint8_t)field_read_uint(reader, UINT8_MAX);
	rule->time_limit_ms = (uint32_t)field_read_uint(reader, UINT32_MAX);
	rule->target_latency_ms = (uint32_t)field_read_uint(reader, UINT32_MAX);
	rule->is_idempotent = field_read_uint(reader, 1) == 1;
}

static bool rule_decode(struct array_reader *reader,
			enum routes_encoding encoding,
			struct routing_change *change)
{
	struct route_rule *rule = &change->rule;
	const uint8_t *targets = NULL;
	const uint8_t *address;
	size_t address_bytes;
	size_t targets_bytes = 0;

	change->is_removed = reader->count == REMOVAL_FIELDS;
	address = field_read_bytes(reader, &address_bytes);
	rule->port = (uint16_t)field_read_uint(reader, UINT16_MAX);
	if (!change->is_removed) {
		targets = field_read_bytes(reader, &targets_bytes);
		if (encoding == ROUTES_EXTENDED)
			attributes_read(reader, rule);
	}
	if (!array_reader_is_done(reader) ||
	    address_bytes != sizeof(rule->address.bytes))
		return false;
	memcpy(rule->address.bytes, address, address_bytes);
	return targets_decode(targets, targets_bytes, rule);
}

static bool limit_decode(struct array_reader *reader,
			 struct routing_change *change)
{
	struct service_limit *limit = &change->limit;
	char *service = field_read_text(reader, NAME_BYTES_MAX);

	change->is_limit = true;
	change->is_removed = reader->count == LIMIT_REMOVAL_FIELDS;
	if (!service)
		return false;
	g_strlcpy(limit->service, service, sizeof(limit->service));
	g_free(service);
	if (!change->is_removed) {
		limit->slow_start_s =
			(uint32_t)field_read_uint(reader, UINT32_MAX);
		limit->flows_per_1000_s = (uint32_t)field_read_uint(
			reader, SERVICE_LIMIT_RATE_MAX);
	}
	return array_reader_is_done(reader);
}

static bool change_decode(const uint8_t *data, size_t length,
			  enum routes_encoding encoding,
			  struct routing_change *change)
{
	struct array_reader reader;

	memset(change, 0, sizeof(*change));
	if (!array_reader_init(&reader, data, length))
		return false;
	if (encoding == ROUTES_EXTENDED &&
	    (reader.count == LIMIT_FIELDS ||
	     reader.count == LIMIT_REMOVAL_FIELDS))
		return limit_decode(&reader, change);
	return rule_decode(&reader, encoding, change);
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

/* Like rules_copy(), for the limits of services. */
static void limits_copy(const struct routing *base, size_t *next,
			const struct service_limit *limit, GArray *limits)
{
	while (base && *next < base->limit_count &&
	       (!limit ||
		service_limit_compare(&base->limits[*next], limit) < 0)) {
		g_array_append_val(limits, base->limits[*next]);
		(*next)++;
	}
}

/* Routes that are put together from a base and the changes since then. */
struct routing_merge {
	const struct routing *base; /* or NULL */
	size_t next_rule; /* of the base */
	size_t next_limit;
	GArray *rules; /* struct route_rule */
	GArray *limits; /* struct service_limit */
};

static void rule_merge(struct routing_merge *merge,
		       const struct routing_change *change)
{
	const struct routing *base = merge->base;
	size_t *next = &merge->next_rule;

	rules_copy(base, next, &change->rule, merge->rules);
	if (base && *next < base->rule_count &&
	    route_rule_compare(&base->rules[*next], &change->rule) == 0)
		(*next)++;
	if (!change->is_removed)
		g_array_append_val(merge->rules, change->rule);
}

static void limit_merge(struct routing_merge *merge,
			const struct routing_change *change)
{
	const struct routing *base = merge->base;
	size_t *next = &merge->next_limit;

	limits_copy(base, next, &change->limit, merge->limits);
	if (base && *next < base->limit_count &&
	    service_limit_compare(&base->limits[*next], &change->limit) == 0)
		(*next)++;
	if (!change->is_removed)
		g_array_append_val(merge->limits, change->limit);
}

static bool merge_is_full(const struct routing_merge *merge,
			  const struct routing_change *change)
{
	return change->is_limit ? merge->limits->len >= SERVICE_LIMITS_MAX
				: merge->rules->len >= ROUTES_MAX;
}

static bool changes_apply(const uint8_t *data, const uint8_t *end,
			  enum routes_encoding encoding,
			  struct routing_merge *merge)
{
	while (data < end) {
		struct routing_change change;
		const uint8_t *record;
		size_t length;

		if (!record_get(&data, end, &record, &length) ||
		    !change_decode(record, length, encoding, &change) ||
		    merge_is_full(merge, &change))
			return false;
		if (change.is_limit)
			limit_merge(merge, &change);
		else
			rule_merge(merge, &change);
	}
	rules_copy(merge->base, &merge->next_rule, NULL, merge->rules);
	if (encoding == ROUTES_EXTENDED)
		limits_copy(merge->base, &merge->next_limit, NULL,
			    merge->limits);
	return merge->rules->len <= ROUTES_MAX &&
	       merge->limits->len <= SERVICE_LIMITS_MAX;
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

/* Builds the routes and frees the arrays. */
static struct routing *merge_finish(struct routing_merge *merge,
				    const struct routing_header *header)
{
	guint rule_count = merge->rules->len;
	guint limit_count = merge->limits->len;
	struct routing *routing = routing_create(
		header->version, header->idle_timeout_ms,
		(struct route_rule *)g_array_free(merge->rules, FALSE),
		rule_count);

	routing_set_limits(
		routing,
		(struct service_limit *)g_array_free(merge->limits, FALSE),
		limit_count);
	return routing;
}

struct routing *routing_decode(const uint8_t *data, size_t length,
			       enum routes_encoding encoding,
			       const struct routing *current)
{
	const uint8_t *end = data + length;
	struct routing_merge merge = { 0 };
	struct routing_header header;
	struct routing *routing;

	if (length > ROUTING_BYTES_MAX || !header_decode(&data, end, &header))
		return NULL;
	if (header.base_version != 0 &&
	    (!current || current->version != header.base_version))
		return NULL;
	if (header.base_version != 0)
		merge.base = current;
	merge.rules = g_array_new(FALSE, FALSE, sizeof(struct route_rule));
	merge.limits = g_array_new(FALSE, FALSE, sizeof(struct service_limit));
	if (!changes_apply(data, end, encoding, &merge)) {
		g_array_unref(merge.rules);
		g_array_unref(merge.limits);
		return NULL;
	}
	routing = merge_finish(&merge, &header);
	if (routing_digest(routing, encoding) != header.digest) {
		routing_unref(routing);
		return NULL;
	}
	if (encoding == ROUTES_PLAIN)
		routing_inherit_attributes(routing, current);
	return routing;
}
