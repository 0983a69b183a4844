// Requests from caller to endpoint on real sockets, without failures of
// galenagw's processes: valid calls and faulty callers.
#include "galenagw/fakes/world.h"

namespace {

struct BadCall {
    const char *name;
    const char *method;
    const char *path;
    const char *bearer;
    std::string body;
    int status;
    const char *code;
};

} // namespace

TEST(Path, ChatStreamedAndUnstreamed)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto streamed = w.Chat(e, "desk.secret", "open?", 5);
    auto unstreamed = w.Chat(e, "desk.secret", "closed?", 5, false);

    ASSERT_TRUE(w.Until([&] { return streamed->done && unstreamed->done; }));
    EXPECT_TRUE(streamed->Complete()) << streamed->body;
    EXPECT_EQ(streamed->Text(), World::Expect("open?", 5));
    EXPECT_EQ(unstreamed->status, 200);
    EXPECT_EQ(unstreamed->Text(), World::Expect("closed?", 5));
}

TEST(Path, CompletionsAndModels)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto c = w.Send(e->port, "POST", "/v1/completions", "desk.secret",
                    R"({"model":"chat","prompt":"Bale 7","max_tokens":2})");

    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_EQ(c->status, 200) << c->body;
    auto m = w.Send(e->port, "GET", "/v1/models", "desk.secret", "");
    ASSERT_TRUE(w.Until([&] { return m->done; }));
    EXPECT_NE(m->body.find("\"id\":\"chat\""), std::string::npos) << m->body;
}

TEST(Path, CallersErrorsGetTheirCodeAndRanNo)
{
    const std::string good =
        R"({"model":"chat","messages":[{"role":"user","content":"x"}]})";
    const BadCall cases[] = {
        {"malformed", "POST", "/v1/chat/completions", "desk.secret", "{\"a",
         400, "bad_request"},
        {"duplicate member", "POST", "/v1/chat/completions", "desk.secret",
         R"({"model":"a","model":"b","messages":[]})", 400, "bad_request"},
        {"no messages", "POST", "/v1/chat/completions", "desk.secret",
         R"({"model":"chat"})", 400, "bad_request"},
        {"role missing", "POST", "/v1/chat/completions", "desk.secret",
         R"({"model":"chat","messages":[{"content":"x"}]})", 400,
         "bad_request"},
        {"unknown model", "POST", "/v1/chat/completions", "desk.secret",
         R"({"model":"m","messages":[{"role":"user","content":"x"}]})", 404,
         "unknown_model"},
        {"no key", "POST", "/v1/chat/completions", nullptr, good, 401,
         "unauthorized"},
        {"wrong key", "POST", "/v1/chat/completions", "desk.wrong", good, 401,
         "unauthorized"},
        {"unknown account", "POST", "/v1/chat/completions", "x.secret", good,
         401, "unauthorized"},
        {"unknown path", "POST", "/v1/embeddings", "desk.secret", good, 404,
         "unknown_route"},
        {"unknown service", "POST", "/v1/services/taxi/go", "desk.secret",
         "{}", 404, "unknown_route"},
        {"not utf-8", "POST", "/v1/chat/completions", "desk.secret",
         "{\"model\":\"\xff\"}", 400, "bad_request"},
    };
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();

    for (const BadCall &b : cases) {
        auto c = w.Send(e->port, b.method, b.path, b.bearer, b.body);

        ASSERT_TRUE(w.Until([&] { return c->done; })) << b.name;
        EXPECT_EQ(c->status, b.status) << b.name << ": " << c->body;
        EXPECT_EQ(c->Code(), b.code) << b.name;
        EXPECT_EQ(c->Ran(), "no") << b.name;
    }
    EXPECT_EQ(FakeEngine_Stats(w.agents[0]->engine)->requests, 0u);
}

// Unstreamed answers below and above the size up to which an entry holds them
// until they are complete. A larger one is sent on as it arrives; the caller
// must get all of it.
TEST(Path, LargeAnswersAreDeliveredCompletely)
{
    World w;
    w.Publish(kTestConfig);
    for (int padding : {1000, 900 * 1000, 5 * 1000 * 1000})
        w.AddService({0, 0, 0, padding});
    EntryNode *e = w.AddEntry();
    size_t largest = 0;

    ASSERT_TRUE(w.Ready());
    for (int i = 0; i < 12; i++) {
        auto c = w.Book(e, std::to_string(i).c_str());

        ASSERT_TRUE(w.Until([&] { return c->done; }));
        EXPECT_EQ(c->outcome, GW_HTTP_COMPLETE);
        EXPECT_EQ(c->body.back(), '}');
        largest = std::max(largest, c->body.size());
    }
    EXPECT_GT(largest, 5000000u);
}

// Streams of large events, up to some that exceed the agent's window. Guards
// against an agent that waits for an acknowledgement before it reads on, while
// the entry waits for more chunks before it sends one.
TEST(Path, StreamsOfLargeEventsAreDeliveredCompletely)
{
    for (int padding : {1000, 9 * 1024, 20 * 1024, 70 * 1024, 300 * 1024}) {
        World w;
        FakeEngineOptions o = World::FastEngine();
        w.Publish(kTestConfig);
        o.event_padding = padding;
        w.AddEngine(o);
        EntryNode *e = w.AddEntry();

        ASSERT_TRUE(w.Ready());
        auto c = w.Chat(e, "desk.secret", "large?", 60);
        EXPECT_TRUE(w.Until([&] { return c->done; })) << padding;
        EXPECT_TRUE(c->Complete()) << padding;
        EXPECT_EQ(c->Text(), World::Expect("large?", 60)) << padding;
    }
}

// A header of 8 kB is accepted. One that exceeds the limit is refused, and
// other connections are not affected.
TEST(Path, OversizedHeaderAffectsOnlyItsOwnConnection)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    const std::string body =
        R"({"model":"chat","messages":[{"role":"user","content":"x"}]})";
    std::string long_header(8000, 'a'), oversized_header(20000, 'a');

    ASSERT_TRUE(w.Ready());
    auto ok = w.Send(e->port, "POST", "/v1/chat/completions", "desk.secret",
                     body, "x-long", long_header.c_str());
    ASSERT_TRUE(w.Until([&] { return ok->done; }));
    EXPECT_EQ(ok->status, 200) << ok->body;
    auto bad = w.Send(e->port, "POST", "/v1/chat/completions", "desk.secret",
                      body, "x-long", oversized_header.c_str());
    ASSERT_TRUE(w.Until([&] { return bad->done; }));
    EXPECT_NE(bad->status, 200);
    auto c = w.Chat(e, "desk.secret", "q", 2);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_TRUE(c->Complete());
}

TEST(Path, TooLargeBodyIsRefusedAndTheEntryKeepsServing)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto big = w.Send(e->port, "POST", "/v1/chat/completions", "desk.secret",
                      std::string(5 * 1024 * 1024, 'x'));

    ASSERT_TRUE(w.Until([&] { return big->done; }));
    EXPECT_NE(big->status, 200);
    EXPECT_EQ(GwEntry_Counters(e->entry)->refusals[GW_REFUSAL_TOO_LARGE], 1u);
    auto c = w.Chat(e, "desk.secret", "still there?", 2);
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_TRUE(c->Complete());
}

// The caller closes its connection during the answer. Without a cancel the
// engine would go on generating an unwanted answer while paying requests wait
// for its slot. The entry cancels at the agent, the agent at the engine.
TEST(Path, ClosedCallerConnectionCancelsTheGeneration)
{
    World w;
    w.Publish(kTestConfig);
    AgentNode *a = w.AddEngine(World::FastEngine());
    EntryNode *e = w.AddEntry();
    auto c = w.Chat(e, "desk.secret", "long", 5000);

    ASSERT_TRUE(w.Until([&] { return c->Text().size() > 20; }));
    w.Hangup(c.get());
    ASSERT_TRUE(
        w.Until([&] { return FakeEngine_Stats(a->engine)->cancelled == 1; }));
    EXPECT_EQ(GwEntry_OpenRequests(e->entry), 0);
}

TEST(Path, SharedPrefixIsFoundThroughAnotherEntry)
{
    World w;
    w.Publish(kTestConfig);
    for (int i = 0; i < 4; i++)
        w.AddEngine(World::FastEngine());
    EntryNode *e1 = w.AddEntry();
    EntryNode *e2 = w.AddEntry();
    std::string rules(4000, 'r');

    ASSERT_TRUE(w.Ready());
    auto a = w.Chat(e1, "desk.secret", "one", 2, true, rules.c_str());
    ASSERT_TRUE(w.Until([&] { return a->done; }));
    auto b = w.Chat(e2, "desk.secret", "two", 2, true, rules.c_str());
    ASSERT_TRUE(w.Until([&] { return b->done; }));
    EXPECT_NE(b->body.find("\"cached_tokens\":1000"), std::string::npos)
        << b->body;
    // Another account's identical prompt must not match.
    auto c = w.Chat(e2, "other.secret", "two", 2, true, rules.c_str());
    ASSERT_TRUE(w.Until([&] { return c->done; }));
    EXPECT_NE(c->body.find("\"cached_tokens\":0"), std::string::npos)
        << c->body;
}

TEST(Path, AccountLimitHoldsOverTwoEntries)
{
    World w;
    w.Publish(kTestConfig);
    w.AddEngine(World::FastEngine());
    EntryNode *e[] = {w.AddEntry(), w.AddEntry()};
    std::vector<std::shared_ptr<Call>> calls;
    int ok = 0;

    ASSERT_TRUE(w.Ready());
    for (int i = 0; i < 20; i++)
        calls.push_back(w.Chat(e[i % 2], "limited.secret", "x", 1));
    for (auto &c : calls) {
        ASSERT_TRUE(w.Until([&] { return c->done; }));
        ok += c->status == 200;
        if (c->status != 200) {
            EXPECT_EQ(c->Code(), "account_limit");
        }
    }
    // The limit is five requests per second with an initial burst of one.
    EXPECT_GE(ok, 1);
    EXPECT_LE(ok, 4);
}
