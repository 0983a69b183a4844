/* Splits a stream of server-sent events into complete events. */
#ifndef GALENAGW_GATEWAY_EVENT_SPLITTER_H
#define GALENAGW_GATEWAY_EVENT_SPLITTER_H

#include <glib.h>
#include <stdbool.h>

#include "galenagw/http/events.h"

/* Size of the buffer for the last event id, in bytes with the NUL; longer ids
 * are truncated. Ids of engines are numbers. */
#define GW_EVENT_ID_MAX 64

typedef struct {
    GwEventScan scan;
    GString *tail;                 /* bytes of an incomplete event */
    char last_id[GW_EVENT_ID_MAX]; /* of the last complete event with an id */
    bool has_id;
    bool has_output;     /* complete events were appended to an output */
    unsigned n_complete; /* complete events since the last restart */
    size_t bytes_without_token; /* since the last event with tokens */
    bool has_token; /* one of these has an id or data, as each event with
                       tokens has */
} GwEventSplitter;

void GwEventSplitter_Init(GwEventSplitter *splitter);
void GwEventSplitter_Clear(GwEventSplitter *splitter);
/* Discard the incomplete event: another endpoint continues the stream after
 * the last complete event. */
void GwEventSplitter_Restart(GwEventSplitter *splitter);
/* Add received bytes, and append the events that they complete to @p out. A
 * byte order mark is removed from a stream that continues an earlier one, as
 * it would hide the name of the field behind it. Returns whether the bytes
 * since the last event with tokens are within GW_EVENT_MAX_BYTES; otherwise
 * the stream must be ended, as it may have no further one. */
bool GwEventSplitter_Push(GwEventSplitter *splitter, const char *data,
                          size_t len, GString *out);
/* Whether the bytes received so far end inside an event. A stream that ends
 * there was broken off. */
bool GwEventSplitter_IsInsideEvent(const GwEventSplitter *splitter);

#endif
