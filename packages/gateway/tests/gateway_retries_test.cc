// The retry budget of gateways and agents on real sockets.
#include "fleet_with_agent.h"

namespace {

// Sends @p n requests one after the other, and waits for their answers.
// @return number of answers with status 200
int
SendRequests(Fleet *f, GwGateway *g, const char *path, int n)
{
    int n_answered = 0;

    for (int i = 0; i < n; i++) {
        auto c = f->Call(g, Fleet::Request("POST", path, "x"));

        EXPECT_TRUE(f->Until([&] { return c->Has(1) || c->closed; }));
        n_answered += c->Status() == 200;
    }
    return n_answered;
}

void
AnswerError(Endpoint *, FakeExchange *x)
{
    Endpoint::Answer(x, 500, "broken");
}

size_t
CountArrivals(const Fleet &f)
{
    size_t n = 0;

    for (auto &e : f.endpoints)
        n += e->seen.size();
    return n;
}

// A fleet in which no retry is allowed by the ratio, with an agent that has
// counted for a window.
struct FleetWithSlack {
    explicit FleetWithSlack(unsigned slack_size)
        : bound{0, slack_size, GW_SECOND},
          slack(GwRetrySlack_New(&bound, GwTime_Now()))
    {
        fleet.f.retry_bound = bound;
        fleet.retry_slack = slack;
        fleet.StopAgent();
        fleet.StartAgent();
        fleet.f.AddEndpoint("i-2", "model");
    }
    ~FleetWithSlack()
    {
        fleet.StopAgent();
        GwRetrySlack_Delete(slack);
    }
    void
    WaitUntilAgentGrants()
    {
        fleet.f.Wait(GwRetrySlack_Window(&bound) + 500 * GW_MILLISECOND);
    }

    GwBudgetBound bound;
    GwRetrySlack *slack;
    FleetWithAgent fleet;
};

} // namespace

// An endpoint is gone and its port refuses connections. Guards against
// refusing the request for the budget, although its next attempt is the first
// arrival.
TEST(GatewayRetries, AnAttemptThatReachesNoEndpointUsesNoBudget)
{
    Fleet f;

    f.retry_bound = {0, 0, 10 * GW_SECOND};
    f.Configure(1);
    f.AddEndpoint("i-2", "plain");
    Endpoint *gone = f.AddEndpoint("i-1", "plain");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    FakeHttpd_Delete(g_steal_pointer(&gone->httpd));
    EXPECT_EQ(SendRequests(&f, g, "/plain/1", 20), 20);
}

TEST(GatewayRetries, NoRetryBeyondTheBudgetReachesAnEndpoint)
{
    Fleet f;

    f.retry_bound = {0, 0, 10 * GW_SECOND};
    f.Configure(1);
    for (const char *id : {"i-1", "i-2"})
        f.AddEndpoint(id, "plain")->serve = AnswerError;
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    SendRequests(&f, g, "/plain/1", 20);
    EXPECT_EQ(CountArrivals(f), 20u);
    EXPECT_EQ(GwGateway_Counters(g)->plain[GW_COUNTER_RETRIES_OVER_BUDGET],
              20u);
}

// Gateways are started anew while engines fail. Guards against a whole part of
// the slack for each of them.
TEST(GatewayRetries, ASuccessorSharesTheSlackOfItsPredecessor)
{
    const int n_requests = 20;
    FleetWithSlack s(20);
    Fleet &f = s.fleet.f;
    size_t retries;

    for (auto &e : f.endpoints)
        e->serve = AnswerError;
    f.AddGateway();
    ASSERT_TRUE(f.Ready());
    s.WaitUntilAgentGrants();
    for (int life = 0; life < 3; life++) {
        if (life > 0) {
            GwGateway_Delete(f.gateways.back());
            f.gateways.pop_back();
            f.AddGateway();
            ASSERT_TRUE(f.Ready());
        }
        // The first request makes the gateway ask for a lease.
        SendRequests(&f, f.gateways.back(), "/resume/1", 1);
        f.Wait(100 * GW_MILLISECOND);
        SendRequests(&f, f.gateways.back(), "/resume/1", n_requests - 1);
    }
    retries = CountArrivals(f) - 3 * n_requests;
    EXPECT_LE(retries, 20u);
    EXPECT_GE(retries, 5u) << "hardly any of the slack can be used";
}

// An agent was restarted. Guards against granting again what its predecessor
// has granted.
TEST(GatewayRetries, AnAgentThatHasJustStartedGrantsNothing)
{
    FleetWithSlack s(20);
    Fleet &f = s.fleet.f;

    for (auto &e : f.endpoints)
        e->serve = AnswerError;
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    SendRequests(&f, g, "/resume/1", 1);
    f.Wait(100 * GW_MILLISECOND);
    SendRequests(&f, g, "/resume/1", 10);
    EXPECT_EQ(CountArrivals(f), 11u);
    EXPECT_GT(GwGateway_Counters(g)->plain[GW_COUNTER_RETRY_LEASE_ASKS], 0u);
}

// A gateway leases retries and does not need them. Guards against counting
// them as used for a window, in which other gateways lack them.
TEST(GatewayRetries, UnusedLeasesAreGrantedToOtherGateways)
{
    const unsigned part = 18; // of the slack of 20
    FleetWithSlack s(20);
    Fleet &f = s.fleet.f;

    f.AddGateway("gateway-1");
    f.AddGateway("gateway-2");
    ASSERT_TRUE(f.Ready());
    s.WaitUntilAgentGrants();
    SendRequests(&f, f.gateways[0], "/resume/1", 1);
    f.Wait(1300 * GW_MILLISECOND);
    for (auto &e : f.endpoints)
        e->serve = AnswerError;
    for (int i = 0; i < 6; i++) {
        SendRequests(&f, f.gateways[1], "/resume/1", 9);
        f.Wait(110 * GW_MILLISECOND);
    }
    EXPECT_GT(s.fleet.counters.plain[GW_COUNTER_RETRIES_GRANTED], part);
}
