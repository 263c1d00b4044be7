#include <check.h>
#include <inttypes.h>
#include <stdio.h>

#include "network.h"

struct node *network_find_reader(struct network *network, uint32_t zone)
{
	for (uint32_t i = zone; i < network->node_count;
	     i += network->zone_count) {
		if (network->nodes[i].is_store_reader &&
		    !network->nodes[i].is_down)
			return &network->nodes[i];
	}
	ck_abort_msg("no running node of the zone reads the store");
	return NULL;
}

uint32_t network_node_index(const struct network *network,
			    const struct node *node)
{
	return (uint32_t)(node - network->nodes);
}

uint32_t network_reader_count(const struct network *network)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < network->node_count; i++)
		count += network->nodes[i].is_store_reader &&
			 !network->nodes[i].is_down;
	return count;
}

uint32_t network_synced_count(const struct network *network, uint64_t revision)
{
	struct store_position position = network->store_position;
	uint32_t count = 0;

	position.revision = revision;
	for (uint32_t i = 0; i < network->node_count; i++) {
		const struct node *node = &network->nodes[i];
		const struct routing *routing =
			steering_routing(node->steering);

		count += !node->is_down && node->replica_status.is_complete &&
			 !store_position_is_before(
				 node->replica_status.position, position) &&
			 routing &&
			 routing->version >= network->routing->version;
	}
	return count;
}

uint32_t network_current_count(const struct network *network)
{
	return network_synced_count(network, network->store_position.revision);
}

void network_node_print(const struct network *network, uint32_t index)
{
	const struct node *node = &network->nodes[index];
	const struct routing *routing = steering_routing(node->steering);
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	sharing_print_json(node->sharing, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	printf("node %u: revision=%" PRIu64 " of %" PRIu64
	       " routes_version=%" PRIu64 " of %" PRIu64 " sharing=%s\n",
	       index, node->replica_status.position.revision,
	       network->store_position.revision, routing ? routing->version : 0,
	       network->routing->version, text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
}
