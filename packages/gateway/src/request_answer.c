#include "request_answer.h"

#include <string.h>

#include "selection.h"
#include "request_end.h"
#include "request_log.h"
#include "request_software.h"
#include "request_speed.h"
#include "request_start.h"
#include "request_quarantine.h"

/* An answer of up to this many bytes is held until it is complete. If it is
 * truncated, the request can then still be sent to another endpoint, or the
 * caller gets an error instead of a truncated answer. */
#define HELD_BYTES_MAX (256 * 1024)
/* Reading from the endpoint pauses while more bytes than this wait to be sent
 * to the caller. */
#define UNSENT_BYTES_MAX (64 * 1024)

#define EVENT_STREAM "text/event-stream"

static bool is_usable_reply_(const GwRequest *r);
static bool is_event_stream_(const GwHttpHead *head);
static bool forward_body_(GwRequest *r, const char *data, size_t len);
static void send_head_(GwRequest *r);
static GwFraming framing_(const GwRequest *r);
static void write_body_(GwRequest *r, const char *data, size_t len);

void
GwRequestAnswer_Begin(GwRequest *r, const GwHttpHead *head)
{
    bool is_events =
        r->route->type == GW_ROUTE_STREAMING && is_event_stream_(head);

    r->is_unframed = head->length < 0 && !head->chunked;
    // After the first events, only a continuation of the stream is valid.
    r->is_usable = is_usable_reply_(r) &&
                   (!r->head_sent || (is_events && head->status == 200));
    if (!r->is_usable)
        return;
    r->is_events = is_events;
    // A resumed stream continues under the head of the first endpoint.
    if (r->head_sent)
        return;
    GwHttpHead_Free(r->reply_head);
    r->reply_head = GwHttpHead_Copy(head);
    r->is_held = !r->is_events && head->length <= HELD_BYTES_MAX;
    if (r->held_body == NULL)
        r->held_body = g_string_new(NULL);
    g_string_truncate(r->held_body, 0);
}

bool
GwRequestAnswer_Push(GwRequest *r, const char *data, size_t len)
{
    if (!r->is_usable)
        return true;
    r->last_received_at = GwTime_Now();
    if (!r->is_events)
        GwRequestStart_Note(r);
    if (!r->is_held)
        return forward_body_(r, data, len);
    g_string_append_len(r->held_body, data, (gssize)len);
    if (r->held_body->len <= HELD_BYTES_MAX)
        return true;
    // The answer has no Content-Length, and is too long to be held.
    r->is_held = false;
    forward_body_(r, r->held_body->str, r->held_body->len);
    g_string_truncate(r->held_body, 0);
    return true;
}

bool
GwRequestAnswer_IsTruncated(const GwRequest *r)
{
    if (!r->is_events || strcmp(r->head->method, "HEAD") == 0)
        return false;
    if (GwEventSplitter_IsInsideEvent(&r->event_splitter))
        return true;
    // Without framing, an endpoint that breaks off before the first event
    // sends the same bytes as for an empty stream.
    return r->event_splitter.n_complete == 0 && r->is_unframed;
}

void
GwRequestAnswer_Complete(GwRequest *r)
{
    if (!r->head_sent)
        send_head_(r);
    if (r->is_held)
        write_body_(r, r->held_body->str, r->held_body->len);
    if (r->framing == GW_FRAMING_CHUNKED)
        GwHttpCall_Send(r->call, "0\r\n\r\n", 5);
    GwRequestSpeed_Completed(r);
    GwCounters_Add(&r->gateway->counters, GW_COUNTER_ANSWERS, 1);
    GwHistogram_Record(
        &r->gateway->counters.histograms[GW_HISTOGRAM_FORWARD_WHOLE],
        (uint64_t)(GwTime_Now() - r->arrived_at));
    GwRequestQuarantine_OnCompleted(r);
    GwRequestLog_End(r, "answered", r->reply.status);
    GwRequestEnd_ReleaseInstance(r);
    GwRequestEnd_Done(r);
}

// Whether the answer may be forwarded, as far as its head shows. A success
// must be signed. 503, 429, 408 and 421 are not forwarded: from the gateway
// they would state that the request has not run, which an endpoint states only
// with the header for it.
static bool
is_usable_reply_(const GwRequest *r)
{
    if (r->reply.not_run)
        return false;
    if (r->reply.status >= 200 && r->reply.status < 300)
        return r->reply.has_signature;
    if (r->head_sent)
        return false;
    return r->reply.status != 503 && r->reply.status != 429 &&
           r->reply.status != 408 && r->reply.status != 421;
}

// Whether a success with this head has events. An endpoint may answer on a
// streaming route with a document of another type, which is forwarded as such.
static bool
is_event_stream_(const GwHttpHead *head)
{
    const char *type = GwHttpHead_Find(head, "Content-Type");

    return head->status >= 200 && head->status < 300 && head->status != 204 &&
           (type == NULL || g_ascii_strncasecmp(type, EVENT_STREAM,
                                                strlen(EVENT_STREAM)) == 0);
}

// Forwards bytes of the body; of a stream, only complete events, so that
// another endpoint can continue it. Returns false if the rest is too long for
// an event.
static bool
forward_body_(GwRequest *r, const char *data, size_t len)
{
    g_autoptr(GString) complete_events = NULL;
    bool is_in_bounds = true;

    if (r->is_events) {
        complete_events = g_string_sized_new(len);
        is_in_bounds = GwEventSplitter_Push(&r->event_splitter, data, len,
                                            complete_events);
        if (r->event_splitter.has_token)
            GwRequestStart_Note(r);
        data = complete_events->str;
        len = complete_events->len;
        if (len == 0)
            return is_in_bounds;
    }
    if (r->is_events)
        GwRequestSoftware_Begun(r);
    if (!r->head_sent)
        send_head_(r);
    write_body_(r, data, len);
    if (GwHttpCall_Pending(r->call) > UNSENT_BYTES_MAX)
        GwUpstream_Pause(r->upstream, true);
    return is_in_bounds;
}

static void
send_head_(GwRequest *r)
{
    g_autoptr(GString) out = g_string_new(NULL);

    r->framing = framing_(r);
    if (r->framing == GW_FRAMING_CONNECTION)
        GwHttpCall_EndWithConnection(r->call);
    GwMessages_EncodeReply(r->reply_head, r->framing,
                           GwHttpCall_MustClose(r->call), out);
    GwHttpCall_Send(r->call, out->str, out->len);
    r->head_sent = true;
    r->first_byte_at = GwTime_Now();
    GwHistogram_Record(
        &r->gateway->counters.histograms[GW_HISTOGRAM_FORWARD_FIRST_BYTE],
        (uint64_t)(r->first_byte_at - r->arrived_at));
}

// Framing of the answer to the caller.
static GwFraming
framing_(const GwRequest *r)
{
    if (strcmp(r->head->method, "HEAD") == 0 || r->reply_head->status == 204 ||
        r->reply_head->status == 304)
        return GW_FRAMING_NONE;
    if (!r->is_events && r->reply_head->length >= 0)
        return GW_FRAMING_LENGTH;
    return r->head->accepts_chunks ? GW_FRAMING_CHUNKED
                                   : GW_FRAMING_CONNECTION;
}

static void
write_body_(GwRequest *r, const char *data, size_t len)
{
    if (r->framing == GW_FRAMING_CHUNKED)
        GwHttpCall_Write(r->call, data, len);
    else if (len > 0)
        GwHttpCall_Send(r->call, data, len);
}
