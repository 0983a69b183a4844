#include "suspects.h"

/* Most suspects of each kind that are tracked. */
static const unsigned max_suspects[GW_SUSPECT_KINDS] = {
    [GW_SUSPECT_REQUEST] = GW_QUARANTINE_REQUESTS_MAX,
    [GW_SUSPECT_PART] = GW_QUARANTINE_PARTS_MAX,
};

static struct SuspectList *list_for_(GwQuarantine *q, const Suspect *s);
static void link_(GwQuarantine *q, Suspect *s);
static void unlink_(GwQuarantine *q, Suspect *s);
static void remove_(GwQuarantine *q, Suspect *s);
static void forget_in_list_(GwQuarantine *q, struct SuspectList *list,
                            size_t place);
static void remove_expired_(GwQuarantine *q, struct SuspectList *list,
                            GwTime now);

Suspect *
Suspects_Find(const GwQuarantine *q, const GwDigest *digest)
{
    return g_hash_table_lookup(q->by_digest, digest);
}

Suspect *
Suspects_FindOrAdd(GwQuarantine *q, GwSuspectKind kind, const GwDigest *digest)
{
    Suspect *s = Suspects_Find(q, digest);

    if (s != NULL)
        return s;
    if (q->n_suspects[kind] >= max_suspects[kind]) {
        struct SuspectList *list = TAILQ_EMPTY(&q->single[kind])
                                       ? &q->repeated[kind]
                                       : &q->single[kind];

        remove_(q, TAILQ_FIRST(list));
    }
    s = g_new0(Suspect, 1);
    s->digest = *digest;
    s->kind = kind;
    s->last_completed_at = CompletedRequests_At(&q->completed[kind], digest);
    g_hash_table_insert(q->by_digest, &s->digest, s);
    q->n_suspects[kind]++;
    link_(q, s);
    return s;
}

void
Suspects_SetInFlight(GwQuarantine *q, Suspect *s, size_t place, bool in_flight)
{
    if (Suspect_WasInFlight(s, place) == in_flight)
        return;
    unlink_(q, s);
    s->in_flight[place / 64] ^= (uint64_t)1 << (place % 64);
    if (in_flight)
        s->n_terminations++;
    else
        s->n_terminations--;
    link_(q, s);
}

void
Suspects_SetRecord(GwQuarantine *q, Suspect *s, GwTime until, uint64_t tie)
{
    unlink_(q, s);
    s->record_until = until;
    s->record_tie = tie;
    link_(q, s);
}

void
Suspects_Touch(GwQuarantine *q, Suspect *s, GwTime now)
{
    unlink_(q, s);
    s->updated_at = now;
    link_(q, s);
}

void
Suspects_ForgetTermination(GwQuarantine *q, size_t place)
{
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        forget_in_list_(q, &q->repeated[kind], place);
        forget_in_list_(q, &q->single[kind], place);
    }
}

void
Suspects_RemoveExpired(GwQuarantine *q, GwTime now)
{
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        remove_expired_(q, &q->single[kind], now);
        remove_expired_(q, &q->repeated[kind], now);
    }
}

void
Suspects_RemoveAll(GwQuarantine *q)
{
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        while (!TAILQ_EMPTY(&q->single[kind]))
            remove_(q, TAILQ_FIRST(&q->single[kind]));
        while (!TAILQ_EMPTY(&q->repeated[kind]))
            remove_(q, TAILQ_FIRST(&q->repeated[kind]));
    }
}

bool
Suspect_IsHarmlessPart(const Suspect *s)
{
    return s->kind == GW_SUSPECT_PART && s->last_completed_at != 0 &&
           s->last_in_flight_at - s->last_completed_at <
               GW_QUARANTINE_HARMLESS_TIME;
}

unsigned
Suspect_Rank(const Suspect *s)
{
    return 2 * s->n_terminations + (s->kind == GW_SUSPECT_REQUEST);
}

static struct SuspectList *
list_for_(GwQuarantine *q, const Suspect *s)
{
    return s->n_terminations > 1 || s->record_until != 0
               ? &q->repeated[s->kind]
               : &q->single[s->kind];
}

static void
link_(GwQuarantine *q, Suspect *s)
{
    TAILQ_INSERT_TAIL(list_for_(q, s), s, link);
    q->ranks_valid = false;
}

static void
unlink_(GwQuarantine *q, Suspect *s)
{
    TAILQ_REMOVE(list_for_(q, s), s, link);
    q->ranks_valid = false;
}

static void
remove_(GwQuarantine *q, Suspect *s)
{
    unlink_(q, s);
    g_hash_table_remove(q->by_digest, &s->digest);
    q->n_suspects[s->kind]--;
    g_free(s);
}

static void
forget_in_list_(GwQuarantine *q, struct SuspectList *list, size_t place)
{
    Suspect *next;

    for (Suspect *s = TAILQ_FIRST(list); s != NULL; s = next) {
        next = TAILQ_NEXT(s, link);
        Suspects_SetInFlight(q, s, place, false);
    }
}

static void
remove_expired_(GwQuarantine *q, struct SuspectList *list, GwTime now)
{
    Suspect *s;

    while ((s = TAILQ_FIRST(list)) != NULL &&
           now - s->updated_at > GW_QUARANTINE_RETENTION)
        remove_(q, s);
}
