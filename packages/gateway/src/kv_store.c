#include "kv_store.h"

#include <string.h>
#include <xxhash.h>

#include "galenagw/adapter/engine.h"
#include "galenagw/http/caller.h"
#include "galenagw/routing/placement.h"

/* The longest wait that the store allows: one call a second. */
#define WAIT_MS 1000
#define ANSWER_TIMEOUT (WAIT_MS * GW_MILLISECOND + 500 * GW_MILLISECOND)
#define PAUSE (500 * GW_MILLISECOND)
/* A save takes the prefill and a transfer; events come some hundred
 * milliseconds late. */
#define SAVE_AGAIN (3 * GW_SECOND)
#define STATUS_TOO_MANY 429
/* Between tries to become a follower again. Each one that is turned away has
 * its price, and shows that the store lives. */
#define BLIND_PAUSE (4 * GW_SECOND)
/* More gateways than a store lets wait follow it by short calls, so that none
 * of them is blind to what it keeps. A save shows up some hundred milliseconds
 * late anyway. All of them together make fifty calls a second at most. */
#define POLL_LEAST (400 * GW_MILLISECOND)
#define POLL_PER_FOLLOWER (20 * GW_MILLISECOND)
/* Before all that is kept is asked for, which stalls the store's work:
 * gateways that start at once are spread. */
#define HELD_PAUSE (300 * GW_MILLISECOND)
/* Share of the store's places for waiting calls that is used: a restarted
 * gateway's last call holds its place for a second more. */
#define WAITING_SHARE 0.75
/* Without its events: how long a save takes, and how long it is relied on. */
#define SAVE_TAKES (600 * GW_MILLISECOND)
#define SAVE_LASTS (8 * GW_SECOND)
/* A save sends the request's own part too, which nobody else can use: it takes
 * the store's link and room until newer parts push it out. So a request whose
 * own part is longer than the shared ones, and than so many tokens, leaves the
 * saving to another one. Without the second bound nobody saved the short parts
 * of most subjects: half of all requests found theirs nowhere, and shared
 * parts read again cost 0.02 to 0.03 more of a day's worth. */
#define MAX_OWN_SHARE 1.0
#define MAX_OWN_TOKENS 4000
/* Parts remembered; a store of a million tokens has a thousand or so. */
#define MAX_PARTS 50000

struct GwKvStore {
    GwEventLog *log;
    GRand *rand;
    GwAddress address;
    bool is_up;
    bool is_blind;  /* it lives, and does not tell us what it keeps */
    bool is_gapped; /* events were lost: the next call asks for all */
    GwHttpCaller *caller;
    GwTimer timer;
    unsigned max_followers;
    unsigned followers;
    int64_t epoch;
    int64_t next;
    GHashTable *parts; /* key_() of what is kept, to tokens */
    GHashTable *saves; /* key_() to GwTime */
};

static bool must_poll_(const GwKvStore *s);
static GwTime poll_pause_(const GwKvStore *s);
static bool is_own_too_long_(const GwAsk *ask);
static void call_(void *user);
static void on_done_(void *user, GwCallOutcome outcome, int status,
                     const char *body, size_t len);
static bool take_(GwKvStore *s, const char *body, size_t len,
                  GwEventsPage *page, GwError *err);
static void on_event_(void *user, const GwCacheEvent *event);
static void set_up_(GwKvStore *s, bool up, const char *why);
static bool was_saved_(const GwKvStore *s, const GwAsk *ask, const char *scope,
                       GwTime now);
static uint64_t key_(const char *scope, uint64_t part);

GwKvStore *
GwKvStore_New(GwLoop *loop, const GwKvStoreOptions *options)
{
    GwKvStore *s = g_new0(GwKvStore, 1);

    s->log = options->log;
    s->rand = options->rand;
    s->address = options->address;
    s->max_followers = options->max_followers;
    s->epoch = -1;
    s->parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    s->saves =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s->caller = GwHttpCaller_New(loop, &s->address);
    GwTimer_Init(&s->timer, loop, call_, s);
    call_(s);
    return s;
}

void
GwKvStore_Delete(GwKvStore *s)
{
    if (s == NULL)
        return;
    GwTimer_Stop(&s->timer);
    GwHttpCaller_Delete(s->caller);
    g_hash_table_unref(s->parts);
    g_hash_table_unref(s->saves);
    g_free(s);
}

const GwAddress *
GwKvStore_Address(const GwKvStore *s)
{
    return s->is_up ? &s->address : NULL;
}

bool
GwKvStore_IsBlind(const GwKvStore *s)
{
    return s->is_up && s->is_blind;
}

unsigned
GwKvStore_Kept(const GwKvStore *s, const GwAsk *ask, const char *scope,
               GwTime now)
{
    unsigned n = 0;

    if (!s->is_up || ask->n_parts == 0)
        return 0;
    if (s->is_blind)
        return was_saved_(s, ask, scope, now) ? ask->n_parts - 1 : 0;
    while (n < ask->n_parts) {
        uint64_t key = key_(scope, ask->parts[n].id);

        if (!g_hash_table_contains(s->parts, &key))
            break;
        n++;
    }
    return n;
}

bool
GwKvStore_TakeSave(GwKvStore *s, const GwAsk *ask, const char *scope,
                   GwTime now)
{
    uint64_t key;
    GwTime *asked;

    if (!s->is_up || ask->n_parts < 2 || is_own_too_long_(ask) ||
        GwKvStore_Kept(s, ask, scope, now) >= ask->n_parts - 1)
        return false;
    key = key_(scope, ask->parts[ask->n_parts - 2].id);
    asked = g_hash_table_lookup(s->saves, &key);
    if (asked != NULL && now - *asked < SAVE_AGAIN)
        return false;
    if (asked == NULL) {
        if (g_hash_table_size(s->saves) >= MAX_PARTS)
            g_hash_table_remove_all(s->saves);
        asked = g_new(GwTime, 1);
        g_hash_table_insert(s->saves, g_memdup2(&key, sizeof(key)), asked);
    }
    *asked = now;
    return true;
}

void
GwKvStore_SetFollowers(GwKvStore *s, unsigned followers)
{
    s->followers = followers;
}

static bool
must_poll_(const GwKvStore *s)
{
    return s->max_followers > 0 &&
           s->followers > WAITING_SHARE * s->max_followers;
}

static bool
is_own_too_long_(const GwAsk *ask)
{
    uint32_t own = ask->parts[ask->n_parts - 1].tokens;

    return own > MAX_OWN_TOKENS &&
           own > MAX_OWN_SHARE *
                     GwPlacement_Tokens(ask->parts, ask->n_parts - 1);
}

static GwTime
poll_pause_(const GwKvStore *s)
{
    return MAX(POLL_LEAST, s->followers * POLL_PER_FOLLOWER);
}

static void
call_(void *user)
{
    GwKvStore *s = user;
    g_autoptr(GString) out = g_string_new(NULL);

    if (s->is_gapped)
        GwEngine_EncodeHeld(out);
    else
        GwEngine_EncodeEvents(s->next, must_poll_(s) ? 0 : WAIT_MS, out);
    GwHttpCaller_Send(s->caller, out, ANSWER_TIMEOUT, on_done_, s);
}

static void
on_done_(void *user, GwCallOutcome outcome, int status, const char *body,
         size_t len)
{
    GwKvStore *s = user;
    GwEventsPage page;
    GwError err = {0};

    if (outcome == GW_CALL_ANSWERED && status == STATUS_TOO_MANY) {
        // It lives; what it keeps has to be guessed from our own saves.
        s->is_blind = true;
        set_up_(s, true, "too many followers");
        GwTimer_Start(&s->timer,
                      GwTime_Jitter(s->rand, must_poll_(s) ? poll_pause_(s)
                                                           : BLIND_PAUSE));
        return;
    }
    if (outcome != GW_CALL_ANSWERED || status != 200) {
        set_up_(s, false, GwCallOutcome_Names[outcome]);
        GwTimer_Start(&s->timer, GwTime_Jitter(s->rand, PAUSE));
        return;
    }
    if (!take_(s, body, len, &page, &err)) {
        set_up_(s, false, err.message);
        GwTimer_Start(&s->timer, GwTime_Jitter(s->rand, PAUSE));
        return;
    }
    if (page.epoch != s->epoch && s->epoch >= 0) {
        // It came back empty: these events are numbered anew.
        g_hash_table_remove_all(s->parts);
        g_hash_table_remove_all(s->saves);
        s->next = 0;
    }
    else {
        s->next = page.next;
    }
    s->epoch = page.epoch;
    // A process that starts finds a store whose older events are gone, and
    // would have engines read again what it keeps.
    s->is_gapped = page.lost;
    s->is_blind = false;
    set_up_(s, true, "answered");
    if (s->is_gapped)
        GwTimer_Start(&s->timer, GwTime_Jitter(s->rand, HELD_PAUSE));
    else if (must_poll_(s))
        GwTimer_Start(&s->timer, GwTime_Jitter(s->rand, poll_pause_(s)));
    else
        call_(s);
}

static bool
take_(GwKvStore *s, const char *body, size_t len, GwEventsPage *page,
      GwError *err)
{
    if (!s->is_gapped)
        return GwEngine_DecodeEvents(body, len, page, on_event_, s, err);
    g_hash_table_remove_all(s->parts);
    // What it keeps now is of its present life.
    s->epoch = -1;
    return GwEngine_DecodeHeld(body, len, page, on_event_, s, err);
}

static void
on_event_(void *user, const GwCacheEvent *event)
{
    GwKvStore *s = user;
    uint64_t key = key_(event->scope, event->part);

    if (!event->added)
        g_hash_table_remove(s->parts, &key);
    else if (g_hash_table_size(s->parts) < MAX_PARTS)
        g_hash_table_add(s->parts, g_memdup2(&key, sizeof(key)));
}

static void
set_up_(GwKvStore *s, bool up, const char *why)
{
    if (up == s->is_up)
        return;
    s->is_up = up;
    if (!up) {
        g_hash_table_remove_all(s->parts);
        g_hash_table_remove_all(s->saves);
        s->epoch = -1;
        s->next = 0;
        s->is_gapped = false;
    }
    GwEvent_Begin(s->log, up ? "kv_store_found" : "kv_store_lost", NULL);
    GwEvent_Text(s->log, "why", why);
    GwEvent_End(s->log);
}

// Whether a request of ours has saved its shared parts long enough ago to be
// there, and not so long ago that they may have been pushed out.
static bool
was_saved_(const GwKvStore *s, const GwAsk *ask, const char *scope, GwTime now)
{
    uint64_t key;
    const GwTime *asked;

    if (ask->n_parts < 2)
        return false;
    key = key_(scope, ask->parts[ask->n_parts - 2].id);
    asked = g_hash_table_lookup(s->saves, &key);
    return asked != NULL && now - *asked > SAVE_TAKES &&
           now - *asked < SAVE_LASTS;
}

static uint64_t
key_(const char *scope, uint64_t part)
{
    return XXH64(scope, strlen(scope), part);
}
