#include "peer/membership_state.h"

#include <glib.h>

#include "common/log.h"

size_t membership_position(const struct membership *membership, uint64_t id)
{
	size_t low = 0;
	size_t high = membership->peer_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (membership->peers[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

size_t membership_view_bytes(size_t member_count)
{
	return sizeof(struct member_view) +
	       member_count * sizeof(struct member);
}

static void view_add_self(struct membership *membership)
{
	struct member_view *view = membership->view;

	view->self = view->member_count;
	view->members[view->member_count++] = (struct member){
		.id = membership->options.self_id,
		.incarnation = membership->incarnation,
		.zone = membership->options.zone,
		.state = membership->state,
		.lease_until_ns = INT64_MAX,
	};
}

static void view_add_peer(struct membership *membership,
			  const struct peer *peer)
{
	struct member_view *view = membership->view;

	/*
	 * A member that announced its leaving is not missed, even while the
	 * platform's list, which lags, still has it.
	 */
	if (peer->is_listed && peer->status != PEER_ALIVE &&
	    peer->status != PEER_LEFT)
		view->is_partial = true;
	if (peer->status != PEER_ALIVE)
		return;
	view->members[view->member_count++] = (struct member){
		.id = peer->id,
		.incarnation = peer->incarnation,
		.zone = peer->zone,
		.state = peer->state,
		.lease_until_ns = peer->lease_until_ns,
	};
}

void membership_build_view(struct membership *membership)
{
	struct member_view *view = membership->view;
	size_t self =
		membership_position(membership, membership->options.self_id);

	view->member_count = 0;
	view->is_partial = false;
	view->is_rejoining = membership->is_rejoining;
	for (size_t i = 0; i < self; i++)
		view_add_peer(membership, &membership->peers[i]);
	view_add_self(membership);
	for (size_t i = self; i < membership->peer_count; i++)
		view_add_peer(membership, &membership->peers[i]);
	membership->is_cut_off = !membership->is_rejoining &&
				 membership->configured_count > 0 &&
				 view->member_count == 1;
}

void membership_publish(struct membership *membership)
{
	bool was_cut_off = membership->is_cut_off;

	if (!membership->is_view_changed && !membership->is_lease_changed)
		return;
	membership_build_view(membership);
	if (membership->is_view_changed)
		membership->view->version++;
	if (membership->is_cut_off != was_cut_off)
		log_event(LOG_LEVEL_WARNING, "cut_off", "is_cut_off=%d",
			  membership->is_cut_off);
	membership->is_view_changed = false;
	membership->is_lease_changed = false;
	if (membership->options.on_view)
		membership->options.on_view(membership->options.context,
					    membership->view);
}

static const char *state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_ACTIVE:
		return "active";
	case MEMBER_LEAVING:
		return "leaving";
	default:
		return "joining";
	}
}

static void print_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void print_bool(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

static void print_text(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

/* Ids exceed the integers that JSON readers keep exact, so they are text. */
static void print_id(JsonBuilder *builder, const char *name, uint64_t id)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", id);
	print_text(builder, name, text);
}

static void peer_print(const struct membership *membership,
		       const struct peer *peer, JsonBuilder *builder)
{
	int64_t now_ns = clock_now_ns(membership->options.clock);

	json_builder_begin_object(builder);
	print_id(builder, "id", peer->id);
	print_int(builder, "zone", peer->zone);
	print_text(builder, "status", peer_status_name(peer->status));
	print_text(builder, "state", state_name(peer->state));
	print_int(builder, "incarnation", peer->incarnation);
	print_bool(builder, "is_listed", peer->is_listed);
	print_int(builder, "revision", (int64_t)peer->revision);
	print_id(builder, "revision_digest", peer->revision_digest);
	print_int(builder, "lease_left_ms",
		  (peer->lease_until_ns - now_ns) / NS_PER_MS);
	print_int(builder, "silent_ms", (now_ns - peer->heard_ns) / NS_PER_MS);
	print_int(builder, "timeout_ms", peer->link.timeout_ns / NS_PER_MS);
	print_int(builder, "loss_per_million",
		  (int64_t)(peer->link.loss * 1e6));
	print_int(builder, "lateness_us",
		  (int64_t)(peer->link.lateness_ms * 1000));
	json_builder_end_object(builder);
}

void membership_print_json(const struct membership *membership,
			   JsonBuilder *builder)
{
	print_id(builder, "id", membership->options.self_id);
	print_text(builder, "state", state_name(membership->state));
	print_int(builder, "incarnation", membership->incarnation);
	print_int(builder, "view_version", (int64_t)membership->view->version);
	print_bool(builder, "is_rejoining", membership->is_rejoining);
	print_bool(builder, "is_cut_off", membership->is_cut_off);
	print_bool(builder, "is_partial", membership->view->is_partial);
	print_int(builder, "heartbeats_sent", (int64_t)membership->sent);
	print_int(builder, "heartbeats_received",
		  (int64_t)membership->received);
	print_int(builder, "heartbeats_stale", (int64_t)membership->stale);
	print_int(builder, "unknown_sender",
		  (int64_t)membership->unknown_sender);
	print_int(builder, "zone_mismatches",
		  (int64_t)membership->zone_mismatches);
	print_int(builder, "failures", (int64_t)membership->failures);
	print_int(builder, "pauses", (int64_t)membership->pauses);
	print_int(builder, "incarnation_conflicts",
		  (int64_t)membership->incarnation_conflicts);
	json_builder_set_member_name(builder, "peers");
	json_builder_begin_array(builder);
	for (size_t i = 0; i < membership->peer_count; i++)
		peer_print(membership, &membership->peers[i], builder);
	json_builder_end_array(builder);
}
