// The window of an answer, over the protocol between entries and agents.
#include "entry_client.h"
#include "galenagw/fakes/fake_httpd.h"

// Submits a request whose answer is a stream.
static void
SubmitStream(EntryClient *entry)
{
    entry->Submit(7, 1, "/v1/chat/completions",
                  R"({"model":"chat","stream":true,"messages":)"
                  R"([{"role":"user","content":"large?"}]})",
                  true);
}

// A service whose answer the test writes. Must be deleted before its World.
struct HeldService {
    ~HeldService()
    {
        FakeHttpd_Delete(httpd);
    }
    // Starts it in the place of a stand-in service. @return its agent
    AgentNode *
    Start(World *w)
    {
        static const FakeHttpdOps ops = {
            [](void *u, FakeExchange *x) {
                static_cast<HeldService *>(u)->exchange = x;
            },
            nullptr};

        w->Publish(kTestConfig);
        AgentNode *a = w->AddService({});
        GwAddress address = {"127.0.0.1", FakeService_Port(a->service)};
        EXPECT_TRUE(w->Ready());
        w->KillService(a);
        httpd = FakeHttpd_New(w->loop, &address, &ops, this, nullptr);
        return a;
    }

    FakeHttpd *httpd = nullptr;
    FakeExchange *exchange = nullptr; // the last request
};

// An entry of an older version acknowledges every 16 chunks, whatever their
// size. Guards against an agent that waits for an Ack with fewer chunks than
// that unacknowledged.
TEST(AnswerWindow, EntryThatCountsOnlyChunksGetsTheWholeStream)
{
    for (int padding : {1000, 9 * 1024, 20 * 1024, 70 * 1024, 300 * 1024}) {
        World w;
        FakeEngineOptions o = World::FastEngine();
        EntryClient entry;

        w.Publish(kTestConfig);
        o.event_padding = padding;
        o.tokens = 60;
        AgentNode *a = w.AddEngine(o);
        ASSERT_TRUE(w.Ready());
        entry.ack_interval = 16;
        entry.Connect(w.loop, GwAgent_Port(a->agent));
        ASSERT_TRUE(w.Until([&] { return entry.ready; }));
        SubmitStream(&entry);
        ASSERT_TRUE(w.Until([&] { return entry.finals == 1; })) << padding;
        EXPECT_FALSE(entry.broken) << padding;
        EXPECT_GT(entry.next_seq, 60u) << padding;
        GwSession_Close(entry.session);
    }
}

// As above, for the answer of a service, which is read in parts of any size.
TEST(AnswerWindow, EntryThatCountsOnlyChunksGetsTheWholeServiceAnswer)
{
    World w;
    EntryClient entry;

    w.Publish(kTestConfig);
    AgentNode *a = w.AddService({0, 0, 0, 5 * 1000 * 1000});
    ASSERT_TRUE(w.Ready());
    entry.ack_interval = 16;
    entry.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(w.Until([&] { return entry.ready; }));
    entry.Submit(7, 1);
    ASSERT_TRUE(w.Until([&] { return entry.finals == 1; }));
    EXPECT_FALSE(entry.broken);
    EXPECT_GT(entry.bytes, 5000000u);
    GwSession_Close(entry.session);
}

// Failure: the session is lost together with the last Acks, so the agent's
// window ends where the entry has received all. The entry has acknowledged
// these chunks and does not do so again; the agent must not wait for that.
TEST(AnswerWindow, ResumeAfterLostAcksGetsTheRest)
{
    World w;
    FakeEngineOptions o = World::FastEngine();
    EntryClient entry;

    w.Publish(kTestConfig);
    o.tokens = 100;
    AgentNode *a = w.AddEngine(o);
    ASSERT_TRUE(w.Ready());
    entry.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(w.Until([&] { return entry.ready; }));
    SubmitStream(&entry);
    ASSERT_TRUE(w.Until([&] { return entry.next_seq == 64; }));
    GwSession_Close(entry.session);
    entry.ready = false;
    entry.acked = entry.next_seq;
    entry.ack_interval = 16;
    entry.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(w.Until([&] { return entry.ready; }));
    entry.Resume(7, 1);
    ASSERT_TRUE(w.Until([&] { return entry.finals == 1; })) << entry.next_seq;
    EXPECT_FALSE(entry.broken);
    EXPECT_GT(entry.next_seq, 100u);
    GwSession_Close(entry.session);
}

// A large answer of a call with a key is not stored for a retry, which is then
// refused. Guards against a limit that counts the bytes that the entry has not
// acknowledged yet: they are few at the end of a slow answer.
TEST(AnswerWindow, AcknowledgedAnswerIsNotStoredIfItIsLarge)
{
    World w;
    EntryClient entry;
    HeldService service;
    const std::string part(200 * 1000, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(part.size() + 1) + "\r\n\r\n";

    AgentNode *a = service.Start(&w);
    ASSERT_NE(service.httpd, nullptr);
    entry.ack_interval = 1;
    entry.key = "k";
    entry.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(w.Until([&] { return entry.ready; }));
    entry.Submit(7, 1);
    ASSERT_TRUE(w.Until([&] { return service.exchange != nullptr; }));
    FakeExchange_Write(service.exchange, head.data(), head.size());
    FakeExchange_Write(service.exchange, part.data(), part.size());
    ASSERT_TRUE(w.Until([&] { return entry.bytes == part.size(); }));
    // The agent answers this after it has read the Acks.
    entry.Resume(99, 1);
    ASSERT_TRUE(w.Until([&] { return entry.known.size() == 1; }));
    FakeExchange_Write(service.exchange, "x", 1);
    ASSERT_TRUE(w.Until([&] { return entry.finals == 1; }));
    EXPECT_FALSE(entry.broken);
    entry.Submit(8, 1);
    ASSERT_TRUE(
        w.Until([&] { return entry.finals == 2 || !entry.refused.empty(); }));
    ASSERT_EQ(entry.refused.size(), 1u);
    EXPECT_EQ(entry.refused[0], uint32_t{GW_REFUSAL_OUTCOME_UNKNOWN});
    GwSession_Close(entry.session);
}

// The caller of a call with a key, which may run twice, closes the connection
// during the answer and retries. Guards against a replay of the first part as
// if it were the whole answer.
TEST(AnswerWindow, PartOfACancelledAnswerIsNotReplayed)
{
    World w;
    EntryClient entry;
    HeldService service;
    const std::string part =
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1234";

    AgentNode *a = service.Start(&w);
    ASSERT_NE(service.httpd, nullptr);
    entry.key = "k";
    entry.Connect(w.loop, GwAgent_Port(a->agent));
    ASSERT_TRUE(w.Until([&] { return entry.ready; }));
    entry.Submit(7, 1, "/cabins", "{}", true);
    ASSERT_TRUE(w.Until([&] { return service.exchange != nullptr; }));
    FakeExchange_Write(service.exchange, part.data(), part.size());
    ASSERT_TRUE(w.Until([&] { return entry.bytes == 4; }));
    entry.Cancel(7, 1);
    entry.Submit(8, 1, "/cabins", "{}", true);
    ASSERT_TRUE(
        w.Until([&] { return entry.finals == 1 || !entry.refused.empty(); }));
    ASSERT_EQ(entry.refused.size(), 1u);
    EXPECT_EQ(entry.refused[0], uint32_t{GW_REFUSAL_OUTCOME_UNKNOWN});
    GwSession_Close(entry.session);
}
