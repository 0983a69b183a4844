#include "galenagw/net/http_server.h"

#include <string.h>

#include "net_private.h"

#define WRITE_SIZE (32 * 1024)
#define DRAINED_BELOW (64 * 1024)
#define MAX_HEAD 4096

static const struct {
    const char *name;
    int token; /* -1: found by name */
} kept_headers[] = {
    {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
    {"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
    {"idempotency-key:", -1},
    {"x-request-id:", -1},
    {"x-deadline-ms:", -1},
};

#define N_KEPT G_N_ELEMENTS(kept_headers)

struct GwHttpServer {
    struct lws_vhost *vhost;
    GwLoop *loop;
    GwHttpServerOptions options;
    struct lws_protocols protocols[2];
    int port;
    bool close_idle;
    bool deleted; /* no callback any more */
};

struct GwHttpCall {
    struct lws *wsi;
    GwHttpServer *server;
    char *method;
    char *path;
    char *headers[N_KEPT];
    GByteArray *body;
    GString *extra_head;
    GByteArray *out; /* LWS_PRE bytes of room, then unsent bytes */
    size_t sent;
    size_t body_limit;
    GwTimer body_timer; /* a slow caller's body must not hold memory */
    void *user;
    bool delivered; /* on_call was made */
    bool begun;
    bool ended;
    bool aborted;
    bool filled; /* output passed the mark since on_drained */
};

/* Session storage of libwebsockets: outlives calls on a kept connection. */
typedef struct {
    GwHttpCall *call;
} Connection;

static int callback_(struct lws *wsi, enum lws_callback_reasons reason,
                     void *user, void *in, size_t len);
static int on_request_(struct lws *wsi, Connection *conn);
static int on_body_(Connection *conn, const void *in, size_t len);
static void on_body_late_(void *user);
static int deliver_(GwHttpCall *call);
static int refuse_(struct lws *wsi, Connection *conn, int status);
static int on_writeable_(struct lws *wsi, Connection *conn);
static void on_closed_(Connection *conn);
static GwHttpCall *call_new_(struct lws *wsi, GwHttpServer *server);
static void call_delete_(GwHttpCall *call);
static void on_finalized_(struct lws_vhost *vhost, void *arg);
static char *copy_header_(struct lws *wsi, size_t i);
static void start_head_(GwHttpCall *call, int status, const char *type);
static void append_(GwHttpCall *call, const char *data, size_t len);

GwHttpServer *
GwHttpServer_New(GwLoop *loop, const GwHttpServerOptions *options,
                 GwError *err)
{
    struct lws_context_creation_info info = {0};
    GwHttpServer *server = g_new0(GwHttpServer, 1);

    g_assert(options->ops->on_call != NULL);
    server->options = *options;
    server->loop = loop;
    server->protocols[0].name = "http";
    server->protocols[0].callback = callback_;
    server->protocols[0].per_session_data_size = sizeof(Connection);
    info.port = options->address.port;
    info.iface = server->options.address.host;
    info.protocols = server->protocols;
    info.vhost_name = "http-server";
    info.user = server;
    info.finalize = on_finalized_;
    info.finalize_arg = server;
    info.keepalive_timeout = 60;
    server->vhost = lws_create_vhost(GwLoop_Context(loop), &info);
    if (server->vhost == NULL ||
        lws_get_vhost_listen_port(server->vhost) <= 0) {
        GwError_Set(err, GW_ERROR_IO,
                    "cannot listen on %s:%d; choose a free address",
                    options->address.host, options->address.port);
        if (server->vhost != NULL)
            GwHttpServer_Delete(server);
        else
            g_free(server);
        return NULL;
    }
    server->port = lws_get_vhost_listen_port(server->vhost);
    return server;
}

void
GwHttpServer_Delete(GwHttpServer *server)
{
    if (server == NULL)
        return;
    server->deleted = true;
    lws_vhost_destroy(server->vhost);
}

int
GwHttpServer_Port(const GwHttpServer *server)
{
    return server->port;
}

void
GwHttpServer_CloseIdle(GwHttpServer *server)
{
    server->close_idle = true;
}

const char *
GwHttpCall_Method(const GwHttpCall *call)
{
    return call->method;
}

const char *
GwHttpCall_Path(const GwHttpCall *call)
{
    return call->path;
}

const char *
GwHttpCall_Header(const GwHttpCall *call, const char *name)
{
    size_t len = strlen(name);

    for (size_t i = 0; i < N_KEPT; i++) {
        if (strncmp(kept_headers[i].name, name, len) == 0)
            return call->headers[i];
    }
    return NULL;
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
    g_string_append_printf(call->extra_head, "%s: %s\r\n", name, value);
}

void
GwHttpCall_Respond(GwHttpCall *call, int status, const char *type,
                   const char *body, size_t len)
{
    char line[64];

    g_assert(!call->begun);
    start_head_(call, status, type);
    g_snprintf(line, sizeof(line), "content-length: %zu\r\n\r\n", len);
    append_(call, line, strlen(line));
    append_(call, body, len);
    call->ended = true;
    lws_callback_on_writable(call->wsi);
}

void
GwHttpCall_Begin(GwHttpCall *call, int status, const char *type)
{
    static const char coding[] = "transfer-encoding: chunked\r\n"
                                 "cache-control: no-store\r\n\r\n";

    g_assert(!call->begun);
    start_head_(call, status, type);
    append_(call, coding, sizeof(coding) - 1);
    lws_callback_on_writable(call->wsi);
}

void
GwHttpCall_Write(GwHttpCall *call, const char *data, size_t len)
{
    char size[24];

    // A chunk of size zero would end the answer early.
    if (len == 0 || call->aborted)
        return;
    g_snprintf(size, sizeof(size), "%zx\r\n", len);
    append_(call, size, strlen(size));
    append_(call, data, len);
    append_(call, "\r\n", 2);
    lws_callback_on_writable(call->wsi);
}

void
GwHttpCall_End(GwHttpCall *call)
{
    append_(call, "0\r\n\r\n", 5);
    call->ended = true;
    lws_callback_on_writable(call->wsi);
}

void
GwHttpCall_Abort(GwHttpCall *call)
{
    call->aborted = true;
    lws_callback_on_writable(call->wsi);
}

size_t
GwHttpCall_Pending(const GwHttpCall *call)
{
    return call->out->len - LWS_PRE - call->sent;
}

static int
callback_(struct lws *wsi, enum lws_callback_reasons reason, void *user,
          void *in, size_t len)
{
    Connection *conn = user;

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return on_request_(wsi, conn);
    case LWS_CALLBACK_HTTP_BODY:
        return on_body_(conn, in, len);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return conn->call != NULL ? deliver_(conn->call) : 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writeable_(wsi, conn);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        if (conn != NULL)
            on_closed_(conn);
        return 0;
    default:
        return 0;
    }
}

static int
on_request_(struct lws *wsi, Connection *conn)
{
    GwHttpServer *server = lws_get_vhost_user(lws_get_vhost(wsi));
    char text[32] = "";
    GwHttpCall *call;
    bool has_body;

    if (server->deleted)
        return -1;
    // A call that ended leaves its struct until the next one begins.
    on_closed_(conn);
    call = call_new_(wsi, server);
    conn->call = call;
    has_body = strcmp(call->method, "POST") == 0 ||
               strcmp(call->method, "PUT") == 0 ||
               strcmp(call->method, "PATCH") == 0;
    if (lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_CONTENT_LENGTH) <=
        0) {
        // Without a length the body's end cannot be told from a cut.
        if (has_body)
            return refuse_(wsi, conn, 411);
        return deliver_(call);
    }
    call->body_limit = g_ascii_strtoull(text, NULL, 10);
    if (call->body_limit > server->options.max_body)
        return refuse_(wsi, conn, 413);
    if (call->body_limit == 0)
        return deliver_(call);
    GwTimer_Start(&call->body_timer, server->options.body_timeout);
    return 0;
}

static int
on_body_(Connection *conn, const void *in, size_t len)
{
    GwHttpCall *call = conn->call;

    if (call == NULL || call->delivered)
        return 0;
    if (call->body->len + len > call->body_limit)
        return -1;
    g_byte_array_append(call->body, in, (guint)len);
    return 0;
}

static void
on_body_late_(void *user)
{
    GwHttpCall *call = user;

    lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static int
deliver_(GwHttpCall *call)
{
    GwHttpServer *server = call->server;

    if (call->delivered)
        return 0;
    call->delivered = true;
    GwTimer_Stop(&call->body_timer);
    // The length does not count this NUL; parsers may rely on it.
    g_byte_array_append(call->body, (const guint8 *)"", 1);
    g_byte_array_set_size(call->body, call->body->len - 1);
    server->options.ops->on_call(server->options.user, call);
    return 0;
}

static int
refuse_(struct lws *wsi, Connection *conn, int status)
{
    GwHttpServer *server = conn->call->server;

    if (server->options.ops->on_refused != NULL)
        server->options.ops->on_refused(server->options.user, status);
    lws_return_http_status(wsi, (unsigned)status, NULL);
    return -1;
}

static int
on_writeable_(struct lws *wsi, Connection *conn)
{
    GwHttpCall *call = conn->call;
    size_t n;

    if (call == NULL)
        return 0;
    if (call->aborted)
        return -1;
    n = MIN(GwHttpCall_Pending(call), WRITE_SIZE);
    if (n > 0) {
        uint8_t *at = call->out->data + LWS_PRE + call->sent;

        // lws_write may use the LWS_PRE bytes before the data; they were
        // sent already, or are the reserved room.
        if (lws_write(wsi, at, n, LWS_WRITE_HTTP) < 0)
            return -1;
        call->sent += n;
    }
    if (GwHttpCall_Pending(call) > 0) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    g_byte_array_set_size(call->out, LWS_PRE);
    call->sent = 0;
    if (call->ended) {
        bool close_now = call->server->close_idle;

        conn->call = NULL;
        call_delete_(call);
        return lws_http_transaction_completed(wsi) || close_now ? -1 : 0;
    }
    if (call->filled) {
        GwHttpServer *server = call->server;

        call->filled = false;
        if (server->options.ops->on_drained != NULL)
            server->options.ops->on_drained(server->options.user, call);
    }
    return 0;
}

static void
on_closed_(Connection *conn)
{
    GwHttpCall *call = conn->call;
    GwHttpServer *server;

    if (call == NULL)
        return;
    conn->call = NULL;
    server = call->server;
    if (call->delivered && !call->ended && !server->deleted &&
        server->options.ops->on_gone)
        server->options.ops->on_gone(server->options.user, call);
    call_delete_(call);
}

static GwHttpCall *
call_new_(struct lws *wsi, GwHttpServer *server)
{
    static const char *const methods[] = {
        "GET", "POST", "OPTIONS", "PUT", "PATCH", "DELETE", "CONNECT", "HEAD"};
    GwHttpCall *call = g_new0(GwHttpCall, 1);
    char *uri = "/";
    int len = 1;
    int method = lws_http_get_uri_and_method(wsi, &uri, &len);
    char *args;

    call->wsi = wsi;
    call->server = server;
    GwTimer_Init(&call->body_timer, server->loop, on_body_late_, call);
    call->method = g_strdup(method >= 0 && method < (int)G_N_ELEMENTS(methods)
                                ? methods[method]
                                : "GET");
    len = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_URI_ARGS);
    args = g_malloc0((gsize)len + 2);
    // libwebsockets splits the query at '&'; the copy joins it again.
    if (len > 0)
        lws_hdr_copy(wsi, args, len + 1, WSI_TOKEN_HTTP_URI_ARGS);
    call->path = g_strconcat(uri, args[0] != '\0' ? "?" : "", args, NULL);
    g_free(args);
    for (size_t i = 0; i < N_KEPT; i++)
        call->headers[i] = copy_header_(wsi, i);
    call->body = g_byte_array_new();
    call->extra_head = g_string_new(NULL);
    call->out = g_byte_array_sized_new(LWS_PRE + 512);
    g_byte_array_set_size(call->out, LWS_PRE);
    return call;
}

static void
call_delete_(GwHttpCall *call)
{
    GwTimer_Stop(&call->body_timer);
    for (size_t i = 0; i < N_KEPT; i++)
        g_free(call->headers[i]);
    g_free(call->method);
    g_free(call->path);
    g_byte_array_unref(call->body);
    g_byte_array_unref(call->out);
    g_string_free(call->extra_head, TRUE);
    g_free(call);
}

// The vhost's protocols live in the server, so it goes last.
static void
on_finalized_(struct lws_vhost *vhost, void *arg)
{
    g_free(arg);
}

static char *
copy_header_(struct lws *wsi, size_t i)
{
    const char *name = kept_headers[i].name;
    int token = kept_headers[i].token;
    int len;
    char *value;

    len = token >= 0 ? lws_hdr_total_length(wsi, (enum lws_token_indexes)token)
                     : lws_hdr_custom_length(wsi, name, (int)strlen(name));
    if (len <= 0)
        return NULL;
    value = g_malloc0((gsize)len + 1);
    if (token >= 0)
        lws_hdr_copy(wsi, value, len + 1, (enum lws_token_indexes)token);
    else
        lws_hdr_custom_copy(wsi, value, len + 1, name, (int)strlen(name));
    return value;
}

static void
start_head_(GwHttpCall *call, int status, const char *type)
{
    char *head = g_strdup_printf(
        "HTTP/1.1 %d %s\r\ncontent-type: %s\r\n%s%s", status,
        status < 400 ? "OK" : "Error", type,
        call->server->close_idle ? "connection: close\r\n" : "",
        call->extra_head->str);

    call->begun = true;
    append_(call, head, strlen(head));
    g_free(head);
}

static void
append_(GwHttpCall *call, const char *data, size_t len)
{
    if (len > 0)
        g_byte_array_append(call->out, (const guint8 *)data, (guint)len);
    if (GwHttpCall_Pending(call) > DRAINED_BELOW)
        call->filled = true;
}
