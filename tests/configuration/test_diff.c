/*
 * Guards against a check before publishing that hides a change, or that lets an
 * address pass from one service or team to another.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "configuration/diff.h"
#include "suite.h"

static const char profiles[] =
	"{\"profiles\":[{\"name\":\"p\",\"spread\":\"fewest_moves\"},"
	"{\"name\":\"q\",\"spread\":\"even_load\"}]}";

static const char examen[] =
	"{\"name\":\"examen\",\"team\":\"t\",\"profile\":\"p\","
	"\"addresses\":[{\"address\":\"192.0.2.1\",\"port\":443}],"
	"\"hosts\":[{\"name\":\"h1\",\"address\":\"10.0.0.1\",\"port\":7000,"
	"\"availability_zone\":\"a\",\"slots\":3,\"connections\":2000,"
	"\"state\":\"serving\"},"
	"{\"name\":\"h2\",\"address\":\"10.0.0.2\",\"port\":7000,"
	"\"availability_zone\":\"b\",\"slots\":4,\"connections\":2000,"
	"\"state\":\"draining\"}]}";

static const char archive[] =
	"{\"name\":\"archive\",\"team\":\"u\",\"profile\":\"p\","
	"\"addresses\":[{\"address\":\"192.0.2.2\",\"port\":443}],"
	"\"hosts\":[{\"name\":\"h1\",\"address\":\"10.0.0.1\",\"port\":7000,"
	"\"availability_zone\":\"a\",\"slots\":3,\"connections\":2000}]}";

/* Changes to the parts, of which examen is the first; NULL leaves one out. */
static const struct {
	const char *old_text;
	const char *new_text;
	const char *archive;
	const char *profiles;
	const char *lines;
	const char *error;
} cases[] = {
	{ "x", "x", archive, profiles, "no change\n", NULL },
	{ "\"serving\"", "\"draining\"", archive, profiles,
	  "host drained: examen h1\n", NULL },
	{ "\"draining\"", "\"serving\"", archive, profiles,
	  "host resumed: examen h2\n", NULL },
	{ "\"slots\":4", "\"slots\":5", archive, profiles,
	  "host changed: examen h2, slots 4 -> 5\n", NULL },
	{ "10.0.0.2", "10.0.0.3", archive, profiles,
	  "host changed: examen h2, address \"10.0.0.2\" -> \"10.0.0.3\", "
	  "breaks open flows\n",
	  NULL },
	{ "\"h1\"", "\"h3\"", archive, profiles,
	  "host added: examen h3\n"
	  "host removed: examen h1, was serving, breaks open flows\n",
	  NULL },
	{ "\"h2\"", "\"h3\"", archive, profiles,
	  "host added: examen h3\n"
	  "host removed: examen h2, was draining\n",
	  NULL },
	{ "\"p\"", "\"q\"", archive, profiles,
	  "service changed: examen, profile p -> q\n", NULL },
	{ "x", "x", NULL, profiles,
	  "service removed: archive, 1 hosts, breaks open flows\n"
	  "address removed: archive 192.0.2.2:443 tcp, breaks open flows\n",
	  NULL },
	{ "x", "x", archive,
	  "{\"profiles\":[{\"name\":\"p\",\"spread\":\"even_load\"},"
	  "{\"name\":\"r\",\"spread\":\"even_load\"}]}",
	  "profile added: r\nprofile removed: q\n"
	  "profile changed: p, spread \"fewest_moves\" -> \"even_load\"\n",
	  NULL },
	{ "192.0.2.1", "192.0.2.3", archive, profiles,
	  "address added: examen 192.0.2.3:443 tcp\n"
	  "address removed: examen 192.0.2.1:443 tcp, breaks open flows\n",
	  NULL },
	{ "192.0.2.1", "192.0.2.2", NULL, profiles,
	  "service removed: archive, 1 hosts, breaks open flows\n"
	  "address removed: examen 192.0.2.1:443 tcp, breaks open flows\n"
	  "address moved: examen 192.0.2.2:443 tcp, from service \"archive\" "
	  "of team \"u\" to service \"examen\" of team \"t\", breaks open "
	  "flows\n",
	  "service/examen: $.addresses: 192.0.2.2:443 tcp moves from service "
	  "\"archive\" of team \"u\" to service \"examen\" of team \"t\", "
	  "allowed an address that the old revision does not have" },
	{ "\"team\":\"t\"", "\"team\":\"u\"", archive, profiles,
	  "service changed: examen, team t -> u\n"
	  "address moved: examen 192.0.2.1:443 tcp, from service \"examen\" of "
	  "team \"t\" to service \"examen\" of team \"u\", breaks open flows\n",
	  "service/examen: $.addresses: 192.0.2.1:443 tcp moves from service "
	  "\"examen\" of team \"t\" to service \"examen\" of team \"u\", "
	  "allowed an address that the old revision does not have" },
};

static void add(GHashTable *parts, const char *name, const char *text)
{
	g_hash_table_insert(parts, g_strdup(name),
			    g_bytes_new(text, strlen(text)));
}

static struct configuration *create(uint64_t revision, const char *first,
				    const char *second,
				    const char *profile_text)
{
	GHashTable *parts = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	struct configuration *configuration;
	struct error error = { 0 };

	add(parts, "profiles", profile_text);
	add(parts, "service/examen", first);
	if (second)
		add(parts, "service/archive", second);
	configuration = configuration_create(revision, parts, &error);
	ck_assert_msg(configuration != NULL, "%s", error.detail);
	g_hash_table_unref(parts);
	return configuration;
}

START_TEST(changes_are_listed_and_checked) {
	struct configuration *old = create(1, examen, archive, profiles);
	GString *text = g_string_new(examen);
	struct configuration *new;
	struct configuration_diff *diff;
	struct error error = { 0 };
	char *lines;

	g_string_replace(text, cases[_i].old_text, cases[_i].new_text, 1);
	new = create(2, text->str, cases[_i].archive, cases[_i].profiles);
	diff = configuration_diff_create(old, new);
	lines = configuration_diff_print(diff);
	ck_assert_str_eq(lines, cases[_i].lines);
	ck_assert(configuration_diff_check(diff, &error) == !cases[_i].error);
	ck_assert_str_eq(error.detail, cases[_i].error ? cases[_i].error : "");
	g_free(lines);
	configuration_diff_destroy(diff);
	configuration_unref(old);
	configuration_unref(new);
	g_string_free(text, TRUE);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("diff");
	TCase *tests = tcase_create("changes");

	tcase_add_loop_test(tests, changes_are_listed_and_checked, 0,
			    G_N_ELEMENTS(cases));
	suite_add_tcase(suite, tests);
	return suite_run(suite);
}
