#include "galenagw/fakes/fleet.h"

extern "C" {
#include "request_private.h"
}

static std::string
PromptRoute(const char *name, int priority)
{
    return std::string(",{\"name\":\"") + name + "\",\"path_prefix\":\"/" +
           name +
           "/\",\"host\":\"h\",\"service\":\"model\",\"route_type\":"
           "\"streaming\",\"sticky\":true,\"max_attempts\":1,"
           "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":" +
           std::to_string(priority) + "}";
}

static const char kPrompt[] = "X-Model: m\r\nX-Token-Usage: 3000,5\r\n"
                              "X-Prefix-Hash: a1:900,b2:2100\r\n"
                              "X-Deadline-Ms: 15000\r\n";

// Urgent and other requests wait at an engine. The wait of an urgent request
// must include only the urgent ones, of this gateway and of others; counted
// with the others, it would be refused although the engine schedules it first.
// Tokens of requests that have ended must not remain.
TEST(GatewayUrgentTokens, OnlyUrgentRequestsWaitBeforeAnUrgentOne)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    GwInstance *instance = GwInstances_Find(GwView_Instances(g->view), "i-1");
    std::vector<std::shared_ptr<Caller>> waiting;

    instance->agent_report.at = GwTime_Now();
    instance->agent_report.others_tokens = 4000;
    instance->agent_report.others_urgent = 1500;
    e->serve = [](Endpoint *, FakeExchange *) {};
    for (const char *path : {"/report/1", "/check/1", "/check/2"}) {
        waiting.push_back(
            f.Call(g, Fleet::Request("POST", path, "x", kPrompt)));
        ASSERT_TRUE(f.Until([&] { return e->seen.size() == waiting.size(); }));
    }
    const GwRequest *last = nullptr;
    const GwRequest *r;
    TAILQ_FOREACH(r, &g->requests, link)
    last = r;
    // The shared parts are prefilled once more for each request, because none
    // has been answered.
    EXPECT_EQ(last->chosen.urgent_tokens, 3000u + 1500u);
    EXPECT_EQ(last->chosen.prefill_tokens, 6000u + 4000u);
    EXPECT_EQ(instance->urgent_tokens, 6000u);
    waiting.clear();
    EXPECT_TRUE(f.Until([&] { return instance->in_flight == 0; }));
    EXPECT_EQ(instance->urgent_tokens, 0u);
}
