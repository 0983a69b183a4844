/**
 * @defgroup gateway Gateway
 * @brief Accepts requests of callers over HTTP and forwards them to endpoints.
 *
 * A gateway has no state that must survive a restart. Requests and answers are
 * forwarded unchanged, except for hop-by-hop headers and the headers that the
 * system sets.
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

/**
 * Start a gateway; it serves while @p loop runs.
 * @return NULL with @p err set if a port cannot be opened
 */
GwGateway *GwGateway_New(GwLoop *loop, const GwGatewayOptions *options,
                         GwError *err);
void GwGateway_Delete(GwGateway *gateway);
/**
 * Start to drain: report as not ready, finish the requests in progress, then
 * call on_stopped.
 */
void GwGateway_Drain(GwGateway *gateway);
/** Apply the bounds of new settings; addresses do not change. */
void GwGateway_Reload(GwGateway *gateway, const GwDeployment *deployment);

/** Whether routes are known and no drain was started. */
bool GwGateway_IsReady(const GwGateway *gateway);
const GwCounters *GwGateway_Counters(const GwGateway *gateway);
/** The port on which requests are accepted, also if the settings have 0. */
int GwGateway_CallerPort(const GwGateway *gateway);
/** The port of the readiness check, also if the settings have 0. */
int GwGateway_ReadinessPort(const GwGateway *gateway);
/** The port of the metrics, also if the settings have 0. */
int GwGateway_MetricsPort(const GwGateway *gateway);
/** The port on which peers connect, also if the settings have 0. */
int GwGateway_PeerPort(const GwGateway *gateway);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
