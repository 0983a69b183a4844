// Answers that an endpoint ends too early, in each framing of an answer.
#include "galenagw/fakes/loop_test.h"

#include <string>

#include "galenagw/endpoint/endpoint.h"
#include "galenagw/fakes/fake_httpd.h"
#include "galenagw/fakes/framed_answer.h"

namespace {

// How an endpoint ends its answer.
enum class End { kInOrder, kReset };

// What the callbacks of one call received.
struct CallRecord {
    int status = 0;
    std::string body;
    bool done = false;
    GwEndpointResult result = {};
};

const GwEndpointCallOps kOps = {
    [](void *u, int status, const char *) {
        static_cast<CallRecord *>(u)->status = status;
    },
    [](void *u, const char *data, size_t len) {
        static_cast<CallRecord *>(u)->body.append(data, len);
    },
    [](void *u, const GwEndpointResult *r) {
        static_cast<CallRecord *>(u)->result = *r;
        static_cast<CallRecord *>(u)->done = true;
    },
};

struct TruncatedAnswer : LoopTest {
    FakeHttpd *httpd = nullptr;
    std::string type, body;
    Framing framing = Framing::kUnframed;
    End end = End::kInOrder;
    GwTimer reset_timer = {};
    FakeExchange *exchange = nullptr;

    void
    SetUp() override
    {
        static const FakeHttpdOps ops = {
            [](void *u, FakeExchange *x) {
                static_cast<TruncatedAnswer *>(u)->Answer(x);
            },
            nullptr};

        wait_timeout = 5 * GW_SECOND;
        httpd = FakeHttpd_New(loop, &kAny, &ops, this, nullptr);
        GwTimer_Init(
            &reset_timer, loop,
            [](void *u) {
                auto *t = static_cast<TruncatedAnswer *>(u);

                FakeExchange_Close(t->exchange, t->end == End::kReset);
            },
            this);
    }
    void
    TearDown() override
    {
        GwTimer_Stop(&reset_timer);
        FakeHttpd_Delete(httpd);
    }
    // Sends the whole answer. With a reset, the last byte of the body and what
    // would follow it are missing if the answer has a length or chunks.
    void
    Answer(FakeExchange *x)
    {
        std::string out =
            FrameAnswer(framing, "Content-Type: " + type + "\r\n", body,
                        end == End::kReset);

        FakeExchange_Write(x, out.data(), out.size());
        exchange = x;
        // A reset at once could overtake the bytes before it.
        if (end == End::kReset)
            GwTimer_Start(&reset_timer, 20 * GW_MILLISECOND);
        else if (framing == Framing::kUnframed)
            FakeExchange_Close(x, false);
    }
    CallRecord
    Play(bool is_engine)
    {
        GwEndpointOptions options = {kAny, 10 * GW_SECOND, 2 * GW_SECOND};
        GwEndpointRequest request = {};
        CallRecord record;

        options.address.port = FakeHttpd_Port(httpd);
        request.method = "POST";
        request.path = is_engine ? "/v1/chat/completions" : "/cabins";
        request.content_type = "application/json";
        request.body = "{}";
        request.body_len = 2;
        request.cache_salt = "a";
        GwEndpoint e = is_engine ? GwEngine_New(loop, &options)
                                 : GwPlainService_New(loop, &options);
        e.ops->start(e.impl, &request, &kOps, &record);
        EXPECT_TRUE(Until([&] { return record.done; }));
        e.ops->delete_(e.impl);
        return record;
    }
    // Plays each case in each framing. @p check may check more of the record.
    template <typename Case, size_t n, typename Check>
    void
    ExpectOutcomes(const Case (&cases)[n], bool is_engine, const Check &check)
    {
        for (auto &f : kFramings) {
            SCOPED_TRACE(f.name);
            framing = f.framing;
            for (auto &c : cases) {
                body = c.body;
                CallRecord record = Play(is_engine);

                EXPECT_EQ(record.result.outcome, c.outcome) << c.name;
                check(record, c);
            }
        }
    }
    template <typename Case, size_t n>
    void
    ExpectOutcomes(const Case (&cases)[n], bool is_engine)
    {
        ExpectOutcomes(cases, is_engine, [](const CallRecord &, auto &) {});
    }
};

const char kEvent[] = "data: {\"choices\":[]}\n\n";
const char kDone[] = "data: [DONE]\n\n";
const char kJson[] = "{\"choices\":[{\"text\":\"a } \\\" b\"}],"
                     "\"usage\":{\"prompt_tokens\":3}}";

} // namespace

// An engine's stream ends before its end marker; guards against reporting it
// as complete.
TEST_F(TruncatedAnswer, EngineStreamNeedsItsEndMarker)
{
    const std::string event = kEvent;
    const struct {
        const char *name;
        std::string body;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"whole", event + kDone, GW_ENDPOINT_COMPLETE},
        {"no byte", "", GW_ENDPOINT_BROKEN},
        {"behind a whole event", event, GW_ENDPOINT_BROKEN},
        {"inside an event", event + "data: {\"cho", GW_ENDPOINT_BROKEN},
        {"inside the end marker", event + "data: [DONE]\n",
         GW_ENDPOINT_BROKEN},
    };

    type = "text/event-stream";
    ExpectOutcomes(cases, true);
}

// An engine ends its lines with CRLF or CR, sends a byte order mark, or writes
// fields without a blank; guards against reporting its stream as truncated.
TEST_F(TruncatedAnswer, EngineStreamMayUseAnyFormOfEvents)
{
    const struct {
        const char *name, *body;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"CRLF", "data: {}\r\n\r\ndata: [DONE]\r\n\r\n", GW_ENDPOINT_COMPLETE},
        {"CR", "data: {}\r\rdata: [DONE]\r\r", GW_ENDPOINT_COMPLETE},
        {"mixed", "data: {}\r\n\ndata: [DONE]\n\r\n", GW_ENDPOINT_COMPLETE},
        {"byte order mark",
         "\xEF\xBB\xBF"
         "data: [DONE]\n\n",
         GW_ENDPOINT_COMPLETE},
        {"no blank", "data:{}\n\ndata:[DONE]\n\n", GW_ENDPOINT_COMPLETE},
        {"id first", "data: {}\n\nid: 2\ndata: [DONE]\n\n",
         GW_ENDPOINT_COMPLETE},
        {"comment first", ": ping\ndata: [DONE]\n\n", GW_ENDPOINT_COMPLETE},
        {"CRLF, inside the end marker", "data: {}\r\n\r\ndata: [DONE]\r\n",
         GW_ENDPOINT_BROKEN},
        {"CR, inside the end marker", "data: {}\r\rdata: [DONE]\r",
         GW_ENDPOINT_BROKEN},
        {"marker in a comment", "data: {}\n\n:data: [DONE]\n\n",
         GW_ENDPOINT_BROKEN},
        {"byte order mark inside",
         "data: {}\n\n\xEF\xBB\xBF"
         "data: [DONE]\n\n",
         GW_ENDPOINT_BROKEN},
    };

    type = "text/event-stream";
    ExpectOutcomes(cases, true);
}

// An engine ends an answer that is no stream inside its JSON text; guards
// against reporting it as complete.
TEST_F(TruncatedAnswer, EngineJsonIsWhole)
{
    const std::string json = kJson;
    const std::string large =
        "{\"text\":\"" + std::string(512 * 1024, 'x') + "\"}";
    const struct {
        const char *name;
        std::string body;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"whole", json, GW_ENDPOINT_COMPLETE},
        {"whole, with a line end", json + "\r\n", GW_ENDPOINT_COMPLETE},
        {"whole and large", large, GW_ENDPOINT_COMPLETE},
        {"no byte", "", GW_ENDPOINT_BROKEN},
        {"all but the last byte", json.substr(0, json.size() - 1),
         GW_ENDPOINT_BROKEN},
        {"inside a text, behind a brace", json.substr(0, 27),
         GW_ENDPOINT_BROKEN},
        {"large, all but the last byte", large.substr(0, large.size() - 1),
         GW_ENDPOINT_BROKEN},
    };

    type = "application/json";
    ExpectOutcomes(cases, true);
}

// A plain service ends a stream inside an event; guards against dropping the
// part of the event and reporting the answer as complete.
TEST_F(TruncatedAnswer, ServiceStreamEndsBehindAnEvent)
{
    const std::string event = "id: 1\ndata: t1\n\n";
    const struct {
        const char *name;
        std::string body;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"whole", event, GW_ENDPOINT_COMPLETE},
        {"whole, with CRLF", "id: 1\r\ndata: t1\r\n\r\n",
         GW_ENDPOINT_COMPLETE},
        {"whole, with CR", "id: 1\rdata: t1\r\r", GW_ENDPOINT_COMPLETE},
        {"whole, with another empty line", event + "\n", GW_ENDPOINT_COMPLETE},
        {"no event", "", GW_ENDPOINT_COMPLETE},
        {"one byte", event + "i", GW_ENDPOINT_BROKEN},
        {"a whole line", event + "id: 2\n", GW_ENDPOINT_BROKEN},
        {"all but the empty line", event + "id: 2\ndata: t2\n",
         GW_ENDPOINT_BROKEN},
        {"all but the empty line, with CRLF", event + "data: t2\r\n",
         GW_ENDPOINT_BROKEN},
    };

    type = "text/event-stream";
    ExpectOutcomes(cases, false, [](const CallRecord &record, auto &c) {
        if (c.outcome == GW_ENDPOINT_COMPLETE) {
            EXPECT_EQ(record.body, c.body) << c.name;
        }
    });
}

// An endpoint resets the connection behind a body that looks whole; guards
// against reporting the answer as complete.
TEST_F(TruncatedAnswer, IsBrokenAfterAReset)
{
    const struct {
        const char *name, *type, *body;
        bool is_engine;
    } cases[] = {
        {"JSON of an engine", "application/json", kJson, true},
        {"JSON of a service", "application/json", kJson, false},
        {"text of a service", "text/plain", "abc", false},
        {"stream of a service", "text/event-stream", kEvent, false},
    };

    end = End::kReset;
    for (auto &f : kFramings) {
        framing = f.framing;
        for (auto &c : cases) {
            type = c.type;
            body = c.body;
            CallRecord record = Play(c.is_engine);

            EXPECT_EQ(record.result.outcome, GW_ENDPOINT_BROKEN)
                << f.name << ", " << c.name;
        }
    }
}

// An engine never ends its event; guards against holding it without a bound,
// as bytes that arrive prevent the timeout.
TEST_F(TruncatedAnswer, EngineEventWithoutEndIsBroken)
{
    const struct {
        const char *name;
        std::string body;
        GwEndpointOutcome outcome;
    } cases[] = {
        {"long", "data: " + std::string(960 * 1024, 'x') + "\n\n" + kDone,
         GW_ENDPOINT_COMPLETE},
        {"too long",
         "data: " + std::string(2 * 1024 * 1024, 'x') + "\n\n" + kDone,
         GW_ENDPOINT_BROKEN},
    };

    type = "text/event-stream";
    ExpectOutcomes(cases, true, [](const CallRecord &record, auto &c) {
        EXPECT_EQ(record.body.empty(), c.outcome == GW_ENDPOINT_BROKEN)
            << c.name;
    });
}
