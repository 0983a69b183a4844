// Which offer is chosen, how prefixes are spread, and limits. Time and
// randomness are inputs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "galenagw/policy/choice.h"
#include "galenagw/policy/credit.h"
#include "galenagw/policy/heat.h"

TEST(Choice, WeighsWaitAgainstRecomputation)
{
    const struct {
        const char *name;
        std::vector<GwOffer> offers;
        double weight;
        int best;
    } cases[] = {
        {"none answered",
         {{false, GW_REFUSAL_NONE, 0, 0, false, 0, 0}},
         1,
         -1},
        {"declined", {{true, GW_REFUSAL_LEAVING, 1, 0, false, 0, 9}}, 1, -1},
        {"sooner",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 80, 0, false, 0, 0}},
         1,
         1},
        {"cached, though later",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 80, 80, false, 0, 0}},
         1,
         0},
        {"cached, but much later",
         {{true, GW_REFUSAL_NONE, 500, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 80, 80, false, 0, 0}},
         1,
         1},
        {"of equal offers the first",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 90, 0, false, 0, 0}},
         1,
         0},
        {"a long round trip",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 900, 0},
          {true, GW_REFUSAL_NONE, 99, 0, false, 10, 0}},
         1,
         1},
    };

    for (auto &c : cases)
        EXPECT_EQ(GwChoice_Best(c.offers.data(), c.offers.size(), c.weight),
                  c.best)
            << c.name;
    GwOffer good = {true, GW_REFUSAL_NONE, 900, 800, true, 0, 0};
    EXPECT_TRUE(GwChoice_IsGoodEnough(&good));
    good.ttft = 5000;
    EXPECT_FALSE(GwChoice_IsGoodEnough(&good)) << "it would wait";
    good = {true, GW_REFUSAL_NONE, 900, 800, false, 0, 0};
    EXPECT_FALSE(GwChoice_IsGoodEnough(&good)) << "it misses shared chunks";
    GwOffer refused[] = {{true, GW_REFUSAL_QUEUE_FULL, 0, 0, false, 0, 500},
                         {true, GW_REFUSAL_DEADLINE, 0, 0, false, 0, 200}};
    GwTime retry_after;
    EXPECT_EQ(GwChoice_Refusal(refused, 2, &retry_after), GW_REFUSAL_DEADLINE);
    EXPECT_EQ(retry_after, 200);
}

TEST(PrefillCost, FirstSampleReplacesTheGuess)
{
    GwPrefillCost c;

    GwPrefillCost_Init(&c);
    GwPrefillCost_AddSample(&c, 1000, 1000500);
    EXPECT_NEAR(c.us_per_token, 1000, 1);
    for (int i = 0; i < 100; i++)
        GwPrefillCost_AddSample(&c, 1000, 200500);
    EXPECT_NEAR(c.us_per_token, 200, 10);
    GwPrefillCost_AddSample(&c, 1, 300);
    EXPECT_NEAR(c.base_us, 300, 1);
}

TEST(Heat, WidthGrowsWithWorkAndDecays)
{
    GwHeat *h = GwHeat_New(1000, 4);

    EXPECT_EQ(GwHeat_Width(0, 1000), 1u);
    EXPECT_EQ(GwHeat_Width(600, 1000), 1u);
    EXPECT_EQ(GwHeat_Width(1500, 1000), 3u);
    GwHeat_Add(h, 1, 8, 0);
    EXPECT_DOUBLE_EQ(GwHeat_Get(h, 1, 1000), 4);
    GwHeat_Raise(h, 1, 6, 1000);
    EXPECT_DOUBLE_EQ(GwHeat_Get(h, 1, 1000), 6);
    // Many distinct keys must not exceed the bound.
    for (uint64_t k = 2; k < 1000; k++)
        GwHeat_Add(h, k, 1, 1000);
    EXPECT_DOUBLE_EQ(GwHeat_Get(h, 999, 1000), 1);
    GwHeat_Delete(h);
}

TEST(Limits, CreditsAndLocalShare)
{
    GwCredit c = {};
    GwTime now = GW_SECOND;

    EXPECT_EQ(GwCredit_Spend(&c, now), GW_CREDIT_ASK);
    GwCredit_Granted(&c, 2, 0, now);
    EXPECT_EQ(GwCredit_Spend(&c, now), GW_CREDIT_SEND);
    // Credits of an expired lease are not spent: the owner may have granted
    // them to others.
    EXPECT_EQ(GwCredit_Spend(&c, now + 2 * GW_SECOND), GW_CREDIT_ASK);
    GwCredit_Granted(&c, 0, 100, now);
    EXPECT_EQ(GwCredit_Spend(&c, now + 99), GW_CREDIT_REFUSE);
    EXPECT_EQ(GwCredit_Spend(&c, now + 100), GW_CREDIT_ASK);
    // While the owner is unreachable, each of four entries spends a quarter of
    // the limit.
    int spent = 0;
    for (int ms = 0; ms < 10000; ms++)
        spent += GwCredit_SpendLocal(&c, 40, 4, now + ms * GW_MILLISECOND);
    EXPECT_NEAR(spent, 100, 11);
}

TEST(Limits, RetryBudgetIsAShareOfFirstAttempts)
{
    GwRetryBudget b;
    int retries = 0;

    GwRetryBudget_Init(&b, 0.1, 5);
    for (int i = 0; i < 1000; i++) {
        GwRetryBudget_AddFirstAttempt(&b);
        retries += GwRetryBudget_Take(&b);
    }
    EXPECT_LE(retries, 106);
    EXPECT_GE(retries, 95);
}

// Entries are restarted in series while all attempts fail. Guards against a
// full burst of retries after each start, which no request has allowed.
TEST(Limits, RestartsAddNoBurstOfRetries)
{
    const int n_lives = 10, n_requests = 50;
    int retries = 0;

    for (int life = 0; life < n_lives; life++) {
        GwRetryBudget b;

        GwRetryBudget_Init(&b, 0.1, 20);
        for (int i = 0; i < n_requests; i++) {
            GwRetryBudget_AddFirstAttempt(&b);
            while (GwRetryBudget_Take(&b))
                retries++;
        }
    }
    // Two retries after each start are those of one request.
    EXPECT_LE(retries, n_lives * (0.1 * n_requests + 2));
    EXPECT_GE(retries, n_lives * 0.1 * n_requests);
}
