/**
 * @defgroup log Logs
 * @brief GLib structured logs, one line each, with the name of the component.
 *
 * A source file defines GW_LOG_PART, the name of its component, before it
 * includes this header. The name becomes the GLib log domain of its messages.
 * @{
 */
#ifndef GALENAGW_BASE_LOG_H
#define GALENAGW_BASE_LOG_H

#include <glib.h>

#include "galenagw/base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Component that the messages of a source file belong to. */
#ifndef GW_LOG_PART
#define GW_LOG_PART "galenagw"
#endif

/** Log a message with printf-style arguments. */
#define GW_LOG_(level, ...)                                                   \
    g_log_structured(GW_LOG_PART, level, "MESSAGE", __VA_ARGS__)
#define GW_INFO(...) GW_LOG_(G_LOG_LEVEL_INFO, __VA_ARGS__)
#define GW_WARN(...) GW_LOG_(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define GW_DEBUG(...) GW_LOG_(G_LOG_LEVEL_DEBUG, __VA_ARGS__)

/**
 * Write logs to standard error, one line each, with the time in UTC and the
 * component.
 * @param level least severe level to write: "error", "warning", "info" or
 * "debug"
 * @return false, with @p err set, if @p level is none of these
 */
bool GwLog_Init(const char *level, GwError *err);

#ifdef __cplusplus
}
#endif

/** @} */
#endif
