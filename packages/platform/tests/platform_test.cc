// Contracts of the platform's interfaces, with their faults in tables.
#include "galenagw/fakes/loop_test.h"

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_platform.h"
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
        patience = 10 * GW_SECOND;
        address.port = FakePlatform_Port(platform);
        http = GwHttpLog_New(loop, &address, &counters);
        log = GwHttpLog_Interface(http);
    }
    void
    TearDown() override
    {
        GwHttpLog_Delete(http);
        FakePlatform_Delete(platform);
        GwLoop_Delete(loop);
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

TEST_F(LogContract, AppendTellsWhatIsKnownOfItsEffect)
{
    const struct {
        const char *name;
        std::function<void(FakeFaults *)> fault;
        GwAppendOutcome outcome;
        uint64_t records; // in the log in the end
    } cases[] = {
        {"up", [](FakeFaults *) {}, GW_APPEND_DONE, 1},
        {"answer lost", [](FakeFaults *f) { f->lose_answers = 1; },
         GW_APPEND_UNKNOWN, 1},
        {"append lost", [](FakeFaults *f) { f->drop_appends = 1; },
         GW_APPEND_UNKNOWN, 0},
        {"works late",
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
        EXPECT_FALSE(o.done) << c.name << ": called back from within";
        ASSERT_TRUE(Until([&] { return o.done; })) << c.name;
        EXPECT_EQ(o.outcome, c.outcome) << c.name;
        EXPECT_TRUE(Until([&] {
            return FakePlatform_Count(platform, stream.c_str()) == c.records;
        })) << c.name;
        json_decref(record);
    }
}

TEST_F(LogContract, NobodyListeningProvesNotDone)
{
    GwAddress nobody = {"127.0.0.1", 1};
    GwHttpLog *other = GwHttpLog_New(loop, &nobody, &counters);
    GwLog l = GwHttpLog_Interface(other);
    json_t *record = json_object();
    Outcome o;

    l.ops->append(l.impl, "s", record, OnAppend, &o);
    ASSERT_TRUE(Until([&] { return o.done; }));
    EXPECT_EQ(o.outcome, GW_APPEND_NOT_DONE);
    json_decref(record);
    GwHttpLog_Delete(other);
}

TEST_F(LogContract, TailHandsOverEachRecordOnceThroughOutages)
{
    struct Seen {
        std::vector<uint64_t> offsets;
        uint64_t first = 0;
        int failures = 0;
        bool at_end = false;
    } seen;
    static const GwLogTailOps ops = {
        [](void *u, uint64_t first) { static_cast<Seen *>(u)->first = first; },
        [](void *u, uint64_t offset, const json_t *) {
            static_cast<Seen *>(u)->offsets.push_back(offset);
        },
        [](void *u, bool ok, bool at_end) {
            static_cast<Seen *>(u)->failures += !ok;
            static_cast<Seen *>(u)->at_end = at_end;
        },
    };

    Append("s", "{}");
    GwLogTail *tail = GwLogTail_New(loop, log, "s", 0, rand, &ops, &seen);
    ASSERT_TRUE(Until([&] { return seen.at_end; }));
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return seen.offsets.size() == 2; }));
    FakePlatform_Faults(platform)->mode = FAKE_LOG_DOWN;
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return seen.failures >= 2; }));
    FakePlatform_Faults(platform)->mode = FAKE_LOG_UP;
    // What expires unread is told by the first offset kept.
    FakePlatform_Faults(platform)->keep = 1;
    Append("s", "{}");
    ASSERT_TRUE(Until([&] { return seen.offsets.size() >= 3; }));
    ASSERT_TRUE(Until([&] { return seen.offsets.back() == 3; }));
    for (size_t i = 1; i < seen.offsets.size(); i++)
        EXPECT_GT(seen.offsets[i], seen.offsets[i - 1]);
    GwLogTail_Delete(tail);
}

// A process starts long after the first records have expired. Others have
// appended snapshots well before, once and not all of them, so it finds a
// whole configuration in what is kept.
TEST_F(LogContract, SnapshotsComeBeforeRecordsExpire)
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
            // Well before expiry: at most every third record is unsaved.
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

// Others hold a newer revision. While the log answers it will bring it; a
// log that hangs, or none at all, must not keep the process behind.
TEST_F(LogContract, AsksAPeerOnlyForWhatTheLogDoesNotBring)
{
    GwConfigFeedOptions o = {};

    o.rand = rand;
    o.counters = &counters;
    o.on_change = [](void *) {};
    Append("config", "{\"t\":\"change\",\"id\":\"c\",\"base\":0,"
                     "\"patch\":{}}");
    GwConfigFeed *feed = GwConfigFeed_New(loop, log, &o);
    EXPECT_TRUE(GwConfigFeed_IsBehind(feed, 1, 0)) << "nothing known yet";
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

TEST_F(ListContract, ReadsRowsAndNeverTakesNonsenseForAnEmptyList)
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

        EXPECT_EQ(GwInstanceList_Read(c.text, strlen(c.text), &ops, &r), c.ok)
            << c.name;
        EXPECT_EQ(r.rows, c.rows) << c.name;
        EXPECT_EQ(r.begins, c.ok) << c.name;
    }
    // Down, then up again: readings go on.
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
