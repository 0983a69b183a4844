#include "galenagw/quarantine/quarantine_sync.h"

/* Rows that a new peer receives, of some sixty bytes each. */
#define SEND_ALL_ROWS_MAX 512

static void send_termination_(void *user,
                              const GwEndpointTermination *termination);
static void send_completion_(void *user, const GwDigest *request, GwTime at);
static void send_completions_(GwQuarantine *q, GwSession *session,
                              const GwDigest *requests, size_t n);
static void receive_termination_(GwQuarantine *q, GwSession *from,
                                 const Gw__Wire__EndpointEnd *body,
                                 const GwQuarantineSyncOps *ops, void *user);
static void receive_completion_(GwQuarantine *q, GwSession *from,
                                const Gw__Wire__SoundRequest *body,
                                const GwQuarantineSyncOps *ops, void *user);
static uint64_t elapsed_ms_(GwTime at);
static GwTime time_before_(uint64_t elapsed_ms, GwTime now);

void
GwQuarantineSync_Send(GwSession *session, const GwQuarantineUpdate *update)
{
    if (update->is_termination)
        send_termination_(session, &update->termination);
    else
        send_completion_(session, &update->completed, update->completed_at);
}

void
GwQuarantineSync_SendAll(GwSession *session, const GwQuarantine *q)
{
    // First, so that the peer does not refuse meanwhile what they excuse.
    GwQuarantine_ForEachCompleted(q, SEND_ALL_ROWS_MAX, send_completion_,
                                  session);
    GwQuarantine_ForEach(q, SEND_ALL_ROWS_MAX, send_termination_, session);
}

bool
GwQuarantineSync_OnFrame(GwQuarantine *q, GwSession *from,
                         const GwFrame *frame, const GwQuarantineSyncOps *ops,
                         void *user)
{
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_ENDPOINT_END:
        receive_termination_(q, from, frame->endpoint_end, ops, user);
        return true;
    case GW__WIRE__FRAME__BODY_SOUND_REQUEST:
        receive_completion_(q, from, frame->sound_request, ops, user);
        return true;
    default:
        return false;
    }
}

static void
send_termination_(void *user, const GwEndpointTermination *termination)
{
    g_autofree uint64_t *accounts = g_new(uint64_t, termination->n_requests);
    g_autofree uint64_t *contents = g_new(uint64_t, termination->n_requests);
    GW_FRAME(frame, body, ENDPOINT_END, EndpointEnd, endpoint_end);

    for (size_t i = 0; i < termination->n_requests; i++) {
        accounts[i] = termination->requests[i].account;
        contents[i] = termination->requests[i].content;
    }
    body.endpoint = termination->endpoint;
    body.group = termination->group;
    body.group_size = termination->group_size;
    body.ended_ms = elapsed_ms_(termination->at);
    body.n_accounts = termination->n_requests;
    body.accounts = accounts;
    body.n_contents = termination->n_requests;
    body.contents = contents;
    GwSession_Send(user, &frame);
}

static void
send_completion_(void *user, const GwDigest *request, GwTime at)
{
    GW_FRAME(frame, body, SOUND_REQUEST, SoundRequest, sound_request);

    body.account = request->account;
    body.content = request->content;
    body.answered_ms = elapsed_ms_(at);
    GwSession_Send(user, &frame);
}

// The peer may take the requests for the cause of their terminations, because
// it has not seen them complete. Few requests were sent and answered before.
static void
send_completions_(GwQuarantine *q, GwSession *session,
                  const GwDigest *requests, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        GwTime at = GwQuarantine_CompletedAt(q, &requests[i]);

        if (at != 0)
            send_completion_(session, &requests[i], at);
    }
}

// Arrays of unequal length are cut to the shorter one, and both to the number
// of requests that one endpoint runs; the requests that remain are valid.
static void
receive_termination_(GwQuarantine *q, GwSession *from,
                     const Gw__Wire__EndpointEnd *body,
                     const GwQuarantineSyncOps *ops, void *user)
{
    GwTime now = GwTime_Now();
    size_t n = MIN(MIN(body->n_accounts, body->n_contents),
                   GW_TERMINATION_REQUESTS_MAX);
    g_autofree GwDigest *requests = g_new(GwDigest, n);
    g_autofree GwDigest *new_requests = g_new(GwDigest, n);
    GwQuarantineUpdate update = {
        .is_termination = true,
        .termination = {.endpoint = body->endpoint,
                        .group = body->group,
                        .group_size = body->group_size,
                        .at = time_before_(body->ended_ms, now),
                        .requests = requests,
                        .n_requests = n},
    };
    bool is_new;

    if (body->group_size == 0 && ops->group_size != NULL)
        update.termination.group_size = ops->group_size(user, body->group);
    for (size_t i = 0; i < n; i++)
        requests[i] = (GwDigest){body->accounts[i], body->contents[i]};
    update.termination.n_requests = GwQuarantine_AddTermination(
        q, &update.termination, now, new_requests, &is_new);
    update.termination.requests = new_requests;
    send_completions_(q, from, requests, n);
    if (is_new || update.termination.n_requests > 0)
        ops->on_update(user, from, &update);
}

static void
receive_completion_(GwQuarantine *q, GwSession *from,
                    const Gw__Wire__SoundRequest *body,
                    const GwQuarantineSyncOps *ops, void *user)
{
    GwTime now = GwTime_Now();
    GwQuarantineUpdate update = {
        .completed = {body->account, body->content},
        .completed_at = time_before_(body->answered_ms, now),
    };

    if (GwQuarantine_AddCompletion(q, &update.completed, update.completed_at,
                                   now))
        ops->on_update(user, from, &update);
}

static uint64_t
elapsed_ms_(GwTime at)
{
    return (uint64_t)(MAX(GwTime_Now() - at, 0) / GW_MILLISECOND);
}

// The time `elapsed_ms` before now. An age that no clock can give (a faulty
// frame) is clamped to twice the retention; a termination or completion of
// that time has no effect.
static GwTime
time_before_(uint64_t elapsed_ms, GwTime now)
{
    uint64_t max_elapsed_ms =
        (uint64_t)(2 * GW_QUARANTINE_RETENTION / GW_MILLISECOND);

    return now - (GwTime)MIN(elapsed_ms, max_elapsed_ms) * GW_MILLISECOND;
}
