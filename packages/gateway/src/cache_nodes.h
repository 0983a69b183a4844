/* The cache nodes of a request: the engines of its service, and one KV store.
 * GwCacheNodes holds how many shared tokens of the prompt each of them has
 * cached, and plans which cache node the chosen engine copies KV cache from.
 *
 * The shared tokens are those of all parts of the prompt but the last, which
 * is used by this request only; other prompts may start with the same parts.
 * Cached tokens are always counted from the start of the prompt to the first
 * part that is not cached. */
#ifndef GALENAGW_GATEWAY_CACHE_NODES_H
#define GALENAGW_GATEWAY_CACHE_NODES_H

#include "galenagw/routing/copying.h"
#include "request_private.h"

typedef struct GwCacheNodes GwCacheNodes;

/* The KV store that an engine fetches shared parts of @p request from and
 * saves them to; NULL: the prompt has no shared part, or there is no KV store
 * for it. */
GwKvStore *GwCacheNodes_KvStore(const GwRequest *request);

/*
 * Look up which shared tokens of the prompt are cached where. The prompt must
 * have a shared part.
 * @param endpoints instances of the request's service, as GwInstance *, which
 *                  @p index of the functions below refers to; must not change
 *                  while the result is in use
 */
GwCacheNodes *GwCacheNodes_New(const GwRequest *request,
                               const GPtrArray *endpoints);
void GwCacheNodes_Delete(GwCacheNodes *cache_nodes);
/* Number of shared tokens that the engine at @p index has cached. */
uint32_t GwCacheNodes_CachedTokens(const GwCacheNodes *cache_nodes,
                                   guint index);
/* Number of shared tokens that no cache node has cached for the weights of the
 * engine at @p index, so the engine cannot copy them either. */
uint32_t GwCacheNodes_MissingTokens(const GwCacheNodes *cache_nodes,
                                    guint index);
/* Plan what the engine at @p index copies for the request, and from which
 * cache node.
 * @param wait_ms time until the engine has prefilled the prompts that arrived
 *                before this one; a copy may run meanwhile
 * @param prefill_tokens_per_ms measured speed; 0: the constant applies */
GwCopyPlan GwCacheNodes_PlanCopy(const GwCacheNodes *cache_nodes, guint index,
                                 double wait_ms, double prefill_tokens_per_ms);
/* Use @p plan for the engine at @p index: record that the network links of the
 * engine and the source are busy until the expected end of the copy. The
 * engine copies when it receives the address with the request. If the KV store
 * is tried without knowing that it has the parts, nothing is recorded.
 * @return address that the engine copies from; NULL: it copies nothing */
const GwAddress *GwCacheNodes_StartCopy(GwCacheNodes *cache_nodes, guint index,
                                        const GwCopyPlan *plan);
/* Cache scope of @p request at engines with @p weights, newly allocated.
 * Engines and KV stores reuse cached parts only within one scope. */
char *GwCacheNodes_CacheScope(const GwRequest *request, int64_t weights);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(GwCacheNodes, GwCacheNodes_Delete)

#endif
