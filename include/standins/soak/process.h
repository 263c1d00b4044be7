#ifndef PARSLEYLADDER_STANDINS_SOAK_PROCESS_H
#define PARSLEYLADDER_STANDINS_SOAK_PROCESS_H

/**
 * Child processes of a run. Each is addressed by its process id only,
 * and its output goes to a log file.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"

struct process;

/**
 * Starts @argv (NULL-terminated) with the standard error stream in @log_path.
 * The standard output joins it unless @reads_output.
 */
struct process *process_start(const char *const *argv, const char *log_path,
			      bool reads_output, struct error *error);
/** Ends the process with SIGKILL if it runs, and frees @process. */
void process_destroy(struct process *process);
/**
 * Reads the line "ready NAME=PORT..." of a stand-in and returns the port
 * @name; the line is read once. 0 and @error if there is none.
 */
uint16_t process_ready_port(struct process *process, const char *name,
			    struct error *error);
void process_signal(struct process *process, int signal_number);
/** 0 once it has ended. */
int process_id(const struct process *process);
bool process_is_running(const struct process *process);
/** Runs the main loop until the process ended; false after @bound_s. */
bool process_wait(struct process *process, double timeout_s);
/** Exit status, or 128 + signal; only once it has ended. */
int process_exit_status(const struct process *process);
/** Runs the main loop for @seconds, so that ended processes are noticed. */
void process_sleep(double seconds);

#endif
