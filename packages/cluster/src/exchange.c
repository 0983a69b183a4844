#include "exchange.h"

/* Removals that a peer holds are held here no longer than this, whatever it
 * says: about the time in which entries that lapsed come back. */
#define REMOVALS_HELD_MOST (2500 * GW_MILLISECOND)
/* For a list that is not asked for. */
#define NOT_WANTED G_MAXINT64
/* Between two looks at whether it is time to ask. */
#define LOOK_AGAIN (100 * GW_MILLISECOND)
/* Records in one frame; the largest, a configuration, may be megabytes. */
#define FRAME_RECORDS 200
#define FRAME_BYTES (1024 * 1024)

/* Collects records for one peer and sends them in frames. */
typedef struct {
    const GwInstances *instances;
    GwSession *session;
    GwList list;
    int64_t end;
    Gw__Wire__ListRecord records[FRAME_RECORDS];
    Gw__Wire__ListRecord *pointers[FRAME_RECORDS];
    size_t n;
    size_t bytes;
    bool has_removal;
    GwTime held_until; /* the removals in it; 0: they count */
    size_t told;       /* in all frames */
    size_t told_bytes;
} Batch;

static void on_ask_(void *user);
static GwTime ask_at_(GwExchange *x, GwList list, GwTime now);
static void ask_(GwExchange *x, GwList list, GwTime now);
static GwExchangePeer *ahead_(GwExchange *x, GwList list);
static void forget_asked_(GwExchange *x, const GwExchangePeer *peer);
static void log_asked_(GwExchange *x, const GwExchangePeer *peer,
                       const Gw__Wire__RecordsAsk *ask);
static void log_told_(GwExchange *x, const GwExchangePeer *peer,
                      const Batch *batch);
static void add_to_batch_(void *user, GwList list, const GwRecord *record);
static void note_removal_(Batch *batch, const char *id);
static void send_part_(Batch *batch);
static void send_batch_(Batch *batch);
static void hold_removals_(GwExchange *x, const Gw__Wire__RecordsTell *tell);
static void tell_age_(void *user, const char *model, int64_t version,
                      GwTime named_at);

void
GwExchange_Init(GwExchange *x, GwLoop *loop, const GwExchangeOptions *options)
{
    x->options = *options;
    TAILQ_INIT(&x->peers);
    GwTimer_Init(&x->ask_timer, loop, on_ask_, x);
}

void
GwExchange_Stop(GwExchange *x)
{
    GwTimer_Stop(&x->ask_timer);
}

void
GwExchange_Join(GwExchange *x, GwExchangePeer *peer)
{
    TAILQ_INSERT_TAIL(&x->peers, peer, link);
}

void
GwExchange_Leave(GwExchange *x, GwExchangePeer *peer)
{
    forget_asked_(x, peer);
    TAILQ_REMOVE(&x->peers, peer, link);
}

void
GwExchange_NoteRevision(GwExchange *x, GwExchangePeer *peer, int64_t era,
                        uint64_t revision)
{
    GwRecords *records = GwView_Records(x->options.view);
    bool behind = false;

    peer->revision_at = GwTime_Now();
    for (int i = 0; i < GW_LISTS; i++) {
        peer->ends[i] = GwRecords_StampEnd((GwList)i, era, revision);
        if (!GwRecords_IsBehind(records, (GwList)i, peer->ends[i]))
            continue;
        behind = true;
        x->wanted[i] = MAX(x->wanted[i], peer->ends[i]);
        if (x->options.reader != NULL)
            GwStoreReader_Suspect(x->options.reader, (GwList)i);
    }
    if (behind)
        on_ask_(x);
}

void
GwExchange_Tell(GwExchange *x, GwExchangePeer *peer,
                const Gw__Wire__RecordsAsk *ask)
{
    GwRecords *records = GwView_Records(x->options.view);
    int64_t ends[GW_LISTS] = {
        [GW_LIST_OPERATOR] = (int64_t)ask->operator_end,
        [GW_LIST_INSTANCES] = (int64_t)ask->instances_end,
    };

    // Before the records: it is then known with them.
    GwExchange_TellAges(x, peer->session);
    for (int i = 0; i < GW_LISTS; i++) {
        g_autofree Batch *batch = g_new0(Batch, 1);

        batch->instances = GwView_Instances(x->options.view);
        batch->session = peer->session;
        batch->list = (GwList)i;
        batch->end = GwRecords_End(records, (GwList)i);
        // A session loses nothing: what is queued there comes or is told
        // anew on another session.
        ends[i] = MAX(ends[i], peer->sent_ends[i]);
        // An older build would use the position as an offset in the store.
        if (batch->end <= ends[i] ||
            (!ask->knows_eras && GwPosition_Era(batch->end) > 0))
            continue;
        GwRecords_Each(records, (GwList)i, ends[i], add_to_batch_, batch);
        send_batch_(batch);
        peer->sent_ends[i] = batch->end;
        log_told_(x, peer, batch);
    }
}

void
GwExchange_Take(GwExchange *x, const Gw__Wire__RecordsTell *tell)
{
    GwRecords *records = GwView_Records(x->options.view);
    unsigned news = 0;
    size_t bytes = 0;

    if (tell->list >= GW_LISTS)
        return;
    hold_removals_(x, tell);
    for (size_t i = 0; i < tell->n_records; i++) {
        const Gw__Wire__ListRecord *r = tell->records[i];
        GwRecord record = {
            .key = r->key,
            .value = r->removed ? NULL : (const char *)r->value.data,
            .len = r->value.len,
            .offset = (int64_t)r->offset,
        };

        bytes += r->value.len;
        if (GwRecords_Apply(records, (GwList)tell->list, &record))
            news++;
    }
    GwInstances_HoldTold(GwView_Instances(x->options.view), 0);
    GwRecords_SetEnd(records, (GwList)tell->list, (int64_t)tell->end);
    // Only the last frame tells the end.
    if (tell->end > 0)
        GwFetch_Done(&x->fetches[tell->list]);
    else
        GwFetch_Moved(&x->fetches[tell->list], GwTime_Now());
    // Also of records that were known already: they took the link all the
    // same.
    GwCounters_Add(x->options.counters, GW_COUNTER_BYTES_FROM_PEERS, bytes);
    if (news == 0)
        return;
    GwCounters_Add(x->options.counters, GW_COUNTER_RECORDS_FROM_PEERS, news);
    GwEvent_Begin(x->options.log, "records_from_peer", NULL);
    GwEvent_Text(x->options.log, "list", GwList_Names[tell->list]);
    GwEvent_Number(x->options.log, "records", news);
    GwEvent_Number(x->options.log, "bytes", (int64_t)bytes);
    GwEvent_Number(x->options.log, "end",
                   GwPosition_Offset((int64_t)tell->end));
    GwEvent_End(x->options.log);
}

void
GwExchange_TellAges(GwExchange *x, GwSession *session)
{
    GwView_EachNamed(x->options.view, tell_age_, session);
}

void
GwExchange_TakeAge(GwExchange *x, const Gw__Wire__WeightsAge *age)
{
    GwTime now = GwTime_Now();
    // Of a machine that started after the naming, or a wrong number.
    GwTime most = now / GW_MILLISECOND;
    GwTime ago = (GwTime)MIN(age->named_ms, (uint64_t)most);

    // Whole milliseconds and the way here only make it younger: processes
    // that tell each other never drive it to ever earlier times.
    GwView_NoteNamed(x->options.view, age->model, age->version,
                     now - ago * GW_MILLISECOND);
}

// Asks peers for what it is time to ask for, and looks again when the next
// question may be due.
static void
on_ask_(void *user)
{
    GwExchange *x = user;
    GwTime now = GwTime_Now();
    GwTime next = 0;

    for (int i = 0; i < GW_LISTS; i++) {
        GwTime at = ask_at_(x, (GwList)i, now);

        if (at == 0)
            continue;
        if (at <= now) {
            ask_(x, (GwList)i, now);
            at = MAX(ask_at_(x, (GwList)i, now), now + LOOK_AGAIN);
        }
        next = next == 0 ? at : MIN(next, at);
    }
    if (next > 0)
        GwTimer_Start(&x->ask_timer, next - now);
}

// When to ask a peer for @p list; 0: not until peers tell of more.
static GwTime
ask_at_(GwExchange *x, GwList list, GwTime now)
{
    GwFetch *fetch = &x->fetches[list];
    int64_t end = GwRecords_End(GwView_Records(x->options.view), list);
    GwSupply supply = x->options.reader != NULL
                          ? GwStoreReader_Supply(x->options.reader, list)
                          : GW_SUPPLY_AWAY;

    GwFetch_SetBehind(fetch, x->wanted[list] > end, now);
    if (x->wanted[list] <= end || ahead_(x, list) == NULL)
        return 0;
    if (x->asked[list] != NULL)
        GwFetch_Moved(fetch, GwSession_LargeAt(x->asked[list]->session));
    return GwFetch_AskAt(fetch, supply, now);
}

static void
ask_(GwExchange *x, GwList list, GwTime now)
{
    GwRecords *records = GwView_Records(x->options.view);
    GwExchangePeer *peer = ahead_(x, list);
    GW_FRAME(frame, ask, RECORDS_ASK, RecordsAsk, records_ask);

    ask.operator_end =
        (uint64_t)(list == GW_LIST_OPERATOR ? GwRecords_End(records, list)
                                            : NOT_WANTED);
    ask.instances_end =
        (uint64_t)(list == GW_LIST_INSTANCES ? GwRecords_End(records, list)
                                             : NOT_WANTED);
    ask.knows_eras = true;
    x->asked[list] = peer;
    GwFetch_Asked(&x->fetches[list], now);
    GwSession_Send(peer->session, &frame);
    log_asked_(x, peer, &ask);
}

// The peer that told last that it knows more; the one asked before only if
// no other does.
static GwExchangePeer *
ahead_(GwExchange *x, GwList list)
{
    GwRecords *records = GwView_Records(x->options.view);
    GwExchangePeer *best = NULL;
    GwExchangePeer *peer;

    TAILQ_FOREACH(peer, &x->peers, link)
    {
        bool asked = peer == x->asked[list] && x->fetches[list].awaited;

        if (!GwSession_IsReady(peer->session) ||
            !GwRecords_IsBehind(records, list, peer->ends[list]))
            continue;
        if (best == NULL || best == x->asked[list] ||
            (!asked && peer->revision_at > best->revision_at))
            best = peer;
    }
    return best;
}

static void
forget_asked_(GwExchange *x, const GwExchangePeer *peer)
{
    for (int i = 0; i < GW_LISTS; i++) {
        if (x->asked[i] != peer)
            continue;
        x->asked[i] = NULL;
        GwFetch_Lost(&x->fetches[i]);
    }
}

// Who sends whom the lists, and how often: copies that follow each other
// fill a slow link, and no other line shows it.
static void
log_asked_(GwExchange *x, const GwExchangePeer *peer,
           const Gw__Wire__RecordsAsk *ask)
{
    GwCounters_Add(x->options.counters, GW_COUNTER_RECORDS_ASKED, 1);
    GwEvent_Begin(x->options.log, "records_asked", NULL);
    GwEvent_Text(x->options.log, "peer", peer->name);
    GwEvent_Number(x->options.log, "operator_end",
                   GwPosition_Offset((int64_t)ask->operator_end));
    GwEvent_Number(x->options.log, "instances_end",
                   GwPosition_Offset((int64_t)ask->instances_end));
    GwEvent_End(x->options.log);
}

static void
log_told_(GwExchange *x, const GwExchangePeer *peer, const Batch *batch)
{
    GwCounters_Add(x->options.counters, GW_COUNTER_RECORDS_TOLD_BYTES,
                   batch->told_bytes);
    GwEvent_Begin(x->options.log, "records_told", NULL);
    GwEvent_Text(x->options.log, "peer", peer->name);
    GwEvent_Text(x->options.log, "list", GwList_Names[batch->list]);
    GwEvent_Number(x->options.log, "records", (int64_t)batch->told);
    GwEvent_Number(x->options.log, "bytes", (int64_t)batch->told_bytes);
    GwEvent_Number(x->options.log, "end", GwPosition_Offset(batch->end));
    GwEvent_End(x->options.log);
}

static void
add_to_batch_(void *user, GwList list, const GwRecord *record)
{
    Batch *batch = user;
    Gw__Wire__ListRecord *r;

    if (list == GW_LIST_INSTANCES && record->value == NULL)
        note_removal_(batch, record->key);
    r = &batch->records[batch->n];
    gw__wire__list_record__init(r);
    r->key = (char *)record->key;
    r->offset = (uint64_t)record->offset;
    r->removed = record->value == NULL;
    r->value.data = (uint8_t *)record->value;
    r->value.len = record->value != NULL ? record->len : 0;
    batch->pointers[batch->n++] = r;
    batch->bytes += r->value.len;
    if (batch->n == FRAME_RECORDS || batch->bytes > FRAME_BYTES)
        send_part_(batch);
}

// A frame holds removals that may be undone or those that count, not both:
// who has left gets no work because others may come back.
static void
note_removal_(Batch *batch, const char *id)
{
    GwTime until =
        MAX(GwInstances_RemovalsHeldUntil(batch->instances, GwTime_Now()),
            GwInstances_HeldUntil(batch->instances, id));

    if (batch->has_removal && (until > 0) != (batch->held_until > 0))
        send_part_(batch);
    batch->has_removal = true;
    batch->held_until = until;
}

// Records come in no order: only the last frame tells the end.
static void
send_part_(Batch *batch)
{
    int64_t end = batch->end;

    batch->end = 0;
    send_batch_(batch);
    batch->end = end;
}

static void
send_batch_(Batch *batch)
{
    GwTime held = MAX(batch->held_until - GwTime_Now(), 0);
    GW_FRAME(frame, tell, RECORDS_TELL, RecordsTell, records_tell);

    tell.list = batch->list;
    tell.end = (uint64_t)batch->end;
    tell.removals_held_ms = (uint32_t)(held / GW_MILLISECOND);
    tell.n_records = batch->n;
    tell.records = batch->pointers;
    GwSession_Send(batch->session, &frame);
    batch->told += batch->n;
    batch->told_bytes += batch->bytes;
    batch->n = 0;
    batch->bytes = 0;
    batch->has_removal = false;
    batch->held_until = 0;
}

// A peer that saw the store go away and return knows that these removals may
// be undone. We may have missed that: our own call waited all the while, and
// taking them at once would leave callers without an endpoint.
static void
hold_removals_(GwExchange *x, const Gw__Wire__RecordsTell *tell)
{
    GwTime now = GwTime_Now();
    GwTime until = now + MIN((GwTime)tell->removals_held_ms * GW_MILLISECOND,
                             REMOVALS_HELD_MOST);

    if (tell->list == GW_LIST_INSTANCES && tell->removals_held_ms > 0)
        GwInstances_HoldTold(GwView_Instances(x->options.view), until);
}

static void
tell_age_(void *user, const char *model, int64_t version, GwTime named_at)
{
    GW_FRAME(frame, age, WEIGHTS_AGE, WeightsAge, weights_age);

    age.model = (char *)model;
    age.version = version;
    age.named_ms = (uint64_t)MAX(GwTime_Now() - named_at, 0) / GW_MILLISECOND;
    GwSession_Send(user, &frame);
}
