/**
 * @defgroup message HTTP messages
 * @brief Reads requests or responses from a byte stream.
 *
 * The messages are parsed by http_parser. All headers of a message are
 * retained in their order, so that a forwarder can pass on headers that it
 * does not interpret. One message is read at a time; bytes after its end
 * remain with the user of the reader.
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

/**
 * One header. Both strings end with a NUL and are valid as long as the head.
 */
typedef struct {
    const char *name;
    const char *value;
} GwHttpField;

/** The head of one message. Fields are read-only for users. */
typedef struct {
    GString *text; /**< contains all strings */
    /** of names and values in `text`, while the head is read */
    GArray *offsets;
    GwHttpField *fields;
    guint n_fields;
    const char *method; /**< of a request; a static string */
    const char *target; /**< of a request: path and query, as received */
    int status;         /**< of a response */
    bool keep_alive;    /**< according to the HTTP version and Connection */
    bool chunked;
    /** the sender understands chunks: its HTTP version is 1.1 or later */
    bool accepts_chunks;
    int64_t length; /**< value of Content-Length; -1: absent */
} GwHttpHead;

/** The first value of header @p name, in any case; NULL if absent. */
const char *GwHttpHead_Find(const GwHttpHead *head, const char *name);
/** Return a copy; free it with GwHttpHead_Free. */
GwHttpHead *GwHttpHead_Copy(const GwHttpHead *head);
void GwHttpHead_Free(GwHttpHead *head);

/** Parser of one stream of messages. */
typedef struct GwHttpReader GwHttpReader;

/** Kind of the messages that a reader parses. */
typedef enum {
    GW_HTTP_REQUESTS = 0,
    GW_HTTP_RESPONSES,
} GwHttpReads;

/** State of a reader after GwHttpReader_Feed. */
typedef enum {
    GW_HTTP_MORE = 0,      /**< the message is not complete yet */
    GW_HTTP_DONE,          /**< one complete message was read */
    GW_HTTP_STOPPED,       /**< a callback returned false */
    GW_HTTP_MALFORMED,     /**< the bytes are not a valid message */
    GW_HTTP_HEAD_TOO_LONG, /**< the head exceeds its maximum size */
    GW_HTTP_PROGRESSES
} GwHttpProgress;

extern const char *const GwHttpProgress_Names[GW_HTTP_PROGRESSES];

/** Callbacks of a reader; each returns false to stop reading. */
typedef struct {
    /** The head was read. @p head is valid until the next message. */
    bool (*on_head)(void *user, const GwHttpHead *head);
    /** A piece of the body was read. */
    bool (*on_body)(void *user, const char *data, size_t len);
} GwHttpReaderOps;

/** Construction options. */
typedef struct {
    GwHttpReads reads;
    size_t max_head; /**< maximum size of a head in bytes; 0: 64 KiB */
    const GwHttpReaderOps *ops;
    void *user;
} GwHttpReaderOptions;

GwHttpReader *GwHttpReader_New(const GwHttpReaderOptions *options);
void GwHttpReader_Delete(GwHttpReader *reader);
/** Set the maximum size of a head in bytes. */
void GwHttpReader_SetMaxHead(GwHttpReader *reader, size_t max_head);
/**
 * Parse further bytes. After GW_HTTP_DONE the next call begins a new message.
 * @param[out] used number of bytes of @p data that were parsed
 */
GwHttpProgress GwHttpReader_Feed(GwHttpReader *reader, const char *data,
                                 size_t len, size_t *used);
/**
 * Report the orderly end of the stream, which completes a response without a
 * length.
 * @return GW_HTTP_DONE if the message is complete, GW_HTTP_MALFORMED if it is
 * truncated, GW_HTTP_MORE if none had begun, GW_HTTP_STOPPED if a callback
 * returned false
 */
GwHttpProgress GwHttpReader_Finish(GwHttpReader *reader);
/** Whether a message has begun and is not complete. */
bool GwHttpReader_InMessage(const GwHttpReader *reader);
/** Set whether the current response has no body regardless of its head. */
void GwHttpReader_ExpectNoBody(GwHttpReader *reader, bool no_body);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
