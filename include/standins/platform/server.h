#ifndef PARSLEYLADDER_STANDINS_PLATFORM_SERVER_H
#define PARSLEYLADDER_STANDINS_PLATFORM_SERVER_H

/**
 * HTTP front of the stand-in of the platform: the protocol that balancers use
 * (see "Platform protocol" in docs/design.md), and a control interface on a
 * port of its own for the runner of scenarios:
 *
 *   POST /control/publish    {"parts":{NAME:TEXT},"remove":[NAME]}
 *   POST /control/mode       {"mode":"up"|"down"|"hold"|"stale",
 *                             "revision":N}
 *   POST /control/instances  {"instances":[...]}
 *   POST /control/report     {}
 */

#include <stdint.h>

#include "common/error.h"

struct platform_server;

/** Listens on two ports of 127.0.0.1 that the kernel chooses. */
struct platform_server *platform_server_create(struct error *error);
void platform_server_destroy(struct platform_server *server);
uint16_t platform_server_port(const struct platform_server *server);
uint16_t platform_server_control_port(const struct platform_server *server);

#endif
