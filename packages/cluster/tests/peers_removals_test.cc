// Deferred removals are forwarded from process to process.
#include <memory>
#include <string>

#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/view.h"
#include "galenagw/fakes/fleet.h"

// Two gateways and a sidecar that connects them, each with its own copy of the
// list, which contains the sidecar's engine and a plain endpoint.
class PeersRemovalsTest : public testing::Test {
  protected:
    struct Side {
        GwView *view = nullptr;
        GwPeers *peers = nullptr;
        GwCounters counters = {};
    };
    void
    SetUp() override
    {
        static const GwViewOps ops = {};
        static const FakeHttpdOps none = {};
        GwAddress any = {"127.0.0.1", 0};
        GwError err = {};
        FakeHttpd *free_port =
            FakeHttpd_New(f.loop, &any, &none, nullptr, &err);
        int port = FakeHttpd_Port(free_port);

        FakeHttpd_Delete(free_port);
        for (Side *side : {&agent, &first, &second}) {
            GwViewOptions view = {&ops, this, nullptr, &side->counters};
            GwPeersOptions options = {};

            side->view = GwView_New(&view);
            Row(side, "i-1", 0, R"("models":[{"name":"m","version":1}],)");
            Row(side, "i-2", 1, "");
            options.is_agent = side == &agent;
            options.name = side == &agent ? "side" : "edge";
            options.failure_domain = "d";
            options.listen = any;
            options.listen.port = side == &agent ? port : 0;
            options.agent_port = port;
            options.view = side->view;
            options.counters = &side->counters;
            side->peers = GwPeers_New(f.loop, &options, &err);
            ASSERT_NE(side->peers, nullptr) << err.message;
        }
        ASSERT_TRUE(f.Until([&] {
            return GwPeers_ClusterSize(agent.peers) == 3;
        })) << "both gateways are connected";
    }
    void
    TearDown() override
    {
        for (Side *side : {&agent, &first, &second}) {
            GwPeers_Delete(side->peers);
            GwView_Delete(side->view);
        }
    }
    static void
    Row(Side *side, const char *id, int64_t offset, const std::string &more)
    {
        std::string text = R"({"service":"plain","address":"127.0.0.1:9)" +
                           std::to_string(offset) +
                           R"(","zone":"d","version":"v1","slots":6,)"
                           R"("cold_remaining_ms":0,"seq":1,)" +
                           more + R"("state":"ready"})";
        GwRecord record = {id, text.data(), text.size(), offset, nullptr};

        ApplyRecord(side, &record);
    }
    static void
    ApplyRecord(Side *side, const GwRecord *record)
    {
        GwRecords *records = GwView_Records(side->view);

        GwRecords_Apply(records, GW_LIST_INSTANCES, record);
        GwRecords_SetEnd(records, GW_LIST_INSTANCES, record->offset + 1);
    }
    static bool
    Has(const Side &side)
    {
        return GwInstances_Find(GwView_Instances(side.view), "i-2") != nullptr;
    }
    static bool
    HasNewEnd(const Side &side)
    {
        return GwRecords_End(GwView_Records(side.view), GW_LIST_INSTANCES) ==
               3;
    }

    Fleet f;
    Side agent, first, second;
};

// After a store outage, during which records of endpoints expired, one gateway
// is the first to read their removals, while the calls of all others still
// wait. Endpoints whose records expired write them again within two seconds,
// so the first gateway defers the removals. Other processes that applied a
// removal at once, received from the first gateway or through another process,
// would have no endpoint for their callers until then.
TEST_F(PeersRemovalsTest, DeferredRemovalIsDeferredByAllReceivers)
{
    GwTime now = GwTime_Now();
    GwRecord removal = {"i-2", nullptr, 0, 2, nullptr};

    GwInstances_DeferRemovals(GwView_Instances(first.view), now + GW_SECOND,
                              now + 2500 * GW_MILLISECOND);
    ApplyRecord(&first, &removal);
    ASSERT_TRUE(Has(first));
    GwPeers_BroadcastUrgentHeartbeat(first.peers);
    ASSERT_TRUE(f.Until([&] { return HasNewEnd(agent); }));
    EXPECT_TRUE(Has(agent));
    GwPeers_BroadcastUrgentHeartbeat(agent.peers);
    ASSERT_TRUE(f.Until([&] { return HasNewEnd(second); }));
    EXPECT_TRUE(Has(second));
    EXPECT_TRUE(
        f.Until([&] { return !Has(first) && !Has(agent) && !Has(second); }));
    EXPECT_GE(GwTime_Now() - now, 2500 * GW_MILLISECOND);
    EXPECT_LE(GwTime_Now() - now, 3500 * GW_MILLISECOND);
}
