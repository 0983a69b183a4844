/* Ends of endpoints as this gateway sees them, and the requests under them. */
#ifndef GALENAGW_GATEWAY_ENDS_H
#define GALENAGW_GATEWAY_ENDS_H

#include "gateway_private.h"
#include "upstream.h"

/* Log what the quarantine decides; for its options. */
void GwEnds_OnChanged(void *gateway, const GwDigest *request, unsigned ends,
                      bool quarantined);
/* Nothing listens at the endpoint of @p pool; for its options. */
void GwEnds_OnRefused(void *gateway, GwUpstreamPool *pool);
/* @p instance broke @p request off: its process may have ended. */
void GwEnds_Broke(GwGateway *gateway, const GwInstance *instance,
                  const GwDigest *request);
/* The process of @p instance has ended; @p why is for the log. */
void GwEnds_Ended(GwGateway *gateway, const GwInstance *instance,
                  const char *why);
/* Nothing refers to @p instance any more: what it broke off just before was
 * its end. */
void GwEnds_Removed(GwGateway *gateway, const GwInstance *instance);
/* A peer tells that an endpoint has ended. */
void GwEnds_Told(GwGateway *gateway, const GwEndpointEnd *end);
/* @p request had a whole answer. */
void GwEnds_Sound(GwGateway *gateway, const GwDigest *request);

#endif
