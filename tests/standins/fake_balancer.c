/*
 * Balancer without peers for tests of the stand-ins: reads the settings and
 * the first configuration, and forwards each packet by the hash of its flow.
 * Built with FAKE_FAULTY it forwards each 97th packet to any host of any
 * service, so that tests see whether the stand-in world notices.
 */

#include <arpa/inet.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "configuration/settings.h"
#include "edge/edge.h"
#include "packet/packet.h"
#include "standins/scenario/channel.h"

struct fake {
	struct settings *settings;
	struct configuration *configuration;
	struct edge *edge;
	GMainLoop *loop;
};

#ifdef FAKE_FAULTY
static const bool is_faulty = true;
#else
static const bool is_faulty;
#endif

#define FAULT_PERIOD 97

static const struct host *host_choose(const struct fake *fake,
				      const struct flow_key *key)
{
	const struct configuration *configuration = fake->configuration;
	const struct service *service =
		configuration_find_service(configuration, key);
	uint64_t hash = flow_key_hash(key, fake->settings->flow_hash_seed);
	static unsigned int packets;

	packets++;
	if (is_faulty && packets % FAULT_PERIOD == 0) {
		hash += packets / FAULT_PERIOD;
		service =
			&configuration->services[hash %
						 configuration->service_count];
	}
	if (!service)
		return NULL;
	return &service->hosts[hash % service->host_count];
}

static void on_datagram(void *context, uint8_t *data, size_t length,
			const struct sockaddr_storage *source)
{
	struct fake *fake = context;
	struct sockaddr_in address = { .sin_family = AF_INET };
	const struct host *host;
	struct packet_facts facts;

	if (packet_parse(data, length, &facts) != PACKET_OK)
		return;
	host = host_choose(fake, &facts.key);
	if (!host)
		return;
	memcpy(&address.sin_addr, host->address.bytes + 12, 4);
	address.sin_port = htons(host->port);
	edge_send(fake->edge, (struct sockaddr *)&address, sizeof(address),
		  data, length);
}

static void part_fetch(JsonObject *parts, const char *name, JsonNode *digest,
		       gpointer data)
{
	void **arguments = data;
	const struct fake *fake = arguments[0];
	g_autofree char *url = g_strdup_printf(
		"%s/v1/parts/%s?digest=%s", fake->settings->platform_url, name,
		json_node_get_string(digest));
	char *text = channel_http(url, NULL, NULL, NULL);

	if (text)
		g_hash_table_insert(arguments[1], g_strdup(name),
				    g_bytes_new_take(text, strlen(text)));
}

static bool configuration_fetch(struct fake *fake, struct error *error)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	void *arguments[] = { fake, parts };
	g_autofree char *url = g_strdup_printf("%s/v1/index?after=0&wait_ms=0",
					       fake->settings->platform_url);
	g_autofree char *text = channel_http(url, NULL, NULL, error);
	JsonObject *index = text ? channel_parse(text, error) : NULL;

	if (index) {
		json_object_foreach_member(
			json_object_get_object_member(index, "parts"),
			part_fetch, arguments);
		fake->configuration = configuration_create(
			(uint64_t)json_object_get_int_member(index, "revision"),
			parts, error);
		json_object_unref(index);
	}
	g_hash_table_destroy(parts);
	return fake->configuration != NULL;
}

static void on_admin(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	const struct fake *fake = data;
	g_autofree char *text =
		g_strdup_printf("received %" G_GUINT64_FORMAT "\n",
				edge_counters(fake->edge)->received);

	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

static gboolean on_signal(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_CONTINUE;
}

static void fake_run(struct fake *fake)
{
	SoupServer *admin = soup_server_new(NULL, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		fake->settings->admin_address, fake->settings->admin_port);

	soup_server_add_handler(admin, NULL, on_admin, fake, NULL);
	soup_server_listen(admin, address, 0, NULL);
	fake->loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_signal, fake->loop);
	g_main_loop_run(fake->loop);
	g_main_loop_unref(fake->loop);
	g_object_unref(address);
	g_object_unref(admin);
}

int main(int argc, char **argv)
{
	struct error error = { 0 };
	struct fake fake = { 0 };
	struct edge_options options = { .on_datagram = on_datagram,
					.context = &fake };

	if (argc == 3)
		fake.settings = settings_load(argv[2], &error);
	if (!fake.settings || !configuration_fetch(&fake, &error))
		goto failed;
	options.address = fake.settings->data_address;
	options.port = fake.settings->data_port;
	fake.edge = edge_create(&options, &error);
	if (!fake.edge)
		goto failed;
	fake_run(&fake);
	edge_destroy(fake.edge);
	configuration_unref(fake.configuration);
	settings_destroy(fake.settings);
	return 0;

failed:
	fprintf(stderr, "fake_balancer: %s\n", error.detail);
	return 1;
}
