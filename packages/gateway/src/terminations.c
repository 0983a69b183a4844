#include "terminations.h"

#include <string.h>
#include <xxhash.h>

const char *const GwTerminationCause_Names[GW_TERMINATION_CAUSES] = {
    [GW_TERMINATION_DOWN] = "down",
    [GW_TERMINATION_REFUSED] = "refused",
    [GW_TERMINATION_REPLACED] = "replaced",
    [GW_TERMINATION_RESTARTED] = "restarted",
    [GW_TERMINATION_REMOVED] = "removed",
    [GW_TERMINATION_PEER] = "told",
};

static uint64_t endpoint_hash_(const GwInstance *instance);
static GwEndpointTermination make_termination_(const GwGateway *g,
                                               const GwInstance *instance);
static void add_termination_(GwGateway *g, GwEndpointTermination *termination,
                             const GArray *requests, GwTerminationCause cause);
static void broadcast_update_(void *user, GwSession *from,
                              const GwQuarantineUpdate *update);
static void broadcast_completion_(GwGateway *g, const GwDigest *request);
static void store_quarantined_(GwGateway *g, const GwInFlight *added);
static void log_termination_(GwGateway *g,
                             const GwEndpointTermination *termination,
                             GwTerminationCause cause);

static const GwQuarantineSyncOps sync_ops = {.on_update = broadcast_update_};

void
GwTerminations_OnQuarantineChanged(void *user,
                                   const GwQuarantineChange *change)
{
    static const char *const events[GW_SUSPECT_KINDS][2] = {
        [GW_SUSPECT_REQUEST] = {"request_released", "request_quarantined"},
        [GW_SUSPECT_PART] = {"part_released", "part_quarantined"},
    };
    GwGateway *g = user;

    if (!change->is_quarantined && g->quarantine_store != NULL)
        GwQuarantineStore_Remove(g->quarantine_store, change->kind,
                                 &change->digest);
    GwEvent_Begin(g->log, events[change->kind][change->is_quarantined], NULL);
    GwTerminations_LogSuspect(g->log, change->kind, &change->digest);
    GwEvent_Number(g->log, "ends", change->n_terminations);
    GwEvent_Text(g->log, "learned", GwQuarantineSource_Names[change->source]);
    GwEvent_End(g->log);
}

void
GwTerminations_LogSuspect(GwEventLog *log, GwSuspectKind kind,
                          const GwDigest *suspect)
{
    char text[GW_DIGEST_TEXT_SIZE];

    if (kind == GW_SUSPECT_PART)
        g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x",
                   suspect->content);
    else
        GwDigest_Text(suspect, text);
    GwEvent_Text(log, kind == GW_SUSPECT_PART ? "part" : "digest", text);
}

// An endpoint that has reached its maximum number of connections refuses new
// ones as well, but still answers the requests in flight there. So only an
// endpoint without requests of this gateway in flight counts as terminated.
void
GwTerminations_OnConnectionRefused(void *user, GwUpstreamPool *pool)
{
    GwGateway *g = user;
    const GPtrArray *all = GwInstances_All(GwView_Instances(g->view));

    for (guint i = 0; i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->user == pool && instance->in_flight == 0)
            GwTerminations_OnTerminated(g, instance, GW_TERMINATION_REFUSED);
    }
}

void
GwTerminations_AddBrokenRequest(GwGateway *g, const GwInstance *instance,
                                const GwRequestIdentity *request)
{
    uint64_t endpoint = endpoint_hash_(instance);
    GwTime now = GwTime_Now();
    GwTime terminated_at = GwQuarantine_TerminatedAt(g->quarantine, endpoint);

    // A leaving endpoint may exit while it still runs requests; that is no
    // crash.
    if (instance->leaving)
        return;
    GwBrokenRequests_Add(g->recent_broken_requests, endpoint, request, now);
    // The agent or a peer reported the termination before this connection was
    // closed.
    if (terminated_at != 0 &&
        now - terminated_at < GW_BROKEN_REQUESTS_RETENTION)
        GwTerminations_OnTerminated(g, instance, GW_TERMINATION_PEER);
    // Without an agent, as beside plain endpoints, a termination may stay
    // unknown for seconds: rows are removed from the list only after three
    // missed heartbeats. So check whether the endpoint accepts connections.
    else if (GwInstance_ReportState(instance, now) != GW_REPORT_FRESH)
        GwUpstreamPool_Check(instance->user);
}

void
GwTerminations_OnTerminated(GwGateway *g, const GwInstance *instance,
                            GwTerminationCause cause)
{
    GwEndpointTermination termination = make_termination_(g, instance);
    g_autoptr(GArray) requests = NULL;

    if (instance->leaving)
        return;
    requests =
        GwBrokenRequests_Take(g->recent_broken_requests, termination.endpoint,
                              GwTime_Now(), &termination.at);
    add_termination_(g, &termination, requests, cause);
}

// Rows expire for other reasons as well. Without broken requests, the removal
// does not count as a termination.
void
GwTerminations_OnInstanceFreed(GwGateway *g, const GwInstance *instance)
{
    GwEndpointTermination termination = make_termination_(g, instance);
    g_autoptr(GArray) requests =
        GwBrokenRequests_Take(g->recent_broken_requests, termination.endpoint,
                              GwTime_Now(), &termination.at);

    if (requests->len > 0 && !instance->leaving)
        add_termination_(g, &termination, requests, GW_TERMINATION_REMOVED);
}

// The update of the peer names the requests that it had in flight there; the
// requests that broke at this gateway are added.
void
GwTerminations_OnPeerUpdate(GwGateway *g,
                            const GwEndpointTermination *reported)
{
    GwEndpointTermination termination = *reported;
    GwTime at;
    g_autoptr(GArray) requests = GwBrokenRequests_Take(
        g->recent_broken_requests, termination.endpoint, GwTime_Now(), &at);

    log_termination_(g, reported, GW_TERMINATION_PEER);
    termination.source = GW_QUARANTINE_SOURCE_OWN;
    if (requests->len > 0)
        add_termination_(g, &termination, requests, GW_TERMINATION_PEER);
}

void
GwTerminations_OnCompletion(GwGateway *g, const GwRequestIdentity *request,
                            int status)
{
    GwQuarantineSync_AddCompletion(g->quarantine, request, status, &sync_ops,
                                   g);
}

static void
broadcast_update_(void *user, GwSession *from,
                  const GwQuarantineUpdate *update)
{
    const GwGateway *g = user;

    GwPeers_BroadcastQuarantine(g->peers, update);
}

// Identifies an incarnation of an instance in the quarantine; never 0.
static uint64_t
endpoint_hash_(const GwInstance *instance)
{
    return MAX(XXH3_64bits_withSeed(instance->id, strlen(instance->id),
                                    (XXH64_hash_t)instance->incarnation),
               1);
}

static GwEndpointTermination
make_termination_(const GwGateway *g, const GwInstance *instance)
{
    const GPtrArray *endpoints =
        GwInstances_Of(GwView_Instances(g->view), instance->service);
    GwEndpointTermination termination = {
        .endpoint = endpoint_hash_(instance),
        .group =
            GwQuarantine_Group(instance->service, instance->failure_domain),
        .group_size = 1,
        .at = GwTime_Now(),
    };

    for (guint i = 0; endpoints != NULL && i < endpoints->len; i++) {
        const GwInstance *other = g_ptr_array_index(endpoints, i);

        termination.group_size +=
            other != instance && other->domain == instance->domain;
    }
    return termination;
}

// Adds the termination with the @p requests that broke at this gateway to the
// quarantine. If that is new information, it is logged and broadcast, and
// requests that are under quarantine are written to the store.
static void
add_termination_(GwGateway *g, GwEndpointTermination *termination,
                 const GArray *requests, GwTerminationCause cause)
{
    g_autofree GwInFlight *in_flight = g_new0(GwInFlight, 1);
    g_autofree GwInFlight *added = g_new0(GwInFlight, 1);
    GwQuarantineUpdate update = {.is_termination = true};
    size_t n_added;
    bool is_new;

    GwInFlight_AddAll(in_flight, requests);
    GwEndpointTermination_SetInFlight(termination, in_flight);
    n_added = GwQuarantine_AddTermination(g->quarantine, termination,
                                          GwTime_Now(), added, &is_new);
    update.termination = *termination;
    GwEndpointTermination_SetInFlight(&update.termination, added);
    if (!is_new && n_added == 0)
        return;
    GwCounters_Add(&g->counters, GW_COUNTER_ENDS_SEEN, is_new);
    log_termination_(g, &update.termination, cause);
    // The agent has reported the termination to all gateways that are
    // connected to it. Broadcasting it again would cost many messages when all
    // endpoints of a rack terminate.
    if (cause == GW_TERMINATION_DOWN && n_added == 0)
        return;
    GwPeers_BroadcastQuarantine(g->peers, &update);
    for (size_t i = 0; i < added->n_requests; i++)
        broadcast_completion_(g, &added->requests[i]);
    store_quarantined_(g, added);
}

static void
store_quarantined_(GwGateway *g, const GwInFlight *added)
{
    for (size_t i = 0; i < added->n_requests; i++)
        GwQuarantineStore_Write(g->quarantine_store, GW_SUSPECT_REQUEST,
                                &added->requests[i]);
    for (size_t i = 0; i < added->n_parts; i++)
        GwQuarantineStore_Write(g->quarantine_store, GW_SUSPECT_PART,
                                &added->parts[i].digest);
}

// Peers that have not seen the request complete may take it for the cause of
// its terminations.
static void
broadcast_completion_(GwGateway *g, const GwDigest *request)
{
    GwQuarantineUpdate update = {
        .completed_kind = GW_SUSPECT_REQUEST,
        .completed = *request,
        .completed_at = GwQuarantine_CompletedAt(g->quarantine, request),
    };

    if (update.completed_at != 0)
        GwPeers_BroadcastQuarantine(g->peers, &update);
}

static void
log_termination_(GwGateway *g, const GwEndpointTermination *termination,
                 GwTerminationCause cause)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(g->view));
    const GwInstance *known = NULL;
    char text[GW_DIGEST_TEXT_SIZE];

    for (guint i = 0; i < all->len && known == NULL; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);

        if (endpoint_hash_(instance) == termination->endpoint)
            known = instance;
    }

    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
               termination->endpoint);
    GwEvent_Begin(g->log, "endpoint_ended", NULL);
    GwEvent_Text(g->log, "endpoint", text);
    // Empty if the update of a peer is about an incarnation that is not, or
    // not yet, in this gateway's replica of the instance list.
    GwEvent_Text(g->log, "instance", known != NULL ? known->id : "");
    GwEvent_Text(g->log, "why", GwTerminationCause_Names[cause]);
    GwEvent_Number(g->log, "requests", (int64_t)termination->n_requests);
    GwEvent_Number(g->log, "parts", (int64_t)termination->n_parts);
    GwEvent_End(g->log);
}
