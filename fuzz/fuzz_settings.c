/* Guards against settings text that causes crashes or leaks. */

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>

#include "configuration/settings.h"

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/* NOLINTNEXTLINE(readability-identifier-naming): name set by libFuzzer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	struct error error = { 0 };
	struct settings *settings =
		settings_parse("fuzz", (const char *)data, length, &error);

	if (settings) {
		g_free(settings_print(settings));
		settings_destroy(settings);
	} else if (error.kind != ERROR_SETTINGS || !error.detail[0]) {
		abort();
	}
	return 0;
}
