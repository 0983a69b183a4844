#define GW_LOG_PART "agent"
#include "agent_quarantine.h"

#include <string.h>
#include <xxhash.h>

#include "galenagw/base/log.h"
#include "galenagw/quarantine/message_identity.h"

static GwMessageSource job_source_(const Job *job);
static void start_listen_check_(GwAgent *agent);
static void on_listen_check_open_(void *user);
static void on_listen_check_data_(void *user, const uint8_t *data, size_t len);
static void on_listen_check_closed_(void *user, GwTcpEnd end);
static void forward_update_(void *user, GwSession *from,
                            const GwQuarantineUpdate *update);

static const GwTcpOps listen_check_ops = {on_listen_check_open_,
                                          on_listen_check_data_,
                                          on_listen_check_closed_, NULL};
static const GwQuarantineSyncOps quarantine_sync_ops = {.on_update =
                                                            forward_update_};

void
AgentQuarantine_Init(GwAgent *agent)
{
    GwQuarantineOptions options = {.on_changed = GwQuarantine_WarnChanged};

    agent->quarantine = GwQuarantine_New(&options);
    agent->broken_requests = GwBrokenRequests_New();
}

void
AgentQuarantine_Stop(GwAgent *agent)
{
    GwTcp_Close(agent->listen_check);
    GwQuarantine_Delete(agent->quarantine);
    GwBrokenRequests_Delete(agent->broken_requests);
}

void
AgentQuarantine_OnRequestBroken(const Job *job)
{
    GwMessageSource source = job_source_(job);
    GwRequestIdentity identity = GwMessageIdentity_Of(&source);

    // Endpoint number 0: an agent has only one endpoint.
    GwBrokenRequests_Add(job->agent->broken_requests, 0, &identity,
                         GwTime_Now());
    // A restart of an engine shows in its reports; a plain service sends none.
    if (job->agent->options.plain_service)
        start_listen_check_(job->agent);
}

void
AgentQuarantine_Sweep(GwAgent *agent, GwTime now)
{
    GwQuarantine_Sweep(agent->quarantine, now);
}

// A termination with no broken requests is not recorded, because it concerns
// no request. A load of weights may look like a termination, but no requests
// are in flight then.
void
AgentQuarantine_OnEndpointTerminated(GwAgent *agent)
{
    const GwAgentOptions *o = &agent->options;
    GwTime now = GwTime_Now();
    GwQuarantineUpdate update = {.is_termination = true};
    g_autoptr(GArray) requests = NULL;
    g_autofree GwInFlight *in_flight = g_new0(GwInFlight, 1);
    g_autofree GwInFlight *added = g_new0(GwInFlight, 1);
    bool is_new;

    requests = GwBrokenRequests_Take(agent->broken_requests, 0, now,
                                     &update.termination.at);
    if (requests->len == 0)
        return;
    // A plain service reports no incarnation, so terminations are counted to
    // give each one its own id.
    agent->termination_count++;
    update.termination.endpoint =
        XXH3_64bits_withSeed(o->name, strlen(o->name),
                             agent->incarnation + agent->termination_count);
    update.termination.group = GwQuarantine_Group(o->pool, o->failure_domain);
    GwInFlight_AddAll(in_flight, requests);
    GwEndpointTermination_SetInFlight(&update.termination, in_flight);
    GW_WARN("the endpoint terminated with %u requests in flight",
            requests->len);
    GwCounters_Add(&agent->counters, GW_COUNTER_ENDS_SEEN, 1);
    GwQuarantine_AddTermination(agent->quarantine, &update.termination, now,
                                added, &is_new);
    GwEndpointTermination_SetInFlight(&update.termination, added);
    forward_update_(agent, NULL, &update);
}

void
AgentQuarantine_OnRequestCompleted(const Job *job)
{
    GwMessageSource source = job_source_(job);
    GwAgent *agent = job->agent;
    GwRequestIdentity identity = {0};

    // The body has to be parsed for its parts. Entries, which have parsed it,
    // send what they know of completions with terminations.
    if (GwQuarantine_IsEmpty(agent->quarantine))
        identity.request = GwDigest_Of(&source.digest);
    else
        identity = GwMessageIdentity_Of(&source);
    GwQuarantineSync_AddCompletion(agent->quarantine, &identity,
                                   job->answer_status, &quarantine_sync_ops,
                                   agent);
}

GwTime
AgentQuarantine_TimeLeft(GwAgent *agent, const Gw__Wire__Submit *s)
{
    GwMessageSource source = {
        .digest = {.account = s->account,
                   .method = s->method,
                   .target = s->path,
                   .body = (const char *)s->body.data,
                   .body_len = s->body.len},
        .model = agent->options.pool,
    };
    GwRequestIdentity identity;

    if (GwQuarantine_IsEmpty(agent->quarantine))
        return 0;
    identity = GwMessageIdentity_Of(&source);
    return GwQuarantine_Check(agent->quarantine, &identity, GwTime_Now())
        .time_left;
}

void
AgentQuarantine_SendAll(GwAgent *agent, GwSession *session)
{
    GwQuarantineSync_SendAll(session, agent->quarantine);
}

bool
AgentQuarantine_OnFrame(GwAgent *agent, GwSession *session,
                        const GwFrame *frame)
{
    return GwQuarantineSync_OnFrame(agent->quarantine, session, frame,
                                    &quarantine_sync_ops, agent);
}

// Tests by a connection whether a plain service still listens. There is no
// timeout: only a refused connection proves a termination, and no other check
// is needed while this one is in progress.
static void
start_listen_check_(GwAgent *agent)
{
    if (agent->listen_check == NULL)
        agent->listen_check = GwTcp_Connect(
            agent->loop, &agent->options.endpoint, &listen_check_ops, agent);
}

static void
on_listen_check_open_(void *user)
{
    GwAgent *agent = user;

    GwTcp_Close(g_steal_pointer(&agent->listen_check));
}

static void
on_listen_check_data_(void *user, const uint8_t *data, size_t len)
{
}

static void
on_listen_check_closed_(void *user, GwTcpEnd end)
{
    GwAgent *agent = user;

    agent->listen_check = NULL;
    if (end == GW_TCP_UNREACHABLE)
        AgentQuarantine_OnEndpointTerminated(agent);
}

static GwMessageSource
job_source_(const Job *job)
{
    gsize len;
    GwMessageSource source = {
        .digest = {.account = job->account,
                   .method = job->method,
                   .target = job->path,
                   .body = g_bytes_get_data(job->body, &len)},
        .model = job->agent->options.pool,
    };

    source.digest.body_len = len;
    return source;
}

// Sends `update` to all entries but `from`, which sent it; NULL: to all.
static void
forward_update_(void *user, GwSession *from, const GwQuarantineUpdate *update)
{
    GwAgent *agent = user;
    GHashTableIter it;
    gpointer session;

    g_hash_table_iter_init(&it, agent->sessions);
    while (g_hash_table_iter_next(&it, &session, NULL)) {
        if (session != from)
            GwQuarantineSync_Send(session, update);
    }
}
