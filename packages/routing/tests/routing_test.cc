#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "galenagw/routing/attempt.h"
#include "galenagw/routing/budget.h"
#include "galenagw/routing/health.h"
#include "galenagw/routing/routes.h"

static GwRoute *
AddRoute(GwRoutes *r, const char *name, const char *host, const char *prefix)
{
    GwRoute *route = GwRoutes_AddRoute(r);

    route->name = g_strdup(name);
    route->host = g_strdup(host);
    route->path_prefix = g_strdup(prefix);
    return route;
}

TEST(Routes, LongestPrefixOfTheHostWins)
{
    GwRoutes *r = GwRoutes_New(1);
    AddRoute(r, "short", "a", "/x/");
    AddRoute(r, "long", "a", "/x/y/");
    AddRoute(r, "other", "b", "/x/y/z/");
    GwRoutes_Finish(r);
    const struct {
        const char *host, *target, *want;
    } cases[] = {
        {"a", "/x/1", "short"},    {"a", "/x/y/1?q=1", "long"},
        {"a", "/x/y", "short"},    {"a", "/x/yy/1", "short"},
        {"a", "/x/y/z/1", "long"}, {"b", "/x/y/z/1", "other"},
        {"b", "/x/1", nullptr},    {"c", "/x/1", nullptr},
        {"a", "/", nullptr},       {"a", "", nullptr},
    };

    for (auto &c : cases) {
        const GwRoute *route = GwRoutes_Match(r, c.host, c.target);

        if (c.want == nullptr)
            EXPECT_EQ(route, nullptr) << c.host << c.target;
        else
            EXPECT_STREQ(route->name, c.want) << c.host << c.target;
    }
    GwRoutes_Unref(r);
}

TEST(Routes, TrafficIsSplitByWeight)
{
    GwRoutes *r = GwRoutes_New(1);
    GwRoute *route = AddRoute(r, "r", "a", "/");
    GwRoute *empty = AddRoute(r, "e", "a", "/e/");
    GwRoute_AddSplit(route, "big", 90);
    GwRoute_AddSplit(route, "off", 0);
    GwRoute_AddSplit(route, "small", 10);
    GwRoutes_Finish(r);
    const struct {
        double random_value;
        const char *want;
    } cases[] = {
        {0, "big"}, {0.89, "big"}, {0.91, "small"}, {0.9999, "small"}};

    for (auto &c : cases)
        EXPECT_STREQ(GwRoute_PickService(route, c.random_value), c.want)
            << c.random_value;
    EXPECT_EQ(GwRoute_PickService(empty, 0.5), nullptr);
    GwRoutes_Unref(r);
}

// Whether a request may be sent again after it may have run.
TEST(Routes, RouteTypeAndResumableDecideWhetherRetryIsAllowed)
{
    const struct {
        GwRouteType type;
        bool resumable, want;
    } cases[] = {
        {GW_ROUTE_IDEMPOTENT, false, true},
        {GW_ROUTE_NON_IDEMPOTENT, false, false},
        {GW_ROUTE_NON_IDEMPOTENT, true, false},
        {GW_ROUTE_STREAMING, false, false},
        {GW_ROUTE_STREAMING, true, true},
    };

    for (auto &c : cases) {
        GwRoute route = {};
        route.type = c.type;
        route.resumable = c.resumable;
        EXPECT_EQ(GwRoute_MayRetry(&route), c.want) << c.type;
    }
}

// Engines schedule requests of a lower number first. Two routes share an
// engine: one generates reports from long prompts, the other one does short
// checks and is more urgent. The report of a paying account must be scheduled
// before a check of a trial account. Of two requests of accounts with the same
// priority, the check must be scheduled before the report.
//
// The number is three times the account's priority plus the route's priority,
// of which at most 2 is used; it is at most 9. A request without an account,
// or of an account without a priority, has the account priority 0.
TEST(Routes, AccountPriorityTakesPrecedenceOverRoute)
{
    const struct {
        int account, route, want; // account -1: no priority set; -2: no
                                  // account
    } cases[] = {
        {0, 0, 0}, {0, 1, 1}, {1, 0, 3}, {1, 2, 5},  {1, 9, 5},
        {2, 0, 6}, {3, 0, 9}, {7, 7, 9}, {-1, 1, 1}, {-2, 1, 1},
    };

    for (auto &c : cases) {
        GwRoute route = {};
        GwAccount account = {};
        route.priority = c.route;
        account.priority = c.account;
        EXPECT_EQ(GwRoute_EnginePriority(&route,
                                         c.account == -2 ? nullptr : &account),
                  c.want)
            << c.account << " " << c.route;
    }
}

// For all combinations of facts:
// - A request that may have run and must not run twice is not retried.
// - A request that may have run is not answered with the statement that it did
//   not run (GW_NEXT_REFUSE).
// - A retry requires budget, time and another endpoint, and that
//   GwAttempt_AllowsRetry agrees. The maximum number of attempts
//   (has_attempts_left) does not apply to attempts that did not reach the
//   endpoint.
// - Only a stream of events that may run twice is resumed.
// - If the client has received the head of an answer, no second head follows:
//   the stream is resumed or the connection is closed.
// - If the client has disconnected, nothing is done.
TEST(Attempt, NextStepIsSafeForAllCombinationsOfFacts)
{
    for (int bits = 0; bits < 256; bits++) {
        for (int attempt_outcome = 0; attempt_outcome < GW_ATTEMPT_OUTCOMES;
             attempt_outcome++) {
            GwAttemptFacts f = {};
            f.attempt_outcome = static_cast<GwAttemptOutcome>(attempt_outcome);
            f.may_repeat = bits & 1;
            f.head_sent = bits & 2;
            f.is_events = bits & 4;
            f.client_disconnected = bits & 8;
            f.has_time_left = bits & 16;
            f.has_attempts_left = bits & 32;
            f.has_budget_left = bits & 64;
            f.has_alternative = bits & 128;
            GwNextStep next = GwAttempt_Next(&f);
            bool proven_not_run = attempt_outcome == GW_ATTEMPT_NOT_SENT ||
                                  attempt_outcome == GW_ATTEMPT_NOT_RUN;
            bool retried = next == GW_NEXT_RETRY || next == GW_NEXT_RESUME;
            std::string description =
                std::string(GwAttemptOutcome_Names[attempt_outcome]) + " " +
                std::to_string(bits) + " " + GwNextStep_Names[next];

            if (!f.may_repeat && (!proven_not_run || f.head_sent)) {
                EXPECT_FALSE(retried) << description;
            }
            if (retried) {
                EXPECT_TRUE(f.has_budget_left && f.has_time_left &&
                            f.has_alternative)
                    << description;
                EXPECT_TRUE(GwAttempt_AllowsRetry(&f)) << description;
            }
            if (next == GW_NEXT_RESUME) {
                EXPECT_TRUE(f.head_sent && f.is_events && f.may_repeat)
                    << description;
            }
            if (next == GW_NEXT_REFUSE) {
                EXPECT_TRUE(proven_not_run && !f.head_sent) << description;
            }
            if (f.head_sent && !f.client_disconnected) {
                EXPECT_TRUE(next == GW_NEXT_RESUME || next == GW_NEXT_BREAK)
                    << description;
            }
            if (f.client_disconnected) {
                EXPECT_EQ(next, GW_NEXT_DROP) << description;
            }
        }
    }
}

// The retries of one process are limited to 4/5 (USABLE_SHARE of budget.c) of
// 0.2 retries per request of the horizon, which is a quarter of the window.
TEST(Budget, RetriesAreLimitedByRatioOfRequests)
{
    const GwBudgetBound bound = {0.2, 54, 10 * GW_SECOND};
    const struct {
        unsigned requests;
        GwTime later;
        unsigned max_retries;
    } cases[] = {
        {0, 0, 0},
        {100, 0, 16},
        {1000, 0, 160},
        {1000, 2 * GW_SECOND, 160},
        {1000, 2500 * GW_MILLISECOND, 0},
    };

    for (auto &c : cases) {
        GwBudget b = {};
        unsigned taken = 0;

        for (unsigned i = 0; i < c.requests; i++)
            GwBudget_AddRequest(&b, &bound, GW_SECOND);
        while (taken < 10000 &&
               GwBudget_UseRetry(&b, &bound, GW_SECOND + c.later))
            taken++;
        EXPECT_EQ(taken, c.max_retries)
            << c.requests << " requests, after " << c.later;
    }
}

// Many processes with a few requests each send hardly any retries if each
// rounds its part down, and too many if each rounds it up.
TEST(Budget, FractionsOfARetryAddUpOverProcesses)
{
    const GwBudgetBound bound = {0.2, 54, 10 * GW_SECOND};
    const unsigned n_processes = 10000;
    unsigned taken = 0;

    for (unsigned i = 0; i < n_processes; i++) {
        GwBudget b = {};

        b.seed = i * 977;
        GwBudget_AddRequest(&b, &bound, GW_SECOND);
        while (GwBudget_UseRetry(&b, &bound, GW_SECOND))
            taken++;
    }
    EXPECT_NEAR(taken, 0.2 * 0.8 * n_processes, 0.01 * n_processes);
}

// Leases are requested for a service that has requests and few retries left,
// and not for one that is idle.
TEST(Budget, IsLowWithRequestsAndFewRetriesLeft)
{
    const GwBudgetBound bound = {0.2, 54, 10 * GW_SECOND};
    const struct {
        unsigned requests, retries;
        bool is_low;
    } cases[] = {{0, 0, false},  {1, 0, true},     {24, 0, true},
                 {26, 0, false}, {100, 12, false}, {100, 13, true}};

    for (auto &c : cases) {
        GwBudget b = {};

        for (unsigned i = 0; i < c.requests; i++)
            GwBudget_AddRequest(&b, &bound, GW_SECOND);
        for (unsigned i = 0; i < c.retries; i++)
            EXPECT_TRUE(GwBudget_UseRetry(&b, &bound, GW_SECOND));
        EXPECT_EQ(GwBudget_IsLow(&b, &bound, 2 * GW_SECOND), c.is_low)
            << c.requests << " requests, " << c.retries << " retries";
        EXPECT_FALSE(GwBudget_IsLow(&b, &bound, 30 * GW_SECOND));
    }
}

// The second argument of GwHealth_IsUsable is the number of requests in flight
// at the endpoint. After an exclusion, a trial request is only sent if there
// are none. A failed trial prolongs the exclusion, a successful one ends it.
TEST(Health, ExclusionGrowsAndEndsAfterOneSuccessfulTrialRequest)
{
    GwHealth h = {};
    GwTime now = GW_SECOND;

    EXPECT_TRUE(GwHealth_IsUsable(&h, 10, now));
    EXPECT_TRUE(GwHealth_Note(&h, GW_HEALTH_UNREACHABLE, now));
    GwTime first = h.excluded_until - now;
    EXPECT_FALSE(GwHealth_IsUsable(&h, 0, now + first - 1));
    EXPECT_TRUE(GwHealth_IsUsable(&h, 0, now + first));
    EXPECT_FALSE(GwHealth_IsUsable(&h, 1, now + first))
        << "only one trial request at a time";
    EXPECT_TRUE(GwHealth_Note(&h, GW_HEALTH_UNREACHABLE, now));
    EXPECT_GT(h.excluded_until - now, first);
    EXPECT_FALSE(GwHealth_Note(&h, GW_HEALTH_GOOD, now));
    EXPECT_TRUE(GwHealth_IsUsable(&h, 10, now));
}

// An endpoint passes its health check but fails two of five requests, while
// its peers fail one of seven, as is normal for the service.
TEST(Health, PartiallyFailingEndpointIsWorseThanPeers)
{
    GwHealth failing = {}, peer = {};

    for (int i = 0; i < 70; i++) {
        GwHealth_Note(&failing, i % 5 < 3 ? GW_HEALTH_GOOD : GW_HEALTH_ERROR,
                      0);
        GwHealth_Note(&peer, i % 7 < 6 ? GW_HEALTH_GOOD : GW_HEALTH_ERROR, 0);
    }
    // A peer is compared with the mean of a service of three endpoints, one of
    // which fails. The failing endpoint is compared with the rate of its peers
    // alone, which is about the mean of a service of many endpoints.
    double service_error_rate = (failing.error_rate + 2 * peer.error_rate) / 3;
    EXPECT_FALSE(GwHealth_IsWorse(&peer, service_error_rate));
    EXPECT_TRUE(GwHealth_IsWorse(&failing, peer.error_rate));
}

// A timeout (GW_HEALTH_TIMEOUT) may be due to a slow request. Only the third
// one in a row excludes the endpoint.
TEST(Health, ThreeTimeoutsInARowExclude)
{
    GwHealth h = {};

    EXPECT_FALSE(GwHealth_Note(&h, GW_HEALTH_TIMEOUT, GW_SECOND));
    EXPECT_FALSE(GwHealth_Note(&h, GW_HEALTH_TIMEOUT, GW_SECOND));
    EXPECT_TRUE(GwHealth_Note(&h, GW_HEALTH_TIMEOUT, GW_SECOND));
}
