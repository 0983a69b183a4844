#include <gtest/gtest.h>

#include "galenagw/routing/admission.h"

static const GwTime kTarget = 500 * GW_MILLISECOND;
static const double kSpeed = 100; // tokens per millisecond

// An urgent request that finds a queue of @p wait_ms at time @p ms.
static GwAdmissionFacts
Facts(double ms, double wait_ms)
{
    GwAdmissionFacts f = {};

    f.now = GW_SECOND + (GwTime)(ms * GW_MILLISECOND);
    f.load.target_latency = kTarget;
    f.load.left = 3 * GW_SECOND;
    f.load.waiting_tokens = (uint64_t)(wait_ms * kSpeed);
    f.load.own_tokens = 2000;
    f.load.prefill_tokens_per_ms = kSpeed;
    return f;
}

static GwAdmissionVerdict
Decide(GwAdmissionState *state, const GwAdmissionFacts &f)
{
    return GwAdmissionState_Decide(state, &f).verdict;
}

// A state in which the overload of urgent requests is sustained at 1000 ms.
static GwAdmissionState
Sustained()
{
    GwAdmissionState state = {};

    for (int ms = 0; ms <= 1000; ms += 100)
        Decide(&state, Facts(ms, 800));
    return state;
}

// A request must be refused at once if it can't begin before its deadline:
// otherwise it waits at the engine until its client disconnects. It must be
// sent if an optimistic estimate meets the deadline.
TEST(Admission, RefusesWhatWouldBeginAfterItsDeadline)
{
    const struct {
        const char *name;
        double wait_ms, speed;
        uint64_t own;
        GwTime left, report_age;
        bool refused;
    } cases[] = {
        {"an idle engine", 0, kSpeed, 2000, 3 * GW_SECOND, 0, false},
        {"a long queue, but in time", 2900, kSpeed, 2000, 3 * GW_SECOND, 0,
         false},
        {"in time if the engine is a little faster", 3400, kSpeed, 2000,
         3 * GW_SECOND, 0, false},
        {"too long even then", 4000, kSpeed, 2000, 3 * GW_SECOND, 0, true},
        {"part of it was prefilled since the report", 3900, kSpeed, 2000,
         3 * GW_SECOND, 200 * GW_MILLISECOND, false},
        {"its own prompt takes too long", 0, kSpeed, 50000,
         300 * GW_MILLISECOND, 0, true},
        {"unknown speed, in time at a fast engine", 3200, 0, 2000,
         3 * GW_SECOND, 0, false},
        {"unknown speed, too long for the fastest engines", 3600, 0, 2000,
         3 * GW_SECOND, 0, true},
    };

    for (bool can_wait : {false, true})
        for (bool is_retry : {false, true})
            for (const auto &c : cases) {
                GwAdmissionState state = {};
                GwAdmissionFacts f = Facts(0, c.wait_ms);

                f.load.can_wait = can_wait;
                f.load.target_latency = 60 * GW_SECOND;
                f.load.own_tokens = c.own;
                f.load.prefill_tokens_per_ms = c.speed;
                f.load.left = c.left;
                f.report_age = c.report_age;
                f.is_retry = is_retry;
                GwAdmissionDecision d = GwAdmissionState_Decide(&state, &f);
                EXPECT_EQ(d.verdict == GW_ADMISSION_DEADLINE, c.refused)
                    << c.name << ", " << is_retry;
                EXPECT_EQ(d.retry_after > 0, c.refused) << c.name;
            }
}

// The estimate of what other gateways have sent is no reason to refuse by the
// deadline: it may be wrong, and the refusal is a loss to the client.
TEST(Admission, DeadlineRuleIgnoresWhatOthersMayHaveSent)
{
    GwAdmissionState state = Sustained();
    GwAdmissionFacts f = Facts(1100, 0);

    f.unreported_tokens = 1000000;
    f.senders = 20;
    f.load.left = 30 * GW_MILLISECOND;
    EXPECT_EQ(Decide(&state, f), GW_ADMISSION_OVERLOAD);
}

// Requests in a short excess must be served late. The limit applies once the
// waits within one target latency exceed the target; among few requests, a
// single short one, which shows a free engine, begins the time again.
TEST(Admission, LimitsUrgentRequestsUnderSustainedOverloadOnly)
{
    const struct {
        const char *name;
        double waits[12]; // one each 100 ms
        GwAdmissionVerdict last;
    } cases[] = {
        {"a queue shorter than the target",
         {490, 490, 490, 490, 490, 490, 490, 490, 490, 490, 490, 490},
         GW_ADMISSION_ADMIT},
        {"a short excess",
         {100, 100, 100, 100, 100, 100, 100, 900, 900, 900, 900, 900},
         GW_ADMISSION_ADMIT},
        {"a sustained excess",
         {100, 100, 100, 100, 100, 100, 900, 900, 900, 900, 900, 900},
         GW_ADMISSION_OVERLOAD},
        {"one engine is free in between",
         {900, 900, 900, 900, 900, 900, 100, 900, 900, 900, 900, 900},
         GW_ADMISSION_OVERLOAD},
        {"one engine is free before it is sustained",
         {100, 900, 900, 900, 400, 900, 900, 900, 400, 900, 900, 900},
         GW_ADMISSION_ADMIT},
        {"sustained, but the engine has a short queue",
         {900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 240},
         GW_ADMISSION_ADMIT},
        {"sustained, and the queue is longer than the limit",
         {900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 260},
         GW_ADMISSION_OVERLOAD},
        {"it has ended",
         {900, 900, 900, 900, 900, 900, 100, 100, 100, 100, 100, 400},
         GW_ADMISSION_ADMIT},
        {"the queue is not yet short",
         {900, 900, 900, 900, 900, 900, 200, 200, 200, 200, 200, 400},
         GW_ADMISSION_OVERLOAD},
        {"requests are still refused",
         {900, 900, 900, 900, 900, 900, 900, 900, 100, 100, 100, 400},
         GW_ADMISSION_OVERLOAD},
    };

    for (const auto &c : cases) {
        GwAdmissionState state = {};
        GwAdmissionVerdict last = GW_ADMISSION_ADMIT;

        for (int i = 0; i < 12; i++)
            last = Decide(&state, Facts(i * 100, c.waits[i]));
        EXPECT_EQ(last, c.last) << c.name;
    }
}

// An engine returns empty during the overload, and a few requests find it
// while all others are full. The overload must be found nevertheless. It must
// not be found while one in five requests finds a short queue.
TEST(Admission, FewShortWaitsDoNotHideAnOverload)
{
    const struct {
        const char *name;
        int one_in;
        GwAdmissionVerdict verdict;
    } cases[] = {{"one in twenty", 20, GW_ADMISSION_OVERLOAD},
                 {"one in five", 5, GW_ADMISSION_ADMIT}};

    for (const auto &c : cases) {
        GwAdmissionState state = {};
        GwAdmissionVerdict last = GW_ADMISSION_ADMIT;

        for (int i = 1; i <= 99; i++)
            last = Decide(&state, Facts(i * 10, i % c.one_in == 0 ? 20 : 800));
        EXPECT_EQ(last, c.verdict) << c.name;
    }
}

// After a pause without requests the queue may have been empty: the overload
// must not be taken to have continued.
TEST(Admission, OverloadIsNotSustainedOverAPause)
{
    GwAdmissionState state = Sustained();

    EXPECT_EQ(Decide(&state, Facts(1100, 800)), GW_ADMISSION_OVERLOAD);
    EXPECT_EQ(Decide(&state, Facts(2200, 800)), GW_ADMISSION_ADMIT);
}

// Requests without a target have no limit, and don't affect others.
TEST(Admission, RequestsWithoutTargetAreNotLimited)
{
    GwAdmissionState state = Sustained();
    GwAdmissionFacts f = Facts(1100, 2000);

    f.load.target_latency = 0;
    EXPECT_EQ(Decide(&state, f), GW_ADMISSION_ADMIT);
    EXPECT_EQ(Decide(&state, Facts(1200, 800)), GW_ADMISSION_OVERLOAD);
}

// A retry of the gateway has used part of the client's time and was accepted
// before; only its deadline counts.
TEST(Admission, RetriesAreNotLimited)
{
    GwAdmissionState state = Sustained();
    GwAdmissionFacts f = Facts(1100, 800);

    f.is_retry = true;
    EXPECT_EQ(Decide(&state, f), GW_ADMISSION_ADMIT);
}

// Overload of requests that can wait must not limit urgent ones, which engines
// prefill first.
TEST(Admission, QueuesOfRequestsThatCanWaitDoNotLimitUrgentOnes)
{
    GwAdmissionState state = {};

    for (int ms = 0; ms <= 1000; ms += 100) {
        GwAdmissionFacts f = Facts(ms, 800);
        f.load.can_wait = true;
        Decide(&state, f);
    }
    EXPECT_EQ(Decide(&state, Facts(1100, 800)), GW_ADMISSION_ADMIT);
}

// An account that uses twice its share gets half of the queue under sustained
// overload. Before that it gives way where others would have to wait; without
// a queue it is served as others.
TEST(Admission, AccountsBeyondTheirShareGetAShorterQueue)
{
    const struct {
        const char *name;
        double share_excess, wait_ms;
        bool is_sustained;
        GwAdmissionVerdict verdict;
    } cases[] = {
        {"not set", 0, 200, true, GW_ADMISSION_ADMIT},
        {"within its share", 0.4, 200, true, GW_ADMISSION_ADMIT},
        {"at its share", 1, 200, true, GW_ADMISSION_ADMIT},
        {"twice its share", 2, 200, true, GW_ADMISSION_OVERLOAD},
        {"twice its share, a short queue", 2, 120, true, GW_ADMISSION_ADMIT},
        {"twice its share, no overload", 2, 200, false, GW_ADMISSION_ADMIT},
        {"twice its share, others would wait", 2, 300, false,
         GW_ADMISSION_OVERLOAD},
        {"within its share, the same queue", 1, 300, false,
         GW_ADMISSION_ADMIT},
    };

    for (const auto &c : cases) {
        GwAdmissionState state =
            c.is_sustained ? Sustained() : GwAdmissionState{};
        GwAdmissionFacts f = Facts(1100, c.wait_ms);

        f.share_excess = c.share_excess;
        EXPECT_EQ(Decide(&state, f), c.verdict) << c.name;
    }
}

// The same for requests that can wait, whose queue deferral keeps near their
// target.
TEST(Admission, AccountsBeyondTheirShareAreDeferredEarlier)
{
    for (double share_excess : {0., 1., 2.})
        for (bool is_sustained : {false, true}) {
            GwAdmissionState state = {};
            GwAdmissionVerdict verdict = GW_ADMISSION_ADMIT;

            for (int ms = 0; ms <= 1000; ms += 100) {
                GwAdmissionFacts f =
                    Facts(ms, is_sustained || ms == 1000 ? 200 : 10);
                f.load.can_wait = true;
                f.load.own_tokens = 6000;
                f.share_excess = share_excess;
                verdict = Decide(&state, f);
            }
            EXPECT_EQ(verdict, share_excess > 1 && is_sustained
                                   ? GW_ADMISSION_DEFER
                                   : GW_ADMISSION_ADMIT)
                << share_excess << ", " << is_sustained;
        }
}

// Several gateways see the same free engine. While the overload is sustained,
// or the report is old, each must count what the others may have sent. It must
// not do so otherwise, and a wrong number of gateways must have bounded
// effect.
TEST(Admission, CountsWhatOtherGatewaysMayHaveSent)
{
    const struct {
        const char *name;
        bool is_sustained;
        uint64_t unreported;
        unsigned senders;
        double report_age_ms;
        uint64_t estimated;
    } cases[] = {
        {"overload, nothing sent", true, 0, 8, 10, 0},
        {"overload, one request sent", true, 2000, 8, 10, 14000},
        {"overload, this is the only gateway", true, 2000, 1, 10, 0},
        {"overload, number unknown", true, 2000, 0, 10, 0},
        {"overload, implausible number", true, 2000, 100000, 10, 50000},
        {"no overload", false, 2000, 8, 10, 0},
        {"no overload, an old report", false, 2000, 8, 400, 14000},
        {"no overload, no report", false, 2000, 8, -1, 14000},
    };

    for (const auto &c : cases) {
        GwAdmissionState state =
            c.is_sustained ? Sustained() : GwAdmissionState{};
        GwAdmissionFacts f = Facts(1100, 20);

        f.unreported_tokens = c.unreported;
        f.senders = c.senders;
        f.report_age = (GwTime)(c.report_age_ms * GW_MILLISECOND);
        EXPECT_EQ(GwAdmissionState_Decide(&state, &f).estimated_tokens,
                  c.estimated)
            << c.name;
    }
}

// Several gateways see the same last place in a queue, with reports that are
// all fresh. If each one used it, the queue would exceed the limit by one
// request for each gateway. A single gateway must use it, and queues shorter
// than half of the limit have places for all.
TEST(Admission, GatewaysShareTheLastPlacesOfAQueue)
{
    const struct {
        const char *name;
        double wait_ms, random;
        unsigned senders;
        GwAdmissionVerdict verdict;
    } cases[] = {
        {"one place, of this gateway only", 229, 0.99, 1, GW_ADMISSION_ADMIT},
        {"one place, number unknown", 229, 0.99, 0, GW_ADMISSION_ADMIT},
        {"one place for four, drawn", 229, 0.2, 4, GW_ADMISSION_ADMIT},
        {"one place for four, not drawn", 229, 0.3, 4, GW_ADMISSION_OVERLOAD},
        {"four places for four", 169, 0.99, 4, GW_ADMISSION_ADMIT},
        {"half of the limit, many gateways", 124, 0.99, 100,
         GW_ADMISSION_ADMIT},
        {"beyond the limit", 251, 0, 4, GW_ADMISSION_OVERLOAD},
    };

    for (const auto &c : cases) {
        GwAdmissionState state = Sustained();
        GwAdmissionFacts f = Facts(1100, c.wait_ms);

        f.random = c.random;
        f.senders = c.senders;
        EXPECT_EQ(Decide(&state, f), c.verdict) << c.name;
    }
}

// A new report includes what was sent before it.
TEST(Admission, ReportsReplaceWhatWasSentBeforeThem)
{
    GwUnreportedTokens u = {};

    EXPECT_EQ(GwUnreportedTokens_Get(&u, 0), 0u);
    GwUnreportedTokens_Add(&u, 100, 2000);
    GwUnreportedTokens_Add(&u, 100, 3000);
    EXPECT_EQ(GwUnreportedTokens_Get(&u, 100), 5000u);
    EXPECT_EQ(GwUnreportedTokens_Get(&u, 200), 0u);
    GwUnreportedTokens_Add(&u, 200, 1000);
    EXPECT_EQ(GwUnreportedTokens_Get(&u, 200), 1000u);
}

// Retry-After must grow with the queue, and with the time that the queue has
// measurably needed to fall; clients that return too soon are refused again.
TEST(Admission, RetryAfterFollowsTheFallOfTheQueue)
{
    GwTime quick, slow, none;
    GwAdmissionState state = Sustained(); // from 500 ms on, with 800 ms
    GwAdmissionFacts f = Facts(1100, 500);

    quick = GwAdmissionState_Decide(&state, &f).retry_after;
    f = Facts(2000, 500); // the same in 1500 ms
    slow = GwAdmissionState_Decide(&state, &f).retry_after;
    f = Facts(2100, 800); // no fall
    none = GwAdmissionState_Decide(&state, &f).retry_after;
    EXPECT_NEAR((double)quick / GW_MILLISECOND, 500, 1);
    EXPECT_NEAR((double)slow / GW_MILLISECOND, 1250, 1);
    EXPECT_GT(none, slow);
    for (GwTime t : {quick, slow, none}) {
        EXPECT_GE(t, GW_RETRY_AFTER_MIN);
        EXPECT_LE(t, GW_RETRY_AFTER_MAX);
    }
}

// The log of a refusal states the estimate that it was based on.
TEST(Admission, DecisionStatesItsInputs)
{
    GwAdmissionState state = Sustained();
    GwAdmissionFacts f = Facts(1100, 700);
    GwAdmissionDecision d = GwAdmissionState_Decide(&state, &f);

    EXPECT_STREQ(GwAdmissionVerdict_Names[d.verdict], "overload");
    EXPECT_EQ(d.wait, 700 * GW_MILLISECOND);
    EXPECT_EQ(d.prefill, 20 * GW_MILLISECOND);
    EXPECT_EQ(d.limit, 250 * GW_MILLISECOND);
    EXPECT_EQ(d.tokens_per_ms, kSpeed);
    EXPECT_TRUE(d.is_sustained);
}
