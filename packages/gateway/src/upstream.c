#include "upstream.h"

#include <sys/queue.h>

/* Answers to other requests that are read past on one connection; more than
 * that and the endpoint does not keep to the protocol. */
#define MAX_FOREIGN 3
/* Endpoints close idle connections; a request that meets that close may have
 * run, for all that can be known. A call that may be repeated keeps this
 * distance to the limit, one that may not uses half of the time only. */
#define IDLE_MARGIN (400 * GW_MILLISECOND)
/* For endpoints that tell no limit. */
#define IDLE_UNTOLD (500 * GW_MILLISECOND)

/* A connection to a live endpoint takes a few milliseconds. One that takes
 * longer than this is to a dead one, or its packets were lost; nothing was
 * sent, so the request may go elsewhere at once. */
#define CONNECT_TIMEOUT (300 * GW_MILLISECOND)

struct GwUpstream {
    TAILQ_ENTRY(GwUpstream) link; /* in the pool's idle or busy list */
    GwUpstreamPool *pool;
    GwTcp *tcp;
    GwHttpReader *reader;
    GString *request; /* until the connection is open */
    GwTimer timer;    /* for the connection to open */
    const GwUpstreamOps *ops;
    void *user; /* NULL ops: idle */
    bool open;
    bool is_check; /* shows, once it is open, that the endpoint listens */
    bool has_no_body;
    bool skipping;
    bool keep;
    unsigned foreign;
    GwTime idle_limit;
    GwTime idle_since;
    int depth; /* callbacks in progress: the struct must not be freed */
    bool dead; /* freed once the last of them returns */
};

struct GwUpstreamPool {
    GwUpstreamPoolOptions options;
    bool is_checked; /* a check is under way */
    int depth;       /* callbacks in progress: the struct must not be freed */
    bool dead;       /* freed once the last of them returns */
    unsigned open;
    TAILQ_HEAD(Upstreams, GwUpstream) idle; /* newest first */
    struct Upstreams busy;
};

const char *const GwUpstreamEnd_Names[GW_UPSTREAM_ENDS] = {
    [GW_UPSTREAM_COMPLETE] = "complete",
    [GW_UPSTREAM_NOT_SENT] = "not_sent",
    [GW_UPSTREAM_REFUSED] = "refused",
    [GW_UPSTREAM_BROKEN] = "broken",
};

static GwUpstream *take_idle_(GwUpstreamPool *pool, bool may_repeat);
static GwUpstream *open_(GwUpstreamPool *pool);
static void free_(GwUpstream *u);
static void release_(GwUpstream *u);
static void end_check_(GwUpstream *u);
static void read_(GwUpstream *u, const char *data, size_t len);
static void on_connect_timeout_(void *user);
static void on_open_(void *user);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void end_(GwUpstream *u, GwUpstreamEnd end, bool keep);

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
    pool->dead = true;
    if (pool->depth == 0)
        g_free(pool);
}

void
GwUpstreamPool_CloseIdle(GwUpstreamPool *pool)
{
    while (!TAILQ_EMPTY(&pool->idle))
        free_(TAILQ_FIRST(&pool->idle));
}

void
GwUpstreamPool_Check(GwUpstreamPool *pool)
{
    GwUpstream *u;

    if (pool->is_checked)
        return;
    u = open_(pool);
    u->is_check = true;
    u->idle_since = GwTime_Now();
    pool->is_checked = true;
    TAILQ_INSERT_HEAD(&pool->idle, u, link);
}

unsigned
GwUpstreamPool_Open(const GwUpstreamPool *pool)
{
    return pool->open;
}

GwUpstream *
GwUpstream_Send(GwUpstreamPool *pool, const GwUpstreamOptions *options)
{
    GwUpstream *u = take_idle_(pool, options->may_repeat);

    if (u != NULL)
        GwCounters_Add(pool->options.counters, GW_COUNTER_UPSTREAM_REUSED, 1);
    else
        u = open_(pool);
    TAILQ_INSERT_TAIL(&pool->busy, u, link);
    u->ops = options->ops;
    u->user = options->user;
    u->has_no_body = options->has_no_body;
    u->foreign = 0;
    if (u->open)
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
    u->idle_limit = seconds >= 0 ? seconds * GW_SECOND : IDLE_UNTOLD;
}

void
GwUpstream_Cancel(GwUpstream *u)
{
    if (u == NULL)
        return;
    TAILQ_REMOVE(&u->pool->busy, u, link);
    TAILQ_INSERT_TAIL(&u->pool->idle, u, link);
    u->ops = NULL;
    // A reset, not an orderly end: an endpoint that stands still would find
    // the whole request before that end, and run it for nobody.
    GwTcp_Reset(u->tcp);
    u->tcp = NULL;
    free_(u);
}

void
GwUpstream_Pause(GwUpstream *u, bool pause)
{
    GwTcp_Pause(u->tcp, pause);
}

static GwUpstream *
take_idle_(GwUpstreamPool *pool, bool may_repeat)
{
    GwTime now = GwTime_Now();
    GwUpstream *u;

    while ((u = TAILQ_FIRST(&pool->idle)) != NULL) {
        GwTime age = now - u->idle_since;

        if (age < u->idle_limit - IDLE_MARGIN &&
            (may_repeat || age < u->idle_limit / 2 - IDLE_MARGIN)) {
            TAILQ_REMOVE(&pool->idle, u, link);
            return u;
        }
        // The newest comes first: where it is too old, all are.
        if (!may_repeat && age < u->idle_limit - IDLE_MARGIN)
            return NULL;
        free_(u);
    }
    return NULL;
}

static GwUpstream *
open_(GwUpstreamPool *pool)
{
    GwUpstream *u = g_new0(GwUpstream, 1);
    GwHttpReaderOptions options = {
        .reads = GW_HTTP_RESPONSES, .ops = &reader_ops, .user = u};

    u->pool = pool;
    u->reader = GwHttpReader_New(&options);
    u->idle_limit = IDLE_UNTOLD;
    GwTimer_Init(&u->timer, pool->options.loop, on_connect_timeout_, u);
    GwTimer_Start(&u->timer, CONNECT_TIMEOUT);
    u->tcp =
        GwTcp_Connect(pool->options.loop, &pool->options.address, &tcp_ops, u);
    pool->open++;
    GwCounters_Add(pool->options.counters, GW_COUNTER_UPSTREAM_OPENED, 1);
    return u;
}

// Must be in the idle list.
static void
free_(GwUpstream *u)
{
    TAILQ_REMOVE(&u->pool->idle, u, link);
    u->pool->open--;
    end_check_(u);
    u->dead = true;
    u->ops = NULL;
    GwTimer_Stop(&u->timer);
    GwTcp_Close(u->tcp);
    u->tcp = NULL;
    if (u->depth == 0)
        release_(u);
}

static void
end_check_(GwUpstream *u)
{
    if (u->is_check)
        u->pool->is_checked = false;
    u->is_check = false;
}

static void
release_(GwUpstream *u)
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
        end_(u, GW_UPSTREAM_NOT_SENT, false);
    else
        free_(u);
}

static void
on_open_(void *user)
{
    GwUpstream *u = user;

    u->open = true;
    end_check_(u);
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

    u->depth++;
    // Bytes on an idle connection belong to no request.
    if (u->ops == NULL)
        free_(u);
    else
        read_(u, (const char *)data, len);
    if (--u->depth == 0 && u->dead)
        release_(u);
}

static void
read_(GwUpstream *u, const char *data, size_t len)
{
    while (len > 0) {
        size_t used = 0;
        GwHttpProgress progress =
            GwHttpReader_Feed(u->reader, data, len, &used);

        // The callee may have cancelled from inside a callback.
        if (progress == GW_HTTP_MORE || u->dead)
            return;
        if (progress != GW_HTTP_DONE) {
            end_(u, GW_UPSTREAM_BROKEN, false);
            return;
        }
        data += used;
        len -= used;
        if (!u->skipping) {
            end_(u, GW_UPSTREAM_COMPLETE, u->keep && len == 0);
            return;
        }
    }
}

static void
on_closed_(void *user, GwTcpEnd end)
{
    GwUpstream *u = user;
    GwUpstreamPool *pool = u->pool;
    bool refused = u->is_check && !u->open;
    bool whole = false;

    u->tcp = NULL;
    u->depth++;
    pool->depth++;
    if (u->ops != NULL && end == GW_TCP_FINISHED && !u->skipping)
        whole = GwHttpReader_Finish(u->reader) == GW_HTTP_DONE;
    if (u->dead)
        ;
    else if (u->ops == NULL)
        free_(u);
    else if (whole)
        end_(u, GW_UPSTREAM_COMPLETE, false);
    else
        end_(u, u->open ? GW_UPSTREAM_BROKEN : GW_UPSTREAM_REFUSED, false);
    if (--u->depth == 0 && u->dead)
        release_(u);
    // on_end may have deleted the pool: its owner does so when the last
    // request of a removed endpoint ends.
    if (refused && !pool->dead)
        pool->options.on_refused(pool->options.user, pool);
    if (--pool->depth == 0 && pool->dead)
        g_free(pool);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    GwUpstream *u = user;
    GwHeadVerdict verdict;

    // An interim answer tells nothing yet; the final one follows.
    if (head->status < 200) {
        u->skipping = true;
        return true;
    }
    GwHttpReader_ExpectNoBody(u->reader, u->has_no_body);
    verdict = u->ops->on_head(u->user, head);
    u->skipping = verdict == GW_HEAD_SKIP;
    u->keep = head->keep_alive;
    return !u->skipping || ++u->foreign <= MAX_FOREIGN;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    GwUpstream *u = user;

    if (!u->skipping)
        u->ops->on_body(u->user, data, len);
    return !u->dead;
}

static void
end_(GwUpstream *u, GwUpstreamEnd end, bool keep)
{
    const GwUpstreamOps *ops = u->ops;
    void *owner = u->user;

    u->ops = NULL;
    TAILQ_REMOVE(&u->pool->busy, u, link);
    TAILQ_INSERT_HEAD(&u->pool->idle, u, link);
    u->idle_since = GwTime_Now();
    if (!keep || u->tcp == NULL)
        free_(u);
    ops->on_end(owner, end);
}
