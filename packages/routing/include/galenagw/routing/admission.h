/**
 * @defgroup admission_by_wait Admission by expected wait
 * @brief Which requests are refused because they would wait too long.
 *
 * Designed for fleets that get more prompts than their engines can prefill.
 * Without a limit, each engine's queue grows until the requests in it reach
 * their deadlines: all capacity is then spent on answers that are late. Three
 * rules apply, in this order:
 *
 * - A request that begins after its deadline even by an optimistic estimate is
 *   refused. This holds for all priorities and for retries.
 * - A request that can wait is deferred by the rules of GwOverload_Defer().
 * - While the overload of the most urgent requests is sustained, they join
 *   only queues in which they meet their target latency. For accounts beyond
 *   their shares this holds without overload, too, and during an overload
 *   their limit is lower.
 * @{
 */
#ifndef GALENAGW_ROUTING_ADMISSION_H
#define GALENAGW_ROUTING_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/routing/overload.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Expected waits of the requests of one service and one class;
 * zero-initialised. */
typedef struct {
    GwTime observed_at; /**< last request; 0: none */
    GwTime above_since; /**< nearly all waits since then exceeded the bound; 0:
                           the last ones did not */
    uint64_t n_long;    /**< waits since then that exceeded it */
    uint64_t n_short;   /**< waits since then that did not */
    GwTime refused_at;  /**< last refusal since the overload is sustained */
    bool is_sustained;  /**< the overload is sustained */
    GwTime began_wait; /**< wait when the overload was found to be sustained */
    GwTime began_at;   /**< when that was */
} GwWaitHistory;

/** State of one service at one gateway; zero-initialised. */
typedef struct {
    GwWaitHistory urgent;   /**< most urgent requests */
    GwWaitHistory can_wait; /**< all others */
} GwAdmissionState;

/** Tokens of the most urgent requests that this process sent to an engine
 * since the last report of the engine's agent; zero-initialised. */
typedef struct {
    GwTime report_at; /**< when that report was received */
    uint64_t tokens;
} GwUnreportedTokens;

/** State in which a request is about to be sent. */
typedef struct {
    GwTime now;
    bool is_retry;        /**< of this process: an attempt was made before */
    GwOverloadFacts load; /**< its share_excess is not used */
    GwTime report_age;    /**< of the agent's report on the engine that the
                             waiting tokens include; negative: there is no
                             report, they include only those of this process */
    uint64_t unreported_tokens; /**< of this process, see GwUnreportedTokens */
    unsigned senders; /**< gateways that send to the engine, this one included;
                         0: unknown */
    double random;    /**< uniform from 0 to 1, drawn for this decision; 0: the
                         last place in a queue is always used */
    double share_excess; /**< usage of its account in relation to the account's
                            share; 0 or at most 1: within the share */
} GwAdmissionFacts;

typedef enum {
    GW_ADMISSION_ADMIT = 0,
    GW_ADMISSION_DEADLINE, /**< it would begin after its deadline */
    GW_ADMISSION_DEFER,    /**< it can wait, and would miss its target */
    GW_ADMISSION_OVERLOAD, /**< the queue of urgent requests has reached its
                              limit */
    GW_ADMISSION_VERDICTS
} GwAdmissionVerdict;

/** Names of ::GwAdmissionVerdict in logs, by value. */
extern const char *const GwAdmissionVerdict_Names[GW_ADMISSION_VERDICTS];

/** A verdict, and the estimates behind it. */
typedef struct {
    GwAdmissionVerdict verdict;
    bool is_sustained; /**< the overload of its class is sustained */
    GwTime wait;       /**< expected, without its own prompt */
    GwTime prefill;    /**< expected, of its own prompt */
    GwTime limit;      /**< of the wait of urgent requests; applied while the
                          overload is sustained, and to accounts beyond their
                          shares */
    double tokens_per_ms;      /**< speed of the engine that was used */
    uint64_t estimated_tokens; /**< part of the queue that other gateways may
                                  have sent since the report */
    GwTime retry_after;        /**< of a refusal, without jitter */
} GwAdmissionDecision;

/** Decide on a request, and record its expected wait. */
GwAdmissionDecision GwAdmissionState_Decide(GwAdmissionState *state,
                                            const GwAdmissionFacts *facts);

/** Count @p tokens that were sent after the report of @p report_at. */
void GwUnreportedTokens_Add(GwUnreportedTokens *unreported, GwTime report_at,
                            uint64_t tokens);
/** Tokens that were sent since the report of @p report_at. */
uint64_t GwUnreportedTokens_Get(const GwUnreportedTokens *unreported,
                                GwTime report_at);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
