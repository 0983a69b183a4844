#include "galenagw/routing/retry_slack.h"

#include <glib.h>

/* Share of the slack that is leased. The remainder allows for retries that
 * were decided within the term of their lease and are sent after it. */
#define LEASED_SHARE 0.9
/* Steps in which the grants of one window are counted. */
#define WINDOW_STEPS 12
/* Bounds the memory; services beyond this number get no slack. */
#define SERVICES_MAX 1024

/* Retries of one service that were granted and not returned. */
typedef struct {
    unsigned granted[WINDOW_STEPS + 1];
    int64_t step; /* index of the newest step */
} Service;

struct GwRetrySlack {
    GwBudgetBound bound;
    GHashTable *services; /* name to Service */
    GwTime counted_since; /* earlier grants are not known */
    unsigned owners;      /* 0: this process is none */
    /* An owner that has left may have granted its part of the slack, which was
     * divided between more owners, until this time. */
    unsigned earlier_owners;
    GwTime earlier_until;
};

static GwTime step_length_(const GwRetrySlack *slack);
static Service *find_or_add_service_(GwRetrySlack *slack, const char *name,
                                     GwTime now);
static gboolean is_unused_(gpointer name, gpointer service, gpointer step);
static void advance_window_(Service *s, int64_t step);
static void take_back_(const GwRetrySlack *slack, Service *s,
                       const GwRetryLeaseRequest *request, GwTime now);
static unsigned count_free_(const GwRetrySlack *slack, const Service *s,
                            unsigned entry_owners, GwTime now);

GwRetrySlack *
GwRetrySlack_New(const GwBudgetBound *bound, GwTime now)
{
    GwRetrySlack *slack = g_new0(GwRetrySlack, 1);

    slack->bound = *bound;
    slack->counted_since = now;
    slack->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return slack;
}

void
GwRetrySlack_Delete(GwRetrySlack *slack)
{
    if (slack == NULL)
        return;
    g_hash_table_unref(slack->services);
    g_free(slack);
}

GwTime
GwRetrySlack_Window(const GwBudgetBound *bound)
{
    return bound->window + GW_RETRY_LEASE_TERM;
}

void
GwRetrySlack_SetOwners(GwRetrySlack *slack, unsigned owners, GwTime now)
{
    if (owners == slack->owners)
        return;
    if (slack->owners == 0 || owners == 0) {
        slack->counted_since = now;
        g_hash_table_remove_all(slack->services);
    }
    if (owners < slack->owners) {
        slack->earlier_owners = now < slack->earlier_until
                                    ? MAX(slack->earlier_owners, slack->owners)
                                    : slack->owners;
        slack->earlier_until = now + GwRetrySlack_Window(&slack->bound);
    }
    slack->owners = owners;
}

GwRetryLeaseGrant
GwRetrySlack_Answer(GwRetrySlack *slack, const char *service,
                    const GwRetryLeaseRequest *request, GwTime now)
{
    GwRetryLeaseGrant grant = {.granted_at = now,
                               .asked_at = request->asked_at};
    Service *s = find_or_add_service_(slack, service, now);
    unsigned n_free;

    if (s == NULL)
        return grant;
    advance_window_(s, now / step_length_(slack));
    take_back_(slack, s, request, now);
    n_free = count_free_(slack, s, request->owners, now);
    // Half of the rest is kept for the next entry that asks.
    grant.granted = MIN(request->wanted, (n_free + 1) / 2);
    s->granted[s->step % (WINDOW_STEPS + 1)] += grant.granted;
    return grant;
}

static GwTime
step_length_(const GwRetrySlack *slack)
{
    return GwRetrySlack_Window(&slack->bound) / WINDOW_STEPS;
}

// Returns NULL if there are too many services.
static Service *
find_or_add_service_(GwRetrySlack *slack, const char *name, GwTime now)
{
    Service *s = g_hash_table_lookup(slack->services, name);
    int64_t step = now / step_length_(slack);

    if (s != NULL)
        return s;
    if (g_hash_table_size(slack->services) >= SERVICES_MAX)
        g_hash_table_foreach_remove(slack->services, is_unused_, &step);
    if (g_hash_table_size(slack->services) >= SERVICES_MAX)
        return NULL;
    s = g_new0(Service, 1);
    s->step = step;
    g_hash_table_insert(slack->services, g_strdup(name), s);
    return s;
}

static gboolean
is_unused_(gpointer name, gpointer service, gpointer step)
{
    const Service *s = service;

    return *(const int64_t *)step - s->step > WINDOW_STEPS;
}

static void
advance_window_(Service *s, int64_t step)
{
    // Later steps than the oldest one all become empty.
    s->step = MAX(s->step, step - WINDOW_STEPS - 1);
    while (s->step < step) {
        s->step++;
        s->granted[s->step % (WINDOW_STEPS + 1)] = 0;
    }
}

// A lease that is not in the window does not count any more. One of an earlier
// process may be later by the clock, if that started anew.
static void
take_back_(const GwRetrySlack *slack, Service *s,
           const GwRetryLeaseRequest *request, GwTime now)
{
    int64_t step = request->granted_at / step_length_(slack);
    unsigned *granted;

    if (request->granted_at > now || s->step - step > WINDOW_STEPS)
        return;
    granted = &s->granted[step % (WINDOW_STEPS + 1)];
    *granted -= MIN(*granted, request->unused);
}

// The slack is divided by the highest number of owners that this process, or
// the entry, knows: one with an incomplete list of owners knows too few.
static unsigned
count_free_(const GwRetrySlack *slack, const Service *s, unsigned entry_owners,
            GwTime now)
{
    unsigned owners = MAX(slack->owners, entry_owners);
    unsigned granted = 0;
    unsigned part;

    if (slack->owners == 0 ||
        now - slack->counted_since < GwRetrySlack_Window(&slack->bound))
        return 0;
    if (now < slack->earlier_until)
        owners = MAX(owners, slack->earlier_owners);
    part = (unsigned)(LEASED_SHARE * slack->bound.slack / owners);
    for (int i = 0; i <= WINDOW_STEPS; i++)
        granted += s->granted[i];
    return part > granted ? part - granted : 0;
}
