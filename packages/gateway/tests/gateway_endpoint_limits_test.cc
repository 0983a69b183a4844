#include "agent_end.h"

extern "C" {
#include "gateway_private.h"
}

// What an endpoint may get in some time, by the platform's rule: one and a
// half times what its limit allows, and five requests.
static size_t
Allowed(double rate, GwTime time)
{
    return (size_t)(1.5 * rate * (double)time / GW_SECOND) + 5;
}

static std::function<void(Endpoint *, FakeExchange *)>
Naming(const std::string &limit, int status = 200)
{
    return [=](Endpoint *e, FakeExchange *x) {
        std::string headers = "Server-Limit: " + limit + "\r\n";

        if (status == 503)
            headers += "X-Not-Executed: 1\r\n";
        Endpoint::Answer(x, status, e->id, headers);
    };
}

// One request at each gateway after the other for @p time.
// @return how many of them reached @p e
static size_t
ReachingFor(Fleet *f, Endpoint *e, const char *path, GwTime time)
{
    GwTime until = GwTime_Now() + time;
    size_t before = e->seen.size();

    for (size_t i = 0; GwTime_Now() < until; i++) {
        auto c = f->Call(f->gateways[i % f->gateways.size()],
                         Fleet::Request("POST", path, std::to_string(i)));

        EXPECT_TRUE(f->Until([&] { return c->Has(1) || c->closed; }));
        f->Wait(2 * GW_MILLISECOND);
    }
    return e->seen.size() - before;
}

// An endpoint in need is overloaded further when gateways do not keep to the
// limit that its answers name, all of them together.
TEST(GatewayEndpointLimits, AnEndpointGetsNoMoreThanItsLimitAllows)
{
    const struct {
        const char *name, *service, *path;
        int gateways, status;
        bool alone;
    } cases[] = {
        {"one gateway", "plain", "/plain/1", 1, 200, false},
        {"four gateways", "plain", "/plain/1", 4, 200, false},
        {"in errors", "plain", "/plain/1", 4, 500, false},
        {"in refusals", "plain", "/plain/1", 4, 503, false},
        {"the only one", "plain", "/plain/1", 4, 200, true},
        {"calls that must not be repeated", "plain", "/once/1", 4, 200, false},
        {"an engine", "model", "/resume/1", 4, 200, false},
    };

    for (const auto &c : cases) {
        const GwTime time = 1500 * GW_MILLISECOND;
        AgentEnd a;
        Fleet &f = a.f;

        SCOPED_TRACE(c.name);
        Endpoint *e = c.service == std::string("model")
                          ? f.endpoints[0].get()
                          : f.AddEndpoint("p-1", c.service);
        if (!c.alone)
            f.AddEndpoint("p-2", c.service);
        for (int i = 0; i < c.gateways; i++)
            f.AddGateway(("gateway-" + std::to_string(i)).c_str());
        ASSERT_TRUE(f.Ready());
        f.Wait(700 * GW_MILLISECOND);
        e->serve = Naming("4", c.status);
        ReachingFor(&f, e, c.path, 200 * GW_MILLISECOND);
        ASSERT_FALSE(e->seen.empty());
        size_t n = ReachingFor(&f, e, c.path, time);
        EXPECT_LE(n, Allowed(4, time));
        EXPECT_GE(n, 2u) << "it takes some all the same";
    }
}
