#include "galenagw/policy/account_share.h"

#include <glib.h>
#include <math.h>

#include "galenagw/policy/limits.h"

/* An account without requests for this time takes no part in the mean: what it
 * does not use is available to others. */
#define ACTIVE_TERM (5 * GW_SECOND)
/* Interval at which the means are computed. They change slowly, as uses are
 * averages over seconds. */
#define MEAN_INTERVAL (100 * GW_MILLISECOND)
/* Time after the first request, and after an interruption of the contact to
 * limit owners, in which all accounts are within their shares: until requests
 * of most accounts, and answers of their owners, have been received. */
#define START_TIME (500 * GW_MILLISECOND)
/* Use above the mean, in relation to it, from which the queue has the length
 * for the whole excess. Between, it is in proportion, so that the account is
 * not refused and accepted in turn. */
#define FULL_EXCESS 0.1
/* Largest share of requests without service that is taken into account. */
#define REFUSED_SHARE_MAX 0.9
/* Smallest use of a mean, so that rare requests in an idle fleet do not seem
 * beyond their share. A tenth of the limits does not cause contention. */
#define MEAN_USE_MIN 0.1
/* Bounds of the excess between which no change is logged. Uses of accounts
 * within their shares differ from the mean by some tens of percent. */
#define LOGGED_EXCESS 1.5
#define LOGGED_RETURN 1.2
/* Bounds of the number of log lines: one for each account in this time, and
 * LINES_MAX for all of them. */
#define LOG_INTERVAL (10 * GW_SECOND)
#define LINES_MAX 20

const char *const GwAccountShareChange_Names[GW_ACCOUNT_SHARE_CHANGES] = {
    "same", "beyond", "within"};

typedef struct {
    bool yields;
    double limit_rate;
    /* At this entry, units per second, moving averages: of all requests, and
     * of those whose units were returned. */
    double own_rate;
    double returned_rate;
    double use;
    double noise; /* standard deviation of the use */
    GwTime seen_at;
    bool is_logged_beyond;
    GwTime logged_at; /* 0: never */
} Account;

struct GwAccountShare {
    GHashTable *accounts; /* name to Account */
    double means[2];      /* of accounts that don't yield, and that do */
    GwTime computed_at;   /* 0: not yet */
    GwTime started_at;    /* 0: not yet */
    GwTime lines_since;
    unsigned n_lines;
};

static double find_excess_(const GwAccountShare *s, const Account *a);
static void decay_(Account *a, GwTime now);
static Account *find_or_add_account_(GwAccountShare *s, const char *name,
                                     GwTime now);
static gboolean is_inactive_(gpointer name, gpointer account, gpointer now);
static void compute_means_(GwAccountShare *s, GwTime now);
static GwAccountShareChange find_change_(GwAccountShare *s, Account *a,
                                         double excess, GwTime now);

GwAccountShare *
GwAccountShare_New(void)
{
    GwAccountShare *s = g_new0(GwAccountShare, 1);

    s->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

void
GwAccountShare_Delete(GwAccountShare *s)
{
    if (s == NULL)
        return;
    g_hash_table_unref(s->accounts);
    g_free(s);
}

double
GwAccountShare_Add(GwAccountShare *s, const GwAccountRequest *request,
                   GwTime now, GwAccountShareChange *change)
{
    Account *a = find_or_add_account_(s, request->account, now);
    double excess = 1;

    *change = GW_ACCOUNT_SHARE_SAME;
    if (a == NULL)
        return 1;
    decay_(a, now);
    a->own_rate += request->units * GW_SECOND / GW_LIMIT_USE_TIME;
    a->yields = request->yields;
    a->limit_rate = request->limit_rate;
    a->use = request->use >= 0 ? request->use
                               : MAX(a->own_rate - a->returned_rate, 0) *
                                     request->entries / request->limit_rate;
    // Of an average of requests of this size that arrive at random.
    a->noise = sqrt(a->use * request->units / request->limit_rate * GW_SECOND /
                    (2.0 * GW_LIMIT_USE_TIME));
    if (s->started_at == 0 || request->is_cut_off)
        s->started_at = now;
    if (now - s->started_at >= START_TIME) {
        if (s->computed_at == 0 || now - s->computed_at >= MEAN_INTERVAL)
            compute_means_(s, now);
        excess = find_excess_(s, a);
    }
    *change = find_change_(s, a, excess, now);
    return excess;
}

void
GwAccountShare_Return(GwAccountShare *s, const char *account, double units,
                      GwTime now)
{
    Account *a = g_hash_table_lookup(s->accounts, account);

    if (a == NULL)
        return;
    decay_(a, now);
    a->returned_rate += units * GW_SECOND / GW_LIMIT_USE_TIME;
}

// While an account beyond its share is refused, its use is near the mean. Its
// queue would grow to the length of the others' if it were judged by its use
// alone, so the use that it would have without refusals is compared, up to its
// limit. An account whose use is below the mean does not get its share, and
// has the whole queue whatever it demands. The noise is that of an account
// with few requests, which must not seem beyond its share by chance.
static double
find_excess_(const GwAccountShare *s, const Account *a)
{
    double mean = MAX(s->means[a->yields], MEAN_USE_MIN);
    double refused = a->own_rate > 0 ? a->returned_rate / a->own_rate : 0;
    double demand = a->use / (1 - MIN(refused, REFUSED_SHARE_MAX));
    double above = (a->use - a->noise) / mean - 1;
    double excess = MAX(a->use, MIN(demand, 1)) / mean;

    if (above <= 0 || excess <= 1)
        return 1;
    return 1 + (excess - 1) * MIN(above / FULL_EXCESS, 1);
}

static void
decay_(Account *a, GwTime now)
{
    double weight =
        exp(-(double)MAX(now - a->seen_at, 0) / (double)GW_LIMIT_USE_TIME);

    a->own_rate *= weight;
    a->returned_rate *= weight;
    a->seen_at = now;
}

static Account *
find_or_add_account_(GwAccountShare *s, const char *name, GwTime now)
{
    Account *a = g_hash_table_lookup(s->accounts, name);

    if (a != NULL)
        return a;
    if (g_hash_table_size(s->accounts) >= GW_ACCOUNT_SHARES_MAX) {
        // Removes inactive accounts.
        if (now - s->computed_at >= MEAN_INTERVAL)
            compute_means_(s, now);
        if (g_hash_table_size(s->accounts) >= GW_ACCOUNT_SHARES_MAX)
            return NULL;
    }
    a = g_new0(Account, 1);
    a->seen_at = now;
    g_hash_table_insert(s->accounts, g_strdup(name), a);
    return a;
}

static gboolean
is_inactive_(gpointer name, gpointer account, gpointer now)
{
    (void)name;
    return *(const GwTime *)now - ((Account *)account)->seen_at >= ACTIVE_TERM;
}

// Means are weighted by the limits: the mean is the utilization at which all
// accounts that are beyond it would be if the present use were divided in
// proportion to the limits.
static void
compute_means_(GwAccountShare *s, GwTime now)
{
    double uses[2] = {0};
    double limits[2] = {0};
    GHashTableIter iter;
    gpointer value;

    s->computed_at = now;
    g_hash_table_foreach_remove(s->accounts, is_inactive_, &now);
    g_hash_table_iter_init(&iter, s->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Account *a = value;

        uses[a->yields] += a->use * a->limit_rate;
        limits[a->yields] += a->limit_rate;
    }
    for (int i = 0; i < 2; i++)
        s->means[i] = limits[i] > 0 ? uses[i] / limits[i] : 0;
}

static GwAccountShareChange
find_change_(GwAccountShare *s, Account *a, double excess, GwTime now)
{
    if (a->is_logged_beyond ? excess > LOGGED_RETURN : excess < LOGGED_EXCESS)
        return GW_ACCOUNT_SHARE_SAME;
    if (a->logged_at != 0 && now - a->logged_at < LOG_INTERVAL)
        return GW_ACCOUNT_SHARE_SAME;
    if (now - s->lines_since >= LOG_INTERVAL) {
        s->lines_since = now;
        s->n_lines = 0;
    }
    if (s->n_lines >= LINES_MAX)
        return GW_ACCOUNT_SHARE_SAME;
    s->n_lines++;
    a->logged_at = now;
    a->is_logged_beyond = !a->is_logged_beyond;
    return a->is_logged_beyond ? GW_ACCOUNT_SHARE_BEYOND
                               : GW_ACCOUNT_SHARE_WITHIN;
}
