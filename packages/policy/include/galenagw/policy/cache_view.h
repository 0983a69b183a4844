/**
 * @defgroup cache_view Cache view
 * @brief An agent's estimate of which chunks its engine has cached.
 *
 * All prompts of an engine pass through its agent. The view records them and
 * simulates the engine's least-recently-used eviction with the capacity that
 * the engine reports; cache events of the engine correct it. A prompt counts
 * as cached from the time it is queued, because later requests find its chunks
 * there. Events may be late or missing: after a gap, chunks are unconfirmed
 * until an event or a request confirms them, and unconfirmed chunks count by
 * the share of them that recent answers have shown to be cached. Correctness
 * does not depend on the view, because the engine alone decides what it
 * reuses. A new incarnation of the engine empties the view.
 * @{
 */
#ifndef GALENAGW_POLICY_CACHE_VIEW_H
#define GALENAGW_POLICY_CACHE_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwCacheView GwCacheView;

/** @param capacity of the engine's cache in chunks; 0: not known yet */
GwCacheView *GwCacheView_New(size_t capacity);
void GwCacheView_Delete(GwCacheView *view);
/** Sets the capacity in chunks and evicts what exceeds it. */
void GwCacheView_SetCapacity(GwCacheView *view, size_t capacity);

/** Binds the view to an incarnation of the engine. @return true if it was
 * another one before, and the view was emptied */
bool GwCacheView_Bind(GwCacheView *view, uint64_t incarnation);

/** Estimates the number of leading chunks of @p hashes that are cached;
 * unconfirmed chunks count by their share. */
size_t GwCacheView_Resident(const GwCacheView *view, const uint64_t *hashes,
                            size_t count);
/**
 * Records that a prompt is sent to the engine, which then caches all of
 * @p hashes.
 * @param trial whether it is a request of a trial account
 */
void GwCacheView_Insert(GwCacheView *view, const uint64_t *hashes,
                        size_t count, bool trial);
/** @return number of leading chunks of @p hashes in the view, confirmed or
 * not */
size_t GwCacheView_Leading(const GwCacheView *view, const uint64_t *hashes,
                           size_t count);
/** Records that an answer showed @p hit of @p leading chunks to be cached. */
void GwCacheView_AddHitSample(GwCacheView *view, size_t leading, size_t hit);

/** Kinds of cache events. */
typedef enum {
    GW_CACHE_STORED = 0, /**< chunks were cached */
    GW_CACHE_REMOVED,    /**< chunks were evicted */
    GW_CACHE_CLEARED,    /**< the cache was emptied */
    GW_CACHE_EVENTS
} GwCacheEventKind;

extern const char *const GwCacheEventKind_Names[GW_CACHE_EVENTS];

/** Applies one event. @return false if @p seq is not the one that follows the
 * last event; chunks that were confirmed before are then unconfirmed */
bool GwCacheView_Event(GwCacheView *view, uint64_t seq, GwCacheEventKind kind,
                       const uint64_t *hashes, size_t count);

/** @return number of chunks in the view */
size_t GwCacheView_Size(const GwCacheView *view);
/** @return number of chunks that only trials have used */
size_t GwCacheView_TrialSize(const GwCacheView *view);
/** @return capacity in chunks; a default while it is not known */
size_t GwCacheView_Capacity(const GwCacheView *view);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
