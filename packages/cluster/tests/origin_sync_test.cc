#include <memory>

#include "galenagw/cluster/peers.h"
#include "galenagw/fakes/fleet.h"
#include "galenagw/routing/stream_origins.h"

// A query of a test and its result.
struct Query {
    Query()
    {
        ask.on_decided = [](GwOriginAsk *a, GwOriginAnswer answer,
                            uint64_t software) {
            Query *q = (Query *)a->user;
            std::function<void()> then = std::move(q->then);

            q->decided++;
            q->answer = answer;
            q->software = software;
            q->at = GwTime_Now();
            if (then) // may delete the query
                then();
        };
        ask.user = this;
    }
    ~Query()
    {
        GwOriginAsk_Cancel(&ask);
    }

    GwOriginAsk ask = {};
    int decided = 0;
    GwOriginAnswer answer = GW_ORIGIN_NO_ANSWER;
    uint64_t software = 0;
    GwTime at = 0;
    std::function<void()> then;
};

// Two entries that are connected to the same agents. All agents use one port,
// at different addresses of the local network.
class OriginSyncTest : public testing::Test {
  protected:
    struct Process {
        GwView *view = nullptr;
        GwPeers *peers = nullptr;
        GwCounters counters = {};
        std::string host, name, failure_domain;
    };

    ~OriginSyncTest() override
    {
        for (auto *all : {&entries, &agents}) {
            for (auto &p : *all) {
                GwPeers_Delete(p->peers);
                GwView_Delete(p->view);
            }
        }
        GwSessionServer_Delete(earlier);
    }
    // Starts `n` agents, in failure domains of `domains`, and two entries.
    void
    Start(int n, const std::vector<std::string> &domains = {"d1", "d2"})
    {
        for (int i = 0; i < n; i++) {
            agents.push_back(NewProcess("side-" + std::to_string(i)));
            agents[i]->host = "127.0.0." + std::to_string(i + 1);
            agents[i]->failure_domain = domains[i % domains.size()];
            StartAgent(i);
        }
        AddEntries(n);
        ASSERT_TRUE(f.Until([&] { return AreConnected((unsigned)n); }));
    }
    std::unique_ptr<Process>
    NewProcess(const std::string &name)
    {
        auto p = std::make_unique<Process>();
        GwViewOptions options = {&ops, this, nullptr, &p->counters};

        p->name = name;
        p->view = GwView_New(&options);
        return p;
    }
    GwAddress
    Address(const std::string &host)
    {
        GwAddress address = {};

        g_strlcpy(address.host, host.c_str(), sizeof(address.host));
        address.port = port;
        return address;
    }
    void
    StartAgent(int i)
    {
        StartPeers(agents[i].get(), true, Address(agents[i]->host));
        port = GwPeers_Port(agents[i]->peers);
    }
    void
    StopAgent(int i)
    {
        GwPeers_Delete(agents[i]->peers);
        agents[i]->peers = nullptr;
    }
    // Adds two entries whose list contains the engines of `n` agents.
    void
    AddEntries(int n)
    {
        for (int e = 0; e < 2; e++) {
            entries.push_back(NewProcess("edge-" + std::to_string(e)));
            entries[e]->failure_domain = "d1";
            for (int i = 0; i < n; i++)
                PutRow(entries[e].get(), i);
            StartPeers(entries[e].get(), false, {"127.0.0.1", 0});
        }
    }
    void
    StartPeers(Process *p, bool is_agent, GwAddress listen)
    {
        GwPeersOptions options = {};
        GwError err = {};

        options.is_agent = is_agent;
        options.name = p->name.c_str();
        options.failure_domain = p->failure_domain.c_str();
        options.listen = listen;
        options.agent_port = port;
        options.view = p->view;
        options.counters = &p->counters;
        p->peers = GwPeers_New(f.loop, &options, &err);
        ASSERT_NE(p->peers, nullptr) << err.message;
    }
    static void
    PutRow(Process *p, int i)
    {
        std::string id = "i-" + std::to_string(i);
        std::string text = R"({"service":"model","address":"127.0.0.)" +
                           std::to_string(i + 1) +
                           R"(:9","zone":"d1","version":"v1","slots":64,)"
                           R"("cold_remaining_ms":0,"seq":1,"models":)"
                           R"([{"name":"m","version":1}],"state":"ready"})";
        GwRecord record = {id.c_str(), text.data(), text.size(), i + 1,
                           nullptr};
        GwRecords *records = GwView_Records(p->view);

        GwRecords_Apply(records, GW_LIST_INSTANCES, &record);
        GwRecords_SetEnd(records, GW_LIST_INSTANCES, i + 2);
    }
    // Whether both entries are connected to `n` agents.
    bool
    AreConnected(unsigned n)
    {
        for (auto &e : entries) {
            Query q;

            GwPeers_AskStreamOrigin(e->peers, 1, &q.ask);
            if (q.ask.n_asked != n)
                return false;
        }
        return true;
    }
    void
    Tell(uint64_t stream, uint64_t software)
    {
        Query q;

        GwPeers_TellStreamOrigin(entries[0]->peers, stream, software);
        // Sessions keep the order of messages.
        GwPeers_AskStreamOrigin(entries[0]->peers, 1, &q.ask);
        ASSERT_TRUE(f.Until([&] { return q.decided > 0; }));
        ASSERT_EQ(q.answer, GW_ORIGIN_UNKNOWN) << "all have answered";
    }
    // Asks through the other entry, and checks the result.
    void
    ExpectAnswer(uint64_t stream, GwOriginAnswer answer, uint64_t software,
                 const char *name)
    {
        Query q;

        GwPeers_AskStreamOrigin(entries[1]->peers, stream, &q.ask);
        EXPECT_EQ(q.decided, 0) << name << ": not within the call";
        EXPECT_TRUE(f.Until([&] { return q.decided > 0; })) << name;
        EXPECT_EQ(q.answer, answer) << name;
        EXPECT_EQ(q.software, software) << name;
    }
    // Agent of an earlier version: its sessions work, but it ignores queries.
    void
    StartEarlierAgent(const char *host)
    {
        static const GwSessionOps session_ops = {
            [](void *, GwSession *, const Gw__Wire__Hello *) {},
            [](void *, GwSession *, const GwFrame *) {}, nullptr,
            [](void *, GwSession *, bool) {}};
        GwAddress listen = Address(host);
        GwSessionOptions options = {};
        GwError err = {};

        options.fill_hello = [](void *, Gw__Wire__Hello *hello) {
            hello->role = GW__WIRE__ROLE__ROLE_AGENT;
            hello->instance = (char *)"earlier";
        };
        options.ops = &session_ops;
        options.counters = &earlier_counters;
        earlier = GwSessionServer_New(f.loop, &listen, &options, &err);
        ASSERT_NE(earlier, nullptr) << err.message;
        port = GwSessionServer_Port(earlier);
    }

    Fleet f;
    GwViewOps ops = {};
    std::vector<std::unique_ptr<Process>> agents, entries;
    GwSessionServer *earlier = nullptr;
    GwCounters earlier_counters = {};
    int port = 0;
};

// A client that returns to another entry than the one that began its stream
// must get the stream's software; an id that nobody was told must be unknown.
TEST_F(OriginSyncTest, OtherEntryLearnsOrigin)
{
    Start(3);
    Tell(70, 7);
    Tell(80, 8);
    ExpectAnswer(70, GW_ORIGIN_KNOWN, 7, "told");
    ExpectAnswer(80, GW_ORIGIN_KNOWN, 8, "other software");
    ExpectAnswer(90, GW_ORIGIN_UNKNOWN, 0, "not told");
    Tell(70, 9);
    ExpectAnswer(70, GW_ORIGIN_KNOWN, 9, "id used again");
    EXPECT_EQ(entries[0]->counters.plain[GW_COUNTER_ORIGINS_TOLD], 6u);
    EXPECT_GE(entries[1]->counters.plain[GW_COUNTER_ORIGIN_ASKS], 4u);
}

// The origin of a stream must remain known after the termination of any one
// agent, the first of its two owners included.
TEST_F(OriginSyncTest, OneOwnerMayTerminate)
{
    Start(4);
    for (int i = 0; i < 4; i++) {
        uint64_t stream = 70 + (uint64_t)i;

        Tell(stream, 7);
        StopAgent(i);
        ExpectAnswer(stream, GW_ORIGIN_KNOWN, 7, agents[i]->name.c_str());
        ASSERT_TRUE(f.Until([&] { return AreConnected(3); }));
        StartAgent(i);
        ASSERT_TRUE(f.Until([&] { return AreConnected(4); }));
    }
}

// The origin of a stream must remain known after the termination of all agents
// of one failure domain, if there are agents in another one.
TEST_F(OriginSyncTest, FailureDomainMayTerminate)
{
    Start(6, {"d1", "d1", "d1", "d1", "d2", "d1"});
    for (uint64_t stream = 70; stream < 78; stream++)
        Tell(stream, 7);
    for (int i = 0; i < 6; i++) {
        if (i != 4)
            StopAgent(i);
    }
    ASSERT_TRUE(f.Until([&] { return AreConnected(1); }));
    for (uint64_t stream = 70; stream < 78; stream++)
        ExpectAnswer(stream, GW_ORIGIN_KNOWN, 7, "in the other domain");
}

// An agent that never answers, such as one of an earlier version, must neither
// delay the answer of another one nor leave a query undecided, and nobody may
// conclude from its silence that a stream is unknown.
TEST_F(OriginSyncTest, SilentAgentDecidesNothing)
{
    GwTime asked_at;
    Query q;

    Start(2);
    StartEarlierAgent("127.0.0.3");
    PutRow(entries[1].get(), 2);
    ASSERT_TRUE(f.Until([&] {
        Query connected;

        GwPeers_AskStreamOrigin(entries[1]->peers, 1, &connected.ask);
        return connected.ask.n_asked == 3;
    }));
    Tell(70, 7);
    asked_at = GwTime_Now();
    GwPeers_AskStreamOrigin(entries[1]->peers, 90, &q.ask);
    ASSERT_TRUE(f.Until([&] { return q.decided > 0; }));
    EXPECT_EQ(q.answer, GW_ORIGIN_NO_ANSWER);
    EXPECT_GE(q.at - asked_at, GW_ORIGIN_ASK_TIMEOUT);
    ExpectAnswer(70, GW_ORIGIN_KNOWN, 7, "by another one");
    f.Wait(2 * GW_ORIGIN_ASK_TIMEOUT);
    EXPECT_EQ(q.decided, 1);
}

// A query to an agent that terminates must be decided at once, and not as
// unknown: the agent may have known the stream.
TEST_F(OriginSyncTest, LostAgentIsNoAnswer)
{
    Query q;

    StartEarlierAgent("127.0.0.1");
    AddEntries(1);
    ASSERT_TRUE(f.Until([&] { return AreConnected(1); }));
    GwPeers_AskStreamOrigin(entries[1]->peers, 70, &q.ask);
    GwSessionServer_Delete(earlier);
    earlier = nullptr;
    ASSERT_TRUE(f.Until([&] { return q.decided > 0; }));
    EXPECT_EQ(q.answer, GW_ORIGIN_NO_ANSWER);
    EXPECT_TRUE(q.ask.has_failed) << "not by the timeout";
}

// An entry that is connected to no agent must decide without waiting, and a
// new stream must not fail there.
TEST_F(OriginSyncTest, NoAgentIsNoAnswer)
{
    port = 9;
    AddEntries(0);
    GwPeers_TellStreamOrigin(entries[0]->peers, 70, 7);
    EXPECT_EQ(entries[0]->counters.plain[GW_COUNTER_ORIGINS_TOLD], 0u);
    ExpectAnswer(70, GW_ORIGIN_NO_ANSWER, 0, "no agent");
}

// A client may disconnect, or the process stop, while a query waits: its
// owner is freed and must not be called.
TEST_F(OriginSyncTest, CancelledQueryIsNotCalled)
{
    Query cancelled, other, never_started, after_stop;

    Start(2);
    GwOriginAsk_Cancel(&never_started.ask);
    GwPeers_AskStreamOrigin(entries[1]->peers, 70, &cancelled.ask);
    GwPeers_AskStreamOrigin(entries[1]->peers, 70, &other.ask);
    GwOriginAsk_Cancel(&cancelled.ask);
    GwOriginAsk_Cancel(&cancelled.ask);
    ASSERT_TRUE(f.Until([&] { return other.decided > 0; }));
    EXPECT_EQ(other.answer, GW_ORIGIN_UNKNOWN);
    GwPeers_AskStreamOrigin(entries[1]->peers, 70, &after_stop.ask);
    GwPeers_Delete(entries[1]->peers);
    entries[1]->peers = nullptr;
    f.Wait(2 * GW_ORIGIN_ASK_TIMEOUT);
    EXPECT_EQ(cancelled.decided, 0);
    EXPECT_EQ(never_started.decided, 0);
    EXPECT_EQ(after_stop.decided, 0);
    GwOriginAsk_Cancel(&after_stop.ask);
}

// The callback of one query may free it, cancel another one that the same
// answer has decided, and begin a new one for the same stream.
TEST_F(OriginSyncTest, CallbackMayChangeQueries)
{
    std::unique_ptr<Query> queries[2];
    Query next;
    int called = 0;

    Start(2);
    Tell(70, 7);
    for (int i = 0; i < 2; i++) {
        queries[i] = std::make_unique<Query>();
        queries[i]->then = [&, i] {
            called++;
            GwOriginAsk_Cancel(&queries[1 - i]->ask);
            GwPeers_AskStreamOrigin(entries[1]->peers, 70, &next.ask);
            queries[i].reset();
        };
        GwPeers_AskStreamOrigin(entries[1]->peers, 70, &queries[i]->ask);
    }
    ASSERT_TRUE(f.Until([&] { return next.decided > 0; }));
    EXPECT_EQ(next.answer, GW_ORIGIN_KNOWN);
    EXPECT_EQ(called, 1);
}

// In a large fleet an entry follows only a part of the engines. It must be
// connected to all agents of the pool while it wants them, or a stream that
// another entry has told would be unknown to it, and no longer than that.
TEST_F(OriginSyncTest, WantedOwnersAreConnected)
{
    const int engines = 60;
    uint64_t opened, added, lost;

    agents.push_back(NewProcess("side"));
    agents[0]->host = "0.0.0.0";
    StartAgent(0);
    AddEntries(engines);
    f.Wait(1500 * GW_MILLISECOND);
    ASSERT_FALSE(AreConnected(GW_LIMIT_POOL_MAX));
    opened = agents[0]->counters.plain[GW_COUNTER_SESSIONS_OPENED];
    ASSERT_LT(opened, 2u * engines) << "not all engines are followed";
    for (auto &e : entries)
        GwPeers_WantOriginOwners(e->peers, true);
    ASSERT_TRUE(f.Until([&] { return AreConnected(GW_LIMIT_POOL_MAX); }));
    added = agents[0]->counters.plain[GW_COUNTER_SESSIONS_OPENED] - opened;
    EXPECT_GT(added, 0u);
    lost = agents[0]->counters.plain[GW_COUNTER_SESSIONS_LOST];
    for (auto &e : entries)
        GwPeers_WantOriginOwners(e->peers, false);
    EXPECT_TRUE(f.Until([&] {
        return agents[0]->counters.plain[GW_COUNTER_SESSIONS_LOST] - lost ==
               added;
    }));
    EXPECT_FALSE(AreConnected(GW_LIMIT_POOL_MAX));
}
