#include <gtest/gtest.h>

#include "galenagw/sidecar/roll.h"

// Failure: the roll is delayed by long runs, or the time that the queue needs
// to empty before the bound is spent on waiting for them.
TEST(Roll, PreparationWaitsOnlyBrieflyForLongRuns)
{
    const struct {
        const char *name;
        GwTime elapsed;
        unsigned long_runs;
        GwTime left;
        bool expected;
    } cases[] = {
        {"preparation has just started", 10 * GW_MILLISECOND, 0, 4 * GW_SECOND,
         false},
        {"no long runs", 100 * GW_MILLISECOND, 0, 4 * GW_SECOND, true},
        {"long runs in flight", 100 * GW_MILLISECOND, 4, 4 * GW_SECOND, false},
        {"long runs that would take seconds", 700 * GW_MILLISECOND, 4,
         4 * GW_SECOND, true},
        {"the queue needs the remaining time", 0, 4, 700 * GW_MILLISECOND,
         true},
        {"the order is overdue", 0, 4, -GW_SECOND, true},
    };

    for (auto &c : cases)
        EXPECT_EQ(GwRoll_IsPrepared(c.elapsed, c.long_runs, c.left),
                  c.expected)
            << c.name;
}

// Failure: the order is sent before entries have stopped sending requests, or
// too late because requests wait at the engine without end.
TEST(Roll, SettlingWaitsForTheQueueOnlyAsTheBoundAllows)
{
    const struct {
        const char *name;
        GwTime elapsed;
        bool waits;
        GwTime left;
        bool expected;
    } cases[] = {
        {"settling has just started", 10 * GW_MILLISECOND, false, GW_SECOND,
         false},
        {"no request waits", 70 * GW_MILLISECOND, false, GW_SECOND, true},
        {"requests wait", 500 * GW_MILLISECOND, true, GW_SECOND, false},
        {"requests wait for too long", 950 * GW_MILLISECOND, true, GW_SECOND,
         true},
        {"no time left until the order", 0, true, 0, true},
    };

    for (auto &c : cases)
        EXPECT_EQ(GwRoll_IsSettled(c.elapsed, c.waits, c.left), c.expected)
            << c.name;
}
