#define GW_LOG_PART "entry"
#include "delivery.h"

#include <string.h>

#include "entry_quarantine.h"
#include "galenagw/base/log.h"
#include "galenagw/wire/answer_window.h"
#include "openai.h"
#include "placement.h"

/* With more bytes unsent to a slow caller no Ack is sent; the agent's window
   then stops reading from the endpoint. */
#define CALLER_BACKLOG_MAX_BYTES (64 * 1024)
/* Delivered events are parsed for their text once they exceed this size. */
#define UNPARSED_EVENTS_MAX_BYTES (4 * 1024)
/* A stream with more delivered text is not continued at another endpoint. */
#define CONTINUABLE_TEXT_MAX_BYTES (256 * 1024)
/* How long an exchange tries to resume at an agent whose session was lost.
   Non-idempotent ones wait longer, because without a key they cannot be
   retried elsewhere. */
#define RESUME_TIMEOUT_IDEMPOTENT GW_SECOND
#define RESUME_TIMEOUT_NON_IDEMPOTENT (3 * GW_SECOND)
#define RECONNECT_CHECK_INTERVAL (20 * GW_MILLISECOND)
/* The first check is early, because peers.c reconnects at once. */
#define FIRST_RECONNECT_CHECK_DELAY (5 * GW_MILLISECOND)
/* Retry-After of a refusal for which the agent's Refused frame has none. */
#define DEFAULT_RETRY_AFTER GW_SECOND
/* A larger unstreamed answer is sent on before it is complete. */
#define HELD_ANSWER_MAX_BYTES (1024 * 1024)
/* The affinity for a member is not renewed if its first token was later than
   offered by more than this, because the member is not idle any more. */
#define AFFINITY_TTFT_SLACK (2 * GW_MILLISECOND)

static Exchange *find_current_attempt_(Peer *peer, uint64_t id,
                                       uint32_t attempt);
static void store_answer_head_(Exchange *x, const Gw__Wire__Chunk *chunk);
static void deliver_chunk_(Exchange *x, const char *data, size_t len);
static void hold_answer_(Exchange *x, const char *data, size_t len);
static void begin_answer_(Exchange *x);
static void store_delivered_event_(Exchange *x, const char *data, size_t len);
static void collect_delivered_text_(Exchange *x);
static void complete_answer_(Exchange *x);
static bool is_role_event_(const char *data, size_t len);
static void apply_recovery_(Exchange *x, const GwRecovery *r,
                            const char *holder, GwTime retry_after);
static void start_retry_(Exchange *x, GwRetry reason);
static bool continue_answer_(Exchange *x);
static bool submit_to_holder_(Exchange *x, const char *holder);
static GwMember *find_member_(const Exchange *x, const char *name);
static void send_resume_(Exchange *x);
static void record_ttft_(Exchange *x);

void
Delivery_OnChunk(Peer *peer, const Gw__Wire__Chunk *chunk)
{
    Exchange *x =
        find_current_attempt_(peer, chunk->request_id, chunk->attempt);

    if (x == NULL)
        return;
    // Frames of one session arrive in order. A duplicate or a gap arises only
    // if a Resume crossed with chunks, and must not reach the caller.
    if (chunk->seq != x->next_seq) {
        GwCounters_AddRetry(&x->entry->counters, GW_RETRY_STALE);
        return;
    }
    x->next_seq++;
    x->unacked_bytes += chunk->data.len;
    x->state = EXCHANGE_STREAMING;
    XXH64_update(&x->digest, chunk->data.data, chunk->data.len);
    if (chunk->seq == 0)
        store_answer_head_(x, chunk);
    else
        deliver_chunk_(x, (const char *)chunk->data.data, chunk->data.len);
    if (x->next_seq - x->acked >= GW_ANSWER_ACK_CHUNKS ||
        x->unacked_bytes >= GW_ANSWER_ACK_BYTES)
        Delivery_SendAck(x);
}

void
Delivery_OnFinal(Peer *peer, const Gw__Wire__Final *final)
{
    Exchange *x =
        find_current_attempt_(peer, final->request_id, final->attempt);
    bool is_complete;

    if (x == NULL)
        return;
    is_complete = final->count == x->next_seq &&
                  final->digest == XXH64_digest(&x->digest);
    GwMembership_Attempt(x->entry->members, peer->member,
                         final->broken || !is_complete, GwTime_Now());
    x->acked = 0;
    Delivery_SendAck(x);
    if (final->broken || !is_complete) {
        Delivery_OnAttemptFailed(x, GW_FAILURE_BROKEN, GW_REFUSAL_NONE,
                                 GW_RAN_UNKNOWN, NULL, 0);
        return;
    }
    GwCounters_Add(&x->entry->counters, GW_COUNTER_PROMPT_TOKENS,
                   final->prompt_tokens);
    GwCounters_Add(&x->entry->counters, GW_COUNTER_CACHED_TOKENS,
                   final->cached_tokens);
    EntryQuarantine_OnCompleted(x);
    complete_answer_(x);
}

void
Delivery_OnRefused(Peer *peer, const Gw__Wire__Refused *refused)
{
    Exchange *x =
        find_current_attempt_(peer, refused->request_id, refused->attempt);
    GwRefusal refusal = refused->refusal < GW_REFUSALS
                            ? (GwRefusal)refused->refusal
                            : GW_REFUSAL_NO_ENDPOINT;

    if (x == NULL)
        return;
    if (GwMembership_Attempt(x->entry->members, peer->member,
                             refusal == GW_REFUSAL_ENDPOINT_FAILED ||
                                 refusal == GW_REFUSAL_NO_ENDPOINT,
                             GwTime_Now()))
        GwCounters_Add(&x->entry->counters, GW_COUNTER_EJECTIONS, 1);
    if (refusal == GW_REFUSAL_LEAVING)
        GwMembership_Leaving(x->entry->members, peer->member);
    Delivery_OnAttemptFailed(
        x, GW_FAILURE_REFUSED, refusal,
        refused->ran == GW__WIRE__RAN__RAN_NO ? GW_RAN_NO : GW_RAN_UNKNOWN,
        refused->holder, refused->retry_after_ms * GW_MILLISECOND);
}

void
Delivery_OnResumeResult(Peer *peer, const Gw__Wire__ResumeResult *result)
{
    Exchange *x =
        find_current_attempt_(peer, result->request_id, result->attempt);

    if (x == NULL)
        return;
    if (result->known) {
        x->state = EXCHANGE_SUBMITTED;
        return;
    }
    // Step "fence" (see exchange.h): the agent has fenced the id, so it
    // refuses a Submit that is still in transit on the old connection. If
    // chunks were delivered, the request did run there and the agent has
    // dropped it since.
    Delivery_OnAttemptFailed(
        x, x->next_seq == 0 ? GW_FAILURE_UNKNOWN_ID : GW_FAILURE_RESTARTED,
        GW_REFUSAL_NONE, GW_RAN_NO, NULL, 0);
}

void
Delivery_SendAck(Exchange *x)
{
    GW_FRAME(frame, ack, ACK, Ack, ack);

    if (x->peer == NULL || !Peers_IsReady(x->peer) ||
        x->acked == x->next_seq ||
        (x->answer_started &&
         GwHttpCall_Pending(x->call) > CALLER_BACKLOG_MAX_BYTES))
        return;
    x->acked = x->next_seq;
    x->unacked_bytes = 0;
    ack.request_id = x->id;
    ack.attempt = x->attempt;
    ack.next_seq = x->next_seq;
    GwSession_Send(x->peer->session, &frame);
}

void
Delivery_OnAttemptFailed(Exchange *x, GwFailure failure, GwRefusal refusal,
                         GwRan ran, const char *holder, GwTime retry_after)
{
    GwMember *holder_member = holder != NULL ? find_member_(x, holder) : NULL;
    GwFailureFacts facts = {
        .failure = failure,
        .refusal = refusal,
        .ran = ran,
        .idempotent = x->idempotent,
        .keyed = x->request.service && x->request.key != NULL,
        .trial = x->trial,
        .delivered = x->answer_started,
        .can_continue = x->is_event_stream && !x->request.service &&
                        x->status == 200 &&
                        x->delivered_text->len < CONTINUABLE_TEXT_MAX_BYTES,
        .holder_known = holder_member != NULL && !x->holder_tried,
        .may_have_run = x->may_have_run,
        .attempts = EntryQuarantine_IsLastAttempt(x) ? GW_ATTEMPTS_MAX
                                                     : (int)x->attempt,
    };
    GwRecovery r = GwRecovery_Decide(&facts);

    GwAffinity_Remove(x->entry->affinity, x->anchor);
    // An agent that never received the request remains a candidate.
    if (x->peer != NULL && failure != GW_FAILURE_UNKNOWN_ID)
        Placement_MarkTried(x, x->peer->member);
    if (ran != GW_RAN_NO ||
        (failure != GW_FAILURE_REFUSED && failure != GW_FAILURE_UNKNOWN_ID))
        x->may_have_run = true;
    Exchange_DetachFromPeer(x);
    GwTimer_Stop(&x->timer);
    x->last_refusal = r.refusal;
    apply_recovery_(x, &r, holder, retry_after);
}

void
Delivery_OnTimer(Exchange *x)
{
    GwTime timeout = x->idempotent ? RESUME_TIMEOUT_IDEMPOTENT
                                   : RESUME_TIMEOUT_NON_IDEMPOTENT;

    if (x->state != EXCHANGE_RESUMING)
        return;
    if (Peers_IsReady(x->peer)) {
        send_resume_(x);
        return;
    }
    if (GwTime_Now() - x->session_lost_at >= timeout) {
        Delivery_OnAttemptFailed(x, GW_FAILURE_LOST, GW_REFUSAL_NONE,
                                 GW_RAN_UNKNOWN, NULL, 0);
        return;
    }
    Peers_Connect(x->peer);
    GwTimer_Start(&x->timer, RECONNECT_CHECK_INTERVAL);
}

void
Delivery_OnPeerReady(Peer *peer)
{
    Exchange *x;
    Exchange *next;

    for (x = TAILQ_FIRST(&peer->exchanges); x != NULL; x = next) {
        next = TAILQ_NEXT(x, link);
        if (x->state == EXCHANGE_RESUMING)
            Delivery_OnTimer(x);
    }
}

void
Delivery_OnPeerLost(Peer *peer)
{
    Exchange *x;

    TAILQ_FOREACH(x, &peer->exchanges, link)
    {
        if (x->state == EXCHANGE_RESUMING)
            continue;
        x->state = EXCHANGE_RESUMING;
        x->session_lost_at = GwTime_Now();
        GwTimer_Start(&x->timer, FIRST_RECONNECT_CHECK_DELAY);
    }
}

// The exchange that a frame belongs to. Session, id and attempt number must
// match; other frames are late ones of an earlier attempt and are dropped.
static Exchange *
find_current_attempt_(Peer *peer, uint64_t id, uint32_t attempt)
{
    Exchange *x = Exchange_Find(peer->entry, id);

    if (x != NULL && x->peer == peer && x->attempt == attempt)
        return x;
    GwCounters_AddRetry(&peer->entry->counters, GW_RETRY_STALE);
    return NULL;
}

static void
store_answer_head_(Exchange *x, const Gw__Wire__Chunk *chunk)
{
    x->skip_role_event = x->answer_started;
    if (x->answer_started)
        return;
    x->status = (int)chunk->status;
    g_free(x->answer_content_type);
    x->answer_content_type = g_strdup(chunk->content_type);
    x->is_event_stream =
        g_str_has_prefix(x->answer_content_type, "text/event-stream");
    if (x->held_answer != NULL)
        g_byte_array_set_size(x->held_answer, 0);
}

static void
deliver_chunk_(Exchange *x, const char *data, size_t len)
{
    GwCounters_Add(&x->entry->counters, GW_COUNTER_CHUNKS, 1);
    // An unstreamed answer is held until it is complete, so that a retry or
    // a refusal can still replace it. A very large one would fill memory, so
    // it is sent on as it arrives.
    if (!x->is_event_stream && !x->answer_started) {
        hold_answer_(x, data, len);
        if (x->held_answer->len <= HELD_ANSWER_MAX_BYTES)
            return;
        begin_answer_(x);
        GwHttpCall_Write(x->call, (const char *)x->held_answer->data,
                         x->held_answer->len);
        g_byte_array_set_size(x->held_answer, 0);
        return;
    }
    if (x->skip_role_event && is_role_event_(data, len)) {
        x->skip_role_event = false;
        return;
    }
    if (!x->answer_started)
        begin_answer_(x);
    if (x->is_event_stream)
        store_delivered_event_(x, data, len);
    GwHttpCall_Write(x->call, data, len);
}

static void
hold_answer_(Exchange *x, const char *data, size_t len)
{
    if (x->held_answer == NULL)
        x->held_answer = g_byte_array_new();
    g_byte_array_append(x->held_answer, (const guint8 *)data, (guint)len);
}

static void
begin_answer_(Exchange *x)
{
    x->answer_started = true;
    record_ttft_(x);
    GwHttpCall_AddHeader(x->call, "x-request-id", x->id_text);
    GwHttpCall_Begin(x->call, x->status, x->answer_content_type);
}

static void
store_delivered_event_(Exchange *x, const char *data, size_t len)
{
    if (x->request.service ||
        x->delivered_text->len >= CONTINUABLE_TEXT_MAX_BYTES)
        return;
    g_byte_array_append(x->unparsed_events, (const guint8 *)data, (guint)len);
    if (x->unparsed_events->len > UNPARSED_EVENTS_MAX_BYTES)
        collect_delivered_text_(x);
}

static void
collect_delivered_text_(Exchange *x)
{
    OpenAi_CollectText((const char *)x->unparsed_events->data,
                       x->unparsed_events->len, x->delivered_text,
                       &x->delivered_tokens);
    g_byte_array_set_size(x->unparsed_events, 0);
}

static void
complete_answer_(Exchange *x)
{
    static const char none[] = "";

    GwHttpCall_SetUser(x->call, NULL);
    if (x->answer_started) {
        GwHttpCall_End(x->call);
        Exchange_Finish(x);
        return;
    }
    record_ttft_(x);
    GwHttpCall_AddHeader(x->call, "x-request-id", x->id_text);
    GwHttpCall_Respond(
        x->call, x->status,
        x->answer_content_type[0] != '\0' ? x->answer_content_type
                                          : "application/json",
        x->held_answer != NULL ? (const char *)x->held_answer->data : none,
        x->held_answer != NULL ? x->held_answer->len : 0);
    Exchange_Finish(x);
}

// Whether the event carries only the role. A continued stream starts with it
// again, but the caller received it with the first attempt.
static bool
is_role_event_(const char *data, size_t len)
{
    return memmem(data, len, "\"role\":", 7) != NULL &&
           memmem(data, len, "\"content\":\"\"", 12) != NULL;
}

static void
apply_recovery_(Exchange *x, const GwRecovery *r, const char *holder,
                GwTime retry_after)
{
    bool needs_attempt = r->action == GW_ACTION_RETRY ||
                         r->action == GW_ACTION_CONTINUE ||
                         r->action == GW_ACTION_ASK_HOLDER;

    if (needs_attempt && !GwRetryBudget_Take(&x->entry->budget)) {
        GwCounters_AddRefusal(&x->entry->counters, GW_REFUSAL_RETRY_BUDGET);
        needs_attempt = false;
    }
    if (needs_attempt && r->action == GW_ACTION_RETRY) {
        start_retry_(x, r->reason);
        return;
    }
    if (needs_attempt && r->action == GW_ACTION_CONTINUE &&
        continue_answer_(x))
        return;
    if (needs_attempt && r->action == GW_ACTION_ASK_HOLDER && holder != NULL &&
        submit_to_holder_(x, holder))
        return;
    Exchange_Refuse(x, r->refusal, r->ran,
                    retry_after > 0 ? retry_after : DEFAULT_RETRY_AFTER);
}

static void
start_retry_(Exchange *x, GwRetry reason)
{
    GwCounters_AddRetry(&x->entry->counters, reason);
    x->search_started_at = GwTime_Now();
    Placement_Start(x);
}

static bool
continue_answer_(Exchange *x)
{
    char *body;

    collect_delivered_text_(x);
    body = OpenAi_MakeContinuation(x->request.body, x->request.body_len,
                                   x->request.chat, x->delivered_text->str,
                                   x->delivered_tokens);
    if (body == NULL)
        return false;
    free(x->request.body);
    x->request.body = body;
    x->request.body_len = strlen(body);
    // The delivered text is now part of the request body; collect only the
    // text that follows.
    g_string_truncate(x->delivered_text, 0);
    x->delivered_tokens = 0;
    start_retry_(x, GW_RETRY_CONTINUE);
    return true;
}

static bool
submit_to_holder_(Exchange *x, const char *holder)
{
    GwMember *member = find_member_(x, holder);
    Peer *peer = Peers_Get(x->entry, member);

    x->holder_tried = true;
    Peers_Connect(peer);
    if (!Peers_IsReady(peer))
        return false;
    GwCounters_AddRetry(&x->entry->counters, GW_RETRY_REFUSED);
    Placement_Submit(x, peer);
    return true;
}

static GwMember *
find_member_(const Exchange *x, const char *name)
{
    const GPtrArray *pool =
        GwMembership_Pool(x->entry->members, x->request.pool);

    for (guint i = 0; pool != NULL && i < pool->len; i++) {
        GwMember *member = pool->pdata[i];

        if (strcmp(member->name, name) == 0)
            return member;
    }
    return NULL;
}

static void
send_resume_(Exchange *x)
{
    GW_FRAME(frame, resume, RESUME, Resume, resume);

    if (x->peer->member->incarnation != x->incarnation) {
        // A restarted agent has no record of the request, so its "unknown
        // id" does not prove that the earlier incarnation did not run it.
        Delivery_OnAttemptFailed(x, GW_FAILURE_RESTARTED, GW_REFUSAL_NONE,
                                 GW_RAN_UNKNOWN, NULL, 0);
        return;
    }
    GwCounters_AddRetry(&x->entry->counters, GW_RETRY_RESUME);
    GwTimer_Stop(&x->timer);
    x->state = EXCHANGE_SUBMITTED;
    resume.request_id = x->id;
    resume.attempt = x->attempt;
    resume.next_seq = x->next_seq;
    GwSession_Send(x->peer->session, &frame);
}

static void
record_ttft_(Exchange *x)
{
    GwHistogramId id =
        x->trial ? GW_HISTOGRAM_TTFT_TRIAL : GW_HISTOGRAM_TTFT_PAYING;

    GwTime now = GwTime_Now();

    GwHistogram_Record(&x->entry->counters.histograms[id],
                       (uint64_t)(now - x->started_at));
    // The member answered as fast as an idle one, so the next request with
    // this prefix is submitted to it without a probe round, too.
    if (x->placed_by_affinity && x->peer != NULL &&
        now - x->started_at < x->offered_ttft + AFFINITY_TTFT_SLACK)
        GwAffinity_Set(x->entry->affinity, x->anchor, x->peer->member->id,
                       x->offered_ttft, now);
}
