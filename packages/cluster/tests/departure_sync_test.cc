#include "peer_pair.h"

extern "C" {
#include "../src/departure_sync.h"
}

// Departure updates may be malformed or sent by other versions. An endpoint
// that no update names validly must stay in use.
TEST(DepartureSync, OnlyValidUpdatesTakeEffect)
{
    const struct {
        const char *name;
        const char *id;
        int64_t incarnation;
        uint64_t told_ms;
        bool is_accepted;
    } cases[] = {
        {"valid update", "i-1", 10, 5, true},
        {"unknown incarnation", "i-1", 0, 5, true},
        {"unlisted instance", "i-2", 10, 5, true},
        {"empty id", "", 10, 5, false},
        {"earlier incarnation", "i-1", 9, 5, false},
        {"negative incarnation", "i-1", -1, 5, false},
        {"expired announcement", "i-1", 10, 3600000, false},
        {"maximum age", "i-1", 10, UINT64_MAX, false},
    };

    for (const auto &c : cases) {
        GwInstancesOps ops = {};
        GwInstances *m = GwInstances_New(&ops, nullptr);
        GwInstanceRow row = {};
        Gw__Wire__EndpointLeaving msg = GW__WIRE__ENDPOINT_LEAVING__INIT;
        GwDepartureUpdate departure;

        row.id = "i-1";
        row.incarnation = 10;
        row.service = "s";
        row.address = {"10.0.0.1", 1};
        GwInstances_ApplyRow(m, &row, 1);
        msg.instance = (char *)c.id;
        msg.incarnation = c.incarnation;
        msg.told_ms = c.told_ms;
        EXPECT_EQ(GwDepartureSync_OnUpdate(m, &msg, &departure), c.is_accepted)
            << c.name;
        EXPECT_FALSE(GwDepartureSync_OnUpdate(m, &msg, &departure)) << c.name;
        EXPECT_EQ(GwInstances_Find(m, "i-1")->draining,
                  c.is_accepted && strcmp(c.id, "i-1") == 0)
            << c.name;
        GwInstances_Delete(m);
    }
}

// An agent reads the announcement in its engine's report and notifies entries,
// also those that connect later.
class DepartureSyncTest : public PeerPair {};

TEST_F(DepartureSyncTest, AgentNotifiesConnectedEntries)
{
    PutInstanceRow(&agent_, 10, 1);
    SendEngineState(10, 1);
    ASSERT_TRUE(
        f.Until([&] { return EntryInstance()->agent_report.at != 0; }));
    GwPeers_NoteLeaving(agent_.peers,
                        GwInstances_Find(GwView_Instances(agent_.view), "i-1"),
                        GW_SOURCE_REPORT);
    EXPECT_TRUE(f.Until([&] { return EntryInstance()->draining; }));
}

TEST_F(DepartureSyncTest, LaterEntriesAreNotified)
{
    PutInstanceRow(&agent_, 10, 1);
    GwPeers_NoteLeaving(agent_.peers,
                        GwInstances_Find(GwView_Instances(agent_.view), "i-1"),
                        GW_SOURCE_REPORT);
    EXPECT_TRUE(f.Until([&] { return EntryInstance()->draining; }));
}
