/* Attempts that are abandoned before they end, because the endpoint is down,
 * does not answer or has restarted, or because its weights are outdated and
 * close to the bound after which no request may start on them. */
#ifndef GALENAGW_GATEWAY_REQUEST_ABANDON_H
#define GALENAGW_GATEWAY_REQUEST_ABANDON_H

#include "request_private.h"

/* Initialise the timers of request_timers.h. */
void GwRequestAbandon_Init(GwRequest *request);
/* Implement the functions of similar names in request.h. */
void GwRequestAbandon_EndpointLost(GwGateway *gateway,
                                   const GwInstance *instance,
                                   bool is_reported_down);
void GwRequestAbandon_EarlierIncarnations(GwGateway *gateway);
void GwRequestAbandon_WeightsNamed(GwGateway *gateway);

#endif
