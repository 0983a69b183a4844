/* Messages by which entries lease retries from the slack owners. */
#ifndef GALENAGW_CLUSTER_RETRY_LEASE_SYNC_H
#define GALENAGW_CLUSTER_RETRY_LEASE_SYNC_H

#include "galenagw/routing/retry_leases.h"
#include "galenagw/wire/session.h"

/* Entry: send @p request to a slack owner. */
void GwRetryLeaseSync_SendRequest(GwSession *session, const char *service,
                                  const GwRetryLeaseRequest *request);
/* Agent: answer the request of an entry.
 * @return retries granted */
unsigned GwRetryLeaseSync_OnRequest(GwSession *session, GwRetrySlack *slack,
                                    const Gw__Wire__RetryLease *msg);
/* Entry: store the lease that the agent with the address hash @p owner has
 * granted. */
void GwRetryLeaseSync_OnGrant(GwRetryLeases *leases, uint64_t owner,
                              const Gw__Wire__RetryLease *msg);

#endif
