#include "limit_owner.h"

#include "galenagw/policy/limits.h"

/* Capacity of a bucket, in seconds of the account's rate. */
#define BURST_SECONDS 0.2

struct LimitOwner {
    GwAgent *agent;
    GHashTable *buckets; /* account name to GwBucket */
};

static GwBucket *account_bucket_(LimitOwner *owner, const GwAccount *account,
                                 GwTime now);

LimitOwner *
LimitOwner_New(GwAgent *agent)
{
    LimitOwner *owner = g_new0(LimitOwner, 1);

    owner->agent = agent;
    owner->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return owner;
}

void
LimitOwner_Delete(LimitOwner *owner)
{
    if (owner == NULL)
        return;
    g_hash_table_unref(owner->buckets);
    g_free(owner);
}

void
LimitOwner_OnCreditAsk(LimitOwner *owner, GwSession *session,
                       const Gw__Wire__CreditAsk *ask)
{
    const GwConfig *config = GwConfigFeed_Config(owner->agent->config_feed);
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
        GwBucket *b = account_bucket_(owner, account, now);

        grant.credits = (uint32_t)GwBucket_Take(b, ask->want, 0, now);
        grant.retry_after_ms =
            (uint32_t)(GwLimit_TimeFor(&b->limit, 1 - b->level) /
                       GW_MILLISECOND) +
            1;
    }
    GwSession_Send(session, &frame);
}

static GwBucket *
account_bucket_(LimitOwner *owner, const GwAccount *account, GwTime now)
{
    GwBucket *b = g_hash_table_lookup(owner->buckets, account->name);
    GwLimit limit = {
        .rate = account->requests_per_s,
        .burst = MAX(account->requests_per_s * BURST_SECONDS, 1),
    };

    if (b == NULL) {
        b = g_new0(GwBucket, 1);
        GwBucket_Init(b, &limit, now);
        // One token admits the first request without a wait.
        b->level = 1;
        g_hash_table_insert(owner->buckets, g_strdup(account->name), b);
    }
    if (b->limit.rate != limit.rate)
        GwBucket_SetLimit(b, &limit, now);
    return b;
}
