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
        GwOutdatedFacts f = {
            {named, 8 * GW_SECOND, true, 0}, 0, c.tokens, c.full, 0, 0};

        f.now = named + (GwTime)(c.sent_s * GW_SECOND);
        if (c.sent_s > 0) {
            EXPECT_TRUE(GwOutdated_MaySend(&f)) << c.name;
        }
        f.now = named + (GwTime)(c.not_sent_s * GW_SECOND);
        EXPECT_FALSE(GwOutdated_MaySend(&f)) << c.name;
        f.engine.since = 0;
        EXPECT_TRUE(GwOutdated_MaySend(&f)) << c.name << ", newest weights";
    }
}

// Guards against requests that start late at an engine whose queue is longer
// than estimated, or not known. Times are in seconds since the new version was
// named; the bound is 8 s.
TEST(Outdated, LessKnowledgeOfTheQueueEndsItsUseEarlier)
{
    const struct {
        const char *name;
        bool is_reported;
        double observed_s, lateness_s;
        double sent_s, not_sent_s;     // last time at which it gets requests
        double withdrawn_s, dropped_s; // 0: not dropped by the engine
    } cases[] = {
        {"nothing observed", true, 0, 0, 7.1, 7.3, 7.7, 0},
        {"slow first tokens", true, 3, 0, 4.1, 4.3, 7.7, 0},
        {"late timers", true, 0, 0.4, 6.7, 6.9, 7.3, 0},
        {"no report", false, 0, 0, 5.1, 5.3, 7, 7.7},
        {"no report, slow first tokens", false, 3, 0, 2.1, 2.3, 7, 7.7},
    };
    const GwTime named = 100 * GW_SECOND;
    const auto at = [&](double s) { return named + (GwTime)(s * GW_SECOND); };

    for (auto &c : cases) {
        GwOutdatedFacts f = {};

        f.engine = {named, 8 * GW_SECOND, c.is_reported,
                    (GwTime)(c.lateness_s * GW_SECOND)};
        f.observed_wait = (GwTime)(c.observed_s * GW_SECOND);
        f.now = at(c.sent_s);
        EXPECT_TRUE(GwOutdated_MaySend(&f)) << c.name;
        f.now = at(c.not_sent_s);
        EXPECT_FALSE(GwOutdated_MaySend(&f)) << c.name;
        EXPECT_EQ(GwOutdated_WithdrawAt(&f.engine), at(c.withdrawn_s))
            << c.name;
        EXPECT_EQ(GwOutdated_DropAt(&f.engine),
                  c.dropped_s > 0 ? at(c.dropped_s) : GW_NEVER)
            << c.name;
        f.engine.since = 0;
        EXPECT_EQ(GwOutdated_WithdrawAt(&f.engine), 0) << c.name;
        EXPECT_EQ(GwOutdated_DropAt(&f.engine), GW_NEVER) << c.name;
    }
}
