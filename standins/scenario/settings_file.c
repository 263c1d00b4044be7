#include "standins/scenario/runner.h"

#define DRAIN_DEADLINE_S 10
#define EXCEPTIONS_MAX 65536

/* Where the link stand-in listens for traffic to peers. */
#define LINK_ADDRESS "127.0.4.1"

/* Ports of the relay from @from to @to. */
static JsonObject *link_add(struct runner *runner, const struct balancer *from,
			    const struct balancer *to, struct error *error)
{
	JsonObject *request = runner_request("pair");
	JsonObject *reply;

	json_object_set_string_member(request, "from", from->id);
	json_object_set_string_member(request, "to", to->id);
	json_object_set_string_member(request, "from_zone", from->zone);
	json_object_set_string_member(request, "to_zone", to->zone);
	json_object_set_string_member(request, "listen", LINK_ADDRESS);
	json_object_set_string_member(request, "address", to->address);
	json_object_set_int_member(request, "pass_port", to->pass_port);
	json_object_set_int_member(request, "peer_port", to->peer_port);
	reply = channel_request(runner->link.channel, request, error);
	json_object_unref(request);
	return reply;
}

static JsonObject *peer_print(struct runner *runner,
			      const struct balancer *self,
			      const struct balancer *peer, struct error *error)
{
	JsonObject *entry = json_object_new();
	JsonObject *relay = NULL;
	int64_t pass_port = peer->pass_port;
	int64_t peer_port = peer->peer_port;

	if (runner->uses_links) {
		relay = link_add(runner, self, peer, error);
		if (!relay) {
			json_object_unref(entry);
			return NULL;
		}
		pass_port = (int64_t)json_object_get_double_member(relay,
								   "pass_port");
		peer_port = (int64_t)json_object_get_double_member(relay,
								   "peer_port");
		json_object_unref(relay);
	}
	json_object_set_string_member(entry, "instance_id", peer->id);
	json_object_set_string_member(entry, "availability_zone", peer->zone);
	json_object_set_string_member(entry, "address",
				      runner->uses_links ? LINK_ADDRESS
							 : peer->address);
	json_object_set_int_member(entry, "pass_port", pass_port);
	json_object_set_int_member(entry, "peer_port", peer_port);
	json_object_set_string_member(entry, "public_key", peer->public_key);
	return entry;
}

static bool peers_add(struct runner *runner, const struct balancer *self,
		      JsonObject *settings, struct error *error)
{
	JsonArray *peers = json_array_new();
	JsonArray *keys = json_array_new();

	json_object_set_array_member(settings, "peers", peers);
	json_object_set_array_member(settings, "accepted_keys", keys);
	for (guint i = 0; i < runner->balancers->len; i++) {
		const struct balancer *peer = runner->balancers->pdata[i];
		JsonObject *entry;

		if (peer == self)
			continue;
		entry = peer_print(runner, self, peer, error);
		if (!entry)
			return false;
		json_array_add_object_element(peers, entry);
		json_array_add_string_element(keys, peer->public_key);
	}
	return true;
}

static void addresses_add(const struct runner *runner,
			  const struct balancer *self, JsonObject *settings)
{
	g_autofree char *platform =
		g_strdup_printf("http://127.0.0.1:%u", runner->platform_port);

	json_object_set_string_member(settings, "instance_id", self->id);
	json_object_set_string_member(settings, "availability_zone",
				      self->zone);
	json_object_set_string_member(settings, "data_address", self->address);
	json_object_set_int_member(settings, "data_port", self->data_port);
	json_object_set_int_member(settings, "pass_port", self->pass_port);
	json_object_set_int_member(settings, "peer_port", self->peer_port);
	json_object_set_string_member(settings, "fabric_address", "127.0.0.1");
	json_object_set_int_member(settings, "fabric_port",
				   runner->fabric_port);
	json_object_set_string_member(settings, "admin_address", self->address);
	json_object_set_int_member(settings, "admin_port", self->admin_port);
	json_object_set_string_member(settings, "platform_url", platform);
}

static bool settings_file_write(struct runner *runner,
				const struct balancer *self,
				struct error *error)
{
	JsonObject *settings = json_object_new();
	g_autoptr(GError) failure = NULL;
	g_autofree char *text = NULL;
	bool is_written = false;

	addresses_add(runner, self, settings);
	json_object_set_int_member(settings, "flow_hash_seed",
				   (int64_t)runner->seed);
	json_object_set_string_member(settings, "log_level", "info");
	json_object_set_int_member(settings, "control_bytes_per_second",
				   runner->control_bytes_per_s);
	json_object_set_string_member(settings, "public_key", self->public_key);
	json_object_set_string_member(settings, "secret_key", self->secret_key);
	json_object_set_int_member(settings, "drain_deadline_seconds",
				   DRAIN_DEADLINE_S);
	json_object_set_int_member(settings, "max_exceptions", EXCEPTIONS_MAX);
	if (!peers_add(runner, self, settings, error))
		goto out;
	text = channel_print(settings);
	is_written =
		g_file_set_contents(self->settings_path, text, -1, &failure);
	if (!is_written)
		error_set(error, ERROR_IO, "%s", failure->message);
out:
	json_object_unref(settings);
	return is_written;
}

bool settings_files_write(struct runner *runner, struct error *error)
{
	for (guint i = 0; i < runner->balancers->len; i++)
		if (!settings_file_write(runner, runner->balancers->pdata[i],
					 error))
			return false;
	return true;
}
