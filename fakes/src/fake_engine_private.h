/* State of a stand-in engine, shared by its modules. */
#ifndef FAKES_FAKE_ENGINE_PRIVATE_H
#define FAKES_FAKE_ENGINE_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/fakes/fake_engine_types.h"

/* One completion request, from its arrival to the end of its answer. */
typedef struct Generation Generation;
struct Generation {
    TAILQ_ENTRY(Generation) link;
    FakeEngine *engine;
    GwHttpCall *call;
    GwTimer timer;
    uint64_t *blocks;      /* names of the blocks of the prompt */
    uint32_t *block_bytes; /* prompt bytes of each block */
    size_t n_blocks;
    int priority; /* lower values are prefilled first */
    bool stream;
    bool chat;             /* chat completion; otherwise text completion */
    char tag[9];           /* see FakeEngine_Tag */
    bool has_fatal_system; /* see FakeEngineOptions.fatal_system */
    int next_token_index;  /* index of the next token to send */
    int first_token_index; /* index of the first token of this answer */
    int end_token_index;   /* index after the last token */
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t held_elsewhere; /* see FakeEngineStats */
    GwTime prefill_started_at;
    GString *text; /* tokens so far */
};

/* A notification that blocks were stored in the cache or evicted from it. */
typedef struct {
    uint64_t seq;
    char *json;
    GwTime visible_at; /* not included in answers before this time */
} Event;

/* A long poll for cache events. */
typedef struct EventPoll EventPoll;
struct EventPoll {
    TAILQ_ENTRY(EventPoll) link;
    FakeEngine *engine;
    GwHttpCall *call;
    GwTimer timer;
    uint64_t from; /* sequence number of the first wanted event */
};

struct FakeEngine {
    GwLoop *loop;
    GwHttpServer *server;
    FakeEngineOptions options;
    FakeEngineStats stats;
    BlockCache *cache;
    uint64_t incarnation;
    char *weights;
    char *loading_weights; /* version being loaded, or NULL */
    GwTimer load_timer;
    /* Awaiting prefill, by priority. */
    TAILQ_HEAD(GenerationList, Generation) prefill_queue;
    struct GenerationList running; /* prefilling or decoding */
    Generation *prefilling;        /* the one that is in prefill, or NULL */
    GQueue events;                 /* Event */
    uint64_t next_seq;
    uint64_t events_made; /* dropped ones included */
    GPtrArray *evicted;   /* blocks that the last prefill evicted */
    TAILQ_HEAD(, EventPoll) event_polls;
    GwTimer event_timer;
    FakeEngine **fleet; /* engines compared with for held_elsewhere */
    size_t fleet_n;
};

#endif
