#include "attribution.h"

#include "stored_terminations.h"
#include "suspects.h"

/* If at least this share of a failure domain terminated simultaneously, the
 * cause is taken to be something that its endpoints share, such as power. */
#define GROUP_FAILURE_SHARE 0.75
/* ... unless one request was in flight at at least this share of these
 * terminations, */
#define REQUEST_FAILURE_SHARE 0.8
/* at more than this number of them, which a harmless request may reach by
 * retries while its domain fails. */
#define RETRIED_TERMINATIONS_MAX 3
/* Failures that are counted for a request; more would not lengthen its
 * quarantine. */
#define FAILURES_MAX 8
/* Terminations after which a part that completed in the last minutes is
 * suspected: it may terminate endpoints since their software has changed. */
#define HARMLESS_PART_TERMINATIONS 6
/* Results of find_group_failure_ that are kept while one suspect is checked:
 * those of the groups that fail at the same time. */
#define GROUP_FAILURES_MAX 8
/* A request that was in flight at less than this share of the terminations
 * around its own, excluding those attributed to another request, is not their
 * cause. */
#define CAUSE_SHARE_MIN 0.25

/* The terminations of a request, oldest first. */
typedef struct {
    const StoredTermination *sorted[TERMINATIONS_MAX];
    unsigned n;
} OwnTerminations;

/* Terminations of a group that are simultaneous with one of a request, without
 * those that are attributed to another request. */
typedef struct {
    unsigned n_terminated;
    unsigned n_in_flight; /* at which the request was in flight */
    bool has_failed;      /* they are a large part of the group */
} GroupFailure;

/* A result of find_group_failure_ and what it depends on. */
typedef struct {
    uint64_t group;
    unsigned group_size;
    uint16_t first, last; /* simultaneous terminations */
    GroupFailure failure;
} KnownGroupFailure;

/* The check of one suspect. */
typedef struct {
    const GwQuarantine *q;
    const Suspect *suspect;
    OwnTerminations own;
    KnownGroupFailure known[GROUP_FAILURES_MAX]; /* oldest replaced first */
    unsigned n_known;
} CauseCheck;

typedef bool (*GroupCheck)(CauseCheck *c, const StoredTermination *stored);

static unsigned required_terminations_(const Suspect *s);
static void sort_terminations_(CauseCheck *c);
static unsigned count_failures_(CauseCheck *c, GroupCheck has_failed,
                                unsigned max);
static unsigned count_rounds_(const OwnTerminations *own);
static bool has_group_failed_(CauseCheck *c, const StoredTermination *stored);
static bool has_group_failed_itself_(CauseCheck *c,
                                     const StoredTermination *stored);
static GroupFailure group_failure_(CauseCheck *c,
                                   const StoredTermination *stored);
static GroupFailure find_group_failure_(const CauseCheck *c,
                                        const StoredTermination *stored);
static bool is_known_harmless_(const Suspect *s,
                               const Termination *termination);
static bool is_same_failure_(const Termination *a, const Termination *b);
static unsigned count_simultaneous_terminations_(const CauseCheck *c);
static void update_ranks_(GwQuarantine *q);
static void raise_ranks_(GwQuarantine *q, const Suspect *s);
static bool is_attributed_to_another_(const CauseCheck *c,
                                      const StoredTermination *stored);

bool
Attribution_FindCause(GwQuarantine *q, const Suspect *s, Cause *cause)
{
    unsigned required = required_terminations_(s);
    CauseCheck c = {.q = q, .suspect = s};
    const Termination *last;

    if (s->n_terminations < required)
        return false;
    update_ranks_(q);
    StoredTerminations_Sort(q);
    sort_terminations_(&c);
    if (count_failures_(&c, has_group_failed_itself_, required) < required ||
        s->n_terminations <
            CAUSE_SHARE_MIN * count_simultaneous_terminations_(&c))
        return false;
    last = &c.own.sorted[c.own.n - 1]->termination;
    cause->n_failures = count_failures_(&c, has_group_failed_, FAILURES_MAX);
    cause->n_rounds = count_rounds_(&c.own);
    cause->last_at = last->at;
    cause->last_endpoint = last->endpoint;
    return true;
}

static unsigned
required_terminations_(const Suspect *s)
{
    return Suspect_IsHarmlessPart(s) ? HARMLESS_PART_TERMINATIONS
                                     : GW_QUARANTINE_TERMINATIONS;
}

static void
sort_terminations_(CauseCheck *c)
{
    const GwQuarantine *q = c->q;

    c->own.n = 0;
    for (size_t i = 0; i < q->n_stored; i++) {
        if (Suspect_WasInFlight(c->suspect, q->by_time[i]))
            c->own.sorted[c->own.n++] = &q->stored_terminations[q->by_time[i]];
    }
}

// Counts the terminations of the suspect, up to @p max, at most FAILURES_MAX.
// If a group failed as a whole, only the first of its simultaneous
// terminations counts. Each termination is compared only with earlier ones
// that count themselves; otherwise, of a long series of terminations at short
// intervals, only the very first would count.
static unsigned
count_failures_(CauseCheck *c, GroupCheck has_failed, unsigned max)
{
    const Termination *counted[FAILURES_MAX];
    unsigned n_counted = 0;

    for (unsigned i = 0; i < c->own.n && n_counted < max; i++) {
        const StoredTermination *stored = c->own.sorted[i];
        bool is_repeated = false;

        if (is_attributed_to_another_(c, stored))
            continue;
        for (unsigned k = 0; k < n_counted; k++)
            is_repeated = is_repeated ||
                          is_same_failure_(counted[k], &stored->termination);
        if (!is_repeated || !has_failed(c, stored))
            counted[n_counted++] = &stored->termination;
    }
    return n_counted;
}

static unsigned
count_rounds_(const OwnTerminations *own)
{
    GwTime last_at = own->sorted[0]->termination.at;
    unsigned n = 1;

    for (unsigned i = 1; i < own->n; i++) {
        GwTime at = own->sorted[i]->termination.at;

        if (StoredTerminations_AreSimultaneous(at, last_at))
            continue;
        last_at = at;
        n++;
    }
    return n;
}

static bool
has_group_failed_(CauseCheck *c, const StoredTermination *stored)
{
    return group_failure_(c, stored).has_failed;
}

// The same, and the suspect does not seem to be the reason. A part that never
// completed does: a harmless one completes within moments after prompts with
// it begin to arrive.
static bool
has_group_failed_itself_(CauseCheck *c, const StoredTermination *stored)
{
    const Suspect *s = c->suspect;
    GroupFailure f;

    if (s->kind == GW_SUSPECT_PART && !Suspect_IsHarmlessPart(s))
        return false;
    f = group_failure_(c, stored);

    return f.has_failed &&
           (is_known_harmless_(c->suspect, &stored->termination) ||
            f.n_in_flight <= RETRIED_TERMINATIONS_MAX ||
            f.n_in_flight < REQUEST_FAILURE_SHARE * f.n_terminated);
}

// When a large group fails, nearly all of its terminations are simultaneous
// with the same ones, so that the result is known.
static GroupFailure
group_failure_(CauseCheck *c, const StoredTermination *stored)
{
    const Termination *t = &stored->termination;
    KnownGroupFailure *known;

    for (unsigned i = 0; i < MIN(c->n_known, GROUP_FAILURES_MAX); i++) {
        known = &c->known[i];
        if (known->group == t->group && known->group_size == t->group_size &&
            known->first == stored->first_simultaneous &&
            known->last == stored->last_simultaneous)
            return known->failure;
    }
    known = &c->known[c->n_known++ % GROUP_FAILURES_MAX];
    *known = (KnownGroupFailure){
        .group = t->group,
        .group_size = t->group_size,
        .first = stored->first_simultaneous,
        .last = stored->last_simultaneous,
        .failure = find_group_failure_(c, stored),
    };
    return known->failure;
}

static GroupFailure
find_group_failure_(const CauseCheck *c, const StoredTermination *stored)
{
    const GwQuarantine *q = c->q;
    const Termination *termination = &stored->termination;
    GroupFailure f = {0};

    for (size_t i = stored->first_simultaneous; i <= stored->last_simultaneous;
         i++) {
        size_t place = q->by_time[i];
        const StoredTermination *other = &q->stored_terminations[place];

        if (other->termination.group != termination->group ||
            is_attributed_to_another_(c, other))
            continue;
        f.n_terminated++;
        f.n_in_flight += Suspect_WasInFlight(c->suspect, place);
    }
    f.has_failed =
        f.n_terminated > 1 && termination->group_size > 0 &&
        f.n_terminated >= GROUP_FAILURE_SHARE * termination->group_size;
    return f;
}

static bool
is_known_harmless_(const Suspect *s, const Termination *termination)
{
    return s->last_completed_at != 0 &&
           termination->at - s->last_completed_at <
               GW_QUARANTINE_HARMLESS_TIME;
}

static bool
is_same_failure_(const Termination *a, const Termination *b)
{
    return a->group == b->group &&
           StoredTerminations_AreSimultaneous(a->at, b->at);
}

// Endpoints that terminated simultaneously with a termination of this suspect.
static unsigned
count_simultaneous_terminations_(const CauseCheck *c)
{
    const GwQuarantine *q = c->q;
    size_t next = 0;
    unsigned n = 0;

    for (unsigned i = 0; i < c->own.n; i++) {
        const StoredTermination *own = c->own.sorted[i];

        for (next = MAX(next, own->first_simultaneous);
             next <= own->last_simultaneous; next++)
            n += !is_attributed_to_another_(
                c, &q->stored_terminations[q->by_time[next]]);
    }
    return n;
}

// Harmless parts do not compete: they are in flight at nearly all
// terminations, and would outrank the cause.
static void
update_ranks_(GwQuarantine *q)
{
    const Suspect *s;

    if (q->ranks_valid)
        return;
    for (size_t i = 0; i < q->n_stored; i++) {
        q->stored_terminations[i].max_rank = 0;
        q->stored_terminations[i].max_terminations = 0;
    }
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        TAILQ_FOREACH(s, &q->repeated[kind], link)
        {
            if (!Suspect_IsHarmlessPart(s))
                raise_ranks_(q, s);
        }
    }
    q->ranks_valid = true;
}

static void
raise_ranks_(GwQuarantine *q, const Suspect *s)
{
    unsigned rank = Suspect_Rank(s);

    for (size_t word = 0; word < TERMINATION_WORDS; word++) {
        for (uint64_t bits = s->in_flight[word]; bits != 0; bits &= bits - 1) {
            StoredTermination *stored =
                &q->stored_terminations[word * 64 +
                                        (size_t)__builtin_ctzll(bits)];

            if (rank < stored->max_rank)
                continue;
            if (rank > stored->max_rank)
                stored->n_of_max_rank = 0;
            stored->n_of_max_rank++;
            stored->max_rank = rank;
            stored->max_terminations = s->n_terminations;
        }
    }
}

// Terminations caused by one fatal request must not make the terminations of
// another request look like a failed rack or an unrelated failure. A harmless
// part has the most terminations of all, so it is not compared by rank.
static bool
is_attributed_to_another_(const CauseCheck *c, const StoredTermination *stored)
{
    const Suspect *s = c->suspect;
    size_t place = (size_t)(stored - c->q->stored_terminations);

    if (Suspect_IsHarmlessPart(s))
        return stored->max_terminations >= GW_QUARANTINE_TERMINATIONS;
    if (stored->max_terminations < 2)
        return false;
    return Suspect_WasInFlight(s, place) ? stored->max_rank > Suspect_Rank(s)
                                         : stored->n_of_max_rank == 1;
}
