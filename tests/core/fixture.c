#include "fixture.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Keeps the reference count of a hand-made revision from reaching 0. */
#define REFERENCES 1000000

struct fixture_service *fixture_add_service(struct fixture *fixture,
					    const char *name,
					    enum spread_policy spread,
					    int host_count)
{
	struct fixture_service *service =
		&fixture->services[fixture->service_count++];

	*service = (struct fixture_service){
		.name = name,
		.team = "team",
		.address = (uint8_t)fixture->service_count,
		.protocol = PACKET_PROTOCOL_TCP,
		.host_count = host_count,
		.profile = { .spread = spread,
			     .even_load_margin_permille = 10,
			     .idle_timeout_s = 7200 },
	};
	for (int i = 0; i < host_count; i++)
		service->hosts[i].number = i;
	return service;
}

struct fixture_host *fixture_host(struct fixture_service *service, int number)
{
	for (int i = 0; i < service->host_count; i++) {
		if (service->hosts[i].number == number)
			return &service->hosts[i];
	}
	return NULL;
}

void fixture_remove_host(struct fixture_service *service, int number)
{
	struct fixture_host *host = fixture_host(service, number);

	if (host)
		*host = service->hosts[--service->host_count];
}

static struct ip_address address_of(uint8_t b, uint8_t c, uint8_t d)
{
	return (struct ip_address){ { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff,
				      10, b, c, d } };
}

static int host_compare(const void *left, const void *right)
{
	uint32_t a = ((const struct host *)left)->id;
	uint32_t b = ((const struct host *)right)->id;

	return (a > b) - (a < b);
}

static int service_compare(const void *left, const void *right)
{
	uint32_t a = ((const struct service *)left)->id;
	uint32_t b = ((const struct service *)right)->id;

	return (a > b) - (a < b);
}

static void host_build(const struct fixture_service *service,
		       const struct fixture_host *from, struct host *host)
{
	char path[2 * NAME_BYTES_MAX];

	g_snprintf(host->name, sizeof(host->name), "h%d", from->number);
	g_snprintf(path, sizeof(path), "%s/%s", service->name, host->name);
	host->id = XXH32(path, strlen(path), 0);
	host->address = address_of(1, service->address, (uint8_t)from->number);
	host->port = 8000;
	g_strlcpy(host->zone, "z0", sizeof(host->zone));
	host->slots = 3;
	host->connections = 2000;
	host->state = from->state;
}

static void service_build(const struct fixture_service *from,
			  struct profile *profile, struct service *service)
{
	*profile = from->profile;
	g_snprintf(profile->name, sizeof(profile->name), "%s", from->name);
	g_strlcpy(service->name, from->name, sizeof(service->name));
	g_strlcpy(service->team, from->team, sizeof(service->team));
	service->id = XXH32(from->name, strlen(from->name), 0);
	service->profile = profile;
	service->addresses = g_new0(struct service_address, 1);
	service->address_count = 1;
	service->addresses->address = address_of(0, 0, from->address);
	service->addresses->port = 443;
	service->addresses->protocol = from->protocol;
	service->hosts = g_new0(struct host, from->host_count + 1);
	service->host_count = from->host_count;
	for (int i = 0; i < from->host_count; i++)
		host_build(from, &from->hosts[i], &service->hosts[i]);
	qsort(service->hosts, service->host_count, sizeof(struct host),
	      host_compare);
}

struct configuration *fixture_build(struct fixture *fixture)
{
	struct configuration *configuration = g_new0(struct configuration, 1);

	configuration->revision = ++fixture->revision;
	configuration->references = REFERENCES;
	configuration->profiles =
		g_new0(struct profile, fixture->service_count);
	configuration->profile_count = fixture->service_count;
	configuration->services =
		g_new0(struct service, fixture->service_count);
	configuration->service_count = fixture->service_count;
	for (int i = 0; i < fixture->service_count; i++)
		service_build(&fixture->services[i],
			      &configuration->profiles[i],
			      &configuration->services[i]);
	qsort(configuration->services, configuration->service_count,
	      sizeof(struct service), service_compare);
	return configuration;
}

void fixture_destroy_revision(struct configuration *configuration)
{
	for (size_t i = 0; i < configuration->service_count; i++) {
		g_free(configuration->services[i].addresses);
		g_free(configuration->services[i].hosts);
	}
	g_free(configuration->services);
	g_free(configuration->profiles);
	g_free(configuration);
}

struct packet_facts fixture_packet(const struct fixture_service *service,
				   uint32_t flow, uint8_t tcp_flags)
{
	struct packet_facts facts = {
		.ip_version = 4,
		.tcp_flags = tcp_flags,
		.key = {
			.caller = address_of((uint8_t)(2 + (flow >> 30)),
					     (uint8_t)(flow >> 22),
					     (uint8_t)(flow >> 14)),
			.service = address_of(0, 0, service->address),
			.caller_port = (uint16_t)(1024 + (flow & 0x3fff)),
			.service_port = 443,
			.protocol = service->protocol,
		},
	};

	return facts;
}
