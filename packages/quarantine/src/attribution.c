#include "attribution.h"

/* Terminations at most this far apart may have a common cause. */
#define SIMULTANEOUS_INTERVAL GW_SECOND
/* If at least this share of a failure domain terminated simultaneously, the
 * cause is taken to be something that its endpoints share, such as power. */
#define GROUP_FAILURE_SHARE 0.75
/* Attempts of one request. A harmless request that is retried while a domain
 * fails may be in flight at each of so many simultaneous terminations. */
#define ATTEMPTS_PER_REQUEST_MAX 4
/* A request that was in flight at less than this share of the terminations
 * around its own, excluding those attributed to another request, is not their
 * cause. */
#define CAUSE_SHARE_MIN 0.25

static unsigned count_independent_terminations_(const GwQuarantine *q,
                                                const Suspect *s);
static bool is_independent_termination_(const GwQuarantine *q,
                                        const Suspect *s, unsigned i);
static bool has_group_failed_(const GwQuarantine *q, const Suspect *s,
                              const Termination *termination);
static bool is_in_flight_at_all_(const GwQuarantine *q, const Suspect *s,
                                 const Termination *termination);
static bool counts_for_group_(const StoredTermination *stored,
                              const Suspect *s,
                              const Termination *termination);
static unsigned count_simultaneous_terminations_(const GwQuarantine *q,
                                                 const Suspect *s);
static void find_main_suspects_(GwQuarantine *q);
static void update_main_suspect_(StoredTermination *stored, const Suspect *s);
static bool is_attributed_to_another_(const StoredTermination *stored,
                                      const Suspect *s);
static bool are_simultaneous_(GwTime a, GwTime b);
static size_t count_stored_terminations_(const GwQuarantine *q);

bool
Attribution_IsCause(GwQuarantine *q, const Suspect *s)
{
    if (s->n_terminations < GW_QUARANTINE_TERMINATIONS)
        return false;
    if (!q->main_suspects_valid)
        find_main_suspects_(q);
    return count_independent_terminations_(q, s) >=
               GW_QUARANTINE_TERMINATIONS &&
           s->n_terminations >=
               CAUSE_SHARE_MIN * count_simultaneous_terminations_(q, s);
}

static unsigned
count_independent_terminations_(const GwQuarantine *q, const Suspect *s)
{
    unsigned n = 0;

    for (unsigned i = 0; i < s->n_terminations; i++)
        n += is_independent_termination_(q, s, i);
    return n;
}

// If a group failed as a whole, only the first of its simultaneous
// terminations counts. Each termination is compared only with earlier ones
// that count themselves; otherwise, of a long series of terminations at short
// intervals, only the very first would count.
static bool
is_independent_termination_(const GwQuarantine *q, const Suspect *s,
                            unsigned i)
{
    const Termination *termination = &s->terminations[i];
    const StoredTermination *stored =
        g_hash_table_lookup(q->by_endpoint, &termination->endpoint);

    if (stored != NULL && is_attributed_to_another_(stored, s))
        return false;
    if (!has_group_failed_(q, s, termination))
        return true;
    for (unsigned k = 0; k < i; k++) {
        const Termination *earlier = &s->terminations[k];

        if (earlier->group == termination->group &&
            are_simultaneous_(earlier->at, termination->at) &&
            is_independent_termination_(q, s, k))
            return false;
    }
    return true;
}

// Whether a large part of the endpoint's group terminated simultaneously with
// it for a reason other than this request.
static bool
has_group_failed_(const GwQuarantine *q, const Suspect *s,
                  const Termination *termination)
{
    unsigned n_terminated = 0;

    for (size_t i = 0; i < count_stored_terminations_(q); i++)
        n_terminated +=
            counts_for_group_(&q->stored_terminations[i], s, termination);
    if (n_terminated < 2 || termination->group_size == 0 ||
        n_terminated < GROUP_FAILURE_SHARE * termination->group_size)
        return false;
    return n_terminated <= ATTEMPTS_PER_REQUEST_MAX || s->has_completed ||
           !is_in_flight_at_all_(q, s, termination);
}

// Whether the request was in flight at all endpoints of the group that
// terminated simultaneously. If not all terminations of the request are
// stored, only those after the oldest stored one are considered.
static bool
is_in_flight_at_all_(const GwQuarantine *q, const Suspect *s,
                     const Termination *termination)
{
    GwTime after = s->n_terminations == TERMINATIONS_PER_REQUEST_MAX
                       ? s->terminations[0].at
                       : INT64_MIN;
    unsigned n_terminated = 0;
    unsigned n_in_flight = 0;

    for (size_t i = 0; i < count_stored_terminations_(q); i++) {
        const StoredTermination *stored = &q->stored_terminations[i];

        n_terminated += stored->termination.at > after &&
                        counts_for_group_(stored, s, termination);
    }
    for (unsigned i = 0; i < s->n_terminations; i++) {
        const StoredTermination *stored =
            g_hash_table_lookup(q->by_endpoint, &s->terminations[i].endpoint);

        n_in_flight += stored != NULL && stored->termination.at > after &&
                       counts_for_group_(stored, s, termination);
    }
    return n_in_flight >= n_terminated;
}

// Whether this termination is of the same group and time and not attributed to
// a request other than @p s.
static bool
counts_for_group_(const StoredTermination *stored, const Suspect *s,
                  const Termination *termination)
{
    return stored->termination.group == termination->group &&
           are_simultaneous_(stored->termination.at, termination->at) &&
           !is_attributed_to_another_(stored, s);
}

// Endpoints that terminated simultaneously with a termination of this request.
static unsigned
count_simultaneous_terminations_(const GwQuarantine *q, const Suspect *s)
{
    unsigned n = 0;

    for (size_t i = 0; i < count_stored_terminations_(q); i++) {
        bool simultaneous = false;

        for (unsigned k = 0; k < s->n_terminations; k++)
            simultaneous =
                simultaneous ||
                are_simultaneous_(q->stored_terminations[i].termination.at,
                                  s->terminations[k].at);
        n += simultaneous &&
             !is_attributed_to_another_(&q->stored_terminations[i], s);
    }
    return n;
}

static void
find_main_suspects_(GwQuarantine *q)
{
    const Suspect *s;

    for (size_t i = 0; i < count_stored_terminations_(q); i++) {
        q->stored_terminations[i].main_suspect = NULL;
        q->stored_terminations[i].max_terminations = 0;
    }
    TAILQ_FOREACH(s, &q->repeated, link)
    {
        for (unsigned i = 0; i < s->n_terminations; i++) {
            StoredTermination *stored = g_hash_table_lookup(
                q->by_endpoint, &s->terminations[i].endpoint);

            if (stored != NULL)
                update_main_suspect_(stored, s);
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

static size_t
count_stored_terminations_(const GwQuarantine *q)
{
    return MIN(q->n_added, TERMINATIONS_MAX);
}
