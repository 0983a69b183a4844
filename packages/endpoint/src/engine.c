#define GW_LOG_PART "engine"
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "call.h"
#include "galenagw/base/log.h"

/* How long the engine holds a request for events while there are none; twice
 * that is the timeout of a poll. */
#define POLL_WAIT_MS 1000
/* An engine that was just found reports all blocks that it has cached. */
#define POLL_MAX_BYTES (16 * 1024 * 1024)
#define ORDER_ANSWER_MAX_BYTES (64 * 1024)
/* Pause between a failed request for cache events and the next one. */
#define EVENTS_RETRY_DELAY (100 * GW_MILLISECOND)
#define ORDER_TIMEOUT (30 * GW_SECOND)

/* A request that is repeated without end: for the engine's load report, or for
 * its cache events. */
typedef struct {
    struct Engine *engine;
    GwHttpRequest *request;
    GwTimer timer;
    GByteArray *body;
    int status;
} Poll;

/* The load order that was last sent. */
typedef struct {
    struct Engine *engine;
    GwHttpRequest *request; /* NULL: no order is pending */
    int status;
    GwOrderFn fn;
    void *user;
} Order;

typedef struct Engine {
    GwLoop *loop;
    GwEndpointOptions options;
    const GwEndpointWatchOps *watch;
    void *watch_user;
    Poll load;
    Poll events;
    uint64_t next_event_seq; /* sequence number of the next cache event */
    uint64_t incarnation;    /* that the event sequence belongs to */
    Order order;
} Engine;

static GwEndpointCall *start_call_(void *impl,
                                   const GwEndpointRequest *request,
                                   const GwEndpointCallOps *ops, void *user);
static void append_hints_(GString *body, const GwEndpointRequest *request);
static void set_watch_ops_(void *impl, const GwEndpointWatchOps *ops,
                           void *user);
static void load_weights_(void *impl, const char *weights, uint64_t fence,
                          GwOrderFn fn, void *user);
static void delete_engine_(void *impl);
static void init_poll_(Poll *poll, Engine *e, void (*fn)(void *user));
static void stop_poll_(Poll *poll);
static void send_poll_(Poll *poll, const char *path,
                       const GwHttpRequestOps *ops);
static json_t *finish_poll_(Poll *poll, GwHttpOutcome outcome);
static void poll_load_(void *user);
static void poll_events_(void *user);
static void on_poll_head_(void *user, int status, const char *type);
static void on_poll_data_(void *user, const char *data, size_t len);
static void on_load_done_(void *user, GwHttpOutcome outcome);
static void on_events_done_(void *user, GwHttpOutcome outcome);
static void report_cache_event_(Engine *e, const json_t *event);
static void on_order_head_(void *user, int status, const char *type);
static void on_order_data_(void *user, const char *data, size_t len);
static void on_order_done_(void *user, GwHttpOutcome outcome);

static const GwEndpointOps engine_ops = {
    start_call_,    Call_Cancel,   Call_Pause,
    set_watch_ops_, load_weights_, delete_engine_,
};
static const GwHttpRequestOps load_ops = {on_poll_head_, on_poll_data_,
                                          on_load_done_};
static const GwHttpRequestOps events_ops = {on_poll_head_, on_poll_data_,
                                            on_events_done_};
static const GwHttpRequestOps order_ops = {on_order_head_, on_order_data_,
                                           on_order_done_};

GwEndpoint
GwEngine_New(GwLoop *loop, const GwEndpointOptions *options)
{
    Engine *e = g_new0(Engine, 1);

    e->loop = loop;
    e->options = *options;
    init_poll_(&e->load, e, poll_load_);
    init_poll_(&e->events, e, poll_events_);
    e->order.engine = e;
    return (GwEndpoint){&engine_ops, e};
}

static GwEndpointCall *
start_call_(void *impl, const GwEndpointRequest *request,
            const GwEndpointCallOps *ops, void *user)
{
    Engine *e = impl;
    g_autoptr(GString) body =
        g_string_new_len(request->body, (gssize)request->body_len);

    append_hints_(body, request);
    return Call_Start(e->loop, &e->options, request, body->str, body->len,
                      true, ops, user);
}

// The entry has checked that the body is one JSON object and has removed these
// members from it. So they can be inserted before the last brace without
// parsing a long prompt a second time.
static void
append_hints_(GString *body, const GwEndpointRequest *request)
{
    char *brace = strrchr(body->str, '}');

    if (brace == NULL)
        return;
    g_string_truncate(body, (gsize)(brace - body->str));
    g_string_append_printf(body, ",\"priority\":%d,\"cache_salt\":\"%s\"",
                           request->priority, request->cache_salt);
    g_string_append(body, ",\"prefix_blocks\":[");
    for (size_t i = 0; i < request->chain_len; i++)
        g_string_append_printf(body, "%s\"%016" PRIx64 "\"", i > 0 ? "," : "",
                               request->chain[i]);
    g_string_append(body, "],\"prefix_bytes\":[");
    for (size_t i = 0; i < request->chain_len; i++)
        g_string_append_printf(body, "%s%u", i > 0 ? "," : "",
                               request->chunk_bytes[i]);
    g_string_append(body, "]}");
}

static void
set_watch_ops_(void *impl, const GwEndpointWatchOps *ops, void *user)
{
    Engine *e = impl;

    e->watch = ops;
    e->watch_user = user;
    poll_load_(&e->load);
    poll_events_(&e->events);
}

static void
load_weights_(void *impl, const char *weights, uint64_t fence, GwOrderFn fn,
              void *user)
{
    Engine *e = impl;
    g_autofree char *body = g_strdup_printf(
        "{\"order\":\"load_weights\",\"weights\":\"%s\",\"fence\":%" PRIu64
        "}",
        weights, fence);
    GwHttpRequestOptions http = {
        .address = e->options.address,
        .method = "POST",
        .path = "/orders",
        .body = body,
        .body_len = strlen(body),
        .timeout = ORDER_TIMEOUT,
        .max_body = ORDER_ANSWER_MAX_BYTES,
        .ops = &order_ops,
        .user = &e->order,
    };

    g_assert(e->order.request == NULL);
    e->order.status = 0;
    e->order.fn = fn;
    e->order.user = user;
    e->order.request = GwHttpRequest_New(e->loop, &http);
}

static void
delete_engine_(void *impl)
{
    Engine *e = impl;

    stop_poll_(&e->load);
    stop_poll_(&e->events);
    GwHttpRequest_Cancel(e->order.request);
    g_free(e);
}

static void
init_poll_(Poll *poll, Engine *e, void (*fn)(void *user))
{
    poll->engine = e;
    poll->body = g_byte_array_new();
    GwTimer_Init(&poll->timer, e->loop, fn, poll);
}

static void
stop_poll_(Poll *poll)
{
    GwTimer_Stop(&poll->timer);
    GwHttpRequest_Cancel(poll->request);
    g_byte_array_unref(poll->body);
}

static void
send_poll_(Poll *poll, const char *path, const GwHttpRequestOps *ops)
{
    GwHttpRequestOptions http = {
        .address = poll->engine->options.address,
        .method = "GET",
        .path = path,
        .timeout = 2 * POLL_WAIT_MS * GW_MILLISECOND,
        .max_body = POLL_MAX_BYTES,
        .ops = ops,
        .user = poll,
    };

    g_byte_array_set_size(poll->body, 0);
    poll->status = 0;
    poll->request = GwHttpRequest_New(poll->engine->loop, &http);
}

static json_t *
finish_poll_(Poll *poll, GwHttpOutcome outcome)
{
    poll->request = NULL;
    if (outcome != GW_HTTP_COMPLETE || poll->status != 200)
        return NULL;
    return json_loadb((const char *)poll->body->data, poll->body->len, 0,
                      NULL);
}

static void
poll_load_(void *user)
{
    send_poll_(user, "/load", &load_ops);
}

static void
poll_events_(void *user)
{
    Poll *poll = user;
    g_autofree char *path =
        g_strdup_printf("/events?from=%" PRIu64 "&wait_ms=%d",
                        poll->engine->next_event_seq, POLL_WAIT_MS);

    send_poll_(poll, path, &events_ops);
}

static void
on_poll_head_(void *user, int status, const char *type)
{
    ((Poll *)user)->status = status;
}

static void
on_poll_data_(void *user, const char *data, size_t len)
{
    g_byte_array_append(((Poll *)user)->body, (const guint8 *)data,
                        (guint)len);
}

static void
on_load_done_(void *user, GwHttpOutcome outcome)
{
    Poll *poll = user;
    Engine *e = poll->engine;
    json_t *answer = finish_poll_(poll, outcome);
    GwEndpointReport report = {0};
    const char *weights =
        json_string_value(json_object_get(answer, "weights"));

    GwTimer_Start(&poll->timer, e->options.report_period);
    if (weights == NULL) {
        json_decref(answer);
        e->watch->on_down(e->watch_user);
        return;
    }
    report.incarnation =
        (uint64_t)json_integer_value(json_object_get(answer, "incarnation"));
    report.slots = (int)json_integer_value(json_object_get(answer, "slots"));
    report.cache_chunks =
        (size_t)json_integer_value(json_object_get(answer, "cache_blocks"));
    report.weights = weights;
    report.loading = json_is_true(json_object_get(answer, "loading"));
    e->watch->on_report(e->watch_user, &report);
    json_decref(answer);
}

static void
on_events_done_(void *user, GwHttpOutcome outcome)
{
    Poll *poll = user;
    Engine *e = poll->engine;
    json_t *answer = finish_poll_(poll, outcome);
    uint64_t incarnation =
        (uint64_t)json_integer_value(json_object_get(answer, "incarnation"));
    const json_t *events = json_object_get(answer, "events");
    size_t i;
    json_t *event;

    GwTimer_Start(&poll->timer, answer != NULL ? 0 : EVENTS_RETRY_DELAY);
    // A new incarnation numbers its events from zero again, so all of them are
    // requested.
    if (answer != NULL && incarnation != e->incarnation) {
        e->incarnation = incarnation;
        e->next_event_seq = 0;
        json_decref(answer);
        return;
    }
    json_array_foreach((json_t *)events, i, event)
        report_cache_event_(e, event);
    json_decref(answer);
}

static void
report_cache_event_(Engine *e, const json_t *event)
{
    uint64_t seq = (uint64_t)json_integer_value(json_object_get(event, "seq"));
    const char *kind = json_string_value(json_object_get(event, "kind"));
    const json_t *blocks = json_object_get(event, "blocks");
    size_t n = json_array_size(blocks);
    g_autofree uint64_t *hashes = g_new(uint64_t, n + 1);

    e->next_event_seq = seq + 1;
    for (size_t i = 0; i < n; i++) {
        const char *hex = json_string_value(json_array_get(blocks, i));

        hashes[i] = hex != NULL ? g_ascii_strtoull(hex, NULL, 16) : 0;
    }
    for (int k = 0; k < GW_CACHE_EVENTS; k++) {
        if (g_strcmp0(kind, GwCacheEventKind_Names[k]) == 0)
            e->watch->on_cache_event(e->watch_user, seq, (GwCacheEventKind)k,
                                     hashes, n);
    }
}

static void
on_order_head_(void *user, int status, const char *type)
{
    ((Order *)user)->status = status;
}

static void
on_order_data_(void *user, const char *data, size_t len)
{
}

static void
on_order_done_(void *user, GwHttpOutcome outcome)
{
    Order *order = user;
    GwOrderOutcome result = GW_ORDER_UNKNOWN;

    order->request = NULL;
    if (outcome == GW_HTTP_COMPLETE && order->status == 200)
        result = GW_ORDER_DONE;
    else if (outcome == GW_HTTP_COMPLETE && order->status == 409)
        result = GW_ORDER_FENCED;
    order->fn(order->user, result);
}
