#define GW_LOG_PART "quarantine"
#include "galenagw/quarantine/quarantine.h"

#include <string.h>
#include <xxhash.h>

#include "galenagw/base/log.h"

#include "evaluation.h"
#include "retries.h"
#include "stored_terminations.h"
#include "suspects.h"
#include "ties.h"

/* Updates carry ages, and their transit time makes a termination appear later
 * than it was. A completion therefore also clears terminations that are
 * reported as up to this much later. */
#define COMPLETION_TOLERANCE (500 * GW_MILLISECOND)
/* Terminations of a part that are sent to a peer, the latest ones: more would
 * not change its quarantine, and take the rows of others. */
#define PART_ROWS_MAX 8

const char *const GwQuarantineSource_Names[GW_QUARANTINE_SOURCES] = {
    [GW_QUARANTINE_SOURCE_OWN] = "own",
    [GW_QUARANTINE_SOURCE_PEER] = "peer",
    [GW_QUARANTINE_SOURCE_STORE] = "store",
};

/* Rows that are still to be passed to a callback. */
typedef struct {
    size_t rows_left;
    void (*fn)(void *user, const GwEndpointTermination *termination);
    void *user;
} RowSink;

static void add_part_(GwQuarantine *q, const GwPartInFlight *part,
                      const StoredTermination *stored,
                      GwQuarantineSource source, GwTime now,
                      GwInFlight *added);
static bool add_in_flight_(GwQuarantine *q, Suspect *s,
                           const StoredTermination *stored,
                           GwQuarantineSource source, GwTime now);
static unsigned clear_terminations_(GwQuarantine *q, Suspect *s,
                                    GwTime completed_at);
static bool has_repeated_(const GwQuarantine *q, const GwInFlight *added);
static void send_list_(const GwQuarantine *q, const struct SuspectList *list,
                       RowSink *sink);
static void send_rows_(const GwQuarantine *q, const Suspect *s, RowSink *sink);

uint64_t
GwQuarantine_Group(const char *pool, const char *failure_domain)
{
    const char *domain = failure_domain != NULL ? failure_domain : "";

    return XXH3_64bits_withSeed(pool, strlen(pool),
                                XXH3_64bits(domain, strlen(domain)));
}

void
GwEndpointTermination_SetInFlight(GwEndpointTermination *termination,
                                  const GwInFlight *in_flight)
{
    termination->requests = in_flight->requests;
    termination->n_requests = in_flight->n_requests;
    termination->parts = in_flight->parts;
    termination->n_parts = in_flight->n_parts;
}

void
GwQuarantine_WarnChanged(void *user, const GwQuarantineChange *change)
{
    char text[GW_DIGEST_TEXT_SIZE];

    GwDigest_Text(&change->digest, text);
    GW_WARN("%s %s was in flight when %u endpoints terminated; it is %s",
            change->kind == GW_SUSPECT_PART ? "message" : "request", text,
            change->n_terminations,
            change->is_quarantined ? "refused from now on" : "served again");
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
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        TAILQ_INIT(&q->single[kind]);
        TAILQ_INIT(&q->repeated[kind]);
    }
    return q;
}

void
GwQuarantine_Delete(GwQuarantine *q)
{
    if (q == NULL)
        return;
    Suspects_RemoveAll(q);
    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++)
        CompletedRequests_Clear(&q->completed[kind]);
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
                            GwTime now, GwInFlight *added, bool *is_new)
{
    Termination received = {
        .endpoint = termination->endpoint,
        .group = termination->group,
        .group_size = termination->group_size,
        .at = MIN(termination->at, now),
    };
    size_t n_requests =
        MIN(termination->n_requests, GW_TERMINATION_REQUESTS_MAX);
    size_t n_parts = MIN(termination->n_parts, GW_TERMINATION_PARTS_MAX);
    StoredTermination *stored;
    bool is_earlier;

    *is_new = false;
    added->n_requests = added->n_parts = 0;
    if (termination->endpoint == 0 ||
        now - received.at > GW_QUARANTINE_RETENTION)
        return 0;
    stored = g_hash_table_lookup(q->by_endpoint, &termination->endpoint);
    if (stored == NULL) {
        stored = StoredTerminations_Add(q, &received);
        if (stored == NULL)
            return 0;
        *is_new = true;
    }
    // Updates that wait in a socket while this process is suspended are all
    // received when it resumes, so their terminations seem simultaneous, as if
    // a whole rack had failed. After reconnecting, peers send the terminations
    // again with their current ages; the earlier time is the correct one.
    is_earlier = StoredTerminations_SetEarlier(q, stored, received.at);
    for (size_t i = 0; i < n_requests; i++) {
        Suspect *s = Suspects_FindOrAdd(q, GW_SUSPECT_REQUEST,
                                        &termination->requests[i]);

        if (add_in_flight_(q, s, stored, termination->source, now))
            added->requests[added->n_requests++] = termination->requests[i];
    }
    for (size_t i = 0; i < n_parts; i++)
        add_part_(q, &termination->parts[i], stored, termination->source, now,
                  added);
    // A suspect without other terminations changes no attribution.
    if (*is_new || is_earlier || has_repeated_(q, added))
        Evaluation_UpdateAll(q, now);
    return added->n_requests + added->n_parts;
}

GwTime
GwQuarantine_TerminatedAt(const GwQuarantine *q, uint64_t endpoint)
{
    const StoredTermination *stored =
        g_hash_table_lookup(q->by_endpoint, &endpoint);

    return stored != NULL ? stored->termination.at : 0;
}

// The time of the completion stays recorded until the suspect is removed, so
// that an earlier termination that is received later does not count.
bool
GwQuarantine_AddCompletion(GwQuarantine *q, GwSuspectKind kind,
                           const GwDigest *suspect, GwTime at, GwTime now)
{
    Suspect *s = Suspects_Find(q, suspect);
    GwTime quarantined_until;
    unsigned n_cleared;
    bool had_record;
    bool has_competed;
    bool is_released;

    at = MIN(at, now);
    CompletedRequests_Add(&q->completed[kind], suspect, at);
    if (s == NULL || at <= s->completed_at)
        return false;
    has_competed = s->n_terminations > 1 && !Suspect_IsHarmlessPart(s);
    s->completed_at = at;
    s->last_completed_at = MAX(s->last_completed_at, at);
    quarantined_until = s->quarantined_until;
    had_record = s->record_until != 0;
    n_cleared = clear_terminations_(q, s, at);
    // Nothing else depends on the time of a completion.
    if (n_cleared == 0 && !had_record && s->n_terminations < 2)
        return false;
    if (n_cleared > 0 || had_record) {
        Suspects_SetRecord(q, s, 0, 0);
        Suspects_Touch(q, s, now);
    }
    // A part may have become a harmless one, which does not compete.
    q->ranks_valid = false;
    Evaluation_Update(q, s, now);
    is_released = quarantined_until != s->quarantined_until;
    if (n_cleared == 0 && !had_record && !is_released)
        return false;
    if (has_competed)
        Evaluation_UpdateAll(q, now);
    // One termination of a part has no effect at peers either, and many parts
    // are in flight at each.
    return kind == GW_SUSPECT_REQUEST || n_cleared > 1 || had_record ||
           is_released;
}

GwTime
GwQuarantine_CompletedAt(const GwQuarantine *q, const GwDigest *suspect)
{
    const Suspect *s = Suspects_Find(q, suspect);

    return s != NULL ? s->last_completed_at : 0;
}

void
GwQuarantine_Hold(GwQuarantine *q, GwSuspectKind kind, const GwDigest *suspect,
                  GwTime until, uint64_t tie, GwTime now)
{
    Suspect *s;

    if (until <= now)
        return;
    s = Suspects_FindOrAdd(q, kind, suspect);
    // A completion has shown that the suspect is harmless, and clears stored
    // records, too.
    if (s->completed_at != 0)
        return;
    if (s->n_terminations == 0)
        s->source = GW_QUARANTINE_SOURCE_STORE;
    Suspects_SetRecord(q, s, MIN(until, now + GW_QUARANTINE_TERM_MAX), tie);
    Suspects_Touch(q, s, now);
    Evaluation_Update(q, s, now);
}

uint64_t
GwQuarantine_Tie(const GwQuarantine *q, const GwDigest *part)
{
    const Suspect *s = Suspects_Find(q, part);

    return s != NULL && s->kind == GW_SUSPECT_PART ? Ties_Hash(q, s) : 0;
}

GwTime
GwQuarantine_TimeLeft(const GwQuarantine *q, const GwDigest *suspect,
                      GwTime now)
{
    const Suspect *s = Suspects_Find(q, suspect);

    if (s == NULL || s->quarantined_until == 0)
        return 0;
    return Retries_TimeLeft(q, s, now);
}

GwTime
GwQuarantine_RecordTime(const GwQuarantine *q, const GwDigest *suspect,
                        GwTime now)
{
    const Suspect *s = Suspects_Find(q, suspect);

    return s == NULL || Suspect_IsHarmlessPart(s)
               ? 0
               : GwQuarantine_TimeLeft(q, suspect, now);
}

unsigned
GwQuarantine_Terminations(const GwQuarantine *q, const GwDigest *suspect)
{
    const Suspect *s = Suspects_Find(q, suspect);

    return s != NULL ? s->n_terminations : 0;
}

void
GwQuarantine_Sweep(GwQuarantine *q, GwTime now)
{
    Suspects_RemoveExpired(q, now);
}

void
GwQuarantine_ForEachCompleted(const GwQuarantine *q, size_t max_rows,
                              void (*fn)(void *user, GwSuspectKind kind,
                                         const GwDigest *suspect, GwTime at),
                              void *user)
{
    const Suspect *s;

    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        TAILQ_FOREACH_REVERSE(s, &q->repeated[kind], SuspectList, link)
        {
            if (s->last_completed_at == 0)
                continue;
            if (max_rows-- == 0)
                return;
            fn(user, s->kind, &s->digest, s->last_completed_at);
        }
    }
}

void
GwQuarantine_ForEach(const GwQuarantine *q, size_t max_rows,
                     void (*fn)(void *user,
                                const GwEndpointTermination *termination),
                     void *user)
{
    RowSink sink = {max_rows, fn, user};

    send_list_(q, &q->repeated[GW_SUSPECT_REQUEST], &sink);
    send_list_(q, &q->repeated[GW_SUSPECT_PART], &sink);
    send_list_(q, &q->single[GW_SUSPECT_REQUEST], &sink);
    send_list_(q, &q->single[GW_SUSPECT_PART], &sink);
}

static void
send_list_(const GwQuarantine *q, const struct SuspectList *list,
           RowSink *sink)
{
    const Suspect *s;

    TAILQ_FOREACH_REVERSE(s, list, SuspectList, link)
    {
        // Harmless parts would take most of the rows.
        if (s->quarantined_until != 0 || !Suspect_IsHarmlessPart(s))
            send_rows_(q, s, sink);
    }
}

static void
send_rows_(const GwQuarantine *q, const Suspect *s, RowSink *sink)
{
    const GwPartInFlight part = {s->digest, s->last_completed_at};
    bool is_part = s->kind == GW_SUSPECT_PART;
    size_t n_skipped =
        is_part ? (size_t)MAX((int)s->n_terminations - PART_ROWS_MAX, 0) : 0;

    for (size_t i = 0; i < q->n_stored; i++) {
        const Termination *t =
            &q->stored_terminations[q->by_time[i]].termination;
        GwEndpointTermination termination = {
            .endpoint = t->endpoint,
            .group = t->group,
            .group_size = t->group_size,
            .at = t->at,
            .requests = &s->digest,
            .n_requests = !is_part,
            .parts = &part,
            .n_parts = is_part,
        };

        if (!Suspect_WasInFlight(s, q->by_time[i]))
            continue;
        if (n_skipped > 0) {
            n_skipped--;
            continue;
        }
        if (sink->rows_left == 0)
            return;
        sink->rows_left--;
        sink->fn(sink->user, &termination);
    }
}

static void
add_part_(GwQuarantine *q, const GwPartInFlight *part,
          const StoredTermination *stored, GwQuarantineSource source,
          GwTime now, GwInFlight *added)
{
    Suspect *s = Suspects_FindOrAdd(q, GW_SUSPECT_PART, &part->digest);

    if (part->completed_at > s->last_completed_at) {
        s->last_completed_at = MIN(part->completed_at, now);
        q->ranks_valid = false;
    }
    if (add_in_flight_(q, s, stored, source, now))
        added->parts[added->n_parts++] =
            (GwPartInFlight){part->digest, s->last_completed_at};
}

// Adds a termination to the suspect. Returns whether it was new.
static bool
add_in_flight_(GwQuarantine *q, Suspect *s, const StoredTermination *stored,
               GwQuarantineSource source, GwTime now)
{
    size_t place = (size_t)(stored - q->stored_terminations);

    if (Suspect_WasInFlight(s, place))
        return false;
    if (s->completed_at != 0 &&
        stored->termination.at <= s->completed_at + COMPLETION_TOLERANCE)
        return false;
    Suspects_SetInFlight(q, s, place, true);
    Suspects_Touch(q, s, now);
    s->last_in_flight_at = MAX(s->last_in_flight_at, stored->termination.at);
    s->source = source;
    return true;
}

// Clears the terminations before a completion. Returns their number.
static unsigned
clear_terminations_(GwQuarantine *q, Suspect *s, GwTime completed_at)
{
    unsigned n = 0;

    for (size_t i = 0; s->n_terminations > 0 && i < q->n_stored; i++) {
        if (!Suspect_WasInFlight(s, i) ||
            q->stored_terminations[i].termination.at >
                completed_at + COMPLETION_TOLERANCE)
            continue;
        Suspects_SetInFlight(q, s, i, false);
        n++;
    }
    return n;
}

static bool
has_repeated_(const GwQuarantine *q, const GwInFlight *added)
{
    bool has = false;

    for (size_t i = 0; i < added->n_requests; i++)
        has = has || GwQuarantine_Terminations(q, &added->requests[i]) > 1;
    for (size_t i = 0; i < added->n_parts; i++)
        has = has || GwQuarantine_Terminations(q, &added->parts[i].digest) > 1;
    return has;
}
