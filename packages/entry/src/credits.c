#include "credits.h"

#include <string.h>
#include <xxhash.h>

#include "peers.h"

/* A request for credits that is not answered within this time is sent again
   by the next call of Credits_Spend. */
#define GRANT_TIMEOUT (100 * GW_MILLISECOND)

typedef struct {
    GwCredit credit;
    uint64_t lease_id; /* of the last request for credits */
    GwTime requested_at;
} AccountCredit;

static AccountCredit *get_account_credit_(GwEntry *entry, const char *name);
static bool request_lease_(GwEntry *entry, const GwAccount *account,
                           AccountCredit *ac);

GwCreditState
Credits_Spend(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac;
    GwCreditState state;

    if (account->requests_per_s <= 0)
        return GW_CREDIT_SEND;
    ac = get_account_credit_(entry, account->name);
    state = GwCredit_Spend(&ac->credit, GwTime_Now());
    if (state != GW_CREDIT_ASK)
        return state;
    if (request_lease_(entry, account, ac))
        return GW_CREDIT_ASK;
    // No limit owner is reachable; use the local share.
    return Credits_SpendLocal(entry, account) ? GW_CREDIT_SEND
                                              : GW_CREDIT_REFUSE;
}

bool
Credits_SpendLocal(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac = get_account_credit_(entry, account->name);

    return GwCredit_SpendLocal(&ac->credit, account->requests_per_s,
                               entry->n_entries, GwTime_Now());
}

GwTime
Credits_RetryAfter(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac = get_account_credit_(entry, account->name);
    GwTime wait = ac->credit.refused_until - GwTime_Now();

    return MAX(wait, (GwTime)(GW_SECOND / MAX(account->requests_per_s, 1)));
}

void
Credits_OnGrant(GwEntry *entry, const Gw__Wire__CreditGrant *grant)
{
    AccountCredit *ac = get_account_credit_(entry, grant->account);

    // A grant for an earlier request was already treated as lost.
    if (grant->lease_id != ac->lease_id || !ac->credit.asking)
        return;
    GwCredit_Granted(&ac->credit, grant->credits,
                     grant->retry_after_ms * GW_MILLISECOND, GwTime_Now());
    entry->on_credits_changed(entry, grant->account);
}

void
Credits_Delete(gpointer p)
{
    g_free(p);
}

static AccountCredit *
get_account_credit_(GwEntry *entry, const char *name)
{
    AccountCredit *ac = g_hash_table_lookup(entry->credits, name);

    if (ac == NULL) {
        ac = g_new0(AccountCredit, 1);
        g_hash_table_insert(entry->credits, g_strdup(name), ac);
    }
    return ac;
}

static bool
request_lease_(GwEntry *entry, const GwAccount *account, AccountCredit *ac)
{
    GwTime now = GwTime_Now();
    Peer *owner;
    GW_FRAME(frame, request, CREDIT_ASK, CreditAsk, credit_ask);

    if (ac->credit.asking && now - ac->requested_at < GRANT_TIMEOUT)
        return true;
    owner = Peers_Owner(entry, NULL,
                        XXH3_64bits(account->name, strlen(account->name)));
    if (owner == NULL)
        return false;
    Peers_Connect(owner);
    if (!Peers_IsReady(owner))
        return false;
    ac->credit.asking = true;
    ac->requested_at = now;
    ac->lease_id++;
    request.account = account->name;
    request.want = GwCredit_Batch(account->requests_per_s);
    request.lease_id = ac->lease_id;
    GwSession_Send(owner->session, &frame);
    return true;
}
