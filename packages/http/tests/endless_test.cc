#include <gtest/gtest.h>

#include <string>

#include "galenagw/fakes/loop_test.h"
#include "galenagw/fakes/raw_server.h"
#include "galenagw/http/client.h"
#include "galenagw/http/message.h"

namespace {

// Counts what a reader reports.
struct Reports {
    size_t heads = 0, body_bytes = 0;
};

bool
OnHead(void *user, const GwHttpHead *)
{
    static_cast<Reports *>(user)->heads++;
    return true;
}

bool
OnBody(void *user, const char *, size_t len)
{
    static_cast<Reports *>(user)->body_bytes += len;
    return true;
}

} // namespace

// Guards against servers that send bytes that are no answer, without end: a
// reader that neither reports them nor gives up would read on until the
// caller's deadline.
TEST(HttpReaderEndless, BytesThatAreNoAnswerEndTheMessage)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const struct {
        const char *name;
        std::string start, repeated;
    } cases[] = {
        {"garbage", "", "\x01garbage"},
        {"empty lines", "", "\r\n"},
        {"line feeds", "", "\n"},
        {"version", "HTTP/1.", "1"},
        {"reason", "HTTP/1.1 200 ", "x"},
        {"header name", ok, "x"},
        {"header value", ok + "X: ", "y"},
        {"blanks in a header value", ok + "X:", " "},
        {"headers", ok, "X: y\r\n"},
        {"empty headers", ok, "X:\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "1;", "x"},
        {"trailers", chunked + "0\r\n", "X: y\r\n"},
        {"trailer name", chunked + "0\r\n", "x"},
        {"trailer value", chunked + "0\r\nX: ", "y"},
        {"blanks in a trailer value", chunked + "0\r\nX:", " "},
    };
    const size_t most = 1024 * 1024;

    for (auto &c : cases) {
        for (size_t piece : {1, 7, 1400, 65536}) {
            Reports reports;
            const GwHttpReaderOps ops = {OnHead, OnBody};
            GwHttpReaderOptions options = {};
            GwHttpProgress progress = GW_HTTP_MORE;
            std::string data = c.start;
            size_t sent = 0;

            options.reads = GW_HTTP_RESPONSES;
            options.ops = &ops;
            options.user = &reports;
            GwHttpReader *reader = GwHttpReader_New(&options);
            while (progress == GW_HTTP_MORE && sent < most) {
                while (data.size() < piece)
                    data += c.repeated;
                for (size_t at = 0; at < data.size() && sent < most &&
                                    progress == GW_HTTP_MORE;
                     at += piece) {
                    size_t used;
                    size_t n = std::min(piece, data.size() - at);

                    progress =
                        GwHttpReader_Feed(reader, data.data() + at, n, &used);
                    sent += n;
                }
                data.clear();
            }
            EXPECT_NE(progress, GW_HTTP_MORE) << c.name << " by " << piece;
            EXPECT_EQ(reports.body_bytes, 0u) << c.name;
            GwHttpReader_Delete(reader);
        }
    }
}

static GwHttpRequestOptions
OptionsFor(const RawServer &server, const char *method,
           const GwHttpRequestOps *ops, void *user)
{
    GwHttpRequestOptions options = {};

    options.address = kAny;
    options.address.port = server.Port();
    options.method = method;
    options.path = "/";
    options.ops = ops;
    options.user = user;
    return options;
}

// Guards against servers that send an answer, or bytes that are none, without
// end: a client that keeps the answer would run out of memory, and one that
// waits for its end would wait for ever.
TEST_F(LoopTest, HttpRequestEndsAnEndlessAnswer)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const struct {
        const char *name;
        std::string start, repeated;
    } cases[] = {
        {"no length", ok + "\r\n", "xxxxxxxx"},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n",
         "8\r\nxxxxxxxx\r\n"},
        {"a great length", ok + "Content-Length: 999999999999\r\n\r\n", "x"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    };
    const size_t max_body = 100000;
    struct Call {
        size_t received = 0;
        bool is_done = false;
        GwHttpOutcome outcome = GW_HTTP_COMPLETE;
    };
    const GwHttpRequestOps ops = {
        nullptr,
        [](void *user, const char *, size_t len) {
            static_cast<Call *>(user)->received += len;
        },
        [](void *user, GwHttpOutcome outcome) {
            static_cast<Call *>(user)->is_done = true;
            static_cast<Call *>(user)->outcome = outcome;
        }};

    wait_timeout = 2 * GW_SECOND;
    for (auto &c : cases) {
        RawServer server(loop, kAny, {c.start, c.repeated});
        Call call;
        GwHttpRequestOptions options = OptionsFor(server, "GET", &ops, &call);

        options.max_body = max_body;
        GwHttpRequest *request = GwHttpRequest_New(loop, &options);
        EXPECT_TRUE(Until([&] { return call.is_done; })) << c.name;
        EXPECT_EQ(call.outcome, GW_HTTP_BROKEN) << c.name;
        EXPECT_LE(call.received, max_body) << c.name;
        if (!call.is_done)
            GwHttpRequest_Cancel(request);
        GwLoop_Step(loop);
    }
}

// A server answers a long upload at once, without a length, and resets the
// connection while the upload is still being sent. Guards against the part
// that was received being taken for a whole answer.
TEST_F(LoopTest, HttpRequestResetDuringUploadIsBroken)
{
    const std::string body(4 * 1024 * 1024, 'b');
    struct Call {
        bool is_done = false;
        GwHttpOutcome outcome = GW_HTTP_COMPLETE;
    };
    const GwHttpRequestOps ops = {
        nullptr, [](void *, const char *, size_t) {},
        [](void *user, GwHttpOutcome outcome) {
            *static_cast<Call *>(user) = {true, outcome};
        }};

    for (GwTime delay_ms : {0, 20, 200})
        for (bool reads_on : {false, true}) {
            RawServer server(loop, kAny,
                             {"HTTP/1.1 200 OK\r\n\r\npart", "", true,
                              delay_ms * GW_MILLISECOND, reads_on});
            Call call;
            GwHttpRequestOptions options =
                OptionsFor(server, "POST", &ops, &call);

            options.body = body.data();
            options.body_len = body.size();
            GwHttpRequest_New(loop, &options);
            EXPECT_TRUE(Until([&] { return call.is_done; })) << delay_ms;
            EXPECT_EQ(call.outcome, GW_HTTP_BROKEN) << delay_ms;
        }
}
