#include <stdio.h>

#include "parsleyladder/command.h"

int command_version(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	printf("parsleyladder %s\n", PARSLEYLADDER_VERSION);
	return 0;
}
