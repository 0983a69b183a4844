#include "galenagw/routing/endpoint_limits.h"

#include <math.h>
#include <string.h>

/* See GwEndpointLimit. */
typedef struct {
    int64_t incarnation;
    double rate;
    GwTime told_at;
} Limit;

struct GwEndpointLimits {
    GHashTable *by_id; /* id to Limit */
};

static Limit *find_(const GwEndpointLimits *l, const GwInstance *instance,
                    GwTime now);
static void remove_inactive_(GwEndpointLimits *l, GwTime now);

GwEndpointLimits *
GwEndpointLimits_New(void)
{
    GwEndpointLimits *l = g_new0(GwEndpointLimits, 1);

    l->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

void
GwEndpointLimits_Delete(GwEndpointLimits *l)
{
    if (l == NULL)
        return;
    g_hash_table_unref(l->by_id);
    g_free(l);
}

bool
GwEndpointLimits_Set(GwEndpointLimits *l, const GwEndpointLimit *limit,
                     GwTime now)
{
    Limit *known = g_hash_table_lookup(l->by_id, limit->id);
    GwTime told_at = MIN(limit->told_at, now);
    bool changed;

    if (!isfinite(limit->rate) || now - told_at >= GW_ENDPOINT_LIMIT_TERM)
        return false;
    if (known == NULL) {
        if (g_hash_table_size(l->by_id) >= GW_ENDPOINT_LIMITS_MAX)
            remove_inactive_(l, now);
        if (g_hash_table_size(l->by_id) >= GW_ENDPOINT_LIMITS_MAX)
            return false;
        known = g_new0(Limit, 1);
        *known = (Limit){limit->incarnation, GW_ENDPOINT_UNLIMITED, 0};
        g_hash_table_insert(l->by_id, g_strdup(limit->id), known);
    }
    else if (limit->incarnation < known->incarnation ||
             (limit->incarnation == known->incarnation &&
              told_at < known->told_at))
        return false;
    changed =
        limit->incarnation != known->incarnation || limit->rate != known->rate;
    *known = (Limit){limit->incarnation, limit->rate, told_at};
    return changed;
}

bool
GwEndpointLimits_ShouldLift(const GwEndpointLimits *l,
                            const GwInstance *instance, GwTime sent_at,
                            GwTime now)
{
    const Limit *known = find_(l, instance, now);

    return known != NULL && known->rate >= 0 && sent_at > known->told_at;
}

double
GwEndpointLimits_Rate(const GwEndpointLimits *l, const GwInstance *instance,
                      GwTime now)
{
    const Limit *known = find_(l, instance, now);

    return known != NULL ? known->rate : GW_ENDPOINT_UNLIMITED;
}

// Returns NULL if the entry is expired or of another incarnation; one with
// incarnation 0 matches any. The size check skips hashing in the usual case
// that no endpoint has a limit.
static Limit *
find_(const GwEndpointLimits *l, const GwInstance *instance, GwTime now)
{
    Limit *known;

    if (g_hash_table_size(l->by_id) == 0)
        return NULL;
    known = g_hash_table_lookup(l->by_id, instance->id);
    if (known == NULL || now - known->told_at >= GW_ENDPOINT_LIMIT_TERM ||
        (known->incarnation != 0 &&
         known->incarnation != instance->incarnation))
        return NULL;
    return known;
}

static void
remove_inactive_(GwEndpointLimits *l, GwTime now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Limit *known = value;

        if (known->rate < 0 || now - known->told_at >= GW_ENDPOINT_LIMIT_TERM)
            g_hash_table_iter_remove(&iter);
    }
}
