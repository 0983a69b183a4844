/**
 * Options and counters of a stand-in engine.
 * @ingroup fake_engine
 */
#ifndef GALENAGW_FAKES_FAKE_ENGINE_TYPES_H
#define GALENAGW_FAKES_FAKE_ENGINE_TYPES_H

#include "galenagw/fakes/block_cache.h"
#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Construction options, and faults, which may be changed at any time. */
typedef struct {
    int slots;                   /**< reported only, not enforced */
    size_t cache_blocks;         /**< capacity of the prefix cache */
    double prefill_us_per_token; /**< for each token that is not cached */
    GwTime prefill_base;         /**< added to each prefill */
    GwTime decode;               /**< between two tokens */
    int tokens;                  /**< length of an answer without max_tokens */
    int event_padding;           /**< spaces added to each token's event */
    GwTime event_delay;          /**< until a cache event can be read */
    int drop_events;     /**< one in this many cache events is lost; 0: none */
    GwTime load_time;    /**< time that new weights take to load */
    bool ignore_fence;   /**< accept load orders with a stale fence */
    const char *weights; /**< version loaded at the start */
    const char *line_end; /**< of its event streams; NULL: LF */
    bool has_bom; /**< its event streams begin with a byte order mark */
    /* Faults: */
    bool silent;       /**< accepts calls and sends nothing */
    bool reject;       /**< answers 503 to new calls */
    int break_after;   /**< tokens after which an answer is aborted */
    int break_count;   /**< answers still to be aborted; 0: none */
    const char *fatal; /**< a last user message whose prefill crashes the
                            engine; or NULL */
    const char *fatal_system; /**< the same for a system message */
} FakeEngineOptions;

/** Counters since the construction. */
typedef struct {
    uint64_t requests;
    uint64_t cancelled;     /**< requests whose client closed the call */
    uint64_t prompt_tokens; /**< of all finished prefills */
    uint64_t cached_tokens; /**< of prompt_tokens, found in the cache */
    /** Of prompt_tokens, computed although another engine had them cached. */
    uint64_t held_elsewhere;
    uint64_t abandoned; /**< tokens computed by prefills that were cancelled */
    uint64_t loads;     /**< accepted load orders */
    uint64_t fenced;    /**< load orders rejected for a stale fence */
    uint64_t last_fence; /**< highest fence of a load order */
    uint64_t crashes;
} FakeEngineStats;

typedef struct FakeEngine FakeEngine;

#ifdef __cplusplus
}
#endif
#endif
