#include "galenagw/policy/affinity.h"

#include <glib.h>

typedef struct {
    uint64_t anchor;
    uint64_t member;
    GwTime ttft;
    GwTime remembered_at;
} AffinityEntry;

struct GwAffinity {
    GHashTable *entries; /* &AffinityEntry.anchor to AffinityEntry */
    GwTime lifetime;
    unsigned max_keys;
};

static gboolean is_of_member_(gpointer key, gpointer entry, gpointer member);

GwAffinity *
GwAffinity_New(GwTime lifetime, unsigned max_keys)
{
    GwAffinity *a = g_new0(GwAffinity, 1);

    a->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    a->lifetime = lifetime;
    a->max_keys = max_keys;
    return a;
}

void
GwAffinity_Delete(GwAffinity *a)
{
    if (a == NULL)
        return;
    g_hash_table_unref(a->entries);
    g_free(a);
}

void
GwAffinity_Set(GwAffinity *a, uint64_t anchor, uint64_t member, GwTime ttft,
               GwTime now)
{
    AffinityEntry *e = g_hash_table_lookup(a->entries, &anchor);

    if (e == NULL) {
        // Entries have a short lifetime. Removing all of them costs one round
        // of offers for each, and bounds the table.
        if (g_hash_table_size(a->entries) >= a->max_keys)
            g_hash_table_remove_all(a->entries);
        e = g_new0(AffinityEntry, 1);
        e->anchor = anchor;
        g_hash_table_insert(a->entries, &e->anchor, e);
    }
    e->member = member;
    e->ttft = ttft;
    e->remembered_at = now;
}

void
GwAffinity_Remove(GwAffinity *a, uint64_t anchor)
{
    g_hash_table_remove(a->entries, &anchor);
}

void
GwAffinity_RemoveMember(GwAffinity *a, uint64_t member)
{
    g_hash_table_foreach_remove(a->entries, is_of_member_, &member);
}

uint64_t
GwAffinity_Find(const GwAffinity *a, uint64_t anchor, GwTime now, GwTime *ttft)
{
    const AffinityEntry *e = g_hash_table_lookup(a->entries, &anchor);

    if (e == NULL || now - e->remembered_at >= a->lifetime)
        return 0;
    *ttft = e->ttft;
    return e->member;
}

static gboolean
is_of_member_(gpointer key, gpointer entry, gpointer member)
{
    return ((const AffinityEntry *)entry)->member == *(const uint64_t *)member;
}
