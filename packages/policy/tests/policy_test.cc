// Tables over the pure decisions; time and randomness are given.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include "galenagw/policy/admission.h"
#include "galenagw/policy/cache_view.h"
#include "galenagw/policy/candidates.h"
#include "galenagw/policy/choice.h"
#include "galenagw/policy/heat.h"
#include "galenagw/policy/limits.h"
#include "galenagw/policy/membership.h"
#include "galenagw/policy/recovery.h"

namespace {

std::vector<uint64_t>
Chain(const GwChainSeed &seed, const std::vector<std::string> &messages)
{
    GwChain c;

    GwChain_Init(&c, &seed);
    for (auto &m : messages)
        GwChain_AddMessage(&c, "user", m.data(), m.size());
    std::vector<uint64_t> out(c.hashes, c.hashes + c.count);
    GwChain_Finish(&c);
    return out;
}

size_t
Shared(const std::vector<uint64_t> &a, const std::vector<uint64_t> &b)
{
    size_t i = 0;

    while (i < a.size() && i < b.size() && a[i] == b[i])
        i++;
    return i;
}

GwTicket
Ticket(bool trial, int urgency, GwTime deadline, GwTime prefill)
{
    GwTicket t = {};

    t.trial = trial;
    t.urgency = urgency;
    t.deadline = deadline;
    t.prefill = prefill;
    return t;
}

GwAdmission *
Admission(int slots, double reserve = 0.25, int queue = 8)
{
    GwAdmissionOptions o = {slots, reserve, queue, 50};

    return GwAdmission_New(&o);
}

} // namespace

TEST(Chain, SharesExactlyWhatMayBeShared)
{
    const GwChainSeed seed = {"a", "m", "v1", ""};
    const std::string rules(600, 'r'), hall(300, 'h');
    const struct {
        const char *name;
        GwChainSeed seed;
        std::vector<std::string> messages;
        size_t shared; // of rules (3 chunks), hall (2), question (1)
    } cases[] = {
        {"same", seed, {rules, hall, "q"}, 6},
        {"other question", seed, {rules, hall, "p"}, 5},
        {"other hall", seed, {rules, "x" + hall, "q"}, 3},
        {"text moved over a boundary", seed, {rules + hall, "q"}, 2},
        {"other account", {"b", "m", "v1", ""}, {rules, hall, "q"}, 0},
        {"other model", {"a", "n", "v1", ""}, {rules, hall, "q"}, 0},
        {"older weights", {"a", "m", "v0", ""}, {rules, hall, "q"}, 0},
        {"other adapter", {"a", "m", "v1", "x"}, {rules, hall, "q"}, 0},
        {"seed parts swapped", {"am", "", "v1", ""}, {rules, hall, "q"}, 0},
    };
    auto base = Chain(seed, {rules, hall, "q"});

    ASSERT_EQ(base.size(), 6u);
    for (auto &c : cases)
        EXPECT_EQ(Shared(base, Chain(c.seed, c.messages)), c.shared) << c.name;
}

TEST(CacheView, FollowsTheEngine)
{
    const uint64_t h[] = {1, 2, 3, 4, 5, 6};
    GwCacheView *v = GwCacheView_New(4);

    GwCacheView_Bind(v, 7);
    GwCacheView_Insert(v, h, 4, false);
    EXPECT_EQ(GwCacheView_Resident(v, h, 6), 4u);
    // Full: the leaves go before the root of the same prompt.
    GwCacheView_Insert(v, h + 4, 1, false);
    EXPECT_EQ(GwCacheView_Resident(v, h, 4), 3u);
    EXPECT_TRUE(GwCacheView_Event(v, 0, GW_CACHE_REMOVED, h + 1, 1));
    EXPECT_EQ(GwCacheView_Resident(v, h, 4), 1u);
    EXPECT_TRUE(GwCacheView_Event(v, 1, GW_CACHE_STORED, h, 3));
    EXPECT_EQ(GwCacheView_Resident(v, h, 4), 3u);
    // A gap: what is not confirmed again counts as answers have shown.
    EXPECT_FALSE(GwCacheView_Event(v, 9, GW_CACHE_STORED, nullptr, 0));
    EXPECT_EQ(GwCacheView_Resident(v, h, 3), 3u);
    for (int i = 0; i < 100; i++)
        GwCacheView_Learn(v, 3, 1);
    EXPECT_EQ(GwCacheView_Leading(v, h, 3), 3u);
    EXPECT_EQ(GwCacheView_Resident(v, h, 3), 1u);
    GwCacheView_Insert(v, h, 3, false);
    EXPECT_EQ(GwCacheView_Resident(v, h, 3), 3u);
    // Another incarnation: nothing is held, and numbers start again.
    EXPECT_TRUE(GwCacheView_Bind(v, 8));
    EXPECT_EQ(GwCacheView_Resident(v, h, 3), 0u);
    EXPECT_TRUE(GwCacheView_Event(v, 0, GW_CACHE_STORED, h, 1));
    EXPECT_TRUE(GwCacheView_Event(v, 1, GW_CACHE_CLEARED, nullptr, 0));
    EXPECT_EQ(GwCacheView_Size(v), 0u);
    GwCacheView_Delete(v);
}

TEST(CacheView, TrialBlocksAreCountedUntilPayingUsesThem)
{
    const uint64_t h[] = {1, 2, 3};
    GwCacheView *v = GwCacheView_New(10);

    GwCacheView_Insert(v, h, 3, true);
    EXPECT_EQ(GwCacheView_TrialSize(v), 3u);
    GwCacheView_Insert(v, h, 2, false);
    EXPECT_EQ(GwCacheView_TrialSize(v), 1u);
    GwCacheView_Insert(v, h, 3, true);
    EXPECT_EQ(GwCacheView_TrialSize(v), 1u);
    GwCacheView_Delete(v);
}

TEST(Candidates, AreStableNestedAndSkipTheUnusable)
{
    const GwChainSeed seed = {"a", "m", "v", ""};
    GwCandidateMember m[20] = {};
    GRand *rand = g_rand_new_with_seed(1);
    GwCandidateOptions o = {4, 2};
    size_t p1[GW_CANDIDATES_MAX], p2[GW_CANDIDATES_MAX];
    GwChain a, b;

    for (uint64_t i = 0; i < 20; i++)
        m[i] = {i * 77 + 5, true};
    for (GwChain *c : {&a, &b}) {
        GwChain_Init(c, &seed);
        GwChain_AddMessage(c, "system", "rules", 5);
        GwChain_AddMessage(c, "system", "hall", 4);
    }
    GwChain_AddMessage(&a, "user", "one", 3);
    GwChain_AddMessage(&b, "user", "two", 3);
    ASSERT_EQ(GwCandidates_Pick(&a, m, 20, &o, rand, p1), 4);
    ASSERT_EQ(GwCandidates_Pick(&b, m, 20, &o, rand, p2), 4);
    // The question is the caller's own: it must not move the request. Two
    // places of the hall and one of the rules; the fourth is any other.
    EXPECT_EQ(memcmp(p1, p2, sizeof(size_t) * 3), 0);
    m[p1[0]].usable = false;
    ASSERT_EQ(GwCandidates_Pick(&b, m, 20, &o, rand, p2), 4);
    EXPECT_EQ(p2[0], p1[1]);
    // A hot anchor is spread over its width, and over no more than that.
    m[p1[0]].usable = true;
    o = {1, 6};
    std::vector<bool> seen(20);
    for (int i = 0; i < 200; i++) {
        ASSERT_EQ(GwCandidates_Pick(&a, m, 20, &o, rand, p2), 1);
        seen[p2[0]] = true;
    }
    EXPECT_EQ(std::count(seen.begin(), seen.end(), true), 6);
    GwChain_Finish(&a);
    GwChain_Finish(&b);
    g_rand_free(rand);
}

TEST(Admission, ServesInOrderOfClassUrgencyDeadlineAge)
{
    GwAdmission *a = Admission(1, 0, 8);
    GwTicket run = Ticket(false, 0, GW_NEVER, 10);
    GwTicket t[] = {
        Ticket(true, 0, GW_NEVER, 10),  Ticket(false, 5, GW_NEVER, 10),
        Ticket(false, 1, 9000000, 10),  Ticket(false, 1, 8000000, 10),
        Ticket(false, 5, GW_NEVER, 10),
    };
    const int order[] = {3, 2, 1, 4, 0};

    GwAdmission_Enter(a, &run, 0);
    ASSERT_EQ(GwAdmission_Next(a, 0), &run);
    for (auto &x : t)
        ASSERT_EQ(GwAdmission_Enter(a, &x, 0), GW_REFUSAL_NONE);
    GwTicket *last = &run;
    for (int i : order) {
        EXPECT_EQ(GwAdmission_Next(a, 0), nullptr);
        GwAdmission_Leave(a, last, 1);
        last = GwAdmission_Next(a, 1);
        EXPECT_EQ(last, &t[i]);
    }
    GwAdmission_Delete(a);
}

TEST(Admission, TrialsLeaveTheReserveAndGiveWay)
{
    GwAdmission *a = Admission(4, 0.25);
    GwTicket trials[4], paying[4];

    for (auto &t : trials) {
        t = Ticket(true, 0, GW_NEVER, 10);
        GwAdmission_Enter(a, &t, 0);
    }
    for (int i = 0; i < 3; i++)
        EXPECT_EQ(GwAdmission_Next(a, 0), &trials[i]);
    EXPECT_EQ(GwAdmission_Next(a, 0), nullptr) << "the reserve is paying's";
    GwAdmission_Output(a, &trials[0], 1);
    for (auto &p : paying) {
        p = Ticket(false, 0, GW_NEVER, 10);
        GwAdmission_Enter(a, &p, 1);
    }
    EXPECT_EQ(GwAdmission_Next(a, 1), &paying[0]);
    EXPECT_EQ(GwAdmission_Next(a, 1), nullptr);
    // The youngest without output goes first; one that streams is kept.
    EXPECT_EQ(GwAdmission_Preempt(a, 1), &trials[2]);
    EXPECT_EQ(GwAdmission_Next(a, 1), &paying[1]);
    EXPECT_EQ(GwAdmission_Preempt(a, 1), &trials[1]);
    EXPECT_EQ(GwAdmission_Next(a, 1), &paying[2]);
    EXPECT_EQ(GwAdmission_Preempt(a, 1), nullptr);
    EXPECT_EQ(trials[0].state, GW_TICKET_STREAMING);
    EXPECT_EQ(GwAdmission_Queued(a), 4);
    GwAdmission_Delete(a);
}

// Slots are free, but the engine prefills one prompt after another.
TEST(Admission, TrialsGiveWayInThePrefillToo)
{
    GwAdmission *a = Admission(8, 0);
    GwTicket trial = Ticket(true, 0, GW_NEVER, 900);
    GwTicket paying = Ticket(false, 0, GW_NEVER, 10);

    GwAdmission_Enter(a, &trial, 0);
    EXPECT_EQ(GwAdmission_Next(a, 0), &trial);
    GwAdmission_Enter(a, &paying, 1);
    EXPECT_EQ(GwAdmission_Next(a, 1), &paying);
    EXPECT_EQ(GwAdmission_Preempt(a, 1), &trial);
    EXPECT_EQ(GwAdmission_Next(a, 1), nullptr);
    GwAdmission_Output(a, &paying, 2);
    EXPECT_EQ(GwAdmission_Next(a, 2), &trial);
    GwAdmission_Output(a, &trial, 3);
    EXPECT_EQ(GwAdmission_Preempt(a, 3), nullptr) << "it streams";
    GwAdmission_Leave(a, &paying, 3);
    GwAdmission_Leave(a, &trial, 3);
    GwAdmission_Delete(a);
}

// What is longer than the usual pause between paying requests would be set
// aside before it ends.
TEST(Admission, LongTrialsWaitForAQuietTime)
{
    GwAdmission *a = Admission(8, 0);
    GwTicket small = Ticket(true, 0, GW_NEVER, 50);
    GwTicket large = Ticket(true, 0, GW_NEVER, 500);
    GwTime now = 0;

    for (int i = 0; i < 400; i++) {
        GwTicket paying = Ticket(false, 0, GW_NEVER, 1);

        now += 100;
        GwAdmission_Enter(a, &paying, now);
        EXPECT_EQ(GwAdmission_Next(a, now), &paying);
        GwAdmission_Leave(a, &paying, now);
    }
    // Told at once: a pause of five times the usual is rare.
    EXPECT_GT(GwAdmission_Estimate(a, &large, now).wait, 100 * 100);
    EXPECT_EQ(GwAdmission_Estimate(a, &small, now).wait, 0);
    GwAdmission_Enter(a, &large, now);
    EXPECT_EQ(GwAdmission_Next(a, now), nullptr);
    GwAdmission_Enter(a, &small, now);
    EXPECT_EQ(GwAdmission_Next(a, now), &small);
    EXPECT_EQ(GwAdmission_Next(a, now + 499), nullptr);
    EXPECT_EQ(GwAdmission_Next(a, now + 500), &large);
    GwAdmission_Delete(a);
}

TEST(Admission, EstimatesRefuseEarlyAndCountReservations)
{
    const struct {
        const char *name;
        bool trial;
        GwTime deadline;
        int reserved;
        GwRefusal refusal;
    } cases[] = {
        {"in time", false, 200, 0, GW_REFUSAL_NONE},
        {"too late", false, 99, 0, GW_REFUSAL_DEADLINE},
        {"too late behind an offer", false, 150, 1, GW_REFUSAL_DEADLINE},
        {"no deadline", false, GW_NEVER, 4, GW_REFUSAL_NONE},
        {"queue of offers", false, GW_NEVER, 8, GW_REFUSAL_QUEUE_FULL},
    };

    for (auto &c : cases) {
        GwAdmission *a = Admission(4);
        GwTicket r[8];
        GwTicket t = Ticket(c.trial, 0, c.deadline, 100);

        for (int i = 0; i < c.reserved; i++) {
            r[i] = Ticket(false, 0, GW_NEVER, 100);
            GwAdmission_Reserve(a, &r[i], 0);
        }
        GwEstimate e = GwAdmission_Estimate(a, &t, 0);
        EXPECT_EQ(e.refusal, c.refusal) << c.name;
        EXPECT_GT(e.retry_after, 0) << c.name;
        // Offers that are not taken up run out.
        int expired = 0;
        EXPECT_EQ(GwAdmission_ExpireReservation(a, 49), nullptr);
        while (GwAdmission_ExpireReservation(a, 50) != nullptr)
            expired++;
        EXPECT_EQ(expired, c.reserved) << c.name;
        GwAdmission_Delete(a);
    }
}

TEST(Admission, APayingEstimateCountsNoTrialThatCanBeSetAside)
{
    GwAdmission *a = Admission(2, 0);
    GwTicket t[2], paying = Ticket(false, 0, GW_NEVER, 10);

    for (auto &x : t) {
        x = Ticket(true, 0, GW_NEVER, 5000);
        GwAdmission_Enter(a, &x, 0);
        GwAdmission_Next(a, 0);
    }
    EXPECT_EQ(GwAdmission_Estimate(a, &paying, 0).wait, 0);
    EXPECT_GT(GwAdmission_Estimate(a, &t[0], 0).wait, 0);
    GwAdmission_Delete(a);
}

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
        {"held, though later",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 80, 80, false, 0, 0}},
         1,
         0},
        {"held, but far too late",
         {{true, GW_REFUSAL_NONE, 500, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 80, 80, false, 0, 0}},
         1,
         1},
        {"tie goes to the earlier place",
         {{true, GW_REFUSAL_NONE, 90, 0, false, 0, 0},
          {true, GW_REFUSAL_NONE, 90, 0, false, 0, 0}},
         1,
         0},
        {"far away",
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
    EXPECT_FALSE(GwChoice_IsGoodEnough(&good)) << "it lacks shared blocks";
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
    GwPrefillCost_Learn(&c, 1000, 1000500);
    EXPECT_NEAR(c.us_per_token, 1000, 1);
    for (int i = 0; i < 100; i++)
        GwPrefillCost_Learn(&c, 1000, 200500);
    EXPECT_NEAR(c.us_per_token, 200, 10);
    GwPrefillCost_Learn(&c, 1, 300);
    EXPECT_NEAR(c.base_us, 300, 1);
}

TEST(Heat, WidensWithWorkAndShrinksAgain)
{
    GwHeat *h = GwHeat_New(1000, 4);

    EXPECT_EQ(GwHeat_Width(0, 1000), 1u);
    EXPECT_EQ(GwHeat_Width(600, 1000), 1u);
    EXPECT_EQ(GwHeat_Width(1500, 1000), 3u);
    GwHeat_Add(h, 1, 8, 0);
    EXPECT_DOUBLE_EQ(GwHeat_Get(h, 1, 1000), 4);
    GwHeat_Raise(h, 1, 6, 1000);
    EXPECT_DOUBLE_EQ(GwHeat_Get(h, 1, 1000), 6);
    // Distinct keys without end must not grow it.
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
    EXPECT_EQ(GwCredit_Spend(&c, now), GW_CREDIT_GO);
    // A lease that ran out is not spent: others may have its credits.
    EXPECT_EQ(GwCredit_Spend(&c, now + 2 * GW_SECOND), GW_CREDIT_ASK);
    GwCredit_Granted(&c, 0, 100, now);
    EXPECT_EQ(GwCredit_Spend(&c, now + 99), GW_CREDIT_REFUSE);
    EXPECT_EQ(GwCredit_Spend(&c, now + 100), GW_CREDIT_ASK);
    // Home away: four entries take a quarter each.
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
        GwRetryBudget_First(&b);
        retries += GwRetryBudget_Take(&b);
    }
    EXPECT_LE(retries, 106);
    EXPECT_GE(retries, 95);
}

TEST(Membership, FreshestSignWins)
{
    enum Sign { LIST, LIST_LEAVING, HELLO, HELLO_NEW, LEAVING, LOST, DELIST };
    const struct {
        const char *name;
        std::vector<Sign> signs;
        GwMemberState state;
        bool usable;
    } cases[] = {
        {"listed", {LIST}, GW_MEMBER_NEW, true},
        {"heard", {LIST, HELLO}, GW_MEMBER_LIVE, true},
        {"listed as leaving",
         {LIST, HELLO, LIST_LEAVING},
         GW_MEMBER_LEAVING,
         false},
        {"announced, list lags",
         {LIST, HELLO, LEAVING, LIST},
         GW_MEMBER_LEAVING,
         false},
        {"leaving is final for its life",
         {LIST, HELLO, LEAVING, HELLO},
         GW_MEMBER_LEAVING,
         false},
        {"another life has not announced it",
         {LIST, HELLO, LEAVING, HELLO_NEW},
         GW_MEMBER_LIVE,
         true},
        {"silent", {LIST, HELLO, LOST}, GW_MEMBER_SUSPECT, false},
        {"heard again", {LIST, HELLO, LOST, HELLO}, GW_MEMBER_LIVE, true},
        {"delisted", {LIST, HELLO, DELIST}, GW_MEMBER_GONE, false},
        {"listed again", {LIST, HELLO, DELIST, LIST}, GW_MEMBER_NEW, true},
        {"lost while leaving",
         {LIST, LEAVING, LOST},
         GW_MEMBER_LEAVING,
         false},
    };
    const GwAddress addr = {"127.0.0.1", 1};

    for (auto &c : cases) {
        GRand *rand = g_rand_new_with_seed(1);
        GwMembership *m = GwMembership_New(rand);
        GwMember *x = nullptr;

        for (Sign s : c.signs) {
            if (s == LIST || s == LIST_LEAVING)
                x = GwMembership_Listed(m, "a", "p", "d", &addr,
                                        s == LIST_LEAVING);
            else if (s == HELLO || s == HELLO_NEW)
                GwMembership_Hello(m, x, s == HELLO ? 1 : 2, false);
            else if (s == LEAVING)
                GwMembership_Leaving(m, x);
            else if (s == LOST)
                GwMembership_Lost(m, x, 1000);
            else {
                GwMembership_BeginList(m);
                GwMembership_EndList(m);
            }
        }
        EXPECT_EQ(x->state, c.state) << c.name;
        EXPECT_EQ(GwMembership_IsUsable(x, 1000), c.usable) << c.name;
        GwMembership_Delete(m);
        g_rand_free(rand);
    }
}

TEST(Membership, EjectionIsCappedAndBackOffGrows)
{
    GRand *rand = g_rand_new_with_seed(1);
    GwMembership *m = GwMembership_New(rand);
    const GwAddress addr = {"127.0.0.1", 1};
    std::vector<GwMember *> all;
    int ejected = 0;

    for (int i = 0; i < 9; i++)
        all.push_back(GwMembership_Listed(m, std::to_string(i).c_str(), "p",
                                          "d", &addr, false));
    for (auto *x : all)
        for (int i = 0; i < 20; i++)
            ejected += GwMembership_Attempt(m, x, true, 1000);
    EXPECT_EQ(ejected, 3) << "at most a third";
    GwMember *x = all[8];
    GwTime now = 0, first = 0;
    for (int i = 0; i < 8; i++) {
        GwMembership_Lost(m, x, now);
        EXPECT_FALSE(GwMembership_MayConnect(x, now));
        first = i == 0 ? x->retry_at - now : first;
        now = x->retry_at;
    }
    GwMembership_Lost(m, x, now);
    EXPECT_GT(x->retry_at - now, 10 * first);
    GwMembership_Delete(m);
    g_rand_free(rand);
}

TEST(Recovery, NeverRunsTwiceAndNeverLies)
{
    const struct {
        const char *name;
        GwFailureFacts f; // failure refusal ran idem keyed trial delivered
                          // continue holder may_have_run attempts
        GwAction action;
        GwRan ran;
    } cases[] = {
        {"declined, not run",
         {GW_FAILURE_REFUSED, GW_REFUSAL_QUEUE_FULL, GW_RAN_NO, false, false,
          false, false, false, false, false, 1},
         GW_ACTION_RETRY,
         GW_RAN_NO},
        {"a trial does not go round",
         {GW_FAILURE_REFUSED, GW_REFUSAL_QUEUE_FULL, GW_RAN_NO, true, false,
          true, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_NO},
        {"call never arrived and is fenced",
         {GW_FAILURE_UNKNOWN_ID, GW_REFUSAL_NONE, GW_RAN_NO, false, false,
          false, false, false, false, false, 1},
         GW_ACTION_RETRY,
         GW_RAN_NO},
        {"call lost",
         {GW_FAILURE_LOST, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, false, false,
          false, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_UNKNOWN},
        {"call at a restarted agent",
         {GW_FAILURE_RESTARTED, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, false, false,
          false, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_UNKNOWN},
        {"keyed call lost: its claim guards it",
         {GW_FAILURE_LOST, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, false, true, false,
          false, false, false, false, 1},
         GW_ACTION_RETRY,
         GW_RAN_UNKNOWN},
        {"generation lost",
         {GW_FAILURE_LOST, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, true, false, false,
          false, false, false, false, 1},
         GW_ACTION_RETRY,
         GW_RAN_UNKNOWN},
        {"generation broken in mid-stream",
         {GW_FAILURE_BROKEN, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, true, false,
          false, true, true, false, false, 1},
         GW_ACTION_CONTINUE,
         GW_RAN_UNKNOWN},
        {"cannot be continued",
         {GW_FAILURE_BROKEN, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, true, false,
          false, true, false, false, false, 1},
         GW_ACTION_BREAK_OFF,
         GW_RAN_UNKNOWN},
        {"call broken",
         {GW_FAILURE_BROKEN, GW_REFUSAL_NONE, GW_RAN_UNKNOWN, false, false,
          false, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_UNKNOWN},
        {"claimed by a known holder",
         {GW_FAILURE_REFUSED, GW_REFUSAL_CLAIMED_ELSEWHERE, GW_RAN_UNKNOWN,
          false, true, false, false, false, true, false, 1},
         GW_ACTION_ASK_HOLDER,
         GW_RAN_UNKNOWN},
        {"claimed by one unknown",
         {GW_FAILURE_REFUSED, GW_REFUSAL_CLAIMED_ELSEWHERE, GW_RAN_UNKNOWN,
          false, true, false, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_UNKNOWN},
        {"log down",
         {GW_FAILURE_REFUSED, GW_REFUSAL_LOG_UNAVAILABLE, GW_RAN_NO, false,
          true, false, false, false, false, false, 1},
         GW_ACTION_REFUSE,
         GW_RAN_NO},
        {"not run, but an earlier attempt may have",
         {GW_FAILURE_REFUSED, GW_REFUSAL_KEY_MISMATCH, GW_RAN_NO, false, true,
          false, false, false, false, true, 2},
         GW_ACTION_REFUSE,
         GW_RAN_UNKNOWN},
        {"out of attempts",
         {GW_FAILURE_REFUSED, GW_REFUSAL_LEAVING, GW_RAN_NO, true, false,
          false, false, false, false, false, GW_ATTEMPTS_MAX},
         GW_ACTION_REFUSE,
         GW_RAN_NO},
    };

    for (auto &c : cases) {
        GwRecovery r = GwRecovery_Decide(&c.f);

        EXPECT_EQ(r.action, c.action)
            << c.name << ": " << GwAction_Names[r.action];
        EXPECT_EQ(r.ran, c.ran) << c.name;
    }
}

// All combinations: no action may run a call twice that must not be, and
// no refusal may say "not run" of a request that may have run.
TEST(Recovery, HoldsForEveryCombination)
{
    for (int bits = 0; bits < 1 << 7; bits++) {
        for (int failure = 0; failure < GW_FAILURES; failure++) {
            for (int refusal = 0; refusal < GW_REFUSALS; refusal++) {
                GwFailureFacts f = {};

                f.failure = static_cast<GwFailure>(failure);
                f.refusal = static_cast<GwRefusal>(refusal);
                f.ran = bits & 1 ? GW_RAN_UNKNOWN : GW_RAN_NO;
                f.idempotent = bits & 2;
                f.keyed = bits & 4;
                f.delivered = bits & 8;
                f.can_continue = bits & 16;
                f.holder_known = bits & 32;
                f.may_have_run = bits & 64;
                f.attempts = 1;
                GwRecovery r = GwRecovery_Decide(&f);
                bool proven = f.failure == GW_FAILURE_REFUSED
                                  ? f.ran == GW_RAN_NO
                                  : f.failure == GW_FAILURE_UNKNOWN_ID;

                bool again = r.action == GW_ACTION_RETRY ||
                             r.action == GW_ACTION_CONTINUE;

                EXPECT_TRUE(!again || f.idempotent || f.keyed || proven);
                EXPECT_TRUE(r.ran != GW_RAN_NO || (proven && !f.may_have_run));
            }
        }
    }
}
