#define GW_LOG_PART "config"
#include "galenagw/config/store.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

const char *const GwFold_Names[GW_FOLDS] = {
    "ignored", "applied", "rejected", "restored", "waiting",
};

/* A change that cannot be applied before the missing records are covered. */
typedef struct {
    uint64_t offset;
    json_t *record;
} PendingChange;

struct GwStore {
    char *site;           /* "": none */
    json_t *document;     /* base and overlays of all sites */
    GwConfig *config;     /* of the last valid revision; NULL: none */
    uint64_t revision;    /* number of changes in `document` */
    uint64_t folded_to;   /* the state includes all changes below it */
    uint64_t next_offset; /* offset of the next record to read */
    uint64_t records_since_snapshot;
    bool has_state;  /* false until the first change, snapshot or state of a
                        peer */
    bool is_waiting; /* records have expired unread: a snapshot or the state of
                        a peer is needed */
    uint64_t pending_start; /* first offset that was read after the missing
                               records */
    GQueue
        pending; /* PendingChange in the order of offsets, while is_waiting */
};

static GwFoldResult fold_change_(GwStore *s, uint64_t offset,
                                 const json_t *record);
static GwFoldResult fold_snapshot_(GwStore *s, const json_t *record);
static void queue_change_(GwStore *s, uint64_t offset, const json_t *record);
static void replay_pending_(GwStore *s);
static void drop_pending_(GwStore *s);
static void set_state_(GwStore *s, uint64_t revision, uint64_t folded_to,
                       json_t *document);
static uint64_t read_number_(const json_t *record, const char *name);
static bool has_type_(const json_t *record, const char *type);

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
GwStore_NoteLogStart(GwStore *s, uint64_t first)
{
    if (first <= s->next_offset)
        return;
    // The records between expired before they were read. Without them, this
    // process would reject later changes that others apply, because their
    // base is a revision that it does not have. It waits for a snapshot or the
    // state of a peer that covers the gap; until then the old state stays in
    // effect.
    GW_WARN("log records %" PRIu64 " to %" PRIu64
            " expired before they were read; waiting for a snapshot",
            s->next_offset, first - 1);
    s->is_waiting = true;
    drop_pending_(s);
    s->pending_start = first;
    s->next_offset = first;
}

GwFoldResult
GwStore_Fold(GwStore *s, uint64_t offset, const json_t *record)
{
    if (offset < s->next_offset)
        return GW_FOLD_IGNORED;
    GwStore_NoteLogStart(s, offset);
    s->next_offset = offset + 1;
    s->records_since_snapshot++;
    if (has_type_(record, "snapshot"))
        return fold_snapshot_(s, record);
    if (!has_type_(record, "change"))
        return GW_FOLD_IGNORED;
    if (s->is_waiting) {
        queue_change_(s, offset, record);
        return GW_FOLD_WAITING;
    }
    return fold_change_(s, offset, record);
}

GwFoldResult
GwStore_Restore(GwStore *s, uint64_t revision, uint64_t folded_to,
                const json_t *document)
{
    if (s->has_state && revision <= s->revision)
        return GW_FOLD_IGNORED;
    set_state_(s, revision, folded_to, json_deep_copy(document));
    if (folded_to >= s->next_offset) {
        // The peer has read at least as far, so its state covers the gap.
        s->next_offset = folded_to;
        s->is_waiting = false;
        drop_pending_(s);
    }
    else if (s->is_waiting && folded_to >= s->pending_start) {
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
    return s->is_waiting;
}

uint64_t
GwStore_Revision(const GwStore *s)
{
    return s->revision;
}

uint64_t
GwStore_FoldedTo(const GwStore *s)
{
    return s->is_waiting ? s->folded_to : s->next_offset;
}

uint64_t
GwStore_NextOffset(const GwStore *s)
{
    return s->next_offset;
}

uint64_t
GwStore_SinceSnapshot(const GwStore *s)
{
    return s->records_since_snapshot;
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

static GwFoldResult
fold_change_(GwStore *s, uint64_t offset, const json_t *record)
{
    json_t *merged;

    if (read_number_(record, "base") != s->revision)
        return GW_FOLD_REJECTED;
    merged = GwDocument_Merge(s->document, json_object_get(record, "patch"));
    set_state_(s, s->revision + 1, offset + 1, merged);
    return GW_FOLD_APPLIED;
}

static GwFoldResult
fold_snapshot_(GwStore *s, const json_t *record)
{
    uint64_t revision = read_number_(record, "revision");
    uint64_t folded_to = read_number_(record, "folded_to");

    s->records_since_snapshot = 0;
    if (!s->is_waiting)
        return GW_FOLD_IGNORED;
    // Changes between folded_to and pending_start would be in neither the
    // snapshot nor `pending`.
    if (folded_to < s->pending_start)
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
queue_change_(GwStore *s, uint64_t offset, const json_t *record)
{
    PendingChange *p = g_new(PendingChange, 1);

    p->offset = offset;
    p->record = json_deep_copy(record);
    g_queue_push_tail(&s->pending, p);
}

// Ends the wait: applies the pending changes that the restored state does not
// include.
static void
replay_pending_(GwStore *s)
{
    s->is_waiting = false;
    for (GList *l = s->pending.head; l != NULL; l = l->next) {
        PendingChange *p = l->data;

        if (p->offset >= s->folded_to)
            fold_change_(s, p->offset, p->record);
    }
    drop_pending_(s);
}

static void
drop_pending_(GwStore *s)
{
    PendingChange *p;

    while ((p = g_queue_pop_head(&s->pending)) != NULL) {
        json_decref(p->record);
        g_free(p);
    }
}

// Takes ownership of `document`.
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
        // The revision advances nevertheless: validation may differ between
        // versions of the program, and all processes must agree on the
        // revision. Only the effective configuration depends on validation.
        GW_WARN("revision %" PRIu64
                " is not usable for site '%s': %s; the last valid "
                "configuration, if any, stays in effect",
                revision, site, err.message);
        return;
    }
    GwConfig_Delete(s->config);
    s->config = config;
}

static uint64_t
read_number_(const json_t *record, const char *name)
{
    return (uint64_t)json_integer_value(json_object_get(record, name));
}

static bool
has_type_(const json_t *record, const char *type)
{
    const char *t = json_string_value(json_object_get(record, "t"));

    return t != NULL && strcmp(t, type) == 0;
}
