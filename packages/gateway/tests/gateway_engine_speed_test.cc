#include <cmath>
#include <set>

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

static std::string
PromptRequest(const char *path, int part)
{
    return Fleet::Request("POST", path, "x",
                          "X-Model: m\r\nX-Token-Usage: 3000,5\r\n"
                          "X-Prefix-Hash: " +
                              std::to_string(part) +
                              ":3000\r\nX-Deadline-Ms: 15000\r\n");
}

// Only answers whose first byte shows how fast the engine prefills are
// samples. If an answer from an engine without free memory or before a switch
// counted, the engine would lose its requests afterwards, too.
TEST(GatewayEngineSpeed, AnswersOfUndisturbedEnginesAreSamples)
{
    const struct {
        const char *name, *path;
        uint32_t kv_used;
        bool preparing;
        uint64_t others_urgent;
        unsigned samples;
    } cases[] = {
        {"urgent", "/check/1", 0, false, 0, 1},
        {"urgent, behind urgent requests of others", "/check/1", 0, false,
         4000, 1},
        {"not urgent, alone", "/report/1", 0, false, 0, 1},
        {"not urgent, urgent ones may have been first", "/report/1", 0, false,
         100, 0},
        {"the memory is nearly full", "/check/1", 95000, false, 0, 0},
        {"before a switch", "/check/1", 0, true, 0, 0},
    };

    for (const auto &c : cases) {
        Fleet f;
        f.Configure(1, PromptRoute("check", 0) + PromptRoute("report", 1));
        f.AddEndpoint("i-1", "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        GwInstance *instance =
            GwInstances_Find(GwView_Instances(g->view), "i-1");

        // The engine is otherwise so fast that its answer is no sample.
        f.endpoints[0]->serve = [&f](Endpoint *e, FakeExchange *x) {
            f.Wait(10 * GW_MILLISECOND);
            Endpoint::AnswerId(e, x);
        };
        instance->agent_report.at = GwTime_Now();
        instance->agent_report.preparing = c.preparing;
        instance->agent_report.others_tokens = c.others_urgent;
        instance->agent_report.others_urgent = c.others_urgent;
        instance->agent_report.kv_used = c.kv_used;
        instance->agent_report.kv_total = 100000;
        auto call = f.Call(g, PromptRequest(c.path, 1));
        ASSERT_TRUE(f.Until([&] { return call->Has(1); })) << c.name;
        EXPECT_EQ(call->Status(), 200) << c.name;
        EXPECT_EQ(instance->speed.n, c.samples) << c.name;
        EXPECT_NE(instance->speed.first_byte_at, 0) << c.name;
    }
}

// One of five engines is 3 times slower than the others. Its agent reports
// that, so requests for which it is the preferred engine must go elsewhere. If
// the reports were not used, callers would wait there three times as long.
// With equal speeds near the constants, all engines get requests.
TEST(GatewayEngineSpeed, SlowEngineGetsNoRequestsWhileOthersAreIdle)
{
    for (double slow_speed : {22.0, 66.0, 0.0}) {
        Fleet f;
        f.Configure(1, PromptRoute("check", 0));
        for (int i = 1; i <= 5; i++)
            f.AddEndpoint(("i-" + std::to_string(i)).c_str(), "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        std::set<std::string> used;

        for (int part = 1; part <= 40; part++) {
            for (auto &e : f.endpoints) {
                GwInstance *instance =
                    GwInstances_Find(GwView_Instances(g->view), e->id.c_str());

                instance->agent_report.at = GwTime_Now();
                instance->agent_report.prefill_tokens_per_ms =
                    e->id == "i-3" ? slow_speed : 66;
            }
            auto call = f.Call(g, PromptRequest("/check/1", part));
            ASSERT_TRUE(f.Until([&] { return call->Has(1); }));
        }
        for (auto &e : f.endpoints) {
            if (!e->seen.empty())
                used.insert(e->id);
        }
        EXPECT_EQ(used.count("i-3"), slow_speed == 22.0 ? 0u : 1u)
            << slow_speed;
        EXPECT_EQ(used.size(), slow_speed == 22.0 ? 4u : 5u) << slow_speed;
    }
}

// An engine that prefills one prompt after the other, and takes a further
// fixed time for each.
struct SerialEngine {
    Endpoint *endpoint;
    double speed; // relative to the constants
    GwTime busy_until = 0;
    int answered = 0;
};

// An answer that is sent when the engine has prefilled its prompt.
struct PendingAnswer {
    SerialEngine *engine;
    FakeExchange *exchange;
    GwTimer timer;
};

static void
SendAnswer(void *user)
{
    PendingAnswer *answer = (PendingAnswer *)user;

    Endpoint::AnswerId(answer->engine->endpoint, answer->exchange);
    answer->engine->answered++;
}

// Engines with queues, of which one is 3 times slower, and no agents. The
// gateway must measure that by its own answers, also while requests wait at
// the engines, and send the slow engine fewer requests. Samples that included
// the wait would make the busiest engine seem the slowest.
TEST(GatewayEngineSpeed, SlowEngineIsMeasuredWhileRequestsWait)
{
    const int engines = 5, requests = 240, measured_from = 120;
    const GwTime interval = 16 * GW_MILLISECOND;
    Fleet f;
    std::vector<std::unique_ptr<SerialEngine>> serial;
    std::vector<std::unique_ptr<PendingAnswer>> answers;
    std::vector<std::shared_ptr<Caller>> calls;
    int slow_before = 0;

    f.Configure(1, PromptRoute("check", 0));
    for (int i = 0; i < engines; i++) {
        Endpoint *e =
            f.AddEndpoint(("i-" + std::to_string(i)).c_str(), "model");

        serial.push_back(std::make_unique<SerialEngine>(
            SerialEngine{e, i == 0 ? 1 / 3.0 : 1}));
        SerialEngine *engine = serial.back().get();
        e->serve = [&, engine](Endpoint *, FakeExchange *x) {
            double ms = 3000 / GW_NOMINAL_PREFILL_TOKENS_PER_MS;
            GwTime now = GwTime_Now();

            engine->busy_until = MAX(engine->busy_until, now) +
                                 (GwTime)(ms / engine->speed * GW_MILLISECOND);
            answers.push_back(std::make_unique<PendingAnswer>());
            answers.back()->engine = engine;
            answers.back()->exchange = x;
            GwTimer_Init(&answers.back()->timer, f.loop, SendAnswer,
                         answers.back().get());
            GwTimer_Start(&answers.back()->timer,
                          engine->busy_until - now + 16 * GW_MILLISECOND);
        };
    }
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    for (int i = 0; i < requests; i++) {
        if (i == measured_from)
            slow_before = (int)serial[0]->endpoint->seen.size();
        calls.push_back(f.Call(g, PromptRequest("/check/1", i)));
        f.Wait(interval);
    }
    ASSERT_TRUE(f.Until([&] {
        for (auto &call : calls) {
            if (!call->Has(1))
                return false;
        }
        return true;
    }));
    double relative[5];
    for (int i = 0; i < engines; i++) {
        GwInstance *instance =
            GwInstances_Find(GwView_Instances(g->view),
                             serial[(size_t)i]->endpoint->id.c_str());

        relative[i] =
            GwEngineSpeed_TokensPerMs(&instance->speed, GwTime_Now()) /
            GW_NOMINAL_PREFILL_TOKENS_PER_MS;
        printf("engine %d: speed %.2f measured %.2f, %zu requests\n", i,
               serial[(size_t)i]->speed, relative[i],
               serial[(size_t)i]->endpoint->seen.size());
    }
    for (int i = 1; i < engines; i++)
        EXPECT_NEAR(relative[i], 1, 0.25) << i;
    EXPECT_LT(relative[0], 0.55);
    // Its usual share is a fifth.
    EXPECT_LT((double)serial[0]->endpoint->seen.size() - slow_before,
              0.1 * (requests - measured_from));
}
