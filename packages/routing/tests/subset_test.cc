#include "galenagw/routing/subset.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "galenagw/routing/instances.h"

// The engines of a fleet. An entry is a router process that clients connect
// to. It follows an engine if it keeps a session to the engine's agent, which
// sends it the engine's state. Of an entry, only its name
// determines the subset that it follows, so the tests need no entries.
class SubsetTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        static const GwInstancesOps ops = {};

        instances_ = GwInstances_New(&ops, nullptr);
    }
    void
    TearDown() override
    {
        GwInstances_Delete(instances_);
    }
    void
    ListEngine(int engine, bool draining = false)
    {
        std::string id = "i-" + std::to_string(engine);
        GwInstanceRow row = {};

        row.id = id.c_str();
        row.service = "model";
        snprintf(row.address.host, sizeof(row.address.host), "10.0.%d.%d",
                 engine / 200, engine % 200);
        row.address.port = 9;
        row.failure_domain = "d";
        row.model = "m";
        row.weights = 1;
        row.offset = ++offset_;
        row.draining = draining;
        GwInstances_ApplyRow(instances_, &row, 1);
    }
    void
    ListAll(int engines)
    {
        for (int i = 0; i < engines; i++)
            ListEngine(i);
    }
    std::set<std::string>
    EnginesFollowedBy(const std::string &entry, unsigned size = kSize)
    {
        const GPtrArray *all = GwInstances_All(instances_);
        std::set<std::string> ids;

        GwSubset_Mark(all, entry.c_str(), size);
        for (guint i = 0; i < all->len; i++) {
            auto *instance =
                static_cast<const GwInstance *>(g_ptr_array_index(all, i));

            if (instance->followed)
                ids.insert(instance->id);
        }
        return ids;
    }

    // Subset size that these tests use, regardless of GwSubset_Size.
    static const unsigned kSize = 48;
    GwInstances *instances_ = nullptr;
    int64_t offset_ = 0;
};

TEST_F(SubsetTest, SmallFleetIsFollowedEntirely)
{
    EXPECT_TRUE(EnginesFollowedBy("edge-1").empty())
        << "nothing is listed yet";
    ListAll(kSize);
    ListEngine(0, true); // the row of a listed engine, now draining
    EXPECT_EQ(EnginesFollowedBy("edge-1").size(), (size_t)kSize)
        << "including draining engines, from which other engines copy cached "
           "parts of prompts";
}

// In a large deployment, each engine's agent sends some ten messages per
// second to each entry that follows it, and entries have a tenth of a CPU
// core. The number of engines that an entry follows must not grow with the
// fleet, and no engine may be left without entries that send it requests.
TEST_F(SubsetTest, EachEntryFollowsSubsetAndEachEngineIsFollowed)
{
    std::map<std::string, int> followers;
    const int entries = 103, engines = 180;

    ListAll(engines);
    for (int i = 0; i < entries; i++) {
        auto ids = EnginesFollowedBy("edge-" + std::to_string(i));

        EXPECT_EQ(ids.size(), (size_t)kSize);
        for (const std::string &id : ids)
            followers[id]++;
    }
    ASSERT_EQ(followers.size(), (size_t)engines);
    // Binomial distribution: mean 27.5, plus or minus five times the standard
    // deviation of 4.5.
    for (const auto &[id, n] : followers) {
        EXPECT_GT(n, 5) << id;
        EXPECT_LT(n, 50) << id;
    }
}

// If an engine is removed, each entry that followed it must follow one other
// engine instead and keep the remaining ones, because each change costs a
// session and the transfer of all cached parts of an engine.
TEST_F(SubsetTest, RemovedEngineIsReplacedByOneInSubset)
{
    ListAll(180);
    auto before = EnginesFollowedBy("edge-1");
    std::string removed = *before.begin();

    GwInstances_Forget(instances_, removed.c_str(), 1);
    auto after = EnginesFollowedBy("edge-1");
    EXPECT_EQ(after.size(), (size_t)kSize);
    before.erase(removed);
    for (const std::string &id : before)
        EXPECT_EQ(after.count(id), 1u) << id;
}

// A quarter of the engines starts draining at the same time. An entry still
// follows the draining engines of its subset, because it has requests in
// flight there. It must follow as many other engines in addition, because
// draining engines get no new requests.
TEST_F(SubsetTest, DrainingEnginesDoNotCountAgainstSize)
{
    const GPtrArray *all;
    int usable = 0;

    ListAll(180);
    for (int i = 0; i < 45; i++)
        ListEngine(i, true);
    EXPECT_GT(EnginesFollowedBy("edge-1").size(), (size_t)kSize);
    all = GwInstances_All(instances_);
    for (guint i = 0; i < all->len; i++) {
        auto *instance =
            static_cast<const GwInstance *>(g_ptr_array_index(all, i));

        usable += instance->followed && !instance->draining;
    }
    EXPECT_EQ(usable, (int)kSize);
}

// The number of entries determines each entry's share of a retry budget and
// the pauses between its calls to the store. An agent only has sessions to the
// entries that follow its engine. An entry therefore estimates the number of
// entries from the mean number of followers of an engine, times the number of
// engines, divided by the size of a subset. If the size is 0 (unknown) or all
// engines are followed, each entry follows each engine.
TEST_F(SubsetTest, EntriesAreEstimatedFromFollowers)
{
    const struct {
        double followers;
        unsigned engines, size;
        unsigned entries;
    } cases[] = {{4, 9, 9, 4},
                 {22, 41, 41, 22},
                 {22.0 * 14 / 41, 41, 14, 22},
                 {103.0 * 14 / 180, 180, 14, 103},
                 {0, 180, 14, 0},
                 {3, 180, 0, 3}};

    for (const auto &c : cases)
        EXPECT_EQ(GwSubset_Entries(c.followers, c.engines, c.size), c.entries);
}

// If too many entries follow the same engines, they all choose the same
// engine, which seems idle to each of them. If too few entries follow an
// engine, it may get no requests. Fleets of up to 48 engines are followed
// entirely. In larger fleets, the size of a subset is the first of 14, 21, 31,
// 46, 69 and so on that is at most a quarter too small for eight followers per
// engine (8 * engines / entries), and at most the number of engines. If the
// number of entries is unknown (0), it is 14. Some cases are the numbers of
// engines and entries of known deployments; the last one is the largest
// deployment to support.
TEST_F(SubsetTest, SizeOfSubsetAimsAtEightFollowersPerEngine)
{
    const struct {
        unsigned engines, entries, size;
    } cases[] = {{9, 4, 9},      {18, 4, 18},   {41, 22, 41},
                 {48, 100, 48},  {49, 100, 14}, {60, 4, 60},
                 {180, 103, 14}, {180, 95, 14}, {180, 112, 14},
                 {180, 0, 14},   {180, 40, 31}, {3700, 380, 69}};

    for (const auto &c : cases)
        EXPECT_EQ(GwSubset_Size(c.engines, c.entries), c.size)
            << c.engines << " " << c.entries;
}
