#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "galenagw/fakes/fake_httpd.h"
#include "galenagw/fakes/loop_test.h"

extern "C" {
#include "upstream.h"
}

// A connection pool for an address on which nothing listens.
class RefusedUpstream : public LoopTest {
  protected:
    RefusedUpstream()
    {
        GwUpstreamPoolOptions options = {};
        sockaddr_in address = {};
        socklen_t len = sizeof(address);

        // Bound but not listening: connections are refused, and no other
        // process can take the port.
        address.sin_family = AF_INET;
        inet_pton(AF_INET, kAny.host, &address.sin_addr);
        EXPECT_EQ(bind(fd_, (sockaddr *)&address, len), 0);
        EXPECT_EQ(getsockname(fd_, (sockaddr *)&address, &len), 0);
        options.loop = loop;
        options.address = kAny;
        options.address.port = ntohs(address.sin_port);
        options.counters = &counters_;
        options.on_refused = [](void *user, GwUpstreamPool *) {
            static_cast<RefusedUpstream *>(user)->on_refused_calls_++;
        };
        options.user = this;
        pool_ = GwUpstreamPool_New(&options);
    }
    ~RefusedUpstream() override
    {
        GwUpstreamPool_Delete(pool_);
        close(fd_);
    }
    void
    Send()
    {
        static const GwUpstreamOps ops = {
            nullptr, nullptr, [](void *user, GwUpstreamOutcome end) {
                RefusedUpstream *t = static_cast<RefusedUpstream *>(user);

                t->end_ = end;
                t->ended_ = true;
                if (t->delete_pool_on_end_) {
                    GwUpstreamPool_Delete(t->pool_);
                    t->pool_ = nullptr;
                }
            }};
        GString *request = g_string_new("GET / HTTP/1.1\r\n\r\n");
        GwUpstreamOptions options = {};

        options.request = request;
        options.may_retry = true;
        options.ops = &ops;
        options.user = this;
        GwUpstream_Send(pool_, &options);
        g_string_free(request, TRUE);
    }

    int fd_ = socket(AF_INET, SOCK_STREAM, 0);
    GwCounters counters_ = {};
    GwUpstreamPool *pool_ = nullptr;
    GwUpstreamOutcome end_ = GW_UPSTREAM_COMPLETE;
    bool delete_pool_on_end_ = false, ended_ = false;
    int on_refused_calls_ = 0;
};

// on_refused is called even if the refused connection of a check was already
// assigned to a request.
TEST_F(RefusedUpstream, RefusalOfCheckWithRequestIsReported)
{
    GwUpstreamPool_Check(pool_);
    Send();
    ASSERT_TRUE(Until([&] { return ended_; }));
    EXPECT_EQ(end_, GW_UPSTREAM_REFUSED);
    EXPECT_EQ(on_refused_calls_, 1);
}

// Guards against calling on_refused through a freed pool when on_end deletes
// the pool.
TEST_F(RefusedUpstream, PoolMayBeDeletedWhenRequestEnds)
{
    delete_pool_on_end_ = true;
    GwUpstreamPool_Check(pool_);
    Send();
    ASSERT_TRUE(Until([&] { return ended_; }));
    EXPECT_EQ(on_refused_calls_, 0);
}

using UpstreamPool = LoopTest;

// Guards against answers that are never read: a slow caller pauses reading
// from the endpoint, the answer ends in the bytes already read, and the
// connection is used again.
TEST_F(UpstreamPool, AnAnswerThatEndsWhilePausedLeavesAConnectionThatReads)
{
    GwError err = {};
    FakeHttpdOps httpd_ops = {};
    GwCounters counters = {};
    GwUpstreamPoolOptions options = {};
    struct State {
        GwUpstream *upstream = nullptr;
        int ends = 0;
    } state;

    httpd_ops.on_request = [](void *, FakeExchange *x) {
        FakeExchange_Answer(x, 200, "Keep-Alive: timeout=5\r\n", "body", 4);
    };
    FakeHttpd *httpd = FakeHttpd_New(loop, &kAny, &httpd_ops, nullptr, &err);
    options.loop = loop;
    options.address = kAny;
    options.address.port = FakeHttpd_Port(httpd);
    options.counters = &counters;
    GwUpstreamPool *pool = GwUpstreamPool_New(&options);
    static const GwUpstreamOps ops = {
        [](void *user, const GwHttpHead *) {
            GwUpstream_SetKeepAlive(static_cast<State *>(user)->upstream, 5);
            return GW_HEAD_ACCEPT;
        },
        [](void *user, const char *, size_t) {
            GwUpstream_Pause(static_cast<State *>(user)->upstream, true);
        },
        [](void *user, GwUpstreamOutcome end) {
            static_cast<State *>(user)->ends += end == GW_UPSTREAM_COMPLETE;
        }};
    GString *request = g_string_new("GET / HTTP/1.1\r\nHost: h\r\n\r\n");

    for (int i = 1; i <= 3; i++) {
        GwUpstreamOptions send = {request, false, true, &ops, &state};

        state.upstream = GwUpstream_Send(pool, &send);
        ASSERT_TRUE(Until([&] { return state.ends == i; }));
    }
    EXPECT_EQ(GwUpstreamPool_CountConnections(pool), 1u);
    g_string_free(request, TRUE);
    GwUpstreamPool_Delete(pool);
    FakeHttpd_Delete(httpd);
}
