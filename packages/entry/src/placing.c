#define GW_LOG_PART "entry"
#include "placing.h"

#include <string.h>

#include "galenagw/base/log.h"

/* All candidates together must answer within this. */
#define ROUND_TIME (100 * GW_MILLISECOND)
/* After a usable offer the others get this much longer. */
#define GRACE_TIME (5 * GW_MILLISECOND)
/* Pause before looking again when no member is usable. */
#define NO_MEMBER_STEP (20 * GW_MILLISECOND)
/* Patience with members that are suspect and being tried again. */
#define NO_MEMBER_TIME (400 * GW_MILLISECOND)
/* After a trial found no room, others are told so without asking. */
#define TRIAL_PAUSE (20 * GW_MILLISECOND)
#define TRIAL_PROBES 2
#define MAX_ROUNDS 3
#define RTT_SHARE 8

typedef struct {
    GwCandidateMember *rows;
    GwMember **members;
    int *in_flight;
    size_t n;
} Field;

static Field gather_(Exchange *x);
static void field_finish_(Field *field);
static bool was_tried_(const Exchange *x, const GwMember *member);
static void pick_(Exchange *x, const Field *field);
static void pick_by_prefix_(Exchange *x, const Field *field);
static void pick_for_key_(Exchange *x, const Field *field);
static void place_(Exchange *x, const Field *field);
static bool place_again_(Exchange *x, const Field *field);
static void add_candidate_(Exchange *x, GwMember *member);
static void ask_(Exchange *x, Candidate *c);
static void nobody_(Exchange *x);
static bool others_may_come_(const Exchange *x);
static void decide_(Exchange *x);
static void release_others_(Exchange *x, int best);
static void all_declined_(Exchange *x);
static bool round_is_over_(const Exchange *x);
static int collect_(const Exchange *x, GwOffer offers[GW_CANDIDATES_MAX]);
static Candidate *find_(Exchange *x, const Peer *peer);

void
Placing_Start(Exchange *x)
{
    Field field;

    // A flood of trials must not cost the agents' time for paying requests.
    if (x->trial && GwTime_Now() < x->entry->trials_closed_until) {
        Exchange_Refuse(x, GW_REFUSAL_TRIAL_ROOM,
                        x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                        GW_SECOND);
        return;
    }
    field = gather_(x);
    x->n_candidates = 0;
    x->probe_id = x->entry->next_probe++;
    x->probed_at = GwTime_Now();
    if (field.n == 0)
        nobody_(x);
    else if (x->entry->options.placement != NULL && !x->request.service)
        place_(x, &field);
    else if (!place_again_(x, &field))
        pick_(x, &field);
    field_finish_(&field);
}

void
Placing_OnTimer(Exchange *x)
{
    decide_(x);
}

void
Placing_NoteTried(Exchange *x, const GwMember *member)
{
    if (x->n_tried < MAX_TRIED)
        x->tried[x->n_tried++] = member;
}

void
Placing_Submit(Exchange *x, Peer *peer)
{
    GW_FRAME(frame, s, SUBMIT, Submit, submit);

    Exchange_ForgetRound(x);
    GwTimer_Stop(&x->timer);
    x->peer = peer;
    x->incarnation = peer->member->incarnation;
    x->attempt++;
    x->next_seq = 0;
    x->acked = 0;
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
    s.budget_ms = (uint32_t)(Exchange_Budget(x) / GW_MILLISECOND);
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
Placing_OnOffer(Peer *peer, const Gw__Wire__Offer *offer)
{
    GwEntry *entry = peer->entry;
    Exchange *x = g_hash_table_lookup(entry->probes, &offer->probe_id);
    Candidate *c = x != NULL ? find_(x, peer) : NULL;
    GwTime now = GwTime_Now();

    // An offer for a round that is over; its reservation runs out there.
    if (c == NULL || c->offer.answered)
        return;
    peer->rtt += (now - x->probed_at - peer->rtt) / RTT_SHARE;
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
        decide_(x);
    else if (c->offer.refusal == GW_REFUSAL_NONE)
        GwTimer_Start(&x->timer, GRACE_TIME);
}

void
Placing_PeerReady(Peer *peer)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, peer->entry->probes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Candidate *c = find_(value, peer);

        if (c != NULL && !c->sent)
            ask_(value, c);
    }
}

void
Placing_PeerLost(Peer *peer)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) over = g_ptr_array_new();

    g_hash_table_iter_init(&it, peer->entry->probes);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Candidate *c = find_(value, peer);

        if (c == NULL)
            continue;
        c->failed = true;
        c->offer.answered = false;
        if (round_is_over_(value))
            g_ptr_array_add(over, value);
    }
    for (guint i = 0; i < over->len; i++)
        decide_(over->pdata[i]);
}

static Field
gather_(Exchange *x)
{
    const GPtrArray *pool =
        GwMembership_Pool(x->entry->members, x->request.pool);
    size_t all = pool != NULL ? pool->len : 0;
    GwTime now = GwTime_Now();
    Field f = {g_new0(GwCandidateMember, all + 1), g_new(GwMember *, all + 1),
               g_new0(int, all + 1), 0};

    for (size_t i = 0; i < all; i++) {
        GwMember *member = pool->pdata[i];
        const Peer *peer = member->user;

        if (!GwMembership_IsUsable(member, now) || was_tried_(x, member))
            continue;
        f.members[f.n] = member;
        f.rows[f.n] = (GwCandidateMember){member->id, true};
        f.in_flight[f.n] = peer != NULL ? peer->in_flight : 0;
        f.n++;
    }
    return f;
}

static void
field_finish_(Field *field)
{
    g_free(field->rows);
    g_free(field->members);
    g_free(field->in_flight);
}

static bool
was_tried_(const Exchange *x, const GwMember *member)
{
    for (int i = 0; i < x->n_tried; i++) {
        if (x->tried[i] == member)
            return true;
    }
    return false;
}

static void
pick_(Exchange *x, const Field *field)
{
    x->state = EXCHANGE_PROBING;
    g_hash_table_insert(x->entry->probes, &x->probe_id, x);
    GwTimer_Start(&x->timer, ROUND_TIME);
    if (x->request.service && x->request.key != NULL)
        pick_for_key_(x, field);
    else
        pick_by_prefix_(x, field);
    // Nobody could even be connected to: no reason to wait for the timer.
    if (round_is_over_(x))
        GwTimer_Start(&x->timer, 0);
}

static void
pick_by_prefix_(Exchange *x, const Field *field)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    double heat = GwHeat_Get(x->entry->widths, x->anchor, x->probed_at);
    GwCandidateOptions options = {config->tuning.probes, 2};
    size_t picks[GW_CANDIDATES_MAX];
    int n;

    x->width = MAX(2, (uint32_t)(heat + 0.5));
    options.width = x->width;
    // A call without a prompt has nothing cached: any two will do.
    if (x->chain.count == 0) {
        x->chain.last = x->id;
        options.probes = 2;
    }
    if (x->trial)
        options.probes = MIN(options.probes, TRIAL_PROBES);
    // Members that declined are not asked again, so a further round is
    // wider: the last look before a refusal.
    if (x->rounds > 0)
        options.probes = GW_CANDIDATES_MAX;
    n = GwCandidates_Pick(&x->chain, field->rows, field->n, &options,
                          x->entry->rand, picks);
    for (int i = 0; i < n; i++)
        add_candidate_(x, field->members[picks[i]]);
}

// Calls with a key go where the key's first call went, while that member
// is usable; it is the one that can answer a repeat.
static void
pick_for_key_(Exchange *x, const Field *field)
{
    uint64_t key =
        XXH3_64bits_withSeed(x->request.key, strlen(x->request.key),
                             XXH3_64bits(x->account, strlen(x->account)));
    size_t best = 0;

    for (size_t i = 1; i < field->n; i++) {
        if (GwCandidates_Weight(key, field->rows[i].id) >
            GwCandidates_Weight(key, field->rows[best].id))
            best = i;
    }
    add_candidate_(x, field->members[best]);
}

static void
place_(Exchange *x, const Field *field)
{
    const GwPlacement *p = x->entry->options.placement;
    int i =
        p->pick(p->impl, &x->chain, field->rows, field->in_flight, field->n);
    Peer *peer;

    g_assert(i >= 0 && (size_t)i < field->n);
    peer = Peers_Get(x->entry, field->members[i]);
    Peers_Connect(peer);
    if (Peers_IsReady(peer))
        Placing_Submit(x, peer);
    else
        Exchange_Wait(x, NO_MEMBER_STEP);
}

// Where this prefix has just been served without a wait, and nothing of ours
// is in flight, a round of offers has nothing to decide.
static bool
place_again_(Exchange *x, const Field *field)
{
    uint64_t id;

    if (x->trial || x->anchor == 0 || x->rounds > 0 || x->attempt > 0)
        return false;
    id = GwAffinity_Find(x->entry->affinity, x->anchor, x->probed_at,
                         &x->offered_ttft);
    for (size_t i = 0; id != 0 && i < field->n; i++) {
        Peer *peer = field->members[i]->user;

        if (field->rows[i].id != id || field->in_flight[i] > 0)
            continue;
        if (peer == NULL || !Peers_IsReady(peer))
            return false;
        x->by_affinity = true;
        Placing_Submit(x, peer);
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
        ask_(x, c);
    else if (c->peer->session == NULL)
        c->failed = true;
}

static void
ask_(Exchange *x, Candidate *c)
{
    GW_FRAME(frame, p, PROBE, Probe, probe);

    c->sent = true;
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
    p.budget_ms = (uint32_t)(Exchange_Budget(x) / GW_MILLISECOND);
    p.anchor = x->anchor;
    p.width = x->width;
    GwCounters_Add(&x->entry->counters, GW_COUNTER_PROBES, 1);
    GwSession_Send(c->peer->session, &frame);
}

// No member may get this request now.
static void
nobody_(Exchange *x)
{
    GwTime now = GwTime_Now();

    if (others_may_come_(x) && now - x->sought_at < NO_MEMBER_TIME) {
        Exchange_Wait(x, NO_MEMBER_STEP);
        return;
    }
    // What became of the last attempt tells the caller more.
    Exchange_Refuse(x,
                    x->failed_with != GW_REFUSAL_NONE ? x->failed_with
                                                      : GW_REFUSAL_NO_ENDPOINT,
                    x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO, GW_SECOND);
}

static bool
others_may_come_(const Exchange *x)
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
decide_(Exchange *x)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    GwOffer offers[GW_CANDIDATES_MAX];
    int n = collect_(x, offers);
    int best =
        GwChoice_Best(offers, (size_t)n, config->tuning.recompute_weight);

    if (best < 0) {
        all_declined_(x);
        return;
    }
    if (x->anchor != 0 && GwChoice_IsGoodEnough(&x->candidates[best].offer))
        GwAffinity_Remember(x->entry->affinity, x->anchor,
                            x->candidates[best].peer->member->id,
                            x->candidates[best].offer.ttft, x->probed_at);
    release_others_(x, best);
    Placing_Submit(x, x->candidates[best].peer);
}

// Places held for us elsewhere would look like work to other entries.
static void
release_others_(Exchange *x, int best)
{
    GW_FRAME(frame, release, RELEASE, Release, release);

    release.probe_id = x->probe_id;
    for (int i = 0; i < x->n_candidates; i++) {
        Candidate *c = &x->candidates[i];

        // One that has not answered yet has its place held all the same.
        if (i != best && c->sent && Peers_IsReady(c->peer) &&
            (!c->offer.answered || c->offer.refusal == GW_REFUSAL_NONE))
            GwSession_Send(c->peer->session, &frame);
    }
}

static void
all_declined_(Exchange *x)
{
    GwOffer offers[GW_CANDIDATES_MAX];
    int n = collect_(x, offers);
    GwTime retry_after;
    GwRefusal refusal = GwChoice_Refusal(offers, (size_t)n, &retry_after);
    // Trials do not go round looking for room: it would cost paying
    // requests the time of the agents they ask.
    bool again = !x->trial || refusal == GW_REFUSAL_NO_ENDPOINT ||
                 refusal == GW_REFUSAL_LEAVING ||
                 refusal == GW_REFUSAL_WRONG_VERSION;

    if (x->trial)
        x->entry->trials_closed_until = GwTime_Now() + TRIAL_PAUSE;
    Exchange_ForgetRound(x);
    for (int i = 0; i < x->n_candidates; i++)
        Placing_NoteTried(x, x->candidates[i].peer->member);
    x->rounds++;
    if (again && x->rounds < MAX_ROUNDS) {
        Field field = gather_(x);
        bool more = field.n > 0;

        field_finish_(&field);
        if (more && GwRetryBudget_Take(&x->entry->budget)) {
            GwCounters_Retry(&x->entry->counters, GW_RETRY_DECLINED);
            Placing_Start(x);
            return;
        }
    }
    Exchange_Refuse(x, refusal, x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                    retry_after);
}

// Whether no candidate is left whose offer is worth waiting for. One that is
// still being connected is waited for only while nobody has made an offer.
static bool
round_is_over_(const Exchange *x)
{
    bool usable = false;
    bool connecting = false;

    for (int i = 0; i < x->n_candidates; i++) {
        const Candidate *c = &x->candidates[i];

        if (c->failed)
            continue;
        if (c->sent && !c->offer.answered)
            return false;
        connecting |= !c->sent;
        usable |= c->offer.answered && c->offer.refusal == GW_REFUSAL_NONE;
    }
    return usable || !connecting;
}

static int
collect_(const Exchange *x, GwOffer offers[GW_CANDIDATES_MAX])
{
    for (int i = 0; i < x->n_candidates; i++) {
        offers[i] = x->candidates[i].offer;
        // It may have been lost since it made its offer.
        if (!Peers_IsReady(x->candidates[i].peer))
            offers[i].answered = false;
    }
    return x->n_candidates;
}

static Candidate *
find_(Exchange *x, const Peer *peer)
{
    for (int i = 0; i < x->n_candidates; i++) {
        if (x->candidates[i].peer == peer)
            return &x->candidates[i];
    }
    return NULL;
}
