#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "galenagw/cluster/store_reader.h"
#include "galenagw/fakes/fake_store.h"
#include "galenagw/fakes/loop_test.h"

// All entries together read the instances about as often as four entries do,
// and each of them often enough to stop using a draining endpoint in time.
TEST(StoreReader, PauseGrowsWithNumberOfEntries)
{
    const struct {
        unsigned entries;
        int64_t bound_ms; // until a draining endpoint must get no new requests
        int64_t pause_ms;
    } cases[] = {{0, 2000, 200},    {1, 2000, 200},   {4, 2000, 200},
                 {8, 2000, 400},    {20, 2000, 1000}, {100, 2000, 1000},
                 {380, 2000, 1000}, {20, 4000, 1000}, {103, 4000, 2000},
                 {380, 4000, 2000}, {100, 0, 200}};

    for (auto &c : cases)
        EXPECT_EQ(GwStoreReader_EntryMinInterval(c.entries,
                                                 c.bound_ms * GW_MILLISECOND),
                  c.pause_ms * GW_MILLISECOND)
            << c.entries << " " << c.bound_ms;
}

// Propagation bound: time within which a configuration must be in force.
static const GwTime kBound = 2 * GW_SECOND;

/* Name of a process that, in a fleet of hundreds, reads from peers. */
static const char kPeerReadingName[] = "edge-medeu-2";

// One store, and one process that reads it.
struct StoreAndReader {
    explicit StoreAndReader(
        GwLoop *loop, const std::function<void(FakeStore *)> &at_start = {})
    {
        GwStoreReaderOptions options = {};
        GwViewOptions view_options = {};
        static const GwViewOps ops = {};

        store = FakeStore_New(loop, &kAny, nullptr);
        Configure(1);
        PutEndpointRow("ready");
        if (at_start)
            at_start(store);
        view_options.ops = &ops;
        view_options.counters = &counters;
        view = GwView_New(&view_options);
        options.store = kAny;
        options.store.port = FakeStore_Port(store);
        options.view = view;
        options.counters = &counters;
        options.rand = rand;
        options.name = kPeerReadingName;
        reader = GwStoreReader_New(loop, &options);
    }
    ~StoreAndReader()
    {
        GwStoreReader_Delete(reader);
        GwView_Delete(view);
        FakeStore_Delete(store);
        g_rand_free(rand);
    }
    void
    Configure(int version)
    {
        std::string text =
            "{\"version\":" + std::to_string(version) +
            ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"path_prefix\":\"/\",\"route_type\":\"idempotent\","
            "\"service\":\"plain\"}],\"services\":[{\"name\":\"plain\"}]}";

        FakeStore_Put(store, "keyed.op", "config", text.c_str());
    }
    void
    PutEndpointRow(const char *state)
    {
        std::string text =
            "{\"service\":\"plain\",\"address\":\"127.0.0.1:1\","
            "\"zone\":\"d\",\"version\":\"v1\",\"slots\":6,"
            "\"cold_remaining_ms\":0,\"seq\":1,\"state\":\"" +
            std::string(state) + "\"}";

        FakeStore_Put(store, "keyed.servers", "i-1", text.c_str());
    }
    bool
    IsListed() const
    {
        return GwInstances_Find(GwView_Instances(view), "i-1") != nullptr;
    }
    // Whether the process has the records that the store holds in both lists.
    bool
    IsCurrent(uint64_t version, bool draining) const
    {
        const GwRoutes *routes = GwView_Routes(view);
        const GwInstance *i = GwInstances_Find(GwView_Instances(view), "i-1");

        return routes != nullptr && routes->version >= version &&
               i != nullptr && i->draining == draining;
    }

    FakeStore *store;
    GwView *view;
    GwStoreReader *reader;
    GwCounters counters = {};
    GRand *rand = g_rand_new_with_seed(1);
};

// Kinds of store outages; `begin` starts and `end` ends one.
struct Outage {
    const char *name;
    std::function<void(FakeStore *)> begin, end;
};

static const Outage kOutages[] = {
    {"silent", [](FakeStore *s) { FakeStore_SetSilent(s, true); },
     [](FakeStore *s) { FakeStore_SetSilent(s, false); }},
    {"drops answers", [](FakeStore *s) { FakeStore_SetMute(s, true); },
     [](FakeStore *s) { FakeStore_SetMute(s, false); }},
    {"refuses calls", [](FakeStore *s) { FakeStore_Refuse(s, 503); },
     [](FakeStore *s) { FakeStore_Refuse(s, 0); }},
    {"slow", [](FakeStore *s) { FakeStore_SetDelay(s, 400 * GW_MILLISECOND); },
     [](FakeStore *s) { FakeStore_SetDelay(s, 0); }},
};

struct OutageCase {
    std::unique_ptr<StoreAndReader> system;
    const Outage *outage;
    GwTime begin_at, duration;
    bool has_begun = false, has_ended = false;
    GwTime recovered_after = 0; // after the end of the outage; 0: not yet
};

class StoreOutage : public LoopTest {
  protected:
    // Runs the loop for @p time, and calls @p at_step at each step.
    void
    Wait(
        GwTime time, const std::function<void()> &at_step = [] {})
    {
        GwTime start = GwTime_Now();
        GwTimer tick;

        GwTimer_Init(
            &tick, loop, [](void *) {}, nullptr);
        while (GwTime_Now() - start < time) {
            at_step();
            GwTimer_Start(&tick, 10 * GW_MILLISECOND);
            GwLoop_Step(loop);
        }
        GwTimer_Stop(&tick);
    }
    // Runs all cases, and sets for each how long after the end of the outage
    // both lists were as in the store.
    void
    RunAll(std::vector<OutageCase> *outage_cases)
    {
        GwTime start = GwTime_Now();
        GwTime longest = 0;
        GwTimer tick;

        GwTimer_Init(
            &tick, loop, [](void *) {}, nullptr);
        for (OutageCase &p : *outage_cases)
            longest = std::max(longest, p.begin_at + p.duration);
        while (GwTime_Now() - start < longest + 2 * kBound) {
            GwTime at = GwTime_Now() - start;

            for (OutageCase &p : *outage_cases)
                Advance(&p, at);
            GwTimer_Start(&tick, 10 * GW_MILLISECOND);
            GwLoop_Step(loop);
        }
        GwTimer_Stop(&tick);
    }

  private:
    static void
    Advance(OutageCase *p, GwTime at)
    {
        if (!p->has_begun && at >= p->begin_at) {
            p->has_begun = true;
            EXPECT_TRUE(p->system->IsCurrent(1, false))
                << "the lists are not read yet";
            p->outage->begin(p->system->store);
        }
        if (!p->has_ended && at >= p->begin_at + p->duration) {
            p->has_ended = true;
            p->outage->end(p->system->store);
            p->system->Configure(2);
            p->system->PutEndpointRow("draining");
        }
        if (p->has_ended && p->recovered_after == 0 &&
            p->system->IsCurrent(2, true))
            p->recovered_after = at - p->begin_at - p->duration + 1;
    }
};

// The store fails while a read waits there or when one is sent, and the answer
// is never received. Until that read times out, removed routes and revoked
// keys stay valid for callers, and a departed endpoint gets their requests;
// with a long wait that can take twenty seconds. A waiting read looks the same
// whether there is no change or the store has lost it, and as all processes
// wait in the same way, none can notify another.
TEST_F(StoreOutage, BothListsAreCurrentSoonAfterOutage)
{
    const GwTime duration[] = {100 * GW_MILLISECOND, 700 * GW_MILLISECOND,
                               1600 * GW_MILLISECOND, 2900 * GW_MILLISECOND};
    std::vector<OutageCase> outage_cases;

    for (const Outage &a : kOutages)
        for (GwTime begin_at = 500; begin_at <= 2000; begin_at += 100)
            for (GwTime l : duration)
                outage_cases.push_back({std::make_unique<StoreAndReader>(loop),
                                        &a, begin_at * GW_MILLISECOND, l});
    RunAll(&outage_cases);
    for (const OutageCase &p : outage_cases) {
        EXPECT_TRUE(p.recovered_after > 0 && p.recovered_after < kBound)
            << p.outage->name << " from " << p.begin_at << " for "
            << p.duration << ": " << p.recovered_after << " us";
    }
}

// A process that starts during an outage rejects all callers until it has read
// the first full list. After the outage, that must not take longer than any
// other change.
TEST_F(StoreOutage, StartDuringOutageCompletesSoonAfterIt)
{
    std::vector<OutageCase> outage_cases;

    for (const Outage &a : kOutages)
        for (GwTime duration = 100; duration <= 3000; duration += 100) {
            OutageCase p = {std::make_unique<StoreAndReader>(loop, a.begin),
                            &a, 0, duration * GW_MILLISECOND};
            p.has_begun = true;
            outage_cases.push_back(std::move(p));
        }
    RunAll(&outage_cases);
    for (const OutageCase &p : outage_cases) {
        EXPECT_TRUE(p.recovered_after > 0 && p.recovered_after < kBound)
            << p.outage->name << " for " << p.duration << ": "
            << p.recovered_after << " us";
    }
}

// The store was unreachable for longer than records need to expire, and
// returned a second ago. A record that is removed now has not expired during
// the outage; its endpoint has left. If the removal were deferred, the
// endpoint would get callers' requests for some seconds more.
TEST_F(StoreOutage, RemovalASecondAfterOutageIsFinal)
{
    StoreAndReader system(loop);

    Wait(300 * GW_MILLISECOND);
    ASSERT_TRUE(system.IsListed());
    FakeStore_Refuse(system.store, 503);
    Wait(1600 * GW_MILLISECOND);
    FakeStore_Refuse(system.store, 0);
    Wait(1200 * GW_MILLISECOND);
    ASSERT_TRUE(system.IsListed());
    FakeStore_Put(system.store, "keyed.servers", "i-1", nullptr);
    Wait(300 * GW_MILLISECOND);
    EXPECT_FALSE(system.IsListed());
}

// Guards against requests to a departed endpoint at a process that alone was
// disconnected from the store: the removal that it reads first must be applied
// at once if peers read the store meanwhile, and be deferred otherwise.
TEST_F(StoreOutage, RemovalIsDeferredOnlyAfterOutageOfStore)
{
    for (bool peers_confirm : {true, false}) {
        StoreAndReader system(loop);
        const auto confirm = [&] {
            if (peers_confirm)
                GwStoreReader_Confirm(system.reader, GW_LIST_INSTANCES,
                                      GwTime_Now() - 500 * GW_MILLISECOND);
        };

        Wait(300 * GW_MILLISECOND, confirm);
        FakeStore_Refuse(system.store, 503);
        Wait(2400 * GW_MILLISECOND, confirm);
        FakeStore_Put(system.store, "keyed.servers", "i-1", nullptr);
        FakeStore_Refuse(system.store, 0);
        Wait(800 * GW_MILLISECOND, confirm);
        EXPECT_EQ(system.IsListed(), !peers_confirm);
    }
}

// Guards against requests to a departed endpoint at a process that was cut
// off: it took its own disconnection for an outage of the store and deferred
// the removal from the moment at which it noticed its return.
TEST_F(StoreOutage, RemovalIsAppliedWithinReconnectBound)
{
    const GwTime reconnect_bound = 3 * GW_SECOND; // the default
    const GwTime leaving_bound = 2 * GW_SECOND;
    struct Case {
        std::unique_ptr<StoreAndReader> system;
        const Outage *outage;
        GwTime end_at, removal_at;
        bool has_ended, is_removed;
        GwTime applied_at;
    };
    std::vector<Case> cases;
    GwTime start = GwTime_Now();

    for (int kind : {0, 1})
        for (GwTime end_ms = 2000; end_ms <= 7000; end_ms += 250)
            for (GwTime offset_ms : {-700, 50, 200, 400, 900})
                cases.push_back({std::make_unique<StoreAndReader>(loop),
                                 &kOutages[kind], end_ms * GW_MILLISECOND,
                                 (end_ms + offset_ms) * GW_MILLISECOND, false,
                                 false, 0});
    Wait(300 * GW_MILLISECOND);
    for (Case &c : cases)
        c.outage->begin(c.system->store);
    Wait(11 * GW_SECOND, [&] {
        GwTime at = GwTime_Now() - start;

        for (Case &c : cases) {
            if (!c.has_ended && at >= c.end_at) {
                c.has_ended = true;
                c.outage->end(c.system->store);
            }
            if (!c.is_removed && at >= c.removal_at) {
                c.is_removed = true;
                FakeStore_Put(c.system->store, "keyed.servers", "i-1",
                              nullptr);
            }
            GwInstances_Sweep(GwView_Instances(c.system->view), GwTime_Now());
            if (c.applied_at == 0 && !c.system->IsListed())
                c.applied_at = at;
        }
    });
    for (const Case &c : cases) {
        EXPECT_TRUE(c.applied_at > 0 &&
                    c.applied_at <= std::max(c.end_at + reconnect_bound,
                                             c.removal_at + leaving_bound))
            << c.outage->name << " until " << c.end_at << ", removed at "
            << c.removal_at << ", applied at " << c.applied_at;
    }
}

// Guards against requests to a departed endpoint at a process that was cut off
// from the store and from its peers: when a peer reports that the store
// answered it meanwhile, the deferred removal must be applied at once.
TEST_F(StoreOutage, DeferralEndsWhenPeerReadStoreMeanwhile)
{
    for (bool was_available : {true, false}) {
        StoreAndReader system(loop);

        Wait(300 * GW_MILLISECOND);
        FakeStore_Refuse(system.store, 503);
        Wait(2400 * GW_MILLISECOND);
        FakeStore_Put(system.store, "keyed.servers", "i-1", nullptr);
        FakeStore_Refuse(system.store, 0);
        Wait(700 * GW_MILLISECOND);
        EXPECT_TRUE(system.IsListed());
        GwStoreReader_NoteStoreAvailable(
            system.reader, GW_LIST_INSTANCES,
            GwTime_Now() - (was_available ? 60 * GW_SECOND : GW_SECOND),
            GwTime_Now());
        EXPECT_EQ(system.IsListed(), !was_available);
    }
}

// A process starts and reads the full list in pages. A record of the first
// page is changed before the last page is sent. Pages are not a snapshot, but
// the end given with the last page lies after that change, so reading on from
// there would skip it. Callers, also those of processes that request the list
// from this one, would get the older configuration until the next change.
TEST_F(StoreOutage, ChangeBetweenPagesOfFullReadIsRead)
{
    StoreAndReader system(loop, [](FakeStore *s) {
        FakeStore_Put(s, "keyed.op", "version/m",
                      "{\"model\":\"m\",\"version\":1}");
        FakeStore_SetPage(s, 1);
        FakeStore_SetDelay(s, 100 * GW_MILLISECOND);
    });
    GwTime start = GwTime_Now();
    bool changed = false;
    GwTimer tick;

    GwTimer_Init(
        &tick, loop, [](void *) {}, nullptr);
    while (!system.IsCurrent(2, false) && GwTime_Now() - start < 2 * kBound) {
        if (!changed && system.IsCurrent(1, false)) {
            changed = true;
            EXPECT_EQ(GwView_ModelVersions(system.view, "m")->version, -1)
                << "the last page was read already";
            system.Configure(2);
        }
        GwTimer_Start(&tick, 10 * GW_MILLISECOND);
        GwLoop_Step(loop);
    }
    GwTimer_Stop(&tick);
    EXPECT_TRUE(system.IsCurrent(2, false));
}

// A process in a fleet of hundreds reads from peers, so it has no call waiting
// at the store that a change would answer. When it loses all its peers,
// because they were killed or are cut off, it must read the store itself at
// once, because no peer sends it updates.
TEST_F(StoreOutage, ProcessReadingFromPeersReadsStoreOnceAlone)
{
    StoreAndReader one(loop);

    // A full read of each list, and a long poll for each.
    ASSERT_TRUE(Until(
        [&] { return one.counters.plain[GW_COUNTER_STORE_CALLS] == 4; }));
    GwStoreReader_SetClusterSize(one.reader, 283);
    ASSERT_TRUE(GwStoreReader_ReadsFromPeers(one.reader));
    one.Configure(2); // answers the calls under way
    one.PutEndpointRow("draining");
    ASSERT_TRUE(Until([&] { return one.IsCurrent(2, true); }));
    uint64_t calls = one.counters.plain[GW_COUNTER_STORE_CALLS];
    one.Configure(3);
    GwTime end = GwTime_Now() + 300 * GW_MILLISECOND;
    Until([&] { return GwTime_Now() >= end; });
    EXPECT_EQ(one.counters.plain[GW_COUNTER_STORE_CALLS], calls);
    EXPECT_FALSE(one.IsCurrent(3, true));
    GwStoreReader_SetClusterSize(one.reader, 1);
    EXPECT_TRUE(Until([&] { return one.IsCurrent(3, true); }));
}
