#include "steering/admission.h"

#include "admission_service.h"
#include "common/clock.h"

#define REPORT_INTERVAL_NS (1 * NS_PER_S)
#define REPORT_SHARE_STEP 0.1
/* A service without an opening packet for this long is forgotten. */
#define UNUSED_NS (60 * NS_PER_S)

const char *const admission_reason_names[ADMISSION_REASONS] = {
	[ADMISSION_OFF] = "off",
	[ADMISSION_NO_LOAD] = "no_load",
	[ADMISSION_LOAD_OLD] = "load_old",
	[ADMISSION_ONE_PRIORITY] = "one_priority",
	[ADMISSION_ROOM] = "room",
	[ADMISSION_MOST_URGENT] = "most_urgent",
	[ADMISSION_WITHIN_LIMIT] = "within_limit",
	[ADMISSION_NO_ROOM] = "no_room",
};

const char *const admission_class_names[ADMISSION_CLASSES] = {
	"priority_0", "priority_1", "priority_2", "priority_3",
	"priority_4", "priority_5", "priority_6", "priority_7_up",
};

struct service_entry {
	char *name;
	struct admission_service *service;
	int64_t used_ns; /* last opening packet */
	int64_t reported_ns; /* last change; 0 for never */
	bool was_limited; /* as last reported */
	double reported_share;
};

struct admission {
	struct admission_options options;
	bool is_enabled;
	GHashTable *services; /* name to struct service_entry */
	uint64_t reasons[ADMISSION_REASONS];
	uint64_t admitted[ADMISSION_CLASSES];
	uint64_t refused[ADMISSION_CLASSES];
};

static void entry_destroy(gpointer data)
{
	struct service_entry *entry = data;

	admission_service_destroy(entry->service);
	g_free(entry->name);
	g_free(entry);
}

struct admission *admission_create(const struct admission_options *options)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->options = *options;
	admission->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, entry_destroy);
	return admission;
}

void admission_destroy(struct admission *admission)
{
	if (!admission)
		return;
	g_hash_table_destroy(admission->services);
	g_free(admission);
}

void admission_set_enabled(struct admission *admission, bool is_enabled)
{
	if (!is_enabled)
		g_hash_table_remove_all(admission->services);
	admission->is_enabled = is_enabled;
}

static struct service_entry *entry_find(struct admission *admission,
					const char *name, int64_t now_ns)
{
	struct service_entry *entry =
		g_hash_table_lookup(admission->services, name);

	if (entry)
		return entry;
	entry = g_new0(struct service_entry, 1);
	entry->name = g_strdup(name);
	entry->service = admission_service_create(now_ns);
	entry->reported_share = 1;
	g_hash_table_insert(admission->services, entry->name, entry);
	return entry;
}

static void status_fill(const struct service_entry *entry, int64_t now_ns,
			struct admission_status *status)
{
	admission_service_status(entry->service, now_ns, status);
	status->service = entry->name;
}

static void change_report(const struct admission *admission,
			  struct service_entry *entry, int64_t now_ns)
{
	struct admission_status status;
	double difference;

	if (!admission->options.on_changed ||
	    (entry->reported_ns != 0 &&
	     now_ns - entry->reported_ns < REPORT_INTERVAL_NS))
		return;
	status_fill(entry, now_ns, &status);
	difference = status.lowest_share - entry->reported_share;
	if (status.is_limited == entry->was_limited &&
	    ABS(difference) <= REPORT_SHARE_STEP)
		return;
	entry->was_limited = status.is_limited;
	entry->reported_share = status.lowest_share;
	entry->reported_ns = now_ns;
	admission->options.on_changed(admission->options.context, &status);
}

static void entry_update(const struct admission *admission,
			 struct service_entry *entry, int64_t now_ns)
{
	if (admission_service_update(entry->service, now_ns))
		change_report(admission, entry, now_ns);
}

static enum admission_reason entry_admit(const struct admission *admission,
					 struct service_entry *entry,
					 uint8_t priority,
					 const struct admission_load *load,
					 int64_t now_ns, GRand *random)
{
	entry->used_ns = now_ns;
	admission_service_set_load(entry->service, load, now_ns);
	entry_update(admission, entry, now_ns);
	return admission_service_admit(entry->service, priority, now_ns,
				       random);
}

enum admission_reason admission_admit(struct admission *admission,
				      const char *service, uint8_t priority,
				      const struct admission_load *load,
				      int64_t now_ns, GRand *random)
{
	guint class = MIN(priority, ADMISSION_CLASSES - 1);
	enum admission_reason reason = ADMISSION_OFF;

	if (admission->is_enabled)
		reason = entry_admit(admission,
				     entry_find(admission, service, now_ns),
				     priority, load, now_ns, random);
	admission->reasons[reason]++;
	if (reason == ADMISSION_NO_ROOM)
		admission->refused[class]++;
	else
		admission->admitted[class]++;
	return reason;
}

void admission_tick(struct admission *admission, int64_t now_ns)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, admission->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		struct service_entry *entry = value;

		entry_update(admission, entry, now_ns);
		if (now_ns - entry->used_ns > UNUSED_NS)
			g_hash_table_iter_remove(&iterator);
	}
}

void admission_foreach(const struct admission *admission, int64_t now_ns,
		       void (*visit)(void *context,
				     const struct admission_status *status),
		       void *context)
{
	struct admission_status status;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, admission->services);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		status_fill(value, now_ns, &status);
		visit(context, &status);
	}
}

const uint64_t *admission_reason_counts(const struct admission *admission)
{
	return admission->reasons;
}

const uint64_t *admission_admitted_counts(const struct admission *admission)
{
	return admission->admitted;
}

const uint64_t *admission_refused_counts(const struct admission *admission)
{
	return admission->refused;
}
