/* Detects terminations of endpoint processes, and reports the requests that
 * were in flight there to the quarantine and to peers. */
#ifndef GALENAGW_GATEWAY_TERMINATIONS_H
#define GALENAGW_GATEWAY_TERMINATIONS_H

#include "gateway_private.h"
#include "upstream.h"

/* How this gateway learned of a termination. */
typedef enum {
    GW_TERMINATION_DOWN = 0,  /* reported by the endpoint's agent, to all
                                 gateways that are connected to the agent */
    GW_TERMINATION_REFUSED,   /* the address refuses connections */
    GW_TERMINATION_REPLACED,  /* another incarnation answers at the address */
    GW_TERMINATION_RESTARTED, /* a later incarnation of the id is known */
    GW_TERMINATION_REMOVED,   /* removed from the instance list */
    GW_TERMINATION_PEER,      /* reported by a peer */
    GW_TERMINATION_CAUSES
} GwTerminationCause;

extern const char *const GwTerminationCause_Names[GW_TERMINATION_CAUSES];

/* Callback of the quarantine: logs that a request or part was quarantined or
 * released, and removes a released one from the store. */
void GwTerminations_OnQuarantineChanged(void *gateway,
                                        const GwQuarantineChange *change);
/* Adds the suspect to the log event that was begun: a part by its id as
 * callers give it, a request by its digest. */
void GwTerminations_LogSuspect(GwEventLog *log, GwSuspectKind kind,
                               const GwDigest *suspect);
/* Callback of connection pools: the endpoint of @p pool refuses connections.
 */
void GwTerminations_OnConnectionRefused(void *gateway, GwUpstreamPool *pool);
/* @p instance closed the connection of @p request before the answer was
 * complete, so its process may have terminated. The request is recorded for
 * GW_BROKEN_REQUESTS_RETENTION, or until the termination is known, unless the
 * instance is leaving. */
void GwTerminations_AddBrokenRequest(GwGateway *gateway,
                                     const GwInstance *instance,
                                     const GwRequestIdentity *request);
/* The process of @p instance has terminated. Ignored if the instance is
 * leaving. */
void GwTerminations_OnTerminated(GwGateway *gateway,
                                 const GwInstance *instance,
                                 GwTerminationCause cause);
/* @p instance was removed from the list, or superseded by a later incarnation,
 * and has no requests in flight. If it broke requests shortly before, it is
 * treated as terminated. */
void GwTerminations_OnInstanceFreed(GwGateway *gateway,
                                    const GwInstance *instance);
/* A peer reported a termination. */
void GwTerminations_OnPeerUpdate(GwGateway *gateway,
                                 const GwEndpointTermination *termination);
/* The request received a complete answer with this HTTP status. */
void GwTerminations_OnCompletion(GwGateway *gateway,
                                 const GwRequestIdentity *request, int status);

#endif
