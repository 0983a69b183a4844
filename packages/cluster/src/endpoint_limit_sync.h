/* Exchange of the rate limits that endpoints name in their answers. A limit
 * applies to all processes combined, so the process that received the answer
 * sends it to the others. Entries report their demand to the agent that
 * divides the limit between them. */
#ifndef GALENAGW_CLUSTER_ENDPOINT_LIMIT_SYNC_H
#define GALENAGW_CLUSTER_ENDPOINT_LIMIT_SYNC_H

#include "galenagw/routing/endpoint_limits.h"
#include "galenagw/wire/session.h"

void GwEndpointLimitSync_Send(GwSession *session,
                              const GwEndpointLimit *limit);
/* Send all limits that were neither lifted nor have expired to a peer that has
 * just connected. */
void GwEndpointLimitSync_SendAll(GwSession *session,
                                 const GwEndpointLimits *limits);
/* Store the limit that a peer sent, if it is well-formed and not older than
 * the stored one (see GwEndpointLimits_Set).
 * @param[out] limit the received limit, for forwarding it to other peers if
 *                   the stored limit changed; its id points into @p msg
 * @return whether the stored limit changed */
bool GwEndpointLimitSync_OnUpdate(GwEndpointLimits *limits,
                                  const Gw__Wire__EndpointLimit *msg,
                                  GwEndpointLimit *limit);
/* Entry: report its demand for the endpoint @p id to the agent that divides
 * the endpoint's limit. */
void GwEndpointLimitSync_SendDemand(GwSession *session, const char *id,
                                    const GwEndpointDemand *demand);
/* Agent: answer the report of an entry.
 * @param process identity of the entry, the same after a restart */
void GwEndpointLimitSync_OnDemand(GwSession *session, GwEndpointShares *shares,
                                  uint64_t process,
                                  const Gw__Wire__EndpointDemand *msg);
/* Entry: store the part of a limit that the agent with the address hash
 * @p share_owner has granted. */
void GwEndpointLimitSync_OnShare(GwEndpointLimits *limits,
                                 uint64_t share_owner,
                                 const Gw__Wire__EndpointDemand *msg);

#endif
