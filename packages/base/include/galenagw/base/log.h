/**
 * @defgroup log Logs
 * @brief GLib structured logs with a fixed prefix for each part.
 *
 * Each source file defines `G_LOG_DOMAIN`-like prefix through GW_LOG_PART
 * before including this header. Sentences are short.
 * @{
 */
#ifndef GALENAGW_BASE_LOG_H
#define GALENAGW_BASE_LOG_H

#include <glib.h>

#include "galenagw/base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

#ifndef GW_LOG_PART
#define GW_LOG_PART "galenagw"
#endif

#define GW_LOG_(level, ...)                                                   \
    g_log_structured(GW_LOG_PART, level, "MESSAGE", __VA_ARGS__)
#define GW_INFO(...) GW_LOG_(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define GW_WARN(...) GW_LOG_(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define GW_DEBUG(...) GW_LOG_(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

/**
 * Send logs to standard error, one line each, prefixed with the part.
 * @param level "error", "warning", "info" or "debug"
 */
bool GwLog_Init(const char *level, GwError *err);

#ifdef __cplusplus
}
#endif

/** @} */
#endif
