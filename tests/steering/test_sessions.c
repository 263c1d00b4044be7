/*
 * Golden files of whole sessions: a file contains commands, each followed by
 * the resulting decision in lines that begin with "> ". Guards against
 * unintended changes of decisions.
 *
 *   publish N ZONE [draining]    withdraw N      routes VERSION [none]
 *   advance MS                   informed        probe N up|down|timeout
 *   syn PORT COPY                data PORT N SEQUENCE ACKNOWLEDGED
 *   ack PORT N SEQUENCE ACKNOWLEDGED             (N is the host of the token)
 *
 * With UPDATE_SESSIONS=1 in the environment the files are rewritten.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fixture.h"
#include "suite.h"

#define WORDS_MAX 8

static const char *const sessions[] = {
	"crash",
	"drain",
	"late_starter",
	"reuse",
};

static const char *const verdicts[STEERING_VERDICTS] = {
	[STEERING_FORWARD] = "forward",
	[STEERING_RESET] = "reset",
	[STEERING_DROP] = "drop",
	[STEERING_HOLD] = "hold",
};

struct session {
	struct fixture fixture;
	GString *text; /* commands and decisions */
	uint32_t resets; /* printed so far */
};

static uint32_t number(char *const *words, size_t index)
{
	return (uint32_t)strtoul(words[index], NULL, 10);
}

static void decision_print(struct session *session,
			   const struct steering_decision *decision)
{
	g_string_append_printf(session->text, "> %s %s",
			       verdicts[decision->verdict],
			       steering_reason_names[decision->reason]);
	if (decision->host)
		g_string_append_printf(session->text, " %s",
				       decision->host->published.id);
	g_string_append_c(session->text, '\n');
}

/* Resets that are not the reply to a packet. */
static void resets_print(struct session *session)
{
	struct fixture *fixture = &session->fixture;

	for (; session->resets < fixture->reset_count; session->resets++) {
		const struct recorded_reset *reset =
			&fixture->resets[session->resets];

		g_string_append_printf(session->text, "> reset %s port %u\n",
				       steering_reason_names[reset->reason],
				       reset->caller_port);
	}
}

static void publish(struct session *session, char *const *words)
{
	struct host_announcement host = fixture_announcement(
		&session->fixture, number(words, 1), words[2]);

	host.is_draining = words[3] != NULL;
	fixture_put(&session->fixture, &host);
}

static void advance(struct session *session, char *const *words)
{
	for (uint32_t ms = number(words, 1); ms > 0; ms -= MIN(ms, 100)) {
		fixture_advance(&session->fixture, MIN(ms, 100));
		steering_tick(session->fixture.steering);
	}
}

static void probe(struct session *session, char *const *words)
{
	const struct known_host *host =
		fixture_host(&session->fixture, number(words, 1));
	enum probe_result result = PROBE_RESULT_UP;

	if (strcmp(words[2], "down") == 0)
		result = PROBE_RESULT_DOWN;
	else if (strcmp(words[2], "timeout") == 0)
		result = PROBE_RESULT_TIMEOUT;
	steering_probe_end(session->fixture.steering, host->published.id,
			   result);
}

static void packet(struct session *session, char *const *words)
{
	struct fixture *fixture = &session->fixture;
	uint16_t port = (uint16_t)number(words, 1);
	struct steering_decision decision;

	if (strcmp(words[0], "syn") == 0) {
		decision = packet_syn(fixture, port, number(words, 2));
	} else {
		char id[HOST_ID_BYTES_MAX + 1];
		uint32_t token;

		g_snprintf(id, sizeof(id), "i-%02x", number(words, 2));
		token = host_token(id);
		decision = (strcmp(words[0], "data") == 0 ? packet_data
							  : packet_ack)(
			fixture, port, token, number(words, 3),
			number(words, 4));
	}
	decision_print(session, &decision);
}

static void command_run(struct session *session, char *const *words)
{
	const char *name = words[0];

	if (strcmp(name, "publish") == 0)
		publish(session, words);
	else if (strcmp(name, "withdraw") == 0)
		fixture_withdraw(&session->fixture, number(words, 1));
	else if (strcmp(name, "routes") == 0)
		fixture_route(&session->fixture, number(words, 1),
			      words[2] == NULL);
	else if (strcmp(name, "advance") == 0)
		advance(session, words);
	else if (strcmp(name, "informed") == 0)
		steering_set_up_to_date(session->fixture.steering, true);
	else if (strcmp(name, "probe") == 0)
		probe(session, words);
	else
		packet(session, words);
	resets_print(session);
}

static void line_run(struct session *session, const char *line)
{
	char **words = g_strsplit(line, " ", WORDS_MAX);

	/* Expected lines are generated again; the whole text is compared. */
	if (!g_str_has_prefix(line, "> ")) {
		g_string_append_printf(session->text, "%s\n", line);
		if (*line != '\0' && *line != '#')
			command_run(session, words);
	}
	g_strfreev(words);
}

START_TEST(session_is_as_recorded) {
	char *path = g_strdup_printf("%s/%s.session", SESSIONS, sessions[_i]);
	struct session session = { .text = g_string_new(NULL) };
	char *expected = NULL;
	char **lines;

	ck_assert(g_file_get_contents(path, &expected, NULL, NULL));
	fixture_open(&session.fixture, "a");
	lines = g_strsplit(expected, "\n", -1);
	/* The text after the last newline is empty. */
	for (char **line = lines; *line && line[1]; line++)
		line_run(&session, *line);
	if (getenv("UPDATE_SESSIONS"))
		g_file_set_contents(path, session.text->str, -1, NULL);
	else
		ck_assert_str_eq(session.text->str, expected);
	fixture_close(&session.fixture);
	g_string_free(session.text, TRUE);
	g_strfreev(lines);
	g_free(expected);
	g_free(path);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sessions");
	TCase *cases = tcase_create("sessions");

	tcase_add_loop_test(cases, session_is_as_recorded, 0,
			    G_N_ELEMENTS(sessions));
	suite_add_tcase(suite, cases);
	return suite_run(suite);
}
