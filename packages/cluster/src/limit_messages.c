#include "limit_messages.h"

#include "galenagw/cluster/account_limit.h"
#include "galenagw/routing/placement.h"

/* Highest utilization that is reported; above it, the value is wrong. */
#define USE_MAX 1000.0

static uint32_t encode_use_(double use);
static uint32_t clamp_units_(double units);

GwLimitPool
GwLimitMessages_OwnerPool(const GwView *view, int agent_port)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances((GwView *)view));
    g_autofree uint64_t *hashes = g_new(uint64_t, all->len + 1);
    size_t n = 0;

    for (guint i = 0; i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);
        GwAddress agent = instance->address;

        if (instance->model == NULL)
            continue;
        agent.port = agent_port;
        hashes[n++] = GwPlacement_HashAddress(&agent);
    }
    return GwLimitPool_Of(hashes, n);
}

void
GwLimitMessages_SendRequest(GwSession *session, const GwLimitRequest *request)
{
    GW_FRAME(frame, msg, CREDIT_ASK, CreditAsk, credit_ask);

    msg.account = (char *)request->account;
    msg.lease_id = request->lease_id;
    msg.want = clamp_units_(request->need);
    msg.ahead = clamp_units_(request->ahead);
    msg.unused = clamp_units_(request->unused);
    GwSession_Send(session, &frame);
}

void
GwLimitMessages_OnRequest(GwSession *session, GwLimitOwner *owner,
                          const GwView *view,
                          const GwLimitTolerance *tolerance,
                          const Gw__Wire__CreditAsk *msg)
{
    const GwRoutes *routes = GwView_Routes(view);
    const GwAccount *account =
        routes != NULL ? GwRoutes_AccountNamed(routes, msg->account) : NULL;
    GwLimitRequest request = {
        .account = msg->account,
        .lease_id = msg->lease_id,
        .need = msg->want,
        .ahead = msg->ahead,
        .unused = msg->unused,
    };
    GW_FRAME(frame, grant, CREDIT_GRANT, CreditGrant, credit_grant);

    grant.account = msg->account;
    grant.lease_id = msg->lease_id;
    if (account != NULL && account->limit_rate > 0) {
        GwLimit limit = GwAccountLimit_Of(account, tolerance);

        grant.credits = clamp_units_(
            GwLimitOwner_Answer(owner, &limit, &request, GwTime_Now()));
        grant.use_permille =
            encode_use_(GwLimitOwner_Use(owner, msg->account, GwTime_Now()));
    }
    // A message without a lease id only returns units and gets no answer.
    if (msg->lease_id != 0)
        GwSession_Send(session, &frame);
}

void
GwLimitMessages_OnGrant(GwLimitShare *share, uint64_t owner,
                        const Gw__Wire__CreditGrant *msg)
{
    GwLimitRequest answer = {.account = msg->account,
                             .lease_id = msg->lease_id};

    // Before the answer, with which waiting requests are decided.
    if (msg->use_permille > 0)
        GwLimitShare_OnUse(share, owner, msg->account,
                           (msg->use_permille - 1) / 1000.0, GwTime_Now());
    GwLimitShare_OnAnswer(share, owner, &answer, msg->credits, GwTime_Now());
}

// Returns 0 if the use is not known.
static uint32_t
encode_use_(double use)
{
    return use < 0 ? 0 : 1 + (uint32_t)(MIN(use, USE_MAX) * 1000 + 0.5);
}

static uint32_t
clamp_units_(double units)
{
    return (uint32_t)CLAMP(units, 0, (double)UINT32_MAX);
}
