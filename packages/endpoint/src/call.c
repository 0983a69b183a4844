#include "call.h"

#include <jansson.h>
#include <string.h>

const char *const GwCallEnd_Names[GW_CALL_ENDS] = {
    "complete",
    "not_run",
    "broken",
};
const char *const GwOrderEnd_Names[GW_ORDERS] = {
    "done",
    "fenced",
    "unknown",
};

/* An answer in one piece is kept for its usage figures up to this size. */
#define MAX_WHOLE (256 * 1024)

struct GwEndpointCall {
    const GwEndpointCallOps *ops;
    void *user;
    GwHttpRequest *request;
    GByteArray *partial; /* bytes of an unfinished event, or the answer */
    GwEndpointResult result;
    int status;
    bool engine;
    bool events;   /* the answer is an event stream */
    bool saw_done; /* its end marker came */
    bool cancelled;
};

static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);
static void split_events_(GwEndpointCall *call);
static void handle_event_(GwEndpointCall *call, const char *event, size_t len);
static void read_usage_(GwEndpointCall *call, const char *json, size_t len);
static void delete_(GwEndpointCall *call);

static const GwHttpRequestOps request_ops = {on_head_, on_data_, on_done_};

GwEndpointCall *
Call_Start(GwLoop *loop, const GwEndpointOptions *options,
           const GwEndpointRequest *request, const char *body, size_t body_len,
           bool engine, const GwEndpointCallOps *ops, void *user)
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
        .ops = &request_ops,
        .user = call,
    };

    call->ops = ops;
    call->user = user;
    call->engine = engine;
    call->partial = g_byte_array_new();
    call->request = GwHttpRequest_New(loop, &http);
    return call;
}

void
Call_Cancel(void *impl, GwEndpointCall *call)
{
    // Closing the connection is the engine's signal to stop generating.
    GwHttpRequest_Cancel(call->request);
    delete_(call);
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
    call->events = g_str_has_prefix(type, "text/event-stream");
    // An engine's 503 says it took nothing on; that is not an answer.
    if (call->engine && status == 503)
        return;
    call->ops->on_head(call->user, status, type);
}

static void
on_data_(void *user, const char *data, size_t len)
{
    GwEndpointCall *call = user;

    if (call->engine && call->status == 503)
        return;
    if (call->events) {
        g_byte_array_append(call->partial, (const guint8 *)data, (guint)len);
        split_events_(call);
        return;
    }
    if (call->engine && call->partial->len + len <= MAX_WHOLE)
        g_byte_array_append(call->partial, (const guint8 *)data, (guint)len);
    call->ops->on_chunk(call->user, data, len);
}

static void
on_done_(void *user, GwHttpOutcome outcome)
{
    GwEndpointCall *call = user;

    if (outcome == GW_HTTP_NOT_SENT)
        call->result.end = GW_CALL_NOT_RUN;
    else if (call->engine && call->status == 503)
        call->result.end = GW_CALL_NOT_RUN;
    else if (outcome != GW_HTTP_COMPLETE)
        call->result.end = GW_CALL_BROKEN;
    else if (call->events && call->engine && !call->saw_done)
        // HTTP ended well, but the engine's own end marker is missing.
        call->result.end = GW_CALL_BROKEN;
    else
        call->result.end = GW_CALL_COMPLETE;
    if (call->engine && !call->events)
        read_usage_(call, (const char *)call->partial->data,
                    call->partial->len);
    call->ops->on_done(call->user, &call->result);
    delete_(call);
}

static void
split_events_(GwEndpointCall *call)
{
    const char *at = (const char *)call->partial->data;
    size_t left = call->partial->len;
    const char *end;

    while ((end = memmem(at, left, "\n\n", 2)) != NULL) {
        size_t len = (size_t)(end - at) + 2;

        handle_event_(call, at, len);
        at += len;
        left -= len;
    }
    g_byte_array_remove_range(call->partial, 0,
                              call->partial->len - (guint)left);
}

static void
handle_event_(GwEndpointCall *call, const char *event, size_t len)
{
    static const char prefix[] = "data: ";
    const size_t skip = sizeof(prefix) - 1;

    if (len > skip && memcmp(event, prefix, skip) == 0) {
        if (len >= skip + 6 && memcmp(event + skip, "[DONE]", 6) == 0)
            call->saw_done = true;
        else if (memmem(event, len, "\"usage\":{", 9) != NULL)
            read_usage_(call, event + skip, len - skip);
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
delete_(GwEndpointCall *call)
{
    g_byte_array_unref(call->partial);
    g_free(call);
}
