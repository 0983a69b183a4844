#include "galenagw/routing/software.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>

#include "galenagw/routing/instances.h"

static const GwTime kStart = 5000 * GW_SECOND;
static const GwTime kLife = GW_STREAM_LIFETIME;

// Two versions, or one version of two services, must not be taken for the
// same software, and an absent version must not be taken for a known one.
TEST(Software, IdentityIsOfServiceAndVersion)
{
    const struct {
        const char *service, *version;
        bool is_known, is_same; // as service "s", version "v1"
    } cases[] = {
        {"s", "v1", true, true},  {"s", "v2", true, false},
        {"t", "v1", true, false}, {"sv", "1", true, false},
        {"v1", "s", true, false}, {"s", "v1 ", true, false},
        {"s", "", false, false},  {"s", nullptr, false, false},
    };
    uint64_t identity = GwSoftware_Identity("s", "v1");

    for (auto &c : cases) {
        uint64_t other = GwSoftware_Identity(c.service, c.version);

        EXPECT_EQ(other != 0, c.is_known) << c.service << " " << c.version;
        EXPECT_EQ(other == identity, c.is_same) << c.service;
    }
}

struct SoftwareList {
    SoftwareList()
    {
        static const GwInstancesOps ops = {};

        m = GwInstances_New(&ops, nullptr);
    }
    ~SoftwareList()
    {
        GwInstances_Delete(m);
    }
    // Applies a row at @p at after the start.
    bool
    Row(GwTime at, const char *id, const char *version,
        int64_t incarnation = 1, const char *service = "s",
        bool draining = false, int64_t offset = 0)
    {
        GwInstanceRow row = {};

        row.id = id;
        row.incarnation = incarnation;
        row.service = service;
        row.address = {"10.0.0.1", ++port};
        row.failure_domain = "d";
        row.draining = draining;
        row.weights = -1;
        row.offset = offset != 0 ? offset : port;
        row.software = version;
        return GwInstances_ApplyRow(m, &row, kStart + at) == GW_ROW_CHANGED;
    }
    void
    Restart(GwTime at, const char *id, int64_t incarnation)
    {
        EXPECT_NE(GwInstances_ApplyRestart(m, id, incarnation, GW_SOURCE_AGENT,
                                           kStart + at),
                  nullptr);
    }
    void
    Remove(GwTime at, const char *id)
    {
        GwInstances_ApplyRemoval(m, id, kStart + at);
    }
    unsigned
    Versions(GwTime at, uint64_t *only, const char *service = "s")
    {
        *only = 99;
        return GwInstances_SoftwareVersions(m, service, kStart + at, only);
    }
    GwInstances *m;
    int port = 0;
};

// A stream must not be continued by a version that cannot have begun it, so
// that no version may be forgotten while its streams may be in progress; and a
// departed version must not prevent that streams are continued for longer.
TEST(Software, VersionsThatMayHaveBegunAStream)
{
    const struct {
        const char *name;
        std::function<void(SoftwareList &)> apply;
        GwTime at;
        unsigned n;
        const char *only; // NULL: none
    } cases[] = {
        {"nothing listed", [](SoftwareList &) {}, 0, 0, nullptr},
        {"one version, two endpoints",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v1");
         },
         0, 1, "v1"},
        {"two versions listed",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
         },
         2 * kLife, 2, nullptr},
        {"another service has another version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2", 1, "t");
         },
         0, 1, "v1"},
        {"one of two endpoints of a version departed",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v1");
             l.Remove(1, "a");
         },
         2, 1, "v1"},
        {"all departed, within the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Remove(1, "a");
         },
         1 + kLife, 1, "v1"},
        {"all departed, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Remove(1, "a");
         },
         2 + kLife, 0, nullptr},
        {"one departed, within the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             l.Remove(1, "a");
         },
         1 + kLife, 2, nullptr},
        {"one departed, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             l.Remove(1, "a");
         },
         2 + kLife, 1, "v2"},
        {"draining",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1", 1, "s", true);
             l.Row(0, "b", "v2");
         },
         2 * kLife, 2, nullptr},
        {"removal deferred: listed until it is applied",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             GwInstances_DeferRemovals(l.m, kStart + 5, kStart + 2 * kLife);
             l.Remove(1, "a");
             GwInstances_Sweep(l.m, kStart + kLife);
         },
         kLife + 5, 2, nullptr},
        {"deferred removal applied, within the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             GwInstances_DeferRemovals(l.m, kStart + 5, kStart + 10);
             l.Remove(1, "a");
             GwInstances_Sweep(l.m, kStart + 20);
         },
         20 + kLife, 2, nullptr},
        {"deferred removal applied, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             GwInstances_DeferRemovals(l.m, kStart + 5, kStart + 10);
             l.Remove(1, "a");
             GwInstances_Sweep(l.m, kStart + 20);
         },
         21 + kLife, 1, "v2"},
        {"forgotten",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             GwInstances_Forget(l.m, "a", kStart + 1);
         },
         1 + kLife, 2, nullptr},
        {"forgotten, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(0, "b", "v2");
             GwInstances_Forget(l.m, "a", kStart + 1);
         },
         2 + kLife, 1, "v2"},
        {"removed and listed again",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Remove(1, "a");
             l.Row(2, "a", "v1");
         },
         3, 1, "v1"},
        {"removed, listed again with another version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Remove(1, "a");
             l.Row(2, "a", "v2");
         },
         3, 2, nullptr},
        {"listed again, removed again: the later removal applies",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Remove(1, "a");
             l.Row(2, "a", "v1");
             l.Remove(kLife, "a");
         },
         2 * kLife, 1, "v1"},
        {"later incarnation of the same version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v1", 2);
         },
         2, 1, "v1"},
        {"later incarnation of another version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v2", 2);
         },
         1 + kLife, 2, nullptr},
        {"later incarnation of another version, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v2", 2);
         },
         2 + kLife, 1, "v2"},
        {"later incarnation of another service",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v1", 2, "t");
         },
         2, 1, "v1"},
        {"later incarnation of another service, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v1", 2, "t");
         },
         2 + kLife, 0, nullptr},
        {"earlier incarnation ignored",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1", 2);
             l.Row(1, "a", "v2", 1);
         },
         2, 1, "v1"},
        {"restarted, version unknown",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
         },
         2, 2, nullptr},
        {"restarted, version unknown, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
         },
         2 + kLife, 1, nullptr},
        {"restarted, then its row of the same version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
             l.Row(2, "a", "v1", 2);
         },
         3, 1, "v1"},
        {"restarted, then its row of another version",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
             l.Row(2, "a", "v2", 2);
         },
         3, 2, nullptr},
        {"restarted, its row of another version, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
             l.Row(2, "a", "v2", 2);
         },
         2 + kLife, 1, "v2"},
        {"restarted twice before a row was read",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Restart(1, "a", 2);
             l.Restart(2, "a", 3);
             l.Row(3, "a", "v1", 3);
         },
         4, 1, "v1"},
        {"version of an incarnation changes",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v2");
         },
         1 + kLife, 2, nullptr},
        {"version of an incarnation changes, after the lifetime",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", "v2");
         },
         2 + kLife, 1, "v2"},
        {"older record of an incarnation",
         [](SoftwareList &l) {
             l.Row(0, "a", "v2", 1, "s", false, 20);
             l.Row(1, "a", "v1", 1, "s", false, 10);
         },
         2, 1, "v2"},
        {"row without a version keeps the known one",
         [](SoftwareList &l) {
             l.Row(0, "a", "v1");
             l.Row(1, "a", nullptr);
         },
         2, 1, "v1"},
        {"two endpoints of unknown version",
         [](SoftwareList &l) {
             l.Row(0, "a", nullptr);
             l.Row(0, "b", "");
         },
         0, 2, nullptr},
        {"unknown version without incarnation, then known",
         [](SoftwareList &l) {
             l.Row(0, "a", nullptr, 0);
             l.Row(1, "a", "v1", 0);
         },
         2, 1, "v1"},
    };

    for (auto &c : cases) {
        SoftwareList l;
        uint64_t only;

        c.apply(l);
        EXPECT_EQ(l.Versions(c.at, &only), c.n) << c.name;
        EXPECT_EQ(only, GwSoftware_Identity("s", c.only)) << c.name;
    }
}

// A new version in a row must be applied and reported as a change, or a new
// incarnation would keep the version of the previous one.
TEST(Software, RowChangesVersionOfInstance)
{
    SoftwareList l;

    EXPECT_TRUE(l.Row(0, "a", "v1"));
    EXPECT_FALSE(l.Row(0, "a", "v1"));
    EXPECT_TRUE(l.Row(0, "a", "v2"));
    EXPECT_STREQ(GwInstances_Find(l.m, "a")->software_version, "v2");
    EXPECT_EQ(GwInstances_Find(l.m, "a")->software,
              GwSoftware_Identity("s", "v2"));
    l.Restart(1, "a", 2);
    EXPECT_EQ(GwInstances_Find(l.m, "a")->software_version, nullptr);
    EXPECT_EQ(GwInstances_Find(l.m, "a")->software, 0u);
    EXPECT_TRUE(l.Row(2, "a", "v2", 2));
    EXPECT_EQ(GwInstances_Find(l.m, "a")->software,
              GwSoftware_Identity("s", "v2"));
}

// More versions depart than are stored. The remaining ones must not be taken
// for the only ones while streams of the dropped ones may be in progress.
TEST(Software, DroppedVersionsCountUntilTheyExpire)
{
    for (int departed :
         {GW_SOFTWARE_DEPARTED_MAX, GW_SOFTWARE_DEPARTED_MAX + 1,
          3 * GW_SOFTWARE_DEPARTED_MAX}) {
        int dropped = departed - GW_SOFTWARE_DEPARTED_MAX;
        SoftwareList l;
        uint64_t only;

        for (int i = 1; i <= departed; i++) {
            l.Row(i, "a", std::to_string(i).c_str());
            l.Remove(i, "a");
        }
        l.Row(departed, "b", "kept");
        EXPECT_EQ(l.Versions(departed, &only),
                  1u + GW_SOFTWARE_DEPARTED_MAX + (dropped > 0));
        EXPECT_EQ(only, 0u);
        EXPECT_EQ(l.Versions(departed + kLife, &only), 2u)
            << "the last one departed just within the lifetime";
        EXPECT_EQ(only, 0u);
        EXPECT_EQ(l.Versions(departed + 1 + kLife, &only), 1u);
        EXPECT_EQ(only, GwSoftware_Identity("s", "kept"));
    }
}

// Streams of services that could not be stored must not be taken for streams
// of the only listed version; services that are stored are not affected.
TEST(Software, DroppedServicesCountUntilTheyExpire)
{
    const int services = GW_SOFTWARE_SERVICES_MAX + 10;
    GwSoftwareHistory *history = GwSoftwareHistory_New();
    uint64_t only = 0;

    GwSoftwareHistory_Add(history, "listed", 7);
    for (int i = 0; i < services; i++) {
        std::string name = "s" + std::to_string(i);

        GwSoftwareHistory_Add(history, name.c_str(), 7);
        GwSoftwareHistory_Remove(history, name.c_str(), 7, kStart + i);
    }
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "listed", kStart + services, &only),
        1u);
    EXPECT_EQ(only, 7u);
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "s10", kStart + services, &only), 1u);
    EXPECT_EQ(only, 7u);
    EXPECT_EQ(GwSoftwareHistory_Count(history, "s9", kStart + services, &only),
              2u);
    EXPECT_EQ(only, 0u);
    GwSoftwareHistory_Add(history, "s9", 8);
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "s9", kStart + 9 + kLife, &only), 2u);
    EXPECT_EQ(only, 0u);
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "s9", kStart + 10 + kLife, &only),
        1u);
    EXPECT_EQ(only, 8u);
    // Expired services make space for others.
    GwSoftwareHistory_Remove(history, "listed", 7, kStart + 3 * kLife);
    GwSoftwareHistory_Add(history, "new", 7);
    GwSoftwareHistory_Remove(history, "new", 7, kStart + 3 * kLife);
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "other", kStart + 3 * kLife, &only),
        0u);
    EXPECT_EQ(
        GwSoftwareHistory_Count(history, "listed", kStart + 3 * kLife, &only),
        1u);
    GwSoftwareHistory_Delete(history);
}

// The counts are kept incrementally: after any series of updates they must be
// those of the endpoints listed.
TEST(Software, CountsMatchListAfterManyUpdates)
{
    SoftwareList l;
    uint64_t only;
    uint32_t state = 1;
    auto next = [&](uint32_t n) {
        state = state * 1664525 + 1013904223;
        return (state >> 16) % n;
    };

    for (int i = 0; i < 20000; i++) {
        std::string id = std::to_string(next(20));
        GwInstance *known = GwInstances_Find(l.m, id.c_str());
        int64_t incarnation = known != nullptr ? known->incarnation : 1;
        std::string version = "v" + std::to_string(next(4));
        GwTime at = i * 3 * kLife;

        switch (next(5)) {
        case 0:
            l.Remove(at, id.c_str());
            break;
        case 1:
            if (known != nullptr)
                l.Restart(at, id.c_str(), incarnation + 1);
            break;
        case 2:
            GwInstances_Forget(l.m, id.c_str(), kStart + at);
            break;
        default:
            l.Row(at, id.c_str(), version.c_str(), incarnation + next(2),
                  next(8) == 0 ? "t" : "s");
        }
        for (const char *service : {"s", "t"}) {
            const GPtrArray *pool = GwInstances_Of(l.m, service);
            std::set<uint64_t> known_versions;
            unsigned unknown = 0;

            for (guint j = 0; pool != nullptr && j < pool->len; j++) {
                auto *e = (GwInstance *)g_ptr_array_index(pool, j);
                if (e->software == 0)
                    unknown++;
                else
                    known_versions.insert(e->software);
            }
            ASSERT_EQ(l.Versions(at + 2 * kLife, &only, service),
                      known_versions.size() + unknown)
                << i;
            EXPECT_EQ(only, known_versions.size() == 1 && unknown == 0
                                ? *known_versions.begin()
                                : 0u);
        }
    }
}
