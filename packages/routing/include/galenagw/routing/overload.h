/**
 * @defgroup overload Overload
 * @brief Which requests are refused with a retry time while engines are full.
 *
 * Designed for times in which more prompts arrive than the engines can prefill
 * for seconds: after half of the engines have failed, in a burst, or with new
 * weights. Without a bound, each request is accepted, waits and is answered
 * late. Waiting prompts fill the engines' memory, so that shared parts are
 * evicted and running requests are preempted and prefilled again. Clients then
 * time out, and what was prefilled for them is wasted as well.
 *
 * A request that can wait, and that would miss its target latency even at the
 * best engine, is therefore refused immediately, with the time after which the
 * queue will have been prefilled. The most urgent requests are not refused for
 * this reason, because engines schedule them first; see GwAdmissionState for
 * the limits that apply to them.
 * @{
 */
#ifndef GALENAGW_ROUTING_OVERLOAD_H
#define GALENAGW_ROUTING_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** State in which a request is about to be sent for the first time. */
typedef struct {
    bool can_wait;           /**< engines schedule other requests first */
    GwTime target_latency;   /**< target time up to its first token; 0: none */
    GwTime left;             /**< time until the request's deadline */
    uint64_t waiting_tokens; /**< tokens to prefill before it at the chosen
                                engine */
    uint64_t own_tokens;     /**< tokens that the engine will prefill for it */
    uint32_t kv_used; /**< memory of the engine that cannot be freed for it, in
                         tokens */
    uint32_t kv_total;  /**< memory of the engine, in tokens; 0: unknown */
    uint32_t kv_needed; /**< memory that the request needs, in tokens */
    double prefill_tokens_per_ms; /**< measured; 0: the constants apply */
    double share_excess; /**< the admissible queue is divided by it; at most 1:
                            not divided */
} GwOverloadFacts;

/** @return 0 to send the request now, else the time after which its client
 * should retry */
GwTime GwOverload_Defer(const GwOverloadFacts *facts);
/** Expected speed of the engine for the request, in tokens per millisecond:
 * by its measured speed, or else by the nominal one. */
double GwOverload_PrefillTokensPerMs(const GwOverloadFacts *facts);
/** Bounds of Retry-After. A client that returns sooner finds the same queue.
 * One that returns later misses the time in which the longest queue (45,000
 * tokens) is prefilled. */
#define GW_RETRY_AFTER_MIN (300 * GW_MILLISECOND)
#define GW_RETRY_AFTER_MAX (2 * GW_SECOND)
/** Retry-After for a client whose queue will be short enough in @p delay. */
GwTime GwOverload_BoundRetryAfter(double delay);
/** Shares of an engine's memory that requests which can wait may fill: the
 * first when engines are compared, the second when a request is refused.
 * Engines preempt requests if new prompts exceed the second one, as the
 * remainder is needed for urgent prompts, which continue to arrive, and for
 * tokens that running requests produce. The first share leaves twice as much,
 * because reports of engines do not include what other entries have sent
 * since. */
#define GW_MEMORY_SHARE_PREFERRED 0.8
#define GW_MEMORY_SHARE_MAX 0.9

/**
 * How long a request waits for memory of an engine; 0 if the engine's memory
 * is unknown.
 * @param used    tokens that other requests use
 * @param waiting tokens that waiting requests will use
 * @param needed  tokens that the request needs
 * @param total   tokens of the engine's memory; 0: unknown
 * @param share   share of the memory that the request may fill
 */
GwTime GwOverload_MemoryWait(uint64_t used, uint64_t waiting, uint64_t needed,
                             uint32_t total, double share);
/** Maximum time that an engine takes to prefill @p tokens.
 * @param prefill_tokens_per_ms measured speed of the engine; 0: the constants
 *   apply */
GwTime GwOverload_SlowestPrefill(uint64_t tokens,
                                 double prefill_tokens_per_ms);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
