#include "exchange.h"

#include <inttypes.h>
#include <string.h>

#include "credits.h"
#include "delivery.h"
#include "exchange_private.h"
#include "openai.h"
#include "placing.h"
#include "suspects.h"

/* How long a request waits for configuration or members at a start. */
#define START_PATIENCE (2 * GW_SECOND)
#define WAIT_STEP (10 * GW_MILLISECOND)
/* How long an account's home is waited for. */
#define CREDIT_PATIENCE (30 * GW_MILLISECOND)

static void on_timer_(void *user);
static void proceed_(Exchange *x);
static bool admit_(Exchange *x, const GwConfig *config);
static bool take_model_(Exchange *x, const GwConfig *config);
static bool take_service_(Exchange *x, const GwConfig *config);
static bool pay_(Exchange *x, const GwAccount *account);
static void take_deadline_(Exchange *x, const GwClass *class_);
static void fill_chain_(Exchange *x);

void
Exchange_Start(GwEntry *entry, GwHttpCall *call,
               const ExchangeRequest *request)
{
    Exchange *x = g_new0(Exchange, 1);

    x->entry = entry;
    x->call = call;
    x->id = (uint64_t)g_rand_int(entry->rand) << 32 | g_rand_int(entry->rand);
    g_snprintf(x->id_text, sizeof(x->id_text), "%016" PRIx64, x->id);
    x->request = *request;
    x->begun = GwTime_Now();
    x->sought_at = x->begun;
    x->deadline = GW_NEVER;
    x->text = g_string_new(NULL);
    x->recent = g_byte_array_new();
    XXH64_reset(&x->digest, 0);
    GwTimer_Init(&x->timer, entry->loop, on_timer_, x);
    GwHttpCall_SetUser(call, x);
    g_hash_table_insert(entry->exchanges, &x->id, x);
    GwCounters_Add(&entry->counters, GW_COUNTER_REQUESTS, 1);
    GwRetryBudget_First(&entry->budget);
    proceed_(x);
}

void
Exchange_CallerGone(Exchange *x)
{
    GwCounters_Add(&x->entry->counters, GW_COUNTER_CALLERS_GONE, 1);
    x->call = NULL;
    if (x->peer != NULL && Peers_IsReady(x->peer)) {
        GW_FRAME(frame, cancel, CANCEL, Cancel, cancel);

        cancel.request_id = x->id;
        cancel.attempt = x->attempt;
        GwSession_Send(x->peer->session, &frame);
    }
    Exchange_Delete(x);
}

void
Exchange_CallerDrained(Exchange *x)
{
    Delivery_Ack(x);
}

void
Exchange_Clear(GwEntry *entry)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) all = g_ptr_array_new();

    g_hash_table_iter_init(&it, entry->exchanges);
    while (g_hash_table_iter_next(&it, NULL, &value))
        g_ptr_array_add(all, value);
    for (guint i = 0; i < all->len; i++) {
        Exchange *x = all->pdata[i];

        GwHttpCall_SetUser(x->call, NULL);
        Exchange_Delete(x);
    }
}

void
Exchange_PeerReady(Peer *peer)
{
    Delivery_PeerReady(peer);
    Placing_PeerReady(peer);
}

void
Exchange_PeerLost(Peer *peer)
{
    Delivery_PeerLost(peer);
    Placing_PeerLost(peer);
}

void
Exchange_CreditsChanged(GwEntry *entry, const char *account)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) waiting = g_ptr_array_new();

    g_hash_table_iter_init(&it, entry->exchanges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Exchange *x = value;

        if (x->state == EXCHANGE_WAITING && x->credit_asked &&
            strcmp(x->account, account) == 0)
            g_ptr_array_add(waiting, x);
    }
    for (guint i = 0; i < waiting->len; i++)
        proceed_(waiting->pdata[i]);
}

static void
on_timer_(void *user)
{
    Exchange *x = user;

    switch (x->state) {
    case EXCHANGE_WAITING:
        proceed_(x);
        break;
    case EXCHANGE_PROBING:
        Placing_OnTimer(x);
        break;
    default:
        Delivery_OnTimer(x);
    }
}

// From WAITING as far as it goes: configuration, account, credits, members.
static void
proceed_(Exchange *x)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    bool patient = GwTime_Now() - x->begun < START_PATIENCE;
    GwTime quarantined;

    if (config == NULL || !x->entry->listed) {
        // A restarted process has these from an agent or the platform in a
        // moment; refusing now would be for lack of state alone.
        if (patient)
            Exchange_Wait(x, WAIT_STEP);
        else
            Exchange_Refuse(x,
                            config == NULL ? GW_REFUSAL_NO_CONFIG
                                           : GW_REFUSAL_NO_ENDPOINT,
                            GW_RAN_NO, GW_SECOND);
        return;
    }
    if (!x->admitted && !admit_(x, config))
        return;
    quarantined = Suspects_Admit(x);
    if (quarantined > 0)
        Exchange_Refuse(x, GW_REFUSAL_QUARANTINED,
                        x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                        quarantined);
    else
        Placing_Start(x);
}

// False when it was refused, or waits for credits.
static bool
admit_(Exchange *x, const GwConfig *config)
{
    const GwAccount *account =
        x->request.bearer != NULL
            ? GwConfig_Authenticate(config, x->request.bearer)
            : NULL;

    if (account == NULL) {
        Exchange_Refuse(x, GW_REFUSAL_UNAUTHORIZED, GW_RAN_NO, 0);
        return false;
    }
    if (x->account == NULL)
        x->account = g_strdup(account->name);
    if (!(x->request.service ? take_service_(x, config)
                             : take_model_(x, config)))
        return false;
    if (!pay_(x, account))
        return false;
    x->trial = account->tier == GW_TIER_TRIAL;
    x->urgency = account->class_->urgency;
    take_deadline_(x, account->class_);
    fill_chain_(x);
    x->admitted = true;
    return true;
}

static bool
take_model_(Exchange *x, const GwConfig *config)
{
    const GwModel *m = g_hash_table_lookup(config->models, x->request.pool);

    if (m == NULL) {
        Exchange_Refuse(x, GW_REFUSAL_UNKNOWN_MODEL, GW_RAN_NO, 0);
        return false;
    }
    g_free(x->weights);
    g_free(x->adapter);
    x->weights = g_strdup(m->weights);
    x->adapter = g_strdup(m->adapter);
    // A generation may be run again: it changes nothing outside.
    x->idempotent = true;
    return true;
}

static bool
take_service_(Exchange *x, const GwConfig *config)
{
    const GwService *s =
        g_hash_table_lookup(config->services, x->request.pool);

    if (s == NULL) {
        Exchange_Refuse(x, GW_REFUSAL_UNKNOWN_ROUTE, GW_RAN_NO, 0);
        return false;
    }
    g_free(x->weights);
    g_free(x->adapter);
    x->weights = g_strdup("");
    x->adapter = g_strdup("");
    x->idempotent = GwService_IsIdempotent(s, x->request.method);
    return true;
}

static bool
pay_(Exchange *x, const GwAccount *account)
{
    GwCreditState state;
    bool waited =
        x->credit_asked && GwTime_Now() - x->begun >= CREDIT_PATIENCE;

    if (x->credit_spent)
        return true;
    state = Credits_Spend(x->entry, account);
    // The home does not answer: the local share stands in for it.
    if (state == GW_CREDIT_ASK && waited)
        state = Credits_SpendLocal(x->entry, account) ? GW_CREDIT_GO
                                                      : GW_CREDIT_REFUSE;
    switch (state) {
    case GW_CREDIT_GO:
        x->credit_spent = true;
        return true;
    case GW_CREDIT_ASK:
        x->credit_asked = true;
        Exchange_Wait(x, WAIT_STEP);
        return false;
    default:
        Exchange_Refuse(x, GW_REFUSAL_ACCOUNT_LIMIT, GW_RAN_NO,
                        Credits_RetryAfter(x->entry, account));
        return false;
    }
}

static void
take_deadline_(Exchange *x, const GwClass *class_)
{
    if (class_->first_token_ms > 0)
        x->deadline = x->begun + class_->first_token_ms * GW_MILLISECOND;
    if (x->request.deadline > 0)
        x->deadline = MIN(x->deadline, x->begun + x->request.deadline);
}

static void
fill_chain_(Exchange *x)
{
    GwChainSeed seed = {x->account, x->request.pool, x->weights, x->adapter};

    GwChain_Init(&x->chain, &seed);
    if (x->request.parsed == NULL)
        return;
    OpenAi_FillChain(x->request.parsed, &x->chain);
    x->anchor = GwCandidates_Anchor(&x->chain);
    // The parsed form is not needed any more; the body is what is sent.
    OpenAi_Finish(x->request.parsed);
    g_clear_pointer(&x->request.parsed, g_free);
}
