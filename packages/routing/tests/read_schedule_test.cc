#include <gtest/gtest.h>

#include <string>

#include "fleet_model.h"
#include "galenagw/routing/read_schedule.h"

namespace {

const GwTime kBound = 5 * GW_SECOND;
const GwTime kEndpointHeartbeat = 1200 * GW_MILLISECOND;

struct ReadScheduleTest : testing::Test {
    GRand *rand = g_rand_new_with_seed(7);
    ~ReadScheduleTest() override
    {
        g_rand_free(rand);
    }
    // A process of a fleet of hundreds that reads from peers.
    GwReadSchedule
    ProcessReadingFromPeers()
    {
        GwReadSchedule r;

        GwReadSchedule_Init(&r, "edge-medeu-2", kBound, kEndpointHeartbeat);
        GwReadSchedule_SetClusterSize(&r, 283);
        EXPECT_TRUE(GwReadSchedule_ReadsFromPeers(&r));
        return r;
    }
};

// Each change ends the waiting call of every store reader, so there must be
// few of them.
TEST_F(ReadScheduleTest, AboutTwoDozenProcessesAreStoreReaders)
{
    const struct {
        unsigned processes;
        unsigned min_readers, max_readers; // store readers
    } cases[] = {{1, 1, 1},    {17, 17, 17},  {24, 24, 24},
                 {63, 16, 32}, {283, 14, 34}, {4080, 14, 34}};

    for (const auto &c : cases) {
        unsigned n = 0;

        for (unsigned i = 0; i < c.processes; i++) {
            GwReadSchedule r;

            GwReadSchedule_Init(&r, ("edge-" + std::to_string(i)).c_str(),
                                kBound, kEndpointHeartbeat);
            GwReadSchedule_SetClusterSize(&r, c.processes);
            n += !GwReadSchedule_ReadsFromPeers(&r);
        }
        // Binomial distribution: mean 24, plus or minus twice the standard
        // deviation of 5.
        EXPECT_GE(n, c.min_readers) << c.processes;
        EXPECT_LE(n, c.max_readers) << c.processes;
    }
}

// Store readers that are disconnected, suspended or rejected do not report
// this. The age of the lists that peers send must show it.
TEST_F(ReadScheduleTest, UnconfirmedListIsReadFromStore)
{
    const struct {
        GwTime bound, confirmed_ago; // < 0: never
        bool calls;
    } cases[] = {
        {kBound, 0, false},
        {kBound, kBound, false},
        {kBound, kBound + 1, true},
        {kBound, -1, true},
        // Each hop takes a heartbeat or two, whatever the bound is.
        {2 * GW_SECOND, 4 * GW_SECOND, false},
        {8 * GW_SECOND, 7 * GW_SECOND, false},
    };

    for (const auto &c : cases) {
        GwTime now = 100 * GW_SECOND;
        GwReadSchedule r = ProcessReadingFromPeers();

        r.bound = c.bound;
        if (c.confirmed_ago >= 0)
            GwReadSchedule_Confirm(&r, GW_LIST_OPERATOR,
                                   now - c.confirmed_ago);
        EXPECT_EQ(GwReadSchedule_Delay(&r, GW_LIST_OPERATOR, now, rand) == 0,
                  c.calls)
            << c.bound << " " << c.confirmed_ago;
        EXPECT_EQ(GwReadSchedule_Delay(&r, GW_LIST_INSTANCES, now, rand), 0)
            << "the other list was never confirmed";
    }
}

// A delayed heartbeat must not make a list look older than a later one has
// shown it to be.
TEST_F(ReadScheduleTest, EarlierConfirmationIsIgnored)
{
    GwReadSchedule r = ProcessReadingFromPeers();

    EXPECT_EQ(GwReadSchedule_Age(&r, GW_LIST_OPERATOR, 10), -1);
    GwReadSchedule_Confirm(&r, GW_LIST_OPERATOR, 20);
    GwReadSchedule_Confirm(&r, GW_LIST_OPERATOR, 15);
    EXPECT_EQ(GwReadSchedule_Age(&r, GW_LIST_OPERATOR, 30), 10);
}

// A process that receives nothing from peers must read from the store after a
// while. One that has received the lists need not call the store if others
// read.
TEST_F(ReadScheduleTest, StartUpWaitForPeersIsBounded)
{
    GwTime start = 7 * GW_SECOND;
    GwReadSchedule r;

    GwReadSchedule_Init(&r, "side-1", kBound, kEndpointHeartbeat);
    EXPECT_EQ(GwReadSchedule_Delay(&r, GW_LIST_OPERATOR, start, rand), 0);
    GwReadSchedule_WaitForPeers(&r, start, rand);
    GwTime pause = GwReadSchedule_Delay(&r, GW_LIST_OPERATOR, start, rand);
    EXPECT_GE(pause, kBound);
    EXPECT_LE(pause, 2 * kBound);
    EXPECT_EQ(GwReadSchedule_Delay(&r, GW_LIST_OPERATOR, start + pause, rand),
              0);
    // An empty list of engines does not show how large the fleet is.
    GwReadSchedule_Confirm(&r, GW_LIST_OPERATOR, start + GW_SECOND);
    EXPECT_TRUE(GwReadSchedule_IsWaitingForPeers(&r, GW_LIST_OPERATOR,
                                                 start + GW_SECOND));
    GwReadSchedule_SetClusterSize(&r, 20);
    EXPECT_FALSE(GwReadSchedule_IsWaitingForPeers(&r, GW_LIST_OPERATOR,
                                                  start + GW_SECOND));
    EXPECT_EQ(
        GwReadSchedule_Delay(&r, GW_LIST_OPERATOR, start + GW_SECOND, rand),
        0);
}

const int kSizes[] = {100, 300, 1000, 2000};

// Configurations change, and engines are added and removed. If each process
// called for each list every 20 s, calls would grow with the fleet.
TEST(FleetReads, CallsInSteadyStateDoNotGrowWithFleet)
{
    for (int size : kSizes) {
        FleetModel fleet(size, FleetModel::STEADY_STATE);
        GwTime worst = 0;

        fleet.Run(10 * GW_SECOND);
        fleet.TakeCounts();
        for (int i = 0; i < 5; i++) {
            GwTime at = (10 + 6 * i) * GW_SECOND;

            fleet.Run(at);
            fleet.Change(GW_LIST_OPERATOR, true);
            fleet.Change(GW_LIST_INSTANCES, false);
            fleet.Run(at + 5 * GW_SECOND);
            GwTime known = fleet.KnownByEntriesAt(GW_LIST_OPERATOR);
            ASSERT_GT(known, 0) << size << " processes";
            worst = std::max(worst, known - at);
        }
        FleetModel::Counts counts = fleet.TakeCounts();
        printf(
            "%5d: %u calls, %.1f frames/s a process, update received by all "
            "after %.0f ms\n",
            size, counts.calls, counts.frames / 29.0 / size,
            (double)worst / GW_MILLISECOND);
        EXPECT_LT(counts.calls, 500u) << size;
        EXPECT_LT(worst, 2 * GW_SECOND) << size;
    }
}

// Rows change all the time, as in a rolling update, and sometimes an endpoint
// leaves. If all store readers were answered by the same row and paused for
// the same time, no process would receive the departure until the pause is
// over.
TEST(FleetReads, DepartureIsKnownInTimeWhileOtherRowsChange)
{
    for (int size : kSizes) {
        FleetModel fleet(size, FleetModel::STEADY_STATE);
        GwTime worst = 0, sum = 0;
        const int rounds = 12;

        for (int i = 0; i < rounds; i++) {
            GwTime at = (5 + 2 * i) * GW_SECOND;

            for (GwTime row = at - 700 * GW_MILLISECOND; row < at;
                 row += 100 * GW_MILLISECOND) {
                fleet.Run(row);
                fleet.Change(GW_LIST_INSTANCES, false);
            }
            fleet.Run(at);
            fleet.Change(GW_LIST_INSTANCES, true);
            GwTime known = -1;
            while (known < 0 && fleet.Now() < at + kBound) {
                fleet.Run(fleet.Now() + 20 * GW_MILLISECOND);
                known = fleet.KnownByEntriesAt(GW_LIST_INSTANCES);
            }
            ASSERT_GT(known, 0) << size;
            worst = std::max(worst, known - at);
            sum += known - at;
        }
        printf("%5d: received after %.0f ms, %.0f at most\n", size,
               (double)sum / rounds / GW_MILLISECOND,
               (double)worst / GW_MILLISECOND);
        // In addition, removals may be deferred for half of the bound.
        EXPECT_LT(worst, kBound / 2) << size;
    }
}

// All processes start, and engines are listed seconds later, each by a change
// of the list. If all processes performed a full read of both lists and then
// read each change from the store, calls would grow with the fleet.
TEST(FleetReads, CallsAtFirstStartDoNotGrowWithFleet)
{
    for (int size : kSizes) {
        FleetModel fleet(size, FleetModel::FIRST_START);

        fleet.Run(12 * GW_SECOND);
        GwTime known = fleet.KnownByEntriesAt(GW_LIST_INSTANCES);
        FleetModel::Counts counts = fleet.TakeCounts();
        printf("%5d: %u calls, %.0f records sent per process, %u by one; all "
               "received after %.2f s\n",
               size, counts.calls, (double)counts.records / size,
               counts.max_records, (double)known / GW_SECOND);
        EXPECT_GT(known, 0) << size;
        EXPECT_LT(known, 2 * kBound) << size;
        EXPECT_LT(counts.calls, 600u) << size;
        EXPECT_LT(counts.max_records, (unsigned)size * 100) << size;
    }
}

// All processes are killed at the same time. Each entry performs a full read
// of both lists, because its clients wait. Agents must receive the lists from
// entries.
TEST(FleetReads, FullRestartTakesTwoFullReadsPerEntry)
{
    for (int size : kSizes) {
        FleetModel fleet(size, FleetModel::FULL_RESTART);

        fleet.Run(12 * GW_SECOND);
        FleetModel::Counts counts = fleet.TakeCounts();
        unsigned pages =
            (unsigned)(fleet.Engines() / FleetModel::kPageRecords + 2);

        printf("%5d: %u calls, %u by entries' full reads\n", size,
               counts.calls, fleet.Entries() * pages);
        EXPECT_GT(fleet.KnownByEntriesAt(GW_LIST_INSTANCES), 0) << size;
        EXPECT_LT(counts.calls, fleet.Entries() * pages + 300) << size;
    }
}

// The store is unavailable for nine seconds, or rejects a third of the
// processes. Processes that read from peers must not start to poll for its
// return.
TEST(FleetReads, CallsInOutageDoNotGrowWithFleet)
{
    const struct {
        const char *name;
        int rejected_of_three; // processes that the store rejects, of three
    } cases[] = {{"all", 3}, {"a third", 1}};

    for (const auto &c : cases) {
        for (int size : kSizes) {
            FleetModel fleet(size, FleetModel::STEADY_STATE);
            auto which = [&c](int i) { return i % 3 < c.rejected_of_three; };

            fleet.Run(10 * GW_SECOND);
            fleet.TakeCounts();
            fleet.SetRejected(which, true);
            fleet.Run(19 * GW_SECOND);
            unsigned calls = fleet.TakeCounts().calls;
            fleet.SetRejected(which, false);
            fleet.Change(GW_LIST_OPERATOR, true);
            fleet.Run(24 * GW_SECOND);
            GwTime known = fleet.KnownByEntriesAt(GW_LIST_OPERATOR);
            printf("%5d, %s: %u calls in nine seconds, next update received "
                   "after %.0f ms\n",
                   size, c.name, calls,
                   (double)(known - 19 * GW_SECOND) / GW_MILLISECOND);
            EXPECT_LT(calls, 1000u) << size << " " << c.name;
            EXPECT_GT(known, 0) << size;
            EXPECT_LT(known - 19 * GW_SECOND, kBound) << size;
        }
    }
}

// A tenth of the processes, including store readers, or all store readers are
// suspended or disconnected. The other processes must receive an update within
// the bound in the first case, and within 25 s in the second.
TEST(FleetReads, UpdatesArriveWithoutSomeStoreReaders)
{
    for (int size : kSizes) {
        for (bool all_readers : {false, true}) {
            FleetModel fleet(size, FleetModel::STEADY_STATE);
            GwTime at = 10 * GW_SECOND;

            fleet.Run(at);
            std::set<int> stopped;
            for (int i = 0; i < size; i++) {
                if (i % 10 == 0 || (all_readers && fleet.IsStoreReader(i)))
                    stopped.insert(i);
            }
            fleet.SetStopped([&](int i) { return stopped.count(i) > 0; },
                             true);
            fleet.Change(GW_LIST_OPERATOR, true);
            GwTime known = -1;
            while (known < 0 && fleet.Now() < at + 60 * GW_SECOND) {
                fleet.Run(fleet.Now() + 100 * GW_MILLISECOND);
                known = fleet.KnownByEntriesAt(GW_LIST_OPERATOR);
            }
            printf("%5d, %zu stopped: received after %.0f ms\n", size,
                   stopped.size(), (double)(known - at) / GW_MILLISECOND);
            EXPECT_GT(known, 0) << size;
            EXPECT_LT(known - at, all_readers ? 25 * GW_SECOND : kBound)
                << size;
        }
    }
}

// Guards against removals of departed endpoints that are deferred by a process
// that alone was disconnected from the store.
TEST(ReadSchedule, StoreWasAvailableIfConfirmedRegularly)
{
    const struct {
        const char *name;
        std::vector<int> confirmed_ms;
        int now_ms;
        bool expected;
    } cases[] = {
        {"never confirmed", {}, 9000, false},
        {"confirmed once", {5000}, 5100, false},
        {"by peers all the time", {5000, 6000, 7400, 8500}, 9000, true},
        {"for less than the effects of an outage", {5000, 6000}, 6900, false},
        {"seldom", {5000, 7000, 9000}, 10900, true},
        {"not lately", {5000, 6000, 7000}, 9100, false},
        {"again after a gap", {5000, 6000, 7000, 9200, 10000}, 10400, false},
        {"long after a gap", {5000, 9000, 10000, 11000}, 11200, true},
        {"by an older age afterwards", {5000, 6400, 5500, 7000}, 7500, true},
    };

    for (auto &c : cases) {
        GwReadSchedule schedule;

        GwReadSchedule_Init(&schedule, nullptr, 0, kEndpointHeartbeat);
        for (int at : c.confirmed_ms)
            GwReadSchedule_Confirm(&schedule, GW_LIST_INSTANCES,
                                   at * GW_MILLISECOND);
        EXPECT_EQ(GwReadSchedule_WasStoreAvailable(
                      &schedule, GW_LIST_INSTANCES, c.now_ms * GW_MILLISECOND),
                  c.expected)
            << c.name;
    }
}

// Guards against a process that was cut off and takes its own disconnection
// for an outage of the store, although its peers read the store meanwhile.
TEST(ReadSchedule, PeersTellWhetherStoreWasAvailable)
{
    const struct {
        const char *name;
        int peer_since_ms, peer_until_ms;
        bool expected;
    } cases[] = {
        {"peer was not cut off", 1000, 12000, true},
        {"peer was cut off too, until the same time", 11800, 12000, false},
        {"peer returned two seconds earlier", 9900, 12000, true},
        {"peer has read nothing since the cut began", 1000, 5500, false},
        {"peer's last read was just before the return", 1000, 10000, true},
    };

    for (auto &c : cases) {
        GwReadSchedule schedule;

        GwReadSchedule_Init(&schedule, nullptr, 0, kEndpointHeartbeat);
        for (int at : {4000, 5000, 12000})
            GwReadSchedule_Confirm(&schedule, GW_LIST_INSTANCES,
                                   at * GW_MILLISECOND);
        EXPECT_FALSE(GwReadSchedule_WasStoreAvailable(
            &schedule, GW_LIST_INSTANCES, 12000 * GW_MILLISECOND));
        GwReadSchedule_NoteAvailable(&schedule, GW_LIST_INSTANCES,
                                     c.peer_since_ms * GW_MILLISECOND,
                                     c.peer_until_ms * GW_MILLISECOND);
        EXPECT_EQ(GwReadSchedule_WasStoreAvailable(
                      &schedule, GW_LIST_INSTANCES, 12000 * GW_MILLISECOND),
                  c.expected)
            << c.name;
    }
}

} // namespace
