#include "standins/command.h"

#include <glib-unix.h>

static gboolean on_signal(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_CONTINUE;
}

void standin_loop_run(void)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	guint terminated = g_unix_signal_add(SIGTERM, on_signal, loop);
	guint interrupted = g_unix_signal_add(SIGINT, on_signal, loop);

	g_main_loop_run(loop);
	g_source_remove(terminated);
	g_source_remove(interrupted);
	g_main_loop_unref(loop);
}
