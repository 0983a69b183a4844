/* A job's state, shared by its three parts: run, answer, key. */
#ifndef GALENAGW_AGENT_JOB_PRIVATE_H
#define GALENAGW_AGENT_JOB_PRIVATE_H

/* The streaming state is embedded, so its size must be known. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "claims.h"
#include "job.h"

typedef struct KeyState KeyState;

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

/* job.c */
/* The refusal ends the job. */
void Job_Refuse(Job *job, GwRefusal refusal, GwRan ran, const char *holder);
/* Into the queue; may start it, or refuse and end it. */
void Job_Enter(Job *job);
/* The answer is as complete as it gets. */
void Job_Finish(Job *job, const GwEndpointResult *result);

/* answer.c: chunks, kept until their entry has acknowledged them. */
void Answer_AddHead(Job *job, int status, const char *type);
void Answer_AddChunk(Job *job, GBytes *data);
/* Drop what is acknowledged, below `next_seq`. */
void Answer_Acknowledge(Job *job, uint32_t next_seq);
/* Send what the window allows; the final frame after the last chunk. */
void Answer_Flush(Job *job);
/* Go on at `next_seq` on another session. */
void Answer_Attach(Job *job, GwSession *session, uint32_t attempt,
                   uint32_t next_seq);

/* keyed.c: calls with an idempotency key. */
void Keyed_Claim(Job *job);
/* Part of the answer, kept for repeats. */
void Keyed_AddChunk(Job *job, GBytes *data);
void Keyed_Finish(Job *job, bool complete);
/* The job leaves; what waited for it is decided anew. */
void Keyed_Leave(Job *job);

#endif
