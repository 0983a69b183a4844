#define GW_LOG_PART "gateway"
#include "galenagw/gateway/gateway.h"

#include <string.h>

#include "galenagw/adapter/messages.h"
#include "terminations.h"
#include "galenagw/http/metrics.h"
#include "gateway_private.h"
#include "request.h"
#include "request_software.h"
#include "retries.h"
#include "request_limit.h"
#include "upstream.h"

/* Interval of periodic work, such as writing collected log lines. */
#define PERIODIC_INTERVAL (200 * GW_MILLISECOND)
/* Minimum duration of a drain. The load balancer checks readiness every second
 * and stops sending new connections after two failed checks. */
#define DRAIN_TIME_MIN (3 * GW_SECOND)
/* The drain ends this long before the grace time does, when the platform kills
 * the process. */
#define DRAIN_GRACE_MARGIN (300 * GW_MILLISECOND)
#define DRAIN_CHECK_INTERVAL (50 * GW_MILLISECOND)
#define READINESS_BODY_BYTES_MAX 1024
/* A longer lateness is that of a suspension, which is over. */
#define LATENESS_MAX (500 * GW_MILLISECOND)
/* Maximum memory for the bodies of all requests in progress: a third of the
 * memory of the smallest instance. */
#define BODIES_BYTES_MAX (32 * 1024 * 1024)

static void on_routes_(void *user);
static void on_weights_(void *user, const char *model,
                        const GwModelVersions *versions);
static void on_instance_added_(void *user, GwInstance *instance);
static void on_instance_freed_(void *user, GwInstance *instance);
static void on_instance_restarted_(void *user, GwInstance *before,
                                   GwInstance *after);
static void on_urgent_(void *user);
static void on_engine_down_(void *user, GwInstance *instance);
static void on_endpoint_terminated_(void *user,
                                    const GwEndpointTermination *end);
static void on_call_(void *user, GwHttpCall *call);
static void on_caller_gone_(void *user, GwHttpCall *call);
static void on_caller_drained_(void *user, GwHttpCall *call);
static void on_call_refused_(void *user, GwHttpCall *call, GwHttpRefusal why);
static void on_readiness_call_(void *user, GwHttpCall *call);
static void on_drain_timer_(void *user);
static void on_periodic_timer_(void *user);
static void measure_lateness_(GwGateway *g);
static void on_limit_timer_(void *user);
static void abandon_silent_attempts_(GwGateway *g);
static bool start_servers_(GwGateway *g, const GwDeployment *d, GwError *err);
static void check_for_store_restore_(GwGateway *g);
static bool connect_to_cluster_(GwGateway *g, const GwDeployment *d,
                                GwError *err);
static void copy_bounds_(GwGateway *g, const GwDeployment *d);

static const GwViewOps view_ops = {
    .on_routes = on_routes_,
    .on_weights = on_weights_,
    .on_instance_added = on_instance_added_,
    .on_instance_freed = on_instance_freed_,
    .on_instance_restarted = on_instance_restarted_,
    .on_urgent = on_urgent_,
};
static const GwHttpServerOps caller_ops = {
    on_call_, on_caller_gone_, on_caller_drained_, on_call_refused_};
static const GwHttpServerOps readiness_ops = {.on_call = on_readiness_call_};

GwGateway *
GwGateway_New(GwLoop *loop, const GwGatewayOptions *options, GwError *err)
{
    const GwDeployment *d = options->deployment;
    GwGateway *g = g_new0(GwGateway, 1);
    GwViewOptions view = {.ops = &view_ops,
                          .user = g,
                          .log = options->log,
                          .counters = &g->counters};
    GwQuarantineOptions quarantine = {.on_changed =
                                          GwTerminations_OnQuarantineChanged,
                                      .user = g,
                                      .name = d->name};

    g->loop = loop;
    g->log = options->log;
    g->on_stopped = options->on_stopped;
    g->user = options->user;
    g->name = g_strdup(d->name);
    g->failure_domain = g_strdup(d->failure_domain);
    copy_bounds_(g, d);
    TAILQ_INIT(&g->requests);
    GwRetries_Init(g);
    g->admissions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->quarantine = GwQuarantine_New(&quarantine);
    g->recent_broken_requests = GwBrokenRequests_New();
    g->rand = g_rand_new();
    g->limit_share = GwRequestLimit_NewShare(g);
    g->account_share = GwAccountShare_New();
    g->kv_stores = GwKvStores_New(loop, g->log, g->rand);
    g->stream_origins = GwStreamOrigins_New(GW_GATEWAY_ORIGINS_MAX);
    g->started_at = GwTime_Now();
    GwTimer_Init(&g->drain_timer, loop, on_drain_timer_, g);
    GwTimer_Init(&g->periodic_timer, loop, on_periodic_timer_, g);
    GwTimer_Init(&g->limit_timer, loop, on_limit_timer_, g);
    g->view = GwView_New(&view);
    if (d->is_first_start)
        GwView_NoteOperatorListComplete(g->view);
    if (!start_servers_(g, d, err) || !connect_to_cluster_(g, d, err)) {
        GwGateway_Delete(g);
        return NULL;
    }
    on_periodic_timer_(g);
    return g;
}

void
GwGateway_Delete(GwGateway *g)
{
    if (g == NULL)
        return;
    GwTimer_Stop(&g->drain_timer);
    GwTimer_Stop(&g->periodic_timer);
    GwTimer_Stop(&g->limit_timer);
    GwRequest_EndAll(g);
    GwHttpServer_Delete(g->callers_server);
    GwHttpServer_Delete(g->readiness_server);
    GwHttpServer_Delete(g->metrics_server);
    GwPeers_Delete(g_steal_pointer(&g->peers));
    GwStoreReader_Delete(g->store_reader);
    GwView_Delete(g->view);
    GwKvStores_Delete(g->kv_stores);
    GwStreamOrigins_Delete(g->stream_origins);
    GwRetries_Clear(g);
    g_hash_table_unref(g->admissions);
    GwQuarantineStore_Delete(g->quarantine_store);
    GwNamingStore_Delete(g->naming_store);
    GwQuarantine_Delete(g->quarantine);
    GwLimitShare_Delete(g->limit_share);
    GwAccountShare_Delete(g->account_share);
    GwBrokenRequests_Delete(g->recent_broken_requests);
    g_rand_free(g->rand);
    g_free(g->name);
    g_free(g->failure_domain);
    g_free(g);
}

void
GwGateway_Drain(GwGateway *g)
{
    if (g->draining_since != 0)
        return;
    g->draining_since = GwTime_Now();
    GwHttpServer_Drain(g->callers_server);
    GwRequest_ApplyDrainDeadline(g);
    GwEvent_Begin(g->log, "drain", NULL);
    GwEvent_Number(g->log, "active", g->requests_in_progress);
    GwEvent_End(g->log);
    GwTimer_Start(&g->drain_timer, DRAIN_CHECK_INTERVAL);
}

void
GwGateway_Reload(GwGateway *g, const GwDeployment *d)
{
    copy_bounds_(g, d);
    GwRequest_ApplyDrainDeadline(g);
    GwEvent_Begin(g->log, "reload", NULL);
    GwEvent_Text(g->log, "instance", g->name);
    GwEvent_End(g->log);
}

bool
GwGateway_IsReady(const GwGateway *g)
{
    return g->draining_since == 0 && GwView_Routes(g->view) != NULL;
}

const GwCounters *
GwGateway_Counters(const GwGateway *g)
{
    return &g->counters;
}

int
GwGateway_CallerPort(const GwGateway *g)
{
    return GwHttpServer_Port(g->callers_server);
}

int
GwGateway_ReadinessPort(const GwGateway *g)
{
    return GwHttpServer_Port(g->readiness_server);
}

int
GwGateway_PeerPort(const GwGateway *g)
{
    return GwPeers_Port(g->peers);
}

int
GwGateway_MetricsPort(const GwGateway *g)
{
    return GwHttpServer_Port(g->metrics_server);
}

static void
on_routes_(void *user)
{
    GwGateway *g = user;
    const GwLimits *limits = &GwView_Routes(g->view)->limits;
    GwHttpLimits http_limits = {
        .max_head = limits->max_head,
        .max_body = limits->max_body,
        .head_timeout = limits->head_timeout,
        .body_timeout = limits->idle_timeout,
        .idle_timeout = limits->idle_timeout,
    };

    GwHttpServer_SetLimits(g->callers_server, &http_limits);
    GwKvStores_Follow(g->kv_stores, GwView_Routes(g->view));
}

static void
on_weights_(void *user, const char *model, const GwModelVersions *versions)
{
    GwGateway *g = user;

    GwRequest_WeightsNamed(g);
    // Those that get the list from peers get the times from them, too.
    if (!GwStoreReader_ReadsFromPeers(g->store_reader))
        GwNamingStore_OnNamed(g->naming_store, versions);
}

static void
on_instance_added_(void *user, GwInstance *instance)
{
    GwGateway *g = user;
    GwUpstreamPoolOptions options = {
        .loop = g->loop,
        .address = instance->address,
        .counters = &g->counters,
        .on_refused = GwTerminations_OnConnectionRefused,
        .user = g,
    };

    instance->user = GwUpstreamPool_New(&options);
    if (instance->model != NULL && g->peers != NULL)
        GwPeers_ListChanged(g->peers);
}

static void
on_instance_freed_(void *user, GwInstance *instance)
{
    GwGateway *g = user;

    GwUpstreamPool_Delete(instance->user);
    // When the gateway is deleted, which frees the peers first, all instances
    // are freed; that is no termination of their processes.
    if (g->peers != NULL)
        GwTerminations_OnInstanceFreed(g, instance);
}

// Requests in flight at the earlier incarnation are abandoned later; see
// abandon_silent_attempts_.
static void
on_instance_restarted_(void *user, GwInstance *before, GwInstance *after)
{
    GwGateway *g = user;

    GwUpstreamPool_CloseIdle(before->user);
    GwTerminations_OnTerminated(g, before, GW_TERMINATION_RESTARTED);
    GwPeers_SendLoad(g->peers, after);
}

static void
on_urgent_(void *user)
{
    GwGateway *g = user;

    if (g->peers != NULL)
        GwPeers_BroadcastUrgentHeartbeat(g->peers);
}

static void
on_engine_down_(void *user, GwInstance *instance)
{
    GwRequest_EndpointLost(user, instance, true);
    GwTerminations_OnTerminated(user, instance, GW_TERMINATION_DOWN);
}

static void
on_endpoint_terminated_(void *user, const GwEndpointTermination *end)
{
    GwTerminations_OnPeerUpdate(user, end);
}

static void
on_call_(void *user, GwHttpCall *call)
{
    GwRequest_Start(user, call);
}

static void
on_caller_gone_(void *user, GwHttpCall *call)
{
    GwRequest_CallerGone(GwHttpCall_User(call));
}

static void
on_caller_drained_(void *user, GwHttpCall *call)
{
    GwRequest_CallerDrained(GwHttpCall_User(call));
}

static void
on_call_refused_(void *user, GwHttpCall *call, GwHttpRefusal why)
{
    GwRequest_RefuseEarly(user, call, GwHttpRefusal_Reason(why));
}

static void
on_readiness_call_(void *user, GwHttpCall *call)
{
    GwGateway *g = user;
    g_autoptr(GString) out = g_string_new(NULL);

    if (GwMessages_IsReadiness(GwHttpCall_Head(call)))
        GwMessages_EncodeReadiness(GwGateway_IsReady(g), out);
    else
        GwMessages_EncodeFailure(
            &(GwFailure){.status = 404, .message = "ask for readiness"}, out);
    GwHttpCall_Send(call, out->str, out->len);
    GwHttpCall_Done(call, false);
}

static void
on_drain_timer_(void *user)
{
    GwGateway *g = user;
    GwTime since = GwTime_Now() - g->draining_since;

    if (GwGateway_IsClosing(g))
        GwHttpServer_CloseIdle(g->callers_server);
    // An answer is delivered when its caller has taken it, not when it ends.
    if ((since >= DRAIN_TIME_MIN && g->requests_in_progress == 0 &&
         !GwHttpServer_HasUnsent(g->callers_server)) ||
        since >= g->grace - DRAIN_GRACE_MARGIN) {
        GwEvent_Begin(g->log, "stop", NULL);
        GwEvent_Number(g->log, "active", g->requests_in_progress);
        GwEvent_Time(g->log, "drained_ms", since);
        GwEvent_End(g->log);
        g->on_stopped(g->user);
        return;
    }
    GwTimer_Start(&g->drain_timer, DRAIN_CHECK_INTERVAL);
}

static void
on_periodic_timer_(void *user)
{
    GwGateway *g = user;
    unsigned entries = GwPeers_Entries(g->peers);

    measure_lateness_(g);
    if (g->log != NULL)
        GwEventLog_Flush(g->log);
    abandon_silent_attempts_(g);
    GwRequestSoftware_CheckVersions(g);
    GwNamingStore_Check(g->naming_store);
    GwRetries_Tick(g);
    check_for_store_restore_(g);
    GwQuarantine_SetProcesses(g->quarantine, entries);
    GwQuarantine_Sweep(g->quarantine, GwTime_Now());
    GwKvStores_SetFollowers(g->kv_stores, entries);
    GwStoreReader_SetInstancesMinInterval(
        g->store_reader,
        GwStoreReader_EntryMinInterval(entries, g->leaving_bound));
    GwStoreReader_SetClusterSize(g->store_reader,
                                 GwPeers_ClusterSize(g->peers));
    g->periodic_due_at = GwTime_Now() + PERIODIC_INTERVAL;
    GwTimer_Start(&g->periodic_timer, PERIODIC_INTERVAL);
}

// The peak decays by half in each interval.
static void
measure_lateness_(GwGateway *g)
{
    GwTime late =
        g->periodic_due_at != 0 ? GwTime_Now() - g->periodic_due_at : 0;

    g->timer_lateness =
        MIN(MAX(g->timer_lateness / 2, MAX(late, 0)), LATENESS_MAX);
}

static void
on_limit_timer_(void *user)
{
    GwGateway *g = user;

    g->limit_timer_is_running =
        GwLimitShare_Tick(g->limit_share, GwTime_Now());
    if (g->limit_timer_is_running)
        GwTimer_Start(&g->limit_timer, GW_LIMIT_TICK);
}

// Abandons attempts at endpoints that restarted, are down or have an overdue
// report. An engine whose machine is suspended causes no connection error;
// without this check, its requests would wait until their deadline.
static void
abandon_silent_attempts_(GwGateway *g)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(g->view));
    GwTime now = GwTime_Now();

    GwRequest_AbandonEarlierIncarnations(g);
    for (guint i = 0; i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->in_flight == 0)
            continue;
        // Streams that were still active when the engine was reported down
        // may have stopped since.
        if (instance->agent_report.down)
            GwRequest_EndpointLost(g, instance, true);
        else if (GwInstance_ReportState(instance, now) == GW_REPORT_OVERDUE)
            GwRequest_EndpointLost(g, instance, false);
    }
}

// Opens the ports for requests, readiness checks and metrics.
static bool
start_servers_(GwGateway *g, const GwDeployment *d, GwError *err)
{
    GwHttpServerOptions callers = {
        .address = d->callers,
        .max_bodies = BODIES_BYTES_MAX,
        .ops = &caller_ops,
        .user = g,
    };
    GwHttpServerOptions readiness = {
        .address = d->readiness,
        .limits = {.max_body = READINESS_BODY_BYTES_MAX},
        .ops = &readiness_ops,
        .user = g,
    };

    g->callers_server = GwHttpServer_New(g->loop, &callers, err);
    if (g->callers_server == NULL)
        return false;
    g->readiness_server = GwHttpServer_New(g->loop, &readiness, err);
    if (g->readiness_server == NULL)
        return false;
    g->metrics_server =
        GwMetrics_Serve(g->loop, &d->metrics, &g->counters, err);
    return g->metrics_server != NULL;
}

// Detects that the store was restored from a backup, by a later era. It may
// then lack rows of this process, so they are written again. The era is that
// of the replica, because any process may have read it from the store and sent
// it to this one.
static void
check_for_store_restore_(GwGateway *g)
{
    int64_t era = GwRecords_Era(GwView_Records(g->view));

    if (era > g->store_era) {
        GwQuarantineStore_RewriteAll(g->quarantine_store);
        GwNamingStore_Save(g->naming_store);
    }
    g->store_era = era;
}

// Starts to read the lists and the quarantine from the store, and to connect
// to peers.
static bool
connect_to_cluster_(GwGateway *g, const GwDeployment *d, GwError *err)
{
    GwStoreReaderOptions reader = {
        .store = d->store,
        .name = g->name,
        .view = g->view,
        .log = g->log,
        .counters = &g->counters,
        .rand = g->rand,
        .instances_min_interval =
            GwStoreReader_EntryMinInterval(1, d->leaving_bound),
        .bound = d->config_bound,
        .heartbeat_interval = d->heartbeat_interval,
        .reconnect_bound = d->reconnect_bound,
        .asks_peers_first = d->is_first_start && !GwDeployment_IsSeed(d),
    };
    GwPeersOptions peers = {
        .name = g->name,
        .failure_domain = g->failure_domain,
        .listen = d->peers,
        .agent_port = d->agent_port,
        .link_rate = d->link_rate,
        .seeds = g->seeds,
        .n_seeds = d->n_seeds,
        .view = g->view,
        .log = g->log,
        .counters = &g->counters,
        .on_engine_down = on_engine_down_,
        .quarantine = g->quarantine,
        .on_endpoint_terminated = on_endpoint_terminated_,
        .limit_share = g->limit_share,
        .retry_leases = g->budget_bound.slack > 0 ? g->retry_leases : NULL,
        .user = g,
    };

    GwQuarantineStoreOptions quarantine = {
        .store = d->store,
        .quarantine = g->quarantine,
        .log = g->log,
        .counters = &g->counters,
        .rand = g->rand,
        .is_first_start = d->is_first_start,
    };

    GwNamingStoreOptions namings = {
        .store = d->store,
        .view = g->view,
        .log = g->log,
        .counters = &g->counters,
        .rand = g->rand,
    };

    memcpy(g->seeds, d->seeds, sizeof(g->seeds));
    g->naming_store = GwNamingStore_New(g->loop, &namings);
    g->quarantine_store = GwQuarantineStore_New(g->loop, &quarantine);
    g->store_reader = GwStoreReader_New(g->loop, &reader);
    peers.reader = g->store_reader;
    g->peers = GwPeers_New(g->loop, &peers, err);
    return g->peers != NULL;
}

// Copies the settings that a reload may change.
static void
copy_bounds_(GwGateway *g, const GwDeployment *d)
{
    g->budget_bound = d->retry_bound;
    g->limit_tolerance = d->limits;
    g->grace = d->grace;
    g->weights_bound = d->weights_bound;
    g->leaving_bound = d->leaving_bound;
}
