#include <gtest/gtest.h>

#include <string>

#include "galenagw/routing/instances.h"

static const GwTime kNow = 5000 * GW_SECOND;

struct ListedInstances {
    ListedInstances()
    {
        m = GwInstances_New(&ops, this);
    }
    ~ListedInstances()
    {
        GwInstances_Delete(m);
    }
    void
    ApplyRow(const char *id, int64_t incarnation, bool draining = false)
    {
        GwInstanceRow row = {};

        row.id = id;
        row.incarnation = incarnation;
        row.service = "s";
        row.address = {"10.0.0.1", port++};
        row.draining = draining;
        row.weights = -1;
        row.offset = port;
        GwInstances_ApplyRow(m, &row, kNow);
    }
    bool
    AnnounceDeparture(const char *id, int64_t incarnation, GwTime at = 0)
    {
        return GwInstances_SetLeaving(m, id, incarnation, kNow + at,
                                      kNow + at);
    }
    bool
    GetsRequests(const char *id)
    {
        return !GwInstances_Find(m, id)->draining;
    }
    GwInstancesOps ops = {};
    GwInstances *m;
    int port = 1;
};

// An endpoint that announces its departure in an answer must get no new
// requests for GW_LEAVING_TERM, which is longer than a departure takes. Then
// the announcement must expire, because it may have been erroneous.
TEST(Leaving, DepartureInAnswerExpiresAfterTerm)
{
    ListedInstances l;

    l.ApplyRow("a", 0);
    l.ApplyRow("b", 0);
    EXPECT_TRUE(l.AnnounceDeparture("a", 0));
    EXPECT_FALSE(l.GetsRequests("a"));
    EXPECT_TRUE(l.GetsRequests("b"));
    EXPECT_FALSE(l.AnnounceDeparture("a", 0, GW_SECOND)) << "not new";
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM);
    EXPECT_FALSE(l.GetsRequests("a"))
        << "it was announced again in the meantime";
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM + GW_SECOND);
    EXPECT_TRUE(l.GetsRequests("a"));
    EXPECT_TRUE(l.AnnounceDeparture("a", 0, GW_LEAVING_TERM + 2 * GW_SECOND));
    EXPECT_FALSE(l.GetsRequests("a"));
}

// A departure in a row must not expire, whatever the endpoint's answers
// contain.
TEST(Leaving, DepartureInRowIsFinal)
{
    for (bool row_first : {true, false}) {
        ListedInstances l;

        l.ApplyRow("a", 0, row_first);
        l.AnnounceDeparture("a", 0);
        if (!row_first)
            l.ApplyRow("a", 0, true);
        GwInstances_Sweep(l.m, kNow + 2 * GW_LEAVING_TERM);
        EXPECT_FALSE(l.GetsRequests("a")) << row_first;
    }
}

// An update may be received before the endpoint is listed, and may be of an
// earlier incarnation or of one that is not known yet.
TEST(Leaving, DepartureAppliesToOneIncarnation)
{
    const struct {
        const char *name;
        int64_t announced, listed; // incarnations; the update is received
                                   // first
        bool gets_requests;
        bool listed_before; // incarnation 10 is listed before the update
    } cases[] = {
        {"before it is listed", 10, 10, false, false},
        {"no incarnation is given", 0, 10, false, false},
        {"an earlier incarnation left", 9, 10, true, false},
        {"the later incarnation is not known yet", 11, 10, true, false},
        {"of the listed one", 10, 10, false, true},
        {"late, of an earlier one", 9, 10, true, true},
        {"it was restarted since", 10, 20, true, true},
        {"the later incarnation, before its row", 20, 20, false, true},
    };

    for (const auto &c : cases) {
        ListedInstances l;

        if (c.listed_before)
            l.ApplyRow("a", 10);
        l.AnnounceDeparture("a", c.announced);
        l.ApplyRow("a", c.listed);
        EXPECT_EQ(l.GetsRequests("a"), c.gets_requests) << c.name;
    }
}

// Ids are received from other processes and must not fill the memory.
TEST(Leaving, NumberOfUpdatesIsBounded)
{
    ListedInstances l;
    size_t n = 0;

    for (int i = 0; i < 3 * GW_LEAVING_MAX; i++)
        l.AnnounceDeparture(std::to_string(i).c_str(), 0);
    GwInstances_EachLeaving(
        l.m,
        [](void *user, const char *, int64_t, GwTime) {
            ++*static_cast<size_t *>(user);
        },
        &n);
    EXPECT_EQ(n, (size_t)GW_LEAVING_MAX);
    l.ApplyRow("listed", 0);
    EXPECT_TRUE(l.AnnounceDeparture("listed", 0))
        << "the number of updates for listed ids is not limited, because "
           "many endpoints leave in a rolling update of a large fleet";
    EXPECT_FALSE(l.GetsRequests("listed"));
    GwInstances_Sweep(l.m, kNow + GW_LEAVING_TERM);
    EXPECT_TRUE(l.AnnounceDeparture("later", 0, GW_LEAVING_TERM));
}

// While a large fleet is updated, more than GW_LEAVING_MAX endpoints may leave
// within GW_LEAVING_TERM. If their departure updates counted against the
// maximum, a further update that is received before the row of its endpoint
// would be dropped, and this endpoint would get requests.
TEST(Leaving, DepartedEndpointsDoNotCountAgainstBound)
{
    ListedInstances l;

    for (int i = 0; i < 3 * GW_LEAVING_MAX; i++) {
        std::string id = "gone-" + std::to_string(i);

        // Half of the updates are received before the row.
        if (i % 2 == 0)
            l.AnnounceDeparture(id.c_str(), 0);
        l.ApplyRow(id.c_str(), 0);
        if (i % 2 != 0)
            l.AnnounceDeparture(id.c_str(), 0);
        EXPECT_FALSE(l.GetsRequests(id.c_str()));
        GwInstances_ApplyRemoval(l.m, id.c_str(), kNow);
    }
    EXPECT_TRUE(l.AnnounceDeparture("new", 0));
    l.ApplyRow("new", 0);
    EXPECT_FALSE(l.GetsRequests("new"));
}
