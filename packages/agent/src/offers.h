/* Offers: the answers to probes. An entry probes several agents before it
 * submits a request to one of them. An offer contains this agent's estimates
 * for the request, and a reservation counts the request as waiting at the
 * endpoint until it is submitted. */
#ifndef GALENAGW_AGENT_OFFERS_H
#define GALENAGW_AGENT_OFFERS_H

#include "agent_private.h"

/* Answer a probe with an offer. Unless the offer is a refusal, also make a
 * reservation: until it is released or expires, estimates for other requests
 * count the probed request as waiting before them. */
void Offers_OnProbe(GwAgent *agent, GwSession *session,
                    const Gw__Wire__Probe *probe);
/* Release the reservation of `probe_id`, because the probed request was
 * submitted here or the entry sent a Release frame. Does nothing if there is
 * no reservation: the offer was a refusal, or the reservation has expired. */
void Offers_ReleaseReservation(GwAgent *agent, uint64_t probe_id);
void Offers_ExpireReservations(GwAgent *agent, GwTime now);
/* Number of leading chunks of a prompt that the engine has cached. `chain`
 * holds the prefix hashes of the prompt, one per chunk, which depend on the
 * weights they were made for. 0 if `weights` are not the loaded ones, or none
 * are loaded. */
size_t Offers_ResidentChunks(const GwAgent *agent, const char *weights,
                             const uint64_t *chain, size_t n);
/* Whether a trial that adds `missing` chunks to the cache would exceed the
 * share of the cache that trials may fill (trial_cache_share of the
 * configuration). Trials are the requests of trial accounts, which are
 * scheduled after those of paying accounts. */
bool Offers_ExceedsTrialShare(const GwAgent *agent, size_t missing);
/* Estimated time to prefill the missing chunks of a prompt: those with the
 * indices `resident` to `n` - 1. `bytes` holds the sizes of all `n` chunks. */
GwTime Offers_PrefillTime(const GwAgent *agent, const uint32_t *bytes,
                          size_t resident, size_t n);

#endif
