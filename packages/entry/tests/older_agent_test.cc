// An entry with an agent of an older version.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <algorithm>

#include "galenagw/fakes/world.h"
#include "galenagw/wire/session.h"

namespace {

const uint32_t kChunks = 60;

// An agent that sends kChunks chunks of `chunk_size` bytes as the answer to
// any request. With more than 256 KiB unacknowledged it waits until no more
// than 128 KiB are, whatever the number of chunks.
struct OlderAgent {
    GwCounters counters = {};
    GwSessionServer *server = nullptr;
    GwSession *session = nullptr;
    size_t chunk_size = 0;
    uint64_t request_id = 0;
    uint32_t attempt = 0;
    uint32_t next_seq = 0; // of the next chunk to send; 0 is the head
    uint32_t acked = 0;
    bool waits = false;
    XXH64_state_t digest;

    void
    OnProbe(const Gw__Wire__Probe *probe)
    {
        GW_FRAME(frame, offer, OFFER, Offer, offer);

        offer.probe_id = probe->probe_id;
        GwSession_Send(session, &frame);
    }
    void
    OnSubmit(const Gw__Wire__Submit *submit)
    {
        request_id = submit->request_id;
        attempt = submit->attempt;
        next_seq = acked = 0;
        waits = false;
        XXH64_reset(&digest, 0);
        Send();
    }
    void
    OnAck(const Gw__Wire__Ack *ack)
    {
        acked = ack->next_seq;
        Send();
    }
    void
    SendChunk()
    {
        std::string data(next_seq > 0 ? chunk_size : 0, 'x');
        GW_FRAME(frame, chunk, CHUNK, Chunk, chunk);

        chunk.request_id = request_id;
        chunk.attempt = attempt;
        chunk.seq = next_seq++;
        chunk.data.data = reinterpret_cast<uint8_t *>(data.data());
        chunk.data.len = data.size();
        chunk.status = 200;
        chunk.content_type = const_cast<char *>("text/plain");
        XXH64_update(&digest, data.data(), data.size());
        GwSession_Send(session, &frame);
    }
    void
    Send()
    {
        while (next_seq <= kChunks) {
            // The head has no bytes.
            size_t unacked =
                (next_seq - std::max(acked, std::min(next_seq, 1u))) *
                chunk_size;

            waits = unacked > (waits ? 128u : 256u) * 1024;
            if (waits)
                return;
            SendChunk();
        }
        GW_FRAME(frame, final, FINAL, Final, final);

        final.request_id = request_id;
        final.attempt = attempt;
        final.count = next_seq;
        final.digest = XXH64_digest(&digest);
        GwSession_Send(session, &frame);
    }
    void
    Listen(GwLoop *loop)
    {
        static const GwSessionOps ops = {
            [](void *u, GwSession *s, const Gw__Wire__Hello *) {
                static_cast<OlderAgent *>(u)->session = s;
            },
            [](void *u, GwSession *, const GwFrame *f) {
                auto *a = static_cast<OlderAgent *>(u);

                if (f->body_case == GW__WIRE__FRAME__BODY_PROBE)
                    a->OnProbe(f->probe);
                if (f->body_case == GW__WIRE__FRAME__BODY_SUBMIT)
                    a->OnSubmit(f->submit);
                if (f->body_case == GW__WIRE__FRAME__BODY_ACK)
                    a->OnAck(f->ack);
            },
            nullptr,
            [](void *, GwSession *, bool) {},
        };
        GwSessionOptions o = {};
        GwAddress any = {"127.0.0.1", 0};
        GwError err = {};

        o.fill_hello = [](void *, Gw__Wire__Hello *h) {
            h->role = GW__WIRE__ROLE__ROLE_AGENT;
            h->instance = const_cast<char *>("older");
            h->pool = const_cast<char *>("booking");
            h->failure_domain = const_cast<char *>("medeu");
            h->incarnation = 1;
        };
        o.ops = &ops;
        o.user = this;
        o.counters = &counters;
        server = GwSessionServer_New(loop, &any, &o, &err);
        ASSERT_NE(server, nullptr) << err.message;
    }
};

} // namespace

// Guards against an entry that acknowledges by chunks only, while the agent
// waits by bytes.
TEST(OlderAgent, SendsTheWholeAnswerInLargeChunks)
{
    for (size_t size : {1024, 20 * 1024, 70 * 1024, 300 * 1024}) {
        World w;
        OlderAgent agent;

        w.Publish(kTestConfig);
        agent.chunk_size = size;
        agent.Listen(w.loop);
        FakePlatform_SetInstance(w.platform, "older", "agent", "booking",
                                 "medeu", GwSessionServer_Port(agent.server),
                                 false);
        EntryNode *e = w.AddEntry();
        ASSERT_TRUE(w.Until([&] { return agent.session != nullptr; }));
        auto c = w.Book(e, "t");
        EXPECT_TRUE(w.Until([&] { return c->done; })) << size;
        EXPECT_EQ(c->outcome, GW_HTTP_COMPLETE) << size;
        EXPECT_EQ(c->status, 200) << size << c->body.substr(0, 200);
        EXPECT_EQ(c->body.size(), kChunks * size);
        w.StopEntry(e);
        GwSessionServer_Delete(agent.server);
    }
}
