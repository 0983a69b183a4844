#include "galenagw/cluster/cache_feed.h"

#include "galenagw/adapter/engine.h"
#include "galenagw/http/caller.h"
#include "galenagw/routing/cached_parts.h"

/* A list of all parts that an engine or a store has cached is smaller. */
#define ANSWER_BYTES_MAX (8 * 1024 * 1024)
/* The longest wait that a cache node allows, which gives one call per second.
 */
#define LONG_POLL_WAIT_MS 1000
#define ANSWER_TIMEOUT                                                        \
    (LONG_POLL_WAIT_MS * GW_MILLISECOND + 500 * GW_MILLISECOND)
/* Delay before the next call to an unreachable cache node. */
#define RECONNECT_DELAY (500 * GW_MILLISECOND)
#define STATUS_TOO_MANY_REQUESTS 429
/* Delay between two attempts to be accepted as a follower. A refused attempt
 * costs the cache node some work, and shows that it is reachable. */
#define OVERSUBSCRIBED_RETRY_DELAY (4 * GW_SECOND)
/* Interval between short polls, used if there are more followers than the
 * cache node allows to wait, so that each of them learns of the cache node's
 * contents. A saved part is reported some hundred milliseconds late anyway.
 * With SHORT_POLL_INTERVAL_PER_FOLLOWER, all followers together send at most
 * fifty calls per second. */
#define SHORT_POLL_INTERVAL_MIN (400 * GW_MILLISECOND)
#define SHORT_POLL_INTERVAL_PER_FOLLOWER (20 * GW_MILLISECOND)
/* Delay before a read of the full contents, which stalls the cache node. The
 * delay is randomized to spread followers that start at the same time. */
#define FULL_READ_DELAY (300 * GW_MILLISECOND)
/* Share of the allowed waiting calls that is used: the last call of a follower
 * that restarts still counts for up to a second. */
#define LONG_POLL_SHARE 0.75

const char *const GwFeedState_Names[GW_FEED_STATES] = {
    [GW_FEED_UNREACHABLE] = "lost",
    [GW_FEED_OVERSUBSCRIBED] = "blind",
    [GW_FEED_FOLLOWING] = "telling",
};

struct GwCacheFeed {
    GwCacheFeedOptions options;
    GwHttpCaller *http_call;
    GwTimer call_timer;
    GwFeedState state;
    bool needs_full_read; /* events were lost: the next call reads the full
                             contents */
    unsigned followers;
    int64_t epoch;      /* incarnation of the cache node; -1: unknown */
    int64_t next_event; /* number of the next event to read */
};

static bool must_short_poll_(const GwCacheFeed *f);
static GwTime short_poll_interval_(const GwCacheFeed *f);
static void send_call_(void *user);
static void on_call_done_(void *user, GwCallOutcome outcome, int status,
                          const char *body, size_t len);
static void schedule_next_call_(GwCacheFeed *f);
static bool apply_page_(GwCacheFeed *f, const char *body, size_t len,
                        GwEventsPage *page, GwError *err);
static void on_event_(void *user, const GwCacheEvent *event);
static void set_unreachable_(GwCacheFeed *f, const char *why);
static void set_state_(GwCacheFeed *f, GwFeedState state, const char *why);

GwCacheFeed *
GwCacheFeed_New(GwLoop *loop, const GwCacheFeedOptions *options)
{
    GwCacheFeed *f = g_new0(GwCacheFeed, 1);

    f->options = *options;
    f->epoch = -1;
    f->http_call = GwHttpCaller_New(loop, &f->options.address);
    GwHttpCaller_SetMaxBody(f->http_call, ANSWER_BYTES_MAX);
    GwTimer_Init(&f->call_timer, loop, send_call_, f);
    GwTimer_Start(&f->call_timer, 0);
    return f;
}

void
GwCacheFeed_Delete(GwCacheFeed *f)
{
    if (f == NULL)
        return;
    GwTimer_Stop(&f->call_timer);
    GwHttpCaller_Delete(f->http_call);
    g_free(f);
}

void
GwCacheFeed_SetFollowers(GwCacheFeed *f, unsigned followers)
{
    f->followers = followers;
}

GwFeedState
GwCacheFeed_State(const GwCacheFeed *f)
{
    return f->state;
}

static bool
must_short_poll_(const GwCacheFeed *f)
{
    return f->options.max_followers > 0 &&
           f->followers > LONG_POLL_SHARE * f->options.max_followers;
}

static GwTime
short_poll_interval_(const GwCacheFeed *f)
{
    return MAX(SHORT_POLL_INTERVAL_MIN,
               f->followers * SHORT_POLL_INTERVAL_PER_FOLLOWER);
}

static void
send_call_(void *user)
{
    GwCacheFeed *f = user;
    g_autoptr(GString) out = g_string_new(NULL);

    if (f->needs_full_read)
        GwEngine_EncodeHeld(out);
    else
        GwEngine_EncodeEvents(
            f->next_event, must_short_poll_(f) ? 0 : LONG_POLL_WAIT_MS, out);
    GwHttpCaller_Send(f->http_call, out, ANSWER_TIMEOUT, on_call_done_, f);
}

static void
on_call_done_(void *user, GwCallOutcome outcome, int status, const char *body,
              size_t len)
{
    GwCacheFeed *f = user;
    GwEventsPage page;
    GwError err = {0};

    if (outcome == GW_CALL_ANSWERED && status == STATUS_TOO_MANY_REQUESTS) {
        set_state_(f, GW_FEED_OVERSUBSCRIBED, "too many followers");
        GwTimer_Start(
            &f->call_timer,
            GwTime_Jitter(f->options.rand, must_short_poll_(f)
                                               ? short_poll_interval_(f)
                                               : OVERSUBSCRIBED_RETRY_DELAY));
        return;
    }
    if (outcome != GW_CALL_ANSWERED || status != 200) {
        set_unreachable_(f, GwCallOutcome_Names[outcome]);
        return;
    }
    if (!apply_page_(f, body, len, &page, &err)) {
        set_unreachable_(f, err.message);
        return;
    }
    if (page.epoch != f->epoch && f->epoch >= 0) {
        // The cache node has restarted with an empty cache, and its events are
        // numbered from the beginning again.
        f->options.ops->on_reset(f->options.user, true);
        f->next_event = 0;
    }
    else {
        f->next_event = page.next;
    }
    f->epoch = page.epoch;
    // Events are missing, also if this process has just started and the cache
    // node has dropped its older events. Without a full read, engines would
    // prefill parts again that the cache node holds.
    f->needs_full_read = page.lost;
    set_state_(f, GW_FEED_FOLLOWING, "answered");
    if (f->options.ops->on_page != NULL)
        f->options.ops->on_page(f->options.user);
    schedule_next_call_(f);
}

static void
schedule_next_call_(GwCacheFeed *f)
{
    GRand *rand = f->options.rand;

    if (f->needs_full_read)
        GwTimer_Start(&f->call_timer, GwTime_Jitter(rand, FULL_READ_DELAY));
    else if (must_short_poll_(f))
        GwTimer_Start(&f->call_timer,
                      GwTime_Jitter(rand, short_poll_interval_(f)));
    else if (f->options.min_interval > 0)
        GwTimer_Start(&f->call_timer, f->options.min_interval);
    else
        send_call_(f);
}

static bool
apply_page_(GwCacheFeed *f, const char *body, size_t len, GwEventsPage *page,
            GwError *err)
{
    if (!f->needs_full_read)
        return GwEngine_DecodeEvents(body, len, page, on_event_, f, err);
    f->options.ops->on_reset(f->options.user, false);
    // The answer describes the current incarnation, whichever it is; with an
    // unknown epoch it causes no second reset.
    f->epoch = -1;
    return GwEngine_DecodeHeld(body, len, page, on_event_, f, err);
}

static void
on_event_(void *user, const GwCacheEvent *event)
{
    GwCacheFeed *f = user;

    // A part of which some blocks were evicted is reported as evicted: its
    // other blocks will be evicted next.
    f->options.ops->on_part(f->options.user,
                            GwCachedParts_Key(event->scope, event->part),
                            event->added ? MAX(event->tokens, 1) : 0);
}

static void
set_unreachable_(GwCacheFeed *f, const char *why)
{
    if (f->state != GW_FEED_UNREACHABLE) {
        f->options.ops->on_reset(f->options.user, true);
        f->epoch = -1;
        f->next_event = 0;
        f->needs_full_read = false;
    }
    set_state_(f, GW_FEED_UNREACHABLE, why);
    GwTimer_Start(&f->call_timer,
                  GwTime_Jitter(f->options.rand, RECONNECT_DELAY));
}

static void
set_state_(GwCacheFeed *f, GwFeedState state, const char *why)
{
    if (state == f->state)
        return;
    f->state = state;
    if (f->options.ops->on_state != NULL)
        f->options.ops->on_state(f->options.user, state, why);
}
