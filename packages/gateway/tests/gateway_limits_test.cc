#include <map>

#include "agent_end.h"
#include "galenagw/fakes/fleet.h"
#include "galenagw/http/server.h"

// A fleet with a sidecar, which is the home of all its accounts.
struct LimitedFleet {
    LimitedFleet(const std::string &limit, int gateways,
                 bool with_sidecar = true)
    {
        SetLimit(limit, 1, 100000);
        engine = f.AddEndpoint("i-1", "model");
        plain = f.AddEndpoint("i-2", "plain");
        if (with_sidecar)
            AddSidecar();
        for (int i = 1; i <= gateways; i++)
            f.AddGateway(("gateway-" + std::to_string(i)).c_str());
        EXPECT_TRUE(f.Ready());
        // Buckets begin empty, and those that were asked are full soon.
        f.Wait(600 * GW_MILLISECOND);
        if (with_sidecar) {
            EXPECT_EQ(Ask(0), 200);
        }
        plain->seen.clear();
        SetLimit(limit, 2, 0.1);
        f.Wait(900 * GW_MILLISECOND);
    }
    // SLOW in @p limit stands for @p rate.
    void
    SetLimit(std::string limit, int version, double rate)
    {
        size_t at = limit.find("SLOW");

        if (at != std::string::npos)
            limit.replace(at, 4, std::to_string(rate));
        f.acme_limit = limit;
        f.Configure(version);
    }
    ~LimitedFleet()
    {
        GwSidecar_Delete(sidecar);
        GwDeployment_Clear(&deployment);
    }
    void
    AddSidecar()
    {
        GwSidecarOptions options = {};
        GwError err = {};

        deployment = f.Deployment("side-1");
        deployment.agent_port = f.agent_port = FreePort();
        deployment.peers = {"127.0.0.1", f.agent_port};
        deployment.endpoint = engine->address;
        options.deployment = &deployment;
        sidecar = GwSidecar_New(f.loop, &options, &err);
        ASSERT_NE(sidecar, nullptr) << err.message;
    }
    int
    FreePort()
    {
        GwHttpServerOps ops = {};
        GwHttpServerOptions options = {};
        GwError err = {};

        options.address = {"127.0.0.1", 0};
        options.ops = &ops;
        ops.on_call = [](void *, GwHttpCall *) {};
        GwHttpServer *s = GwHttpServer_New(f.loop, &options, &err);
        int port = GwHttpServer_Port(s);
        GwHttpServer_Delete(s);
        return port;
    }
    // The status of one request.
    int
    Ask(int gateway, const std::string &headers = "",
        const char *path = "/plain/1")
    {
        auto c = f.Call(f.gateways[(size_t)gateway],
                        Fleet::Request("POST", path, "x", headers));

        EXPECT_TRUE(f.Until([&] { return c->Has(1) || c->closed; }));
        retry_after = c->Header("Retry-After");
        return c->Status();
    }
    // How many of @p n requests have each status.
    std::map<int, int>
    AskAll(int n, const std::string &headers = "")
    {
        std::map<int, int> statuses;

        for (int i = 0; i < n; i++)
            statuses[Ask(i % (int)f.gateways.size(), headers)]++;
        return statuses;
    }

    Fleet f;
    Endpoint *engine = nullptr, *plain = nullptr;
    GwDeployment deployment = {};
    GwSidecar *sidecar = nullptr;
    std::string retry_after;
};

// One account sends many times its usual: nothing held it to its limit, and
// others' requests waited behind its own.
TEST(GatewayLimits, OneLimitOverAllGateways)
{
    LimitedFleet l(R"(,"rate_per_s":20,"burst":20)", 2);
    auto statuses = l.AskAll(60);

    EXPECT_EQ(statuses[200] + statuses[429], 60);
    EXPECT_GE(statuses[200], 19);
    EXPECT_LE(statuses[200], 32) << "and what the time has brought";
    EXPECT_EQ(l.plain->seen.size(), (size_t)statuses[200]);
    EXPECT_EQ(l.Ask(0, "X-Key: try\r\n"), 200) << "another account";
}

TEST(GatewayLimits, TokensAreCounted)
{
    const std::string tokens = R"(,"rate_per_s":SLOW,"burst":9000,)"
                               R"("unit":"token_count","plain_tokens":450)";
    const struct {
        const char *name;
        std::string limit, headers;
        int served;
    } cases[] = {
        {"what the request tells", tokens,
         "X-Model: m\r\nX-Token-Usage: 900,100\r\n", 9},
        {"what counts where it tells nothing", tokens, "", 20},
        {"a request is one, whatever it tells",
         R"(,"rate_per_s":SLOW,"burst":12)",
         "X-Model: m\r\nX-Token-Usage: 900,100\r\n", 12},
        {"no limit", R"(,"rate_per_s":0,"burst":0,"unit":"token_count")", "",
         30},
    };

    for (const auto &c : cases) {
        LimitedFleet l(c.limit, 1);

        SCOPED_TRACE(c.name);
        EXPECT_EQ(l.AskAll(30, c.headers)[200], c.served);
    }
}

// The time after which its account has room, and not sooner: a caller that
// keeps to it is served.
TEST(GatewayLimits, TheRefusedAreToldWhenToComeBack)
{
    LimitedFleet l(R"(,"rate_per_s":10,"burst":5)", 1);

    l.AskAll(5);
    ASSERT_EQ(l.Ask(0), 429);
    double seconds = std::stod(l.retry_after);
    EXPECT_GT(seconds, 0.05);
    EXPECT_LT(seconds, 0.4);
    l.f.Wait((GwTime)(seconds * (double)GW_SECOND));
    EXPECT_EQ(l.Ask(0), 200);
}

// Without a home nothing tells how much is left: that is no word on the limit,
// and it comes at once.
TEST(GatewayLimits, WithoutAHomeCallersAreToldSo)
{
    LimitedFleet l(R"(,"rate_per_s":20,"burst":20)", 1, false);
    GwTime since = GwTime_Now();

    EXPECT_EQ(l.Ask(0), 503);
    EXPECT_FALSE(l.retry_after.empty());
    EXPECT_LT(GwTime_Now() - since, 200 * GW_MILLISECOND);
    EXPECT_EQ(l.Ask(0, "X-Key: try\r\n"), 200) << "it has no limit";
}

// A home that stands still, or a build that knows no limits: callers are told
// in time, also those with little of it, and truly that nothing has run.
TEST(GatewayLimits, AHomeThatDoesNotAnswerIsNotWaitedFor)
{
    AgentEnd a;

    a.StopAgent();
    a.knows_limits = false;
    a.StartAgent();
    a.f.acme_limit = R"(,"rate_per_s":20,"burst":20)";
    a.f.Configure(2);
    a.f.AddEndpoint("i-2", "plain");
    a.f.AddGateway();
    ASSERT_TRUE(a.f.Ready());
    a.f.Wait(600 * GW_MILLISECOND);
    for (const char *header : {"", "X-Deadline-Ms: 40\r\n"}) {
        GwTime since = GwTime_Now();
        auto c = a.f.Call(a.f.gateways[0],
                          Fleet::Request("GET", "/plain/1", "", header));

        ASSERT_TRUE(a.f.Until([&] { return c->Has(1); }));
        EXPECT_EQ(c->Status(), 503) << header;
        EXPECT_FALSE(c->Header("Retry-After").empty());
        EXPECT_LT(GwTime_Now() - since, 200 * GW_MILLISECOND) << header;
        EXPECT_GT(GwTime_Now() - since, 20 * GW_MILLISECOND) << "it was asked";
        a.f.Wait(600 * GW_MILLISECOND);
    }
}

// What its endpoint turned away has used nothing.
TEST(GatewayLimits, WhatDidNotRunIsGivenBack)
{
    LimitedFleet l(R"(,"rate_per_s":SLOW,"burst":8)", 1);
    auto decline = [](Endpoint *, FakeExchange *x) { Endpoint::Decline(x); };

    l.plain->serve = decline;
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(l.Ask(0), 503);
        l.f.Wait(160 * GW_MILLISECOND); // it is passed over for a while
    }
    l.plain->serve = nullptr;
    EXPECT_EQ(l.AskAll(8)[200], 8);
}

// A request that two endpoints were sent counts once.
TEST(GatewayLimits, ARepeatCountsOnce)
{
    LimitedFleet l(R"(,"rate_per_s":SLOW,"burst":6)", 1);
    Endpoint *other = l.f.AddEndpoint("i-3", "plain");
    auto fail = [](Endpoint *, FakeExchange *x) {
        Endpoint::Answer(x, 500, "failed");
    };

    l.f.Wait(400 * GW_MILLISECOND);
    l.plain->serve = fail;
    EXPECT_EQ(l.AskAll(6)[429], 0);
    EXPECT_GT(l.plain->seen.size(), 0u);
    EXPECT_EQ(l.Ask(0), 429);
    EXPECT_EQ(l.plain->seen.size() + other->seen.size(),
              6 + l.plain->seen.size());
}

// A lower limit is in force as soon as the configuration is.
TEST(GatewayLimits, ALowerLimitBinds)
{
    LimitedFleet l(R"(,"rate_per_s":1000,"burst":1000)", 1);

    EXPECT_EQ(l.AskAll(50)[200], 50);
    l.f.acme_limit = R"(,"rate_per_s":0.1,"burst":4)";
    l.f.Configure(3);
    l.f.Wait(700 * GW_MILLISECOND);
    EXPECT_LE(l.AskAll(50)[200], 5);
    l.f.acme_limit = "";
    l.f.Configure(4);
    l.f.Wait(700 * GW_MILLISECOND);
    EXPECT_EQ(l.AskAll(50)[200], 50) << "and none is none again";
}
