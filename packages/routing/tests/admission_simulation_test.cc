#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "galenagw/routing/admission.h"

// Simulates gateways that send urgent prompts to engines, without a network.
// Gateways know their own prompts exactly, and those of others from reports
// that arrive after a delay. Engines prefill one prompt after the other;
// a prompt whose client has disconnected at the deadline is skipped. Clients
// retry once after Retry-After. Times are in milliseconds.

namespace {

enum class Method {
    kNone,
    kQueue,       // GwAdmissionState
    kQueueNoHerd, // the same without the estimate of what others have sent
    kInFlight,    // latency-based limit of each gateway's prompts without a
                  // first token
    kLifo,        // engines prefill the newest prompt first while the oldest
                  // one has waited longer than the target
};

struct Phase {
    double until, load; // load: share of the fleet's capacity
};

struct Fleet {
    int gateways, engines;
    double target, deadline;
    std::vector<Phase> phases;
    double slow_share = 0;    // engines with half of the usual speed
    double restart_every = 0; // an engine's queue is lost and empty
    double delay = 10;        // of reports
    bool on_change = true;    // reports are sent with each change, too
    unsigned seed = 1;
    double settled_after = 0, settled_until = 1e9;
};

constexpr double kTokens = 2368, kTokensPerMs = 66, kReportInterval = 200;
// Number of gateways that send to each engine of a large fleet.
constexpr int kFollowers = 8;

struct Result {
    int requests = 0, in_target = 0, late = 0, refused = 0, expired = 0;
    // Prompts that were accepted from settled_after on, and those of them that
    // were answered within the target from then on.
    int accepted = 0, accepted_in_target = 0;
    double busy = 0; // share of the capacity that was used in that time
    std::vector<int> arrivals, served_in_target; // by time of arrival, in
                                                 // steps of 250 ms
    double
    Share(int n) const
    {
        return (double)n / requests;
    }
    double
    InTargetFrom(double from, double to) const
    {
        int n = 0, good = 0;
        for (size_t i = (size_t)(from / 250);
             i < std::min((size_t)(to / 250), arrivals.size()); i++) {
            n += arrivals[i];
            good += served_in_target[i];
        }
        return n > 0 ? (double)good / n : 1;
    }
    // Time after which all requests are served within the target, in each step
    // of 250 ms at least 98 %.
    double
    InTargetAgainAfter(double from) const
    {
        size_t last = (size_t)(from / 250);
        for (size_t i = last; i < arrivals.size(); i++)
            if (served_in_target[i] < 0.98 * arrivals[i])
                last = i + 1;
        return (double)last * 250 - from;
    }
};

class Simulation {
  public:
    Simulation(const Fleet &fleet, Method method)
        : f_(fleet), method_(method), rng_(fleet.seed),
          gateways_(fleet.gateways), engines_(fleet.engines)
    {
        double capacity = 0;
        for (size_t i = 0; i < engines_.size(); i++) {
            engines_[i].speed =
                kTokensPerMs *
                ((double)i < fleet.slow_share * fleet.engines ? 0.5 : 1);
            capacity += engines_[i].speed / kTokens;
        }
        capacity_ = capacity;
        for (size_t i = 0; i < gateways_.size(); i++) {
            Gateway &g = gateways_[i];

            for (size_t e = 0; e < engines_.size(); e++)
                if ((e * 5 + i) % gateways_.size() < kFollowers)
                    g.followed.push_back(e);
            g.own.resize(engines_.size());
            g.others.resize(engines_.size());
            g.report_at.resize(engines_.size());
            g.sent.resize(engines_.size());
        }
        double end = fleet.phases.back().until;
        result_.arrivals.resize((size_t)(end / 250) + 1);
        result_.served_in_target.resize(result_.arrivals.size());
    }

    Result
    Run()
    {
        std::uniform_real_distribution<double> phase(0, kReportInterval);
        for (size_t e = 0; e < engines_.size(); e++)
            At(phase(rng_), [this, e] { Report(e); });
        if (f_.restart_every > 0)
            At(f_.restart_every, [this] { RestartEngine(); });
        At(0, [this] { Arrive(); });
        while (!events_.empty()) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at;
            if (now_ > f_.phases.back().until + 2 * f_.deadline)
                break;
            event.run();
        }
        return result_;
    }

  private:
    struct Prompt {
        double arrived, sent, deadline, first_arrived;
        int gateway;
    };
    struct Engine {
        double speed;
        std::deque<Prompt> queue;
        bool busy = false, is_reporting = false;
        Prompt current;
        unsigned run = 0; // changes when it restarts
    };
    struct Gateway {
        GwAdmissionState state = {};
        std::vector<double> own, others, report_at; // by engine
        std::vector<size_t> followed;               // engines it sends to
        std::vector<GwUnreportedTokens> sent;
        double in_flight = 0, limit = 20, reduced_at = 0; // kInFlight
    };
    struct Event {
        double at;
        uint64_t order;
        std::function<void()> run;
        bool
        operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void
    At(double at, std::function<void()> run)
    {
        events_.push({at, order_++, std::move(run)});
    }

    void
    Arrive()
    {
        double load = 0;
        for (const Phase &p : f_.phases)
            if (now_ < p.until) {
                load = p.load;
                break;
            }
        if (load == 0)
            return;
        std::exponential_distribution<double> gap(load * capacity_);
        At(now_ + gap(rng_), [this] { Arrive(); });
        result_.requests++;
        result_.arrivals[(size_t)(now_ / 250)]++;
        Decide({now_, 0, now_ + f_.deadline, now_,
                (int)(rng_() % (unsigned)f_.gateways)},
               true);
    }

    // The placement without prefixes: the engine with the shortest expected
    // wait.
    size_t
    Choose(const Gateway &g)
    {
        size_t n = g.followed.size(), first = rng_() % n,
               best = g.followed[first];
        for (size_t k = 0; k < n; k++) {
            size_t e = g.followed[(first + k) % n];
            if ((g.own[e] + g.others[e]) / engines_[e].speed <
                (g.own[best] + g.others[best]) / engines_[best].speed)
                best = e;
        }
        return best;
    }

    void
    Decide(Prompt p, bool may_return)
    {
        Gateway &g = gateways_[(size_t)p.gateway];
        size_t e = Choose(g);
        double retry_after = 0;

        if (method_ == Method::kQueue || method_ == Method::kQueueNoHerd)
            retry_after = RefusalByWait(g, e, p);
        else if (method_ == Method::kInFlight && g.in_flight >= g.limit)
            retry_after = 300;
        if (retry_after > 0) {
            std::uniform_real_distribution<double> jitter(0.75, 1.25);
            double again =
                now_ + std::min(retry_after, 0.3 * (p.deadline - now_)) *
                           jitter(rng_);
            if (may_return && again < p.deadline) {
                p.arrived = again;
                At(again, [this, p] { Decide(p, false); });
            }
            else
                result_.refused++;
            return;
        }
        result_.accepted += IsSettled(now_);
        p.sent = now_;
        g.own[e] += kTokens;
        g.in_flight++;
        GwUnreportedTokens_Add(&g.sent[e], Time(g.report_at[e]),
                               (uint64_t)kTokens);
        engines_[e].queue.push_back(p);
        if (f_.on_change)
            SendReport(e);
        Start(e);
    }

    double
    RefusalByWait(Gateway &g, size_t e, const Prompt &p)
    {
        GwAdmissionFacts a = {};

        a.now = Time(now_);
        a.load.target_latency = Time(f_.target);
        a.load.left = Time(p.deadline - now_);
        a.load.waiting_tokens = (uint64_t)(g.own[e] + g.others[e]);
        a.load.own_tokens = (uint64_t)kTokens;
        a.load.prefill_tokens_per_ms = engines_[e].speed;
        a.report_age = Time(now_ - g.report_at[e]);
        a.unreported_tokens =
            std::min(GwUnreportedTokens_Get(&g.sent[e], Time(g.report_at[e])),
                     (uint64_t)g.own[e]);
        a.senders = method_ == Method::kQueueNoHerd
                        ? 0
                        : (unsigned)std::min(f_.gateways, kFollowers);
        a.random = std::uniform_real_distribution<double>(0, 1)(rng_);
        GwAdmissionDecision d = GwAdmissionState_Decide(&g.state, &a);
        return d.verdict == GW_ADMISSION_ADMIT
                   ? 0
                   : (double)d.retry_after / GW_MILLISECOND;
    }

    void
    Start(size_t e)
    {
        Engine &engine = engines_[e];
        while (!engine.busy && !engine.queue.empty()) {
            bool newest = method_ == Method::kLifo &&
                          now_ - engine.queue.front().sent > f_.target;
            Prompt p = newest ? engine.queue.back() : engine.queue.front();
            if (newest)
                engine.queue.pop_back();
            else
                engine.queue.pop_front();
            // The gateway withdrew it at its deadline.
            if (now_ >= p.deadline) {
                result_.expired++;
                Gone(e, p);
                continue;
            }
            engine.busy = true;
            engine.current = p;
            unsigned run = engine.run;
            At(now_ + kTokens / engine.speed, [this, e, run] {
                if (engines_[e].run == run)
                    Finish(e);
            });
        }
    }

    void
    Finish(size_t e)
    {
        Engine &engine = engines_[e];
        const Prompt p = engine.current;
        double latency = now_ - p.first_arrived;

        engine.busy = false;
        Gone(e, p);
        if (IsSettled(now_))
            result_.busy +=
                1 / capacity_ / (f_.settled_until - f_.settled_after);
        if (now_ - p.sent <= f_.target)
            result_.accepted_in_target += IsSettled(p.sent);
        if (now_ > p.deadline)
            result_.expired++;
        else if (latency <= f_.target) {
            result_.in_target++;
            result_.served_in_target[(size_t)(p.first_arrived / 250)]++;
        }
        else
            result_.late++;
        Adapt(gateways_[(size_t)p.gateway], now_ - p.sent);
        Start(e);
    }

    void
    Gone(size_t e, const Prompt &p)
    {
        Gateway &g = gateways_[(size_t)p.gateway];
        g.own[e] -= kTokens;
        g.in_flight--;
        if (f_.on_change)
            SendReport(e);
    }

    // Additive increase, multiplicative decrease once per target latency.
    void
    Adapt(Gateway &g, double latency)
    {
        if (latency <= f_.target)
            g.limit += 1 / g.limit;
        else if (now_ - g.reduced_at > f_.target) {
            g.limit = std::max(g.limit * 0.7, 1.0);
            g.reduced_at = now_;
        }
    }

    void
    Report(size_t e)
    {
        SendReport(e);
        if (now_ < f_.phases.back().until + f_.deadline)
            At(now_ + kReportInterval, [this, e] { Report(e); });
    }

    // Engines send one report at a time, so that each has the newest state.
    void
    SendReport(size_t e)
    {
        if (engines_[e].is_reporting)
            return;
        engines_[e].is_reporting = true;
        At(now_ + f_.delay / 2, [this, e] {
            double all = 0;
            std::vector<double> others(gateways_.size());

            for (const Gateway &g : gateways_)
                all += g.own[e];
            for (size_t i = 0; i < others.size(); i++)
                others[i] = all - gateways_[i].own[e];
            engines_[e].is_reporting = false;
            At(now_ + f_.delay / 2, [this, e, others] {
                for (size_t i = 0; i < others.size(); i++) {
                    gateways_[i].others[e] = others[i];
                    gateways_[i].report_at[e] = now_;
                }
            });
        });
    }

    // Its queue is lost. Its clients don't count: the subject is what happens
    // to the others.
    void
    RestartEngine()
    {
        size_t e = rng_() % engines_.size();
        Engine &engine = engines_[e];
        if (engine.busy) {
            engine.queue.push_back(engine.current);
            engine.busy = false;
        }
        for (const Prompt &p : engine.queue) {
            Gone(e, p);
            result_.requests--;
            result_.arrivals[(size_t)(p.first_arrived / 250)]--;
        }
        engine.queue.clear();
        engine.run++;
        if (now_ + f_.restart_every < f_.phases.back().until)
            At(now_ + f_.restart_every, [this] { RestartEngine(); });
    }

    bool
    IsSettled(double at) const
    {
        return at >= f_.settled_after && at < f_.settled_until;
    }

    static GwTime
    Time(double ms)
    {
        return (GwTime)(ms * GW_MILLISECOND);
    }

    Fleet f_;
    Method method_;
    std::mt19937 rng_;
    std::vector<Gateway> gateways_;
    std::vector<Engine> engines_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    double now_ = 0, capacity_ = 0;
    Result result_;
};

Result
Simulate(const Fleet &fleet, Method method)
{
    return Simulation(fleet, method).Run();
}

struct Size {
    int gateways, engines;
};

// A fleet that gets 1.7 times its capacity from 2 s to 8 s.
Fleet
Burst(Size size, double target)
{
    Fleet f = {};

    f.gateways = size.gateways;
    f.engines = size.engines;
    f.target = target;
    f.deadline = 3000;
    f.phases = {{2000, 0.6}, {8000, 1.7}, {14000, 0.6}};
    f.seed = 7;
    f.settled_after = 4000;
    f.settled_until = 8000;
    return f;
}

Fleet
Steady(Size size, double load)
{
    Fleet f = Burst(size, 500);

    f.phases = {{15000, load}};
    f.settled_until = 15000;
    return f;
}

const Size kSizes[] = {{4, 10}, {8, 10}, {8, 50}, {23, 43}};

} // namespace

// Without a limit, queues grow to the deadline in a burst: prompts expire in
// them, nearly all answers are late, and after the burst it takes 6 s until
// requests are served within their target again. The limit must keep prompts
// that are accepted in time from 2 s after the beginning of the burst, must
// not let any of them expire, and requests must be served within the target
// again 2 s after the burst. Engines must stay busy.
TEST(AdmissionSimulation, BurstsDoNotLeaveLongQueues)
{
    for (const Size &size : kSizes)
        for (double target : {400, 500})
            for (double delay : {10, 50}) {
                Fleet fleet = Burst(size, target);
                fleet.delay = delay;
                Result without = Simulate(fleet, Method::kNone);
                Result with = Simulate(fleet, Method::kQueue);
                SCOPED_TRACE(std::to_string(size.gateways) + " gateways, " +
                             std::to_string(size.engines) + " engines, " +
                             std::to_string((int)target) + " ms, delay " +
                             std::to_string((int)delay));

                EXPECT_GT(without.InTargetAgainAfter(8000), 2000)
                    << "the burst is too small";
                EXPECT_GT(without.expired, 0) << "the burst is too small";
                EXPECT_LE(with.InTargetAgainAfter(8000), 2000);
                EXPECT_EQ(with.expired, 0);
                EXPECT_GE(with.accepted_in_target, 0.95 * with.accepted);
                EXPECT_GE(with.busy, 0.95);
            }
}

// The same while engines differ in speed and one restarts with an empty queue
// every 300 ms. If a few short waits at it began the time of the overload
// again, the limit would never apply; if they ended the limit, all gateways
// would fill the restarted engine beyond the target each time.
TEST(AdmissionSimulation, RestartedEnginesDoNotEndTheLimit)
{
    for (const Size &size : kSizes) {
        Fleet fleet = Burst(size, 500);
        fleet.slow_share = 0.3;
        fleet.restart_every = 300;
        Result without = Simulate(fleet, Method::kNone);
        Result with = Simulate(fleet, Method::kQueue);

        EXPECT_GT(with.Share(with.in_target),
                  without.Share(without.in_target));
        EXPECT_GE(with.accepted_in_target, 0.8 * with.accepted)
            << size.gateways << " gateways, " << size.engines << " engines";
        EXPECT_LE(with.InTargetAgainAfter(8000), 2000);
        EXPECT_EQ(with.expired, 0);
    }
}

// Load that the engines can serve must be served as without the limit.
TEST(AdmissionSimulation, NothingIsRefusedBelowTheCapacity)
{
    for (const Size &size : kSizes) {
        Result with = Simulate(Steady(size, 0.9), Method::kQueue);

        EXPECT_EQ(with.refused, 0);
        EXPECT_EQ(with.in_target, with.requests);
    }
}

// A short excess must be served late rather than refused: the queue exceeds
// the target for less than one target latency.
TEST(AdmissionSimulation, ShortExcessIsServedLate)
{
    Fleet fleet = Burst({8, 10}, 500);
    fleet.phases = {{2000, 0.6}, {2800, 1.7}, {8000, 0.4}};
    Result with = Simulate(fleet, Method::kQueue);

    EXPECT_GT(with.late, 0) << "the excess is too small";
    EXPECT_EQ(with.refused, 0);
    EXPECT_EQ(with.expired, 0);
}

// Reports arrive only every 200 ms, 100 ms old, so that all gateways see the
// same free engines and fill them together. The estimate of what others have
// sent must increase the share of accepted prompts that are in time.
TEST(AdmissionSimulation, OldReportsDoNotCauseHerds)
{
    for (const Size &size : {Size{8, 10}, Size{8, 50}, Size{23, 43}}) {
        Fleet fleet = Steady(size, 1.2);
        fleet.delay = 100;
        fleet.on_change = false;
        Result without = Simulate(fleet, Method::kQueueNoHerd);
        Result with = Simulate(fleet, Method::kQueue);

        EXPECT_GT((double)with.accepted_in_target / with.accepted,
                  (double)without.accepted_in_target / without.accepted);
        EXPECT_GT(with.in_target, without.in_target);
    }
}

// Compares the alternatives of docs/design/admission.md. The queue estimate
// must serve more requests within the target than no limit does, in both kinds
// of overload. LIFO serves the most, but the others wait until their deadline
// in vain; the estimate must let none expire.
TEST(AdmissionSimulation, ComparedWithOtherMethods)
{
    const struct {
        const char *name;
        Method method;
    } methods[] = {{"none", Method::kNone},
                   {"queue", Method::kQueue},
                   {"in_flight", Method::kInFlight},
                   {"lifo", Method::kLifo}};
    const struct {
        const char *name;
        Fleet fleet;
    } cases[] = {{"burst", Burst({23, 43}, 500)},
                 {"steady", Steady({23, 43}, 1.2)}};

    for (const auto &c : cases) {
        std::map<Method, Result> results;

        for (const auto &m : methods) {
            Result r = Simulate(c.fleet, m.method);
            printf("%s %s: in target %.3f late %.3f refused %.3f expired "
                   "%.3f, accepted in target %.3f\n",
                   c.name, m.name, r.Share(r.in_target), r.Share(r.late),
                   r.Share(r.refused), r.Share(r.expired),
                   (double)r.accepted_in_target / r.accepted);
            results[m.method] = r;
        }
        EXPECT_GT(
            results[Method::kQueue].Share(results[Method::kQueue].in_target),
            2 * results[Method::kNone].Share(
                    results[Method::kNone].in_target));
        EXPECT_EQ(results[Method::kQueue].expired, 0);
        EXPECT_GT(results[Method::kLifo].expired, 0);
    }
}
