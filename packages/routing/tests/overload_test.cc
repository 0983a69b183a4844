#include <gtest/gtest.h>

#include <map>
#include <random>

#include "galenagw/routing/overload.h"

static const GwTime kTargetLatency = 800 * GW_MILLISECOND;

static GwOverloadFacts
Facts()
{
    GwOverloadFacts f = {};

    f.can_wait = true;
    f.target_latency = kTargetLatency;
    f.left = 15 * GW_SECOND;
    f.own_tokens = 6000;
    f.kv_total = 143000;
    f.kv_used = 90000; // a busy engine
    f.kv_needed = 12000;
    return f;
}

// Prompts of 12,000 tokens that run for seconds fill the memory of engines
// although no queue is long: 180 engines of 141,000 tokens each ran 15
// requests, used 93 % of their memory, and had empty queues. Each urgent
// prompt then made an engine preempt a long request and prefill it again. The
// wait must include memory that waiting requests will use. Reports of engines
// are also older than what other entries have sent since.
TEST(Overload, LongPromptsWaitForMemoryAndLeaveSomeForUrgentOnes)
{
    const struct {
        const char *name;
        uint64_t used, waiting, needed;
        uint32_t total;
        int64_t ms;
    } cases[] = {
        {"an idle engine", 0, 0, 12000, 141000, 0},
        {"it fits, and leaves memory free", 100000, 10000, 12000, 141000, 0},
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

// A request that can wait is deferred if it would miss its target because of
// the requests that wait before it, or because these leave too little memory.
// It is accepted in these cases: its prompt is short, and it would miss its
// target by little; its prompt alone takes longer than its target, and it
// waits for at most half of the target; its client has no time to return.
TEST(Overload, WhichRequestsAreDeferred)
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
        {"a queue longer than the target", 24000, 6000, 90000, true, true,
         15 * GW_SECOND},
        {"the same, no request is more urgent", 24000, 6000, 90000, false,
         false, 15 * GW_SECOND},
        {"the same, an engine with few requests", 24000, 6000, 10000, true,
         false, 15 * GW_SECOND},
        {"a short prompt is accepted late", 24000, 1800, 90000, true, false,
         15 * GW_SECOND},
        {"a prompt too long for its target, alone", 0, 50000, 90000, true,
         false, 15 * GW_SECOND},
        {"a prompt too long for its target, in a queue", 12000, 50000, 90000,
         true, true, 15 * GW_SECOND},
        {"a short queue, but no memory", 12000, 6000, 130000, true, true,
         15 * GW_SECOND},
        {"no memory, but nothing waits", 0, 6000, 130000, true, false,
         15 * GW_SECOND},
        {"no time to return", 24000, 6000, 90000, true, false, 1 * GW_SECOND},
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

// Engines of one fleet may differ in speed by a factor of more than two. With
// one speed for all, a slow engine gets requests that it serves late, and a
// fast one refuses requests that it could serve in time.
TEST(Overload, QueuesFollowTheMeasuredSpeed)
{
    const struct {
        const char *name;
        double prefill_tokens_per_ms;
        uint64_t waiting;
        bool deferred;
    } cases[] = {
        {"unknown", 0, 20000, false},
        {"unknown, a long queue", 0, 40000, true},
        {"nominal", 66, 20000, false},
        {"nominal, a long queue", 66, 40000, true},
        {"half of the nominal speed", 33, 20000, true},
        {"twice the nominal speed", 132, 40000, false},
    };

    for (const auto &c : cases) {
        GwOverloadFacts f = Facts();

        f.kv_used = 0;
        f.own_tokens = 12000;
        f.waiting_tokens = c.waiting;
        f.prefill_tokens_per_ms = c.prefill_tokens_per_ms;
        EXPECT_EQ(GwOverload_Defer(&f) > 0, c.deferred) << c.name;
    }
}

TEST(Overload, LongerQueueGivesLongerRetryTime)
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

TEST(Overload, NothingIsDeferredWithoutTarget)
{
    GwOverloadFacts f = Facts();

    f.target_latency = 0;
    f.waiting_tokens = 1000000;
    EXPECT_EQ(GwOverload_Defer(&f), 0);
}

// Simulates an engine that prefills 30 tokens per millisecond and gets a
// quarter more than that for 20 seconds. Clients disconnect after 3.2 s. A
// deferred client retries once.
struct LoadResult {
    int requests = 0, in_target = 0, late = 0, timed_out = 0, refused = 0;
};

static LoadResult
SimulateOverload(bool defers)
{
    const double prefill_per_ms = 30, own = 6000,
                 gap_ms = own / prefill_per_ms / 1.25;
    const double client_timeout_ms = 3200, target_ms = 800, length_ms = 20000;
    std::mt19937 rng(3);
    std::exponential_distribution<double> gap(1 / gap_ms);
    std::multimap<double, double> arrivals; // arrival, and first arrival of
                                            // the request
    double free_at = 0;
    LoadResult o;

    for (double t = gap(rng); t < length_ms; t += gap(rng))
        arrivals.emplace(t, t);
    o.requests = (int)arrivals.size();
    while (!arrivals.empty()) {
        auto [now, first] = *arrivals.begin();
        GwOverloadFacts f = Facts();
        double starts = std::max(free_at, now);

        arrivals.erase(arrivals.begin());
        f.left = (GwTime)((first + 15000 - now) * GW_MILLISECOND);
        f.waiting_tokens = (uint64_t)((starts - now) * prefill_per_ms);
        GwTime retry_delay = defers ? GwOverload_Defer(&f) : 0;
        if (retry_delay > 0) {
            if (first < now)
                o.refused++;
            else
                arrivals.emplace(now + (double)retry_delay / GW_MILLISECOND,
                                 first);
            continue;
        }
        // Prefill for a client that disconnects in the meantime is wasted.
        free_at = starts + own / prefill_per_ms;
        if (free_at - now > client_timeout_ms) {
            free_at = std::max(starts, now + client_timeout_ms);
            o.timed_out++;
        }
        else if (free_at - first <= target_ms)
            o.in_target++;
        else
            o.late++;
    }
    return o;
}

TEST(Overload, DeferringKeepsMostAnswersInTime)
{
    LoadResult without = SimulateOverload(false),
               with = SimulateOverload(true);

    EXPECT_LT(without.in_target, without.requests / 4)
        << "the load is too small";
    EXPECT_GT(with.in_target, with.requests / 2);
    EXPECT_EQ(with.timed_out, 0);
    // About as many requests are answered as without deferral: at least 95 %.
    EXPECT_GE(with.in_target + with.late,
              (without.in_target + without.late) * 95 / 100);
}
