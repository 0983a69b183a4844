#include "galenagw/quarantine/quarantine_sync.h"

/* Rows that a new peer receives, of some sixty bytes each. */
#define SEND_ALL_ROWS_MAX 512

static void add_completion_(GwQuarantine *q, GwSuspectKind kind,
                            const GwDigest *suspect,
                            const GwQuarantineSyncOps *ops, void *user);
static void send_termination_(void *user,
                              const GwEndpointTermination *termination);
static void send_completion_(void *user, GwSuspectKind kind,
                             const GwDigest *suspect, GwTime at);
static void send_completions_(const GwQuarantine *q, GwSession *session,
                              const GwInFlight *in_flight);
static void read_in_flight_(const Gw__Wire__EndpointEnd *body, GwTime now,
                            GwInFlight *in_flight);
static void receive_termination_(GwQuarantine *q, GwSession *from,
                                 const Gw__Wire__EndpointEnd *body,
                                 const GwQuarantineSyncOps *ops, void *user);
static void receive_completion_(GwQuarantine *q, GwSession *from,
                                const Gw__Wire__SoundRequest *body,
                                const GwQuarantineSyncOps *ops, void *user);
static uint64_t elapsed_ms_(GwTime at);
static GwTime time_before_(uint64_t elapsed_ms, GwTime now);

void
GwQuarantineSync_AddCompletion(GwQuarantine *q,
                               const GwRequestIdentity *request, int status,
                               const GwQuarantineSyncOps *ops, void *user)
{
    bool is_success = status >= 200 && status < 300;

    add_completion_(q, GW_SUSPECT_REQUEST, &request->request, ops, user);
    for (unsigned i = 0; is_success && i < request->n_parts; i++)
        add_completion_(q, GW_SUSPECT_PART, &request->parts[i], ops, user);
}

static void
add_completion_(GwQuarantine *q, GwSuspectKind kind, const GwDigest *suspect,
                const GwQuarantineSyncOps *ops, void *user)
{
    GwTime now = GwTime_Now();
    GwQuarantineUpdate update = {
        .completed_kind = kind, .completed = *suspect, .completed_at = now};

    if (GwQuarantine_AddCompletion(q, kind, suspect, now, now))
        ops->on_update(user, NULL, &update);
}

void
GwQuarantineSync_Send(GwSession *session, const GwQuarantineUpdate *update)
{
    if (update->is_termination)
        send_termination_(session, &update->termination);
    else
        send_completion_(session, update->completed_kind, &update->completed,
                         update->completed_at);
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
    size_t n_parts = termination->n_parts;
    g_autofree uint64_t *accounts = g_new(uint64_t, termination->n_requests);
    g_autofree uint64_t *contents = g_new(uint64_t, termination->n_requests);
    g_autofree uint64_t *part_scopes = g_new(uint64_t, n_parts);
    g_autofree uint64_t *part_ids = g_new(uint64_t, n_parts);
    g_autofree uint64_t *part_completed = g_new(uint64_t, n_parts);
    GW_FRAME(frame, body, ENDPOINT_END, EndpointEnd, endpoint_end);

    for (size_t i = 0; i < termination->n_requests; i++) {
        accounts[i] = termination->requests[i].account;
        contents[i] = termination->requests[i].content;
    }
    for (size_t i = 0; i < n_parts; i++) {
        const GwPartInFlight *part = &termination->parts[i];

        part_scopes[i] = part->digest.account;
        part_ids[i] = part->digest.content;
        part_completed[i] =
            part->completed_at != 0 ? elapsed_ms_(part->completed_at) + 1 : 0;
    }
    body.endpoint = termination->endpoint;
    body.group = termination->group;
    body.group_size = termination->group_size;
    body.ended_ms = elapsed_ms_(termination->at);
    body.n_accounts = termination->n_requests;
    body.accounts = accounts;
    body.n_contents = termination->n_requests;
    body.contents = contents;
    body.n_part_scopes = n_parts;
    body.part_scopes = part_scopes;
    body.n_part_ids = n_parts;
    body.part_ids = part_ids;
    body.n_part_completed = n_parts;
    body.part_completed = part_completed;
    GwSession_Send(user, &frame);
}

static void
send_completion_(void *user, GwSuspectKind kind, const GwDigest *suspect,
                 GwTime at)
{
    GW_FRAME(frame, body, SOUND_REQUEST, SoundRequest, sound_request);

    body.account = suspect->account;
    body.content = suspect->content;
    body.answered_ms = elapsed_ms_(at);
    body.is_part = kind == GW_SUSPECT_PART;
    GwSession_Send(user, &frame);
}

// The peer may take the requests and parts for the cause of their
// terminations, because it has not seen them complete. Few requests were sent
// and answered before. What the peer knows of parts is in its update.
static void
send_completions_(const GwQuarantine *q, GwSession *session,
                  const GwInFlight *in_flight)
{
    for (size_t i = 0; i < in_flight->n_requests; i++) {
        GwTime at = GwQuarantine_CompletedAt(q, &in_flight->requests[i]);

        if (at != 0)
            send_completion_(session, GW_SUSPECT_REQUEST,
                             &in_flight->requests[i], at);
    }
    for (size_t i = 0; i < in_flight->n_parts; i++) {
        const GwPartInFlight *part = &in_flight->parts[i];
        GwTime at = GwQuarantine_CompletedAt(q, &part->digest);

        if (at != 0 && part->completed_at == 0)
            send_completion_(session, GW_SUSPECT_PART, &part->digest, at);
    }
}

static void
receive_termination_(GwQuarantine *q, GwSession *from,
                     const Gw__Wire__EndpointEnd *body,
                     const GwQuarantineSyncOps *ops, void *user)
{
    GwTime now = GwTime_Now();
    g_autofree GwInFlight *in_flight = g_new0(GwInFlight, 1);
    g_autofree GwInFlight *added = g_new0(GwInFlight, 1);
    GwQuarantineUpdate update = {
        .is_termination = true,
        .termination = {.endpoint = body->endpoint,
                        .group = body->group,
                        .group_size = body->group_size,
                        .at = time_before_(body->ended_ms, now),
                        .source = GW_QUARANTINE_SOURCE_PEER},
    };
    size_t n_added;
    bool is_new;

    read_in_flight_(body, now, in_flight);
    GwEndpointTermination_SetInFlight(&update.termination, in_flight);
    if (body->group_size == 0 && ops->group_size != NULL)
        update.termination.group_size = ops->group_size(user, body->group);
    n_added = GwQuarantine_AddTermination(q, &update.termination, now, added,
                                          &is_new);
    GwEndpointTermination_SetInFlight(&update.termination, added);
    if (from != NULL)
        send_completions_(q, from, in_flight);
    if (is_new || n_added > 0)
        ops->on_update(user, from, &update);
}

// Arrays of unequal length are cut to the shortest one, and all to the number
// that one endpoint runs; what remains is valid. Versions of this program
// without parts send none.
static void
read_in_flight_(const Gw__Wire__EndpointEnd *body, GwTime now,
                GwInFlight *in_flight)
{
    size_t n_requests = MIN(MIN(body->n_accounts, body->n_contents),
                            GW_TERMINATION_REQUESTS_MAX);
    size_t n_parts =
        MIN(MIN(body->n_part_scopes, body->n_part_ids),
            MIN(body->n_part_completed, GW_TERMINATION_PARTS_MAX));

    for (size_t i = 0; i < n_requests; i++)
        in_flight->requests[i] =
            (GwDigest){body->accounts[i], body->contents[i]};
    for (size_t i = 0; i < n_parts; i++) {
        uint64_t completed = body->part_completed[i];

        in_flight->parts[i] = (GwPartInFlight){
            .digest = {body->part_scopes[i], body->part_ids[i]},
            .completed_at =
                completed != 0 ? time_before_(completed - 1, now) : 0,
        };
    }
    in_flight->n_requests = n_requests;
    in_flight->n_parts = n_parts;
}

static void
receive_completion_(GwQuarantine *q, GwSession *from,
                    const Gw__Wire__SoundRequest *body,
                    const GwQuarantineSyncOps *ops, void *user)
{
    GwTime now = GwTime_Now();
    GwQuarantineUpdate update = {
        .completed_kind = body->is_part ? GW_SUSPECT_PART : GW_SUSPECT_REQUEST,
        .completed = {body->account, body->content},
        .completed_at = time_before_(body->answered_ms, now),
    };

    if (GwQuarantine_AddCompletion(q, update.completed_kind, &update.completed,
                                   update.completed_at, now))
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
