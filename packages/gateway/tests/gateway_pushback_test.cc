#include "galenagw/fakes/fleet.h"

extern "C" {
#include "gateway_private.h"
}

static void
Refuse(FakeExchange *x, const std::string &retry_after)
{
    std::string headers =
        "X-Request-Id: " + Endpoint::RequestId(x) +
        "\r\nX-Not-Executed: 1\r\nRetry-After: " + retry_after + "\r\n";

    FakeExchange_Answer(x, 503, headers.c_str(), "", 0);
}

// Requests one after the other for @p time. @return how many reached @p e
static size_t
ReachingFor(Fleet *f, GwGateway *g, Endpoint *e, const char *path, GwTime time)
{
    GwTime until = GwTime_Now() + time;
    size_t before = e->seen.size();

    while (GwTime_Now() < until) {
        auto c = f->Call(g, Fleet::Request("POST", path, "x"));

        EXPECT_TRUE(f->Until([&] { return c->Has(1) || c->closed; }));
        f->Wait(5 * GW_MILLISECOND);
    }
    return e->seen.size() - before;
}

// An endpoint turns a request away and says for how long it wants nothing from
// this gateway. Its callers' requests went on to reach it after 150 ms, and at
// once where it was the only one, which kept it from recovering.
TEST(GatewayPushback, AnEndpointGetsNothingForAsLongAsItSays)
{
    const struct {
        const char *name, *service, *path;
        bool alone;
    } cases[] = {
        {"one of two", "plain", "/plain/1", false},
        {"one of two, once", "plain", "/once/1", false},
        {"the only one", "plain", "/plain/1", true},
        {"an engine, the only one", "model", "/resume/1", true},
    };

    for (const auto &c : cases) {
        Fleet f;

        SCOPED_TRACE(c.name);
        f.Configure(1);
        Endpoint *e = f.AddEndpoint("i-1", c.service);
        if (!c.alone)
            f.AddEndpoint("i-2", c.service);
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        e->serve = [](Endpoint *, FakeExchange *x) { Refuse(x, "1.2"); };
        ASSERT_TRUE(f.Until([&] {
            ReachingFor(&f, g, e, c.path, GW_MILLISECOND);
            return e->seen.size() > 0;
        }));
        e->serve = nullptr;
        // What was on its way may still come in the first half second.
        EXPECT_EQ(ReachingFor(&f, g, e, c.path, GW_SECOND), 0u);
        f.Wait(250 * GW_MILLISECOND);
        EXPECT_GT(ReachingFor(&f, g, e, c.path, 300 * GW_MILLISECOND), 0u)
            << "its time is over";
    }
}

// Where all endpoints want nothing, callers are told at once when the first of
// them will take work again; sooner they would be refused again.
TEST(GatewayPushback, CallersAreToldWhenTheFirstOneTakesWorkAgain)
{
    Fleet f;

    f.Configure(1);
    for (const char *id : {"i-1", "i-2"}) {
        Endpoint *e = f.AddEndpoint(id, "plain");
        e->serve = [id](Endpoint *, FakeExchange *x) {
            Refuse(x, id == std::string("i-1") ? "20" : "8");
        };
    }
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto first = f.Call(g, Fleet::Request("POST", "/plain/1", "x"));
    ASSERT_TRUE(f.Until([&] { return first->Has(1); }));
    GwTime since = GwTime_Now();
    auto c = f.Call(g, Fleet::Request("POST", "/plain/1", "x"));
    ASSERT_TRUE(f.Until([&] { return c->Has(1); }));
    EXPECT_EQ(c->Status(), 503);
    EXPECT_LT(GwTime_Now() - since, 100 * GW_MILLISECOND);
    EXPECT_NEAR(std::stod(c->Header("Retry-After")), 8.0, 0.5);
}

// Bytes that are no such time keep nobody away for long: a sound endpoint must
// not go out of use by them.
TEST(GatewayPushback, NothingElsePassesForATime)
{
    for (const char *value :
         {"", "soon", "-5", "nan", "inf", "1e9", "0x50", "5;", "5 s", "5,5",
          "Wed, 21 Oct 2026 07:28:00 GMT", "99999999999999999999999"}) {
        Fleet f;

        f.Configure(1);
        Endpoint *e = f.AddEndpoint("i-1", "plain");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        e->serve = [value](Endpoint *, FakeExchange *x) { Refuse(x, value); };
        ReachingFor(&f, g, e, "/plain/1", GW_MILLISECOND);
        e->serve = nullptr;
        f.Wait(200 * GW_MILLISECOND);
        EXPECT_GT(ReachingFor(&f, g, e, "/plain/1", 50 * GW_MILLISECOND), 0u)
            << value;
    }
}

// It wants nothing from this gateway; another one it may serve.
TEST(GatewayPushback, IsOfOneGatewayAlone)
{
    Fleet f;

    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    GwGateway *one = f.AddGateway("gateway-1");
    GwGateway *two = f.AddGateway("gateway-2");
    ASSERT_TRUE(f.Ready());
    e->serve = [](Endpoint *, FakeExchange *x) { Refuse(x, "5"); };
    ReachingFor(&f, one, e, "/plain/1", GW_MILLISECOND);
    e->serve = nullptr;
    EXPECT_EQ(ReachingFor(&f, one, e, "/plain/1", 300 * GW_MILLISECOND), 0u);
    EXPECT_GT(ReachingFor(&f, two, e, "/plain/1", 300 * GW_MILLISECOND), 0u);
}
