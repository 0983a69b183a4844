/**
 * @defgroup agent_limit_owner Limit owner of the agent
 * @brief Token buckets of the accounts whose limits this agent owns.
 *
 * Entries choose the limit owner of an account by rendezvous hashing among
 * the agents, so each account has one bucket while the set of agents does not
 * change. A new owner starts with one token instead of a full bucket, so a
 * change of owner does not grant the burst a second time.
 */
#ifndef GALENAGW_AGENT_LIMIT_OWNER_H
#define GALENAGW_AGENT_LIMIT_OWNER_H

#include "agent_private.h"

LimitOwner *LimitOwner_New(GwAgent *agent);
void LimitOwner_Delete(LimitOwner *owner);
/* Answer an entry's request for credits with a grant. */
void LimitOwner_OnCreditAsk(LimitOwner *owner, GwSession *session,
                            const Gw__Wire__CreditAsk *ask);

#endif
