/**
 * @defgroup retry_leases Retry leases
 * @brief The leases of one entry on the slack of the retry budgets (see
 * retry_slack).
 *
 * Leases are requested ahead, while the ratio of requests allows few further
 * retries, so that no retry waits for an answer.
 * @{
 */
#ifndef GALENAGW_ROUTING_RETRY_LEASES_H
#define GALENAGW_ROUTING_RETRY_LEASES_H

#include "galenagw/routing/retry_slack.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Callbacks. */
typedef struct {
    /** Sends @p request to the slack owner with the address hash @p owner.
     * @return false if it can't be reached */
    bool (*send_request)(void *user, uint64_t owner, const char *service,
                         const GwRetryLeaseRequest *request);
} GwRetryLeasesOps;

typedef struct GwRetryLeases GwRetryLeases;

GwRetryLeases *GwRetryLeases_New(const GwRetryLeasesOps *ops, void *user);
void GwRetryLeases_Delete(GwRetryLeases *leases);
/** Sets the slack owners. The leases of others end.
 * @param owners address hashes; at most GW_RETRY_OWNERS_MAX are used */
void GwRetryLeases_SetOwners(GwRetryLeases *leases, const uint64_t *owners,
                             unsigned n);
/**
 * Requests leases for @p service, renews them, or returns them if not
 * @p wanted. To be called at requests and retries, and several times in
 * GW_RETRY_LEASE_TERM.
 */
void GwRetryLeases_Refresh(GwRetryLeases *leases, const char *service,
                           bool wanted, GwTime now);
/** Stores what @p owner has granted. */
void GwRetryLeases_OnGrant(GwRetryLeases *leases, uint64_t owner,
                           const char *service, const GwRetryLeaseGrant *grant,
                           GwTime now);
/** Takes one retry from the leases. @return false if there is none */
bool GwRetryLeases_Take(GwRetryLeases *leases, const char *service,
                        GwTime now);
/** Retries that are leased for @p service. */
unsigned GwRetryLeases_Count(const GwRetryLeases *leases, const char *service,
                             GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
