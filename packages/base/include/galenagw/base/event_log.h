/**
 * @defgroup event_log Event log
 * @brief One JSON line for each decision and each change of belief.
 *
 * Lines are collected and written without blocking. A bound on lines a
 * second and on bytes not yet taken keeps a slow reader, or a storm of
 * events, from holding up requests; what was left out is counted and told
 * with the next line.
 * @{
 */
#ifndef GALENAGW_BASE_EVENT_LOG_H
#define GALENAGW_BASE_EVENT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwEventLog GwEventLog;

/** Construction options; zero means the default. */
typedef struct {
    int fd;               /**< descriptor to write to; made non-blocking */
    unsigned lines_per_s; /**< default 300 */
    size_t max_pending;   /**< bytes; default 256 KiB */
} GwEventLogOptions;

GwEventLog *GwEventLog_New(const GwEventLogOptions *options);
/** Write what can be written, and free. */
void GwEventLog_Delete(GwEventLog *log);

/** Begin a line; a NULL @p log takes nothing. @p id may be NULL. */
void GwEvent_Begin(GwEventLog *log, const char *event, const char *id);
void GwEvent_Text(GwEventLog *log, const char *name, const char *value);
void GwEvent_Number(GwEventLog *log, const char *name, int64_t value);
/** A finite number, written with three decimal places. */
void GwEvent_Real(GwEventLog *log, const char *name, double value);
/** An interval, told in milliseconds with three digits. */
void GwEvent_Time(GwEventLog *log, const char *name, GwTime value);
void GwEvent_End(GwEventLog *log);

/** Write what the reader takes now. Call it every so often. */
void GwEventLog_Flush(GwEventLog *log);
/** Lines left out so far. */
uint64_t GwEventLog_Dropped(const GwEventLog *log);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
