/* Account limits at an entry: leases from each account's home agent. */
#ifndef GALENAGW_ENTRY_CREDITS_H
#define GALENAGW_ENTRY_CREDITS_H

#include "entry_private.h"

/*
 * Decide on one request of `account`. ASK: the home was asked, and
 * entry->credits_changed follows; the wait is bounded by the caller, who
 * then takes Credits_SpendLocal.
 */
GwCreditState Credits_Spend(GwEntry *entry, const GwAccount *account);
bool Credits_SpendLocal(GwEntry *entry, const GwAccount *account);
/* When an account that was refused may come back. */
GwTime Credits_RetryAfter(GwEntry *entry, const GwAccount *account);
void Credits_OnGrant(GwEntry *entry, const Gw__Wire__CreditGrant *grant);
void Credits_Delete(gpointer p);

#endif
