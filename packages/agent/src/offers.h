/* What this agent would make of a request, and places held for probes. */
#ifndef GALENAGW_AGENT_OFFERS_H
#define GALENAGW_AGENT_OFFERS_H

#include "agent_private.h"

void Offers_Probe(GwAgent *agent, GwSession *session,
                  const Gw__Wire__Probe *probe);
/* Give back the reservation of `probe_id`, if it is still held. */
void Offers_TakeUp(GwAgent *agent, uint64_t probe_id);
void Offers_Expire(GwAgent *agent, GwTime now);
/* Chunks of the chain that the engine holds, for its loaded weights. */
size_t Offers_Resident(const GwAgent *agent, const char *weights,
                       const uint64_t *chain, size_t n);
/* Whether a trial with this prompt would pass its share of the cache. */
bool Offers_TrialCacheFull(const GwAgent *agent, size_t missing);
GwTime Offers_Prefill(const GwAgent *agent, const uint32_t *bytes,
                      size_t resident, size_t n);

#endif
