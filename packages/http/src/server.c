#include "galenagw/http/server.h"

#include "server_private.h"

#include <string.h>

#define DEFAULT_MAX_HEAD_BYTES (16 * 1024)
#define DEFAULT_MAX_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_MAX_TOTAL_BODY_BYTES (64 * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT (5 * GW_SECOND)
#define DEFAULT_BODY_TIMEOUT (15 * GW_SECOND)
#define DEFAULT_IDLE_TIMEOUT (60 * GW_SECOND)
/* Bytes of pipelined requests that are read while one request is served. */
#define MAX_PIPELINED_BYTES (64 * 1024)

/* A new connection is not idle for this long: its first request may be on its
 * way, and closing the connection would lose it. */
#define FIRST_REQUEST_TIME (200 * GW_MILLISECOND)
/* A caller that takes no bytes of its answer for this time is gone: longer
 * than the pauses of one that reads slowly, during which its window is closed.
 */
#define SLOW_READER_TIMEOUT (15 * GW_SECOND)

const char *const GwHttpRefusal_Names[GW_HTTP_REFUSALS] = {
    [GW_HTTP_REFUSED_MALFORMED] = "malformed",
    [GW_HTTP_REFUSED_HEAD_TOO_LONG] = "head_too_long",
    [GW_HTTP_REFUSED_BODY_TOO_LONG] = "body_too_long",
    [GW_HTTP_REFUSED_TOO_SLOW] = "too_slow",
    [GW_HTTP_REFUSED_NO_MEMORY] = "no_memory",
};

/* The answers to refused requests, unless on_refused sends one. */
static const struct {
    int status;
    const char *answer;
} refusal_answers[GW_HTTP_REFUSALS] = {
    [GW_HTTP_REFUSED_MALFORMED] = {400, "the request is malformed\n"},
    [GW_HTTP_REFUSED_HEAD_TOO_LONG] = {431, "the head is too large\n"},
    [GW_HTTP_REFUSED_BODY_TOO_LONG] = {413, "the body is too large\n"},
    [GW_HTTP_REFUSED_TOO_SLOW] = {408, "the request came too slowly\n"},
    [GW_HTTP_REFUSED_NO_MEMORY] = {503, "too many large bodies\n"},
};

static const GwRefusal refusal_reasons[GW_HTTP_REFUSALS] = {
    [GW_HTTP_REFUSED_MALFORMED] = GW_REFUSAL_BAD_REQUEST,
    [GW_HTTP_REFUSED_HEAD_TOO_LONG] = GW_REFUSAL_HEAD_TOO_LARGE,
    [GW_HTTP_REFUSED_BODY_TOO_LONG] = GW_REFUSAL_TOO_LARGE,
    [GW_HTTP_REFUSED_TOO_SLOW] = GW_REFUSAL_SLOW_REQUEST,
    [GW_HTTP_REFUSED_NO_MEMORY] = GW_REFUSAL_BUFFERS_FULL,
};

static void on_accept_(void *user, GwTcp *tcp);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static void on_drained_(void *user);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void on_connection_timeout_(void *user);
static void feed_reader_(Connection *c);
static void deliver_call_(Connection *c);
static void refuse_request_(Connection *c, GwHttpRefusal why);
static void free_connection_(Connection *c);
static void start_timer_(Connection *c);
static bool is_serving_(const Connection *c);
static GwHttpCall *call_new_(Connection *c);
static void call_free_(GwHttpCall *call);
static void fill_default_limits_(GwHttpLimits *limits);

static const GwTcpOps tcp_ops = {NULL, on_data_, on_closed_, on_drained_};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

GwRefusal
GwHttpRefusal_Reason(GwHttpRefusal refusal)
{
    return refusal_reasons[refusal];
}

GwHttpServer *
GwHttpServer_New(GwLoop *loop, const GwHttpServerOptions *options,
                 GwError *err)
{
    GwHttpServer *server = g_new0(GwHttpServer, 1);

    g_assert(options->ops->on_call != NULL);
    server->loop = loop;
    server->options = *options;
    fill_default_limits_(&server->options.limits);
    if (server->options.max_bodies == 0)
        server->options.max_bodies = DEFAULT_MAX_TOTAL_BODY_BYTES;
    TAILQ_INIT(&server->connections);
    server->tcp =
        GwTcpServer_New(loop, &options->address, on_accept_, server, err);
    if (server->tcp != NULL)
        return server;
    g_free(server);
    return NULL;
}

void
GwHttpServer_Delete(GwHttpServer *server)
{
    if (server == NULL)
        return;
    while (!TAILQ_EMPTY(&server->connections)) {
        Connection *c = TAILQ_FIRST(&server->connections);

        GwTcp_Close(c->tcp);
        free_connection_(c);
    }
    GwTcpServer_Delete(server->tcp);
    g_free(server);
}

bool
GwHttpServer_HasUnsent(const GwHttpServer *server)
{
    return GwTcpServer_HasUnsent(server->tcp);
}

int
GwHttpServer_Port(const GwHttpServer *server)
{
    return GwTcpServer_Port(server->tcp);
}

void
GwHttpServer_SetLimits(GwHttpServer *server, const GwHttpLimits *limits)
{
    server->options.limits = *limits;
    fill_default_limits_(&server->options.limits);
}

void
GwHttpServer_Drain(GwHttpServer *server)
{
    server->draining = true;
}

void
GwHttpServer_CloseIdle(GwHttpServer *server)
{
    Connection *c;
    Connection *next;

    for (c = TAILQ_FIRST(&server->connections); c != NULL; c = next) {
        next = TAILQ_NEXT(c, link);
        if (c->call == NULL && c->input->len == 0 &&
            !GwHttpReader_InMessage(c->reader) &&
            (c->has_received ||
             GwTime_Now() - c->accepted_at >= FIRST_REQUEST_TIME))
            HttpConnection_Close(c);
    }
}

static void
on_accept_(void *user, GwTcp *tcp)
{
    GwHttpServer *server = user;
    Connection *c = g_new0(Connection, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_REQUESTS, .ops = &reader_ops, .user = c};

    c->server = server;
    c->tcp = tcp;
    c->accepted_at = GwTime_Now();
    GwTcp_DropAbandoned(tcp);
    GwTcp_SetAckTimeout(tcp, SLOW_READER_TIMEOUT);
    c->reader = GwHttpReader_New(&options);
    c->input = g_byte_array_new();
    GwTimer_Init(&c->timer, server->loop, on_connection_timeout_, c);
    GwTcp_SetOps(tcp, &tcp_ops, c);
    TAILQ_INSERT_TAIL(&server->connections, c, link);
    start_timer_(c);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    Connection *c = user;

    c->has_received = true;
    g_byte_array_append(c->input, data, (guint)len);
    if (!is_serving_(c)) {
        feed_reader_(c);
        return;
    }
    // Pipelined requests wait until this one is answered; reading pauses once
    // they exceed the bound.
    if (c->input->len > MAX_PIPELINED_BYTES && !c->paused) {
        c->paused = true;
        GwTcp_Pause(c->tcp, true);
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    Connection *c = user;
    GwHttpServer *server = c->server;

    c->tcp = NULL;
    if (is_serving_(c) && server->options.ops->on_gone != NULL)
        server->options.ops->on_gone(server->options.user, c->call);
    free_connection_(c);
}

static void
on_drained_(void *user)
{
    Connection *c = user;
    GwHttpServer *server = c->server;

    if (is_serving_(c) && server->options.ops->on_drained != NULL)
        server->options.ops->on_drained(server->options.user, c->call);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
    Connection *c = user;
    const char *expect = GwHttpHead_Find(head, "Expect");

    c->must_close = !head->keep_alive;
    c->call = call_new_(c);
    c->call->head = GwHttpHead_Copy(head);
    if (head->length > (int64_t)c->server->options.limits.max_body) {
        refuse_request_(c, GW_HTTP_REFUSED_BODY_TOO_LONG);
        return false;
    }
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0)
        GwTcp_Write(c->tcp, (const uint8_t *)continue_response,
                    sizeof(continue_response) - 1);
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    Connection *c = user;
    GwHttpServer *server = c->server;

    if (c->call->body->len + len > server->options.limits.max_body) {
        refuse_request_(c, GW_HTTP_REFUSED_BODY_TOO_LONG);
        return false;
    }
    if (server->total_body_bytes + len > server->options.max_bodies) {
        refuse_request_(c, GW_HTTP_REFUSED_NO_MEMORY);
        return false;
    }
    server->total_body_bytes += len;
    g_byte_array_append(c->call->body, (const guint8 *)data, (guint)len);
    return true;
}

// The connection was idle for too long, or its request was received too
// slowly. A request that was not received completely has not run, so a retry
// is safe.
static void
on_connection_timeout_(void *user)
{
    Connection *c = user;

    if (GwHttpReader_InMessage(c->reader))
        refuse_request_(c, GW_HTTP_REFUSED_TOO_SLOW);
    else
        HttpConnection_Close(c);
}

// Parses received bytes and delivers complete requests until one is being
// served. The connection may be freed.
static void
feed_reader_(Connection *c)
{
    c->feeding = true;
    while (!c->free_pending && !is_serving_(c) && c->input->len > 0) {
        size_t used = 0;
        GwHttpProgress progress;

        GwHttpReader_SetMaxHead(c->reader, c->server->options.limits.max_head);
        progress = GwHttpReader_Feed(c->reader, (const char *)c->input->data,
                                     c->input->len, &used);
        if (c->free_pending)
            break;
        g_byte_array_remove_range(c->input, 0, (guint)used);
        if (progress == GW_HTTP_DONE)
            deliver_call_(c);
        else if (progress == GW_HTTP_HEAD_TOO_LONG)
            refuse_request_(c, GW_HTTP_REFUSED_HEAD_TOO_LONG);
        else if (progress != GW_HTTP_MORE)
            refuse_request_(c, GW_HTTP_REFUSED_MALFORMED);
    }
    c->feeding = false;
    if (c->free_pending)
        free_connection_(c);
    else if (!is_serving_(c))
        start_timer_(c);
}

static void
deliver_call_(Connection *c)
{
    GwHttpCall *call = c->call;

    // The reader calls on_head_, which creates the call, before it reports a
    // complete message.
    g_assert(call != NULL);
    GwTimer_Stop(&c->timer);
    // The body is followed by a NUL that its length does not count; parsers
    // may rely on the NUL.
    g_byte_array_append(call->body, (const guint8 *)"", 1);
    g_byte_array_set_size(call->body, call->body->len - 1);
    call->delivered = true;
    c->server->options.ops->on_call(c->server->options.user, call);
}

// The end of the request is unknown, so that no further request can be read
// from this connection; it closes after the answer.
static void
refuse_request_(Connection *c, GwHttpRefusal why)
{
    GwHttpServer *server = c->server;

    c->must_close = true;
    if (c->call == NULL)
        c->call = call_new_(c);
    if (server->options.ops->on_refused != NULL)
        server->options.ops->on_refused(server->options.user, c->call, why);
    if (c->call->answer_started)
        HttpConnection_Close(c);
    else
        GwHttpCall_Respond(c->call, refusal_answers[why].status, "text/plain",
                           refusal_answers[why].answer,
                           strlen(refusal_answers[why].answer));
}

void
HttpConnection_Close(Connection *c)
{
    GwTcp_Finish(c->tcp);
    c->tcp = NULL;
    free_connection_(c);
}

void
HttpConnection_Reset(Connection *c)
{
    GwTcp_Reset(c->tcp);
    c->tcp = NULL;
    free_connection_(c);
}

void
HttpConnection_EndCall(Connection *c)
{
    call_free_(c->call);
    if (c->paused)
        GwTcp_Pause(c->tcp, false);
    c->paused = false;
    start_timer_(c);
    // If the call is answered inside on_call, feed_reader_ is running and
    // continues by itself.
    if (!c->feeding)
        feed_reader_(c);
}

static void
free_connection_(Connection *c)
{
    if (c->feeding) {
        c->free_pending = true;
        return;
    }
    TAILQ_REMOVE(&c->server->connections, c, link);
    GwTimer_Stop(&c->timer);
    if (c->call != NULL)
        call_free_(c->call);
    GwHttpReader_Delete(c->reader);
    g_byte_array_unref(c->input);
    g_free(c);
}

static void
start_timer_(Connection *c)
{
    const GwHttpLimits *limits = &c->server->options.limits;

    // The timer of a head is not restarted: bytes that arrive slowly must not
    // extend it. The timer of a body restarts with each progress.
    if (!GwHttpReader_InMessage(c->reader))
        GwTimer_Start(&c->timer, limits->idle_timeout);
    else if (c->call != NULL)
        GwTimer_Start(&c->timer, limits->body_timeout);
    else if (c->timer.place == NULL ||
             c->timer.due > GwTime_Now() + limits->head_timeout)
        GwTimer_Start(&c->timer, limits->head_timeout);
}

// Whether a request was delivered and is not yet answered.
static bool
is_serving_(const Connection *c)
{
    return c->call != NULL && c->call->delivered;
}

static GwHttpCall *
call_new_(Connection *c)
{
    GwHttpCall *call = g_new0(GwHttpCall, 1);

    call->conn = c;
    call->body = g_byte_array_new();
    return call;
}

static void
call_free_(GwHttpCall *call)
{
    call->conn->call = NULL;
    call->conn->server->total_body_bytes -= call->body->len;
    GwHttpHead_Free(call->head);
    g_byte_array_unref(call->body);
    if (call->extra_head != NULL)
        g_string_free(call->extra_head, TRUE);
    g_free(call);
}

static void
fill_default_limits_(GwHttpLimits *limits)
{
    if (limits->max_head == 0)
        limits->max_head = DEFAULT_MAX_HEAD_BYTES;
    if (limits->max_body == 0)
        limits->max_body = DEFAULT_MAX_BODY_BYTES;
    if (limits->head_timeout == 0)
        limits->head_timeout = DEFAULT_HEAD_TIMEOUT;
    if (limits->body_timeout == 0)
        limits->body_timeout = DEFAULT_BODY_TIMEOUT;
    if (limits->idle_timeout == 0)
        limits->idle_timeout = DEFAULT_IDLE_TIMEOUT;
}
