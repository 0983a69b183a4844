#include "call.h"

#include <jansson.h>
#include <string.h>

#include "galenagw/http/events.h"

const char *const GwEndpointOutcome_Names[GW_ENDPOINT_OUTCOMES] = {
    "complete",
    "not_run",
    "broken",
};
const char *const GwOrderOutcome_Names[GW_ORDER_OUTCOMES] = {
    "done",
    "fenced",
    "unknown",
};

/* Where the bytes of a JSON text that were received so far end. */
typedef struct {
    int depth;      /* open objects and arrays */
    bool in_string; /* inside a string */
    bool escaped;   /* behind a backslash in a string */
    bool any;       /* an object or array has begun */
} JsonScan;

/* An engine's answer that is not an event stream is stored up to this size, to
 * read its token counts. */
#define USAGE_BODY_MAX_BYTES (256 * 1024)

struct GwEndpointCall {
    const GwEndpointCallOps *ops;
    void *user;
    GwHttpRequest *request;
    GByteArray *partial; /* of an engine: bytes of an incomplete event, or of
                           the answer that the token counts are read from */
    GwEndpointResult result;
    JsonScan json; /* of an engine's answer that is not an event stream */
    GwEventScan events;
    int status;
    bool is_engine_call;
    bool is_event_stream; /* the answer is an event stream */
    bool has_done_marker; /* the end marker of the stream was received */
    bool cancelled;
};

static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome http_outcome);
static bool is_truncated_(const GwEndpointCall *call);
static void scan_json_(JsonScan *scan, const char *data, size_t len);
static void scan_events_(GwEndpointCall *call, const char *data, size_t len);
static void split_events_(GwEndpointCall *call, const char *data, size_t len);
static void process_event_(GwEndpointCall *call, const char *event,
                           size_t len);
static void read_usage_(GwEndpointCall *call, const char *json, size_t len);
static void delete_call_(GwEndpointCall *call);

static const GwHttpRequestOps http_request_ops = {on_head_, on_data_,
                                                  on_done_};

GwEndpointCall *
Call_Start(GwLoop *loop, const GwEndpointOptions *options,
           const GwEndpointRequest *request, const char *body, size_t body_len,
           bool is_engine_call, const GwEndpointCallOps *ops, void *user)
{
    GwEndpointCall *call = g_new0(GwEndpointCall, 1);
    GwHttpRequestOptions http = {
        .address = options->address,
        .method = request->method,
        .path = request->path,
        .content_type = request->content_type,
        .header_name = request->key != NULL ? "idempotency-key" : NULL,
        .header_value = request->key,
        .body = body,
        .body_len = body_len,
        .timeout = options->progress_timeout,
        .ops = &http_request_ops,
        .user = call,
    };

    call->ops = ops;
    call->user = user;
    call->is_engine_call = is_engine_call;
    call->partial = g_byte_array_new();
    call->request = GwHttpRequest_New(loop, &http);
    return call;
}

void
Call_Cancel(void *impl, GwEndpointCall *call)
{
    // An engine stops generating when the connection is closed.
    GwHttpRequest_Cancel(call->request);
    delete_call_(call);
}

void
Call_Pause(void *impl, GwEndpointCall *call, bool pause)
{
    GwHttpRequest_Pause(call->request, pause);
}

static void
on_head_(void *user, int status, const char *type)
{
    GwEndpointCall *call = user;

    call->status = status;
    call->is_event_stream = g_str_has_prefix(type, "text/event-stream");
    // With status 503 an engine refuses the request, so there is no answer to
    // forward.
    if (call->is_engine_call && status == 503)
        return;
    call->ops->on_head(call->user, status, type);
}

static void
on_data_(void *user, const char *data, size_t len)
{
    GwEndpointCall *call = user;

    if (call->is_engine_call && call->status == 503)
        return;
    if (call->is_event_stream && call->is_engine_call) {
        split_events_(call, data, len);
        if (call->partial->len > GW_EVENT_MAX_BYTES) {
            GwHttpRequest_Cancel(call->request);
            on_done_(call, GW_HTTP_BROKEN);
        }
        return;
    }
    if (call->is_event_stream) {
        scan_events_(call, data, len);
    }
    else if (call->is_engine_call) {
        scan_json_(&call->json, data, len);
        if (call->partial->len + len <= USAGE_BODY_MAX_BYTES)
            g_byte_array_append(call->partial, (const guint8 *)data,
                                (guint)len);
    }
    call->ops->on_chunk(call->user, data, len);
}

static void
on_done_(void *user, GwHttpOutcome http_outcome)
{
    GwEndpointCall *call = user;

    if (http_outcome == GW_HTTP_NOT_SENT)
        call->result.outcome = GW_ENDPOINT_NOT_RUN;
    else if (call->is_engine_call && call->status == 503)
        call->result.outcome = GW_ENDPOINT_NOT_RUN;
    else if (http_outcome != GW_HTTP_COMPLETE || is_truncated_(call))
        call->result.outcome = GW_ENDPOINT_BROKEN;
    else
        call->result.outcome = GW_ENDPOINT_COMPLETE;
    if (call->is_engine_call && !call->is_event_stream)
        read_usage_(call, (const char *)call->partial->data,
                    call->partial->len);
    call->ops->on_done(call->user, &call->result);
    delete_call_(call);
}

// Whether the HTTP answer is complete, but its content is not. An answer
// without length and chunks ends with its connection, and the endpoint may
// close that anywhere.
static bool
is_truncated_(const GwEndpointCall *call)
{
    if (call->is_event_stream)
        return call->is_engine_call ? !call->has_done_marker
                                    : GwEventScan_IsInsideEvent(&call->events);
    if (!call->is_engine_call)
        return false;
    return call->status == 200 &&
           (!call->json.any || call->json.depth > 0 || call->json.in_string);
}

// Follows the nesting instead of parsing the text, because a large answer is
// not stored.
static void
scan_json_(JsonScan *scan, const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        char c = data[i];

        if (scan->escaped) {
            scan->escaped = false;
        }
        else if (scan->in_string) {
            scan->escaped = c == '\\';
            scan->in_string = c != '"';
        }
        else if (c == '"') {
            scan->in_string = true;
        }
        else if (c == '{' || c == '[') {
            scan->any = true;
            scan->depth++;
        }
        else if (c == '}' || c == ']') {
            scan->depth--;
        }
    }
}

static void
scan_events_(GwEndpointCall *call, const char *data, size_t len)
{
    size_t n;

    while (GwEventScan_Next(&call->events, data, len, &n)) {
        data += n;
        len -= n;
    }
}

// A byte order mark is removed: the stream may continue that of another
// engine, in which it would hide the name of the field behind it.
static void
split_events_(GwEndpointCall *call, const char *data, size_t len)
{
    size_t n;

    while (GwEventScan_Next(&call->events, data, len, &n)) {
        size_t bom = GwEventScan_BomLength(&call->events);

        g_byte_array_append(call->partial, (const guint8 *)data, (guint)n);
        data += n;
        len -= n;
        process_event_(call, (const char *)call->partial->data + bom,
                       call->partial->len - bom);
        g_byte_array_set_size(call->partial, 0);
    }
    g_byte_array_append(call->partial, (const guint8 *)data, (guint)len);
}

static void
process_event_(GwEndpointCall *call, const char *event, size_t len)
{
    static const char done[] = "[DONE]";
    const char *rest = event;
    size_t left = len;
    GwEventField field;

    while (GwEventField_Next(&field, &rest, &left)) {
        if (!GwEventField_Is(&field, "data"))
            continue;
        if (field.value_len >= strlen(done) &&
            memcmp(field.value, done, strlen(done)) == 0)
            call->has_done_marker = true;
        else if (memmem(field.value, field.value_len, "\"usage\":{", 9) !=
                 NULL)
            read_usage_(call, field.value, field.value_len);
    }
    call->ops->on_chunk(call->user, event, len);
}

static void
read_usage_(GwEndpointCall *call, const char *json, size_t len)
{
    json_t *root = json_loadb(json, len, 0, NULL);
    const json_t *usage = json_object_get(root, "usage");
    const json_t *details = json_object_get(usage, "prompt_tokens_details");

    call->result.prompt_tokens =
        (uint64_t)json_integer_value(json_object_get(usage, "prompt_tokens"));
    call->result.cached_tokens = (uint64_t)json_integer_value(
        json_object_get(details, "cached_tokens"));
    json_decref(root);
}

static void
delete_call_(GwEndpointCall *call)
{
    g_byte_array_unref(call->partial);
    g_free(call);
}
