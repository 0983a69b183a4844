#define GW_LOG_PART "entry"
#include "placement.h"

#include <string.h>

#include "galenagw/base/log.h"

/* A probe round without a usable offer ends after this time, which applies to
   all its candidates together. A usable offer restarts the timer with
   OFFER_GRACE_TIME. */
#define PROBE_ROUND_TIMEOUT (100 * GW_MILLISECOND)
/* How long after the latest usable offer the round waits for the other
   candidates. */
#define OFFER_GRACE_TIME (5 * GW_MILLISECOND)
/* Time until the next check if no member is usable. */
#define NO_MEMBER_RETRY_DELAY (20 * GW_MILLISECOND)
/* How long a request waits for suspect members to be reconnected. */
#define SUSPECT_MEMBER_TIMEOUT (400 * GW_MILLISECOND)
/* After a trial request was declined, further trial requests are refused for
   this time without a probe round. */
#define TRIAL_REJECTION_TIME (20 * GW_MILLISECOND)
/* Candidates in a probe round of a trial request. */
#define TRIAL_PROBES_MAX 2
/* After so many rounds in which all candidates declined, the request is
   refused. */
#define PROBE_ROUNDS_MAX 3
/* A new round-trip time is added to the smoothed one with the weight 1/8. */
#define RTT_SMOOTHING_DIVISOR 8

/* Usable members of a pool that the exchange has not tried yet. Elements of
   the same index belong to the same member. */
typedef struct {
    GwCandidateMember *rows; /* as GwCandidates_Pick takes them */
    GwMember **members;
    int *in_flight; /* requests of this entry at each member */
    size_t n;
} MemberSet;

static MemberSet gather_usable_members_(Exchange *x);
static void free_member_set_(MemberSet *set);
static bool was_tried_(const Exchange *x, const GwMember *member);
static void start_probe_round_(Exchange *x, const MemberSet *set);
static void probe_by_prefix_(Exchange *x, const MemberSet *set);
static void probe_by_key_(Exchange *x, const MemberSet *set);
static void submit_by_policy_(Exchange *x, const MemberSet *set);
static bool submit_by_affinity_(Exchange *x, const MemberSet *set);
static void add_candidate_(Exchange *x, GwMember *member);
static void send_probe_(Exchange *x, Candidate *c);
static void handle_no_member_(Exchange *x);
static bool has_untried_suspect_(const Exchange *x);
static void choose_offer_(Exchange *x);
static void release_other_offers_(Exchange *x, int best);
static void handle_all_declined_(Exchange *x);
static bool round_is_over_(const Exchange *x);
static int collect_offers_(const Exchange *x,
                           GwOffer offers[GW_CANDIDATES_MAX]);
static Candidate *find_candidate_(Exchange *x, const Peer *peer);

void
Placement_Start(Exchange *x)
{
    MemberSet set;

    // Many trial requests at once must not take agent time from paying ones.
    if (x->trial && GwTime_Now() < x->entry->trials_rejected_until) {
        Exchange_Refuse(x, GW_REFUSAL_TRIAL_ROOM,
                        x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                        GW_SECOND);
        return;
    }
    set = gather_usable_members_(x);
    x->n_candidates = 0;
    x->probe_id = x->entry->next_probe++;
    x->probed_at = GwTime_Now();
    if (set.n == 0)
        handle_no_member_(x);
    else if (x->entry->options.placement != NULL && !x->request.service)
        submit_by_policy_(x, &set);
    else if (!submit_by_affinity_(x, &set))
        start_probe_round_(x, &set);
    free_member_set_(&set);
}

void
Placement_OnTimer(Exchange *x)
{
    choose_offer_(x);
}

void
Placement_MarkTried(Exchange *x, const GwMember *member)
{
    if (x->n_tried_members < TRIED_MEMBERS_MAX)
        x->tried_members[x->n_tried_members++] = member;
}

void
Placement_Submit(Exchange *x, Peer *peer)
{
    GW_FRAME(frame, s, SUBMIT, Submit, submit);

    Exchange_EndProbeRound(x);
    GwTimer_Stop(&x->timer);
    x->peer = peer;
    x->incarnation = peer->member->incarnation;
    x->attempt++;
    x->next_seq = 0;
    x->acked = 0;
    x->unacked_bytes = 0;
    x->state = EXCHANGE_SUBMITTED;
    XXH64_reset(&x->digest, 0);
    TAILQ_INSERT_TAIL(&peer->exchanges, x, link);
    peer->in_flight++;
    peer->last_used = GwTime_Now();
    GwCounters_Add(&x->entry->counters, GW_COUNTER_ATTEMPTS, 1);
    s.request_id = x->id;
    s.attempt = x->attempt;
    s.probe_id = x->probe_id;
    s.account = x->account;
    s.trial = x->trial;
    s.urgency = (uint32_t)x->urgency;
    s.n_chain = x->chain.count;
    s.chain = x->chain.hashes;
    s.n_chunk_bytes = x->chain.count;
    s.chunk_bytes = x->chain.bytes;
    s.weights = x->weights;
    s.budget_ms = (uint32_t)(Exchange_TimeToDeadline(x) / GW_MILLISECOND);
    s.method = x->request.method;
    s.path = x->request.path;
    s.content_type = x->request.content_type;
    s.body.data = (uint8_t *)x->request.body;
    s.body.len = x->request.body_len;
    s.idempotent = x->idempotent;
    s.key = x->request.key != NULL ? x->request.key : "";
    s.stream = x->request.stream;
    GwSession_Send(peer->session, &frame);
}

void
Placement_OnOffer(Peer *peer, const Gw__Wire__Offer *offer)
{
    GwEntry *entry = peer->entry;
    Exchange *x = g_hash_table_lookup(entry->probes, &offer->probe_id);
    Candidate *c = x != NULL ? find_candidate_(x, peer) : NULL;
    GwTime now = GwTime_Now();

    // The probe round has ended; the reservation expires at the agent.
    if (c == NULL || c->offer.answered)
        return;
    peer->rtt += (now - x->probed_at - peer->rtt) / RTT_SMOOTHING_DIVISOR;
    c->offer.answered = true;
    c->offer.refusal = offer->refusal < GW_REFUSALS ? (GwRefusal)offer->refusal
                                                    : GW_REFUSAL_NO_ENDPOINT;
    c->offer.ttft = (GwTime)offer->ttft_us;
    c->offer.prefill = (GwTime)(offer->ttft_us - offer->busy_us);
    c->offer.own_only =
        x->chain.n_levels > 1 &&
        offer->resident_chunks >= x->chain.levels[x->chain.n_levels - 2];
    c->offer.rtt = peer->rtt;
    c->offer.retry_after = offer->retry_after_ms * GW_MILLISECOND;
    if (offer->heat > 1 && x->anchor != 0)
        GwHeat_Raise(entry->widths, x->anchor, offer->heat, now);
    if (offer->refusal == GW_REFUSAL_LEAVING)
        GwMembership_Leaving(entry->members, peer->member);
    if (round_is_over_(x) || GwChoice_IsGoodEnough(&c->offer))
        choose_offer_(x);
    else if (c->offer.refusal == GW_REFUSAL_NONE)
        GwTimer_Start(&x->timer, OFFER_GRACE_TIME);
}

void
Placement_OnPeerReady(Peer *peer)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, peer->entry->probes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Candidate *c = find_candidate_(value, peer);

        if (c != NULL && !c->probe_sent)
            send_probe_(value, c);
    }
}

void
Placement_OnPeerLost(Peer *peer)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) over = g_ptr_array_new();

    g_hash_table_iter_init(&it, peer->entry->probes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Candidate *c = find_candidate_(value, peer);

        if (c == NULL)
            continue;
        c->failed = true;
        c->offer.answered = false;
        if (round_is_over_(value))
            g_ptr_array_add(over, value);
    }
    for (guint i = 0; i < over->len; i++)
        choose_offer_(over->pdata[i]);
}

static MemberSet
gather_usable_members_(Exchange *x)
{
    const GPtrArray *pool =
        GwMembership_Pool(x->entry->members, x->request.pool);
    size_t all = pool != NULL ? pool->len : 0;
    GwTime now = GwTime_Now();
    MemberSet gathered = {g_new0(GwCandidateMember, all + 1),
                          g_new(GwMember *, all + 1), g_new0(int, all + 1), 0};

    for (size_t i = 0; i < all; i++) {
        GwMember *member = pool->pdata[i];
        const Peer *peer = member->user;

        if (!GwMembership_IsUsable(member, now) || was_tried_(x, member))
            continue;
        gathered.members[gathered.n] = member;
        gathered.rows[gathered.n] = (GwCandidateMember){member->id, true};
        gathered.in_flight[gathered.n] = peer != NULL ? peer->in_flight : 0;
        gathered.n++;
    }
    return gathered;
}

static void
free_member_set_(MemberSet *set)
{
    g_free(set->rows);
    g_free(set->members);
    g_free(set->in_flight);
}

static bool
was_tried_(const Exchange *x, const GwMember *member)
{
    for (int i = 0; i < x->n_tried_members; i++) {
        if (x->tried_members[i] == member)
            return true;
    }
    return false;
}

static void
start_probe_round_(Exchange *x, const MemberSet *set)
{
    x->state = EXCHANGE_PROBING;
    g_hash_table_insert(x->entry->probes, &x->probe_id, x);
    GwTimer_Start(&x->timer, PROBE_ROUND_TIMEOUT);
    if (x->request.service && x->request.key != NULL)
        probe_by_key_(x, set);
    else
        probe_by_prefix_(x, set);
    // No candidate has a session or is being connected: do not wait.
    if (round_is_over_(x))
        GwTimer_Start(&x->timer, 0);
}

static void
probe_by_prefix_(Exchange *x, const MemberSet *set)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    double heat = GwHeat_Get(x->entry->widths, x->anchor, x->probed_at);
    GwCandidateOptions options = {config->tuning.probes, 2};
    size_t picks[GW_CANDIDATES_MAX];
    int n;

    x->width = MAX(2, (uint32_t)(heat + 0.5));
    options.width = x->width;
    // Without a prompt nothing can be cached: probe two random members.
    if (x->chain.count == 0) {
        x->chain.last = x->id;
        options.probes = 2;
    }
    if (x->trial)
        options.probes = MIN(options.probes, TRIAL_PROBES_MAX);
    // Members that declined are excluded, so a further round probes as many
    // others as possible before the request is refused.
    if (x->n_declined_rounds > 0)
        options.probes = GW_CANDIDATES_MAX;
    n = GwCandidates_Pick(&x->chain, set->rows, set->n, &options,
                          x->entry->rand, picks);
    for (int i = 0; i < n; i++)
        add_candidate_(x, set->members[picks[i]]);
}

// Calls with the same idempotency key are sent to the same member while it is
// usable, because it can answer a retry from the stored first answer.
static void
probe_by_key_(Exchange *x, const MemberSet *set)
{
    uint64_t key =
        XXH3_64bits_withSeed(x->request.key, strlen(x->request.key),
                             XXH3_64bits(x->account, strlen(x->account)));
    size_t best = 0;

    for (size_t i = 1; i < set->n; i++) {
        if (GwCandidates_Weight(key, set->rows[i].id) >
            GwCandidates_Weight(key, set->rows[best].id))
            best = i;
    }
    add_candidate_(x, set->members[best]);
}

// Submit to the member that options.placement selects, without offers.
static void
submit_by_policy_(Exchange *x, const MemberSet *set)
{
    const GwPlacement *p = x->entry->options.placement;
    int i = p->pick(p->impl, &x->chain, set->rows, set->in_flight, set->n);
    Peer *peer;

    g_assert(i >= 0 && (size_t)i < set->n);
    peer = Peers_Get(x->entry, set->members[i]);
    Peers_Connect(peer);
    if (Peers_IsReady(peer))
        Placement_Submit(x, peer);
    else
        Exchange_RecheckAfter(x, NO_MEMBER_RETRY_DELAY);
}

// Submit without a probe round to the member that has just served this prefix
// without a wait, if no request of this entry is in flight there: its offer
// would be the best one again, so a probe round has nothing to decide.
static bool
submit_by_affinity_(Exchange *x, const MemberSet *set)
{
    uint64_t id;

    if (x->trial || x->anchor == 0 || x->n_declined_rounds > 0 ||
        x->attempt > 0)
        return false;
    id = GwAffinity_Find(x->entry->affinity, x->anchor, x->probed_at,
                         &x->offered_ttft);
    for (size_t i = 0; id != 0 && i < set->n; i++) {
        Peer *peer = set->members[i]->user;

        if (set->rows[i].id != id || set->in_flight[i] > 0)
            continue;
        if (peer == NULL || !Peers_IsReady(peer))
            return false;
        x->placed_by_affinity = true;
        Placement_Submit(x, peer);
        return true;
    }
    return false;
}

static void
add_candidate_(Exchange *x, GwMember *member)
{
    Candidate *c = &x->candidates[x->n_candidates++];

    memset(c, 0, sizeof(*c));
    c->peer = Peers_Get(x->entry, member);
    Peers_Connect(c->peer);
    if (Peers_IsReady(c->peer))
        send_probe_(x, c);
    else if (c->peer->session == NULL)
        c->failed = true;
}

static void
send_probe_(Exchange *x, Candidate *c)
{
    GW_FRAME(frame, p, PROBE, Probe, probe);

    c->probe_sent = true;
    c->peer->last_used = GwTime_Now();
    p.probe_id = x->probe_id;
    p.account = x->account;
    p.trial = x->trial;
    p.urgency = (uint32_t)x->urgency;
    p.n_chain = x->chain.count;
    p.chain = x->chain.hashes;
    p.n_chunk_bytes = x->chain.count;
    p.chunk_bytes = x->chain.bytes;
    p.weights = x->weights;
    p.budget_ms = (uint32_t)(Exchange_TimeToDeadline(x) / GW_MILLISECOND);
    p.anchor = x->anchor;
    p.width = x->width;
    GwCounters_Add(&x->entry->counters, GW_COUNTER_PROBES, 1);
    GwSession_Send(c->peer->session, &frame);
}

// No untried member is usable: wait until a suspect one reconnects, or refuse.
static void
handle_no_member_(Exchange *x)
{
    GwTime now = GwTime_Now();

    if (has_untried_suspect_(x) &&
        now - x->search_started_at < SUSPECT_MEMBER_TIMEOUT) {
        Exchange_RecheckAfter(x, NO_MEMBER_RETRY_DELAY);
        return;
    }
    // The reason of the last attempt's failure is more specific than
    // GW_REFUSAL_NO_ENDPOINT.
    Exchange_Refuse(x,
                    x->last_refusal != GW_REFUSAL_NONE
                        ? x->last_refusal
                        : GW_REFUSAL_NO_ENDPOINT,
                    x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO, GW_SECOND);
}

static bool
has_untried_suspect_(const Exchange *x)
{
    const GPtrArray *pool =
        GwMembership_Pool(x->entry->members, x->request.pool);

    for (guint i = 0; pool != NULL && i < pool->len; i++) {
        const GwMember *member = pool->pdata[i];

        if (member->state == GW_MEMBER_SUSPECT && !was_tried_(x, member))
            return true;
    }
    return false;
}

static void
choose_offer_(Exchange *x)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    GwOffer offers[GW_CANDIDATES_MAX];
    int n = collect_offers_(x, offers);
    int best =
        GwChoice_Best(offers, (size_t)n, config->tuning.recompute_weight);

    if (best < 0) {
        handle_all_declined_(x);
        return;
    }
    if (x->anchor != 0 && GwChoice_IsGoodEnough(&x->candidates[best].offer))
        GwAffinity_Set(x->entry->affinity, x->anchor,
                       x->candidates[best].peer->member->id,
                       x->candidates[best].offer.ttft, x->probed_at);
    release_other_offers_(x, best);
    Placement_Submit(x, x->candidates[best].peer);
}

// Release the reservations of the other candidates: agents count them as load
// in their offers to other entries.
static void
release_other_offers_(Exchange *x, int best)
{
    GW_FRAME(frame, release, RELEASE, Release, release);

    release.probe_id = x->probe_id;
    for (int i = 0; i < x->n_candidates; i++) {
        Candidate *c = &x->candidates[i];

        // A candidate whose offer is outstanding has reserved as well.
        if (i != best && c->probe_sent && Peers_IsReady(c->peer) &&
            (!c->offer.answered || c->offer.refusal == GW_REFUSAL_NONE))
            GwSession_Send(c->peer->session, &frame);
    }
}

static void
handle_all_declined_(Exchange *x)
{
    GwOffer offers[GW_CANDIDATES_MAX];
    int n = collect_offers_(x, offers);
    GwTime retry_after;
    GwRefusal refusal = GwChoice_Refusal(offers, (size_t)n, &retry_after);
    // Trial requests do not probe further members for capacity: it would take
    // agent time from paying requests.
    bool may_retry = !x->trial || refusal == GW_REFUSAL_NO_ENDPOINT ||
                     refusal == GW_REFUSAL_LEAVING ||
                     refusal == GW_REFUSAL_WRONG_VERSION;

    if (x->trial)
        x->entry->trials_rejected_until = GwTime_Now() + TRIAL_REJECTION_TIME;
    Exchange_EndProbeRound(x);
    for (int i = 0; i < x->n_candidates; i++)
        Placement_MarkTried(x, x->candidates[i].peer->member);
    x->n_declined_rounds++;
    if (may_retry && x->n_declined_rounds < PROBE_ROUNDS_MAX) {
        MemberSet set = gather_usable_members_(x);
        bool has_members = set.n > 0;

        free_member_set_(&set);
        if (has_members && GwRetryBudget_Take(&x->entry->budget)) {
            GwCounters_AddRetry(&x->entry->counters, GW_RETRY_DECLINED);
            Placement_Start(x);
            return;
        }
    }
    Exchange_Refuse(x, refusal, x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                    retry_after);
}

// Whether the round has no outstanding offer to wait for. A candidate that is
// still being connected is waited for only while there is no usable offer.
static bool
round_is_over_(const Exchange *x)
{
    bool usable = false;
    bool connecting = false;

    for (int i = 0; i < x->n_candidates; i++) {
        const Candidate *c = &x->candidates[i];

        if (c->failed)
            continue;
        if (c->probe_sent && !c->offer.answered)
            return false;
        connecting |= !c->probe_sent;
        usable |= c->offer.answered && c->offer.refusal == GW_REFUSAL_NONE;
    }
    return usable || !connecting;
}

static int
collect_offers_(const Exchange *x, GwOffer offers[GW_CANDIDATES_MAX])
{
    for (int i = 0; i < x->n_candidates; i++) {
        offers[i] = x->candidates[i].offer;
        // The session may have been lost since the offer.
        if (!Peers_IsReady(x->candidates[i].peer))
            offers[i].answered = false;
    }
    return x->n_candidates;
}

static Candidate *
find_candidate_(Exchange *x, const Peer *peer)
{
    for (int i = 0; i < x->n_candidates; i++) {
        if (x->candidates[i].peer == peer)
            return &x->candidates[i];
    }
    return NULL;
}
