/* Splits a stream of server-sent events into complete events. */
#ifndef GALENAGW_GATEWAY_EVENT_SPLITTER_H
#define GALENAGW_GATEWAY_EVENT_SPLITTER_H

#include <glib.h>
#include <stdbool.h>

/* Size of the buffer for the last event id, in bytes with the NUL; longer ids
 * are truncated. Ids of engines are numbers. */
#define GW_EVENT_ID_MAX 64

/* How far the incomplete event was scanned for its end. */
typedef struct {
    size_t n;           /* bytes scanned */
    size_t line;        /* start of the current line */
    bool is_after_crlf; /* the line before it ended with CRLF */
} GwEventScan;

typedef struct {
    GwEventScan scanned;
    GString *tail;                 /* bytes of an incomplete event */
    char last_id[GW_EVENT_ID_MAX]; /* of the last complete event with an id */
    bool has_id;
    unsigned n_complete; /* complete events since the last restart */
} GwEventSplitter;

void GwEventSplitter_Init(GwEventSplitter *splitter);
void GwEventSplitter_Clear(GwEventSplitter *splitter);
/* Discard the incomplete event: another endpoint continues the stream after
 * the last complete event. */
void GwEventSplitter_Restart(GwEventSplitter *splitter);
/* Add received bytes, and append the events that they complete to @p out. */
void GwEventSplitter_Push(GwEventSplitter *splitter, const char *data,
                          size_t len, GString *out);
/* Whether the bytes received so far end inside an event. A stream that ends
 * there was broken off. */
bool GwEventSplitter_IsInsideEvent(const GwEventSplitter *splitter);

#endif
