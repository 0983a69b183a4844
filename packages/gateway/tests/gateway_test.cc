#include "galenagw/fakes/fleet.h"

extern "C" {
#include "event_splitter.h"
}

TEST(Events, AreSplitIntoCompleteEvents)
{
    const struct {
        const char *name;
        std::string in, out, tail, id;
        unsigned n_complete;
    } cases[] = {
        {"one", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "", "1", 1},
        {"with CR", "id:1\r\ndata: a\r\n\r\n", "id:1\r\ndata: a\r\n\r\n", "",
         "1", 1},
        {"two and a part", "id: 1\n\nid: 2\n\nid: 3\nda", "id: 1\n\nid: 2\n\n",
         "id: 3\nda", "2", 2},
        {"version first", "x-weight-versions: 2\nid: 9\ndata: a\n\n",
         "x-weight-versions: 2\nid: 9\ndata: a\n\n", "", "9", 1},
        {"CR alone", "id: 1\rdata: a\r\rid: 2\rd", "id: 1\rdata: a\r\r",
         "id: 2\rd", "1", 1},
        {"CRLF, without the last LF", "id:1\r\ndata: a\r\n\r", "",
         "id:1\r\ndata: a\r\n\r", "", 0},
        {"empty lines behind it", "id: 1\n\n\n\r\n", "id: 1\n\n\n\r\n", "",
         "1", 1},
        {"comment", ": ping\n\nid: 1\n\n", ": ping\n\nid: 1\n\n", "", "1", 1},
        {"byte order mark", "\xEF\xBB\xBFid: 1\n\nid: 2\nd",
         "\xEF\xBB\xBFid: 1\n\n", "id: 2\nd", "1", 1},
        {"byte order mark inside", "id: 1\n\n\xEF\xBB\xBFid: 2\n\n",
         "id: 1\n\n\xEF\xBB\xBFid: 2\n\n", "", "1", 2},
        {"byte order mark alone", "\xEF\xBB\xBF", "", "\xEF\xBB\xBF", "", 0},
        {"no complete event", "data: id: 5\n", "", "data: id: 5\n", "", 0},
    };

    for (auto &c : cases) {
        for (size_t piece : {c.in.size(), size_t(1)}) {
            GwEventSplitter s;
            GString *out = g_string_new(nullptr);

            GwEventSplitter_Init(&s);
            for (size_t at = 0; at < c.in.size(); at += piece)
                GwEventSplitter_Push(&s, c.in.data() + at,
                                     std::min(piece, c.in.size() - at), out);
            EXPECT_EQ(std::string(out->str, out->len), c.out) << c.name;
            EXPECT_EQ(std::string(s.tail->str, s.tail->len), c.tail) << c.name;
            EXPECT_STREQ(s.last_id, c.id.c_str()) << c.name;
            EXPECT_EQ(s.n_complete, c.n_complete) << c.name;
            g_string_free(out, TRUE);
            GwEventSplitter_Clear(&s);
        }
    }
}

TEST(Gateway, AnyInputGetsOneAnswer)
{
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    const std::string head = "POST /plain/1 HTTP/1.1\r\nHost: h\r\n"
                             "X-Key: key\r\nX-Request-Id: x\r\n";
    const struct {
        const char *name;
        std::string bytes;
        int status;
        bool reaches;
    } cases[] = {
        {"whole", Fleet::Request("GET", "/plain/1"), 200, true},
        {"body in chunks",
         head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200,
         true},
        {"two lengths",
         head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400,
         false},
        {"length with chunks",
         head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
         400, false},
        {"a blank in a header's name", head + "X-A : 1\r\n\r\n", 400, false},
        {"no HTTP", "hello\r\n\r\n", 400, false},
        {"head over the limit",
         head + "X-A: " + std::string(5000, 'a') + "\r\n\r\n", 431, false},
        {"length over the limit", head + "Content-Length: 70000\r\n\r\n", 413,
         false},
        {"chunks over the limit",
         head + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" +
             std::string(70000, 'a') + "\r\n0\r\n\r\n",
         413, false},
        {"truncated body", head + "Content-Length: 10\r\n\r\nabc", 408, false},
        {"truncated head", "GET /plain/1 HTTP/1.1\r\nHost", 408, false},
        {"no host", "GET /plain/1 HTTP/1.1\r\nX-Key: key\r\n\r\n", 400, false},
        {"unknown route", Fleet::Request("GET", "/other/1"), 404, false},
        {"unknown key",
         "GET /plain/1 HTTP/1.1\r\nHost: h\r\nX-Key: no\r\n\r\n", 401, false},
        {"no key", "GET /plain/1 HTTP/1.1\r\nHost: h\r\n\r\n", 401, false},
        {"no endpoint", Fleet::Request("GET", "/stream/1"), 503, false},
        {"no time left",
         Fleet::Request("GET", "/plain/1", "", "X-Deadline-Ms: 3\r\n"), 503,
         false},
        {"time without end",
         Fleet::Request("GET", "/plain/1", "",
                        "X-Deadline-Ms: 99999999999999999999\r\n"),
         200, true},
    };

    for (auto &c : cases) {
        size_t before = e->seen.size();
        auto caller = f.Call(g, c.bytes);

        EXPECT_TRUE(f.Until([&] { return caller->Has(1); })) << c.name;
        EXPECT_EQ(caller->Status(), c.status) << c.name;
        f.Wait(20 * GW_MILLISECOND);
        EXPECT_FALSE(caller->Has(2)) << c.name << caller->received;
        EXPECT_EQ(e->seen.size() - before, c.reaches ? 1u : 0u) << c.name;
        if (c.status == 503) {
            EXPECT_NE(caller->Header("Retry-After"), "") << c.name;
        }
    }
}

// Three requests in one packet, two of them with a body, must be answered in
// order on the same connection.
TEST(Gateway, PipelinedRequestsAreAnsweredInOrder)
{
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    e->serve = [](Endpoint *, FakeExchange *x) {
        Endpoint::Answer(x, 200, x->head->target);
    };
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto c = f.Call(g, Fleet::Request("POST", "/plain/1", "abc") +
                           Fleet::Request("GET", "/plain/2") +
                           Fleet::Request("POST", "/plain/3", "abc"));

    EXPECT_TRUE(f.Until([&] { return c->Has(3); })) << c->received;
    size_t one = c->received.find("/plain/1");
    size_t two = c->received.find("/plain/2");
    size_t three = c->received.find("/plain/3");
    EXPECT_TRUE(one < two && two < three && three != std::string::npos);
    EXPECT_EQ(e->bodies.at(0), "abc");
}

TEST(Gateway, ExpectContinueIsAnswered)
{
    Fleet f;
    f.Configure(1);
    f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto c = f.Call(g, "POST /plain/1 HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
                       "X-Request-Id: a\r\nExpect: 100-continue\r\n"
                       "Content-Length: 3\r\n\r\n");

    ASSERT_TRUE(f.Until([&] {
        return c->received.find("100 Continue") != std::string::npos;
    }));
    c->Send("abc");
    EXPECT_TRUE(f.Until([&] { return c->Has(1); })) << c->received;
}

TEST(Gateway, WithoutRoutesIsNotReadyAndSetsRetryAfter)
{
    Fleet f;
    GwGateway *g = f.AddGateway();
    Caller ready(f.loop, GwGateway_ReadinessPort(g));
    auto c = f.Call(g, Fleet::Request("GET", "/plain/1"));

    ready.Send("GET /galenagw/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(f.Until([&] { return c->Has(1) && ready.Has(1); }));
    EXPECT_EQ(c->Status(), 503);
    EXPECT_NE(c->Header("Retry-After"), "");
    EXPECT_EQ(ready.Status(), 503);
    f.Configure(1);
    ASSERT_TRUE(f.Ready());
    Caller again(f.loop, GwGateway_ReadinessPort(g));
    again.Send("GET /galenagw/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(f.Until([&] { return again.Has(1); }));
    EXPECT_EQ(again.Status(), 200);
}

TEST(Gateway, ForwardsRequestUnchangedExceptOwnHeaders)
{
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto c = f.Call(
        g, Fleet::Request("POST", "/plain/1?q=%20", "body",
                          "X-Deadline-Ms: 900\r\nX-Tenant-Id: forged\r\n"
                          "X-Custom: Kept As Is\r\n"));

    ASSERT_TRUE(f.Until([&] { return c->Has(1); }));
    const std::string &text = e->seen.at(0);
    EXPECT_EQ(text.rfind("POST /plain/1?q=%20\n", 0), 0u) << text;
    EXPECT_NE(text.find("X-Custom: Kept As Is\n"), std::string::npos);
    EXPECT_NE(text.find("X-Tenant-Id: acme\n"), std::string::npos);
    EXPECT_NE(text.find("X-Expect-Instance: i-1\n"), std::string::npos);
    EXPECT_EQ(text.find("forged"), std::string::npos);
    EXPECT_EQ(text.find("X-Key"), std::string::npos);
    EXPECT_EQ(e->bodies.at(0), "body");
    size_t at = text.find("X-Deadline-Ms: ");
    int left = atoi(text.c_str() + at + strlen("X-Deadline-Ms: "));
    EXPECT_LE(left, 900);
    EXPECT_GT(left, 700);
}

TEST(Gateway, ForwardsCompleteBodies)
{
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    const std::string signed_head = "X-Response-Signature: s\r\n";
    const struct {
        const char *name, *method;
        std::string answer;
        bool ends; // the endpoint closes the connection afterwards
        std::string body;
        int status;
    } cases[] = {
        {"length", "GET",
         "HTTP/1.1 200 OK\r\n" + signed_head + "Content-Length: 2\r\n\r\nab",
         false, "ab", 200},
        {"chunks", "GET",
         "HTTP/1.1 200 OK\r\n" + signed_head +
             "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         false, "ab", 200},
        {"until the connection ends", "GET",
         "HTTP/1.1 200 OK\r\n" + signed_head + "\r\nab", true, "ab", 200},
        {"HEAD", "HEAD",
         "HTTP/1.1 200 OK\r\n" + signed_head + "Content-Length: 2\r\n\r\n",
         false, "", 200},
        {"no content", "GET",
         "HTTP/1.1 204 No Content\r\n" + signed_head + "\r\n", false, "", 204},
        {"an error of its own", "GET",
         "HTTP/1.1 404 Not Found\r\n" + signed_head +
             "Content-Length: 2\r\n\r\nno",
         false, "no", 404},
    };

    for (auto &c : cases) {
        e->serve = [&c](Endpoint *, FakeExchange *x) {
            FakeExchange_Write(x, c.answer.data(), c.answer.size());
            if (c.ends)
                FakeExchange_Close(x, false);
        };
        auto caller = f.Call(g, Fleet::Request(c.method, "/once/1"));
        EXPECT_TRUE(f.Until([&] {
            return caller->received.find("\r\n\r\n") != std::string::npos &&
                   (c.body.empty() || caller->Has(1));
        })) << c.name;
        EXPECT_EQ(
            caller->received.find("HTTP/1.1 " + std::to_string(c.status)), 0u)
            << c.name << caller->received;
        EXPECT_NE(caller->received.find("X-Response-Signature: s"),
                  std::string::npos)
            << c.name;
        if (!c.body.empty()) {
            EXPECT_NE(caller->received.find(c.body), std::string::npos)
                << c.name;
        }
    }
}

// A caller stops reading a large answer. Guards against the gateway buffering
// the whole answer in memory: it must stop reading from the endpoint.
TEST(Gateway, SlowCallerPausesItsEndpoint)
{
    const size_t size = 64 * 1024 * 1024;
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    e->serve = [&](Endpoint *, FakeExchange *x) {
        std::string head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                           "Content-Length: " +
                           std::to_string(size) + "\r\n\r\n";
        std::string body(size, 'x');

        FakeExchange_Write(x, head.data(), head.size());
        FakeExchange_Write(x, body.data(), body.size());
    };
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto c = f.Call(g, Fleet::Request("GET", "/once/1"));

    ASSERT_TRUE(f.Until([&] { return !c->received.empty(); }));
    GwTcp_Pause(c->tcp, true);
    f.Wait(200 * GW_MILLISECOND);
    size_t taken = c->received.size();
    EXPECT_LT(taken, size / 2);
    GwTcp_Pause(c->tcp, false);
    EXPECT_TRUE(f.Until([&] { return c->received.size() > size; }))
        << c->received.size() << " after " << taken;
}

TEST(Gateway, UsesNewestVersionOfKeysAndRoutes)
{
    Fleet f;
    f.Configure(5);
    f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    const std::string late = Fleet::Request("GET", "/late/1");
    auto c = f.Call(g, late);

    EXPECT_TRUE(f.Until([&] { return c->Has(1); }));
    EXPECT_EQ(c->Status(), 404);
    f.Configure(7, ",{\"name\":\"late\",\"host\":\"h\",\"path_prefix\":"
                   "\"/late/\",\"service\":\"plain\",\"timeout_ms\":900}");
    f.Wait(100 * GW_MILLISECOND);
    auto added = f.Call(g, late);
    EXPECT_TRUE(f.Until([&] { return added->Has(1); }));
    EXPECT_EQ(added->Status(), 200);
    f.Configure(6); // an older version that is received late
    f.Wait(100 * GW_MILLISECOND);
    auto after = f.Call(g, late);
    EXPECT_TRUE(f.Until([&] { return after->Has(1); }));
    EXPECT_EQ(after->Status(), 200)
        << "the older version must not replace the newer one";
}
