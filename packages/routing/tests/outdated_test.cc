#include <gtest/gtest.h>

#include "galenagw/routing/outdated.h"

// With a bound of 8 s, the queue of an engine with outdated weights determines
// until when a request is sent to it. Times are in seconds since the new
// version was named.
TEST(Outdated, RequestsThatWouldStartTooLateAreNotSent)
{
    const struct {
        const char *name;
        uint64_t tokens;
        bool full;
        double sent_s, not_sent_s;
    } cases[] = {
        {"nothing to prefill", 0, false, 7.1, 7.3},
        {"a short prompt alone", 500, false, 7.1, 7.25},
        {"a long prompt alone", 16900, false, 6.3, 6.73},
        {"a long prompt behind another", 33800, false, 5.5, 6.0},
        {"a long prompt behind a queue", 62000, false, 4.2, 6.73},
        {"a short prompt, no slot free", 500, true, 6.5, 6.7},
        {"a queue longer than the bound", 200000, false, -1, 0.1},
    };
    const GwTime named = 100 * GW_SECOND;

    for (auto &c : cases) {
        GwOutdatedFacts f = {named, 0, 8 * GW_SECOND, c.tokens, c.full, 0};

        f.now = named + (GwTime)(c.sent_s * GW_SECOND);
        if (c.sent_s > 0) {
            EXPECT_TRUE(GwOutdated_MaySend(&f)) << c.name;
        }
        f.now = named + (GwTime)(c.not_sent_s * GW_SECOND);
        EXPECT_FALSE(GwOutdated_MaySend(&f)) << c.name;
        f.since = 0;
        EXPECT_TRUE(GwOutdated_MaySend(&f)) << c.name << ", newest weights";
    }
}

TEST(Outdated, WaitingRequestIsWithdrawnBeforeBound)
{
    const GwTime named = 100 * GW_SECOND, bound = 8 * GW_SECOND;
    GwTime at = GwOutdated_WithdrawAt(named, bound);

    EXPECT_LT(at, named + bound - 200 * GW_MILLISECOND);
    EXPECT_GT(at, named + bound - 800 * GW_MILLISECOND);
    EXPECT_EQ(GwOutdated_WithdrawAt(0, bound), 0);
}
