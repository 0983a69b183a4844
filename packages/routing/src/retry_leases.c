#include "galenagw/routing/retry_leases.h"

#include <glib.h>

/* Retries that are leased ahead from all owners together: those of a few
 * requests that fail at the same time. */
#define LEASED_AHEAD 16
/* A lease is renewed from this age on, in time before its end. */
#define RENEWAL_AGE (GW_RETRY_LEASE_TERM / 2)
/* An owner whose lease is used up is asked again after this time, and one that
 * had nothing to grant, or does not answer, after the longer one. */
#define REPEAT_INTERVAL (100 * GW_MILLISECOND)
#define EXHAUSTED_INTERVAL GW_SECOND

/* The lease from one owner. */
typedef struct {
    uint64_t owner;
    uint32_t unused;   /* retries */
    GwTime granted_at; /* by the clock of the owner; 0: not answered since it
                          was asked, or nothing was granted */
    GwTime asked_at;   /* 0: not asked */
} Lease;

/* The leases for one service. */
typedef struct {
    Lease leases[GW_RETRY_OWNERS_MAX];
} Service;

struct GwRetryLeases {
    const GwRetryLeasesOps *ops;
    void *user;
    uint64_t owners[GW_RETRY_OWNERS_MAX];
    unsigned n_owners;
    GHashTable *services; /* name to Service */
};

static Service *find_or_add_service_(GwRetryLeases *leases, const char *name);
static void set_owners_(const GwRetryLeases *leases, Service *s);
static Lease *find_lease_(const GwRetryLeases *leases, Service *s,
                          uint64_t owner);
static bool is_valid_(const Lease *lease, GwTime now);
static bool is_due_(const Lease *lease, bool wanted, GwTime now);
static void request_(GwRetryLeases *leases, const char *service, Lease *lease,
                     bool wanted, GwTime now);

GwRetryLeases *
GwRetryLeases_New(const GwRetryLeasesOps *ops, void *user)
{
    GwRetryLeases *leases = g_new0(GwRetryLeases, 1);

    leases->ops = ops;
    leases->user = user;
    leases->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return leases;
}

void
GwRetryLeases_Delete(GwRetryLeases *leases)
{
    if (leases == NULL)
        return;
    g_hash_table_unref(leases->services);
    g_free(leases);
}

void
GwRetryLeases_SetOwners(GwRetryLeases *leases, const uint64_t *owners,
                        unsigned n)
{
    GHashTableIter iter;
    gpointer service;

    leases->n_owners = MIN(n, GW_RETRY_OWNERS_MAX);
    for (unsigned i = 0; i < leases->n_owners; i++)
        leases->owners[i] = owners[i];
    g_hash_table_iter_init(&iter, leases->services);
    while (g_hash_table_iter_next(&iter, NULL, &service))
        set_owners_(leases, service);
}

void
GwRetryLeases_Refresh(GwRetryLeases *leases, const char *service, bool wanted,
                      GwTime now)
{
    Service *s = find_or_add_service_(leases, service);

    for (unsigned i = 0; i < leases->n_owners; i++) {
        if (is_due_(&s->leases[i], wanted, now))
            request_(leases, service, &s->leases[i], wanted, now);
    }
}

// An answer to an earlier request than the last one is ignored, and so is one
// that took longer than the term: the owner counts these as used.
void
GwRetryLeases_OnGrant(GwRetryLeases *leases, uint64_t owner,
                      const char *service, const GwRetryLeaseGrant *grant,
                      GwTime now)
{
    Service *s = g_hash_table_lookup(leases->services, service);
    Lease *lease = s != NULL ? find_lease_(leases, s, owner) : NULL;

    if (lease == NULL || lease->granted_at != 0 || grant->granted == 0 ||
        grant->asked_at != lease->asked_at)
        return;
    lease->granted_at = grant->granted_at;
    lease->unused = is_valid_(lease, now) ? grant->granted : 0;
}

bool
GwRetryLeases_Take(GwRetryLeases *leases, const char *service, GwTime now)
{
    Service *s = g_hash_table_lookup(leases->services, service);

    for (unsigned i = 0; s != NULL && i < leases->n_owners; i++) {
        Lease *lease = &s->leases[i];

        if (lease->unused > 0 && is_valid_(lease, now)) {
            lease->unused--;
            return true;
        }
    }
    return false;
}

unsigned
GwRetryLeases_Count(const GwRetryLeases *leases, const char *service,
                    GwTime now)
{
    const Service *s = g_hash_table_lookup(leases->services, service);
    unsigned n = 0;

    for (unsigned i = 0; s != NULL && i < leases->n_owners; i++) {
        if (is_valid_(&s->leases[i], now))
            n += s->leases[i].unused;
    }
    return n;
}

static Service *
find_or_add_service_(GwRetryLeases *leases, const char *name)
{
    Service *s = g_hash_table_lookup(leases->services, name);

    if (s == NULL) {
        s = g_new0(Service, 1);
        set_owners_(leases, s);
        g_hash_table_insert(leases->services, g_strdup(name), s);
    }
    return s;
}

static void
set_owners_(const GwRetryLeases *leases, Service *s)
{
    Service before = *s;

    *s = (Service){0};
    for (unsigned i = 0; i < leases->n_owners; i++) {
        Lease *kept = find_lease_(leases, &before, leases->owners[i]);

        if (kept != NULL)
            s->leases[i] = *kept;
        s->leases[i].owner = leases->owners[i];
    }
}

static Lease *
find_lease_(const GwRetryLeases *leases, Service *s, uint64_t owner)
{
    for (unsigned i = 0; i < GW_RETRY_OWNERS_MAX; i++) {
        if (s->leases[i].owner == owner && s->leases[i].asked_at != 0)
            return &s->leases[i];
    }
    return NULL;
}

// The owner counts the lease from a later moment than this process, so it ends
// here first.
static bool
is_valid_(const Lease *lease, GwTime now)
{
    return lease->granted_at != 0 &&
           now - lease->asked_at < GW_RETRY_LEASE_TERM;
}

static bool
is_due_(const Lease *lease, bool wanted, GwTime now)
{
    GwTime age = now - lease->asked_at;

    if (lease->unused > 0)
        return age >= RENEWAL_AGE;
    if (!wanted)
        return false;
    return lease->asked_at == 0 ||
           age >=
               (lease->granted_at != 0 ? REPEAT_INTERVAL : EXHAUSTED_INTERVAL);
}

static void
request_(GwRetryLeases *leases, const char *service, Lease *lease, bool wanted,
         GwTime now)
{
    unsigned n = leases->n_owners;
    GwRetryLeaseRequest request = {
        .wanted = wanted ? (LEASED_AHEAD + n - 1) / n : 0,
        .unused = lease->unused,
        .granted_at = lease->granted_at,
        .asked_at = now,
        .owners = n,
    };

    // Ended before it is returned, so that no retry is used twice.
    lease->unused = 0;
    lease->granted_at = 0;
    lease->asked_at = now;
    leases->ops->send_request(leases->user, lease->owner, service, &request);
}
