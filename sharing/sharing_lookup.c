#include "sharing_state.h"

/*
 * Random members queried besides the leader; those that started recently may
 * not know the host.
 */
#define LOOKUP_RANDOM_MEMBERS 2

void sharing_lookup_token(struct sharing *sharing, uint32_t token)
{
	struct sharing_message request = { .kind = SHARING_LOOKUP_REQUEST,
					   .token = token };
	int64_t now_ns = clock_now_ns(sharing->options.clock);
	uint32_t member = sharing->leader;

	if (!token_bucket_take(&sharing->lookup_limit, now_ns, 1))
		return;
	sharing->counters[SHARING_LOOKUPS_SENT]++;
	if (member != 0)
		sharing_send(sharing, member, &request);
	for (int i = 0; i < LOOKUP_RANDOM_MEMBERS; i++) {
		member = members_pick_random(sharing->members, sharing->random);
		if (member != 0 && member != sharing->leader)
			sharing_send(sharing, member, &request);
	}
}

/*
 * Most members that ask have never sent this balancer their era, so they get the
 * response in both forms. The second one changes nothing then.
 */
static void response_send(struct sharing *sharing, uint32_t address,
			  struct sharing_message *response)
{
	response->has_era = true;
	sharing_send(sharing, address, response);
	if (members_knows_eras(sharing->members, address))
		return;
	response->has_era = false;
	sharing_send(sharing, address, response);
}

void lookup_handle_request(struct sharing *sharing, uint32_t address,
			   uint32_t token)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	const struct known_host *host = host_table_find_token(table, token);
	struct sharing_message response = { .kind = SHARING_LOOKUP_RESPONSE };
	struct host_update update = { 0 };

	if (!host)
		return;
	update.host = host->published;
	if (host->is_removed || host->unlisted_until_ns != 0)
		response.position = host->removed_position;
	response.position.era = sharing_era(sharing);
	response.hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	g_array_append_val(response.hosts, update);
	response_send(sharing, address, &response);
	sharing_message_clear(&response);
}

void lookup_handle_response(struct sharing *sharing,
			    const struct sharing_message *message,
			    int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	struct store_position removed = STORE_POSITION_NONE;
	const struct host_update *update;

	if (!message->hosts || message->hosts->len != 1)
		return;
	update = &g_array_index(message->hosts, struct host_update, 0);
	if (update->is_removed || host_table_find(table, update->host.id))
		return;
	sharing->counters[SHARING_LOOKUP_RESPONSES]++;
	sharing->options.replica_status->source = "peer";
	if (message->position.revision != 0)
		removed = message->position;
	host_table_restore(table, &update->host, removed, now_ns);
}
