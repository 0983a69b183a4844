#include "galenagw/net/http_client.h"

#include <string.h>

#include "net_private.h"

#define READ_SIZE (16 * 1024)
#define DEFAULT_TIMEOUT (30 * GW_SECOND)
#define WRITE_SIZE (32 * 1024)

const char *const GwHttpOutcome_Names[GW_HTTP_OUTCOMES] = {
    "complete",
    "not_sent",
    "broken",
    "timeout",
};

struct GwHttpRequest {
    GwLoop *loop;
    struct lws *wsi;
    GwHttpRequestOptions options;
    char *path;
    char *authorization;
    char *header_name;
    char *header_value;
    char *content_type;
    uint8_t *body; /* LWS_PRE bytes of room first */
    size_t body_sent;
    GwTimer timer;
    bool sent; /* the head was handed to the socket */
    bool complete;
    bool done;       /* on_done was made, or cancelled */
    bool connecting; /* inside the connect call */
    bool failed;     /* within that call; told later */
};

static void on_timeout_(void *user);
static void start_(GwHttpRequest *req);
static int add_headers_(GwHttpRequest *req, struct lws *wsi, void *in,
                        size_t len);
static int write_body_(GwHttpRequest *req, struct lws *wsi);
static int read_body_(struct lws *wsi);
static void on_head_(GwHttpRequest *req, struct lws *wsi);
static void finish_(GwHttpRequest *req, GwHttpOutcome outcome);
static void delete_(GwHttpRequest *req);
static void progress_(GwHttpRequest *req);

GwHttpRequest *
GwHttpRequest_New(GwLoop *loop, const GwHttpRequestOptions *options)
{
    GwHttpRequest *req = g_new0(GwHttpRequest, 1);

    req->loop = loop;
    req->options = *options;
    req->path = g_strdup(options->path);
    req->authorization = g_strdup(options->authorization);
    req->options.method = g_intern_string(options->method);
    req->header_name = options->header_name != NULL
                           ? g_strconcat(options->header_name, ":", NULL)
                           : NULL;
    req->header_value = g_strdup(options->header_value);
    req->content_type = g_strdup(options->content_type ? options->content_type
                                                       : "application/json");
    if (options->body_len > 0) {
        req->body = g_malloc(LWS_PRE + options->body_len);
        memcpy(req->body + LWS_PRE, options->body, options->body_len);
    }
    if (req->options.timeout == 0)
        req->options.timeout = DEFAULT_TIMEOUT;
    GwTimer_Init(&req->timer, loop, on_timeout_, req);
    GwTimer_Start(&req->timer, req->options.timeout);
    start_(req);
    return req;
}

void
GwHttpRequest_Cancel(GwHttpRequest *req)
{
    if (req == NULL || req->done)
        return;
    req->done = true;
    GwTimer_Stop(&req->timer);
    if (req->wsi == NULL) {
        delete_(req);
        return;
    }
    // The close callback frees the request.
    lws_set_timeout(req->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void
GwHttpRequest_Pause(GwHttpRequest *req, bool pause)
{
    if (req->wsi != NULL)
        lws_rx_flow_control(req->wsi, pause ? 0 : 1);
}

int
GwHttpClient_Callback(struct lws *wsi, enum lws_callback_reasons reason,
                      void *user, void *in, size_t len)
{
    GwHttpRequest *req = lws_get_opaque_user_data(wsi);

    if (req == NULL)
        return 0;
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return add_headers_(req, wsi, in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body_(req, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        on_head_(req, wsi);
        return req->done ? -1 : 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return req->done ? -1 : read_body_(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (req->done)
            return -1;
        progress_(req);
        req->options.ops->on_data(req->options.user, in, len);
        return req->done ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        req->complete = true;
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        lws_set_opaque_user_data(wsi, NULL);
        req->wsi = NULL;
        finish_(req, req->complete ? GW_HTTP_COMPLETE
                     : req->sent   ? GW_HTTP_BROKEN
                                   : GW_HTTP_NOT_SENT);
        return 0;
    default:
        return 0;
    }
}

static void
on_timeout_(void *user)
{
    GwHttpRequest *req = user;
    struct lws *wsi = req->wsi;

    req->done = true;
    req->options.ops->on_done(req->options.user,
                              req->sent ? GW_HTTP_TIMEOUT : GW_HTTP_NOT_SENT);
    if (wsi == NULL)
        delete_(req);
    else
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void
start_(GwHttpRequest *req)
{
    struct lws_client_connect_info info = {0};

    info.context = GwLoop_Context(req->loop);
    info.vhost = GwLoop_ClientHost(req->loop);
    info.address = req->options.address.host;
    info.port = req->options.address.port;
    info.host = info.address;
    info.origin = info.address;
    info.path = req->path;
    info.method = req->options.method;
    info.protocol = "gw-http-client";
    info.local_protocol_name = "gw-http-client";
    info.opaque_user_data = req;
    info.pwsi = &req->wsi;
    // libwebsockets may report a failure from inside this call, and still
    // write to pwsi afterwards; and the user waits for no callback before
    // this function has returned. The timer makes it a little later.
    req->connecting = true;
    if (lws_client_connect_via_info(&info) == NULL)
        req->failed = true;
    req->connecting = false;
    if (req->failed) {
        req->wsi = NULL;
        GwTimer_Start(&req->timer, 0);
    }
}

static int
add_headers_(GwHttpRequest *req, struct lws *wsi, void *in, size_t len)
{
    unsigned char **p = in;
    unsigned char *end = *p + len;
    char size[24];
    const char *type = req->content_type;

    req->sent = true;
    if (req->authorization != NULL &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_AUTHORIZATION,
                                     (const unsigned char *)req->authorization,
                                     (int)strlen(req->authorization), p, end))
        return -1;
    if (req->header_name != NULL &&
        lws_add_http_header_by_name(wsi,
                                    (const unsigned char *)req->header_name,
                                    (const unsigned char *)req->header_value,
                                    (int)strlen(req->header_value), p, end))
        return -1;
    if (req->body == NULL)
        return 0;
    g_snprintf(size, sizeof(size), "%zu", req->options.body_len);
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     (const unsigned char *)size,
                                     (int)strlen(size), p, end) ||
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                     (const unsigned char *)type,
                                     (int)strlen(type), p, end))
        return -1;
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

static int
write_body_(GwHttpRequest *req, struct lws *wsi)
{
    size_t n = MIN(req->options.body_len - req->body_sent, WRITE_SIZE);
    bool last = req->body_sent + n == req->options.body_len;

    if (req->body == NULL || n == 0)
        return 0;
    if (lws_write(wsi, req->body + LWS_PRE + req->body_sent, n,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
        return -1;
    req->body_sent += n;
    if (last)
        lws_client_http_body_pending(wsi, 0);
    else
        lws_callback_on_writable(wsi);
    return 0;
}

static int
read_body_(struct lws *wsi)
{
    char buf[LWS_PRE + READ_SIZE];
    char *at = buf + LWS_PRE;
    int len = READ_SIZE;

    return lws_http_client_read(wsi, &at, &len) < 0 ? -1 : 0;
}

static void
on_head_(GwHttpRequest *req, struct lws *wsi)
{
    char type[128] = "";

    progress_(req);
    lws_hdr_copy(wsi, type, sizeof(type), WSI_TOKEN_HTTP_CONTENT_TYPE);
    if (req->options.ops->on_head != NULL && !req->done)
        req->options.ops->on_head(
            req->options.user, (int)lws_http_client_http_response(wsi), type);
}

static void
finish_(GwHttpRequest *req, GwHttpOutcome outcome)
{
    if (req->connecting) {
        req->failed = true;
        return;
    }
    GwTimer_Stop(&req->timer);
    if (!req->done) {
        req->done = true;
        req->options.ops->on_done(req->options.user, outcome);
    }
    delete_(req);
}

static void
delete_(GwHttpRequest *req)
{
    GwTimer_Stop(&req->timer);
    g_free(req->path);
    g_free(req->authorization);
    g_free(req->header_name);
    g_free(req->header_value);
    g_free(req->content_type);
    g_free(req->body);
    g_free(req);
}

static void
progress_(GwHttpRequest *req)
{
    if (!req->done)
        GwTimer_Start(&req->timer, req->options.timeout);
}
