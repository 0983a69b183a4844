/* Limit messages: requests of entries for units of an account's limit, and
 * grants of the limit owners. */
#ifndef GALENAGW_CLUSTER_LIMIT_MESSAGES_H
#define GALENAGW_CLUSTER_LIMIT_MESSAGES_H

#include "galenagw/cluster/view.h"
#include "galenagw/policy/limit_share.h"
#include "galenagw/routing/limit_tolerance.h"
#include "galenagw/wire/session.h"

/* The limit owner pool: the agents that may own limits of accounts, identified
 * by the hash of their address. All agents listen on @p agent_port. */
GwLimitPool GwLimitMessages_OwnerPool(const GwView *view, int agent_port);
/* Entry: request units from a limit owner, or return some. */
void GwLimitMessages_SendRequest(GwSession *session,
                                 const GwLimitRequest *request);
/* Limit owner: answer an entry's request according to the limits in force. */
void GwLimitMessages_OnRequest(GwSession *session, GwLimitOwner *owner,
                               const GwView *view,
                               const GwLimitTolerance *tolerance,
                               const Gw__Wire__CreditAsk *msg);
/* Entry: add the units that the limit owner with the address hash @p owner has
 * granted. */
void GwLimitMessages_OnGrant(GwLimitShare *share, uint64_t owner,
                             const Gw__Wire__CreditGrant *msg);

#endif
