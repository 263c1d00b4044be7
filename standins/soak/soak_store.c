#include "standins/soak/soak_store.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <libsoup/soup.h>
#include <string.h>

#define RESPONSE_DELAY_MS 300
#define LOSS_PROBABILITY 0.35

struct item {
	char *key;
	char *value; /* NULL once deleted */
	uint64_t revision;
};

/* What a write replaced, in order to undo it. */
struct undo {
	int64_t written_us;
	char *key;
	struct item *item; /* NULL if there was none */
};

/* A watch request without events so far. */
struct watch {
	struct soak_store *store;
	SoupServerMessage *message;
	uint64_t after;
	guint timer;
};

struct soak_store {
	SoupServer *server;
	GHashTable *items; /* key to struct item, including deleted ones */
	GPtrArray *watches;
	GPtrArray *unanswered; /* messages that never get a response */
	GRand *random;
	GQueue undos; /* struct undo, oldest first */
	uint64_t era;
	uint64_t revision;
	uint64_t compacted_revision; /* the history before it is discarded */
	enum store_fault fault;
	uint32_t address; /* of the first balancer's endpoint */
	bool *is_refused; /* by index of the balancer */
};

static void item_free(void *data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void undo_free(void *data)
{
	struct undo *undo = data;

	if (undo->item)
		item_free(undo->item);
	g_free(undo->key);
	g_free(undo);
}

static void item_print(const struct item *item, GString *text)
{
	char *encoded;

	if (!item->value) {
		g_string_append_printf(text,
				       "{\"key\":\"%s\",\"revision\":%" PRIu64
				       ",\"deleted\":true},",
				       item->key, item->revision);
		return;
	}
	encoded = g_base64_encode((const guchar *)item->value,
				  strlen(item->value));
	g_string_append_printf(text,
			       "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
			       "%" PRIu64 ",\"created\":1,\"lease\":0},",
			       item->key, encoded, item->revision);
	g_free(encoded);
}

static int revision_compare(gconstpointer left, gconstpointer right)
{
	const struct item *a = *(struct item *const *)left;
	const struct item *b = *(struct item *const *)right;

	return a->revision < b->revision ? -1 : a->revision > b->revision;
}

static GPtrArray *items_after(const struct soak_store *store,
			      const char *prefix, uint64_t after,
			      bool with_deleted)
{
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, store->items);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const struct item *item = value;

		if (g_str_has_prefix(item->key, prefix) &&
		    item->revision > after && (item->value || with_deleted))
			g_ptr_array_add(items, value);
	}
	g_ptr_array_sort(items, revision_compare);
	return items;
}

/* Each response has the era at the time when it is sent. */
static void status_set(const struct soak_store *store,
		       SoupServerMessage *message, guint status)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	char *era = g_strdup_printf("%" PRIu64, store->era);

	soup_message_headers_replace(headers, "Store-Era", era);
	soup_server_message_set_status(message, status, NULL);
	g_free(era);
}

static void response_set(const struct soak_store *store,
			 SoupServerMessage *message, const char *list_name,
			 GPtrArray *items)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"%s\":[", list_name);
	for (guint i = 0; i < items->len; i++)
		item_print(g_ptr_array_index(items, i), text);
	if (text->str[text->len - 1] == ',')
		g_string_truncate(text, text->len - 1);
	g_string_append_printf(
		text, "],\"hasMore\":false,\"currentRev\":%" PRIu64 "}",
		store->revision);
	status_set(store, message, 200);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text->str,
					 text->len);
	g_string_free(text, TRUE);
	g_ptr_array_unref(items);
}

static void watch_free(void *data)
{
	struct watch *watch = data;

	if (watch->timer)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch);
}

static void watch_end(struct watch *watch)
{
	struct soak_store *store = watch->store;

	response_set(store, watch->message, "events",
		     items_after(store, "", watch->after, true));
	soup_server_message_unpause(watch->message);
	g_ptr_array_remove_fast(store->watches, watch);
}

static gboolean watch_timeout(gpointer data)
{
	struct watch *watch = data;

	watch->timer = 0;
	watch_end(watch);
	return G_SOURCE_REMOVE;
}

static uint64_t query_number(GHashTable *query, const char *name)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void watch_begin(struct soak_store *store, SoupServerMessage *message,
			uint64_t after, uint32_t wait_ms)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->store = store;
	watch->message = g_object_ref(message);
	watch->after = after;
	watch->timer = g_timeout_add(wait_ms, watch_timeout, watch);
	soup_server_message_pause(message);
	g_ptr_array_add(store->watches, watch);
}

static void response_withhold(struct soak_store *store,
			      SoupServerMessage *message)
{
	soup_server_message_pause(message);
	g_ptr_array_add(store->unanswered, g_object_ref(message));
}

static gboolean delayed_response_send(gpointer data)
{
	soup_server_message_unpause(data);
	g_object_unref(data);
	return G_SOURCE_REMOVE;
}

/* Index of the balancer that sent the request. */
static uint32_t request_sender(const struct soak_store *store,
			       SoupServerMessage *message)
{
	GSocketAddress *local = soup_server_message_get_local_address(message);
	GInetAddress *address =
		g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(local));
	uint32_t in;

	memcpy(&in, g_inet_address_to_bytes(address), sizeof(in));
	return ntohl(in) - store->address;
}

static bool request_is_refused(const struct soak_store *store,
			       SoupServerMessage *message)
{
	return store->is_refused[request_sender(store, message)];
}

static void request_handle(SoupServer *server, SoupServerMessage *message,
			   const char *path, GHashTable *query, gpointer data)
{
	struct soak_store *store = data;
	bool is_watch = strcmp(path, "/api/kv-watch") == 0;
	const char *prefix = g_hash_table_lookup(query, "prefix");
	uint64_t after = query_number(query, "after");

	(void)server;
	if (store->fault == STORE_UNAVAILABLE ||
	    request_is_refused(store, message)) {
		status_set(store, message, 503);
	} else if (store->fault == STORE_SILENT ||
		   (store->fault == STORE_LOSSY &&
		    g_rand_double(store->random) < LOSS_PROBABILITY)) {
		response_withhold(store, message);
	} else if (is_watch && (after < store->compacted_revision ||
				after > store->revision)) {
		status_set(store, message, 410);
	} else if (is_watch && after >= store->revision) {
		watch_begin(store, message, after,
			    (uint32_t)query_number(query, "waitMs"));
	} else {
		response_set(store, message, is_watch ? "events" : "items",
			     items_after(store, prefix ? prefix : "",
					 is_watch ? after : 0, is_watch));
		if (store->fault != STORE_SLOW)
			return;
		soup_server_message_pause(message);
		g_timeout_add(RESPONSE_DELAY_MS, delayed_response_send,
			      g_object_ref(message));
	}
}

static void listen_on(struct soak_store *store, uint32_t address, uint16_t port)
{
	struct in_addr in = { .s_addr = htonl(address) };
	GSocketAddress *endpoint =
		g_inet_socket_address_new_from_string(inet_ntoa(in), port);
	GError *error = NULL;

	if (!soup_server_listen(store->server, endpoint, 0, &error))
		g_error("store: %s", error->message);
	g_object_unref(endpoint);
}

struct soak_store *soak_store_create(uint32_t address, uint32_t count,
				     uint16_t port, uint32_t seed)
{
	struct soak_store *store = g_new0(struct soak_store, 1);

	store->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	store->watches = g_ptr_array_new_with_free_func(watch_free);
	store->unanswered = g_ptr_array_new_with_free_func(g_object_unref);
	store->random = g_rand_new_with_seed(seed);
	g_queue_init(&store->undos);
	store->era = 1;
	store->revision = 1;
	store->address = address;
	store->is_refused = g_new0(bool, count);
	store->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(store->server, NULL, request_handle, store,
				NULL);
	for (uint32_t i = 0; i < count; i++)
		listen_on(store, address + i, port);
	return store;
}

void soak_store_set_refused(struct soak_store *store, uint32_t index,
			    bool is_refused)
{
	store->is_refused[index] = is_refused;
}

bool soak_store_is_watched(const struct soak_store *store, uint32_t index)
{
	for (guint i = 0; i < store->watches->len; i++) {
		const struct watch *watch =
			g_ptr_array_index(store->watches, i);

		if (request_sender(store, watch->message) == index)
			return true;
	}
	return false;
}

void soak_store_destroy(struct soak_store *store)
{
	soup_server_disconnect(store->server);
	g_ptr_array_unref(store->watches);
	g_ptr_array_unref(store->unanswered);
	g_object_unref(store->server);
	g_queue_clear_full(&store->undos, undo_free);
	g_hash_table_unref(store->items);
	g_rand_free(store->random);
	g_free(store->is_refused);
	g_free(store);
}

static void watches_notify(struct soak_store *store)
{
	while (store->fault == STORE_HEALTHY && store->watches->len > 0)
		watch_end(g_ptr_array_index(store->watches, 0));
}

static bool undo_is_older(const struct undo *undo, int64_t age_us)
{
	return g_get_monotonic_time() - undo->written_us > age_us;
}

static void undo_record(struct soak_store *store, const char *key,
			struct item *replaced)
{
	struct undo *undo = g_new0(struct undo, 1);
	struct undo *oldest;

	undo->written_us = g_get_monotonic_time();
	undo->key = g_strdup(key);
	undo->item = replaced;
	g_queue_push_tail(&store->undos, undo);
	while ((oldest = g_queue_peek_head(&store->undos)) &&
	       undo_is_older(oldest, SOAK_STORE_COPY_MAX_MS * 1000))
		undo_free(g_queue_pop_head(&store->undos));
}

/* @value: NULL to delete the item. */
static void item_write(struct soak_store *store, const char *key,
		       const char *value)
{
	struct item *item = g_new0(struct item, 1);
	struct item *replaced = g_hash_table_lookup(store->items, key);

	g_hash_table_steal(store->items, key);
	undo_record(store, key, replaced);
	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->revision = ++store->revision;
	g_hash_table_insert(store->items, item->key, item);
	watches_notify(store);
}

void soak_store_put(struct soak_store *store, const char *key,
		    const char *value)
{
	item_write(store, key, value);
}

void soak_store_put_again(struct soak_store *store, const char *key,
			  const char *value)
{
	const struct item *item = g_hash_table_lookup(store->items, key);

	if (!item || g_strcmp0(item->value, value) != 0)
		item_write(store, key, value);
}

void soak_store_delete(struct soak_store *store, const char *key)
{
	const struct item *item = g_hash_table_lookup(store->items, key);

	if (item && item->value)
		item_write(store, key, NULL);
}

static void write_undo(struct soak_store *store, struct undo *undo)
{
	g_hash_table_remove(store->items, undo->key);
	if (undo->item)
		g_hash_table_insert(store->items, undo->item->key, undo->item);
	undo->item = NULL;
	store->revision--;
	undo_free(undo);
}

void soak_store_restore(struct soak_store *store, uint32_t age_ms)
{
	struct undo *newest;

	while ((newest = g_queue_peek_tail(&store->undos)) &&
	       !undo_is_older(newest, (int64_t)age_ms * 1000))
		write_undo(store, g_queue_pop_tail(&store->undos));
	store->compacted_revision =
		MIN(store->compacted_revision, store->revision);
	store->era++;
}

void soak_store_keys(const struct soak_store *store, const char *prefix,
		     void (*visit)(void *context, const char *key),
		     void *context)
{
	GPtrArray *items = items_after(store, prefix, 0, false);

	for (guint i = 0; i < items->len; i++)
		visit(context,
		      ((const struct item *)g_ptr_array_index(items, i))->key);
	g_ptr_array_unref(items);
}

void soak_store_set_fault(struct soak_store *store, enum store_fault fault)
{
	store->fault = fault;
	if (fault == STORE_HEALTHY)
		watches_notify(store);
}

enum store_fault soak_store_fault(const struct soak_store *store)
{
	return store->fault;
}

void soak_store_compact(struct soak_store *store)
{
	store->compacted_revision = store->revision;
	while (store->watches->len > 0) {
		struct watch *watch = g_ptr_array_index(store->watches, 0);

		status_set(store, watch->message, 410);
		soup_server_message_unpause(watch->message);
		g_ptr_array_remove_fast(store->watches, watch);
	}
}
