// What callers get while a gateway drains.
#include <algorithm>

#include "galenagw/fakes/fleet.h"

// Ends the gateway as its process would, and waits until its callers have read
// what it had sent by then: under load they read late.
static void
EndGateway(Fleet *f, const std::vector<std::shared_ptr<Caller>> &calls)
{
    GwGateway_Delete(f->gateways.back());
    f->gateways.pop_back();
    f->Until([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](auto &c) { return c->closed; });
    });
}

// After SIGTERM, requests in progress must finish, requests on persistent
// connections must be served with Connection: close, late requests must be
// refused as not run, and then the process must stop.
TEST(GatewayDrain, TruncatesNoAnswer)
{
    Fleet f;
    FakeExchange *open = nullptr;
    f.timeout_ms = 9000;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "plain");
    e->serve = [&](Endpoint *, FakeExchange *x) {
        if (strcmp(x->head->target, "/once/long") == 0)
            open = x;
        else
            Endpoint::Answer(x, 200, "short");
    };
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto persistent = f.Call(g, Fleet::Request("GET", "/plain/1"));
    auto idle = f.Call(g, Fleet::Request("GET", "/plain/1"));
    auto slow = f.Call(g, Fleet::Request("GET", "/once/long"));
    ASSERT_TRUE(f.Until([&] {
        return persistent->Has(1) && idle->Has(1) && open != nullptr;
    }));
    GwTime drained = GwTime_Now();
    GwGateway_Drain(g);
    EXPECT_FALSE(GwGateway_IsReady(g));
    persistent->Send(Fleet::Request("GET", "/plain/2"));
    EXPECT_TRUE(f.Until([&] { return persistent->Has(2); }));
    EXPECT_NE(persistent->received.find("Connection: close"),
              std::string::npos);
    EXPECT_TRUE(f.Until([&] { return idle->closed; }));
    EXPECT_EQ(idle->end, GW_TCP_FINISHED);
    // The idle timeout or the drain closed the connection. From now on, a new
    // request might not finish before the process is killed.
    f.Wait(drained + 2800 * GW_MILLISECOND - GwTime_Now());
    auto late = f.Call(g, Fleet::Request("POST", "/once/1", "x"));
    EXPECT_TRUE(f.Until([&] { return late->Has(1); }));
    EXPECT_EQ(late->Status(), 503);
    EXPECT_EQ(f.stopped, 0) << "a request is still open";
    Endpoint::Answer(open, 200, "long");
    EXPECT_TRUE(f.Until([&] { return slow->Has(1) && f.stopped > 0; }));
    EXPECT_EQ(slow->Status(), 200);
}

// Endpoints are still at work when the grace time ends. Guards against
// requests that are cut off without an answer and without a log line: each
// must be answered before the gateway stops, and not as "not run".
TEST(GatewayDrain, RequestsAtWorkAtItsEndAreAnswered)
{
    const struct {
        const char *name, *method, *path;
        bool arrives_late; // after the begin of the drain
        bool has_begun;    // the answer, before the end of the drain
    } cases[] = {
        {"may not be repeated", "POST", "/once/1", false, false},
        {"may be repeated", "GET", "/plain/1", false, false},
        {"stream without an event", "POST", "/stream/1", false, false},
        {"stream that has begun", "POST", "/stream/3", false, true},
        {"may not be repeated, late", "POST", "/once/2", true, false},
        {"may be repeated, late", "GET", "/plain/2", true, false},
        {"stream without an event, late", "POST", "/stream/2", true, false},
        {"stream that has begun, late", "POST", "/stream/4", true, true},
    };
    Fleet f;
    f.timeout_ms = 20000;
    f.grace = 4 * GW_SECOND;
    f.Configure(1);
    Endpoint *plain = f.AddEndpoint("i-1", "plain");
    Endpoint *engine = f.AddEndpoint("i-2", "model");
    std::vector<std::shared_ptr<Caller>> calls;
    auto at_work = [&](Endpoint *, FakeExchange *x) {
        for (auto &c : cases)
            if (c.has_begun && strcmp(x->head->target, c.path) == 0)
                Endpoint::BeginStream(x);
    };
    plain->serve = engine->serve = at_work;
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());

    for (bool late : {false, true}) {
        for (auto &c : cases)
            if (c.arrives_late == late)
                calls.push_back(f.Call(g, Fleet::Request(c.method, c.path)));
        f.Wait(500 * GW_MILLISECOND);
        GwGateway_Drain(g);
    }
    ASSERT_TRUE(f.Until([&] { return f.stopped > 0; }));
    EndGateway(&f, calls);
    for (size_t i = 0; i < calls.size(); i++) {
        int status = calls[i]->Status();

        if (cases[i].has_begun) {
            EXPECT_EQ(status, 200) << cases[i].name;
            EXPECT_EQ(calls[i]->received.find("0\r\n\r\n"), std::string::npos)
                << cases[i].name;
            continue;
        }
        EXPECT_TRUE(calls[i]->Has(1)) << cases[i].name;
        EXPECT_TRUE(status == 502 || status == 504)
            << cases[i].name << ": " << status;
    }
}

// During a drain the settings are read again, with a shorter grace time.
// Guards against requests that are cut off at its end without an answer.
TEST(GatewayDrain, ReloadWithShorterGraceAnswersInTime)
{
    Fleet f;
    f.timeout_ms = 20000;
    f.Configure(1);
    f.AddEndpoint("i-1", "plain")->serve = [](Endpoint *, FakeExchange *) {};
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto call = f.Call(g, Fleet::Request("POST", "/once/1", "x"));

    f.Wait(100 * GW_MILLISECOND);
    GwGateway_Drain(g);
    GwDeployment shorter = f.deployments.back();
    shorter.grace = 4 * GW_SECOND;
    GwGateway_Reload(g, &shorter);
    ASSERT_TRUE(f.Until([&] { return f.stopped > 0; }));
    EndGateway(&f, {call});
    EXPECT_TRUE(call->Has(1));
    EXPECT_EQ(call->Status(), 502);
}
