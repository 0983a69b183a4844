// Limits of accounts over many entries: buckets, owners, leases, and random
// schedules that are compared with an exact ledger. Clocks and randomness are
// inputs.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "galenagw/policy/limit_share.h"

namespace {

const GwLimit kLimit = {1000, 1000, 0, 0};

TEST(LimitBucket, GrantsAvailableUnits)
{
    const struct {
        const char *name;
        GwLimit limit;
        GwTime after;
        double need, ahead;
        double taken;
    } cases[] = {
        {"begins empty", kLimit, 0, 10, 0, 0},
        {"fills at its rate", kLimit, GW_SECOND / 2, 800, 0, 500},
        {"fills up to its burst", kLimit, 9 * GW_SECOND, 5000, 0, 1000},
        {"grants the units needed", kLimit, GW_SECOND, 30, 0, 30},
        {"grants units ahead from the upper half", kLimit, GW_SECOND, 30, 900,
         500},
        {"grants nothing ahead if the need is not met", kLimit, GW_SECOND / 4,
         300, 100, 250},
        {"uses its debt", {1000, 1000, 400, 0}, GW_SECOND, 1300, 0, 1300},
        {"but no more than its debt",
         {1000, 1000, 400, 0},
         GW_SECOND,
         1500,
         0,
         1400},
        {"a clock that goes back", kLimit, -GW_SECOND, 10, 0, 0},
        {"fills at its rate in its first window",
         {1000, 900, 0, 8 * GW_SECOND},
         GW_SECOND / 2,
         800,
         0,
         500},
    };

    for (const auto &c : cases) {
        GwBucket b;

        GwBucket_Init(&b, &c.limit, 0);
        EXPECT_EQ(GwBucket_Take(&b, c.need, c.ahead, c.after), c.taken)
            << c.name;
    }
}

// Guards against units of an old, higher limit being granted after the limit
// was lowered.
TEST(LimitBucket, ALowerLimitTakesEffectAtOnce)
{
    const GwLimit lower = {10, 20, 0, 0};
    GwBucket b;

    GwBucket_Init(&b, &kLimit, 0);
    GwBucket_SetLimit(&b, &lower, 5 * GW_SECOND);
    EXPECT_EQ(GwBucket_Take(&b, 500, 0, 5 * GW_SECOND), 20);
    GwBucket_Return(&b, 500, 5 * GW_SECOND);
    EXPECT_EQ(GwBucket_Take(&b, 500, 0, 5 * GW_SECOND), 20)
        << "returned units are limited by the burst";
}

// Guards against use beyond the limit and against an unused part of it: in any
// window an account gets at most its rate and its burst, and one that always
// requests more gets nearly all of that.
TEST(LimitBucket, UseStaysWithinTheWindowAndCloseToIt)
{
    const struct {
        const char *name;
        double burst, debt;
        GwTime idle;      // pause after the first window
        double min_share; // of the rate, on average after two windows
    } cases[] = {
        {"at an even rate", 1000, 0, 0, 0.93},
        {"after a pause", 1000, 0, 4 * GW_SECOND, 0.93},
        {"a large burst", 4000, 0, 4 * GW_SECOND, 0.93},
        {"uses its debt", 1000, 3000, 4 * GW_SECOND, 0.93},
    };
    const GwTime window = 8 * GW_SECOND, start = 100 * GW_SECOND;

    for (const auto &c : cases) {
        const GwLimit limit = {1000, c.burst, c.debt, window};
        std::deque<std::pair<GwTime, double>> taken;
        double sum = 0, max_used = 0, second = 0;
        GwBucket b;

        GwBucket_Init(&b, &limit, start);
        for (GwTime t = start; t < start + 4 * window;
             t += 10 * GW_MILLISECOND) {
            double units = 0;

            if (t < start + window || t >= start + window + c.idle)
                units = GwBucket_Take(&b, 600, 0, t);
            taken.push_back({t, units});
            sum += units;
            while (taken.front().first <= t - window) {
                sum -= taken.front().second;
                taken.pop_front();
            }
            max_used = MAX(max_used, sum);
            if (t >= start + 2 * window && t < start + 4 * window)
                second += units / 2;
        }
        EXPECT_LE(max_used, 8000 + c.burst) << c.name;
        EXPECT_GE(second, c.min_share * 8000) << c.name;
    }
}

std::vector<uint64_t>
Nodes(unsigned n)
{
    std::vector<uint64_t> nodes;

    for (unsigned i = 1; i <= n; i++)
        nodes.push_back(i * 7919);
    return nodes;
}

// Guards against processes disagreeing on the owners of an account, which
// would grant its limit several times.
TEST(LimitPool, IsIndependentOfTheOrderOfTheInstances)
{
    std::vector<uint64_t> nodes = Nodes(54);
    GwLimitPool pool = GwLimitPool_Of(nodes.data(), nodes.size());
    std::map<uint64_t, int> accounts;

    std::reverse(nodes.begin(), nodes.end());
    nodes.push_back(nodes[3]); // two instances at one address
    GwLimitPool other = GwLimitPool_Of(nodes.data(), nodes.size());
    EXPECT_TRUE(GwLimitPool_Equal(&pool, &other));
    EXPECT_EQ(pool.n, (unsigned)GW_LIMIT_POOL_MAX);
    for (int i = 0; i < 1000; i++) {
        uint64_t owners[GW_LIMIT_OWNERS];
        std::string name = "account" + std::to_string(i);

        ASSERT_EQ(GwLimitPool_Owners(&pool, name.c_str(), &kLimit, owners),
                  (unsigned)GW_LIMIT_OWNERS);
        EXPECT_TRUE(owners[0] != owners[1] && owners[1] != owners[2] &&
                    owners[0] != owners[2]);
        for (uint64_t owner : owners) {
            EXPECT_TRUE(GwLimitPool_Has(&pool, owner));
            accounts[owner]++;
        }
    }
    EXPECT_EQ(accounts.size(), (size_t)GW_LIMIT_POOL_MAX);
    for (const auto &[owner, n] : accounts)
        EXPECT_NEAR(n, 3000 / GW_LIMIT_POOL_MAX, 80) << owner;
}

TEST(LimitPool, SmallFleetsHaveFewerOwners)
{
    uint64_t owners[GW_LIMIT_OWNERS];

    for (unsigned n : {0u, 1u, 2u}) {
        std::vector<uint64_t> nodes = Nodes(n);
        GwLimitPool pool = GwLimitPool_Of(nodes.data(), n);

        EXPECT_EQ(GwLimitPool_Owners(&pool, "acme", &kLimit, owners), n);
    }
}

// Guards against an owner granting a whole burst again after a restart or a
// change of the pool.
TEST(LimitOwner, ARestartOrPoolChangeGrantsNoNewBurst)
{
    std::vector<uint64_t> nodes = Nodes(3);
    GwLimitPool three = GwLimitPool_Of(nodes.data(), 3);
    GwLimitPool two = GwLimitPool_Of(nodes.data(), 2);
    GwLimitRequest request = {"acme", 1, 1000, 0, 0};
    GwTime now = 100 * GW_SECOND;
    GwLimitOwner *owner = GwLimitOwner_New(now);
    const GwLimit limit = {3000, 3000, 0, 0};

    GwLimitOwner_SetPool(owner, &three, nodes[0], now);
    EXPECT_EQ(GwLimitOwner_Answer(owner, &limit, &request, now), 0);
    now += 10 * GW_SECOND;
    EXPECT_EQ(GwLimitOwner_Answer(owner, &limit, &request, now), 1000);
    // While it is no owner of the account, another one grants units that it
    // has no record of.
    GwLimitOwner_SetPool(owner, &two, nodes[2], now);
    EXPECT_EQ(GwLimitOwner_Answer(owner, &limit, &request, now + GW_SECOND), 0)
        << "it is no owner of the account";
    now += 10 * GW_SECOND;
    GwLimitOwner_SetPool(owner, &three, nodes[0], now);
    EXPECT_EQ(GwLimitOwner_Answer(owner, &limit, &request, now), 0);
    EXPECT_EQ(
        GwLimitOwner_Answer(owner, &limit, &request, now + GW_SECOND / 2),
        500);
    GwLimitOwner_Delete(owner);
}

/* A fleet of limit owners and entries. Tests may delay or lose the messages
 * between them. */
class LimitFleet {
  public:
    struct Request {
        GwLimitWaiter waiter = {};
        GwLimitDecision verdict = {GW_LIMIT_WAITING, 0, 0};
        double units = 0;
    };
    struct Entry {
        LimitFleet *fleet;
        unsigned index;
        GwLimitShare *share;
        bool isolated = false;
        std::vector<std::unique_ptr<Request>> requests;
    };
    struct Message {
        GwTime at;
        bool is_answer;
        unsigned entry;
        uint64_t owner;
        GwLimitRequest request;
        double units;
    };

    LimitFleet(unsigned owners, unsigned n_entries, const GwLimit &fleet_limit)
        : limit(fleet_limit), nodes(Nodes(owners))
    {
        static const GwLimitShareOps ops = {SendRequest};

        rand = g_rand_new_with_seed(7);
        pool = GwLimitPool_Of(nodes.data(), nodes.size());
        for (uint64_t node : nodes) {
            buckets[node] = GwLimitOwner_New(now);
            GwLimitOwner_SetPool(buckets[node], &pool, node, now);
        }
        for (unsigned i = 0; i < n_entries; i++) {
            auto e = std::make_unique<Entry>();
            GwLimitShareOptions options = {&ops, e.get(), i * 31 + 1, rand};

            e->fleet = this;
            e->index = i;
            e->share = GwLimitShare_New(&options);
            GwLimitShare_SetPool(e->share, &pool);
            entries.push_back(std::move(e));
        }
    }
    ~LimitFleet()
    {
        for (auto &e : entries)
            GwLimitShare_Delete(e->share);
        for (auto &[node, owner] : buckets)
            GwLimitOwner_Delete(owner);
        g_rand_free(rand);
    }
    Request *
    Take(unsigned entry, double units, GwLimit offline_limit = {})
    {
        GwLimitedAccount account = {"acme", limit, offline_limit};
        Entry *e = entries[entry].get();

        e->requests.push_back(std::make_unique<Request>());
        Request *r = e->requests.back().get();
        r->units = units;
        r->waiter.user = r;
        r->waiter.on_decided = [](GwLimitWaiter *w,
                                  const GwLimitDecision *verdict) {
            static_cast<Request *>(w->user)->verdict = *verdict;
        };
        r->verdict =
            GwLimitShare_Take(e->share, &account, units, &r->waiter, now);
        return r;
    }
    void
    Run(GwTime time)
    {
        for (GwTime until = now + time; now < until;) {
            now += GW_MILLISECOND;
            Deliver();
            if (now / GW_MILLISECOND % 20 != 0)
                continue;
            for (auto &e : entries) {
                if (!suspended_entries.count(e->index))
                    GwLimitShare_Tick(e->share, now);
            }
        }
    }
    void
    Restart(uint64_t node)
    {
        GwLimitOwner_Delete(buckets[node]);
        buckets[node] = GwLimitOwner_New(now);
        GwLimitOwner_SetPool(buckets[node], &pool, node, now);
        std::deque<Message> remaining;
        for (const Message &m : messages) {
            if (m.owner != node)
                remaining.push_back(m);
        }
        messages.swap(remaining);
        for (auto &e : entries)
            GwLimitShare_OwnerLost(e->share, node, now);
    }
    double
    Granted(GwTime from = 0) const
    {
        double sum = 0;

        for (const auto &[at, units] : ledger) {
            if (at >= from)
                sum += units;
        }
        return sum;
    }
    // Adds the units of the requests granted by now to the ledger.
    void
    RecordGrants()
    {
        for (auto &e : entries) {
            for (auto &r : e->requests) {
                if (r->units > 0 && r->verdict.state == GW_LIMIT_GRANTED) {
                    ledger.push_back({now, r->units});
                    r->units = 0;
                }
            }
        }
    }
    int
    Undecided() const
    {
        int n = 0;

        for (auto &e : entries) {
            for (auto &r : e->requests)
                n += r->verdict.state == GW_LIMIT_WAITING;
        }
        return n;
    }
    // The most units granted in any interval of length @p window.
    double
    MaxUsed(GwTime window) const
    {
        double max_used = 0, sum = 0;
        size_t first = 0;

        for (const auto &[at, units] : ledger) {
            sum += units;
            while (ledger[first].first <= at - window)
                sum -= ledger[first++].second;
            max_used = MAX(max_used, sum);
        }
        return max_used;
    }

    GwTime now = 1000 * GW_SECOND;
    GwTime delay = 2 * GW_MILLISECOND;
    double loss_rate = 0; /* share of messages that are lost */
    GwLimit limit;
    std::vector<uint64_t> nodes;
    GwLimitPool pool;
    std::map<uint64_t, GwLimitOwner *> buckets;
    std::vector<std::unique_ptr<Entry>> entries;
    std::map<uint64_t, bool> stopped_owners;
    std::map<uint64_t, bool> silent_owners; /* they never answer */
    std::map<unsigned, bool> suspended_entries;
    std::deque<Message> messages;
    std::vector<std::pair<GwTime, double>> ledger;
    GRand *rand = nullptr;
    int requests_sent = 0;

  private:
    static bool
    SendRequest(void *user, uint64_t owner, const GwLimitRequest *request)
    {
        Entry *e = static_cast<Entry *>(user);
        LimitFleet *f = e->fleet;

        if (e->isolated || f->stopped_owners.count(owner))
            return false;
        f->requests_sent++;
        f->PostMessage(
            {f->now + f->delay, false, e->index, owner, *request, 0});
        return true;
    }
    void
    PostMessage(Message m)
    {
        m.request.account = "acme";
        if (loss_rate == 0 || g_rand_double(rand) >= loss_rate)
            messages.push_back(m);
    }
    void
    Deliver()
    {
        for (size_t n = messages.size(); n > 0; n--) {
            Message m = messages.front();

            messages.pop_front();
            Entry *e = entries[m.entry].get();
            if (m.at > now || suspended_entries.count(m.entry)) {
                messages.push_back(m);
                continue;
            }
            if (stopped_owners.count(m.owner) ||
                silent_owners.count(m.owner) || e->isolated)
                continue;
            if (m.is_answer) {
                GwLimitShare_OnAnswer(e->share, m.owner, &m.request, m.units,
                                      now);
                continue;
            }
            double units =
                GwLimitOwner_Answer(buckets[m.owner], &limit, &m.request, now);
            if (m.request.lease_id != 0)
                PostMessage(
                    {now + delay, true, m.entry, m.owner, m.request, units});
        }
        RecordGrants();
    }
};

// Guards against a limit of a few requests being split so that no owner has a
// whole unit to grant.
TEST(LimitPool, SmallLimitsAreNotSplit)
{
    const GwLimit small_limit = {2, 2, 0, 0};
    LimitFleet f(8, 3, small_limit);
    uint64_t owners[GW_LIMIT_OWNERS];

    EXPECT_EQ(GwLimitPool_Owners(&f.pool, "acme", &small_limit, owners), 1u);
    f.Run(2 * GW_SECOND);
    for (unsigned i = 0; i < 2; i++) {
        auto *r = f.Take(i, 1);
        f.Run(20 * GW_MILLISECOND);
        EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
    }
    auto *third = f.Take(2, 1);
    f.Run(20 * GW_MILLISECOND);
    EXPECT_EQ(third->verdict.state, GW_LIMIT_USED_UP);
}

// Guards against accounts with many times their usual load exceeding their
// limits, and delaying the callers of others, because no entry has a record of
// what the others granted.
TEST(LimitShare, TheFleetStaysWithinOneLimit)
{
    const struct {
        const char *name;
        unsigned owners, entries, used_entries;
        double units;
        int per_ms;                  // requests per millisecond
        double min_share, max_share; // granted units, as a share of rate and
                                     // burst in the window
    } cases[] = {
        {"at all entries, four times the limit", 8, 30, 30, 40, 4, 0.93, 1},
        {"at one entry", 8, 30, 1, 40, 4, 0.93, 1},
        {"one owner alone", 1, 10, 10, 40, 4, 0.93, 1},
        {"below the limit, at all entries", 8, 30, 30, 20, 1, 0.99, 1},
        {"large requests of a small account", 8, 30, 3, 12000, 1, 0.85, 1},
    };
    const GwTime window = 8 * GW_SECOND;

    for (const auto &c : cases) {
        LimitFleet f(c.owners, c.entries, {36000, 36000, 0, 0});
        double requested = 0, window_limit = 36000.0 * 9;
        int n = 0;

        SCOPED_TRACE(c.name);
        f.Run(2 * GW_SECOND);
        f.ledger.clear();
        GwTime from = f.now;
        while (f.now < from + window) {
            for (int i = 0; i < c.per_ms; i++) {
                requested += c.units;
                f.Take((unsigned)n++ % c.used_entries, c.units);
            }
            f.Run(GW_MILLISECOND);
        }
        f.Run(200 * GW_MILLISECOND);
        EXPECT_GE(f.Granted(), c.min_share * MIN(requested, window_limit));
        EXPECT_LE(f.MaxUsed(window), c.max_share * window_limit);
    }
}

// Guards against refusing callers below their limit, whichever entries they
// use.
TEST(LimitShare, RequestsBelowTheLimitAreGranted)
{
    LimitFleet f(8, 30, {36000, 36000, 0, 0});
    std::mt19937 random(3);

    f.Run(2 * GW_SECOND);
    // 20,000 units per second in requests of 200 and 9,600 units; at times all
    // of them at one entry.
    for (int ms = 0; ms < 20000; ms++) {
        unsigned entry = (ms / 500) % 3 == 0 ? 4 : random() % 30;

        if (ms % 600 == 0)
            f.Take(entry, 9600);
        if (ms % 50 == 0)
            f.Take(entry, 200);
        f.Run(GW_MILLISECOND);
    }
    f.Run(200 * GW_MILLISECOND);
    for (const auto &e : f.entries) {
        for (const auto &r : e->requests)
            EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
    }
}

TEST(LimitShare, GrantsArriveWithinMilliseconds)
{
    LimitFleet f(8, 2, kLimit);

    f.Run(2 * GW_SECOND);
    auto *r = f.Take(0, 100);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_WAITING);
    f.Run(5 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
}

TEST(LimitShare, RefusalsCarryTheTimeUntilRefill)
{
    LimitFleet f(8, 2, kLimit);

    f.Run(2 * GW_SECOND);
    f.Take(0, 1000);
    f.Run(20 * GW_MILLISECOND);
    auto *r = f.Take(0, 500);
    f.Run(100 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_USED_UP);
    EXPECT_GE(r->verdict.retry_after, GW_SECOND / 2);
    EXPECT_LE(r->verdict.retry_after, 3 * GW_SECOND / 2);
    auto *oversized = f.Take(0, 1001);
    EXPECT_EQ(oversized->verdict.state, GW_LIMIT_USED_UP)
        << "it exceeds the burst";
    EXPECT_EQ(oversized->verdict.retry_after, 0);
}

// Guards against refusing for ever a request that is larger than the burst: it
// takes units ahead of the rate, and later requests wait until the debt is
// repaid.
TEST(LimitShare, ARequestLargerThanTheBurstUsesDebt)
{
    LimitFleet f(8, 2, {1000, 1000, 900, 0});

    f.Run(3 * GW_SECOND);
    auto *large = f.Take(0, 1800);
    f.Run(50 * GW_MILLISECOND);
    EXPECT_EQ(large->verdict.state, GW_LIMIT_GRANTED);
    f.Run(500 * GW_MILLISECOND);
    auto *next = f.Take(0, 700);
    f.Run(100 * GW_MILLISECOND);
    EXPECT_EQ(next->verdict.state, GW_LIMIT_USED_UP)
        << "the debt is repaid first";
    f.Run(GW_SECOND);
    next = f.Take(0, 700);
    f.Run(100 * GW_MILLISECOND);
    EXPECT_EQ(next->verdict.state, GW_LIMIT_GRANTED);
}

// One owner is suspended, or its process has stopped. The other two hold two
// thirds of the limit, and requests within that must be granted.
TEST(LimitShare, OneOfThreeOwnersFails)
{
    for (bool is_silent : {false, true}) {
        LimitFleet f(3, 4, {3000, 3000, 0, 0});
        int granted = 0, n = 0;

        f.Run(2 * GW_SECOND);
        (is_silent ? f.silent_owners : f.stopped_owners)[f.nodes[1]] = true;
        for (int ms = 0; ms < 4000; ms++) {
            if (ms % 10 == 0) {
                f.Take((unsigned)(n++ % 4), 15);
            }
            f.Run(GW_MILLISECOND);
        }
        f.Run(300 * GW_MILLISECOND);
        for (const auto &e : f.entries) {
            for (const auto &r : e->requests)
                granted += r->verdict.state == GW_LIMIT_GRANTED;
        }
        EXPECT_EQ(granted, n) << (is_silent ? "no answers" : "unreachable");
    }
}

// An entry that reaches no owner grants its offline limit. It refuses all
// other requests without delay, so as not to use up the time of the callers.
TEST(LimitShare, NoOwnerCanBeReached)
{
    LimitFleet f(8, 2, kLimit);
    const GwLimit offline_limit = {10, 40, 0, 0};

    f.Run(2 * GW_SECOND);
    f.entries[0]->isolated = true;
    f.Run(5 * GW_SECOND);
    auto *first = f.Take(0, 30, offline_limit);
    f.Run(5 * GW_SECOND);
    first = f.Take(0, 30, offline_limit);
    auto *second = f.Take(0, 30, offline_limit);
    EXPECT_EQ(first->verdict.state, GW_LIMIT_GRANTED);
    EXPECT_EQ(second->verdict.state, GW_LIMIT_UNKNOWN);
    EXPECT_GT(second->verdict.retry_after, 0);
}

// Guards against an entry that refuses nearly all requests of accounts within
// their limits: it lacks processor time or its link is full, so owners'
// answers arrive later than a fixed timeout, and it skips all owners. Within a
// second the timeout must follow the time that answers take.
TEST(LimitShare, SlowAnswersAreNotTakenForLostOwners)
{
    LimitFleet f(3, 1, {3000, 3000, 0, 0});
    unsigned granted = 0, n = 0;

    f.Run(2 * GW_SECOND);
    f.delay = 110 * GW_MILLISECOND; // in each direction
    for (int ms = 0; ms < 4000; ms++) {
        if (ms % 20 == 0)
            f.Take(0, 15);
        f.Run(GW_MILLISECOND);
    }
    f.Run(GW_SECOND);
    for (size_t i = 50; i < f.entries[0]->requests.size(); i++, n++)
        granted +=
            f.entries[0]->requests[i]->verdict.state == GW_LIMIT_GRANTED;
    EXPECT_EQ(granted, n);
}

// Guards against requests that each wait for owners that do not answer. An
// owner is skipped after a timeout and asked again later.
TEST(LimitShare, OwnersThatDoNotAnswerAreSkipped)
{
    LimitFleet f(3, 1, {3000, 3000, 0, 0});

    f.Run(2 * GW_SECOND);
    f.loss_rate = 1;
    auto *r = f.Take(0, 10);
    f.Run(300 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_UNKNOWN);
    int requests_sent = f.requests_sent;
    r = f.Take(0, 10);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_UNKNOWN) << "decided at once";
    EXPECT_EQ(f.requests_sent, requests_sent);
    f.loss_rate = 0;
    f.Run(500 * GW_MILLISECOND);
    r = f.Take(0, 10);
    f.Run(10 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
}

// Guards against units that are unused at one entry while another refuses
// requests.
TEST(LimitShare, UnusedUnitsAreReturned)
{
    LimitFleet f(3, 2, {30, 3000, 0, 0});

    f.Run(200 * GW_SECOND);
    auto *r = f.Take(0, 3000);
    f.Run(20 * GW_MILLISECOND);
    ASSERT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
    GwLimitShare_ReturnUnits(f.entries[0]->share, "acme", 3000, f.now);
    f.Run(150 * GW_MILLISECOND);
    r = f.Take(1, 2900);
    f.Run(20 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
    // Units leased for a request that is then refused must be returned, so
    // that other entries get them.
    f.Run(40 * GW_SECOND);
    r = f.Take(0, 2900);
    f.Run(100 * GW_MILLISECOND);
    ASSERT_EQ(r->verdict.state, GW_LIMIT_USED_UP);
    f.Run(400 * GW_MILLISECOND);
    r = f.Take(1, 1100);
    f.Run(100 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_GRANTED);
}

// Guards against a request that waits for ever: it arrived while only a
// request for units ahead was pending. That one did not count as pending, so
// the new request was removed from the queue but reported as GW_LIMIT_WAITING,
// and no answer decided it.
TEST(LimitShare, EveryRequestIsDecided)
{
    const struct {
        const char *name;
        GwLimit limit;
        double units;
    } cases[] = {
        {"one owner, requests", {900, 29, 0, 0}, 1},
        {"three owners, tokens", {30000, 30000, 0, 0}, 40},
    };

    for (const auto &c : cases) {
        LimitFleet f(8, 2, c.limit);

        f.Run(2 * GW_SECOND);
        for (int ms = 0; ms < 3000; ms++) {
            for (int i = 0; ms % 7 == 0 && i < 4; i++)
                f.Take(0, c.units);
            f.Run(GW_MILLISECOND);
        }
        f.Run(200 * GW_MILLISECOND);
        EXPECT_EQ(f.Undecided(), 0) << c.name;
    }
}

// The caller of a waiting request disconnects: its callback must not be
// called, and the next request gets the units.
TEST(LimitShare, ACancelledWaitIsNotDecided)
{
    LimitFleet f(3, 1, kLimit);

    f.Run(2 * GW_SECOND);
    auto *cancelled = f.Take(0, 600);
    auto *other = f.Take(0, 600);
    GwLimitShare_CancelWait(&cancelled->waiter);
    f.Run(30 * GW_MILLISECOND);
    EXPECT_EQ(cancelled->verdict.state, GW_LIMIT_WAITING) << "no callback";
    EXPECT_EQ(other->verdict.state, GW_LIMIT_GRANTED);
}

// Answers to abandoned requests, from processes that are no owners, or for
// unknown accounts must add no units.
TEST(LimitShare, StaleAnswersAreIgnored)
{
    LimitFleet f(3, 1, kLimit);
    GwLimitRequest stale = {"acme", 900, 0, 0, 0};
    GwLimitRequest other_account = {"other", 1, 0, 0, 0};

    f.Run(2 * GW_SECOND);
    f.Take(0, 500);
    f.Run(20 * GW_MILLISECOND);
    GwLimitShare *share = f.entries[0]->share;
    GwLimitShare_OnAnswer(share, f.nodes[0], &stale, 5000, f.now);
    GwLimitShare_OnAnswer(share, 12345, &stale, 5000, f.now);
    GwLimitShare_OnAnswer(share, f.nodes[0], &other_account, 5000, f.now);
    auto *r = f.Take(0, 1000);
    f.Run(100 * GW_MILLISECOND);
    EXPECT_EQ(r->verdict.state, GW_LIMIT_USED_UP);
}

// Random schedules: owners stop, or restart one by one or all at once, entries
// are suspended, isolated and resumed, messages are delayed or lost, and the
// load moves between entries and rises to many times the limit. The fleet must
// stay within the limit and its tolerance, and every request must be decided.
TEST(LimitShare, RandomSchedulesStayWithinTheBound)
{
    const GwTime window = 8 * GW_SECOND;
    const double overage = 0.1;

    for (unsigned seed = 1; seed <= 300; seed++) {
        std::mt19937 random(seed);
        auto random_below = [&](unsigned n) { return random() % n; };
        double rate = 2000 + random_below(60000);
        double slack = 4 * rate;
        unsigned entries = 2 + random_below(20);
        LimitFleet f(1 + random_below(12), entries,
                     {rate, rate, slack / 2, window});
        GwLimit offline_limit = {0.25 * overage * rate / entries,
                                 0.25 * (overage * rate + slack) / entries, 0,
                                 0};
        unsigned busy_entry = random_below(entries);
        double load = 1;

        f.Run(random_below(3) * GW_SECOND);
        f.ledger.clear();
        for (int step = 0; step < 600; step++) {
            switch (random_below(60)) {
            case 0:
                f.Restart(f.nodes[random_below((unsigned)f.nodes.size())]);
                break;
            case 1:
                f.entries[random_below(entries)]->isolated ^= true;
                break;
            case 2:
                f.suspended_entries[random_below(entries)] = true;
                break;
            case 3:
                f.suspended_entries.clear();
                break;
            case 4:
                f.delay = (1 + random_below(40)) * GW_MILLISECOND;
                break;
            case 5:
                f.loss_rate = random_below(2) * 0.1;
                break;
            case 6:
                load = 0.5 + random_below(8);
                break;
            case 7:
                busy_entry = random_below(entries);
                break;
            case 8:
                if (f.stopped_owners.empty())
                    f.stopped_owners[f.nodes[random_below(
                        (unsigned)f.nodes.size())]] = true;
                else
                    f.stopped_owners.clear();
                break;
            case 9:
                for (uint64_t node : f.nodes)
                    f.Restart(node);
                break;
            default:
                break;
            }
            for (double asked = 0; asked < load * rate / 50;) {
                double units = MAX(1, rate * (1 + random_below(100)) / 300);
                unsigned entry =
                    random_below(2) ? busy_entry : random_below(entries);

                asked += units;
                if (!f.suspended_entries.count(entry))
                    f.Take(entry, units, offline_limit);
            }
            f.Run(20 * GW_MILLISECOND);
        }
        f.suspended_entries.clear();
        f.Run(GW_SECOND);
        EXPECT_EQ(f.Undecided(), 0) << "seed " << seed;
        EXPECT_LE(f.MaxUsed(window), (rate * 8 + rate) * (1 + overage) + slack)
            << "seed " << seed;
    }
}

} // namespace
