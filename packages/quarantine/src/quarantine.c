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

static void add_termination_(GwQuarantine *q, const Termination *termination);
static Suspect *find_or_add_suspect_(GwQuarantine *q, const GwDigest *digest);
static bool add_to_suspect_(GwQuarantine *q, const GwDigest *digest,
                            const Termination *termination, GwTime now);
static void correct_termination_time_(Suspect *s, unsigned i,
                                      const Termination *corrected);
static void insert_termination_(Suspect *s, const Termination *termination);
static void link_suspect_(GwQuarantine *q, Suspect *s);
static void unlink_suspect_(GwQuarantine *q, Suspect *s);
static void update_quarantine_(GwQuarantine *q, Suspect *s);
static GwTime term_after_(unsigned terminations);
static bool is_selected_to_retry_(const GwQuarantine *q, const Suspect *s,
                                  uint64_t interval);
static void update_active_quarantines_(GwQuarantine *q);
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
    size_t n = 0;

    *is_new = false;
    if (termination->endpoint == 0 ||
        now - received.at > GW_QUARANTINE_RETENTION)
        return 0;
    stored = g_hash_table_lookup(q->by_endpoint, &termination->endpoint);
    *is_new = stored == NULL;
    if (stored == NULL)
        add_termination_(q, &received);
    else
        stored->termination.at = MIN(stored->termination.at, received.at);
    for (size_t i = 0; i < n_requests; i++) {
        if (add_to_suspect_(q, &termination->requests[i], &received, now))
            new_requests[n++] = termination->requests[i];
    }
    for (size_t i = 0; i < n_requests; i++) {
        Suspect *s =
            g_hash_table_lookup(q->by_digest, &termination->requests[i]);

        if (s != NULL)
            update_quarantine_(q, s);
    }
    if (*is_new || n > 0)
        update_active_quarantines_(q);
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
    unsigned n_kept = 0;

    at = MIN(at, now);
    CompletedRequests_Add(&q->completed_requests, request);
    if (s == NULL || at <= s->completed_at)
        return false;
    s->completed_at = at;
    s->has_completed = true;
    for (unsigned i = 0; i < s->n_terminations; i++) {
        if (s->terminations[i].at > at + COMPLETION_TOLERANCE)
            s->terminations[n_kept++] = s->terminations[i];
    }
    if (n_kept == s->n_terminations && s->record_until == 0)
        return false;
    unlink_suspect_(q, s);
    s->n_terminations = n_kept;
    s->record_until = 0;
    link_suspect_(q, s);
    s->updated_at = now;
    update_quarantine_(q, s);
    return true;
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
            for (unsigned k = 0; k < s->n_terminations; k++) {
                GwEndpointTermination termination = {
                    .endpoint = s->terminations[k].endpoint,
                    .group = s->terminations[k].group,
                    .group_size = s->terminations[k].group_size,
                    .at = s->terminations[k].at,
                    .requests = &s->digest,
                    .n_requests = 1,
                };

                if (max_rows-- == 0)
                    return;
                fn(user, &termination);
            }
        }
    }
}

static void
add_termination_(GwQuarantine *q, const Termination *termination)
{
    StoredTermination *slot =
        &q->stored_terminations[q->n_added % TERMINATIONS_MAX];

    if (q->n_added >= TERMINATIONS_MAX)
        g_hash_table_remove(q->by_endpoint, &slot->termination.endpoint);
    *slot = (StoredTermination){.termination = *termination};
    g_hash_table_insert(q->by_endpoint, &slot->termination.endpoint, slot);
    q->n_added++;
    q->main_suspects_valid = false;
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
    s->has_completed = CompletedRequests_Has(&q->completed_requests, digest);
    g_hash_table_insert(q->by_digest, &s->digest, s);
    link_suspect_(q, s);
    return s;
}

// Adds a termination to the request. Returns whether it was new.
static bool
add_to_suspect_(GwQuarantine *q, const GwDigest *digest,
                const Termination *termination, GwTime now)
{
    Suspect *s = find_or_add_suspect_(q, digest);

    for (unsigned i = 0; i < s->n_terminations; i++) {
        if (s->terminations[i].endpoint != termination->endpoint)
            continue;
        correct_termination_time_(s, i, termination);
        return false;
    }
    if (s->completed_at != 0 &&
        termination->at <= s->completed_at + COMPLETION_TOLERANCE)
        return false;
    // Without this check a termination that was dropped for newer ones would
    // count as new whenever a peer sends it, and be gossiped for ever.
    if (s->n_terminations == TERMINATIONS_PER_REQUEST_MAX &&
        termination->at <= s->terminations[0].at)
        return false;
    unlink_suspect_(q, s);
    insert_termination_(s, termination);
    link_suspect_(q, s);
    s->updated_at = now;
    return true;
}

// Updates that wait in a socket while this process is suspended are all
// received when it resumes, so their terminations seem simultaneous, as if a
// whole rack had failed. After reconnecting, peers send the terminations again
// with their current ages; the earlier of the two times is the correct one.
static void
correct_termination_time_(Suspect *s, unsigned i, const Termination *corrected)
{
    if (corrected->at >= s->terminations[i].at)
        return;
    memmove(s->terminations + i, s->terminations + i + 1,
            (s->n_terminations - i - 1) * sizeof(s->terminations[0]));
    s->n_terminations--;
    insert_termination_(s, corrected);
}

static void
insert_termination_(Suspect *s, const Termination *termination)
{
    unsigned at;

    if (s->n_terminations == TERMINATIONS_PER_REQUEST_MAX) {
        memmove(s->terminations, s->terminations + 1,
                (TERMINATIONS_PER_REQUEST_MAX - 1) *
                    sizeof(s->terminations[0]));
        s->n_terminations--;
    }
    for (at = s->n_terminations;
         at > 0 && s->terminations[at - 1].at > termination->at; at--)
        s->terminations[at] = s->terminations[at - 1];
    s->terminations[at] = *termination;
    s->n_terminations++;
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

    s->quarantined_until = s->record_until;
    s->term = GW_QUARANTINE_TERM_MIN;
    if (Attribution_IsCause(q, s)) {
        s->term = term_after_(s->n_terminations);
        s->quarantined_until =
            MAX(s->record_until,
                s->terminations[s->n_terminations - 1].at + s->term);
    }
    is_quarantined = s->quarantined_until != 0;
    if (is_quarantined != was_quarantined && q->options.on_changed != NULL)
        q->options.on_changed(q->options.user, &s->digest, s->n_terminations,
                              is_quarantined);
}

// The quarantine term after so many terminations.
static GwTime
term_after_(unsigned terminations)
{
    GwTime term = GW_QUARANTINE_TERM_MIN;

    for (unsigned n = GW_QUARANTINE_TERMINATIONS;
         n < terminations && term < GW_QUARANTINE_TERM_MAX; n++)
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

// Updates on terminations with a common cause arrive one by one, and the
// requests in flight at one of them in several. A request that looked like the
// cause of the first three may turn out to have been in flight by coincidence.
// If its quarantine were not reconsidered, it would be refused for the whole
// term.
static void
update_active_quarantines_(GwQuarantine *q)
{
    Suspect *s;

    TAILQ_FOREACH(s, &q->repeated, link)
    {
        if (s->quarantined_until != 0)
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
