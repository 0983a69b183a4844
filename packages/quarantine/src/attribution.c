#include "attribution.h"

/* Terminations at most this far apart may have a common cause. */
#define SIMULTANEOUS_INTERVAL GW_SECOND
/* If at least this share of a failure domain terminated simultaneously, the
 * cause is taken to be something that its endpoints share, such as power. */
#define GROUP_FAILURE_SHARE 0.75
/* ... unless one request was in flight at at least this share of these
 * terminations, */
#define REQUEST_FAILURE_SHARE 0.8
/* at more than this number of them, which a harmless request may reach by
 * retries while its domain fails. */
#define RETRIED_TERMINATIONS_MAX 3
/* A request that completed may terminate endpoints after their software has
 * changed. */
#define HARMLESS_AFTER_COMPLETION (300 * GW_SECOND)
/* Failures that are counted for a request; more would not lengthen its
 * quarantine. */
#define FAILURES_MAX 8
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

typedef bool (*GroupCheck)(const GwQuarantine *q, const Suspect *s,
                           const Termination *termination);

static void sort_terminations_(const GwQuarantine *q, const Suspect *s,
                               OwnTerminations *own);
static unsigned count_failures_(const GwQuarantine *q, const Suspect *s,
                                const OwnTerminations *own,
                                GroupCheck has_failed, unsigned max);
static bool has_group_failed_(const GwQuarantine *q, const Suspect *s,
                              const Termination *termination);
static bool has_group_failed_itself_(const GwQuarantine *q, const Suspect *s,
                                     const Termination *termination);
static GroupFailure find_group_failure_(const GwQuarantine *q,
                                        const Suspect *s,
                                        const Termination *termination);
static bool is_known_harmless_(const Suspect *s,
                               const Termination *termination);
static bool is_same_failure_(const Termination *a, const Termination *b);
static unsigned count_simultaneous_terminations_(const GwQuarantine *q,
                                                 const Suspect *s,
                                                 const OwnTerminations *own);
static void find_main_suspects_(GwQuarantine *q);
static void update_main_suspect_(StoredTermination *stored, const Suspect *s);
static bool is_attributed_to_another_(const StoredTermination *stored,
                                      const Suspect *s);
static bool are_simultaneous_(GwTime a, GwTime b);

bool
Attribution_FindCause(GwQuarantine *q, const Suspect *s, Cause *cause)
{
    OwnTerminations own;

    if (s->n_terminations < GW_QUARANTINE_TERMINATIONS)
        return false;
    if (!q->main_suspects_valid)
        find_main_suspects_(q);
    sort_terminations_(q, s, &own);
    if (count_failures_(q, s, &own, has_group_failed_itself_,
                        GW_QUARANTINE_TERMINATIONS) <
            GW_QUARANTINE_TERMINATIONS ||
        s->n_terminations <
            CAUSE_SHARE_MIN * count_simultaneous_terminations_(q, s, &own))
        return false;
    cause->n_failures =
        count_failures_(q, s, &own, has_group_failed_, FAILURES_MAX);
    cause->last_at = own.sorted[own.n - 1]->termination.at;
    return true;
}

// Counts the terminations of the request, up to @p max, at most FAILURES_MAX.
// If a group failed as a whole, only the first of its simultaneous
// terminations counts. Each termination is compared only with earlier ones
// that count themselves; otherwise, of a long series of terminations at short
// intervals, only the very first would count.
static unsigned
count_failures_(const GwQuarantine *q, const Suspect *s,
                const OwnTerminations *own, GroupCheck has_failed,
                unsigned max)
{
    const Termination *counted[FAILURES_MAX];
    unsigned n_counted = 0;

    for (unsigned i = 0; i < own->n && n_counted < max; i++) {
        const Termination *termination = &own->sorted[i]->termination;
        bool is_repeated = false;

        if (is_attributed_to_another_(own->sorted[i], s))
            continue;
        for (unsigned k = 0; k < n_counted; k++)
            is_repeated =
                is_repeated || is_same_failure_(counted[k], termination);
        if (!is_repeated || !has_failed(q, s, termination))
            counted[n_counted++] = termination;
    }
    return n_counted;
}

static void
sort_terminations_(const GwQuarantine *q, const Suspect *s,
                   OwnTerminations *own)
{
    own->n = 0;
    for (size_t i = 0; i < q->n_stored; i++) {
        const StoredTermination *stored = &q->stored_terminations[i];
        unsigned at;

        if (!Suspect_WasInFlight(s, i))
            continue;
        for (at = own->n; at > 0 && own->sorted[at - 1]->termination.at >
                                        stored->termination.at;
             at--)
            own->sorted[at] = own->sorted[at - 1];
        own->sorted[at] = stored;
        own->n++;
    }
}

static bool
has_group_failed_(const GwQuarantine *q, const Suspect *s,
                  const Termination *termination)
{
    return find_group_failure_(q, s, termination).has_failed;
}

// The same, and the request does not seem to be the reason.
static bool
has_group_failed_itself_(const GwQuarantine *q, const Suspect *s,
                         const Termination *termination)
{
    GroupFailure f = find_group_failure_(q, s, termination);

    return f.has_failed &&
           (is_known_harmless_(s, termination) ||
            f.n_in_flight <= RETRIED_TERMINATIONS_MAX ||
            f.n_in_flight < REQUEST_FAILURE_SHARE * f.n_terminated);
}

static GroupFailure
find_group_failure_(const GwQuarantine *q, const Suspect *s,
                    const Termination *termination)
{
    GroupFailure f = {0};

    for (size_t i = 0; i < q->n_stored; i++) {
        const StoredTermination *stored = &q->stored_terminations[i];

        if (!is_same_failure_(&stored->termination, termination) ||
            is_attributed_to_another_(stored, s))
            continue;
        f.n_terminated++;
        f.n_in_flight += Suspect_WasInFlight(s, i);
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
           termination->at - s->last_completed_at < HARMLESS_AFTER_COMPLETION;
}

static bool
is_same_failure_(const Termination *a, const Termination *b)
{
    return a->group == b->group && are_simultaneous_(a->at, b->at);
}

// Endpoints that terminated simultaneously with a termination of this request.
static unsigned
count_simultaneous_terminations_(const GwQuarantine *q, const Suspect *s,
                                 const OwnTerminations *own)
{
    unsigned n = 0;

    for (size_t i = 0; i < q->n_stored; i++) {
        const StoredTermination *stored = &q->stored_terminations[i];
        bool simultaneous = false;

        for (unsigned k = 0; k < own->n && !simultaneous; k++)
            simultaneous = are_simultaneous_(stored->termination.at,
                                             own->sorted[k]->termination.at);
        n += simultaneous && !is_attributed_to_another_(stored, s);
    }
    return n;
}

static void
find_main_suspects_(GwQuarantine *q)
{
    const Suspect *s;

    for (size_t i = 0; i < q->n_stored; i++) {
        q->stored_terminations[i].main_suspect = NULL;
        q->stored_terminations[i].max_terminations = 0;
    }
    TAILQ_FOREACH(s, &q->repeated, link)
    {
        for (size_t i = 0; i < q->n_stored; i++) {
            if (Suspect_WasInFlight(s, i))
                update_main_suspect_(&q->stored_terminations[i], s);
        }
    }
    q->main_suspects_valid = true;
}

static void
update_main_suspect_(StoredTermination *stored, const Suspect *s)
{
    if (s->n_terminations == stored->max_terminations) {
        stored->main_suspect = NULL;
    }
    else if (s->n_terminations > stored->max_terminations) {
        stored->main_suspect = s;
        stored->max_terminations = s->n_terminations;
    }
}

// Terminations caused by one fatal request must not make the terminations of
// another request look like a failed rack or an unrelated failure.
static bool
is_attributed_to_another_(const StoredTermination *stored, const Suspect *s)
{
    return stored->main_suspect != NULL && stored->main_suspect != s &&
           stored->max_terminations > 1;
}

static bool
are_simultaneous_(GwTime a, GwTime b)
{
    return ABS(a - b) <= SIMULTANEOUS_INTERVAL;
}
