#include "standins/soak/soak.h"

/* Later step of a fault, such as its end. */
struct scheduled_action {
	int64_t due_ns;
	void (*run)(struct soak *soak, uint32_t index);
	uint32_t index;
};

static GArray *scheduled; /* struct scheduled_action */

void soak_action_schedule(struct soak *soak, uint32_t delay_ms, uint32_t index,
			  void (*run)(struct soak *soak, uint32_t index))
{
	const struct scheduled_action entry = {
		.due_ns = soak_now(soak) + delay_ms * NS_PER_MS,
		.run = run,
		.index = index,
	};

	if (!scheduled)
		scheduled = g_array_new(FALSE, FALSE,
					sizeof(struct scheduled_action));
	g_array_append_val(scheduled, entry);
}

void soak_actions_tick(struct soak *soak)
{
	for (guint i = 0; scheduled && i < scheduled->len;) {
		struct scheduled_action entry =
			g_array_index(scheduled, struct scheduled_action, i);

		if (entry.due_ns > soak_now(soak)) {
			i++;
			continue;
		}
		g_array_remove_index_fast(scheduled, i);
		entry.run(soak, entry.index);
	}
}

bool soak_actions_are_over(void)
{
	return !scheduled || scheduled->len == 0;
}
