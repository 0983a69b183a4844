/**
 * @defgroup sidecar Sidecar
 * @brief The program beside one model engine.
 *
 * It is the only one that gives the engine orders, so no two can disagree.
 * It reads the engine's report, which is fresh and free from here, and tells
 * the entries: load, weights, and that new weights are about to be loaded,
 * before the engine starts to turn requests away.
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
    const GwDeployment *deployment; /**< copied where it is kept */
    GwEventLog *log;                /**< or NULL; outlives the sidecar */
} GwSidecarOptions;

/** @return NULL with @p err. */
GwSidecar *GwSidecar_New(GwLoop *loop, const GwSidecarOptions *options,
                         GwError *err);
void GwSidecar_Delete(GwSidecar *sidecar);
const GwCounters *GwSidecar_Counters(const GwSidecar *sidecar);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
