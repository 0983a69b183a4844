/* The software version that began a request's stream.
 *
 * Several versions of the endpoints' software may serve one service, and a
 * stream may go on only at the version that began it. If a caller takes a
 * stream up again, the version is looked up: at this gateway, then at the
 * agents that store the origins of streams. It is unnecessary where only one
 * version can have begun the stream. */
#ifndef GALENAGW_GATEWAY_REQUEST_ORIGIN_H
#define GALENAGW_GATEWAY_REQUEST_ORIGIN_H

#include "request_private.h"

/* Maximum number of streams whose origins a gateway stores. */
#define GW_GATEWAY_ORIGINS_MAX 16384

/* Look up the version that began the stream which the request takes up, if it
 * takes up one; then go on with the request, or refuse it. */
void GwRequestOrigin_Start(GwRequest *request);
/* Whether the request may be sent to @p instance: its stream has not begun, or
 * has begun at the software version of @p instance. */
bool GwRequestOrigin_Allows(const GwRequest *request,
                            const GwInstance *instance);
/* The first event of its stream is about to be sent to the caller. */
void GwRequestOrigin_Begun(GwRequest *request);
/* The request ends before its stream is complete: the caller may take it up at
 * another gateway. */
void GwRequestOrigin_Interrupted(const GwRequest *request);
/* Periodic: if software versions have appeared, send the origins of recent
 * streams to the agents. They were not sent while there was one version. */
void GwRequestOrigin_CheckVersions(GwGateway *gateway);

#endif
