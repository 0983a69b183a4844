#include "galenagw/routing/records.h"

#include <string.h>

/* A stamp holds the end of the operator list above this bit and the end of the
 * instance list below. */
#define STAMP_SHIFT 32
#define STAMP_MASK 0xffffffffu
/* A position holds the era above this bit and the offset below. */
#define ERA_SHIFT 40
#define OFFSET_MASK ((INT64_C(1) << ERA_SHIFT) - 1)
/* Keeps positions below 2^62. */
#define ERA_MAX ((INT64_C(1) << (62 - ERA_SHIFT)) - 1)

typedef struct {
    char *key;
    char *value; /* NULL: removed */
    size_t len;
    int64_t offset;
    bool in_full_read; /* part of the current full read */
} StoredRecord;

struct GwRecords {
    GHashTable *lists[GW_LISTS]; /* key to StoredRecord */
    int64_t ends[GW_LISTS];
    int64_t first_ends[GW_LISTS];     /* first known end of each list */
    int64_t full_read_from[GW_LISTS]; /* end when the read began */
    int64_t gap_from[GW_LISTS]; /* range of positions in which removals may be
                                   unknown; see GwRecords_HasAllSince */
    int64_t gap_to[GW_LISTS];
    GwRecords_OnRecord fn;
    void *user;
};

const char *const GwList_Names[GW_LISTS] = {
    [GW_LIST_OPERATOR] = "operator",
    [GW_LIST_INSTANCES] = "instances",
};

static uint64_t stamp_end_(const GwRecords *records, GwList list);
static void note_removal_gap_(GwRecords *records, GwList list, int64_t end);
static void free_stored_record_(void *item);
static bool store_if_newer_(GwRecords *records, GwList list,
                            const GwRecord *record);
static void notify_record_(GwRecords *records, GwList list,
                           const StoredRecord *stored,
                           const char *learned_from);

int64_t
GwPosition_Of(int64_t era, int64_t offset)
{
    return CLAMP(era, 0, ERA_MAX) << ERA_SHIFT | CLAMP(offset, 0, OFFSET_MASK);
}

int64_t
GwPosition_Era(int64_t position)
{
    return position >> ERA_SHIFT;
}

int64_t
GwPosition_Offset(int64_t position)
{
    return position & OFFSET_MASK;
}

GwRecords *
GwRecords_New(GwRecords_OnRecord fn, void *user)
{
    GwRecords *records = g_new0(GwRecords, 1);

    for (int i = 0; i < GW_LISTS; i++)
        records->lists[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                  NULL, free_stored_record_);
    records->fn = fn;
    records->user = user;
    return records;
}

void
GwRecords_Delete(GwRecords *records)
{
    if (records == NULL)
        return;
    for (int i = 0; i < GW_LISTS; i++)
        g_hash_table_unref(records->lists[i]);
    g_free(records);
}

bool
GwRecords_Apply(GwRecords *records, GwList list, const GwRecord *record)
{
    const StoredRecord *stored =
        g_hash_table_lookup(records->lists[list], record->key);

    // The replica contains all current records before its end. Without a
    // record of this key, the key was removed after this record was written.
    if (stored == NULL && record->offset < records->ends[list])
        return false;
    return store_if_newer_(records, list, record);
}

bool
GwRecords_ApplyFullRead(GwRecords *records, GwList list,
                        const GwRecord *record)
{
    bool is_newer = store_if_newer_(records, list, record);
    StoredRecord *stored =
        g_hash_table_lookup(records->lists[list], record->key);

    stored->in_full_read = true;
    return is_newer;
}

bool
GwRecords_ApplyRestored(GwRecords *records, GwList list,
                        const GwRecord *record)
{
    const StoredRecord *stored =
        g_hash_table_lookup(records->lists[list], record->key);

    if (stored != NULL && stored->value == NULL &&
        GwPosition_Era(stored->offset) < GwPosition_Era(record->offset))
        return false;
    return GwRecords_ApplyFullRead(records, list, record);
}

void
GwRecords_SetEnd(GwRecords *records, GwList list, int64_t end)
{
    if (records->ends[list] == 0)
        records->first_ends[list] = end;
    records->ends[list] = MAX(records->ends[list], end);
}

bool
GwRecords_HasAllSince(const GwRecords *records, GwList list, int64_t from)
{
    bool is_in_gap =
        records->gap_from[list] < from && from < records->gap_to[list];

    return from == 0 || (from >= records->first_ends[list] && !is_in_gap);
}

int64_t
GwRecords_End(const GwRecords *records, GwList list)
{
    return records->ends[list];
}

int64_t
GwRecords_Era(const GwRecords *records)
{
    int64_t era = 0;

    for (int i = 0; i < GW_LISTS; i++)
        era = MAX(era, GwPosition_Era(records->ends[i]));
    return era;
}

void
GwRecords_BeginFullRead(GwRecords *records, GwList list)
{
    GHashTableIter iter;
    gpointer item;

    records->full_read_from[list] = records->ends[list];
    g_hash_table_iter_init(&iter, records->lists[list]);
    while (g_hash_table_iter_next(&iter, NULL, &item))
        ((StoredRecord *)item)->in_full_read = false;
}

void
GwRecords_EndFullRead(GwRecords *records, GwList list, int64_t end)
{
    GHashTableIter iter;
    gpointer item;

    // The positions of the removals are unknown. They are before the end, so
    // the last position before it is stored for them.
    g_hash_table_iter_init(&iter, records->lists[list]);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        StoredRecord *stored = item;

        if (stored->in_full_read || stored->value == NULL ||
            stored->offset >= end)
            continue;
        g_clear_pointer(&stored->value, g_free);
        stored->len = 0;
        stored->offset = end - 1;
        notify_record_(records, list, stored, NULL);
    }
    note_removal_gap_(records, list, end);
    GwRecords_SetEnd(records, list, end);
}

void
GwRecords_Each(const GwRecords *records, GwList list, int64_t from,
               GwRecords_OnRecord fn, void *user)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, records->lists[list]);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const StoredRecord *stored = item;
        GwRecord record = {stored->key, stored->value, stored->len,
                           stored->offset, NULL};

        if (stored->offset >= from)
            fn(user, list, &record);
    }
}

uint64_t
GwRecords_Stamp(const GwRecords *records)
{
    return stamp_end_(records, GW_LIST_OPERATOR) << STAMP_SHIFT |
           (stamp_end_(records, GW_LIST_INSTANCES) & STAMP_MASK);
}

int64_t
GwRecords_StampEnd(GwList list, int64_t era, uint64_t stamp)
{
    uint64_t end =
        list == GW_LIST_OPERATOR ? stamp >> STAMP_SHIFT : stamp & STAMP_MASK;

    return end > 0 ? GwPosition_Of(era, (int64_t)end) : 0;
}

bool
GwRecords_IsBehind(const GwRecords *records, GwList list, int64_t end)
{
    return end > records->ends[list];
}

// Returns 0 for a list that has not been read in the latest era yet.
static uint64_t
stamp_end_(const GwRecords *records, GwList list)
{
    int64_t end = records->ends[list];

    return GwPosition_Era(end) == GwRecords_Era(records)
               ? (uint64_t)GwPosition_Offset(end)
               : 0;
}

// Records the range of positions from the end of the list before the full read
// to the end after it. Keys that were written and removed within this range
// were never stored here. A peer whose end is within the range may have stored
// such a key, and cannot get its removal from this process. If the first copy
// was received from a peer during the read, the range begins at its end.
static void
note_removal_gap_(GwRecords *records, GwList list, int64_t end)
{
    int64_t from = records->full_read_from[list];

    if (from == 0)
        from = records->first_ends[list];
    if (from == 0 || from >= end)
        return;
    records->gap_from[list] =
        records->gap_to[list] > 0 ? MIN(records->gap_from[list], from) : from;
    records->gap_to[list] = end;
}

static void
free_stored_record_(void *item)
{
    StoredRecord *stored = item;

    g_free(stored->key);
    g_free(stored->value);
    g_free(stored);
}

// Stores the record unless this one or a newer one of its key is stored.
// Returns whether it was stored.
static bool
store_if_newer_(GwRecords *records, GwList list, const GwRecord *record)
{
    StoredRecord *stored =
        g_hash_table_lookup(records->lists[list], record->key);

    if (stored != NULL && stored->offset >= record->offset)
        return false;
    stored = g_new0(StoredRecord, 1);
    stored->key = g_strdup(record->key);
    if (record->value != NULL) {
        stored->value = g_malloc(record->len + 1);
        memcpy(stored->value, record->value, record->len);
        stored->value[record->len] = '\0';
    }
    stored->len = record->len;
    stored->offset = record->offset;
    g_hash_table_replace(records->lists[list], stored->key, stored);
    notify_record_(records, list, stored, record->learned_from);
    return true;
}

static void
notify_record_(GwRecords *records, GwList list, const StoredRecord *stored,
               const char *learned_from)
{
    GwRecord record = {stored->key, stored->value, stored->len, stored->offset,
                       learned_from};

    records->fn(records->user, list, &record);
}
