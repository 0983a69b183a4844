#include "request_attempt.h"

#include <string.h>

#include "selection.h"
#include "terminations.h"
#include "galenagw/routing/admission.h"
#include "cache_nodes.h"
#include "outdated_engine.h"
#include "request_answer.h"
#include "request_end.h"
#include "request_load.h"
#include "request_log.h"
#include "request_quarantine.h"
#include "request_refusal.h"
#include "request_timers.h"
#include "retries.h"

/* Subtracted from the deadline that is sent to the endpoint, as the answer has
 * to reach the caller before the caller's deadline. */
#define ANSWER_TRANSIT_TIME (6 * GW_MILLISECOND)
/* An endpoint that declined a request, because it is full or loads weights, is
 * avoided for this long: about the time until weights are loaded or the queue
 * is shorter. */
#define AVOID_AFTER_DECLINE (150 * GW_MILLISECOND)

static GwRetrySource use_retry_(GwRequest *r,
                                GwAttemptOutcome attempt_outcome);
static void end_without_attempt_(GwRequest *r, GwRefusal refusal);
static GwRefusal admit_(GwRequest *r, const GwInstance *instance);
static void send_attempt_(GwRequest *r, GwInstance *instance,
                          const GwAddress *source);
static GwHeadVerdict on_head_(void *user, const GwHttpHead *head);
static void note_endpoint_state_(GwRequest *r);
static void note_limit_(GwRequest *r);
static void on_body_(void *user, const char *data, size_t len);
static void break_off_(GwRequest *r, const char *why);
static void fail_declined_(GwRequest *r);
static void on_end_(void *user, GwUpstreamOutcome outcome);

/* Reasons under which retries are counted, by the outcome of the attempt. */
static const GwRetry retry_reasons[GW_ATTEMPT_OUTCOMES] = {
    [GW_ATTEMPT_NOT_SENT] = GW_RETRY_CONNECT,
    [GW_ATTEMPT_NOT_RUN] = GW_RETRY_DECLINED,
    [GW_ATTEMPT_MAY_HAVE_RUN] = GW_RETRY_BROKEN,
    [GW_ATTEMPT_HAS_RUN] = GW_RETRY_ERROR,
};

/* Reasons of refusals, by the verdict on the expected wait. */
static const GwRefusal admission_refusals[GW_ADMISSION_VERDICTS] = {
    [GW_ADMISSION_ADMIT] = GW_REFUSAL_NONE,
    [GW_ADMISSION_DEADLINE] = GW_REFUSAL_DEADLINE,
    [GW_ADMISSION_DEFER] = GW_REFUSAL_DEFERRED,
    [GW_ADMISSION_OVERLOAD] = GW_REFUSAL_OVERLOAD,
};

/* An answer that will not be forwarded is read to its end, so that its
 * connection can be used again, but no longer than this and no more bytes. A
 * faulty endpoint may send it without end. */
#define UNUSABLE_TIME_MAX (300 * GW_MILLISECOND)
#define UNUSABLE_BYTES_MAX (64 * 1024)

static const GwUpstreamOps upstream_ops = {on_head_, on_body_, on_end_};

void
GwRequestAttempt_Make(GwRequest *r)
{
    const GwAddress *source = NULL;
    GwInstance *instance;
    GwRefusal refusal;

    if (GwRequestQuarantine_RefusesAttempt(r)) {
        end_without_attempt_(r, GW_REFUSAL_QUARANTINED);
        return;
    }
    instance = GwSelection_Choose(r, &source);
    if (instance == NULL) {
        end_without_attempt_(r, GW_REFUSAL_NO_ENDPOINT);
        return;
    }
    refusal = admit_(r, instance);
    if (refusal == GW_REFUSAL_NONE)
        send_attempt_(r, instance, source);
    else
        end_without_attempt_(r, refusal);
}

void
GwRequestAttempt_Failed(GwRequest *r, GwAttemptOutcome attempt_outcome,
                        const char *why)
{
    GwGateway *g = r->gateway;
    GwTime left = r->deadline - GwTime_Now();
    GwRetrySource source = GW_RETRY_SOURCE_NOT_ASKED;
    GwNextStep next;
    GwAttemptFacts facts;

    if (attempt_outcome == GW_ATTEMPT_NOT_SENT && r->sends == 0)
        GwRequestQuarantine_OnNotSent(r);
    facts = (GwAttemptFacts){
        .attempt_outcome = attempt_outcome,
        .may_repeat = GwRoute_MayRetry(r->route),
        .head_sent = r->head_sent,
        .is_events = r->is_events,
        .has_time_left = left > GW_ATTEMPT_TIME_MIN,
        .has_attempts_left = r->sends < MAX(r->route->max_attempts, 1),
        .has_alternative = GwSelection_HasAlternative(r) &&
                           GwRequestQuarantine_MayRetry(r, attempt_outcome),
    };

    if (GwAttempt_AllowsRetry(&facts))
        source = use_retry_(r, attempt_outcome);
    facts.has_budget_left = source != GW_RETRY_SOURCE_NONE;
    next = GwAttempt_Next(&facts);
    GwRequestLog_Failed(r, attempt_outcome, why, next, source);
    r->may_have_run = r->may_have_run ||
                      attempt_outcome == GW_ATTEMPT_MAY_HAVE_RUN ||
                      attempt_outcome == GW_ATTEMPT_HAS_RUN;
    GwRequestEnd_ReleaseInstance(r);
    switch (next) {
    case GW_NEXT_RESUME:
        GwCounters_Add(&g->counters, GW_COUNTER_RESUMED, 1);
        GwCounters_AddRetry(&g->counters, GW_RETRY_CONTINUE);
        GwEventSplitter_Restart(&r->event_splitter);
        GwRequestAttempt_Make(r);
        return;
    case GW_NEXT_RETRY:
        GwCounters_AddRetry(&g->counters, retry_reasons[attempt_outcome]);
        GwEventSplitter_Restart(&r->event_splitter);
        GwRequestAttempt_Make(r);
        return;
    case GW_NEXT_PASS:
        GwRequestAnswer_Complete(r);
        return;
    case GW_NEXT_BREAK:
        GwRequestLog_End(r, "broken", 0);
        GwRequestEnd_Abort(r);
        return;
    case GW_NEXT_REFUSE:
        GwRequestRefusal_Answer(r, attempt_outcome == GW_ATTEMPT_NOT_SENT
                                       ? GW_REFUSAL_NO_ENDPOINT
                                       : GW_REFUSAL_QUEUE_FULL);
        return;
    default:
        GwRequestRefusal_Answer(r, GW_REFUSAL_OUTCOME_UNKNOWN);
        return;
    }
}

// Connections are tried for free as long as each endpoint is tried once only.
static GwRetrySource
use_retry_(GwRequest *r, GwAttemptOutcome attempt_outcome)
{
    if (attempt_outcome == GW_ATTEMPT_NOT_SENT && r->n_tried < TRIED_MAX)
        return GW_RETRY_SOURCE_NOT_SENT;
    return GwRetries_Use(r->gateway, r->service);
}

static void
end_without_attempt_(GwRequest *r, GwRefusal refusal)
{
    if (!r->head_sent) {
        GwRequestRefusal_Answer(r, refusal);
        return;
    }
    GwRequestLog_End(r, "broken", 0);
    GwRequestEnd_Abort(r);
}

// Whether the request may be sent to the engine, or why it is refused; then
// its Retry-After is set.
static GwRefusal
admit_(GwRequest *r, const GwInstance *instance)
{
    GwGateway *g = r->gateway;
    GwTime now = GwTime_Now();
    bool can_wait = GwSelection_IsDeferrable(r);
    GwAdmissionFacts facts = {
        .now = now,
        .is_retry = r->attempts > 0,
        .load =
            {
                .can_wait = can_wait,
                .target_latency = r->route->target_latency,
                .left = r->deadline - now,
                .waiting_tokens = can_wait ? r->chosen.prefill_tokens
                                           : r->chosen.urgent_tokens,
                .own_tokens = GwSelection_PrefillTokens(r, instance),
                .kv_used = r->chosen.kv_used,
                .kv_total = r->chosen.kv_total,
                .kv_needed = (uint32_t)GwRequestLoad_MemoryTokens(r),
                .prefill_tokens_per_ms = r->chosen.prefill_tokens_per_ms,
            },
        .report_age = GwInstance_ReportState(instance, now) == GW_REPORT_FRESH
                          ? now - instance->agent_report.at
                          : -1,
        .unreported_tokens =
            MIN(GwUnreportedTokens_Get(&instance->unreported_urgent,
                                       instance->agent_report.at),
                instance->urgent_tokens),
        .random = g_rand_double(g->rand),
        .share_excess = r->share_excess,
    };
    GwAdmissionDecision decision;

    // A plain endpoint prefills no prompts.
    if (instance->model == NULL)
        return GW_REFUSAL_NONE;
    facts.senders = GwPeers_EntriesSendingTo(g->peers, instance);
    decision =
        GwAdmissionState_Decide(GwGateway_Admission(g, r->service), &facts);
    r->retry_after = decision.retry_after;
    if (decision.verdict != GW_ADMISSION_ADMIT)
        GwRequestLog_Deferred(r, instance, &facts, &decision);
    return admission_refusals[decision.verdict];
}

static void
send_attempt_(GwRequest *r, GwInstance *instance, const GwAddress *source)
{
    GwGateway *g = r->gateway;
    GwEndpointLimits *limits = GwView_EndpointLimits(g->view);
    GwTime now = GwTime_Now();
    g_autoptr(GString) out = g_string_sized_new(r->body_len + 1024);
    GwOutdatedEngine engine = GwOutdatedEngine_Of(g, instance, now);
    GwTime drop_at =
        MIN(r->deadline - ANSWER_TRANSIT_TIME, GwOutdated_DropAt(&engine));
    GwKvStore *store;
    GwDispatch dispatch = {
        .instance_id = instance->id,
        .account = r->account != NULL ? r->account->name : NULL,
        .deadline_ms = MAX(drop_at - now, GW_MILLISECOND) / GW_MILLISECOND,
        .priority = instance->model != NULL
                        ? GwRoute_EnginePriority(r->route, r->account)
                        : -1,
        .weights = instance->model != NULL ? instance->weights : -1,
        .fetch_from = source,
        .last_event_id = r->event_splitter.has_id ? r->event_splitter.last_id
                                                  : r->info.last_event_id,
        .body_len = r->body_len,
    };
    GwUpstreamOptions options = {
        .request = out,
        .has_no_body = strcmp(r->head->method, "HEAD") == 0,
        .may_retry = GwRoute_MayRetry(r->route),
        .ops = &upstream_ops,
        .user = r,
    };

    if (instance->model != NULL) {
        dispatch.cache_scope = r->cache_scope;
        store = GwCacheNodes_KvStore(r);
        if (store != NULL &&
            GwKvStore_TryStartSave(store, &r->info, r->cache_scope, now))
            dispatch.save_to = GwKvStore_Address(store);
    }
    GwMessages_EncodeRequest(r->head, &dispatch, out);
    g_string_append_len(out, r->body, (gssize)r->body_len);
    r->instance = GwInstance_Ref(instance);
    r->sent_at = now;
    r->attempts++;
    r->sends++;
    r->has_reply = false;
    r->has_started = false;
    r->last_received_at = 0;
    r->is_usable = false;
    r->unusable_bytes = 0;
    r->prefill_tokens = GwSelection_PrefillTokens(r, instance);
    instance->in_flight++;
    GwFirstTokenWait_Sent(&instance->first_token_wait, now);
    if (GwEndpointLimits_Rate(limits, instance, now) >= 0)
        GwEndpointLimits_Consume(limits, instance,
                                 GwPeers_EntriesSendingTo(g->peers, instance),
                                 now);
    GwRequestLoad_Add(r, (int64_t)r->prefill_tokens, 1);
    if (!GwSelection_IsDeferrable(r))
        GwUnreportedTokens_Add(&instance->unreported_urgent,
                               instance->agent_report.at, r->prefill_tokens);
    if (r->n_tried < TRIED_MAX)
        r->tried_serials[r->n_tried++] = instance->serial;
    GwCounters_Add(&g->counters, GW_COUNTER_ATTEMPTS, 1);
    GwRequestLog_Attempt(r, &dispatch);
    r->upstream = GwUpstream_Send(instance->user, &options);
    GwRequestTimers_Start(r);
}

static GwHeadVerdict
on_head_(void *user, const GwHttpHead *head)
{
    GwRequest *r = user;

    GwMessages_DecodeReply(head, r->info.id, &r->reply);
    note_endpoint_state_(r);
    // A surplus answer to an earlier request on this connection.
    if (!r->reply.matches_request)
        return GW_HEAD_SKIP;
    r->has_reply = true;
    r->last_received_at = r->reply_at = GwTime_Now();
    if (r->reply.status == 503 && r->reply.retry_after_ms > 0)
        GwInstance_SetBackoff(r->instance,
                              r->reply.retry_after_ms * GW_MILLISECOND,
                              r->last_received_at);
    if (r->reply.not_run && r->reply.instance_id != NULL &&
        strcmp(r->reply.instance_id, r->instance->id) != 0) {
        GwInstance_SetReplaced(r->instance);
        GwTerminations_OnTerminated(r->gateway, r->instance,
                                    GW_TERMINATION_REPLACED);
    }
    // The id is borrowed from the head, which is freed after this callback.
    r->reply.instance_id = NULL;
    if (r->reply.weights >= 0)
        GwInstance_SetWeights(r->instance, r->reply.weights);
    GwUpstream_SetKeepAlive(r->upstream, r->reply.keep_alive_s);
    GwRequestAnswer_Begin(r, head);
    if (!r->is_usable)
        GwTimer_Start(&r->unusable_timer, UNUSABLE_TIME_MAX);
    // A faulty endpoint may send an answer twice. Without an id, the second
    // copy could not be distinguished from the answer to the next request.
    return r->reply.has_request_id ? GW_HEAD_ACCEPT : GW_HEAD_ACCEPT_AND_CLOSE;
}

// Also applies answers to other requests, as they come from the same endpoint,
// but not those of a successor at its address.
static void
note_endpoint_state_(GwRequest *r)
{
    bool is_own = r->reply.instance_id != NULL
                      ? strcmp(r->reply.instance_id, r->instance->id) == 0
                      : r->reply.status != 421;

    if (!is_own)
        return;
    // The instance's row may be updated too late, or not at all during a store
    // outage, and requests sent in the meantime would fail when it exits.
    if (r->reply.is_leaving)
        GwPeers_NoteLeaving(r->gateway->peers, r->instance, GW_SOURCE_ANSWER);
    note_limit_(r);
}

// An answer without a limit lifts the known one only if it is to this request:
// an answer to another request may predate the limit.
static void
note_limit_(GwRequest *r)
{
    GwGateway *g = r->gateway;
    GwTime now = GwTime_Now();

    if (!r->reply.has_limit) {
        if (r->reply.matches_request &&
            GwEndpointLimits_ShouldLift(GwView_EndpointLimits(g->view),
                                        r->instance, r->sent_at, now))
            GwPeers_NoteLimit(g->peers, r->instance, GW_ENDPOINT_UNLIMITED,
                              GW_SOURCE_ANSWER);
    }
    else if (r->reply.limit >= 0)
        GwPeers_NoteLimit(g->peers, r->instance, r->reply.limit,
                          GW_SOURCE_ANSWER);
}

// The head alone shows whether the request has run.
void
GwRequestAttempt_EndUnusable(GwRequest *r)
{
    if (!r->reply.not_run) {
        break_off_(r, "unusable");
        return;
    }
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    fail_declined_(r);
}

// The reset makes the endpoint stop, which may never end its answer.
static void
break_off_(GwRequest *r, const char *why)
{
    GwUpstream_Cancel(g_steal_pointer(&r->upstream));
    GwHealth_Note(&r->instance->health, GW_HEALTH_BROKEN, GwTime_Now());
    GwRequestAttempt_Failed(r, GW_ATTEMPT_MAY_HAVE_RUN, why);
}

static void
fail_declined_(GwRequest *r)
{
    r->instance->avoid_until = GwTime_Now() + AVOID_AFTER_DECLINE;
    GwRequestAttempt_Failed(r, GW_ATTEMPT_NOT_RUN, "declined");
}

static void
on_body_(void *user, const char *data, size_t len)
{
    GwRequest *r = user;

    if (!r->is_usable) {
        r->unusable_bytes += len;
        if (r->unusable_bytes > UNUSABLE_BYTES_MAX)
            GwRequestAttempt_EndUnusable(r);
        return;
    }
    if (GwRequestAnswer_Push(r, data, len))
        return;
    break_off_(r, "event_too_long");
}

static void
on_end_(void *user, GwUpstreamOutcome outcome)
{
    GwRequest *r = user;
    GwInstance *instance = r->instance;
    GwTime now = GwTime_Now();
    bool has_answer =
        outcome == GW_UPSTREAM_COMPLETE && r->has_reply && r->is_usable;
    bool is_truncated = has_answer && GwRequestAnswer_IsTruncated(r);

    r->upstream = NULL;
    if (has_answer && !is_truncated) {
        GwHealth_Note(
            &instance->health,
            r->reply.status >= 500 ? GW_HEALTH_ERROR : GW_HEALTH_GOOD, now);
        if (r->reply.status >= 500 && !r->head_sent) {
            GwRequestAttempt_Failed(r, GW_ATTEMPT_HAS_RUN, "error");
            return;
        }
        GwRequestAnswer_Complete(r);
        return;
    }
    if (outcome == GW_UPSTREAM_NOT_SENT || outcome == GW_UPSTREAM_REFUSED) {
        // No other request of this gateway is in flight there; see
        // GwTerminations_OnConnectionRefused.
        if (outcome == GW_UPSTREAM_REFUSED && instance->in_flight == 1)
            GwTerminations_OnTerminated(r->gateway, instance,
                                        GW_TERMINATION_REFUSED);
        r->sends--;
        GwHealth_Note(&instance->health, GW_HEALTH_UNREACHABLE, now);
        GwRequestAttempt_Failed(r, GW_ATTEMPT_NOT_SENT, "unreachable");
    }
    else if (r->has_reply && r->reply.not_run) {
        fail_declined_(r);
    }
    else {
        GwHealth_Note(&instance->health, GW_HEALTH_BROKEN, now);
        // A stream that is framed as complete does not show that the endpoint
        // terminated.
        if (outcome == GW_UPSTREAM_BROKEN || !r->has_reply ||
            (is_truncated && r->is_unframed))
            GwRequestQuarantine_OnBroken(r);
        GwRequestAttempt_Failed(r, GW_ATTEMPT_MAY_HAVE_RUN,
                                is_truncated                    ? "truncated"
                                : outcome == GW_UPSTREAM_BROKEN ? "broken"
                                                                : "unsigned");
    }
}
