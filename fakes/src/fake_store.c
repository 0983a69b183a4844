#include "galenagw/fakes/fake_store.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* One record of a topic. */
typedef struct {
    char *key;
    char *value;       /* NULL: the record removes the key */
    GByteArray *frame; /* the record as log-read answers contain it */
} Record;

typedef struct {
    GPtrArray *records;   /* Record, by offset */
    int64_t first_offset; /* reads from lower offsets get 410 */
    guint backup_count;   /* number of records at the last backup */
} Topic;

/* A long poll: a read from the end of a topic that waits for a record. */
typedef struct WaitingRead {
    TAILQ_ENTRY(WaitingRead) link;
    FakeStore *store;
    FakeExchange *exchange;
    Topic *topic;
    int64_t from; /* offset of the first wanted record */
    GwTimer timer;
} WaitingRead;

/* A call that is processed after the delay of FakeStore_SetDelay. */
typedef struct DelayedCall {
    TAILQ_ENTRY(DelayedCall) link;
    FakeStore *store;
    FakeExchange *exchange;
    GwTimer timer;
} DelayedCall;

struct FakeStore {
    GwLoop *loop;
    FakeHttpd *httpd;
    GHashTable *topics; /* name to Topic */
    TAILQ_HEAD(, WaitingRead) waiting_reads;
    TAILQ_HEAD(, DelayedCall) delayed_calls;
    int refuse_status;     /* status of all answers; 0: answer normally */
    bool mute;             /* receive calls without answering them */
    GwTime delay;          /* between a call and its processing */
    unsigned page_records; /* most per log-newest answer; 0: no limit */
    unsigned calls;        /* received so far */
    unsigned era;          /* 0: answers have no Store-Era header */
};

static void on_request_(void *user, FakeExchange *exchange);
static void on_connection_closed_(void *user, FakeExchange *exchange);
static void delay_call_(FakeStore *s, FakeExchange *exchange);
static void on_delay_elapsed_(void *user);
static void delayed_call_free_(DelayedCall *d);
static void answer_call_(FakeStore *s, FakeExchange *exchange);
static void serve_read_(FakeStore *s, FakeExchange *exchange);
static void answer_read_(const FakeStore *s, FakeExchange *exchange,
                         const Topic *topic, int64_t from);
static void send_reply_(const FakeStore *s, FakeExchange *exchange, int status,
                        const char *body, size_t len);
static void serve_newest_(FakeStore *s, FakeExchange *exchange);
static void serve_append_(FakeStore *s, FakeExchange *exchange);
static void on_wait_timeout_(void *user);
static void waiting_read_free_(WaitingRead *w);
static Topic *find_or_add_topic_(FakeStore *s, const char *name);
static void topic_free_(void *item);
static void record_free_(void *item);
static char *query_field_(const char *target, const char *name);
static void append_big_endian_(GByteArray *out, uint64_t n, int bytes);

static const FakeHttpdOps httpd_ops = {on_request_, on_connection_closed_};

FakeStore *
FakeStore_New(GwLoop *loop, const GwAddress *address, GwError *err)
{
    FakeStore *s = g_new0(FakeStore, 1);

    s->loop = loop;
    s->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, topic_free_);
    TAILQ_INIT(&s->waiting_reads);
    TAILQ_INIT(&s->delayed_calls);
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
    Topic *topic = find_or_add_topic_(s, name);
    Record *r = g_new0(Record, 1);
    size_t len = value != NULL ? strlen(value) : 0;
    WaitingRead *w;
    WaitingRead *next;

    r->key = g_strdup(key);
    r->value = g_strdup(value);
    r->frame = g_byte_array_new();
    append_big_endian_(r->frame, 1 + strlen(key) + len, 4);
    append_big_endian_(r->frame, strlen(key), 1);
    g_byte_array_append(r->frame, (const guint8 *)key, (guint)strlen(key));
    if (len > 0)
        g_byte_array_append(r->frame, (const guint8 *)value, (guint)len);
    g_ptr_array_add(topic->records, r);
    for (w = TAILQ_FIRST(&s->waiting_reads); w != NULL; w = next) {
        next = TAILQ_NEXT(w, link);
        if (w->topic != topic)
            continue;
        answer_read_(w->store, w->exchange, topic, w->from);
        waiting_read_free_(w);
    }
}

void
FakeStore_Refuse(FakeStore *s, int status)
{
    s->refuse_status = status;
    FakeHttpd_ResetAll(s->httpd);
}

void
FakeStore_SetSilent(FakeStore *s, bool silent)
{
    FakeHttpd_SetSilent(s->httpd, silent);
    while (silent && !TAILQ_EMPTY(&s->waiting_reads))
        waiting_read_free_(TAILQ_FIRST(&s->waiting_reads));
}

void
FakeStore_SetMute(FakeStore *s, bool mute)
{
    s->mute = mute;
    while (mute && !TAILQ_EMPTY(&s->waiting_reads))
        waiting_read_free_(TAILQ_FIRST(&s->waiting_reads));
}

void
FakeStore_SetDelay(FakeStore *s, GwTime delay)
{
    s->delay = delay;
}

void
FakeStore_SetPage(FakeStore *s, unsigned records)
{
    s->page_records = records;
}

void
FakeStore_Compact(FakeStore *s)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, s->topics);
    while (g_hash_table_iter_next(&iter, NULL, &item))
        ((Topic *)item)->first_offset = ((Topic *)item)->records->len;
    FakeHttpd_ResetAll(s->httpd);
}

void
FakeStore_Backup(FakeStore *s)
{
    GHashTableIter iter;
    gpointer item;

    g_hash_table_iter_init(&iter, s->topics);
    while (g_hash_table_iter_next(&iter, NULL, &item))
        ((Topic *)item)->backup_count = ((Topic *)item)->records->len;
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

        g_ptr_array_set_size(topic->records, (int)topic->backup_count);
        topic->first_offset = MIN(topic->first_offset, topic->backup_count);
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
        delay_call_(s, exchange);
    else
        answer_call_(s, exchange);
}

static void
delay_call_(FakeStore *s, FakeExchange *exchange)
{
    DelayedCall *d = g_new0(DelayedCall, 1);

    d->store = s;
    d->exchange = exchange;
    GwTimer_Init(&d->timer, s->loop, on_delay_elapsed_, d);
    GwTimer_Start(&d->timer, s->delay);
    TAILQ_INSERT_TAIL(&s->delayed_calls, d, link);
}

static void
on_delay_elapsed_(void *user)
{
    DelayedCall *d = user;
    FakeStore *s = d->store;
    FakeExchange *exchange = d->exchange;

    delayed_call_free_(d);
    answer_call_(s, exchange);
}

static void
delayed_call_free_(DelayedCall *d)
{
    GwTimer_Stop(&d->timer);
    TAILQ_REMOVE(&d->store->delayed_calls, d, link);
    g_free(d);
}

static void
answer_call_(FakeStore *s, FakeExchange *exchange)
{
    const char *target = exchange->head->target;

    if (s->refuse_status != 0)
        send_reply_(s, exchange, s->refuse_status, "", 0);
    else if (g_str_has_prefix(target, "/galenagw/log-read?"))
        serve_read_(s, exchange);
    else if (g_str_has_prefix(target, "/galenagw/log-newest?"))
        serve_newest_(s, exchange);
    else if (g_str_has_prefix(target, "/galenagw/log-append?"))
        serve_append_(s, exchange);
    else
        send_reply_(s, exchange, 404, "", 0);
}

static void
on_connection_closed_(void *user, FakeExchange *exchange)
{
    FakeStore *s = user;
    WaitingRead *w;
    DelayedCall *d;

    TAILQ_FOREACH(d, &s->delayed_calls, link)
    {
        if (d->exchange == exchange) {
            delayed_call_free_(d);
            return;
        }
    }
    TAILQ_FOREACH(w, &s->waiting_reads, link)
    {
        if (w->exchange == exchange) {
            waiting_read_free_(w);
            return;
        }
    }
}

static void
serve_read_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_field_(exchange->head->target, "topic");
    g_autofree char *from = query_field_(exchange->head->target, "from");
    g_autofree char *wait = query_field_(exchange->head->target, "wait_ms");
    Topic *topic = find_or_add_topic_(s, name);
    int64_t offset = from != NULL ? atoll(from) : 0;
    WaitingRead *w;

    if (offset < topic->first_offset || offset > topic->records->len) {
        send_reply_(s, exchange, 410, "", 0);
        return;
    }
    if (offset < topic->records->len || wait == NULL) {
        answer_read_(s, exchange, topic, offset);
        return;
    }
    w = g_new0(WaitingRead, 1);
    w->store = s;
    w->exchange = exchange;
    w->topic = topic;
    w->from = offset;
    GwTimer_Init(&w->timer, s->loop, on_wait_timeout_, w);
    GwTimer_Start(&w->timer, atoll(wait) * GW_MILLISECOND);
    TAILQ_INSERT_TAIL(&s->waiting_reads, w, link);
}

static void
answer_read_(const FakeStore *s, FakeExchange *exchange, const Topic *topic,
             int64_t from)
{
    g_autoptr(GByteArray) out = g_byte_array_new();

    append_big_endian_(out, topic->records->len, 8);
    append_big_endian_(out, (uint64_t)topic->first_offset, 8);
    for (int64_t i = from; i < topic->records->len; i++) {
        const Record *r = g_ptr_array_index(topic->records, i);

        g_byte_array_append(out, r->frame->data, r->frame->len);
    }
    send_reply_(s, exchange, 200, (const char *)out->data, out->len);
}

static void
send_reply_(const FakeStore *s, FakeExchange *exchange, int status,
            const char *body, size_t len)
{
    char headers[32] = "";

    if (s->era > 0)
        g_snprintf(headers, sizeof(headers), "Store-Era: %u\r\n", s->era);
    FakeExchange_Answer(exchange, status, headers, body, len);
}

// Answers with the newest record of each key in key order, at most
// page_records of them, starting after the key in the query.
static void
serve_newest_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_field_(exchange->head->target, "topic");
    g_autofree char *after = query_field_(exchange->head->target, "after");
    Topic *topic = find_or_add_topic_(s, name);
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
        more = s->page_records > 0 && n == s->page_records;
        if (more)
            break;
        value = g_base64_encode((const guchar *)r->value, strlen(r->value));
        g_string_append_printf(
            out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
            n++ > 0 ? "," : "", r->key, value, offset);
    }
    g_string_append_printf(out, "],\"more\":%s,\"end\":%u}",
                           more ? "true" : "false", topic->records->len);
    send_reply_(s, exchange, 200, out->str, out->len);
}

// Records of keyed topics are stored with their key and value. For other
// topics only the offset advances: the content of the record is not stored.
static void
serve_append_(FakeStore *s, FakeExchange *exchange)
{
    g_autofree char *name = query_field_(exchange->head->target, "topic");
    Topic *topic = find_or_add_topic_(s, name);
    g_autofree char *body =
        g_strdup_printf("{\"offset\":%u,\"end\":%u}", topic->records->len,
                        topic->records->len + 1);
    g_autofree char *at_end = query_field_(exchange->head->target, "at");
    const GString *record = exchange->body;

    if (at_end != NULL &&
        g_ascii_strtoull(at_end, NULL, 10) != topic->records->len) {
        send_reply_(s, exchange, 412, body, strlen(body));
        return;
    }
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
    send_reply_(s, exchange, 200, body, strlen(body));
}

static void
on_wait_timeout_(void *user)
{
    WaitingRead *w = user;

    answer_read_(w->store, w->exchange, w->topic, w->from);
    waiting_read_free_(w);
}

static void
waiting_read_free_(WaitingRead *w)
{
    GwTimer_Stop(&w->timer);
    TAILQ_REMOVE(&w->store->waiting_reads, w, link);
    g_free(w);
}

static Topic *
find_or_add_topic_(FakeStore *s, const char *name)
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

// Returns the value of a query field, to be freed, or NULL if it is absent.
static char *
query_field_(const char *target, const char *name)
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
append_big_endian_(GByteArray *out, uint64_t n, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 byte = (guint8)(n >> (8 * i));

        g_byte_array_append(out, &byte, 1);
    }
}
