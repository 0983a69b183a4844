/**
 * @defgroup retry_slack Retry slack
 * @brief Leases the slack of the retry budgets to entries.
 *
 * The slack (GwBudgetBound.slack) is a number of retries in one window that
 * all entries together may send to a service beyond the ratio of their
 * requests. It is divided equally between a few agents, the slack owners. An
 * entry that may need retries leases some of an owner's part. A lease is valid
 * for GW_RETRY_LEASE_TERM and counts as used unless the entry returns it.
 *
 * So the bound holds whatever happens to entries: one that is terminated,
 * suspended or unreachable holds at most leases that were counted, and one
 * that starts holds none. An owner that starts has no record of what it leased
 * before, and grants nothing for as long as that may count.
 * @{
 */
#ifndef GALENAGW_ROUTING_RETRY_SLACK_H
#define GALENAGW_ROUTING_RETRY_SLACK_H

#include <stdint.h>

#include "galenagw/routing/budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most owners among which the slack is divided. */
#define GW_RETRY_OWNERS_MAX 8
/** Validity of a lease, from when the entry asked for it. A longer term lowers
 * the slack that can be used (see GwRetrySlack_Window), a shorter one costs
 * more messages. */
#define GW_RETRY_LEASE_TERM (2 * GW_SECOND)

/** An entry's request for a lease; it ends the entry's earlier lease from the
 * same owner. */
typedef struct {
    uint32_t wanted;   /**< retries; 0: the earlier lease is only returned */
    uint32_t unused;   /**< retries of the earlier lease that are returned */
    GwTime granted_at; /**< of the earlier lease; 0: none */
    GwTime asked_at;   /**< by the clock of the entry */
    uint32_t owners;   /**< number of owners that the entry knows */
} GwRetryLeaseRequest;

/** The owner's answer. */
typedef struct {
    uint32_t granted;  /**< retries */
    GwTime granted_at; /**< by the clock of the owner */
    GwTime asked_at;   /**< of the request */
} GwRetryLeaseGrant;

/** One owner's part of the slack of all services. */
typedef struct GwRetrySlack GwRetrySlack;

GwRetrySlack *GwRetrySlack_New(const GwBudgetBound *bound, GwTime now);
void GwRetrySlack_Delete(GwRetrySlack *slack);
/**
 * Time for which a granted retry counts: it may be used until the lease ends,
 * and is then in the window of the bound.
 */
GwTime GwRetrySlack_Window(const GwBudgetBound *bound);
/**
 * Sets the number of owners.
 * @param owners 0: this process is not one of them
 */
void GwRetrySlack_SetOwners(GwRetrySlack *slack, unsigned owners, GwTime now);
/** Answers the request of an entry for retries of @p service. */
GwRetryLeaseGrant GwRetrySlack_Answer(GwRetrySlack *slack, const char *service,
                                      const GwRetryLeaseRequest *request,
                                      GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
