/* One request at this agent: its run, and its answer until acknowledged. */
#ifndef GALENAGW_AGENT_JOB_H
#define GALENAGW_AGENT_JOB_H

#include "agent_private.h"

typedef enum {
    JOB_CLAIMING = 0, /* its key is being claimed */
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_FOLLOWING, /* gets the answer of another job with its key */
    JOB_FINISHED,  /* answer whole or broken off; kept for its entry */
    JOB_STATES
} JobState;

extern const char *const JobState_Names[JOB_STATES];

void Jobs_Submit(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Submit *submit);
void Jobs_Ack(GwAgent *agent, const Gw__Wire__Ack *ack);
void Jobs_Cancel(GwAgent *agent, const Gw__Wire__Cancel *cancel);
void Jobs_Resume(GwAgent *agent, GwSession *session,
                 const Gw__Wire__Resume *resume);
/* Its session is gone: its jobs go on for a while. */
void Jobs_Detach(GwAgent *agent, GwSession *session);
/* Start what may start. */
void Jobs_Pump(GwAgent *agent);
/* Deadlines, abandoned jobs, old fences. */
void Jobs_Tick(GwAgent *agent, GwTime now);
int Jobs_Unfinished(const GwAgent *agent);
void Jobs_Clear(GwAgent *agent);

void Jobs_DeleteKeyState(gpointer p);
/* Forget what ran for keys whose claims bind no more. */
void Jobs_SweepKeys(GwAgent *agent, GwTime now);

#endif
