#include "galenagw/policy/heat.h"

#include <glib.h>
#include <math.h>

/* Share of one endpoint's time that a prefix may take before it is spread over
 * more endpoints. */
#define HOT_BUSY_SHARE 0.5

typedef struct {
    uint64_t key;
    double level; /* sum, decayed up to updated_at */
    GwTime updated_at;
} Heat;

struct GwHeat {
    GHashTable *keys; /* &Heat.key to Heat */
    GwTime half_life;
    unsigned max_keys;
};

static Heat *find_or_add_(GwHeat *heat, uint64_t key, GwTime now);
static double decayed_level_(const GwHeat *heat, const Heat *h, GwTime now);
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
    Heat *h = find_or_add_(heat, key, now);

    h->level += amount;
}

double
GwHeat_Get(const GwHeat *heat, uint64_t key, GwTime now)
{
    const Heat *h = g_hash_table_lookup(heat->keys, &key);

    return h != NULL ? decayed_level_(heat, h, now) : 0;
}

void
GwHeat_Raise(GwHeat *heat, uint64_t key, double level, GwTime now)
{
    Heat *h = find_or_add_(heat, key, now);

    h->level = MAX(h->level, level);
}

uint32_t
GwHeat_Width(double busy_us, GwTime half_life)
{
    // With the decay, a steady rate r adds up to r * half_life / ln 2.
    double share = busy_us * G_LN2 / (double)half_life;

    return (uint32_t)MAX(1, ceil(share / HOT_BUSY_SHARE));
}

static Heat *
find_or_add_(GwHeat *heat, uint64_t key, GwTime now)
{
    Heat *h = g_hash_table_lookup(heat->keys, &key);

    if (h == NULL) {
        // If the table is full, keys without use in two half-lives are
        // removed, and all keys if there are none such, so that a stream of
        // distinct prefixes cannot exceed the bound.
        if (g_hash_table_size(heat->keys) >= heat->max_keys) {
            GwTime cutoff = now - 2 * heat->half_life;

            g_hash_table_foreach_remove(heat->keys, is_cold_, &cutoff);
        }
        if (g_hash_table_size(heat->keys) >= heat->max_keys)
            g_hash_table_remove_all(heat->keys);
        h = g_new0(Heat, 1);
        h->key = key;
        h->updated_at = now;
        g_hash_table_insert(heat->keys, &h->key, h);
        return h;
    }
    h->level = decayed_level_(heat, h, now);
    h->updated_at = now;
    return h;
}

static double
decayed_level_(const GwHeat *heat, const Heat *h, GwTime now)
{
    return h->level *
           exp2(-(double)(now - h->updated_at) / (double)heat->half_life);
}

static gboolean
is_cold_(gpointer key, gpointer value, gpointer user)
{
    return ((const Heat *)value)->updated_at < *(const GwTime *)user;
}
