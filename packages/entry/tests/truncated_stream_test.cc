// Event streams of services that were broken off, as their callers see them.
#include "galenagw/fakes/fake_httpd.h"
#include "galenagw/fakes/world.h"

// A service breaks its event stream off. It has no end marker that the caller
// could miss; guards against ending the answer with the final chunk.
TEST(TruncatedServiceStream, IsNotSentAsComplete)
{
    static const char head[] = "HTTP/1.1 200 OK\r\n"
                               "Content-Type: text/event-stream\r\n\r\n";
    const struct {
        const char *name;
        std::string body;
        GwHttpOutcome outcome;
    } cases[] = {
        {"whole", "data: 1\n\n", GW_HTTP_COMPLETE},
        {"inside an event", "data: 1\n\ndata: 2", GW_HTTP_BROKEN},
    };

    for (auto &c : cases) {
        World w;
        w.Publish(kTestConfig);
        AgentNode *a = w.AddService({});
        EntryNode *e = w.AddEntry();
        std::string answer = head + c.body;
        FakeHttpdOps ops = {[](void *u, FakeExchange *x) {
                                auto *text = static_cast<std::string *>(u);

                                FakeExchange_Write(x, text->data(),
                                                   text->size());
                                FakeExchange_Close(x, false);
                            },
                            nullptr};
        GwAddress address = {"127.0.0.1", FakeService_Port(a->service)};

        ASSERT_TRUE(w.Ready());
        w.KillService(a);
        FakeHttpd *httpd =
            FakeHttpd_New(w.loop, &address, &ops, &answer, nullptr);
        ASSERT_NE(httpd, nullptr);
        auto call = w.Book(e, "t");
        EXPECT_TRUE(w.Until([&] { return call->done; })) << c.name;
        EXPECT_EQ(call->outcome, c.outcome) << c.name << ": " << call->body;
        EXPECT_EQ(call->status, 200) << c.name;
        FakeHttpd_Delete(httpd);
    }
}

namespace {

const struct {
    const char *name, *line_end;
    bool has_bom;
} kEngineStreams[] = {
    {"LF", "\n", false},
    {"CRLF", "\r\n", false},
    {"CR", "\r", false},
    {"LF, with a byte order mark", "\n", true},
    {"CRLF, with a byte order mark", "\r\n", true},
};

FakeEngineOptions
EngineWith(const char *line_end, bool has_bom)
{
    FakeEngineOptions o = World::FastEngine();

    o.line_end = line_end;
    o.has_bom = has_bom;
    return o;
}

} // namespace

// An engine ends its lines with any of the line ends of event streams; guards
// against taking its complete stream for a truncated one, and against losing
// its token counts.
TEST(EngineStream, IsCompleteWithAnyLineEnd)
{
    for (auto &s : kEngineStreams) {
        World w;
        w.Publish(kTestConfig);
        w.AddEngine(EngineWith(s.line_end, s.has_bom));
        EntryNode *e = w.AddEntry();
        ASSERT_TRUE(w.Ready());
        auto c = w.Chat(e, "desk.secret", "steam?", 20);

        EXPECT_TRUE(w.Until([&] { return c->done; })) << s.name;
        EXPECT_TRUE(c->Complete()) << s.name << ": " << c->body;
        EXPECT_EQ(c->Text(), World::Expect("steam?", 20)) << s.name;
        EXPECT_EQ(c->body.find("error"), std::string::npos) << c->body;
        EXPECT_GT(GwEntry_Counters(e->entry)->plain[GW_COUNTER_PROMPT_TOKENS],
                  0u)
            << s.name;
    }
}

// An engine breaks its stream off and another one continues it; guards against
// repeating text that the caller has, because the entry knows only one line
// end, and against a byte order mark inside the caller's stream, which hides
// the field behind it.
TEST(EngineStream, IsContinuedWithAnyLineEnd)
{
    for (auto &s : kEngineStreams) {
        World w;
        w.Publish(kTestConfig);
        for (int i = 0; i < 2; i++)
            w.AddEngine(EngineWith(s.line_end, s.has_bom));
        EntryNode *e = w.AddEntry();
        ASSERT_TRUE(w.Ready());
        auto c = w.Chat(e, "desk.secret", "steam?", 100);
        ASSERT_TRUE(w.Until([&] { return c->Text().size() > 100; })) << s.name;
        for (auto &a : w.agents) {
            if (FakeEngine_Stats(a->engine)->requests > 0)
                FakeEngine_Options(a->engine)->break_count = 1;
        }
        EXPECT_TRUE(w.Until([&] { return c->done; })) << s.name;
        EXPECT_TRUE(c->Complete()) << s.name << ": " << c->body;
        EXPECT_EQ(c->Text(), World::Expect("steam?", 100)) << s.name;
        EXPECT_EQ(c->body.find("\xEF\xBB\xBF", 1), std::string::npos)
            << s.name;
        EXPECT_EQ(GwEntry_Counters(e->entry)->retries[GW_RETRY_CONTINUE], 1u)
            << s.name;
    }
}
