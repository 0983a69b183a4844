// Quarantine of requests that terminate each endpoint that runs them, with
// entries and agents on real sockets. A request is quarantined after
// GW_QUARANTINE_TERMINATIONS (3) terminations. One request to an engine can
// terminate several, because the entry retries it at other engines; the tests
// with such requests have enough engines that some are left.
#include "galenagw/fakes/world.h"

namespace {

// An engine that has read this prompt terminates, like after a crash.
const char kTerminatingPrompt[] = "ends its engine";

// Terminations of all engines so far.
uint64_t
Crashes(const World &w)
{
    uint64_t n = 0;

    for (auto &a : w.agents)
        n += FakeEngine_Stats(a->engine)->crashes;
    return n;
}

// Requests that all agents have received so far.
uint64_t
Submitted(const World &w)
{
    uint64_t n = 0;

    for (auto &a : w.agents)
        n += GwAgent_Counters(a->agent)->plain[GW_COUNTER_REQUESTS];
    return n;
}

void
AddEngines(World *w, int n)
{
    w->Publish(kTestConfig);
    for (int i = 0; i < n; i++) {
        FakeEngineOptions options = World::FastEngine();

        options.fatal = kTerminatingPrompt;
        w->AddEngine(options);
    }
}

std::shared_ptr<Call>
SendChat(World *w, EntryNode *e, const char *key, const char *question)
{
    auto c = w->Chat(e, key, question, 5);

    EXPECT_TRUE(w->Until([&] { return c->done; }));
    return c;
}

} // namespace

// One caller's request terminates each engine that runs it, which also breaks
// the answers to other callers, and the caller retries at any entry. An agent
// sees only its own engine and an entry only its own attempts, so without
// quarantine updates, which agents send and entries forward, the request would
// reach all engines one after the other. An entry started afterwards receives
// them from the agents and must refuse the request, too.
TEST(EntryQuarantine, RequestThatTerminatesEnginesIsQuarantined)
{
    World w;

    AddEngines(&w, 12);
    EntryNode *entries[] = {w.AddEntry(), w.AddEntry()};
    ASSERT_TRUE(w.Ready());
    // Alternate between the entries, until both together have caused enough
    // terminations.
    for (int i = 0; Crashes(w) < 3 && i < 6; i++)
        SendChat(&w, entries[i % 2], "desk.secret", kTerminatingPrompt);
    ASSERT_GE(Crashes(w), 3u);
    // Give the agents time to report the terminations to the entries.
    uint64_t seen = Crashes(w);
    GwTime wait_end = GwTime_Now() + 500 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= wait_end; });
    EntryNode *new_entry = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (EntryNode *e : {entries[0], entries[1], new_entry}) {
        auto c = SendChat(&w, e, "desk.secret", kTerminatingPrompt);

        EXPECT_EQ(c->status, 503) << c->body;
        EXPECT_EQ(c->Code(), "quarantined");
        EXPECT_EQ(c->Ran(), "no");
        EXPECT_TRUE(SendChat(&w, e, "desk.secret", "another")->Complete());
    }
    EXPECT_EQ(Crashes(w), seen);
}

// Guards against a system message that terminates engines under questions of
// which no two are alike; other system messages of the account are served.
TEST(EntryQuarantine, MessageThatTerminatesEnginesIsQuarantined)
{
    static const char kFatalSystem[] = "ends its engine, too";
    World w;
    auto ask = [&](EntryNode *e, const char *system) {
        static int n = 0;
        std::string question = "question " + std::to_string(++n);
        auto c = w.Chat(e, "desk.secret", question.c_str(), 5, true, system);

        EXPECT_TRUE(w.Until([&] { return c->done; }));
        return c;
    };

    w.Publish(kTestConfig);
    for (int i = 0; i < 14; i++) {
        FakeEngineOptions options = World::FastEngine();

        options.fatal_system = kFatalSystem;
        w.AddEngine(options);
    }
    EntryNode *entries[] = {w.AddEntry(), w.AddEntry()};
    ASSERT_TRUE(w.Ready());
    // The first request terminates several engines by its retries, so another
    // one has to show that the message is the cause. Each time, the agents
    // need some time to report it.
    for (int i = 0; i < 4; i++) {
        EXPECT_TRUE(ask(entries[i % 2], "harmless")->Complete());
        ask(entries[i % 2], kFatalSystem);
        GwTime wait_end = GwTime_Now() + 500 * GW_MILLISECOND;
        w.Until([&] { return GwTime_Now() >= wait_end; });
    }
    uint64_t seen = Crashes(w);
    EXPECT_GE(seen, 3u);
    EXPECT_LE(seen, 8u);
    EntryNode *new_entry = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (EntryNode *e : {entries[0], entries[1], new_entry}) {
        uint64_t submitted = Submitted(w);
        auto c = ask(e, kFatalSystem);

        EXPECT_EQ(Submitted(w), submitted) << "the entry refuses it";

        EXPECT_EQ(c->status, 503) << c->body;
        EXPECT_EQ(c->Code(), "quarantined");
        EXPECT_EQ(c->Ran(), "no");
        EXPECT_TRUE(ask(e, "harmless")->Complete());
    }
    EXPECT_EQ(Crashes(w), seen);
}

// The same prompt of another account is a different request and is not
// refused. (It terminates engines as well; these terminations count against
// the other account's request only, which is not checked here.)
TEST(EntryQuarantine, QuarantineIsSeparateForEachAccount)
{
    World w;

    AddEngines(&w, 12);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    // Each call that is not refused causes at least one termination, so these
    // calls cause the three terminations needed.
    for (int i = 0; i < 4; i++)
        SendChat(&w, e, "desk.secret", kTerminatingPrompt);
    GwTime wait_end = GwTime_Now() + 500 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= wait_end; });
    EXPECT_EQ(SendChat(&w, e, "desk.secret", kTerminatingPrompt)->Code(),
              "quarantined");
    EXPECT_NE(SendChat(&w, e, "other.secret", kTerminatingPrompt)->Code(),
              "quarantined");
}

// Engines close the connection before the first token of an answer but do not
// terminate. Such requests must not be quarantined.
TEST(EntryQuarantine, BrokenAnswersAreNotTerminations)
{
    World w;

    AddEngines(&w, 3);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (auto &a : w.agents) {
        // After no token, for the next 100 answers.
        FakeEngine_Options(a->engine)->break_after = 0;
        FakeEngine_Options(a->engine)->break_count = 100;
    }
    // Twice as many calls as terminations would be needed for a quarantine.
    for (int i = 0; i < 6; i++)
        EXPECT_NE(SendChat(&w, e, "desk.secret", "sound")->Code(),
                  "quarantined");
}

// A plain service terminates each time it runs a certain booking, a call to a
// service that is not an engine. The test terminates the services itself.
// Plain services send no reports: the agent detects the termination because
// nothing listens on the port any more.
TEST(EntryQuarantine, BookingThatTerminatesServicesIsQuarantined)
{
    World w;
    FakeServiceOptions options = {};

    w.Publish(kTestConfig);
    // Calls run and are not answered, so that a service is terminated
    // meanwhile.
    options.hang = 1000;
    for (int i = 0; i < 8; i++)
        w.AddService(options);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    int n_killed = 0;
    for (int i = 0; i < 3; i++) {
        auto c = w.Book(e, "fatal");
        auto running = [&]() -> AgentNode * {
            for (auto &a : w.agents) {
                if (a->service != nullptr &&
                    FakeService_Runs(a->service, "fatal") > 0)
                    return a.get();
            }
            return nullptr;
        };

        ASSERT_TRUE(w.Until([&] { return running() != nullptr || c->done; }));
        ASSERT_NE(running(), nullptr) << c->body;
        w.KillService(running());
        n_killed++;
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_EQ(c->Ran(), "unknown") << c->body;
    }
    GwTime wait_end = GwTime_Now() + 300 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= wait_end; });
    auto c = w.Book(e, "fatal");
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Code(), "quarantined") << c->body;
    EXPECT_EQ(c->Ran(), "no");
    EXPECT_EQ(n_killed, 3);
}
