// Failures on real sockets: what callers see, and how often calls run.
#include <algorithm>
#include <cstring>

#include "galenagw/fakes/world.h"

namespace {

uint64_t
Retries(const EntryNode *e, GwRetry reason)
{
    return GwEntry_Counters(e->entry)->retries[reason];
}

} // namespace

// The caller sees one whole answer. Something between entry and agent loses
// track of the connection in mid-stream: no error comes, nothing moves. The
// entry misses the pongs, opens a new connection and resumes by id from the
// next chunk; the agent has kept what was not acknowledged.
TEST(Failure, SilentConnectionIsResumedFromTheNextChunk)
{
    World w;
    w.with_hops = true;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto c = w.Chat(e, "desk.secret", "steam?", 300);

    ASSERT_TRUE(w.Until([&] { return c->Text().size() > 100; }));
    FakeHop_Freeze(a->hop);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_TRUE(c->Complete());
    EXPECT_EQ(c->Text(), World::Expect("steam?", 300));
    EXPECT_GE(Retries(e, GW_RETRY_RESUME), 1u);
    EXPECT_EQ(FakeEngine_Stats(a->engine)->requests, 1u);
}

// The caller sees one booking. Its Submit is held up on a connection that
// went silent; the entry asks for the id on a new one, the agent has never
// seen it and fences it, so the entry submits again. When the old
// connection delivers after all, there must be no second run.
TEST(Failure, FencedSubmitThatArrivesLateDoesNotRun)
{
    // Request ids are random: a few different ones are tried.
    for (int warm = 1; warm <= 3; warm++) {
        World w;
        w.with_hops = true;
        w.Publish(kTestConfig);
        AgentNode *a = w.AddService({});
        AgentNode *b = w.AddServiceAgent(a->service);
        EntryNode *e = w.AddEntry();

        ASSERT_TRUE(w.Ready());
        for (int i = 0; i < warm; i++) {
            auto c = w.Book(e, "warm");
            ASSERT_TRUE(w.Until([&] { return c->done; }));
        }
        // Offers still come back; what the entry sends from now on does not
        // arrive, so it must have the offers first.
        auto c = w.Book(e, "ticket-1");
        const GwCounters *counters = GwEntry_Counters(e->entry);
        uint64_t attempts = counters->plain[GW_COUNTER_ATTEMPTS];
        ASSERT_TRUE(w.Until(
            [&] { return counters->plain[GW_COUNTER_ATTEMPTS] > attempts; }));
        FakeHop_FreezeForward(a->hop);
        FakeHop_FreezeForward(b->hop);
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_EQ(c->status, 200) << c->body;
        FakeHop_Thaw(a->hop);
        FakeHop_Thaw(b->hop);
        // The late submission has arrived, and was stopped.
        auto requests = [](AgentNode *n) {
            return GwAgent_Counters(n->agent)->plain[GW_COUNTER_REQUESTS];
        };
        EXPECT_TRUE(w.Until([&] {
            return requests(a) + requests(b) ==
                   static_cast<uint64_t>(warm) + 2;
        }));
        EXPECT_EQ(FakeService_Runs(a->service, "ticket-1"), 1);
        auto after = w.Book(e, "after");
        ASSERT_TRUE(w.Until([&] { return after->done; }));
        EXPECT_EQ(FakeService_Runs(a->service, "ticket-1"), 1);
    }
}

// The caller sees one whole stream. The engine breaks off in the middle;
// the entry has the text delivered so far and has the rest generated
// elsewhere, as a continuation of it.
TEST(Failure, BrokenStreamIsContinuedElsewhere)
{
    World w;
    w.Publish(kTestConfig);
    for (int i = 0; i < 2; i++)
        w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    // Equal offers go to whichever agent answers first: either engine may get
    // the call, and the first one that does breaks off once.
    int breaks = 0;
    for (auto &a : w.agents) {
        FakeEngine_Options(a->engine)->break_after = 10;
        FakeEngine_Options(a->engine)->break_count = 1;
    }
    auto broke = [&] {
        for (auto &a : w.agents)
            breaks +=
                breaks == 0 && FakeEngine_Options(a->engine)->break_count == 0;
        for (auto &a : w.agents) {
            if (breaks > 0)
                FakeEngine_Options(a->engine)->break_count = 0;
        }
    };
    for (int i = 0; i < 4; i++) {
        auto c = w.Chat(e, "desk.secret", "q", 40, true, "rules");
        ASSERT_TRUE(w.Until([&] {
            broke();
            return c->done;
        }));
        EXPECT_TRUE(c->Complete()) << c->body;
        EXPECT_EQ(c->Text(), World::Expect("q", 40));
        EXPECT_EQ(breaks, 1);
    }
    EXPECT_EQ(Retries(e, GW_RETRY_CONTINUE), 1u);
}

// The caller sees an error event and no end marker: all engines break off,
// so the answer cannot be completed, and must not look complete.
TEST(Failure, StreamThatCannotBeCompletedSaysSo)
{
    World w;
    w.Publish(kTestConfig);
    FakeEngineOptions o = World::FastEngine();
    o.break_after = 5;
    o.break_count = 100;
    w.AddEngine(o);
    EntryNode *e = w.AddEntry();
    auto c = w.Chat(e, "desk.secret", "q", 40);

    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->status, 200);
    EXPECT_FALSE(c->Complete());
    EXPECT_NE(c->body.find("endpoint_failed"), std::string::npos) << c->body;
}

// The caller sees a whole answer. The agent dies in mid-stream and its
// successor knows nothing of the request, nor can it tell whether it ran;
// a generation may run twice, so the rest is generated elsewhere.
TEST(Failure, KilledAgentInMidStream)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto c = w.Chat(e, "desk.secret", "q", 200);

    ASSERT_TRUE(w.Until([&] { return c->Text().size() > 100; }));
    w.AddEngine(World::FastEngine());
    w.StopAgent(a);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_TRUE(c->Complete()) << c->body;
    EXPECT_EQ(c->Text(), World::Expect("q", 200));
}

// The caller sees "outcome unknown". The agent dies while a call without a
// key runs; nobody can prove that it did not, so it is not tried again.
TEST(Failure, KilledAgentDuringACallWithoutKey)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({10 * GW_SECOND, 0, 0, 0});
    w.AddServiceAgent(a->service);
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto c = w.Book(e, "t");
    ASSERT_TRUE(
        w.Until([&] { return FakeService_Runs(a->service, "t") == 1; }));
    w.StopAgent(w.agents[0].get());
    w.StopAgent(w.agents[1].get());
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Code(), "outcome_unknown")
        << c->status << GwHttpOutcome_Names[c->outcome] << c->body;
    EXPECT_EQ(c->Ran(), "unknown");
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The caller sees "outcome unknown". The agent restarts while a call without
// a key runs; its new life is asked for the id and does not know it, which
// proves nothing of the former life: the call must not go elsewhere.
TEST(Failure, RestartedAgentsUnknownIsNoProof)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({10 * GW_SECOND, 0, 0, 0});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto c = w.Book(e, "t");
    ASSERT_TRUE(
        w.Until([&] { return FakeService_Runs(a->service, "t") == 1; }));
    w.StopAgent(a);
    w.StartAgent(a);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Code(), "outcome_unknown") << c->body;
    EXPECT_EQ(c->Ran(), "unknown");
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The caller sees "outcome unknown" on its repeat: the first answer was too
// large to be kept, and the call must not run again to make another.
TEST(Failure, RepeatOfACallWhoseAnswerWasNotKept)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({0, 0, 0, 100 * 1000});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto first = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return first->done; }));
    EXPECT_EQ(first->status, 200);
    auto again = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return again->done; }));
    EXPECT_EQ(again->Code(), "outcome_unknown") << again->body;
    EXPECT_EQ(again->Ran(), "unknown");
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The caller sees its booking once, also when it repeats the call with its
// key through another entry: the answer of the first run was lost between
// agent and caller, and the repeat is answered from the agent's memory.
TEST(Failure, RepeatWithKeyThroughAnotherEntryRunsOnce)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({20 * GW_MILLISECOND, 0, 0, 0});
    w.AddServiceAgent(a->service);
    w.AddServiceAgent(a->service);
    EntryNode *e1 = w.AddEntry();
    EntryNode *e2 = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto c1 = w.Book(e1, "t", "k1");
    ASSERT_TRUE(
        w.Until([&] { return FakeService_Runs(a->service, "t") == 1; }));
    w.Hangup(c1.get());
    auto c2 = w.Book(e2, "t", "k1");
    ASSERT_TRUE(w.Until([&] { return c2->done; }));
    EXPECT_EQ(c2->status, 200) << c2->body;
    auto c3 = w.Book(e1, "t", "k1");
    ASSERT_TRUE(w.Until([&] { return c3->done; }));
    EXPECT_EQ(c3->body, c2->body);
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
    // The same key for another call is a mistake of the caller's.
    auto other = w.Book(e1, "another", "k1");
    ASSERT_TRUE(w.Until([&] { return other->done; }));
    EXPECT_EQ(other->Code(), "key_mismatch");
    EXPECT_EQ(FakeService_Runs(a->service, "another"), 0);
}

// The caller sees a second booking only after its key's life is over. Until
// then, however often it repeats the call, the first answer comes back; and
// what the agent remembers of the run must outlive the claim.
TEST(Failure, KeyBindsForItsLifeAndThenNoMore)
{
    World w;
    std::string config = kTestConfig;
    const char plain[] = "idempotent_methods: [GET]";

    config.replace(config.find(plain), strlen(plain),
                   "idempotent_methods: [GET], key_life_s: 1");
    w.Publish(config.c_str());
    AgentNode *a = w.AddService({});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto first = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return first->done; }));
    GwTime start = GwTime_Now();
    ASSERT_TRUE(w.Until([&] {
        auto c = w.Book(e, "t", "k");

        w.Until([&] { return c->done; });
        EXPECT_EQ(c->status, 200) << c->body;
        return FakeService_Runs(a->service, "t") == 2;
    }));
    EXPECT_GE(GwTime_Now() - start, GW_SECOND / 2);
}

// The caller sees its booking. The append of the claim works, but its
// answer is lost; the agent finds its own record by reading back.
TEST(Failure, LostAppendAnswerIsReadBack)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    FakePlatform_Faults(w.platform)->lose_answers = 1;
    auto c = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->status, 200) << c->body;
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The caller sees its booking, once. The append takes effect only after
// the agent has appended it again: both copies name the same holder.
TEST(Failure, AppendThatWorksLateDoesNotRunTwice)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    FakePlatform_Faults(w.platform)->late_appends = 1;
    FakePlatform_Faults(w.platform)->late_by = 500 * GW_MILLISECOND;
    auto c = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->status, 200) << c->body;
    ASSERT_TRUE(w.Until([&] {
        return FakePlatform_Count(w.platform, "claims.booking") == 2;
    }));
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The caller sees "not run" and repeats later: while the log is down no
// claim can be recorded, so the call is refused, and truly did not run.
TEST(Failure, KeyedCallsAreRefusedWhileTheLogIsDown)
{
    for (FakeLogMode mode : {FAKE_LOG_DOWN, FAKE_LOG_HANG}) {
        World w;
        w.Publish(kTestConfig);
        AgentNode *a = w.AddService({});
        EntryNode *e = w.AddEntry();

        ASSERT_TRUE(w.Ready());
        FakePlatform_Faults(w.platform)->mode = mode;
        auto c = w.Book(e, "t", "k");
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_EQ(c->Code(), "log_unavailable") << c->body;
        EXPECT_EQ(c->Ran(), "no");
        EXPECT_EQ(FakeService_Runs(a->service, "t"), 0);
        FakePlatform_Faults(w.platform)->mode = FAKE_LOG_UP;
        std::shared_ptr<Call> again;
        ASSERT_TRUE(w.Until([&] {
            if (again == nullptr || (again->done && again->status != 200))
                again = w.Book(e, "t", "k");
            return again->done && again->status == 200;
        }));
        EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
    }
}

// The caller sees "claimed elsewhere, unknown". The agent died between
// claim and answer; its successor finds the claim of the former life and
// cannot know whether the call ran.
TEST(Failure, AgentRestartBetweenClaimAndAnswer)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({10 * GW_SECOND, 0, 0, 0});
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    auto c = w.Book(e, "t", "k");
    ASSERT_TRUE(
        w.Until([&] { return FakeService_Runs(a->service, "t") == 1; }));
    w.StopAgent(a);
    w.StartAgent(a);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Ran(), "unknown") << c->body;
    auto again = w.Book(e, "t", "k");
    ASSERT_TRUE(w.Until([&] { return again->done; }));
    EXPECT_EQ(again->Ran(), "unknown") << again->body;
    EXPECT_EQ(FakeService_Runs(a->service, "t"), 1);
}

// The callers see whole answers only. An entry and an agent are told to
// stop under load; both finish what they have, new work goes elsewhere.
TEST(Failure, StoppingCutsNoRequest)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    w.AddEngine(World::FastEngine());
    EntryNode *e1 = w.AddEntry();
    EntryNode *e2 = w.AddEntry();
    std::vector<std::shared_ptr<Call>> calls;

    ASSERT_TRUE(w.Ready());
    for (int i = 0; i < 6; i++)
        calls.push_back(w.Chat(i % 2 ? e1 : e2, "desk.secret",
                               std::to_string(i).c_str(), 100));
    // All are at an engine: what comes to this one later is new work.
    ASSERT_TRUE(w.Until([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](auto &c) { return c->Text().size() > 20; });
    }));
    EXPECT_TRUE(std::any_of(calls.begin(), calls.end(),
                            [](auto &c) { return !c->done; }));
    GwAgent_Drain(a->agent);
    GwEntry_Drain(e1->entry);
    GwEntry_Drain(e1->entry);
    uint64_t before = FakeEngine_Stats(a->engine)->requests;
    for (int i = 6; i < 12; i++)
        calls.push_back(
            w.Chat(e2, "desk.secret", std::to_string(i).c_str(), 10));
    ASSERT_TRUE(w.Until([&] { return a->drained && e1->drained; }));
    for (size_t i = 0; i < calls.size(); i++) {
        ASSERT_TRUE(w.Until([&] { return calls[i]->done; }));
        EXPECT_TRUE(calls[i]->Complete()) << i << calls[i]->body;
    }
    EXPECT_EQ(FakeEngine_Stats(a->engine)->requests, before);
}

// The caller sees its answer from another endpoint. The instance list is
// frozen and goes on showing a drained agent as live; what the agent itself
// announced is fresher, and lasts until another life of it says hello.
TEST(Failure, FrozenListDoesNotBringBackALeavingEndpoint)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    AgentNode *b = w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();

    ASSERT_TRUE(w.Ready());
    FakePlatform_Faults(w.platform)->list_frozen = true;
    GwAgent_Drain(a->agent);
    uint64_t before = FakeEngine_Stats(a->engine)->requests;
    for (int i = 0; i < 10; i++) {
        auto c =
            w.Chat(e, "desk.secret", "q", 2, true, std::to_string(i).c_str());
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_TRUE(c->Complete()) << c->body;
    }
    EXPECT_EQ(FakeEngine_Stats(a->engine)->requests, before);
    EXPECT_EQ(FakeEngine_Stats(b->engine)->requests, 10u);
}

// The caller sees a refusal at once, with a time to come back: its deadline
// cannot be met behind what runs already, and "not run" is true.
TEST(Failure, DeadlineThatCannotBeMetIsRefusedAtOnce)
{
    World w;
    w.Publish(kTestConfig);
    FakeEngineOptions o = World::FastEngine();
    o.prefill_us_per_token = 2000;
    AgentNode *a = w.AddEngine(o);
    EntryNode *e = w.AddEntry();
    std::string rules(1600, 'r');

    ASSERT_TRUE(w.Ready());
    auto first = w.Chat(e, "desk.secret", "q", 1, true, rules.c_str());
    ASSERT_TRUE(w.Until([&] { return first->done; }));
    uint64_t before = FakeEngine_Stats(a->engine)->requests;
    // 400 tokens of another account: 800 ms against a deadline of 150.
    auto c = w.Chat(e, "hurry.secret", "q", 1, true, rules.c_str());
    GwTime start = GwTime_Now();
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Code(), "deadline") << c->body;
    EXPECT_EQ(c->Ran(), "no");
    EXPECT_LT(GwTime_Now() - start, 120 * GW_MILLISECOND);
    EXPECT_EQ(FakeEngine_Stats(a->engine)->requests, before);
}

// The callers see no refusal. All entries restart together while the log
// is down; they take the configuration from the agents and serve at once.
TEST(Failure, RestartWithTheLogDownServesAtOnce)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    w.AddEngine(World::FastEngine());
    w.AddEntry();

    ASSERT_TRUE(w.Ready());
    FakePlatform_Faults(w.platform)->mode = FAKE_LOG_DOWN;
    w.StopEntry(w.entries[0].get());
    w.entries.clear();
    for (int i = 0; i < 3; i++) {
        EntryNode *e = w.AddEntry();
        auto c = w.Chat(e, "desk.secret", "q", 5);

        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_TRUE(c->Complete()) << c->body;
        EXPECT_EQ(Retries(e, GW_RETRY_DECLINED), 0u);
    }
}

// The caller sees its answer. An agent that is behind on the log hears of
// the newer revision from an entry, and takes it over the session.
TEST(Failure, NewRevisionReachesASiteWhoseLogIsSlow)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    w.AddEntry();

    ASSERT_TRUE(w.Ready());
    w.Publish("{classes: {door: {urgency: 0}}, accounts: {}, models: {}}");
    const GwCounters *c = GwAgent_Counters(a->agent);
    ASSERT_TRUE(w.Until([&] {
        return c->plain[GW_COUNTER_CONFIG_CHANGES] +
                   c->plain[GW_COUNTER_CONFIG_FROM_PEER] >=
               2;
    }));
}

// The caller sees a fresh computation: the engine crashed and came back
// empty, so nothing may be counted on that its former life held.
TEST(Failure, CrashedEngineComesBackEmpty)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    std::string rules(4000, 'r');
    auto c = w.Chat(e, "desk.secret", "1", 2, true, rules.c_str());

    ASSERT_TRUE(w.Until([&] { return c->done; }));
    FakeEngine_Crash(a->engine);
    const GwCounters *n = GwAgent_Counters(a->agent);
    uint64_t resets = n->plain[GW_COUNTER_CACHE_RESETS];
    ASSERT_TRUE(
        w.Until([&] { return n->plain[GW_COUNTER_CACHE_RESETS] > resets; }));
    auto d = w.Chat(e, "desk.secret", "2", 2, true, rules.c_str());
    ASSERT_TRUE(w.Until([&] { return d->done; }));
    EXPECT_NE(d->body.find("\"cached_tokens\":0"), std::string::npos);
}

// The callers see whole answers while new weights roll over the engines,
// under leases, two loads at once; afterwards no old entry is reused.
TEST(Failure, NewWeightsRollOutWithoutACut)
{
    World w;
    w.Publish(kTestConfig);
    for (int i = 0; i < 3; i++)
        w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    std::vector<std::shared_ptr<Call>> calls;
    std::string next = kTestConfig;

    ASSERT_TRUE(w.Ready());
    next.replace(next.find("weights: v1"), 11, "weights: v2");
    w.Publish(next.c_str());
    auto loaded = [&] {
        if (calls.empty() || calls.back()->done)
            calls.push_back(w.Chat(e, "desk.secret", "q", 5));
        for (auto &a : w.agents) {
            if (FakeEngine_Stats(a->engine)->loads == 0)
                return false;
        }
        return true;
    };
    ASSERT_TRUE(w.Until(loaded));
    for (auto &c : calls) {
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_TRUE(c->Complete()) << c->body;
    }
    for (auto &a : w.agents)
        EXPECT_EQ(FakeEngine_Stats(a->engine)->loads, 1u);
}
