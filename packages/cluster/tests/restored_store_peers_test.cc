#include "peer_pair.h"

// A gateway and a sidecar; the store was restored and only one of them has
// read it since.
class RestoredStorePeers : public PeerPair {
  protected:
    static void
    ApplyConfig(Side *side, int version, int64_t era, int64_t offset)
    {
        std::string text =
            R"({"version":)" + std::to_string(version) +
            R"(,"routes":[{"name":"r","host":"h","path_prefix":"/",)"
            R"("route_type":"idempotent","service":"model"}],)"
            R"("services":[{"name":"model"}]})";
        GwRecord record = {"config", text.data(), text.size(),
                           GwPosition_Of(era, offset), nullptr};
        GwRecords *records = GwView_Records(side->view);

        GwRecords_Apply(records, GW_LIST_OPERATOR, &record);
        GwRecords_SetEnd(records, GW_LIST_OPERATOR,
                         GwPosition_Of(era, offset + 1));
    }
    static uint64_t
    Version(const Side &side)
    {
        const GwRoutes *routes = GwView_Routes(side.view);

        return routes != nullptr ? routes->version : 0;
    }
};

// A process that cannot read the store gets changes from its peers. After a
// restore their offsets are lower than its own; if offsets were compared
// without the era, it would never request records.
TEST_F(RestoredStorePeers, ProcessWithoutStoreLearnsChangesFromPeers)
{
    ApplyConfig(&entry_, 3, 0, 9);
    ApplyConfig(&agent_, 3, 0, 9);
    f.Wait(100 * GW_MILLISECOND);
    ApplyConfig(&agent_, 3, 2, 4);
    ApplyConfig(&agent_, 5, 2, 5);
    GwPeers_BroadcastUrgentHeartbeat(agent_.peers);
    EXPECT_TRUE(f.Until([&] { return Version(entry_) == 5; }));
    EXPECT_EQ(GwRecords_Era(GwView_Records(entry_.view)), 2);
}

// Records of a peer that is still in an earlier era must not replace newer
// ones.
TEST_F(RestoredStorePeers, RecordsOfEarlierEraAreIgnored)
{
    ApplyConfig(&agent_, 7, 2, 4);
    GwPeers_BroadcastUrgentHeartbeat(agent_.peers);
    ASSERT_TRUE(f.Until([&] { return Version(entry_) == 7; }));
    ApplyConfig(&entry_, 8, 1, 900);
    f.Wait(300 * GW_MILLISECOND);
    EXPECT_EQ(Version(agent_), 7u);
    EXPECT_EQ(GwRecords_End(GwView_Records(agent_.view), GW_LIST_OPERATOR),
              GwPosition_Of(2, 5));
}
