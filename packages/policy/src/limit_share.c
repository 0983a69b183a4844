#include "galenagw/policy/limit_share.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Leased units that are not spent within this time are returned. */
#define LEASE_TERM (300 * GW_MILLISECOND)
/* Owners answer within some milliseconds. The timeout is short, so that an
 * owner on a suspended machine does not use up the time of callers. If answers
 * take longer, as at an entry that lacks processor time, the timeout is a
 * multiple of the time that they take: with a fixed one, such an entry would
 * skip all owners and refuse requests that their accounts' limits allow. */
#define OWNER_ANSWER_TIMEOUT_MIN (60 * GW_MILLISECOND)
#define OWNER_ANSWER_TIMEOUT_MAX (400 * GW_MILLISECOND)
#define ANSWER_TIMEOUT_FACTOR 2
/* Divisor by which the measured answer time falls with each faster answer. */
#define ANSWER_TIME_DECAY 16
/* How long an owner is skipped that did not answer or could not be reached. */
#define OWNER_SKIP_TIME (500 * GW_MILLISECOND)
/* An owner without units left is asked again after this time at the latest. */
#define EXHAUSTED_TIME_MAX (100 * GW_MILLISECOND)
/* A waiting request is decided after WAIT_TIMEOUT_FACTOR timeouts of owners'
 * answers, but not before this time. Without a bound it could wait for ever at
 * an entry (the process that runs this code) with a long round trip to its
 * owners: by the time that the last owner has answered, EXHAUSTED_TIME_MAX of
 * the first one has passed, and the first one is asked again. */
#define WAIT_TIMEOUT_MIN (200 * GW_MILLISECOND)
#define WAIT_TIMEOUT_FACTOR 2
/* The units that an account is expected to need in this time are requested
 * before its requests arrive, if these are frequent enough. */
#define AHEAD_TIME (100 * GW_MILLISECOND)
/* Time constant of the moving average of an account's use. */
#define USE_AVERAGING_TIME GW_SECOND
/* A utilization that an owner reported is valid for this time. Owners are
 * asked in turn, and rare requests ask rarely. */
#define OWNER_USE_TERM (10 * GW_SECOND)
/* This entry counts as cut off if no owner has answered for this time, also if
 * none was asked. */
#define CUT_OFF_TIME (2 * GW_SECOND)
/* An account without requests is removed after this time. */
#define IDLE_RETENTION (60 * GW_SECOND)
/* Interval of the search for such accounts. */
#define SWEEP_INTERVAL (10 * GW_SECOND)

const char *const GwLimitState_Names[GW_LIMIT_STATES] = {
    "granted",
    "waits",
    "used_up",
    "unknown",
};

/* The lease that one owner has granted, and whether the owner can be asked. */
typedef struct {
    uint64_t owner;         /* address hash */
    double units;           /* granted and not spent */
    GwTime expires_at;      /* time when unspent units are returned */
    double requested_units; /* units needed in the pending request */
    GwTime requested_at;    /* 0: no request is pending */
    GwTime sent_at;         /* of the latest request, also if abandoned */
    GwTime exhausted_until; /* the owner has no units left */
    GwTime skipped_until;   /* the owner does not answer */
    double use;    /* utilization of its part of the limit, as it reports */
    GwTime use_at; /* 0: not reported */
    uint64_t lease_id; /* id of the latest request to this owner, counted
                          from 1; a message that only returns units has
                          the id 0 */
} Lease;

/* State of one account at this entry: its leases, its offline limit, and the
 * queue of the requests that wait for units. */
typedef struct GwLimitQueue {
    TAILQ_ENTRY(GwLimitQueue) link; /* in GwLimitShare.active */
    bool is_active;
    GwLimitShare *share;
    char *name;
    GwLimit limit;
    GwBucket offline_limit;
    Lease leases[GW_LIMIT_OWNERS];
    unsigned n_leases;
    unsigned next_lease; /* owner that is asked next */
    double use_rate;     /* units per second, moving average */
    GwTime last_used_at;
    TAILQ_HEAD(, GwLimitWaiter) waiters;
    double waiting_units; /* units needed by all waiters */
} GwLimitQueue;

struct GwLimitShare {
    GwLimitShareOptions options;
    GwLimitPool pool;
    GHashTable *queues;                /* account name to GwLimitQueue */
    TAILQ_HEAD(, GwLimitQueue) active; /* need GwLimitShare_Tick */
    GwTime swept_at;
    GwTime answered_at; /* last answer of any owner; 0: none */
    GwTime answer_time; /* of owners: the longest one lately */
};

static GwLimitQueue *find_or_add_queue_(GwLimitShare *share,
                                        const GwLimitedAccount *account,
                                        GwTime now);
static void free_queue_(void *item);
static void set_owners_(GwLimitQueue *q);
static double count_leased_units_(const GwLimitQueue *q);
static double count_requested_units_(const GwLimitQueue *q);
static bool has_pending_request_(const GwLimitQueue *q);
static void spend_leased_units_(GwLimitQueue *q, double units);
static void request_units_(GwLimitQueue *q, GwTime now);
static bool try_request_from_next_(GwLimitQueue *q, unsigned offset,
                                   double need, GwTime now);
static bool send_request_(GwLimitQueue *q, Lease *lease, double need,
                          GwTime now);
static bool can_request_from_(const Lease *lease, GwTime now);
static void skip_owner_(Lease *lease, GwTime now);
static void note_answer_time_(GwLimitShare *share, GwTime time);
static GwTime answer_timeout_(const GwLimitShare *share);
static GwTime wait_timeout_(const GwLimitShare *share);
static double estimate_units_ahead_(const GwLimitQueue *q);
static void decide_waiters_(GwLimitQueue *q, GwTime now);
static GwLimitDecision try_take_units_(GwLimitQueue *q, double units,
                                       bool may_wait, GwTime now);
static void finish_waiter_(GwLimitQueue *q, GwLimitWaiter *w,
                           const GwLimitDecision *verdict);
static Lease *find_lease_(GwLimitQueue *q, uint64_t owner);
static void update_queue_(GwLimitQueue *q, GwTime now);
static bool needs_tick_(const GwLimitQueue *q);
static void set_active_(GwLimitQueue *q);
static gboolean is_expired_(gpointer name, gpointer queue, gpointer now);
static void return_units_(GwLimitQueue *q, Lease *lease, double units);

GwLimitShare *
GwLimitShare_New(const GwLimitShareOptions *options)
{
    GwLimitShare *share = g_new0(GwLimitShare, 1);

    share->options = *options;
    TAILQ_INIT(&share->active);
    share->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue_);
    return share;
}

void
GwLimitShare_Delete(GwLimitShare *share)
{
    if (share == NULL)
        return;
    g_hash_table_unref(share->queues);
    g_free(share);
}

void
GwLimitShare_SetPool(GwLimitShare *share, const GwLimitPool *pool)
{
    GHashTableIter iter;
    gpointer queue;

    if (GwLimitPool_Equal(&share->pool, pool))
        return;
    share->pool = *pool;
    g_hash_table_iter_init(&iter, share->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue))
        set_owners_(queue);
}

GwLimitDecision
GwLimitShare_Take(GwLimitShare *share, const GwLimitedAccount *account,
                  double units, GwLimitWaiter *waiter, GwTime now)
{
    GwLimitQueue *q;
    GwLimitDecision verdict = {0};

    // A rate of 0 means that the account has no limit.
    if (account->limit.rate <= 0)
        return (GwLimitDecision){.state = GW_LIMIT_GRANTED};
    units = ceil(units);
    q = find_or_add_queue_(share, account, now);
    set_active_(q);
    q->use_rate *= exp(-(double)MAX(now - q->last_used_at, 0) /
                       (double)USE_AVERAGING_TIME);
    q->use_rate += units * GW_SECOND / USE_AVERAGING_TIME;
    q->last_used_at = now;
    if (units > account->limit.burst + account->limit.debt)
        return (GwLimitDecision){.state = GW_LIMIT_USED_UP, .missing = units};
    // Requests that came earlier are served first.
    if (q->waiting_units > 0)
        verdict.state = GW_LIMIT_WAITING;
    else
        verdict = try_take_units_(q, units, true, now);
    if (verdict.state == GW_LIMIT_WAITING) {
        waiter->queue = q;
        waiter->units = units;
        waiter->waiting_since = now;
        TAILQ_INSERT_TAIL(&q->waiters, waiter, link);
        q->waiting_units += units;
    }
    request_units_(q, now);
    // If no answer is pending, no owner can be asked now. The request is then
    // decided at once and not in a callback. A request behind other waiters is
    // decided after them, by GwLimitShare_OnAnswer or GwLimitShare_Tick.
    if (verdict.state == GW_LIMIT_WAITING && !has_pending_request_(q) &&
        TAILQ_FIRST(&q->waiters) == waiter) {
        GwLimitShare_CancelWait(waiter);
        verdict = try_take_units_(q, units, false, now);
    }
    return verdict;
}

void
GwLimitShare_CancelWait(GwLimitWaiter *waiter)
{
    GwLimitQueue *q = waiter->queue;

    if (q == NULL)
        return;
    TAILQ_REMOVE(&q->waiters, waiter, link);
    waiter->queue = NULL;
    q->waiting_units = TAILQ_EMPTY(&q->waiters)
                           ? 0
                           : MAX(q->waiting_units - waiter->units, 0);
}

void
GwLimitShare_ReturnUnits(GwLimitShare *share, const char *account,
                         double units, GwTime now)
{
    GwLimitQueue *q = g_hash_table_lookup(share->queues, account);

    if (q == NULL || q->n_leases == 0)
        return;
    // Which owner granted the units is not recorded; the owners have equal
    // parts of the limit, so each gets an equal part back, rounded down. Fewer
    // units than owners are thus not returned at all.
    for (unsigned i = 0; i < q->n_leases; i++)
        return_units_(q, &q->leases[i], units / q->n_leases);
}

void
GwLimitShare_OnAnswer(GwLimitShare *share, uint64_t owner,
                      const GwLimitRequest *answer, double units, GwTime now)
{
    GwLimitQueue *q = g_hash_table_lookup(share->queues, answer->account);
    Lease *lease = q != NULL ? find_lease_(q, owner) : NULL;
    GwLimit part;

    share->answered_at = now;
    // This answers an earlier request than the latest one. That request was
    // abandoned after a timeout, so its units are not needed and are returned.
    // Nothing is returned if the sender is no longer an owner of the account,
    // or the account has been removed here.
    if (lease == NULL || answer->lease_id != lease->lease_id) {
        if (lease != NULL)
            return_units_(q, lease, units);
        return;
    }
    note_answer_time_(share, now - lease->sent_at);
    if (units < lease->requested_units) {
        part = GwLimit_Part(&q->limit, q->n_leases);
        lease->exhausted_until =
            now + MIN(GwLimit_TimeFor(&part, lease->requested_units - units),
                      EXHAUSTED_TIME_MAX);
    }
    lease->requested_units = 0;
    lease->requested_at = 0;
    lease->skipped_until = 0;
    lease->units += units;
    lease->expires_at = now + LEASE_TERM;
    set_active_(q);
    decide_waiters_(q, now);
}

void
GwLimitShare_OnUse(GwLimitShare *share, uint64_t owner, const char *account,
                   double use, GwTime now)
{
    GwLimitQueue *q = g_hash_table_lookup(share->queues, account);
    Lease *lease = q != NULL ? find_lease_(q, owner) : NULL;

    if (lease == NULL)
        return;
    lease->use = use;
    lease->use_at = now;
}

// Owners have equal parts of the limit, so the utilization of the limit is the
// mean of theirs. An owner that does not answer grants nothing: the others are
// asked for its part.
double
GwLimitShare_Use(const GwLimitShare *share, const char *account, GwTime now)
{
    const GwLimitQueue *q = g_hash_table_lookup(share->queues, account);
    double sum = 0;
    unsigned n_counted = 0;
    unsigned n_known = 0;

    for (unsigned i = 0; q != NULL && i < q->n_leases; i++) {
        const Lease *lease = &q->leases[i];

        if (now < lease->skipped_until) {
            n_counted++;
        }
        else if (lease->use_at != 0 && now - lease->use_at < OWNER_USE_TERM) {
            sum += lease->use;
            n_counted++;
            n_known++;
        }
    }
    return n_known > 0 ? sum / n_counted : -1;
}

bool
GwLimitShare_IsCutOff(const GwLimitShare *share, GwTime now)
{
    return share->answered_at == 0 || now - share->answered_at >= CUT_OFF_TIME;
}

void
GwLimitShare_OwnerLost(GwLimitShare *share, uint64_t owner, GwTime now)
{
    GHashTableIter iter;
    gpointer queue;

    g_hash_table_iter_init(&iter, share->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue)) {
        Lease *lease = find_lease_(queue, owner);

        if (lease != NULL && lease->requested_at != 0) {
            skip_owner_(lease, now);
        }
    }
}

bool
GwLimitShare_Tick(GwLimitShare *share, GwTime now)
{
    g_autoptr(GPtrArray) due = g_ptr_array_new();
    GwLimitQueue *q;

    // The callback of a decided request may start another one, of any account,
    // and so change the list.
    TAILQ_FOREACH(q, &share->active, link)
    g_ptr_array_add(due, q);
    for (guint i = 0; i < due->len; i++) {
        q = g_ptr_array_index(due, i);
        update_queue_(q, now);
        if (!needs_tick_(q)) {
            TAILQ_REMOVE(&share->active, q, link);
            q->is_active = false;
        }
    }
    if (now - share->swept_at > SWEEP_INTERVAL) {
        share->swept_at = now;
        g_hash_table_foreach_remove(share->queues, is_expired_, &now);
    }
    return !TAILQ_EMPTY(&share->active);
}

static GwLimitQueue *
find_or_add_queue_(GwLimitShare *share, const GwLimitedAccount *account,
                   GwTime now)
{
    GwLimitQueue *q = g_hash_table_lookup(share->queues, account->name);
    bool has_new_burst;

    if (q == NULL) {
        q = g_new0(GwLimitQueue, 1);
        q->share = share;
        q->name = g_strdup(account->name);
        q->last_used_at = now;
        TAILQ_INIT(&q->waiters);
        GwBucket_Init(&q->offline_limit, &account->offline_limit, now);
        g_hash_table_insert(share->queues, q->name, q);
    }
    // A limit with a small burst has one owner only (GwLimitPool_Owners). The
    // rate has no influence on the owners.
    has_new_burst = q->limit.burst != account->limit.burst;
    q->limit = account->limit;
    if (has_new_burst)
        set_owners_(q);
    GwBucket_SetLimit(&q->offline_limit, &account->offline_limit, now);
    return q;
}

static void
free_queue_(void *item)
{
    GwLimitQueue *q = item;
    GwLimitWaiter *w;

    TAILQ_FOREACH(w, &q->waiters, link)
    w->queue = NULL;
    g_free(q->name);
    g_free(q);
}

// Units granted by a process that is no longer an owner are not spent: another
// owner may already grant units in its place.
static void
set_owners_(GwLimitQueue *q)
{
    uint64_t owners[GW_LIMIT_OWNERS];
    unsigned n =
        GwLimitPool_Owners(&q->share->pool, q->name, &q->limit, owners);
    unsigned first = n > 0 ? (unsigned)((q->share->options.seed ^
                                         XXH64(q->name, strlen(q->name), 1)) %
                                        n)
                           : 0;
    Lease new_leases[GW_LIMIT_OWNERS] = {0};

    for (unsigned i = 0; i < n; i++) {
        uint64_t owner = owners[(first + i) % n];
        const Lease *previous = find_lease_(q, owner);

        if (previous != NULL)
            new_leases[i] = *previous;
        new_leases[i].owner = owner;
    }
    memcpy(q->leases, new_leases, sizeof(new_leases));
    q->n_leases = n;
}

static double
count_leased_units_(const GwLimitQueue *q)
{
    double units = 0;

    for (unsigned i = 0; i < q->n_leases; i++)
        units += q->leases[i].units;
    return units;
}

// Units that were requested and may yet be granted.
static double
count_requested_units_(const GwLimitQueue *q)
{
    double units = 0;

    for (unsigned i = 0; i < q->n_leases; i++)
        units += q->leases[i].requested_units;
    return units;
}

// Whether any answer is pending, including one to a request for units ahead.
static bool
has_pending_request_(const GwLimitQueue *q)
{
    for (unsigned i = 0; i < q->n_leases; i++) {
        if (q->leases[i].requested_at != 0)
            return true;
    }
    return false;
}

static void
spend_leased_units_(GwLimitQueue *q, double units)
{
    for (unsigned i = 0; i < q->n_leases && units > 0; i++) {
        double part = MIN(q->leases[i].units, units);

        q->leases[i].units -= part;
        units -= part;
    }
}

// Sends one request to one owner, for all units that the waiting requests need
// in addition to those leased and requested already. If the owner grants
// fewer, the next call requests the missing ones from the next owner. If no
// request waits, it requests units ahead, that is, units that are expected to
// be needed soon, as soon as at most half of that number is leased. Owners are
// asked in turn, so that each of them knows an equal part of the account's
// use.
static void
request_units_(GwLimitQueue *q, GwTime now)
{
    double need =
        q->waiting_units - count_leased_units_(q) - count_requested_units_(q);

    for (unsigned i = 0; i < q->n_leases && need > 0; i++) {
        if (try_request_from_next_(q, i, need, now))
            return;
    }
    if (q->waiting_units > 0 || has_pending_request_(q) ||
        count_leased_units_(q) > estimate_units_ahead_(q) / 2)
        return;
    for (unsigned i = 0; i < q->n_leases && estimate_units_ahead_(q) > 0;
         i++) {
        if (try_request_from_next_(q, i, 0, now))
            return;
    }
}

// Asks the owner that is @p offset places after the next one.
static bool
try_request_from_next_(GwLimitQueue *q, unsigned offset, double need,
                       GwTime now)
{
    unsigned index = (q->next_lease + offset) % q->n_leases;

    if (!can_request_from_(&q->leases[index], now) ||
        !send_request_(q, &q->leases[index], need, now))
        return false;
    q->next_lease = (index + 1) % q->n_leases;
    return true;
}

static bool
send_request_(GwLimitQueue *q, Lease *lease, double need, GwTime now)
{
    GwLimitRequest request = {
        .account = q->name,
        .lease_id = lease->lease_id + 1,
        .need = ceil(need),
        .ahead = estimate_units_ahead_(q),
    };
    const GwLimitShareOptions *options = &q->share->options;

    if (!options->ops->send_request(options->user, lease->owner, &request)) {
        lease->skipped_until = now + OWNER_SKIP_TIME;
        return false;
    }
    lease->lease_id++;
    lease->requested_units = request.need;
    lease->requested_at = now;
    lease->sent_at = now;
    return true;
}

static bool
can_request_from_(const Lease *lease, GwTime now)
{
    return lease->requested_at == 0 && now >= lease->exhausted_until &&
           now >= lease->skipped_until;
}

// Abandons the pending request after its timeout. An answer that arrives later
// is still accepted, unless another request has been sent to the owner since.
static void
skip_owner_(Lease *lease, GwTime now)
{
    lease->requested_at = 0;
    lease->requested_units = 0;
    lease->skipped_until = now + OWNER_SKIP_TIME;
}

// Follows the longest answer times. An owner that does not answer at all has
// none, so it is skipped as soon as the others' answers are fast.
static void
note_answer_time_(GwLimitShare *share, GwTime time)
{
    // A longer one, as after a suspension, does not make the timeout longer.
    time = MIN(time, OWNER_ANSWER_TIMEOUT_MAX / ANSWER_TIMEOUT_FACTOR);
    if (time > share->answer_time)
        share->answer_time = time;
    else
        share->answer_time -= (share->answer_time - time) / ANSWER_TIME_DECAY;
}

static GwTime
answer_timeout_(const GwLimitShare *share)
{
    return CLAMP(ANSWER_TIMEOUT_FACTOR * share->answer_time,
                 OWNER_ANSWER_TIMEOUT_MIN, OWNER_ANSWER_TIMEOUT_MAX);
}

static GwTime
wait_timeout_(const GwLimitShare *share)
{
    return MAX(WAIT_TIMEOUT_FACTOR * answer_timeout_(share), WAIT_TIMEOUT_MIN);
}

// Units that the account is expected to need here within AHEAD_TIME; 0 if they
// are less than a hundredth of its burst. Then requests are so rare that
// leasing units ahead would save hardly any message to an owner, while another
// entry's request may be refused for lack of the units that are unused here.
static double
estimate_units_ahead_(const GwLimitQueue *q)
{
    double expected_units =
        q->use_rate * (double)AHEAD_TIME / (double)GW_SECOND;

    return expected_units >= q->limit.burst / 100 ? expected_units : 0;
}

// Decides the requests that wait, in order, up to the first that must wait on.
static void
decide_waiters_(GwLimitQueue *q, GwTime now)
{
    GwLimitWaiter *w;

    while ((w = TAILQ_FIRST(&q->waiters)) != NULL) {
        GwLimitDecision verdict;

        request_units_(q, now);
        verdict = try_take_units_(
            q, w->units, now - w->waiting_since < wait_timeout_(q->share),
            now);
        if (verdict.state == GW_LIMIT_WAITING)
            return;
        finish_waiter_(q, w, &verdict);
    }
}

// Takes units from the leases if they are enough. Otherwise the request waits
// if it may wait and an answer is pending or an owner can be asked. If it does
// not wait, it is refused if at least one owner has no units left, even if the
// other owners cannot be reached. If no owner is known to have no units left,
// the units are taken from the offline limit. `missing` and `retry_after` of
// the result have a meaning only if the request is not granted.
static GwLimitDecision
try_take_units_(GwLimitQueue *q, double units, bool may_wait, GwTime now)
{
    GwLimitDecision verdict = {.missing = units - count_leased_units_(q)};
    bool is_exhausted = false;
    GwTime wait;

    if (verdict.missing <= 0) {
        spend_leased_units_(q, units);
        return (GwLimitDecision){.state = GW_LIMIT_GRANTED};
    }
    verdict.state = GW_LIMIT_WAITING;
    for (unsigned i = 0; i < q->n_leases; i++) {
        if (may_wait && (q->leases[i].requested_at != 0 ||
                         can_request_from_(&q->leases[i], now)))
            return verdict;
        is_exhausted = is_exhausted || now < q->leases[i].exhausted_until;
    }
    wait = GwLimit_TimeFor(&q->limit, verdict.missing);
    verdict.retry_after = GwTime_Jitter(q->share->options.rand, wait) + wait;
    if (is_exhausted)
        verdict.state = GW_LIMIT_USED_UP;
    else if (GwBucket_Take(&q->offline_limit, units, 0, now) == units)
        verdict.state = GW_LIMIT_GRANTED;
    else
        verdict.state = GW_LIMIT_UNKNOWN;
    return verdict;
}

static void
finish_waiter_(GwLimitQueue *q, GwLimitWaiter *w,
               const GwLimitDecision *verdict)
{
    GwLimitShare_CancelWait(w);
    w->on_decided(w, verdict);
}

static Lease *
find_lease_(GwLimitQueue *q, uint64_t owner)
{
    for (unsigned i = 0; i < q->n_leases; i++) {
        if (q->leases[i].owner == owner)
            return &q->leases[i];
    }
    return NULL;
}

static void
update_queue_(GwLimitQueue *q, GwTime now)
{
    for (unsigned i = 0; i < q->n_leases; i++) {
        Lease *lease = &q->leases[i];

        if (lease->requested_at != 0 &&
            now - lease->requested_at > answer_timeout_(q->share)) {
            skip_owner_(lease, now);
        }
        if (lease->units > 0 && now >= lease->expires_at) {
            return_units_(q, lease, lease->units);
            lease->units = 0;
        }
    }
    decide_waiters_(q, now);
}

static bool
needs_tick_(const GwLimitQueue *q)
{
    return count_leased_units_(q) > 0 || has_pending_request_(q) ||
           !TAILQ_EMPTY(&q->waiters);
}

static void
set_active_(GwLimitQueue *q)
{
    if (!q->is_active)
        TAILQ_INSERT_TAIL(&q->share->active, q, link);
    q->is_active = true;
}

static gboolean
is_expired_(gpointer name, gpointer queue, gpointer now)
{
    const GwLimitQueue *q = queue;

    return !q->is_active && *(GwTime *)now - q->last_used_at > IDLE_RETENTION;
}

static void
return_units_(GwLimitQueue *q, Lease *lease, double units)
{
    const GwLimitShareOptions *options = &q->share->options;
    GwLimitRequest request = {
        .account = q->name,
        .unused = floor(units),
    };

    if (request.unused > 0)
        options->ops->send_request(options->user, lease->owner, &request);
}
