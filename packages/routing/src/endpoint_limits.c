#include "galenagw/routing/endpoint_limits.h"

#include <math.h>
#include <string.h>

/* Permits that all processes combined may accumulate, in addition to one
 * second's worth. A process that accumulates permits accumulates at least one,
 * so if there are more processes than permits, none are accumulated; see
 * PERMIT_LIFETIME. */
#define EXTRA_BURST 2.5
/* How long a permit is valid if permits are not accumulated. All processes
 * combined then have at most the permits of this period. */
#define PERMIT_LIFETIME (250 * GW_MILLISECOND)
/* Fraction of the rate that is used if permits are not accumulated: processes
 * are not coordinated, so some send at the same time. */
#define NO_BURST_RATE_FACTOR 0.6
/* Minimum rate in requests per second. An endpoint with a lower limit, also
 * with a limit of 0, still gets this, because only an answer can lift it. */
#define MIN_RATE 0.1

/* Time constant of the moving average of a process's demand. */
#define DEMAND_AVERAGING_TIME GW_SECOND
/* A process wants this multiple of its average demand, so that random peaks
 * are within its share. */
#define WANT_HEADROOM 1.5
/* Part of its base that a process without demand keeps for its next requests,
 * until its share has grown. It also keeps one accumulated permit. */
#define IDLE_BASE_SHARE 0.25
/* Smallest part of a limit, so that the period between permits is finite. */
#define PART_MIN 1e-6

/* Higher versions are rejected, so that incrementing one cannot overflow. */
#define MAX_VERSION (INT64_MAX / 2)

/* See GwEndpointLimit. */
typedef struct {
    int64_t incarnation;
    double rate;
    int64_t version;
    GwTime received_at;
    double permits; /* requests that this process could send at refilled_at */
    GwTime refilled_at;
    double
        base; /* part of the limit without a share owner, at the last query */
    double part; /* of the limit that this process used at the last query; 0:
                    none yet */
    /* Requests per second, moving average; queries that found no permit are
     * counted, too. */
    double demand_rate;
    GwTime demanded_at;
    /* The share owner (see GwEndpointShares) that was sent reports, and what
     * it has granted. */
    uint64_t share_owner;
    GwTime reported_at;  /* 0: not yet */
    double granted;      /* -1: nothing since the first report to this owner */
    double granted_base; /* base when it was granted */
    GwTime granted_at;   /* time of the report that the grant answers */
} Limit;

/* One process's share of a limit. */
typedef struct {
    double period; /* time between two permits */
    double burst;  /* maximum number of accumulated permits; 0: permits are not
                      accumulated */
} Share;

struct GwEndpointLimits {
    GHashTable *by_id; /* id to Limit */
    GRand *rand;
};

static bool is_later_limit_(const GwEndpointLimit *limit, const Limit *known);
static bool is_lower_rate_(double rate, double other);
static void expire_limit_(Limit *known, GwTime now);
static bool store_limit_(GwEndpointLimits *l, const GwEndpointLimit *limit,
                         GwTime now);
static Limit *find_limit_(const GwEndpointLimits *l,
                          const GwInstance *instance, GwTime now);
static void refresh_share_(const GwEndpointLimits *l, Limit *limit,
                           unsigned processes, GwTime now);
static double find_part_(const Limit *limit, double base, GwTime now);
static double base_(unsigned processes);
static double wanted_part_(const Limit *limit, double base, GwTime now);
static void add_demand_(Limit *limit, GwTime now);
static double decayed_demand_(const Limit *limit, GwTime now);
static void update_share_(const GwEndpointLimits *l, Limit *limit, double rate,
                          double base, double part, GwTime now);
static Share compute_share_(double limit_rate, double base, double part);
static double count_permits_(const Limit *limit, const Share *share,
                             GwTime now);
static void remove_inactive_limits_(GwEndpointLimits *l, GwTime now);

GwEndpointLimits *
GwEndpointLimits_New(uint32_t seed)
{
    GwEndpointLimits *l = g_new0(GwEndpointLimits, 1);

    l->rand = g_rand_new_with_seed(seed);
    l->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

void
GwEndpointLimits_Delete(GwEndpointLimits *l)
{
    if (l == NULL)
        return;
    g_hash_table_unref(l->by_id);
    g_rand_free(l->rand);
    g_free(l);
}

bool
GwEndpointLimits_Note(GwEndpointLimits *l, GwEndpointLimit *limit,
                      int64_t unix_ms, GwTime now)
{
    Limit *known = g_hash_table_lookup(l->by_id, limit->id);

    if (known != NULL)
        expire_limit_(known, now);
    limit->version = CLAMP(unix_ms, 0, MAX_VERSION);
    if (known != NULL && known->incarnation == limit->incarnation)
        limit->version = known->rate == limit->rate
                             ? known->version
                             : MAX(limit->version, known->version + 1);
    return store_limit_(l, limit, now);
}

bool
GwEndpointLimits_Set(GwEndpointLimits *l, const GwEndpointLimit *limit,
                     GwTime now)
{
    Limit *known = g_hash_table_lookup(l->by_id, limit->id);

    if (known != NULL)
        expire_limit_(known, now);
    // A peer that has received a later answer renews the limit.
    if (known != NULL && limit->incarnation == known->incarnation &&
        limit->version == known->version && limit->rate == known->rate)
        known->received_at =
            MAX(known->received_at, MIN(limit->received_at, now));
    if (limit->version < 0 || limit->version > MAX_VERSION ||
        (known != NULL && !is_later_limit_(limit, known)))
        return false;
    return store_limit_(l, limit, now);
}

bool
GwEndpointLimits_ShouldLift(const GwEndpointLimits *l,
                            const GwInstance *instance, GwTime sent_at,
                            GwTime now)
{
    const Limit *known = find_limit_(l, instance, now);

    return known != NULL && known->rate >= 0 && sent_at > known->received_at;
}

double
GwEndpointLimits_Rate(const GwEndpointLimits *l, const GwInstance *instance,
                      GwTime now)
{
    const Limit *known = find_limit_(l, instance, now);

    return known != NULL ? known->rate : GW_ENDPOINT_UNLIMITED;
}

GwTime
GwEndpointLimits_NextSendAt(GwEndpointLimits *l, const GwInstance *instance,
                            unsigned processes, GwTime now)
{
    Limit *known = find_limit_(l, instance, now);
    Share share;
    double permits;

    if (known == NULL || known->rate < 0)
        return now;
    refresh_share_(l, known, processes, now);
    share = compute_share_(known->rate, known->base, known->part);
    permits = count_permits_(known, &share, now);
    if (permits < 1)
        add_demand_(known, now);
    return permits >= 1 ? now : now + (GwTime)((1 - permits) * share.period);
}

void
GwEndpointLimits_Consume(GwEndpointLimits *l, const GwInstance *instance,
                         unsigned processes, GwTime now)
{
    Limit *known = find_limit_(l, instance, now);
    Share share;

    if (known == NULL || known->rate < 0)
        return;
    refresh_share_(l, known, processes, now);
    share = compute_share_(known->rate, known->base, known->part);
    known->permits = count_permits_(known, &share, now) - 1;
    known->refilled_at = now;
    add_demand_(known, now);
}

double
GwEndpointLimits_Part(const GwEndpointLimits *l, const GwInstance *instance,
                      unsigned processes, GwTime now)
{
    const Limit *known = find_limit_(l, instance, now);

    return known != NULL ? find_part_(known, base_(processes), now) : 1;
}

bool
GwEndpointLimits_Report(GwEndpointLimits *l, const GwInstance *instance,
                        unsigned processes, uint64_t share_owner, GwTime now,
                        GwEndpointDemand *demand)
{
    Limit *known = find_limit_(l, instance, now);
    double base = base_(processes);

    if (known == NULL || known->rate < 0)
        return false;
    refresh_share_(l, known, processes, now);
    if (known->share_owner != share_owner) {
        // The previous share owner may have granted this process's base to
        // others.
        if (known->reported_at != 0 &&
            now - known->reported_at < GW_ENDPOINT_HOLD_TERM)
            return false;
        known->share_owner = share_owner;
        known->granted = -1;
    }
    if (known->reported_at == 0 ||
        now - known->reported_at >= GW_ENDPOINT_HOLD_TERM)
        known->granted = -1;
    *demand = (GwEndpointDemand){
        .want = wanted_part_(known, base, now),
        .base = base,
        .share = known->part,
        .reported_at = now,
        .granted_at = known->granted >= 0 ? known->granted_at : 0,
    };
    known->reported_at = now;
    return true;
}

void
GwEndpointLimits_SetShare(GwEndpointLimits *l, const char *id,
                          uint64_t share_owner, double part,
                          GwTime reported_at, GwTime now)
{
    Limit *known = g_hash_table_lookup(l->by_id, id);

    // A negated comparison, so that NaN is ignored.
    if (known == NULL || !(part >= 0 && part <= 1) ||
        known->share_owner != share_owner || known->reported_at == 0 ||
        reported_at > known->reported_at ||
        now - reported_at >= GW_ENDPOINT_GRANT_TERM ||
        (known->granted >= 0 && reported_at <= known->granted_at))
        return;
    known->granted = part;
    known->granted_base = known->base;
    known->granted_at = reported_at;
    if (known->part > 0)
        update_share_(l, known, known->rate, known->base,
                      find_part_(known, known->base, now), now);
}

void
GwEndpointLimits_Each(const GwEndpointLimits *l, GwTime now,
                      void (*fn)(void *user, const GwEndpointLimit *limit),
                      void *user)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    g_hash_table_iter_init(&iter, l->by_id);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const Limit *known = value;
        GwEndpointLimit limit = {id, known->incarnation, known->rate,
                                 known->received_at, known->version};

        if (known->rate >= 0 &&
            now - known->received_at < GW_ENDPOINT_LIMIT_TERM)
            fn(user, &limit);
    }
}

bool
GwEndpointLimits_AreInEffect(const GwEndpointLimits *l, GwTime now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Limit *known = value;

        if (known->rate >= 0 &&
            now - known->received_at < GW_ENDPOINT_LIMIT_TERM)
            return true;
    }
    return false;
}

// Compares versions and not ages, because the age in a message excludes its
// transit time: each of two limits could seem newer than the other, and
// processes would forward both of them forever.
static bool
is_later_limit_(const GwEndpointLimit *limit, const Limit *known)
{
    if (limit->incarnation != known->incarnation)
        return limit->incarnation > known->incarnation;
    if (limit->version != known->version)
        return limit->version > known->version;
    return is_lower_rate_(limit->rate, known->rate);
}

static bool
is_lower_rate_(double rate, double other)
{
    return rate >= 0 && (other < 0 || rate < other);
}

static void
expire_limit_(Limit *known, GwTime now)
{
    if (now - known->received_at >= GW_ENDPOINT_LIMIT_TERM)
        known->rate = GW_ENDPOINT_UNLIMITED;
}

static bool
store_limit_(GwEndpointLimits *l, const GwEndpointLimit *limit, GwTime now)
{
    Limit *known = g_hash_table_lookup(l->by_id, limit->id);
    GwTime received_at = MIN(limit->received_at, now);
    bool changed;

    if (!isfinite(limit->rate) || now - received_at >= GW_ENDPOINT_LIMIT_TERM)
        return false;
    if (known == NULL) {
        if (g_hash_table_size(l->by_id) >= GW_ENDPOINT_LIMITS_MAX)
            remove_inactive_limits_(l, now);
        if (g_hash_table_size(l->by_id) >= GW_ENDPOINT_LIMITS_MAX)
            return false;
        known = g_new0(Limit, 1);
        known->incarnation = limit->incarnation;
        known->rate = GW_ENDPOINT_UNLIMITED;
        g_hash_table_insert(l->by_id, g_strdup(limit->id), known);
    }
    else if (limit->incarnation < known->incarnation) {
        return false;
    }
    changed =
        limit->incarnation != known->incarnation || limit->rate != known->rate;
    // Random, because processes that receive the limit at the same time must
    // not all send at the same time.
    if (known->rate < 0 || limit->incarnation != known->incarnation) {
        known->permits = g_rand_double(l->rand);
        known->refilled_at = now;
        known->rate = limit->rate;
    }
    else if (limit->rate >= 0) {
        update_share_(l, known, limit->rate, known->base, known->part, now);
    }
    known->incarnation = limit->incarnation;
    known->rate = limit->rate;
    known->version = limit->version;
    known->received_at = received_at;
    return changed;
}

// Returns NULL if the stored limit has expired or is of another incarnation. A
// limit of incarnation 0 (unknown) applies to any incarnation. The size check
// skips hashing in the usual case that no endpoint has a limit.
static Limit *
find_limit_(const GwEndpointLimits *l, const GwInstance *instance, GwTime now)
{
    Limit *known;

    if (g_hash_table_size(l->by_id) == 0)
        return NULL;
    known = g_hash_table_lookup(l->by_id, instance->id);
    if (known == NULL || now - known->received_at >= GW_ENDPOINT_LIMIT_TERM ||
        (known->incarnation != 0 &&
         known->incarnation != instance->incarnation))
        return NULL;
    return known;
}

// Sets the part of the limit that this process uses, for its base and the
// grants of the share owner.
static void
refresh_share_(const GwEndpointLimits *l, Limit *limit, unsigned processes,
               GwTime now)
{
    GwTime expired_at = limit->granted_at + GW_ENDPOINT_GRANT_TERM;
    double base = base_(processes);

    // Permits since the expiry of a grant are counted without it.
    if (limit->part > 0 && limit->granted > limit->base &&
        limit->refilled_at < expired_at && expired_at < now)
        update_share_(l, limit, limit->rate, limit->base,
                      find_part_(limit, limit->base, expired_at), expired_at);
    update_share_(l, limit, limit->rate, base, find_part_(limit, base, now),
                  now);
}

static double
find_part_(const Limit *limit, double base, GwTime now)
{
    double part = limit->granted;

    if (limit->reported_at == 0 || limit->granted < 0 ||
        now - limit->reported_at >= GW_ENDPOINT_HOLD_TERM)
        return base;
    // The base falls when further processes start, each of which uses its
    // own.
    if (base < limit->granted_base)
        part *= base / limit->granted_base;
    if (now - limit->granted_at >= GW_ENDPOINT_GRANT_TERM)
        part = MIN(part, base);
    return MAX(part, PART_MIN);
}

static double
base_(unsigned processes)
{
    return 1.0 / MAX(processes, 1);
}

static double
wanted_part_(const Limit *limit, double base, GwTime now)
{
    double want = WANT_HEADROOM * decayed_demand_(limit, now) /
                  MAX(limit->rate, MIN_RATE);

    return CLAMP(want, IDLE_BASE_SHARE * base, 1);
}

static void
add_demand_(Limit *limit, GwTime now)
{
    limit->demand_rate = decayed_demand_(limit, now) +
                         (double)GW_SECOND / DEMAND_AVERAGING_TIME;
    limit->demanded_at = now;
}

static double
decayed_demand_(const Limit *limit, GwTime now)
{
    return limit->demand_rate * exp(-(double)MAX(now - limit->demanded_at, 0) /
                                    (double)DEMAND_AVERAGING_TIME);
}

// Sets the limit's rate and this process's part of it. The permits of the time
// until @p now are counted at the previous share. Otherwise, if the period
// grows, processes whose next permits were spread over the previous period
// would all receive them within a small part of the new one.
static void
update_share_(const GwEndpointLimits *l, Limit *limit, double rate,
              double base, double part, GwTime now)
{
    if (limit->part > 0) {
        Share before = compute_share_(limit->rate, limit->base, limit->part);
        Share after = compute_share_(rate, base, part);

        if (before.period != after.period || before.burst != after.burst) {
            limit->permits = count_permits_(limit, &before, now);
            limit->refilled_at = now;
            // Random, because idle processes have all accumulated the maximum
            // and would send at the same time.
            if (after.burst == 0 && before.burst > 0 && limit->permits >= 1)
                limit->permits = g_rand_double(l->rand);
        }
    }
    limit->rate = rate;
    limit->base = base;
    limit->part = part;
}

// Each of the 1 / base processes that accumulate permits accumulates one, and
// the rest of the permits is divided like the limit.
static Share
compute_share_(double limit_rate, double base, double part)
{
    double rate = MAX(limit_rate, MIN_RATE);
    double rest = rate + EXTRA_BURST - round(1 / base);

    if (rest >= 0)
        return (Share){GW_SECOND / (rate * part), 1 + rest * part};
    return (Share){GW_SECOND / (NO_BURST_RATE_FACTOR * rate * part), 0};
}

// Permits available at @p now. Without accumulation, a whole permit expires
// after PERMIT_LIFETIME.
static double
count_permits_(const Limit *limit, const Share *share, GwTime now)
{
    double permits =
        limit->permits + (double)(now - limit->refilled_at) / share->period;
    double fraction;

    if (share->burst > 0)
        return MIN(permits, share->burst);
    if (permits < 1)
        return permits;
    fraction = permits - floor(permits);
    return fraction * share->period <= (double)PERMIT_LIFETIME ? 1 + fraction
                                                               : fraction;
}

static void
remove_inactive_limits_(GwEndpointLimits *l, GwTime now)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, l->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Limit *known = value;

        if (known->rate < 0 ||
            now - known->received_at >= GW_ENDPOINT_LIMIT_TERM)
            g_hash_table_iter_remove(&iter);
    }
}
