/**
 * @defgroup home Home of accounts
 * @brief Token buckets of the accounts whose home this agent is.
 *
 * Entries choose an account's home by rendezvous among the agents, so each
 * account has one bucket in the steady state. A new home starts with an
 * empty bucket: a move then never grants more than the limit.
 */
#ifndef GALENAGW_AGENT_HOME_H
#define GALENAGW_AGENT_HOME_H

#include "agent_private.h"

Home *Home_New(GwAgent *agent);
void Home_Delete(Home *home);
void Home_Ask(Home *home, GwSession *session, const Gw__Wire__CreditAsk *ask);

#endif
