#ifndef PARSLEYLADDER_PARSLEYLADDER_ADMIN_CLIENT_H
#define PARSLEYLADDER_PARSLEYLADDER_ADMIN_CLIENT_H

/**
 * Requests of commands to the administration API of a live process.
 */

#include <json-glib/json-glib.h>

#include "common/error.h"

/**
 * Requests http://@address@path and prints the response to the standard
 * output, JSON with indentation. @address is IP:PORT, @token may be NULL.
 * Returns the exit code of the command; a failure is printed to the standard
 * error stream.
 */
int admin_client_print(const char *address, const char *path,
		       const char *token);
/**
 * Requests http://@address@path. Returns the JSON value of the response; free
 * it with json_node_unref(). Returns NULL and fills @error otherwise
 * (ERROR_UNREACHABLE if there is no response).
 */
JsonNode *admin_client_fetch(const char *address, const char *path,
			     const char *token, struct error *error);

#endif
