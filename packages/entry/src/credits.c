#include "credits.h"

#include <string.h>
#include <xxhash.h>

#include "peers.h"

/* A question that is not answered by then is asked again. */
#define ASK_TIMEOUT (100 * GW_MILLISECOND)

typedef struct {
    GwCredit credit;
    uint64_t lease_id; /* of the question in flight */
    GwTime asked_at;
} AccountCredit;

static AccountCredit *get_(GwEntry *entry, const char *name);
static bool ask_home_(GwEntry *entry, const GwAccount *account,
                      AccountCredit *ac);

GwCreditState
Credits_Spend(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac;
    GwCreditState state;

    if (account->requests_per_s <= 0)
        return GW_CREDIT_GO;
    ac = get_(entry, account->name);
    state = GwCredit_Spend(&ac->credit, GwTime_Now());
    if (state != GW_CREDIT_ASK)
        return state;
    if (ask_home_(entry, account, ac))
        return GW_CREDIT_ASK;
    // No agent can be asked: the local share stands in.
    return Credits_SpendLocal(entry, account) ? GW_CREDIT_GO
                                              : GW_CREDIT_REFUSE;
}

bool
Credits_SpendLocal(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac = get_(entry, account->name);

    return GwCredit_SpendLocal(&ac->credit, account->requests_per_s,
                               entry->n_entries, GwTime_Now());
}

GwTime
Credits_RetryAfter(GwEntry *entry, const GwAccount *account)
{
    AccountCredit *ac = get_(entry, account->name);
    GwTime wait = ac->credit.refused_until - GwTime_Now();

    return MAX(wait, (GwTime)(GW_SECOND / MAX(account->requests_per_s, 1)));
}

void
Credits_OnGrant(GwEntry *entry, const Gw__Wire__CreditGrant *grant)
{
    AccountCredit *ac = get_(entry, grant->account);

    // A late grant of an earlier question was written off already.
    if (grant->lease_id != ac->lease_id || !ac->credit.asking)
        return;
    GwCredit_Granted(&ac->credit, grant->credits,
                     grant->retry_after_ms * GW_MILLISECOND, GwTime_Now());
    entry->credits_changed(entry, grant->account);
}

void
Credits_Delete(gpointer p)
{
    g_free(p);
}

static AccountCredit *
get_(GwEntry *entry, const char *name)
{
    AccountCredit *ac = g_hash_table_lookup(entry->credits, name);

    if (ac == NULL) {
        ac = g_new0(AccountCredit, 1);
        g_hash_table_insert(entry->credits, g_strdup(name), ac);
    }
    return ac;
}

static bool
ask_home_(GwEntry *entry, const GwAccount *account, AccountCredit *ac)
{
    GwTime now = GwTime_Now();
    Peer *home;
    GW_FRAME(frame, ask, CREDIT_ASK, CreditAsk, credit_ask);

    if (ac->credit.asking && now - ac->asked_at < ASK_TIMEOUT)
        return true;
    home = Peers_Home(entry, NULL,
                      XXH3_64bits(account->name, strlen(account->name)));
    if (home == NULL)
        return false;
    Peers_Connect(home);
    if (!Peers_IsReady(home))
        return false;
    ac->credit.asking = true;
    ac->asked_at = now;
    ac->lease_id++;
    ask.account = account->name;
    ask.want = GwCredit_Batch(account->requests_per_s);
    ask.lease_id = ac->lease_id;
    GwSession_Send(home->session, &frame);
    return true;
}
