/**
 * @defgroup endpoint_limits Endpoint rate limits
 * @brief Rate limits that endpoints state in their answers.
 *
 * A limit is set by one incarnation of an endpoint. It restricts the requests
 * that all processes of the router combined send to this incarnation. An
 * answer that states no limit lifts it, if the request of this answer was sent
 * after the answer with the limit was received; answers to earlier requests
 * may have been written before the limit was set. A limit expires after
 * GW_ENDPOINT_LIMIT_TERM. Processes forward changes to each other. Changes of
 * one incarnation's limit are ordered by version, which the process that
 * received the answer assigns.
 *
 * Each process enforces its share of the limit locally, so that no request
 * waits for another process. The share is an equal part, its base, unless a
 * share owner has granted another one (see endpoint_shares). In any period of
 * four seconds, the requests that all processes combined send exceed the limit
 * by at most about as many as the limit allows in one second, plus a few
 * requests. This holds regardless of the number of processes and of when they
 * start, for limits of at least 0.1 requests per second. Lower limits are
 * treated as 0.1 requests per second, because only an answer can lift them.
 * @{
 */
#ifndef GALENAGW_ROUTING_ENDPOINT_LIMITS_H
#define GALENAGW_ROUTING_ENDPOINT_LIMITS_H

#include "galenagw/routing/endpoint_shares.h"
#include "galenagw/routing/instances.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Rate of an endpoint without a limit. */
#define GW_ENDPOINT_UNLIMITED (-1.0)
/** How long a limit is valid after the last answer that stated it. Limits
 * expire so that an erroneous limit does not apply indefinitely. */
#define GW_ENDPOINT_LIMIT_TERM (600 * GW_SECOND)
/** Maximum number of endpoints whose limits are stored. */
#define GW_ENDPOINT_LIMITS_MAX 1024

typedef struct GwEndpointLimits GwEndpointLimits;

/** The limit of one endpoint; the string is borrowed. */
typedef struct {
    const char *id;
    int64_t incarnation; /**< see GwInstanceRow */
    double rate;         /**< requests per second, of all processes combined;
                              GW_ENDPOINT_UNLIMITED: lifted */
    GwTime received_at;  /**< when the answer was received */
    int64_t version;     /**< increases with each change; see
                              GwEndpointLimits_Note */
} GwEndpointLimit;

/** @param seed for random numbers. The time until a process may send its first
 *   request under a limit is random, so that processes that receive a limit at
 *   the same time do not all send at the same time. Therefore the seed should
 *   differ between processes. */
GwEndpointLimits *GwEndpointLimits_New(uint32_t seed);
void GwEndpointLimits_Delete(GwEndpointLimits *limits);
/**
 * Store a limit that an endpoint stated in its answer to a request of this
 * process, and assign its version. If the rate equals the stored rate of the
 * same incarnation, the limit gets the stored version. Otherwise the version
 * is the maximum of @p unix_ms and one more than the stored version of the
 * same incarnation. The time of day makes versions of different processes
 * comparable without communication.
 * @param[in,out] limit its version is set
 * @param unix_ms current time, in milliseconds since the Unix epoch
 * @return whether the stored limit changed
 */
bool GwEndpointLimits_Note(GwEndpointLimits *limits, GwEndpointLimit *limit,
                           int64_t unix_ms, GwTime now);
/**
 * Store a limit received from another process. The limit is ignored in these
 * cases: its rate is infinite or not a number; it has expired; its version is
 * negative or too high to be incremented; its incarnation or version is
 * earlier than the stored one; or the endpoint has no stored limit and
 * GW_ENDPOINT_LIMITS_MAX limits are in effect. Of two limits with the same
 * version, the one with the lower rate is stored, and any limit replaces
 * GW_ENDPOINT_UNLIMITED.
 * @return whether the stored limit changed
 */
bool GwEndpointLimits_Set(GwEndpointLimits *limits,
                          const GwEndpointLimit *limit, GwTime now);
/**
 * Whether an answer of @p instance that states no limit lifts the stored one:
 * true if a limit is in effect and @p sent_at, when the request was sent, is
 * after the answer with the limit was received.
 */
bool GwEndpointLimits_ShouldLift(const GwEndpointLimits *limits,
                                 const GwInstance *instance, GwTime sent_at,
                                 GwTime now);
/** Requests per second of all processes combined, or GW_ENDPOINT_UNLIMITED. */
double GwEndpointLimits_Rate(const GwEndpointLimits *limits,
                             const GwInstance *instance, GwTime now);
/**
 * Earliest time, not before @p now, at which this process may send a request
 * to @p instance.
 * @param processes number of processes that share the limit, with this one
 */
GwTime GwEndpointLimits_NextSendAt(GwEndpointLimits *limits,
                                   const GwInstance *instance,
                                   unsigned processes, GwTime now);
/** Count a request to @p instance against this process's share. */
void GwEndpointLimits_Consume(GwEndpointLimits *limits,
                              const GwInstance *instance, unsigned processes,
                              GwTime now);
/** Part of the endpoint's limit that this process uses; 1 without a limit. */
double GwEndpointLimits_Part(const GwEndpointLimits *limits,
                             const GwInstance *instance, unsigned processes,
                             GwTime now);
/**
 * Report this process's demand to the endpoint's share owner, to which @p
 * demand is to be sent. To be called every GW_ENDPOINT_DEMAND_INTERVAL.
 * @param share_owner identity of the share owner
 * @param[out] demand set if the result is true
 * @return false if nothing may be sent: no limit is in effect, or the
 *   process still uses what another share owner has granted
 */
bool GwEndpointLimits_Report(GwEndpointLimits *limits,
                             const GwInstance *instance, unsigned processes,
                             uint64_t share_owner, GwTime now,
                             GwEndpointDemand *demand);
/**
 * Store the part of the limit of endpoint @p id that its share owner has
 * granted. Ignored if it is out of date.
 * @param reported_at time of the report that was answered
 */
void GwEndpointLimits_SetShare(GwEndpointLimits *limits, const char *id,
                               uint64_t share_owner, double part,
                               GwTime reported_at, GwTime now);
/** Whether any limit is in effect. */
bool GwEndpointLimits_AreInEffect(const GwEndpointLimits *limits, GwTime now);
/** Call @p fn for each limit in effect, without lifted and expired ones. */
void GwEndpointLimits_Each(const GwEndpointLimits *limits, GwTime now,
                           void (*fn)(void *user,
                                      const GwEndpointLimit *limit),
                           void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
