#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "galenagw/cluster/store_reader.h"
#include "galenagw/fakes/fake_store.h"
#include "galenagw/fakes/loop_test.h"

// Propagation bound of the reader, within which each change must take effect.
static const GwTime kBound = 2 * GW_SECOND;

// A store reader and a store that is restored from a backup.
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
    }
    // A heartbeat interval of 0 stands for the reader's default of 1.2 s.
    void
    Start(GwTime heartbeat_interval = 0)
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
        options.instances_min_interval = 200 * GW_MILLISECOND;
        options.heartbeat_interval = heartbeat_interval;
        reader_ = GwStoreReader_New(loop, &options);
    }
    void
    PutConfig(int version)
    {
        std::string text =
            "{\"version\":" + std::to_string(version) +
            ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"path_prefix\":\"/\",\"route_type\":\"idempotent\","
            "\"service\":\"plain\"}],\"services\":[{\"name\":\"plain\"}]}";

        FakeStore_Put(store_, "keyed.op", "config", text.c_str());
    }
    void
    PutEndpoint(const char *id, const char *state = "ready", int port = 1)
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
    // Runs the loop for `time` or until `done`. Returns the elapsed time.
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

// A restored store reuses offsets. If records at reused offsets were ignored
// as older, a new configuration would not take effect: requests to new routes
// would be answered with 404, and those with new API keys with 401. The
// operator writes the lost version 6 again before 7.
TEST_F(StoreRestored, WritesAfterRestoreTakeEffect)
{
    PutConfig(1);
    PutEndpoint("i-1");
    FakeStore_Backup(store_);
    for (int version = 2; version <= 6; version++)
        PutConfig(version);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Version() == 6; }), kBound);
    FakeStore_Restore(store_);
    Run(500 * GW_MILLISECOND);
    PutConfig(6);
    PutConfig(7);
    EXPECT_LT(Run(kBound, [&] { return Version() == 7; }), kBound);
    PutEndpoint("i-1", "draining");
    EXPECT_LT(Run(kBound, [&] { return Find("i-1")->draining; }), kBound);
}

// After a restore a process must read each list in full once, and not again
// and again.
TEST_F(StoreRestored, ListsAreReadOnce)
{
    unsigned before;

    PutConfig(1);
    PutEndpoint("i-1");
    FakeStore_Backup(store_);
    PutConfig(2);
    PutEndpoint("i-1");
    Start();
    Run(300 * GW_MILLISECOND);
    before = FakeStore_Calls(store_);
    FakeStore_Restore(store_);
    Run(2 * GW_SECOND);
    // One full read of each list, the reads that wait for changes, and the
    // calls that fail because the restore resets the connections.
    EXPECT_LE(FakeStore_Calls(store_) - before, 12u);
}

// A configuration in the backup must not replace a newer one.
TEST_F(StoreRestored, OlderConfigurationIsIgnored)
{
    PutConfig(1);
    PutEndpoint("i-1");
    FakeStore_Backup(store_);
    PutConfig(2);
    Start();
    Run(300 * GW_MILLISECOND);
    FakeStore_Restore(store_);
    Run(GW_SECOND);
    EXPECT_EQ(Version(), 2u);
}

// The store is restored three times at short intervals (the loop only counts
// the restores and writes nothing). The reader may still be reading the lists
// again when the next restore happens.
TEST_F(StoreRestored, RepeatedRestoresAreDetected)
{
    PutConfig(1);
    PutEndpoint("i-1");
    FakeStore_Backup(store_);
    for (int version = 2; version <= 6; version++)
        PutConfig(version);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Version() == 6; }), kBound);
    for (int version = 7; version <= 9; version++) {
        FakeStore_Restore(store_);
        Run(30 * GW_MILLISECOND);
    }
    PutConfig(10);
    EXPECT_LT(Run(kBound, [&] { return Version() == 10; }), kBound);
}

// Pages from before and after a restore must not be combined into one list.
TEST_F(StoreRestored, RestoreBetweenPagesRestartsReading)
{
    PutConfig(1);
    for (int i = 0; i < 6; i++)
        PutEndpoint(("i-" + std::to_string(i)).c_str(), "ready", 10 + i);
    FakeStore_SetPage(store_, 2);
    FakeStore_Backup(store_);
    PutConfig(2);
    PutEndpoint("i-6", "ready", 16);
    FakeStore_SetDelay(store_, 40 * GW_MILLISECOND);
    Start();
    Run(100 * GW_MILLISECOND);
    FakeStore_Restore(store_);
    FakeStore_SetDelay(store_, 0);
    Run(GW_SECOND);
    PutConfig(3);
    PutEndpoint("i-5", "draining", 15);
    EXPECT_LT(Run(kBound, [&] { return Version() == 3; }), kBound);
    EXPECT_LT(Run(kBound, [&] { return Find("i-5")->draining; }), kBound);
    EXPECT_NE(Find("i-0"), nullptr);
}

// Live endpoints that the backup lacks write their records again within two
// seconds of the restore and must stay available until then. Those that do not
// are removed by the next sweep, which GwPeers does in a real process.
TEST_F(StoreRestored, EndpointsMissingFromBackupStayUntilRewritten)
{
    PutConfig(1);
    PutEndpoint("i-1", "ready", 1);
    FakeStore_Backup(store_);
    PutEndpoint("i-2", "ready", 2);
    PutEndpoint("i-3", "ready", 3);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Find("i-3") != nullptr; }), kBound);
    FakeStore_Restore(store_);
    for (int i = 0; i < 15; i++) {
        Run(100 * GW_MILLISECOND);
        EXPECT_NE(Find("i-2"), nullptr) << i;
        EXPECT_NE(Find("i-3"), nullptr) << i;
    }
    PutEndpoint("i-2", "ready", 2);
    Run(2 * GW_SECOND);
    GwInstances_Sweep(GwView_Instances(view_), GwTime_Now());
    EXPECT_NE(Find("i-1"), nullptr);
    EXPECT_NE(Find("i-2"), nullptr);
    EXPECT_EQ(Find("i-3"), nullptr);
}

// The backup contains records of endpoints that were removed after it was
// made. These endpoints must get no requests: some may run for a few more
// seconds before they end, and their addresses may be reused by other
// endpoints. A restored record that is still present after one lease was
// renewed, so it belongs to a live endpoint, which is used again.
TEST_F(StoreRestored, RemovedEndpointsReturnOnlyIfRecordOutlastsLease)
{
    PutConfig(1);
    PutEndpoint("i-1", "ready", 1);
    PutEndpoint("i-2", "ready", 2);
    PutEndpoint("i-3", "ready", 3);
    FakeStore_Backup(store_);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Find("i-2") != nullptr; }), kBound);
    FakeStore_Put(store_, "keyed.servers", "i-2", nullptr);
    FakeStore_Put(store_, "keyed.servers", "i-3", nullptr);
    ASSERT_LT(Run(kBound, [&] { return Find("i-3") == nullptr; }), kBound);
    FakeStore_Restore(store_);
    // One lease: three heartbeat intervals of 1.2 s, the default.
    Run(3600 * GW_MILLISECOND);
    EXPECT_EQ(Find("i-2"), nullptr);
    EXPECT_EQ(Find("i-3"), nullptr);
    // The lease of i-2 expires.
    FakeStore_Put(store_, "keyed.servers", "i-2", nullptr);
    Run(3 * GW_SECOND);
    EXPECT_EQ(Find("i-2"), nullptr);
    EXPECT_NE(Find("i-3"), nullptr);
}

// Guards against using a removed endpoint before its restored record expires,
// and against ignoring a live endpoint for long when the heartbeat interval is
// short.
TEST_F(StoreRestored, RemovedEndpointsReturnAfterThreeHeartbeats)
{
    const struct {
        GwTime heartbeat_interval, ignored_for, used_within;
    } cases[] = {{100 * GW_MILLISECOND, 300 * GW_MILLISECOND, 2 * GW_SECOND},
                 {0, 3600 * GW_MILLISECOND, 6 * GW_SECOND},
                 {1200 * GW_MILLISECOND, 3600 * GW_MILLISECOND, 6 * GW_SECOND},
                 {2 * GW_SECOND, 6 * GW_SECOND, 9 * GW_SECOND}};

    for (const auto &c : cases) {
        SCOPED_TRACE(c.heartbeat_interval);
        PutConfig(1);
        PutEndpoint("i-1");
        FakeStore_Backup(store_);
        Start(c.heartbeat_interval);
        ASSERT_LT(Run(kBound, [&] { return Find("i-1") != nullptr; }), kBound);
        FakeStore_Put(store_, "keyed.servers", "i-1", nullptr);
        ASSERT_LT(Run(kBound, [&] { return Find("i-1") == nullptr; }), kBound);
        FakeStore_Restore(store_);
        Run(c.ignored_for);
        EXPECT_EQ(Find("i-1"), nullptr);
        Run(c.used_within - c.ignored_for,
            [&] { return Find("i-1") != nullptr; });
        EXPECT_NE(Find("i-1"), nullptr);
        GwStoreReader_Delete(reader_);
        reader_ = nullptr;
        GwView_Delete(view_);
        view_ = nullptr;
    }
}

// Of two endpoints at one address, the one written later is used. i-1 is
// written five times before the restore, so its offset is higher than the
// reused one of i-2. If the reader compared the offsets without the era, the
// new endpoint i-2 would get no requests. i-1 may still exist as draining,
// because removals are deferred after a restore.
TEST_F(StoreRestored, LaterEndpointAtSameAddressIsUsed)
{
    PutConfig(1);
    FakeStore_Backup(store_);
    for (int i = 0; i < 5; i++)
        PutEndpoint("i-1", i % 2 == 0 ? "ready" : "starting", 1);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Find("i-1") != nullptr; }), kBound);
    FakeStore_Restore(store_);
    Run(300 * GW_MILLISECOND);
    PutEndpoint("i-2", "ready", 1);
    ASSERT_LT(Run(kBound, [&] { return Find("i-2") != nullptr; }), kBound);
    EXPECT_FALSE(Find("i-2")->draining);
    EXPECT_TRUE(Find("i-1") == nullptr || Find("i-1")->draining);
}

// The store loses all records but reports no new era, so the reader cannot
// detect a restore. Each read then starts at an offset that the store no
// longer has, and leads to a full read. The reader must delay the next full
// read and not call the store in a tight loop.
TEST_F(StoreRestored, ExpiredReadAfterFullReadIsDelayed)
{
    unsigned before;

    PutConfig(1);
    PutEndpoint("i-1");
    Start();
    Run(300 * GW_MILLISECOND);
    before = FakeStore_Calls(store_);
    FakeStore_Clear(store_);
    Run(2 * GW_SECOND);
    EXPECT_LE(FakeStore_Calls(store_) - before, 30u);
}

// A read that waited at the store throughout the restore starts at an offset
// of the earlier era, but is answered from the restored store. The records
// written between the restore and that offset must not be skipped.
TEST_F(StoreRestored, ReadWaitingThroughRestoreSkipsNoRecords)
{
    PutConfig(1);
    PutEndpoint("i-1", "ready", 1);
    FakeStore_Backup(store_);
    for (int i = 0; i < 5; i++)
        PutEndpoint("i-1", "ready", 1);
    Start();
    ASSERT_LT(Run(kBound, [&] { return Find("i-1") != nullptr; }), kBound);
    Run(500 * GW_MILLISECOND);
    FakeStore_RestoreKeepingCalls(store_);
    PutEndpoint("i-2", "ready", 2);
    for (int i = 0; i < 6; i++)
        PutEndpoint("i-1", "ready", 1);
    EXPECT_LT(Run(kBound, [&] { return Find("i-2") != nullptr; }), kBound);
}

// The answer to the call for one list shows the restore, while the call for
// the other list may wait at the store for seconds more. That call must be
// restarted, so that an endpoint that the backup lacks does not stay in use.
TEST_F(StoreRestored, WaitingReadOfOtherListIsRestarted)
{
    PutConfig(1);
    PutEndpoint("i-1", "ready", 1);
    FakeStore_Backup(store_);
    PutEndpoint("i-2", "ready", 2);
    Start();
    // In a large cluster the calls wait at the store for longer.
    GwStoreReader_SetClusterSize(reader_, 100);
    ASSERT_LT(Run(kBound, [&] { return Find("i-2") != nullptr; }), kBound);
    Run(500 * GW_MILLISECOND);
    FakeStore_RestoreKeepingCalls(store_);
    PutConfig(2);
    // Removals are deferred for 2.5 s after the restore is detected.
    Run(2800 * GW_MILLISECOND);
    GwInstances_Sweep(GwView_Instances(view_), GwTime_Now());
    EXPECT_EQ(Find("i-2"), nullptr);
    EXPECT_NE(Find("i-1"), nullptr);
}

// An answer that the store sent before a restore may be received after an
// answer of the new era, and must not be taken for the restored state. Here
// the store's era goes from 3 back to 2 to stand for such a late answer.
TEST_F(StoreRestored, AnswerOfEarlierEraIsIgnored)
{
    PutConfig(1);
    PutEndpoint("i-1");
    Start();
    ASSERT_LT(Run(kBound, [&] { return Version() == 1; }), kBound);
    FakeStore_SetEra(store_, 3);
    PutConfig(2);
    ASSERT_LT(Run(kBound, [&] { return Version() == 2; }), kBound);
    FakeStore_SetEra(store_, 2);
    PutConfig(3);
    Run(500 * GW_MILLISECOND);
    EXPECT_EQ(Version(), 2u);
    FakeStore_SetEra(store_, 3);
    EXPECT_LT(Run(kBound, [&] { return Version() == 3; }), kBound);
}
