#define GW_LOG_PART "agent"
#include "drain.h"

#include "galenagw/base/log.h"

/* Delay between the deletion of the last job and on_drained, so that the last
 * frames of the job are sent before the process exits. */
#define LINGER_TIME (100 * GW_MILLISECOND)

static void announce_leaving_(GwAgent *agent);
static void on_lingered_(void *user);

void
AgentDrain_Init(GwAgent *agent)
{
    GwTimer_Init(&agent->linger_timer, agent->loop, on_lingered_, agent);
}

void
AgentDrain_Start(GwAgent *agent)
{
    if (agent->draining)
        return;
    GW_INFO("draining: %u requests to finish", g_hash_table_size(agent->jobs));
    agent->draining = true;
    announce_leaving_(agent);
    AgentDrain_CheckFinished(agent);
}

void
AgentDrain_CheckFinished(GwAgent *agent)
{
    if (!agent->draining || agent->drained ||
        g_hash_table_size(agent->jobs) > 0)
        return;
    agent->drained = true;
    GwTimer_Start(&agent->linger_timer, LINGER_TIME);
}

void
AgentDrain_Stop(GwAgent *agent)
{
    GwTimer_Stop(&agent->linger_timer);
}

static void
announce_leaving_(GwAgent *agent)
{
    GHashTableIter it;
    gpointer session;
    GW_FRAME(frame, leaving, LEAVING, Leaving, leaving);

    leaving.reason = "draining";
    g_hash_table_iter_init(&it, agent->sessions);
    while (g_hash_table_iter_next(&it, &session, NULL))
        GwSession_Send(session, &frame);
}

static void
on_lingered_(void *user)
{
    GwAgent *agent = user;

    GW_INFO("drained");
    if (agent->options.on_drained != NULL)
        agent->options.on_drained(agent->options.user);
}
