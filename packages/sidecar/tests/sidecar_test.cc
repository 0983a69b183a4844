#include <jansson.h>

#include "galenagw/fakes/fleet.h"

// A simulated engine, with the report and the orders that a sidecar uses.
struct Engine {
    Endpoint *endpoint = nullptr;
    int weights = 1;
    // Number of orders accepted in this incarnation. Reports contain it as
    // "seq". An order names the count that the sidecar expects as "expect";
    // real engines refuse an order that names another count.
    int accepted_orders = 0;
    bool busy = false;
    int queued = 0;
    // Start time by the engine's clock, which identifies the incarnation in
    // its reports and in the list; 0: not reported.
    int64_t born = 0;
    std::vector<json_t *> orders; // all that were received, in the whole test
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
    CarryOutOrder(FakeExchange *x)
    {
        accepted_orders++;
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
        // The time of a naming is known, even if the sidecar's first read of
        // the operator list comes after it.
        deployment.is_first_start = is_naming_known;
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
                ",\"seq\":" + std::to_string(engine.accepted_orders) +
                (engine.born != 0 ? ",\"born\":" + std::to_string(engine.born)
                                  : "") +
                ",\"queued\":" + std::to_string(engine.queued) +
                ",\"running\":0,\"kv_total\":100}";
            FakeExchange_Answer(x, 200, report_headers.c_str(), text.data(),
                                text.size());
            return;
        }
        // The engine has no cache events, so the call is not answered.
        if (strncmp(x->head->target, "/galenagw/kv-events", 19) == 0)
            return;
        ordered_id = Endpoint::Header(x, "X-Expect-Instance");
        engine.orders.push_back(
            json_loadb(x->body->str, x->body->len, 0, nullptr));
        if (engine.on_order)
            engine.on_order(&engine, x);
        else
            engine.CarryOutOrder(x);
    }

    // Put an incarnation of the engine into the instance list.
    void
    List(int64_t born, const char *state = "ready")
    {
        engine.endpoint->born = born;
        f.ListEndpoint(engine.endpoint, state, engine.weights);
    }
    // The engine restarts under its id with the same weights. It has accepted
    // no orders yet; `orders` keeps those of the earlier incarnation.
    void
    Restart(int64_t born)
    {
        engine.born = born;
        engine.accepted_orders = 0;
        engine.busy = false;
    }

    Fleet f;
    GwTime bound = 8 * GW_SECOND;
    bool is_naming_known = true;
    bool down = false; // the engine resets each connection
    std::string report_headers;
    std::string ordered_id; // the instance id that the last order names
    Engine engine;
    GwDeployment deployment = {};
    GwSidecar *sidecar = nullptr;
};

// Failure: the engine gets no order to load a version that operators have
// named, which all engines must then load, or it gets the order again after it
// has loaded the version.
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

// Failure: an engine that is leaving gets an order, and loading the weights
// breaks off the last requests of the engine. Its reports announce the
// departure, but its record in the list does not, because the store is
// unavailable.
TEST_F(SidecarTest, AnEngineThatAnnouncesItsDepartureInReportsGetsNoOrder)
{
    Start();
    ASSERT_TRUE(f.Until([&] { return !engine.endpoint->seen.empty(); }));
    report_headers = "Server-Leaving: 1\r\n";
    f.Wait(600 * GW_MILLISECOND);
    f.NameWeights(2);
    f.Wait(2 * GW_SECOND);
    EXPECT_EQ(engine.orders.size(), 0u);
}

// Failure: an order is sent again with each report although the engine refused
// it with Retry-After, and would refuse those orders too.
TEST_F(SidecarTest, RetryAfterDelaysTheNextOrder)
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

// Failure: an engine loads a version that is no longer the newest. Versions
// are named faster than the engine loads: it must skip the one in between.
TEST_F(SidecarTest, ASupersededVersionIsSkipped)
{
    Start();
    engine.on_order = [&](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 1) {
            f.NameWeights(3);
            f.NameWeights(4);
        }
        e->CarryOutOrder(x);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 4; }));
    EXPECT_EQ(engine.orders.size(), 2u);
}

// Failure: an order is sent again although it was carried out, because its
// answer was lost. Reports show that it was carried out.
TEST_F(SidecarTest, ReportsShowWhetherAnUnansweredOrderWasCarriedOut)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        e->accepted_orders++;
        e->weights = 2;
        FakeExchange_Close(x, true);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    f.Wait(3 * GW_SECOND);
    EXPECT_EQ(engine.orders.size(), 1u);
}

// Failure: a lost order is never sent again, or it is sent again and both
// copies are carried out. The second copy must have the same fence and the
// same count of accepted orders ("expect") as the first. If the first copy
// arrives after the second was carried out, the engine has accepted one more
// order and refuses the first copy because of its count.
TEST_F(SidecarTest, AnOrderWithoutAnEffectIsSentAgain)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 1)
            FakeExchange_Close(x, true);
        else
            e->CarryOutOrder(x);
    };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
    ASSERT_EQ(engine.orders.size(), 2u);
    EXPECT_EQ(engine.Int(1, "fence"), engine.Int(0, "fence"));
    EXPECT_EQ(engine.Int(1, "expect"), 0);
}

// Failure: an engine that serves gets no requests for seconds. It does not
// answer orders for a while, and its sidecar notified entries to send it no
// requests until each order should have had an effect, for seven seconds in a
// row: a third of the engines were idle while requests to the others were
// late. The order must be sent again within 0.5 s, with the same count of
// accepted orders. Here three orders are not answered, and the fourth must be
// carried out within 2.5 s.
TEST_F(SidecarTest, AnEngineThatAnswersNoOrdersDoesNotStayUnavailable)
{
    Start();
    engine.on_order = [](Engine *e, FakeExchange *x) {
        if (e->orders.size() == 4)
            e->CarryOutOrder(x);
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

// Failure: an order with a fence that is not proven to be the newest. The
// store, which assigns fences, is made unavailable before the event loop runs
// for the first time, so the sidecar has no fence and must not send orders
// until it gets one.
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

// Failure: an engine refuses the orders of a restarted sidecar, because its
// fence is not larger than the one before. Fences must not depend on the
// clock.
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

// Failure: requests begin on old weights after the bound: the time after the
// naming of a version by which all engines must run it. An engine restarts
// with old weights 0.9 s before the bound, and prompts are queued at once. If
// the sidecar waited until they are prefilled, the order would be sent after
// the bound. It must be sent at least 0.4 s before the bound; the engine then
// refuses the queued requests, which proves that they were not run.
TEST_F(SidecarTest, AnEngineThatStartsLateGetsItsOrderBeforeTheBound)
{
    bound = 3 * GW_SECOND;
    Start();
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    GwTime named = GwTime_Now(); // slightly after the version was named
    f.Wait(bound - 900 * GW_MILLISECOND);
    engine.accepted_orders = 0;
    engine.queued = 5;
    engine.weights = 1;
    ASSERT_TRUE(f.Until([&] { return engine.orders.size() == 2; }));
    EXPECT_LT(GwTime_Now() - named, bound - 400 * GW_MILLISECOND);
}

// Failure: a faulty engine answers a report with bytes that do not end, and
// the sidecar stores them until the report times out, after 250 ms.
TEST_F(SidecarTest, AReportWithoutEndIsGivenUp)
{
    GwTime reported_at = 0;

    Start();
    engine.endpoint->serve = [&](Endpoint *, FakeExchange *x) {
        std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 99000000\r\n"
                           "\r\n" +
                           std::string(1024 * 1024, '?');

        if (strcmp(x->head->target, "/galenagw/report") != 0)
            return;
        reported_at = GwTime_Now();
        FakeExchange_Write(x, text.data(), text.size());
    };
    for (int i = 0; i < 3; i++) {
        reported_at = 0;
        ASSERT_TRUE(f.Until([&] { return reported_at != 0; }));
        int gone = engine.endpoint->gone;
        ASSERT_TRUE(f.Until([&] { return engine.endpoint->gone > gone; }));
        EXPECT_LT(GwTime_Now() - reported_at, 150 * GW_MILLISECOND);
    }
    engine.endpoint->serve = [this](Endpoint *, FakeExchange *x) { Serve(x); };
    f.NameWeights(2);
    EXPECT_TRUE(f.Until([&] { return engine.weights == 2; }));
}

// Failure: after a restart of all processes, all outdated engines switch at
// once, as if they were late, and nothing is served meanwhile, although the
// store knows that the version was named a moment ago.
TEST_F(SidecarTest, ASwitchIsLateOnlyIfTheStoreDoesNotKnowTheNaming)
{
    for (bool is_stored : {true, false}) {
        std::string namings = "{\"versions\":[[2," +
                              std::to_string(g_get_real_time() / 1000 - 1000) +
                              "]]}";

        is_naming_known = false;
        engine.weights = 1;
        f.NameWeights(2);
        FakeStore_Put(f.store, "keyed.namings", "m",
                      is_stored ? namings.c_str() : nullptr);
        Start();
        ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
        EXPECT_EQ(GwSidecar_Counters(sidecar)->plain[GW_COUNTER_SWITCHES_LATE],
                  is_stored ? 0u : 1u);
        GwSidecar_Delete(sidecar);
        GwDeployment_Clear(&deployment);
        sidecar = nullptr;
    }
}

// Failure: an odd entry of another writer among the stored times of namings
// has a version that was never named. All engines count as outdated and get
// orders for it, which they refuse.
TEST_F(SidecarTest, AStoredTimeDoesNotNameAVersion)
{
    is_naming_known = false;
    engine.weights = 1;
    f.NameWeights(2);
    FakeStore_Put(f.store, "keyed.namings", "m",
                  "{\"versions\":[[9000000000000000000,1],[3,1]]}");
    Start();
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    f.Wait(GW_SECOND);
    EXPECT_EQ(engine.weights, 2);
    EXPECT_EQ(engine.orders.size(), 1u);
}

// Failure: an engine that restarted under another id gets orders with its old
// id, which it refuses, and entries get no state of the new one, for up to ten
// seconds: the interval at which its sidecar usually reads the instance list.
TEST_F(SidecarTest, ARestartedEngineGetsOrdersUnderItsNewId)
{
    Start();
    f.NameWeights(2);
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    Endpoint *first = engine.endpoint;
    // A second change of the list, after the first record of the engine. The
    // sidecar reads it and then pauses for its usual interval, so only the
    // restart can make it read the new id in time.
    f.ListEndpoint(first, "ready", 2);
    f.Wait(300 * GW_MILLISECOND);
    down = true;
    f.Wait(700 * GW_MILLISECOND);
    down = false;
    engine.weights = 1;
    engine.accepted_orders = 0;
    first->id = "i-2";
    f.ListEndpoint(first, "ready", 1);
    GwTime started = GwTime_Now();
    ASSERT_TRUE(f.Until([&] { return ordered_id == "i-2"; }));
    EXPECT_LT(GwTime_Now() - started, GW_SECOND);
}

// Failure: an order to a restarted engine is delayed until the unanswered
// order to its earlier incarnation times out, or it names that incarnation's
// count of accepted orders. The engine restarts under the same id. Either only
// its report shows the restart, because the store is unavailable, or both the
// list and the report do.
TEST_F(SidecarTest, AnUnansweredOrderAppliesOnlyToItsIncarnation)
{
    const struct {
        const char *name;
        bool listed, reported;
    } cases[] = {
        {"restart in the report only", false, true},
        {"restart in the list and the report", true, true},
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
                e->accepted_orders = 5;
                FakeExchange_Close(x, true);
            }
            else
                e->CarryOutOrder(x);
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
            << "a fence must not be smaller than that of an unanswered order";
        FakeStore_Refuse(f.store, 0);
        f.Wait(300 * GW_MILLISECOND);
    }
    EXPECT_EQ(GwSidecar_Counters(sidecar)->plain[GW_COUNTER_RESTARTS_SEEN],
              2u);
}

// Failure: an engine keeps old weights because the reports of its earlier
// incarnation showed the newest weights. The later incarnation has older
// weights: either it starts with them, or it carries out an order that was
// sent to the earlier incarnation and loads them. It may carry that order out,
// because the order names only the id and a count that may match.
TEST_F(SidecarTest, ALaterIncarnationWithOlderWeightsGetsAnOrderAgain)
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
    // The late order: it is the second that this incarnation accepts.
    engine.weights = 1;
    engine.accepted_orders = 2;
    ASSERT_TRUE(f.Until([&] { return engine.weights == 2; }));
    EXPECT_EQ(engine.Int(2, "expect"), 2);
    f.Wait(600 * GW_MILLISECOND);
    EXPECT_EQ(engine.orders.size(), 3u);
}

// Failure: the sidecar sends an order with the count of accepted orders of an
// earlier incarnation. Reports are some hundred milliseconds old, so a report
// of the earlier incarnation arrives after the later incarnation was listed. A
// report whose start time (`born`) is earlier than the listed one must cause
// no order. This also holds for an engine that restarted after its clock was
// set back, until its old record is removed from the list.
TEST_F(SidecarTest, AReportOfAnEarlierIncarnationCausesNoOrder)
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

// Failure: an engine that was leaving and has restarted under its id does not
// get the newest weights.
TEST_F(SidecarTest, AnEngineThatLeftAndRestartedGetsAnOrder)
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
