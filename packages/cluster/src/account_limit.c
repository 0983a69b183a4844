#include "galenagw/cluster/account_limit.h"

/* An account without a configured burst may save up the units of this many
 * seconds of its rate while it is idle. */
#define DEFAULT_BURST_S 0.5
/* Share of the tolerated slack (GwLimitTolerance) that an account may take
 * ahead of its rate, so that simultaneous requests are served. */
#define DEBT_SLACK_SHARE 0.5
/* Share of the tolerated excess that all entries together may spend while they
 * reach no limit owner. The rest allows for accounts that move to other limit
 * owners. */
#define OFFLINE_SHARE 0.25

GwLimit
GwAccountLimit_Of(const GwAccount *account, const GwLimitTolerance *tolerance)
{
    double burst = account->limit_burst > 0
                       ? account->limit_burst
                       : account->limit_rate * DEFAULT_BURST_S;

    return (GwLimit){
        .rate = account->limit_rate,
        .burst = MAX(burst, 1),
        .debt = tolerance->slack * DEBT_SLACK_SHARE,
        .window = tolerance->window,
    };
}

GwLimitedAccount
GwAccountLimit_AtEntry(const GwAccount *account,
                       const GwLimitTolerance *tolerance, unsigned entries)
{
    double share = OFFLINE_SHARE / MAX(entries, 1);
    GwLimitedAccount limited = {
        .name = account->name,
        .limit = GwAccountLimit_Of(account, tolerance),
    };

    limited.offline_limit.rate =
        share * tolerance->overage * limited.limit.rate;
    limited.offline_limit.burst =
        share * (tolerance->overage * limited.limit.burst + tolerance->slack);
    return limited;
}
