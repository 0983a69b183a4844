#include "galenagw/routing/reading.h"

#include <string.h>
#include <xxhash.h>

/* Confirmations pass on with heartbeats, over a handful of hops: more recent
 * ones cannot be expected, however short the bound is. */
#define CONFIRMED_WITHIN_LEAST (5 * GW_SECOND)
/* Between two looks of a process that leaves the reading to others. */
#define REST (20 * GW_SECOND)
/* After a whole reading, sessions to peers are opened meanwhile: then it is
 * known whether this process reads on. */
#define SETTLE (300 * GW_MILLISECOND)
/* A process that was told the lists learns of more of the fleet meanwhile, and
 * may find that it need not read. */
#define LEARN_FLEET (1 * GW_SECOND)

void
GwReading_Init(GwReading *reading, const char *name, GwTime bound)
{
    *reading = (GwReading){
        .bound = bound > 0 ? bound : GW_READING_BOUND,
        .sharers = 1,
    };
    if (name != NULL)
        reading->draw =
            (double)XXH64(name, strlen(name), 0) / (double)UINT64_MAX;
}

void
GwReading_WaitForPeers(GwReading *reading, GwTime now, GRand *rand)
{
    double share = 1 + g_rand_double(rand);

    reading->waits_until = now + (GwTime)(share * (double)reading->bound);
}

void
GwReading_SetSharers(GwReading *reading, unsigned sharers)
{
    reading->sharers = MAX(sharers, 1);
}

bool
GwReading_Rests(const GwReading *reading)
{
    return reading->sharers > GW_READERS &&
           reading->draw * reading->sharers > GW_READERS;
}

bool
GwReading_Waits(const GwReading *reading, GwList list, GwTime now)
{
    bool is_told = reading->confirmed_at[list] > 0 && reading->sharers > 1;

    return now < reading->waits_until && !is_told;
}

GwTime
GwReading_Look(const GwReading *reading, GwList list, GwTime now, GRand *rand)
{
    GwTime age = GwReading_Age(reading, list, now);
    GwTime most = MAX(reading->bound, CONFIRMED_WITHIN_LEAST);

    if (GwReading_Waits(reading, list, now))
        return reading->waits_until - now;
    if (GwReading_Rests(reading) && age >= 0 && age <= most)
        return GwTime_Jitter(rand, REST);
    return 0;
}

GwTime
GwReading_AfterAnswer(const GwReading *reading, bool is_whole, GwTime pause,
                      GRand *rand)
{
    if (GwReading_Rests(reading))
        return GwTime_Jitter(rand, REST);
    // The same news answer all readers, which would pause together: until they
    // had, nobody would hear of an endpoint that leaves.
    if (reading->sharers > GW_READERS)
        pause = (GwTime)(g_rand_double(rand) * (double)pause);
    return is_whole ? MAX(pause, SETTLE) : pause;
}

GwTime
GwReading_AfterFailure(const GwReading *reading, GwTime pause, GRand *rand)
{
    // Readers find out when the store is back, and tell.
    return GwReading_Rests(reading) ? GwTime_Jitter(rand, REST) : pause;
}

GwTime
GwReading_AfterStart(GRand *rand)
{
    return GwTime_Jitter(rand, LEARN_FLEET);
}

void
GwReading_Confirm(GwReading *reading, GwList list, GwTime at)
{
    reading->confirmed_at[list] = MAX(reading->confirmed_at[list], at);
}

GwTime
GwReading_Age(const GwReading *reading, GwList list, GwTime now)
{
    GwTime at = reading->confirmed_at[list];

    return at > 0 ? MAX(now - at, 0) : -1;
}
