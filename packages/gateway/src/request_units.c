#include "request_units.h"

void
GwRequestUnits_GiveBack(GwRequest *r)
{
    GwTime now = GwTime_Now();

    if (r->granted_units > 0) {
        GwLimitShare_ReturnUnits(r->gateway->limit_share, r->account->name,
                                 r->granted_units, now);
        GwAccountShare_Return(r->gateway->account_share, r->account->name,
                              r->granted_units, now);
    }
    r->granted_units = 0;
}
