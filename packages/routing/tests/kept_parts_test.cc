#include <gtest/gtest.h>

#include <vector>

#include "galenagw/routing/kept_parts.h"

static GwAsk
Ask(std::vector<GwPart> parts)
{
    GwAsk ask = {};

    for (auto &p : parts)
        ask.parts[ask.n_parts++] = p;
    return ask;
}

TEST(KeptParts, LeadingPartsCountUpToTheFirstThatIsNotHeld)
{
    const struct {
        const char *name;
        std::vector<uint64_t> held;
        const char *scope;
        unsigned leading;
    } cases[] = {
        {"nothing", {}, "w1", 0},
        {"the first", {1}, "w1", 1},
        {"all", {1, 2, 3}, "w1", 3},
        {"a part behind one that is missing is of no use", {1, 3}, "w1", 1},
        {"without the first none is", {2, 3}, "w1", 0},
        {"another scope shares nothing", {1, 2, 3}, "w2", 0},
    };
    GwAsk ask = Ask({{1, 100}, {2, 200}, {3, 50}});

    for (auto &c : cases) {
        GwKeptParts *k = GwKeptParts_New(10);

        for (uint64_t part : c.held)
            GwKeptParts_Set(k, GwKeptParts_Key("w1", part), 16);
        EXPECT_EQ(GwKeptParts_Leading(k, &ask, c.scope), c.leading) << c.name;
        GwKeptParts_Unref(k);
    }
}

TEST(KeptParts, WhatYieldedIsForgottenAndMemoryIsBounded)
{
    GwKeptParts *k = GwKeptParts_New(3);
    GwAsk ask = Ask({{1, 100}, {2, 200}});

    for (uint64_t part : {1, 2})
        GwKeptParts_Set(k, GwKeptParts_Key("w1", part), 16);
    EXPECT_EQ(GwKeptParts_Leading(k, &ask, "w1"), 2u);
    GwKeptParts_Set(k, GwKeptParts_Key("w1", 2), 0);
    EXPECT_EQ(GwKeptParts_Leading(k, &ask, "w1"), 1u);
    for (uint64_t key = 0; key < 9; key++)
        GwKeptParts_Set(k, key, 16);
    EXPECT_EQ(GwKeptParts_Count(k), 3u);
    GwKeptParts_Set(k, GwKeptParts_Key("w1", 1), 32);
    EXPECT_EQ(GwKeptParts_Leading(k, &ask, "w1"), 1u) << "it had a place";
    GwKeptParts_Clear(k);
    EXPECT_EQ(GwKeptParts_Count(k), 0u);
    GwKeptParts_Unref(k);
}
