#include "galenagw/cluster/naming_store.h"

#include <string.h>

#include "galenagw/adapter/store.h"
#include "galenagw/http/caller.h"

#define CALL_TIMEOUT (1 * GW_SECOND)
/* Mean delay after a failed call. */
#define RETRY_DELAY (500 * GW_MILLISECOND)
/* Mean delay before the times are stored. The first process writes, the others
 * only read; they should not all call at once. */
#define SAVE_DELAY (500 * GW_MILLISECOND)
/* How long a lookup may take before the times count as unknown. */
#define LOOKUP_TIME (1 * GW_SECOND)
/* A stored time is not replaced by one that is earlier by less than this:
 * processes read a new version within some hundred milliseconds. */
#define TIME_TOLERANCE (1 * GW_SECOND)
/* By how much the time of day may differ between two machines. */
#define CLOCK_DIFFERENCE_MAX (500 * GW_MILLISECOND)
/* A stored time that is further in the future is invalid. */
#define FUTURE_TIME_MAX (5 * GW_SECOND)

struct GwNamingStore {
    GwNamingStoreOptions options;
    GwHttpCaller *caller;
    GwTimer timer;            /* next call */
    bool is_save_due;         /* some times may not be stored yet */
    bool is_lookup_due;       /* the times are not read yet */
    bool was_looked_up;       /* a lookup was answered */
    GwTime lookup_started_at; /* 0: none was necessary */
    GHashTable *stored;       /* model to GwModelVersions, as last read */
    int64_t end;              /* of the list, as last read */
};

/* The times of one model that are to be written. */
typedef struct {
    GwNamingStore *store;
    const char *model; /* NULL: none yet; the store lacks times of it */
    GArray *namings;   /* GwStoredNaming */
} Write;

static void send_next_call_(void *user);
static void send_read_(GwNamingStore *s);
static void on_read_(void *user, GwCallOutcome outcome, int status,
                     const char *body, size_t len);
static void on_naming_(void *user, const char *model,
                       const GwStoredNaming *naming);
static void apply_stored_time_(GwNamingStore *s, const char *model,
                               int64_t version, GwTime named_at);
static bool send_write_(GwNamingStore *s);
static void choose_model_(void *user, const char *model, int64_t version,
                          GwTime named_at);
static void add_naming_(void *user, const char *model, int64_t version,
                        GwTime named_at);
static void on_written_(void *user, GwCallOutcome outcome, int status,
                        const char *body, size_t len);
static void retry_(GwNamingStore *s, const char *call, GwCallOutcome outcome,
                   int status);
static bool has_engine_of_unknown_age_(const GwNamingStore *s);

GwNamingStore *
GwNamingStore_New(GwLoop *loop, const GwNamingStoreOptions *options)
{
    GwNamingStore *s = g_new0(GwNamingStore, 1);

    s->options = *options;
    s->caller = GwHttpCaller_New(loop, &options->store);
    s->stored = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GwTimer_Init(&s->timer, loop, send_next_call_, s);
    return s;
}

void
GwNamingStore_Delete(GwNamingStore *s)
{
    if (s == NULL)
        return;
    GwTimer_Stop(&s->timer);
    GwHttpCaller_Delete(s->caller);
    g_hash_table_unref(s->stored);
    g_free(s);
}

void
GwNamingStore_OnNamed(GwNamingStore *s, const GwModelVersions *versions)
{
    if (GwModelVersions_NamedAt(versions, versions->version) !=
        GW_NAMED_LONG_AGO)
        GwNamingStore_Save(s);
}

void
GwNamingStore_Save(GwNamingStore *s)
{
    bool was_due = s->is_save_due;

    s->is_save_due = true;
    // Versions that are named meanwhile are part of the same calls.
    if (!was_due && s->timer.place == NULL)
        GwTimer_Start(&s->timer, GwTime_Jitter(s->options.rand, SAVE_DELAY));
}

void
GwNamingStore_Check(GwNamingStore *s)
{
    if (s->was_looked_up || s->is_lookup_due || !has_engine_of_unknown_age_(s))
        return;
    s->is_lookup_due = true;
    s->lookup_started_at = GwTime_Now();
    send_next_call_(s);
}

bool
GwNamingStore_IsLookingUp(const GwNamingStore *s)
{
    return s->is_lookup_due &&
           GwTime_Now() - s->lookup_started_at < LOOKUP_TIME;
}

static void
send_next_call_(void *user)
{
    GwNamingStore *s = user;

    if (GwHttpCaller_IsBusy(s->caller))
        return;
    GwTimer_Stop(&s->timer);
    if (s->is_lookup_due || s->is_save_due)
        send_read_(s);
}

static void
send_read_(GwNamingStore *s)
{
    g_autoptr(GString) out = g_string_new(NULL);

    GwStore_EncodeNamingsRead(out);
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_CALLS, 1);
    GwHttpCaller_Send(s->caller, out, CALL_TIMEOUT, on_read_, s);
}

static void
on_read_(void *user, GwCallOutcome outcome, int status, const char *body,
         size_t len)
{
    GwNamingStore *s = user;
    GwError err = {0};

    g_hash_table_remove_all(s->stored);
    if (outcome != GW_CALL_ANSWERED ||
        GwStore_Verdict(status) != GW_STORE_OK ||
        !GwStore_DecodeNamings(body, len, on_naming_, s, &s->end, &err)) {
        retry_(s, "read", outcome, status);
        return;
    }
    s->is_lookup_due = false;
    s->was_looked_up = true;
    if (s->is_save_due)
        s->is_save_due = send_write_(s);
}

static void
on_naming_(void *user, const char *model, const GwStoredNaming *naming)
{
    GwNamingStore *s = user;
    GwModelVersions *stored = g_hash_table_lookup(s->stored, model);
    int64_t ms_of_day = g_get_real_time() / GW_MILLISECOND;
    GwTime age;
    GwTime named_at;

    // The record may contain any number, so compare before computing.
    if (naming->named_ms < 0 ||
        naming->named_ms - ms_of_day > FUTURE_TIME_MAX / GW_MILLISECOND)
        return;
    age = MIN(ms_of_day - naming->named_ms,
              -GW_NAMED_LONG_AGO / GW_MILLISECOND - 1) *
          GW_MILLISECOND;
    if (stored == NULL) {
        stored = g_new(GwModelVersions, 1);
        GwModelVersions_Init(stored);
        g_hash_table_insert(s->stored, g_strdup(model), stored);
    }
    named_at = GwTime_Now() - age;
    GwModelVersions_Note(stored, naming->version, named_at);
    apply_stored_time_(s, model, naming->version, named_at);
}

// A time that this process knows itself is replaced only if the clocks do not
// explain the difference. Otherwise the times of two processes would push each
// other further and further back. Only the operator list names versions: an
// odd row with a later one would make all engines of the model outdated.
static void
apply_stored_time_(GwNamingStore *s, const char *model, int64_t version,
                   GwTime named_at)
{
    const GwModelVersions *versions =
        GwView_ModelVersions(s->options.view, model);
    GwTime known = GwModelVersions_NamedAt(versions, version);

    if (version > versions->version)
        return;
    if (known == GW_NAMED_LONG_AGO)
        GwView_NoteNamed(s->options.view, model, version,
                         named_at - CLOCK_DIFFERENCE_MAX);
    else if (named_at < known - CLOCK_DIFFERENCE_MAX)
        GwView_NoteNamed(s->options.view, model, version, named_at);
}

// Writes the times of a model of which the store lacks some. Returns false if
// it lacks none.
static bool
send_write_(GwNamingStore *s)
{
    g_autoptr(GString) out = g_string_new(NULL);
    g_autoptr(GArray) namings =
        g_array_new(FALSE, FALSE, sizeof(GwStoredNaming));
    Write w = {.store = s, .namings = namings};

    GwView_EachNamed(s->options.view, choose_model_, &w);
    if (w.model == NULL)
        return false;
    GwView_EachNamed(s->options.view, add_naming_, &w);
    GwStore_EncodeNamings(w.model, (const GwStoredNaming *)namings->data,
                          namings->len, s->end, out);
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_CALLS, 1);
    GwHttpCaller_Send(s->caller, out, CALL_TIMEOUT, on_written_, s);
    return true;
}

static void
choose_model_(void *user, const char *model, int64_t version, GwTime named_at)
{
    Write *w = user;
    const GwModelVersions none = {.version = -1};
    const GwModelVersions *stored =
        g_hash_table_lookup(w->store->stored, model);
    const GwModelVersions *known =
        GwView_ModelVersions(w->store->options.view, model);

    if (w->model == NULL && GwStore_IsValidModel(model) &&
        GwModelVersions_Lacks(stored != NULL ? stored : &none, known,
                              TIME_TOLERANCE))
        w->model = model;
}

static void
add_naming_(void *user, const char *model, int64_t version, GwTime named_at)
{
    Write *w = user;
    GwTime age = GwTime_Now() - named_at;
    GwStoredNaming naming = {version,
                             (g_get_real_time() - age) / GW_MILLISECOND};

    if (strcmp(model, w->model) == 0)
        g_array_append_val(w->namings, naming);
}

// A write that another one preceded had no effect: the list is read again. A
// write without an answer may have had one.
static void
on_written_(void *user, GwCallOutcome outcome, int status, const char *body,
            size_t len)
{
    GwNamingStore *s = user;

    if (outcome != GW_CALL_ANSWERED || GwStore_Verdict(status) != GW_STORE_OK)
        retry_(s, "write", outcome, status);
    else
        send_next_call_(s);
}

static void
retry_(GwNamingStore *s, const char *call, GwCallOutcome outcome, int status)
{
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_ERRORS, 1);
    GwEvent_Begin(s->options.log, "naming_store_failed", NULL);
    GwEvent_Text(s->options.log, "call", call);
    GwEvent_Text(s->options.log, "outcome", GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->options.log, "status", status);
    GwEvent_End(s->options.log);
    GwTimer_Start(&s->timer, GwTime_Jitter(s->options.rand, RETRY_DELAY));
}

static bool
has_engine_of_unknown_age_(const GwNamingStore *s)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(s->options.view));

    for (guint i = 0; i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->model != NULL && !instance->draining &&
            GwModelVersions_IsAgeUnknown(
                GwView_ModelVersions(s->options.view, instance->model),
                instance->weights))
            return true;
    }
    return false;
}
