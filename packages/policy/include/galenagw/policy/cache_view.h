/**
 * @defgroup cache_view Cache view
 * @brief What an agent believes its engine holds cached.
 *
 * The agent is the only gate to its engine, so it knows every prompt that
 * went in; the view plays the engine's least-recently-used eviction with
 * the capacity that the engine reports, and is corrected by cache events.
 * A prompt counts as held from the time it is queued: whatever comes after
 * it finds its blocks there. Events may be late or missing: after a gap what
 * is not confirmed again is doubtful, and counts in an estimate by the share
 * of such blocks that answers have lately shown to be held. Correctness
 * never rests on the view, because the engine alone decides what it reuses. A
 * new incarnation empties it.
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

/** @param capacity chunks; 0: not known yet */
GwCacheView *GwCacheView_New(size_t capacity);
void GwCacheView_Delete(GwCacheView *view);
void GwCacheView_SetCapacity(GwCacheView *view, size_t capacity);

/** Bind to an incarnation of the engine. @return true if it was emptied. */
bool GwCacheView_Bind(GwCacheView *view, uint64_t incarnation);

/** Leading chunks of @p hashes held, doubtful ones by their share. */
size_t GwCacheView_Resident(const GwCacheView *view, const uint64_t *hashes,
                            size_t count);
/** A prompt goes to the engine, which will hold all of @p hashes. */
void GwCacheView_Insert(GwCacheView *view, const uint64_t *hashes,
                        size_t count, bool trial);
/** Leading chunks of @p hashes that the view has at all. */
size_t GwCacheView_Leading(const GwCacheView *view, const uint64_t *hashes,
                           size_t count);
/** An answer showed that of @p leading chunks the engine held @p hit. */
void GwCacheView_Learn(GwCacheView *view, size_t leading, size_t hit);

/** Kinds of cache events. */
typedef enum {
    GW_CACHE_STORED = 0,
    GW_CACHE_REMOVED,
    GW_CACHE_CLEARED,
    GW_CACHE_EVENTS
} GwCacheEventKind;

extern const char *const GwCacheEventKind_Names[GW_CACHE_EVENTS];

/** Apply one event. @return false if @p seq showed a gap. */
bool GwCacheView_Event(GwCacheView *view, uint64_t seq, GwCacheEventKind kind,
                       const uint64_t *hashes, size_t count);

size_t GwCacheView_Size(const GwCacheView *view);
/** Chunks whose last use was a trial's. */
size_t GwCacheView_TrialSize(const GwCacheView *view);
size_t GwCacheView_Capacity(const GwCacheView *view);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
