// Parts of prompts that terminate endpoints under requests of which no two are
// alike.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "galenagw/quarantine/quarantine.h"

static const GwTime kStart = 1000 * GW_SECOND;
/* Time after a termination at which a single process may probe a part. */
static const GwTime kProbeTime = 40 * GW_SECOND;

using Ids = std::vector<uint64_t>;

static GwDigest
Part(uint64_t id)
{
    return GwDigest_OfPart("m", nullptr, id);
}

static GwRequestIdentity
Prompt(const Ids &parts, uint64_t content)
{
    GwRequestIdentity identity = {};

    identity.request = {1, content};
    for (uint64_t id : parts)
        identity.parts[identity.n_parts++] = Part(id);
    return identity;
}

// A quarantine of a process, with helpers that add terminations and
// completions. Times are relative to kStart.
struct PartQuarantine {
    explicit PartQuarantine(const char *name = "gateway-1")
    {
        GwQuarantineOptions options = {};

        options.name = name;
        q = GwQuarantine_New(&options);
    }
    ~PartQuarantine()
    {
        GwQuarantine_Delete(q);
    }
    // Prompts with these parts were in flight, each with a content of its own.
    void
    Terminate(uint64_t endpoint, GwTime at, const std::vector<Ids> &prompts,
              uint64_t group = 0, unsigned group_size = 100)
    {
        GwEndpointTermination termination = {};
        GwInFlight in_flight = {}, added;
        bool is_new;

        for (const Ids &parts : prompts) {
            GwRequestIdentity identity =
                Prompt(parts, repeats_content ? 1 : ++n_prompts + 1000);
            GwInFlight_Add(&in_flight, &identity);
        }
        termination.endpoint = endpoint;
        termination.group = group != 0 ? group : endpoint;
        termination.group_size = group_size;
        termination.at = kStart + at;
        GwEndpointTermination_SetInFlight(&termination, &in_flight);
        GwQuarantine_AddTermination(q, &termination, kStart + at, &added,
                                    &is_new);
    }
    void
    Complete(const Ids &parts, GwTime at)
    {
        for (uint64_t id : parts) {
            GwDigest part = Part(id);

            GwQuarantine_AddCompletion(q, GW_SUSPECT_PART, &part, kStart + at,
                                       kStart + at);
        }
    }
    GwTime
    Check(const Ids &parts, GwTime at)
    {
        GwRequestIdentity identity = Prompt(parts, ++n_prompts + 1000);

        return GwQuarantine_Check(q, &identity, kStart + at).time_left;
    }
    GwTime
    Admit(const Ids &parts, GwTime at)
    {
        GwRequestIdentity identity = Prompt(parts, ++n_prompts + 1000);

        return GwQuarantine_Admit(q, &identity, kStart + at).time_left;
    }

    GwQuarantine *q;
    uint64_t n_prompts = 0;
    bool repeats_content = false; // all terminations are by the same request
};

// Endpoints terminate one after the other. Which prompts are refused for the
// rest of the term, probed or served follows from their parts.
TEST(QuarantineParts, PromptsAreCheckedByTheirParts)
{
    enum Verdict { kServed, kProbed, kRefused };
    struct Step {
        GwTime at_ms;
        std::vector<Ids> prompts; // in flight at a termination
        Ids completed;            // if there are none
    };
    struct Expected {
        Ids parts;
        Verdict verdict;
    };
    const struct {
        const char *name;
        std::vector<Step> steps;
        std::vector<Expected> expected;
    } cases[] = {
        {"two terminations",
         {{0, {{1, 9}}, {}}, {100, {{2, 9}}, {}}},
         {{{9}, kServed}}},
        {"beside other parts each time",
         {{0, {{1, 9}}, {}}, {100, {{9, 2}}, {}}, {200, {{3, 9}}, {}}},
         {{{9}, kRefused}, {{4, 9}, kRefused}, {{1, 2, 3}, kServed}}},
        {"beside a part that completed before",
         {{0, {}, {1}},
          {1000, {{1, 9}}, {}},
          {1100, {{1, 9}}, {}},
          {1200, {{1, 9}}, {}}},
         {{{1, 9}, kRefused}, {{9}, kRefused}, {{1, 2}, kServed}}},
        {"beside parts that were not seen before",
         {{0, {{1, 9, 2}}, {}},
          {100, {{1, 9, 2}}, {}},
          {200, {{1, 9, 2}}, {}}},
         {{{1, 9, 2}, kRefused},
          {{1, 9, 2, 3}, kRefused},
          {{1, 2}, kProbed},
          {{9}, kProbed},
          {{3}, kServed}}},
        {"the other parts completed since",
         {{0, {{1, 9, 2}}, {}},
          {100, {{1, 9, 2}}, {}},
          {200, {{1, 9, 2}}, {}},
          {1000, {}, {1, 2}}},
         {{{1, 2}, kServed}, {{9}, kRefused}, {{2, 9}, kRefused}}},
        {"a further termination without the other part",
         {{0, {{1, 9}}, {}},
          {100, {{1, 9}}, {}},
          {200, {{1, 9}}, {}},
          {300, {{2, 9}}, {}}},
         {{{9}, kRefused}, {{1, 9}, kRefused}, {{1, 2}, kServed}}},
        {"beside harmless prompts",
         {{0, {}, {1, 2}},
          {1000, {{1, 9}, {1, 2}, {2, 3}}, {}},
          {1100, {{2, 9}, {1, 2}, {4}}, {}},
          {1200, {{9, 1}, {1, 2}, {5}}, {}}},
         {{{9}, kRefused}, {{1, 2}, kServed}, {{3, 4, 5}, kServed}}},
        {"a part of all prompts",
         {{0, {}, {1}},
          {1000, {{1, 2}}, {}},
          {2000, {{1, 3}}, {}},
          {3000, {{1, 4}}, {}},
          {4000, {{1, 5}}, {}},
          {5000, {{1, 6}}, {}}},
         {{{1, 2}, kServed}}},
        {"a part of all prompts, at more terminations",
         {{0, {}, {1}},
          {1000, {{1, 2}}, {}},
          {2000, {{1, 3}}, {}},
          {3000, {{1, 4}}, {}},
          {4000, {{1, 5}}, {}},
          {5000, {{1, 6}}, {}},
          {6000, {{1, 7}}, {}}},
         {{{1, 2}, kProbed}}},
        {"two fatal parts",
         {{0, {}, {1}},
          {1000, {{1, 8}}, {}},
          {1100, {{1, 9}}, {}},
          {1200, {{1, 8}}, {}},
          {1300, {{1, 9}}, {}},
          {1400, {{1, 8}}, {}},
          {1500, {{1, 9}}, {}}},
         {{{8}, kRefused}, {{1, 9}, kRefused}, {{1}, kServed}}},
        {"a completion of the part itself",
         {{0, {{1, 9}}, {}},
          {100, {{2, 9}}, {}},
          {200, {{3, 9}}, {}},
          {2000, {}, {9}}},
         {{{9}, kServed}}},
    };

    for (const auto &c : cases) {
        for (const Expected &e : c.expected) {
            PartQuarantine t;
            uint64_t endpoint = 1;
            GwTime at = 0;

            for (const Step &s : c.steps) {
                at = s.at_ms * GW_MILLISECOND;
                if (!s.prompts.empty())
                    t.Terminate(endpoint++, at, s.prompts);
                else
                    t.Complete(s.completed, at);
            }
            // After the delay of a probe.
            GwTime left = t.Admit(e.parts, at + kProbeTime);
            GwTime again = t.Admit(e.parts, at + kProbeTime);
            Verdict verdict = left > 0    ? kRefused
                              : again > 0 ? kProbed
                                          : kServed;
            EXPECT_EQ(verdict, e.verdict)
                << c.name << ", part " << e.parts[0] << " of "
                << e.parts.size() << ", refused for " << left;
        }
    }
}

// Guards against refusing all prompts with a part because one request, sent
// again and again, terminates endpoints: fewer are refused for the request.
TEST(QuarantineParts, ARequestSentAgainIsRefusedInsteadOfItsParts)
{
    PartQuarantine t;
    GwRequestIdentity same = Prompt({1, 9}, 1);

    t.repeats_content = true;
    for (uint64_t i = 1; i <= 4; i++)
        t.Terminate(i, (GwTime)i * 100 * GW_MILLISECOND, {{1, 9}});
    EXPECT_GT(GwQuarantine_Check(t.q, &same, kStart + GW_SECOND).time_left, 0);
    EXPECT_EQ(t.Check({1, 9}, GW_SECOND), 0);
    // Another one shows that it is a part.
    t.repeats_content = false;
    t.Terminate(5, 500 * GW_MILLISECOND, {{2, 9}});
    t.Admit({2, 9}, 2 * GW_SECOND);
    EXPECT_GT(t.Admit({2, 9}, 2 * GW_SECOND), 0) << "a probe at most";
}

// Guards against refusing the parts of all prompts when racks lose power: they
// are in flight at each endpoint, and completed before.
TEST(QuarantineParts, PartsInFlightWhenRacksFailAreServed)
{
    for (unsigned size : {3, 12, 36}) {
        PartQuarantine t;

        t.Complete({1, 2}, 0);
        for (unsigned i = 0; i < 2 * size; i++)
            t.Terminate(1 + i, GW_SECOND + i * GW_MILLISECOND,
                        {{1, 2}, {1, 100 + i}}, 1 + i % 2, size);
        EXPECT_EQ(t.Admit({1, 2}, 2 * GW_SECOND), 0) << size;
        EXPECT_EQ(t.Admit({1, 2}, 2 * GW_SECOND), 0) << size;
    }
}

// Guards against releasing a part because it terminates whole domains within a
// second, which looks like domains that fail: it has never completed.
TEST(QuarantineParts, APartThatTerminatesSmallDomainsIsRefused)
{
    PartQuarantine t;

    t.Complete({1}, 0);
    for (uint64_t i = 0; i < 9; i++) {
        t.Terminate(1 + i, GW_SECOND + (GwTime)i * 50 * GW_MILLISECOND,
                    {{1, 9}}, 1 + i / 3, 3);
        EXPECT_EQ(t.Check({1, 9}, 2 * GW_SECOND) > 0, i >= 2) << i;
    }
    EXPECT_EQ(t.Check({1, 2}, 2 * GW_SECOND), 0);
}

// Guards against sending on prompts with a part that completed before, and
// terminates endpoints since their software has changed: each process sends
// probes one by one, and fewer with each.
TEST(QuarantineParts, APartThatBecomesFatalIsProbedLessAndLess)
{
    std::vector<std::unique_ptr<PartQuarantine>> fleet;
    uint64_t endpoint = 1;
    int n_terminations = 0, n_late = 0;
    GwTime fifth_at = 0;

    for (int i = 0; i < 4; i++) {
        std::string name = "gateway-" + std::to_string(i);

        fleet.push_back(std::make_unique<PartQuarantine>(name.c_str()));
        GwQuarantine_SetProcesses(fleet.back()->q, 4);
        fleet.back()->Complete({9}, 0);
    }
    for (GwTime at = GW_SECOND; at < 60 * GW_SECOND;
         at += 100 * GW_MILLISECOND) {
        for (auto &sender : fleet) {
            if (sender->Admit({9, endpoint + 100}, at) > 0)
                continue;
            for (auto &t : fleet)
                t->Terminate(endpoint, at, {{9, endpoint + 100}});
            endpoint++;
            if (++n_terminations == 5)
                fifth_at = at;
            n_late += fifth_at != 0 && at - fifth_at > 3 * GW_SECOND;
        }
    }
    EXPECT_GE(n_terminations, 6);
    EXPECT_LE(n_late, 3);
}

// Guards against too many probes in a large fleet: each may terminate an
// endpoint before the update on the first one has reached the others.
TEST(QuarantineParts, FewProcessesProbeAtATime)
{
    const unsigned kProcesses = 200;
    unsigned n_probes = 0, intervals = 0;

    for (uint64_t seed = 1; seed <= 20; seed++, intervals++) {
        for (unsigned i = 0; i < kProcesses; i++) {
            PartQuarantine t(("gateway-" + std::to_string(i)).c_str());

            GwQuarantine_SetProcesses(t.q, kProcesses);
            for (uint64_t k = 0; k < 3; k++)
                t.Terminate(seed * 10 + k, 0, {{1, 9, 2}});
            n_probes += t.Admit({1, 2}, 600 * GW_MILLISECOND) == 0;
        }
    }
    EXPECT_LE(n_probes, 3 * intervals);
    EXPECT_GE(n_probes, intervals);
}

// Guards against harmless prompts that come some time after the terminations,
// and wait for seconds because by chance no process is selected for a probe:
// the next choice must come soon.
TEST(QuarantineParts, AProbeBeginsSoonWhateverProcessesAreSelected)
{
    const GwTime kFirstSentAt = 6 * GW_SECOND;
    const unsigned kProcesses = 4;

    for (uint64_t seed = 1; seed <= 500; seed++) {
        std::vector<std::unique_ptr<PartQuarantine>> fleet;
        GwTime probed_at = 0;

        for (unsigned i = 0; i < kProcesses; i++) {
            std::string name = "gateway-" + std::to_string(i);

            fleet.push_back(std::make_unique<PartQuarantine>(name.c_str()));
            GwQuarantine_SetProcesses(fleet.back()->q, kProcesses);
            for (uint64_t k = 0; k < 5; k++)
                fleet.back()->Terminate(seed * 10 + k, 0, {{1, 9, 2}});
        }
        for (GwTime at = kFirstSentAt; probed_at == 0 && at < 60 * GW_SECOND;
             at += 100 * GW_MILLISECOND) {
            for (auto &t : fleet)
                probed_at = t->Admit({1, 2}, at) == 0 ? at : probed_at;
        }
        EXPECT_GT(probed_at, 0) << seed;
        EXPECT_LT(probed_at, kFirstSentAt + 2 * GW_SECOND) << seed;
    }
}

// Guards against refusing harmless prompts after all processes have restarted:
// the stored records say which parts are tied.
TEST(QuarantineParts, RecordsKeepTies)
{
    PartQuarantine t, restarted;
    uint64_t ties[2];

    for (uint64_t i = 1; i <= 3; i++)
        t.Terminate(i, 0, {{1, 9}});
    for (uint64_t id : {1, 9}) {
        GwDigest part = Part(id);
        GwTime left = GwQuarantine_RecordTime(t.q, &part, kStart);

        EXPECT_GT(left, 0);
        ties[id / 9] = GwQuarantine_Tie(t.q, &part);
        GwQuarantine_Hold(restarted.q, GW_SUSPECT_PART, &part, kStart + left,
                          ties[id / 9], kStart);
    }
    EXPECT_EQ(ties[0], ties[1]);
    EXPECT_NE(ties[0], 0u);
    EXPECT_GT(restarted.Admit({1, 9}, GW_SECOND), 10 * GW_SECOND);
    EXPECT_EQ(restarted.Admit({1, 2}, GW_SECOND), 0) << "a probe";
    restarted.Complete({1, 2}, 2 * GW_SECOND);
    EXPECT_EQ(restarted.Admit({1, 2}, 2 * GW_SECOND), 0);
    EXPECT_GT(restarted.Admit({2, 9}, 2 * GW_SECOND), 10 * GW_SECOND);
}

// Guards against a part that is suspected at processes which have not seen it
// complete; one termination has no effect there, and is not worth an update.
TEST(QuarantineParts, PeersAreToldOfACompletionThatClearedSeveralTerminations)
{
    for (uint64_t n : {1, 2}) {
        PartQuarantine t;
        GwDigest part = Part(9);

        for (uint64_t i = 1; i <= n; i++)
            t.Terminate(i, 0, {{9}});
        EXPECT_EQ(GwQuarantine_AddCompletion(t.q, GW_SUSPECT_PART, &part,
                                             kStart + GW_SECOND,
                                             kStart + GW_SECOND),
                  n > 1);
    }
}

// Guards against a second termination by a retry of the same prompt, before
// the first one counts; harmless parts must not keep requests from retries.
TEST(QuarantineParts, APromptIsNotRetriedBeforeItsPartIsRefused)
{
    PartQuarantine t;

    t.Complete({1}, 0);
    for (uint64_t i = 1; i <= 2; i++)
        t.Terminate(i, GW_SECOND, {{1, 9}});
    GwRequestIdentity fatal = Prompt({1, 9}, 5), harmless = Prompt({1, 2}, 6);
    EXPECT_FALSE(GwQuarantine_MayRetry(t.q, &fatal, true, kStart + GW_SECOND));
    EXPECT_TRUE(GwQuarantine_MayRetry(t.q, &fatal, false, kStart + GW_SECOND));
    EXPECT_TRUE(
        GwQuarantine_MayRetry(t.q, &harmless, true, kStart + GW_SECOND));
}

// Terminations in a large fleet leave thousands of parts with one termination
// each. They must neither exceed the memory bound nor evict a part with
// several, nor requests.
TEST(QuarantineParts, AreBoundedAndKeepThoseWithSeveralTerminations)
{
    PartQuarantine t;
    uint64_t endpoint = 1;
    GwDigest fatal = Part(9);
    size_t rows = 0;

    for (int i = 0; i < 2; i++)
        t.Terminate(endpoint++, 0, {{9}});
    // Fewer terminations than are stored.
    for (uint64_t i = 0; i < 3 * GW_QUARANTINE_PARTS_MAX; i += 6)
        t.Terminate(
            endpoint++, (GwTime)i,
            {{i + 1000, i + 1001, i + 1002}, {i + 1003, i + 1004, i + 1005}});
    EXPECT_EQ(GwQuarantine_Terminations(t.q, &fatal), 2u);
    GwQuarantine_ForEach(
        t.q, SIZE_MAX,
        [](void *user, const GwEndpointTermination *termination) {
            *static_cast<size_t *>(user) += termination->n_parts;
        },
        &rows);
    EXPECT_LE(rows, GW_QUARANTINE_PARTS_MAX + 1u);
}

// A refused request can be explained: by which part, since when, after how
// many terminations and from where that is known.
TEST(QuarantineParts, VerdictNamesThePart)
{
    PartQuarantine t;

    for (uint64_t i = 1; i <= 3; i++)
        t.Terminate(i, GW_SECOND, {{i + 10, 9}});
    GwRequestIdentity identity = Prompt({1, 9}, 5);
    GwQuarantineVerdict verdict =
        GwQuarantine_Check(t.q, &identity, kStart + 2 * GW_SECOND);
    EXPECT_EQ(verdict.kind, GW_SUSPECT_PART);
    EXPECT_EQ(verdict.suspect.content, 9u);
    EXPECT_EQ(verdict.n_terminations, 3u);
    EXPECT_EQ(verdict.since, kStart + GW_SECOND);
    EXPECT_EQ(verdict.source, GW_QUARANTINE_SOURCE_OWN);
}

// Parts of the same id are the same for accounts that share KV cache, and
// others for another model or an isolated account.
TEST(QuarantineParts, IdentityIsWithinModelAndIsolatedAccount)
{
    GwDigest shared = Part(9);
    GwDigest other_model = GwDigest_OfPart("n", nullptr, 9);
    GwDigest isolated = GwDigest_OfPart("m", "walled", 9);
    GwDigest no_model = GwDigest_OfPart(nullptr, nullptr, 9);

    EXPECT_FALSE(GwDigest_Equal(&shared, &other_model));
    EXPECT_FALSE(GwDigest_Equal(&shared, &isolated));
    EXPECT_FALSE(GwDigest_Equal(&shared, &no_model));
    EXPECT_EQ(shared.content, 9u) << "as the caller gave it";
}
