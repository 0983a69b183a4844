#include "offers.h"

#include <string.h>

#include "galenagw/policy/chain.h"

/* Counts a probed request as waiting at the endpoint, until the request is
 * submitted, the entry releases the reservation, or it expires. */
typedef struct {
    GwTicket ticket; /* first, so that a pointer to it can be cast to a
                        pointer to its Reservation */
    uint64_t probe_id;
} Reservation;

static void add_reservation_(GwAgent *agent, const Gw__Wire__Probe *probe,
                             const GwTicket *ticket);
static GwRefusal probe_refusal_(const GwAgent *agent,
                                const Gw__Wire__Probe *probe, size_t resident);
static uint32_t update_heat_(GwAgent *agent, const Gw__Wire__Probe *probe,
                             GwTime prefill, GwTime now);

void
Offers_OnProbe(GwAgent *agent, GwSession *session,
               const Gw__Wire__Probe *probe)
{
    GwTime now = GwTime_Now();
    // Both arrays have one element per chunk; entries send equal lengths.
    size_t n = MIN(probe->n_chain, probe->n_chunk_bytes);
    size_t resident =
        Offers_ResidentChunks(agent, probe->weights, probe->chain, n);
    GwTicket ticket = {0};
    GwEstimate e;
    GW_FRAME(frame, offer, OFFER, Offer, offer);

    GwCounters_Add(&agent->counters, GW_COUNTER_PROBES, 1);
    ticket.trial = probe->trial;
    ticket.urgency = (int)probe->urgency;
    ticket.deadline = probe->budget_ms > 0
                          ? now + probe->budget_ms * GW_MILLISECOND
                          : GW_NEVER;
    ticket.prefill =
        Offers_PrefillTime(agent, probe->chunk_bytes, resident, n);
    e = GwAdmission_Estimate(agent->admission, &ticket, now);
    offer.probe_id = probe->probe_id;
    offer.refusal = probe_refusal_(agent, probe, resident);
    if (offer.refusal == GW_REFUSAL_NONE)
        offer.refusal = e.refusal;
    offer.resident_chunks = (uint32_t)resident;
    offer.ttft_us = (uint64_t)(e.wait + ticket.prefill);
    offer.busy_us = (uint64_t)e.wait;
    offer.missing_tokens = GwChain_Tokens(probe->chunk_bytes, resident, n);
    offer.retry_after_ms = (uint32_t)(e.retry_after / GW_MILLISECOND);
    offer.heat = update_heat_(agent, probe, ticket.prefill, now);
    if (offer.refusal == GW_REFUSAL_NONE)
        add_reservation_(agent, probe, &ticket);
    GwSession_Send(session, &frame);
}

void
Offers_ReleaseReservation(GwAgent *agent, uint64_t probe_id)
{
    Reservation *r = g_hash_table_lookup(agent->reservations, &probe_id);

    if (r == NULL)
        return;
    GwAdmission_Leave(agent->admission, &r->ticket, GwTime_Now());
    g_hash_table_remove(agent->reservations, &probe_id);
}

void
Offers_ExpireReservations(GwAgent *agent, GwTime now)
{
    GwTicket *t;

    while ((t = GwAdmission_ExpireReservation(agent->admission, now)) !=
           NULL) {
        Reservation *r = (Reservation *)t;

        GwCounters_Add(&agent->counters, GW_COUNTER_OFFERS_EXPIRED, 1);
        g_hash_table_remove(agent->reservations, &r->probe_id);
    }
}

size_t
Offers_ResidentChunks(const GwAgent *agent, const char *weights,
                      const uint64_t *chain, size_t n)
{
    // The hashes of a chain made for other weights name chunks that this
    // engine cannot have cached.
    if (agent->loaded_weights == NULL ||
        strcmp(agent->loaded_weights, weights) != 0)
        return 0;
    return GwCacheView_Resident(agent->cache_view, chain, n);
}

bool
Offers_ExceedsTrialShare(const GwAgent *agent, size_t missing)
{
    const GwConfig *config = GwConfigFeed_Config(agent->config_feed);
    double share = config != NULL ? config->tuning.trial_cache_share : 0;
    size_t trial_chunks = GwCacheView_TrialSize(agent->cache_view);

    // While no trial is cached, a trial larger than the share is accepted;
    // otherwise it would never run. A trial that adds no chunks is always
    // accepted. Without a configuration the share is 0, so all other trials
    // are refused.
    return missing > 0 && trial_chunks > 0 &&
           (double)(trial_chunks + missing) >
               share * (double)GwCacheView_Capacity(agent->cache_view);
}

GwTime
Offers_PrefillTime(const GwAgent *agent, const uint32_t *bytes,
                   size_t resident, size_t n)
{
    return GwPrefillCost_Estimate(&agent->prefill_cost,
                                  GwChain_Tokens(bytes, resident, n));
}

static void
add_reservation_(GwAgent *agent, const Gw__Wire__Probe *probe,
                 const GwTicket *ticket)
{
    Reservation *r;

    // A probe id that is received again makes no second reservation; the
    // first one stays unchanged.
    if (g_hash_table_contains(agent->reservations, &probe->probe_id))
        return;
    r = g_new0(Reservation, 1);
    r->ticket = *ticket;
    r->probe_id = probe->probe_id;
    g_hash_table_insert(agent->reservations, &r->probe_id, r);
    GwAdmission_Reserve(agent->admission, &r->ticket, GwTime_Now());
}

static GwRefusal
probe_refusal_(const GwAgent *agent, const Gw__Wire__Probe *probe,
               size_t resident)
{
    if (agent->draining)
        return GW_REFUSAL_LEAVING;
    if (!agent->endpoint_up)
        return GW_REFUSAL_NO_ENDPOINT;
    // The engine is loading other weights, or work is paused until the engine
    // is idle and the order to load them can be sent. `probe->weights` is not
    // compared here: chunks of other weights only count as not cached.
    if (agent->endpoint_loading || agent->is_work_paused)
        return GW_REFUSAL_WRONG_VERSION;
    if (probe->trial &&
        Offers_ExceedsTrialShare(agent, probe->n_chain - resident))
        return GW_REFUSAL_TRIAL_ROOM;
    return GW_REFUSAL_NONE;
}

// Adds the engine time that the probed request would take to the heat of its
// prefix, which is the decaying sum of these times. `probe->anchor` is the
// prefix: the hash of the longest part of the prompt that other prompts can
// share; 0: none. Returns the prefix's width, the number of engines that
// should share the prefix, for the field `heat` of the offer. Entries derive
// `probe->width` of their later probes from it. Each probe counts, even if its
// request is then sent to another engine, so the heat reflects all demand for
// the prefix. If only the requests submitted here counted, spreading the
// prefix over more engines would lower its heat and undo the spreading.
static uint32_t
update_heat_(GwAgent *agent, const Gw__Wire__Probe *probe, GwTime prefill,
             GwTime now)
{
    // The part of the engine's time that the request takes by holding a slot:
    // the mean time for which requests hold one, divided by the number of
    // slots. Prefill time is not divided, because an engine prefills one
    // prompt after the other.
    double slot_time =
        GwAdmission_AverageSlotTime(agent->admission) / MAX(agent->slots, 1);
    // Each request probes two of the `probe->width` engines that share the
    // prefix, so one probe here stands for width / 2 requests. Two engines are
    // probed even if the width is 1, so the lowest value is that of two.
    double requests_per_probe = MAX(probe->width, 2) / 2.0;
    double heat_us;

    if (probe->anchor == 0)
        return 1;
    GwHeat_Add(agent->heat, probe->anchor,
               ((double)prefill + slot_time) * requests_per_probe, now);
    heat_us = GwHeat_Get(agent->heat, probe->anchor, now);
    return GwHeat_Width(heat_us, GW_HEAT_HALF_LIFE);
}
