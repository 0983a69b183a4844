#include "galenagw/routing/model_versions.h"

#include <glib.h>
#include <string.h>

static bool improve_time_(GwNamedVersion *known, GwTime named_at);
static void merge_oldest_(GwModelVersions *v);
static unsigned count_newer_(const GwModelVersions *v, int64_t weights);

void
GwModelVersions_Init(GwModelVersions *v)
{
    *v = (GwModelVersions){.version = -1};
}

// Versions may be received in any order.
bool
GwModelVersions_Note(GwModelVersions *v, int64_t version, GwTime named_at)
{
    unsigned i = count_newer_(v, version);

    if (i < v->n_history && v->history[i].version == version)
        return improve_time_(&v->history[i], named_at);
    // Older than all that fit: the oldest stored one stands for it.
    if (i == GW_MODEL_VERSIONS_MAX)
        return improve_time_(&v->history[i - 1], named_at);
    if (v->n_history == GW_MODEL_VERSIONS_MAX) {
        merge_oldest_(v);
        i = MIN(i, v->n_history);
    }
    memmove(&v->history[i + 1], &v->history[i],
            (v->n_history - i) * sizeof(v->history[0]));
    v->history[i] = (GwNamedVersion){version, named_at};
    v->n_history++;
    v->version = v->history[0].version;
    return true;
}

GwTime
GwModelVersions_NamedAt(const GwModelVersions *v, int64_t version)
{
    unsigned i = count_newer_(v, version);

    return i < v->n_history && v->history[i].version == version
               ? v->history[i].named_at
               : GW_NAMED_LONG_AGO;
}

GwTime
GwModelVersions_OutdatedSince(const GwModelVersions *v, int64_t weights)
{
    unsigned n = count_newer_(v, weights);

    if (n == 0)
        return 0;
    for (unsigned i = n - 1; i < v->n_history; i++) {
        if (v->history[i].named_at != GW_NAMED_LONG_AGO)
            return v->history[i].named_at;
    }
    return GW_NAMED_LONG_AGO;
}

bool
GwModelVersions_IsAgeUnknown(const GwModelVersions *v, int64_t weights)
{
    unsigned n = count_newer_(v, weights);

    return n > 0 && v->history[n - 1].named_at == GW_NAMED_LONG_AGO;
}

bool
GwModelVersions_Lacks(const GwModelVersions *v, const GwModelVersions *known,
                      GwTime tolerance)
{
    for (unsigned i = 0; i < known->n_history; i++) {
        const GwNamedVersion *named = &known->history[i];
        unsigned at = count_newer_(v, named->version);

        if (named->named_at == GW_NAMED_LONG_AGO)
            continue;
        if (at == v->n_history || v->history[at].version != named->version ||
            v->history[at].named_at == GW_NAMED_LONG_AGO ||
            v->history[at].named_at > named->named_at + tolerance)
            return true;
    }
    return false;
}

static bool
improve_time_(GwNamedVersion *known, GwTime named_at)
{
    if (named_at == GW_NAMED_LONG_AGO ||
        (known->named_at != GW_NAMED_LONG_AGO && named_at >= known->named_at))
        return false;
    known->named_at = named_at;
    return true;
}

// Makes room: the two oldest versions become one, with the later version and
// the earlier time. Weights older than that count as outdated for too long
// rather than too short.
static void
merge_oldest_(GwModelVersions *v)
{
    GwNamedVersion *kept = &v->history[v->n_history - 2];

    kept->named_at = v->history[v->n_history - 1].named_at;
    v->n_history--;
}

static unsigned
count_newer_(const GwModelVersions *v, int64_t weights)
{
    unsigned n = 0;

    while (n < v->n_history && v->history[n].version > weights)
        n++;
    return n;
}
