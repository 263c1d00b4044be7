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
	response.revision = host->is_removed ? host->removed_revision : 0;
	response.hosts = g_array_new(FALSE, FALSE, sizeof(struct host_update));
	g_array_append_val(response.hosts, update);
	sharing_send(sharing, address, &response);
	sharing_message_clear(&response);
}

void lookup_handle_response(struct sharing *sharing,
			    const struct sharing_message *message,
			    int64_t now_ns)
{
	struct host_table *table = steering_hosts(sharing->options.steering);
	const struct host_update *update;

	if (!message->hosts || message->hosts->len != 1)
		return;
	update = &g_array_index(message->hosts, struct host_update, 0);
	if (update->is_removed || host_table_find(table, update->host.id))
		return;
	sharing->counters[SHARING_LOOKUP_RESPONSES]++;
	sharing->options.replica_status->source = "peer";
	host_table_restore(table, &update->host, message->revision, now_ns);
}
