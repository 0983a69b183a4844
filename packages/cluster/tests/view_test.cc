#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "galenagw/cluster/view.h"

// Names of versions are received in any order, repeatedly, from processes that
// learned of them at different times. Weights are outdated since the earliest
// known time at which the first newer version was named.
TEST(View, WeightsAreOutdatedSinceEarliestKnownNaming)
{
    struct NamedVersion {
        int64_t version;
        GwTime at;
    };
    const struct {
        const char *name;
        std::vector<NamedVersion> namings;
        int64_t weights, newest;
        GwTime since;
    } cases[] = {
        {"nothing named", {}, 1, -1, 0},
        {"in order", {{2, 100}, {3, 200}}, 1, 3, 100},
        {"the version before the newest", {{2, 100}, {3, 200}}, 2, 3, 200},
        {"the newest version", {{2, 100}, {3, 200}}, 3, 3, 0},
        {"older version received later", {{3, 200}, {2, 100}}, 1, 3, 100},
        {"version in between received last",
         {{2, 100}, {4, 300}, {3, 200}},
         2,
         4,
         200},
        {"earlier time received", {{3, 200}, {3, 50}}, 2, 3, 50},
        {"later time received", {{3, 200}, {3, 250}}, 2, 3, 200},
        {"named before the clock started", {{3, 200}, {3, -40}}, 2, 3, -40},
        {"named when the clock started", {{3, 200}, {3, 0}}, 2, 3, -1},
        {"unknown weights", {{3, 200}}, -1, 3, 200},
    };
    const GwViewOps ops = {};
    GwCounters counters = {};

    for (auto &c : cases) {
        GwViewOptions options = {&ops, nullptr, nullptr, &counters};
        GwView *view = GwView_New(&options);

        for (const NamedVersion &t : c.namings)
            GwView_NoteNamed(view, "m", t.version, t.at);
        const GwModelVersions *target = GwView_ModelVersions(view, "m");
        EXPECT_EQ(target->version, c.newest) << c.name;
        EXPECT_EQ(GwModelVersions_OutdatedSince(target, c.weights), c.since)
            << c.name;
        EXPECT_EQ(GwView_ModelVersions(view, "other")->version, -1);
        GwView_Delete(view);
    }
}

// When there are more versions than are stored, the order is kept, and the
// oldest entry stands for all before it: it has the earliest time, so that
// weights older than that are not outdated for too short a time.
TEST(View, OnlyNewestVersionsAreStored)
{
    const GwViewOps ops = {};
    GwCounters counters = {};
    GwViewOptions options = {&ops, nullptr, nullptr, &counters};
    GwView *view = GwView_New(&options);

    for (int version = 1; version <= 3 * GW_MODEL_VERSIONS_MAX; version++) {
        GwView_NoteNamed(view, "m", version, 100 * version);
        GwView_NoteNamed(view, "m", 1, 7);
    }
    const GwModelVersions *target = GwView_ModelVersions(view, "m");
    EXPECT_EQ(target->n_history, (unsigned)GW_MODEL_VERSIONS_MAX);
    EXPECT_EQ(target->version, 3 * GW_MODEL_VERSIONS_MAX);
    for (unsigned i = 0; i < target->n_history; i++) {
        EXPECT_EQ(target->history[i].version,
                  3 * GW_MODEL_VERSIONS_MAX - (int)i);
        EXPECT_EQ(target->history[i].named_at,
                  i + 1 < target->n_history
                      ? 100 * (3 * GW_MODEL_VERSIONS_MAX - (int)i)
                      : 7);
    }
    EXPECT_EQ(GwModelVersions_OutdatedSince(target, 1), 7);
    GwView_Delete(view);
}

// A process that learns of a removal by a full read stores a later position
// for it than the store has, and sends it to its peers, so that these read the
// removal again while it is deferred. Counted each time, the counter showed
// more removals than there were endpoints.
TEST(View, RemovalReadAgainWhileDeferredIsCountedOnce)
{
    const GwViewOps ops = {};
    GwCounters counters = {};
    GwViewOptions options = {&ops, nullptr, nullptr, &counters};
    GwView *view = GwView_New(&options);
    const char row[] = R"({"service":"s","address":"10.0.0.1:9","zone":"d",)"
                       R"("version":"v1","slots":4,"state":"ready",)"
                       R"("cold_remaining_ms":0,"seq":1,"born":5})";
    int64_t offset = 0;
    auto put = [&](const char *value) {
        GwRecord record = {"i-1", value, value != nullptr ? strlen(value) : 0,
                           ++offset, nullptr};

        return GwRecords_Apply(GwView_Records(view), GW_LIST_INSTANCES,
                               &record);
    };

    GwInstances_DeferRemovals(GwView_Instances(view),
                              GwTime_Now() + 60 * GW_SECOND,
                              GwTime_Now() + 60 * GW_SECOND);
    for (uint64_t deferred : {1, 2}) {
        ASSERT_TRUE(put(row));
        for (int i = 0; i < 3; i++) {
            ASSERT_TRUE(put(nullptr));
            EXPECT_EQ(counters.plain[GW_COUNTER_REMOVALS_DEFERRED], deferred);
        }
        EXPECT_NE(GwInstances_Find(GwView_Instances(view), "i-1"), nullptr);
    }
    GwView_Delete(view);
}

// A row that an earlier incarnation wrote, and that the store accepted after
// the restart, must be counted as ignored: that is how operators find out that
// such rows are in the list.
TEST(View, OnlyRowsOfEarlierIncarnationsAreCountedAsIgnored)
{
    const struct {
        const char *name;
        int incarnation;
        uint64_t ignored; // in total, after the row
    } rows[] = {{"new instance", 5, 0},        {"same row", 5, 0},
                {"earlier incarnation", 4, 1}, {"same row after it", 5, 1},
                {"later incarnation", 6, 1},   {"the one before it", 5, 2}};
    const GwViewOps ops = {};
    GwCounters counters = {};
    GwViewOptions options = {&ops, nullptr, nullptr, &counters};
    GwView *view = GwView_New(&options);
    int64_t offset = 0;

    for (auto &row : rows) {
        std::string text =
            R"({"service":"s","address":"10.0.0.1:9","zone":"d",)"
            R"("version":"v1","slots":4,"state":"ready",)"
            R"("cold_remaining_ms":0,"seq":1,"born":)" +
            std::to_string(row.incarnation) + "}";
        GwRecord record = {"i-1", text.data(), text.size(), ++offset, nullptr};

        GwRecords_Apply(GwView_Records(view), GW_LIST_INSTANCES, &record);
        EXPECT_EQ(counters.plain[GW_COUNTER_ROWS_IGNORED], row.ignored)
            << row.name;
        EXPECT_EQ(counters.plain[GW_COUNTER_RECORDS_UNREADABLE], 0u);
    }
    EXPECT_EQ(GwInstances_Find(GwView_Instances(view), "i-1")->incarnation, 6);
    GwView_Delete(view);
}
