// The interface GwEndpoint with both implementations, and how faults of an
// endpoint are reported.
#include "galenagw/fakes/loop_test.h"

#include <functional>
#include <string>

#include "galenagw/endpoint/endpoint.h"
#include "galenagw/fakes/fake_engine.h"
#include "galenagw/fakes/fake_service.h"
#include "galenagw/fakes/raw_server.h"

namespace {

const char kBody[] = "{\"model\":\"m\",\"stream\":true,\"max_tokens\":4,"
                     "\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}";

// What the callbacks of one call received.
struct CallRecord {
    int status = 0, chunks = 0;
    bool done = false;
    GwEndpointResult result = {};
};

const GwEndpointCallOps kOps = {
    [](void *u, int status, const char *) {
        static_cast<CallRecord *>(u)->status = status;
    },
    [](void *u, const char *, size_t) {
        static_cast<CallRecord *>(u)->chunks++;
    },
    [](void *u, const GwEndpointResult *r) {
        static_cast<CallRecord *>(u)->result = *r;
        static_cast<CallRecord *>(u)->done = true;
    },
};

struct Endpoint : LoopTest {
    FakeEngineOptions engine_options = {};
    FakeServiceOptions service_options = {};
    FakeEngine *engine = nullptr;
    FakeService *service = nullptr;
    GwEndpointOptions endpoint_options = {kAny, 10 * GW_MILLISECOND,
                                          200 * GW_MILLISECOND};
    GwEndpointRequest request = {};

    void
    SetUp() override
    {
        wait_timeout = 5 * GW_SECOND;
        engine_options.slots = 2;
        engine_options.cache_blocks = 10;
        engine_options.decode = GW_MILLISECOND;
        engine_options.weights = "v1";
        engine = FakeEngine_New(loop, &kAny, &engine_options, nullptr);
        service = FakeService_New(loop, &kAny, &service_options, nullptr);
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.content_type = "application/json";
        request.body = kBody;
        request.body_len = sizeof(kBody) - 1;
        request.stream = true;
        request.cache_salt = "a";
    }
    void
    TearDown() override
    {
        FakeEngine_Delete(engine);
        FakeService_Delete(service);
    }
};

} // namespace

// Failure: a request counts as run, or as not run, when the opposite is true.
// The outcome must follow from how the engine's answer ends.
TEST_F(Endpoint, EngineCallsReportTheirOutcome)
{
    const struct {
        const char *name;
        std::function<void(FakeEngineOptions *)> fault;
        bool listening;
        GwEndpointOutcome outcome;
        int chunks;
    } cases[] = {
        {"whole", [](FakeEngineOptions *) {}, true, GW_ENDPOINT_COMPLETE, 6},
        {"refused with status 503",
         [](FakeEngineOptions *f) { f->reject = true; }, true,
         GW_ENDPOINT_NOT_RUN, 0},
        {"closes the connection in the answer",
         [](FakeEngineOptions *f) {
             f->break_after = 2;
             f->break_count = 1;
         },
         true, GW_ENDPOINT_BROKEN, 2},
        {"silent", [](FakeEngineOptions *f) { f->silent = true; }, true,
         GW_ENDPOINT_BROKEN, 0},
        {"connection refused", [](FakeEngineOptions *) {}, false,
         GW_ENDPOINT_NOT_RUN, 0},
    };

    for (auto &c : cases) {
        CallRecord record;

        endpoint_options.address.port =
            c.listening ? FakeEngine_Port(engine) : 1;
        GwEndpoint e = GwEngine_New(loop, &endpoint_options);
        c.fault(FakeEngine_Options(engine));
        e.ops->start(e.impl, &request, &kOps, &record);
        EXPECT_FALSE(record.done)
            << c.name << ": callback called from within start";
        ASSERT_TRUE(Until([&] { return record.done; })) << c.name;
        EXPECT_EQ(record.result.outcome, c.outcome)
            << c.name << ": "
            << GwEndpointOutcome_Names[record.result.outcome];
        EXPECT_EQ(record.chunks, c.chunks) << c.name;
        *FakeEngine_Options(engine) = engine_options;
        e.ops->delete_(e.impl);
    }
}

// Failure: the engine goes on generating for a cancelled call, or a callback
// is called for it after its owner was freed.
TEST_F(Endpoint, CancelStopsTheEngineWithoutACallback)
{
    CallRecord record;

    endpoint_options.address.port = FakeEngine_Port(engine);
    FakeEngine_Options(engine)->decode = GW_SECOND;
    GwEndpoint e = GwEngine_New(loop, &endpoint_options);
    GwEndpointCall *call = e.ops->start(e.impl, &request, &kOps, &record);
    ASSERT_TRUE(Until([&] { return record.chunks > 0; }));
    e.ops->cancel(e.impl, call);
    ASSERT_TRUE(
        Until([&] { return FakeEngine_Stats(engine)->cancelled == 1; }));
    EXPECT_FALSE(record.done);
    e.ops->delete_(e.impl);
}

// Failure: a refused order is reported as done, or the other way round. One
// engine checks fences, and one ignores them.
TEST_F(Endpoint, EnginesThatCheckFencesRefuseOrdersWithAnOldOne)
{
    for (bool ignores : {false, true}) {
        GwOrderOutcome outcome = GW_ORDER_UNKNOWN;
        bool done = false;
        std::pair<GwOrderOutcome *, bool *> out = {&outcome, &done};
        GwOrderFn fn = [](void *u, GwOrderOutcome e) {
            auto *p = static_cast<std::pair<GwOrderOutcome *, bool *> *>(u);
            *p->first = e;
            *p->second = true;
        };

        FakeEngine_Options(engine)->ignore_fence = ignores;
        endpoint_options.address.port = FakeEngine_Port(engine);
        GwEndpoint e = GwEngine_New(loop, &endpoint_options);
        for (uint64_t fence : {9, 8}) {
            done = false;
            e.ops->load_weights(e.impl, "v2", fence, fn, &out);
            ASSERT_TRUE(Until([&] { return done; }));
        }
        EXPECT_EQ(outcome, ignores ? GW_ORDER_DONE : GW_ORDER_FENCED);
        e.ops->delete_(e.impl);
    }
}

// Guards against an engine whose report or order has no end: its agent kept
// all of it and ran out of memory.
TEST_F(Endpoint, EndlessReportsAreNotKept)
{
    RawServer server(loop, kAny, {"HTTP/1.1 200 OK\r\n\r\n", "x"});
    struct Watch {
        int downs = 0;
        bool is_ordered = false;
    } watch;
    const GwEndpointWatchOps ops = {
        [](void *, const GwEndpointReport *) {},
        [](void *, uint64_t, GwCacheEventKind, const uint64_t *, size_t) {},
        [](void *u) { static_cast<Watch *>(u)->downs++; },
    };

    endpoint_options.address.port = server.Port();
    GwEndpoint e = GwEngine_New(loop, &endpoint_options);
    e.ops->watch(e.impl, &ops, &watch);
    e.ops->load_weights(
        e.impl, "v2", 1,
        [](void *u, GwOrderOutcome) {
            static_cast<Watch *>(u)->is_ordered = true;
        },
        &watch);
    EXPECT_TRUE(Until([&] { return watch.downs > 0 && watch.is_ordered; }));
    EXPECT_LT(server.sent, 256u * 1024 * 1024);
    e.ops->delete_(e.impl);
}

// Failure: a request of a plain service whose answer is missing counts as
// complete, or is sent twice.
TEST_F(Endpoint, PlainServiceCallsReportTheirOutcome)
{
    const struct {
        const char *name;
        FakeServiceOptions options;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"whole", {0, 0, 0, 0}, GW_ENDPOINT_COMPLETE},
        {"connection closed before the answer",
         {0, 1, 0, 0},
         GW_ENDPOINT_BROKEN},
        {"no answer until the timeout", {0, 0, 1, 0}, GW_ENDPOINT_BROKEN},
    };

    endpoint_options.address.port = FakeService_Port(service);
    request.path = "/cabins";
    for (auto &c : cases) {
        CallRecord record;
        GwEndpoint e = GwPlainService_New(loop, &endpoint_options);

        *FakeService_Options(service) = c.options;
        e.ops->start(e.impl, &request, &kOps, &record);
        ASSERT_TRUE(Until([&] { return record.done; })) << c.name;
        EXPECT_EQ(record.result.outcome, c.outcome) << c.name;
        e.ops->delete_(e.impl);
    }
    EXPECT_EQ(FakeService_Total(service), 3) << "each request must run once";
}
