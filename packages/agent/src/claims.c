#define GW_LOG_PART "claims"
#include "claims.h"

#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "galenagw/base/log.h"

#define DEFAULT_CLAIM_TIMEOUT (2 * GW_SECOND)
/* A batch that was not read back after this time is appended again. */
#define REAPPEND_DELAY (300 * GW_MILLISECOND)
#define BATCH_MAX_CLAIMS 256

const char *const ClaimResult_Names[CLAIM_RESULTS] = {
    "ours",
    "others",
    "unavailable",
};

/* The first claim for a key in log order. */
typedef struct {
    ClaimKey key;
    GQuark holder;
    uint64_t incarnation;
    GwTime recorded_at; /* when this process read it from the log */
} Claim;

/* A request of Claims_Request that is not decided yet. */
typedef struct Waiter Waiter;
struct Waiter {
    TAILQ_ENTRY(Waiter) link;
    ClaimKey key;
    ClaimFn fn;
    void *user;
    GwTime requested_at;
};

TAILQ_HEAD(WaiterList, Waiter);

struct Claims {
    GwLoop *loop;
    GwLog log;
    ClaimsOptions options;
    char *stream;
    GwLogTail *tail;
    GHashTable *claims_by_key; /* ClaimKey to Claim, as read from the log */
    struct WaiterList unsent;  /* not in a batch yet */
    struct WaiterList sent;    /* in `batch` */
    json_t *batch; /* record being appended or read back; NULL: none */
    GwLogCall *append_call;
    GwTimer timer; /* for timeouts and for appending again */
    GwTime appended_at;
    GwTime lifetime;  /* of a claim; 0: unlimited */
    bool is_log_read; /* to its end, at least once */
};

static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_round_(void *user, bool ok, bool at_end);
static void add_claim_(Claims *c, const char *hex, const char *holder,
                       uint64_t incarnation);
static void resolve_waiters_(Claims *c, struct WaiterList *list);
static ClaimResult claim_result_(const Claims *c, const Claim *claim);
static void complete_waiter_(Claims *c, struct WaiterList *list, Waiter *w,
                             ClaimResult result, const char *holder);
static void start_batch_(Claims *c);
static void send_batch_(Claims *c);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);
static void fail_batch_(Claims *c);
static void on_timer_(void *user);
static void expire_waiters_(Claims *c, struct WaiterList *list, GwTime now);
static gboolean is_claim_expired_(gpointer key, gpointer value, gpointer user);
static void key_to_hex_(const ClaimKey *key, char hex[33]);
static void key_from_hex_(const char *hex, ClaimKey *key);

static const GwLogTailOps tail_ops = {NULL, on_record_, on_round_};

Claims *
Claims_New(GwLoop *loop, GwLog log, const ClaimsOptions *options)
{
    Claims *c = g_new0(Claims, 1);

    c->loop = loop;
    c->log = log;
    c->options = *options;
    if (c->options.timeout == 0)
        c->options.timeout = DEFAULT_CLAIM_TIMEOUT;
    c->stream = g_strdup(options->stream);
    c->claims_by_key =
        g_hash_table_new_full(Claims_HashKey, Claims_EqualKey, NULL, g_free);
    TAILQ_INIT(&c->unsent);
    TAILQ_INIT(&c->sent);
    GwTimer_Init(&c->timer, loop, on_timer_, c);
    c->tail =
        GwLogTail_New(loop, log, c->stream, 0, options->rand, &tail_ops, c);
    return c;
}

void
Claims_Delete(Claims *c)
{
    Waiter *w;

    if (c == NULL)
        return;
    GwTimer_Stop(&c->timer);
    if (c->append_call != NULL)
        c->log.ops->cancel(c->log.impl, c->append_call);
    GwLogTail_Delete(c->tail);
    TAILQ_CONCAT(&c->unsent, &c->sent, link);
    while ((w = TAILQ_FIRST(&c->unsent)) != NULL) {
        TAILQ_REMOVE(&c->unsent, w, link);
        g_free(w);
    }
    json_decref(c->batch);
    g_hash_table_unref(c->claims_by_key);
    g_free(c->stream);
    g_free(c);
}

bool
Claims_IsLogRead(const Claims *c)
{
    return c->is_log_read;
}

ClaimKey
Claims_MakeKey(const char *account, const char *service, const char *key)
{
    g_autofree char *text =
        g_strdup_printf("%s\n%s\n%s", account, service, key);
    XXH128_hash_t h = XXH3_128bits(text, strlen(text));

    return (ClaimKey){h.high64, h.low64};
}

void
Claims_Request(Claims *c, const ClaimKey *key, ClaimFn fn, void *user)
{
    const Claim *claim = g_hash_table_lookup(c->claims_by_key, key);
    Waiter *w;

    if (claim != NULL) {
        fn(user, claim_result_(c, claim), g_quark_to_string(claim->holder));
        return;
    }
    // Until the log was read to its end, it may contain a claim for this key
    // by an earlier incarnation of this agent that crashed.
    if (!c->is_log_read) {
        fn(user, CLAIM_UNAVAILABLE, NULL);
        return;
    }
    w = g_new0(Waiter, 1);
    w->key = *key;
    w->fn = fn;
    w->user = user;
    w->requested_at = GwTime_Now();
    TAILQ_INSERT_TAIL(&c->unsent, w, link);
    start_batch_(c);
}

void
Claims_CancelRequest(Claims *c, void *user)
{
    struct WaiterList *lists[] = {&c->unsent, &c->sent};
    Waiter *w;

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        TAILQ_FOREACH(w, lists[i], link)
        {
            if (w->user != user)
                continue;
            TAILQ_REMOVE(lists[i], w, link);
            g_free(w);
            return;
        }
    }
}

guint
Claims_HashKey(gconstpointer p)
{
    return (guint)((const ClaimKey *)p)->low;
}

gboolean
Claims_EqualKey(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(ClaimKey)) == 0;
}

void
Claims_SetLifetime(Claims *c, GwTime lifetime)
{
    c->lifetime = lifetime;
}

void
Claims_Sweep(Claims *c, GwTime now)
{
    GwTime oldest = now - c->lifetime;

    if (c->lifetime > 0)
        g_hash_table_foreach_remove(c->claims_by_key, is_claim_expired_,
                                    &oldest);
}

bool
Claims_IsClaimed(const Claims *c, const ClaimKey *key)
{
    return g_hash_table_contains(c->claims_by_key, key);
}

size_t
Claims_Count(const Claims *c)
{
    return g_hash_table_size(c->claims_by_key);
}

// Step "fold": the first claim for a key in log order owns the key.
static void
on_record_(void *user, uint64_t offset, const json_t *data)
{
    Claims *c = user;
    const char *holder = json_string_value(json_object_get(data, "holder"));
    uint64_t incarnation =
        (uint64_t)json_integer_value(json_object_get(data, "incarnation"));
    size_t i;
    json_t *item;

    if (holder == NULL)
        return;
    GwCounters_Add(c->options.counters, GW_COUNTER_LOG_RECORDS, 1);
    json_array_foreach(json_object_get(data, "claims"), i, item)
    {
        if (json_is_string(item))
            add_claim_(c, json_string_value(item), holder, incarnation);
    }
    resolve_waiters_(c, &c->sent);
    resolve_waiters_(c, &c->unsent);
}

static void
on_round_(void *user, bool ok, bool at_end)
{
    Claims *c = user;

    if (at_end)
        c->is_log_read = true;
}

static void
add_claim_(Claims *c, const char *hex, const char *holder,
           uint64_t incarnation)
{
    Claim *claim = g_new0(Claim, 1);

    key_from_hex_(hex, &claim->key);
    if (g_hash_table_contains(c->claims_by_key, &claim->key)) {
        g_free(claim);
        return;
    }
    claim->holder = g_quark_from_string(holder);
    claim->incarnation = incarnation;
    claim->recorded_at = GwTime_Now();
    g_hash_table_insert(c->claims_by_key, &claim->key, claim);
}

static void
resolve_waiters_(Claims *c, struct WaiterList *list)
{
    Waiter *w;
    Waiter *next;

    for (w = TAILQ_FIRST(list); w != NULL; w = next) {
        const Claim *claim = g_hash_table_lookup(c->claims_by_key, &w->key);

        next = TAILQ_NEXT(w, link);
        if (claim != NULL)
            complete_waiter_(c, list, w, claim_result_(c, claim),
                             g_quark_to_string(claim->holder));
    }
    if (list == &c->sent && TAILQ_EMPTY(&c->sent)) {
        json_decref(c->batch);
        c->batch = NULL;
        start_batch_(c);
    }
}

// The request of a claim by an earlier incarnation of this agent may have run
// then, so the key is not owned by this incarnation.
static ClaimResult
claim_result_(const Claims *c, const Claim *claim)
{
    bool same =
        claim->incarnation == c->options.incarnation &&
        strcmp(g_quark_to_string(claim->holder), c->options.holder) == 0;

    return same ? CLAIM_OWNED : CLAIM_OWNED_ELSEWHERE;
}

static void
complete_waiter_(Claims *c, struct WaiterList *list, Waiter *w,
                 ClaimResult result, const char *holder)
{
    TAILQ_REMOVE(list, w, link);
    w->fn(w->user, result, holder);
    g_free(w);
}

// Step "append": one record with all waiting claims (group commit).
static void
start_batch_(Claims *c)
{
    json_t *keys;
    Waiter *w;

    if (c->batch != NULL || TAILQ_EMPTY(&c->unsent))
        return;
    keys = json_array();
    while ((w = TAILQ_FIRST(&c->unsent)) != NULL &&
           json_array_size(keys) < BATCH_MAX_CLAIMS) {
        char hex[33];

        key_to_hex_(&w->key, hex);
        json_array_append_new(keys, json_string(hex));
        TAILQ_REMOVE(&c->unsent, w, link);
        TAILQ_INSERT_TAIL(&c->sent, w, link);
    }
    c->batch = json_pack("{s:s, s:s, s:I, s:o}", "t", "claims", "holder",
                         c->options.holder, "incarnation",
                         (json_int_t)c->options.incarnation, "claims", keys);
    send_batch_(c);
    GwTimer_Start(&c->timer, REAPPEND_DELAY);
}

static void
send_batch_(Claims *c)
{
    c->appended_at = GwTime_Now();
    c->append_call =
        c->log.ops->append(c->log.impl, c->stream, c->batch, on_appended_, c);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    Claims *c = user;

    c->append_call = NULL;
    if (c->batch == NULL)
        return;
    if (outcome == GW_APPEND_NOT_DONE)
        fail_batch_(c);
    else if (outcome == GW_APPEND_UNKNOWN)
        // Step "read back": the append was not answered, but the record may be
        // in the log. If the reader of the log does not receive the record,
        // the timer appends it again.
        GwCounters_AddRetry(c->options.counters, GW_RETRY_APPEND_LOST);
}

static void
fail_batch_(Claims *c)
{
    Waiter *w;

    json_decref(c->batch);
    c->batch = NULL;
    while ((w = TAILQ_FIRST(&c->sent)) != NULL)
        complete_waiter_(c, &c->sent, w, CLAIM_UNAVAILABLE, NULL);
    start_batch_(c);
}

static void
on_timer_(void *user)
{
    Claims *c = user;
    GwTime now = GwTime_Now();

    expire_waiters_(c, &c->sent, now);
    expire_waiters_(c, &c->unsent, now);
    if (c->batch != NULL && TAILQ_EMPTY(&c->sent)) {
        json_decref(c->batch);
        c->batch = NULL;
        start_batch_(c);
    }
    if (c->batch != NULL && c->append_call == NULL)
        send_batch_(c);
    if (c->batch != NULL || !TAILQ_EMPTY(&c->unsent))
        GwTimer_Start(&c->timer, REAPPEND_DELAY);
}

// Requests that were not decided in time are reported as unavailable, and the
// call is refused as not run. That stays true if the claim reaches the log
// later: this agent then owns the key and may run a retry of the request.
static void
expire_waiters_(Claims *c, struct WaiterList *list, GwTime now)
{
    Waiter *w;

    while ((w = TAILQ_FIRST(list)) != NULL &&
           now - w->requested_at >= c->options.timeout)
        complete_waiter_(c, list, w, CLAIM_UNAVAILABLE, NULL);
}

static gboolean
is_claim_expired_(gpointer key, gpointer value, gpointer user)
{
    return ((const Claim *)value)->recorded_at < *(const GwTime *)user;
}

static void
key_to_hex_(const ClaimKey *key, char hex[33])
{
    g_snprintf(hex, 33, "%016" PRIx64 "%016" PRIx64, key->high, key->low);
}

static void
key_from_hex_(const char *hex, ClaimKey *key)
{
    char part[17] = "";

    g_strlcpy(part, hex, sizeof(part));
    key->high = g_ascii_strtoull(part, NULL, 16);
    key->low = strlen(hex) > 16 ? g_ascii_strtoull(hex + 16, NULL, 16) : 0;
}
