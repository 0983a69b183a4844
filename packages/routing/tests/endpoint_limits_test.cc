#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "galenagw/routing/endpoint_limits.h"

static const GwTime kNow = 5000 * GW_SECOND;

class EndpointLimits : public testing::Test {
  protected:
    ~EndpointLimits() override
    {
        GwEndpointLimits_Delete(l);
    }
    bool
    Set(double rate, GwTime at, int64_t incarnation = 7)
    {
        return SetWithVersion(rate, at / GW_MILLISECOND, at, incarnation);
    }
    bool
    SetWithVersion(double rate, int64_t version, GwTime at,
                   int64_t incarnation = 7)
    {
        GwEndpointLimit limit = {"i-1", incarnation, rate, kNow + at, version};

        return GwEndpointLimits_Set(l, &limit, kNow + at);
    }
    // @return the assigned version
    int64_t
    Note(double rate, int64_t unix_ms, GwTime at, int64_t incarnation = 7)
    {
        GwEndpointLimit limit = {"i-1", incarnation, rate, kNow + at, 0};

        GwEndpointLimits_Note(l, &limit, unix_ms, kNow + at);
        return limit.version;
    }
    double
    Rate(GwTime at, int64_t incarnation = 7)
    {
        GwInstance instance = Instance(incarnation);

        return GwEndpointLimits_Rate(l, &instance, kNow + at);
    }
    static GwInstance
    Instance(int64_t incarnation)
    {
        GwInstance instance = {};

        instance.id = (char *)"i-1";
        instance.incarnation = incarnation;
        return instance;
    }

    GwEndpointLimits *l = GwEndpointLimits_New(1);
};

// A limit must neither apply to the endpoint's next incarnation nor be
// replaced by an older one.
TEST_F(EndpointLimits, LatestLimitOfIncarnationApplies)
{
    EXPECT_EQ(Rate(0), GW_ENDPOINT_UNLIMITED);
    EXPECT_TRUE(Set(1.6, 0));
    EXPECT_FALSE(Set(1.6, GW_SECOND)) << "unchanged";
    EXPECT_TRUE(Set(1.5, 2 * GW_SECOND));
    EXPECT_FALSE(Set(9, GW_SECOND)) << "older limit";
    EXPECT_EQ(Rate(2 * GW_SECOND), 1.5);
    EXPECT_EQ(Rate(2 * GW_SECOND, 8), GW_ENDPOINT_UNLIMITED);
    EXPECT_TRUE(Set(3, 0, 8)) << "later incarnation";
    EXPECT_FALSE(Set(1, 3 * GW_SECOND)) << "earlier incarnation";
    EXPECT_EQ(Rate(3 * GW_SECOND, 8), 3);
}

// Answers may arrive out of order. An answer to a request that was sent before
// the answer with the limit was received must not lift the limit.
TEST_F(EndpointLimits, OnlyAnswerToLaterRequestLifts)
{
    GwInstance instance = Instance(7);

    Set(1.6, GW_SECOND);
    EXPECT_FALSE(
        GwEndpointLimits_ShouldLift(l, &instance, kNow, kNow + 2 * GW_SECOND));
    EXPECT_TRUE(GwEndpointLimits_ShouldLift(l, &instance, kNow + 2 * GW_SECOND,
                                            kNow + 3 * GW_SECOND));
    EXPECT_TRUE(Set(GW_ENDPOINT_UNLIMITED, 3 * GW_SECOND));
    EXPECT_EQ(Rate(3 * GW_SECOND), GW_ENDPOINT_UNLIMITED);
    EXPECT_FALSE(GwEndpointLimits_ShouldLift(
        l, &instance, kNow + 4 * GW_SECOND, kNow + 5 * GW_SECOND));
}

// An erroneous limit must not apply indefinitely.
TEST_F(EndpointLimits, ExpiresAfterTerm)
{
    Set(0, 0);
    EXPECT_EQ(Rate(GW_ENDPOINT_LIMIT_TERM - 1), 0);
    EXPECT_EQ(Rate(GW_ENDPOINT_LIMIT_TERM), GW_ENDPOINT_UNLIMITED);
}

// An expired limit that an answer states again must be forwarded, because it
// has expired at other processes, too.
TEST_F(EndpointLimits, StatedAgainAfterExpiryIsChange)
{
    GwEndpointLimit limit = {"i-1", 7, 2, kNow + GW_ENDPOINT_LIMIT_TERM, 0};

    Note(2, 100, 0);
    EXPECT_TRUE(GwEndpointLimits_Note(l, &limit, 100, limit.received_at));
    EXPECT_EQ(limit.version, 101);
}

// A limit must not expire at this process while answers to a peer still state
// it.
TEST_F(EndpointLimits, RenewedWhenReceivedAgain)
{
    Note(2, 100, 0);
    EXPECT_FALSE(SetWithVersion(2, 100, 10 * GW_SECOND));
    EXPECT_EQ(Rate(GW_ENDPOINT_LIMIT_TERM), 2);
    EXPECT_EQ(Rate(GW_ENDPOINT_LIMIT_TERM + 10 * GW_SECOND),
              GW_ENDPOINT_UNLIMITED);
}

// A limit that arrives late must not replace a later one, and a wrong clock
// must not cause later limits to be ignored.
TEST_F(EndpointLimits, VersionsOrderChanges)
{
    EXPECT_EQ(Note(2, 100, 0), 100);
    EXPECT_EQ(Note(2, 200, 1), 100) << "unchanged";
    EXPECT_EQ(Note(3, 50, 2), 101) << "clock set back";
    EXPECT_FALSE(SetWithVersion(9, 100, 3)) << "earlier version";
    EXPECT_FALSE(SetWithVersion(3, 101, 3)) << "duplicate";
    EXPECT_FALSE(SetWithVersion(9, 101, 3)) << "same version, higher limit";
    EXPECT_FALSE(SetWithVersion(GW_ENDPOINT_UNLIMITED, 101, 3));
    EXPECT_TRUE(SetWithVersion(1, 101, 3)) << "same version, lower limit";
    EXPECT_TRUE(SetWithVersion(4, 5000, 3)) << "clock of sender is ahead";
    EXPECT_EQ(Note(5, 300, 4), 5001);
    EXPECT_TRUE(SetWithVersion(GW_ENDPOINT_UNLIMITED, 5002, 5));
    EXPECT_FALSE(SetWithVersion(1, -1, 6));
    EXPECT_FALSE(SetWithVersion(1, INT64_MAX, 6));
    EXPECT_EQ(Note(6, INT64_MAX, 7, 8), INT64_MAX / 2);
    EXPECT_EQ(Rate(7, 8), 6);
}

// Simulates entries and agents that forward changes of a limit. Each entry is
// connected to all agents, and each agent to all entries.
class SimulatedPeers {
  public:
    SimulatedPeers(unsigned n_entries, unsigned n_agents, unsigned seed)
        : rng_(seed), n_entries_(n_entries)
    {
        for (unsigned i = 0; i < n_entries + n_agents; i++)
            peers_.push_back(GwEndpointLimits_New(i));
    }
    ~SimulatedPeers()
    {
        for (GwEndpointLimits *l : peers_)
            GwEndpointLimits_Delete(l);
    }
    // An answer to entry @p i, at time @p at, states the limit @p rate.
    void
    Note(unsigned i, double rate, GwTime at)
    {
        queue_.insert({at, {i, i, rate, 0, 0}});
    }
    // Delivers messages until none are left, but at most @p max_messages.
    // @return how many were delivered
    unsigned
    Deliver(unsigned max_messages)
    {
        unsigned n = 0;

        while (!queue_.empty() && n < max_messages) {
            GwTime now = kNow + queue_.begin()->first;
            Message m = queue_.begin()->second;
            GwEndpointLimit limit = {"i-1", 7, m.rate, now - m.age, m.version};

            queue_.erase(queue_.begin());
            n++;
            if (m.from == m.to
                    ? GwEndpointLimits_Note(
                          peers_[m.to], &limit,
                          (now + clock_skew_[m.to % 4]) / GW_MILLISECOND, now)
                    : GwEndpointLimits_Set(peers_[m.to], &limit, now))
                Forward(m, limit, now);
        }
        return n;
    }
    bool
    HaveSameRate(GwTime at) const
    {
        GwInstance instance = {};

        instance.id = (char *)"i-1";
        instance.incarnation = 7;
        for (GwEndpointLimits *l : peers_) {
            if (GwEndpointLimits_Rate(l, &instance, kNow + at) !=
                GwEndpointLimits_Rate(peers_[0], &instance, kNow + at))
                return false;
        }
        return true;
    }

  private:
    struct Message {
        unsigned from, to; // processes; equal for an endpoint's answer
        double rate;
        GwTime age; // of the limit when the message was sent, without transit
        int64_t version;
    };
    void
    Forward(const Message &m, const GwEndpointLimit &limit, GwTime now)
    {
        bool is_entry = m.to < n_entries_;
        GwTime age =
            (now - limit.received_at) / GW_MILLISECOND * GW_MILLISECOND;

        for (unsigned i = 0; i < peers_.size(); i++) {
            GwTime transit = 100 + (GwTime)(rng_() % 3000);

            if ((i < n_entries_) != is_entry && i != m.from)
                queue_.insert({now - kNow + transit,
                               {m.to, i, limit.rate, age, limit.version}});
        }
    }

    std::mt19937 rng_;
    unsigned n_entries_;
    const GwTime clock_skew_[4] = {0, 2 * GW_SECOND, -300 * GW_MILLISECOND,
                                   50};
    std::vector<GwEndpointLimits *> peers_;
    std::multimap<GwTime, Message> queue_;
};

// If several entries receive different limits within milliseconds, the
// processes must not forward these endlessly. This happens if each of two
// limits seems newer than the other.
TEST(EndpointLimitPeers, ChangedLimitsDoNotCirculate)
{
    const struct {
        unsigned entries, agents;
    } cases[] = {{2, 2}, {4, 9}, {22, 41}};

    for (const auto &c : cases) {
        const unsigned changes = 10;
        // Each process forwards each change once to all processes of the other
        // kind.
        const unsigned max_messages =
            changes * 2 * c.entries * c.agents + changes;

        for (unsigned seed = 1; seed <= 20; seed++) {
            SimulatedPeers p(c.entries, c.agents, seed);

            for (unsigned i = 0; i < changes; i++)
                p.Note(i % c.entries, i % 3 == 2 ? GW_ENDPOINT_UNLIMITED : i,
                       (GwTime)i * 700);
            EXPECT_LE(p.Deliver(max_messages + 1), max_messages)
                << c.entries << " entries, seed " << seed;
            EXPECT_TRUE(p.HaveSameRate(GW_SECOND))
                << c.entries << " entries, seed " << seed;
        }
    }
}

// Simulates processes that send requests to one endpoint.
class SimulatedProcesses {
  public:
    SimulatedProcesses(unsigned n, double rate, std::mt19937 *rng) : rng_(rng)
    {
        instance_.id = (char *)"i-1";
        for (unsigned i = 0; i < n; i++) {
            GwEndpointLimit limit = {"i-1", 0, rate, kNow, 0};

            list_.push_back(GwEndpointLimits_New((*rng)()));
            GwEndpointLimits_Set(list_[i], &limit, kNow);
        }
    }
    ~SimulatedProcesses()
    {
        for (GwEndpointLimits *l : list_)
            GwEndpointLimits_Delete(l);
    }
    // Each process has a request to send with probability `demand` per 10 ms.
    void
    Run(GwTime time, double demand)
    {
        std::bernoulli_distribution has_request(demand);
        unsigned n = (unsigned)list_.size();

        for (GwTime end = now_ + time; now_ < end; now_ += GW_SECOND / 100) {
            for (GwEndpointLimits *l : list_) {
                if (!has_request(*rng_) ||
                    GwEndpointLimits_NextSendAt(l, &instance_, n, now_) > now_)
                    continue;
                GwEndpointLimits_Consume(l, &instance_, n, now_);
                sent.push_back(now_);
            }
        }
    }
    // Maximum number of requests sent in any window of this length.
    size_t
    MaxInWindow(GwTime window) const
    {
        size_t most = 0;

        for (size_t i = 0, from = 0; i < sent.size(); i++) {
            while (sent[from] <= sent[i] - window)
                from++;
            most = std::max(most, i - from + 1);
        }
        return most;
    }

    std::vector<GwTime> sent;

  private:
    std::mt19937 *rng_;
    std::vector<GwEndpointLimits *> list_;
    GwInstance instance_ = {};
    GwTime now_ = kNow;
};

// Simulates one process that always has a request to send.
class LimitedProcess {
  public:
    explicit LimitedProcess(uint32_t seed)
        : limits_(GwEndpointLimits_New(seed))
    {
        instance_.id = (char *)"i-1";
        instance_.incarnation = 7;
    }
    ~LimitedProcess()
    {
        GwEndpointLimits_Delete(limits_);
    }
    void
    SetLimit(double rate, int64_t version, GwTime now)
    {
        GwEndpointLimit limit = {"i-1", 7, rate, now, version};

        GwEndpointLimits_Set(limits_, &limit, now);
    }
    void
    SetLimitAt(double rate, int64_t version, GwTime at)
    {
        pending_ = {at, rate, version};
    }
    // @return whether a request was sent
    bool
    TrySend(unsigned processes, GwTime now)
    {
        if (pending_.at != 0 && now >= pending_.at) {
            SetLimit(pending_.rate, pending_.version, now);
            pending_.at = 0;
        }
        if (GwEndpointLimits_NextSendAt(limits_, &instance_, processes, now) >
            now)
            return false;
        GwEndpointLimits_Consume(limits_, &instance_, processes, now);
        return true;
    }

  private:
    struct {
        GwTime at;
        double rate;
        int64_t version;
    } pending_ = {};
    GwEndpointLimits *limits_;
    GwInstance instance_ = {};
};

// All processes combined must not overload the endpoint: at most 1.5 times the
// limit, plus five requests, in any four seconds.
TEST(EndpointLimitShares, CombinedRateStaysWithinLimitUnderRandomDemand)
{
    std::mt19937 rng(20);
    const int schedules = 200;

    for (int i = 0; i < schedules; i++) {
        const double rates[] = {0, 0.1, 0.4, 1.0, 1.6, 3.0, 7.5, 30.0};
        const unsigned counts[] = {1, 2, 3, 4, 6, 8, 12, 25, 50, 100};
        double rate = rates[rng() % 8];
        unsigned n = counts[rng() % 10];
        SimulatedProcesses p(n, rate, &rng);

        for (int k = 0; k < 4; k++) {
            p.Run((GwTime)(rng() % 12) * GW_SECOND, 0);
            p.Run((GwTime)(rng() % 12) * GW_SECOND, k % 2 == 0 ? 1.0 : 0.05);
        }
        EXPECT_LE(p.MaxInWindow(4 * GW_SECOND), 1.5 * 4 * rate + 5)
            << "schedule " << i << ": " << rate << "/s, " << n << " processes";
    }
}

// When the limit or the number of processes changes, processes must not start
// to send at the same time. In any four seconds, they must send at most 1.5
// times what the highest limit of this time allows, plus five requests. A
// process receives a change of the limit up to half a second late, or
// immediately if the number of processes changes, too.
TEST(EndpointLimitShares, CombinedRateStaysWithinChangingLimit)
{
    const double rates[] = {0.1, 0.4, 1.0, 1.6, 3.0, 7.5, 30.0};
    const GwTime window = 4 * GW_SECOND, max_delay = GW_SECOND / 2;
    std::mt19937 rng(11);
    const int schedules = 200;

    for (int schedule = 0; schedule < schedules; schedule++) {
        const unsigned counts[] = {1, 2, 3, 4, 6, 8, 12, 25, 50};
        const unsigned n = counts[rng() % 9];
        std::vector<std::unique_ptr<LimitedProcess>> processes;
        std::vector<std::pair<GwTime, double>> limits = {
            {kNow, rates[rng() % 7]}};
        std::vector<GwTime> sent;
        GwTime next_change = kNow, now = kNow;
        unsigned running = n;

        for (unsigned i = 0; i < n; i++)
            processes.push_back(std::make_unique<LimitedProcess>(rng()));
        for (auto &p : processes)
            p->SetLimit(limits[0].second, 0, now);
        for (; now < kNow + 60 * GW_SECOND; now += GW_SECOND / 100) {
            if (now >= next_change && now > kNow) {
                limits.push_back({now, rates[rng() % 7]});
                for (auto &p : processes)
                    p->SetLimitAt(limits.back().second, (int64_t)limits.size(),
                                  now + (GwTime)(rng() % max_delay));
                if (rng() % 2 == 0) {
                    running = 1 + rng() % n;
                    processes[rng() % n] =
                        std::make_unique<LimitedProcess>(rng());
                    for (auto &p : processes)
                        p->SetLimit(limits.back().second,
                                    (int64_t)limits.size(), now);
                }
            }
            if (now >= next_change)
                next_change = now + (GwTime)(1 + rng() % 12) * GW_SECOND;
            for (unsigned i = 0; i < running; i++) {
                if (processes[i]->TrySend(running, now))
                    sent.push_back(now);
            }
        }
        for (size_t i = 0, from = 0; i < sent.size(); i++) {
            double max_rate = 0;

            while (sent[from] <= sent[i] - window)
                from++;
            for (size_t k = 0; k < limits.size(); k++) {
                GwTime until = k + 1 < limits.size()
                                   ? limits[k + 1].first + max_delay
                                   : now;

                if (limits[k].first <= sent[i] && until > sent[i] - window)
                    max_rate = std::max(max_rate, limits[k].second);
            }
            ASSERT_LE((double)(i - from + 1), 1.5 * 4 * max_rate + 5)
                << "schedule " << schedule << ", " << n << " processes, at "
                << (double)(sent[i] - kNow) / GW_SECOND << " s";
        }
    }
}

// An endpoint must not be left idle below its limit while there is demand.
TEST(EndpointLimitShares, MostOfLimitIsUsedUnderSteadyDemand)
{
    const struct {
        unsigned processes;
        double rate, min_utilization;
    } cases[] = {
        {1, 1.6, 0.9}, {4, 1.6, 0.9},   {8, 1.6, 0.55},
        {8, 20, 0.9},  {50, 1.6, 0.55}, {50, 100, 0.9},
    };

    for (const auto &c : cases) {
        std::mt19937 rng(7);
        SimulatedProcesses p(c.processes, c.rate, &rng);

        p.Run(100 * GW_SECOND, 1.0);
        EXPECT_GE((double)p.sent.size(), c.min_utilization * 100 * c.rate)
            << c.processes << " processes, " << c.rate << "/s";
    }
}

// Simulates gateways that share the limit of one endpoint, and the agents that
// divide it. Messages of one session arrive in order, some of them late.
class SimulatedGateways {
  public:
    SimulatedGateways(unsigned n, double rate, unsigned seed)
        : rng_(seed), rate_(rate)
    {
        instance_.id = (char *)"i-1";
        for (auto &o : owners_)
            o = GwEndpointShares_New(0);
        for (unsigned i = 0; i < n; i++) {
            gateways.emplace_back();
            Start(i);
            // Reports are not synchronous.
            gateways[i].report_at =
                kNow + (GwTime)(rng_() % GW_ENDPOINT_DEMAND_INTERVAL);
        }
    }
    ~SimulatedGateways()
    {
        for (Gateway &g : gateways)
            GwEndpointLimits_Delete(g.limits);
        for (GwEndpointShares *o : owners_)
            GwEndpointShares_Delete(o);
    }
    // A new process takes the place of gateway @p i.
    void
    Start(unsigned i)
    {
        GwEndpointLimit limit = {"i-1", 0, rate_, now, 0};

        GwEndpointLimits_Delete(gateways[i].limits);
        gateways[i].limits = GwEndpointLimits_New(rng_());
        GwEndpointLimits_Set(gateways[i].limits, &limit, now);
    }
    // The sessions to the agent are closed: no message of before arrives.
    void
    RestartOwner(unsigned owner)
    {
        for (auto m = queue_.begin(); m != queue_.end();)
            m = m->second.owner == owner ? queue_.erase(m) : std::next(m);
        GwEndpointShares_Delete(owners_[owner]);
        owners_[owner] = GwEndpointShares_New(now);
    }
    void
    Run(GwTime time)
    {
        for (GwTime end = now + time; now < end; now += GW_SECOND / 100) {
            Deliver();
            for (unsigned i = 0; i < gateways.size(); i++) {
                Report(i);
                Send(&gateways[i]);
            }
            max_sum = std::max(max_sum, SumOfParts());
        }
    }
    // Requests sent in the last @p time.
    size_t
    SentWithin(GwTime time) const
    {
        return (size_t)std::count_if(sent.begin(), sent.end(), [&](GwTime at) {
            return at >= now - time;
        });
    }
    size_t
    MaxInWindow(GwTime window) const
    {
        size_t most = 0;

        for (size_t i = 0, from = 0; i < sent.size(); i++) {
            while (sent[from] <= sent[i] - window)
                from++;
            most = std::max(most, i - from + 1);
        }
        return most;
    }

    struct Gateway {
        GwEndpointLimits *limits = nullptr;
        GwTime report_at = 0;
        unsigned owner = 0;
        double demand = 0; // requests per second
        bool is_cut_off = false;
        GwTime up_arrives_at = 0, down_arrives_at = 0;
    };
    std::vector<Gateway> gateways;
    std::vector<GwTime> sent;
    GwTime now = kNow;
    GwTime max_delay = 20 * GW_MILLISECOND;
    double loss = 0;
    size_t messages = 0;
    size_t refused = 0;
    double max_sum = 0; // of the parts of the limit in use

  private:
    struct Message {
        bool is_answer;
        unsigned gateway, owner;
        GwEndpointDemand demand;
    };
    double
    SumOfParts() const
    {
        unsigned n = (unsigned)gateways.size();
        double sum = 0;

        for (const Gateway &g : gateways)
            sum += GwEndpointLimits_Part(g.limits, &instance_, n, now);
        return sum;
    }
    bool
    IsLost(const Gateway &g)
    {
        return g.is_cut_off || std::bernoulli_distribution(loss)(rng_);
    }
    void
    Post(const Message &m, GwTime *last_arrival)
    {
        messages++;
        if (IsLost(gateways[m.gateway]))
            return;
        *last_arrival =
            std::max(*last_arrival, now + (GwTime)(rng_() % max_delay));
        queue_.insert({*last_arrival, m});
    }
    void
    Deliver()
    {
        while (!queue_.empty() && queue_.begin()->first <= now) {
            Message m = queue_.begin()->second;
            Gateway *g = &gateways[m.gateway];

            queue_.erase(queue_.begin());
            if (m.is_answer) {
                GwEndpointLimits_SetShare(g->limits, "i-1", 1 + m.owner,
                                          m.demand.share, m.demand.reported_at,
                                          now);
                continue;
            }
            m.demand.share = GwEndpointShares_Answer(
                owners_[m.owner], "i-1", m.gateway, &m.demand, now);
            m.is_answer = true;
            if (m.demand.share >= 0)
                Post(m, &g->down_arrives_at);
        }
    }
    void
    Report(unsigned i)
    {
        Gateway *g = &gateways[i];
        Message m = {false, i, g->owner, {}};

        if (now < g->report_at)
            return;
        g->report_at += GW_ENDPOINT_DEMAND_INTERVAL;
        // Without a session nothing is reported.
        if (!g->is_cut_off &&
            GwEndpointLimits_Report(g->limits, &instance_,
                                    (unsigned)gateways.size(), 1 + g->owner,
                                    now, &m.demand))
            Post(m, &g->up_arrives_at);
    }
    void
    Send(Gateway *g)
    {
        unsigned n = (unsigned)gateways.size();

        for (unsigned k =
                 std::poisson_distribution<unsigned>(g->demand / 100)(rng_);
             k > 0; k--) {
            if (GwEndpointLimits_NextSendAt(g->limits, &instance_, n, now) >
                now) {
                refused++;
                continue;
            }
            GwEndpointLimits_Consume(g->limits, &instance_, n, now);
            sent.push_back(now);
        }
    }

    std::mt19937 rng_;
    double rate_;
    GwEndpointShares *owners_[2];
    std::multimap<GwTime, Message> queue_;
    GwInstance instance_ = {};
};

// Most that gateways with shares that add up to the whole limit send in four
// seconds: what it allows in them, and one burst. The rest is for permits that
// are counted in whole requests.
static double
MaxInFourSeconds(double rate)
{
    return 4 * rate + rate + 2.5 + 2;
}

// Guards against callers that are refused at half of the limit, because the
// traffic has moved to one gateway and the others keep their equal parts.
TEST(EndpointLimitDemand, ShareFollowsDemand)
{
    for (unsigned n : {2, 4, 29}) {
        for (unsigned seed = 1; seed <= 10; seed++) {
            const double rate = 40;
            SimulatedGateways s(n, rate, seed);

            for (auto &g : s.gateways)
                g.demand = rate / 2 / n;
            s.Run(5 * GW_SECOND);
            for (unsigned from = 0; from < 2; from++) {
                for (auto &g : s.gateways)
                    g.demand = 0;
                s.gateways[from].demand = rate / 2;
                s.Run(3 * GW_SECOND);
                s.refused = 0;
                s.Run(5 * GW_SECOND);
                EXPECT_LE((double)s.refused, 0.1 * 5 * rate / 2)
                    << n << " gateways, seed " << seed;
            }
        }
    }
}

// Guards against shares that leave gateways with the same demand unequal.
TEST(EndpointLimitDemand, EqualDemandsGetEqualShares)
{
    SimulatedGateways s(4, 40, 3);
    std::vector<size_t> sent;

    s.gateways[0].demand = 100;
    s.Run(5 * GW_SECOND);
    for (unsigned i = 0; i < 4; i++)
        s.gateways[i].demand = 100;
    s.Run(3 * GW_SECOND);
    for (unsigned i = 0; i < 4; i++) {
        GwInstance instance = {};
        GwEndpointDemand demand;

        instance.id = (char *)"i-1";
        ASSERT_TRUE(GwEndpointLimits_Report(s.gateways[i].limits, &instance, 4,
                                            1, s.now, &demand));
        EXPECT_NEAR(demand.share, 0.25, 0.02) << i;
    }
    EXPECT_GE((double)s.SentWithin(2 * GW_SECOND), 0.9 * 2 * 40);
}

// Guards against an endpoint that gets more than its limit while shares move:
// if a gateway used a larger share before the others have given it up, or a
// gateway that is cut off used its base while others use it, too. Sessions
// are cut and delayed, the agents restart, and gateways change the agent.
TEST(EndpointLimitDemand, SumStaysWithinLimitWhileDemandMoves)
{
    for (unsigned seed = 1; seed <= 150; seed++) {
        std::mt19937 rng(seed);
        const double rates[] = {1.6, 7.5, 40, 200};
        const unsigned counts[] = {2, 3, 4, 8, 23};
        const double rate = rates[rng() % 4];
        SimulatedGateways s(counts[rng() % 5], rate, seed);

        s.loss = seed % 3 == 0 ? 0.2 : 0;
        for (int phase = 0; phase < 30; phase++) {
            const GwTime delays[] = {20 * GW_MILLISECOND, GW_SECOND,
                                     2400 * GW_MILLISECOND};

            s.max_delay = delays[rng() % 3];
            for (auto &g : s.gateways) {
                g.demand = rng() % 3 == 0 ? 4 * rate : 0;
                if (rng() % 4 == 0)
                    g.is_cut_off = !g.is_cut_off;
                if (g.is_cut_off && rng() % 4 == 0)
                    g.owner = 1 - g.owner;
            }
            if (rng() % 6 == 0)
                s.RestartOwner(rng() % 2);
            s.Run((GwTime)(200 + rng() % 5000) * GW_MILLISECOND);
        }
        // The tolerance is for rounding and parts that are nearly 0.
        EXPECT_LE(s.max_sum, 1.0001) << "seed " << seed;
        EXPECT_LE((double)s.MaxInWindow(4 * GW_SECOND), MaxInFourSeconds(rate))
            << "seed " << seed << ", " << s.gateways.size() << " gateways, "
            << rate << "/s";
    }
}

// Guards against the same when gateways restart: a new process does not know
// what the earlier one has given up. Within the tolerance of
// CombinedRateStaysWithinLimitUnderRandomDemand.
TEST(EndpointLimitDemand, SumStaysWithinToleranceWhenGatewaysRestart)
{
    for (unsigned seed = 1; seed <= 100; seed++) {
        std::mt19937 rng(seed);
        const double rates[] = {1.6, 7.5, 40};
        const unsigned counts[] = {2, 3, 4, 8, 23};
        const double rate = rates[rng() % 3];
        SimulatedGateways s(counts[rng() % 5], rate, seed);

        for (int phase = 0; phase < 30; phase++) {
            for (auto &g : s.gateways)
                g.demand = rng() % 3 == 0 ? 4 * rate : 0;
            s.Start(rng() % (unsigned)s.gateways.size());
            s.Run((GwTime)(200 + rng() % 5000) * GW_MILLISECOND);
        }
        EXPECT_LE((double)s.MaxInWindow(4 * GW_SECOND), 1.5 * 4 * rate + 5)
            << "seed " << seed << ", " << s.gateways.size() << " gateways, "
            << rate << "/s";
    }
}

// A gateway that is cut off must get its base again, and the others must give
// up what exceeds theirs.
TEST(EndpointLimitDemand, GatewayThatIsCutOffUsesItsBaseAgain)
{
    SimulatedGateways s(4, 40, 5);

    s.gateways[0].demand = 100;
    s.Run(5 * GW_SECOND);
    EXPECT_GE((double)s.SentWithin(2 * GW_SECOND), 0.65 * 2 * 40);
    s.gateways[1].is_cut_off = true;
    s.gateways[0].demand = 0;
    s.gateways[1].demand = 100;
    s.Run(GW_ENDPOINT_HOLD_TERM + 3 * GW_SECOND);
    EXPECT_GE((double)s.SentWithin(2 * GW_SECOND), 0.9 * 2 * 10);
    EXPECT_LE((double)s.SentWithin(2 * GW_SECOND), 1.1 * 2 * 10);
    s.gateways[1].is_cut_off = false;
    s.Run(3 * GW_SECOND);
    EXPECT_GE((double)s.SentWithin(2 * GW_SECOND), 0.65 * 2 * 40);
}

// Bounds the messages of a large fleet: a report and an answer for each
// gateway and interval.
TEST(EndpointLimitDemand, MessagesAreBounded)
{
    SimulatedGateways s(380, 500, 1);

    for (auto &g : s.gateways)
        g.demand = 0.1;
    s.Run(5 * GW_SECOND);
    EXPECT_LE(s.messages, 2u * 380 * 10 + 380);
    s.gateways[7].demand = 100;
    s.Run(5 * GW_SECOND);
    s.refused = 0;
    s.Run(2 * GW_SECOND);
    EXPECT_LE((double)s.refused, 0.1 * 2 * 138);
}

// A report that is not valid must not reserve a part of the limit.
TEST(EndpointLimitDemand, InvalidReportsAreIgnored)
{
    GwEndpointShares *s = GwEndpointShares_New(0);
    GwEndpointDemand valid = {1, 0.5, 0.5, 1, 0};

    for (double bad : {-0.1, 1.1, (double)NAN, (double)INFINITY}) {
        GwEndpointDemand want = {bad, 0.5, 0.5, 1, 0};
        GwEndpointDemand base = {1, bad, 0.5, 1, 0};
        GwEndpointDemand share = {1, 0.5, bad, 1, 0};

        EXPECT_LT(GwEndpointShares_Answer(s, "i-1", 9, &want, kNow), 0);
        EXPECT_LT(GwEndpointShares_Answer(s, "i-1", 9, &base, kNow), 0);
        EXPECT_LT(GwEndpointShares_Answer(s, "i-1", 9, &share, kNow), 0);
    }
    EXPECT_EQ(GwEndpointShares_Answer(s, "i-1", 1, &valid, kNow), 0.5);
    GwEndpointShares_Delete(s);
}
