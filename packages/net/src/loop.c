#include "galenagw/net/loop.h"

#include <signal.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "net_private.h"

#define DEFAULT_CONNECTIONS 4096
#define SERVICE_BUFFER (64 * 1024)

struct GwLoop {
    struct lws_context *context;
    struct lws_vhost *client_host;
    bool stopped;
    void (*on_terminate)(void *user);
    void *terminate_user;
};

static int wake_fd = -1;

static const struct lws_protocols client_protocols[] = {
    {"gw-http-client", GwHttpClient_Callback, 0, 0, 0, NULL, 0},
    {"gw-raw", GwRaw_Callback, 0, 0, 0, NULL, 0},
    {"gw-wake", GwLoop_WakeCallback, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

static void on_signal_(int sig);
static bool watch_wake_fd_(GwLoop *loop);

GwLoop *
GwLoop_New(const GwLoopOptions *options, GwError *err)
{
    struct lws_context_creation_info info = {0};
    GwLoop *loop = g_new0(GwLoop, 1);
    int limit = options != NULL ? options->max_connections : 0;

    lws_set_log_level(0, NULL);
    signal(SIGPIPE, SIG_IGN);
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    // The library gives up on a peer's first byte by itself, after five
    // seconds if not told otherwise; our own deadlines come before this.
    info.timeout_secs = GW_LIBRARY_TIMEOUT_SECONDS;
    info.pt_serv_buf_size = SERVICE_BUFFER;
    info.fd_limit_per_thread =
        (unsigned)(limit > 0 ? limit : DEFAULT_CONNECTIONS);
    loop->context = lws_create_context(&info);
    if (loop->context == NULL) {
        g_free(loop);
        GwError_Set(err, GW_ERROR_IO,
                    "the event loop could not be made; raise the limit of "
                    "open files (ulimit -n)");
        return NULL;
    }
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client_protocols;
    info.vhost_name = "client";
    info.user = loop;
    loop->client_host = lws_create_vhost(loop->context, &info);
    return loop;
}

void
GwLoop_Delete(GwLoop *loop)
{
    if (loop == NULL)
        return;
    lws_context_destroy(loop->context);
    g_free(loop);
}

void
GwLoop_Run(GwLoop *loop)
{
    while (GwLoop_Step(loop))
        ;
}

bool
GwLoop_Step(GwLoop *loop)
{
    if (loop->stopped)
        return false;
    if (lws_service(loop->context, 0) < 0)
        loop->stopped = true;
    return !loop->stopped;
}

void
GwLoop_Stop(GwLoop *loop)
{
    loop->stopped = true;
    lws_cancel_service(loop->context);
}

void
GwLoop_OnTerminate(GwLoop *loop, void (*fn)(void *user), void *user)
{
    struct sigaction action = {.sa_handler = on_signal_};

    loop->on_terminate = fn;
    loop->terminate_user = user;
    if (!watch_wake_fd_(loop))
        return;
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
}

struct lws_context *
GwLoop_Context(GwLoop *loop)
{
    return loop->context;
}

struct lws_vhost *
GwLoop_ClientHost(GwLoop *loop)
{
    return loop->client_host;
}

int
GwLoop_WakeCallback(struct lws *wsi, enum lws_callback_reasons reason,
                    void *user, void *in, size_t len)
{
    GwLoop *loop;
    uint64_t n;

    if (reason != LWS_CALLBACK_RAW_RX_FILE)
        return 0;
    loop = lws_get_vhost_user(lws_get_vhost(wsi));
    if (read(wake_fd, &n, sizeof(n)) == sizeof(n) && loop->on_terminate)
        loop->on_terminate(loop->terminate_user);
    return 0;
}

void
GwTimer_Init(GwTimer *timer, GwLoop *loop, void (*fn)(void *user), void *user)
{
    memset(timer, 0, sizeof(*timer));
    timer->loop = loop;
    timer->fn = fn;
    timer->user = user;
}

static void
fire_(lws_sorted_usec_list_t *sul)
{
    GwTimer *timer = lws_container_of(sul, GwTimer, sul);

    timer->fn(timer->user);
}

void
GwTimer_Start(GwTimer *timer, GwTime delay)
{
    lws_sul_schedule(timer->loop->context, 0, &timer->sul, fire_,
                     delay > 0 ? delay : 1);
}

void
GwTimer_Stop(GwTimer *timer)
{
    lws_sul_cancel(&timer->sul);
}

// A signal may land at any instruction: the handler only writes to an
// eventfd, which the loop reads in its own time.
static void
on_signal_(int sig)
{
    uint64_t one = 1;
    ssize_t n = write(wake_fd, &one, sizeof(one));

    (void)n;
}

static bool
watch_wake_fd_(GwLoop *loop)
{
    lws_sock_file_fd_type fd;

    wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (wake_fd < 0)
        return false;
    fd.filefd = wake_fd;
    return lws_adopt_descriptor_vhost(loop->client_host,
                                      LWS_ADOPT_RAW_FILE_DESC, fd, "gw-wake",
                                      NULL) != NULL;
}
