#include "engine_switch.h"

#include <string.h>

#include "galenagw/adapter/messages.h"
#include "galenagw/adapter/store.h"
#include "galenagw/http/caller.h"
#include "galenagw/sidecar/roll.h"
#include "galenagw/sidecar/switch_schedule.h"

/* With less than this left until the latest start of the group's next switch,
 * the next report is urgent: preparing and settling take up to 1.1 s, of which
 * the usual interval of reports would be a large part. */
#define URGENT_TIME_LEFT (1500 * GW_MILLISECOND)
/* Timeout of the HTTP call for an order, unless the order is sent again
 * earlier (see ORDER_ANSWER_TIMEOUT). */
#define ORDER_CALL_TIMEOUT (1 * GW_SECOND)
#define ORDER_ANSWER_BYTES_MAX (64 * 1024)
#define FENCE_TIMEOUT (2 * GW_SECOND)
#define FENCE_RETRY (500 * GW_MILLISECOND)
/* An order that was answered but has no effect after this time is sent again.
 * If the first order is carried out late after all, the engine refuses it,
 * because the count of orders that it names no longer matches. */
#define ORDER_EFFECT_TIMEOUT (2500 * GW_MILLISECOND)
/* An order that was not answered after this time, while the engine does not
 * report that it is busy, is sent again. Orders are answered within some
 * milliseconds, and until the order is sent again entries send the engine no
 * requests although it serves. */
#define ORDER_ANSWER_TIMEOUT (250 * GW_MILLISECOND)

struct GwEngineSwitch {
    GwEngineSwitchOptions options;
    GwHttpCaller *orders; /* load orders to the engine */
    GwHttpCaller *store;  /* calls to the store for a fence */
    GwTimer fence_timer;
    int64_t fence; /* for orders; 0: none received from the store yet */
    GwEngineReport report; /* the last one */
    GwSwitchStage stage;
    GwTime outdated_at; /* 0: the engine has the newest weights */
    GwTime preparing_started_at;
    GwTime settling_started_at;
    GwTime ordered_at;
    int64_t ordered_version; /* by the last order */
    bool is_order_answered;  /* with any verdict */
    GwTime backoff_until;    /* Retry-After of an order: none is sent before */
    GwTime switch_time;      /* see GwEngineSwitch_SwitchTime */
    GwSwitchDecision decision; /* the last one */
    bool is_late; /* GwSwitchDecision.is_late was logged for this version */
    /* Serial numbers of the other engines of the group, to the GwTime since
     * which each one is followed. */
    GHashTable *followed_since;
    uint64_t routes_version; /* of the routes that target_latency is from */
    GwTime target_latency;   /* shortest one of the routes to the service */
};

static void note_loaded_(GwEngineSwitch *s, GwTime now);
static void advance_(GwEngineSwitch *s, const GwInstance *own);
static void decide_(GwEngineSwitch *s, const GwInstance *own);
static void log_decision_(const GwEngineSwitch *s,
                          const GwSwitchDecision *decision, size_t n_members);
static GPtrArray *group_of_(const GwEngineSwitch *s, const GwInstance *own);
static void follow_(GwEngineSwitch *s, const GPtrArray *group,
                    const GwInstance *own);
static void forget_others_(GwEngineSwitch *s, const GPtrArray *group);
static GwSwitchMember member_(GwEngineSwitch *s, const GwInstance *instance,
                              bool is_own);
static GwTime target_latency_(GwEngineSwitch *s, const char *service);
static int compare_address_hashes_(gconstpointer a, gconstpointer b);
static void send_order_(GwEngineSwitch *s, const GwInstance *own);
static void on_order_answered_(void *user, GwCallOutcome outcome, int status,
                               const char *body, size_t len);
static void request_fence_(void *user);
static void on_fence_(void *user, GwCallOutcome outcome, int status,
                      const char *body, size_t len);

GwEngineSwitch *
GwEngineSwitch_New(GwLoop *loop, const GwEngineSwitchOptions *options)
{
    GwEngineSwitch *s = g_new0(GwEngineSwitch, 1);

    s->options = *options;
    s->orders = GwHttpCaller_New(loop, &options->endpoint);
    GwHttpCaller_SetMaxBody(s->orders, ORDER_ANSWER_BYTES_MAX);
    s->store = GwHttpCaller_New(loop, &options->store);
    s->followed_since =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    GwTimer_Init(&s->fence_timer, loop, request_fence_, s);
    request_fence_(s);
    return s;
}

void
GwEngineSwitch_Delete(GwEngineSwitch *s)
{
    if (s == NULL)
        return;
    GwTimer_Stop(&s->fence_timer);
    GwHttpCaller_Delete(s->orders);
    GwHttpCaller_Delete(s->store);
    g_hash_table_unref(s->followed_since);
    g_free(s);
}

void
GwEngineSwitch_OnReport(GwEngineSwitch *s, const GwInstance *own,
                        const GwEngineReport *report)
{
    const GwModelVersions *target =
        GwView_ModelVersions(s->options.view, report->model);
    GwTime now = GwTime_Now();

    s->report = *report;
    s->outdated_at = GwModelVersions_OutdatedSince(target, report->weights);
    if (s->stage == GW_STAGE_ORDERED && !report->busy &&
        report->weights >= s->ordered_version)
        note_loaded_(s, now);
    if (s->stage == GW_STAGE_ORDERED && !report->busy &&
        now - s->ordered_at > (s->is_order_answered ? ORDER_EFFECT_TIMEOUT
                                                    : ORDER_ANSWER_TIMEOUT)) {
        // While this call is pending, no other order can be sent.
        GwHttpCaller_Cancel(s->orders);
        s->stage = GW_STAGE_SERVING;
    }
    // If the time of the naming is unknown, the switch would be late. The
    // store may still tell it: the engines need not all switch at once.
    if (GwModelVersions_IsAgeUnknown(target, report->weights) &&
        GwNamingStore_IsLookingUp(s->options.naming_store))
        return;
    decide_(s, own);
    advance_(s, own);
}

// The fence is not renewed: it distinguishes incarnations of this sidecar, and
// the new incarnation of the engine has not seen a later one. An order that
// was not answered yet may still be carried out by the new incarnation,
// because it names only the id; reports then show its effect.
void
GwEngineSwitch_OnRestarted(GwEngineSwitch *s)
{
    GwHttpCaller_Cancel(s->orders);
    s->stage = GW_STAGE_SERVING;
    s->ordered_version = 0;
    s->backoff_until = 0;
}

GwSwitchStage
GwEngineSwitch_Stage(const GwEngineSwitch *s)
{
    return s->stage;
}

GwTime
GwEngineSwitch_SwitchTime(const GwEngineSwitch *s)
{
    return s->switch_time;
}

bool
GwEngineSwitch_IsUrgent(const GwEngineSwitch *s)
{
    return s->stage != GW_STAGE_SERVING ||
           s->decision.reason == GW_SWITCH_WAITS_GROUP ||
           (s->decision.reason != GW_SWITCH_CURRENT &&
            s->decision.latest_start - GwTime_Now() < URGENT_TIME_LEFT);
}

static void
note_loaded_(GwEngineSwitch *s, GwTime now)
{
    s->switch_time = GwSwitchSchedule_UpdateTime(s->switch_time,
                                                 now - s->settling_started_at);
    GwEvent_Begin(s->options.log, "weights_loaded", NULL);
    GwEvent_Number(s->options.log, "version", s->report.weights);
    GwEvent_Time(s->options.log, "took_ms", now - s->ordered_at);
    GwEvent_Time(s->options.log, "switch_ms", now - s->settling_started_at);
    GwEvent_End(s->options.log);
    s->stage = GW_STAGE_SERVING;
}

// With little time left until the bound, one call may pass several stages.
static void
advance_(GwEngineSwitch *s, const GwInstance *own)
{
    GwTime now = GwTime_Now();
    GwTime remaining =
        GwRoll_TimeLeft(now - s->outdated_at, s->options.weights_bound);
    bool has_waiting =
        s->report.queued > 0 || GwPeers_WaitingTokens(s->options.peers) > 0;

    // The queue of the group may have grown since, or nothing is outdated.
    if (s->stage == GW_STAGE_PREPARING && !s->decision.may_prepare)
        s->stage = GW_STAGE_SERVING;
    if (s->stage == GW_STAGE_SERVING && s->decision.may_prepare &&
        s->fence > 0 && now >= s->backoff_until && !s->report.busy &&
        !own->draining) {
        s->stage = GW_STAGE_PREPARING;
        s->preparing_started_at = now;
    }
    if (s->stage == GW_STAGE_PREPARING && s->decision.may_start &&
        GwRoll_IsPrepared(now - s->preparing_started_at,
                          GwPeers_LongRuns(s->options.peers), remaining)) {
        s->stage = GW_STAGE_SETTLING;
        s->settling_started_at = now;
    }
    if (s->stage == GW_STAGE_SETTLING &&
        GwRoll_IsSettled(now - s->settling_started_at, has_waiting, remaining))
        send_order_(s, own);
}

// A switch in progress is not decided again: its engine is one of those that
// the others wait for.
static void
decide_(GwEngineSwitch *s, const GwInstance *own)
{
    g_autoptr(GPtrArray) group = group_of_(s, own);
    g_autofree GwSwitchMember *members = g_new(GwSwitchMember, group->len + 1);
    GwSwitchFacts facts = {
        .members = members,
        .n_members = group->len,
        .now = GwTime_Now(),
        .bound = s->options.weights_bound,
    };
    GwSwitchDecision decision;
    bool is_listed = false;

    follow_(s, group, own);
    forget_others_(s, group);
    for (guint i = 0; i < group->len; i++) {
        const GwInstance *instance = g_ptr_array_index(group, i);

        members[i] = member_(s, instance, instance == own);
        if (instance == own) {
            facts.own = i;
            is_listed = true;
        }
    }
    if (!is_listed || s->outdated_at == 0) {
        s->decision = (GwSwitchDecision){0};
        s->is_late = false;
        return;
    }
    if (s->stage > GW_STAGE_PREPARING)
        return;
    facts.target_latency = target_latency_(s, own->service);
    decision = GwSwitchSchedule_Decide(&facts);
    if (decision.reason != s->decision.reason ||
        decision.is_late != s->is_late)
        log_decision_(s, &decision, group->len);
    if (decision.is_late && !s->is_late)
        GwCounters_Add(s->options.counters, GW_COUNTER_SWITCHES_LATE, 1);
    s->is_late = decision.is_late;
    s->decision = decision;
}

static void
log_decision_(const GwEngineSwitch *s, const GwSwitchDecision *decision,
              size_t n_members)
{
    GwEventLog *log = s->options.log;
    GwTime now = GwTime_Now();

    GwEvent_Begin(log, decision->is_late ? "switch_late" : "switch_schedule",
                  NULL);
    GwEvent_Text(log, "reason", GwSwitchReason_Names[decision->reason]);
    GwEvent_Number(log, "weights", s->report.weights);
    GwEvent_Number(log, "group", (int64_t)n_members);
    GwEvent_Number(log, "at_once", (int64_t)decision->at_once);
    GwEvent_Time(log, "outdated_ms", now - s->outdated_at);
    if (decision->latest_start != GW_NEVER)
        GwEvent_Time(log, "latest_start_ms", decision->latest_start - now);
    GwEvent_End(log);
}

// The engines of the group of @p own, in the order of address hashes. Engines
// that leave are in no group.
static GPtrArray *
group_of_(const GwEngineSwitch *s, const GwInstance *own)
{
    const GPtrArray *pool =
        GwInstances_Of(GwView_Instances(s->options.view), own->service);
    g_autoptr(GPtrArray) all = g_ptr_array_new();
    GPtrArray *group = g_ptr_array_new();
    guint groups;
    guint at;

    for (guint i = 0; pool != NULL && i < pool->len; i++) {
        GwInstance *instance = g_ptr_array_index(pool, i);

        if (!instance->draining)
            g_ptr_array_add(all, instance);
    }
    g_ptr_array_sort(all, compare_address_hashes_);
    groups = (guint)GwSwitchSchedule_Groups(all->len);
    if (!g_ptr_array_find(all, own, &at))
        return group;
    for (guint i = at % groups; i < all->len; i += groups)
        g_ptr_array_add(group, g_ptr_array_index(all, i));
    return group;
}

// Stays connected to the agents of the other engines of the group, also while
// none is outdated: when a version is named, their states must be known.
static void
follow_(GwEngineSwitch *s, const GPtrArray *group, const GwInstance *own)
{
    g_autoptr(GArray) agents = g_array_new(FALSE, FALSE, sizeof(GwAddress));

    for (guint i = 0; i < group->len; i++) {
        const GwInstance *instance = g_ptr_array_index(group, i);
        GwAddress agent = instance->address;

        agent.port = s->options.agent_port;
        if (instance != own)
            g_array_append_val(agents, agent);
    }
    GwPeers_FollowAgents(s->options.peers, (const GwAddress *)agents->data,
                         agents->len);
}

// Removes engines that are no longer in the group from followed_since.
static void
forget_others_(GwEngineSwitch *s, const GPtrArray *group)
{
    GHashTableIter iter;
    gpointer serial;

    g_hash_table_iter_init(&iter, s->followed_since);
    while (g_hash_table_iter_next(&iter, &serial, NULL)) {
        bool is_member = false;

        for (guint i = 0; i < group->len; i++) {
            const GwInstance *instance = g_ptr_array_index(group, i);

            is_member =
                is_member || instance->serial == *(const uint64_t *)serial;
        }
        if (!is_member)
            g_hash_table_iter_remove(&iter);
    }
}

static GwSwitchMember
member_(GwEngineSwitch *s, const GwInstance *instance, bool is_own)
{
    const GwModelVersions *target =
        GwView_ModelVersions(s->options.view, instance->model);
    const GwAgentReport *state = &instance->agent_report;
    GwTime now = GwTime_Now();
    GwTime *since;
    GwSwitchMember m = {
        .weights = instance->weights,
        .outdated_since =
            GwModelVersions_OutdatedSince(target, instance->weights),
        .reported_at = now,
        .switch_time = s->switch_time,
        .waiting_tokens = GwPeers_WaitingTokens(s->options.peers),
    };

    // The engine may have restarted with older weights than are listed.
    if (is_own) {
        m.weights = s->report.weights;
        m.outdated_since = s->outdated_at;
        return m;
    }
    since = g_hash_table_lookup(s->followed_since, &instance->serial);
    if (since == NULL) {
        since = g_new(GwTime, 1);
        *since = now;
        g_hash_table_insert(s->followed_since,
                            g_memdup2(&instance->serial, sizeof(uint64_t)),
                            since);
    }
    m.reported_at = MAX(state->at, *since);
    m.switching_since = state->at != 0 ? state->switching_since : 0;
    m.switch_time = state->switch_time;
    m.prefill_tokens_per_ms =
        state->at != 0 ? state->prefill_tokens_per_ms : 0;
    m.is_down = state->at != 0 && state->down;
    m.waiting_tokens = state->at != 0 ? state->others_tokens : 0;
    return m;
}

static GwTime
target_latency_(GwEngineSwitch *s, const char *service)
{
    const GwRoutes *routes = GwView_Routes(s->options.view);

    if (routes == NULL || routes->version == s->routes_version)
        return s->target_latency;
    s->routes_version = routes->version;
    s->target_latency = GwRoutes_ShortestTarget(routes, service);
    return s->target_latency;
}

static int
compare_address_hashes_(gconstpointer a, gconstpointer b)
{
    uint64_t x = (*(GwInstance *const *)a)->address_hash;
    uint64_t y = (*(GwInstance *const *)b)->address_hash;

    return (x > y) - (x < y);
}

static void
send_order_(GwEngineSwitch *s, const GwInstance *own)
{
    const GwModelVersions *target =
        GwView_ModelVersions(s->options.view, s->report.model);
    g_autoptr(GString) out = g_string_new(NULL);
    GwLoadOrder order = {
        .instance_id = own->id,
        .model = s->report.model,
        .version = target->version,
        .holder = s->options.name,
        .fence = s->fence,
        .orders = s->report.orders,
        // Waiting for the remaining long runs would leave the engine idle for
        // seconds. If they go on under the new weights, only these runs lose
        // their value. While prompts are prefilled, the runs must finish: a
        // prompt that was prefilled under two versions must not be cached.
        .mode = GwPeers_LongRuns(s->options.peers) > 0 &&
                        GwPeers_WaitingTokens(s->options.peers) == 0
                    ? GW_SWITCH_CONTINUE
                    : GW_SWITCH_FINISH,
    };

    if (target->version <= s->report.weights ||
        GwHttpCaller_IsBusy(s->orders)) {
        s->stage = GW_STAGE_SERVING;
        return;
    }
    s->stage = GW_STAGE_ORDERED;
    s->ordered_version = target->version;
    s->ordered_at = GwTime_Now();
    s->is_order_answered = false;
    GwCounters_Add(s->options.counters, GW_COUNTER_ORDERS, 1);
    GwEvent_Begin(s->options.log, "order", NULL);
    GwEvent_Text(s->options.log, "instance", own->id);
    GwEvent_Number(s->options.log, "version", target->version);
    GwEvent_Number(s->options.log, "fence", s->fence);
    GwEvent_Number(s->options.log, "orders", s->report.orders);
    GwEvent_Text(s->options.log, "mode", GwSwitch_Names[order.mode]);
    GwEvent_Number(s->options.log, "long_runs",
                   GwPeers_LongRuns(s->options.peers));
    GwEvent_Time(s->options.log, "outdated_ms",
                 s->ordered_at - s->outdated_at);
    GwEvent_End(s->options.log);
    GwEngine_EncodeOrder(&order, out);
    GwHttpCaller_Send(s->orders, out, ORDER_CALL_TIMEOUT, on_order_answered_,
                      s);
}

static void
on_order_answered_(void *user, GwCallOutcome outcome, int status,
                   const char *body, size_t len)
{
    GwEngineSwitch *s = user;
    GwOrderVerdict verdict = GwEngine_OrderVerdict(status);
    int64_t pause_ms =
        outcome == GW_CALL_ANSWERED
            ? GwMessages_RetryAfter(GwHttpCaller_Head(s->orders))
            : -1;

    s->is_order_answered = outcome == GW_CALL_ANSWERED;
    if (pause_ms > 0)
        s->backoff_until =
            GwTime_Now() + MIN(pause_ms * GW_MILLISECOND, GW_BACKOFF_MAX);
    GwEvent_Begin(s->options.log, "order_answer", NULL);
    GwEvent_Text(s->options.log, "outcome",
                 outcome == GW_CALL_ANSWERED ? GwOrderVerdict_Names[verdict]
                                             : GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->options.log, "status", status);
    GwEvent_End(s->options.log);
    // An order without an answer may be carried out nevertheless; reports show
    // whether it was.
    if (outcome != GW_CALL_ANSWERED || verdict == GW_ORDER_ACCEPTED ||
        verdict == GW_ORDER_ALREADY_LOADED)
        return;
    if (verdict == GW_ORDER_FENCED) {
        GwCounters_Add(s->options.counters, GW_COUNTER_ORDERS_FENCED, 1);
        s->fence = 0;
        request_fence_(s);
    }
    s->stage = GW_STAGE_SERVING;
}

// A fence is an offset of a list in the store, so fences increase over
// restarts of this process, independently of its clock.
static void
request_fence_(void *user)
{
    GwEngineSwitch *s = user;
    g_autoptr(GString) out = g_string_new(NULL);

    if (s->fence > 0 || GwHttpCaller_IsBusy(s->store))
        return;
    GwStore_EncodeFence(s->options.name, out);
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_CALLS, 1);
    GwHttpCaller_Send(s->store, out, FENCE_TIMEOUT, on_fence_, s);
}

static void
on_fence_(void *user, GwCallOutcome outcome, int status, const char *body,
          size_t len)
{
    GwEngineSwitch *s = user;
    GwError err = {0};
    bool ok = outcome == GW_CALL_ANSWERED &&
              GwStore_Verdict(status) == GW_STORE_OK &&
              GwStore_DecodeFence(GwHttpCaller_Head(s->store), body, len,
                                  &s->fence, &err);

    GwEvent_Begin(s->options.log, ok ? "fence_drawn" : "fence_failed", NULL);
    GwEvent_Text(s->options.log, "outcome", GwCallOutcome_Names[outcome]);
    GwEvent_Number(s->options.log, "status", status);
    GwEvent_Number(s->options.log, "fence", s->fence);
    GwEvent_End(s->options.log);
    if (ok)
        return;
    GwCounters_Add(s->options.counters, GW_COUNTER_STORE_ERRORS, 1);
    GwTimer_Start(&s->fence_timer,
                  GwTime_Jitter(s->options.rand, FENCE_RETRY));
}
