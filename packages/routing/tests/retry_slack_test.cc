#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "galenagw/routing/retry_leases.h"

namespace {

const GwBudgetBound kBound = {0.2, 100, 10 * GW_SECOND};
// The window of the bound and the term of a lease.
const GwTime kWindow = 12 * GW_SECOND;
const GwTime kStart = 100 * GW_SECOND;
// The owner has counted for a window.
const GwTime kReady = kStart + kWindow;

// An owner; 0.9 of the slack of 100 retries are leased.
struct SlackOwner {
    explicit SlackOwner(unsigned owners)
        : slack(GwRetrySlack_New(&kBound, kStart))
    {
        GwRetrySlack_SetOwners(slack, owners, kStart);
    }
    ~SlackOwner()
    {
        GwRetrySlack_Delete(slack);
    }

    unsigned
    Ask(unsigned wanted, GwTime now, unsigned unused = 0,
        GwTime granted_at = 0, unsigned entry_owners = 0)
    {
        GwRetryLeaseRequest request = {wanted, unused, granted_at, now,
                                       entry_owners};

        return GwRetrySlack_Answer(slack, "s", &request, now).granted;
    }
    // Takes all that is left; each answer grants half of the rest at most.
    unsigned
    AskAll(GwTime now)
    {
        unsigned sum = 0;

        for (unsigned n; (n = Ask(1000, now)) > 0;)
            sum += n;
        return sum;
    }

    GwRetrySlack *slack;
};

} // namespace

TEST(RetrySlack, IsDividedBetweenTheOwners)
{
    const struct {
        unsigned owners, entry_owners, granted;
    } cases[] = {{1, 0, 45}, {1, 2, 23}, {2, 1, 23}, {8, 8, 6}, {0, 8, 0}};

    for (auto &c : cases) {
        SlackOwner o(c.owners);

        EXPECT_EQ(o.Ask(1000, kReady, 0, 0, c.entry_owners), c.granted)
            << c.owners << " and " << c.entry_owners << " owners";
    }
}

// An owner that was restarted grants what its predecessor has granted already.
TEST(RetrySlack, NothingIsGrantedInTheFirstWindowAfterAStart)
{
    SlackOwner o(1);

    EXPECT_EQ(o.Ask(10, kReady - 1), 0u);
    EXPECT_EQ(o.Ask(10, kReady), 10u);
}

// A process that takes the place of another owner grants what that one has
// granted already.
TEST(RetrySlack, NothingIsGrantedInTheFirstWindowAsAnOwner)
{
    SlackOwner o(0);

    GwRetrySlack_SetOwners(o.slack, 1, kReady);
    EXPECT_EQ(o.Ask(10, kReady + kWindow - 1), 0u);
    EXPECT_EQ(o.Ask(10, kReady + kWindow), 10u);
}

// An owner has left; the others grant its part while its leases are in use.
TEST(RetrySlack, APartGrowsAWindowAfterAnOwnerHasLeft)
{
    SlackOwner o(3);
    GwTime left_at = kReady;

    GwRetrySlack_SetOwners(o.slack, 2, left_at);
    GwRetrySlack_SetOwners(o.slack, 1, left_at + GW_SECOND);
    EXPECT_EQ(o.AskAll(left_at + kWindow), 30u);
    EXPECT_EQ(o.AskAll(left_at + GW_SECOND + 3 * kWindow), 90u);
}

TEST(RetrySlack, ALeaseCountsUntilItIsOutOfTheWindow)
{
    SlackOwner o(1);

    EXPECT_EQ(o.AskAll(kReady), 90u);
    EXPECT_EQ(o.AskAll(kReady + kWindow - 1), 0u);
    EXPECT_EQ(o.AskAll(kReady + 2 * kWindow), 90u);
}

TEST(RetrySlack, UnusedRetriesAreGrantedAgain)
{
    const struct {
        const char *name;
        unsigned unused;
        GwTime granted_at;
        unsigned granted;
    } cases[] = {
        {"returned", 20, kReady, 20},
        {"more than were granted", 1000, kReady, 90},
        {"granted by an earlier process", 20, kStart - 1, 0},
        {"granted by a process whose clock was ahead", 20,
         kReady + 13 * GW_SECOND, 0},
        {"no lease", 20, 0, 0},
    };

    for (auto &c : cases) {
        SlackOwner o(1);

        o.AskAll(kReady);
        o.Ask(0, kReady + GW_SECOND, c.unused, c.granted_at);
        EXPECT_EQ(o.AskAll(kReady + GW_SECOND), c.granted) << c.name;
    }
}

TEST(RetrySlack, ServicesHaveSlacksOfTheirOwn)
{
    SlackOwner o(1);
    GwRetryLeaseRequest request = {10, 0, 0, kReady, 1};

    o.AskAll(kReady);
    EXPECT_EQ(GwRetrySlack_Answer(o.slack, "other", &request, kReady).granted,
              10u);
}

// An entry that names ever new services makes an owner's memory grow.
TEST(RetrySlack, NumberOfServicesIsBounded)
{
    SlackOwner o(1);
    GwRetryLeaseRequest request = {10, 0, 0, kReady, 1};
    unsigned n_granted = 0;

    for (int i = 0; i < 3000; i++)
        n_granted += GwRetrySlack_Answer(o.slack, std::to_string(i).c_str(),
                                         &request, kReady)
                         .granted > 0;
    EXPECT_EQ(n_granted, 1024u);
    EXPECT_EQ(o.AskAll(kReady + 3 * kWindow), 90u);
}

namespace {

// An entry and the requests that it sends.
struct LeasingEntry {
    explicit LeasingEntry(unsigned owners)
        : leases(GwRetryLeases_New(&kOps, this))
    {
        for (unsigned i = 0; i < owners; i++)
            list.push_back(i + 1);
        GwRetryLeases_SetOwners(leases, list.data(), owners);
    }
    ~LeasingEntry()
    {
        GwRetryLeases_Delete(leases);
    }

    static bool
    Send(void *user, uint64_t owner, const char *,
         const GwRetryLeaseRequest *request)
    {
        static_cast<LeasingEntry *>(user)->sent.push_back({owner, *request});
        return true;
    }
    void
    Refresh(bool wanted, GwTime now)
    {
        sent.clear();
        GwRetryLeases_Refresh(leases, "s", wanted, now);
    }
    void
    Grant(uint64_t owner, unsigned granted, GwTime asked_at, GwTime now)
    {
        GwRetryLeaseGrant grant = {granted, 777, asked_at};

        GwRetryLeases_OnGrant(leases, owner, "s", &grant, now);
    }
    unsigned
    TakeAll(GwTime now)
    {
        unsigned n = 0;

        while (GwRetryLeases_Take(leases, "s", now))
            n++;
        return n;
    }

    static const GwRetryLeasesOps kOps;
    GwRetryLeases *leases;
    std::vector<uint64_t> list;
    struct Sent {
        uint64_t owner;
        GwRetryLeaseRequest request;
    };
    std::vector<Sent> sent;
};

const GwRetryLeasesOps LeasingEntry::kOps = {LeasingEntry::Send};

} // namespace

TEST(RetryLeases, EachOwnerIsAskedAndItsGrantUsed)
{
    LeasingEntry e(8);

    e.Refresh(true, kStart);
    ASSERT_EQ(e.sent.size(), 8u);
    EXPECT_EQ(e.sent[0].request.wanted, 2u);
    EXPECT_EQ(e.sent[0].request.owners, 8u);
    EXPECT_EQ(e.TakeAll(kStart), 0u);
    e.Grant(1, 2, kStart, kStart + 5);
    e.Grant(8, 1, kStart, kStart + 6);
    EXPECT_EQ(GwRetryLeases_Count(e.leases, "s", kStart + 7), 3u);
    EXPECT_EQ(e.TakeAll(kStart + 7), 3u);
}

// A process that was suspended, or cut off, uses leases that their owner has
// granted to others since.
TEST(RetryLeases, AnExpiredLeaseIsNotUsed)
{
    const struct {
        GwTime answered_after, used_after;
        unsigned used;
    } cases[] = {
        {5, GW_RETRY_LEASE_TERM - 1, 4},
        {5, GW_RETRY_LEASE_TERM, 0},
        {GW_RETRY_LEASE_TERM, GW_RETRY_LEASE_TERM, 0},
    };

    for (auto &c : cases) {
        LeasingEntry e(4);

        e.Refresh(true, kStart);
        e.Grant(1, 4, kStart, kStart + c.answered_after);
        EXPECT_EQ(e.TakeAll(kStart + c.used_after), c.used)
            << c.answered_after << ", " << c.used_after;
    }
}

// A late or repeated answer adds retries that were used, or returned, already.
TEST(RetryLeases, OnlyTheFirstAnswerToTheLastRequestCounts)
{
    LeasingEntry e(4);
    GwTime again = kStart + GW_SECOND;

    e.Refresh(true, kStart);
    e.Refresh(true, again);
    e.Grant(1, 4, kStart, again + 1);
    EXPECT_EQ(e.TakeAll(again + 1), 0u);
    e.Grant(1, 4, again, again + 2);
    EXPECT_EQ(e.TakeAll(again + 2), 4u);
    e.Grant(1, 4, again, again + 3);
    EXPECT_EQ(e.TakeAll(again + 3), 0u);
}

// Retries are returned and used as well.
TEST(RetryLeases, AReturnedLeaseIsNotUsed)
{
    for (bool wanted : {true, false}) {
        LeasingEntry e(4);
        GwTime later = kStart + GW_RETRY_LEASE_TERM / 2;

        e.Refresh(true, kStart);
        e.Grant(1, 4, kStart, kStart + 5);
        EXPECT_TRUE(GwRetryLeases_Take(e.leases, "s", kStart + 6));
        e.Refresh(wanted, later);
        ASSERT_FALSE(e.sent.empty());
        EXPECT_EQ(e.sent[0].owner, 1u);
        EXPECT_EQ(e.sent[0].request.unused, 3u);
        EXPECT_EQ(e.sent[0].request.granted_at, 777);
        EXPECT_EQ(e.sent[0].request.wanted, wanted ? 4u : 0u);
        EXPECT_EQ(e.TakeAll(later), 0u);
    }
}

TEST(RetryLeases, AnOwnerIsAskedAgainAfterAnInterval)
{
    const struct {
        const char *name;
        bool is_answered;
        unsigned granted;
        GwTime interval;
    } cases[] = {
        {"used up", true, 4, 100 * GW_MILLISECOND},
        {"nothing to grant", true, 0, GW_SECOND},
        {"no answer", false, 0, GW_SECOND},
    };

    for (auto &c : cases) {
        LeasingEntry e(1);

        e.Refresh(true, kStart);
        if (c.is_answered)
            e.Grant(1, c.granted, kStart, kStart + 5);
        e.TakeAll(kStart + 6);
        e.Refresh(true, kStart + c.interval - 1);
        EXPECT_EQ(e.sent.size(), 0u) << c.name;
        e.Refresh(false, kStart + c.interval);
        EXPECT_EQ(e.sent.size(), 0u) << c.name << ", not wanted";
        e.Refresh(true, kStart + c.interval);
        EXPECT_EQ(e.sent.size(), 1u) << c.name;
    }
}

// Another process grants the part of an owner that has left.
TEST(RetryLeases, LeasesOfFormerOwnersAreNotUsed)
{
    LeasingEntry e(2);
    const uint64_t list[] = {2, 3};

    e.Refresh(true, kStart);
    e.Grant(1, 8, kStart, kStart + 5);
    e.Grant(2, 6, kStart, kStart + 5);
    GwRetryLeases_SetOwners(e.leases, list, 2);
    EXPECT_EQ(e.TakeAll(kStart + 6), 6u);
}
