#include <jansson.h>

#include "galenagw/fakes/fleet.h"

// An engine as its sidecar sees it: a report and orders.
struct Engine {
    Endpoint *endpoint = nullptr;
    int weights = 1;
    int accepted = 0; // its count of orders
    bool busy = false;
    int queued = 0;
    int64_t born = 0; // as its reports tell; 0: they do not
    std::vector<json_t *> orders;
    std::function<void(Engine *, FakeExchange *)> on_order;

    ~Engine()
    {
        for (json_t *o : orders)
            json_decref(o);
    }
    int64_t
    Int(size_t i, const char *name) const
    {
        return json_integer_value(json_object_get(orders.at(i), name));
    }
    void
    Take(FakeExchange *x)
    {
        accepted++;
        weights = (int)Int(orders.size() - 1, "version");
        FakeExchange_Answer(x, 202, "", "", 0);
    }
};

class SidecarTest : public testing::Test {
  protected:
    void
    Start()
    {
        GwError err = {};
        GwSidecarOptions options = {};

        f.Configure(1);
        engine.endpoint = f.AddEndpoint("i-1", "model");
        engine.endpoint->serve = [this](Endpoint *, FakeExchange *x) {
            Serve(x);
        };
        deployment = f.Deployment("side-1");
        deployment.endpoint = engine.endpoint->address;
        deployment.weights_bound = bound;
        options.deployment = &deployment;
        sidecar = GwSidecar_New(f.loop, &options, &err);
        ASSERT_NE(sidecar, nullptr) << err.message;
    }
    void
    TearDown() override
    {
        GwSidecar_Delete(sidecar);
        GwDeployment_Clear(&deployment);
    }
    void
    Serve(FakeExchange *x)
    {
        if (down) {
            FakeExchange_Close(x, true);
            return;
        }
        if (strcmp(x->head->target, "/galenagw/report") == 0) {
            std::string text =
                "{\"models\":[{\"name\":\"m\",\"version\":" +
                std::to_string(engine.weights) +
                "}],\"busy\":" + (engine.busy ? "true" : "false") +
                ",\"seq\":" + std::to_string(engine.accepted) +
                (engine.born != 0 ? ",\"born\":" + std::to_string(engine.born)
                                  : "") +
                ",\"queued\":" + std::to_string(engine.queued) +
                ",\"running\":0,\"kv_total\":100}";
            FakeExchange_Answer(x, 200, report_headers.c_str(), text.data(),
                                text.size());
            return;
        }
        // Events of what it holds: none, so the call waits.
        if (strncmp(x->head->target, "/galenagw/kv-events", 19) == 0)
            return;
        by_id = Endpoint::Header(x, "X-Expect-Instance");
        engine.orders.push_back(
            json_loadb(x->body->str, x->body->len, 0, nullptr));
        if (engine.on_order)
            engine.on_order(&engine, x);
        else
            engine.Take(x);
    }

    // A life of the engine as the list tells it.
    void
    List(int64_t born, const char *state = "ready")
    {
        engine.endpoint->born = born;
        f.ListEndpoint(engine.endpoint, state, engine.weights);
    }
    // It starts anew under its id, with the weights it had and no orders.
    void
    Restart(int64_t born)
    {
        engine.born = born;
        engine.accepted = 0;
        engine.busy = false;
    }

    Fleet f;
    GwTime bound = 8 * GW_SECOND;
    bool down = false; // each connection is reset
    std::string report_headers;
    std::string by_id; // the engine that the last order was meant for
    Engine engine;
    GwDeployment deployment = {};
    GwSidecar *sidecar = nullptr;
};

TEST_F(SidecarTest, ANamedVersionIsOrderedOnce)
{
    Start();
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    f.Wait(500 * GW_MILLISECOND);
    ASSERT_EQ(engine.orders.size(), 1u);
    EXPECT_EQ(engine.Int(0, "version"), 2);
    EXPECT_EQ(engine.Int(0, "expect"), 0);
    EXPECT_GE(engine.Int(0, "fence"), 1);
}

// The engine says in its reports that it leaves, and its row does not, as the
// store is away: a load would only end what it still runs.
TEST_F(SidecarTest, AnEngineWhoseReportsSayThatItLeavesGetsNoOrder)
{
    Start();
    ASSERT_TRUE(f.Until([&] { return !engine.endpoint->seen.empty(); }));
    report_headers = "Server-Leaving: 1\r\n";
    f.Wait(600 * GW_MILLISECOND);
    f.NameWeights(2);
    f.Wait(2 * GW_SECOND);
    EXPECT_EQ(engine.orders.size(), 0u);
}

// The engine turns an order away, and wants none for a while: asked again with
// each report it would turn that away too.
TEST_F(SidecarTest, AnEngineThatWantsNoOrderForATimeGetsNone)
{
    Start();
    engine.on_order = [](Engine *, FakeExchange *x) {
        FakeExchange_Answer(x, 503, "Retry-After: 1.5\r\n", "", 0);
    };
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.orders.size() == 1; }));
    engine.on_order = nullptr;
    f.Wait(GW_SECOND);
    EXPECT_EQ(engine.orders.size(), 1u);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
}

// Versions are named faster than the engine loads: the one in between is
// skipped, and the engine ends on the newest.
TEST_F(SidecarTest, ASupersededVersionIsSkipped)
{
    Start();
    engine.on_order = [&](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 1) {
            f.NameWeights(3);
            f.NameWeights(4);
        }
        e->Take(x);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 4; }));
    EXPECT_EQ(engine.orders.size(), 2u);
}

// The answer to an order is lost, and the order was carried out: reports show
// it, and it is not given again.
TEST_F(SidecarTest, AnOrderWithoutAnAnswerIsLookedForInReports)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        e->accepted++;
        e->weights = 2;
        FakeExchange_Close(x, true);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    f.Wait(3 * GW_SECOND);
    EXPECT_EQ(engine.orders.size(), 1u);
}

// The order is lost for good: it is given again under the same fence, with
// the count of orders that makes a late one of the first fail.
TEST_F(SidecarTest, AnOrderWithoutAnEffectIsGivenAgain)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 1)
            FakeExchange_Close(x, true);
        else
            e->Take(x);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    ASSERT_EQ(engine.orders.size(), 2u);
    EXPECT_EQ(engine.Int(1, "fence"), engine.Int(0, "fence"));
    EXPECT_EQ(engine.Int(1, "expect"), 0);
}

// An engine leaves orders unanswered for a while, and serves on. Its sidecar
// told gateways to send it nothing until an order would have had its effect,
// for seven seconds in a row: a third of the fleet stood idle while the rest
// was late. The order is given again, by the same count, within half a second.
TEST_F(SidecarTest, AnEngineThatAnswersNoOrdersIsNotLeftOut)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 4)
            e->Take(x);
    };
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.orders.size() == 1; }));
    GwTime first = GwTime_Now();
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    EXPECT_LT(GwTime_Now() - first, 2500 * GW_MILLISECOND);
    for (size_t i = 0; i < engine.orders.size(); i++) {
        EXPECT_EQ(engine.Int(i, "expect"), 0) << i;
        EXPECT_EQ(engine.Int(i, "fence"), engine.Int(0, "fence")) << i;
    }
}

// The store is away when the sidecar starts: without a fence that is proven
// to be the newest it orders nothing; once it has one, it does.
TEST_F(SidecarTest, WithoutAFenceNothingIsOrdered)
{
    Start();
    f.NameWeights(2);
    FakeStore_Refuse(f.store, 503);
    f.Wait(700 * GW_MILLISECOND);
    EXPECT_EQ(engine.orders.size(), 0u);
    FakeStore_Refuse(f.store, 0);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
}

// A sidecar that comes back draws a larger fence than it had before, whatever
// the time of day says.
TEST_F(SidecarTest, FencesGrowOverRestarts)
{
    Start();
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    GwSidecar_Delete(sidecar);
    GwError err = {};
    GwSidecarOptions options = {};
    options.deployment = &deployment;
    sidecar = GwSidecar_New(f.loop, &options, &err);
    f.NameWeights(3);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 3; }));
    EXPECT_GT(engine.Int(1, "fence"), engine.Int(0, "fence"));
}

// An engine restarts 0.9 s before its old weights must be gone, and callers'
// prompts wait there at once. Its sidecar would let them be read first, and
// the order would come past the bound: those prompts would begin on weights
// that should be gone. What is left until the bound decides: the order comes
// in time, and what waits is turned away as not run.
TEST_F(SidecarTest, AnEngineThatStartsLateGetsItsOrderBeforeTheBound)
{
    bound = 3 * GW_SECOND;
    Start();
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    GwTime named = GwTime_Now(); // a little later than it was
    f.Wait(bound - 900 * GW_MILLISECOND);
    engine.accepted = 0;
    engine.queued = 5;
    engine.weights = 1;
    ASSERT_TRUE(f.Until([&] { return engine.orders.size() == 2; }));
    EXPECT_LT(GwTime_Now() - named, bound - 400 * GW_MILLISECOND);
}

// An engine crashes and starts again under another id. Its sidecar reads the
// list of engines seldom; by the old id it would give orders that are turned
// away, and gateways would not hear of the new one, for as long as ten
// seconds.
TEST_F(SidecarTest, ARestartedEngineIsOrderedUnderItsNewId)
{
    Start();
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    Endpoint *first = engine.endpoint;
    // Two changes of the list: the sidecar has read and pauses now.
    f.ListEndpoint(first, "ready", 2);
    f.Wait(300 * GW_MILLISECOND);
    down = true;
    f.Wait(700 * GW_MILLISECOND);
    down = false;
    engine.weights = 1;
    engine.accepted = 0;
    first->id = "i-2";
    f.ListEndpoint(first, "ready", 1);
    GwTime started = GwTime_Now();
    ASSERT_TRUE(f.Until([&] { return by_id == "i-2"; }));
    EXPECT_LT(GwTime_Now() - started, GW_SECOND);
}

// The engine starts anew under its id while an order to it is in doubt. That
// order counts for the earlier life: the later one is ordered at once, by its
// own count, and not only when the answer would have been given up. Either the
// list or the engine's own report tells; the store may be away.
TEST_F(SidecarTest, AnOrderInDoubtIsOfTheLifeItWasMadeFor)
{
    const struct {
        const char *name;
        bool listed, reported;
    } cases[] = {
        {"the report tells", false, true},
        {"the list and the report tell", true, true},
    };

    Start();
    engine.born = 10;
    List(10);
    f.Wait(600 * GW_MILLISECOND);
    for (auto &c : cases) {
        size_t before = engine.orders.size();
        int target = engine.weights + 1;

        engine.on_order = [&](Engine *e, FakeExchange *x) {
            if (e->orders.size() == before + 1) {
                e->accepted = 5;
                FakeExchange_Close(x, true);
            }
            else
                e->Take(x);
        };
        f.NameWeights(target);
        ASSERT_TRUE(f.Until([&] {
            return engine.orders.size() == before + 1;
        })) << c.name;
        GwTime at = GwTime_Now();
        FakeStore_Refuse(f.store, c.listed ? 0 : 503);
        Restart(engine.born + 10);
        if (c.listed)
            List(engine.born);
        EXPECT_TRUE(f.Until([&] { return engine.weights == target; }))
            << c.name;
        EXPECT_LT(GwTime_Now() - at, 2 * GW_SECOND) << c.name;
        ASSERT_EQ(engine.orders.size(), before + 2) << c.name;
        EXPECT_EQ(engine.Int(before + 1, "expect"), 0) << c.name;
        EXPECT_EQ(engine.Int(before + 1, "fence"), engine.Int(before, "fence"))
            << "a fence that falls behind an order in doubt is none";
        FakeStore_Refuse(f.store, 0);
        f.Wait(300 * GW_MILLISECOND);
    }
    EXPECT_EQ(GwSidecar_Counters(sidecar)->plain[GW_COUNTER_RESTARTS_SEEN],
              2u);
}

// The later life is behind: it had not loaded the newest weights when it
// ended, or an order of the earlier life, carried out late, took it back. Both
// look as if the work was done, if the earlier life's word is believed.
TEST_F(SidecarTest, ALaterLifeOnOlderWeightsIsOrderedAgain)
{
    Start();
    engine.born = 10;
    List(10);
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    f.Wait(300 * GW_MILLISECOND);
    Restart(20);
    engine.weights = 1;
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    EXPECT_EQ(engine.Int(1, "expect"), 0);
    f.Wait(300 * GW_MILLISECOND);
    engine.weights = 1;
    engine.accepted = 2;
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    EXPECT_EQ(engine.Int(2, "expect"), 2);
    f.Wait(600 * GW_MILLISECOND);
    EXPECT_EQ(engine.orders.size(), 3u);
}

// Reports are some hundred milliseconds old: one of the earlier life comes
// after the list told of the later one. No order is given by its count; nor is
// one where the engine's clock was set back, until its row is gone.
TEST_F(SidecarTest, AReportOfAnEarlierLifeDecidesNothing)
{
    Start();
    engine.born = 10;
    List(20);
    f.Wait(600 * GW_MILLISECOND);
    f.NameWeights(2);
    f.Wait(900 * GW_MILLISECOND);
    EXPECT_EQ(engine.orders.size(), 0u);
    engine.born = 20;
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    EXPECT_EQ(engine.orders.size(), 1u);
}

// It was leaving, and starts again under its id: it is to have the newest
// weights like the others.
TEST_F(SidecarTest, AnEngineThatLeftAndStartedAnewIsOrdered)
{
    Start();
    engine.born = 10;
    List(10, "draining");
    f.Wait(600 * GW_MILLISECOND);
    f.NameWeights(2);
    f.Wait(900 * GW_MILLISECOND);
    EXPECT_EQ(engine.orders.size(), 0u);
    Restart(20);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
}
