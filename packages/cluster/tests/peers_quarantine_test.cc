#include "peer_pair.h"

// Two gateways and one agent: quarantine updates of one gateway reach the
// other through the agent.
class PeersQuarantineTest : public PeerPair {
  protected:
    void
    SetUp() override
    {
        PeerPair::SetUp();
        SendEngineState(10, 1);
        ASSERT_TRUE(f.Until([&] { return IsConnected(entry_); }));
    }
    void
    TearDown() override
    {
        StopSecondEntry();
        PeerPair::TearDown();
    }
    // Starts the second gateway, with an empty quarantine.
    void
    StartSecondEntry()
    {
        static const GwViewOps ops = {};
        GwPeersOptions options = {};
        GwViewOptions view = {&ops, this, nullptr, &second_entry_.counters};
        GwError err = {};

        second_entry_.view = GwView_New(&view);
        second_entry_.quarantine = GwQuarantine_New(&quarantine_defaults_);
        PutInstanceRow(&second_entry_, 10, 1);
        options.name = "edge-2";
        options.failure_domain = "d";
        options.listen = {"127.0.0.1", 0};
        options.agent_port = GwPeers_Port(agent_.peers);
        options.view = second_entry_.view;
        options.counters = &second_entry_.counters;
        options.quarantine = second_entry_.quarantine;
        options.on_endpoint_terminated = [](void *user,
                                            const GwEndpointTermination *) {
            static_cast<PeersQuarantineTest *>(user)->terminations_received_++;
        };
        options.user = this;
        second_entry_.peers = GwPeers_New(f.loop, &options, &err);
        ASSERT_NE(second_entry_.peers, nullptr) << err.message;
    }
    void
    StopSecondEntry()
    {
        GwPeers_Delete(g_steal_pointer(&second_entry_.peers));
        GwView_Delete(g_steal_pointer(&second_entry_.view));
        GwQuarantine_Delete(g_steal_pointer(&second_entry_.quarantine));
    }
    // The first gateway detects that @p endpoint terminated during the
    // request.
    void
    Terminate(uint64_t endpoint)
    {
        GwQuarantineUpdate update = {};
        GwInFlight added;
        bool is_new;

        update.is_termination = true;
        update.termination.endpoint = endpoint;
        update.termination.group = endpoint;
        update.termination.group_size = 9;
        update.termination.at = GwTime_Now();
        update.termination.requests = &request_;
        update.termination.n_requests = 1;
        GwQuarantine_AddTermination(entry_.quarantine, &update.termination,
                                    GwTime_Now(), &added, &is_new);
        GwPeers_BroadcastQuarantine(entry_.peers, &update);
    }
    // Whether a state of the agent was received.
    static bool
    IsConnected(const Side &side)
    {
        return GwInstances_Find(GwView_Instances(side.view), "i-1")
                   ->agent_report.at != 0;
    }
    static bool
    IsQuarantined(const Side &side, const GwDigest &request)
    {
        return GwQuarantine_TimeLeft(side.quarantine, &request, GwTime_Now()) >
               0;
    }

    const GwDigest request_ = {1, 2};
    Side second_entry_;
    int terminations_received_ = 0;
};

// If the terminations under one request are seen by different gateways, none
// of them can detect the cause alone. Here one gateway sees three, and its
// updates reach the other through their agent.
TEST_F(PeersQuarantineTest, TerminationsReachOtherEntries)
{
    StartSecondEntry();
    ASSERT_TRUE(f.Until([&] { return IsConnected(second_entry_); }));
    for (uint64_t i = 1; i <= 3; i++)
        Terminate(i);
    EXPECT_TRUE(
        f.Until([&] { return IsQuarantined(second_entry_, request_); }));
    EXPECT_EQ(terminations_received_, 3);
    EXPECT_TRUE(IsQuarantined(agent_, request_));
    // Updates are not forwarded back and forth.
    uint64_t sent = agent_.counters.plain[GW_COUNTER_FRAMES_SENT];
    f.Wait(100 * GW_MILLISECOND);
    EXPECT_LE(agent_.counters.plain[GW_COUNTER_FRAMES_SENT] - sent, 4u);
}

// A gateway that starts later must not send the request again and lose another
// endpoint for each termination that it has not seen itself.
TEST_F(PeersQuarantineTest, EntryThatStartsReceivesAllTerminations)
{
    for (uint64_t i = 1; i <= 3; i++)
        Terminate(i);
    ASSERT_TRUE(f.Until([&] { return IsQuarantined(agent_, request_); }));
    StartSecondEntry();
    EXPECT_TRUE(
        f.Until([&] { return IsQuarantined(second_entry_, request_); }));
}

// An agent that starts receives the terminations from the gateways that
// connect to it.
TEST_F(PeersQuarantineTest, AgentThatStartsReceivesAllTerminations)
{
    GwPeersOptions agent = {};
    GwError err = {};
    int port = GwPeers_Port(agent_.peers);

    for (uint64_t i = 1; i <= 3; i++)
        Terminate(i);
    ASSERT_TRUE(f.Until([&] { return IsQuarantined(agent_, request_); }));
    GwPeers_Delete(agent_.peers);
    GwQuarantine_Delete(agent_.quarantine);
    agent_.quarantine = GwQuarantine_New(&quarantine_defaults_);
    agent.is_agent = true;
    agent.name = "side-1";
    agent.failure_domain = "d";
    agent.listen = {"127.0.0.1", port};
    agent.view = agent_.view;
    agent.counters = &agent_.counters;
    agent.quarantine = agent_.quarantine;
    agent_.peers = GwPeers_New(f.loop, &agent, &err);
    ASSERT_NE(agent_.peers, nullptr) << err.message;
    EXPECT_TRUE(f.Until([&] { return IsQuarantined(agent_, request_); }));
}

// A complete answer at any gateway releases the request at all of them.
TEST_F(PeersQuarantineTest, CompletionsReachOtherEntries)
{
    GwQuarantineUpdate update = {};

    StartSecondEntry();
    ASSERT_TRUE(f.Until([&] { return IsConnected(second_entry_); }));
    for (uint64_t i = 1; i <= 3; i++)
        Terminate(i);
    ASSERT_TRUE(
        f.Until([&] { return IsQuarantined(second_entry_, request_); }));
    update.completed = request_;
    update.completed_at = GwTime_Now();
    ASSERT_TRUE(GwQuarantine_AddCompletion(entry_.quarantine,
                                           GW_SUSPECT_REQUEST, &request_,
                                           update.completed_at, GwTime_Now()));
    GwPeers_BroadcastQuarantine(entry_.peers, &update);
    EXPECT_TRUE(
        f.Until([&] { return !IsQuarantined(second_entry_, request_); }));
}
