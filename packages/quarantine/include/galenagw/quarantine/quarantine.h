/**
 * @defgroup quarantine Quarantine
 * @brief Requests that are suspected of terminating the endpoints that run
 * them.
 *
 * A request that terminates the process that runs it, a query of death, is
 * retried until all endpoints have terminated. Each process records which
 * requests were in flight when endpoints terminated, from its own attempts and
 * from its peers, and refuses a request after three terminations.
 *
 * Most requests in flight at a termination are harmless. One complete answer
 * to a request clears it, whichever endpoint gave it. Simultaneous
 * terminations of most of a failure domain, such as a rack that loses power,
 * count as one, unless a request that is not known to have completed in the
 * last minutes was in flight at most of them. A request that was in flight at
 * few of the endpoints that terminated is not treated as the cause. A
 * termination counts only for the request with the most terminations among
 * those in flight at it, unless several are tied. After the quarantine term,
 * randomly selected processes retry the request, one attempt at a time. The
 * number of tracked requests is bounded, and entries expire.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_QUARANTINE_H
#define GALENAGW_QUARANTINE_QUARANTINE_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/digest.h"
#include "galenagw/quarantine/quarantine_options.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most requests that are tracked. If there are more, requests with at most
 * one termination and no stored record are removed first. */
#define GW_QUARANTINE_REQUESTS_MAX 2048
/** Most requests that are recorded for one termination; an endpoint runs fewer
 * at once. */
#define GW_TERMINATION_REQUESTS_MAX 256

/** The termination of an endpoint's process. Plain data; the array of requests
 * is borrowed. */
typedef struct {
    uint64_t endpoint;   /**< hash of its id and its start; never 0 */
    uint64_t group;      /**< hash of its service and failure domain */
    unsigned group_size; /**< endpoints in the group, including this one; 0:
                              not known */
    GwTime at;           /**< time of the termination */
    const GwDigest *requests; /**< requests in flight there */
    size_t n_requests;        /**< number of @c requests */
} GwEndpointTermination;

/** Hash of the group of a pool's or service's endpoints in a failure domain.
 */
uint64_t GwQuarantine_Group(const char *pool, const char *failure_domain);
/** An on_changed callback that only writes a log line. */
void GwQuarantine_WarnChanged(void *user, const GwDigest *request,
                              unsigned terminations, bool quarantined);

GwQuarantine *GwQuarantine_New(const GwQuarantineOptions *options);
void GwQuarantine_Delete(GwQuarantine *quarantine);

/** Sets the number of processes among which retries are selected; 1 until
 * set. */
void GwQuarantine_SetProcesses(GwQuarantine *quarantine, unsigned processes);
/** Whether no request is tracked, so that no digest need be computed. */
bool GwQuarantine_IsEmpty(const GwQuarantine *quarantine);
/**
 * Records a termination. If it is known already, only those of its requests
 * that are not yet recorded for it are added, and the earlier of the two times
 * is used.
 * @param[out] new_requests those of its requests that were new; must have room
 * for all of them
 * @param[out] is_new whether the termination itself was new
 * @return number of @p new_requests
 */
size_t GwQuarantine_AddTermination(GwQuarantine *quarantine,
                                   const GwEndpointTermination *termination,
                                   GwTime now, GwDigest *new_requests,
                                   bool *is_new);
/** @return when this endpoint terminated; 0 if no termination is known */
GwTime GwQuarantine_TerminatedAt(const GwQuarantine *quarantine,
                                 uint64_t endpoint);
/**
 * Records that the request got a complete answer at @p at, which clears its
 * earlier terminations. Called for each complete answer, also while no request
 * is tracked.
 * @return whether that cleared a termination or a stored quarantine, or
 * released the request
 */
bool GwQuarantine_AddCompletion(GwQuarantine *quarantine,
                                const GwDigest *request, GwTime at,
                                GwTime now);
/** @return time of the last known completion of a request with terminations;
 * 0: none */
GwTime GwQuarantine_CompletedAt(const GwQuarantine *quarantine,
                                const GwDigest *request);
/**
 * Puts the request under quarantine until @p until, but at most for
 * GW_QUARANTINE_TERM_MAX, because of a stored record that another process
 * wrote and that may have outlived it.
 */
void GwQuarantine_Hold(GwQuarantine *quarantine, const GwDigest *request,
                       GwTime until, GwTime now);
/** @return time for which the request must not be sent; 0: it may be sent */
GwTime GwQuarantine_TimeLeft(const GwQuarantine *quarantine,
                             const GwDigest *request, GwTime now);
/** Like GwQuarantine_TimeLeft; if the result is 0 and the request was under
 * quarantine, records that a retry has begun. No other retry begins here
 * before this one has an outcome or times out. */
GwTime GwQuarantine_Admit(GwQuarantine *quarantine, const GwDigest *request,
                          GwTime now);
/** @return number of endpoints that terminated while running the request since
 * its last completion */
unsigned GwQuarantine_Terminations(const GwQuarantine *quarantine,
                                   const GwDigest *request);
/** Removes expired requests. */
void GwQuarantine_Sweep(GwQuarantine *quarantine, GwTime now);
/** Calls @p fn with the last known completions of requests with several
 * terminations, at most @p max_requests times. */
void GwQuarantine_ForEachCompleted(
    const GwQuarantine *quarantine, size_t max_requests,
    void (*fn)(void *user, const GwDigest *request, GwTime at), void *user);
/**
 * Calls @p fn with the stored terminations, each with one request, to send
 * them to a peer that may not know them. Requests with several terminations
 * come first; at most @p max_rows calls are made.
 */
void GwQuarantine_ForEach(const GwQuarantine *quarantine, size_t max_rows,
                          void (*fn)(void *user,
                                     const GwEndpointTermination *termination),
                          void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
