#include <gtest/gtest.h>

#include <algorithm>
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
        GwEndpointLimit limit = {"i-1", incarnation, rate, kNow + at};

        return GwEndpointLimits_Set(l, &limit, kNow + at);
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

// Answers may arrive out of order: one to a request sent before the limit was
// named must not lift it.
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

// Simulates processes that send requests to one endpoint.
class SimulatedProcesses {
  public:
    SimulatedProcesses(unsigned n, double rate, std::mt19937 *rng) : rng_(rng)
    {
        instance_.id = (char *)"i-1";
        for (unsigned i = 0; i < n; i++) {
            GwEndpointLimit limit = {"i-1", 0, rate, kNow};

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
                    GwEndpointLimits_OpensAt(l, &instance_, n, now_) > now_)
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
