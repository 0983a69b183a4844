#include "request.h"

#include <string.h>

#include "choosing.h"
#include "galenagw/routing/attempt.h"
#include "galenagw/routing/outdated.h"
#include "galenagw/routing/overload.h"
#include "request_log.h"
#include "request_private.h"

/* An answer of up to so many bytes is held until it is whole, so that a cut
 * one can still be made good elsewhere, or be told from a whole one. */
#define HOLD_BELOW (256 * 1024)
/* Unsent bytes of one caller before its endpoint has to wait. */
#define FULL_ABOVE (64 * 1024)
/* A caller's time is spent by the way back too. */
#define WAY_BACK (6 * GW_MILLISECOND)
/* Less than this is no time for another attempt. */
#define MIN_ATTEMPT (25 * GW_MILLISECOND)
/* How long an endpoint that said it was full, or loading, is passed over:
 * about as long as weights take to load, or a queue to move. */
#define AVOID_FULL (150 * GW_MILLISECOND)
/* Retry-After of a refusal that a moment cures, and its bound as a share of
 * the caller's time, beyond which callers give up. */
#define RETRY_SOON_S 0.2
#define RETRY_SHARE 0.3
/* Without routes, as after a start with the store away, nobody can tell when
 * it ends; a caller that comes back at once would only be refused again. */
#define RETRY_UNKNOWN_S 2.0
/* An engine that streams sends something this often; its longest pauses, while
 * it reads another prompt, take a few hundred milliseconds. */
#define STREAM_PAUSE (500 * GW_MILLISECOND)
/* A change of the prompts that wait at an engine is told to its agent from
 * this size on, in tokens: 15 ms of reading. */
#define NOTE_TOKENS 1000
/* Share of its aim for which a call waits at one endpoint. Three of five
 * leave time for a second one; most answers take a quarter. */
#define PATIENCE_SHARE 0.6

static GwRequest *new_(GwGateway *g, GwHttpCall *call);
static bool may_finish_(const GwRequest *r);
static GwRefusal admit_(GwRequest *r);
static void attempt_(GwRequest *r);
static bool can_wait_(const GwRequest *r);
static GwTime defer_(const GwRequest *r, const GwInstance *instance,
                     const GwAddress *source);
static void send_(GwRequest *r, GwInstance *instance, const GwAddress *source);
static int64_t memory_(const GwRequest *r);
static void add_load_(GwRequest *r, int64_t tokens, int runs);
static GwHeadVerdict on_head_(void *user, const GwHttpHead *head);
static void on_body_(void *user, const char *data, size_t len);
static void on_end_(void *user, GwUpstreamEnd end);
static bool is_usable_reply_(const GwRequest *r);
static void pass_on_(GwRequest *r, const char *data, size_t len);
static void send_head_(GwRequest *r);
static void write_body_(GwRequest *r, const char *data, size_t len);
static void complete_(GwRequest *r);
static void after_failure_(GwRequest *r, GwAttemptFate fate, const char *why);
static void leave_instance_(GwRequest *r);
static void arm_patience_(GwRequest *r);
static void on_patience_(void *user);
static void arm_withdrawal_(GwRequest *r);
static void on_withdrawal_(void *user);
static GwTime withdraw_at_(const GwRequest *r);
static void on_deadline_(void *user);
static void answer_refusal_(GwRequest *r, GwRefusal refusal);
static void done_(GwRequest *r);
static void break_(GwRequest *r);
static void end_(GwRequest *r);
static double retry_after_(const GwRequest *r, GwRefusal refusal);

/* As what a repetition is counted. */
static const GwRetry retry_reasons[GW_ATTEMPT_FATES] = {
    [GW_ATTEMPT_NOT_SENT] = GW_RETRY_CONNECT,
    [GW_ATTEMPT_NOT_RUN] = GW_RETRY_DECLINED,
    [GW_ATTEMPT_MAY_HAVE_RUN] = GW_RETRY_BROKEN,
    [GW_ATTEMPT_HAS_RUN] = GW_RETRY_ERROR,
};

static const GwUpstreamOps upstream_ops = {on_head_, on_body_, on_end_};

void
GwRequest_Start(GwGateway *g, GwHttpCall *call)
{
    GwRequest *r = new_(g, call);
    GwRefusal refusal = admit_(r);
    GwTime limit;

    if (refusal != GW_REFUSAL_NONE) {
        answer_refusal_(r, refusal);
        return;
    }
    limit = r->route->timeout > 0 ? r->route->timeout
                                  : GW_LIBRARY_TIMEOUT_SECONDS * GW_SECOND;
    if (r->ask.deadline_ms >= 0)
        limit = MIN(limit, r->ask.deadline_ms * GW_MILLISECOND);
    r->deadline = r->arrived + limit;
    // No endpoint could answer in so little time: said at once, it is true
    // that nothing has run.
    if (limit < MIN_ATTEMPT) {
        answer_refusal_(r, GW_REFUSAL_DEADLINE);
        return;
    }
    GwTimer_Start(&r->timer, r->deadline - GwTime_Now());
    GwBudget_AddRequest(GwGateway_Budget(r->gateway, r->service),
                        &r->gateway->budget_bound, GwTime_Now());
    attempt_(r);
}

void
GwRequest_CallerGone(GwRequest *r)
{
    GwCounters_Add(&r->gateway->counters, GW_COUNTER_CALLERS_GONE, 1);
    GwRequestLog_End(r, "caller_gone", 0);
    end_(r);
}

void
GwRequest_EndpointLost(GwGateway *g, const GwInstance *instance, bool certain)
{
    GwRequest *r;
    GwRequest *next;

    for (r = TAILQ_FIRST(&g->requests); r != NULL; r = next) {
        next = TAILQ_NEXT(r, link);
        if (r->instance != instance ||
            (!certain && !GwRoute_MayRepeat(r->route)) ||
            (certain && may_finish_(r)))
            continue;
        GwUpstream_Cancel(g_steal_pointer(&r->upstream));
        after_failure_(r, GW_ATTEMPT_MAY_HAVE_RUN,
                       certain ? "endpoint_down" : "endpoint_silent");
    }
}

void
GwRequest_WeightsNamed(GwGateway *g)
{
    GwRequest *r;

    TAILQ_FOREACH(r, &g->requests, link)
    {
        if (r->instance != NULL)
            arm_withdrawal_(r);
    }
}

void
GwRequest_LeaveEarlierLives(GwGateway *g)
{
    GwRequest *r;
    GwRequest *next;

    for (r = TAILQ_FIRST(&g->requests); r != NULL; r = next) {
        next = TAILQ_NEXT(r, link);
        if (r->instance == NULL || !r->instance->superseded || may_finish_(r))
            continue;
        GwUpstream_Cancel(g_steal_pointer(&r->upstream));
        after_failure_(r, GW_ATTEMPT_MAY_HAVE_RUN, "endpoint_restarted");
    }
}

// An engine that takes no new connection is not dead: a leaving one closes its
// port first and finishes what it runs. One that does not leave is believed to
// live as long as the stream comes; its end, if it is dead, is a reset.
static bool
may_finish_(const GwRequest *r)
{
    return r->instance->draining || r->instance->removed_at != 0 ||
           (r->heard_at != 0 && GwTime_Now() - r->heard_at < STREAM_PAUSE);
}

void
GwRequest_CallerDrained(GwRequest *r)
{
    if (r->upstream != NULL)
        GwUpstream_Pause(r->upstream, false);
}

void
GwRequest_RefuseEarly(GwGateway *g, GwHttpCall *call, GwRefusal refusal)
{
    g_autoptr(GString) out = g_string_new(NULL);
    GwAsk ask = {0};
    GwFailure failure = {
        .status = GwRefusal_Status(refusal),
        .close = true,
        .message = GwRefusal_Message(refusal),
    };

    if (GwHttpCall_Head(call) != NULL)
        GwMessages_DecodeAsk(GwHttpCall_Head(call), &ask);
    failure.request_id = ask.id;
    if (failure.status == 503)
        failure.retry_after_s = RETRY_SOON_S;
    GwMessages_EncodeFailure(&failure, out);
    GwHttpCall_Send(call, out->str, out->len);
    GwCounters_Refuse(&g->counters, refusal);
    GwEvent_Begin(g->log, "refused_early", ask.id);
    GwEvent_Text(g->log, "reason", GwRefusal_Names[refusal]);
    GwEvent_Number(g->log, "status", failure.status);
    GwEvent_End(g->log);
}

void
GwRequest_EndAll(GwGateway *g)
{
    while (!TAILQ_EMPTY(&g->requests))
        end_(TAILQ_FIRST(&g->requests));
}

static GwRequest *
new_(GwGateway *g, GwHttpCall *call)
{
    GwRequest *r = g_new0(GwRequest, 1);

    r->gateway = g;
    r->call = call;
    r->head = GwHttpCall_Head(call);
    r->body = GwHttpCall_Body(call, &r->body_len);
    r->arrived = GwTime_Now();
    r->routes = GwRoutes_Ref(GwView_Routes(g->view));
    GwMessages_DecodeAsk(r->head, &r->ask);
    GwEventSplitter_Init(&r->events);
    GwTimer_Init(&r->timer, g->loop, on_deadline_, r);
    GwTimer_Init(&r->patience, g->loop, on_patience_, r);
    GwTimer_Init(&r->withdrawal, g->loop, on_withdrawal_, r);
    GwHttpCall_SetUser(call, r);
    g->active++;
    TAILQ_INSERT_TAIL(&g->requests, r, link);
    GwCounters_Add(&g->counters, GW_COUNTER_REQUESTS, 1);
    return r;
}

static GwRefusal
admit_(GwRequest *r)
{
    GwGateway *g = r->gateway;

    // A process that knows no routes yet must not call one unknown.
    if (r->routes == NULL)
        return GW_REFUSAL_NO_CONFIG;
    if (GwGateway_IsClosing(g))
        return GW_REFUSAL_LEAVING;
    if (r->ask.host == NULL)
        return GW_REFUSAL_BAD_REQUEST;
    r->route = GwRoutes_Match(r->routes, r->ask.host, r->head->target);
    if (r->route == NULL)
        return GW_REFUSAL_UNKNOWN_ROUTE;
    r->account = GwRoutes_Account(r->routes, r->ask.key);
    if (r->account == NULL && r->routes->has_accounts && !r->route->is_public)
        return GW_REFUSAL_UNAUTHORIZED;
    r->service = GwRoute_PickService(r->route, g_rand_double(g->rand));
    return r->service != NULL ? GW_REFUSAL_NONE : GW_REFUSAL_NO_ENDPOINT;
}

static void
attempt_(GwRequest *r)
{
    const GwAddress *source = NULL;
    GwInstance *instance = GwChoosing_Choose(r, &source);

    if (instance != NULL) {
        r->retry_after = defer_(r, instance, source);
        if (r->retry_after == 0)
            send_(r, instance, source);
        else
            answer_refusal_(r, GW_REFUSAL_DEFERRED);
        return;
    }
    if (r->head_sent) {
        GwRequestLog_End(r, "broken", 0);
        break_(r);
        return;
    }
    answer_refusal_(r, GW_REFUSAL_NO_ENDPOINT);
}

// Whether engines read others before it.
static bool
can_wait_(const GwRequest *r)
{
    return GwRoute_EnginePriority(r->route, r->account) >
           r->routes->most_urgent;
}

// How long its caller should stay away, or 0 to send it now.
static GwTime
defer_(const GwRequest *r, const GwInstance *instance, const GwAddress *source)
{
    GwOverloadFacts facts = {
        .can_wait = can_wait_(r),
        .aim = r->route->target_latency,
        .left = r->deadline - GwTime_Now(),
        .waiting_tokens = r->chosen.prefill_tokens,
        .own_tokens = GwChoosing_Prefill(r, instance, source),
        .kv_used = r->chosen.kv_used,
        .kv_total = r->chosen.kv_total,
        .kv_needed = (uint32_t)memory_(r),
    };
    GwTime defer;

    // A plain endpoint has no prompts to read, and a repeat has spent some of
    // its caller's time already.
    if (instance->model == NULL || r->attempts > 0)
        return 0;
    defer = GwOverload_Defer(&facts);
    if (defer > 0)
        GwRequestLog_Deferred(r, instance, &facts, defer);
    return defer;
}

static void
send_(GwRequest *r, GwInstance *instance, const GwAddress *source)
{
    GwGateway *g = r->gateway;
    GwTime now = GwTime_Now();
    g_autoptr(GString) out = g_string_sized_new(r->body_len + 1024);
    GwKvStore *store;
    GwDispatch dispatch = {
        .instance_id = instance->id,
        .account = r->account != NULL ? r->account->name : NULL,
        .deadline_ms =
            MAX(r->deadline - now - WAY_BACK, GW_MILLISECOND) / GW_MILLISECOND,
        .priority = instance->model != NULL
                        ? GwRoute_EnginePriority(r->route, r->account)
                        : -1,
        .weights = instance->model != NULL ? instance->weights : -1,
        .fetch_from = source,
        .last_event_id =
            r->events.has_id ? r->events.last_id : r->ask.last_event_id,
        .body_len = r->body_len,
    };
    GwUpstreamOptions options = {
        .request = out,
        .has_no_body = strcmp(r->head->method, "HEAD") == 0,
        .may_repeat = GwRoute_MayRepeat(r->route),
        .ops = &upstream_ops,
        .user = r,
    };

    if (instance->model != NULL) {
        dispatch.cache_scope = r->scope;
        store = GwChoosing_KvStore(r);
        if (store != NULL && GwKvStore_TakeSave(store, &r->ask, r->scope, now))
            dispatch.save_to = GwKvStore_Address(store);
    }
    GwMessages_EncodeRequest(r->head, &dispatch, out);
    g_string_append_len(out, r->body, (gssize)r->body_len);
    r->instance = GwInstance_Ref(instance);
    r->sent_at = now;
    r->attempts++;
    r->sends++;
    r->has_reply = false;
    r->heard_at = 0;
    r->is_usable = false;
    r->prefill = GwChoosing_Prefill(r, instance, source);
    instance->in_flight++;
    add_load_(r, (int64_t)r->prefill, 1);
    if (r->n_tried < MAX_TRIED)
        r->tried[r->n_tried++] = instance->serial;
    GwCounters_Add(&g->counters, GW_COUNTER_ATTEMPTS, 1);
    GwRequestLog_Attempt(r, &dispatch);
    r->upstream = GwUpstream_Send(instance->user, &options);
    arm_patience_(r);
    arm_withdrawal_(r);
}

// Tokens of memory that it takes at an engine, at most.
static int64_t
memory_(const GwRequest *r)
{
    return (int64_t)r->ask.prompt_tokens + r->ask.output_tokens;
}

// Its agent is told at once when a long run comes or goes, else when enough
// tokens have changed.
static void
add_load_(GwRequest *r, int64_t tokens, int runs)
{
    GwInstance *instance = r->instance;
    int64_t change;

    instance->prefill_tokens += (uint64_t)tokens;
    if (GwAccount_Yields(r->account)) {
        instance->yielding_tokens += (uint64_t)tokens;
        instance->yielding_memory += (uint64_t)((int64_t)runs * memory_(r));
    }
    change = (int64_t)(instance->prefill_tokens - instance->noted_tokens);
    if (change == 0)
        change =
            (int64_t)(instance->yielding_tokens - instance->noted_yielding);
    if (runs != 0 && GwChoosing_IsLong(r))
        instance->long_runs += (unsigned)runs;
    else if (change == 0 ||
             (ABS(change) < NOTE_TOKENS && instance->prefill_tokens != 0))
        return;
    instance->noted_tokens = instance->prefill_tokens;
    instance->noted_yielding = instance->yielding_tokens;
    GwPeers_NoteLoad(r->gateway->peers, instance);
}

static GwHeadVerdict
on_head_(void *user, const GwHttpHead *head)
{
    GwRequest *r = user;

    GwMessages_DecodeReply(head, r->ask.id, &r->reply);
    // An extra answer to an earlier request on this connection.
    if (!r->reply.is_ours)
        return GW_HEAD_SKIP;
    r->has_reply = true;
    r->heard_at = GwTime_Now();
    if (r->reply.not_run && r->reply.instance_id != NULL &&
        strcmp(r->reply.instance_id, r->instance->id) != 0)
        GwInstance_SetReplaced(r->instance);
    // Borrowed from the head, which goes.
    r->reply.instance_id = NULL;
    if (r->reply.weights >= 0)
        GwInstance_SetWeights(r->instance, r->reply.weights);
    GwUpstream_SetKeepAlive(r->upstream, r->reply.keep_alive_s);
    r->is_usable = is_usable_reply_(r);
    if (!r->is_usable)
        return GW_HEAD_TAKE;
    r->is_events = r->route->type == GW_ROUTE_STREAMING && head->status == 200;
    // A stream that goes on keeps the head of its first endpoint.
    if (r->head_sent)
        return GW_HEAD_TAKE;
    GwHttpHead_Free(r->reply_head);
    r->reply_head = GwHttpHead_Copy(head);
    r->is_held = !r->is_events && head->length <= HOLD_BELOW;
    if (r->held == NULL)
        r->held = g_string_new(NULL);
    g_string_truncate(r->held, 0);
    return GW_HEAD_TAKE;
}

static void
on_body_(void *user, const char *data, size_t len)
{
    GwRequest *r = user;

    if (!r->is_usable)
        return;
    r->heard_at = GwTime_Now();
    if (r->prefill > 0) {
        add_load_(r, -(int64_t)r->prefill, 0);
        r->prefill = 0;
        GwChoosing_NoteHolder(r);
    }
    if (!r->is_held) {
        pass_on_(r, data, len);
        return;
    }
    g_string_append_len(r->held, data, (gssize)len);
    if (r->held->len <= HOLD_BELOW)
        return;
    // Without a length, and longer than what is worth holding.
    r->is_held = false;
    pass_on_(r, r->held->str, r->held->len);
    g_string_truncate(r->held, 0);
}

static void
on_end_(void *user, GwUpstreamEnd end)
{
    GwRequest *r = user;
    GwInstance *instance = r->instance;
    GwTime now = GwTime_Now();

    r->upstream = NULL;
    if (end == GW_UPSTREAM_COMPLETE && r->has_reply && r->is_usable) {
        GwHealth_Note(
            &instance->health,
            r->reply.status >= 500 ? GW_HEALTH_ERROR : GW_HEALTH_GOOD, now);
        if (r->reply.status >= 500 && !r->head_sent) {
            after_failure_(r, GW_ATTEMPT_HAS_RUN, "error");
            return;
        }
        complete_(r);
        return;
    }
    if (end == GW_UPSTREAM_NOT_SENT) {
        r->sends--;
        GwHealth_Note(&instance->health, GW_HEALTH_UNREACHABLE, now);
        after_failure_(r, GW_ATTEMPT_NOT_SENT, "unreachable");
    }
    else if (r->has_reply && r->reply.not_run) {
        instance->avoid_until = now + AVOID_FULL;
        after_failure_(r, GW_ATTEMPT_NOT_RUN, "declined");
    }
    else {
        GwHealth_Note(&instance->health, GW_HEALTH_BROKEN, now);
        after_failure_(r, GW_ATTEMPT_MAY_HAVE_RUN,
                       end == GW_UPSTREAM_BROKEN ? "broken" : "unsigned");
    }
}

// A success must be vouched for; a promise of ours to have run nothing must
// not be made on the word of an endpoint that does not make it.
static bool
is_usable_reply_(const GwRequest *r)
{
    if (r->reply.not_run)
        return false;
    if (r->reply.status >= 200 && r->reply.status < 300)
        return r->reply.has_signature;
    // Nothing but more of the stream can follow its first events.
    if (r->head_sent)
        return false;
    return r->reply.status != 503 && r->reply.status != 429 &&
           r->reply.status != 408 && r->reply.status != 421;
}

static void
pass_on_(GwRequest *r, const char *data, size_t len)
{
    g_autoptr(GString) whole = NULL;

    if (r->is_events) {
        whole = g_string_sized_new(len);
        GwEventSplitter_Push(&r->events, data, len, whole);
        data = whole->str;
        len = whole->len;
        if (len == 0)
            return;
    }
    if (!r->head_sent)
        send_head_(r);
    write_body_(r, data, len);
    if (GwHttpCall_Pending(r->call) > FULL_ABOVE)
        GwUpstream_Pause(r->upstream, true);
}

static void
send_head_(GwRequest *r)
{
    g_autoptr(GString) out = g_string_new(NULL);
    bool close = GwHttpCall_MustClose(r->call);

    r->framing = GW_FRAMING_LENGTH;
    if (strcmp(r->head->method, "HEAD") == 0 || r->reply_head->status == 204 ||
        r->reply_head->status == 304)
        r->framing = GW_FRAMING_NONE;
    else if (r->is_events || r->reply_head->length < 0)
        r->framing = GW_FRAMING_CHUNKED;
    GwMessages_EncodeReply(r->reply_head, r->framing, close, out);
    GwHttpCall_Send(r->call, out->str, out->len);
    r->head_sent = true;
    r->first_byte_at = GwTime_Now();
    GwHistogram_Record(
        &r->gateway->counters.histograms[GW_HISTOGRAM_FORWARD_FIRST_BYTE],
        (uint64_t)(r->first_byte_at - r->arrived));
}

static void
write_body_(GwRequest *r, const char *data, size_t len)
{
    if (r->framing == GW_FRAMING_CHUNKED)
        GwHttpCall_Write(r->call, data, len);
    else if (len > 0)
        GwHttpCall_Send(r->call, data, len);
}

static void
complete_(GwRequest *r)
{
    if (!r->head_sent)
        send_head_(r);
    if (r->is_held)
        write_body_(r, r->held->str, r->held->len);
    if (r->is_events)
        write_body_(r, r->events.tail->str, r->events.tail->len);
    if (r->framing == GW_FRAMING_CHUNKED)
        GwHttpCall_Send(r->call, "0\r\n\r\n", 5);
    GwCounters_Add(&r->gateway->counters, GW_COUNTER_ANSWERS, 1);
    GwHistogram_Record(
        &r->gateway->counters.histograms[GW_HISTOGRAM_FORWARD_WHOLE],
        (uint64_t)(GwTime_Now() - r->arrived));
    GwRequestLog_End(r, "answered", r->reply.status);
    leave_instance_(r);
    done_(r);
}

static void
after_failure_(GwRequest *r, GwAttemptFate fate, const char *why)
{
    GwGateway *g = r->gateway;
    GwTime left = r->deadline - GwTime_Now();
    GwNext next;
    GwAttemptFacts facts = {
        .fate = fate,
        .may_repeat = GwRoute_MayRepeat(r->route),
        .head_sent = r->head_sent,
        .is_events = r->is_events,
        .time_left = left > MIN_ATTEMPT,
        .sends_left = r->sends < MAX(r->route->max_attempts, 1),
        .elsewhere = GwChoosing_HasAlternative(r),
    };

    facts.budget_left =
        GwAttempt_WantsRepeat(&facts) &&
        GwBudget_TakeRepeat(GwGateway_Budget(g, r->service), &g->budget_bound,
                            GwPeers_Entries(g->peers), GwTime_Now());
    next = GwAttempt_Next(&facts);
    GwRequestLog_Failed(r, fate, why, next);
    r->may_have_run = r->may_have_run || fate == GW_ATTEMPT_MAY_HAVE_RUN ||
                      fate == GW_ATTEMPT_HAS_RUN;
    leave_instance_(r);
    switch (next) {
    case GW_NEXT_RESUME:
        GwCounters_Add(&g->counters, GW_COUNTER_RESUMED, 1);
        GwCounters_Retry(&g->counters, GW_RETRY_CONTINUE);
        GwEventSplitter_Restart(&r->events);
        attempt_(r);
        return;
    case GW_NEXT_RETRY:
        GwCounters_Retry(&g->counters, retry_reasons[fate]);
        GwEventSplitter_Restart(&r->events);
        attempt_(r);
        return;
    case GW_NEXT_PASS:
        complete_(r);
        return;
    case GW_NEXT_BREAK:
        GwRequestLog_End(r, "broken", 0);
        break_(r);
        return;
    case GW_NEXT_REFUSE:
        answer_refusal_(r, fate == GW_ATTEMPT_NOT_SENT
                               ? GW_REFUSAL_NO_ENDPOINT
                               : GW_REFUSAL_QUEUE_FULL);
        return;
    default:
        answer_refusal_(r, GW_REFUSAL_OUTCOME_UNKNOWN);
        return;
    }
}

static void
leave_instance_(GwRequest *r)
{
    GwTimer_Stop(&r->patience);
    GwTimer_Stop(&r->withdrawal);
    if (r->instance == NULL)
        return;
    r->instance->in_flight--;
    add_load_(r, -(int64_t)r->prefill, -1);
    r->prefill = 0;
    GwInstance_Unref(GwView_Instances(r->gateway->view), r->instance);
    r->instance = NULL;
}

// A call that may be repeated leaves a silent endpoint while there is time
// for another one to answer within the aim.
static void
arm_patience_(GwRequest *r)
{
    if (r->instance->model != NULL || r->route->type != GW_ROUTE_IDEMPOTENT ||
        r->route->target_latency == 0 || r->sends >= r->route->max_attempts ||
        !GwChoosing_HasAlternative(r))
        return;
    GwTimer_Start(&r->patience,
                  (GwTime)(PATIENCE_SHARE * (double)r->route->target_latency));
}

static void
on_patience_(void *user)
{
    GwRequest *r = user;

    // Without the budget, waiting on is all that is left.
    if (r->has_reply ||
        !GwBudget_TakeRepeat(GwGateway_Budget(r->gateway, r->service),
                             &r->gateway->budget_bound,
                             GwPeers_Entries(r->gateway->peers), GwTime_Now()))
        return;
    GwCounters_Retry(&r->gateway->counters, GW_RETRY_SILENT);
    GwHealth_Note(&r->instance->health, GW_HEALTH_SILENT, GwTime_Now());
    GwRequestLog_Left(r);
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    leave_instance_(r);
    r->may_have_run = true;
    attempt_(r);
}

// Streams alone show when they begin; an engine drops from its queue what has
// lost its connection.
static void
arm_withdrawal_(GwRequest *r)
{
    GwTime at = withdraw_at_(r);

    if (at != 0 && !r->has_reply && r->route->type == GW_ROUTE_STREAMING)
        GwTimer_Start(&r->withdrawal, MAX(at - GwTime_Now(), 0));
}

static void
on_withdrawal_(void *user)
{
    GwRequest *r = user;
    GwTime at = withdraw_at_(r);

    if (at == 0 || r->has_reply)
        return;
    // It has got a version since that is outdated by a later one.
    if (at > GwTime_Now()) {
        arm_withdrawal_(r);
        return;
    }
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    after_failure_(r, GW_ATTEMPT_MAY_HAVE_RUN, "outdated_weights");
}

// When the request is taken back from its engine; 0: the weights there are
// the newest.
static GwTime
withdraw_at_(const GwRequest *r)
{
    GwTarget target = GwView_Target(r->gateway->view, r->instance->model);

    return GwOutdated_WithdrawAt(
        GwTarget_OutdatedSince(&target, r->instance->weights),
        r->gateway->weights_bound);
}

static void
on_deadline_(void *user)
{
    GwRequest *r = user;

    if (r->instance != NULL && !r->head_sent)
        GwHealth_Note(&r->instance->health, GW_HEALTH_SILENT, GwTime_Now());
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    if (r->head_sent) {
        GwRequestLog_End(r, "broken_at_deadline", 0);
        leave_instance_(r);
        break_(r);
        return;
    }
    leave_instance_(r);
    answer_refusal_(r, GW_REFUSAL_TIMEOUT);
}

static void
answer_refusal_(GwRequest *r, GwRefusal refusal)
{
    g_autoptr(GString) out = g_string_new(NULL);
    bool close = GwHttpCall_MustClose(r->call);
    GwFailure failure = {.request_id = r->ask.id, .close = close};

    // 503 promises that nothing has run, here or anywhere.
    if (r->may_have_run && GwRefusal_Status(refusal) == 503)
        refusal = GW_REFUSAL_OUTCOME_UNKNOWN;
    failure.status = GwRefusal_Status(refusal);
    failure.message = GwRefusal_Message(refusal);
    if (failure.status == 503)
        failure.retry_after_s = retry_after_(r, refusal);
    GwMessages_EncodeFailure(&failure, out);
    GwHttpCall_Send(r->call, out->str, out->len);
    GwCounters_Refuse(&r->gateway->counters, refusal);
    GwRequestLog_End(r, GwRefusal_Names[refusal], failure.status);
    done_(r);
}

// The answer is whole. The connection may serve its next request from inside
// Done, so this one ends first.
static void
done_(GwRequest *r)
{
    GwHttpCall *call = r->call;

    end_(r);
    GwHttpCall_Done(call, false);
}

// The answer is cut, and must show it.
static void
break_(GwRequest *r)
{
    GwHttpCall *call = r->call;

    end_(r);
    GwHttpCall_Abort(call);
}

static void
end_(GwRequest *r)
{
    GwGateway *g = r->gateway;

    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    leave_instance_(r);
    GwTimer_Stop(&r->timer);
    GwTimer_Stop(&r->patience);
    GwTimer_Stop(&r->withdrawal);
    TAILQ_REMOVE(&g->requests, r, link);
    GwHttpHead_Free(r->reply_head);
    if (r->held != NULL)
        g_string_free(r->held, TRUE);
    GwEventSplitter_Clear(&r->events);
    GwRoutes_Unref(r->routes);
    g_free(r->scope);
    g_free(r);
    GwGateway_RequestEnded(g);
}

// Seconds, bounded by what the caller is willing to wait.
static double
retry_after_(const GwRequest *r, GwRefusal refusal)
{
    double wanted = RETRY_SOON_S;
    double share;

    if (refusal == GW_REFUSAL_DEFERRED)
        wanted = (double)r->retry_after / GW_SECOND;
    else if (refusal == GW_REFUSAL_NO_CONFIG)
        wanted = RETRY_UNKNOWN_S;
    if (r->ask.deadline_ms < 0)
        return wanted;
    share = (double)(r->arrived + r->ask.deadline_ms * GW_MILLISECOND -
                     GwTime_Now()) /
            (double)GW_SECOND * RETRY_SHARE;
    return CLAMP(share, 0.01, wanted);
}
