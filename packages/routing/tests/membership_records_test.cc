#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "galenagw/routing/instances.h"
#include "galenagw/routing/records.h"

struct ReceivedRecords {
    std::map<std::string, std::string> values;
    int calls = 0;
};

static void
OnRecord(void *user, GwList list, const GwRecord *record)
{
    ReceivedRecords *received = static_cast<ReceivedRecords *>(user);

    received->calls++;
    if (record->value == nullptr)
        received->values.erase(record->key);
    else
        received->values[record->key] =
            std::string(record->value, record->len);
}

static bool
Apply(GwRecords *r, const char *key, const char *value, int64_t offset)
{
    GwRecord record = {key, value, value != nullptr ? strlen(value) : 0,
                       offset, nullptr};

    return GwRecords_Apply(r, GW_LIST_INSTANCES, &record);
}

static bool
ApplyFullRead(GwRecords *r, const char *key, const char *value, int64_t offset)
{
    GwRecord record = {key, value, strlen(value), offset, nullptr};

    return GwRecords_ApplyFullRead(r, GW_LIST_INSTANCES, &record);
}

// A full read contains no removals, so a process that performed one lacks
// removals from before its end. If it sent its records to a peer from the
// peer's earlier position on, the peer would not remove endpoints that have
// departed.
TEST(Records, FullReadLacksEarlierRemovals)
{
    GwRecords *r =
        GwRecords_New([](void *, GwList, const GwRecord *) {}, nullptr);
    auto has_all_since = [&](int64_t from) {
        return GwRecords_HasAllSince(r, GW_LIST_INSTANCES, from);
    };

    GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
    GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 20);
    EXPECT_TRUE(has_all_since(0))
        << "a peer without records needs no removals";
    EXPECT_FALSE(has_all_since(19));
    EXPECT_TRUE(has_all_since(20));
    GwRecords_SetEnd(r, GW_LIST_INSTANCES, 30);
    EXPECT_TRUE(has_all_since(25));
    // A second full read: keys written and removed from 30 to 40 are unknown.
    GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
    GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 40);
    EXPECT_TRUE(has_all_since(25));
    EXPECT_TRUE(has_all_since(30));
    EXPECT_FALSE(has_all_since(31));
    EXPECT_FALSE(has_all_since(39));
    EXPECT_TRUE(has_all_since(40));
    GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
    GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 40);
    EXPECT_TRUE(has_all_since(40)) << "nothing was written in the meantime";
    GwRecords_Delete(r);
}

TEST(Records, OlderRecordDoesNotReplaceNewer)
{
    ReceivedRecords received;
    GwRecords *r = GwRecords_New(OnRecord, &received);

    EXPECT_TRUE(Apply(r, "a", "1", 5));
    EXPECT_FALSE(Apply(r, "a", "0", 4)) << "from a peer that is behind";
    EXPECT_FALSE(Apply(r, "a", "1", 5)) << "received twice";
    EXPECT_TRUE(Apply(r, "a", nullptr, 6));
    EXPECT_FALSE(Apply(r, "a", "1", 5)) << "a removal is not undone";
    EXPECT_TRUE(received.values.empty());
    EXPECT_EQ(received.calls, 2);
    EXPECT_EQ(GwRecords_End(r, GW_LIST_INSTANCES), 0)
        << "records in any order do not advance the end";
    GwRecords_Delete(r);
}

// The store may drop its history while this process is disconnected, so that
// some removals are never received. At the end of a full read, keys that the
// read did not contain must be removed, unless the position of their record is
// the end of the read or later.
TEST(Records, FullReadRemovesKeysItLacks)
{
    ReceivedRecords received;
    GwRecords *r = GwRecords_New(OnRecord, &received);

    Apply(r, "stays", "1", 1);
    Apply(r, "goes", "1", 2);
    GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
    ApplyFullRead(r, "stays", "1", 1);
    ApplyFullRead(r, "newer", "1", 12);
    Apply(r, "from-peer", "1", 20);
    GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 15);
    EXPECT_EQ(received.values.size(), 3u);
    EXPECT_EQ(received.values.count("goes"), 0u);
    EXPECT_EQ(GwRecords_End(r, GW_LIST_INSTANCES), 15);
    EXPECT_FALSE(Apply(r, "goes", "1", 2));
    GwRecords_Delete(r);
}

// Guards against an endpoint that stays in the replica for good after it was
// removed: a peer whose copy is older sends its row while, or after, this
// process reads the list without it.
TEST(Records, OlderCopyOfPeerDoesNotUndoRemoval)
{
    const struct {
        const char *when;
        bool during_read;
        bool was_known; // the row was stored before the full read
    } cases[] = {
        {"during the first read", true, false},
        {"during a later read", true, true},
        {"after the first read", false, false},
        {"after a later read", false, true},
    };

    for (auto &c : cases) {
        ReceivedRecords received;
        GwRecords *r = GwRecords_New(OnRecord, &received);
        if (c.was_known) {
            Apply(r, "gone", "1", 5);
            GwRecords_SetEnd(r, GW_LIST_INSTANCES, 7);
        }
        GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
        if (c.during_read)
            Apply(r, "gone", "1", 5);
        ApplyFullRead(r, "stays", "1", 6);
        GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 10);
        if (!c.during_read)
            Apply(r, "gone", "1", 5);
        EXPECT_EQ(received.values.count("gone"), 0u) << c.when;
        EXPECT_EQ(received.values.count("stays"), 1u) << c.when;
        GwRecords_Delete(r);
    }
}

// Guards against a removal that a process hides from its peers: it got its
// first copy of the list from a peer while it was reading the list, which no
// longer contained a key that was written and removed in between.
TEST(Records, RemovalsBetweenCopyOfPeerAndFirstReadAreUnknown)
{
    GwRecords *r =
        GwRecords_New([](void *, GwList, const GwRecord *) {}, nullptr);
    auto has_all_since = [&](int64_t from) {
        return GwRecords_HasAllSince(r, GW_LIST_INSTANCES, from);
    };

    GwRecords_BeginFullRead(r, GW_LIST_INSTANCES);
    GwRecords_SetEnd(r, GW_LIST_INSTANCES, 7);
    GwRecords_EndFullRead(r, GW_LIST_INSTANCES, 10);
    EXPECT_TRUE(has_all_since(7));
    EXPECT_FALSE(has_all_since(8));
    EXPECT_FALSE(has_all_since(9));
    EXPECT_TRUE(has_all_since(10));
    GwRecords_Delete(r);
}

// A restored store reuses offsets, so a record of a later era must replace one
// with a higher offset of an earlier era.
TEST(Records, RecordOfLaterEraReplacesHigherOffset)
{
    ReceivedRecords received;
    GwRecords *r = GwRecords_New(OnRecord, &received);
    GwRecord removed_record = {"gone", nullptr, 0, GwPosition_Of(0, 901),
                               nullptr};
    GwRecord restored_record = {"gone", "x", 1, GwPosition_Of(1, 4), nullptr};

    EXPECT_TRUE(Apply(r, "a", "old", GwPosition_Of(0, 900)));
    EXPECT_TRUE(Apply(r, "a", "new", GwPosition_Of(1, 3)));
    EXPECT_FALSE(Apply(r, "a", "old", GwPosition_Of(0, 901)));
    EXPECT_TRUE(Apply(r, "gone", "x", GwPosition_Of(0, 5)));
    GwRecords_Apply(r, GW_LIST_INSTANCES, &removed_record);
    EXPECT_FALSE(
        GwRecords_ApplyRestored(r, GW_LIST_INSTANCES, &restored_record))
        << "removed after the backup was made";
    EXPECT_TRUE(GwRecords_Apply(r, GW_LIST_INSTANCES, &restored_record));
    GwRecords_Delete(r);
}

// Peers and the store may send values that are out of range.
TEST(Records, PositionsRoundTripAndClamp)
{
    const struct {
        int64_t era, offset, want_era, want_offset;
    } cases[] = {
        {0, 0, 0, 0},
        {0, 7, 0, 7},
        {3, 7, 3, 7},
        {1000000, (INT64_C(1) << 40) - 1, 1000000, (INT64_C(1) << 40) - 1},
        {-1, -1, 0, 0},
        {0, INT64_MAX, 0, (INT64_C(1) << 40) - 1},
    };

    for (const auto &c : cases) {
        int64_t position = GwPosition_Of(c.era, c.offset);

        EXPECT_EQ(GwPosition_Era(position), c.want_era);
        EXPECT_EQ(GwPosition_Offset(position), c.want_offset);
    }
}

TEST(Records, StampsShowWhichListIsBehind)
{
    ReceivedRecords received;
    GwRecords *a = GwRecords_New(OnRecord, &received);
    const struct {
        int64_t era, op, instances;
        bool op_behind, instances_behind;
    } cases[] = {
        {0, 0, 0, false, false}, {0, 7, 9, false, false},
        {0, 8, 9, true, false},  {0, 7, 10, false, true},
        {0, 8, 0, true, false},  {0, 100, 100, true, true},
        {1, 0, 0, false, false}, {1, 1, 0, true, false},
        {1, 0, 1, false, true},  {1, 2, 3, true, true},
    };

    GwRecords_SetEnd(a, GW_LIST_OPERATOR, 7);
    GwRecords_SetEnd(a, GW_LIST_INSTANCES, 9);
    for (auto &c : cases) {
        GwRecords *b = GwRecords_New(OnRecord, nullptr);

        const int64_t ends[GW_LISTS] = {c.op, c.instances};
        for (int i = 0; i < GW_LISTS; i++)
            GwRecords_SetEnd(b, (GwList)i, GwPosition_Of(c.era, ends[i]));
        uint64_t stamp = GwRecords_Stamp(b);
        int64_t era = GwRecords_Era(b);
        EXPECT_EQ(era, c.era);
        for (int i = 0; i < GW_LISTS; i++)
            EXPECT_EQ(
                GwRecords_IsBehind(a, (GwList)i,
                                   GwRecords_StampEnd((GwList)i, era, stamp)),
                i == GW_LIST_OPERATOR ? c.op_behind : c.instances_behind);
        GwRecords_Delete(b);
    }
    GwRecords_Delete(a);
}

class InstancesTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        static const GwInstancesOps ops = {
            nullptr,
            [](void *user, GwInstance *) {
                static_cast<InstancesTest *>(user)->freed++;
            },
            [](void *user, GwInstance *before, GwInstance *after,
               GwUpdateSource from) {
                InstancesTest *t = static_cast<InstancesTest *>(user);

                EXPECT_STREQ(before->id, after->id);
                EXPECT_LT(before->incarnation, after->incarnation);
                EXPECT_TRUE(before->superseded);
                EXPECT_FALSE(after->superseded);
                t->restarts++;
                t->from = from;
            },
            nullptr};
        m = GwInstances_New(&ops, this);
    }
    void
    TearDown() override
    {
        GwInstances_Delete(m);
    }
    void
    ListInstance(const char *id, int port, bool draining, int64_t weights = -1)
    {
        GwInstanceRow row = {};
        row.id = id;
        row.service = "s";
        row.address = {"10.0.0.1", port};
        row.failure_domain = "d";
        row.draining = draining;
        row.weights = weights;
        GwInstances_ApplyRow(m, &row, 1);
    }
    size_t
    Count()
    {
        const GPtrArray *pool = GwInstances_Of(m, "s");
        return pool != nullptr ? pool->len : 0;
    }

    GwRowVerdict
    ListIncarnation(int64_t incarnation, bool draining, int64_t weights = -1,
                    int port = 1, int64_t offset = 0)
    {
        GwInstanceRow row = {};
        row.id = "i-1";
        row.incarnation = incarnation;
        row.service = "s";
        row.address = {"10.0.0.1", port};
        row.failure_domain = "d";
        row.draining = draining;
        row.weights = weights;
        row.offset = offset;
        return GwInstances_ApplyRow(m, &row, 1);
    }

    GwInstances *m = nullptr;
    int freed = 0;
    int restarts = 0;
    GwUpdateSource from = GW_SOURCES;
};

// Rows of several incarnations of one id may be read in any order: they may be
// from different pages of a list, from older records of peers, or from
// heartbeats that the store accepted late. The latest incarnation must apply,
// with the state of its own rows only.
TEST_F(InstancesTest, LatestIncarnationOfIdApplies)
{
    struct Row {
        int64_t incarnation;
        bool draining;
        int64_t weights;
    };
    const struct {
        const char *name;
        std::vector<Row> rows;
        int64_t incarnation;
        bool draining;
        int64_t weights;
        int restarts;
    } cases[] = {
        {"one incarnation", {{5, false, 1}, {5, false, 2}}, 5, false, 2, 0},
        {"restart while draining",
         {{5, true, 3}, {9, false, 2}},
         9,
         false,
         2,
         1},
        {"the old row after the new one",
         {{9, false, 2}, {5, true, 3}},
         9,
         false,
         2,
         0},
        {"old, new, old",
         {{5, false, 3}, {9, false, 2}, {5, true, 4}},
         9,
         false,
         2,
         1},
        {"the later incarnation leaves",
         {{5, false, 3}, {9, true, 3}, {5, false, 3}},
         9,
         true,
         3,
         1},
        {"unknown, then known",
         {{0, true, 3}, {9, false, -1}},
         9,
         false,
         -1,
         1},
        {"known, then unknown", {{9, false, 2}, {0, true, 3}}, 9, false, 2, 0},
        {"never known", {{0, false, 2}, {0, true, 2}}, 0, true, 2, 0},
        {"a clock that was set back",
         {{9, false, 2}, {8, false, 1}},
         9,
         false,
         2,
         0},
        {"three incarnations",
         {{1, true, 1}, {2, true, 1}, {3, false, 1}},
         3,
         false,
         1,
         2},
    };

    for (auto &c : cases) {
        restarts = 0;
        for (auto &row : c.rows)
            ListIncarnation(row.incarnation, row.draining, row.weights);
        GwInstance *i = GwInstances_Find(m, "i-1");
        ASSERT_NE(i, nullptr) << c.name;
        EXPECT_EQ(i->incarnation, c.incarnation) << c.name;
        EXPECT_EQ(i->draining, c.draining) << c.name;
        EXPECT_EQ(i->weights, c.weights) << c.name;
        EXPECT_EQ(restarts, c.restarts) << c.name;
        EXPECT_EQ(Count(), 1u) << c.name;
        GwInstances_ApplyRemoval(m, "i-1", 1);
        // After a removal nothing is known about the id, so that an instance
        // whose clock was set back is not rejected forever.
        EXPECT_EQ(ListIncarnation(1, false), GW_ROW_CHANGED) << c.name;
        GwInstances_ApplyRemoval(m, "i-1", 1);
    }
}

// Requests are in flight when an instance restarts. They must be counted for
// the earlier incarnation only. Counts, errors and the agent's report must not
// be inherited by the later one.
TEST_F(InstancesTest, StateOfEarlierIncarnationIsNotInherited)
{
    for (GwUpdateSource source :
         {GW_SOURCE_LIST, GW_SOURCE_AGENT, GW_SOURCE_REPORT}) {
        ListIncarnation(5, false, 7);
        GwInstance *before = GwInstance_Ref(GwInstances_Find(m, "i-1"));
        before->in_flight = 3;
        before->prefill_tokens = 900;
        before->avoid_until = 77;
        before->agent_report.at = 5;
        before->agent_report.down = true;
        GwHealth_Note(&before->health, GW_HEALTH_UNREACHABLE, 1);
        freed = 0;
        if (source == GW_SOURCE_LIST)
            EXPECT_EQ(ListIncarnation(6, false, 2), GW_ROW_CHANGED);
        else
            EXPECT_NE(GwInstances_ApplyRestart(m, "i-1", 6, source, 1),
                      nullptr);
        EXPECT_EQ(from, source);
        GwInstance *after = GwInstances_Find(m, "i-1");
        ASSERT_NE(after, before);
        EXPECT_EQ(after->incarnation, 6);
        EXPECT_EQ(after->in_flight, 0u);
        EXPECT_EQ(after->prefill_tokens, 0u);
        EXPECT_EQ(after->avoid_until, 0);
        EXPECT_EQ(after->agent_report.at, 0);
        EXPECT_EQ(after->health.error_rate, 0);
        EXPECT_EQ(after->weights, source == GW_SOURCE_LIST ? 2 : -1);
        EXPECT_EQ(after->address_hash, before->address_hash);
        EXPECT_NE(after->serial, before->serial);
        GwInstance_SetWeights(before, 9);
        GwInstance_SetReplaced(before);
        EXPECT_FALSE(after->draining);
        EXPECT_EQ(Count(), 1u);
        EXPECT_EQ(freed, 0) << "requests in flight refer to it";
        GwInstance_Unref(m, before);
        EXPECT_EQ(freed, 1);
        GwInstances_ApplyRemoval(m, "i-1", 1);
    }
    EXPECT_EQ(GwInstances_ApplyRestart(m, "i-1", 9, GW_SOURCE_AGENT, 1),
              nullptr)
        << "the id is not listed";
    ListIncarnation(5, false);
    EXPECT_EQ(GwInstances_ApplyRestart(m, "i-1", 5, GW_SOURCE_AGENT, 1),
              nullptr);
    EXPECT_EQ(GwInstances_ApplyRestart(m, "i-1", 4, GW_SOURCE_AGENT, 1),
              nullptr);
}

// After a store outage, a deferred removal must not remove a later
// incarnation, and a row of the earlier one must not restore it.
TEST_F(InstancesTest, DeferredRemovalAppliesToListedIncarnation)
{
    GwTime now = 10 * GW_SECOND;

    ListIncarnation(5, false);
    GwInstances_DeferRemovals(m, now + GW_SECOND, now + 2 * GW_SECOND);
    GwInstances_ApplyRemoval(m, "i-1", now);
    EXPECT_EQ(ListIncarnation(4, false), GW_ROW_EARLIER_INCARNATION);
    GwInstances_Sweep(m, now + 2 * GW_SECOND);
    EXPECT_EQ(Count(), 0u)
        << "a row of an earlier incarnation does not restore it";
    ListIncarnation(5, false);
    GwInstances_DeferRemovals(m, now + 4 * GW_SECOND, now + 4 * GW_SECOND);
    GwInstances_ApplyRemoval(m, "i-1", now + 3 * GW_SECOND);
    ListIncarnation(6, false);
    GwInstances_Sweep(m, now + 4 * GW_SECOND);
    EXPECT_EQ(Count(), 1u);
}

// A row of a later incarnation may have the address of another instance, and
// its earlier incarnation had a different one. Only the newest instance at
// each address may get requests.
TEST_F(InstancesTest, LaterIncarnationMayHaveAnotherAddress)
{
    ListIncarnation(5, false, -1, 1, 10);
    ListInstance("i-2", 2, false);
    ListIncarnation(6, false, -1, 2, 20);
    EXPECT_EQ(GwInstances_Find(m, "i-1")->address.port, 2);
    EXPECT_FALSE(GwInstances_Find(m, "i-1")->draining);
    EXPECT_TRUE(GwInstances_Find(m, "i-2")->draining);
    GwInstances_Forget(m, "i-1", 1);
    GwInstances_RecomputeDraining(m);
    EXPECT_FALSE(GwInstances_Find(m, "i-2")->draining)
        << "the instance that had replaced it was forgotten";
}

TEST_F(InstancesTest, LeavingIsFinalForAnIncarnation)
{
    ListInstance("i-1", 1, false);
    ListInstance("i-1", 1, true);
    ListInstance("i-1", 1, false);
    EXPECT_TRUE(GwInstances_Find(m, "i-1")->draining);
}

// An endpoint terminates and its address is reused. A request in flight keeps
// a reference to the old instance, and new requests must find only the new
// one.
TEST_F(InstancesTest, AddressMayBelongToAnotherInstance)
{
    ListInstance("i-1", 1, false);
    GwInstance *old = GwInstance_Ref(GwInstances_Find(m, "i-1"));
    ListInstance("i-2", 1, false);
    GwInstances_ApplyRemoval(m, "i-1", 1);
    EXPECT_EQ(Count(), 1u);
    EXPECT_STREQ(GwInstances_At(m, &old->address)->id, "i-2");
    EXPECT_EQ(old->address_hash, GwInstances_Find(m, "i-2")->address_hash)
        << "the same address is preferred for the same prefixes";
    EXPECT_EQ(freed, 0);
    GwInstance_Unref(m, old);
    EXPECT_EQ(freed, 1);
}

// In a store outage, entries of the instance list expire. Endpoints write them
// again within two seconds after the outage. Until then none of these
// instances may be removed; after that, those that are still missing must be
// removed.
TEST_F(InstancesTest, RemovalsAreDeferredAfterOutage)
{
    GwTime now = 10 * GW_SECOND;

    ListInstance("i-1", 1, false);
    ListInstance("i-2", 2, false);
    GwInstances_DeferRemovals(m, now + GW_SECOND, now + 2 * GW_SECOND);
    GwInstances_ApplyRemoval(m, "i-1", now);
    GwInstances_ApplyRemoval(m, "i-2", now);
    EXPECT_EQ(Count(), 2u);
    ListInstance("i-2", 2, false);
    GwInstances_Sweep(m, now + GW_SECOND);
    EXPECT_EQ(Count(), 2u);
    GwInstances_Sweep(m, now + 2 * GW_SECOND);
    EXPECT_EQ(Count(), 1u);
    EXPECT_NE(GwInstances_Find(m, "i-2"), nullptr);
    GwInstances_ApplyRemoval(m, "i-2", now + 3 * GW_SECOND);
    EXPECT_EQ(Count(), 0u) << "without an outage, immediately";
}

// An endpoint departs shortly after a store outage, while removals of expired
// entries are deferred. Its own removal must be applied immediately: requests
// sent to it would be refused by the closed port.
TEST_F(InstancesTest, DepartureAfterOutageIsNotDeferred)
{
    GwTime now = 10 * GW_SECOND;

    ListInstance("i-1", 1, false);
    ListInstance("i-2", 2, false);
    GwInstances_DeferRemovals(m, now + GW_SECOND, now + 3 * GW_SECOND);
    GwInstances_ApplyRemoval(m, "i-1", now);
    GwInstances_ApplyRemoval(m, "i-2", now + GW_SECOND);
    EXPECT_NE(GwInstances_Find(m, "i-1"), nullptr);
    EXPECT_EQ(GwInstances_Find(m, "i-2"), nullptr);
    EXPECT_EQ(GwInstances_RemovalsDeferredUntil(m, now), now + 3 * GW_SECOND);
    EXPECT_EQ(GwInstances_RemovalsDeferredUntil(m, now + GW_SECOND), 0);
}

// All endpoints crash and are replaced by others at the same addresses. Rows
// of the old ones remain in the list for seconds, and the rows may be read in
// any order. Only the newer instance at each address may get requests.
TEST_F(InstancesTest, OlderOfTwoAtOneAddressIsDraining)
{
    for (bool old_first : {true, false}) {
        std::string before = old_first ? "a-old" : "b-old";
        std::string after = old_first ? "a-new" : "b-new";
        auto list = [&](const std::string &id, int64_t offset) {
            GwInstanceRow row = {};
            row.id = id.c_str();
            row.service = "s";
            row.address = {"10.0.0.9", old_first ? 1 : 2};
            row.failure_domain = "d";
            row.weights = -1;
            row.offset = offset;
            GwInstances_ApplyRow(m, &row, 1);
        };

        if (old_first)
            list(before, 5);
        list(after, 9);
        if (!old_first)
            list(before, 5);
        EXPECT_TRUE(GwInstances_Find(m, before.c_str())->draining);
        EXPECT_FALSE(GwInstances_Find(m, after.c_str())->draining);
    }
}

TEST_F(InstancesTest, WeightsOnlyIncrease)
{
    ListInstance("i-1", 1, false, 3);
    GwInstance *i = GwInstances_Find(m, "i-1");
    EXPECT_TRUE(GwInstance_SetWeights(i, 5));
    ListInstance("i-1", 1, false, 3);
    EXPECT_EQ(i->weights, 5) << "the list is behind";
}

// The machine of an engine is suspended, and its agent with it. The agent's
// report must be overdue well before the engine is removed from the list or a
// connection times out. When the report has expired, only requests to the
// engine can show whether it is available.
TEST_F(InstancesTest, MissingReportIsOverdueThenExpires)
{
    ListInstance("i-1", 1, false);
    GwInstance *i = GwInstances_Find(m, "i-1");
    GwTime at = 10 * GW_SECOND;
    const struct {
        GwTime last_report_at, now;
        GwReportState want;
    } cases[] = {
        {0, at, GW_REPORT_NONE},
        {at, at + 500 * GW_MILLISECOND, GW_REPORT_FRESH},
        {at, at + 900 * GW_MILLISECOND, GW_REPORT_OVERDUE},
        {at, at + 5 * GW_SECOND, GW_REPORT_OVERDUE},
        {at, at + 7 * GW_SECOND, GW_REPORT_NONE},
    };

    for (auto &c : cases) {
        i->agent_report.at = c.last_report_at;
        EXPECT_EQ(GwInstance_ReportState(i, c.now), c.want)
            << c.now - c.last_report_at;
    }
}
