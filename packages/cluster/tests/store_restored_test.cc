#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "galenagw/cluster/store_reader.h"
#include "galenagw/fakes/fake_store.h"
#include "galenagw/fakes/loop_test.h"

static const GwTime kBound = 2 * GW_SECOND;

// One store that is restored from a backup, and one process that follows it.
class StoreRestored : public LoopTest {
  protected:
    void
    SetUp() override
    {
        store_ = FakeStore_New(loop, &kAny, nullptr);
    }
    ~StoreRestored() override
    {
        GwStoreReader_Delete(reader_);
        GwView_Delete(view_);
        FakeStore_Delete(store_);
        g_rand_free(rand_);
        GwLoop_Delete(loop);
    }
    void
    Start()
    {
        GwStoreReaderOptions options = {};
        GwViewOptions view = {};
        static const GwViewOps ops = {};

        view.ops = &ops;
        view.counters = &counters_;
        view_ = GwView_New(&view);
        options.store = kAny;
        options.store.port = FakeStore_Port(store_);
        options.view = view_;
        options.counters = &counters_;
        options.rand = rand_;
        options.bound = kBound;
        options.instances_pause = 200 * GW_MILLISECOND;
        reader_ = GwStoreReader_New(loop, &options);
    }
    void
    Configure(int version)
    {
        std::string text =
            "{\"version\":" + std::to_string(version) +
            ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"path_prefix\":\"/\",\"route_type\":\"idempotent\","
            "\"service\":\"plain\"}],\"services\":[{\"name\":\"plain\"}]}";

        FakeStore_Put(store_, "keyed.op", "config", text.c_str());
    }
    void
    List(const char *id, const char *state = "ready", int port = 1)
    {
        std::string text = "{\"service\":\"plain\",\"address\":\"127.0.0.1:" +
                           std::to_string(port) +
                           "\",\"zone\":\"d\",\"version\":\"v1\",\"slots\":6,"
                           "\"cold_remaining_ms\":0,\"seq\":1,\"state\":\"" +
                           std::string(state) + "\"}";

        FakeStore_Put(store_, "keyed.servers", id, text.c_str());
    }
    uint64_t
    Version() const
    {
        const GwRoutes *routes = GwView_Routes(view_);

        return routes != nullptr ? routes->version : 0;
    }
    const GwInstance *
    Find(const char *id) const
    {
        return GwInstances_Find(GwView_Instances(view_), id);
    }
    // The loop runs for `time`, or until `done`. Returns how long it took.
    GwTime
    Run(GwTime time, const std::function<bool()> &done = {})
    {
        GwTime start = GwTime_Now();
        GwTimer tick;

        GwTimer_Init(
            &tick, loop, [](void *) {}, nullptr);
        while (GwTime_Now() - start < time && !(done && done())) {
            GwTimer_Start(&tick, 5 * GW_MILLISECOND);
            GwLoop_Step(loop);
        }
        GwTimer_Stop(&tick);
        return GwTime_Now() - start;
    }

    FakeStore *store_ = nullptr;
    GwView *view_ = nullptr;
    GwStoreReader *reader_ = nullptr;
    GwCounters counters_ = {};
    GRand *rand_ = g_rand_new_with_seed(1);
};

// The store comes back as it was some seconds ago, and gives out offsets again
// that it had given out before. What is written under them is news: passed
// over, a configuration is not in force and callers meet 404 and 401.
TEST_F(StoreRestored, WhatIsWrittenAfterwardsIsInForce)
{
    Configure(1);
    List("i-1");
    FakeStore_Backup(store_);
    for (int version = 2; version <= 6; version++)
        Configure(version);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Version() == 6; }), kBound);
    FakeStore_Restore(store_);
    Run(500 * GW_MILLISECOND);
    Configure(6);
    Configure(7);
    EXPECT_LT(Run(kBound, [&] { return Version() == 7; }), kBound);
    List("i-1", "draining");
    EXPECT_LT(Run(kBound, [&] { return Find("i-1")->draining; }), kBound);
}

// The price of each call: a process must not read the same lists again and
// again while nothing changes.
TEST_F(StoreRestored, ListsAreReadOnce)
{
    unsigned before;

    Configure(1);
    List("i-1");
    FakeStore_Backup(store_);
    Configure(2);
    List("i-1");
    Start();
    Run(300 * GW_MILLISECOND);
    before = FakeStore_Calls(store_);
    FakeStore_Restore(store_);
    Run(2 * GW_SECOND);
    // Two whole lists, and reads that wait; some calls meet the reset.
    EXPECT_LE(FakeStore_Calls(store_) - before, 12u);
}

// The copy is older than what is in force.
TEST_F(StoreRestored, AnOlderConfigurationDoesNotComeBack)
{
    Configure(1);
    List("i-1");
    FakeStore_Backup(store_);
    Configure(2);
    Start();
    Run(300 * GW_MILLISECOND);
    FakeStore_Restore(store_);
    Run(GW_SECOND);
    EXPECT_EQ(Version(), 2u);
}
