#include "exchange.h"

#include <inttypes.h>
#include <string.h>

#include "credits.h"
#include "delivery.h"
#include "entry_quarantine.h"
#include "exchange_private.h"
#include "openai.h"
#include "placement.h"

/* How long a request waits for the configuration and the instance list after
   a start of the entry. */
#define START_TIMEOUT (2 * GW_SECOND)
#define RECHECK_INTERVAL (10 * GW_MILLISECOND)
/* If the limit owner has not answered within this time after the arrival of
   the request, the local share of the limit applies. */
#define CREDIT_GRANT_TIMEOUT (30 * GW_MILLISECOND)

static void on_timer_(void *user);
static void admit_and_place_(Exchange *x);
static bool admit_request_(Exchange *x, const GwConfig *config);
static bool resolve_model_(Exchange *x, const GwConfig *config);
static bool resolve_service_(Exchange *x, const GwConfig *config);
static bool spend_credit_(Exchange *x, const GwAccount *account);
static void set_deadline_(Exchange *x, const GwTrafficClass *class_);
static void use_parsed_body_(Exchange *x);

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
    x->started_at = GwTime_Now();
    x->search_started_at = x->started_at;
    x->deadline = GW_NEVER;
    x->delivered_text = g_string_new(NULL);
    x->unparsed_events = g_byte_array_new();
    XXH64_reset(&x->digest, 0);
    GwTimer_Init(&x->timer, entry->loop, on_timer_, x);
    GwHttpCall_SetUser(call, x);
    g_hash_table_insert(entry->exchanges, &x->id, x);
    GwCounters_Add(&entry->counters, GW_COUNTER_REQUESTS, 1);
    GwRetryBudget_AddFirstAttempt(&entry->budget);
    admit_and_place_(x);
}

void
Exchange_OnCallerClosed(Exchange *x)
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
Exchange_OnCallerWritable(Exchange *x)
{
    Delivery_SendAck(x);
}

void
Exchange_DeleteAll(GwEntry *entry)
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
Exchange_OnPeerReady(Peer *peer)
{
    Delivery_OnPeerReady(peer);
    Placement_OnPeerReady(peer);
}

void
Exchange_OnPeerLost(Peer *peer)
{
    Delivery_OnPeerLost(peer);
    Placement_OnPeerLost(peer);
}

void
Exchange_OnCreditsChanged(GwEntry *entry, const char *account)
{
    GHashTableIter it;
    gpointer value;
    g_autoptr(GPtrArray) waiting = g_ptr_array_new();

    g_hash_table_iter_init(&it, entry->exchanges);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Exchange *x = value;

        if (x->state == EXCHANGE_WAITING && x->credit_requested &&
            strcmp(x->account, account) == 0)
            g_ptr_array_add(waiting, x);
    }
    for (guint i = 0; i < waiting->len; i++)
        admit_and_place_(waiting->pdata[i]);
}

static void
on_timer_(void *user)
{
    Exchange *x = user;

    switch (x->state) {
    case EXCHANGE_WAITING:
        admit_and_place_(x);
        break;
    case EXCHANGE_PROBING:
        Placement_OnTimer(x);
        break;
    default:
        Delivery_OnTimer(x);
    }
}

// State WAITING: check configuration, account, credits and quarantine, then
// start placement. Waits or refuses at the first condition that is not met.
static void
admit_and_place_(Exchange *x)
{
    const GwConfig *config = GwConfigFeed_Config(x->entry->feed);
    bool within_start_timeout = GwTime_Now() - x->started_at < START_TIMEOUT;
    GwTime quarantine_left;

    if (config == NULL || !x->entry->list_loaded) {
        // A restarted entry soon receives both from an agent or the platform,
        // so the request waits instead of being refused.
        if (within_start_timeout)
            Exchange_RecheckAfter(x, RECHECK_INTERVAL);
        else
            Exchange_Refuse(x,
                            config == NULL ? GW_REFUSAL_NO_CONFIG
                                           : GW_REFUSAL_NO_ENDPOINT,
                            GW_RAN_NO, GW_SECOND);
        return;
    }
    if (!x->admitted && !admit_request_(x, config))
        return;
    quarantine_left = EntryQuarantine_Admit(x);
    if (quarantine_left > 0)
        Exchange_Refuse(x, GW_REFUSAL_QUARANTINED,
                        x->may_have_run ? GW_RAN_UNKNOWN : GW_RAN_NO,
                        quarantine_left);
    else
        Placement_Start(x);
}

// Returns false if the request was refused or waits for credits.
static bool
admit_request_(Exchange *x, const GwConfig *config)
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
    if (!(x->request.service ? resolve_service_(x, config)
                             : resolve_model_(x, config)))
        return false;
    if (!spend_credit_(x, account))
        return false;
    x->trial = account->tier == GW_TIER_TRIAL;
    x->urgency = account->class_->urgency;
    set_deadline_(x, account->class_);
    use_parsed_body_(x);
    x->admitted = true;
    return true;
}

static bool
resolve_model_(Exchange *x, const GwConfig *config)
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
    // A generation has no side effects, so it may run twice.
    x->idempotent = true;
    return true;
}

static bool
resolve_service_(Exchange *x, const GwConfig *config)
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
spend_credit_(Exchange *x, const GwAccount *account)
{
    GwCreditState state;
    bool grant_timed_out =
        x->credit_requested &&
        GwTime_Now() - x->started_at >= CREDIT_GRANT_TIMEOUT;

    if (x->credit_spent)
        return true;
    state = Credits_Spend(x->entry, account);
    // The limit owner did not answer in time; use the local share.
    if (state == GW_CREDIT_ASK && grant_timed_out)
        state = Credits_SpendLocal(x->entry, account) ? GW_CREDIT_SEND
                                                      : GW_CREDIT_REFUSE;
    switch (state) {
    case GW_CREDIT_SEND:
        x->credit_spent = true;
        return true;
    case GW_CREDIT_ASK:
        x->credit_requested = true;
        Exchange_RecheckAfter(x, RECHECK_INTERVAL);
        return false;
    default:
        Exchange_Refuse(x, GW_REFUSAL_ACCOUNT_LIMIT, GW_RAN_NO,
                        Credits_RetryAfter(x->entry, account));
        return false;
    }
}

static void
set_deadline_(Exchange *x, const GwTrafficClass *class_)
{
    if (class_->first_token_ms > 0)
        x->deadline = x->started_at + class_->first_token_ms * GW_MILLISECOND;
    if (x->request.deadline > 0)
        x->deadline = MIN(x->deadline, x->started_at + x->request.deadline);
}

// Fills the prefix chain and the identity in the quarantine.
static void
use_parsed_body_(Exchange *x)
{
    GwChainSeed seed = {x->account, x->request.pool, x->weights, x->adapter};
    OpenAiRequest *parsed = x->request.parsed;

    GwChain_Init(&x->chain, &seed);
    EntryQuarantine_Identify(x, parsed != NULL ? parsed->root : NULL);
    if (parsed == NULL)
        return;
    OpenAi_FillChain(parsed, &x->chain);
    x->anchor = GwCandidates_Anchor(&x->chain);
    // Only the serialized body is sent; release the parsed form.
    OpenAi_Finish(parsed);
    g_clear_pointer(&x->request.parsed, g_free);
}
