#include "galenagw/policy/affinity.h"

#include <glib.h>

typedef struct {
    uint64_t anchor;
    uint64_t member;
    GwTime ttft;
    GwTime at;
} Place;

struct GwAffinity {
    GHashTable *places; /* &Place.anchor to Place */
    GwTime life;
    unsigned max_keys;
};

static gboolean is_at_(gpointer key, gpointer place, gpointer member);

GwAffinity *
GwAffinity_New(GwTime life, unsigned max_keys)
{
    GwAffinity *a = g_new0(GwAffinity, 1);

    a->places =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    a->life = life;
    a->max_keys = max_keys;
    return a;
}

void
GwAffinity_Delete(GwAffinity *a)
{
    if (a == NULL)
        return;
    g_hash_table_unref(a->places);
    g_free(a);
}

void
GwAffinity_Remember(GwAffinity *a, uint64_t anchor, uint64_t member,
                    GwTime ttft, GwTime now)
{
    Place *p = g_hash_table_lookup(a->places, &anchor);

    if (p == NULL) {
        // Entries live for a moment only: losing all costs a round of
        // offers each, and keeps the table from growing.
        if (g_hash_table_size(a->places) >= a->max_keys)
            g_hash_table_remove_all(a->places);
        p = g_new0(Place, 1);
        p->anchor = anchor;
        g_hash_table_insert(a->places, &p->anchor, p);
    }
    p->member = member;
    p->ttft = ttft;
    p->at = now;
}

void
GwAffinity_Forget(GwAffinity *a, uint64_t anchor)
{
    g_hash_table_remove(a->places, &anchor);
}

void
GwAffinity_ForgetMember(GwAffinity *a, uint64_t member)
{
    g_hash_table_foreach_remove(a->places, is_at_, &member);
}

uint64_t
GwAffinity_Find(const GwAffinity *a, uint64_t anchor, GwTime now, GwTime *ttft)
{
    const Place *p = g_hash_table_lookup(a->places, &anchor);

    if (p == NULL || now - p->at >= a->life)
        return 0;
    *ttft = p->ttft;
    return p->member;
}

static gboolean
is_at_(gpointer key, gpointer place, gpointer member)
{
    return ((const Place *)place)->member == *(const uint64_t *)member;
}
