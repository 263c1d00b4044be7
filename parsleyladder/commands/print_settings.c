#include <glib.h>
#include <stdio.h>

#include "parsleyladder/command.h"
#include "parsleyladder/settings_argument.h"

int command_print_settings(int argc, char **argv)
{
	char name[] = "parsleyladder print-settings";
	int exit_code;
	struct settings *settings = settings_argument_load(
		argc, argv, name,
		"Prints all settings of a process, defaults included and "
		"secrets masked.",
		&exit_code);
	char *text;

	if (!settings)
		return exit_code;
	text = settings_print(settings);
	puts(text);
	g_free(text);
	settings_destroy(settings);
	return 0;
}
