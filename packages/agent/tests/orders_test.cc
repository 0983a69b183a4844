// Leases on orders: slots of the site, lapses, races, former holders.
#include "galenagw/fakes/loop_test.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_platform.h"
#include "orders.h"

namespace {

// An agent as Orders sees it: it empties its engine, and orders.
struct Holder {
    Orders *orders = nullptr;
    bool idle = true; // the engine runs nothing
    bool held = false;
    std::vector<uint64_t> fences; // of the orders given

    void
    Loaded(const char *weights)
    {
        Orders_Update(orders, "v2", weights, false);
    }
};

const OrdersOps kOps = {
    [](void *u) {
        auto *h = static_cast<Holder *>(u);
        h->held = true;
        return h->idle;
    },
    [](void *u) { static_cast<Holder *>(u)->held = false; },
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
        GwLoop_Delete(loop);
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

// More engines than slots want new weights at once. Never more of them than
// slots are under an order, and all get there.
TEST_F(OrdersTest, SlotsBoundTheLoadsOfASite)
{
    static const char *const names[] = {"a", "b", "c", "d", "e"};
    Holder h[5];
    size_t most = 0;
    std::vector<int> rounds(5);

    for (int i = 0; i < 5; i++)
        Start(&h[i], names[i], 1, 2, 5 * GW_SECOND);
    ASSERT_TRUE(Until([&] {
        size_t open = 0, done = 0;

        for (int i = 0; i < 5; i++) {
            open += !h[i].fences.empty() && h[i].held;
            // Loading takes a few rounds of the loop.
            if (!h[i].fences.empty() && ++rounds[i] > 20)
                h[i].Loaded("v2");
            done += !h[i].fences.empty() && !h[i].held;
        }
        most = std::max(most, open);
        return done == 5;
    }));
    EXPECT_LE(most, 2u);
    for (auto &x : h)
        EXPECT_EQ(x.fences.size(), 1u);
}

// The holder is kept from ordering until its lease has lapsed: its engine
// will not get idle, or the process was paused. It must not order under the
// old lease, which another may hold by now, but under a new one.
TEST_F(OrdersTest, NoOrderUnderALapsedLease)
{
    Holder h;

    h.idle = false;
    Start(&h, "e", 1, 1, 150 * GW_MILLISECOND);
    ASSERT_TRUE(Until([&] { return h.held; }));
    ASSERT_TRUE(Until([&] {
        return FakePlatform_Count(platform, "orders.medeu") >= 3;
    })) << "lease, release, and a second lease";
    EXPECT_TRUE(h.fences.empty());
    h.idle = true;
    ASSERT_TRUE(Until([&] { return !h.fences.empty(); }));
    EXPECT_GE(h.fences[0], 3u);
}

// The agent restarts while an order of its former life may be under way,
// and its engine ignores fencing numbers: the old lease is waited out.
TEST_F(OrdersTest, AFormerLifesLeaseIsWaitedOut)
{
    Holder old, now;
    const GwTime lease = 400 * GW_MILLISECOND;

    Start(&old, "e", 1, 2, lease);
    ASSERT_TRUE(Until([&] { return !old.fences.empty(); }));
    GwTime given = GwTime_Now();
    Orders_Delete(old.orders);
    all.clear();
    Start(&now, "e", 2, 2, lease);
    ASSERT_TRUE(Until([&] { return !now.fences.empty(); }));
    EXPECT_GE(GwTime_Now() - given, lease * 9 / 10);
    EXPECT_GT(now.fences[0], old.fences[0]);
}

// The append of a lease works, but its answer is lost: reading back tells
// that it is held.
TEST_F(OrdersTest, LostAppendAnswerIsReadBack)
{
    Holder h;

    FakePlatform_Faults(platform)->lose_answers = 1;
    Start(&h, "e", 1, 1, 5 * GW_SECOND);
    ASSERT_TRUE(Until([&] { return !h.fences.empty(); }));
    EXPECT_EQ(FakePlatform_Count(platform, "orders.medeu"), 1u);
}
