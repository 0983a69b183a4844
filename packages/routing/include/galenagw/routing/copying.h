/**
 * @defgroup copying Copies of KV cache
 * @brief Whether an engine copies shared parts that it lacks, and from where.
 *
 * Designed for many prompts whose parts an engine lacks at the same time, as
 * after a restart of all engines or with new weights. Each link carries one
 * copy at a time. All engines share the link of a KV store, and a copy between
 * failure domains takes twice as long, while links of engines that hold the
 * same parts are idle. A copy is therefore scheduled on two links: sources
 * whose link is free are preferred, and parts that would wait for a link
 * longer than their prefill takes are prefilled.
 * @{
 */
#ifndef GALENAGW_ROUTING_COPYING_H
#define GALENAGW_ROUTING_COPYING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A cache node, engine or KV store, that parts can be copied from. */
typedef struct {
    /** of an engine: hash of its address, because an engine does not copy
     * from itself; 0 for a KV store */
    uint64_t address_hash;
    uint64_t domain; /**< hash of its failure domain */
    /** version of weights that its parts were computed with */
    int64_t weights;
    uint32_t tokens;      /**< leading shared tokens that it holds */
    double tokens_per_ms; /**< rate of its link; 0: not configured */
    GwTime busy_until;    /**< when its link has completed the copies requested
                             before */
} GwCopySource;

/** The engine that would copy. */
typedef struct {
    uint64_t address_hash;
    uint64_t domain;
    int64_t weights;
    uint32_t held_tokens;   /**< leading shared tokens that it holds already */
    uint32_t shared_tokens; /**< shared tokens of the prompt */
    double tokens_per_ms;   /**< rate of its link; 0: not configured */
    GwTime busy_until;
    double prefill_tokens_per_ms; /**< measured, see GwCandidate; 0: the
                                     constant applies */
    double wait_ms; /**< milliseconds until it has prefilled earlier prompts */
    GwTime now;
} GwCopyTarget;

/** What the engine would do. */
typedef struct {
    int source_index; /**< index of the source; -1: nothing is copied */
    double copy_ms;   /**< milliseconds from now until the copy is complete */
    uint32_t read_tokens; /**< shared tokens that the engine prefills */
} GwCopyPlan;

/** The plan with which the engine can start the request's own part earliest.
 */
GwCopyPlan GwCopying_Plan(const GwCopyTarget *target, const GwCopySource *list,
                          size_t n);

/** Whether an engine that would prefill @p read_tokens of the shared parts
 * should instead request all of them from the prompt's KV store, which is not
 * known to hold them, and forgo the @p copied_tokens that it would copy from
 * another engine. With many followers, a part that another entry had saved is
 * in the store seconds before this process is notified, and it may already be
 * evicted from all engines. A store that lacks the parts costs a millisecond.
 */
bool GwCopying_ShouldTryStore(uint32_t read_tokens, uint32_t copied_tokens);

/** Tokens that an engine prefills per millisecond while it also produces
 * tokens. Idle engines are specified with 40 to 66. */
#define GW_PREFILL_TOKENS_PER_MS 45.0
/** Tokens that the engine prefills per millisecond while it also produces
 * tokens.
 * @param measured speed without that, see GwCandidate; 0: the constant
 *   applies */
double GwCopying_PrefillSpeed(double measured);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
