/* A job's state, shared by its parts: run, answer, key. */
#ifndef GALENAGW_AGENT_JOB_PRIVATE_H
#define GALENAGW_AGENT_JOB_PRIVATE_H

/* The streaming state is embedded, so its size must be known. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "agent_private.h"
#include "claims.h"

typedef struct Job Job;
typedef struct KeyState KeyState;

typedef enum {
    JOB_CLAIMING = 0, /* its key is being claimed */
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_FOLLOWING, /* gets the answer of another job with its key */
    JOB_FINISHED,  /* answer whole or broken off; kept for its entry */
    JOB_STATES
} JobState;

extern const char *const JobState_Names[JOB_STATES];

/* Where a keyed call goes once the log has decided on its key. */
typedef struct {
    /* Into the queue; may start it, or refuse and end it. */
    void (*enter)(Job *job);
    /* The refusal ends the job. */
    void (*refuse)(Job *job, GwRefusal refusal, GwRan ran, const char *holder);
    /* The answer is as complete as it gets. */
    void (*finish)(Job *job, const GwEndpointResult *result);
} KeyedOps;

struct Job {
    GwTicket ticket; /* first, so that a ticket is its job */
    GwAgent *agent;
    uint64_t id;
    uint32_t attempt;
    JobState state;
    GwSession *session; /* NULL while detached */
    GwTime detached_at;

    char *account;
    char *method;
    char *path;
    char *content_type;
    char *key; /* caller's idempotency key, or NULL */
    char *weights;
    GBytes *body;
    bool idempotent;
    bool stream;
    uint64_t *chain;
    uint32_t *chunk_bytes;
    size_t chain_len;
    size_t missing; /* chunks, as estimated on entry */
    size_t leading; /* chunks that the view had on entry */

    GwEndpointCall *call;
    bool paused;
    GwTime started;
    bool has_output;
    int set_aside; /* how often, for a paying request */

    GPtrArray *chunks; /* GBytes from `base` on; 0 is the head, empty */
    uint32_t base;     /* sequence number of chunks[0] */
    uint32_t next_send;
    uint32_t count;
    size_t held_bytes;
    int status;
    char *answer_type;
    XXH64_state_t digest;
    GwEndpointResult result;
    bool final_sent;

    const KeyedOps *keyed_ops; /* of a call with a key */
    ClaimKey claim;
    GwTime claimed_at;
    KeyState *key_state;
    Job *leader; /* while following */
};

/* A key that this agent owns in the log. */
struct KeyState {
    ClaimKey key;
    uint64_t request_digest;
    bool ran;          /* a run was started, ever */
    Job *runner;       /* while it runs, or its kept answer */
    GPtrArray *answer; /* GBytes, whole answer without head; or NULL */
    size_t answer_bytes;
    int status;
    char *answer_type;
};

#endif
