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
