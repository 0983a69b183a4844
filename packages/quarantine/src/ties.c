#include "ties.h"

#include "suspects.h"

/* A part is tied with another one if it was in flight at this share of the
 * other's terminations: one more of another cause does not separate them. */
#define TIED_SHARE 0.8

static bool is_tied_(const Suspect *s, const Suspect *other);
static bool contains_(const GwRequestIdentity *request, const GwDigest *part);

bool
Ties_ContainsAll(const GwQuarantine *q, const GwRequestIdentity *request,
                 const Suspect *s)
{
    const Suspect *other;

    TAILQ_FOREACH(other, &q->repeated[GW_SUSPECT_PART], link)
    {
        if (is_tied_(s, other) && !contains_(request, &other->digest))
            return false;
    }
    return true;
}

uint64_t
Ties_Hash(const GwQuarantine *q, const Suspect *s)
{
    const Suspect *other;
    uint64_t hash = s->digest.content;
    unsigned n = 0;

    // The order of the list differs between processes, so it must not matter.
    TAILQ_FOREACH(other, &q->repeated[GW_SUSPECT_PART], link)
    {
        if (!is_tied_(s, other))
            continue;
        hash += other->digest.content;
        n++;
    }
    return n > 0 ? MAX(hash & INT64_MAX, 1) : 0;
}

// A record in the store does not say at which terminations its part was in
// flight, but which others were tied with it.
static bool
is_tied_(const Suspect *s, const Suspect *other)
{
    unsigned n_common = 0;

    if (other == s || Suspect_IsHarmlessPart(other))
        return false;
    if (s->record_tie != 0 && other->record_tie == s->record_tie)
        return true;
    if (other->n_terminations < GW_QUARANTINE_TERMINATIONS)
        return false;
    for (size_t i = 0; i < TERMINATION_WORDS; i++)
        n_common += (unsigned)__builtin_popcountll(s->in_flight[i] &
                                                   other->in_flight[i]);
    return n_common > 0 && n_common >= TIED_SHARE * s->n_terminations;
}

static bool
contains_(const GwRequestIdentity *request, const GwDigest *part)
{
    for (unsigned i = 0; i < request->n_parts; i++) {
        if (GwDigest_Equal(&request->parts[i], part))
            return true;
    }
    return false;
}
