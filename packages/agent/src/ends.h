/* Ends of the agent's endpoint, and the requests under them. */
#ifndef GALENAGW_AGENT_ENDS_H
#define GALENAGW_AGENT_ENDS_H

#include "job_private.h"

void Ends_Init(GwAgent *agent);
void Ends_Stop(GwAgent *agent);
/* The endpoint broke @p job off: it may have ended. */
void Ends_Broke(const Job *job);
/* The endpoint has ended. */
void Ends_EndpointEnded(GwAgent *agent);
/* @p job had a whole answer. */
void Ends_Answered(const Job *job);
/* How long a request must not run; 0: it may. */
GwTime Ends_Left(const GwAgent *agent, const Gw__Wire__Submit *submit);
/* Forget what is old. */
void Ends_Sweep(GwAgent *agent, GwTime now);
/* An entry has connected. */
void Ends_TellAll(GwAgent *agent, GwSession *session);
/* @return false if @p frame is about something else */
bool Ends_Take(GwAgent *agent, GwSession *session, const GwFrame *frame);

#endif
