/**
 * @defgroup sidecar Sidecar
 * @brief The process beside one model engine.
 *
 * It is the only process that sends load orders to the engine, so orders
 * cannot conflict. It polls the engine's report, which is current and causes
 * no network traffic on this machine, and broadcasts to entries the engine's
 * load and weights. Before the engine starts to refuse requests, it broadcasts
 * that new weights are about to be loaded.
 * @{
 */
#ifndef GALENAGW_SIDECAR_SIDECAR_H
#define GALENAGW_SIDECAR_SIDECAR_H

#include "galenagw/adapter/deployment.h"
#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwSidecar GwSidecar;

/** Construction options. */
typedef struct {
    const GwDeployment *deployment; /**< used only by GwSidecar_New */
    GwEventLog *log;                /**< or NULL; outlives the sidecar */
} GwSidecarOptions;

/** Start a sidecar. @return NULL with @p err. */
GwSidecar *GwSidecar_New(GwLoop *loop, const GwSidecarOptions *options,
                         GwError *err);
void GwSidecar_Delete(GwSidecar *sidecar);
const GwCounters *GwSidecar_Counters(const GwSidecar *sidecar);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
