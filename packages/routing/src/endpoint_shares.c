#include "galenagw/routing/endpoint_shares.h"

#include <glib.h>
#include <stdbool.h>

/* Maximum number of endpoints, that of limits which processes store, and of
 * processes per endpoint; they bound the memory. */
#define ENDPOINTS_MAX 1024
#define PROCESSES_MAX 1024
/* Rounds of the max-min computation. Each round serves at least one process in
 * full; if more rounds were needed, the rest is divided below the limit. */
#define ROUNDS_MAX 8

typedef struct {
    uint64_t process;
    GwEndpointDemand demand; /* last report */
    double unconfirmed;      /* highest grant that may come into use although
                                it was not reported */
    GwTime unconfirmed_until;
    GwTime seen_at;
} Process;

struct GwEndpointShares {
    GHashTable *by_endpoint; /* id to GArray of Process */
    GwTime started_at;
};

static GArray *find_or_add_endpoint_(GwEndpointShares *s, const char *endpoint,
                                     GwTime now);
static gboolean is_unused_(gpointer id, gpointer processes, gpointer now);
static void remove_silent_(GArray *processes, GwTime now);
static Process *find_or_add_process_(GArray *processes, uint64_t process,
                                     double base, GwTime now);
static bool is_part_(double x);
static double used_part_(const Process *p, GwTime now);
static double fair_part_(const GArray *processes, const Process *p);
static double find_level_(const GArray *processes, double total);

GwEndpointShares *
GwEndpointShares_New(GwTime now)
{
    GwEndpointShares *s = g_new0(GwEndpointShares, 1);

    s->started_at = now;
    s->by_endpoint = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)g_array_unref);
    return s;
}

void
GwEndpointShares_Delete(GwEndpointShares *s)
{
    if (s == NULL)
        return;
    g_hash_table_unref(s->by_endpoint);
    g_free(s);
}

double
GwEndpointShares_Answer(GwEndpointShares *s, const char *endpoint,
                        uint64_t process, const GwEndpointDemand *demand,
                        GwTime now)
{
    GArray *processes;
    Process *p;
    double available = 0;
    double granted;

    if (!is_part_(demand->want) || !is_part_(demand->base) ||
        !is_part_(demand->share))
        return -1;
    processes = find_or_add_endpoint_(s, endpoint, now);
    if (processes == NULL)
        return -1;
    remove_silent_(processes, now);
    p = find_or_add_process_(processes, process, demand->base, now);
    if (p == NULL)
        return -1;
    // Grants are received in order, so none that it will still receive is
    // higher.
    if (demand->granted_at != 0 && demand->granted_at == p->demand.reported_at)
        p->unconfirmed = 0;
    p->demand = *demand;
    p->seen_at = now;
    for (guint i = 0; i < processes->len; i++) {
        const Process *other = &g_array_index(processes, Process, i);

        available += other->demand.base;
        if (other != p)
            available -= used_part_(other, now);
    }
    granted = CLAMP(fair_part_(processes, p), 0, MAX(available, 0));
    // Grants of an earlier incarnation of this agent may still be in use at
    // processes that have not reported yet.
    if (now - s->started_at < GW_ENDPOINT_GRANT_TERM)
        granted = MIN(granted, demand->share);
    p->unconfirmed =
        now < p->unconfirmed_until ? MAX(p->unconfirmed, granted) : granted;
    p->unconfirmed_until = now + GW_ENDPOINT_GRANT_TERM;
    return granted;
}

static GArray *
find_or_add_endpoint_(GwEndpointShares *s, const char *endpoint, GwTime now)
{
    GArray *processes = g_hash_table_lookup(s->by_endpoint, endpoint);

    if (processes != NULL)
        return processes;
    if (g_hash_table_size(s->by_endpoint) >= ENDPOINTS_MAX)
        g_hash_table_foreach_remove(s->by_endpoint, is_unused_, &now);
    if (g_hash_table_size(s->by_endpoint) >= ENDPOINTS_MAX)
        return NULL;
    processes = g_array_new(FALSE, TRUE, sizeof(Process));
    g_hash_table_insert(s->by_endpoint, g_strdup(endpoint), processes);
    return processes;
}

static gboolean
is_unused_(gpointer id, gpointer processes, gpointer now)
{
    (void)id;
    remove_silent_(processes, *(const GwTime *)now);
    return ((GArray *)processes)->len == 0;
}

static void
remove_silent_(GArray *processes, GwTime now)
{
    for (guint i = processes->len; i-- > 0;) {
        if (now - g_array_index(processes, Process, i).seen_at >=
            GW_ENDPOINT_GRANT_TERM)
            g_array_remove_index_fast(processes, i);
    }
}

// A process that is not known may have sent its report before it received a
// grant of the time when it was known, or of this agent before a restart. That
// grant has expired, so it is limited to the base.
static Process *
find_or_add_process_(GArray *processes, uint64_t process, double base,
                     GwTime now)
{
    Process added = {.process = process,
                     .unconfirmed = base,
                     .unconfirmed_until = now + GW_ENDPOINT_GRANT_TERM};

    for (guint i = 0; i < processes->len; i++) {
        Process *p = &g_array_index(processes, Process, i);

        if (p->process == process)
            return p;
    }
    if (processes->len >= PROCESSES_MAX)
        return NULL;
    g_array_append_val(processes, added);
    return &g_array_index(processes, Process, processes->len - 1);
}

// False also for NaN.
static bool
is_part_(double x)
{
    return x >= 0 && x <= 1;
}

static double
used_part_(const Process *p, GwTime now)
{
    return now < p->unconfirmed_until ? MAX(p->demand.share, p->unconfirmed)
                                      : p->demand.share;
}

// Max-min fairness, weighted by the bases. What nobody wants is divided in
// proportion to the bases, so that processes have some when demand grows.
static double
fair_part_(const GArray *processes, const Process *p)
{
    double total = 0;
    double wanted = 0;

    for (guint i = 0; i < processes->len; i++) {
        const Process *other = &g_array_index(processes, Process, i);

        total += other->demand.base;
        wanted += other->demand.want;
    }
    if (total <= 0)
        return 0;
    if (wanted <= total)
        return p->demand.want + (total - wanted) * p->demand.base / total;
    return MIN(p->demand.want, find_level_(processes, total) * p->demand.base);
}

// Returns the part per unit of base at which the parts of all processes, each
// at most what it wants, add up to @p total or less.
static double
find_level_(const GArray *processes, double total)
{
    double level = 0;

    for (int round = 0; round < ROUNDS_MAX; round++) {
        double rest = total;
        double bases = 0;
        double next;

        for (guint i = 0; i < processes->len; i++) {
            const GwEndpointDemand *d =
                &g_array_index(processes, Process, i).demand;

            if (d->want <= level * d->base)
                rest -= d->want;
            else
                bases += d->base;
        }
        next = bases > 0 ? rest / bases : level;
        if (next <= level)
            break;
        level = next;
    }
    return level;
}
