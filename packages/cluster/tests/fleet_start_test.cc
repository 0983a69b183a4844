// How processes get the platform's lists at their start: from peers if
// possible, otherwise from the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/fakes/fleet.h"

namespace {

const GwAddress kLocalhost = {"127.0.0.1", 0};

struct NodeOptions {
    bool is_agent = false;
    bool asks_peers_first = false;
    bool reads = true; // has a store reader
    int port = 0;
    int agent_port = 1; // no process listens there
    int seed_port = 0;
    GwTime bound = 2 * GW_SECOND;
    unsigned cluster_size = 0; // 0: as reported by its peers module
    double link_rate = 0;      // bytes per second
    const char *host = "127.0.0.1";
    const char *name = "node";
    const char *domain = "d";
};

/* Name of a process that, in a fleet of hundreds, reads from peers. */
const char kPeerReadingName[] = "edge-medeu-2";
const unsigned kLargeClusterSize = 283;

// The parts of a process that follow the lists.
struct Node {
    Node(Fleet *fleet, const NodeOptions &o)
        : f(fleet), cluster_size(o.cluster_size)
    {
        GwViewOptions view_options = {&ops, this, nullptr, &counters};
        GwStoreReaderOptions reader_options = {};
        GwPeersOptions peers_options = {};
        GwError err = {};

        ops.on_urgent = [](void *user) {
            Node *n = static_cast<Node *>(user);

            if (n->peers != nullptr)
                GwPeers_BroadcastUrgentHeartbeat(n->peers);
        };
        view = GwView_New(&view_options);
        reader_options.store = kLocalhost;
        reader_options.store.port = FakeStore_Port(f->store);
        reader_options.name = o.name;
        reader_options.view = view;
        reader_options.counters = &counters;
        reader_options.rand = rand;
        reader_options.bound = o.bound;
        reader_options.asks_peers_first = o.asks_peers_first;
        if (o.reads)
            reader = GwStoreReader_New(f->loop, &reader_options);
        peers_options.is_agent = o.is_agent;
        peers_options.name = o.name;
        peers_options.link_rate = o.link_rate;
        peers_options.failure_domain = o.domain;
        peers_options.listen = kLocalhost;
        g_strlcpy(peers_options.listen.host, o.host,
                  sizeof(peers_options.listen.host));
        peers_options.listen.port = o.port;
        peers_options.agent_port = o.agent_port;
        seed.port = o.seed_port;
        peers_options.seeds = &seed;
        peers_options.n_seeds = o.seed_port != 0;
        peers_options.view = view;
        peers_options.reader = reader;
        peers_options.counters = &counters;
        peers = GwPeers_New(f->loop, &peers_options, &err);
        EXPECT_NE(peers, nullptr) << err.message;
        GwTimer_Init(&flush, f->loop, OnFlush, this);
        OnFlush(this);
    }
    ~Node()
    {
        GwTimer_Stop(&flush);
        GwPeers_Delete(peers);
        GwStoreReader_Delete(reader);
        GwView_Delete(view);
        g_rand_free(rand);
    }
    static void
    OnFlush(void *user)
    {
        Node *n = static_cast<Node *>(user);

        if (n->reader != nullptr)
            GwStoreReader_SetClusterSize(n->reader,
                                         n->cluster_size > 0
                                             ? n->cluster_size
                                             : GwPeers_ClusterSize(n->peers));
        GwTimer_Start(&n->flush, 50 * GW_MILLISECOND);
    }
    int64_t
    End(GwList list) const
    {
        return GwRecords_End(GwView_Records(view), list);
    }
    unsigned
    Endpoints() const
    {
        return GwInstances_All(GwView_Instances(view))->len;
    }
    uint64_t
    Calls() const
    {
        return counters.plain[GW_COUNTER_STORE_CALLS];
    }

    Fleet *f;
    GwViewOps ops = {};
    unsigned cluster_size;
    GwCounters counters = {};
    GRand *rand = g_rand_new_with_seed(1);
    GwView *view = nullptr;
    GwStoreReader *reader = nullptr;
    GwPeers *peers = nullptr;
    GwAddress seed = kLocalhost;
    GwTimer flush = {};
};

struct FleetStart : testing::Test {
    // A port for an agent that starts later than the processes that connect to
    // it.
    int
    FreePort()
    {
        static const FakeHttpdOps none = {};
        GwError err = {};
        FakeHttpd *h =
            FakeHttpd_New(f.loop, &kLocalhost, &none, nullptr, &err);
        int port = FakeHttpd_Port(h);

        FakeHttpd_Delete(h);
        return port;
    }
    // Puts rows of `n` endpoints, of which the first one is an engine.
    void
    PutEndpointRows(unsigned n)
    {
        f.Configure(1);
        for (unsigned i = 0; i < n; i++) {
            std::string id = "i-" + std::to_string(i);

            f.PutRow(
                id.c_str(),
                R"({"service":")" + std::string(i == 0 ? "model" : "plain") +
                    R"(","address":"127.0.0.1:)" + std::to_string(i + 1) +
                    R"(","zone":"d","version":"v1","slots":6,)"
                    R"("cold_remaining_ms":0,"seq":1,)" +
                    (i == 0 ? R"("models":[{"name":"m","version":1}],)" : "") +
                    R"("state":"ready"})");
        }
    }
    // Starts an agent that gets a copy of 30 endpoints from an entry; the
    // entry ends, and "i-5" is removed from the store. Sets the agent's port
    // in the options of an entry that starts later. Returns NULL if that
    // fails.
    std::unique_ptr<Node>
    StartAgentWithOlderCopy(NodeOptions *later_entry)
    {
        NodeOptions before, agent;

        PutEndpointRows(30);
        agent.is_agent = agent.asks_peers_first = true;
        agent.name = kPeerReadingName;
        agent.cluster_size = kLargeClusterSize;
        agent.port = before.agent_port = later_entry->agent_port = FreePort();
        auto a = std::make_unique<Node>(&f, agent);
        auto e = std::make_unique<Node>(&f, before);
        if (!f.Until([&] {
                return a->Endpoints() == 30 &&
                       GwStoreReader_Age(a->reader, GW_LIST_INSTANCES) >= 0;
            }))
            return nullptr;
        EXPECT_EQ(a->Calls(), 0u);
        e.reset();
        FakeStore_Put(f.store, "keyed.servers", "i-5", nullptr);
        f.Wait(50 * GW_MILLISECOND);
        return a;
    }

    Fleet f;
};

// Agents must get the lists from the entries that connect to them. If each
// agent read both lists in full at its start, hundreds of agents that start at
// once would cause most of the store's load.
TEST_F(FleetStart, AgentReceivesListsFromEntry)
{
    NodeOptions entry, agent;

    PutEndpointRows(30);
    agent.is_agent = agent.asks_peers_first = true;
    agent.port = entry.agent_port = FreePort();
    Node a(&f, agent);
    Node e(&f, entry);
    ASSERT_TRUE(f.Until(
        [&] { return a.End(GW_LIST_OPERATOR) > 0 && a.Endpoints() == 30; }));
    EXPECT_EQ(a.Calls(), 0u);
    EXPECT_TRUE(f.Until([&] {
        return GwStoreReader_Age(a.reader, GW_LIST_INSTANCES) >= 0;
    })) << "as recent as the entry's";
    // In a small fleet each process reads the store, here from the end of the
    // copy.
    ASSERT_TRUE(f.Until([&] { return a.Calls() >= 2; }));
    f.Configure(2);
    EXPECT_TRUE(f.Until([&] { return GwView_Routes(a.view)->version == 2; }));
    EXPECT_LE(a.Calls(), 6u) << "no full read";
}

// If no entry connects to an agent, or only entries without the lists, the
// agent must not wait indefinitely.
TEST_F(FleetStart, AgentWithoutInformedPeersReadsStore)
{
    for (bool connected : {false, true}) {
        NodeOptions entry, agent;

        PutEndpointRows(3);
        agent.is_agent = agent.asks_peers_first = true;
        agent.bound = 500 * GW_MILLISECOND;
        agent.port = FreePort();
        Node a(&f, agent);
        GwTime start = GwTime_Now();
        entry.seed_port = agent.port;
        entry.reads = false;
        std::unique_ptr<Node> e;
        if (connected)
            e = std::make_unique<Node>(&f, entry);
        ASSERT_TRUE(f.Until([&] { return a.Endpoints() == 3; }));
        EXPECT_GE(GwTime_Now() - start, agent.bound);
        EXPECT_LE(GwTime_Now() - start, 2 * agent.bound + GW_SECOND);
    }
}

// An endpoint is removed, then an entry starts that never knew it. This entry
// reads the list in full and is the first to report a later end to others. If
// they took its records for all changes, they would never learn of the removal
// and would keep sending requests to the removed endpoint.
TEST_F(FleetStart, EntryStartedAfterRemovalDoesNotHideIt)
{
    NodeOptions after;
    auto a = StartAgentWithOlderCopy(&after);
    ASSERT_NE(a, nullptr);

    Node late(&f, after);
    ASSERT_TRUE(f.Until([&] { return late.Endpoints() == 29; }));
    EXPECT_TRUE(f.Until([&] { return a->Endpoints() == 29; }));
}

// Guards against requests to an endpoint that was removed: an entry starts
// while the store is slow, and an agent whose copy is older than the removal
// sends it that copy before the store has answered.
TEST_F(FleetStart, OlderCopyOfAgentDoesNotUndoRemoval)
{
    NodeOptions after;
    auto a = StartAgentWithOlderCopy(&after);
    ASSERT_NE(a, nullptr);

    after.seed_port = after.agent_port;
    after.agent_port = NodeOptions().agent_port;
    FakeStore_SetDelay(f.store, 400 * GW_MILLISECOND);
    Node late(&f, after);
    ASSERT_TRUE(f.Until([&] { return late.Endpoints() == 30; }))
        << "it has the agent's copy";
    FakeStore_SetDelay(f.store, 0);
    EXPECT_TRUE(f.Until([&] { return late.Endpoints() == 29; }));
    EXPECT_TRUE(f.Until([&] { return a->Endpoints() == 29; }));
}

// Guards against requests to a departed endpoint: an agent that reads the
// store without interruption must not defer a removal because the entry that
// sends it was disconnected from the store.
TEST_F(FleetStart, DisconnectedEntryDelaysNoRemoval)
{
    NodeOptions entry, agent;

    PutEndpointRows(30);
    agent.is_agent = true;
    agent.port = entry.seed_port = FreePort();
    entry.reads = false;
    Node a(&f, agent);
    Node e(&f, entry);
    GwRecord removal = {"i-5", nullptr, 0, 0, nullptr};

    ASSERT_TRUE(f.Until([&] { return e.Endpoints() == 30; }));
    f.Wait(2500 * GW_MILLISECOND);
    removal.offset = a.End(GW_LIST_INSTANCES);
    GwInstances_DeferRemovals(GwView_Instances(e.view),
                              GwTime_Now() + GW_SECOND,
                              GwTime_Now() + 2500 * GW_MILLISECOND);
    GwRecords_Apply(GwView_Records(e.view), GW_LIST_INSTANCES, &removal);
    GwRecords_SetEnd(GwView_Records(e.view), GW_LIST_INSTANCES,
                     removal.offset + 1);
    ASSERT_EQ(e.Endpoints(), 30u) << "the entry defers the removal";
    ASSERT_TRUE(f.Until(
        [&] { return a.End(GW_LIST_INSTANCES) == removal.offset + 1; }));
    EXPECT_EQ(a.Endpoints(), 29u);
}

// When a configuration changes, all agents that an entry is connected to
// request it at the same time. Sent all at once, the copies would fill a slow
// link for half a second, and answers to callers would wait behind them.
TEST_F(FleetStart, LargeCopiesAreSentOneAtATime)
{
    const unsigned n = 4;
    const size_t size = 100000;
    std::vector<std::unique_ptr<Node>> agents;
    NodeOptions entry, agent;

    f.Configure(1);
    agent.is_agent = true;
    agent.reads = false;
    agent.port = entry.agent_port = FreePort();
    for (unsigned i = 0; i < n; i++) {
        std::string host = "127.0.0." + std::to_string(i + 1);

        f.PutRow(("i-" + std::to_string(i)).c_str(),
                 R"({"service":"model","address":")" + host +
                     R"(:9","zone":"d","version":"v1","slots":6,)"
                     R"("cold_remaining_ms":0,"seq":1,"state":"ready",)"
                     R"("models":[{"name":"m","version":1}]})");
        agent.host = host.c_str();
        agents.push_back(std::make_unique<Node>(&f, agent));
    }
    entry.link_rate = 1e6; // one copy takes 0.2 s of half of the link
    Node e(&f, entry);
    auto count = [&] {
        return std::count_if(agents.begin(), agents.end(), [&](auto &a) {
            return a->End(GW_LIST_OPERATOR) == e.End(GW_LIST_OPERATOR);
        });
    };
    ASSERT_TRUE(f.Until(
        [&] { return e.End(GW_LIST_OPERATOR) > 0 && count() == (int)n; }));
    FakeStore_Put(f.store, "keyed.op", "large",
                  std::string(size, 'x').c_str());
    f.NameWeights(2); // an urgent change, announced at once
    ASSERT_TRUE(f.Until([&] { return count() > 0 && count() < (int)n; }));
    GwTime first = GwTime_Now();
    ASSERT_TRUE(f.Until([&] { return count() == (int)n; }));
    EXPECT_GE(GwTime_Now() - first, (n - 2) * 200 * GW_MILLISECOND);
    EXPECT_LE(GwTime_Now() - first, 3 * GW_SECOND);
}

// A configuration must be requested from a peer in the same failure domain if
// there is one. If it were requested from the first peer that announces it,
// most copies would go from one failure domain to another.
TEST_F(FleetStart, ConfigurationIsFetchedWithinFailureDomain)
{
    for (bool near_reads_store : {true, false}) {
        NodeOptions agent, near, far;

        agent.is_agent = true;
        agent.reads = false;
        PutEndpointRows(1);
        agent.port = near.agent_port = far.agent_port = FreePort();
        far.domain = "e";
        near.reads = near_reads_store;
        Node a(&f, agent);
        Node of_e(&f, far);
        ASSERT_TRUE(f.Until([&] { return of_e.Endpoints() == 1; }));
        if (!near_reads_store) {
            // This gateway learns of the engine from the seed and gets the
            // rest at the same time as the agent.
            near.seed_port = agent.port;
        }
        Node of_d(&f, near);
        ASSERT_TRUE(
            f.Until([&] { return GwPeers_ClusterSize(a.peers) == 3; }));
        f.Wait(300 * GW_MILLISECOND);
        uint64_t bytes_before =
            of_e.counters.plain[GW_COUNTER_RECORDS_TOLD_BYTES];
        for (int version = 10; version < 14; version++) {
            // Longer than the least interval between urgent heartbeats.
            f.Wait(300 * GW_MILLISECOND);
            f.Configure(version + (near_reads_store ? 0 : 10));
            GwTime at = GwTime_Now();
            ASSERT_TRUE(f.Until([&] {
                return a.End(GW_LIST_OPERATOR) == of_e.End(GW_LIST_OPERATOR) &&
                       GwView_Routes(a.view)->version ==
                           (uint64_t)(version + (near_reads_store ? 0 : 10));
            }));
            EXPECT_LE(GwTime_Now() - at, 600 * GW_MILLISECOND);
        }
        uint64_t after = of_e.counters.plain[GW_COUNTER_RECORDS_TOLD_BYTES];
        if (near_reads_store)
            EXPECT_EQ(after, bytes_before);
        else
            EXPECT_GT(after, bytes_before);
    }
}

// When a fleet starts, all entries connect to the same few seeds. Full copies
// for all of them would fill the links of the seeds for seconds. The first
// rows are enough to find agents, which send the rest.
TEST_F(FleetStart, FirstRequestToSeedIsLimited)
{
    NodeOptions seed, entry;

    PutEndpointRows(200);
    seed.port = FreePort();
    Node s(&f, seed);
    ASSERT_TRUE(f.Until([&] { return s.Endpoints() == 200; }));
    entry.reads = false;
    entry.seed_port = seed.port;
    Node e(&f, entry);
    ASSERT_TRUE(f.Until([&] { return e.Endpoints() > 0; }));
    EXPECT_LT(e.Endpoints(), 100u);
    EXPECT_EQ(e.End(GW_LIST_INSTANCES), 0) << "the list is incomplete";
    // No agent can be reached here, so the rest must come from the seed.
    EXPECT_TRUE(f.Until([&] { return e.Endpoints() == 200; }));
}

} // namespace
