#include "standins/command.h"

#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sorted by name for bsearch(). */
static const struct standin_command commands[] = {
	{ "link", "relay between balancers", standin_command_link },
	{ "platform", "the platform's configuration service",
	  standin_command_platform },
	{ "world", "fabric, callers and backend servers",
	  standin_command_world },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static int command_compare(const void *key, const void *element)
{
	const struct standin_command *command = element;

	return strcmp(key, command->name);
}

const struct standin_command *standin_command_find(const char *name)
{
	return bsearch(name, commands, COMMAND_COUNT, sizeof(commands[0]),
		       command_compare);
}

void standin_command_list(void)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		printf("  %-14s %s\n", commands[i].name, commands[i].summary);
}

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
