#include "galenagw/fakes/loop_test.h"

#include <functional>
#include <string>

#include "galenagw/fakes/fake_hop.h"
#include "galenagw/fakes/fake_link.h"
#include "galenagw/wire/session.h"

namespace {

std::string
Encoded(uint64_t nonce)
{
    GW_FRAME(frame, ping, PING, Ping, ping);
    GByteArray *out = g_byte_array_new();

    ping.nonce = nonce;
    GwFrame_Encode(&frame, out);
    std::string text(reinterpret_cast<char *>(out->data), out->len);
    g_byte_array_unref(out);
    return text;
}

// One end of a session: how often each callback was called (`silent`:
// on_closed by the silence timeout), its session and its sync status.
struct Side {
    int ready = 0, frames = 0, closed = 0, silent = 0;
    GwSession *session = nullptr;
    GwSyncStatus sent_status = {}, received_status = {}; // of heartbeats
};

const GwSessionOps kOps = {
    [](void *u, GwSession *s, const Gw__Wire__Hello *) {
        static_cast<Side *>(u)->ready++;
        static_cast<Side *>(u)->session = s;
    },
    [](void *u, GwSession *, const GwFrame *) {
        static_cast<Side *>(u)->frames++;
    },
    [](void *u, GwSession *, const GwSyncStatus *sync_status) {
        static_cast<Side *>(u)->received_status = *sync_status;
    },
    [](void *u, GwSession *, bool silent) {
        static_cast<Side *>(u)->closed++;
        static_cast<Side *>(u)->silent += silent;
    },
};

struct SessionTest : LoopTest {
    GwCounters counters = {};
    Side server_side, client_side;
    GwSessionServer *server = nullptr;
    GwAddress address = kAny;

    GwSessionOptions
    Options(Side *side)
    {
        GwSessionOptions o = {};

        o.fill_hello = [](void *, Gw__Wire__Hello *h) {
            h->instance = h->pool = h->failure_domain =
                const_cast<char *>("x");
        };
        o.ops = &kOps;
        o.user = side;
        o.counters = &counters;
        o.ping_interval = 20 * GW_MILLISECOND;
        o.silence_timeout = 100 * GW_MILLISECOND;
        return o;
    }
    void
    SetUp() override
    {
        wait_timeout = 5 * GW_SECOND;
        GwSessionOptions o = Options(&server_side);

        server = GwSessionServer_New(loop, &kAny, &o, nullptr);
        address.port = GwSessionServer_Port(server);
    }
    void
    TearDown() override
    {
        GwSessionServer_Delete(server);
    }
};

} // namespace

TEST(Frame, DecodesFramesReceivedInPiecesOfAnySize)
{
    std::string stream = Encoded(1) + Encoded(300) + Encoded(70000);

    for (size_t piece = 1; piece <= stream.size(); piece++) {
        GwFrameDecoder *d = GwFrameDecoder_New();
        GwError err = {};
        std::vector<uint64_t> got;

        for (size_t at = 0; at < stream.size(); at += piece) {
            std::string part = stream.substr(at, piece);
            GwFrame *f;

            GwFrameDecoder_Push(d,
                                reinterpret_cast<const uint8_t *>(part.data()),
                                part.size());
            while ((f = GwFrameDecoder_Pop(d, &err)) != nullptr) {
                got.push_back(f->ping->nonce);
                GwFrame_Free(f);
            }
        }
        EXPECT_EQ(err.kind, GW_ERROR_NONE);
        EXPECT_EQ(got, (std::vector<uint64_t>{1, 300, 70000})) << piece;
        GwFrameDecoder_Delete(d);
    }
}

TEST(Frame, MalformedStreamsAreProtocolErrors)
{
    const struct {
        const char *name;
        std::string bytes;
    } cases[] = {
        {"too long", std::string("\x7f\xff\xff\xff", 4)},
        {"HTTP", "GET / HTTP/1.1\r\n\r\n"},
        {"no protobuf", std::string("\0\0\0\x02\xff\xff", 6)},
    };

    for (auto &c : cases) {
        GwFrameDecoder *d = GwFrameDecoder_New();
        GwError err = {};

        GwFrameDecoder_Push(d,
                            reinterpret_cast<const uint8_t *>(c.bytes.data()),
                            c.bytes.size());
        EXPECT_EQ(GwFrameDecoder_Pop(d, &err), nullptr) << c.name;
        EXPECT_EQ(err.kind, GW_ERROR_PROTOCOL) << c.name;
        GwFrameDecoder_Delete(d);
    }
}

// Heartbeats carry the revision and the list ages of both ends. A received age
// must never be less than the sent one: stale lists would be taken for current
// ones.
TEST_F(SessionTest, HeartbeatsCarrySyncStatusOfBothEnds)
{
    const GwSyncStatus cases[] = {
        {7, 2, 0, 3 * GW_SECOND, 9 * GW_SECOND, false},
        {0, 0, -1, -1, -1, false},
        {9, 0, 20 * GW_MILLISECOND + 1, -1, 0, false},
    };
    GwSessionOptions o = Options(&client_side);
    GwSessionServer *status_server;

    GwSessionServer_Delete(server);
    server = nullptr;
    for (const GwSyncStatus &c : cases) {
        GwSessionOptions s = Options(&server_side);

        for (GwSessionOptions *options : {&o, &s})
            options->fill_sync_status = [](void *u,
                                           GwSyncStatus *sync_status) {
                *sync_status = static_cast<Side *>(u)->sent_status;
            };
        server_side.sent_status = client_side.sent_status = c;
        server_side.received_status = client_side.received_status = {};
        status_server = GwSessionServer_New(loop, &kAny, &s, nullptr);
        address.port = GwSessionServer_Port(status_server);
        GwSession *session = GwSession_Connect(loop, &address, &o);
        GwTime end = GwTime_Now() + 60 * GW_MILLISECOND;
        Until([&] { return GwTime_Now() >= end; });
        for (const Side *side : {&client_side, &server_side}) {
            EXPECT_EQ(side->received_status.revision, c.revision);
            EXPECT_EQ(side->received_status.epoch, c.epoch);
            for (auto age :
                 {&GwSyncStatus::operator_age, &GwSyncStatus::instances_age,
                  &GwSyncStatus::instances_available_for}) {
                EXPECT_EQ(side->received_status.*age < 0, c.*age < 0);
                EXPECT_GE(side->received_status.*age, c.*age);
                EXPECT_LE(side->received_status.*age, c.*age + GW_MILLISECOND);
            }
        }
        GwSession_Close(session);
        GwSessionServer_Delete(status_server);
    }
}

TEST_F(SessionTest, PingsKeepIdleSessionOpen)
{
    GwSessionOptions o = Options(&client_side);
    GwSession *s = GwSession_Connect(loop, &address, &o);

    ASSERT_TRUE(Until([&] { return client_side.ready == 1; }));
    uint64_t frames = counters.plain[GW_COUNTER_FRAMES_RECEIVED];
    ASSERT_TRUE(Until([&] {
        return counters.plain[GW_COUNTER_FRAMES_RECEIVED] > frames + 20;
    }));
    EXPECT_EQ(client_side.closed + server_side.closed, 0);
    GwSession_Close(s);
    ASSERT_TRUE(Until([&] { return server_side.closed == 1; }));
    EXPECT_EQ(client_side.closed, 0) << "no callback after a close";
}

// A gateway of a large fleet has hundreds of sessions, nearly all of them
// idle. One ping per interval from the end that connected, and its pong, prove
// both directions. With pings from both ends, each process handled twice as
// many frames.
TEST_F(SessionTest, OnlyConnectingEndPingsIdleSession)
{
    const GwTime duration = 400 * GW_MILLISECOND;
    GwSessionOptions o = Options(&client_side);
    GwSession *s = GwSession_Connect(loop, &address, &o);
    GwTime end;
    uint64_t frames;

    ASSERT_TRUE(Until(
        [&] { return client_side.ready == 1 && server_side.ready == 1; }));
    frames = counters.plain[GW_COUNTER_FRAMES_SENT];
    end = GwTime_Now() + duration;
    Until([&] { return GwTime_Now() >= end; });
    frames = counters.plain[GW_COUNTER_FRAMES_SENT] - frames;
    EXPECT_LE(frames, 2 * (uint64_t)(duration / o.ping_interval) + 2);
    EXPECT_EQ(client_side.closed + server_side.closed, 0);
    GwSession_Close(s);
}

// A busy machine stalls the process for longer than the silence timeout. When
// the loop continues, timers run before sockets are read, so that the frames
// received meanwhile are still unread. Both ends then detected a silence that
// was their own stall, and closed a session between two working processes.
TEST_F(SessionTest, StallOfOwnLoopIsNotSilenceOfPeer)
{
    GwSessionOptions o = Options(&client_side);
    GwSession *s = GwSession_Connect(loop, &address, &o);

    ASSERT_TRUE(Until(
        [&] { return client_side.ready == 1 && server_side.ready == 1; }));
    for (int i = 0; i < 10; i++) {
        uint64_t frames = counters.plain[GW_COUNTER_FRAMES_RECEIVED];

        g_usleep((gulong)(150 * GW_MILLISECOND + i * 3 * GW_MILLISECOND));
        ASSERT_TRUE(Until([&] {
            return counters.plain[GW_COUNTER_FRAMES_RECEIVED] > frames + 8 ||
                   client_side.closed + server_side.closed > 0;
        }));
        ASSERT_EQ(client_side.closed + server_side.closed, 0) << i;
    }
    GwSession_Close(s);
}

// A device between the two ends loses the state of the connection, and neither
// end gets an error. Both must detect it by the missing pongs.
TEST_F(SessionTest, LostConnectionIsDetectedByBothEnds)
{
    FakeHop *hop = FakeHop_New(loop, address.port, nullptr);
    GwSessionOptions o = Options(&client_side);
    GwAddress proxy_address = kAny;

    proxy_address.port = FakeHop_Port(hop);
    GwSession_Connect(loop, &proxy_address, &o);
    ASSERT_TRUE(Until(
        [&] { return client_side.ready == 1 && server_side.ready == 1; }));
    FakeHop_Freeze(hop);
    ASSERT_TRUE(Until(
        [&] { return client_side.silent == 1 && server_side.silent == 1; }));
    FakeHop_Delete(hop);
}

// Everything that the client sends is lost, while the heartbeats of the server
// still arrive. The client must detect this: neither received frames nor pings
// with a constant number of received bytes prove that its own data arrives.
TEST_F(SessionTest, LossOfOneDirectionIsDetected)
{
    GwSessionOptions server_options = Options(&server_side);
    GwSessionOptions o = Options(&client_side);
    GwAddress proxy_address = kAny;

    // The server continues to send pings although it receives nothing.
    server_options.silence_timeout = 10 * GW_SECOND;
    GwSessionServer *other =
        GwSessionServer_New(loop, &kAny, &server_options, nullptr);
    FakeHop *hop = FakeHop_New(loop, GwSessionServer_Port(other), nullptr);
    proxy_address.port = FakeHop_Port(hop);
    GwSession_Connect(loop, &proxy_address, &o);
    ASSERT_TRUE(Until(
        [&] { return client_side.ready == 1 && server_side.ready == 1; }));
    FakeHop_FreezeForward(hop);
    GwTime cut = GwTime_Now();
    ASSERT_TRUE(Until([&] { return client_side.closed == 1; }));
    EXPECT_EQ(client_side.silent, 1);
    EXPECT_LE(GwTime_Now() - cut, 400 * GW_MILLISECOND);
    FakeHop_Delete(hop);
    GwSessionServer_Delete(other);
}

// The transfer of a large frame over a slow link takes much longer than the
// silence timeout. The pongs of the sender are queued behind the frame, and so
// are its pings, for which the receiver can send no pongs yet. Neither end
// must close the session during the transfer.
TEST_F(SessionTest, PongsDelayedByLargeFrameAreNotMissing)
{
    FakeLink *link = FakeLink_New(loop, 200000);
    GwSessionOptions server_options = Options(&server_side);
    GwSessionOptions o = Options(&client_side);
    GwAddress proxy_address = kAny;
    std::string value(400000, 'x');
    Gw__Wire__ListRecord record = GW__WIRE__LIST_RECORD__INIT;
    Gw__Wire__ListRecord *records[] = {&record};
    GW_FRAME(frame, records_update, RECORDS_TELL, RecordsTell, records_tell);

    // Longer than stalls of the test on a busy machine, but much shorter than
    // the two seconds that the frame takes.
    server_options.silence_timeout = o.silence_timeout = 500 * GW_MILLISECOND;
    GwSessionServer *other =
        GwSessionServer_New(loop, &kAny, &server_options, nullptr);
    proxy_address.port = FakeLink_Open(link, GwSessionServer_Port(other));
    GwSession *s = GwSession_Connect(loop, &proxy_address, &o);
    ASSERT_TRUE(Until(
        [&] { return client_side.ready == 1 && server_side.ready == 1; }));
    record.key = const_cast<char *>("large");
    record.value.data = reinterpret_cast<uint8_t *>(value.data());
    record.value.len = value.size();
    records_update.n_records = 1;
    records_update.records = records;
    GwSession_Send(server_side.session, &frame);
    EXPECT_TRUE(Until([&] { return client_side.frames == 1; }));
    EXPECT_EQ(client_side.closed + server_side.closed, 0);
    if (client_side.closed == 0)
        GwSession_Close(s);
    FakeLink_Delete(link);
    GwSessionServer_Delete(other);
}

// Connections of other programs, of another protocol version, or that send
// nothing must be closed and must not become sessions.
TEST_F(SessionTest, ConnectionsWithoutValidHelloAreClosed)
{
    struct Raw {
        bool closed = false;
    };
    static const GwTcpOps ops = {
        nullptr, [](void *, const uint8_t *, size_t) {},
        [](void *u, GwTcpEnd) { static_cast<Raw *>(u)->closed = true; },
        nullptr};
    GW_FRAME(hello_frame, hello, HELLO, Hello, hello);
    GByteArray *other = g_byte_array_new();

    hello.version = GW_WIRE_VERSION + 1;
    GwFrame_Encode(&hello_frame, other);
    const struct {
        const char *name;
        std::string bytes;
    } cases[] = {
        {"another protocol", "GET / HTTP/1.1\r\n\r\n"},
        {"another version",
         std::string(reinterpret_cast<char *>(other->data), other->len)},
        {"silent from the start", ""},
    };

    for (auto &c : cases) {
        Raw raw;
        GwTcp *r = GwTcp_Connect(loop, &address, &ops, &raw);

        if (!c.bytes.empty())
            GwTcp_Write(r, reinterpret_cast<const uint8_t *>(c.bytes.data()),
                        c.bytes.size());
        EXPECT_TRUE(Until([&] { return raw.closed; })) << c.name;
    }
    EXPECT_EQ(server_side.ready, 0);
    EXPECT_EQ(server_side.frames, 0);
    g_byte_array_unref(other);
}
