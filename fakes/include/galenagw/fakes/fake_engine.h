/**
 * @defgroup fake_engine Stand-in engine
 * @brief A model engine over HTTP: prefix cache, slots, prefill, streaming.
 *
 * Prefills run one after another, in order of priority, at a cost for each
 * token that the cache lacks; then a token comes at each decode interval.
 * Each token's text is "TAG:INDEX " with a tag made from the last user
 * message, so that a caller can tell its own answer, whole and in order.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_ENGINE_H
#define GALENAGW_FAKES_FAKE_ENGINE_H

#include "galenagw/fakes/block_cache.h"
#include "galenagw/http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Construction options, and faults that may be changed at any time. */
typedef struct {
    int slots;
    size_t cache_blocks;
    double prefill_us_per_token;
    GwTime prefill_base;
    GwTime decode; /**< between tokens */
    int tokens;    /**< of an answer without max_tokens */
    GwTime event_delay;
    int drop_events;  /**< one in this many batches is lost; 0: none */
    GwTime load_time; /**< of new weights */
    bool ignore_fence;
    const char *weights;
    /* Faults: */
    bool silent;       /**< takes calls, sends nothing */
    bool reject;       /**< answers 503 to new calls */
    int break_after;   /**< a stream is cut after so many tokens; 0: never */
    int break_count;   /**< how many streams to cut so */
    const char *fatal; /**< a last user message that ends it, once it is
                            read; or NULL */
} FakeEngineOptions;

/** What the engine has seen. */
typedef struct {
    uint64_t requests;
    uint64_t cancelled;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint64_t held_elsewhere; /**< recomputed though a peer held them */
    uint64_t abandoned; /**< tokens computed for prefills then cancelled */
    uint64_t loads;
    uint64_t fenced;
    uint64_t last_fence;
    uint64_t crashes;
} FakeEngineStats;

typedef struct FakeEngine FakeEngine;

FakeEngine *FakeEngine_New(GwLoop *loop, const GwAddress *address,
                           const FakeEngineOptions *options, GwError *err);
void FakeEngine_Delete(FakeEngine *engine);
int FakeEngine_Port(const FakeEngine *engine);
FakeEngineOptions *FakeEngine_Options(FakeEngine *engine);
const FakeEngineStats *FakeEngine_Stats(const FakeEngine *engine);
/** Name the other engines, for `held_elsewhere`. */
void FakeEngine_SetFleet(FakeEngine *engine, FakeEngine **fleet, size_t n);
/** Drop all calls and come back empty, as another incarnation. */
void FakeEngine_Crash(FakeEngine *engine);
/** The tag that an answer to @p message carries; 8 hex digits. */
void FakeEngine_Tag(const char *message, char tag[9]);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
