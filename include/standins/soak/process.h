#ifndef PARSLEYLADDER_STANDINS_SOAK_PROCESS_H
#define PARSLEYLADDER_STANDINS_SOAK_PROCESS_H

/**
 * Child processes of a run. Each is signalled by its process id only,
 * and its output goes to a log file.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct process;

/**
 * Starts @argv (NULL-terminated) with the standard error stream redirected to
 * @log_path. The standard output goes there too unless @reads_output.
 */
struct process *process_start(const char *const *argv, const char *log_path,
			      bool reads_output, struct error *error);
/** Kills the process with SIGKILL if it still runs, and frees @process. */
void process_destroy(struct process *process);
/**
 * Returns the port @name from the line "ready NAME=PORT..." that the process
 * prints on its standard output; the line is read only once. Returns 0 and
 * sets @error if the line does not have that port.
 */
uint16_t process_ready_port(struct process *process, const char *name,
			    struct error *error);
void process_signal(struct process *process, int signal_number);
/** 0 once the process has exited. */
int process_id(const struct process *process);
bool process_is_running(const struct process *process);
/** Runs the main loop until the process exits; false after @timeout_s. */
bool process_wait(struct process *process, double timeout_s);
/** Exit status, or 128 + signal; valid only once the process has exited. */
int process_exit_status(const struct process *process);
/** Runs the main loop for @seconds, so that process exits are noticed. */
void process_sleep(double seconds);

#endif
