/* State of a quarantine, shared by its modules. */
#ifndef QUARANTINE_QUARANTINE_PRIVATE_H
#define QUARANTINE_QUARANTINE_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/quarantine/quarantine_options.h"

#include "completed_requests.h"

/* Stored terminations of endpoints, over all requests and parts. */
#define TERMINATIONS_MAX 1024
#define TERMINATION_WORDS (TERMINATIONS_MAX / 64)

/* A termination of an endpoint. */
typedef struct {
    uint64_t endpoint;
    uint64_t group;
    unsigned group_size;
    GwTime at;
} Termination;

/* A request or a part that was in flight at a termination. */
typedef struct Suspect {
    TAILQ_ENTRY(Suspect) link;
    GwDigest digest;
    GwSuspectKind kind;
    uint64_t in_flight[TERMINATION_WORDS]; /* a bit for each place of
                                              GwQuarantine.stored_terminations;
                                              1: was in flight there */
    unsigned n_terminations;               /* bits that are 1 */
    GwTime completed_at; /* time of its last completion since it is tracked;
                            0: none */
    GwTime last_completed_at; /* also before; 0: none known */
    GwTime last_in_flight_at; /* latest of all its terminations, also of
                                 cleared ones; 0: none */
    GwTime updated_at;
    GwTime evaluated_at;      /* see Evaluation_Refresh */
    GwTime quarantined_until; /* refused until then, afterwards retried by
                                 selected processes; 0: not under quarantine */
    GwTime quarantined_at;    /* since when; 0: not under quarantine */
    GwTime term; /* length of the quarantine, and of each retry interval after
                    it */
    GwTime last_failed_at;  /* of a suspect under quarantine: its last
                               termination; 0: only a stored record */
    uint64_t last_endpoint; /* that terminated then */
    unsigned n_rounds;   /* its terminations, those within a second as one */
    GwTime record_until; /* end of a quarantine set by a stored record;
                          0: no record */
    uint64_t record_tie; /* see GwQuarantine_Tie; 0: none */
    GwTime retried_at;
    GwQuarantineSource source; /* of its last termination, or of its record */
} Suspect;

TAILQ_HEAD(SuspectList, Suspect);

/* A termination with the suspect it is attributed to. */
typedef struct {
    Termination termination;
    /* Highest rank, see Suspect_Rank, of the repeated suspects in flight at
     * this termination, and their number of terminations; 0: there are none.
     * The termination is attributed to those of this rank. */
    unsigned max_rank;
    unsigned max_terminations;
    unsigned n_of_max_rank; /* suspects of that rank */
    /* Simultaneous terminations: their first and last place in by_time. */
    uint16_t first_simultaneous;
    uint16_t last_simultaneous;
} StoredTermination;

struct GwQuarantine {
    GwQuarantineOptions options;
    GHashTable *by_digest;
    /* All lists: least recently updated first. Each termination adds many
     * suspects that have no other one, and nearly all of them are harmless. So
     * that they do not evict suspects with several terminations, suspects with
     * at most one termination and no stored record are in the list `single`.
     */
    struct SuspectList single[GW_SUSPECT_KINDS];
    struct SuspectList repeated[GW_SUSPECT_KINDS];
    unsigned n_suspects[GW_SUSPECT_KINDS];
    uint64_t name_hash; /* hash of options.name */
    unsigned processes;
    StoredTermination stored_terminations[TERMINATIONS_MAX];
    size_t n_stored;
    uint16_t by_time[TERMINATIONS_MAX]; /* places of stored_terminations,
                                           oldest first */
    bool is_sorted;                     /* by_time; false: sort before use */
    GHashTable *by_endpoint;            /* endpoint to its StoredTermination */
    bool ranks_valid; /* max_rank; false: recompute before use */
    CompletedRequests completed[GW_SUSPECT_KINDS];
};

static inline bool
Suspect_WasInFlight(const Suspect *s, size_t place)
{
    return (s->in_flight[place / 64] >> (place % 64) & 1) != 0;
}

#endif
