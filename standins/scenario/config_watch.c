#include "standins/scenario/config_watch.h"

#include <inttypes.h>
#include <libsoup/soup.h>
#include <stdio.h>

#include "standins/scenario/runner.h"

#define POLL_MS 10
#define REQUEST_TIMEOUT_S 2

struct publication {
	uint64_t revision;
	int64_t start_us;
};

/* What one balancer said; the index in the array is its number - 1. */
struct watched {
	struct config_watch *watch;
	unsigned int number;
	uint64_t revision;
	bool is_asked;
};

struct config_watch {
	const struct runner *runner;
	SoupSession *session;
	GCancellable *cancellable;
	struct watched *watched;
	unsigned int watched_count;
	unsigned int requests; /* that have not ended */
	GArray *pending; /* struct publication, by rising revision */
	GArray *times_s; /* double */
	unsigned int reverts;
	unsigned int last_reporter; /* of a higher revision than before */
	guint source; /* 0 while nothing is pending */
};

struct config_watch *config_watch_create(const struct runner *runner)
{
	struct config_watch *watch = g_new0(struct config_watch, 1);
	int count = (int)runner->balancers->len;

	watch->runner = runner;
	watch->session = soup_session_new_with_options(
		"max-conns", count + 1, "max-conns-per-host", 2, "timeout",
		REQUEST_TIMEOUT_S, NULL);
	watch->cancellable = g_cancellable_new();
	watch->watched_count = runner->balancers->len;
	watch->watched = g_new0(struct watched, watch->watched_count);
	for (unsigned int i = 0; i < watch->watched_count; i++) {
		watch->watched[i].watch = watch;
		watch->watched[i].number = i + 1;
	}
	watch->pending = g_array_new(FALSE, FALSE, sizeof(struct publication));
	watch->times_s = g_array_new(FALSE, FALSE, sizeof(double));
	return watch;
}

void config_watch_destroy(struct config_watch *watch)
{
	if (watch->source != 0)
		g_source_remove(watch->source);
	g_cancellable_cancel(watch->cancellable);
	/* on_state() must run before its argument is freed. */
	while (watch->requests > 0)
		g_main_context_iteration(NULL, TRUE);
	g_object_unref(watch->cancellable);
	g_object_unref(watch->session);
	g_array_free(watch->pending, TRUE);
	g_array_free(watch->times_s, TRUE);
	g_free(watch->watched);
	g_free(watch);
}

static bool revision_is_in_force(const struct config_watch *watch,
				 uint64_t revision)
{
	unsigned int running = 0;

	for (unsigned int i = 0; i < watch->watched_count; i++) {
		const struct balancer *balancer =
			watch->runner->balancers->pdata[i];

		if (balancer->state != BALANCER_RUNNING)
			continue;
		if (watch->watched[i].revision < revision)
			return false;
		running++;
	}
	return running > 0;
}

static void pending_settle(struct config_watch *watch)
{
	while (watch->pending->len > 0) {
		const struct publication *first =
			&g_array_index(watch->pending, struct publication, 0);
		double time_s =
			(double)(g_get_monotonic_time() - first->start_us) /
			G_USEC_PER_SEC;

		if (!revision_is_in_force(watch, first->revision))
			return;
		printf("revision %" PRIu64 " in force after %.3f s, last on "
		       "balancer %u\n",
		       first->revision, time_s, watch->last_reporter);
		fflush(stdout);
		g_array_append_val(watch->times_s, time_s);
		g_array_remove_index(watch->pending, 0);
	}
}

void config_watch_reported(struct config_watch *watch, unsigned int number,
			   uint64_t revision)
{
	struct watched *watched;

	/* A process that has just started has none yet. */
	if (number < 1 || number > watch->watched_count || revision == 0)
		return;
	watched = &watch->watched[number - 1];
	if (revision < watched->revision)
		watch->reverts++;
	if (revision > watched->revision)
		watch->last_reporter = number;
	watched->revision = revision;
}

static uint64_t state_revision(GBytes *answer)
{
	g_autofree char *text = g_strndup(g_bytes_get_data(answer, NULL),
					  g_bytes_get_size(answer));
	JsonObject *state = channel_parse(text, NULL);
	JsonObject *revision = NULL;
	int64_t number = 0;

	if (!state)
		return 0;
	if (json_object_has_member(state, "revision"))
		revision = json_object_get_object_member(state, "revision");
	if (revision)
		number = json_object_get_int_member_with_default(revision,
								 "number", 0);
	json_object_unref(state);
	return (uint64_t)number;
}

static void on_state(GObject *source, GAsyncResult *result, gpointer data)
{
	struct watched *watched = data;
	struct config_watch *watch = watched->watch;
	g_autoptr(GBytes) answer = soup_session_send_and_read_finish(
		SOUP_SESSION(source), result, NULL);

	watched->is_asked = false;
	watch->requests--;
	if (!answer || g_cancellable_is_cancelled(watch->cancellable))
		return;
	config_watch_reported(watch, watched->number, state_revision(answer));
	pending_settle(watch);
}

static void balancer_ask(struct config_watch *watch, struct watched *watched,
			 const struct balancer *balancer)
{
	g_autofree char *url = g_strdup_printf("http://%s:%u/v1/state",
					       balancer->address,
					       balancer->admin_port);
	g_autoptr(SoupMessage) message = soup_message_new("GET", url);

	watched->is_asked = true;
	watch->requests++;
	soup_session_send_and_read_async(watch->session, message,
					 G_PRIORITY_DEFAULT, watch->cancellable,
					 on_state, watched);
}

/* Balancers that have reported the newest revision are not asked again. */
static gboolean on_poll(gpointer data)
{
	struct config_watch *watch = data;
	const GPtrArray *balancers = watch->runner->balancers;
	uint64_t newest;

	pending_settle(watch);
	if (watch->pending->len == 0) {
		watch->source = 0;
		return G_SOURCE_REMOVE;
	}
	newest = g_array_index(watch->pending, struct publication,
			       watch->pending->len - 1)
			 .revision;
	for (unsigned int i = 0; i < watch->watched_count; i++) {
		const struct balancer *balancer = balancers->pdata[i];
		struct watched *watched = &watch->watched[i];

		if (balancer->state == BALANCER_RUNNING && !watched->is_asked &&
		    watched->revision < newest)
			balancer_ask(watch, watched, balancer);
	}
	return G_SOURCE_CONTINUE;
}

void config_watch_published(struct config_watch *watch, uint64_t revision,
			    int64_t start_us)
{
	struct publication publication = { revision, start_us };

	g_array_append_val(watch->pending, publication);
	if (watch->source == 0)
		watch->source = g_timeout_add(POLL_MS, on_poll, watch);
}

const GArray *config_watch_times(const struct config_watch *watch)
{
	return watch->times_s;
}

unsigned int config_watch_pending(const struct config_watch *watch)
{
	return watch->pending->len;
}

unsigned int config_watch_reverts(const struct config_watch *watch)
{
	return watch->reverts;
}
