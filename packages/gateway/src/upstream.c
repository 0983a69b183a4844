#include "upstream.h"

#include <sys/queue.h>

/* Maximum number of answers to other requests that are ignored before the
 * answer to a request; an endpoint that sends more violates the protocol. */
#define FOREIGN_ANSWERS_MAX 3
/* Maximum number of bytes of such answers and of interim ones. A faulty
 * endpoint may send them without end. */
#define IGNORED_BYTES_MAX (256 * 1024)
/* Endpoints close idle connections. If a request is sent while the endpoint
 * closes the connection, it is unknown whether the request has run. So a
 * connection that has been idle is not reused from this time before the idle
 * timeout of the endpoint on, or, for a request that must not run twice, from
 * this time before half of the idle timeout on. */
#define IDLE_MARGIN (400 * GW_MILLISECOND)
/* Idle timeout that is assumed if the endpoint's answer contains none. */
#define IDLE_LIMIT_DEFAULT (500 * GW_MILLISECOND)

/* A connection to a working endpoint is established within a few milliseconds.
 * After this time, the endpoint is unreachable or packets were lost. Nothing
 * was sent, so the request may be sent to another endpoint immediately. */
#define CONNECT_TIMEOUT (300 * GW_MILLISECOND)

struct GwUpstream {
    TAILQ_ENTRY(GwUpstream) link; /* in the pool's idle or busy list */
    GwUpstreamPool *pool;
    GwTcp *tcp;
    GwHttpReader *reader;
    GString *request; /* waits until the connection is open */
    GwTimer timer;    /* CONNECT_TIMEOUT */
    const GwUpstreamOps *ops;
    void *user; /* of ops; an idle connection has NULL as ops */
    bool is_open;
    bool is_paused; /* reading is; see GwUpstream_Pause */
    bool is_check;  /* opened by GwUpstreamPool_Check */
    bool has_no_body;
    bool is_skipping; /* the current answer is interim, or belongs to another
                         request */
    bool keep_alive;  /* the connection stays open after the current answer */
    unsigned foreign_answers; /* ignored since the request was sent */
    size_t ignored_bytes;     /* of these, and of interim answers */
    GwTime idle_limit;        /* idle timeout of the endpoint */
    GwTime idle_since;
    int callback_depth; /* number of callbacks in progress */
    bool is_deleted;    /* to be freed when the last callback returns */
};

struct GwUpstreamPool {
    GwUpstreamPoolOptions options;
    bool is_checking;   /* a GwUpstreamPool_Check is in progress */
    int callback_depth; /* number of callbacks in progress */
    bool is_deleted;    /* to be freed when the last callback returns */
    unsigned n_open;    /* connections, including idle ones */
    TAILQ_HEAD(Upstreams, GwUpstream) idle; /* last used first */
    struct Upstreams busy;
};

const char *const GwUpstreamOutcome_Names[GW_UPSTREAM_OUTCOMES] = {
    [GW_UPSTREAM_COMPLETE] = "complete",
    [GW_UPSTREAM_NOT_SENT] = "not_sent",
    [GW_UPSTREAM_REFUSED] = "refused",
    [GW_UPSTREAM_BROKEN] = "broken",
};

static GwUpstream *take_idle_(GwUpstreamPool *pool, bool may_retry);
static GwUpstream *open_connection_(GwUpstreamPool *pool);
static void close_connection_(GwUpstream *u);
static void free_connection_(GwUpstream *u);
static void finish_check_(GwUpstream *u);
static void parse_answer_(GwUpstream *u, const char *data, size_t len);
static void on_connect_timeout_(void *user);
static void on_open_(void *user);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void finish_request_(GwUpstream *u, GwUpstreamOutcome outcome,
                            bool keep_alive);

static const GwTcpOps tcp_ops = {on_open_, on_data_, on_closed_, NULL};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

GwUpstreamPool *
GwUpstreamPool_New(const GwUpstreamPoolOptions *options)
{
    GwUpstreamPool *pool = g_new0(GwUpstreamPool, 1);

    pool->options = *options;
    TAILQ_INIT(&pool->idle);
    TAILQ_INIT(&pool->busy);
    return pool;
}

void
GwUpstreamPool_Delete(GwUpstreamPool *pool)
{
    if (pool == NULL)
        return;
    GwUpstreamPool_CloseIdle(pool);
    g_assert(TAILQ_EMPTY(&pool->busy));
    pool->is_deleted = true;
    if (pool->callback_depth == 0)
        g_free(pool);
}

void
GwUpstreamPool_CloseIdle(GwUpstreamPool *pool)
{
    while (!TAILQ_EMPTY(&pool->idle))
        close_connection_(TAILQ_FIRST(&pool->idle));
}

void
GwUpstreamPool_Check(GwUpstreamPool *pool)
{
    GwUpstream *u;

    if (pool->is_checking)
        return;
    u = open_connection_(pool);
    u->is_check = true;
    u->idle_since = GwTime_Now();
    pool->is_checking = true;
    TAILQ_INSERT_HEAD(&pool->idle, u, link);
}

unsigned
GwUpstreamPool_CountConnections(const GwUpstreamPool *pool)
{
    return pool->n_open;
}

GwUpstream *
GwUpstream_Send(GwUpstreamPool *pool, const GwUpstreamOptions *options)
{
    GwUpstream *u = take_idle_(pool, options->may_retry);

    if (u != NULL)
        GwCounters_Add(pool->options.counters, GW_COUNTER_UPSTREAM_REUSED, 1);
    else
        u = open_connection_(pool);
    TAILQ_INSERT_TAIL(&pool->busy, u, link);
    u->ops = options->ops;
    u->user = options->user;
    u->has_no_body = options->has_no_body;
    u->foreign_answers = 0;
    u->ignored_bytes = 0;
    if (u->is_open)
        GwTcp_Write(u->tcp, (const uint8_t *)options->request->str,
                    options->request->len);
    else
        u->request = g_string_new_len(options->request->str,
                                      (gssize)options->request->len);
    return u;
}

void
GwUpstream_SetKeepAlive(GwUpstream *u, int64_t seconds)
{
    u->idle_limit = seconds >= 0 ? seconds * GW_SECOND : IDLE_LIMIT_DEFAULT;
}

void
GwUpstream_Cancel(GwUpstream *u)
{
    if (u == NULL)
        return;
    TAILQ_REMOVE(&u->pool->busy, u, link);
    TAILQ_INSERT_TAIL(&u->pool->idle, u, link);
    u->ops = NULL;
    // A reset instead of an orderly close: an endpoint that was suspended
    // would otherwise read the complete request before the close, and run it
    // although nobody waits for the answer.
    GwTcp_Reset(u->tcp);
    u->tcp = NULL;
    close_connection_(u);
}

void
GwUpstream_Pause(GwUpstream *u, bool pause)
{
    u->is_paused = pause;
    GwTcp_Pause(u->tcp, pause);
}

// Returns an idle connection that may be reused, or NULL. Closes those that
// are too close to the idle timeout.
static GwUpstream *
take_idle_(GwUpstreamPool *pool, bool may_retry)
{
    GwTime now = GwTime_Now();
    GwUpstream *u;

    while ((u = TAILQ_FIRST(&pool->idle)) != NULL) {
        GwTime age = now - u->idle_since;

        if (age < u->idle_limit - IDLE_MARGIN &&
            (may_retry || age < u->idle_limit / 2 - IDLE_MARGIN)) {
            TAILQ_REMOVE(&pool->idle, u, link);
            return u;
        }
        // The connection that was used last is first in the list: if it is too
        // old for a request that must not run twice, all are. It stays open
        // for requests that may.
        if (!may_retry && age < u->idle_limit - IDLE_MARGIN)
            return NULL;
        close_connection_(u);
    }
    return NULL;
}

static GwUpstream *
open_connection_(GwUpstreamPool *pool)
{
    GwUpstream *u = g_new0(GwUpstream, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_RESPONSES, .ops = &reader_ops, .user = u};

    u->pool = pool;
    u->reader = GwHttpReader_New(&options);
    u->idle_limit = IDLE_LIMIT_DEFAULT;
    GwTimer_Init(&u->timer, pool->options.loop, on_connect_timeout_, u);
    GwTimer_Start(&u->timer, CONNECT_TIMEOUT);
    u->tcp =
        GwTcp_Connect(pool->options.loop, &pool->options.address, &tcp_ops, u);
    pool->n_open++;
    GwCounters_Add(pool->options.counters, GW_COUNTER_UPSTREAM_OPENED, 1);
    return u;
}

// Closes @p u, which must be in the idle list, and frees it once no callback
// is in progress.
static void
close_connection_(GwUpstream *u)
{
    TAILQ_REMOVE(&u->pool->idle, u, link);
    u->pool->n_open--;
    finish_check_(u);
    u->is_deleted = true;
    u->ops = NULL;
    GwTimer_Stop(&u->timer);
    GwTcp_Close(u->tcp);
    u->tcp = NULL;
    if (u->callback_depth == 0)
        free_connection_(u);
}

// Ends the check that @p u was opened for, if any.
static void
finish_check_(GwUpstream *u)
{
    if (u->is_check)
        u->pool->is_checking = false;
    u->is_check = false;
}

static void
free_connection_(GwUpstream *u)
{
    GwHttpReader_Delete(u->reader);
    if (u->request != NULL)
        g_string_free(u->request, TRUE);
    g_free(u);
}

static void
on_connect_timeout_(void *user)
{
    GwUpstream *u = user;

    if (u->ops != NULL)
        finish_request_(u, GW_UPSTREAM_NOT_SENT, false);
    else
        close_connection_(u);
}

static void
on_open_(void *user)
{
    GwUpstream *u = user;

    u->is_open = true;
    finish_check_(u);
    GwTimer_Stop(&u->timer);
    if (u->request == NULL)
        return;
    GwTcp_Write(u->tcp, (const uint8_t *)u->request->str, u->request->len);
    g_string_free(u->request, TRUE);
    u->request = NULL;
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    GwUpstream *u = user;

    u->callback_depth++;
    // Bytes that arrive on an idle connection belong to no request.
    if (u->ops == NULL)
        close_connection_(u);
    else
        parse_answer_(u, (const char *)data, len);
    if (--u->callback_depth == 0 && u->is_deleted)
        free_connection_(u);
}

static void
parse_answer_(GwUpstream *u, const char *data, size_t len)
{
    while (len > 0) {
        size_t used = 0;
        GwHttpProgress progress =
            GwHttpReader_Feed(u->reader, data, len, &used);

        // The request may have been cancelled during a callback.
        if (u->is_deleted)
            return;
        if (u->is_skipping)
            u->ignored_bytes += used;
        if (progress == GW_HTTP_MORE && u->ignored_bytes <= IGNORED_BYTES_MAX)
            return;
        if (progress != GW_HTTP_DONE || u->ignored_bytes > IGNORED_BYTES_MAX) {
            finish_request_(u, GW_UPSTREAM_BROKEN, false);
            return;
        }
        data += used;
        len -= used;
        if (!u->is_skipping) {
            finish_request_(u, GW_UPSTREAM_COMPLETE,
                            u->keep_alive && len == 0);
            return;
        }
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    GwUpstream *u = user;
    GwUpstreamPool *pool = u->pool;
    bool refused = u->is_check && !u->is_open;
    bool is_complete = false;

    u->tcp = NULL;
    u->callback_depth++;
    pool->callback_depth++;
    if (u->ops != NULL && end == GW_TCP_FINISHED && !u->is_skipping)
        is_complete = GwHttpReader_Finish(u->reader) == GW_HTTP_DONE;
    if (u->is_deleted)
        ;
    else if (u->ops == NULL)
        close_connection_(u);
    else if (is_complete)
        finish_request_(u, GW_UPSTREAM_COMPLETE, false);
    else
        finish_request_(
            u, u->is_open ? GW_UPSTREAM_BROKEN : GW_UPSTREAM_REFUSED, false);
    if (--u->callback_depth == 0 && u->is_deleted)
        free_connection_(u);
    // on_end may have deleted the pool: its owner does so when the last
    // request of a removed endpoint ends.
    if (refused && !pool->is_deleted)
        pool->options.on_refused(pool->options.user, pool);
    if (--pool->callback_depth == 0 && pool->is_deleted)
        g_free(pool);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    GwUpstream *u = user;
    GwHeadVerdict verdict;

    // An interim answer (1xx) is ignored; the final one follows.
    if (head->status < 200) {
        u->is_skipping = true;
        return true;
    }
    GwHttpReader_ExpectNoBody(u->reader, u->has_no_body);
    verdict = u->ops->on_head(u->user, head);
    u->is_skipping = verdict == GW_HEAD_SKIP;
    u->keep_alive = head->keep_alive && verdict != GW_HEAD_ACCEPT_AND_CLOSE;
    return !u->is_skipping || ++u->foreign_answers <= FOREIGN_ANSWERS_MAX;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    GwUpstream *u = user;

    if (!u->is_skipping)
        u->ops->on_body(u->user, data, len);
    return !u->is_deleted;
}

// Makes the connection idle, or closes it unless @p keep_alive, and reports
// the outcome of its request.
static void
finish_request_(GwUpstream *u, GwUpstreamOutcome outcome, bool keep_alive)
{
    const GwUpstreamOps *ops = u->ops;
    void *owner = u->user;

    u->ops = NULL;
    TAILQ_REMOVE(&u->pool->busy, u, link);
    TAILQ_INSERT_HEAD(&u->pool->idle, u, link);
    u->idle_since = GwTime_Now();
    if (!keep_alive || u->tcp == NULL)
        close_connection_(u);
    else if (u->is_paused)
        // The next request on this connection must get its answer.
        GwUpstream_Pause(u, false);
    ops->on_end(owner, outcome);
}
