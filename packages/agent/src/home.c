#include "home.h"

#include "galenagw/policy/limits.h"

/* Most that an idle account saves up, in seconds of its rate. */
#define BURST_SECONDS 0.2

struct Home {
    GwAgent *agent;
    GHashTable *buckets; /* account to GwBucket */
};

static GwBucket *bucket_(Home *home, const GwAccount *account, GwTime now);

Home *
Home_New(GwAgent *agent)
{
    Home *home = g_new0(Home, 1);

    home->agent = agent;
    home->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return home;
}

void
Home_Delete(Home *home)
{
    if (home == NULL)
        return;
    g_hash_table_unref(home->buckets);
    g_free(home);
}

void
Home_Ask(Home *home, GwSession *session, const Gw__Wire__CreditAsk *ask)
{
    const GwConfig *config = GwConfigFeed_Config(home->agent->feed);
    const GwAccount *account =
        config != NULL ? g_hash_table_lookup(config->accounts, ask->account)
                       : NULL;
    GwTime now = GwTime_Now();
    GW_FRAME(frame, grant, CREDIT_GRANT, CreditGrant, credit_grant);

    grant.account = ask->account;
    grant.lease_id = ask->lease_id;
    if (account == NULL || account->requests_per_s <= 0) {
        grant.credits = ask->want;
    }
    else {
        GwBucket *b = bucket_(home, account, now);

        grant.credits = (uint32_t)GwBucket_Take(b, ask->want, 0, now);
        grant.retry_after_ms =
            (uint32_t)(GwLimit_TimeFor(&b->limit, 1 - b->level) /
                       GW_MILLISECOND) +
            1;
    }
    GwSession_Send(session, &frame);
}

static GwBucket *
bucket_(Home *home, const GwAccount *account, GwTime now)
{
    GwBucket *b = g_hash_table_lookup(home->buckets, account->name);
    GwLimit limit = {
        .rate = account->requests_per_s,
        .burst = MAX(account->requests_per_s * BURST_SECONDS, 1),
    };

    if (b == NULL) {
        b = g_new0(GwBucket, 1);
        GwBucket_Init(b, &limit, now);
        // One token lets the first request through at once.
        b->level = 1;
        g_hash_table_insert(home->buckets, g_strdup(account->name), b);
    }
    if (b->limit.rate != limit.rate)
        GwBucket_SetLimit(b, &limit, now);
    return b;
}
