#include <glib.h>
#include <stdio.h>

#include "parsleyladder/command.h"
#include "parsleyladder/settings_argument.h"

int command_check_settings(int argc, char **argv)
{
	char name[] = "parsleyladder check-settings";
	int exit_code;
	struct settings *settings = settings_argument_load(
		argc, argv, name, "Checks the settings of a process.",
		&exit_code);

	if (settings)
		printf("valid: instance %s, %u seeds\n", settings->instance_id,
		       g_strv_length(settings->seeds));
	settings_destroy(settings);
	return exit_code;
}
