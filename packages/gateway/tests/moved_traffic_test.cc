// The balancer hands most new connections to one gateway for some seconds:
// what is shared out equally over gateways must not make it refuse callers.
#include "fleet_with_agent.h"

/* Time after the traffic has moved from which requests must be served at
 * kMinServedShare of the rate before. */
static const GwTime kContactTime = 3 * GW_SECOND;
static const double kMinServedShare = 0.75;
/* Requests per second of all callers: half of the limits below. */
static const int kRate = 20;

struct MovedTraffic {
    explicit MovedTraffic(const std::string &account_limit = "")
    {
        f.acme_fields = account_limit;
        f.Configure(2);
        endpoint = f.AddEndpoint("p-1", "plain");
        for (int i = 0; i < 4; i++)
            f.AddGateway(("gateway-" + std::to_string(i)).c_str());
    }
    // Sends requests at kRate to the first @p n_gateways in turn. @return the
    // share with status 200
    double
    ServedShare(size_t n_gateways, GwTime time)
    {
        const int n = (int)(kRate * time / GW_SECOND);
        std::vector<std::shared_ptr<Caller>> callers;
        int served = 0;

        for (int i = 0; i < n; i++) {
            GwEngineState state = {};

            // From which gateways learn how many of them there are.
            state.instance = "i-1";
            state.weights = 1;
            GwPeers_BroadcastEngineState(a.agent, &state);
            callers.push_back(
                f.Call(f.gateways[(size_t)i % n_gateways],
                       Fleet::Request("POST", "/plain/1", std::to_string(i))));
            f.Wait(GW_SECOND / kRate);
        }
        for (auto &c : callers)
            served += c->Status() == 200;
        return (double)served / n;
    }

    FleetWithAgent a;
    Fleet &f = a.f;
    Endpoint *endpoint = nullptr;
};

// Guards against a limited endpoint that is refused to callers although it is
// half idle: each gateway uses an equal part of its limit, whatever it needs.
TEST(GatewayMovedTraffic, OneGatewayMayUseTheLimitOfAnEndpoint)
{
    MovedTraffic t;

    ASSERT_TRUE(t.f.Ready());
    t.endpoint->serve = [](Endpoint *e, FakeExchange *x) {
        Endpoint::Answer(x, 200, e->id, "Server-Limit: 40\r\n");
    };
    t.ServedShare(4, GW_SECOND);
    double before = t.ServedShare(4, 2 * GW_SECOND);
    EXPECT_GE(before, 0.9);
    t.ServedShare(1, kContactTime);
    EXPECT_GE(t.ServedShare(1, 2 * GW_SECOND), kMinServedShare * before);
}

// Guards against the same for the limit of an account.
TEST(GatewayMovedTraffic, OneGatewayMayUseTheLimitOfAnAccount)
{
    MovedTraffic t(R"(,"rate_per_s":40,"burst":40)");

    ASSERT_TRUE(t.f.Ready());
    t.ServedShare(4, GW_SECOND);
    double before = t.ServedShare(4, 2 * GW_SECOND);
    EXPECT_GE(before, 0.9);
    t.ServedShare(1, kContactTime);
    EXPECT_GE(t.ServedShare(1, 2 * GW_SECOND), kMinServedShare * before);
}
