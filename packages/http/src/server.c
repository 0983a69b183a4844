#include "galenagw/http/server.h"

#include <string.h>
#include <sys/queue.h>

#include "galenagw/net/tcp.h"

#define DEFAULT_MAX_HEAD (16 * 1024)
#define DEFAULT_MAX_BODY (4 * 1024 * 1024)
#define DEFAULT_MAX_BODIES (64 * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT (5 * GW_SECOND)
#define DEFAULT_BODY_TIMEOUT (15 * GW_SECOND)
#define DEFAULT_IDLE_TIMEOUT (60 * GW_SECOND)
/* Bytes of further requests that are taken in while one is served. */
#define MAX_AHEAD (64 * 1024)
/* A chunk's size line and end, at most. */
#define CHUNK_FRAME 24

typedef struct Connection Connection;

struct GwHttpCall {
    Connection *conn;
    GwHttpHead *head;
    GByteArray *body;
    GString *extra_head;
    void *user;
    bool delivered; /* on_call was made */
    bool sent;      /* bytes of an answer were written */
};

struct Connection {
    TAILQ_ENTRY(Connection) link;
    GwHttpServer *server;
    GwTcp *tcp;
    GwHttpReader *reader;
    GwHttpCall *call;  /* being read or served, or NULL */
    GByteArray *ahead; /* bytes that are not read yet */
    GwTimer timer;     /* for a head, a body, or idleness */
    bool paused;
    bool must_close; /* by the request's own head */
    bool reading;    /* inside the reader */
    bool dead;
};

struct GwHttpServer {
    GwLoop *loop;
    GwTcpServer *tcp;
    GwHttpServerOptions options;
    size_t body_bytes; /* of all calls */
    bool draining;
    TAILQ_HEAD(, Connection) connections;
};

const char *const GwHttpRefusal_Names[GW_HTTP_REFUSALS] = {
    [GW_HTTP_REFUSED_MALFORMED] = "malformed",
    [GW_HTTP_REFUSED_HEAD_TOO_LONG] = "head_too_long",
    [GW_HTTP_REFUSED_BODY_TOO_LONG] = "body_too_long",
    [GW_HTTP_REFUSED_TOO_SLOW] = "too_slow",
    [GW_HTTP_REFUSED_NO_MEMORY] = "no_memory",
};

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
static void on_timer_(void *user);
static void feed_(Connection *c);
static void deliver_(Connection *c);
static void refuse_(Connection *c, GwHttpRefusal why);
static void close_(Connection *c);
static void free_(Connection *c);
static void arm_(Connection *c);
static bool is_serving_(const Connection *c);
static GwHttpCall *call_new_(Connection *c);
static void call_free_(GwHttpCall *call);
static void start_head_(GwHttpCall *call, int status, const char *type);
static void fill_limits_(GwHttpLimits *limits);

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
    fill_limits_(&server->options.limits);
    if (server->options.max_bodies == 0)
        server->options.max_bodies = DEFAULT_MAX_BODIES;
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
        free_(c);
    }
    GwTcpServer_Delete(server->tcp);
    g_free(server);
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
    fill_limits_(&server->options.limits);
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
        if (c->call == NULL && c->ahead->len == 0 &&
            !GwHttpReader_InMessage(c->reader))
            close_(c);
    }
}

const char *
GwHttpCall_Method(const GwHttpCall *call)
{
    return call->head->method;
}

const char *
GwHttpCall_Path(const GwHttpCall *call)
{
    return call->head->target;
}

const char *
GwHttpCall_Header(const GwHttpCall *call, const char *name)
{
    return GwHttpHead_Find(call->head, name);
}

const GwHttpHead *
GwHttpCall_Head(const GwHttpCall *call)
{
    return call->head;
}

const char *
GwHttpCall_Body(const GwHttpCall *call, size_t *len)
{
    *len = call->body->len;
    return (const char *)call->body->data;
}

void
GwHttpCall_SetUser(GwHttpCall *call, void *user)
{
    call->user = user;
}

void *
GwHttpCall_User(const GwHttpCall *call)
{
    return call->user;
}

void
GwHttpCall_AddHeader(GwHttpCall *call, const char *name, const char *value)
{
    if (call->extra_head == NULL)
        call->extra_head = g_string_new(NULL);
    g_string_append_printf(call->extra_head, "%s: %s\r\n", name, value);
}

void
GwHttpCall_Respond(GwHttpCall *call, int status, const char *type,
                   const char *body, size_t len)
{
    char line[64];

    start_head_(call, status, type);
    g_snprintf(line, sizeof(line), "content-length: %zu\r\n\r\n", len);
    GwHttpCall_Send(call, line, strlen(line));
    GwHttpCall_Send(call, body, len);
    GwHttpCall_Done(call, false);
}

void
GwHttpCall_Begin(GwHttpCall *call, int status, const char *type)
{
    static const char coding[] = "transfer-encoding: chunked\r\n"
                                 "cache-control: no-store\r\n\r\n";

    start_head_(call, status, type);
    GwHttpCall_Send(call, coding, sizeof(coding) - 1);
}

void
GwHttpCall_Write(GwHttpCall *call, const char *data, size_t len)
{
    g_autoptr(GString) chunk = NULL;

    // A chunk of size zero would end the answer early.
    if (len == 0)
        return;
    // In one piece: each write is a system call and a packet of its own.
    chunk = g_string_sized_new(len + CHUNK_FRAME);
    g_string_append_printf(chunk, "%zx\r\n", len);
    g_string_append_len(chunk, data, (gssize)len);
    g_string_append(chunk, "\r\n");
    GwHttpCall_Send(call, chunk->str, chunk->len);
}

void
GwHttpCall_End(GwHttpCall *call)
{
    GwHttpCall_Send(call, "0\r\n\r\n", 5);
    GwHttpCall_Done(call, false);
}

void
GwHttpCall_Send(GwHttpCall *call, const char *data, size_t len)
{
    call->sent = true;
    GwTcp_Write(call->conn->tcp, (const uint8_t *)data, len);
}

bool
GwHttpCall_MustClose(const GwHttpCall *call)
{
    return call->conn->must_close || call->conn->server->draining;
}

void
GwHttpCall_Done(GwHttpCall *call, bool close)
{
    Connection *c = call->conn;

    if (close || GwHttpCall_MustClose(call)) {
        close_(c);
        return;
    }
    call_free_(call);
    if (c->paused)
        GwTcp_Pause(c->tcp, false);
    c->paused = false;
    arm_(c);
    // A call that is answered inside on_call returns to the reader.
    if (!c->reading)
        feed_(c);
}

void
GwHttpCall_Abort(GwHttpCall *call)
{
    close_(call->conn);
}

size_t
GwHttpCall_Pending(const GwHttpCall *call)
{
    return GwTcp_Pending(call->conn->tcp);
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
    GwTcp_DropAbandoned(tcp);
    c->reader = GwHttpReader_New(&options);
    c->ahead = g_byte_array_new();
    GwTimer_Init(&c->timer, server->loop, on_timer_, c);
    GwTcp_SetOps(tcp, &tcp_ops, c);
    TAILQ_INSERT_TAIL(&server->connections, c, link);
    arm_(c);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    Connection *c = user;

    g_byte_array_append(c->ahead, data, (guint)len);
    if (!is_serving_(c)) {
        feed_(c);
        return;
    }
    // Further requests wait for this one's answer, the first few in memory.
    if (c->ahead->len > MAX_AHEAD && !c->paused) {
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
    free_(c);
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
    static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
    Connection *c = user;
    const char *expect = GwHttpHead_Find(head, "Expect");

    c->must_close = !head->keep_alive;
    c->call = call_new_(c);
    c->call->head = GwHttpHead_Copy(head);
    if (head->length > (int64_t)c->server->options.limits.max_body) {
        refuse_(c, GW_HTTP_REFUSED_BODY_TOO_LONG);
        return false;
    }
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0)
        GwTcp_Write(c->tcp, (const uint8_t *)go_on, sizeof(go_on) - 1);
    return true;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    Connection *c = user;
    GwHttpServer *server = c->server;

    if (c->call->body->len + len > server->options.limits.max_body) {
        refuse_(c, GW_HTTP_REFUSED_BODY_TOO_LONG);
        return false;
    }
    if (server->body_bytes + len > server->options.max_bodies) {
        refuse_(c, GW_HTTP_REFUSED_NO_MEMORY);
        return false;
    }
    server->body_bytes += len;
    g_byte_array_append(c->call->body, (const guint8 *)data, (guint)len);
    return true;
}

// Idle for too long, or too slow with a request: one that was not read whole
// has not run, so a later try is safe.
static void
on_timer_(void *user)
{
    Connection *c = user;

    if (GwHttpReader_InMessage(c->reader))
        refuse_(c, GW_HTTP_REFUSED_TOO_SLOW);
    else
        close_(c);
}

static void
feed_(Connection *c)
{
    c->reading = true;
    while (!c->dead && !is_serving_(c) && c->ahead->len > 0) {
        size_t used = 0;
        GwHttpProgress progress;

        GwHttpReader_SetMaxHead(c->reader, c->server->options.limits.max_head);
        progress = GwHttpReader_Feed(c->reader, (const char *)c->ahead->data,
                                     c->ahead->len, &used);
        if (c->dead)
            break;
        g_byte_array_remove_range(c->ahead, 0, (guint)used);
        if (progress == GW_HTTP_DONE)
            deliver_(c);
        else if (progress == GW_HTTP_HEAD_TOO_LONG)
            refuse_(c, GW_HTTP_REFUSED_HEAD_TOO_LONG);
        else if (progress != GW_HTTP_MORE)
            refuse_(c, GW_HTTP_REFUSED_MALFORMED);
    }
    c->reading = false;
    if (c->dead)
        free_(c);
    else if (!is_serving_(c))
        arm_(c);
}

static void
deliver_(Connection *c)
{
    GwHttpCall *call = c->call;

    // The reader reports a message's head, which makes its call, before it
    // reports the message done.
    g_assert(call != NULL);
    GwTimer_Stop(&c->timer);
    // The length does not count this NUL; parsers may rely on it.
    g_byte_array_append(call->body, (const guint8 *)"", 1);
    g_byte_array_set_size(call->body, call->body->len - 1);
    call->delivered = true;
    c->server->options.ops->on_call(c->server->options.user, call);
}

// Where the request ends is not known any more, so nothing can follow it on
// this connection.
static void
refuse_(Connection *c, GwHttpRefusal why)
{
    GwHttpServer *server = c->server;

    c->must_close = true;
    if (c->call == NULL)
        c->call = call_new_(c);
    if (server->options.ops->on_refused != NULL)
        server->options.ops->on_refused(server->options.user, c->call, why);
    if (c->call->sent)
        close_(c);
    else
        GwHttpCall_Respond(c->call, refusal_answers[why].status, "text/plain",
                           refusal_answers[why].answer,
                           strlen(refusal_answers[why].answer));
}

static void
close_(Connection *c)
{
    GwTcp_Finish(c->tcp);
    c->tcp = NULL;
    free_(c);
}

static void
free_(Connection *c)
{
    if (c->reading) {
        c->dead = true;
        return;
    }
    TAILQ_REMOVE(&c->server->connections, c, link);
    GwTimer_Stop(&c->timer);
    if (c->call != NULL)
        call_free_(c->call);
    GwHttpReader_Delete(c->reader);
    g_byte_array_unref(c->ahead);
    g_free(c);
}

static void
arm_(Connection *c)
{
    const GwHttpLimits *limits = &c->server->options.limits;

    // A head that has begun keeps its first timer: bytes that trickle in
    // must not extend it. A body may take its time as long as it moves.
    if (!GwHttpReader_InMessage(c->reader))
        GwTimer_Start(&c->timer, limits->idle_timeout);
    else if (c->call != NULL)
        GwTimer_Start(&c->timer, limits->body_timeout);
    else if (c->timer.place == NULL ||
             c->timer.due > GwTime_Now() + limits->head_timeout)
        GwTimer_Start(&c->timer, limits->head_timeout);
}

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
    call->conn->server->body_bytes -= call->body->len;
    GwHttpHead_Free(call->head);
    g_byte_array_unref(call->body);
    if (call->extra_head != NULL)
        g_string_free(call->extra_head, TRUE);
    g_free(call);
}

static void
start_head_(GwHttpCall *call, int status, const char *type)
{
    g_autofree char *head = g_strdup_printf(
        "HTTP/1.1 %d %s\r\ncontent-type: %s\r\n%s%s", status,
        status < 400 ? "OK" : "Error", type,
        GwHttpCall_MustClose(call) ? "connection: close\r\n" : "",
        call->extra_head != NULL ? call->extra_head->str : "");

    GwHttpCall_Send(call, head, strlen(head));
}

static void
fill_limits_(GwHttpLimits *limits)
{
    if (limits->max_head == 0)
        limits->max_head = DEFAULT_MAX_HEAD;
    if (limits->max_body == 0)
        limits->max_body = DEFAULT_MAX_BODY;
    if (limits->head_timeout == 0)
        limits->head_timeout = DEFAULT_HEAD_TIMEOUT;
    if (limits->body_timeout == 0)
        limits->body_timeout = DEFAULT_BODY_TIMEOUT;
    if (limits->idle_timeout == 0)
        limits->idle_timeout = DEFAULT_IDLE_TIMEOUT;
}
