#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "galenagw/routing/copying.h"
#include "galenagw/routing/engine_speed.h"
#include "galenagw/routing/outdated.h"
#include "galenagw/routing/overload.h"
#include "galenagw/routing/placement.h"

static const uint64_t kTokens = 2368;

// Adds `n` answers of an idle engine with the relative speed `factor`, each
// off by lognormal noise.
static void
AddAnswers(GwEngineSpeed *speed, int n, double factor, GwTime *now,
           std::mt19937 *rng = nullptr, double noise = 0)
{
    std::normal_distribution<double> normal(0, noise);

    for (int i = 0; i < n; i++) {
        double ms = (double)kTokens / GW_NOMINAL_PREFILL_TOKENS_PER_MS + 16;
        GwSpeedSample sample = {kTokens, 0, 0};

        ms *= (noise > 0 ? std::exp(normal(*rng)) : 1) / factor;
        sample.elapsed = (GwTime)(ms * GW_MILLISECOND);
        *now += sample.elapsed + 50 * GW_MILLISECOND;
        GwEngineSpeed_AddFirstByte(speed, &sample, *now);
    }
}

static double
Relative(const GwEngineSpeed &speed, GwTime now)
{
    return GwEngineSpeed_TokensPerMs(&speed, now) /
           GW_NOMINAL_PREFILL_TOKENS_PER_MS;
}

// The time up to a first byte includes requests that were prefilled before,
// and a fixed time if the engine was idle. If these counted, a busy engine
// would seem slow, and would lose its requests to others, whatever its speed.
TEST(EngineSpeed, OnlyTheTimeOfThePromptItselfCounts)
{
    const struct {
        const char *name;
        uint64_t tokens;
        unsigned running;
        double ms;
        double since_previous_ms; // previous first byte
        double speed;             // 0: no sample
    } cases[] = {
        {"a short prompt at an idle engine", 2368, 0, 52, 900, 1},
        {"a long prompt at an idle engine", 11992, 0, 198, 900, 1},
        {"a short prompt behind others", 2368, 0, 470, 36, 1},
        {"a long prompt behind others", 11992, 0, 470, 182, 1},
        {"running requests lengthen the steps", 2368, 30, 64, 900, 1},
        {"an engine 2.5 times slower", 2368, 0, 130, 900, 0.4},
        {"the same, behind others", 2368, 0, 500, 90, 0.4},
        {"an engine 1.7 times faster", 11992, 0, 116, 900, 1.7},
        {"too short to show a speed", 200, 0, 19, 900, 0},
        {"prefilled in one step with another", 2368, 0, 80, 1, 0},
        {"nothing was prefilled", 0, 0, 16, 900, 0},
        {"no time has passed", 2368, 0, 0, 900, 0},
    };

    for (const auto &c : cases) {
        GwEngineSpeed speed = {};
        GwTime now = GW_SECOND;
        GwSpeedSample sample = {c.tokens, c.running,
                                (GwTime)(c.ms * GW_MILLISECOND)};

        for (int i = 0; i < 10; i++) {
            GwEngineSpeed_NoteFirstByte(&speed, now);
            now += (GwTime)(c.since_previous_ms * GW_MILLISECOND);
            GwEngineSpeed_AddFirstByte(&speed, &sample, now);
        }
        EXPECT_NEAR(Relative(speed, now), c.speed, 0.05 * c.speed) << c.name;
    }
}

// An engine becomes 2.5 times slower and recovers. If its estimate lagged by
// more than five answers, the engine would get its usual share while it is
// slow, and too little afterwards.
TEST(EngineSpeed, FollowsAChangeWithinFiveAnswers)
{
    int n_recovered = 0, n_recovered_later = 0; // after five and eight answers

    for (unsigned seed = 1; seed <= 20; seed++) {
        std::mt19937 rng(seed);
        GwEngineSpeed speed = {};
        GwTime now = GW_SECOND;

        AddAnswers(&speed, 40, 1, &now, &rng, 0.2);
        EXPECT_NEAR(Relative(speed, now), 1, 0.2) << seed;
        AddAnswers(&speed, 5, 0.4, &now, &rng, 0.2);
        EXPECT_LT(Relative(speed, now), 0.6) << seed;
        AddAnswers(&speed, 5, 1, &now, &rng, 0.2);
        n_recovered += Relative(speed, now) > 0.7;
        AddAnswers(&speed, 3, 1, &now, &rng, 0.2);
        n_recovered_later += Relative(speed, now) > 0.7;
    }
    EXPECT_GE(n_recovered, 16);
    EXPECT_GE(n_recovered_later, 19);
}

// Single requests may be held up by seconds. If one changed the estimate, the
// engine would lose its requests for nothing.
TEST(EngineSpeed, SingleOutliersChangeLittle)
{
    std::mt19937 rng(7);
    GwEngineSpeed speed = {};
    GwTime now = GW_SECOND;

    AddAnswers(&speed, 40, 1, &now, &rng, 0.2);
    for (int i = 0; i < 30; i++) {
        AddAnswers(&speed, 1, 0.05, &now);
        EXPECT_GT(Relative(speed, now), 0.75);
        AddAnswers(&speed, 9, 1, &now, &rng, 0.2);
        EXPECT_GT(Relative(speed, now), 0.75);
    }
}

// An engine that is found slow may get no requests at all. Without answers it
// must count with its usual speed again, or it would stay idle for ever; one
// that is always slow must then not be forgotten each time.
TEST(EngineSpeed, SlowEngineIsTriedAgain)
{
    GwEngineSpeed speed = {};
    GwTime now = GW_SECOND;

    AddAnswers(&speed, 40, 1, &now);
    AddAnswers(&speed, 5, 0.4, &now);
    EXPECT_LT(Relative(speed, now + GW_SECOND), 0.5);
    EXPECT_GT(Relative(speed, now + 3 * GW_SECOND), 0.85);
    // It has recovered: the first answer confirms this.
    now += 3 * GW_SECOND;
    AddAnswers(&speed, 1, 1, &now);
    EXPECT_GT(Relative(speed, now), 0.85);

    AddAnswers(&speed, 200, 0.4, &now);
    EXPECT_LT(Relative(speed, now + 3 * GW_SECOND), 0.5);
    // Long without requests: nothing is known any more.
    EXPECT_EQ(GwEngineSpeed_TokensPerMs(&speed, now + 61 * GW_SECOND), 0);
}

// Estimates of the engines with the relative speeds `factors`.
static std::vector<GwSpeedEstimate>
Estimates(const std::vector<double> &factors, int answers, unsigned seed,
          double noise)
{
    std::mt19937 rng(seed);
    std::vector<GwSpeedEstimate> list;

    for (double factor : factors) {
        GwEngineSpeed speed = {};
        GwTime now = GW_SECOND;

        AddAnswers(&speed, answers, factor, &now, &rng, noise);
        list.push_back(GwSpeedEstimate_Own(&speed, now));
    }
    return list;
}

// The constants must apply in services whose engines are alike and near the
// constants, however few or noisy the answers are: these services are served
// well, and noise would only move requests from their preferred engines.
TEST(EngineSpeed, ConstantsApplyUnlessEnginesMeasurablyDiffer)
{
    std::vector<double> alike(50, 1.0), slower(50, 0.9), faster(50, 1.15),
        unequal(50, 1.0), one_slow(50, 1.0), twice(50, 1.7);

    for (size_t i = 0; i < unequal.size(); i++)
        unequal[i] = 0.7 + (double)i / 49;
    one_slow[3] = 0.4;
    const struct {
        const char *name;
        std::vector<double> factors;
        int answers;
        bool applies;
    } cases[] = {
        {"alike, no answers", alike, 0, false},
        {"alike, few answers", alike, 5, false},
        {"alike, many answers", alike, 200, false},
        {"all a little slower", slower, 200, false},
        {"all a little faster", faster, 200, false},
        {"unequal, no answers", unequal, 0, false},
        {"unequal, many answers", unequal, 40, true},
        {"one is 2.5 times slower", one_slow, 40, true},
        {"all are much faster", twice, 40, true},
        {"a single engine", {0.4}, 40, false},
    };

    for (const auto &c : cases) {
        int n_applies = 0;

        for (unsigned seed = 1; seed <= 20; seed++) {
            auto list = Estimates(c.factors, c.answers, seed, 0.3);

            n_applies +=
                GwServiceSpeed_Compare(list.data(), list.size(), false)
                    .applies;
        }
        EXPECT_EQ(n_applies, c.applies ? 20 : 0) << c.name;
    }
}

// A new engine has no answers yet. It must count as average: as the fastest,
// it would get all requests, and as the slowest none, so that its speed would
// never be measured.
TEST(EngineSpeed, NewEngineStartsWithTheMedian)
{
    auto list = Estimates({0.7, 0.8, 1.2, 1.4, 1.7}, 40, 1, 0);
    auto copy = list;
    GwServiceSpeed service =
        GwServiceSpeed_Compare(copy.data(), copy.size(), false);
    GwSpeedEstimate unknown = {};

    ASSERT_TRUE(service.applies);
    EXPECT_NEAR(GwServiceSpeed_Relative(&service, &unknown, false), 1.2, 0.05);
    EXPECT_NEAR(GwServiceSpeed_Relative(&service, &list[0], false), 0.7, 0.05);
    EXPECT_NEAR(GwServiceSpeed_Relative(&service, &list[4], false), 1.7, 0.05);
    EXPECT_NEAR(GwServiceSpeed_Relative(&service, &list[4], true), 1.7 / 1.2,
                0.05);
}

// Plain endpoints have service times of any length. Only an endpoint that
// differs from the others of its service may lose requests, and not one that
// is only further away.
TEST(EngineSpeed, PlainEndpointsAreComparedWithEachOther)
{
    const struct {
        const char *name;
        double ms, first_ms; // of the others, and of the first endpoint
        double relative;     // of the first one; 0: all are equal
    } cases[] = {
        {"alike", 50, 50, 0},
        {"alike and slow", 30000, 30000, 0},
        {"in another failure domain", 0.5, 2.5, 0},
        {"three times slower", 50, 150, 0.38},
        {"three times slower, long service times", 30000, 90000, 0.33},
        {"three times faster", 3000, 1000, 3},
    };

    for (const auto &c : cases) {
        std::vector<GwSpeedEstimate> list, sorted;
        std::mt19937 rng(5);
        std::normal_distribution<double> normal(0, 0.4);
        GwServiceSpeed service;

        for (int e = 0; e < 4; e++) {
            GwEngineSpeed speed = {};

            for (int i = 0; i < 40; i++)
                GwEngineSpeed_AddServiceTime(
                    &speed,
                    (GwTime)((e == 0 ? c.first_ms : c.ms) *
                             std::exp(normal(rng)) * GW_MILLISECOND),
                    GW_SECOND);
            list.push_back(GwSpeedEstimate_Own(&speed, GW_SECOND));
        }
        sorted = list;
        service = GwServiceSpeed_Compare(sorted.data(), sorted.size(), true);
        EXPECT_NEAR(GwServiceSpeed_Relative(&service, &list[0], true),
                    c.relative, 0.35 * c.relative)
            << c.name;
    }
}

// Two plain endpoints of different speeds: the slow one must get a request
// only if the fast one has so many that it would take longer. Without measured
// speeds, the one with fewer requests is chosen.
TEST(EngineSpeed, PlainRequestsGoWhereTheyCompleteFirst)
{
    const struct {
        const char *name;
        double speeds[2];
        unsigned in_flight[2];
        int chosen;
    } cases[] = {
        {"not measured, the first has fewer", {0, 0}, {3, 4}, 0},
        {"not measured, the second has fewer", {0, 0}, {4, 3}, 1},
        {"the slow one is idle, too", {0.4, 1}, {0, 0}, 1},
        {"the slow one has a little less", {0.4, 1}, {2, 4}, 1},
        {"the fast one has much more", {0.4, 1}, {1, 9}, 0},
        {"the same, the other way round", {1, 0.4}, {9, 1}, 1},
    };

    for (const auto &c : cases) {
        for (uint64_t tie_breaker : {0, 1}) {
            GwCandidate list[2] = {};

            for (int e = 0; e < 2; e++) {
                list[e].usable = list[e].near = true;
                list[e].slots = 64;
                list[e].in_flight = c.in_flight[e];
                list[e].relative_speed = c.speeds[e];
            }
            EXPECT_EQ(GwPlacement_ChoosePlain(list, 2, tie_breaker), c.chosen)
                << c.name;
        }
    }
}

// Each change of an engine's speed is logged, but not its noise, and not more
// often than every few seconds: an engine that changes all the time would fill
// the log.
TEST(EngineSpeed, NotableChangesAreLogged)
{
    GwEngineSpeed speed = {};
    GwTime now = 100 * GW_SECOND;

    EXPECT_FALSE(GwEngineSpeed_ShouldLog(&speed, 0, now)) << "unknown";
    EXPECT_FALSE(GwEngineSpeed_ShouldLog(&speed, 66, now)) << "as assumed";
    EXPECT_TRUE(GwEngineSpeed_ShouldLog(&speed, 30, now));
    EXPECT_FALSE(GwEngineSpeed_ShouldLog(&speed, 66, now + GW_SECOND));
    EXPECT_FALSE(GwEngineSpeed_ShouldLog(&speed, 33, now + 9 * GW_SECOND));
    EXPECT_TRUE(GwEngineSpeed_ShouldLog(&speed, 66, now + 9 * GW_SECOND));
}

// A slow engine takes longer for the same queue. Its requests must be
// deferred, kept from outdated weights, and copied instead of prefilled,
// earlier.
TEST(EngineSpeed, WaitsScaleWithTheSpeed)
{
    const double slow = 0.4 * GW_NOMINAL_PREFILL_TOKENS_PER_MS;
    const double nominal = GW_NOMINAL_PREFILL_TOKENS_PER_MS;
    GwOverloadFacts deferral = {};
    GwOutdatedFacts outdated = {};

    EXPECT_EQ(GwOverload_SlowestPrefill(22000, 0), GW_SECOND);
    EXPECT_EQ(GwOverload_SlowestPrefill(22000, nominal), GW_SECOND);
    EXPECT_NEAR((double)GwOverload_SlowestPrefill(22000, slow),
                2.5 * GW_SECOND, 10);
    EXPECT_NEAR(GwCopying_PrefillSpeed(0), 45, 1e-9);
    EXPECT_NEAR(GwCopying_PrefillSpeed(nominal), 45, 1e-9);
    EXPECT_NEAR(GwCopying_PrefillSpeed(slow), 18, 1e-9);

    deferral.can_wait = true;
    deferral.target_latency = 800 * GW_MILLISECOND;
    deferral.left = 15 * GW_SECOND;
    deferral.waiting_tokens = 20000;
    deferral.own_tokens = 6000;
    for (double speed : {0.0, nominal, slow}) {
        deferral.prefill_tokens_per_ms = speed;
        EXPECT_EQ(GwOverload_Defer(&deferral) > 0, speed == slow) << speed;
    }

    outdated.engine = {100 * GW_SECOND, 8 * GW_SECOND, true, 0};
    outdated.now = 104 * GW_SECOND;
    outdated.tokens = 50000;
    for (double speed : {0.0, nominal, slow}) {
        outdated.prefill_tokens_per_ms = speed;
        EXPECT_EQ(GwOutdated_MaySend(&outdated), speed != slow) << speed;
    }
}

// Simulates engines that prefill one prompt after the other, and gateways that
// know their own requests, and those of others with a delay.
class FleetSimulation {
  public:
    struct Result {
        double p50, p99; // ms until the first token
        double in_target;
        std::vector<int> chosen; // engine of each request
    };
    std::vector<double> speeds;
    double noise = 0.3;
    bool learns = true;
    double load = 0.7; // of the capacity of all engines
    int requests = 6000;
    // An engine is 2.5 times slower at the beginning of each period.
    int slow_engine = -1;
    double slow_period = 1, slow_for = 0; // ms

    std::vector<double> arrivals; // ms

    Result
    Run(unsigned seed)
    {
        std::mt19937 rng(seed);
        std::normal_distribution<double> normal(0, noise);
        std::uniform_real_distribution<double> uniform(0, 1);
        size_t n = speeds.size();
        double capacity = 0, now = 0;
        std::vector<double> free_at(n, 0), latencies;
        std::vector<std::vector<Sent>> sent(n);
        std::vector<GwEngineSpeed> learned(n);
        Result result = {};

        for (double speed : speeds)
            capacity += speed * GW_NOMINAL_PREFILL_TOKENS_PER_MS;
        arrivals.clear();
        for (int i = 0; i < requests; i++) {
            // The draws of each request are the same in all runs of a seed.
            double gap = -std::log(1 - uniform(rng)) / (load * capacity);
            uint64_t tokens =
                (uint64_t)(2368 * std::exp(0.4 * normal(rng) / noise));
            int gateway = (int)(uniform(rng) * kGateways);
            uint64_t subject = rng() % 300;
            double error = std::exp(normal(rng));
            int e;

            now += gap * 2368 * std::exp(0.4 * 0.4 / 2);
            arrivals.push_back(now);
            Learn(&sent, &learned, now);
            e = Choose(sent, learned, gateway, subject, tokens, now);
            result.chosen.push_back(e);

            double speed = speeds[(size_t)e];
            if (e == slow_engine && std::fmod(now, slow_period) < slow_for)
                speed /= 2.5;
            double ms = (double)tokens / GW_NOMINAL_PREFILL_TOKENS_PER_MS /
                        speed * error;
            double start = std::max(now, free_at[(size_t)e]);
            free_at[(size_t)e] = start + ms;
            sent[(size_t)e].push_back(
                {gateway, now, start + ms + 16, tokens, false});
            latencies.push_back(start + ms + 16 - now);
        }
        std::sort(latencies.begin(), latencies.end());
        result.p50 = latencies[latencies.size() / 2];
        result.p99 = latencies[latencies.size() * 99 / 100];
        result.in_target = (double)(std::upper_bound(latencies.begin(),
                                                     latencies.end(), 400.0) -
                                    latencies.begin()) /
                           (double)latencies.size();
        return result;
    }

  private:
    static constexpr int kGateways = 8;
    static constexpr double kDelayMs = 20;

    struct Sent {
        int gateway;
        double at, first_byte_at;
        uint64_t tokens;
        bool is_sampled;
    };

    // Prompt tokens that wait at an engine, as the gateway knows.
    static uint64_t
    Waiting(const std::vector<Sent> &list, int gateway, double now)
    {
        uint64_t sum = 0;

        for (auto s = list.rbegin(); s != list.rend(); s++) {
            double known_at = s->gateway == gateway ? now : now - kDelayMs;

            if (s->at < known_at && s->first_byte_at > known_at)
                sum += s->tokens;
            if (now - s->at > 5000)
                break;
        }
        return sum;
    }
    // Adds the samples of answers that have arrived, as the agent of each
    // engine does with those of all gateways.
    static void
    Learn(std::vector<std::vector<Sent>> *sent,
          std::vector<GwEngineSpeed> *learned, double now)
    {
        for (size_t e = 0; e < sent->size(); e++) {
            auto &list = (*sent)[e];

            // Answers arrive in the order of the requests.
            for (size_t i = list.size() > 100 ? list.size() - 100 : 0;
                 i < list.size(); i++) {
                Sent &s = list[i];
                GwSpeedSample sample = {
                    s.tokens, 0,
                    (GwTime)((s.first_byte_at - s.at) * GW_MILLISECOND)};

                if (s.is_sampled || s.first_byte_at + kDelayMs / 2 > now)
                    continue;
                s.is_sampled = true;
                GwEngineSpeed_AddFirstByte(
                    &(*learned)[e], &sample,
                    GW_SECOND + (GwTime)(s.first_byte_at * GW_MILLISECOND));
            }
        }
    }
    int
    Choose(const std::vector<std::vector<Sent>> &sent,
           const std::vector<GwEngineSpeed> &learned, int gateway,
           uint64_t subject, uint64_t tokens, double now) const
    {
        GwTime time = GW_SECOND + (GwTime)(now * GW_MILLISECOND);
        std::vector<GwCandidate> list(speeds.size());
        std::vector<GwSpeedEstimate> estimates, sorted;
        GwRequestInfo info = {};
        GwServiceSpeed service = {};
        int preferred;

        for (const auto &speed : learned)
            estimates.push_back(GwSpeedEstimate_Own(&speed, time));
        sorted = estimates;
        if (learns)
            service =
                GwServiceSpeed_Compare(sorted.data(), sorted.size(), false);
        for (size_t e = 0; e < list.size(); e++) {
            list[e].address_hash = 1000 + e;
            list[e].usable = list[e].in_preferred_domain = true;
            list[e].slots = 64;
            list[e].prefill_tokens = Waiting(sent[e], gateway, now);
            list[e].prefill_tokens_per_ms =
                GwServiceSpeed_Relative(&service, &estimates[e], false) *
                GW_NOMINAL_PREFILL_TOKENS_PER_MS;
        }
        info.n_parts = 1;
        info.parts[0] = {subject, (uint32_t)tokens};
        info.prompt_tokens = (uint32_t)tokens;
        return GwPlacement_ChooseEngine(list.data(), list.size(), subject,
                                        &info, &preferred);
    }
};

static std::vector<double>
DrawSpeeds(size_t n, unsigned seed, double from, double to)
{
    std::mt19937 rng(seed);
    std::uniform_real_distribution<double> uniform(from, to);
    std::vector<double> speeds(n);

    for (double &speed : speeds)
        speed = uniform(rng);
    return speeds;
}

// Fleets of drawn sizes whose engines have speeds from 0.7 to 1.7. With one
// speed for all, slow engines get as many requests as fast ones and have the
// longest queues. No fleet may be served worse than with the constants.
TEST(EngineSpeedSimulation, UnequalFleetsAreServedBetter)
{
    for (unsigned seed = 1; seed <= 12; seed++) {
        FleetSimulation fleet;
        FleetSimulation::Result with_constants, learned;

        fleet.speeds = DrawSpeeds(4 + seed * 4, seed, 0.7, 1.7);
        fleet.load = 0.5 + 0.08 * (seed % 5);
        fleet.learns = false;
        with_constants = fleet.Run(seed);
        fleet.learns = true;
        learned = fleet.Run(seed);
        printf("%2zu engines, load %.2f: p50 %.0f to %.0f ms, p99 %.0f to "
               "%.0f ms, in target %.3f to %.3f\n",
               fleet.speeds.size(), fleet.load, with_constants.p50,
               learned.p50, with_constants.p99, learned.p99,
               with_constants.in_target, learned.in_target);
        EXPECT_LE(learned.p50, 1.02 * with_constants.p50) << seed;
        EXPECT_LT(learned.p99, with_constants.p99) << seed;
        EXPECT_GE(learned.in_target, with_constants.in_target - 0.001) << seed;
    }
}

// Engines that are alike and near the constants: each request must be sent to
// the same engine as with the constants, although samples are noisy.
TEST(EngineSpeedSimulation, UniformFleetsAreServedAsBefore)
{
    for (unsigned seed = 1; seed <= 8; seed++) {
        FleetSimulation fleet;

        fleet.speeds = DrawSpeeds(4 + seed * 6, seed, 0.95, 1.05);
        for (double &speed : fleet.speeds)
            speed *= seed % 2 == 0 ? 1.0 : 0.9;
        fleet.load = 0.5 + 0.08 * (seed % 5);
        fleet.learns = false;
        auto with_constants = fleet.Run(seed);
        fleet.learns = true;
        EXPECT_EQ(fleet.Run(seed).chosen, with_constants.chosen) << seed;
    }
}

// One of 20 engines becomes 2.5 times slower for 3 s, repeatedly. It must get
// fewer requests as soon as it has answered five, and its usual share after it
// has recovered. With one speed for all, an idle slow engine is chosen as if
// it was fast, and the slowest answers are slower.
TEST(EngineSpeedSimulation, SlowedEngineGetsFewerRequestsUntilItRecovers)
{
    const double period = 9000, slow_for = 3000;
    double slow_share[2] = {0, 0}, recovered_share[2] = {0, 0};
    double p99[2] = {0, 0};
    const int seeds = 6;

    for (unsigned seed = 1; seed <= seeds; seed++) {
        for (int learns = 0; learns < 2; learns++) {
            FleetSimulation fleet;
            int n_slow = 0, n_recovered = 0, total_slow = 0,
                total_recovered = 0;

            fleet.speeds.assign(20, 1.0);
            fleet.load = 0.5;
            fleet.requests = 20000;
            fleet.learns = learns > 0;
            fleet.slow_engine = 7;
            fleet.slow_period = period;
            fleet.slow_for = slow_for;
            auto result = fleet.Run(seed);
            for (size_t i = 0; i < result.chosen.size(); i++) {
                double phase = std::fmod(fleet.arrivals[i], period);

                if (fleet.arrivals[i] < period)
                    continue; // nothing has been learned yet
                // Five answers take about 700 ms.
                if (phase >= 700 && phase < slow_for) {
                    total_slow++;
                    n_slow += result.chosen[i] == 7;
                }
                else if (phase >= slow_for + 700) {
                    total_recovered++;
                    n_recovered += result.chosen[i] == 7;
                }
            }
            slow_share[learns] += 20.0 * n_slow / total_slow / seeds;
            recovered_share[learns] +=
                20.0 * n_recovered / total_recovered / seeds;
            p99[learns] += result.p99 / seeds;
        }
    }
    printf("share while slow %.2f with constants, %.2f learned; after the "
           "recovery %.2f, %.2f; p99 %.0f, %.0f ms\n",
           slow_share[0], slow_share[1], recovered_share[0],
           recovered_share[1], p99[0], p99[1]);
    EXPECT_LT(slow_share[1], 0.8 * slow_share[0]);
    EXPECT_GT(recovered_share[1], 0.85 * recovered_share[0]);
    EXPECT_LE(p99[1], p99[0]);
}
