#include "galenagw/policy/heat.h"

#include <glib.h>
#include <math.h>

/* Share of one endpoint's time that a prefix may take before it spreads. */
#define HOT_SHARE 0.5

typedef struct {
    uint64_t key;
    double level;
    GwTime at;
} Heat;

struct GwHeat {
    GHashTable *keys; /* &Heat.key to Heat */
    GwTime half_life;
    unsigned max_keys;
};

static Heat *get_(GwHeat *heat, uint64_t key, GwTime now);
static double decayed_(const GwHeat *heat, const Heat *h, GwTime now);
static gboolean is_cold_(gpointer key, gpointer value, gpointer user);

GwHeat *
GwHeat_New(GwTime half_life, unsigned max_keys)
{
    GwHeat *heat = g_new0(GwHeat, 1);

    heat->keys =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    heat->half_life = half_life;
    heat->max_keys = max_keys;
    return heat;
}

void
GwHeat_Delete(GwHeat *heat)
{
    if (heat == NULL)
        return;
    g_hash_table_unref(heat->keys);
    g_free(heat);
}

void
GwHeat_Add(GwHeat *heat, uint64_t key, double amount, GwTime now)
{
    Heat *h = get_(heat, key, now);

    h->level += amount;
}

double
GwHeat_Get(const GwHeat *heat, uint64_t key, GwTime now)
{
    const Heat *h = g_hash_table_lookup(heat->keys, &key);

    return h != NULL ? decayed_(heat, h, now) : 0;
}

void
GwHeat_Raise(GwHeat *heat, uint64_t key, double level, GwTime now)
{
    Heat *h = get_(heat, key, now);

    h->level = MAX(h->level, level);
}

uint32_t
GwHeat_Width(double busy_us, GwTime half_life)
{
    // A steady rate r sums to r * half_life / ln 2 under the decay.
    double share = busy_us * G_LN2 / (double)half_life;

    return (uint32_t)MAX(1, ceil(share / HOT_SHARE));
}

static Heat *
get_(GwHeat *heat, uint64_t key, GwTime now)
{
    Heat *h = g_hash_table_lookup(heat->keys, &key);

    if (h == NULL) {
        // Cold keys are dropped in one sweep, so that a stream of distinct
        // prefixes cannot grow the table.
        if (g_hash_table_size(heat->keys) >= heat->max_keys) {
            GwTime before = now - 2 * heat->half_life;

            g_hash_table_foreach_remove(heat->keys, is_cold_, &before);
        }
        if (g_hash_table_size(heat->keys) >= heat->max_keys)
            g_hash_table_remove_all(heat->keys);
        h = g_new0(Heat, 1);
        h->key = key;
        h->at = now;
        g_hash_table_insert(heat->keys, &h->key, h);
        return h;
    }
    h->level = decayed_(heat, h, now);
    h->at = now;
    return h;
}

static double
decayed_(const GwHeat *heat, const Heat *h, GwTime now)
{
    return h->level * exp2(-(double)(now - h->at) / (double)heat->half_life);
}

static gboolean
is_cold_(gpointer key, gpointer value, gpointer user)
{
    return ((const Heat *)value)->at < *(const GwTime *)user;
}
