#include "galenagw/routing/subset.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "galenagw/routing/instances.h"

// A fleet as several entries see it.
class SubsetTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        static const GwInstancesOps ops = {};

        list_ = GwInstances_New(&ops, nullptr);
    }
    void
    TearDown() override
    {
        GwInstances_Delete(list_);
    }
    void
    List(int engine, bool draining = false)
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
        GwInstances_Listed(list_, &row);
    }
    void
    ListAll(int engines)
    {
        for (int i = 0; i < engines; i++)
            List(i);
    }
    std::set<std::string>
    Followed(const std::string &entry, unsigned size = kSize)
    {
        const GPtrArray *all = GwInstances_All(list_);
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

    static const unsigned kSize = 48;
    GwInstances *list_ = nullptr;
    int64_t offset_ = 0;
};

TEST_F(SubsetTest, AFleetThatFitsIsFollowedWhole)
{
    EXPECT_TRUE(Followed("edge-1").empty()) << "nothing is listed yet";
    ListAll(kSize);
    List(0, true);
    EXPECT_EQ(Followed("edge-1").size(), (size_t)kSize)
        << "leaving ones too: they hold parts that others copy";
}

// The load of a large deployment: each engine's agent tells each entry that
// follows it some ten times a second, and entries have a tenth of a core. So
// what one entry hears must not grow with the fleet, and no engine may be left
// without entries that send it work.
TEST_F(SubsetTest, EachEntryFollowsAPartAndEachEngineIsFollowed)
{
    std::map<std::string, int> followers;
    const int entries = 103, engines = 180;

    ListAll(engines);
    for (int i = 0; i < entries; i++) {
        auto ids = Followed("edge-" + std::to_string(i));

        EXPECT_EQ(ids.size(), (size_t)kSize);
        for (const std::string &id : ids)
            followers[id]++;
    }
    ASSERT_EQ(followers.size(), (size_t)engines);
    // Binomial: 27.5 and its spread, 4.5; five times that holds them all.
    for (const auto &[id, n] : followers) {
        EXPECT_GT(n, 5) << id;
        EXPECT_LT(n, 50) << id;
    }
}

// An engine leaves: each entry that followed it takes one more, and nothing
// else changes, as each change costs a session and all that the engine holds.
TEST_F(SubsetTest, AnEngineThatGoesChangesOneOfEachPart)
{
    ListAll(180);
    auto before = Followed("edge-1");
    std::string gone = *before.begin();

    GwInstances_Forget(list_, gone.c_str());
    auto after = Followed("edge-1");
    EXPECT_EQ(after.size(), (size_t)kSize);
    before.erase(gone);
    for (const std::string &id : before)
        EXPECT_EQ(after.count(id), 1u) << id;
}

// A quarter of the engines leaves at once. Those in the part are still heard,
// as requests are in flight there; others take their work.
TEST_F(SubsetTest, LeavingEnginesTakeNoOthersPlace)
{
    const GPtrArray *all;
    int usable = 0;

    ListAll(180);
    for (int i = 0; i < 45; i++)
        List(i, true);
    EXPECT_GT(Followed("edge-1").size(), (size_t)kSize);
    all = GwInstances_All(list_);
    for (guint i = 0; i < all->len; i++) {
        auto *instance =
            static_cast<const GwInstance *>(g_ptr_array_index(all, i));

        usable += instance->followed && !instance->draining;
    }
    EXPECT_EQ(usable, (int)kSize);
}

// Shares of retry budgets and pauses between calls to the store depend on how
// many entries there are; agents know only those that follow them.
TEST_F(SubsetTest, EntriesAreCountedFromThoseThatFollowAnEngine)
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

// The deployments on the users' sheets and the size to design for. Where many
// entries see the same engines they all choose the one that seems idle; where
// too few do, some engines get no work.
TEST_F(SubsetTest, SomeEightEntriesFollowEachEngineOfALargeFleet)
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
