#ifndef PARSLEYLADDER_PARSLEYLADDER_ADMIN_CLIENT_H
#define PARSLEYLADDER_PARSLEYLADDER_ADMIN_CLIENT_H

/**
 * Requests of commands to the administration API of a live process.
 */

/**
 * Requests http://@address@path and prints the response to the standard
 * output, JSON with indentation. @address is IP:PORT, @token may be NULL.
 * Returns the exit code of the command; a failure is printed to the standard
 * error stream.
 */
int admin_client_print(const char *address, const char *path,
		       const char *token);

#endif
