#include <malloc.h>

#include <vector>

#include "galenagw/fakes/loop_test.h"
#include "galenagw/fakes/raw_server.h"

// Guards against processes that exceed their memory limit: each connection
// that was kept held as much as the longest message ever sent on it.
TEST_F(LoopTest, KeptConnectionsDoNotHoldLongMessages)
{
    const size_t connections = 32, message = 4 * 1024 * 1024;
    const auto used = [] {
        struct mallinfo2 info = mallinfo2();

        return info.uordblks + info.hblkhd;
    };
    static const GwTcpOps ops = {nullptr,
                                 [](void *, const uint8_t *, size_t) {},
                                 [](void *, GwTcpEnd) {}, nullptr};
    RawServer server(loop, kAny, {});
    GwAddress address = {"127.0.0.1", server.Port()};
    std::vector<uint8_t> bytes(message, 'x');
    std::vector<GwTcp *> streams;
    size_t before = used();

    for (size_t i = 0; i < connections; i++) {
        streams.push_back(GwTcp_Connect(loop, &address, &ops, nullptr));
        GwTcp_Write(streams[i], bytes.data(), bytes.size());
        EXPECT_TRUE(Until([&] { return GwTcp_Pending(streams[i]) == 0; }));
    }
    EXPECT_LT(used(), before + 2 * message);
    for (GwTcp *stream : streams)
        GwTcp_Close(stream);
    GwLoop_Step(loop);
}
