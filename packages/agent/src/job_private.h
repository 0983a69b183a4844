/* The state of a job, shared by the modules job, answer and keyed. */
#ifndef GALENAGW_AGENT_JOB_PRIVATE_H
#define GALENAGW_AGENT_JOB_PRIVATE_H

/* XXH64_state_t is embedded in Job, so its size must be known. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "agent_private.h"
#include "claims.h"

typedef struct Job Job;
typedef struct KeyState KeyState;

typedef enum {
    JOB_CLAIMING = 0, /* its idempotency key is being claimed */
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_FOLLOWING, /* waits for the answer of another job with its key */
    JOB_FINISHED,  /* the answer is complete or broken off; it is stored until
                      the entry has acknowledged it */
    JOB_STATES
} JobState;

extern const char *const JobState_Names[JOB_STATES];

/* Called for a job with an idempotency key when its claim is decided. */
typedef struct {
    /* Queue the job. This may start it, or refuse and delete it. */
    void (*enqueue)(Job *job);
    /* Refuse the job and delete it. */
    void (*refuse)(Job *job, GwRefusal refusal, GwRan ran, const char *holder);
    /* The stored answer has ended: send it, then the Final frame. */
    void (*finish)(Job *job, const GwEndpointResult *result);
} KeyedOps;

/* One request at this agent. */
struct Job {
    GwTicket ticket; /* first, so that a pointer to it can be cast to a pointer
                        to its Job */
    GwAgent *agent;
    uint64_t id; /* request id, chosen by the entry */
    uint32_t attempt;
    JobState state;
    GwSession *session; /* NULL while no entry is attached */
    GwTime detached_at; /* when the session was lost */

    char *account;
    char *method;
    char *path;
    char *content_type;
    char *key;           /* caller's idempotency key, or NULL */
    char *chain_weights; /* weights that the hashes in `chain` were made for */
    GBytes *body;
    bool idempotent;
    bool stream;
    uint64_t *chain; /* prefix hashes of the prompt, one per chunk */
    uint32_t *chunk_bytes;
    size_t chain_len;
    size_t missing_chunks; /* not in the engine's cache, as estimated when the
                              job was queued */
    size_t leading_chunks; /* in the cache view when the job was queued */

    GwEndpointCall *call; /* NULL while the endpoint does not run it */
    bool paused;          /* reading from the endpoint is paused */
    GwTime started_at;    /* 0: not started yet */
    bool has_output;
    int preemptions; /* how often a trial was stopped for a paying request */

    GPtrArray *chunks;  /* GBytes, from sequence number `first_seq` on; number
                           0 is the head and has no bytes */
    uint32_t first_seq; /* sequence number of chunks[0] */
    uint32_t next_send_seq;
    uint32_t chunk_count; /* received from the endpoint, with the head */
    size_t buffered_bytes;
    int answer_status;
    char *answer_type;
    XXH64_state_t answer_digest;
    GwEndpointResult result;
    bool final_sent; /* on the current session */

    const KeyedOps *keyed_ops; /* for a job with an idempotency key */
    ClaimKey claim;
    GwTime claimed_at;
    KeyState *key_state; /* while this job is the runner of its key */
    Job *leader;         /* the job that a JOB_FOLLOWING one waits for */
};

/* What is recorded of a key that the log assigns to this agent. */
struct KeyState {
    ClaimKey key;
    uint64_t request_digest;
    bool run_started;    /* by any job with this key */
    Job *runner;         /* the job that runs the request; NULL: none */
    GPtrArray *answer;   /* GBytes, all of the answer but its head; or NULL */
    size_t answer_bytes; /* of the whole answer, also if it is not stored */
    int answer_status;
    char *answer_type;
};

#endif
