#include "standins/schedule.h"

#include <glib.h>
#include <stdbool.h>

struct call {
	int64_t due_ns;
	uint64_t order;
	void (*run)(void *context, void *data);
	void *context;
	void *data;
};

struct schedule {
	struct schedule_options options;
	GArray *heap; /* binary heap of struct call, earliest first */
	uint64_t next_order;
	GSource *source;
};

struct schedule_source {
	GSource source;
	struct schedule *schedule;
};

static struct call *call_at(struct schedule *schedule, guint index)
{
	return &g_array_index(schedule->heap, struct call, index);
}

static bool call_is_earlier(const struct call *a, const struct call *b)
{
	if (a->due_ns != b->due_ns)
		return a->due_ns < b->due_ns;
	return a->order < b->order;
}

static void heap_swap(struct schedule *schedule, guint a, guint b)
{
	struct call saved = *call_at(schedule, a);

	*call_at(schedule, a) = *call_at(schedule, b);
	*call_at(schedule, b) = saved;
}

static void heap_raise(struct schedule *schedule, guint index)
{
	while (index > 0) {
		guint parent = (index - 1) / 2;

		if (!call_is_earlier(call_at(schedule, index),
				     call_at(schedule, parent)))
			return;
		heap_swap(schedule, index, parent);
		index = parent;
	}
}

static void heap_lower(struct schedule *schedule, guint index)
{
	for (;;) {
		guint least = index;

		for (guint child = 2 * index + 1;
		     child <= 2 * index + 2 && child < schedule->heap->len;
		     child++)
			if (call_is_earlier(call_at(schedule, child),
					    call_at(schedule, least)))
				least = child;
		if (least == index)
			return;
		heap_swap(schedule, index, least);
		index = least;
	}
}

static struct call heap_take(struct schedule *schedule)
{
	struct call first = *call_at(schedule, 0);

	heap_swap(schedule, 0, schedule->heap->len - 1);
	g_array_set_size(schedule->heap, schedule->heap->len - 1);
	heap_lower(schedule, 0);
	return first;
}

/* The source uses GLib's monotonic time, so the wait is computed afresh. */
static void schedule_arm(struct schedule *schedule)
{
	int64_t wait_ns;

	if (schedule->heap->len == 0) {
		g_source_set_ready_time(schedule->source, -1);
		return;
	}
	wait_ns = call_at(schedule, 0)->due_ns -
		  clock_now_ns(schedule->options.clock);
	g_source_set_ready_time(schedule->source,
				g_get_monotonic_time() +
					MAX(wait_ns, 0) / NS_PER_US);
}

static gboolean schedule_dispatch(GSource *source, GSourceFunc callback,
				  gpointer data)
{
	struct schedule *schedule =
		((struct schedule_source *)source)->schedule;
	int64_t now_ns = clock_now_ns(schedule->options.clock);

	(void)callback;
	(void)data;
	while (schedule->heap->len > 0 &&
	       call_at(schedule, 0)->due_ns <= now_ns) {
		struct call call = heap_take(schedule);

		call.run(call.context, call.data);
		g_free(call.data);
	}
	if (schedule->options.on_batch_end)
		schedule->options.on_batch_end(schedule->options.context);
	schedule_arm(schedule);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_functions = { .dispatch = schedule_dispatch };

struct schedule *schedule_create(const struct schedule_options *options)
{
	struct schedule *schedule = g_new0(struct schedule, 1);

	schedule->options = *options;
	schedule->heap = g_array_new(FALSE, FALSE, sizeof(struct call));
	schedule->source =
		g_source_new(&source_functions, sizeof(struct schedule_source));
	((struct schedule_source *)schedule->source)->schedule = schedule;
	g_source_attach(schedule->source, NULL);
	return schedule;
}

void schedule_destroy(struct schedule *schedule)
{
	g_source_destroy(schedule->source);
	g_source_unref(schedule->source);
	for (guint i = 0; i < schedule->heap->len; i++)
		g_free(call_at(schedule, i)->data);
	g_array_free(schedule->heap, TRUE);
	g_free(schedule);
}

void schedule_add(struct schedule *schedule, int64_t due_ns,
		  void (*run)(void *context, void *data), void *context,
		  void *data)
{
	struct call call = { due_ns, schedule->next_order++, run, context,
			     data };

	g_array_append_val(schedule->heap, call);
	heap_raise(schedule, schedule->heap->len - 1);
	if (call_at(schedule, 0)->order == call.order)
		schedule_arm(schedule);
}
