#include "request_limit.h"

#include <string.h>
#include <xxhash.h>

#include "galenagw/cluster/account_limit.h"
#include "request_attempt.h"
#include "request_log.h"
#include "request_refusal.h"

/* Least Retry-After of a refusal by the limit, before jitter (half to one and
 * a half of this value). Units that become available sooner go to other
 * requests that were refused as well. */
#define RETRY_AFTER_MIN (100 * GW_MILLISECOND)
/* Least Retry-After while no limit owner of the account can be reached, before
 * the same jitter. */
#define RETRY_AFTER_NO_OWNER (500 * GW_MILLISECOND)

static bool ask_limit_owner_(void *user, uint64_t owner,
                             const GwLimitRequest *limit_request);
static void on_decided_(GwLimitWaiter *waiter, const GwLimitDecision *verdict);
static void apply_verdict_(GwRequest *r, const GwLimitDecision *verdict);
static void compare_share_(GwRequest *r);
static void log_share_(const GwRequest *r, const GwAccountRequest *request,
                       GwAccountShareChange change);

static const GwLimitShareOps share_ops = {ask_limit_owner_};

GwLimitShare *
GwRequestLimit_NewShare(GwGateway *g)
{
    GwLimitShareOptions options = {
        .ops = &share_ops,
        .user = g,
        .seed = XXH64(g->name, strlen(g->name), 0),
        .rand = g->rand,
    };

    return GwLimitShare_New(&options);
}

void
GwRequestLimit_Start(GwRequest *r)
{
    uint64_t tokens = (uint64_t)r->info.prompt_tokens + r->info.output_tokens;
    GwLimitedAccount account;
    GwLimitDecision verdict;

    if (r->account == NULL || r->account->limit_rate <= 0) {
        GwRequestAttempt_Make(r);
        return;
    }
    account = GwAccountLimit_AtEntry(r->account, &r->gateway->limit_tolerance,
                                     GwPeers_Entries(r->gateway->peers));
    r->granted_units = GwAccount_Units(r->account, tokens);
    r->limit_waiter.on_decided = on_decided_;
    r->limit_waiter.user = r;
    verdict =
        GwLimitShare_Take(r->gateway->limit_share, &account, r->granted_units,
                          &r->limit_waiter, GwTime_Now());
    if (!r->gateway->limit_timer_is_running)
        GwTimer_Start(&r->gateway->limit_timer, GW_LIMIT_TICK);
    r->gateway->limit_timer_is_running = true;
    if (verdict.state != GW_LIMIT_WAITING)
        apply_verdict_(r, &verdict);
}

static bool
ask_limit_owner_(void *user, uint64_t owner,
                 const GwLimitRequest *limit_request)
{
    GwGateway *g = user;

    GwCounters_Add(&g->counters, GW_COUNTER_LIMIT_ASKS, 1);
    return GwPeers_AskLimitOwner(g->peers, owner, limit_request);
}

static void
on_decided_(GwLimitWaiter *waiter, const GwLimitDecision *verdict)
{
    apply_verdict_(waiter->user, verdict);
}

// Makes the first attempt, or refuses the request.
static void
apply_verdict_(GwRequest *r, const GwLimitDecision *verdict)
{
    if (verdict->state == GW_LIMIT_GRANTED) {
        compare_share_(r);
        GwRequestAttempt_Make(r);
        return;
    }
    GwRequestLog_Limited(r, verdict);
    r->granted_units = 0;
    if (verdict->retry_after > 0)
        r->retry_after = MAX(
            verdict->retry_after,
            GwTime_Jitter(r->gateway->rand, verdict->state == GW_LIMIT_UNKNOWN
                                                ? RETRY_AFTER_NO_OWNER
                                                : RETRY_AFTER_MIN));
    GwRequestRefusal_Answer(r, verdict->state == GW_LIMIT_UNKNOWN
                                   ? GW_REFUSAL_LIMIT_UNKNOWN
                                   : GW_REFUSAL_ACCOUNT_LIMIT);
}

static void
compare_share_(GwRequest *r)
{
    GwGateway *g = r->gateway;
    GwTime now = GwTime_Now();
    GwAccountRequest request = {
        .account = r->account->name,
        .yields = r->account->priority > 0,
        .limit_rate = r->account->limit_rate,
        .units = r->granted_units,
        .use = GwLimitShare_Use(g->limit_share, r->account->name, now),
        .entries = GwPeers_Entries(g->peers),
        .is_cut_off = GwLimitShare_IsCutOff(g->limit_share, now),
    };
    GwAccountShareChange change;

    r->share_excess =
        GwAccountShare_Add(g->account_share, &request, now, &change);
    if (change != GW_ACCOUNT_SHARE_SAME)
        log_share_(r, &request, change);
}

static void
log_share_(const GwRequest *r, const GwAccountRequest *request,
           GwAccountShareChange change)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "account_share", r->info.id);
    GwEvent_Text(log, "account", request->account);
    GwEvent_Text(log, "state", GwAccountShareChange_Names[change]);
    GwEvent_Real(log, "excess", r->share_excess);
    GwEvent_Real(log, "use", request->use);
    GwEvent_Number(log, "rate", (int64_t)request->limit_rate);
    GwEvent_End(log);
}
