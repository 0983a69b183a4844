/**
 * @defgroup message HTTP messages
 * @brief Reads requests or responses from a byte stream, head by head.
 *
 * The parser is http_parser's. What it accepts is kept whole: every header
 * in its order, so that a forwarder can pass on what it does not know. One
 * message is read at a time; bytes behind its end stay with the caller.
 * @{
 */
#ifndef GALENAGW_HTTP_MESSAGE_H
#define GALENAGW_HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** One header; both strings end with a NUL and live as long as the head. */
typedef struct {
    const char *name;
    const char *value;
} GwHttpField;

/** The head of one message. Fields are read-only for users. */
typedef struct {
    GString *text;   /**< backs all strings */
    GArray *offsets; /**< of names and values, while they arrive */
    GwHttpField *fields;
    guint n_fields;
    const char *method; /**< of a request; static */
    const char *target; /**< of a request: path and query, as sent */
    int status;         /**< of a response */
    bool keep_alive;    /**< as its version and Connection say */
    bool chunked;
    int64_t length; /**< of the body; -1: not told */
} GwHttpHead;

/** The first value of header @p name, in any case; NULL if absent. */
const char *GwHttpHead_Find(const GwHttpHead *head, const char *name);
/** A copy; free with GwHttpHead_Free. */
GwHttpHead *GwHttpHead_Copy(const GwHttpHead *head);
void GwHttpHead_Free(GwHttpHead *head);

typedef struct GwHttpReader GwHttpReader;

/** What a reader expects. */
typedef enum {
    GW_HTTP_REQUESTS = 0,
    GW_HTTP_RESPONSES,
} GwHttpReads;

/** Where a reader stands after GwHttpReader_Feed. */
typedef enum {
    GW_HTTP_MORE = 0,      /**< the message goes on */
    GW_HTTP_DONE,          /**< one whole message was read */
    GW_HTTP_STOPPED,       /**< a callback returned false */
    GW_HTTP_MALFORMED,     /**< the bytes are no such message */
    GW_HTTP_HEAD_TOO_LONG, /**< the head is above its bound */
    GW_HTTP_PROGRESSES
} GwHttpProgress;

extern const char *const GwHttpProgress_Names[GW_HTTP_PROGRESSES];

/** Callbacks; each returns false to stop reading. */
typedef struct {
    /** The head is there. @p head is valid until the next message. */
    bool (*on_head)(void *user, const GwHttpHead *head);
    bool (*on_body)(void *user, const char *data, size_t len);
} GwHttpReaderOps;

/** Construction options. */
typedef struct {
    GwHttpReads reads;
    size_t max_head; /**< bytes; 0: 64 KiB */
    const GwHttpReaderOps *ops;
    void *user;
} GwHttpReaderOptions;

GwHttpReader *GwHttpReader_New(const GwHttpReaderOptions *options);
void GwHttpReader_Delete(GwHttpReader *reader);
void GwHttpReader_SetMaxHead(GwHttpReader *reader, size_t max_head);
/**
 * Read on. After GW_HTTP_DONE the next call begins a new message.
 * @param[out] used bytes taken of @p data
 */
GwHttpProgress GwHttpReader_Feed(GwHttpReader *reader, const char *data,
                                 size_t len, size_t *used);
/** The stream ended in order: is the message whole by that? */
GwHttpProgress GwHttpReader_Finish(GwHttpReader *reader);
/** Whether the current message has begun. */
bool GwHttpReader_InMessage(const GwHttpReader *reader);
/** Whether the current response has no body whatever its head says. */
void GwHttpReader_ExpectNoBody(GwHttpReader *reader, bool no_body);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
