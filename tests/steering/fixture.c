#include "fixture.h"
#include "position.h"

#include <check.h>
#include <string.h>

/* Most routes that fixture_route_to() sets. */
#define FIXTURE_ROUTES_MAX 4

static void reset_record(void *context, const struct cached_flow *flow,
			 enum steering_reason reason)
{
	struct fixture *fixture = context;
	struct recorded_reset *reset = &fixture->resets[fixture->reset_count++];

	ck_assert_uint_lt(fixture->reset_count, RESETS_MAX);
	reset->caller_port = flow->key.caller_port;
	reset->sequence = flow->acknowledged;
	reset->reason = reason;
}

static void changed_ignore(void *context, const struct known_host *host,
			   bool is_new)
{
	(void)context;
	(void)host;
	(void)is_new;
}

static void silence_count(void *context, const struct known_host *host,
			  bool is_silent)
{
	struct fixture *fixture = context;

	(void)host;
	fixture->silence_count += is_silent;
}

static void down_count(void *context, const struct known_host *host,
		       enum probe_result result)
{
	struct fixture *fixture = context;

	(void)host;
	(void)result;
	fixture->down_count++;
}

static void reassignment_count(void *context, const struct known_host *host,
			       const struct known_host *successor)
{
	struct fixture *fixture = context;

	ck_assert_ptr_ne(host, successor);
	fixture->reassignment_count++;
}

static void probe_count(void *context, const struct known_host *host)
{
	struct fixture *fixture = context;

	(void)host;
	fixture->probe_count++;
}

static void lookup_count(void *context, uint32_t token)
{
	struct fixture *fixture = context;

	ck_assert_uint_ne(token, 0);
	fixture->lookup_count++;
}

static void deferral_ignore(void *context, const struct known_host *host)
{
	(void)context;
	(void)host;
}

static void slowness_ignore(void *context, const struct known_host *host)
{
	(void)context;
	(void)host;
}

static void drain_count(void *context, const struct zone_drain *drain)
{
	struct fixture *fixture = context;

	(void)drain;
	fixture->drain_change_count++;
}

static void spillover_count(void *context, const char *service,
			    const struct spillover *spillover,
			    const struct spillover_input *input)
{
	struct fixture *fixture = context;

	(void)spillover;
	ck_assert_str_eq(service, "examen");
	ck_assert_int_eq(input->now_ns, fixture->clock.now_ns);
	fixture->spillover_count++;
}

static bool rank_find(void *context, const char *host_id, uint32_t *members,
		      uint32_t *rank)
{
	const struct fixture *fixture = context;

	(void)host_id;
	if (fixture->members == 0)
		return false;
	*members = fixture->members;
	*rank = fixture->rank;
	return true;
}

static void limit_record(void *context, const struct limited_host *host,
			 bool is_limited)
{
	struct fixture *fixture = context;

	fixture->limited_count += is_limited;
	fixture->limit_end_count += !is_limited;
	fixture->limited = *host;
}

void fixture_open(struct fixture *fixture, const char *zone)
{
	fixture_open_unsynced(fixture, zone);
	steering_set_synced(fixture->steering);
}

void fixture_open_unsynced(struct fixture *fixture, const char *zone)
{
	struct steering_options options = {
		.zone = zone,
		.flows_max = 1024,
		.flow_age_max_s = 60,
		.random_seed = 1,
		.reset = reset_record,
		.probe = probe_count,
		.lookup_token = lookup_count,
		.on_host_deferred = deferral_ignore,
		.on_host_changed = changed_ignore,
		.on_host_ended = changed_ignore,
		.on_host_silence_changed = silence_count,
		.on_host_down = down_count,
		.on_address_reassigned = reassignment_count,
		.on_host_slowness_changed = slowness_ignore,
		.on_zone_drain_changed = drain_count,
		.on_spillover_changed = spillover_count,
		.find_rank = rank_find,
		.on_slow_start_limit_changed = limit_record,
		.context = fixture,
	};

	memset(fixture, 0, sizeof(*fixture));
	manual_clock_init(&fixture->clock, 1000 * NS_PER_S);
	options.clock = &fixture->clock.clock;
	fixture->revision = 100;
	fixture->steering = steering_create(&options);
}

void fixture_open_with_hosts(struct fixture *fixture)
{
	fixture_open(fixture, "a");
	fixture_route(fixture, 1, true);
	fixture_publish(fixture, 1, "a");
	fixture_publish(fixture, 2, "a");
	fixture_publish(fixture, 3, "b");
}

void fixture_close(struct fixture *fixture)
{
	steering_destroy(fixture->steering);
}

void fixture_advance(struct fixture *fixture, uint32_t ms)
{
	fixture->clock.now_ns += ms * NS_PER_MS;
}

struct host_announcement fixture_announcement(struct fixture *fixture,
					      uint32_t number, const char *zone)
{
	struct host_announcement host = {
		.target_id = number,
		.port = 8080,
		.slots = 2,
		.started_ms = 1,
		.service = "examen",
		.position = position_at(fixture->revision++),
	};
	char address[IP_ADDRESS_TEXT_BYTES];

	g_snprintf(host.id, sizeof(host.id), "i-%02x", number);
	g_snprintf(address, sizeof(address), "10.0.0.%u", number);
	g_strlcpy(host.zone, zone, sizeof(host.zone));
	ck_assert(ip_address_parse(address, &host.address));
	return host;
}

void fixture_put(struct fixture *fixture,
		 const struct host_announcement *announcement)
{
	host_table_put(steering_hosts(fixture->steering), announcement,
		       fixture->clock.now_ns);
}

void fixture_publish(struct fixture *fixture, uint32_t number, const char *zone)
{
	struct host_announcement host =
		fixture_announcement(fixture, number, zone);

	fixture_put(fixture, &host);
}

void fixture_drain(struct fixture *fixture, const char *zone, bool is_active)
{
	ck_assert(zone_drains_set(steering_zone_drains(fixture->steering), zone,
				  position_at(fixture->revision++), is_active,
				  fixture->clock.now_ns));
}

void fixture_withdraw(struct fixture *fixture, uint32_t number)
{
	host_table_remove(steering_hosts(fixture->steering),
			  fixture_host(fixture, number)->published.id,
			  position_at(fixture->revision++),
			  fixture->clock.now_ns);
}

bool fixture_route(struct fixture *fixture, uint64_t version, bool has_route)
{
	static const char *const none[] = { NULL };
	static const char *const one[] = { "examen", NULL };

	return fixture_route_to(fixture, version, has_route ? one : none);
}

bool fixture_route_to(struct fixture *fixture, uint64_t version,
		      const char *const *services)
{
	struct route_rule *rules =
		g_new0(struct route_rule, FIXTURE_ROUTES_MAX);
	struct routing *routing;
	size_t count = 0;
	bool is_applied;

	for (size_t i = 0; services[i]; i++) {
		ck_assert_uint_lt(count++, FIXTURE_ROUTES_MAX);
		ip_address_parse(SERVICE_ADDRESS, &rules[i].address);
		rules[i].port = (uint16_t)(SERVICE_PORT + i);
		rules[i].target_count = 1;
		rules[i].targets[0].weight = 1;
		g_strlcpy(rules[i].targets[0].service, services[i],
			  NAME_BYTES_MAX);
	}
	routing = routing_create(version, 15000, rules, count);
	is_applied = steering_set_routing(fixture->steering, routing);
	routing_unref(routing);
	return is_applied;
}

struct known_host *fixture_host(struct fixture *fixture, uint32_t number)
{
	char id[HOST_ID_BYTES_MAX + 1];

	g_snprintf(id, sizeof(id), "i-%02x", number);
	return host_table_find(steering_hosts(fixture->steering), id);
}

void fixture_probe(struct fixture *fixture, const struct known_host *host,
		   enum probe_result result)
{
	steering_tick(fixture->steering);
	ck_assert(host->health.is_probing);
	steering_probe_end(fixture->steering, host->published.id, result);
}

static struct token_packet packet_create(uint16_t port)
{
	struct token_packet packet = { 0 };
	struct flow_key *key = &packet.fields.key;

	key->protocol = PACKET_PROTOCOL_TCP;
	key->caller_port = port;
	key->service_port = SERVICE_PORT;
	ip_address_parse("192.0.2.7", &key->caller);
	ip_address_parse(SERVICE_ADDRESS, &key->service);
	return packet;
}

struct steering_decision packet_syn(struct fixture *fixture, uint16_t port,
				    uint32_t copy)
{
	struct token_packet packet = packet_create(port);
	struct steering_decision decision;

	packet.copy = copy;
	packet.fields.tcp_flags = TCP_FLAG_SYN;
	packet.fields.tcp_sequence = port;
	steering_handle_packet(fixture->steering, &packet, &decision);
	return decision;
}

struct steering_decision packet_data_sized(struct fixture *fixture,
					   uint16_t port, uint32_t token,
					   uint32_t sequence,
					   uint32_t acknowledged,
					   uint16_t payload_bytes)
{
	struct token_packet packet = packet_create(port);
	struct steering_decision decision;

	packet.token = token;
	packet.fields.tcp_flags = TCP_FLAG_ACK;
	packet.fields.payload_bytes = payload_bytes;
	packet.fields.tcp_sequence = sequence;
	packet.fields.tcp_acknowledgement = acknowledged;
	steering_handle_packet(fixture->steering, &packet, &decision);
	return decision;
}

struct steering_decision packet_data(struct fixture *fixture, uint16_t port,
				     uint32_t token, uint32_t sequence,
				     uint32_t acknowledged)
{
	return packet_data_sized(fixture, port, token, sequence, acknowledged,
				 100);
}

struct steering_decision packet_data_retransmit(struct fixture *fixture,
						uint16_t port, uint32_t token,
						uint32_t times)
{
	struct steering_decision decision;

	decision = packet_data(fixture, port, token, 500, 1000);
	for (uint32_t i = 0; i < times; i++) {
		fixture_advance(fixture, 200u << i);
		decision = packet_data(fixture, port, token, 500, 1000);
	}
	return decision;
}

struct steering_decision packet_ack(struct fixture *fixture, uint16_t port,
				    uint32_t token, uint32_t sequence,
				    uint32_t acknowledged)
{
	return packet_data_sized(fixture, port, token, sequence, acknowledged,
				 0);
}

struct steering_decision packet_fin(struct fixture *fixture, uint16_t port,
				    uint32_t token, uint32_t sequence,
				    uint32_t acknowledged)
{
	struct token_packet packet = packet_create(port);
	struct steering_decision decision;

	packet.token = token;
	packet.fields.tcp_flags = TCP_FLAG_ACK | TCP_FLAG_FIN;
	packet.fields.tcp_sequence = sequence;
	packet.fields.tcp_acknowledgement = acknowledged;
	steering_handle_packet(fixture->steering, &packet, &decision);
	return decision;
}

struct known_host *flow_open(struct fixture *fixture, uint16_t port)
{
	struct steering_decision decision = packet_syn(fixture, port, 0);

	ck_assert_int_eq(decision.verdict, STEERING_FORWARD);
	packet_data(fixture, port, decision.host->token, port + 1, 999);
	packet_ack(fixture, port, decision.host->token, port + 101, 1000);
	return decision.host;
}

void fixture_measure_handshakes(struct fixture *fixture, uint16_t count,
				uint32_t handshake_ms)
{
	/* Ports that no test uses. */
	uint16_t port = 40000;

	for (uint16_t i = 0; i < count; i++, port++) {
		struct known_host *host = packet_syn(fixture, port, 0).host;

		fixture_advance(fixture, handshake_ms);
		packet_data(fixture, port, host->token, port + 1, 999);
		packet_fin(fixture, port, host->token, port + 101, 1000);
	}
}

void fixture_exchange(struct fixture *fixture, const struct known_host *other,
		      uint32_t wait_ms)
{
	static uint32_t sequence = 1000;

	packet_data(fixture, 7, other->token, sequence, sequence);
	fixture_advance(fixture, wait_ms);
	sequence += 1000;
	packet_ack(fixture, 7, other->token, sequence, sequence);
}

void fixture_answer_other_probes(struct fixture *fixture,
				 const struct known_host *host)
{
	for (uint32_t number = 1; number <= 3; number++) {
		const struct known_host *other = fixture_host(fixture, number);

		if (other != host && other->health.is_probing)
			steering_probe_end(fixture->steering,
					   other->published.id,
					   PROBE_RESULT_UP);
	}
}

/* Passes 900 ms, in which @other may answer requests. */
static void others_go_on(struct fixture *fixture,
			 const struct known_host *other, uint32_t wait_ms)
{
	if (wait_ms == 0)
		fixture_advance(fixture, 900);
	for (uint32_t ms = 0; wait_ms > 0 && ms < 900; ms += wait_ms)
		fixture_exchange(fixture, other, wait_ms);
}

void fixture_cut_off(struct fixture *fixture, const struct known_host *host,
		     const struct fixture_others *others)
{
	const struct known_host *other =
		fixture_host(fixture, host->published.target_id == 1 ? 2 : 1);

	for (int probe = 0; probe < 2; probe++) {
		steering_tick(fixture->steering);
		ck_assert(host->health.is_probing);
		others_go_on(fixture, other, others->wait_ms);
		steering_probe_end(fixture->steering, host->published.id,
				   PROBE_RESULT_TIMEOUT);
		if (others->is_answering_probes)
			fixture_answer_other_probes(fixture, host);
	}
}
