#include <gtest/gtest.h>

#include <vector>

#include "galenagw/sidecar/roll.h"

TEST(Roll, AnEngineStartsWhenTheOneItFollowsIsDone)
{
    const GwTime bound = 8 * GW_SECOND;
    const struct {
        const char *name;
        GwTime outdated;
        bool first, done, lost, want;
    } cases[] = {
        {"nobody before it", 0, true, false, false, true},
        {"the one before has it", 0, false, true, false, true},
        {"the one before is at it", GW_SECOND, false, false, false, false},
        {"just lost sight of it", GW_SECOND, false, false, true, false},
        {"lost for longer than a switch", 2 * GW_SECOND, false, false, true,
         true},
        {"time is running out", 5 * GW_SECOND, false, false, false, true},
    };

    for (auto &c : cases) {
        GwRollFacts f = {c.outdated, bound, c.first, c.done, c.lost};
        EXPECT_EQ(GwRoll_MayStart(&f), c.want) << c.name;
    }
}

// Engines whose switches take between a half and four seconds, as under
// load: however slow they are, all have started well before the bound, and at
// least half of the fleet serves as long as switches take under two seconds.
TEST(Roll, AWholeFleetIsOverBeforeTheBound)
{
    const GwTime bound = 8 * GW_SECOND;
    const struct {
        size_t engines;
        GwTime takes;
        size_t most_out;
    } cases[] = {
        {9, 500 * GW_MILLISECOND, 5}, {18, 500 * GW_MILLISECOND, 9},
        {18, 2 * GW_SECOND, 9},       {41, GW_SECOND, 21},
        {3, 4 * GW_SECOND, 3},
    };

    for (auto &c : cases) {
        size_t at_once = GwRoll_AtOnce(c.engines);
        std::vector<GwTime> started(c.engines, -1);
        size_t most = 0;

        for (GwTime now = 0; now < bound; now += 10 * GW_MILLISECOND) {
            size_t out = 0;

            for (size_t i = 0; i < c.engines; i++) {
                size_t before = i - at_once;
                bool first = i < at_once;
                bool done = !first && started[before] >= 0 &&
                            now - started[before] >= c.takes;
                GwRollFacts f = {now, bound, first, done, false};

                if (started[i] < 0 && GwRoll_MayStart(&f))
                    started[i] = now;
                out += started[i] >= 0 && now - started[i] < c.takes;
            }
            most = std::max(most, out);
        }
        for (GwTime at : started) {
            EXPECT_GE(at, 0) << c.engines;
            EXPECT_LE(at, bound * 6 / 10) << c.engines;
        }
        EXPECT_LE(most, c.most_out) << c.engines;
    }
}
