#include "standins/soak/process.h"

#include <gio/gio.h>
#include <signal.h>
#include <string.h>

struct process {
	GSubprocess *child;
	char *ready_line; /* NULL until read */
	bool has_exited;
};

static void on_child_exited(GObject *source, GAsyncResult *result,
			    gpointer data)
{
	struct process *process = data;

	g_subprocess_wait_finish(G_SUBPROCESS(source), result, NULL);
	process->has_exited = true;
}

struct process *process_start(const char *const *argv, const char *log_path,
			      bool reads_output, struct error *error)
{
	GSubprocessFlags flags = reads_output ? G_SUBPROCESS_FLAGS_STDOUT_PIPE
					      : G_SUBPROCESS_FLAGS_NONE;
	g_autoptr(GSubprocessLauncher)
		launcher = g_subprocess_launcher_new(flags);
	g_autoptr(GError) failure = NULL;
	struct process *process;
	GSubprocess *child;

	g_subprocess_launcher_set_stderr_file_path(launcher, log_path);
	if (!reads_output)
		g_subprocess_launcher_set_stdout_file_path(launcher, log_path);
	child = g_subprocess_launcher_spawnv(launcher, argv, &failure);
	if (!child) {
		error_set(error, ERROR_IO, "%s: %s", argv[0], failure->message);
		return NULL;
	}
	process = g_new0(struct process, 1);
	process->child = child;
	g_subprocess_wait_async(child, NULL, on_child_exited, process);
	return process;
}

void process_destroy(struct process *process)
{
	if (!process->has_exited) {
		g_subprocess_send_signal(process->child, SIGKILL);
		/* on_child_exited() must run before its argument is freed. */
		while (!process->has_exited)
			g_main_context_iteration(NULL, TRUE);
	}
	g_object_unref(process->child);
	g_free(process->ready_line);
	g_free(process);
}

static const char *ready_line_read(struct process *process)
{
	g_autoptr(GDataInputStream) lines = NULL;

	if (process->ready_line)
		return process->ready_line;
	lines = g_data_input_stream_new(
		g_subprocess_get_stdout_pipe(process->child));
	process->ready_line =
		g_data_input_stream_read_line(lines, NULL, NULL, NULL);
	return process->ready_line;
}

uint16_t process_ready_port(struct process *process, const char *name,
			    struct error *error)
{
	const char *line = ready_line_read(process);
	g_auto(GStrv) words = g_strsplit(line ? line : "", " ", -1);
	size_t length = strlen(name);

	for (char **word = words; *word; word++)
		if (strncmp(*word, name, length) == 0 && (*word)[length] == '=')
			return (uint16_t)g_ascii_strtoull(*word + length + 1,
							  NULL, 10);
	error_set(error, ERROR_IO,
		  "expected 'ready' line with port '%s' on standard output",
		  name);
	return 0;
}

void process_signal(struct process *process, int signal_number)
{
	g_subprocess_send_signal(process->child, signal_number);
}

int process_id(const struct process *process)
{
	const char *text = g_subprocess_get_identifier(process->child);

	return text ? (int)g_ascii_strtoll(text, NULL, 10) : 0;
}

bool process_is_running(const struct process *process)
{
	return !process->has_exited;
}

static gboolean on_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

bool process_wait(struct process *process, double timeout_s)
{
	bool is_timed_out = false;
	guint timeout = g_timeout_add((guint)(timeout_s * 1000), on_timeout,
				      &is_timed_out);

	while (!process->has_exited && !is_timed_out)
		g_main_context_iteration(NULL, TRUE);
	if (!is_timed_out)
		g_source_remove(timeout);
	return process->has_exited;
}

int process_exit_status(const struct process *process)
{
	if (g_subprocess_get_if_exited(process->child))
		return g_subprocess_get_exit_status(process->child);
	return 128 + g_subprocess_get_term_sig(process->child);
}

void process_sleep(double seconds)
{
	bool is_timed_out = false;

	g_timeout_add((guint)(seconds * 1000), on_timeout, &is_timed_out);
	while (!is_timed_out)
		g_main_context_iteration(NULL, TRUE);
}
