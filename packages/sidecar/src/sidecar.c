#define GW_LOG_PART "sidecar"
#include "galenagw/sidecar/sidecar.h"

#include <string.h>

#include "galenagw/adapter/engine.h"
#include "galenagw/adapter/messages.h"
#include "galenagw/adapter/store.h"
#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/http/caller.h"
#include "galenagw/http/metrics.h"
#include "galenagw/sidecar/roll.h"

#include "engine_cache.h"

/* Interval of reports. It is short because a queue builds up in some hundred
 * milliseconds. */
#define POLL_INTERVAL (250 * GW_MILLISECOND)
/* Interval of reports during a switch: each report may show that the engine
 * serves again. */
#define POLL_INTERVAL_SWITCHING (40 * GW_MILLISECOND)
/* With less than this left until the order must be sent, the next report is
 * requested after POLL_INTERVAL_SWITCHING: preparing and settling take 1.5 s,
 * of which POLL_INTERVAL would be a large part. */
#define URGENT_TIME_LEFT (1500 * GW_MILLISECOND)
/* An engine answers a report without waiting for a slot, and on this machine,
 * so a report that takes this long is counted as missed. A single missed
 * report may have been caused by a suspension of this machine, so the engine
 * counts as down after two in a row. */
#define REPORT_TIMEOUT (250 * GW_MILLISECOND)
#define MISSED_REPORTS_DOWN 2
/* Timeout of the HTTP call for an order, unless the order is sent again
 * earlier (see ORDER_ANSWER_TIMEOUT). */
#define ORDER_CALL_TIMEOUT (1 * GW_SECOND)
#define FENCE_TIMEOUT (2 * GW_SECOND)
#define FENCE_RETRY (500 * GW_MILLISECOND)
/* The predecessor counts as lost if its state is older. Its agent sends the
 * state more often than this. */
#define PREDECESSOR_STATE_MAX_AGE (2 * GW_SECOND)
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
/* An order that was answered but has no effect after this time is sent again.
 * If the first order is carried out late after all, the engine refuses it,
 * because the count of orders that it names no longer matches. */
#define ORDER_EFFECT_TIMEOUT (2500 * GW_MILLISECOND)
/* An order that was not answered after this time, while the engine does not
 * report that it is busy, is sent again. Orders are answered within some
 * milliseconds, and until the order is sent again entries send the engine no
 * requests although it serves. With ORDER_EFFECT_TIMEOUT instead, engines were
 * unavailable for 2.5 s, often twice, which costs 0.04 of the total value of a
 * day's requests when half of the orders are lost. */
#define ORDER_ANSWER_TIMEOUT (250 * GW_MILLISECOND)
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

/* Stage of a switch to new weights. */
typedef enum {
    STAGE_SERVING = 0,
    STAGE_PREPARING, /* entries send no long runs; short ones continue */
    STAGE_SETTLING,  /* entries send no requests; the queue empties */
    STAGE_ORDERED,   /* the order was sent */
    STAGES
} Stage;

struct GwSidecar {
    GwLoop *loop;
    GwEventLog *log;
    char *name;
    char *failure_domain;
    GwAddress endpoint;
    int agent_port;       /* that the agents of all engines listen on */
    GwTime weights_bound; /* time until all engines must run a version */
    GwView *view;
    GwStoreReader *reader;
    GwPeers *peers;
    GwHttpServer *metrics_server;
    GwHttpCaller *reports; /* calls to the engine for its report */
    GwHttpCaller *orders;  /* load orders to the engine */
    GwHttpCaller *store;   /* calls to the store for a fence */
    GwEngineCache *cache;
    GwQuarantine *quarantine; /* forwarded to entries that do not have it */
    GwLimitOwner *limit_owner;
    GRand *rand;
    GwCounters counters;

    GwTimer poll_timer;
    GwTimer fence_timer;
    GwTimer flush_timer;
    int64_t fence; /* for orders; 0: none received from the store yet */
    GwEngineReport report;
    GwTime reported_at; /* time of the last report; 0: the engine is down */
    unsigned missed_reports_in_row;
    Stage stage;
    int64_t ordered_version;     /* by the last order */
    GwTime id_lookup_started_at; /* 0: no lookup of the engine's id */
    GwTime id_looked_up_at;      /* last read of the list for that lookup */
    int64_t lost_row_offset; /* of the engine's record in the list when it was
                                last down; a restart adds a later one */
    GwTime preparing_started_at;
    GwTime settling_started_at;
    GwTime ordered_at;
    bool is_order_answered; /* with any verdict */
    GwTime backoff_until;   /* Retry-After of an order: none is sent before */
    GwTime outdated_at;     /* 0: the engine has the newest weights */
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
static void advance_switch_(GwSidecar *s, const GwInstance *instance);
static void broadcast_state_(GwSidecar *s, const GwInstance *instance);
static bool should_broadcast_(const GwSidecar *s, const GwEngineState *state);
static GwRollFacts roll_facts_(GwSidecar *s, const GwInstance *own);
static const GwInstance *find_predecessor_(const GwSidecar *s,
                                           const GwInstance *own,
                                           GwRollFacts *facts);
static int compare_address_hashes_(gconstpointer a, gconstpointer b);
static void send_order_(GwSidecar *s);
static void on_order_answered_(void *user, GwCallOutcome outcome, int status,
                               const char *body, size_t len);
static void request_fence_(void *user);
static void on_fence_(void *user, GwCallOutcome outcome, int status,
                      const char *body, size_t len);
static void on_flush_(void *user);
static GwInstance *own_instance_(const GwSidecar *s);
static void start_engine_cache_(GwSidecar *s);
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
    s->agent_port = d->agent_port;
    s->weights_bound = d->weights_bound;
    s->rand = g_rand_new();
    s->quarantine = GwQuarantine_New(&(GwQuarantineOptions){0});
    s->limit_owner = GwLimitOwner_New(GwTime_Now());
    s->reports = GwHttpCaller_New(loop, &s->endpoint);
    s->orders = GwHttpCaller_New(loop, &s->endpoint);
    s->store = GwHttpCaller_New(loop, &d->store);
    GwTimer_Init(&s->poll_timer, loop, request_report_, s);
    GwTimer_Init(&s->fence_timer, loop, request_fence_, s);
    GwTimer_Init(&s->flush_timer, loop, on_flush_, s);
    if (!create_cluster_modules_(s, d, err)) {
        GwSidecar_Delete(s);
        return NULL;
    }
    start_engine_cache_(s);
    request_fence_(s);
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
    GwTimer_Stop(&s->fence_timer);
    GwTimer_Stop(&s->flush_timer);
    GwHttpCaller_Delete(s->reports);
    GwHttpCaller_Delete(s->orders);
    GwHttpCaller_Delete(s->store);
    GwHttpServer_Delete(s->metrics_server);
    GwEngineCache_Delete(s->cache);
    GwPeers_Delete(s->peers);
    GwStoreReader_Delete(s->reader);
    GwView_Delete(s->view);
    GwQuarantine_Delete(s->quarantine);
    GwLimitOwner_Delete(s->limit_owner);
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

    GwTimer_Start(&s->poll_timer, s->stage == STAGE_SERVING
                                      ? POLL_INTERVAL
                                      : POLL_INTERVAL_SWITCHING);
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

// The engine has restarted: it has none of the earlier orders and requests. An
// order that was not answered yet may still be carried out by the new
// incarnation, because it names only the id; reports then show its effect. The
// fence is not renewed: it distinguishes incarnations of this sidecar, and the
// new incarnation of the engine has not seen a later one.
static void
on_restarted_(void *user, GwInstance *before, GwInstance *after)
{
    GwSidecar *s = user;

    if (!GwAddress_Equal(&after->address, &s->endpoint))
        return;
    GwHttpCaller_Cancel(s->orders);
    GwPeers_ResetLoads(s->peers);
    s->stage = STAGE_SERVING;
    s->ordered_version = 0;
    s->backoff_until = 0;
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

    if (s->poll_timer.place != NULL)
        GwTimer_Start(&s->poll_timer, 0);
}

static void
process_report_(GwSidecar *s)
{
    GwInstance *instance = reported_instance_(s);
    GwModelVersions target = GwView_ModelVersions(s->view, s->report.model);
    GwTime now = GwTime_Now();

    if (instance == NULL)
        return;
    GwInstance_SetWeights(instance, s->report.weights);
    s->outdated_at = GwModelVersions_OutdatedSince(&target, s->report.weights);
    if (s->stage == STAGE_ORDERED && !s->report.busy &&
        s->report.weights >= s->ordered_version) {
        GwEvent_Begin(s->log, "weights_loaded", NULL);
        GwEvent_Number(s->log, "version", s->report.weights);
        GwEvent_Time(s->log, "took_ms", now - s->ordered_at);
        GwEvent_End(s->log);
        s->stage = STAGE_SERVING;
    }
    if (s->stage == STAGE_ORDERED && !s->report.busy &&
        now - s->ordered_at > (s->is_order_answered ? ORDER_EFFECT_TIMEOUT
                                                    : ORDER_ANSWER_TIMEOUT)) {
        // While this call is pending, no other order can be sent.
        GwHttpCaller_Cancel(s->orders);
        s->stage = STAGE_SERVING;
    }
    advance_switch_(s, instance);
    broadcast_state_(s, instance);
}

// With little time left until the bound, one call may pass several stages.
static void
advance_switch_(GwSidecar *s, const GwInstance *instance)
{
    GwTime now = GwTime_Now();
    GwTime remaining = GwRoll_TimeLeft(now - s->outdated_at, s->weights_bound);
    bool has_waiting =
        s->report.queued > 0 || GwPeers_WaitingTokens(s->peers) > 0;
    GwRollFacts facts = {0};

    if (s->outdated_at != 0)
        facts = roll_facts_(s, instance);
    if (s->stage == STAGE_SERVING && s->outdated_at != 0 && s->fence > 0 &&
        now >= s->backoff_until && !s->report.busy && !instance->draining &&
        GwRoll_MayPrepare(&facts)) {
        s->stage = STAGE_PREPARING;
        s->preparing_started_at = now;
        // Otherwise the next report is early enough, and entries that have
        // just connected receive the state before the order is sent.
        if (remaining < URGENT_TIME_LEFT)
            GwTimer_Start(&s->poll_timer, POLL_INTERVAL_SWITCHING);
    }
    if (s->stage == STAGE_PREPARING && GwRoll_MayStart(&facts) &&
        GwRoll_IsPrepared(now - s->preparing_started_at,
                          GwPeers_LongRuns(s->peers), remaining)) {
        s->stage = STAGE_SETTLING;
        s->settling_started_at = now;
    }
    if (s->stage == STAGE_SETTLING &&
        GwRoll_IsSettled(now - s->settling_started_at, has_waiting, remaining))
        send_order_(s);
}

static void
broadcast_state_(GwSidecar *s, const GwInstance *instance)
{
    GwEngineState state = {
        .instance = instance->id,
        .incarnation = instance->incarnation,
        .weights = s->report.weights,
        .preparing = s->stage == STAGE_PREPARING,
        .switching = s->stage > STAGE_PREPARING,
        .down = s->reported_at == 0,
        .running = s->report.running,
        .queued = s->report.queued,
        .kv_used = s->report.kv_used,
        .kv_total = s->report.kv_total,
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

// What the roll depends on for this engine. Also stays connected to the agent
// of the predecessor, which sends the predecessor's state.
static GwRollFacts
roll_facts_(GwSidecar *s, const GwInstance *own)
{
    GwTime now = GwTime_Now();
    GwRollFacts facts = {
        .outdated_for = now - s->outdated_at,
        .bound = s->weights_bound,
    };
    const GwInstance *predecessor = find_predecessor_(s, own, &facts);
    GwAddress watched;

    if (predecessor == NULL) {
        facts.is_first = true;
        GwPeers_FollowAgents(s->peers, NULL, 0);
        return facts;
    }
    watched = predecessor->address;
    watched.port = s->agent_port;
    GwPeers_FollowAgents(s->peers, &watched, 1);
    // Any newer version counts, not only the newest: while versions are named
    // in quick succession, the predecessor would otherwise never be done.
    facts.predecessor_done = predecessor->weights > s->report.weights;
    facts.predecessor_loading = predecessor->agent_report.switching;
    facts.predecessor_lost =
        predecessor->agent_report.down ||
        now - predecessor->agent_report.at > PREDECESSOR_STATE_MAX_AGE;
    return facts;
}

// The predecessor of `own`: the engine one wave before it in the sequence of
// address hashes; NULL in the first wave. Also sets wave and waves of `facts`.
static const GwInstance *
find_predecessor_(const GwSidecar *s, const GwInstance *own,
                  GwRollFacts *facts)
{
    const GPtrArray *pool =
        GwInstances_Of(GwView_Instances(s->view), own->service);
    g_autoptr(GPtrArray) order = g_ptr_array_new();
    guint at_once;
    guint at;

    for (guint i = 0; pool != NULL && i < pool->len; i++) {
        GwInstance *instance = g_ptr_array_index(pool, i);

        if (!instance->draining)
            g_ptr_array_add(order, instance);
    }
    g_ptr_array_sort(order, compare_address_hashes_);
    at_once = (guint)GwRoll_ConcurrentSwitches(order->len);
    if (!g_ptr_array_find(order, own, &at))
        return NULL;
    facts->wave = at / at_once;
    facts->waves = (order->len + at_once - 1) / at_once;
    return at < at_once ? NULL : g_ptr_array_index(order, at - at_once);
}

static int
compare_address_hashes_(gconstpointer a, gconstpointer b)
{
    uint64_t x = (*(GwInstance *const *)a)->address_hash;
    uint64_t y = (*(GwInstance *const *)b)->address_hash;

    return (x > y) - (x < y);
}

static void
send_order_(GwSidecar *s)
{
    GwInstance *instance = own_instance_(s);
    GwModelVersions target = GwView_ModelVersions(s->view, s->report.model);
    g_autoptr(GString) out = g_string_new(NULL);
    GwLoadOrder order = {
        .model = s->report.model,
        .version = target.version,
        .holder = s->name,
        .fence = s->fence,
        .orders = s->report.orders,
        // Waiting for the remaining long runs would leave the engine idle for
        // seconds. If they go on under the new weights, only these runs lose
        // their value. While prompts are prefilled, the runs must finish: a
        // prompt that was prefilled under two versions must not be cached.
        .mode = GwPeers_LongRuns(s->peers) > 0 &&
                        GwPeers_WaitingTokens(s->peers) == 0
                    ? GW_SWITCH_CONTINUE
                    : GW_SWITCH_FINISH,
    };

    if (instance == NULL || target.version <= s->report.weights ||
        GwHttpCaller_IsBusy(s->orders)) {
        s->stage = STAGE_SERVING;
        return;
    }
    order.instance_id = instance->id;
    s->stage = STAGE_ORDERED;
    s->ordered_version = target.version;
    s->ordered_at = GwTime_Now();
    s->is_order_answered = false;
    GwCounters_Add(&s->counters, GW_COUNTER_ORDERS, 1);
    GwEvent_Begin(s->log, "order", NULL);
    GwEvent_Text(s->log, "instance", instance->id);
    GwEvent_Number(s->log, "version", target.version);
    GwEvent_Number(s->log, "fence", s->fence);
    GwEvent_Number(s->log, "orders", s->report.orders);
    GwEvent_Text(s->log, "mode", GwSwitch_Names[order.mode]);
    GwEvent_Number(s->log, "long_runs", GwPeers_LongRuns(s->peers));
    GwEvent_Time(s->log, "outdated_ms", s->ordered_at - s->outdated_at);
    GwEvent_End(s->log);
    GwEngine_EncodeOrder(&order, out);
    GwHttpCaller_Send(s->orders, out, ORDER_CALL_TIMEOUT, on_order_answered_,
                      s);
}

static void
on_order_answered_(void *user, GwCallOutcome outcome, int status,
                   const char *body, size_t len)
{
    GwSidecar *s = user;
    GwOrderVerdict verdict = GwEngine_OrderVerdict(status);
    int64_t pause_ms =
        outcome == GW_CALL_ANSWERED
            ? GwMessages_RetryAfter(GwHttpCaller_Head(s->orders))
            : -1;

    s->is_order_answered = outcome == GW_CALL_ANSWERED;
    if (pause_ms > 0)
        s->backoff_until =
            GwTime_Now() + MIN(pause_ms * GW_MILLISECOND, GW_BACKOFF_MAX);
    GwEvent_Begin(s->log, "order_answer", NULL);
    GwEvent_Text(s->log, "outcome",
                 outcome == GW_CALL_ANSWERED ? GwOrderVerdict_Names[verdict]
                                             : GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->log, "status", status);
    GwEvent_End(s->log);
    // An order without an answer may be carried out nevertheless; reports show
    // whether it was.
    if (outcome != GW_CALL_ANSWERED || verdict == GW_ORDER_ACCEPTED ||
        verdict == GW_ORDER_ALREADY_LOADED)
        return;
    if (verdict == GW_ORDER_FENCED) {
        GwCounters_Add(&s->counters, GW_COUNTER_ORDERS_FENCED, 1);
        s->fence = 0;
        request_fence_(s);
    }
    s->stage = STAGE_SERVING;
}

// A fence is an offset of a list in the store, so fences increase over
// restarts of this process, independently of its clock.
static void
request_fence_(void *user)
{
    GwSidecar *s = user;
    g_autoptr(GString) out = g_string_new(NULL);

    if (s->fence > 0 || GwHttpCaller_IsBusy(s->store))
        return;
    GwStore_EncodeFence(s->name, out);
    GwCounters_Add(&s->counters, GW_COUNTER_STORE_CALLS, 1);
    GwHttpCaller_Send(s->store, out, FENCE_TIMEOUT, on_fence_, s);
}

static void
on_fence_(void *user, GwCallOutcome outcome, int status, const char *body,
          size_t len)
{
    GwSidecar *s = user;
    GwError err = {0};
    bool ok = outcome == GW_CALL_ANSWERED &&
              GwStore_Verdict(status) == GW_STORE_OK &&
              GwStore_DecodeFence(GwHttpCaller_Head(s->store), body, len,
                                  &s->fence, &err);

    GwEvent_Begin(s->log, ok ? "fence_drawn" : "fence_failed", NULL);
    GwEvent_Text(s->log, "outcome", GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->log, "status", status);
    GwEvent_Number(s->log, "fence", s->fence);
    GwEvent_End(s->log);
    if (ok)
        return;
    GwCounters_Add(&s->counters, GW_COUNTER_STORE_ERRORS, 1);
    GwTimer_Start(&s->fence_timer, GwTime_Jitter(s->rand, FENCE_RETRY));
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

static bool
create_cluster_modules_(GwSidecar *s, const GwDeployment *d, GwError *err)
{
    GwViewOptions view = {
        .ops = &view_ops, .user = s, .log = s->log, .counters = &s->counters};
    GwStoreReaderOptions reader = {
        .store = d->store,
        .name = s->name,
        .log = s->log,
        .counters = &s->counters,
        .rand = s->rand,
        .instances_min_interval = INSTANCES_READ_PAUSE,
        .bound = d->config_bound,
        .heartbeat_interval = d->heartbeat_interval,
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
        .limit_tolerance = d->limits,
    };

    s->view = GwView_New(&view);
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
