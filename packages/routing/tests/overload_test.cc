#include <gtest/gtest.h>

#include <map>
#include <random>

#include "galenagw/routing/overload.h"

static const GwTime kAim = 800 * GW_MILLISECOND;

static GwOverloadFacts
Facts()
{
    GwOverloadFacts f = {};

    f.can_wait = true;
    f.aim = kAim;
    f.left = 15 * GW_SECOND;
    f.own_tokens = 6000;
    f.kv_total = 143000;
    f.kv_used = 90000; // a busy engine
    f.kv_needed = 12000;
    return f;
}

// Prompts of 12,000 tokens that run for seconds fill engines' memory before
// their time: 180 engines of 141,000 tokens ran 15 requests each, 93 in 100 of
// their memory, with nothing in the queue. Each urgent prompt that came then
// made an engine preempt a long one and read it again. What waits will claim
// its memory as well, and reports are older than the other entries' sends.
TEST(Overload, LongPromptsWaitForMemoryAndLeaveSomeForUrgentOnes)
{
    const struct {
        const char *name;
        uint64_t used, waiting, needed;
        uint32_t total;
        int64_t ms;
    } cases[] = {
        {"an idle engine", 0, 0, 12000, 141000, 0},
        {"it fits, and leaves room", 100000, 10000, 12000, 141000, 0},
        {"it fits by what is used, but others wait", 100000, 30000, 12000,
         141000, 321},
        {"it fits into the last of the memory alone", 125000, 0, 12000, 141000,
         214},
        {"full", 141000, 0, 12000, 141000, 555},
        {"no report yet", 0, 30000, 12000, 0, 0},
    };

    for (const auto &c : cases)
        EXPECT_NEAR((double)GwOverload_MemoryWait(c.used, c.waiting, c.needed,
                                                  c.total, 0.9) /
                        GW_MILLISECOND,
                    (double)c.ms, 1)
            << c.name;
}

TEST(Overload, WhoIsToldToComeBack)
{
    const struct {
        const char *name;
        uint64_t waiting, own;
        uint32_t used;
        bool can_wait, deferred;
        GwTime left;
    } cases[] = {
        {"an idle engine", 0, 6000, 0, true, false, 15 * GW_SECOND},
        {"a short queue", 8000, 6000, 90000, true, false, 15 * GW_SECOND},
        {"a queue longer than the aim", 24000, 6000, 90000, true, true,
         15 * GW_SECOND},
        {"the same, nobody is more urgent", 24000, 6000, 90000, false, false,
         15 * GW_SECOND},
        {"the same, an engine that runs little", 24000, 6000, 10000, true,
         false, 15 * GW_SECOND},
        {"a short prompt is let in late", 24000, 1800, 90000, true, false,
         15 * GW_SECOND},
        {"a prompt too long for its aim, alone", 0, 50000, 90000, true, false,
         15 * GW_SECOND},
        {"a prompt too long for its aim, in a queue", 12000, 50000, 90000,
         true, true, 15 * GW_SECOND},
        {"a short queue, but no memory", 12000, 6000, 130000, true, true,
         15 * GW_SECOND},
        {"no memory, but nothing waits", 0, 6000, 130000, true, false,
         15 * GW_SECOND},
        {"no time to come back", 24000, 6000, 90000, true, false,
         1 * GW_SECOND},
    };

    for (auto &c : cases) {
        GwOverloadFacts f = Facts();

        f.waiting_tokens = c.waiting;
        f.own_tokens = c.own;
        f.kv_used = c.used;
        f.can_wait = c.can_wait;
        f.left = c.left;
        EXPECT_EQ(GwOverload_Defer(&f) > 0, c.deferred) << c.name;
    }
}

TEST(Overload, ALongerQueueIsAnsweredByALaterReturn)
{
    GwOverloadFacts f = Facts();
    GwTime before = 0;

    for (uint64_t waiting : {24000, 40000, 60000}) {
        f.waiting_tokens = waiting;
        GwTime after = GwOverload_Defer(&f);
        EXPECT_GT(after, before) << waiting;
        EXPECT_LE(after, 2 * GW_SECOND) << waiting;
        before = after;
    }
}

TEST(Overload, WithoutAnAimNobodyIsDeferred)
{
    GwOverloadFacts f = Facts();

    f.aim = 0;
    f.waiting_tokens = 1000000;
    EXPECT_EQ(GwOverload_Defer(&f), 0);
}

// An engine that reads 30 tokens in a millisecond is asked for a quarter more
// than that for twenty seconds. Callers leave after 3.2 s; one that was told
// to come back does so once.
struct Outcome {
    int asked = 0, in_aim = 0, late = 0, left = 0, refused = 0;
};

static Outcome
Play(bool defers)
{
    const double read_per_ms = 30, own = 6000,
                 gap_ms = own / read_per_ms / 1.25;
    const double patience_ms = 3200, aim_ms = 800, length_ms = 20000;
    std::mt19937 rng(3);
    std::exponential_distribution<double> gap(1 / gap_ms);
    std::multimap<double, double> arrivals; // when, and when first asked
    double free_at = 0;
    Outcome o;

    for (double t = gap(rng); t < length_ms; t += gap(rng))
        arrivals.emplace(t, t);
    o.asked = (int)arrivals.size();
    while (!arrivals.empty()) {
        auto [now, first] = *arrivals.begin();
        GwOverloadFacts f = Facts();
        double starts = std::max(free_at, now);

        arrivals.erase(arrivals.begin());
        f.left = (GwTime)((first + 15000 - now) * GW_MILLISECOND);
        f.waiting_tokens = (uint64_t)((starts - now) * read_per_ms);
        GwTime later = defers ? GwOverload_Defer(&f) : 0;
        if (later > 0) {
            if (first < now)
                o.refused++;
            else
                arrivals.emplace(now + (double)later / GW_MILLISECOND, first);
            continue;
        }
        // What is read for a caller that leaves meanwhile is read in vain.
        free_at = starts + own / read_per_ms;
        if (free_at - now > patience_ms) {
            free_at = std::max(starts, now + patience_ms);
            o.left++;
        }
        else if (free_at - first <= aim_ms)
            o.in_aim++;
        else
            o.late++;
    }
    return o;
}

TEST(Overload, MostAnswersComeInTimeWhereAllWouldBeLate)
{
    Outcome without = Play(false), with = Play(true);

    EXPECT_LT(without.in_aim, without.asked / 4) << "the load is too small";
    EXPECT_GT(with.in_aim, with.asked / 2);
    EXPECT_EQ(with.left, 0);
    // Nobody is worse off: as many are answered as without.
    EXPECT_GE(with.in_aim + with.late,
              (without.in_aim + without.late) * 95 / 100);
}
