#include <gtest/gtest.h>

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

    GwEndpointLimits *l = GwEndpointLimits_New();
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
