/* State of a quarantine, shared by its modules. */
#ifndef QUARANTINE_QUARANTINE_PRIVATE_H
#define QUARANTINE_QUARANTINE_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/quarantine/quarantine_options.h"

#include "completed_requests.h"

/* Stored terminations of endpoints, over all requests. */
#define TERMINATIONS_MAX 1024
#define TERMINATION_WORDS (TERMINATIONS_MAX / 64)

/* A termination of an endpoint. */
typedef struct {
    uint64_t endpoint;
    uint64_t group;
    unsigned group_size;
    GwTime at;
} Termination;

typedef struct Suspect {
    TAILQ_ENTRY(Suspect) link;
    GwDigest digest;
    uint64_t in_flight[TERMINATION_WORDS]; /* a bit for each place of
                                              GwQuarantine.stored_terminations;
                                              1: was in flight there */
    unsigned n_terminations;               /* bits that are 1 */
    GwTime completed_at; /* time of its last completion since it is tracked;
                            0: none */
    GwTime last_completed_at; /* also before; 0: none known */
    GwTime updated_at;
    GwTime quarantined_until; /* refused until then, afterwards retried by
                                 selected processes; 0: not under quarantine */
    GwTime term; /* length of the quarantine, and of each retry interval after
                    it */
    GwTime record_until; /* end of a quarantine set by a stored record;
                          0: no record */
    GwTime retried_at;
} Suspect;

TAILQ_HEAD(SuspectList, Suspect);

/* A termination with the request it is attributed to. */
typedef struct {
    Termination termination;
    /* The request with the most terminations among the repeated ones in flight
     * at this termination; NULL if there is none or several are tied. */
    const Suspect *main_suspect;
    unsigned max_terminations; /* highest number of terminations among those
                                  requests */
} StoredTermination;

struct GwQuarantine {
    GwQuarantineOptions options;
    GHashTable *by_digest;
    /* Both lists: least recently updated first. Each termination adds many
     * requests that have no other one, and nearly all of them are harmless. So
     * that they do not evict requests with several terminations, requests with
     * at most one termination and no stored record are in the list `single`.
     */
    struct SuspectList single;
    struct SuspectList repeated;
    uint64_t name_hash; /* hash of options.name */
    unsigned processes;
    StoredTermination stored_terminations[TERMINATIONS_MAX];
    size_t n_stored;
    GHashTable *by_endpoint;  /* endpoint to its StoredTermination */
    bool main_suspects_valid; /* false: recompute before use */
    CompletedRequests completed_requests;
};

static inline bool
Suspect_WasInFlight(const Suspect *s, size_t place)
{
    return (s->in_flight[place / 64] >> (place % 64) & 1) != 0;
}

#endif
