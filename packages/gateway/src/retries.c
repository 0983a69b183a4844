#include "retries.h"

/* The retries to one service. */
typedef struct {
    GwBudget budget;
    GwTime logged_at;
    /* Since then: */
    unsigned requests;
    /* By source, up to GW_RETRY_SOURCE_LEASE; under GW_RETRY_SOURCE_NONE:
     * refused. */
    unsigned used[GW_RETRY_SOURCE_LEASE + 1];
} ServiceRetries;

const char *const GwRetrySource_Names[GW_RETRY_SOURCES] = {
    [GW_RETRY_SOURCE_NONE] = "used_up",
    [GW_RETRY_SOURCE_RATIO] = "ratio",
    [GW_RETRY_SOURCE_LEASE] = "lease",
    [GW_RETRY_SOURCE_NOT_SENT] = "not_sent",
    [GW_RETRY_SOURCE_NOT_ASKED] = "not_asked",
};

static bool send_request_(void *user, uint64_t owner, const char *service,
                          const GwRetryLeaseRequest *request);
static ServiceRetries *find_or_add_(GwGateway *g, const char *service);
static void refresh_(GwGateway *g, const char *service,
                     ServiceRetries *retries);
static GwRetrySource use_(GwGateway *g, const char *service,
                          ServiceRetries *retries);
static void log_(GwGateway *g, const char *service, ServiceRetries *retries);

static const GwRetryLeasesOps leases_ops = {send_request_};

void
GwRetries_Init(GwGateway *g)
{
    g->retries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->retry_leases = GwRetryLeases_New(&leases_ops, g);
}

void
GwRetries_Clear(GwGateway *g)
{
    g_hash_table_unref(g->retries);
    GwRetryLeases_Delete(g->retry_leases);
}

void
GwRetries_AddRequest(GwGateway *g, const char *service)
{
    ServiceRetries *retries = find_or_add_(g, service);

    GwBudget_AddRequest(&retries->budget, &g->budget_bound, GwTime_Now());
    retries->requests++;
    refresh_(g, service, retries);
}

GwRetrySource
GwRetries_Use(GwGateway *g, const char *service)
{
    ServiceRetries *retries = find_or_add_(g, service);
    GwRetrySource source = use_(g, service, retries);

    retries->used[source]++;
    if (source == GW_RETRY_SOURCE_NONE)
        GwCounters_Add(&g->counters, GW_COUNTER_RETRIES_OVER_BUDGET, 1);
    else if (source == GW_RETRY_SOURCE_LEASE)
        GwCounters_Add(&g->counters, GW_COUNTER_RETRIES_LEASED, 1);
    refresh_(g, service, retries);
    return source;
}

void
GwRetries_Tick(GwGateway *g)
{
    GHashTableIter iter;
    gpointer service;
    gpointer retries;

    g_hash_table_iter_init(&iter, g->retries);
    while (g_hash_table_iter_next(&iter, &service, &retries)) {
        refresh_(g, service, retries);
        log_(g, service, retries);
    }
}

static bool
send_request_(void *user, uint64_t owner, const char *service,
              const GwRetryLeaseRequest *request)
{
    GwGateway *g = user;

    GwCounters_Add(&g->counters, GW_COUNTER_RETRY_LEASE_ASKS, 1);
    return GwPeers_AskRetrySlack(g->peers, owner, service, request);
}

static ServiceRetries *
find_or_add_(GwGateway *g, const char *service)
{
    ServiceRetries *retries = g_hash_table_lookup(g->retries, service);

    if (retries == NULL) {
        retries = g_new0(ServiceRetries, 1);
        retries->logged_at = GwTime_Now();
        retries->budget.seed = g_rand_int(g->rand);
        g_hash_table_insert(g->retries, g_strdup(service), retries);
    }
    return retries;
}

static void
refresh_(GwGateway *g, const char *service, ServiceRetries *retries)
{
    GwTime now = GwTime_Now();

    if (g->budget_bound.slack > 0)
        GwRetryLeases_Refresh(
            g->retry_leases, service,
            GwBudget_IsLow(&retries->budget, &g->budget_bound, now), now);
}

static GwRetrySource
use_(GwGateway *g, const char *service, ServiceRetries *retries)
{
    GwTime now = GwTime_Now();

    if (GwBudget_UseRetry(&retries->budget, &g->budget_bound, now))
        return GW_RETRY_SOURCE_RATIO;
    if (GwRetryLeases_Take(g->retry_leases, service, now))
        return GW_RETRY_SOURCE_LEASE;
    return GW_RETRY_SOURCE_NONE;
}

// One line for each window in which the service was retried, or should have
// been: the sum over all gateways can be compared with the bound.
static void
log_(GwGateway *g, const char *service, ServiceRetries *retries)
{
    GwTime now = GwTime_Now();
    const unsigned *used = retries->used;
    bool has_retries = used[GW_RETRY_SOURCE_NONE] +
                           used[GW_RETRY_SOURCE_RATIO] +
                           used[GW_RETRY_SOURCE_LEASE] >
                       0;

    if (now - retries->logged_at < g->budget_bound.window)
        return;
    if (has_retries) {
        GwEvent_Begin(g->log, "retry_budget", NULL);
        GwEvent_Text(g->log, "service", service);
        GwEvent_Time(g->log, "window_ms", now - retries->logged_at);
        GwEvent_Number(g->log, "requests", retries->requests);
        for (int i = 0; i <= GW_RETRY_SOURCE_LEASE; i++)
            GwEvent_Number(g->log, GwRetrySource_Names[i], used[i]);
        GwEvent_Number(g->log, "leased",
                       GwRetryLeases_Count(g->retry_leases, service, now));
        GwEvent_Time(g->log, "up_ms", now - g->started_at);
        GwEvent_End(g->log);
    }
    *retries = (ServiceRetries){.budget = retries->budget, .logged_at = now};
}
