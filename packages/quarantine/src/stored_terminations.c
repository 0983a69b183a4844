#include "stored_terminations.h"

#include "suspects.h"

/* Times of one termination that are reported by several peers differ by less
 * than this, which decides nothing. */
#define TRANSIT_TIME (100 * GW_MILLISECOND)

static size_t find_place_(const GwQuarantine *q, GwTime at);
static void forget_(GwQuarantine *q, size_t place);
static GwTime time_of_(const GwQuarantine *q, size_t rank);
static void sort_by_time_(GwQuarantine *q);

StoredTermination *
StoredTerminations_Add(GwQuarantine *q, const Termination *termination)
{
    size_t place = find_place_(q, termination->at);
    StoredTermination *stored;

    if (place == TERMINATIONS_MAX)
        return NULL;
    if (place < q->n_stored)
        forget_(q, place);
    else
        q->by_time[q->n_stored++] = (uint16_t)place;
    stored = &q->stored_terminations[place];
    *stored = (StoredTermination){.termination = *termination};
    g_hash_table_insert(q->by_endpoint, &stored->termination.endpoint, stored);
    q->ranks_valid = false;
    q->is_sorted = false;
    return stored;
}

bool
StoredTerminations_SetEarlier(GwQuarantine *q, StoredTermination *stored,
                              GwTime at)
{
    GwTime difference = stored->termination.at - at;

    if (difference <= 0)
        return false;
    stored->termination.at = at;
    q->is_sorted = false;
    return difference > TRANSIT_TIME;
}

void
StoredTerminations_Sort(GwQuarantine *q)
{
    size_t first = 0;
    size_t last = 0;

    if (q->is_sorted)
        return;
    sort_by_time_(q);
    for (size_t i = 0; i < q->n_stored; i++) {
        StoredTermination *stored = &q->stored_terminations[q->by_time[i]];

        while (!StoredTerminations_AreSimultaneous(time_of_(q, first),
                                                   time_of_(q, i)))
            first++;
        while (last + 1 < q->n_stored &&
               StoredTerminations_AreSimultaneous(time_of_(q, last + 1),
                                                  time_of_(q, i)))
            last++;
        stored->first_simultaneous = (uint16_t)first;
        stored->last_simultaneous = (uint16_t)last;
    }
    q->is_sorted = true;
}

// By insertion, as nearly all are in order.
static void
sort_by_time_(GwQuarantine *q)
{
    for (size_t i = 1; i < q->n_stored; i++) {
        uint16_t place = q->by_time[i];
        GwTime at = q->stored_terminations[place].termination.at;
        size_t k;

        for (k = i; k > 0 && time_of_(q, k - 1) > at; k--)
            q->by_time[k] = q->by_time[k - 1];
        q->by_time[k] = place;
    }
}

static GwTime
time_of_(const GwQuarantine *q, size_t rank)
{
    return q->stored_terminations[q->by_time[rank]].termination.at;
}

// Finds a place for a termination at this time: a free one, else that of the
// oldest termination, preferably of one at which no suspect with several was
// in flight. Returns TERMINATIONS_MAX if that one is not older: if it were
// replaced, each of the two would count as new whenever a peer sends it, and
// be gossiped for ever.
static size_t
find_place_(const GwQuarantine *q, GwTime at)
{
    uint64_t repeated[TERMINATION_WORDS] = {0};
    size_t oldest[2] = {TERMINATIONS_MAX, TERMINATIONS_MAX};
    const Suspect *s;
    size_t place;

    if (q->n_stored < TERMINATIONS_MAX)
        return q->n_stored;
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        TAILQ_FOREACH(s, &q->repeated[kind], link)
        {
            // Harmless parts are in flight at nearly all terminations.
            if (Suspect_IsHarmlessPart(s))
                continue;
            for (size_t i = 0; i < TERMINATION_WORDS; i++)
                repeated[i] |= s->in_flight[i];
        }
    }
    for (size_t i = 0; i < TERMINATIONS_MAX; i++) {
        size_t *o = &oldest[repeated[i / 64] >> (i % 64) & 1];

        if (*o == TERMINATIONS_MAX ||
            q->stored_terminations[i].termination.at <
                q->stored_terminations[*o].termination.at)
            *o = i;
    }
    place = oldest[oldest[0] == TERMINATIONS_MAX];
    return q->stored_terminations[place].termination.at < at
               ? place
               : TERMINATIONS_MAX;
}

static void
forget_(GwQuarantine *q, size_t place)
{
    g_hash_table_remove(q->by_endpoint,
                        &q->stored_terminations[place].termination.endpoint);
    Suspects_ForgetTermination(q, place);
}
