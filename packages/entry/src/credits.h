/* Account limits of requests per second. One request costs one credit. The
 * entry leases credits for a short time from the account's limit owner, the
 * agent that Peers_Owner selects for the account's name. Credits that are not
 * spent by the end of the lease are discarded (see policy/credit.h). */
#ifndef GALENAGW_ENTRY_CREDITS_H
#define GALENAGW_ENTRY_CREDITS_H

#include "entry_private.h"

/*
 * Decide whether one request of `account` may be placed.
 * GW_CREDIT_SEND: yes; a credit was spent, or the account has no limit.
 * GW_CREDIT_REFUSE: no, the limit is used up.
 * GW_CREDIT_ASK: no credit is left, and more were requested from the limit
 * owner. entry->on_credits_changed is called when its answer arrives, also if
 * it grants none; then call this function again. If no answer arrives within
 * the caller's timeout, call Credits_SpendLocal instead.
 * If no session to a limit owner is ready, the local share is used at once.
 */
GwCreditState Credits_Spend(GwEntry *entry, const GwAccount *account);
/* Spend one credit of this entry's local share, which replaces leased credits
 * while the limit owner does not answer: the account's limit per second
 * divided by the number of entries. @return false if the share is used up */
bool Credits_SpendLocal(GwEntry *entry, const GwAccount *account);
/* Time for Retry-After of a request that these functions refused. */
GwTime Credits_RetryAfter(GwEntry *entry, const GwAccount *account);
/* The limit owner granted credits, or none until a time: store them and call
 * entry->on_credits_changed. Grants for an earlier request are ignored. */
void Credits_OnGrant(GwEntry *entry, const Gw__Wire__CreditGrant *grant);
/* Free @p p, the credits of one account in entry->credits. */
void Credits_Delete(gpointer p);

#endif
