// Leases for load orders: slots of a site, expiry, races, earlier holders.
#include "galenagw/fakes/loop_test.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_platform.h"
#include "orders.h"

namespace {

// The agent side of Orders: pauses work and records the orders.
struct Holder {
    Orders *orders = nullptr;
    bool is_idle = true;          // the engine runs no requests
    bool work_is_paused = false;  // by pause_work
    std::vector<uint64_t> fences; // of the orders sent

    void
    Loaded(const char *weights)
    {
        Orders_Update(orders, "v2", weights, false);
    }
};

const OrdersOps kOps = {
    [](void *u) {
        auto *h = static_cast<Holder *>(u);
        h->work_is_paused = true;
        return h->is_idle;
    },
    [](void *u) { static_cast<Holder *>(u)->work_is_paused = false; },
    [](void *u, const char *, uint64_t fence) {
        static_cast<Holder *>(u)->fences.push_back(fence);
    },
};

struct OrdersTest : LoopTest {
    FakePlatform *platform = FakePlatform_New(loop, &kAny, nullptr);
    GwCounters counters = {};
    GRand *rand = g_rand_new_with_seed(5);
    GwHttpLog *http = nullptr;
    std::vector<Orders *> all;

    void
    SetUp() override
    {
        GwAddress address = kAny;

        address.port = FakePlatform_Port(platform);
        http = GwHttpLog_New(loop, &address, &counters);
    }
    void
    TearDown() override
    {
        for (auto *o : all)
            Orders_Delete(o);
        GwHttpLog_Delete(http);
        FakePlatform_Delete(platform);
        g_rand_free(rand);
    }
    void
    Start(Holder *h, const char *name, uint64_t incarnation, int slots,
          GwTime lease)
    {
        OrdersOptions o = {"orders.medeu", name, name, incarnation, rand};

        h->orders = Orders_New(loop, GwHttpLog_Interface(http), &o, &kOps, h);
        Orders_SetLimits(h->orders, slots, lease);
        all.push_back(h->orders);
        h->Loaded("v1");
    }
};

} // namespace

// Failure: too many engines of a site load at once, or one never does. Five
// engines need new weights and the site has two load slots.
TEST_F(OrdersTest, SlotsLimitTheConcurrentLoadsOfASite)
{
    static const char *const names[] = {"a", "b", "c", "d", "e"};
    Holder h[5];
    size_t most_loading = 0;
    std::vector<int> rounds(5);

    for (int i = 0; i < 5; i++)
        Start(&h[i], names[i], 1, 2, 5 * GW_SECOND);
    ASSERT_TRUE(Until([&] {
        size_t open = 0, done = 0;

        for (int i = 0; i < 5; i++) {
            open += !h[i].fences.empty() && h[i].work_is_paused;
            // A load takes some steps of the loop.
            if (!h[i].fences.empty() && ++rounds[i] > 20)
                h[i].Loaded("v2");
            done += !h[i].fences.empty() && !h[i].work_is_paused;
        }
        most_loading = std::max(most_loading, open);
        return done == 5;
    }));
    EXPECT_LE(most_loading, 2u);
    for (auto &x : h)
        EXPECT_EQ(x.fences.size(), 1u);
}

// Failure: an order under an expired lease, whose slot another process may
// hold by now. The lease expires before the order is sent because the engine
// does not become idle, or because the process was suspended. The order must
// be sent under a new lease.
TEST_F(OrdersTest, NoOrderUnderAnExpiredLease)
{
    Holder h;

    h.is_idle = false;
    Start(&h, "e", 1, 1, 150 * GW_MILLISECOND);
    ASSERT_TRUE(Until([&] { return h.work_is_paused; }));
    ASSERT_TRUE(Until([&] {
        return FakePlatform_Count(platform, "orders.medeu") >= 3;
    })) << "expected a lease, its release and a second lease";
    EXPECT_TRUE(h.fences.empty());
    h.is_idle = true;
    ASSERT_TRUE(Until([&] { return !h.fences.empty(); }));
    EXPECT_GE(h.fences[0], 3u);
}

// Failure: an order of an earlier incarnation of the agent is carried out
// after a newer one. The agent restarts while that order is in transit, and
// the engine ignores fencing numbers. So the new incarnation sends no order
// before the earlier lease has expired.
TEST_F(OrdersTest, TheLeaseOfAnEarlierIncarnationMustExpireFirst)
{
    Holder old, now;
    const GwTime lease = 400 * GW_MILLISECOND;

    Start(&old, "e", 1, 2, lease);
    ASSERT_TRUE(Until([&] { return !old.fences.empty(); }));
    GwTime first_sent_at = GwTime_Now();
    Orders_Delete(old.orders);
    all.clear();
    Start(&now, "e", 2, 2, lease);
    ASSERT_TRUE(Until([&] { return !now.fences.empty(); }));
    EXPECT_GE(GwTime_Now() - first_sent_at, lease * 9 / 10);
    EXPECT_GT(now.fences[0], old.fences[0]);
}

// Guards against a slot that is never used again: another writer has put a
// lease with a term into the log that no process asks for.
TEST_F(OrdersTest, ImplausibleTermsOfLeasesAreIgnored)
{
    for (const char *ms : {"4000000000000", "9223372036854775807",
                           "-9223372036854775807", "-1"}) {
        std::string text =
            std::string(R"({"t":"lease","slot":0,"prev":0,"holder":"x",)") +
            R"("engine":"x","incarnation":1,"ms":)" + ms + "}";
        json_t *record = json_loads(text.c_str(), 0, nullptr);

        FakePlatform_Append(platform, "orders.medeu", record);
        json_decref(record);
    }
    Holder h;

    Start(&h, "e", 1, 1, 400 * GW_MILLISECOND);
    EXPECT_TRUE(Until([&] { return !h.fences.empty(); }));
}

// Failure: a lease is appended a second time, or never used, because the
// answer to its append was lost. Reading the log back shows that it is held.
TEST_F(OrdersTest, LostAppendAnswerIsReadBack)
{
    Holder h;

    FakePlatform_Faults(platform)->lose_answers = 1;
    Start(&h, "e", 1, 1, 5 * GW_SECOND);
    ASSERT_TRUE(Until([&] { return !h.fences.empty(); }));
    EXPECT_EQ(FakePlatform_Count(platform, "orders.medeu"), 1u);
}
