// Ends of streamed answers, as clients of each HTTP version see them.
#include "galenagw/fakes/loop_test.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "galenagw/http/server.h"
#include "galenagw/net/tcp.h"

namespace {

enum class How { kEnd, kAbort, kDelete };

struct StreamedAnswer : LoopTest {
    GwHttpServer *server = nullptr;
    GwHttpCall *call = nullptr;
    std::string received;
    bool closed = false;
    GwTcpEnd end = GW_TCP_UNREACHABLE;

    // Sends a request, and answers it by "abc" and an end.
    void
    Play(const char *request, How how)
    {
        static const GwHttpServerOps server_ops = {
            [](void *u, GwHttpCall *c) {
                static_cast<StreamedAnswer *>(u)->call = c;
            },
            nullptr, nullptr, nullptr};
        static const GwTcpOps client_ops = {
            nullptr,
            [](void *u, const uint8_t *data, size_t len) {
                static_cast<StreamedAnswer *>(u)->received.append(
                    reinterpret_cast<const char *>(data), len);
            },
            [](void *u, GwTcpEnd e) {
                static_cast<StreamedAnswer *>(u)->closed = true;
                static_cast<StreamedAnswer *>(u)->end = e;
            },
            nullptr};
        GwHttpServerOptions options = {};
        GwAddress address = kAny;

        received = "";
        closed = false;
        call = nullptr;
        options.address = kAny;
        options.ops = &server_ops;
        options.user = this;
        server = GwHttpServer_New(loop, &options, nullptr);
        address.port = GwHttpServer_Port(server);
        GwTcp *tcp = GwTcp_Connect(loop, &address, &client_ops, this);
        GwTcp_Write(tcp, reinterpret_cast<const uint8_t *>(request),
                    strlen(request));
        ASSERT_TRUE(Until([&] { return call != nullptr; }));
        GwHttpCall_Begin(call, 200, "text/plain");
        GwHttpCall_Write(call, "abc", 3);
        ASSERT_TRUE(
            Until([&] { return received.find("abc") != std::string::npos; }));
        if (how == How::kEnd)
            GwHttpCall_End(call);
        else if (how == How::kAbort)
            GwHttpCall_Abort(call);
        if (how == How::kDelete) {
            GwHttpServer_Delete(server);
            server = nullptr;
        }
        EXPECT_TRUE(Until([&] { return closed; }));
        GwHttpServer_Delete(server);
    }
};

const struct {
    const char *name;
    How how;
} kEnds[] = {
    {"complete", How::kEnd},
    {"aborted", How::kAbort},
    {"server deleted", How::kDelete},
};

} // namespace

// An answer to a client of HTTP/1.0; guards against chunks, which it takes for
// content, and against an orderly close behind a part of the answer.
TEST_F(StreamedAnswer, EndsWithTheConnectionInHttp10)
{
    const char *const requests[] = {
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    };

    for (const char *request : requests) {
        for (auto &e : kEnds) {
            Play(request, e.how);
            EXPECT_EQ(received.find("chunked"), std::string::npos) << e.name;
            EXPECT_EQ(received.substr(received.find("\r\n\r\n") + 4), "abc")
                << e.name;
            EXPECT_EQ(end, e.how == How::kEnd ? GW_TCP_FINISHED : GW_TCP_RESET)
                << e.name;
        }
    }
}

// An answer to a client that reuses no connection; guards against a final
// chunk behind a part of the answer.
TEST_F(StreamedAnswer, HasAFinalChunkOnlyIfComplete)
{
    for (auto &e : kEnds) {
        Play("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", e.how);
        EXPECT_EQ(received.find("0\r\n\r\n") != std::string::npos,
                  e.how == How::kEnd)
            << e.name;
    }
}

// Closes idle connections of the server, as in a drain.
struct DrainTicker {
    static constexpr GwTime kInterval = 10 * GW_MILLISECOND;

    DrainTicker(GwLoop *loop, GwHttpServer *http_server) : server(http_server)
    {
        GwTimer_Init(
            &timer, loop,
            [](void *user) {
                auto *t = static_cast<DrainTicker *>(user);

                GwHttpServer_CloseIdle(t->server);
                t->ticks++;
                GwTimer_Start(&t->timer, kInterval);
            },
            this);
        GwTimer_Start(&timer, kInterval);
    }
    ~DrainTicker()
    {
        GwTimer_Stop(&timer);
    }

    GwHttpServer *server;
    GwTimer timer;
    int ticks = 0;
};

// Guards against a request that is lost in a drain: its connection is closed
// as idle after it was accepted and before the request arrives. The caller
// then gets neither an answer nor a refusal.
TEST_F(LoopTest, ANewConnectionIsNotClosedAsIdle)
{
    struct State {
        std::string received;
        bool closed = false;
    } state;
    static const GwHttpServerOps server_ops = {[](void *, GwHttpCall *c) {
                                                   GwHttpCall_Begin(
                                                       c, 200, "text/plain");
                                                   GwHttpCall_End(c);
                                               },
                                               nullptr, nullptr, nullptr};
    static const GwTcpOps client_ops = {
        nullptr,
        [](void *u, const uint8_t *data, size_t len) {
            static_cast<State *>(u)->received.append(
                reinterpret_cast<const char *>(data), len);
        },
        [](void *u, GwTcpEnd) { static_cast<State *>(u)->closed = true; },
        nullptr};
    const char *request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    GwHttpServerOptions options = {};
    GwAddress address = kAny;

    options.address = kAny;
    options.ops = &server_ops;
    GwHttpServer *server = GwHttpServer_New(loop, &options, nullptr);
    address.port = GwHttpServer_Port(server);
    {
        DrainTicker drain(loop, server);
        GwTcp *tcp = GwTcp_Connect(loop, &address, &client_ops, &state);

        ASSERT_TRUE(Until([&] { return drain.ticks == 5; }));
        ASSERT_FALSE(state.closed);
        GwTcp_Write(tcp, reinterpret_cast<const uint8_t *>(request),
                    strlen(request));
        // After its request the connection is idle.
        EXPECT_TRUE(Until([&] { return state.closed; }));
    }
    EXPECT_NE(state.received.find(" 200 "), std::string::npos);
    GwHttpServer_Delete(server);
}

// Guards against answers that are cut because their caller reads slowly: what
// is queued for it is sent as long as it takes some of it, also after the end
// of the answer, and the server knows that it is queued.
TEST_F(StreamedAnswer, ACallerThatReadsSlowlyGetsItsWholeAnswer)
{
    static const GwHttpServerOps server_ops = {
        [](void *u, GwHttpCall *c) {
            static_cast<StreamedAnswer *>(u)->call = c;
        },
        nullptr, nullptr, nullptr};
    const std::string body(5 * 1024 * 1024, 'x');
    const char request[] = "GET / HTTP/1.0\r\n\r\n";
    GwHttpServerOptions options = {};
    sockaddr_in address = {};
    int size = 4096;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    GwTime started_at = GwTime_Now();
    size_t got = 0;
    bool has_end = false;

    options.address = kAny;
    options.ops = &server_ops;
    options.user = this;
    server = GwHttpServer_New(loop, &options, nullptr);
    address.sin_family = AF_INET;
    address.sin_port = htons((uint16_t)GwHttpServer_Port(server));
    inet_pton(AF_INET, kAny.host, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    ASSERT_EQ(connect(fd, (sockaddr *)&address, sizeof(address)), 0);
    ASSERT_EQ(write(fd, request, strlen(request)), (ssize_t)strlen(request));
    ASSERT_TRUE(Until([&] { return call != nullptr; }));
    GwHttpCall_Respond(call, 200, "text/plain", body.data(), body.size());
    EXPECT_TRUE(GwHttpServer_HasUnsent(server));
    // The loop would wait for events of its own.
    GwTimer tick;
    GwTimer_Init(
        &tick, loop, [](void *) {}, nullptr);
    // The caller takes nothing for a while, during which its window is closed.
    const GwTime pause = 4500 * GW_MILLISECOND;
    while (!has_end && GwTime_Now() - started_at < 30 * GW_SECOND) {
        char piece[16000];
        GwTime next = GwTime_Now() + 10 * GW_MILLISECOND;
        ssize_t n = -1;

        errno = EAGAIN;
        if (GwTime_Now() - started_at > pause)
            n = recv(fd, piece, sizeof(piece), MSG_DONTWAIT);

        has_end = n == 0 || (n < 0 && errno != EAGAIN);
        EXPECT_FALSE(n < 0 && errno != EAGAIN) << strerror(errno);
        got += n > 0 ? (size_t)n : 0;
        GwTimer_Start(&tick, 10 * GW_MILLISECOND);
        while (GwTime_Now() < next)
            GwLoop_Step(loop);
    }
    EXPECT_GE(got, body.size());
    close(fd);
    EXPECT_TRUE(Until([&] { return !GwHttpServer_HasUnsent(server); }));
    GwHttpServer_Delete(server);
}
