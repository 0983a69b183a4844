#include "request_units.h"

void
GwRequestUnits_GiveBack(GwRequest *r)
{
    if (r->units > 0)
        GwLimitShare_GiveBack(r->gateway->limits, r->account->name, r->units,
                              GwTime_Now());
    r->units = 0;
}
