#include "peer_pair.h"

// Two gateways and one agent: each gateway receives the load of the other.
class EntryLoadTest : public PeerPair {
  protected:
    void
    SetUp() override
    {
        static const GwViewOps ops = {};
        GwPeersOptions options = {};
        GwError err = {};

        PeerPair::SetUp();
        GwViewOptions view = {&ops, this, nullptr, &second_entry_.counters};
        second_entry_.view = GwView_New(&view);
        PutInstanceRow(&second_entry_, 10, 1);
        options.name = "edge-2";
        options.failure_domain = "d";
        options.listen = {"127.0.0.1", 0};
        options.agent_port = GwPeers_Port(agent_.peers);
        options.view = second_entry_.view;
        options.counters = &second_entry_.counters;
        second_entry_.peers = GwPeers_New(f.loop, &options, &err);
        ASSERT_NE(second_entry_.peers, nullptr) << err.message;
        SendEngineState(10, 1);
        ASSERT_TRUE(f.Until([&] {
            return EntryInstance()->agent_report.at != 0 &&
                   SecondEntryInstance()->agent_report.at != 0;
        }));
    }
    void
    TearDown() override
    {
        GwPeers_Delete(second_entry_.peers);
        GwView_Delete(second_entry_.view);
        PeerPair::TearDown();
    }
    // The engine's instance in the second gateway.
    GwInstance *
    SecondEntryInstance()
    {
        return GwInstances_Find(GwView_Instances(second_entry_.view), "i-1");
    }
    void
    SendWaitingTokens(uint64_t tokens)
    {
        EntryInstance()->prefill_tokens = tokens;
        GwPeers_SendLoad(entry_.peers, EntryInstance());
    }

    Side second_entry_;
};

// A prompt waits at an engine that is otherwise idle. The other gateways must
// know that before they choose the engine too, not only with the agent's next
// report.
TEST_F(EntryLoadTest, FirstPromptIsReportedImmediately)
{
    GwTime since = GwTime_Now();

    SendWaitingTokens(12000);
    ASSERT_TRUE(f.Until([&] {
        return SecondEntryInstance()->agent_report.others_tokens == 12000;
    }));
    EXPECT_LT(GwTime_Now() - since, 150 * GW_MILLISECOND);
}

// Under high load each engine accepts a prompt every few dozen milliseconds,
// from gateways that all look for the engine with the least load. If the load
// is sent 50 ms late, they choose the same engines at the same time; in a
// fleet of 41 engines and 22 gateways, callers lost 0.14 of a day's worth by
// that.
TEST_F(EntryLoadTest, EveryPromptIsReportedImmediately)
{
    const int prompts = 10;
    GwTime since = GwTime_Now();

    for (int i = 1; i <= prompts; i++) {
        uint64_t tokens = 3000 * (uint64_t)i;

        SendWaitingTokens(tokens);
        ASSERT_TRUE(f.Until([&] {
            return SecondEntryInstance()->agent_report.others_tokens == tokens;
        }));
    }
    EXPECT_LT(GwTime_Now() - since, prompts * 25 * GW_MILLISECOND);
}

// A gateway refuses or accepts an urgent request by the urgent tokens that
// wait before it. If the others' urgent tokens were not reported, or reported
// late, all gateways would fill the same engine.
TEST_F(EntryLoadTest, UrgentPromptsAreReportedImmediately)
{
    GwTime since = GwTime_Now();
    const GwAgentReport *report = &SecondEntryInstance()->agent_report;

    EntryInstance()->urgent_tokens = 5000;
    SendWaitingTokens(12000);
    ASSERT_TRUE(f.Until([&] { return report->others_tokens == 12000; }));
    EXPECT_EQ(report->others_urgent, 5000u);
    // The same number of tokens waits, but more of them are urgent.
    EntryInstance()->urgent_tokens = 9000;
    SendWaitingTokens(12000);
    ASSERT_TRUE(f.Until([&] { return report->others_urgent == 9000; }));
    EXPECT_EQ(EntryInstance()->agent_report.others_urgent, 0u);
    EXPECT_LT(GwTime_Now() - since, 300 * GW_MILLISECOND);
}

// Each gateway sees few answers of an engine. The agent must combine their
// samples and report the speed to all gateways; after a restart of the engine,
// the earlier speed must not apply to the new incarnation.
TEST_F(EntryLoadTest, SpeedOfTheEngineIsLearnedFromAllGateways)
{
    const GwTime elapsed = 26 * GW_MILLISECOND; // half of the expected time
    bool is_second = false;

    for (int i = 0; i < 10; i++) {
        Side *side = is_second ? &second_entry_ : &entry_;
        GwInstance *instance =
            GwInstances_Find(GwView_Instances(side->view), "i-1");

        f.Wait(elapsed + 4 * GW_MILLISECOND);
        instance->sample_tokens = 2368;
        instance->sample_us = (uint64_t)elapsed;
        GwPeers_SendLoad(side->peers, instance);
        is_second = !is_second;
    }
    f.Wait(20 * GW_MILLISECOND);
    SendEngineState(10, 1);
    ASSERT_TRUE(f.Until([&] {
        return EntryInstance()->agent_report.prefill_tokens_per_ms > 0 &&
               SecondEntryInstance()->agent_report.prefill_tokens_per_ms > 0;
    }));
    // The state of the engine has running requests, which lengthen its steps.
    double expected_ms = 2368 / 66.0 + 16 + 100 * 0.4;
    EXPECT_NEAR(EntryInstance()->agent_report.prefill_tokens_per_ms,
                66 * expected_ms / 26, 0.1 * 66 * expected_ms / 26);
    EXPECT_NEAR((double)agent_.counters.gauges[GW_GAUGE_PREFILL_TOKENS_PER_S] /
                    1000,
                EntryInstance()->agent_report.prefill_tokens_per_ms, 0.01);
    SendEngineState(11, 1);
    EXPECT_EQ(agent_.counters.gauges[GW_GAUGE_PREFILL_TOKENS_PER_S], 0u);
    ASSERT_TRUE(f.Until([&] { return EntryInstance()->incarnation == 11; }));
    EXPECT_EQ(EntryInstance()->agent_report.prefill_tokens_per_ms, 0);
}
