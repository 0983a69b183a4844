#include "galenagw/routing/placement.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "galenagw/routing/engine_speed.h"

/* Cost of leaving the preferred engine. The cost of each engine already
 * includes the time to copy parts that are cached somewhere, so the preferred
 * engine only has to win among engines of similar cost, for entries to agree
 * on one. With 60, requests waited at their preferred engine although another
 * engine could have copied the parts sooner. */
#define LEAVE_PREFERRED_MS 10.0
/* Cost of leaving the preferred failure domain. A copy between failure domains
 * takes twice as long and delays the copies that wait for the same links: the
 * link of the KV store, which all engines of its domain share, and the link of
 * the engine. */
#define LEAVE_DOMAIN_MS 25.0
/* Weight of the time to prefill shared tokens that no cache node holds yet on
 * an engine other than the preferred one. The preferred engine prefills them
 * anyway, or requests with them are on the way to it. The fleet would
 * therefore spend that time twice, and under load each entry would have them
 * prefilled by a different engine. */
#define PREFILL_ELSEWHERE_FACTOR 3.0
/* Share of the time for the request's own part that counts when engines of
 * different speeds are compared. Counted in full, all gateways would send to
 * the few fastest idle engines at the same time, before they know of each
 * other's requests. */
#define OWN_PART_WEIGHT 0.5
/* Cost of exceeding an engine's KV memory: the engine preempts requests and
 * has to prefill them again. */
#define MEMORY_EXCEEDED_MS 400.0
/* Cost of outdated weights. A request loses a fifth of its value if it runs on
 * outdated weights a short while after a new version was named, but two thirds
 * if it waits beyond its target latency. The cost is low so that the first
 * engines with a new version do not attract all requests. */
#define OUTDATED_WEIGHTS_MS 40.0
/* Cost of an endpoint that fails more often than others, in milliseconds for
 * an engine and as a load for a plain endpoint. Such an endpoint is a last
 * resort, but remains usable. */
#define FAILING_PENALTY 2000.0
/* Load that is added to a plain endpoint in another failure domain, for two
 * more network hops. */
#define OTHER_DOMAIN_LOAD 0.02

static double engine_cost_ms_(const GwCandidate *c, const GwRequestInfo *info);
static double prefill_tokens_per_ms_(const GwCandidate *c);
static uint32_t own_tokens_(const GwRequestInfo *info);

uint64_t
GwPlacement_HashPrefix(const GwPart *parts, unsigned n)
{
    uint64_t hash = 0;

    for (unsigned i = 0; i < n; i++)
        hash = XXH64(&parts[i].id, sizeof(parts[i].id), hash);
    return hash;
}

uint64_t
GwPlacement_Anchor(const GwPart *parts, unsigned n_parts)
{
    // The last part belongs to this request only, except if it is the only
    // one: then it is a session, whose next request has the same part.
    unsigned n = n_parts > 1 ? n_parts - 1 : n_parts;

    while (n > 1 && parts[n - 1].tokens < GwPlacement_SumTokens(parts, n - 1))
        n--;
    return GwPlacement_HashPrefix(parts, n);
}

uint64_t
GwPlacement_HashAddress(const GwAddress *address)
{
    return XXH64(address->host, strlen(address->host),
                 (XXH64_hash_t)address->port);
}

uint64_t
GwPlacement_HashDomain(const char *name)
{
    return name != NULL ? XXH64(name, strlen(name), 0) : 0;
}

uint64_t
GwPlacement_ChooseDomain(const GwDomainShare *list, size_t n, uint64_t anchor)
{
    double best_score = 0;
    uint64_t best = 0;

    for (size_t i = 0; i < n; i++) {
        double uniform =
            ((double)GwPlacement_Rank(anchor, list[i].domain) + 1) /
            ((double)UINT64_MAX + 2);
        // Weighted rendezvous hashing: if a domain loses an engine, only
        // anchors that belonged to this domain move.
        double score = -(double)list[i].engines / log(uniform);

        if (list[i].engines == 0 || score <= best_score)
            continue;
        best_score = score;
        best = list[i].domain;
    }
    return best;
}

uint32_t
GwPlacement_SumTokens(const GwPart *parts, unsigned n)
{
    uint32_t sum = 0;

    for (unsigned i = 0; i < n; i++)
        sum += parts[i].tokens;
    return sum;
}

uint64_t
GwPlacement_Rank(uint64_t anchor, uint64_t place)
{
    return XXH64(&place, sizeof(place), anchor);
}

int
GwPlacement_ChooseEngine(const GwCandidate *list, size_t n, uint64_t anchor,
                         const GwRequestInfo *info, int *preferred)
{
    uint64_t best_rank = 0;
    double best_cost = 0;
    int best = -1;

    *preferred = -1;
    for (size_t i = 0; i < n; i++) {
        uint64_t rank = GwPlacement_Rank(anchor, list[i].address_hash);

        if (!list[i].usable)
            continue;
        if (*preferred >= 0 && list[*preferred].in_preferred_domain !=
                                   list[i].in_preferred_domain) {
            if (list[*preferred].in_preferred_domain)
                continue;
        }
        else if (*preferred >= 0 && rank <= best_rank)
            continue;
        *preferred = (int)i;
        best_rank = rank;
    }
    for (size_t i = 0; i < n; i++) {
        double cost;

        if (!list[i].usable)
            continue;
        cost = engine_cost_ms_(&list[i], info);
        if ((int)i != *preferred && !list[i].holds_shared)
            cost += LEAVE_PREFERRED_MS + PREFILL_ELSEWHERE_FACTOR *
                                             (double)list[i].missing_tokens /
                                             prefill_tokens_per_ms_(&list[i]);
        if (!list[i].in_preferred_domain)
            cost += LEAVE_DOMAIN_MS;
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

int
GwPlacement_ChoosePlain(const GwCandidate *list, size_t n,
                        uint64_t tie_breaker)
{
    double best_cost = 0;
    int best = -1;

    for (size_t k = 0; k < n; k++) {
        size_t i = (k + tie_breaker) % n;
        const GwCandidate *c = &list[i];
        double cost = (double)c->in_flight / MAX(c->slots, 1);

        if (!c->usable)
            continue;
        // The share of the slots that the endpoint needs to complete this
        // request and those before it in the time of an average endpoint.
        if (c->relative_speed > 0)
            cost = (c->in_flight + 1) / (MAX(c->slots, 1) * c->relative_speed);
        cost += c->near ? 0 : OTHER_DOMAIN_LOAD;
        cost += c->fails_more ? FAILING_PENALTY : 0;
        if (best < 0 || cost < best_cost) {
            best = (int)i;
            best_cost = cost;
        }
    }
    return best;
}

// Milliseconds until the first token, without what is the same for all
// engines.
static double
engine_cost_ms_(const GwCandidate *c, const GwRequestInfo *info)
{
    double speed = prefill_tokens_per_ms_(c);
    double queue = (double)c->prefill_tokens / speed;
    // A slower engine takes longer for its steps, too.
    double running_ms =
        GW_RUNNING_REQUEST_MS * (GW_NOMINAL_PREFILL_TOKENS_PER_MS / speed);
    // The engine prefills other prompts while it copies.
    double cost = MAX(queue, c->copy_ms) + c->in_flight * running_ms +
                  (double)c->read_tokens / speed;

    // The request's own part takes the same time at all engines only if they
    // are equally fast.
    if (c->prefill_tokens_per_ms > 0)
        cost += OWN_PART_WEIGHT * (double)own_tokens_(info) / speed;
    if (c->in_flight >= c->slots)
        cost += (c->in_flight + 1 - c->slots) * running_ms * c->slots;
    if (c->kv_total > 0 &&
        (uint64_t)c->kv_used + info->prompt_tokens + info->output_tokens >
            c->kv_total)
        cost += MEMORY_EXCEEDED_MS;
    cost += c->memory_ms;
    if (c->outdated)
        cost += OUTDATED_WEIGHTS_MS;
    if (c->fails_more)
        cost += FAILING_PENALTY;
    return cost;
}

// One value serves for all engines whose speed is not measured, because only
// the differences between the costs of engines matter.
static double
prefill_tokens_per_ms_(const GwCandidate *c)
{
    return c->prefill_tokens_per_ms > 0 ? c->prefill_tokens_per_ms
                                        : GW_NOMINAL_PREFILL_TOKENS_PER_MS;
}

// Tokens of the part that belongs to the request only, which each engine
// prefills.
static uint32_t
own_tokens_(const GwRequestInfo *info)
{
    return info->n_parts < 2 ? info->prompt_tokens
                             : info->parts[info->n_parts - 1].tokens;
}
