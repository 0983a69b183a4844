/**
 * @defgroup events Event streams
 * @brief Finds the ends of events in a text/event-stream, and their fields.
 *
 * The format is that of server-sent events (WHATWG HTML, section 9.2.5): lines
 * end with CRLF, LF or CR; an empty line ends an event; one byte order mark
 * may precede the first line.
 * @{
 */
#ifndef GALENAGW_HTTP_EVENTS_H
#define GALENAGW_HTTP_EVENTS_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Most bytes of an incomplete event that are held. A stream with a longer
 * one is broken off, as its sender may never end it. */
#define GW_EVENT_MAX_BYTES (1024 * 1024)

/** How far one stream was scanned. All zero: its start. The fields are for
 * the functions below. */
typedef struct {
    size_t n_ends;      /**< ends of events found so far */
    unsigned n_bom;     /**< bytes of a byte order mark */
    bool has_begun;     /**< behind the place of a byte order mark */
    bool is_inside;     /**< behind bytes of an event, before its end */
    bool is_in_line;    /**< the current line is not empty */
    bool is_after_cr;   /**< a LF would belong to the line end before it */
    bool is_after_crlf; /**< the line before the current one ended with CRLF */
    bool is_end_due;    /**< the event ends with a LF that follows, or here */
} GwEventScan;

/**
 * Scan further bytes of the stream up to the end of the next event, so that
 * each byte is scanned once. After true, call it again for the other bytes.
 *
 * Where the lines before it end with CRLF, an empty line is complete only with
 * its LF: the CR alone may be the last byte of a truncated stream. An empty
 * line, or the LF of a CR that has already ended an event, counts as an event
 * without fields.
 *
 * @param[out] n number of bytes up to the end of the event, which may be 0;
 * @p len if none ends in them
 * @return whether an event ends behind @p n bytes
 */
bool GwEventScan_Next(GwEventScan *scan, const char *data, size_t len,
                      size_t *n);
/**
 * Whether the bytes so far end inside an event. A byte order mark alone is no
 * part of an event.
 */
bool GwEventScan_IsInsideEvent(const GwEventScan *scan);
/**
 * Length in bytes of the byte order mark at the start of the event whose end
 * was found last; 0: it has none, or it is not the first event of the stream.
 */
size_t GwEventScan_BomLength(const GwEventScan *scan);

/** One field of an event; both texts are parts of the event, without NUL. */
typedef struct {
    const char *name;
    size_t name_len;
    const char *value; /**< without the one blank that may precede it */
    size_t value_len;
} GwEventField;

/**
 * Read the next field of an event without a byte order mark; comments and
 * empty lines are skipped.
 * @param[in,out] event rest of the event
 * @param[in,out] len length of the rest
 * @return whether there is one
 */
bool GwEventField_Next(GwEventField *field, const char **event, size_t *len);
/** Whether the field has the name @p name. */
bool GwEventField_Is(const GwEventField *field, const char *name);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
