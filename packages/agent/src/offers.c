#include "offers.h"

#include <string.h>

#include "galenagw/policy/chain.h"

/* A probe's place, held until its request comes or the time is over. */
typedef struct {
    GwTicket ticket; /* first, so that a ticket is its reservation */
    uint64_t probe_id;
} Reservation;

static void reserve_(GwAgent *agent, const Gw__Wire__Probe *probe,
                     const GwTicket *ticket);
static GwRefusal refusal_(const GwAgent *agent, const Gw__Wire__Probe *probe,
                          size_t resident);
static uint32_t heat_(GwAgent *agent, const Gw__Wire__Probe *probe,
                      GwTime prefill, GwTime now);

void
Offers_Probe(GwAgent *agent, GwSession *session, const Gw__Wire__Probe *probe)
{
    GwTime now = GwTime_Now();
    size_t n = MIN(probe->n_chain, probe->n_chunk_bytes);
    size_t resident = Offers_Resident(agent, probe->weights, probe->chain, n);
    GwTicket ticket = {0};
    GwEstimate e;
    GW_FRAME(frame, offer, OFFER, Offer, offer);

    GwCounters_Add(&agent->counters, GW_COUNTER_PROBES, 1);
    ticket.trial = probe->trial;
    ticket.urgency = (int)probe->urgency;
    ticket.deadline = probe->budget_ms > 0
                          ? now + probe->budget_ms * GW_MILLISECOND
                          : GW_NEVER;
    ticket.prefill = Offers_Prefill(agent, probe->chunk_bytes, resident, n);
    e = GwAdmission_Estimate(agent->admission, &ticket, now);
    offer.probe_id = probe->probe_id;
    offer.refusal = refusal_(agent, probe, resident);
    if (offer.refusal == GW_REFUSAL_NONE)
        offer.refusal = e.refusal;
    offer.resident_chunks = (uint32_t)resident;
    offer.ttft_us = (uint64_t)(e.wait + ticket.prefill);
    offer.busy_us = (uint64_t)e.wait;
    offer.missing_tokens = GwChain_Tokens(probe->chunk_bytes, resident, n);
    offer.retry_after_ms = (uint32_t)(e.retry_after / GW_MILLISECOND);
    offer.heat = heat_(agent, probe, ticket.prefill, now);
    if (offer.refusal == GW_REFUSAL_NONE)
        reserve_(agent, probe, &ticket);
    GwSession_Send(session, &frame);
}

void
Offers_TakeUp(GwAgent *agent, uint64_t probe_id)
{
    Reservation *r = g_hash_table_lookup(agent->reservations, &probe_id);

    if (r == NULL)
        return;
    GwAdmission_Leave(agent->admission, &r->ticket, GwTime_Now());
    g_hash_table_remove(agent->reservations, &probe_id);
}

void
Offers_Expire(GwAgent *agent, GwTime now)
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
Offers_Resident(const GwAgent *agent, const char *weights,
                const uint64_t *chain, size_t n)
{
    // A chain made for other weights names blocks that this engine cannot
    // hold; nothing of it may be counted on.
    if (agent->weights == NULL || strcmp(agent->weights, weights) != 0)
        return 0;
    return GwCacheView_Resident(agent->view, chain, n);
}

bool
Offers_TrialCacheFull(const GwAgent *agent, size_t missing)
{
    const GwConfig *config = GwConfigFeed_Config(agent->feed);
    double share = config != NULL ? config->tuning.trial_cache_share : 0;
    size_t held = GwCacheView_TrialSize(agent->view);

    // A trial larger than the whole share passes while it is alone.
    return missing > 0 && held > 0 &&
           (double)(held + missing) >
               share * (double)GwCacheView_Capacity(agent->view);
}

GwTime
Offers_Prefill(const GwAgent *agent, const uint32_t *bytes, size_t resident,
               size_t n)
{
    return GwPrefillCost_Estimate(&agent->cost,
                                  GwChain_Tokens(bytes, resident, n));
}

static void
reserve_(GwAgent *agent, const Gw__Wire__Probe *probe, const GwTicket *ticket)
{
    Reservation *r;

    if (g_hash_table_contains(agent->reservations, &probe->probe_id))
        return;
    r = g_new0(Reservation, 1);
    r->ticket = *ticket;
    r->probe_id = probe->probe_id;
    g_hash_table_insert(agent->reservations, &r->probe_id, r);
    GwAdmission_Reserve(agent->admission, &r->ticket, GwTime_Now());
}

static GwRefusal
refusal_(const GwAgent *agent, const Gw__Wire__Probe *probe, size_t resident)
{
    if (agent->draining)
        return GW_REFUSAL_LEAVING;
    if (!agent->endpoint_up)
        return GW_REFUSAL_NO_ENDPOINT;
    if (agent->endpoint_loading || agent->held)
        return GW_REFUSAL_WRONG_VERSION;
    if (probe->trial &&
        Offers_TrialCacheFull(agent, probe->n_chain - resident))
        return GW_REFUSAL_TRIAL_ROOM;
    return GW_REFUSAL_NONE;
}

// Every probe for a prefix counts, also those that go elsewhere in the end:
// the count shows the whole demand for it, not the share that landed here,
// so widening does not make a prefix look cool again.
static uint32_t
heat_(GwAgent *agent, const Gw__Wire__Probe *probe, GwTime prefill, GwTime now)
{
    double hold = GwAdmission_Hold(agent->admission) / MAX(agent->slots, 1);
    // Of the `width` places that share this prefix each probe asks two.
    double seen_of = MAX(probe->width, 2) / 2.0;
    double busy;

    if (probe->anchor == 0)
        return 1;
    GwHeat_Add(agent->heat, probe->anchor, ((double)prefill + hold) * seen_of,
               now);
    busy = GwHeat_Get(agent->heat, probe->anchor, now);
    return GwHeat_Width(busy, GW_HEAT_HALF_LIFE);
}
