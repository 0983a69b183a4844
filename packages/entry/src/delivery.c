#define GW_LOG_PART "entry"
#include "delivery.h"

#include <string.h>

#include "galenagw/base/log.h"
#include "openai.h"
#include "placing.h"
#include "suspects.h"

/* Chunks between two acknowledgements. */
#define ACK_EVERY 16
/* Bytes waiting for a slow caller above which acknowledging stops; the
   agent's window then stops the endpoint. */
#define CALLER_BACKLOG (64 * 1024)
/* Delivered events kept unparsed, for going on elsewhere. */
#define RECENT_MAX (4 * 1024)
/* Longest text that is gone on from. */
#define TEXT_MAX (256 * 1024)
/* How long a lost agent is sought before its request is given up there. */
#define RESUME_TIME_IDEMPOTENT GW_SECOND
#define RESUME_TIME_ONCE (3 * GW_SECOND)
#define RESUME_STEP (20 * GW_MILLISECOND)
/* The first look after a loss: its connection may come back at once. */
#define FIRST_LOOK (5 * GW_MILLISECOND)
#define DEFAULT_RETRY_AFTER GW_SECOND
/* Largest answer in one piece that is held back until it is whole. */
#define WHOLE_MAX (1024 * 1024)
/* More than the offer promised by this: the place is not idle any more. */
#define SHORT_WAIT (2 * GW_MILLISECOND)

static Exchange *current_(Peer *peer, uint64_t id, uint32_t attempt);
static void take_head_(Exchange *x, const Gw__Wire__Chunk *chunk);
static void deliver_(Exchange *x, const char *data, size_t len);
static void hold_(Exchange *x, const char *data, size_t len);
static void begin_answer_(Exchange *x);
static void remember_(Exchange *x, const char *data, size_t len);
static void collect_text_(Exchange *x);
static void complete_(Exchange *x);
static bool body_is_empty_role_(const char *data, size_t len);
static void act_(Exchange *x, const GwRecovery *r, const char *holder,
                 GwTime retry_after);
static void again_(Exchange *x, GwRetry reason);
static bool continue_(Exchange *x);
static bool ask_holder_(Exchange *x, const char *holder);
static GwMember *member_named_(const Exchange *x, const char *name);
static void resume_(Exchange *x);
static void record_ttft_(Exchange *x);

void
Delivery_OnChunk(Peer *peer, const Gw__Wire__Chunk *chunk)
{
    Exchange *x = current_(peer, chunk->request_id, chunk->attempt);

    if (x == NULL)
        return;
    // Within one session the order holds; a repeat or a hole can only come
    // from a resume that crossed, and must not reach the caller.
    if (chunk->seq != x->next_seq) {
        GwCounters_Retry(&x->entry->counters, GW_RETRY_STALE);
        return;
    }
    x->next_seq++;
    x->state = EXCHANGE_STREAMING;
    XXH64_update(&x->digest, chunk->data.data, chunk->data.len);
    if (chunk->seq == 0)
        take_head_(x, chunk);
    else
        deliver_(x, (const char *)chunk->data.data, chunk->data.len);
    if (x->next_seq - x->acked >= ACK_EVERY)
        Delivery_Ack(x);
}

void
Delivery_OnFinal(Peer *peer, const Gw__Wire__Final *final)
{
    Exchange *x = current_(peer, final->request_id, final->attempt);
    bool whole;

    if (x == NULL)
        return;
    whole = final->count == x->next_seq &&
            final->digest == XXH64_digest(&x->digest);
    GwMembership_Attempt(x->entry->members, peer->member,
                         final->broken || !whole, GwTime_Now());
    x->acked = 0;
    Delivery_Ack(x);
    if (final->broken || !whole) {
        Delivery_Fail(x, GW_FAILURE_BROKEN, GW_REFUSAL_NONE, GW_RAN_UNKNOWN,
                      NULL, 0);
        return;
    }
    GwCounters_Add(&x->entry->counters, GW_COUNTER_PROMPT_TOKENS,
                   final->prompt_tokens);
    GwCounters_Add(&x->entry->counters, GW_COUNTER_CACHED_TOKENS,
                   final->cached_tokens);
    complete_(x);
}

void
Delivery_OnRefused(Peer *peer, const Gw__Wire__Refused *refused)
{
    Exchange *x = current_(peer, refused->request_id, refused->attempt);
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
    Delivery_Fail(x, GW_FAILURE_REFUSED, refusal,
                  refused->ran == GW__WIRE__RAN__RAN_NO ? GW_RAN_NO
                                                        : GW_RAN_UNKNOWN,
                  refused->holder, refused->retry_after_ms * GW_MILLISECOND);
}

void
Delivery_OnResumeResult(Peer *peer, const Gw__Wire__ResumeResult *result)
{
    Exchange *x = current_(peer, result->request_id, result->attempt);

    if (x == NULL)
        return;
    if (result->known) {
        x->state = EXCHANGE_SUBMITTED;
        return;
    }
    // Step "fence": the agent has closed the id, so a Submit still on the
    // old connection cannot start it any more. With chunks delivered it
    // did run here, and was dropped since.
    Delivery_Fail(
        x, x->next_seq == 0 ? GW_FAILURE_UNKNOWN_ID : GW_FAILURE_RESTARTED,
        GW_REFUSAL_NONE, GW_RAN_NO, NULL, 0);
}

void
Delivery_Ack(Exchange *x)
{
    GW_FRAME(frame, ack, ACK, Ack, ack);

    if (x->peer == NULL || !Peers_IsReady(x->peer) ||
        x->acked == x->next_seq ||
        (x->begun_answer && GwHttpCall_Pending(x->call) > CALLER_BACKLOG))
        return;
    x->acked = x->next_seq;
    ack.request_id = x->id;
    ack.attempt = x->attempt;
    ack.next_seq = x->next_seq;
    GwSession_Send(x->peer->session, &frame);
}

void
Delivery_Fail(Exchange *x, GwFailure failure, GwRefusal refusal, GwRan ran,
              const char *holder, GwTime retry_after)
{
    GwMember *owner = holder != NULL ? member_named_(x, holder) : NULL;
    GwFailureFacts facts = {
        .failure = failure,
        .refusal = refusal,
        .ran = ran,
        .idempotent = x->idempotent,
        .keyed = x->request.service && x->request.key != NULL,
        .trial = x->trial,
        .delivered = x->begun_answer,
        .can_continue = x->events && !x->request.service && x->status == 200 &&
                        x->text->len < TEXT_MAX,
        .holder_known = owner != NULL && !x->asked_holder,
        .may_have_run = x->may_have_run,
        .attempts = Suspects_IsLast(x) ? GW_ATTEMPTS_MAX : (int)x->attempt,
    };
    GwRecovery r = GwRecovery_Decide(&facts);

    GwAffinity_Forget(x->entry->affinity, x->anchor);
    // An agent that never got the request is as good as any other.
    if (x->peer != NULL && failure != GW_FAILURE_UNKNOWN_ID)
        Placing_NoteTried(x, x->peer->member);
    if (ran != GW_RAN_NO ||
        (failure != GW_FAILURE_REFUSED && failure != GW_FAILURE_UNKNOWN_ID))
        x->may_have_run = true;
    Exchange_Detach(x);
    GwTimer_Stop(&x->timer);
    x->failed_with = r.refusal;
    act_(x, &r, holder, retry_after);
}

// For RESUMING: seek the agent, until its time is over.
void
Delivery_OnTimer(Exchange *x)
{
    GwTime patience =
        x->idempotent ? RESUME_TIME_IDEMPOTENT : RESUME_TIME_ONCE;

    if (x->state != EXCHANGE_RESUMING)
        return;
    if (Peers_IsReady(x->peer)) {
        resume_(x);
        return;
    }
    if (GwTime_Now() - x->lost_at >= patience) {
        Delivery_Fail(x, GW_FAILURE_LOST, GW_REFUSAL_NONE, GW_RAN_UNKNOWN,
                      NULL, 0);
        return;
    }
    Peers_Connect(x->peer);
    GwTimer_Start(&x->timer, RESUME_STEP);
}

void
Delivery_PeerReady(Peer *peer)
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
Delivery_PeerLost(Peer *peer)
{
    Exchange *x;

    TAILQ_FOREACH(x, &peer->exchanges, link)
    {
        if (x->state == EXCHANGE_RESUMING)
            continue;
        x->state = EXCHANGE_RESUMING;
        x->lost_at = GwTime_Now();
        GwTimer_Start(&x->timer, FIRST_LOOK);
    }
}

// Late and crossed frames are told by session, id and attempt number.
static Exchange *
current_(Peer *peer, uint64_t id, uint32_t attempt)
{
    Exchange *x = Exchange_Find(peer->entry, id);

    if (x != NULL && x->peer == peer && x->attempt == attempt)
        return x;
    GwCounters_Retry(&peer->entry->counters, GW_RETRY_STALE);
    return NULL;
}

static void
take_head_(Exchange *x, const Gw__Wire__Chunk *chunk)
{
    x->skip_head = x->begun_answer;
    if (x->begun_answer)
        return;
    x->status = (int)chunk->status;
    g_free(x->answer_type);
    x->answer_type = g_strdup(chunk->content_type);
    x->events = g_str_has_prefix(x->answer_type, "text/event-stream");
    if (x->whole != NULL)
        g_byte_array_set_size(x->whole, 0);
}

static void
deliver_(Exchange *x, const char *data, size_t len)
{
    GwCounters_Add(&x->entry->counters, GW_COUNTER_CHUNKS, 1);
    // An answer in one piece is held until it is known to be complete; so
    // the caller can still get another one, or a plain refusal. A very
    // large one would fill memory, and goes on as it comes.
    if (!x->events && !x->begun_answer) {
        hold_(x, data, len);
        if (x->whole->len <= WHOLE_MAX)
            return;
        begin_answer_(x);
        GwHttpCall_Write(x->call, (const char *)x->whole->data, x->whole->len);
        g_byte_array_set_size(x->whole, 0);
        return;
    }
    if (x->skip_head && body_is_empty_role_(data, len)) {
        x->skip_head = false;
        return;
    }
    if (!x->begun_answer)
        begin_answer_(x);
    if (x->events)
        remember_(x, data, len);
    GwHttpCall_Write(x->call, data, len);
}

static void
hold_(Exchange *x, const char *data, size_t len)
{
    if (x->whole == NULL)
        x->whole = g_byte_array_new();
    g_byte_array_append(x->whole, (const guint8 *)data, (guint)len);
}

static void
begin_answer_(Exchange *x)
{
    x->begun_answer = true;
    record_ttft_(x);
    GwHttpCall_AddHeader(x->call, "x-request-id", x->id_text);
    GwHttpCall_Begin(x->call, x->status, x->answer_type);
}

static void
remember_(Exchange *x, const char *data, size_t len)
{
    if (x->request.service || x->text->len >= TEXT_MAX)
        return;
    g_byte_array_append(x->recent, (const guint8 *)data, (guint)len);
    if (x->recent->len > RECENT_MAX)
        collect_text_(x);
}

static void
collect_text_(Exchange *x)
{
    OpenAi_CollectText((const char *)x->recent->data, x->recent->len, x->text,
                       &x->tokens);
    g_byte_array_set_size(x->recent, 0);
}

static void
complete_(Exchange *x)
{
    static const char none[] = "";

    GwHttpCall_SetUser(x->call, NULL);
    if (x->begun_answer) {
        GwHttpCall_End(x->call);
        Exchange_Finish(x);
        return;
    }
    record_ttft_(x);
    GwHttpCall_AddHeader(x->call, "x-request-id", x->id_text);
    GwHttpCall_Respond(x->call, x->status,
                       x->answer_type[0] != '\0' ? x->answer_type
                                                 : "application/json",
                       x->whole != NULL ? (const char *)x->whole->data : none,
                       x->whole != NULL ? x->whole->len : 0);
    Exchange_Finish(x);
}

// A continued stream starts with its role again; the caller has it.
static bool
body_is_empty_role_(const char *data, size_t len)
{
    return memmem(data, len, "\"role\":", 7) != NULL &&
           memmem(data, len, "\"content\":\"\"", 12) != NULL;
}

static void
act_(Exchange *x, const GwRecovery *r, const char *holder, GwTime retry_after)
{
    bool again = r->action == GW_ACTION_RETRY ||
                 r->action == GW_ACTION_CONTINUE ||
                 r->action == GW_ACTION_ASK_HOLDER;

    if (again && !GwRetryBudget_Take(&x->entry->budget)) {
        GwCounters_Refuse(&x->entry->counters, GW_REFUSAL_RETRY_BUDGET);
        again = false;
    }
    if (again && r->action == GW_ACTION_RETRY) {
        again_(x, r->reason);
        return;
    }
    if (again && r->action == GW_ACTION_CONTINUE && continue_(x))
        return;
    if (again && r->action == GW_ACTION_ASK_HOLDER && holder != NULL &&
        ask_holder_(x, holder))
        return;
    Exchange_Refuse(x, r->refusal, r->ran,
                    retry_after > 0 ? retry_after : DEFAULT_RETRY_AFTER);
}

static void
again_(Exchange *x, GwRetry reason)
{
    GwCounters_Retry(&x->entry->counters, reason);
    x->sought_at = GwTime_Now();
    Placing_Start(x);
}

static bool
continue_(Exchange *x)
{
    char *body;

    collect_text_(x);
    body = OpenAi_Continue(x->request.body, x->request.body_len,
                           x->request.chat, x->text->str, x->tokens);
    if (body == NULL)
        return false;
    free(x->request.body);
    x->request.body = body;
    x->request.body_len = strlen(body);
    // The delivered text is part of the body now; only what comes after it
    // is collected from here on.
    g_string_truncate(x->text, 0);
    x->tokens = 0;
    again_(x, GW_RETRY_CONTINUE);
    return true;
}

static bool
ask_holder_(Exchange *x, const char *holder)
{
    GwMember *member = member_named_(x, holder);
    Peer *peer = Peers_Get(x->entry, member);

    x->asked_holder = true;
    Peers_Connect(peer);
    if (!Peers_IsReady(peer))
        return false;
    GwCounters_Retry(&x->entry->counters, GW_RETRY_REFUSED);
    Placing_Submit(x, peer);
    return true;
}

static GwMember *
member_named_(const Exchange *x, const char *name)
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
resume_(Exchange *x)
{
    GW_FRAME(frame, resume, RESUME, Resume, resume);

    if (x->peer->member->incarnation != x->incarnation) {
        // Another life knows nothing of this request: its "unknown" would
        // not prove that the former one did not run it.
        Delivery_Fail(x, GW_FAILURE_RESTARTED, GW_REFUSAL_NONE, GW_RAN_UNKNOWN,
                      NULL, 0);
        return;
    }
    GwCounters_Retry(&x->entry->counters, GW_RETRY_RESUME);
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
                       (uint64_t)(now - x->begun));
    // As quick as an idle place is: the next one needs no offers either.
    if (x->by_affinity && x->peer != NULL &&
        now - x->begun < x->offered_ttft + SHORT_WAIT)
        GwAffinity_Remember(x->entry->affinity, x->anchor, x->peer->member->id,
                            x->offered_ttft, now);
}
