#define GW_LOG_PART "agent"
#include "drain.h"

#include "galenagw/base/log.h"

/* The wire must have taken the last frames before the process ends. */
#define LINGER_TIME (100 * GW_MILLISECOND)

static void tell_leaving_(GwAgent *agent);
static void on_lingered_(void *user);

void
AgentDrain_Init(GwAgent *agent)
{
    GwTimer_Init(&agent->linger, agent->loop, on_lingered_, agent);
}

void
AgentDrain_Start(GwAgent *agent)
{
    if (agent->draining)
        return;
    GW_INFO("draining: %u requests to finish", g_hash_table_size(agent->jobs));
    agent->draining = true;
    tell_leaving_(agent);
    AgentDrain_Check(agent);
}

void
AgentDrain_Check(GwAgent *agent)
{
    if (!agent->draining || agent->drained ||
        g_hash_table_size(agent->jobs) > 0)
        return;
    agent->drained = true;
    GwTimer_Start(&agent->linger, LINGER_TIME);
}

void
AgentDrain_Stop(GwAgent *agent)
{
    GwTimer_Stop(&agent->linger);
}

static void
tell_leaving_(GwAgent *agent)
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
