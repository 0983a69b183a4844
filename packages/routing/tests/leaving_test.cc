#include <gtest/gtest.h>

#include <string>

#include "galenagw/routing/instances.h"

static const GwTime kNow = 5000 * GW_SECOND;

struct List {
    List()
    {
        m = GwInstances_New(&ops, this);
    }
    ~List()
    {
        GwInstances_Delete(m);
    }
    void
    Row(const char *id, int64_t incarnation, bool draining = false)
    {
        GwInstanceRow row = {};

        row.id = id;
        row.incarnation = incarnation;
        row.service = "s";
        row.address = {"10.0.0.1", port++};
        row.draining = draining;
        row.weights = -1;
        row.offset = port;
        GwInstances_Listed(m, &row);
    }
    bool
    Says(const char *id, int64_t incarnation, GwTime at = 0)
    {
        return GwInstances_SetLeaving(m, id, incarnation, kNow + at,
                                      kNow + at);
    }
    bool
    GetsWork(const char *id)
    {
        return !GwInstances_Find(m, id)->draining;
    }
    GwInstancesOps ops = {};
    GwInstances *m;
    int port = 1;
};

// An endpoint says in an answer that it leaves. It gets no new work as long as
// it can take to leave; a word that was wrong is forgotten then.
TEST(Leaving, TheWordOfAnAnswerCountsForItsTerm)
{
    List l;

    l.Row("a", 0);
    l.Row("b", 0);
    EXPECT_TRUE(l.Says("a", 0));
    EXPECT_FALSE(l.GetsWork("a"));
    EXPECT_TRUE(l.GetsWork("b"));
    EXPECT_FALSE(l.Says("a", 0, GW_SECOND)) << "no news";
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM);
    EXPECT_FALSE(l.GetsWork("a")) << "it said so again meanwhile";
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM + GW_SECOND);
    EXPECT_TRUE(l.GetsWork("a"));
    EXPECT_TRUE(l.Says("a", 0, GW_LEAVING_TERM + 2 * GW_SECOND));
    EXPECT_FALSE(l.GetsWork("a"));
}

// What its row says is final, whatever its answers said.
TEST(Leaving, TheWordOfItsRowIsFinal)
{
    for (bool row_first : {true, false}) {
        List l;

        l.Row("a", 0, row_first);
        l.Says("a", 0);
        if (!row_first)
            l.Row("a", 0, true);
        GwInstances_Sweep(l.m, kNow + 2 * GW_LEAVING_TERM);
        EXPECT_FALSE(l.GetsWork("a")) << row_first;
    }
}

// Words may come before the list names the endpoint, and of lives of its id
// that are over or not known yet.
TEST(Leaving, AWordIsOfOneLife)
{
    const struct {
        const char *name;
        int64_t said, listed; // lives; the word comes first
        bool gets_work;
        bool known_before; // the list names it before, with life 10
    } cases[] = {
        {"before it is listed", 10, 10, false, false},
        {"no life is told", 0, 10, false, false},
        {"an earlier life left", 9, 10, true, false},
        {"the later life is not known yet", 11, 10, true, false},
        {"told of this one", 10, 10, false, true},
        {"told late of an earlier one", 9, 10, true, true},
        {"it started anew since", 10, 20, true, true},
        {"the later life, before its row", 20, 20, false, true},
    };

    for (const auto &c : cases) {
        List l;

        if (c.known_before)
            l.Row("a", 10);
        l.Says("a", c.said);
        l.Row("a", c.listed);
        EXPECT_EQ(l.GetsWork("a"), c.gets_work) << c.name;
    }
}

// Ids come from outside: they must not fill memory.
TEST(Leaving, IsBounded)
{
    List l;
    size_t n = 0;

    for (int i = 0; i < 3 * GW_LEAVING_MAX; i++)
        l.Says(std::to_string(i).c_str(), 0);
    GwInstances_EachLeaving(
        l.m,
        [](void *user, const char *, int64_t, GwTime) {
            ++*static_cast<size_t *>(user);
        },
        &n);
    EXPECT_EQ(n, (size_t)GW_LEAVING_MAX);
    l.Row("listed", 0);
    EXPECT_TRUE(l.Says("listed", 0)) << "a large fleet that is rolled";
    EXPECT_FALSE(l.GetsWork("listed"));
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM);
    EXPECT_TRUE(l.Says("later", 0, GW_LEAVING_TERM));
}

// A roll of a large fleet passes the bound within the term of the words; a new
// endpoint's word that came before its row was dropped then, and it got work.
TEST(Leaving, EndpointsThatHaveLeftTakeNoPlaceOfNewOnes)
{
    List l;

    for (int i = 0; i < 3 * GW_LEAVING_MAX; i++) {
        std::string id = "gone-" + std::to_string(i);

        // Half of the words come before the row.
        if (i % 2 == 0)
            l.Says(id.c_str(), 0);
        l.Row(id.c_str(), 0);
        if (i % 2 != 0)
            l.Says(id.c_str(), 0);
        EXPECT_FALSE(l.GetsWork(id.c_str()));
        GwInstances_Removed(l.m, id.c_str(), kNow);
    }
    EXPECT_TRUE(l.Says("new", 0));
    l.Row("new", 0);
    EXPECT_FALSE(l.GetsWork("new"));
}
