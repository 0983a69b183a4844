/* What the gateway knows of an engine for the decisions on outdated weights.
 */
#ifndef GALENAGW_GATEWAY_OUTDATED_ENGINE_H
#define GALENAGW_GATEWAY_OUTDATED_ENGINE_H

#include "gateway_private.h"
#include "galenagw/routing/outdated.h"

GwOutdatedEngine GwOutdatedEngine_Of(const GwGateway *gateway,
                                     const GwInstance *instance, GwTime now);

#endif
