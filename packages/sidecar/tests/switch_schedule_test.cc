#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "galenagw/sidecar/roll.h"
#include "galenagw/sidecar/switch_schedule.h"

static const GwTime kBound = 20 * GW_SECOND;
static const GwTime kTarget = 500 * GW_MILLISECOND;
static const GwTime kNow = 100 * GW_SECOND;

// Six engines that serve on version 1, of which version 2 was named a second
// ago, and whose switches take two seconds.
static std::vector<GwSwitchMember>
Group()
{
    GwSwitchMember m = {};

    m.weights = 1;
    m.outdated_since = kNow - GW_SECOND;
    m.reported_at = kNow;
    m.switch_time = 2 * GW_SECOND;
    return std::vector<GwSwitchMember>(6, m);
}

static GwSwitchDecision
Decide(const std::vector<GwSwitchMember> &group, size_t own,
       GwTime bound = kBound, GwTime now = kNow)
{
    GwSwitchFacts f = {};

    f.members = group.data();
    f.n_members = group.size();
    f.own = own;
    f.now = now;
    f.bound = bound;
    f.target_latency = kTarget;
    return GwSwitchSchedule_Decide(&f);
}

// Guards against more than one engine of a group that is out of service, and
// against a group that waits for one that is lost.
TEST(SwitchSchedule, OneEngineOfAGroupSwitchesAtATime)
{
    struct Case {
        const char *name;
        void (*change)(std::vector<GwSwitchMember> *group);
        size_t own;
        GwSwitchReason reason;
        bool may_prepare;
    } cases[] = {
        {"the first one starts", [](auto *g) {}, 0, GW_SWITCH_STARTS, true},
        {"the second one waits", [](auto *g) {}, 1, GW_SWITCH_WAITS_TURN,
         false},
        {"it has the newest weights",
         [](auto *g) { g->at(0).outdated_since = 0; }, 0, GW_SWITCH_CURRENT,
         false},
        {"older weights come first", [](auto *g) { g->at(5).weights = 0; }, 0,
         GW_SWITCH_WAITS_TURN, false},
        {"an engine switches",
         [](auto *g) { g->at(3).switching_since = kNow - GW_SECOND; }, 0,
         GW_SWITCH_WAITS_GROUP, false},
        {"it will soon be done",
         [](auto *g) {
             g->at(3).switching_since = kNow - 1900 * GW_MILLISECOND;
         },
         0, GW_SWITCH_WAITS_GROUP, true},
        {"its switch is stuck",
         [](auto *g) { g->at(3).switching_since = kNow - 5 * GW_SECOND; }, 0,
         GW_SWITCH_STARTS, true},
        {"the one before is down", [](auto *g) { g->at(0).is_down = true; }, 1,
         GW_SWITCH_STARTS, true},
        {"the one before is silent",
         [](auto *g) { g->at(0).reported_at = kNow - 5 * GW_SECOND; }, 1,
         GW_SWITCH_STARTS, true},
        {"the one before was silent for a moment",
         [](auto *g) { g->at(0).reported_at = kNow - 2 * GW_SECOND; }, 1,
         GW_SWITCH_WAITS_TURN, false},
    };

    for (auto &c : cases) {
        auto group = Group();

        c.change(&group);
        EXPECT_STREQ(GwSwitchReason_Names[Decide(group, c.own).reason],
                     GwSwitchReason_Names[c.reason])
            << c.name;
        EXPECT_EQ(Decide(group, c.own).may_prepare, c.may_prepare) << c.name;
    }
}

// Guards against a switch that makes callers miss their target latency
// although there is time, and against one that is delayed beyond its bound.
// Six switches of two seconds need 15 s with the allowance.
TEST(SwitchSchedule, WaitsForLoadUntilTheLatestStart)
{
    struct {
        const char *name;
        uint64_t waiting; // tokens at each engine
        GwTime outdated_for;
        GwSwitchReason reason;
        double speed; // measured at the last engine; 0: at none
    } cases[] = {
        {"no queue", 0, GW_SECOND, GW_SWITCH_STARTS, 0},
        {"a queue within the target", 10000, GW_SECOND, GW_SWITCH_STARTS, 0},
        {"a queue beyond the target", 30000, GW_SECOND, GW_SWITCH_WAITS_LOAD,
         0},
        {"the same at fast engines", 30000, GW_SECOND, GW_SWITCH_STARTS, 112},
        {"slow engines", 10000, GW_SECOND, GW_SWITCH_WAITS_LOAD, 20},
        {"the same, shortly before the latest start", 30000,
         4100 * GW_MILLISECOND, GW_SWITCH_WAITS_LOAD, 0},
        {"the same, at the latest start", 30000, 4200 * GW_MILLISECOND,
         GW_SWITCH_STARTS_LATEST, 0},
    };

    for (auto &c : cases) {
        auto group = Group();

        for (auto &m : group) {
            m.waiting_tokens = c.waiting;
            m.outdated_since = kNow - c.outdated_for;
        }
        group.back().prefill_tokens_per_ms = c.speed;
        EXPECT_STREQ(GwSwitchReason_Names[Decide(group, 0).reason],
                     GwSwitchReason_Names[c.reason])
            << c.name;
    }
}

// Guards against a sidecar that is cut off from its group and adds an engine
// that is out of service while time is left, and against one that then never
// switches.
TEST(SwitchSchedule, AnIsolatedEngineWaitsForItsLatestStart)
{
    auto group = Group();

    for (size_t i = 1; i < group.size(); i++)
        group[i].reported_at = kNow - 10 * GW_SECOND;
    EXPECT_FALSE(Decide(group, 0).may_start);
    group[0].outdated_since = kNow - 17 * GW_SECOND;
    EXPECT_TRUE(Decide(group, 0).may_start);
}

// Guards against a group that misses its bounds because its engines switch one
// after the other, and against one that does not report it.
TEST(SwitchSchedule, SeveralSwitchAtATimeWhereOneDoesNotSuffice)
{
    struct {
        GwTime bound;
        size_t at_once;
        bool is_late;
    } cases[] = {
        {20 * GW_SECOND, 1, false},        {10 * GW_SECOND, 2, false},
        {4500 * GW_MILLISECOND, 6, false}, {4 * GW_SECOND, 6, false},
        {3700 * GW_MILLISECOND, 6, true},
    };

    for (auto &c : cases) {
        GwSwitchDecision d = Decide(Group(), 0, c.bound);

        EXPECT_EQ(d.at_once, c.at_once) << c.bound;
        EXPECT_EQ(d.is_late, c.is_late) << c.bound;
        EXPECT_EQ(Decide(Group(), c.at_once - 1, c.bound).may_start, true)
            << c.bound;
    }
}

/* A fleet whose engines decide every 100 ms from states of others that are
 * 100 ms old. Loads slow each other down if more than a fifth of the engines
 * load. */
class SwitchFleet {
  public:
    SwitchFleet(size_t engines, GwTime bound, GwTime load, uint64_t seed,
                GwTime step = kStep)
        : bound(bound), load(load), step(step), engines(engines), rand(seed)
    {
        for (auto &e : this->engines)
            e.reported_at = 1;
    }
    void
    Name()
    {
        versions.push_back(now);
    }
    // The sidecar of an engine is lost: its engine neither switches nor
    // reports.
    void
    LoseSidecars(double share)
    {
        for (auto &e : engines)
            e.is_lost = std::uniform_real_distribution<>(0, 1)(rand) < share;
    }
    void
    Step()
    {
        std::vector<GwSwitchMember> states = States();
        size_t groups = GwSwitchSchedule_Groups(engines.size());
        size_t loading = 0;

        now += step;
        for (size_t i = 0; i < engines.size(); i++)
            Decide(i, groups, states);
        for (auto &e : engines)
            loading += e.left > 0;
        for (size_t g = 0; g < groups; g++) {
            size_t absent = 0;

            for (size_t i = g; i < engines.size(); i += groups)
                absent += engines[i].left > 0 && !engines[i].is_lost;
            most_in_group = std::max(most_in_group, absent);
        }
        most_absent = std::max(most_absent, loading);
        for (auto &e : engines)
            Load(&e, loading);
    }
    size_t
    Versions() const
    {
        return versions.size();
    }
    GwTime
    Now() const
    {
        return now;
    }
    // Engines whose sidecar is not lost and that lack the newest version.
    size_t
    Outdated() const
    {
        size_t n = 0;

        for (auto &e : engines)
            n += !e.is_lost && e.version < versions.size();
        return n;
    }

    static constexpr GwTime kStep = 100 * GW_MILLISECOND;
    size_t most_in_group = 0, most_absent = 0, loads = 0, late = 0;
    uint64_t waiting_tokens = 0; // at each engine
    GwTime longest_absence = 0;  // of one engine, for a load

  private:
    struct Engine {
        size_t version = 0, target = 0;
        double left = 0; // of its load
        GwTime started_at = 0, reported_at = 0, switch_time = 0;
        bool is_lost = false;
    };
    GwTime
    OutdatedSince(const Engine &e) const
    {
        return e.version < versions.size() ? versions[e.version] : 0;
    }
    std::vector<GwSwitchMember>
    States()
    {
        std::vector<GwSwitchMember> states;

        for (auto &e : engines) {
            GwSwitchMember m = {};

            if (!e.is_lost)
                e.reported_at = now;
            m.weights = (int64_t)e.version;
            m.outdated_since = OutdatedSince(e);
            m.reported_at = e.reported_at;
            m.switching_since = e.left > 0 ? e.started_at : 0;
            m.switch_time = e.switch_time;
            m.waiting_tokens = waiting_tokens;
            states.push_back(m);
        }
        return states;
    }
    void
    Decide(size_t i, size_t groups, const std::vector<GwSwitchMember> &states)
    {
        std::vector<GwSwitchMember> group;
        GwSwitchFacts f = {};
        Engine &e = engines[i];

        if (e.is_lost || e.left > 0)
            return;
        for (size_t k = i % groups; k < engines.size(); k += groups) {
            if (k == i)
                f.own = group.size();
            group.push_back(states[k]);
        }
        f.members = group.data();
        f.n_members = group.size();
        f.now = now;
        f.bound = bound;
        f.target_latency = kTarget;
        if (!GwSwitchSchedule_Decide(&f).may_start)
            return;
        e.left = (double)load;
        e.started_at = now;
        e.target = versions.size();
        loads++;
    }
    void
    Load(Engine *e, size_t loading)
    {
        double full_speed = std::max(2.0, (double)engines.size() / 5);

        if (e->left <= 0)
            return;
        e->left -= (double)step * std::min(1.0, full_speed / (double)loading);
        if (e->left > 0)
            return;
        late += now > OutdatedSince(*e) + bound;
        longest_absence = std::max(longest_absence, now - e->started_at);
        e->version = e->target;
        e->switch_time =
            GwSwitchSchedule_UpdateTime(e->switch_time, now - e->started_at);
    }

    GwTime now = GW_SECOND;
    GwTime bound, load, step;
    std::vector<GwTime> versions; // when each was named
    std::vector<Engine> engines;
    std::mt19937_64 rand;
};

// Guards against a fleet of which more than a sixth is out of service while
// versions are named faster than a round of switches takes, as when each
// version starts a sequence of its own; and against engines that are outdated
// for longer than the bound, or that load each version.
TEST(SwitchSchedule, AtMostOneOfEachGroupIsAbsentOverAllVersions)
{
    for (size_t engines : {9, 43, 300, 1000}) {
        for (GwTime interval = 3; interval <= 11; interval += 4) {
            for (double lost : {0.0, 0.1}) {
                SwitchFleet fleet(engines, kBound, 2 * GW_SECOND, engines);
                size_t groups = GwSwitchSchedule_Groups(engines);

                fleet.LoseSidecars(lost);
                for (int v = 0; v < 6; v++) {
                    fleet.Name();
                    for (GwTime t = 0; t < interval * GW_SECOND;
                         t += SwitchFleet::kStep)
                        fleet.Step();
                }
                for (GwTime t = 0; t < kBound; t += SwitchFleet::kStep)
                    fleet.Step();
                EXPECT_LE(fleet.most_in_group, 1u) << engines;
                EXPECT_LE(fleet.most_absent, groups) << engines;
                EXPECT_EQ(fleet.late, 0u) << engines;
                EXPECT_EQ(fleet.Outdated(), 0u) << engines;
                // A round takes 12 s, so most of six versions named within
                // 18 s are skipped.
                EXPECT_LE(fleet.loads, (interval == 3 ? 4 : 6) * engines)
                    << engines;
            }
        }
    }
}

// Guards against engines that load each of several versions while callers wait
// beyond their target: under load each engine loads as late as its bound
// allows, and then the newest version.
TEST(SwitchSchedule, UnderLoadReplacedVersionsAreSkipped)
{
    SwitchFleet fleet(43, kBound, 2 * GW_SECOND, 1);

    fleet.waiting_tokens = 100000;
    for (int i = 0; i < 500; i++) {
        if (i == 20 || i == 50 || i == 90 || i == 130)
            fleet.Name();
        fleet.Step();
    }
    EXPECT_LE(fleet.most_in_group, 1u);
    EXPECT_EQ(fleet.late, 0u);
    EXPECT_EQ(fleet.Outdated(), 0u);
    EXPECT_LE(fleet.loads, 43u * 2);
}

// Guards against requests that begin on old weights after the bound: an engine
// that starts with old weights at any time after the version was named, with
// long runs and a queue that never empties, is ordered at least 0.5 s before
// the bound, or with the first report if it starts later than that.
TEST(SwitchSchedule, TheOrderIsSentBeforeTheBoundHoweverLateTheEngineStarts)
{
    for (GwTime bound : {2 * GW_SECOND, 8 * GW_SECOND, 20 * GW_SECOND}) {
        for (GwTime found = 0; found < bound + GW_SECOND;
             found += 100 * GW_MILLISECOND) {
            GwTime preparing = -1, settling = -1, ordered = -1;

            for (GwTime age = found; ordered < 0; age += 40 * GW_MILLISECOND) {
                auto group = Group();
                GwTime left = GwRoll_TimeLeft(age, bound);

                for (auto &m : group) {
                    m.outdated_since = kNow;
                    m.reported_at = kNow + age;
                    m.waiting_tokens = 100000;
                }
                GwSwitchDecision d = Decide(group, 5, bound, kNow + age);
                if (preparing < 0 && d.may_start)
                    preparing = age;
                if (preparing >= 0 && settling < 0 &&
                    GwRoll_IsPrepared(age - preparing, 4, left))
                    settling = age;
                if (settling >= 0 &&
                    GwRoll_IsSettled(age - settling, true, left))
                    ordered = age;
            }
            EXPECT_LE(ordered, std::max(found, bound - 500 * GW_MILLISECOND))
                << bound << " " << found;
        }
    }
}

// Guards against a round of switches that takes longer than it must, and
// against engines that are unavailable while others load: the platform loads
// about a fifth of the engines at full speed and makes the others wait.
TEST(SwitchSchedule, ARoundWithoutLoadIsSoonComplete)
{
    const GwTime step = 10 * GW_MILLISECOND;
    const struct {
        size_t engines;
        GwTime load, max_done_at;
    } cases[] = {
        {9, 600 * GW_MILLISECOND, 4 * GW_SECOND},
        {12, 600 * GW_MILLISECOND, 5 * GW_SECOND},
        {18, 600 * GW_MILLISECOND, 5 * GW_SECOND},
        {41, 600 * GW_MILLISECOND, 5 * GW_SECOND},
        {38, 500 * GW_MILLISECOND, 4 * GW_SECOND},
    };

    for (auto &c : cases) {
        SwitchFleet fleet(c.engines, 8 * GW_SECOND, c.load, 1, step);

        fleet.Name();
        for (GwTime t = 0; t < c.max_done_at; t += step)
            fleet.Step();
        EXPECT_EQ(fleet.Outdated(), 0u) << c.engines;
        EXPECT_LE(fleet.longest_absence, 700 * GW_MILLISECOND) << c.engines;
        EXPECT_LE(fleet.most_absent, c.engines / 2) << c.engines;
    }
}
