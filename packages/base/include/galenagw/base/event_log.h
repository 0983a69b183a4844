/**
 * @defgroup event_log Event log
 * @brief One JSON line for each decision and each change in what the process
 * has recorded about its surroundings: peers, endpoints, store and lists.
 *
 * Lines are buffered and written without blocking. Limits on lines per second
 * and on buffered bytes ensure that neither a slow reader nor a burst of
 * events delays requests. Lines above the limits are dropped; the next line
 * that is logged reports their number in `lines_left_out`.
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

/** Construction options; 0 means the default, except for `fd`. */
typedef struct {
    int fd; /**< file descriptor to write to; set to non-blocking mode */
    unsigned lines_per_s;     /**< limit of lines per second; default 300 */
    size_t max_pending_bytes; /**< limit of the buffer; default 256 KiB */
} GwEventLogOptions;

/** Create a log; the descriptor stays the caller's. */
GwEventLog *GwEventLog_New(const GwEventLogOptions *options);
/** Write as much of the buffer as possible without blocking, and free. */
void GwEventLog_Delete(GwEventLog *log);

/**
 * Begin a line for @p event. The line is dropped, with all fields up to
 * GwEvent_End, if a limit is reached. All GwEvent functions ignore a NULL
 * @p log.
 * @param id of the request or instance, written as field `id`; may be NULL
 */
void GwEvent_Begin(GwEventLog *log, const char *event, const char *id);
/** Add a string field; a NULL @p value adds nothing. */
void GwEvent_Text(GwEventLog *log, const char *name, const char *value);
/** Add an integer field. */
void GwEvent_Number(GwEventLog *log, const char *name, int64_t value);
/** Add a number field with three decimal places; @p value must be finite. */
void GwEvent_Real(GwEventLog *log, const char *name, double value);
/** Add an interval, written in milliseconds with three decimal places. */
void GwEvent_Time(GwEventLog *log, const char *name, GwTime value);
/** End the line. Writes the buffer once it holds 16 KiB. */
void GwEvent_End(GwEventLog *log);

/** Write the buffer without blocking. The owner calls it periodically. */
void GwEventLog_Flush(GwEventLog *log);
/** Lines dropped so far; a buffer dropped after a write error counts as
 * one. */
uint64_t GwEventLog_Dropped(const GwEventLog *log);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
