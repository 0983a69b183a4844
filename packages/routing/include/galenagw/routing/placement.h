/**
 * @defgroup placement Placement
 * @brief Which endpoint gets a request, and from where it copies KV cache.
 *
 * Designed for prompts that share long leading parts and arrive at several
 * entries which do not coordinate their choices. Rendezvous hashing on the
 * deepest shared level gives all entries the same preferred engine, so each
 * part is prefilled once. Another engine is chosen if it already holds the
 * parts, or if waiting for the preferred engine costs more than a second copy
 * of the parts, which evicts other parts that will be needed.
 * @{
 */
#ifndef GALENAGW_ROUTING_PLACEMENT_H
#define GALENAGW_ROUTING_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/settings.h"
#include "galenagw/routing/request_info.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An endpoint that may be chosen for a request. */
typedef struct {
    uint64_t address_hash; /**< hash of its address, for rendezvous hashing;
                              the same after a restart */
    bool usable;           /**< may get new requests */
    bool fails_more;       /**< fails more often than its peers */
    bool near;             /**< in this process's failure domain */
    bool outdated;         /**< its weights are not the newest named version */
    bool in_preferred_domain; /**< in the preferred failure domain of the
                                 prompt */
    unsigned slots;
    /** requests of this process and, if known, of others */
    unsigned in_flight;
    uint64_t prefill_tokens; /**< that it will prefill before this request */
    /** of the tokens that wait there, those of the most urgent priority: an
     * urgent request waits only for these */
    uint64_t urgent_tokens;
    /** measured prefill speed; 0: the constants apply */
    double prefill_tokens_per_ms;
    /** measured speed of a plain endpoint, over the median of its service; 0:
     * all are treated as equal */
    double relative_speed;
    uint64_t missing_tokens; /**< shared tokens that no cache node holds for
                                its version of weights */
    uint64_t read_tokens; /**< shared tokens that it would prefill, because it
                             neither holds nor copies them */
    double copy_ms;    /**< milliseconds until it has copied the other ones; 0:
                          nothing to copy */
    bool holds_shared; /**< it holds all shared tokens */
    uint32_t kv_used;  /**< tokens of KV memory that cannot be freed for the
                          request */
    uint32_t kv_total; /**< 0: unknown */
    double memory_ms;  /**< milliseconds until enough memory is free; 0 for
                          requests for which engines preempt others */
} GwCandidate;

/** Anchor of a prompt: hash of the level that determines its preferred engine.
 * This is the deepest shared level, except that a level with fewer tokens than
 * those above it combined is skipped: it would only spread copies of the
 * levels above over more engines. */
uint64_t GwPlacement_Anchor(const GwPart *parts, unsigned n_parts);
/** Hash of the leading @p n parts. */
uint64_t GwPlacement_HashPrefix(const GwPart *parts, unsigned n);
/** Hash of an address; identifies the endpoint there across restarts. */
uint64_t GwPlacement_HashAddress(const GwAddress *address);
/** Number of tokens of the leading @p n parts. */
uint32_t GwPlacement_SumTokens(const GwPart *parts, unsigned n);
/** Rank of the endpoint or domain with the hash @p place for @p anchor; the
 * highest one is preferred. */
uint64_t GwPlacement_Rank(uint64_t anchor, uint64_t place);
/** Hash of a failure domain's name; 0 for NULL. */
uint64_t GwPlacement_HashDomain(const char *name);

/** A failure domain and its number of engines. */
typedef struct {
    uint64_t domain;
    unsigned engines;
} GwDomainShare;

/**
 * Preferred failure domain of @p anchor, by rendezvous hashing weighted with
 * the domains' numbers of engines. Its KV store saves the prompt's parts and
 * its engines prefill them. Copies within a domain take half the time of those
 * between domains, at a third of their cost.
 * @return 0 if the list has no engines
 */
uint64_t GwPlacement_ChooseDomain(const GwDomainShare *list, size_t n,
                                  uint64_t anchor);

/**
 * Choose an engine for a prompt.
 * @param[out] preferred index of the usable engine with the highest rank, of
 *   those in the preferred failure domain if there are any; or -1
 * @return index into @p list, or -1 if none is usable
 */
int GwPlacement_ChooseEngine(const GwCandidate *list, size_t n,
                             uint64_t anchor, const GwRequestInfo *info,
                             int *preferred);
/**
 * Choose an endpoint of a plain service. @p tie_breaker is a random number
 * that decides between equal ones.
 * @return index into @p list, or -1 if none is usable
 */
int GwPlacement_ChoosePlain(const GwCandidate *list, size_t n,
                            uint64_t tie_breaker);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
