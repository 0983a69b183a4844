#include <set>

#include "galenagw/fakes/fleet.h"

extern "C" {
#include "gateway_private.h"
}

// Configuration of a route whose requests have prompts.
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

static const char kPrompt[] = "X-Model: m\r\nX-Token-Usage: 16900,5\r\n"
                              "X-Prefix-Hash: a1:900,b2:16000\r\n"
                              "X-Deadline-Ms: 15000\r\n";

// More prompts wait at the engine than it can prefill within the target
// latency. A deferrable request ("report") must be refused immediately as not
// run, with a Retry-After: at the engine it would be late and delay the next
// ones. An urgent request ("check") must be sent, as engines prefill it first.
TEST(GatewayOverload, DeferrableRequestsAreDeferredWhenEnginesAreFull)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    std::vector<std::shared_ptr<Caller>> waiting;

    e->serve = [](Endpoint *, FakeExchange *) {};
    for (size_t i = 1; i <= 4; i++) {
        waiting.push_back(
            f.Call(g, Fleet::Request("POST", "/report/1", "x", kPrompt)));
        ASSERT_TRUE(f.Until(
            [&] { return e->seen.size() == i || waiting.back()->Has(1); }));
    }
    size_t n_accepted = e->seen.size();
    EXPECT_LT(n_accepted, 4u);
    EXPECT_GT(n_accepted, 1u);
    EXPECT_EQ(waiting.back()->Status(), 503);
    EXPECT_GE(atof(waiting.back()->Header("Retry-After").c_str()), 0.3);
    auto urgent = f.Call(g, Fleet::Request("POST", "/check/1", "x", kPrompt));
    EXPECT_TRUE(f.Until([&] { return e->seen.size() == n_accepted + 1; }));
}

// Requests of a low-priority account fill an engine's queue until they are
// deferred. A request of a paying account must then still be sent, as the
// engine prefills it before them.
TEST(GatewayOverload, LowPriorityLoadDoesNotDeferPayingRequests)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    std::string paying = Fleet::Request("POST", "/report/1", "x", kPrompt);
    std::string trial = paying;
    std::vector<std::shared_ptr<Caller>> waiting;

    trial.replace(trial.find("X-Key: key"), 10, "X-Key: try");
    e->serve = [](Endpoint *, FakeExchange *) {};
    for (size_t i = 1; i <= 6; i++) {
        waiting.push_back(f.Call(g, trial));
        ASSERT_TRUE(f.Until(
            [&] { return e->seen.size() == i || waiting.back()->Has(1); }));
    }
    size_t n_accepted = e->seen.size();
    EXPECT_GT(n_accepted, 1u);
    EXPECT_LT(n_accepted, 6u);
    EXPECT_EQ(waiting.back()->Status(), 503);
    auto report = f.Call(g, paying);
    EXPECT_TRUE(f.Until(
        [&] { return e->seen.size() == n_accepted + 1 || report->Has(1); }));
    EXPECT_EQ(e->seen.size(), n_accepted + 1);
}

// An engine's memory is nearly full and a prompt waits there, so that one more
// long prompt would make it preempt a request. A deferrable request must be
// deferred, unless it is of a paying account and low-priority requests use the
// memory: the engine preempts those.
TEST(GatewayOverload, LowPriorityMemoryIsFreeForPayingRequests)
{
    const struct {
        const char *name, *key;
        uint64_t trial_tokens;
        bool sent;
    } cases[] = {
        {"used by paying accounts", "key", 0, false},
        {"used by trials", "key", 60000, true},
        {"used by trials, request of a trial", "try", 60000, false},
    };

    for (auto &c : cases) {
        Fleet f;
        f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
        Endpoint *e = f.AddEndpoint("i-1", "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        GwInstance *instance =
            GwInstances_Find(GwView_Instances(g->view), "i-1");
        std::string report = Fleet::Request("POST", "/report/1", "x", kPrompt);

        report.replace(report.find("X-Key: key"), 10,
                       std::string("X-Key: ") + c.key);
        instance->agent_report.at = GwTime_Now();
        instance->agent_report.others_tokens = 3000;
        instance->agent_report.kv_used = 97000;
        instance->agent_report.kv_total = 100000;
        instance->agent_report.others_yielding_memory = c.trial_tokens;
        e->serve = [](Endpoint *, FakeExchange *) {};
        auto call = f.Call(g, report);
        EXPECT_TRUE(
            f.Until([&] { return e->seen.size() == 1 || call->Has(1); }));
        EXPECT_EQ(e->seen.size(), c.sent ? 1u : 0u) << c.name;
    }
}

// One of two engines has little free memory. A deferrable request must be sent
// to the other one, although more prompts wait there. An urgent request must
// be sent where it is prefilled first, as the engine preempts others for it.
TEST(GatewayOverload, DeferrableRequestsGoToEnginesWithFreeMemory)
{
    const struct {
        const char *route;
        bool to_free;
    } cases[] = {{"report", true}, {"check", false}};

    for (const auto &c : cases) {
        Fleet f;
        f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
        Endpoint *full = f.AddEndpoint("i-1", "model");
        Endpoint *free = f.AddEndpoint("i-2", "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        for (Endpoint *e : {full, free}) {
            GwInstance *instance =
                GwInstances_Find(GwView_Instances(g->view), e->id.c_str());

            instance->agent_report.at = GwTime_Now();
            instance->agent_report.kv_total = 140000;
            instance->agent_report.kv_used = e == full ? 122000 : 60000;
            instance->agent_report.others_tokens = e == full ? 0 : 4000;
            e->serve = [](Endpoint *, FakeExchange *) {};
        }
        auto call = f.Call(
            g,
            Fleet::Request("POST", ("/" + std::string(c.route) + "/1").c_str(),
                           "x", kPrompt));
        EXPECT_TRUE(f.Until(
            [&] { return full->seen.size() + free->seen.size() == 1; }));
        EXPECT_EQ(free->seen.size(), c.to_free ? 1u : 0u) << c.route;
    }
}

// A report of the engine's agent on other gateways' urgent requests.
static GwInstance *
ReportUrgentTokens(GwGateway *g, const char *id, uint64_t tokens)
{
    GwInstance *instance = GwInstances_Find(GwView_Instances(g->view), id);

    instance->agent_report.at = GwTime_Now();
    instance->agent_report.others_tokens = tokens;
    instance->agent_report.others_urgent = tokens;
    return instance;
}

static double
RetryAfter(const std::shared_ptr<Caller> &call)
{
    return atof(call->Header("Retry-After").c_str());
}

// So many urgent prompts wait at the engine that a further one would begin
// after its deadline. It must be refused immediately as not run, whatever its
// priority: at the engine it would wait until its caller has gone. One that
// begins in time, if late, must be sent.
TEST(GatewayOverload, RequestsBeyondTheirDeadlineAreRefusedAtOnce)
{
    const struct {
        const char *name, *route;
        uint64_t tokens;
        bool sent;
    } cases[] = {
        {"urgent, too late", "check", 3000000, false},
        {"urgent, late but in time", "check", 300000, true},
        {"can wait, too late", "report", 3000000, false},
    };

    for (const auto &c : cases) {
        Fleet f;
        f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
        Endpoint *e = f.AddEndpoint("i-1", "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        ReportUrgentTokens(g, "i-1", c.tokens);
        e->serve = [](Endpoint *, FakeExchange *) {};
        auto call = f.Call(
            g,
            Fleet::Request("POST", ("/" + std::string(c.route) + "/1").c_str(),
                           "x", kPrompt));
        EXPECT_TRUE(
            f.Until([&] { return e->seen.size() == 1 || call->Has(1); }));
        EXPECT_EQ(e->seen.size(), c.sent ? 1u : 0u) << c.name;
        EXPECT_EQ(g->counters.refusals[GW_REFUSAL_DEADLINE], c.sent ? 0u : 1u)
            << c.name;
        if (!c.sent) {
            EXPECT_EQ(call->Status(), 503) << c.name;
            EXPECT_GE(RetryAfter(call), 0.3) << c.name;
            EXPECT_LE(RetryAfter(call), 2) << c.name;
        }
    }
}

// The first engine declines a request, and at the only other one it would
// begin after its deadline. It must be refused as not run and not be sent
// there, as earlier attempts don't make the queue shorter.
TEST(GatewayOverload, RetriesBeyondTheirDeadlineAreRefused)
{
    Fleet f;
    std::string route = PromptRoute("check", 0);
    route.replace(route.find("\"max_attempts\":1"), 16, "\"max_attempts\":3");
    f.Configure(1, route);
    Endpoint *declining = f.AddEndpoint("i-1", "model");
    Endpoint *full = f.AddEndpoint("i-2", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    ReportUrgentTokens(g, "i-1", 0);
    ReportUrgentTokens(g, "i-2", 3000000);
    declining->serve = [](Endpoint *, FakeExchange *x) {
        Endpoint::Decline(x);
    };
    auto call = f.Call(g, Fleet::Request("POST", "/check/1", "x", kPrompt));
    EXPECT_TRUE(f.Until([&] { return call->Has(1); }));
    EXPECT_EQ(declining->seen.size(), 1u);
    EXPECT_EQ(full->seen.size(), 0u);
    EXPECT_EQ(call->Status(), 503);
    EXPECT_EQ(g->counters.refusals[GW_REFUSAL_DEADLINE], 1u);
}

// The overload of urgent requests is sustained, and the queue of the best
// engine is longer than half of their target. One more must be refused, so
// that those that were accepted are in time. Clients that are refused together
// must not return together. With a short queue, requests are sent again.
TEST(GatewayOverload, UrgentRequestsAreLimitedUnderSustainedOverload)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    GwWaitHistory *history = &GwGateway_Admission(g, "model")->urgent;
    std::set<std::string> retry_times;

    e->serve = [](Endpoint *, FakeExchange *) {};
    history->is_sustained = true;
    for (int i = 0; i < 8; i++) {
        history->observed_at = history->refused_at = GwTime_Now();
        ReportUrgentTokens(g, "i-1", 60000);
        auto call =
            f.Call(g, Fleet::Request("POST", "/check/1", "x", kPrompt));
        EXPECT_TRUE(f.Until([&] { return call->Has(1); }));
        EXPECT_EQ(call->Status(), 503);
        EXPECT_GE(RetryAfter(call), 0.3);
        EXPECT_LE(RetryAfter(call), 2);
        retry_times.insert(call->Header("Retry-After"));
    }
    EXPECT_GT(retry_times.size(), 1u);
    EXPECT_EQ(e->seen.size(), 0u);
    EXPECT_EQ(g->counters.refusals[GW_REFUSAL_OVERLOAD], 8u);
    ReportUrgentTokens(g, "i-1", 0);
    auto call = f.Call(g, Fleet::Request("POST", "/check/1", "x", kPrompt));
    EXPECT_TRUE(f.Until([&] { return e->seen.size() == 1; }));
}

// Engines prefill urgent requests first. Prompts of requests that can wait
// must therefore not cause the refusal of an urgent one, however many wait.
TEST(GatewayOverload, WaitOfUrgentRequestsIncludesUrgentTokensOnly)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    ReportUrgentTokens(g, "i-1", 3000000)->agent_report.others_urgent = 0;
    e->serve = [](Endpoint *, FakeExchange *) {};
    auto call = f.Call(g, Fleet::Request("POST", "/check/1", "x", kPrompt));
    EXPECT_TRUE(f.Until([&] { return e->seen.size() == 1 || call->Has(1); }));
    EXPECT_EQ(e->seen.size(), 1u);
}

// A gateway estimates what others have sent to an engine since its last report
// by its own urgent requests since then. Requests that can wait don't count,
// nor do those that the report includes.
TEST(GatewayOverload, UrgentTokensSinceTheLastReportAreCounted)
{
    Fleet f;
    f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    GwInstance *instance = ReportUrgentTokens(g, "i-1", 0);
    std::vector<std::shared_ptr<Caller>> waiting;

    e->serve = [](Endpoint *, FakeExchange *) {};
    for (const char *path : {"/check/1", "/report/1"}) {
        waiting.push_back(
            f.Call(g, Fleet::Request("POST", path, "x", kPrompt)));
        ASSERT_TRUE(f.Until([&] { return e->seen.size() == waiting.size(); }));
    }
    EXPECT_EQ(GwUnreportedTokens_Get(&instance->unreported_urgent,
                                     instance->agent_report.at),
              instance->urgent_tokens);
    EXPECT_GT(instance->urgent_tokens, 0u);
    EXPECT_GT(instance->prefill_tokens, instance->urgent_tokens);
    instance->agent_report.at++;
    EXPECT_EQ(GwUnreportedTokens_Get(&instance->unreported_urgent,
                                     instance->agent_report.at),
              0u);
}
