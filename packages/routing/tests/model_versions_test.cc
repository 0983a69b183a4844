#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "galenagw/routing/model_versions.h"

static const GwTime kUnknown = GW_NAMED_LONG_AGO;

static GwModelVersions
Noted(const std::vector<GwNamedVersion> &namings)
{
    GwModelVersions v;

    GwModelVersions_Init(&v);
    for (const GwNamedVersion &n : namings)
        GwModelVersions_Note(&v, n.version, n.named_at);
    return v;
}

// Guards against weights that are allowed for another bound because the time
// since which they are outdated is not known.
TEST(ModelVersions, UnknownTimeCountsAsTheEarliestPossibleOne)
{
    const struct {
        const char *name;
        std::vector<GwNamedVersion> namings;
        int64_t weights;
        GwTime since;
        bool is_unknown;
    } cases[] = {
        {"newest weights", {{2, kUnknown}}, 2, 0, false},
        {"nothing is known", {{2, kUnknown}}, 1, kUnknown, true},
        {"told later", {{2, kUnknown}, {2, 100}}, 1, 100, false},
        {"known before", {{2, 100}, {2, kUnknown}}, 1, 100, false},
        {"unknown after a known one", {{2, 100}, {3, kUnknown}}, 2, 100, true},
        {"unknown before a known one",
         {{2, kUnknown}, {3, 100}},
         1,
         kUnknown,
         true},
        {"known after an unknown one",
         {{2, kUnknown}, {3, 100}},
         2,
         100,
         false},
        {"unknown weights", {{1, kUnknown}, {2, 100}}, -1, kUnknown, true},
    };

    for (auto &c : cases) {
        GwModelVersions v = Noted(c.namings);

        EXPECT_EQ(GwModelVersions_OutdatedSince(&v, c.weights), c.since)
            << c.name;
        EXPECT_EQ(GwModelVersions_IsAgeUnknown(&v, c.weights), c.is_unknown)
            << c.name;
    }
}

// Guards against engines that count as outdated for too short a time after
// more versions were named than are stored.
TEST(ModelVersions, AFullHistoryNeverMakesWeightsLookYounger)
{
    GwModelVersions v = Noted({});

    for (int version = 2; version <= 2 * GW_MODEL_VERSIONS_MAX; version++) {
        GwModelVersions_Note(&v, version, 100 * version);
        for (int weights = 1; weights < version; weights++) {
            ASSERT_LE(GwModelVersions_OutdatedSince(&v, weights),
                      100 * (weights + 1))
                << version;
        }
        EXPECT_EQ(GwModelVersions_OutdatedSince(&v, version), 0);
    }
    EXPECT_TRUE(GwModelVersions_Note(&v, 1, 50));
    EXPECT_EQ(GwModelVersions_OutdatedSince(&v, 1), 50);
}

TEST(ModelVersions, WhatAListLacksIsFound)
{
    const struct {
        const char *name;
        std::vector<GwNamedVersion> stored, known;
        bool lacks;
    } cases[] = {
        {"nothing known", {}, {}, false},
        {"nothing stored", {}, {{2, 100}}, true},
        {"an unknown time is not stored", {}, {{2, kUnknown}}, false},
        {"the same", {{2, 100}}, {{2, 100}}, false},
        {"within the tolerance", {{2, 110}}, {{2, 100}}, false},
        {"stored later", {{2, 111}}, {{2, 100}}, true},
        {"stored earlier", {{2, 1}}, {{2, 100}}, false},
        {"a version is missing", {{2, 100}, {4, 300}}, {{3, 200}}, true},
    };

    for (auto &c : cases) {
        GwModelVersions stored = Noted(c.stored), known = Noted(c.known);

        EXPECT_EQ(GwModelVersions_Lacks(&stored, &known, 10), c.lacks)
            << c.name;
    }
}
