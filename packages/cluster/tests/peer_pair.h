#ifndef GALENAGW_CLUSTER_TESTS_PEER_PAIR_H
#define GALENAGW_CLUSTER_TESTS_PEER_PAIR_H

#include <string>

#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/view.h"
#include "galenagw/fakes/fleet.h"

// A gateway and a sidecar that are connected to each other, each with its own
// view of the list.
class PeerPair : public testing::Test {
  protected:
    void
    SetUp() override
    {
        static const GwViewOps ops = {};
        GwAddress any = {"127.0.0.1", 0};
        GwPeersOptions agent = {}, entry = {};
        GwError err = {};

        agent.listen = any;
        for (Side *side : {&agent_, &entry_}) {
            GwViewOptions options = {&ops, this, nullptr, &side->counters};

            side->view = GwView_New(&options);
            side->quarantine = GwQuarantine_New(&quarantine_defaults_);
        }
        agent.is_agent = true;
        agent.name = "side-1";
        entry.name = "edge-1";
        agent.failure_domain = entry.failure_domain = "d";
        entry.listen = any;
        agent.view = agent_.view;
        entry.view = entry_.view;
        agent.quarantine = agent_.quarantine;
        entry.quarantine = entry_.quarantine;
        agent.counters = &agent_.counters;
        entry.counters = &entry_.counters;
        agent_.peers = GwPeers_New(f.loop, &agent, &err);
        ASSERT_NE(agent_.peers, nullptr) << err.message;
        entry.agent_port = GwPeers_Port(agent_.peers);
        PutInstanceRow(&entry_, 10, 1);
        entry_.peers = GwPeers_New(f.loop, &entry, &err);
        ASSERT_NE(entry_.peers, nullptr) << err.message;
    }
    void
    TearDown() override
    {
        for (Side *side : {&agent_, &entry_}) {
            GwPeers_Delete(side->peers);
            GwView_Delete(side->view);
            GwQuarantine_Delete(side->quarantine);
        }
    }
    struct Side {
        GwView *view = nullptr;
        GwPeers *peers = nullptr;
        GwQuarantine *quarantine = nullptr;
        GwCounters counters = {};
    };
    void
    PutInstanceRow(Side *side, int64_t born, int weights,
                   const char *state = "ready")
    {
        std::string text =
            R"({"service":"model","address":"127.0.0.1:9","zone":"d",)"
            R"("version":"v1","slots":64,"cold_remaining_ms":0,"seq":1,)"
            R"("models":[{"name":"m","version":)" +
            std::to_string(weights) + R"(}],"state":")" + state +
            R"(","born":)" + std::to_string(born) + "}";
        GwRecord record = {"i-1", text.data(), text.size(), ++offset_,
                           nullptr};

        GwRecords_Apply(GwView_Records(side->view), GW_LIST_INSTANCES,
                        &record);
    }
    void
    SendEngineState(int64_t incarnation, int64_t weights, bool down = false)
    {
        GwEngineState state = {};

        state.instance = "i-1";
        state.incarnation = incarnation;
        state.weights = weights;
        state.down = down;
        state.running = (unsigned)(10 * incarnation);
        GwPeers_BroadcastEngineState(agent_.peers, &state);
        f.Wait(50 * GW_MILLISECOND);
    }
    GwInstance *
    EntryInstance()
    {
        return GwInstances_Find(GwView_Instances(entry_.view), "i-1");
    }

    Fleet f;
    GwQuarantineOptions quarantine_defaults_ = {};
    Side agent_, entry_;
    int64_t offset_ = 0;
};

#endif
