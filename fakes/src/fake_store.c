#include "galenagw/fakes/fake_store.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* One record of a topic, with its frame. */
typedef struct {
    char *key;
    char *value; /* NULL: the key is removed */
    GByteArray *frame;
} Record;

typedef struct {
    GPtrArray *records; /* by offset */
    int64_t first;      /* older ones are dropped */
    guint backup;       /* records at the last backup */
} Topic;

/* A read that waits for news. */
typedef struct Waiting {
    TAILQ_ENTRY(Waiting) link;
    FakeStore *store;
    FakeExchange *exchange;
    Topic *topic;
    int64_t from;
    GwTimer timer;
} Waiting;

/* A call that a slow store has not looked at yet. */
typedef struct Delayed {
    TAILQ_ENTRY(Delayed) link;
    FakeStore *store;
    FakeExchange *exchange;
    GwTimer timer;
} Delayed;

struct FakeStore {
    GwLoop *loop;
    FakeHttpd *httpd;
    GHashTable *topics;
    TAILQ_HEAD(, Waiting) waiting;
    TAILQ_HEAD(, Delayed) delayed;
    int refuse;
    bool mute;
    GwTime delay;
    unsigned page; /* records in an answer of whole lists; 0: all */
    unsigned calls;
    unsigned era; /* 0: not told */
};

static void on_request_(void *user, FakeExchange *exchange);
static void on_gone_(void *user, FakeExchange *exchange);
static void delay_(FakeStore *s, FakeExchange *exchange);
static void on_delay_over_(void *user);
static void delayed_free_(Delayed *d);
static void answer_(FakeStore *s, FakeExchange *exchange);
static void read_(FakeStore *s, FakeExchange *exchange);
static void answer_read_(const FakeStore *s, FakeExchange *exchange,
                         const Topic *topic, int64_t from);
static void reply_(const FakeStore *s, FakeExchange *exchange, int status,
                   const char *body, size_t len);
static void newest_(FakeStore *s, FakeExchange *exchange);
static void append_(FakeStore *s, FakeExchange *exchange);
static void on_wait_over_(void *user);
static void waiting_free_(Waiting *w);
static Topic *topic_(FakeStore *s, const char *name);
static void topic_free_(void *item);
static void record_free_(void *item);
static char *query_(const char *target, const char *name);
static void put_number_(GByteArray *out, uint64_t n, int bytes);

static const FakeHttpdOps httpd_ops = {on_request_, on_gone_};

FakeStore *
FakeStore_New(GwLoop *loop, const GwAddress *address, GwError *err)
{
    FakeStore *s = g_new0(FakeStore, 1);

    s->loop = loop;
    s->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free_);
    TAILQ_INIT(&s->waiting);
    TAILQ_INIT(&s->delayed);
    s->httpd = FakeHttpd_New(loop, address, &httpd_ops, s, err);
    return s->httpd != NULL ? s : NULL;
}

void
FakeStore_Delete(FakeStore *s)
{
    if (s == NULL)
        return;
    FakeHttpd_Delete(s->httpd);
    g_hash_table_unref(s->topics);
    g_free(s);
}

int
FakeStore_Port(const FakeStore *s)
{
    return FakeHttpd_Port(s->httpd);
}

void
FakeStore_Put(FakeStore *s, const char *name, const char *key,
              const char *value)
{
    Topic *topic = topic_(s, name);
    Record *r = g_new0(Record, 1);
    size_t len = value != NULL ? strlen(value) : 0;
    Waiting *w;
    Waiting *next;

    r->key = g_strdup(key);
    r->value = g_strdup(value);
    r->frame = g_byte_array_new();
    put_number_(r->frame, 1 + strlen(key) + len, 4);
    put_number_(r->frame, strlen(key), 1);
    g_byte_array_append(r->frame, (const guint8 *)key, (guint)strlen(key));
    if (len > 0)
        g_byte_array_append(r->frame, (const guint8 *)value, (guint)len);
    g_ptr_array_add(topic->records, r);
    for (w = TAILQ_FIRST(&s->waiting); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (w->topic != topic)
            continue;
        answer_read_(w->store, w->exchange, topic, w->from);
        waiting_free_(w);
    }
}

void
FakeStore_Refuse(FakeStore *s, int status)
{
    s->refuse = status;
    FakeHttpd_ResetAll(s->httpd);
}

void
FakeStore_SetSilent(FakeStore *s, bool silent)
{
    FakeHttpd_SetSilent(s->httpd, silent);
    while (silent && !TAILQ_EMPTY(&s->waiting))
        waiting_free_(TAILQ_FIRST(&s->waiting));
}

void
FakeStore_SetMute(FakeStore *s, bool mute)
{
    s->mute = mute;
    while (mute && !TAILQ_EMPTY(&s->waiting))
        waiting_free_(TAILQ_FIRST(&s->waiting));
}

void
FakeStore_SetDelay(FakeStore *s, GwTime delay)
{
    s->delay = delay;
}

void
FakeStore_SetPage(FakeStore *s, unsigned records)
{
    s->page = records;
}

void
FakeStore_Compact(FakeStore *s)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, s->topics);
    while (g_hash_table_iter_next(&iter, NULL, &item))
        ((Topic *)item)->first = ((Topic *)item)->records->len;
    FakeHttpd_ResetAll(s->httpd);
}

void
FakeStore_Backup(FakeStore *s)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, s->topics);
    while (g_hash_table_iter_next(&iter, NULL, &item))
        ((Topic *)item)->backup = ((Topic *)item)->records->len;
}

void
FakeStore_Restore(FakeStore *s)
{
    FakeStore_RestoreKeepingCalls(s);
    FakeHttpd_ResetAll(s->httpd);
}

void
FakeStore_SetEra(FakeStore *s, unsigned era)
{
    s->era = era;
}

void
FakeStore_RestoreKeepingCalls(FakeStore *s)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, s->topics);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        Topic *topic = item;

        g_ptr_array_set_size(topic->records, (int)topic->backup);
        topic->first = MIN(topic->first, topic->backup);
    }
    s->era++;
}

void
FakeStore_Clear(FakeStore *s)
{
    g_hash_table_remove_all(s->topics);
    FakeHttpd_ResetAll(s->httpd);
}

unsigned
FakeStore_Calls(const FakeStore *s)
{
    return s->calls;
}

static void
on_request_(void *user, FakeExchange *exchange)
{
    FakeStore *s = user;

    s->calls++;
    if (s->mute)
        return;
    if (s->delay > 0)
        delay_(s, exchange);
    else
        answer_(s, exchange);
}

static void
delay_(FakeStore *s, FakeExchange *exchange)
{
    Delayed *d = g_new0(Delayed, 1);

    d->store = s;
    d->exchange = exchange;
    GwTimer_Init(&d->timer, s->loop, on_delay_over_, d);
    GwTimer_Start(&d->timer, s->delay);
    TAILQ_INSERT_TAIL(&s->delayed, d, link);
}

static void
on_delay_over_(void *user)
{
    Delayed *d = user;
    FakeStore *s = d->store;
    FakeExchange *exchange = d->exchange;

    delayed_free_(d);
    answer_(s, exchange);
}

static void
delayed_free_(Delayed *d)
{
    GwTimer_Stop(&d->timer);
    TAILQ_REMOVE(&d->store->delayed, d, link);
    g_free(d);
}

static void
answer_(FakeStore *s, FakeExchange *exchange)
{
    const char *target = exchange->head->target;

    if (s->refuse != 0)
        reply_(s, exchange, s->refuse, "", 0);
    else if (g_str_has_prefix(target, "/galenagw/log-read?"))
        read_(s, exchange);
    else if (g_str_has_prefix(target, "/galenagw/log-newest?"))
        newest_(s, exchange);
    else if (g_str_has_prefix(target, "/galenagw/log-append?"))
        append_(s, exchange);
    else
        reply_(s, exchange, 404, "", 0);
}

static void
on_gone_(void *user, FakeExchange *exchange)
{
    FakeStore *s = user;
    Waiting *w;
    Delayed *d;

    TAILQ_FOREACH(d, &s->delayed, link)
    {
        if (d->exchange == exchange) {
            delayed_free_(d);
            return;
        }
    }
    TAILQ_FOREACH(w, &s->waiting, link)
    {
        if (w->exchange == exchange) {
            waiting_free_(w);
            return;
        }
    }
}

static void
read_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_(exchange->head->target, "topic");
    g_autofree char *from = query_(exchange->head->target, "from");
    g_autofree char *wait = query_(exchange->head->target, "wait_ms");
    Topic *topic = topic_(s, name);
    int64_t offset = from != NULL ? atoll(from) : 0;
    Waiting *w;

    if (offset < topic->first || offset > topic->records->len) {
        reply_(s, exchange, 410, "", 0);
        return;
    }
    if (offset < topic->records->len || wait == NULL) {
        answer_read_(s, exchange, topic, offset);
        return;
    }
    w = g_new0(Waiting, 1);
    w->store = s;
    w->exchange = exchange;
    w->topic = topic;
    w->from = offset;
    GwTimer_Init(&w->timer, s->loop, on_wait_over_, w);
    GwTimer_Start(&w->timer, atoll(wait) * GW_MILLISECOND);
    TAILQ_INSERT_TAIL(&s->waiting, w, link);
}

static void
answer_read_(const FakeStore *s, FakeExchange *exchange, const Topic *topic,
             int64_t from)
{
    g_autoptr(GByteArray) out = g_byte_array_new();

    put_number_(out, topic->records->len, 8);
    put_number_(out, (uint64_t)topic->first, 8);
    for (int64_t i = from; i < topic->records->len; i++) {
        const Record *r = g_ptr_array_index(topic->records, i);

        g_byte_array_append(out, r->frame->data, r->frame->len);
    }
    reply_(s, exchange, 200, (const char *)out->data, out->len);
}

static void
reply_(const FakeStore *s, FakeExchange *exchange, int status,
       const char *body, size_t len)
{
    char headers[32] = "";

    if (s->era > 0)
        g_snprintf(headers, sizeof(headers), "Store-Era: %u\r\n", s->era);
    FakeExchange_Answer(exchange, status, headers, body, len);
}

// The newest records by key, so many in an answer.
static void
newest_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_(exchange->head->target, "topic");
    g_autofree char *after = query_(exchange->head->target, "after");
    Topic *topic = topic_(s, name);
    g_autoptr(GTree) newest = g_tree_new((GCompareFunc)strcmp);
    g_autoptr(GString) out = g_string_new("{\"items\":[");
    unsigned n = 0;
    bool more = false;

    for (guint i = 0; i < topic->records->len; i++) {
        const Record *r = g_ptr_array_index(topic->records, i);

        g_tree_insert(newest, r->key, GUINT_TO_POINTER(i));
    }
    for (GTreeNode *node = g_tree_node_first(newest); node != NULL;
         node = g_tree_node_next(node)) {
        guint offset = GPOINTER_TO_UINT(g_tree_node_value(node));
        const Record *r = g_ptr_array_index(topic->records, offset);
        g_autofree char *value = NULL;

        if (r->value == NULL || (after != NULL && strcmp(r->key, after) <= 0))
            continue;
        more = s->page > 0 && n == s->page;
        if (more)
            break;
        value = g_base64_encode((const guchar *)r->value, strlen(r->value));
        g_string_append_printf(
            out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
            n++ > 0 ? "," : "", r->key, value, offset);
    }
    g_string_append_printf(out, "],\"more\":%s,\"end\":%u}",
                           more ? "true" : "false", topic->records->len);
    reply_(s, exchange, 200, out->str, out->len);
}

// Records of keyed topics are kept as they are read; of others none is.
static void
append_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_(exchange->head->target, "topic");
    Topic *topic = topic_(s, name);
    g_autofree char *body =
        g_strdup_printf("{\"offset\":%u,\"end\":%u}", topic->records->len,
                        topic->records->len + 1);
    const GString *record = exchange->body;

    if (!g_str_has_prefix(name, "keyed.")) {
        FakeStore_Put(s, name, "record", NULL);
    }
    else if (record->len > 5) {
        size_t key_len = (guint8)record->str[4];
        size_t at = 5 + MIN(key_len, record->len - 5);
        g_autofree char *key = g_strndup(record->str + 5, at - 5);

        FakeStore_Put(s, name, key,
                      at < record->len ? record->str + at : NULL);
    }
    reply_(s, exchange, 200, body, strlen(body));
}

static void
on_wait_over_(void *user)
{
    Waiting *w = user;

    answer_read_(w->store, w->exchange, w->topic, w->from);
    waiting_free_(w);
}

static void
waiting_free_(Waiting *w)
{
    GwTimer_Stop(&w->timer);
    TAILQ_REMOVE(&w->store->waiting, w, link);
    g_free(w);
}

static Topic *
topic_(FakeStore *s, const char *name)
{
    Topic *topic = g_hash_table_lookup(s->topics, name);

    if (topic == NULL) {
        topic = g_new0(Topic, 1);
        topic->records = g_ptr_array_new_with_free_func(record_free_);
        g_hash_table_insert(s->topics, g_strdup(name), topic);
    }
    return topic;
}

static void
topic_free_(void *item)
{
    g_ptr_array_unref(((Topic *)item)->records);
    g_free(item);
}

static void
record_free_(void *item)
{
    Record *r = item;

    g_free(r->key);
    g_free(r->value);
    g_byte_array_unref(r->frame);
    g_free(r);
}

// Value of one field of a query; NULL if it is absent.
static char *
query_(const char *target, const char *name)
{
    const char *at = strchr(target, '?');
    size_t len = strlen(name);

    while (at != NULL) {
        at++;
        if (strncmp(at, name, len) == 0 && at[len] == '=')
            return g_strndup(at + len + 1, strcspn(at + len + 1, "&"));
        at = strchr(at, '&');
    }
    return NULL;
}

static void
put_number_(GByteArray *out, uint64_t n, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 byte = (guint8)(n >> (8 * i));

        g_byte_array_append(out, &byte, 1);
    }
}
