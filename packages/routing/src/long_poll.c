#include "galenagw/routing/long_poll.h"

#include "galenagw/routing/read_schedule.h"

/* Interval at which the waiting calls of all processes combined end, as a
 * share of the bound. If calls are lost in an outage without a broken
 * connection, the first call that ends detects this, and the remainder of the
 * bound is left for forwarding updates. With twice this value, clusters of 13
 * or 25 processes received the update at the end of an outage too late after
 * one outage in 500. With this one, clusters of 60 processes receive it too
 * late after 10 of 36,000 outages, by at most a quarter of the bound. Both are
 * results of a simulation like the one in long_poll_test.cc. */
#define CALL_END_INTERVAL_SHARE 0.125
/* Maximum wait of a process without peers, as a share of the bound. */
#define SINGLE_WAIT_SHARE 0.5
/* Each call is a cost for the store. Hundreds of processes do not need more
 * frequent calls than this. */
#define WAIT_MAX (20 * GW_SECOND)
/* A call is considered lost if nothing is received for this share of the
 * bound. Answers take a few milliseconds, and up to a hundred times that if
 * the server is slow. */
#define TIMEOUT_SHARE 0.25
/* Minimum for short bounds: a connection and an answer take two round trips.
 */
#define TIMEOUT_MIN (250 * GW_MILLISECOND)
/* Every third call after a failure has a longer timeout, because the server
 * may be even slower. The others do not, because a call that is sent shortly
 * before the end of an outage is lost for its whole timeout. */
#define LONG_TIMEOUT_SHARE 0.5
#define LONG_TIMEOUT_EVERY 3
/* After this many failures in a row, that is after ten seconds or more, the
 * longer timeout is the whole bound. Without this, a store that needs more
 * than half of the bound for each answer, for example behind a congested link,
 * could never be read. */
#define FULL_TIMEOUT_AFTER 12
/* Pauses after a failure. The first one is short, because most outages affect
 * a single connection. The longest one, a share of the bound, leaves time for
 * the call itself. */
#define BACKOFF_INITIAL (50 * GW_MILLISECOND)
#define BACKOFF_MAX_SHARE 0.2

static GwTime answer_timeout_(const GwLongPoll *poll);
static GwTime share_of_bound_(const GwLongPoll *poll, double share);

void
GwLongPoll_Init(GwLongPoll *poll, GwTime bound)
{
    *poll = (GwLongPoll){
        .bound = bound > 0 ? bound : GW_READ_BOUND_DEFAULT,
        .cluster_size = 1,
    };
}

void
GwLongPoll_SetClusterSize(GwLongPoll *poll, unsigned cluster_size)
{
    poll->cluster_size = MAX(cluster_size, 1);
}

GwPollCall
GwLongPoll_Next(const GwLongPoll *poll, bool full_read, GRand *rand)
{
    GwPollCall call = {.timeout = answer_timeout_(poll)};

    if (full_read || !poll->is_current)
        return call;
    // Random from 0 on, because calls that were answered by the same update
    // would otherwise all end, or all be lost, at the same time. As they end
    // one after another, the list is confirmed at any time, however often it
    // changes.
    call.wait =
        (GwTime)(g_rand_double(rand) * (double)GwLongPoll_MaxWait(poll));
    call.timeout += call.wait;
    return call;
}

GwTime
GwLongPoll_MaxWait(const GwLongPoll *poll)
{
    return CLAMP(poll->cluster_size *
                     share_of_bound_(poll, CALL_END_INTERVAL_SHARE),
                 share_of_bound_(poll, SINGLE_WAIT_SHARE), WAIT_MAX);
}

GwTime
GwLongPoll_Answered(GwLongPoll *poll)
{
    GwTime since = poll->failing_since;

    poll->failures = 0;
    poll->failing_since = 0;
    poll->is_current = true;
    return since;
}

GwTime
GwLongPoll_Failed(GwLongPoll *poll, GwTime now, GRand *rand)
{
    GwTime pause = BACKOFF_INITIAL;
    GwTime max_pause = share_of_bound_(poll, BACKOFF_MAX_SHARE);

    for (unsigned i = 0; i < poll->failures && pause < max_pause; i++)
        pause *= 2;
    if (poll->failing_since == 0)
        poll->failing_since = now;
    poll->failures++;
    poll->is_current = false;
    return GwTime_Jitter(rand, MIN(pause, max_pause));
}

void
GwLongPoll_ResetFailures(GwLongPoll *poll)
{
    poll->failures = 0;
    poll->failing_since = 0;
}

void
GwLongPoll_AssumeLost(GwLongPoll *poll)
{
    poll->is_current = false;
}

static GwTime
answer_timeout_(const GwLongPoll *poll)
{
    double share = TIMEOUT_SHARE;

    if (poll->failures % LONG_TIMEOUT_EVERY == LONG_TIMEOUT_EVERY - 1)
        share = poll->failures > FULL_TIMEOUT_AFTER ? 1 : LONG_TIMEOUT_SHARE;
    return MAX(share_of_bound_(poll, share), TIMEOUT_MIN);
}

static GwTime
share_of_bound_(const GwLongPoll *poll, double share)
{
    return (GwTime)(share * (double)poll->bound);
}
