#define GW_LOG_PART "agent"
#include "sessions.h"

#include <inttypes.h>

#include "galenagw/base/log.h"
#include "agent_quarantine.h"
#include "galenagw/sync/config_sync.h"
#include "limit_owner.h"
#include "job.h"
#include "offers.h"

static void fill_hello_(void *user, Gw__Wire__Hello *hello);
static void fill_sync_status_(void *user, GwSyncStatus *sync_status);
static void on_ready_(void *user, GwSession *session,
                      const Gw__Wire__Hello *hello);
static void on_frame_(void *user, GwSession *session, const GwFrame *frame);
static void on_sync_status_(void *user, GwSession *session,
                            const GwSyncStatus *sync_status);
static void on_closed_(void *user, GwSession *session, bool silent);

static const GwSessionOps session_ops = {on_ready_, on_frame_, on_sync_status_,
                                         on_closed_};

bool
Sessions_Start(GwAgent *agent, GwError *err)
{
    GwSessionOptions options = {
        .fill_hello = fill_hello_,
        .fill_sync_status = fill_sync_status_,
        .ops = &session_ops,
        .user = agent,
        .counters = &agent->counters,
        .ping_interval = agent->options.silence_timeout / 3,
        // Entries react to a session timeout first, by a resume or a retry.
        // The agent only detaches the jobs of an entry that has crashed, so
        // its timeout is longer.
        .silence_timeout = 3 * agent->options.silence_timeout,
    };

    agent->sessions = g_hash_table_new(NULL, NULL);
    agent->server = GwSessionServer_New(agent->loop, &agent->options.listen,
                                        &options, err);
    return agent->server != NULL;
}

void
Sessions_Stop(GwAgent *agent)
{
    GwSessionServer_Delete(agent->server);
    g_hash_table_unref(agent->sessions);
}

static void
fill_hello_(void *user, Gw__Wire__Hello *hello)
{
    GwAgent *agent = user;

    hello->role = GW__WIRE__ROLE__ROLE_AGENT;
    hello->instance = (char *)agent->options.name;
    hello->failure_domain = (char *)agent->options.failure_domain;
    hello->pool = (char *)agent->options.pool;
    hello->incarnation = agent->incarnation;
    hello->leaving = agent->draining;
}

static void
fill_sync_status_(void *user, GwSyncStatus *sync_status)
{
    sync_status->revision =
        GwConfigFeed_Revision(((GwAgent *)user)->config_feed);
}

static void
on_ready_(void *user, GwSession *session, const Gw__Wire__Hello *hello)
{
    GwAgent *agent = user;

    g_hash_table_add(agent->sessions, session);
    AgentQuarantine_SendAll(agent, session);
}

static void
on_frame_(void *user, GwSession *session, const GwFrame *frame)
{
    GwAgent *agent = user;

    if (GwConfigSync_OnFrame(agent->config_feed, session, frame) ||
        AgentQuarantine_OnFrame(agent, session, frame))
        return;
    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_PROBE:
        Offers_OnProbe(agent, session, frame->probe);
        break;
    case GW__WIRE__FRAME__BODY_RELEASE:
        Offers_ReleaseReservation(agent, frame->release->probe_id);
        break;
    case GW__WIRE__FRAME__BODY_SUBMIT:
        Jobs_Submit(agent, session, frame->submit);
        break;
    case GW__WIRE__FRAME__BODY_ACK:
        Jobs_Ack(agent, frame->ack);
        break;
    case GW__WIRE__FRAME__BODY_CANCEL:
        Jobs_Cancel(agent, frame->cancel);
        break;
    case GW__WIRE__FRAME__BODY_RESUME:
        Jobs_Resume(agent, session, frame->resume);
        break;
    case GW__WIRE__FRAME__BODY_CREDIT_ASK:
        LimitOwner_OnCreditAsk(agent->limit_owner, session, frame->credit_ask);
        break;
    default:
        break;
    }
}

static void
on_sync_status_(void *user, GwSession *session,
                const GwSyncStatus *sync_status)
{
    GwConfigSync_OnRevision(((GwAgent *)user)->config_feed, session,
                            sync_status->revision);
}

static void
on_closed_(void *user, GwSession *session, bool silent)
{
    GwAgent *agent = user;

    g_hash_table_remove(agent->sessions, session);
    Jobs_Detach(agent, session);
}
