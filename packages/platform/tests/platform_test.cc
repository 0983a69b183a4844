// Tests of the clients of the platform's services against the stand-in
// platform, with tables of the faults that it injects.
#include "galenagw/fakes/loop_test.h"

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_platform.h"
#include "galenagw/fakes/raw_server.h"
#include "galenagw/platform/config_feed.h"
#include "galenagw/platform/instance_list.h"

namespace {

struct Fixture : LoopTest {
    FakePlatform *platform = FakePlatform_New(loop, &kAny, nullptr);
    GwCounters counters = {};
    GRand *rand = g_rand_new_with_seed(3);
    GwAddress address = kAny;
    GwHttpLog *http = nullptr;
    GwLog log = {};

    void
    SetUp() override
    {
        wait_timeout = 10 * GW_SECOND;
        address.port = FakePlatform_Port(platform);
        http = GwHttpLog_New(loop, &address, &counters);
        log = GwHttpLog_Interface(http);
    }
    void
    TearDown() override
    {
        GwHttpLog_Delete(http);
        FakePlatform_Delete(platform);
        g_rand_free(rand);
    }
    void
    Append(const char *stream, const char *json)
    {
        json_t *record = json_loads(json, 0, nullptr);

        FakePlatform_Append(platform, stream, record);
        json_decref(record);
    }
};

using LogContract = Fixture;
using ListContract = Fixture;

struct Outcome {
    bool done = false;
    GwAppendOutcome outcome = GW_APPEND_DONE;
    uint64_t offset = 0;
};

void
OnAppend(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    *static_cast<Outcome *>(user) = {true, outcome, offset};
}

} // namespace

// An append that failed may still take effect. Only an outcome that is proven
// may be reported as done or not done; otherwise a claim or a change could be
// lost or made twice.
TEST_F(LogContract, AppendReportsWhetherItTookEffect)
{
    const struct {
        const char *name;
        std::function<void(FakeFaults *)> fault;
        GwAppendOutcome outcome;
        uint64_t records; // that are in the log finally
    } cases[] = {
        {"up", [](FakeFaults *) {}, GW_APPEND_DONE, 1},
        {"answer lost", [](FakeFaults *f) { f->lose_answers = 1; },
         GW_APPEND_UNKNOWN, 1},
        {"append lost", [](FakeFaults *f) { f->drop_appends = 1; },
         GW_APPEND_UNKNOWN, 0},
        {"takes effect late",
         [](FakeFaults *f) {
             f->late_appends = 1;
             f->late_by = 20 * GW_MILLISECOND;
         },
         GW_APPEND_UNKNOWN, 1},
        {"down: a 5xx proves nothing",
         [](FakeFaults *f) { f->mode = FAKE_LOG_DOWN; }, GW_APPEND_UNKNOWN, 0},
        {"silent", [](FakeFaults *f) { f->mode = FAKE_LOG_HANG; },
         GW_APPEND_UNKNOWN, 0},
        {"slow", [](FakeFaults *f) { f->delay = 100 * GW_MILLISECOND; },
         GW_APPEND_DONE, 1},
    };
    int i = 0;

    for (auto &c : cases) {
        std::string stream = "s" + std::to_string(i++);
        json_t *record = json_pack("{s:i}", "x", i);
        Outcome o;

        *FakePlatform_Faults(platform) = {};
        c.fault(FakePlatform_Faults(platform));
        log.ops->append(log.impl, stream.c_str(), record, OnAppend, &o);
        EXPECT_FALSE(o.done) << c.name << ": callback during the call";
        ASSERT_TRUE(Until([&] { return o.done; })) << c.name;
        EXPECT_EQ(o.outcome, c.outcome) << c.name;
        EXPECT_TRUE(Until([&] {
            return FakePlatform_Count(platform, stream.c_str()) == c.records;
        })) << c.name;
        json_decref(record);
    }
}

// If no connection is established, nothing was sent.
TEST_F(LogContract, FailedConnectionProvesNotDone)
{
    GwAddress closed_port = {"127.0.0.1", 1};
    GwHttpLog *other = GwHttpLog_New(loop, &closed_port, &counters);
    GwLog l = GwHttpLog_Interface(other);
    json_t *record = json_object();
    Outcome o;

    l.ops->append(l.impl, "s", record, OnAppend, &o);
    ASSERT_TRUE(Until([&] { return o.done; }));
    EXPECT_EQ(o.outcome, GW_APPEND_NOT_DONE);
    json_decref(record);
    GwHttpLog_Delete(other);
}

// While the log service is unavailable, reads are retried. Afterwards each
// record must be delivered once, without those that have expired meanwhile.
TEST_F(LogContract, TailDeliversEachRecordOnceDespiteOutages)
{
    struct TailResult {
        std::vector<uint64_t> offsets;
        uint64_t first = 0;
        int failures = 0;
        bool at_end = false;
    } result;
    static const GwLogTailOps ops = {
        [](void *u, uint64_t first) {
            static_cast<TailResult *>(u)->first = first;
        },
        [](void *u, uint64_t offset, const json_t *) {
            static_cast<TailResult *>(u)->offsets.push_back(offset);
        },
        [](void *u, bool ok, bool at_end) {
            static_cast<TailResult *>(u)->failures += !ok;
            static_cast<TailResult *>(u)->at_end = at_end;
        },
    };

    Append("s", "{}");
    GwLogTail *tail = GwLogTail_New(loop, log, "s", 0, rand, &ops, &result);
    ASSERT_TRUE(Until([&] { return result.at_end; }));
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return result.offsets.size() == 2; }));
    FakePlatform_Faults(platform)->mode = FAKE_LOG_DOWN;
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return result.failures >= 2; }));
    FakePlatform_Faults(platform)->mode = FAKE_LOG_UP;
    // Records expire unread: reads continue at the first available offset.
    FakePlatform_Faults(platform)->keep = 1;
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return result.offsets.size() >= 3; }));
    ASSERT_TRUE(Until([&] { return result.offsets.back() == 3; }));
    for (size_t i = 1; i < result.offsets.size(); i++)
        EXPECT_GT(result.offsets[i], result.offsets[i - 1]);
    GwLogTail_Delete(tail);
}

// A process that starts after the first records have expired must find the
// complete configuration in the remaining ones. The running processes must
// therefore append snapshots well before records expire. Normally only one of
// them appends each snapshot, because of the random delay; the number of
// snapshots is not checked here.
TEST_F(LogContract, SnapshotsAreAppendedBeforeRecordsExpire)
{
    GwConfigFeedOptions o = {};
    std::vector<GwConfigFeed *> feeds;
    const int changes = 12;

    FakePlatform_Faults(platform)->keep = 8;
    o.site = "medeu";
    o.rand = rand;
    o.counters = &counters;
    o.snapshot_every = 3;
    o.on_change = [](void *) {};
    for (int i = 0; i < 3; i++)
        feeds.push_back(GwConfigFeed_New(loop, log, &o));
    for (uint64_t r = 0; r < changes; r++) {
        std::string change =
            "{\"t\":\"change\",\"id\":\"c\",\"base\":" + std::to_string(r) +
            ",\"patch\":{\"base\":{\"n\":" + std::to_string(r) + "}}}";
        Append("config", change.c_str());
        ASSERT_TRUE(Until([&] {
            // Well before expiry: at most two records after a snapshot.
            return GwConfigFeed_Revision(feeds[0]) == r + 1 &&
                   GwStore_SinceSnapshot(GwConfigFeed_Store(feeds[0])) < 3;
        }));
    }
    GwConfigFeed *late = GwConfigFeed_New(loop, log, &o);
    ASSERT_TRUE(Until([&] { return GwConfigFeed_Revision(late) == changes; }));
    EXPECT_FALSE(GwStore_IsWaiting(GwConfigFeed_Store(late)));
    feeds.push_back(late);
    for (auto *f : feeds)
        GwConfigFeed_Delete(f);
}

// A peer has a newer revision. While the log service answers, the change will
// be read from the log, and requesting the document would be a waste. If the
// log service hangs or is unavailable, the process must request it from the
// peer instead of keeping an old configuration.
TEST_F(LogContract, PeerStateIsRequestedOnlyIfLogLacksIt)
{
    GwConfigFeedOptions o = {};

    o.rand = rand;
    o.counters = &counters;
    o.on_change = [](void *) {};
    Append("config", "{\"t\":\"change\",\"id\":\"c\",\"base\":0,"
                     "\"patch\":{}}");
    GwConfigFeed *feed = GwConfigFeed_New(loop, log, &o);
    EXPECT_TRUE(GwConfigFeed_IsBehind(feed, 1, 0)) << "no state yet";
    ASSERT_TRUE(Until([&] { return GwConfigFeed_IsCurrent(feed); }));
    EXPECT_FALSE(GwConfigFeed_IsBehind(feed, 1, 0));
    EXPECT_FALSE(GwConfigFeed_IsBehind(feed, 2, GW_SECOND));
    EXPECT_FALSE(GwConfigFeed_IsBehind(feed, 2, 2 * GW_SECOND - 1));
    EXPECT_TRUE(GwConfigFeed_IsBehind(feed, 2, 2 * GW_SECOND));
    EXPECT_FALSE(GwConfigFeed_IsBehind(feed, 1, 3 * GW_SECOND));
    EXPECT_FALSE(GwConfigFeed_IsBehind(feed, 2, 4 * GW_SECOND));
    FakePlatform_Faults(platform)->mode = FAKE_LOG_DOWN;
    Append("other", "{}");
    ASSERT_TRUE(
        Until([&] { return GwConfigFeed_IsBehind(feed, 2, 4 * GW_SECOND); }));
    GwConfigFeed_Delete(feed);
}

// An invalid answer of the list service must not be taken for an empty list:
// all instances would be considered removed.
TEST_F(ListContract, ReadsRowsAndRejectsInvalidLists)
{
    struct Reading {
        int begins = 0, rows = 0, leaving = 0;
    };
    static const GwInstanceListOps ops = {
        [](void *u) { static_cast<Reading *>(u)->begins++; },
        [](void *u, const GwInstance *i) {
            static_cast<Reading *>(u)->rows++;
            static_cast<Reading *>(u)->leaving += i->leaving;
        },
        [](void *) {},
    };
    const struct {
        const char *name, *text;
        bool ok;
        int rows;
    } cases[] = {
        {"empty", "{\"instances\":[]}", true, 0},
        {"a row",
         "{\"instances\":[{\"name\":\"a\",\"address\":"
         "\"127.0.0.1:1\",\"state\":\"leaving\"}]}",
         true, 1},
        {"a row without address", "{\"instances\":[{\"name\":\"a\"}]}", true,
         0},
        {"host name",
         "{\"instances\":[{\"name\":\"a\",\"address\":"
         "\"host:1\"}]}",
         true, 0},
        {"cut off", "{\"instances\":[{\"na", false, 0},
        {"an error page", "<html>", false, 0},
        {"another object", "{}", false, 0},
    };

    for (auto &c : cases) {
        Reading r;

        EXPECT_EQ(GwInstanceList_Decode(c.text, strlen(c.text), &ops, &r),
                  c.ok)
            << c.name;
        EXPECT_EQ(r.rows, c.rows) << c.name;
        EXPECT_EQ(r.begins, c.ok) << c.name;
    }
    // The service is unavailable, then available again: polling continues.
    Reading r;
    FakePlatform_SetInstance(platform, "a", "agent", "p", "d", 1, true);
    FakePlatform_Faults(platform)->list_down = true;
    GwInstanceList *list = GwInstanceList_New(
        loop, &address, 10 * GW_MILLISECOND, rand, &ops, &r);
    Outcome o;
    json_t *record = json_object();
    log.ops->append(log.impl, "s", record, OnAppend, &o);
    ASSERT_TRUE(Until([&] { return o.done; }));
    EXPECT_EQ(r.begins, 0);
    FakePlatform_Faults(platform)->list_down = false;
    ASSERT_TRUE(Until([&] { return r.begins >= 2; }));
    EXPECT_EQ(r.leaving, r.rows);
    json_decref(record);
    GwInstanceList_Delete(list);
}

// Guards against a platform whose answer does not end: the process kept all of
// it and ran out of memory. The read must end, and be tried again.
TEST_F(LogContract, EndlessAnswersAreNotKept)
{
    RawServer server(loop, kAny, {"HTTP/1.1 200 OK\r\n\r\n", "x"});
    static const GwInstanceListOps list_ops = {
        [](void *) {}, [](void *, const GwInstance *) {}, [](void *) {}};
    GwAddress endless = kAny;
    struct Read {
        bool is_done = false, is_ok = false;
    } read;

    endless.port = server.Port();
    GwHttpLog *other = GwHttpLog_New(loop, &endless, &counters);
    GwLog endless_log = GwHttpLog_Interface(other);
    endless_log.ops->read(
        endless_log.impl, "s", 0, 0,
        [](void *user, const GwLogBatch *batch) {
            *static_cast<Read *>(user) = {true, batch->ok};
        },
        &read);
    EXPECT_TRUE(Until([&] { return read.is_done; }));
    EXPECT_LT(server.sent, 512u * 1024 * 1024);
    EXPECT_FALSE(read.is_ok);
    GwInstanceList *list = GwInstanceList_New(
        loop, &endless, 20 * GW_MILLISECOND, rand, &list_ops, nullptr);
    EXPECT_TRUE(Until([&] { return server.answered >= 3; }));
    GwInstanceList_Delete(list);
    GwHttpLog_Delete(other);
}
