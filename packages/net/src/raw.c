#include "galenagw/net/raw.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "net_private.h"

#define WRITE_SIZE (64 * 1024)

struct GwRaw {
    struct lws *wsi;
    GwLoop *loop;
    GwTimer start;
    GwAddress address;
    const GwRawOps *ops;
    void *user;
    GByteArray *out; /* LWS_PRE bytes of room, then unsent bytes */
    size_t sent;
    bool open;
    bool closed;
    bool connecting; /* inside the connect call: must not be freed */
};

struct GwRawServer {
    struct lws_vhost *vhost;
    struct lws_protocols protocols[2];
    void (*on_accept)(void *user, GwRaw *raw);
    void *user;
};

static GwRaw *raw_new_(void);
static void raw_delete_(GwRaw *raw);
static void connect_(void *user);
static int opened_(GwRaw *raw, struct lws *wsi);
static int flush_(GwRaw *raw);
static void ended_(GwRaw *raw);
static void on_finalized_(struct lws_vhost *vhost, void *arg);

GwRaw *
GwRaw_Connect(GwLoop *loop, const GwAddress *address, const GwRawOps *ops,
              void *user)
{
    GwRaw *raw = raw_new_();

    raw->loop = loop;
    raw->address = *address;
    raw->ops = ops;
    raw->user = user;
    GwTimer_Init(&raw->start, loop, connect_, raw);
    GwTimer_Start(&raw->start, 0);
    return raw;
}

void
GwRaw_Write(GwRaw *raw, const uint8_t *data, size_t len)
{
    g_byte_array_append(raw->out, data, (guint)len);
    if (raw->open)
        lws_callback_on_writable(raw->wsi);
}

size_t
GwRaw_Pending(const GwRaw *raw)
{
    return raw->out->len - LWS_PRE - raw->sent;
}

void
GwRaw_Close(GwRaw *raw)
{
    if (raw == NULL || raw->closed)
        return;
    raw->closed = true;
    if (raw->wsi == NULL) {
        raw_delete_(raw);
        return;
    }
    lws_set_timeout(raw->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void
GwRaw_SetOps(GwRaw *raw, const GwRawOps *ops, void *user)
{
    raw->ops = ops;
    raw->user = user;
}

GwRawServer *
GwRawServer_New(GwLoop *loop, const GwAddress *address,
                void (*on_accept)(void *user, GwRaw *raw), void *user,
                GwError *err)
{
    struct lws_context_creation_info info = {0};
    GwRawServer *server = g_new0(GwRawServer, 1);

    server->on_accept = on_accept;
    server->user = user;
    server->protocols[0].name = "gw-raw";
    server->protocols[0].callback = GwRaw_Callback;
    info.port = address->port;
    info.iface = address->host;
    info.protocols = server->protocols;
    info.vhost_name = "raw-server";
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "gw-raw";
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.user = server;
    info.finalize = on_finalized_;
    info.finalize_arg = server;
    server->vhost = lws_create_vhost(GwLoop_Context(loop), &info);
    if (server->vhost == NULL ||
        lws_get_vhost_listen_port(server->vhost) <= 0) {
        GwError_Set(err, GW_ERROR_IO,
                    "cannot listen on %s:%d; choose a free address",
                    address->host, address->port);
        if (server->vhost != NULL)
            GwRawServer_Delete(server);
        else
            g_free(server);
        return NULL;
    }
    return server;
}

int
GwRawServer_Port(const GwRawServer *server)
{
    return lws_get_vhost_listen_port(server->vhost);
}

void
GwRawServer_Delete(GwRawServer *server)
{
    if (server == NULL)
        return;
    server->on_accept = NULL;
    lws_vhost_destroy(server->vhost);
}

int
GwRaw_Callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
               void *in, size_t len)
{
    GwRaw *raw = lws_get_opaque_user_data(wsi);

    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        if (raw == NULL) {
            GwRawServer *server = lws_get_vhost_user(lws_get_vhost(wsi));

            // A vhost being destroyed accepts until its next round.
            if (server->on_accept == NULL)
                return -1;
            raw = raw_new_();
            lws_set_opaque_user_data(wsi, raw);
            raw->wsi = wsi;
            server->on_accept(server->user, raw);
        }
        return opened_(raw, wsi);
    case LWS_CALLBACK_RAW_CONNECTED:
        return raw != NULL ? opened_(raw, wsi) : 0;
    case LWS_CALLBACK_RAW_RX:
        if (raw == NULL || raw->closed)
            return -1;
        raw->ops->on_data(raw->user, in, len);
        return raw->closed ? -1 : 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return raw != NULL ? flush_(raw) : 0;
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        if (raw != NULL) {
            lws_set_opaque_user_data(wsi, NULL);
            ended_(raw);
        }
        return 0;
    default:
        return 0;
    }
}

static GwRaw *
raw_new_(void)
{
    GwRaw *raw = g_new0(GwRaw, 1);

    raw->out = g_byte_array_sized_new(LWS_PRE + 1024);
    g_byte_array_set_size(raw->out, LWS_PRE);
    return raw;
}

static void
raw_delete_(GwRaw *raw)
{
    if (raw->connecting)
        return;
    if (raw->loop != NULL)
        GwTimer_Stop(&raw->start);
    g_byte_array_unref(raw->out);
    g_free(raw);
}

static void
connect_(void *user)
{
    GwRaw *raw = user;
    struct lws_client_connect_info info = {0};

    info.context = GwLoop_Context(raw->loop);
    info.vhost = GwLoop_ClientHost(raw->loop);
    info.address = raw->address.host;
    info.port = raw->address.port;
    info.host = info.address;
    info.method = "RAW";
    info.local_protocol_name = "gw-raw";
    info.opaque_user_data = raw;
    info.pwsi = &raw->wsi;
    // libwebsockets may report a failure from inside this call and still
    // write to pwsi afterwards: freeing waits until it has returned.
    raw->connecting = true;
    if (lws_client_connect_via_info(&info) == NULL && !raw->closed)
        ended_(raw);
    raw->connecting = false;
    if (raw->closed && raw->wsi == NULL)
        raw_delete_(raw);
}

static int
opened_(GwRaw *raw, struct lws *wsi)
{
    int on = 1;

    if (raw->closed)
        return -1;
    if (raw->open)
        return 0;
    raw->open = true;
    raw->wsi = wsi;
    // Frames are small and each is waited for: Nagle would hold them back.
    setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    if (raw->ops->on_open != NULL)
        raw->ops->on_open(raw->user);
    if (GwRaw_Pending(raw) > 0)
        lws_callback_on_writable(wsi);
    return 0;
}

static int
flush_(GwRaw *raw)
{
    size_t n = MIN(GwRaw_Pending(raw), WRITE_SIZE);

    if (raw->closed)
        return -1;
    if (n == 0)
        return 0;
    if (lws_write(raw->wsi, raw->out->data + LWS_PRE + raw->sent, n,
                  LWS_WRITE_RAW) < 0)
        return -1;
    raw->sent += n;
    if (GwRaw_Pending(raw) > 0) {
        lws_callback_on_writable(raw->wsi);
    }
    else {
        g_byte_array_set_size(raw->out, LWS_PRE);
        raw->sent = 0;
    }
    return 0;
}

static void
ended_(GwRaw *raw)
{
    bool told = raw->closed;

    raw->closed = true;
    raw->wsi = NULL;
    if (!told && raw->ops != NULL)
        raw->ops->on_closed(raw->user);
    raw_delete_(raw);
}

// The vhost's protocols live in the server, so it goes last.
static void
on_finalized_(struct lws_vhost *vhost, void *arg)
{
    g_free(arg);
}
