/**
 * @defgroup log_service Log service
 * @brief The append-only log of the platform, behind a table of functions.
 *
 * An adapter to another log service replaces only one module. The assumptions
 * on the service are documented in docs/INTERFACES.md: the records of a stream
 * are totally ordered by offset; an append whose answer is lost may have taken
 * effect, may take effect later, or may never do so; old records expire, and
 * the answer to a read contains the first offset that is still available.
 * @{
 */
#ifndef GALENAGW_PLATFORM_LOG_SERVICE_H
#define GALENAGW_PLATFORM_LOG_SERVICE_H

#include <jansson.h>

#include "galenagw/base/counters.h"
#include "galenagw/http/client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Outcome of an append. */
typedef enum {
    GW_APPEND_DONE = 0, /**< The record is at the offset passed. */
    GW_APPEND_NOT_DONE, /**< Proven: it will never take effect. */
    GW_APPEND_UNKNOWN,  /**< Whether it takes effect can only be read back. */
    GW_APPENDS
} GwAppendOutcome;

/** Names of ::GwAppendOutcome, by value. */
extern const char *const GwAppendOutcome_Names[GW_APPENDS];

/** Result of a read. */
typedef struct {
    bool ok; /**< false: the read failed, other fields are invalid */
    uint64_t first_offset; /**< first available offset of the stream */
    uint64_t end_offset;   /**< last offset of the stream plus one */
    const json_t *records; /**< array of {"offset": N, "data": {...}} */
} GwLogBatch;

/** Callback of an append; @p offset is valid for GW_APPEND_DONE. */
typedef void (*GwAppendFn)(void *user, GwAppendOutcome outcome,
                           uint64_t offset);
/** Callback of a read; @p batch is valid during the callback. */
typedef void (*GwReadFn)(void *user, const GwLogBatch *batch);

/** A call in progress. */
typedef struct GwLogCall GwLogCall;

/** The interface. Each callback is called once, later, from the loop. */
typedef struct {
    /** Append @p record to @p stream. */
    GwLogCall *(*append)(void *impl, const char *stream, const json_t *record,
                         GwAppendFn fn, void *user);
    /** Read records from offset @p from on. If there are none, the service
     * waits for up to @p wait_ms. */
    GwLogCall *(*read)(void *impl, const char *stream, uint64_t from,
                       int wait_ms, GwReadFn fn, void *user);
    /** Cancel @p call; its callback is not called. An append may take effect
     * nevertheless. */
    void (*cancel)(void *impl, GwLogCall *call);
} GwLogOps;

/** A log service: the functions and the object that is passed to them. */
typedef struct {
    const GwLogOps *ops;
    void *impl;
} GwLog;

/** Client of the log service over HTTP. */
typedef struct GwHttpLog GwHttpLog;

/** Create a client; docs/INTERFACES.md specifies the HTTP interface. */
GwHttpLog *GwHttpLog_New(GwLoop *loop, const GwAddress *address,
                         GwCounters *counters);
void GwHttpLog_Delete(GwHttpLog *log);
/** The client as a log service. */
GwLog GwHttpLog_Interface(GwHttpLog *log);

/** Reads one stream from an offset on, continuously and with retries. */
typedef struct GwLogTail GwLogTail;

/** Callbacks of a tail. */
typedef struct {
    /** First available offset of the stream; called before the records of each
     * read. May be NULL. */
    void (*on_first_offset)(void *user, uint64_t first);
    /** The next record. */
    void (*on_record)(void *user, uint64_t offset, const json_t *data);
    /** A read has ended. @p ok: it succeeded. @p at_end: all records of the
     * stream have been read. */
    void (*on_read_done)(void *user, bool ok, bool at_end);
} GwLogTailOps;

/** Start to read @p stream at offset @p from. */
GwLogTail *GwLogTail_New(GwLoop *loop, GwLog log, const char *stream,
                         uint64_t from, GRand *rand, const GwLogTailOps *ops,
                         void *user);
/** Skip the records below offset @p next. */
void GwLogTail_SkipTo(GwLogTail *tail, uint64_t next);
void GwLogTail_Delete(GwLogTail *tail);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
