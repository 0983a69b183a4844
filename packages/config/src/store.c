#define GW_LOG_PART "config"
#include "galenagw/config/store.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

const char *const GwFold_Names[GW_FOLDS] = {
    "ignored", "applied", "rejected", "restored", "waiting",
};

typedef struct {
    uint64_t offset;
    json_t *record;
} Pending;

struct GwStore {
    char *site;
    json_t *document;
    GwConfig *config;
    uint64_t revision;
    uint64_t folded_to; /* records below are part of the state */
    uint64_t next;      /* offset to read next */
    uint64_t since_snapshot;
    bool has_state;
    bool waiting;    /* records are missing */
    uint64_t window; /* first offset of `pending` */
    GQueue pending;  /* Pending, kept while waiting */
};

static GwFold fold_change_(GwStore *s, uint64_t offset, const json_t *record);
static GwFold fold_snapshot_(GwStore *s, const json_t *record);
static void keep_(GwStore *s, uint64_t offset, const json_t *record);
static void replay_pending_(GwStore *s);
static void drop_pending_(GwStore *s);
static void set_state_(GwStore *s, uint64_t revision, uint64_t folded_to,
                       json_t *document);
static uint64_t number_(const json_t *record, const char *name);
static bool is_type_(const json_t *record, const char *type);

GwStore *
GwStore_New(const char *site)
{
    GwStore *s = g_new0(GwStore, 1);

    s->site = g_strdup(site != NULL ? site : "");
    s->document = json_object();
    g_queue_init(&s->pending);
    return s;
}

void
GwStore_Delete(GwStore *s)
{
    if (s == NULL)
        return;
    drop_pending_(s);
    json_decref(s->document);
    GwConfig_Delete(s->config);
    g_free(s->site);
    g_free(s);
}

void
GwStore_LogStarts(GwStore *s, uint64_t first)
{
    if (first <= s->next)
        return;
    // Records between were expired unread. Folding on from here would
    // reject changes that others accepted; so wait for a snapshot that
    // covers the hole. The old state stays in force meanwhile.
    GW_WARN("log records %" PRIu64 " to %" PRIu64
            " expired unread; waiting for a snapshot",
            s->next, first - 1);
    s->waiting = true;
    drop_pending_(s);
    s->window = first;
    s->next = first;
}

GwFold
GwStore_Fold(GwStore *s, uint64_t offset, const json_t *record)
{
    if (offset < s->next)
        return GW_FOLD_IGNORED;
    GwStore_LogStarts(s, offset);
    s->next = offset + 1;
    s->since_snapshot++;
    if (is_type_(record, "snapshot"))
        return fold_snapshot_(s, record);
    if (!is_type_(record, "change"))
        return GW_FOLD_IGNORED;
    if (s->waiting) {
        keep_(s, offset, record);
        return GW_FOLD_WAITING;
    }
    return fold_change_(s, offset, record);
}

GwFold
GwStore_Restore(GwStore *s, uint64_t revision, uint64_t folded_to,
                const json_t *document)
{
    if (s->has_state && revision <= s->revision)
        return GW_FOLD_IGNORED;
    set_state_(s, revision, folded_to, json_deep_copy(document));
    if (folded_to >= s->next) {
        // The peer has read further: nothing between is missing any more.
        s->next = folded_to;
        s->waiting = false;
        drop_pending_(s);
    }
    else if (s->waiting && folded_to >= s->window) {
        replay_pending_(s);
    }
    return GW_FOLD_RESTORED;
}

bool
GwStore_HasState(const GwStore *s)
{
    return s->has_state;
}

bool
GwStore_IsWaiting(const GwStore *s)
{
    return s->waiting;
}

uint64_t
GwStore_Revision(const GwStore *s)
{
    return s->revision;
}

uint64_t
GwStore_FoldedTo(const GwStore *s)
{
    return s->waiting ? s->folded_to : s->next;
}

uint64_t
GwStore_NextOffset(const GwStore *s)
{
    return s->next;
}

uint64_t
GwStore_SinceSnapshot(const GwStore *s)
{
    return s->since_snapshot;
}

const json_t *
GwStore_Document(const GwStore *s)
{
    return s->document;
}

const GwConfig *
GwStore_Config(const GwStore *s)
{
    return s->config;
}

json_t *
GwStore_MakeChange(uint64_t base, const char *id, const char *author,
                   const json_t *patch)
{
    return json_pack("{s:s, s:I, s:s, s:s, s:O}", "t", "change", "base",
                     (json_int_t)base, "id", id, "by", author, "patch",
                     (json_t *)patch);
}

json_t *
GwStore_MakeSnapshot(const GwStore *s)
{
    return json_pack("{s:s, s:I, s:I, s:O}", "t", "snapshot", "revision",
                     (json_int_t)s->revision, "folded_to",
                     (json_int_t)GwStore_FoldedTo(s), "document", s->document);
}

static GwFold
fold_change_(GwStore *s, uint64_t offset, const json_t *record)
{
    json_t *merged;

    if (number_(record, "base") != s->revision)
        return GW_FOLD_REJECTED;
    merged = GwDocument_Merge(s->document, json_object_get(record, "patch"));
    set_state_(s, s->revision + 1, offset + 1, merged);
    return GW_FOLD_APPLIED;
}

static GwFold
fold_snapshot_(GwStore *s, const json_t *record)
{
    uint64_t revision = number_(record, "revision");
    uint64_t folded_to = number_(record, "folded_to");

    s->since_snapshot = 0;
    if (!s->waiting)
        return GW_FOLD_IGNORED;
    // A snapshot folded to before our window leaves a hole between.
    if (folded_to < s->window)
        return GW_FOLD_WAITING;
    if (!s->has_state || revision > s->revision)
        set_state_(s, revision, folded_to,
                   json_deep_copy(json_object_get(record, "document")));
    else
        s->folded_to = MAX(s->folded_to, folded_to);
    replay_pending_(s);
    return GW_FOLD_RESTORED;
}

static void
keep_(GwStore *s, uint64_t offset, const json_t *record)
{
    Pending *p = g_new(Pending, 1);

    p->offset = offset;
    p->record = json_deep_copy(record);
    g_queue_push_tail(&s->pending, p);
}

static void
replay_pending_(GwStore *s)
{
    s->waiting = false;
    for (GList *l = s->pending.head; l != NULL; l = l->next) {
        Pending *p = l->data;

        if (p->offset >= s->folded_to)
            fold_change_(s, p->offset, p->record);
    }
    drop_pending_(s);
}

static void
drop_pending_(GwStore *s)
{
    Pending *p;

    while ((p = g_queue_pop_head(&s->pending)) != NULL) {
        json_decref(p->record);
        g_free(p);
    }
}

static void
set_state_(GwStore *s, uint64_t revision, uint64_t folded_to, json_t *document)
{
    g_autofree char *site = g_strdup(s->site);
    json_t *effective = GwDocument_Effective(document, site);
    GwError err = {0};
    GwConfig *config = GwConfig_New(effective, &err);

    json_decref(effective);
    json_decref(s->document);
    s->document = document;
    s->revision = revision;
    s->folded_to = folded_to;
    s->has_state = true;
    if (config == NULL) {
        // Folding must not depend on the checks, which may differ between
        // versions of the program; only what is in force here does.
        GW_WARN("revision %" PRIu64 " is not usable for site '%s': %s",
                revision, site, err.message);
        return;
    }
    GwConfig_Delete(s->config);
    s->config = config;
}

static uint64_t
number_(const json_t *record, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(record, name));
}

static bool
is_type_(const json_t *record, const char *type)
{
    const char *t = json_string_value(json_object_get(record, "t"));

    return t != NULL && strcmp(t, type) == 0;
}
