#include "galenagw/fakes/fleet.h"

extern "C" {
#include "gateway_private.h"
}

static const GwTime kBound = 2 * GW_SECOND;
static const char kLongPrompt[] = "X-Model: m\r\nX-Token-Usage: 16900,5\r\n"
                                  "X-Prefix-Hash: a1:900,b2:16000\r\n";

// When the newest weights version was named, that is, when @p g or the first
// of its peers received it from the operator list; 0: not received yet.
static GwTime
NamedAt(GwGateway *g)
{
    return GwView_ModelVersions(g->view, "m")->history[0].named_at;
}

// Reports that prompts of other gateways with @p tokens wait at engine @p id.
static void
SetWaitingTokens(GwGateway *g, const char *id, uint64_t tokens)
{
    GwInstance *instance = GwInstances_Find(GwView_Instances(g->view), id);

    instance->agent_report.at = GwTime_Now();
    instance->agent_report.others_tokens = tokens;
}

// Guards against requests that start on outdated weights after the bound,
// whose callers get text of weights that must not be used any more. The bound
// is the time NamedAt + kBound. A newer weights version is named, while one
// engine still has the old weights, as after a restart.
// Not sent_before: a long prompt arrives 1.2 s before the bound. At the old
// engine, it would be prefilled after 30,000 waiting tokens, which may take
// 1.4 s, so it would start after the bound. It must be sent to the engine with
// the new weights, although the 200,000 tokens that wait there take longer.
// sent_before: a request was sent to the old engine well before the bound, and
// waits there longer than expected, as the engine does not answer. Shortly
// before the bound it must be withdrawn by closing its connection, and sent to
// the other engine.
TEST(OutdatedWeights, NoRequestStartsOnThemAfterTheBound)
{
    for (bool sent_before : {false, true}) {
        Fleet f;
        f.Configure(1);
        Endpoint *old = f.AddEndpoint("i-1", "model");
        Endpoint *fresh =
            sent_before ? nullptr : f.AddEndpoint("i-2", "model");
        GwGateway *g = f.AddGateway();
        old->serve = [](Endpoint *, FakeExchange *) {}; // never answers
        ASSERT_TRUE(f.Ready());
        g->weights_bound = kBound;
        std::shared_ptr<Caller> c;
        std::string prompt =
            Fleet::Request("POST", "/resume/1", "x", kLongPrompt);

        if (sent_before) {
            c = f.Call(g, prompt);
            ASSERT_TRUE(f.Until([&] { return old->seen.size() == 1; }));
        }
        f.NameWeights(2);
        ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
        if (sent_before)
            fresh = f.AddEndpoint("i-2", "model");
        f.ListEndpoint(fresh, "ready", 2);
        f.Wait(NamedAt(g) + kBound - 1200 * GW_MILLISECOND - GwTime_Now());
        if (!sent_before) {
            SetWaitingTokens(g, "i-1", 30000);
            SetWaitingTokens(g, "i-2", 200000);
            c = f.Call(g, prompt);
        }
        EXPECT_TRUE(f.Until(
            [&] { return c->Has(1) || GwTime_Now() > NamedAt(g) + kBound; }));
        EXPECT_LE(GwTime_Now(), NamedAt(g) + kBound) << sent_before;
        EXPECT_EQ(c->Status(), 200) << sent_before;
        EXPECT_EQ(old->seen.size(), sent_before ? 1u : 0u);
        EXPECT_EQ(old->gone, sent_before ? 1 : 0); // closed connections
        EXPECT_EQ(fresh->seen.size(), 1u) << sent_before;
    }
}

// A withdrawn request may have started when its connection is closed. On the
// route /stream/, unlike /resume/, a request must not run twice. So it must
// not be sent to another engine, and its caller must get 502: 503 or 429 would
// state that the request has not run.
TEST(OutdatedWeights, WithdrawnRequestMayHaveRun)
{
    Fleet f;
    f.Configure(1);
    Endpoint *old = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    old->serve = [](Endpoint *, FakeExchange *) {}; // never answers
    ASSERT_TRUE(f.Ready());
    g->weights_bound = kBound;
    auto c = f.Call(g, Fleet::Request("POST", "/stream/1", "x", kLongPrompt));
    ASSERT_TRUE(f.Until([&] { return old->seen.size() == 1; }));
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
    Endpoint *fresh = f.AddEndpoint("i-2", "model");
    f.ListEndpoint(fresh, "ready", 2);
    EXPECT_TRUE(f.Until([&] { return c->Has(1) || c->closed; }));
    EXPECT_EQ(c->Status(), 502);
    EXPECT_EQ(old->gone, 1); // connections that were closed
    EXPECT_EQ(fresh->seen.size(), 0u);
}

// Writes the head of a stream, and @p body, of which nothing ends it.
static void
BeginStream(FakeExchange *x, const std::string &body)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                       "\r\nX-Request-Id: " +
                       Endpoint::RequestId(x) +
                       "\r\nX-Response-Signature: s\r\n\r\n" + body;

    FakeExchange_Write(x, head.data(), head.size());
}

// Guards against requests that are left at an engine with outdated weights
// because the engine has sent something that is no token: they start after the
// bound.
TEST(OutdatedWeights, OnlyAnEventShowsThatARequestHasStarted)
{
    const struct {
        const char *name;
        const char *body;
        bool has_started;
    } cases[] = {
        {"head", "", false},
        {"comment", ": wait\n\n", false},
        {"event without data", "event: ping\n\nretry: 500\n\n", false},
        {"part of an event", "id: 1\nda", false},
        {"event", "id: 1\ndata: i-1\n\n", true},
    };
    const GwTime bound = 600 * GW_MILLISECOND;

    for (const char *path : {"/resume/1", "/stream/1"}) {
        for (auto &c : cases) {
            Fleet f;
            f.Configure(1);
            Endpoint *old = f.AddEndpoint("i-1", "model");
            GwGateway *g = f.AddGateway();
            old->serve = [&](Endpoint *, FakeExchange *x) {
                BeginStream(x, c.body);
            };
            ASSERT_TRUE(f.Ready());
            g->weights_bound = bound;
            auto caller =
                f.Call(g, Fleet::Request("POST", path, "x", kLongPrompt));
            ASSERT_TRUE(f.Until([&] { return old->seen.size() == 1; }));
            f.NameWeights(2);
            ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
            f.Until([&] {
                return old->gone != 0 || GwTime_Now() > NamedAt(g) + bound;
            });
            EXPECT_EQ(old->gone, c.has_started ? 0 : 1)
                << path << " " << c.name;
        }
    }
}

// Guards against requests that start on outdated weights because the engine
// does not drop what is closed, or reads the close late: at an engine whose
// agent does not report, they get a deadline before the bound.
TEST(OutdatedWeights, AnEngineWithoutReportsDropsRequestsItselfBeforeTheBound)
{
    const GwTime bound = 6 * GW_SECOND;

    for (bool is_reported : {true, false}) {
        Fleet f;
        f.timeout_ms = 5000;
        f.Configure(1);
        Endpoint *old = f.AddEndpoint("i-1", "model");
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        g->weights_bound = bound;
        f.NameWeights(2);
        ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
        // The time limit of 5 s ends after the bound.
        f.Wait(NamedAt(g) + bound - 3700 * GW_MILLISECOND - GwTime_Now());
        if (is_reported)
            SetWaitingTokens(g, "i-1", 0);
        auto c = f.Call(g, Fleet::Request("POST", "/stream/1", "x"));
        ASSERT_TRUE(f.Until([&] { return old->seen.size() == 1; }))
            << c->received << " " << is_reported;
        int ms = atoi(strstr(old->seen[0].c_str(), "X-Deadline-Ms: ") + 15);
        EXPECT_GT(ms, is_reported ? 4900 : 3200) << is_reported;
        EXPECT_LT(ms, is_reported ? 5000 : 3500) << is_reported;
    }
}

// Guards against requests to an outdated engine that has stalled: nothing was
// estimated to wait there, but no request has got its first token for long.
TEST(OutdatedWeights, AStalledEngineLeavesUseEarlier)
{
    Fleet f;
    f.Configure(1);
    Endpoint *old = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    old->serve = [](Endpoint *, FakeExchange *) {}; // never answers
    ASSERT_TRUE(f.Ready());
    g->weights_bound = 5 * GW_SECOND;
    auto waiting = f.Call(g, Fleet::Request("POST", "/stream/1", "x"));
    ASSERT_TRUE(f.Until([&] { return old->seen.size() == 1; }));
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
    f.Wait(2500 * GW_MILLISECOND);
    SetWaitingTokens(g, "i-1", 0);
    auto c = f.Call(g, Fleet::Request("POST", "/stream/2", "x"));
    EXPECT_TRUE(f.Until([&] { return c->Has(1); }));
    EXPECT_EQ(c->Status(), 503);
    EXPECT_EQ(old->seen.size(), 1u);
}

// A gateway restarts while an engine still has old weights. If it counted
// weights_bound from its own start, requests would start on these weights long
// after the bound. It must receive the times at which versions were named from
// a peer before it accepts requests, also during a store outage (then nothing
// listens at its port of the store).
TEST(OutdatedWeights, StartingGatewayGetsNamingTimeFromPeer)
{
    for (bool store_unreachable : {false, true}) {
        Fleet f;
        GwError err = {};
        GwGatewayOptions options = {};
        GwDeployment first = f.Deployment("gateway-1");
        GwDeployment late = f.Deployment("gateway-2");

        f.Configure(1);
        f.AddEndpoint("i-1", "model");
        late.seeds[0] = first.peers;
        late.n_seeds = 1;
        if (store_unreachable)
            late.store.port = 1;
        options.deployment = &first;
        f.gateways.push_back(GwGateway_New(f.loop, &options, &err));
        ASSERT_NE(f.gateways.back(), nullptr) << err.message;
        ASSERT_TRUE(f.Ready());
        f.NameWeights(2);
        GwGateway *g = f.gateways.back();
        late.seeds[0].port = GwGateway_PeerPort(g);
        ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
        // The times of both namings and the start of the other gateway differ
        // by more than the tolerance of the comparison below.
        f.Wait(GW_SECOND);
        f.NameWeights(3);
        f.Wait(GW_SECOND);
        options.deployment = &late;
        f.gateways.push_back(GwGateway_New(f.loop, &options, &err));
        ASSERT_NE(f.gateways.back(), nullptr) << err.message;
        ASSERT_TRUE(f.Ready());
        for (int weights : {1, 2, 3}) {
            const GwModelVersions *known = GwView_ModelVersions(g->view, "m");
            const GwModelVersions *received =
                GwView_ModelVersions(f.gateways.back()->view, "m");

            EXPECT_NEAR(GwModelVersions_OutdatedSince(received, weights),
                        GwModelVersions_OutdatedSince(known, weights),
                        50 * GW_MILLISECOND)
                << weights << " " << store_unreachable;
        }
        GwDeployment_Clear(&first);
        GwDeployment_Clear(&late);
    }
}

// Guards against times that gateways push further and further back by reading
// and writing them in turn, so that engines leave use too early.
TEST(OutdatedWeights, StoredTimesAreNotPushedBack)
{
    Fleet f;
    f.Configure(1);
    f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    f.AddGateway("gateway-2");
    ASSERT_TRUE(f.Ready());
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return NamedAt(g) != 0; }));
    GwTime named_at = NamedAt(g);
    f.Wait(GW_SECOND);
    f.NameWeights(3);
    f.Wait(1500 * GW_MILLISECOND);
    for (GwGateway *each : f.gateways) {
        const GwModelVersions *versions =
            GwView_ModelVersions(each->view, "m");

        EXPECT_NEAR(GwModelVersions_NamedAt(versions, 2), named_at,
                    100 * GW_MILLISECOND);
    }
}

// Guards against outdated weights that are used for another bound after all
// processes have restarted: the times at which versions were named must come
// from the store, and weights of unknown age must not be used.
TEST(OutdatedWeights, ARestartOfAllProcessesDoesNotExtendTheBound)
{
    for (bool is_named_while_running : {true, false}) {
        Fleet f;
        GwTime named_at = 0;

        f.Configure(1);
        Endpoint *old = f.AddEndpoint("i-1", "model");
        GwGateway *before = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        if (is_named_while_running) {
            f.NameWeights(2);
            ASSERT_TRUE(f.Until([&] { return NamedAt(before) != 0; }));
            named_at = NamedAt(before);
            f.Wait(1500 * GW_MILLISECOND);
        }
        GwGateway_Delete(before);
        f.gateways.clear();
        if (!is_named_while_running)
            f.NameWeights(2);
        GwGateway *g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
        auto since = [&] {
            return GwModelVersions_OutdatedSince(
                GwView_ModelVersions(g->view, "m"), 1);
        };
        if (is_named_while_running) {
            EXPECT_TRUE(f.Until([&] { return since() != GW_NAMED_LONG_AGO; }));
            EXPECT_LE(since(), named_at);
            EXPECT_GE(since(), named_at - GW_SECOND);
            continue;
        }
        f.Wait(1200 * GW_MILLISECOND); // longer than a lookup in the store
        auto caller =
            f.Call(g, Fleet::Request("POST", "/resume/1", "x", kLongPrompt));
        EXPECT_TRUE(f.Until([&] { return caller->Has(1); }));
        EXPECT_EQ(caller->Status(), 503);
        EXPECT_EQ(since(), GW_NAMED_LONG_AGO);
        EXPECT_EQ(old->seen.size(), 0u);
    }
}
