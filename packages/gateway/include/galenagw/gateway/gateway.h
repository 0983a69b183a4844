/**
 * @defgroup gateway Gateway
 * @brief The program that callers reach: forwards requests to endpoints.
 *
 * It keeps nothing that must last. Bytes of callers and endpoints pass
 * unchanged but for the headers of one connection and those that the system
 * sets.
 * @{
 */
#ifndef GALENAGW_GATEWAY_GATEWAY_H
#define GALENAGW_GATEWAY_GATEWAY_H

#include "galenagw/base/counters.h"
#include "galenagw/gateway/options.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwGateway GwGateway;

/** @return NULL with @p err. */
GwGateway *GwGateway_New(GwLoop *loop, const GwGatewayOptions *options,
                         GwError *err);
void GwGateway_Delete(GwGateway *gateway);
/** Not ready any more; finish what is open, then on_stopped. */
void GwGateway_Drain(GwGateway *gateway);
/** Take the bounds of new settings; addresses stay as they were. */
void GwGateway_Reload(GwGateway *gateway, const GwDeployment *deployment);

bool GwGateway_IsReady(const GwGateway *gateway);
const GwCounters *GwGateway_Counters(const GwGateway *gateway);
/** Ports in use, also where 0 was asked for. */
int GwGateway_CallerPort(const GwGateway *gateway);
int GwGateway_ReadinessPort(const GwGateway *gateway);
int GwGateway_MetricsPort(const GwGateway *gateway);
int GwGateway_PeerPort(const GwGateway *gateway);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
