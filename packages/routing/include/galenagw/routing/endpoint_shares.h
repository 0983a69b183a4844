/**
 * @defgroup endpoint_shares Shares of an endpoint's rate limit
 * @brief Divides the limits of endpoints between processes by their demand.
 *
 * Without this module each of n processes uses an equal part of a limit, its
 * base. One agent, the share owner of the endpoint, receives the demand of the
 * processes that are connected to it, and answers with the part of the limit
 * that each of them may use. It divides only the sum of their bases, so
 * processes that it does not know, or that have another share owner, keep
 * their own bases. A part that a process gives up is granted to another one
 * when the first process has confirmed that it uses less, or its grant has
 * expired. The sum of all parts is therefore at most the sum of the bases,
 * also after lost messages and restarts of the share owner.
 * @{
 */
#ifndef GALENAGW_ROUTING_ENDPOINT_SHARES_H
#define GALENAGW_ROUTING_ENDPOINT_SHARES_H

#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Interval of the reports of a process. */
#define GW_ENDPOINT_DEMAND_INTERVAL (500 * GW_MILLISECOND)
/** How long a part that exceeds the base is valid, from the report that it
 * answers: a lost message and a delay do not end it. */
#define GW_ENDPOINT_GRANT_TERM (1500 * GW_MILLISECOND)
/** How long after its last report a process uses at most the part granted to
 * it, even if its base is larger. In this time the share owner stops counting
 * the process (one grant term after it received the report), the parts that it
 * granted to others expire (another grant term), and a report may have been
 * delayed by a session that is not yet considered silent (2.4 s). */
#define GW_ENDPOINT_HOLD_TERM (6 * GW_SECOND)
/** Maximum number of endpoints whose limits one process reports on. It bounds
 * the messages; for others it uses its base. */
#define GW_ENDPOINT_DEMANDS_MAX 64

/** Demand of one process for an endpoint; parts of the limit, from 0 to 1. */
typedef struct {
    double want;        /**< part that the process could use */
    double base;        /**< part that it uses without a share owner */
    double share;       /**< part that it uses now */
    GwTime reported_at; /**< by the clock of the process */
    GwTime granted_at;  /**< time of the report that the last grant in use
                             answered; 0: none */
} GwEndpointDemand;

/** The state of a share owner. */
typedef struct GwEndpointShares GwEndpointShares;

/** @param now start of this process */
GwEndpointShares *GwEndpointShares_New(GwTime now);
void GwEndpointShares_Delete(GwEndpointShares *shares);
/**
 * Answer the report of a process.
 * @param process identity of the process, the same after a restart
 * @return part of the limit that the process may use; negative: none is
 *   assigned, because too many endpoints or processes are known or the report
 *   is invalid
 */
double GwEndpointShares_Answer(GwEndpointShares *shares, const char *endpoint,
                               uint64_t process,
                               const GwEndpointDemand *demand, GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
