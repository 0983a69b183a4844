#define GW_LOG_PART "sidecar"
#include "galenagw/sidecar/sidecar.h"

#include <string.h>

#include "galenagw/adapter/engine.h"
#include "galenagw/adapter/messages.h"
#include "galenagw/cluster/naming_store.h"
#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/http/caller.h"
#include "galenagw/http/metrics.h"

#include "engine_cache.h"
#include "engine_switch.h"

/* Interval of reports. It is short because a queue builds up in some hundred
 * milliseconds. */
#define POLL_INTERVAL (250 * GW_MILLISECOND)
/* Interval of reports during a switch: each report may show that the engine
 * serves again. */
#define POLL_INTERVAL_SWITCHING (40 * GW_MILLISECOND)
/* An engine answers a report without waiting for a slot, and on this machine,
 * so a report that takes this long is counted as missed. A single missed
 * report may have been caused by a suspension of this machine, so the engine
 * counts as down after two in a row. */
#define REPORT_TIMEOUT (250 * GW_MILLISECOND)
#define MISSED_REPORTS_DOWN 2
/* Reports have some hundred bytes, and about 50 for each run. */
#define REPORT_BYTES_MAX (256 * 1024)
/* Pause between two reads of the instance list. The list rarely changes except
 * for the weights versions in it, which agents do not use, and entries send
 * the other changes in between. */
#define INSTANCES_READ_PAUSE (10 * GW_SECOND)
/* An engine that answers again may have restarted under another id. Orders
 * that name its previous id are refused, and entries ignore updates that name
 * it. Until the new id is known, the instance list is read with each report,
 * for at most this long. It takes several reads because each one also ends
 * with changes of other instances. The record of a restarted engine is in the
 * list within a second of the start. */
#define ID_LOOKUP_TIMEOUT (3 * GW_SECOND)
/* Interval of these reads while this process reads the lists from peers. When
 * many engines start at once, peers are likely to send the new ids soon. */
#define ID_LOOKUP_PEERS_INTERVAL (1 * GW_SECOND)
/* Interval after which the state is broadcast even if it has not changed. It
 * is shorter than POLL_INTERVAL, so each report outside of a switch is
 * broadcast: entries treat an engine whose agent's report is overdue as
 * suspended with its machine. */
#define STATE_BROADCAST_INTERVAL (200 * GW_MILLISECOND)
/* Changes of the load by fewer requests are broadcast only after
 * STATE_BROADCAST_INTERVAL. */
#define STATE_REQUESTS_CHANGE_MIN 4
#define STATE_MEMORY_CHANGE_SHARE 0.05
/* Interval of on_flush_. */
#define FLUSH_INTERVAL (500 * GW_MILLISECOND)

struct GwSidecar {
    GwLoop *loop;
    GwEventLog *log;
    char *name;
    char *failure_domain;
    GwAddress endpoint;
    GwView *view;
    GwStoreReader *reader;
    GwPeers *peers;
    GwNamingStore *naming_store;
    GwHttpServer *metrics_server;
    GwHttpCaller *reports; /* calls to the engine for its report */
    GwEngineSwitch *engine_switch;
    GwEngineCache *cache;
    GwQuarantine *quarantine; /* forwarded to entries that do not have it */
    GwLimitOwner *limit_owner;
    GwRetrySlack *retry_slack;
    GRand *rand;
    GwCounters counters;

    GwTimer poll_timer;
    GwTimer flush_timer;
    GwEngineReport report;
    GwTime reported_at; /* time of the last report; 0: the engine is down */
    unsigned missed_reports_in_row;
    GwTime id_lookup_started_at; /* 0: no lookup of the engine's id */
    GwTime id_looked_up_at;      /* last read of the list for that lookup */
    int64_t lost_row_offset;  /* of the engine's record in the list when it was
                                 last down; a restart adds a later one */
    GwEngineState sent_state; /* last broadcast */
    GwTime state_sent_at;
};

static void request_report_(void *user);
static void on_report_(void *user, GwCallOutcome outcome, int status,
                       const char *body, size_t len);
static void on_report_missed_(GwSidecar *s, GwCallOutcome outcome);
static void look_up_id_(GwSidecar *s);
static void note_endpoint_state_(GwSidecar *s, const GwHttpCaller *caller);
static GwInstance *reported_instance_(GwSidecar *s);
static void on_weights_named_(void *user, const char *model,
                              const GwModelVersions *target);
static void on_restarted_(void *user, GwInstance *before, GwInstance *after);
static void on_urgent_(void *user);
static void process_report_(GwSidecar *s);
static void broadcast_state_(GwSidecar *s, const GwInstance *instance);
static bool should_broadcast_(const GwSidecar *s, const GwEngineState *state);
static void on_flush_(void *user);
static GwInstance *own_instance_(const GwSidecar *s);
static void start_engine_cache_(GwSidecar *s);
static void start_engine_switch_(GwSidecar *s, const GwDeployment *d);
static bool create_cluster_modules_(GwSidecar *s, const GwDeployment *d,
                                    GwError *err);

static const GwViewOps view_ops = {
    .on_weights = on_weights_named_,
    .on_instance_restarted = on_restarted_,
    .on_urgent = on_urgent_,
};

GwSidecar *
GwSidecar_New(GwLoop *loop, const GwSidecarOptions *options, GwError *err)
{
    const GwDeployment *d = options->deployment;
    GwSidecar *s;

    if (d->endpoint.port == 0) {
        GwError_Set(err, GW_ERROR_USAGE,
                    "settings: app is missing; run the sidecar on a machine "
                    "with an engine, or add app=IP:PORT");
        return NULL;
    }
    s = g_new0(GwSidecar, 1);
    s->loop = loop;
    s->log = options->log;
    s->name = g_strdup(d->name);
    s->failure_domain = g_strdup(d->failure_domain);
    s->endpoint = d->endpoint;
    s->rand = g_rand_new();
    s->quarantine = GwQuarantine_New(&(GwQuarantineOptions){0});
    s->limit_owner = GwLimitOwner_New(GwTime_Now());
    s->retry_slack = GwRetrySlack_New(&d->retry_bound, GwTime_Now());
    s->reports = GwHttpCaller_New(loop, &s->endpoint);
    GwHttpCaller_SetMaxBody(s->reports, REPORT_BYTES_MAX);
    GwTimer_Init(&s->poll_timer, loop, request_report_, s);
    GwTimer_Init(&s->flush_timer, loop, on_flush_, s);
    if (!create_cluster_modules_(s, d, err)) {
        GwSidecar_Delete(s);
        return NULL;
    }
    start_engine_cache_(s);
    start_engine_switch_(s, d);
    request_report_(s);
    on_flush_(s);
    return s;
}

void
GwSidecar_Delete(GwSidecar *s)
{
    if (s == NULL)
        return;
    GwTimer_Stop(&s->poll_timer);
    GwTimer_Stop(&s->flush_timer);
    GwHttpCaller_Delete(s->reports);
    GwEngineSwitch_Delete(s->engine_switch);
    GwHttpServer_Delete(s->metrics_server);
    GwEngineCache_Delete(s->cache);
    GwNamingStore_Delete(s->naming_store);
    GwPeers_Delete(s->peers);
    GwStoreReader_Delete(s->reader);
    GwView_Delete(s->view);
    GwQuarantine_Delete(s->quarantine);
    GwLimitOwner_Delete(s->limit_owner);
    GwRetrySlack_Delete(s->retry_slack);
    g_rand_free(s->rand);
    g_free(s->name);
    g_free(s->failure_domain);
    g_free(s);
}

const GwCounters *
GwSidecar_Counters(const GwSidecar *s)
{
    return &s->counters;
}

static void
request_report_(void *user)
{
    GwSidecar *s = user;
    g_autoptr(GString) out = g_string_new(NULL);

    GwTimer_Start(&s->poll_timer, GwEngineSwitch_IsUrgent(s->engine_switch)
                                      ? POLL_INTERVAL_SWITCHING
                                      : POLL_INTERVAL);
    if (GwHttpCaller_IsBusy(s->reports))
        return;
    GwEngine_EncodeReport(out);
    GwHttpCaller_Send(s->reports, out, REPORT_TIMEOUT, on_report_, s);
}

static void
on_report_(void *user, GwCallOutcome outcome, int status, const char *body,
           size_t len)
{
    GwSidecar *s = user;
    GwError err = {0};
    bool had = s->reported_at != 0;

    if (outcome != GW_CALL_ANSWERED || status != 200 ||
        !GwEngine_DecodeReport(body, len, &s->report, &err)) {
        on_report_missed_(s, outcome);
        if (!had || s->reported_at != 0)
            return;
        GwEvent_Begin(s->log, "engine_lost", NULL);
        GwEvent_Text(s->log, "why", GwCallOutcome_Names[outcome]);
        GwEvent_Number(s->log, "status", status);
        GwEvent_Text(s->log, "error", err.message);
        GwEvent_End(s->log);
        return;
    }
    s->reported_at = GwTime_Now();
    s->missed_reports_in_row = 0;
    if (!had) {
        GwEvent_Begin(s->log, "engine_found", NULL);
        GwEvent_Text(s->log, "model", s->report.model);
        GwEvent_Number(s->log, "weights", s->report.weights);
        GwEvent_End(s->log);
        s->id_lookup_started_at = s->reported_at;
    }
    look_up_id_(s);
    note_endpoint_state_(s, s->reports);
    process_report_(s);
}

// The answers of an engine announce its departure before the list does, and
// name its rate limit, which the list does not contain. The sidecar forwards
// both to all entries, including those that currently send the engine no
// requests.
static void
note_endpoint_state_(GwSidecar *s, const GwHttpCaller *caller)
{
    const GwInstance *instance = reported_instance_(s);
    const GwHttpHead *head = GwHttpCaller_Head(caller);
    double limit = GwMessages_Limit(head);

    if (instance == NULL)
        return;
    if (GwMessages_IsLeaving(head))
        GwPeers_NoteLeaving(s->peers, instance, GW_SOURCE_REPORT);
    if (limit >= 0)
        GwPeers_NoteLimit(s->peers, instance, limit, GW_SOURCE_REPORT);
}

// After MISSED_REPORTS_DOWN missed reports, or at once if no call could be
// sent, broadcasts that the engine is down. That is long before the engine is
// removed from the list.
static void
on_report_missed_(GwSidecar *s, GwCallOutcome outcome)
{
    const GwInstance *instance = own_instance_(s);

    s->missed_reports_in_row++;
    if (outcome != GW_CALL_NOT_SENT &&
        s->missed_reports_in_row < MISSED_REPORTS_DOWN) {
        request_report_(s);
        return;
    }
    s->reported_at = 0;
    if (instance != NULL) {
        s->lost_row_offset = instance->offset;
        broadcast_state_(s, instance);
    }
}

static void
look_up_id_(GwSidecar *s)
{
    const GwInstance *instance = own_instance_(s);
    GwTime now = GwTime_Now();

    if (s->id_lookup_started_at == 0)
        return;
    if ((instance != NULL && instance->offset > s->lost_row_offset) ||
        now - s->id_lookup_started_at > ID_LOOKUP_TIMEOUT) {
        s->id_lookup_started_at = 0;
        return;
    }
    if (GwStoreReader_ReadsFromPeers(s->reader) &&
        now - s->id_looked_up_at < ID_LOOKUP_PEERS_INTERVAL)
        return;
    s->id_looked_up_at = now;
    GwStoreReader_ReadNow(s->reader, GW_LIST_INSTANCES);
}

// The incarnation of the engine that the last report is from, or NULL if that
// is an earlier incarnation than the listed one: reports are some hundred
// milliseconds old. The list may be even older; a report of a later
// incarnation than the listed one is recorded as a restart.
static GwInstance *
reported_instance_(GwSidecar *s)
{
    GwInstance *instance = own_instance_(s);

    if (instance == NULL || s->report.incarnation == 0 ||
        s->report.incarnation == instance->incarnation)
        return instance;
    return GwInstances_ApplyRestart(GwView_Instances(s->view), instance->id,
                                    s->report.incarnation, GW_SOURCE_REPORT,
                                    GwTime_Now());
}

// The engine has restarted: it has none of the earlier orders and requests.
static void
on_restarted_(void *user, GwInstance *before, GwInstance *after)
{
    GwSidecar *s = user;

    if (!GwAddress_Equal(&after->address, &s->endpoint))
        return;
    GwEngineSwitch_OnRestarted(s->engine_switch);
    GwPeers_ResetLoads(s->peers);
    s->state_sent_at = 0;
    if (s->report.incarnation < after->incarnation) {
        memset(&s->report, 0, sizeof(s->report));
        s->report.weights = -1;
    }
}

// The view has received an urgent update.
static void
on_urgent_(void *user)
{
    GwSidecar *s = user;

    if (s->peers != NULL)
        GwPeers_BroadcastUrgentHeartbeat(s->peers);
}

// Requests a report at once, because a switch starts with a report. The first
// engines start half a poll interval earlier on average, and so do all that
// follow them.
static void
on_weights_named_(void *user, const char *model, const GwModelVersions *target)
{
    GwSidecar *s = user;

    if (!GwStoreReader_ReadsFromPeers(s->reader))
        GwNamingStore_OnNamed(s->naming_store, target);
    if (s->poll_timer.place != NULL)
        GwTimer_Start(&s->poll_timer, 0);
}

static void
process_report_(GwSidecar *s)
{
    GwInstance *instance = reported_instance_(s);

    if (instance == NULL)
        return;
    GwInstance_SetWeights(instance, s->report.weights);
    GwNamingStore_Check(s->naming_store);
    GwEngineSwitch_OnReport(s->engine_switch, instance, &s->report);
    // Otherwise the next report comes after POLL_INTERVAL.
    if (GwEngineSwitch_IsUrgent(s->engine_switch))
        GwTimer_Start(&s->poll_timer, POLL_INTERVAL_SWITCHING);
    broadcast_state_(s, instance);
}

static void
broadcast_state_(GwSidecar *s, const GwInstance *instance)
{
    GwSwitchStage stage = GwEngineSwitch_Stage(s->engine_switch);
    GwEngineState state = {
        .instance = instance->id,
        .incarnation = instance->incarnation,
        .weights = s->report.weights,
        .preparing = stage == GW_STAGE_PREPARING,
        .switching = stage > GW_STAGE_PREPARING,
        .down = s->reported_at == 0,
        .running = s->report.running,
        .queued = s->report.queued,
        .kv_used = s->report.kv_used,
        .kv_total = s->report.kv_total,
        .switch_time = GwEngineSwitch_SwitchTime(s->engine_switch),
    };

    if (!should_broadcast_(s, &state))
        return;
    s->sent_state = state;
    s->state_sent_at = GwTime_Now();
    GwPeers_BroadcastEngineState(s->peers, &state);
}

static bool
should_broadcast_(const GwSidecar *s, const GwEngineState *state)
{
    const GwEngineState *sent = &s->sent_state;

    return GwTime_Now() - s->state_sent_at >= STATE_BROADCAST_INTERVAL ||
           state->weights != sent->weights ||
           state->switching != sent->switching ||
           state->preparing != sent->preparing || state->down != sent->down ||
           ABS((int)state->running - (int)sent->running) >=
               STATE_REQUESTS_CHANGE_MIN ||
           (state->queued > 0) != (sent->queued > 0) ||
           ABS((double)state->kv_used - (double)sent->kv_used) >
               STATE_MEMORY_CHANGE_SHARE * state->kv_total;
}

// Periodic work that is not urgent.
static void
on_flush_(void *user)
{
    GwSidecar *s = user;

    if (s->log != NULL)
        GwEventLog_Flush(s->log);
    GwQuarantine_Sweep(s->quarantine, GwTime_Now());
    GwStoreReader_SetClusterSize(s->reader, GwPeers_ClusterSize(s->peers));
    GwTimer_Start(&s->flush_timer, FLUSH_INTERVAL);
}

static GwInstance *
own_instance_(const GwSidecar *s)
{
    return GwInstances_At(GwView_Instances(s->view), &s->endpoint);
}

static void
start_engine_cache_(GwSidecar *s)
{
    GwEngineCacheOptions options = {
        .engine_address = s->endpoint,
        .peers = s->peers,
        .log = s->log,
        .rand = s->rand,
    };

    s->cache = GwEngineCache_New(s->loop, &options);
}

static void
start_engine_switch_(GwSidecar *s, const GwDeployment *d)
{
    GwEngineSwitchOptions options = {
        .name = s->name,
        .endpoint = s->endpoint,
        .store = d->store,
        .agent_port = d->agent_port,
        .weights_bound = d->weights_bound,
        .naming_store = s->naming_store,
        .view = s->view,
        .peers = s->peers,
        .log = s->log,
        .counters = &s->counters,
        .rand = s->rand,
    };

    s->engine_switch = GwEngineSwitch_New(s->loop, &options);
}

static bool
create_cluster_modules_(GwSidecar *s, const GwDeployment *d, GwError *err)
{
    GwViewOptions view = {
        .ops = &view_ops, .user = s, .log = s->log, .counters = &s->counters};
    GwNamingStoreOptions namings = {
        .store = d->store,
        .log = s->log,
        .counters = &s->counters,
        .rand = s->rand,
    };
    GwStoreReaderOptions reader = {
        .store = d->store,
        .name = s->name,
        .log = s->log,
        .counters = &s->counters,
        .rand = s->rand,
        .instances_min_interval = INSTANCES_READ_PAUSE,
        .bound = d->config_bound,
        .heartbeat_interval = d->heartbeat_interval,
        .reconnect_bound = d->reconnect_bound,
        .asks_peers_first = true,
    };
    GwPeersOptions peers = {
        .is_agent = true,
        .name = s->name,
        .failure_domain = s->failure_domain,
        .listen = d->peers,
        .agent_port = d->agent_port,
        .link_rate = d->link_rate,
        .log = s->log,
        .counters = &s->counters,
        .quarantine = s->quarantine,
        .limit_owner = s->limit_owner,
        .retry_slack = s->retry_slack,
        .limit_tolerance = d->limits,
    };

    s->view = GwView_New(&view);
    if (d->is_first_start)
        GwView_NoteOperatorListComplete(s->view);
    namings.view = s->view;
    s->naming_store = GwNamingStore_New(s->loop, &namings);
    reader.view = s->view;
    s->reader = GwStoreReader_New(s->loop, &reader);
    peers.view = s->view;
    peers.reader = s->reader;
    s->peers = GwPeers_New(s->loop, &peers, err);
    if (s->peers == NULL)
        return false;
    s->metrics_server =
        GwMetrics_Serve(s->loop, &d->metrics, &s->counters, err);
    return s->metrics_server != NULL;
}
