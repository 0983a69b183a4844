/**
 * @defgroup metrics Metrics server
 * @brief Serves the counters of a process over HTTP at a separate address.
 * @{
 */
#ifndef GALENAGW_HTTP_METRICS_H
#define GALENAGW_HTTP_METRICS_H

#include "galenagw/base/counters.h"
#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Answer every request at @p address with @p counters, which must outlive the
 * server.
 * @return NULL with @p err; free with GwHttpServer_Delete
 */
GwHttpServer *GwMetrics_Serve(GwLoop *loop, const GwAddress *address,
                              GwCounters *counters, GwError *err);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
