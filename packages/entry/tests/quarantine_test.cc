// A request that ends each engine that runs it, through entries and agents.
#include "galenagw/fakes/world.h"

namespace {

const char kFatal[] = "ends its engine";

uint64_t
Crashes(const World &w)
{
    uint64_t n = 0;

    for (auto &a : w.agents)
        n += FakeEngine_Stats(a->engine)->crashes;
    return n;
}

void
AddEngines(World *w, int n)
{
    w->Publish(kTestConfig);
    for (int i = 0; i < n; i++) {
        FakeEngineOptions options = World::FastEngine();

        options.fatal = kFatal;
        w->AddEngine(options);
    }
}

std::shared_ptr<Call>
Ask(World *w, EntryNode *e, const char *key, const char *question)
{
    auto c = w->Chat(e, key, question, 5);

    EXPECT_TRUE(w->Until([&] { return c->done; }));
    return c;
}

} // namespace

// What callers see: one engine after the other ends, and their own answers
// break. One caller's request ends each engine that runs it and comes again at
// any entry; an agent knows only its own engine, and an entry only that this
// attempt broke.
TEST(EntryQuarantine, ARequestThatEndsItsEnginesIsNotSentOnForEver)
{
    World w;

    AddEngines(&w, 12);
    EntryNode *entries[] = {w.AddEntry(), w.AddEntry()};
    ASSERT_TRUE(w.Ready());
    for (int i = 0; Crashes(w) < 3 && i < 6; i++)
        Ask(&w, entries[i % 2], "desk.secret", kFatal);
    ASSERT_GE(Crashes(w), 3u);
    // Reports of the agents tell that their engines ended.
    uint64_t seen = Crashes(w);
    GwTime until = GwTime_Now() + 500 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= until; });
    EntryNode *late = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (EntryNode *e : {entries[0], entries[1], late}) {
        auto c = Ask(&w, e, "desk.secret", kFatal);

        EXPECT_EQ(c->status, 503) << c->body;
        EXPECT_EQ(c->Code(), "quarantined");
        EXPECT_EQ(c->Ran(), "no");
        EXPECT_TRUE(Ask(&w, e, "desk.secret", "another")->Complete());
    }
    EXPECT_EQ(Crashes(w), seen);
}

// The same words of another account are another request. (Here they end
// engines as well, each of which is that account's own doing.)
TEST(EntryQuarantine, AnotherAccountsRequestIsAnother)
{
    World w;

    AddEngines(&w, 12);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (int i = 0; i < 4; i++)
        Ask(&w, e, "desk.secret", kFatal);
    GwTime until = GwTime_Now() + 500 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= until; });
    EXPECT_EQ(Ask(&w, e, "desk.secret", kFatal)->Code(), "quarantined");
    EXPECT_NE(Ask(&w, e, "other.secret", kFatal)->Code(), "quarantined");
}

// Engines break answers off and live on.
TEST(EntryQuarantine, BrokenAnswersAreNoEnds)
{
    World w;

    AddEngines(&w, 3);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    for (auto &a : w.agents) {
        FakeEngine_Options(a->engine)->break_after = 0;
        FakeEngine_Options(a->engine)->break_count = 100;
    }
    for (int i = 0; i < 6; i++)
        EXPECT_NE(Ask(&w, e, "desk.secret", "sound")->Code(), "quarantined");
}

// A booking ends each service that runs it, which tells no reports: its agent
// finds that nothing listens there any more.
TEST(EntryQuarantine, ABookingThatEndsItsServicesIsNotSentOnForEver)
{
    World w;
    FakeServiceOptions options = {};

    w.Publish(kTestConfig);
    options.hang = 1000;
    for (int i = 0; i < 8; i++)
        w.AddService(options);
    EntryNode *e = w.AddEntry();
    ASSERT_TRUE(w.Ready());
    int killed = 0;
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
        killed++;
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_EQ(c->Ran(), "unknown") << c->body;
    }
    GwTime until = GwTime_Now() + 300 * GW_MILLISECOND;
    w.Until([&] { return GwTime_Now() >= until; });
    auto c = w.Book(e, "fatal");
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->Code(), "quarantined") << c->body;
    EXPECT_EQ(c->Ran(), "no");
    EXPECT_EQ(killed, 3);
}
