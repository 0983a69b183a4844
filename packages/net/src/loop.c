#include "galenagw/net/loop.h"

#include <signal.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "net_private.h"

#define DEFAULT_MAX_CONNECTIONS 4096
/* Size of the buffer that the library reads into. */
#define SERVICE_BUFFER_BYTES (64 * 1024)
/* A timer that is overdue by this much indicates that the loop was stalled: by
 * a long callback, by lack of processor time, or because the machine was
 * suspended. */
#define OVERDUE_TIMER_MIN (50 * GW_MILLISECOND)
/* Rounds of socket events that are handled before overdue timers fire. Each
 * round reads up to SERVICE_BUFFER_BYTES from each socket, which is more than
 * several seconds of heartbeats of one peer. */
#define CATCH_UP_ROUNDS 2
/* Maximum size of an HTTP head that the library reads. */
#define MAX_HEAD_BYTES (16 * 1024)

struct GwLoop {
    struct lws_context *context;
    struct lws_vhost *client_host;
    bool stopped;
    GSequence *timers; /* armed GwTimers, sorted by due time */
    int timer_fd;
    GwTime timer_fd_due; /* time that timer_fd is set to; GW_NEVER: not set */
    /* timer_fd expired; due timers fire after the socket events */
    bool has_due_timers;
    GwTime last_read_at; /* time of the last read from any socket */
    /* until then, input may have arrived during a stall */
    GwTime stale_input_until;
    void (*on_terminate)(void *user);
    void *terminate_user;
    void (*on_hangup)(void *user);
    void *hangup_user;
};

/* If no socket was read for longer than this, the loop may have been
 * stalled. */
#define STALL_GAP_MIN (100 * GW_MILLISECOND)
/* Time within which all input that arrived during a stall has been read. */
#define STALE_INPUT_PERIOD GW_SECOND

/* An eventfd adds up the values that signal handlers write: each kind of
 * signal uses its own range of bits. */
#define TERMINATE_EVENT 1
#define HANGUP_EVENT ((uint64_t)1 << 32)

/* The eventfd that signal handlers write to; -1: not created yet. */
static int wake_fd = -1;

static const struct lws_protocols client_protocols[] = {
    {"gw-tcp", GwTcp_Callback, 0, 0, 0, NULL, 0},
    {"gw-tcp-server", GwTcpServer_Callback, 0, 0, 0, NULL, 0},
    {"gw-wake", GwLoop_WakeCallback, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

static void on_signal_(int sig);
static bool watch_wake_fd_(GwLoop *loop);
static bool watch_fd_(GwLoop *loop, int fd);
static int compare_due_(gconstpointer a, gconstpointer b, gpointer user);
static void arm_timer_fd_(GwLoop *loop, GwTime due);
static void fire_due_timers_(GwLoop *loop);
static void read_before_overdue_timers_(GwLoop *loop);
static GwTimer *first_timer_(const GwLoop *loop);
static void on_signal_event_(GwLoop *loop);

GwLoop *
GwLoop_New(const GwLoopOptions *options, GwError *err)
{
    struct lws_context_creation_info info = {0};
    GwLoop *loop = g_new0(GwLoop, 1);
    int limit = options != NULL ? options->max_connections : 0;

    lws_set_log_level(0, NULL);
    signal(SIGPIPE, SIG_IGN);
    // All addresses are numeric IPv4 addresses. Without DISABLE_IPV6 the
    // library could not listen on a machine that has no IPv6.
    info.options =
        LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    // The library closes a connection whose peer has sent no byte for this
    // time (by default 5 s). No timeout of this project may be longer, so
    // that ours take effect first.
    info.timeout_secs = GW_LIBRARY_TIMEOUT_SECONDS;
    // The library closes the connection on receipt of a longer head; it offers
    // no way to answer it.
    info.max_http_header_data = MAX_HEAD_BYTES;
    info.pt_serv_buf_size = SERVICE_BUFFER_BYTES;
    info.fd_limit_per_thread =
        (unsigned)(limit > 0 ? limit : DEFAULT_MAX_CONNECTIONS);
    loop->context = lws_create_context(&info);
    if (loop->context == NULL) {
        g_free(loop);
        GwError_Set(err, GW_ERROR_IO,
                    "the event loop could not be created; raise the limit "
                    "of open files (ulimit -n)");
        return NULL;
    }
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client_protocols;
    info.vhost_name = "client";
    info.user = loop;
    loop->client_host = lws_create_vhost(loop->context, &info);
    loop->timers = g_sequence_new(NULL);
    loop->timer_fd_due = GW_NEVER;
    loop->timer_fd =
        timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (loop->timer_fd < 0 || !watch_fd_(loop, loop->timer_fd)) {
        GwError_Set(err, GW_ERROR_IO,
                    "the timer of the event loop could not be created; raise "
                    "the limit of open files (ulimit -n)");
        GwLoop_Delete(loop);
        return NULL;
    }
    return loop;
}

void
GwLoop_Delete(GwLoop *loop)
{
    if (loop == NULL)
        return;
    lws_context_destroy(loop->context);
    // The timers are freed last, because connections that the context closes
    // still stop theirs.
    g_sequence_free(loop->timers);
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
    if (loop->has_due_timers && !loop->stopped) {
        read_before_overdue_timers_(loop);
        fire_due_timers_(loop);
    }
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

void
GwLoop_OnHangup(GwLoop *loop, void (*fn)(void *user), void *user)
{
    struct sigaction action = {.sa_handler = on_signal_};

    loop->on_hangup = fn;
    loop->hangup_user = user;
    if (watch_wake_fd_(loop))
        sigaction(SIGHUP, &action, NULL);
}

// An idle loop has gaps between reads as well and then reports a stall. This
// is harmless: the reader only checks once more whether its peer has closed
// the connection.
bool
GwLoop_WasStalled(GwLoop *loop)
{
    GwTime now = GwTime_Now();

    if (now - loop->last_read_at > STALL_GAP_MIN)
        loop->stale_input_until = now + STALE_INPUT_PERIOD;
    loop->last_read_at = now;
    return now < loop->stale_input_until;
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
    if (lws_get_socket_fd(wsi) != loop->timer_fd)
        on_signal_event_(loop);
    else if (read(loop->timer_fd, &n, sizeof(n)) == sizeof(n))
        loop->has_due_timers = true;
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

void
GwTimer_Start(GwTimer *timer, GwTime delay)
{
    GwLoop *loop = timer->loop;

    GwTimer_Stop(timer);
    timer->due = GwTime_Now() + MAX(delay, 0);
    timer->place =
        g_sequence_insert_sorted(loop->timers, timer, compare_due_, NULL);
    if (timer->due < loop->timer_fd_due)
        arm_timer_fd_(loop, timer->due);
}

void
GwTimer_Stop(GwTimer *timer)
{
    if (timer->place == NULL)
        return;
    g_sequence_remove(timer->place);
    timer->place = NULL;
}

// A signal may arrive at any instruction. The handler therefore only writes to
// an eventfd, which the loop reads as one of its events.
static void
on_signal_(int sig)
{
    uint64_t event = sig == SIGHUP ? HANGUP_EVENT : TERMINATE_EVENT;
    ssize_t n = write(wake_fd, &event, sizeof(event));

    (void)n;
}

static bool
watch_wake_fd_(GwLoop *loop)
{
    if (wake_fd >= 0)
        return true;
    wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    return wake_fd >= 0 && watch_fd_(loop, wake_fd);
}

// The library closes the descriptor when its context is destroyed.
static bool
watch_fd_(GwLoop *loop, int fd)
{
    lws_sock_file_fd_type adopted;

    adopted.filefd = fd;
    return lws_adopt_descriptor_vhost(loop->client_host,
                                      LWS_ADOPT_RAW_FILE_DESC, adopted,
                                      "gw-wake", NULL) != NULL;
}

static void
on_signal_event_(GwLoop *loop)
{
    uint64_t n;

    if (read(wake_fd, &n, sizeof(n)) != sizeof(n))
        return;
    if (n >= HANGUP_EVENT && loop->on_hangup != NULL)
        loop->on_hangup(loop->hangup_user);
    if (n % HANGUP_EVENT != 0 && loop->on_terminate != NULL)
        loop->on_terminate(loop->terminate_user);
}

static int
compare_due_(gconstpointer a, gconstpointer b, gpointer user)
{
    GwTime x = ((const GwTimer *)a)->due;
    GwTime y = ((const GwTimer *)b)->due;

    return (x > y) - (x < y);
}

static void
arm_timer_fd_(GwLoop *loop, GwTime due)
{
    // A time in the past fires at once. One nanosecond is added because a
    // value of zero would disarm the timer.
    struct itimerspec at = {
        .it_value = {due / GW_SECOND, due % GW_SECOND * 1000 + 1},
    };

    loop->timer_fd_due = due;
    timerfd_settime(loop->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

// Handles socket events before overdue timers fire. A timeout that expired
// while the loop was stalled does not mean that the peer was silent, because
// the bytes that it sent may still be unread. When such timeouts fired first,
// they closed the streams of all engines at once.
static void
read_before_overdue_timers_(GwLoop *loop)
{
    const GwTimer *first = first_timer_(loop);

    if (first == NULL || GwTime_Now() - first->due < OVERDUE_TIMER_MIN)
        return;
    // With a negative timeout the library handles pending events and returns
    // without waiting.
    for (int i = 0; i < CATCH_UP_ROUNDS && !loop->stopped; i++)
        if (lws_service(loop->context, -1) < 0)
            loop->stopped = true;
}

// Timers that a callback starts with a delay of 0 fire in the next round, so
// that sockets are served in between.
static void
fire_due_timers_(GwLoop *loop)
{
    GwTime now = GwTime_Now();
    GwTimer *timer;

    loop->has_due_timers = false;
    loop->timer_fd_due = GW_NEVER;
    while ((timer = first_timer_(loop)) != NULL && timer->due <= now) {
        GwTimer_Stop(timer);
        timer->fn(timer->user);
    }
    if (timer != NULL)
        arm_timer_fd_(loop, timer->due);
}

// Returns the armed timer with the earliest due time, or NULL.
static GwTimer *
first_timer_(const GwLoop *loop)
{
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}
