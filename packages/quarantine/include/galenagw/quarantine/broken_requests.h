/**
 * @defgroup broken_requests Broken requests
 * @brief Requests whose connection was closed before the answer was complete,
 * until the cause is known.
 *
 * A closed connection does not show whether the endpoint's process terminated:
 * an endpoint that fails single requests, a network that resets connections
 * and a crash look alike. A broken request is stored for some seconds. It
 * counts as in flight at a termination only if its endpoint is found to have
 * terminated meanwhile.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_BROKEN_REQUESTS_H
#define GALENAGW_QUARANTINE_BROKEN_REQUESTS_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/in_flight.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How long a broken request is stored. A crash is known at the latest when
 * the instance list drops the endpoint: after three missed heartbeats and the
 * delay of reading the list. */
#define GW_BROKEN_REQUESTS_RETENTION (6 * GW_SECOND)
/** Most requests that are stored; the oldest are dropped first. */
#define GW_BROKEN_REQUESTS_MAX 1024

typedef struct GwBrokenRequests GwBrokenRequests;

GwBrokenRequests *GwBrokenRequests_New(void);
void GwBrokenRequests_Delete(GwBrokenRequests *requests);
/** Records that @p endpoint closed the connection of @p request before the
 * answer was complete. */
void GwBrokenRequests_Add(GwBrokenRequests *requests, uint64_t endpoint,
                          const GwRequestIdentity *request, GwTime now);
/**
 * Removes and returns the broken requests of @p endpoint, which has
 * terminated.
 * @param[out] at time when the first of them broke; @p now if there is none
 * @return array of GwRequestIdentity, to be released with g_array_unref
 */
GArray *GwBrokenRequests_Take(GwBrokenRequests *requests, uint64_t endpoint,
                              GwTime now, GwTime *at);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
