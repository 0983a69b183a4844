/**
 * @defgroup log_service Log service
 * @brief The platform's append-only log, behind a table of functions.
 *
 * Its real form replaces one module. What is assumed of it stands in
 * docs/INTERFACES.md: records of one stream are totally ordered by offset;
 * an append whose answer is lost may or may not have taken effect, now or
 * later; old records expire, and a read tells the first one kept.
 * @{
 */
#ifndef GALENAGW_PLATFORM_LOG_SERVICE_H
#define GALENAGW_PLATFORM_LOG_SERVICE_H

#include <jansson.h>

#include "galenagw/base/counters.h"
#include "galenagw/net/http_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How an append ended. */
typedef enum {
    GW_APPEND_DONE = 0, /**< At the offset told. */
    GW_APPEND_NOT_DONE, /**< Proven: it has no effect, ever. */
    GW_APPEND_UNKNOWN,  /**< Only reading back can tell. */
    GW_APPENDS
} GwAppendOutcome;

extern const char *const GwAppendOutcome_Names[GW_APPENDS];

/** What a read returned. */
typedef struct {
    bool ok;
    uint64_t first;        /**< first offset kept */
    uint64_t next;         /**< one past the last offset */
    const json_t *records; /**< array of {"offset": N, "data": {...}} */
} GwLogBatch;

typedef void (*GwAppendFn)(void *user, GwAppendOutcome outcome,
                           uint64_t offset);
typedef void (*GwReadFn)(void *user, const GwLogBatch *batch);

/** A call in flight, for cancelling. */
typedef struct GwLogCall GwLogCall;

/** The interface. Callbacks come later, from the loop, once. */
typedef struct {
    GwLogCall *(*append)(void *impl, const char *stream, const json_t *record,
                         GwAppendFn fn, void *user);
    /** Wait up to @p wait_ms when there is nothing from @p from on. */
    GwLogCall *(*read)(void *impl, const char *stream, uint64_t from,
                       int wait_ms, GwReadFn fn, void *user);
    /** No callback after this. */
    void (*cancel)(void *impl, GwLogCall *call);
} GwLogOps;

/** A log service: the table and its instance. */
typedef struct {
    const GwLogOps *ops;
    void *impl;
} GwLog;

typedef struct GwHttpLog GwHttpLog;

/** The log service over HTTP, as docs/INTERFACES.md assumes it. */
GwHttpLog *GwHttpLog_New(GwLoop *loop, const GwAddress *address,
                         GwCounters *counters);
void GwHttpLog_Delete(GwHttpLog *log);
GwLog GwHttpLog_Interface(GwHttpLog *log);

/** Follows one stream from an offset on, through outages. */
typedef struct GwLogTail GwLogTail;

typedef struct {
    /** The log's first kept offset, before the records of each read. */
    void (*on_start)(void *user, uint64_t first);
    void (*on_record)(void *user, uint64_t offset, const json_t *data);
    /** A read ended; !ok: it failed. @p at_end: no record is left. */
    void (*on_round)(void *user, bool ok, bool at_end);
} GwLogTailOps;

/** Start following @p stream at @p from. */
GwLogTail *GwLogTail_New(GwLoop *loop, GwLog log, const char *stream,
                         uint64_t from, GRand *rand, const GwLogTailOps *ops,
                         void *user);
/** Skip ahead: records below @p next are not needed any more. */
void GwLogTail_Skip(GwLogTail *tail, uint64_t next);
void GwLogTail_Delete(GwLogTail *tail);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
