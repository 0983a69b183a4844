#define GW_LOG_PART "quarantine"
#include "galenagw/quarantine/quarantine.h"

#include <string.h>
#include <xxhash.h>

#include "galenagw/base/log.h"

#include "attribution.h"
#include "quarantine_private.h"

/* A retry without an outcome after this time, because its caller disconnected,
 * no longer blocks the next one. */
#define RETRY_TIMEOUT (10 * GW_SECOND)
/* Updates carry ages, and their transit time makes a termination appear later
 * than it was. A completion therefore also clears terminations that are
 * reported as up to this much later. */
#define COMPLETION_TOLERANCE (500 * GW_MILLISECOND)

static StoredTermination *add_termination_(GwQuarantine *q,
                                           const Termination *termination);
static size_t find_place_(const GwQuarantine *q, GwTime at);
static void forget_termination_(GwQuarantine *q, size_t place);
static void forget_in_list_(GwQuarantine *q, struct SuspectList *list,
                            size_t place);
static Suspect *find_or_add_suspect_(GwQuarantine *q, const GwDigest *digest);
static bool add_to_suspect_(GwQuarantine *q, const GwDigest *digest,
                            const StoredTermination *stored, GwTime now);
static void set_in_flight_(Suspect *s, size_t place, bool in_flight);
static void link_suspect_(GwQuarantine *q, Suspect *s);
static void unlink_suspect_(GwQuarantine *q, Suspect *s);
static void update_quarantine_(GwQuarantine *q, Suspect *s);
static GwTime term_after_(unsigned failures);
static bool is_selected_to_retry_(const GwQuarantine *q, const Suspect *s,
                                  uint64_t interval);
static bool has_repeated_(const GwQuarantine *q, const GwDigest *requests,
                          size_t n);
static void update_all_quarantines_(GwQuarantine *q);
static void remove_suspect_(GwQuarantine *q, Suspect *s);
static void remove_expired_suspects_(GwQuarantine *q, struct SuspectList *list,
                                     GwTime now);
static struct SuspectList *list_for_(GwQuarantine *q, const Suspect *s);

uint64_t
GwQuarantine_Group(const char *pool, const char *failure_domain)
{
    const char *domain = failure_domain != NULL ? failure_domain : "";

    return XXH3_64bits_withSeed(pool, strlen(pool),
                                XXH3_64bits(domain, strlen(domain)));
}

void
GwQuarantine_WarnChanged(void *user, const GwDigest *request,
                         unsigned terminations, bool quarantined)
{
    char text[GW_DIGEST_TEXT_SIZE];

    GwDigest_Text(request, text);
    GW_WARN("request %s was in flight when %u endpoints terminated; it is %s",
            text, terminations,
            quarantined ? "refused from now on" : "served again");
}

GwQuarantine *
GwQuarantine_New(const GwQuarantineOptions *options)
{
    GwQuarantine *q = g_new0(GwQuarantine, 1);

    q->options = *options;
    if (options->name != NULL)
        q->name_hash = XXH3_64bits(options->name, strlen(options->name));
    q->processes = 1;
    q->by_digest = g_hash_table_new(GwDigest_Hash, GwDigest_EqualKeys);
    q->by_endpoint = g_hash_table_new(g_int64_hash, g_int64_equal);
    TAILQ_INIT(&q->single);
    TAILQ_INIT(&q->repeated);
    return q;
}

void
GwQuarantine_Delete(GwQuarantine *q)
{
    if (q == NULL)
        return;
    while (!TAILQ_EMPTY(&q->single))
        remove_suspect_(q, TAILQ_FIRST(&q->single));
    while (!TAILQ_EMPTY(&q->repeated))
        remove_suspect_(q, TAILQ_FIRST(&q->repeated));
    g_hash_table_unref(q->by_digest);
    g_hash_table_unref(q->by_endpoint);
    g_free(q);
}

void
GwQuarantine_SetProcesses(GwQuarantine *q, unsigned processes)
{
    q->processes = MAX(processes, 1);
}

bool
GwQuarantine_IsEmpty(const GwQuarantine *q)
{
    return g_hash_table_size(q->by_digest) == 0;
}

size_t
GwQuarantine_AddTermination(GwQuarantine *q,
                            const GwEndpointTermination *termination,
                            GwTime now, GwDigest *new_requests, bool *is_new)
{
    Termination received = {
        .endpoint = termination->endpoint,
        .group = termination->group,
        .group_size = termination->group_size,
        .at = MIN(termination->at, now),
    };
    size_t n_requests =
        MIN(termination->n_requests, GW_TERMINATION_REQUESTS_MAX);
    StoredTermination *stored;
    bool updates_all;
    size_t n = 0;

    *is_new = false;
    if (termination->endpoint == 0 ||
        now - received.at > GW_QUARANTINE_RETENTION)
        return 0;
    stored = g_hash_table_lookup(q->by_endpoint, &termination->endpoint);
    if (stored == NULL) {
        stored = add_termination_(q, &received);
        if (stored == NULL)
            return 0;
        *is_new = true;
    }
    // Updates that wait in a socket while this process is suspended are all
    // received when it resumes, so their terminations seem simultaneous, as if
    // a whole rack had failed. After reconnecting, peers send the terminations
    // again with their current ages; the earlier time is the correct one.
    stored->termination.at = MIN(stored->termination.at, received.at);
    for (size_t i = 0; i < n_requests; i++) {
        if (add_to_suspect_(q, &termination->requests[i], stored, now))
            new_requests[n++] = termination->requests[i];
    }
    // A request without other terminations changes no attribution.
    updates_all = *is_new || has_repeated_(q, new_requests, n);
    if (updates_all)
        update_all_quarantines_(q);
    for (size_t i = 0; i < n_requests; i++) {
        Suspect *s =
            g_hash_table_lookup(q->by_digest, &termination->requests[i]);

        if (s != NULL && !(updates_all && list_for_(q, s) == &q->repeated))
            update_quarantine_(q, s);
    }
    return n;
}

GwTime
GwQuarantine_TerminatedAt(const GwQuarantine *q, uint64_t endpoint)
{
    const StoredTermination *stored =
        g_hash_table_lookup(q->by_endpoint, &endpoint);

    return stored != NULL ? stored->termination.at : 0;
}

// The time of the completion stays recorded until the request is removed, so
// that an earlier termination that is received later does not count.
bool
GwQuarantine_AddCompletion(GwQuarantine *q, const GwDigest *request, GwTime at,
                           GwTime now)
{
    Suspect *s = g_hash_table_lookup(q->by_digest, request);
    GwTime quarantined_until;
    bool is_changed;

    at = MIN(at, now);
    CompletedRequests_Add(&q->completed_requests, request, at);
    if (s == NULL || at <= s->completed_at)
        return false;
    s->completed_at = at;
    quarantined_until = s->quarantined_until;
    is_changed = s->record_until != 0;
    s->last_completed_at = MAX(s->last_completed_at, at);
    unlink_suspect_(q, s);
    for (size_t i = 0; i < q->n_stored; i++) {
        if (Suspect_WasInFlight(s, i) &&
            q->stored_terminations[i].termination.at <=
                at + COMPLETION_TOLERANCE) {
            set_in_flight_(s, i, false);
            is_changed = true;
        }
    }
    s->record_until = 0;
    link_suspect_(q, s);
    update_quarantine_(q, s);
    if (!is_changed && s->quarantined_until == quarantined_until)
        return false;
    s->updated_at = now;
    update_all_quarantines_(q);
    return true;
}

GwTime
GwQuarantine_CompletedAt(const GwQuarantine *q, const GwDigest *request)
{
    const Suspect *s = g_hash_table_lookup(q->by_digest, request);

    return s != NULL ? s->last_completed_at : 0;
}

void
GwQuarantine_Hold(GwQuarantine *q, const GwDigest *request, GwTime until,
                  GwTime now)
{
    Suspect *s;

    if (until <= now)
        return;
    s = find_or_add_suspect_(q, request);
    // A completion has shown that the request is harmless, and clears stored
    // records, too.
    if (s->completed_at != 0)
        return;
    unlink_suspect_(q, s);
    s->record_until = MIN(until, now + GW_QUARANTINE_TERM_MAX);
    link_suspect_(q, s);
    s->updated_at = now;
    update_quarantine_(q, s);
}

GwTime
GwQuarantine_TimeLeft(const GwQuarantine *q, const GwDigest *request,
                      GwTime now)
{
    const Suspect *s = g_hash_table_lookup(q->by_digest, request);
    GwTime interval;

    if (s == NULL || s->quarantined_until == 0)
        return 0;
    if (now < s->quarantined_until)
        return s->quarantined_until - now;
    if (q->options.name == NULL)
        return 0;
    interval = (now - s->quarantined_until) / s->term;
    if (is_selected_to_retry_(q, s, (uint64_t)interval) &&
        now - s->retried_at > RETRY_TIMEOUT)
        return 0;
    return s->quarantined_until + (interval + 1) * s->term - now;
}

GwTime
GwQuarantine_Admit(GwQuarantine *q, const GwDigest *request, GwTime now)
{
    Suspect *s = g_hash_table_lookup(q->by_digest, request);
    GwTime left = GwQuarantine_TimeLeft(q, request, now);

    if (left == 0 && s != NULL && s->quarantined_until != 0)
        s->retried_at = now;
    return left;
}

unsigned
GwQuarantine_Terminations(const GwQuarantine *q, const GwDigest *request)
{
    const Suspect *s = g_hash_table_lookup(q->by_digest, request);

    return s != NULL ? s->n_terminations : 0;
}

void
GwQuarantine_Sweep(GwQuarantine *q, GwTime now)
{
    remove_expired_suspects_(q, &q->single, now);
    remove_expired_suspects_(q, &q->repeated, now);
}

void
GwQuarantine_ForEachCompleted(const GwQuarantine *q, size_t max_requests,
                              void (*fn)(void *user, const GwDigest *request,
                                         GwTime at),
                              void *user)
{
    const Suspect *s;

    TAILQ_FOREACH_REVERSE(s, &q->repeated, SuspectList, link)
    {
        if (s->last_completed_at == 0)
            continue;
        if (max_requests-- == 0)
            return;
        fn(user, &s->digest, s->last_completed_at);
    }
}

void
GwQuarantine_ForEach(const GwQuarantine *q, size_t max_rows,
                     void (*fn)(void *user,
                                const GwEndpointTermination *termination),
                     void *user)
{
    const struct SuspectList *lists[] = {&q->repeated, &q->single};
    const Suspect *s;

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        TAILQ_FOREACH_REVERSE(s, lists[i], SuspectList, link)
        {
            for (size_t k = 0; k < q->n_stored; k++) {
                const Termination *t = &q->stored_terminations[k].termination;
                GwEndpointTermination termination = {
                    .endpoint = t->endpoint,
                    .group = t->group,
                    .group_size = t->group_size,
                    .at = t->at,
                    .requests = &s->digest,
                    .n_requests = 1,
                };

                if (!Suspect_WasInFlight(s, k))
                    continue;
                if (max_rows-- == 0)
                    return;
                fn(user, &termination);
            }
        }
    }
}

// Returns NULL if there is no place.
static StoredTermination *
add_termination_(GwQuarantine *q, const Termination *termination)
{
    size_t place = find_place_(q, termination->at);
    StoredTermination *stored;

    if (place == TERMINATIONS_MAX)
        return NULL;
    if (place < q->n_stored)
        forget_termination_(q, place);
    else
        q->n_stored++;
    stored = &q->stored_terminations[place];
    *stored = (StoredTermination){.termination = *termination};
    g_hash_table_insert(q->by_endpoint, &stored->termination.endpoint, stored);
    q->main_suspects_valid = false;
    return stored;
}

// Finds a place for a termination at this time: a free one, else that of the
// oldest termination, preferably of one at which no request with several was
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
    TAILQ_FOREACH(s, &q->repeated, link)
    {
        for (size_t i = 0; i < TERMINATION_WORDS; i++)
            repeated[i] |= s->in_flight[i];
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
forget_termination_(GwQuarantine *q, size_t place)
{
    g_hash_table_remove(q->by_endpoint,
                        &q->stored_terminations[place].termination.endpoint);
    forget_in_list_(q, &q->repeated, place);
    forget_in_list_(q, &q->single, place);
}

static void
forget_in_list_(GwQuarantine *q, struct SuspectList *list, size_t place)
{
    Suspect *next;

    for (Suspect *s = TAILQ_FIRST(list); s != NULL; s = next) {
        next = TAILQ_NEXT(s, link);
        if (!Suspect_WasInFlight(s, place))
            continue;
        unlink_suspect_(q, s);
        set_in_flight_(s, place, false);
        link_suspect_(q, s);
    }
}

static Suspect *
find_or_add_suspect_(GwQuarantine *q, const GwDigest *digest)
{
    Suspect *s = g_hash_table_lookup(q->by_digest, digest);

    if (s != NULL)
        return s;
    if (g_hash_table_size(q->by_digest) >= GW_QUARANTINE_REQUESTS_MAX) {
        struct SuspectList *list =
            TAILQ_EMPTY(&q->single) ? &q->repeated : &q->single;

        remove_suspect_(q, TAILQ_FIRST(list));
    }
    s = g_new0(Suspect, 1);
    s->digest = *digest;
    s->last_completed_at =
        CompletedRequests_At(&q->completed_requests, digest);
    g_hash_table_insert(q->by_digest, &s->digest, s);
    link_suspect_(q, s);
    return s;
}

// Adds a termination to the request. Returns whether it was new.
static bool
add_to_suspect_(GwQuarantine *q, const GwDigest *digest,
                const StoredTermination *stored, GwTime now)
{
    Suspect *s = find_or_add_suspect_(q, digest);
    size_t place = (size_t)(stored - q->stored_terminations);

    if (Suspect_WasInFlight(s, place))
        return false;
    if (s->completed_at != 0 &&
        stored->termination.at <= s->completed_at + COMPLETION_TOLERANCE)
        return false;
    unlink_suspect_(q, s);
    set_in_flight_(s, place, true);
    link_suspect_(q, s);
    s->updated_at = now;
    return true;
}

static void
set_in_flight_(Suspect *s, size_t place, bool in_flight)
{
    s->in_flight[place / 64] ^= (uint64_t)1 << (place % 64);
    if (in_flight)
        s->n_terminations++;
    else
        s->n_terminations--;
}

static void
link_suspect_(GwQuarantine *q, Suspect *s)
{
    TAILQ_INSERT_TAIL(list_for_(q, s), s, link);
    q->main_suspects_valid = false;
}

static void
unlink_suspect_(GwQuarantine *q, Suspect *s)
{
    TAILQ_REMOVE(list_for_(q, s), s, link);
    q->main_suspects_valid = false;
}

// Puts the request under quarantine or releases it, by the current
// terminations and records, and reports a change.
static void
update_quarantine_(GwQuarantine *q, Suspect *s)
{
    bool was_quarantined = s->quarantined_until != 0;
    bool is_quarantined;
    Cause cause;

    s->quarantined_until = s->record_until;
    s->term = GW_QUARANTINE_TERM_MIN;
    if (Attribution_FindCause(q, s, &cause)) {
        s->term = term_after_(cause.n_failures);
        s->quarantined_until = MAX(s->record_until, cause.last_at + s->term);
    }
    is_quarantined = s->quarantined_until != 0;
    if (is_quarantined != was_quarantined && q->options.on_changed != NULL)
        q->options.on_changed(q->options.user, &s->digest, s->n_terminations,
                              is_quarantined);
}

static GwTime
term_after_(unsigned failures)
{
    GwTime term = GW_QUARANTINE_TERM_MIN;

    for (unsigned n = GW_QUARANTINE_TERMINATIONS;
         n < failures && term < GW_QUARANTINE_TERM_MAX; n++)
        term *= 2;
    return term;
}

// Each process decides pseudo-randomly on its own, so that on average one
// process of the fleet retries the request in each interval. If all of them
// retried it, each could terminate an endpoint before receiving the update on
// the first termination.
static bool
is_selected_to_retry_(const GwQuarantine *q, const Suspect *s,
                      uint64_t interval)
{
    const uint64_t input[] = {q->name_hash, s->digest.account,
                              s->digest.content, interval};
    double fraction =
        (double)XXH3_64bits(input, sizeof(input)) / (double)UINT64_MAX;

    return fraction * q->processes < 1;
}

static bool
has_repeated_(const GwQuarantine *q, const GwDigest *requests, size_t n)
{
    bool has = false;

    for (size_t i = 0; i < n; i++)
        has = has || GwQuarantine_Terminations(q, &requests[i]) > 1;
    return has;
}

// Updates on terminations with a common cause arrive one by one, and the
// requests in flight at one of them in several. A request that looked like the
// cause of the first three may turn out to have been in flight by coincidence,
// or the reverse. If all were not reconsidered, the order of the updates would
// decide.
static void
update_all_quarantines_(GwQuarantine *q)
{
    Suspect *s;

    TAILQ_FOREACH(s, &q->repeated, link)
    {
        if (s->quarantined_until != 0 ||
            s->n_terminations >= GW_QUARANTINE_TERMINATIONS)
            update_quarantine_(q, s);
    }
}

static void
remove_suspect_(GwQuarantine *q, Suspect *s)
{
    unlink_suspect_(q, s);
    g_hash_table_remove(q->by_digest, &s->digest);
    g_free(s);
}

static void
remove_expired_suspects_(GwQuarantine *q, struct SuspectList *list, GwTime now)
{
    Suspect *s;

    while ((s = TAILQ_FIRST(list)) != NULL &&
           now - s->updated_at > GW_QUARANTINE_RETENTION)
        remove_suspect_(q, s);
}

static struct SuspectList *
list_for_(GwQuarantine *q, const Suspect *s)
{
    return s->n_terminations > 1 || s->record_until != 0 ? &q->repeated
                                                         : &q->single;
}
