/* The software version that began a request's stream.
 *
 * Several versions of the endpoints' software may serve one service, and a
 * stream may go on only at the version that began it. While there are several,
 * the agents are told which version began a stream, so that each gateway can
 * look it up; see request_origin.h. */
#ifndef GALENAGW_GATEWAY_REQUEST_SOFTWARE_H
#define GALENAGW_GATEWAY_REQUEST_SOFTWARE_H

#include "request_private.h"

/* Maximum number of streams whose origins a gateway stores. */
#define GW_GATEWAY_ORIGINS_MAX 16384

/* Whether the request may be sent to @p instance: its stream has not begun, or
 * has begun at the software version of @p instance. */
bool GwRequestSoftware_Allows(const GwRequest *request,
                              const GwInstance *instance);
/* A listed endpoint of @p service that has the software version that began the
 * stream, one that is not draining if there is any; or NULL. */
const GwInstance *GwRequestSoftware_Endpoint(const GwRequest *request,
                                             const char *service);
/* The number of software versions by which the stream may have begun.
 * @param[out] only the only one; 0: there are several, or it is unknown */
unsigned GwRequestSoftware_CountVersions(const GwRequest *request,
                                         uint64_t *only);
/* The first event of its stream is about to be sent to the caller. */
void GwRequestSoftware_Begun(GwRequest *request);
/* The request ends before its stream is complete: the caller may take it up at
 * another gateway. */
void GwRequestSoftware_Interrupted(const GwRequest *request);
/* Periodic: if software versions have appeared, send the origins of recent
 * streams to the agents. They were not sent while there was one version. */
void GwRequestSoftware_CheckVersions(GwGateway *gateway);

#endif
