#define GW_LOG_PART "claims"
#include "claims.h"

#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "galenagw/base/log.h"

#define DEFAULT_TIMEOUT (2 * GW_SECOND)
#define REAPPEND_AFTER (300 * GW_MILLISECOND)
#define MAX_BATCH 256

const char *const ClaimResult_Names[CLAIM_RESULTS] = {
    "ours",
    "others",
    "unavailable",
};

/* A claim that the log holds. */
typedef struct {
    ClaimKey key;
    GQuark holder;
    uint64_t incarnation;
    GwTime seen;
} Claim;

typedef struct Waiter Waiter;
struct Waiter {
    TAILQ_ENTRY(Waiter) link;
    ClaimKey key;
    ClaimFn fn;
    void *user;
    GwTime since;
};

TAILQ_HEAD(WaiterList, Waiter);

struct Claims {
    GwLoop *loop;
    GwLog log;
    ClaimsOptions options;
    char *stream;
    GwLogTail *tail;
    GHashTable *known;       /* ClaimKey to Claim: the fold of the log */
    struct WaiterList queue; /* not appended yet */
    struct WaiterList sent;  /* in the batch being appended or read back */
    json_t *batch;
    GwLogCall *append;
    GwTimer timer; /* for timeouts and repeated appends */
    GwTime appended_at;
    GwTime life;
    bool read_to_end;
};

static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_round_(void *user, bool ok, bool at_end);
static void fold_(Claims *c, const char *hex, const char *holder,
                  uint64_t incarnation);
static void resolve_(Claims *c, struct WaiterList *list);
static ClaimResult result_of_(const Claims *c, const Claim *claim);
static void answer_(Claims *c, struct WaiterList *list, Waiter *w,
                    ClaimResult result, const char *holder);
static void append_batch_(Claims *c);
static void send_batch_(Claims *c);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);
static void fail_sent_(Claims *c);
static void on_timer_(void *user);
static void expire_(Claims *c, struct WaiterList *list, GwTime now);
static gboolean is_old_(gpointer key, gpointer value, gpointer user);
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
        c->options.timeout = DEFAULT_TIMEOUT;
    c->stream = g_strdup(options->stream);
    c->known =
        g_hash_table_new_full(Claims_HashKey, Claims_EqualKey, NULL, g_free);
    TAILQ_INIT(&c->queue);
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
    if (c->append != NULL)
        c->log.ops->cancel(c->log.impl, c->append);
    GwLogTail_Delete(c->tail);
    TAILQ_CONCAT(&c->queue, &c->sent, link);
    while ((w = TAILQ_FIRST(&c->queue)) != NULL) {
        TAILQ_REMOVE(&c->queue, w, link);
        g_free(w);
    }
    json_decref(c->batch);
    g_hash_table_unref(c->known);
    g_free(c->stream);
    g_free(c);
}

bool
Claims_AreKnown(const Claims *c)
{
    return c->read_to_end;
}

ClaimKey
Claims_Key(const char *account, const char *service, const char *key)
{
    g_autofree char *text =
        g_strdup_printf("%s\n%s\n%s", account, service, key);
    XXH128_hash_t h = XXH3_128bits(text, strlen(text));

    return (ClaimKey){h.high64, h.low64};
}

void
Claims_Request(Claims *c, const ClaimKey *key, ClaimFn fn, void *user)
{
    const Claim *claim = g_hash_table_lookup(c->known, key);
    Waiter *w;

    if (claim != NULL) {
        fn(user, result_of_(c, claim), g_quark_to_string(claim->holder));
        return;
    }
    // Until old claims are known, a crashed predecessor's claim on this
    // very key could still come up.
    if (!c->read_to_end) {
        fn(user, CLAIM_UNAVAILABLE, NULL);
        return;
    }
    w = g_new0(Waiter, 1);
    w->key = *key;
    w->fn = fn;
    w->user = user;
    w->since = GwTime_Now();
    TAILQ_INSERT_TAIL(&c->queue, w, link);
    append_batch_(c);
}

void
Claims_Forget(Claims *c, void *user)
{
    struct WaiterList *lists[] = {&c->queue, &c->sent};
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
Claims_SetLife(Claims *c, GwTime life)
{
    c->life = life;
}

void
Claims_Sweep(Claims *c, GwTime now)
{
    GwTime before = now - c->life;

    if (c->life > 0)
        g_hash_table_foreach_remove(c->known, is_old_, &before);
}

bool
Claims_Binds(const Claims *c, const ClaimKey *key)
{
    return g_hash_table_contains(c->known, key);
}

size_t
Claims_Count(const Claims *c)
{
    return g_hash_table_size(c->known);
}

// Step "fold": the first claim in log order owns its key.
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
            fold_(c, json_string_value(item), holder, incarnation);
    }
    resolve_(c, &c->sent);
    resolve_(c, &c->queue);
}

static void
on_round_(void *user, bool ok, bool at_end)
{
    Claims *c = user;

    if (at_end)
        c->read_to_end = true;
}

static void
fold_(Claims *c, const char *hex, const char *holder, uint64_t incarnation)
{
    Claim *claim = g_new0(Claim, 1);

    key_from_hex_(hex, &claim->key);
    if (g_hash_table_contains(c->known, &claim->key)) {
        g_free(claim);
        return;
    }
    claim->holder = g_quark_from_string(holder);
    claim->incarnation = incarnation;
    claim->seen = GwTime_Now();
    g_hash_table_insert(c->known, &claim->key, claim);
}

static void
resolve_(Claims *c, struct WaiterList *list)
{
    Waiter *w;
    Waiter *next;

    for (w = TAILQ_FIRST(list); w != NULL; w = next) {
        const Claim *claim = g_hash_table_lookup(c->known, &w->key);

        next = TAILQ_NEXT(w, link);
        if (claim != NULL)
            answer_(c, list, w, result_of_(c, claim),
                    g_quark_to_string(claim->holder));
    }
    if (list == &c->sent && TAILQ_EMPTY(&c->sent)) {
        json_decref(c->batch);
        c->batch = NULL;
        append_batch_(c);
    }
}

// A claim of an earlier life of this agent may have run: it is not ours.
static ClaimResult
result_of_(const Claims *c, const Claim *claim)
{
    bool same =
        claim->incarnation == c->options.incarnation &&
        strcmp(g_quark_to_string(claim->holder), c->options.holder) == 0;

    return same ? CLAIM_OURS : CLAIM_OTHERS;
}

static void
answer_(Claims *c, struct WaiterList *list, Waiter *w, ClaimResult result,
        const char *holder)
{
    TAILQ_REMOVE(list, w, link);
    w->fn(w->user, result, holder);
    g_free(w);
}

// Step "append": one record for all that waited (group commit).
static void
append_batch_(Claims *c)
{
    json_t *keys;
    Waiter *w;

    if (c->batch != NULL || TAILQ_EMPTY(&c->queue))
        return;
    keys = json_array();
    while ((w = TAILQ_FIRST(&c->queue)) != NULL &&
           json_array_size(keys) < MAX_BATCH) {
        char hex[33];

        key_to_hex_(&w->key, hex);
        json_array_append_new(keys, json_string(hex));
        TAILQ_REMOVE(&c->queue, w, link);
        TAILQ_INSERT_TAIL(&c->sent, w, link);
    }
    c->batch = json_pack("{s:s, s:s, s:I, s:o}", "t", "claims", "holder",
                         c->options.holder, "incarnation",
                         (json_int_t)c->options.incarnation, "claims", keys);
    send_batch_(c);
    GwTimer_Start(&c->timer, REAPPEND_AFTER);
}

static void
send_batch_(Claims *c)
{
    c->appended_at = GwTime_Now();
    c->append =
        c->log.ops->append(c->log.impl, c->stream, c->batch, on_appended_, c);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    Claims *c = user;

    c->append = NULL;
    if (c->batch == NULL)
        return;
    if (outcome == GW_APPEND_NOT_DONE)
        fail_sent_(c);
    else if (outcome == GW_APPEND_UNKNOWN)
        // Step "read back": the record may be in the log all the same. The
        // tail finds it; if it does not, the timer appends it again.
        GwCounters_Retry(c->options.counters, GW_RETRY_APPEND_LOST);
}

static void
fail_sent_(Claims *c)
{
    Waiter *w;

    json_decref(c->batch);
    c->batch = NULL;
    while ((w = TAILQ_FIRST(&c->sent)) != NULL)
        answer_(c, &c->sent, w, CLAIM_UNAVAILABLE, NULL);
    append_batch_(c);
}

static void
on_timer_(void *user)
{
    Claims *c = user;
    GwTime now = GwTime_Now();

    expire_(c, &c->sent, now);
    expire_(c, &c->queue, now);
    if (c->batch != NULL && TAILQ_EMPTY(&c->sent)) {
        json_decref(c->batch);
        c->batch = NULL;
        append_batch_(c);
    }
    if (c->batch != NULL && c->append == NULL)
        send_batch_(c);
    if (c->batch != NULL || !TAILQ_EMPTY(&c->queue))
        GwTimer_Start(&c->timer, REAPPEND_AFTER);
}

// Not decided in time: the caller is told "not run", which stays true. The
// claim may still land; then this agent owns the key and may run a repeat.
static void
expire_(Claims *c, struct WaiterList *list, GwTime now)
{
    Waiter *w;

    while ((w = TAILQ_FIRST(list)) != NULL &&
           now - w->since >= c->options.timeout)
        answer_(c, list, w, CLAIM_UNAVAILABLE, NULL);
}

static gboolean
is_old_(gpointer key, gpointer value, gpointer user)
{
    return ((const Claim *)value)->seen < *(const GwTime *)user;
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
