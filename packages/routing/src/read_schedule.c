#include "galenagw/routing/read_schedule.h"

#include <string.h>
#include <xxhash.h>

/* Minimum age from which on a list counts as unconfirmed, however short the
 * bound is. Confirmations are forwarded with heartbeats over several hops, so
 * more recent ones cannot be expected. */
#define UNCONFIRMED_AGE_MIN (5 * GW_SECOND)
/* Time between two checks of a process that reads from peers. */
#define PEER_CHECK_INTERVAL (20 * GW_SECOND)
/* After a full read, the process opens sessions to peers. When they are open,
 * it knows whether it has to continue as a store reader. */
#define FULL_READ_PAUSE_MIN (300 * GW_MILLISECOND)
/* A process that received the lists from peers at its start connects to more
 * of the fleet during this time. It may find that it need not be a store
 * reader. */
#define START_DELAY (1 * GW_SECOND)
/* In heartbeat intervals of endpoints: a longer time between two confirmations
 * suggests an outage of the store in which records expired. Records expire
 * after three intervals without renewal, so none does in an outage of less
 * than two. */
#define CONFIRMATION_GAP_MAX 1.7
/* Time after an outage of the store until all processes have read the removals
 * of the records that expired in it. */
#define OUTAGE_EFFECT_TIME (2 * GW_SECOND)

void
GwReadSchedule_Init(GwReadSchedule *schedule, const char *name, GwTime bound,
                    GwTime heartbeat_interval)
{
    *schedule = (GwReadSchedule){
        .bound = bound > 0 ? bound : GW_READ_BOUND_DEFAULT,
        .cluster_size = 1,
        .max_gap = (GwTime)(CONFIRMATION_GAP_MAX * (double)heartbeat_interval),
    };
    if (name != NULL)
        schedule->hash_fraction =
            (double)XXH64(name, strlen(name), 0) / (double)UINT64_MAX;
}

void
GwReadSchedule_WaitForPeers(GwReadSchedule *schedule, GwTime now, GRand *rand)
{
    double share = 1 + g_rand_double(rand);

    schedule->wait_for_peers_until =
        now + (GwTime)(share * (double)schedule->bound);
}

void
GwReadSchedule_SetClusterSize(GwReadSchedule *schedule, unsigned cluster_size)
{
    schedule->cluster_size = MAX(cluster_size, 1);
}

bool
GwReadSchedule_ReadsFromPeers(const GwReadSchedule *schedule)
{
    return schedule->cluster_size > GW_STORE_READERS &&
           schedule->hash_fraction * schedule->cluster_size > GW_STORE_READERS;
}

bool
GwReadSchedule_IsWaitingForPeers(const GwReadSchedule *schedule, GwList list,
                                 GwTime now)
{
    bool received_from_peers =
        schedule->confirmed_at[list] > 0 && schedule->cluster_size > 1;

    return now < schedule->wait_for_peers_until && !received_from_peers;
}

GwTime
GwReadSchedule_Delay(const GwReadSchedule *schedule, GwList list, GwTime now,
                     GRand *rand)
{
    GwTime age = GwReadSchedule_Age(schedule, list, now);
    GwTime max_age = MAX(schedule->bound, UNCONFIRMED_AGE_MIN);

    if (GwReadSchedule_IsWaitingForPeers(schedule, list, now))
        return schedule->wait_for_peers_until - now;
    if (GwReadSchedule_ReadsFromPeers(schedule) && age >= 0 && age <= max_age)
        return GwTime_Jitter(rand, PEER_CHECK_INTERVAL);
    return 0;
}

GwTime
GwReadSchedule_DelayAfterAnswer(const GwReadSchedule *schedule,
                                bool was_full_read, GwTime pause, GRand *rand)
{
    if (GwReadSchedule_ReadsFromPeers(schedule))
        return GwTime_Jitter(rand, PEER_CHECK_INTERVAL);
    // The same update answers the calls of all store readers. If they all
    // paused for the same time, no process would receive the departure of an
    // endpoint until the pause is over.
    if (schedule->cluster_size > GW_STORE_READERS)
        pause = (GwTime)(g_rand_double(rand) * (double)pause);
    return was_full_read ? MAX(pause, FULL_READ_PAUSE_MIN) : pause;
}

GwTime
GwReadSchedule_DelayAfterFailure(const GwReadSchedule *schedule, GwTime pause,
                                 GRand *rand)
{
    // Store readers detect that the store is available again and send its
    // updates to peers.
    return GwReadSchedule_ReadsFromPeers(schedule)
               ? GwTime_Jitter(rand, PEER_CHECK_INTERVAL)
               : pause;
}

GwTime
GwReadSchedule_DelayAfterStart(GRand *rand)
{
    return GwTime_Jitter(rand, START_DELAY);
}

void
GwReadSchedule_Confirm(GwReadSchedule *schedule, GwList list, GwTime at)
{
    if (at - schedule->confirmed_at[list] > schedule->max_gap)
        schedule->available_since[list] = at;
    schedule->confirmed_at[list] = MAX(schedule->confirmed_at[list], at);
}

bool
GwReadSchedule_WasStoreAvailable(const GwReadSchedule *schedule, GwList list,
                                 GwTime now)
{
    GwTime settled_at = GwReadSchedule_SettledAt(schedule, list, now);

    return settled_at > 0 && settled_at <= now;
}

GwTime
GwReadSchedule_SettledAt(const GwReadSchedule *schedule, GwList list,
                         GwTime now)
{
    if (schedule->confirmed_at[list] == 0 ||
        now - schedule->confirmed_at[list] > schedule->max_gap)
        return 0;
    return schedule->available_since[list] + OUTAGE_EFFECT_TIME;
}

GwTime
GwReadSchedule_AvailableFor(const GwReadSchedule *schedule, GwList list)
{
    return schedule->confirmed_at[list] > 0
               ? schedule->confirmed_at[list] - schedule->available_since[list]
               : -1;
}

void
GwReadSchedule_NoteAvailable(GwReadSchedule *schedule, GwList list,
                             GwTime since, GwTime until)
{
    // Between the peer's last confirmation and the first one here, the store
    // may have been away.
    if (schedule->confirmed_at[list] == 0 ||
        schedule->available_since[list] - until > schedule->max_gap)
        return;
    schedule->available_since[list] =
        MIN(schedule->available_since[list], since);
}

GwTime
GwReadSchedule_Age(const GwReadSchedule *schedule, GwList list, GwTime now)
{
    GwTime at = schedule->confirmed_at[list];

    return at > 0 ? MAX(now - at, 0) : -1;
}
