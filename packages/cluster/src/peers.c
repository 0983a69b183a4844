#define GW_LOG_PART "peers"
#include "galenagw/cluster/peers.h"

#include <string.h>
#include <sys/queue.h>

#include "galenagw/wire/session.h"

/* How often connections are compared with the list of endpoints. A new
 * engine is in use before its agent is known; this is for advice only. */
#define RECONCILE_EVERY (500 * GW_MILLISECOND)
/* Heartbeats: often enough that a process that the store turns away learns
 * of news within a second, a fraction of the bound on configuration. */
#define PING_AFTER (800 * GW_MILLISECOND)
#define SILENT_AFTER (2400 * GW_MILLISECOND)
/* Without an agent's word: a guess on the high side, so that the entries
 * together stay within the budget. */
#define ENTRIES_ASSUMED 8
/* Removals that a peer holds are held here no longer than this, whatever it
 * says: about the time in which entries that lapsed come back. */
#define REMOVALS_HELD_MOST (2500 * GW_MILLISECOND)
/* For a list that is not asked for. */
#define NOT_WANTED ((uint64_t)G_MAXINT64)
/* Between two looks at whether it is time to ask. */
#define LOOK_AGAIN (100 * GW_MILLISECOND)
/* A change of waiting prompts that is worth a message: 30 ms of reading. */
#define TELL_TOKENS 2000
/* Records in one frame; the largest, a configuration, may be megabytes. */
#define FRAME_RECORDS 200
#define FRAME_BYTES (1024 * 1024)

typedef struct Peer {
    TAILQ_ENTRY(Peer) link;
    GwPeers *owner;
    GwSession *session;
    GwAddress address; /* of one that we connect to */
    char name[64];     /* by its hello */
    bool outbound;
    bool wanted; /* by the last comparison with the list */
    bool is_entry;
    uint64_t prefill_tokens; /* that an entry waits for at our engine */
    uint64_t yielding;       /* of these, of accounts after others */
    uint64_t yielding_memory;
    unsigned long_runs;   /* that it has in flight there */
    uint64_t told_tokens; /* agent: others' tokens, as told last */
    uint64_t told_yielding;
    uint64_t revision; /* how far it knows the lists, as it told */
    GwTime revision_at;
    uint64_t sent_ends[GW_LISTS]; /* what was queued to it, up to here */
} Peer;

struct GwPeers {
    GwLoop *loop;
    GwPeersOptions options;
    GwSessionServer *server;
    TAILQ_HEAD(, Peer) peers;
    GwTimer timer;
    GwAddress watched; /* agent: another agent; port 0: none */
    GwFetch fetches[GW_LISTS];
    uint64_t wanted[GW_LISTS]; /* the furthest end that peers told */
    Peer *asked[GW_LISTS];     /* the last one asked; NULL: none, or gone */
    GwTimer ask_timer;
    unsigned entries;     /* told by agents */
    uint64_t told_urgent; /* changes that peers were told of */
    bool has_engine;
    char engine_id[128];
    GwEngineState engine; /* agent: told last */
};

/* Prompt tokens that entries wait for at our engine. */
typedef struct {
    uint64_t tokens;
    uint64_t yielding; /* of these, of accounts after others */
    uint64_t yielding_memory;
} Waiting;

/* Collects records for one peer and sends them in frames. */
typedef struct {
    const GwInstances *instances;
    GwSession *session;
    GwList list;
    uint64_t end;
    Gw__Wire__ListRecord records[FRAME_RECORDS];
    Gw__Wire__ListRecord *pointers[FRAME_RECORDS];
    size_t n;
    size_t bytes;
    bool has_removal;
    GwTime held_until; /* the removals in it; 0: they count */
    size_t told;       /* in all frames */
    size_t told_bytes;
} Batch;

static GwSessionOptions session_options_(GwPeers *p);
static void on_ready_(void *user, GwSession *session,
                      const Gw__Wire__Hello *hello);
static void on_frame_(void *user, GwSession *session, const GwFrame *frame);
static void on_revision_(void *user, GwSession *session, uint64_t revision);
static void on_ask_(void *user);
static GwTime ask_at_(GwPeers *p, GwList list, GwTime now);
static void ask_(GwPeers *p, GwList list, GwTime now);
static Peer *ahead_(GwPeers *p, GwList list);
static void forget_asked_(GwPeers *p, const Peer *peer);
static void on_closed_(void *user, GwSession *session, bool silent);
static void forget_advice_(GwPeers *p, const Peer *peer);
static void fill_hello_(void *user, Gw__Wire__Hello *hello);
static uint64_t revision_(void *user);
static void on_timer_(void *user);
static void connect_(GwPeers *p, const GwAddress *address);
static Peer *find_(GwPeers *p, const GwSession *session);
static Peer *at_(GwPeers *p, const GwAddress *address);
static void drop_(Peer *peer);
static bool needs_seeds_(const GwPeers *p);
static void tell_records_(GwPeers *p, GwSession *session,
                          const Gw__Wire__RecordsAsk *ask);
static void log_asked_(GwPeers *p, const GwSession *session,
                       const Gw__Wire__RecordsAsk *ask);
static void log_told_(GwPeers *p, const GwSession *session,
                      const Batch *batch);
static void add_to_batch_(void *user, GwList list, const GwRecord *record);
static void note_removal_(Batch *batch, const char *id);
static void send_part_(Batch *batch);
static void send_batch_(Batch *batch);
static void take_records_(GwPeers *p, const Gw__Wire__RecordsTell *tell);
static void tell_age_(void *user, const char *model, int64_t version,
                      GwTime named_at);
static void take_age_(GwPeers *p, const Gw__Wire__WeightsAge *age);
static void send_engine_(GwPeers *p, Peer *peer);
static void take_note_(GwPeers *p, const GwSession *session,
                       const Gw__Wire__PrefillNote *note);
static bool differs_(uint64_t tokens, uint64_t told);
static Waiting others_(const GwPeers *p, const Peer *peer);
static void take_engine_(GwPeers *p, const Gw__Wire__EngineState *state);
static unsigned count_entries_(const GwPeers *p);
static bool is_connected_(const GwPeers *p);
static void hold_removals_(GwPeers *p, const Gw__Wire__RecordsTell *tell);

static const GwSessionOps session_ops = {on_ready_, on_frame_, on_revision_,
                                         on_closed_};

GwPeers *
GwPeers_New(GwLoop *loop, const GwPeersOptions *options, GwError *err)
{
    GwPeers *p = g_new0(GwPeers, 1);
    GwSessionOptions session;

    p->loop = loop;
    p->options = *options;
    session = session_options_(p);
    TAILQ_INIT(&p->peers);
    GwTimer_Init(&p->timer, loop, on_timer_, p);
    GwTimer_Init(&p->ask_timer, loop, on_ask_, p);
    p->server = GwSessionServer_New(loop, &options->listen, &session, err);
    if (p->server == NULL) {
        g_free(p);
        return NULL;
    }
    on_timer_(p);
    return p;
}

void
GwPeers_Delete(GwPeers *p)
{
    Peer *peer;

    if (p == NULL)
        return;
    GwTimer_Stop(&p->timer);
    GwTimer_Stop(&p->ask_timer);
    while ((peer = TAILQ_FIRST(&p->peers)) != NULL)
        drop_(peer);
    GwSessionServer_Delete(p->server);
    g_free(p);
}

int
GwPeers_Port(const GwPeers *p)
{
    return GwSessionServer_Port(p->server);
}

void
GwPeers_TellEngine(GwPeers *p, const GwEngineState *state)
{
    Peer *peer;

    p->has_engine = true;
    p->engine = *state;
    g_strlcpy(p->engine_id, state->instance, sizeof(p->engine_id));
    p->engine.instance = p->engine_id;
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (!peer->outbound)
            send_engine_(p, peer);
    }
}

void
GwPeers_Watch(GwPeers *p, const GwAddress *address)
{
    if (address != NULL)
        p->watched = *address;
    else
        p->watched.port = 0;
}

void
GwPeers_NoteLoad(GwPeers *p, const GwInstance *instance)
{
    GwAddress address = instance->address;
    Peer *peer;
    GW_FRAME(frame, note, PREFILL_NOTE, PrefillNote, prefill_note);

    address.port = p->options.agent_port;
    peer = at_(p, &address);
    // What still waits at an earlier life is no load of this one.
    if (instance->superseded || peer == NULL ||
        !GwSession_IsReady(peer->session))
        return;
    note.tokens = instance->prefill_tokens;
    note.yielding = instance->yielding_tokens;
    note.yielding_memory = instance->yielding_memory;
    note.long_runs = instance->long_runs;
    note.incarnation = instance->incarnation;
    GwSession_Send(peer->session, &frame);
}

void
GwPeers_ForgetLoads(GwPeers *p)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        peer->prefill_tokens = peer->yielding = peer->yielding_memory = 0;
        peer->long_runs = 0;
    }
}

unsigned
GwPeers_LongRuns(const GwPeers *p)
{
    const Peer *peer;
    unsigned n = 0;

    TAILQ_FOREACH(peer, &p->peers, link)
    n += peer->long_runs;
    return n;
}

uint64_t
GwPeers_WaitingTokens(const GwPeers *p)
{
    return others_(p, NULL).tokens;
}

void
GwPeers_TellNews(GwPeers *p)
{
    uint64_t urgent = GwView_UrgentChanges(p->options.view);
    Peer *peer;

    if (urgent == p->told_urgent)
        return;
    p->told_urgent = urgent;
    TAILQ_FOREACH(peer, &p->peers, link)
    GwSession_Ping(peer->session);
}

unsigned
GwPeers_Sharers(const GwPeers *p)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));
    unsigned entries = p->options.is_agent ? count_entries_(p) : p->entries;
    unsigned agents = 0;

    if (!is_connected_(p))
        return 1;
    for (guint i = 0; i < all->len; i++)
        agents +=
            ((const GwInstance *)g_ptr_array_index(all, i))->model != NULL;
    return MAX(entries + agents, 1);
}

unsigned
GwPeers_Entries(const GwPeers *p)
{
    return p->entries > 0 ? p->entries : ENTRIES_ASSUMED;
}

static GwSessionOptions
session_options_(GwPeers *p)
{
    return (GwSessionOptions){
        .fill_hello = fill_hello_,
        .revision = revision_,
        .ops = &session_ops,
        .user = p,
        .counters = p->options.counters,
        .ping_after = PING_AFTER,
        .silent_after = SILENT_AFTER,
    };
}

static void
on_ready_(void *user, GwSession *session, const Gw__Wire__Hello *hello)
{
    GwPeers *p = user;
    Peer *peer = find_(p, session);

    if (peer == NULL) {
        peer = g_new0(Peer, 1);
        peer->owner = p;
        peer->session = session;
        TAILQ_INSERT_TAIL(&p->peers, peer, link);
    }
    g_strlcpy(peer->name, hello->instance, sizeof(peer->name));
    peer->is_entry = hello->role == GW__WIRE__ROLE__ROLE_ENTRY;
    GwEvent_Begin(p->options.log, "peer_ready", NULL);
    GwEvent_Text(p->options.log, "peer", hello->instance);
    GwEvent_End(p->options.log);
    GwView_EachNamed(p->options.view, tell_age_, session);
    if (!peer->outbound && p->has_engine)
        send_engine_(p, peer);
}

static void
on_frame_(void *user, GwSession *session, const GwFrame *frame)
{
    GwPeers *p = user;

    switch (frame->body_case) {
    case GW__WIRE__FRAME__BODY_RECORDS_ASK:
        tell_records_(p, session, frame->records_ask);
        return;
    case GW__WIRE__FRAME__BODY_RECORDS_TELL:
        take_records_(p, frame->records_tell);
        return;
    case GW__WIRE__FRAME__BODY_PREFILL_NOTE:
        take_note_(p, session, frame->prefill_note);
        return;
    case GW__WIRE__FRAME__BODY_ENGINE_STATE:
        take_engine_(p, frame->engine_state);
        return;
    case GW__WIRE__FRAME__BODY_WEIGHTS_AGE:
        take_age_(p, frame->weights_age);
        return;
    default:
        // Of the product's other programs: not for this one.
        return;
    }
}

static void
on_revision_(void *user, GwSession *session, uint64_t revision)
{
    GwPeers *p = user;
    GwRecords *records = GwView_Records(p->options.view);
    Peer *peer = find_(p, session);
    bool behind = false;

    if (peer == NULL)
        return;
    peer->revision = revision;
    peer->revision_at = GwTime_Now();
    for (int i = 0; i < GW_LISTS; i++) {
        if (!GwRecords_IsBehind(records, (GwList)i, revision))
            continue;
        behind = true;
        p->wanted[i] =
            MAX(p->wanted[i], GwRecords_StampEnd((GwList)i, revision));
        if (p->options.reader != NULL)
            GwStoreReader_Suspect(p->options.reader, (GwList)i);
    }
    if (behind)
        on_ask_(p);
}

// Asks peers for what it is time to ask for, and looks again when the next
// question may be due.
static void
on_ask_(void *user)
{
    GwPeers *p = user;
    GwTime now = GwTime_Now();
    GwTime next = 0;

    for (int i = 0; i < GW_LISTS; i++) {
        GwTime at = ask_at_(p, (GwList)i, now);

        if (at == 0)
            continue;
        if (at <= now) {
            ask_(p, (GwList)i, now);
            at = MAX(ask_at_(p, (GwList)i, now), now + LOOK_AGAIN);
        }
        next = next == 0 ? at : MIN(next, at);
    }
    if (next > 0)
        GwTimer_Start(&p->ask_timer, next - now);
}

// When to ask a peer for @p list; 0: not until peers tell of more.
static GwTime
ask_at_(GwPeers *p, GwList list, GwTime now)
{
    GwFetch *fetch = &p->fetches[list];
    uint64_t end =
        (uint64_t)GwRecords_End(GwView_Records(p->options.view), list);
    GwSupply supply = p->options.reader != NULL
                          ? GwStoreReader_Supply(p->options.reader, list)
                          : GW_SUPPLY_AWAY;

    GwFetch_SetBehind(fetch, p->wanted[list] > end, now);
    if (p->wanted[list] <= end || ahead_(p, list) == NULL)
        return 0;
    if (p->asked[list] != NULL)
        GwFetch_Moved(fetch, GwSession_LargeAt(p->asked[list]->session));
    return GwFetch_AskAt(fetch, supply, now);
}

static void
ask_(GwPeers *p, GwList list, GwTime now)
{
    GwRecords *records = GwView_Records(p->options.view);
    Peer *peer = ahead_(p, list);
    GW_FRAME(frame, ask, RECORDS_ASK, RecordsAsk, records_ask);

    ask.operator_end = list == GW_LIST_OPERATOR
                           ? (uint64_t)GwRecords_End(records, list)
                           : NOT_WANTED;
    ask.instances_end = list == GW_LIST_INSTANCES
                            ? (uint64_t)GwRecords_End(records, list)
                            : NOT_WANTED;
    p->asked[list] = peer;
    GwFetch_Asked(&p->fetches[list], now);
    GwSession_Send(peer->session, &frame);
    log_asked_(p, peer->session, &ask);
}

// The peer that told last that it knows more; the one asked before only if
// no other does.
static Peer *
ahead_(GwPeers *p, GwList list)
{
    GwRecords *records = GwView_Records(p->options.view);
    Peer *best = NULL;
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        bool asked = peer == p->asked[list] && p->fetches[list].open;

        if (!GwSession_IsReady(peer->session) ||
            !GwRecords_IsBehind(records, list, peer->revision))
            continue;
        if (best == NULL || best == p->asked[list] ||
            (!asked && peer->revision_at > best->revision_at))
            best = peer;
    }
    return best;
}

static void
forget_asked_(GwPeers *p, const Peer *peer)
{
    for (int i = 0; i < GW_LISTS; i++) {
        if (p->asked[i] != peer)
            continue;
        p->asked[i] = NULL;
        GwFetch_Lost(&p->fetches[i]);
    }
}

static void
on_closed_(void *user, GwSession *session, bool silent)
{
    GwPeers *p = user;
    Peer *peer = find_(p, session);

    if (peer == NULL)
        return;
    if (GwSession_WasReady(session)) {
        GwEvent_Begin(p->options.log, "peer_lost", NULL);
        GwEvent_Text(p->options.log, "address", peer->address.host);
        GwEvent_Text(p->options.log, "why", silent ? "silent" : "closed");
        GwEvent_End(p->options.log);
    }
    if (!silent)
        forget_advice_(p, peer);
    forget_asked_(p, peer);
    TAILQ_REMOVE(&p->peers, peer, link);
    g_free(peer);
}

// An agent that ended, not one that fell silent: its engine may serve on.
static void
forget_advice_(GwPeers *p, const Peer *peer)
{
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));

    for (guint i = 0; peer->outbound && i < all->len; i++) {
        GwInstance *instance = g_ptr_array_index(all, i);

        if (instance->model != NULL &&
            strcmp(instance->address.host, peer->address.host) == 0)
            instance->advice.at = 0;
    }
}

static void
fill_hello_(void *user, Gw__Wire__Hello *hello)
{
    GwPeers *p = user;

    hello->role = p->options.is_agent ? GW__WIRE__ROLE__ROLE_AGENT
                                      : GW__WIRE__ROLE__ROLE_ENTRY;
    hello->instance = (char *)p->options.name;
    hello->failure_domain = (char *)p->options.failure_domain;
}

static uint64_t
revision_(void *user)
{
    GwPeers *p = user;

    return GwRecords_Stamp(GwView_Records(p->options.view));
}

static void
on_timer_(void *user)
{
    GwPeers *p = user;
    const GPtrArray *all = GwInstances_All(GwView_Instances(p->options.view));
    Peer *peer;
    Peer *next;

    GwInstances_Sweep(GwView_Instances(p->options.view), GwTime_Now());
    TAILQ_FOREACH(peer, &p->peers, link)
    peer->wanted = !peer->outbound;
    for (guint i = 0; !p->options.is_agent && i < all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(all, i);
        GwAddress address = instance->address;

        if (instance->model == NULL)
            continue;
        address.port = p->options.agent_port;
        connect_(p, &address);
    }
    if (p->watched.port != 0)
        connect_(p, &p->watched);
    for (int i = 0; needs_seeds_(p) && i < p->options.n_seeds; i++) {
        if (!GwAddress_Equal(&p->options.seeds[i], &p->options.listen))
            connect_(p, &p->options.seeds[i]);
    }
    for (peer = TAILQ_FIRST(&p->peers); peer != NULL; peer = next) {
        next = TAILQ_NEXT(peer, link);
        if (!peer->wanted)
            drop_(peer);
    }
    GwTimer_Start(&p->timer, RECONCILE_EVERY);
}

static void
connect_(GwPeers *p, const GwAddress *address)
{
    Peer *peer = at_(p, address);
    GwSessionOptions session = session_options_(p);

    if (peer == NULL) {
        peer = g_new0(Peer, 1);
        peer->owner = p;
        peer->outbound = true;
        peer->address = *address;
        TAILQ_INSERT_TAIL(&p->peers, peer, link);
        peer->session = GwSession_Connect(p->loop, address, &session);
    }
    peer->wanted = true;
}

static Peer *
find_(GwPeers *p, const GwSession *session)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->session == session)
            return peer;
    }
    return NULL;
}

static Peer *
at_(GwPeers *p, const GwAddress *address)
{
    Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->outbound && GwAddress_Equal(&peer->address, address))
            return peer;
    }
    return NULL;
}

static void
drop_(Peer *peer)
{
    forget_asked_(peer->owner, peer);
    TAILQ_REMOVE(&peer->owner->peers, peer, link);
    GwSession_Close(peer->session);
    g_free(peer);
}

// Seeds may be stale or down, and are as many hops as an agent: they are
// needed only until agents are known.
static bool
needs_seeds_(const GwPeers *p)
{
    const Peer *peer;

    if (p->options.is_agent)
        return false;
    if (GwView_Routes(p->options.view) == NULL)
        return true;
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (peer->outbound && !peer->is_entry &&
            GwSession_IsReady(peer->session))
            return false;
    }
    return true;
}

static void
tell_records_(GwPeers *p, GwSession *session, const Gw__Wire__RecordsAsk *ask)
{
    GwRecords *records = GwView_Records(p->options.view);
    Peer *peer = find_(p, session);
    uint64_t ends[GW_LISTS] = {
        [GW_LIST_OPERATOR] = ask->operator_end,
        [GW_LIST_INSTANCES] = ask->instances_end,
    };

    if (peer == NULL)
        return;
    // Before the records: it is then known with them.
    GwView_EachNamed(p->options.view, tell_age_, session);
    for (int i = 0; i < GW_LISTS; i++) {
        g_autofree Batch *batch = g_new0(Batch, 1);

        batch->instances = GwView_Instances(p->options.view);
        batch->session = session;
        batch->list = (GwList)i;
        batch->end = (uint64_t)GwRecords_End(records, (GwList)i);
        // A session loses nothing: what is queued there comes or is told
        // anew on another session.
        ends[i] = MAX(ends[i], peer->sent_ends[i]);
        if (batch->end <= ends[i])
            continue;
        GwRecords_Each(records, (GwList)i, (int64_t)ends[i], add_to_batch_,
                       batch);
        send_batch_(batch);
        peer->sent_ends[i] = batch->end;
        log_told_(p, session, batch);
    }
}

// Who sends whom the lists, and how often: copies that follow each other
// fill a slow link, and no other line shows it.
static void
log_asked_(GwPeers *p, const GwSession *session,
           const Gw__Wire__RecordsAsk *ask)
{
    const Peer *peer = find_(p, session);

    GwCounters_Add(p->options.counters, GW_COUNTER_RECORDS_ASKED, 1);
    GwEvent_Begin(p->options.log, "records_asked", NULL);
    GwEvent_Text(p->options.log, "peer", peer != NULL ? peer->name : NULL);
    GwEvent_Number(p->options.log, "operator_end", (int64_t)ask->operator_end);
    GwEvent_Number(p->options.log, "instances_end",
                   (int64_t)ask->instances_end);
    GwEvent_End(p->options.log);
}

static void
log_told_(GwPeers *p, const GwSession *session, const Batch *batch)
{
    const Peer *peer = find_(p, session);

    GwCounters_Add(p->options.counters, GW_COUNTER_RECORDS_TOLD_BYTES,
                   batch->told_bytes);
    GwEvent_Begin(p->options.log, "records_told", NULL);
    GwEvent_Text(p->options.log, "peer", peer != NULL ? peer->name : NULL);
    GwEvent_Text(p->options.log, "list", GwList_Names[batch->list]);
    GwEvent_Number(p->options.log, "records", (int64_t)batch->told);
    GwEvent_Number(p->options.log, "bytes", (int64_t)batch->told_bytes);
    GwEvent_Number(p->options.log, "end", (int64_t)batch->end);
    GwEvent_End(p->options.log);
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
    uint64_t end = batch->end;

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
    tell.end = batch->end;
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

static void
take_records_(GwPeers *p, const Gw__Wire__RecordsTell *tell)
{
    GwRecords *records = GwView_Records(p->options.view);
    unsigned news = 0;
    size_t bytes = 0;

    if (tell->list >= GW_LISTS)
        return;
    hold_removals_(p, tell);
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
    GwInstances_HoldTold(GwView_Instances(p->options.view), 0);
    GwRecords_SetEnd(records, (GwList)tell->list, (int64_t)tell->end);
    // Only the last frame tells the end.
    if (tell->end > 0)
        GwFetch_Done(&p->fetches[tell->list]);
    else
        GwFetch_Moved(&p->fetches[tell->list], GwTime_Now());
    // Also of records that were known already: they took the link all the
    // same.
    GwCounters_Add(p->options.counters, GW_COUNTER_BYTES_FROM_PEERS, bytes);
    if (news == 0)
        return;
    GwCounters_Add(p->options.counters, GW_COUNTER_RECORDS_FROM_PEERS, news);
    GwEvent_Begin(p->options.log, "records_from_peer", NULL);
    GwEvent_Text(p->options.log, "list", GwList_Names[tell->list]);
    GwEvent_Number(p->options.log, "records", news);
    GwEvent_Number(p->options.log, "bytes", (int64_t)bytes);
    GwEvent_Number(p->options.log, "end", (int64_t)tell->end);
    GwEvent_End(p->options.log);
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

static void
take_age_(GwPeers *p, const Gw__Wire__WeightsAge *age)
{
    GwTime now = GwTime_Now();
    // Of a machine that started after the naming, or a wrong number.
    GwTime most = now / GW_MILLISECOND;
    GwTime ago = (GwTime)MIN(age->named_ms, (uint64_t)most);

    // Whole milliseconds and the way here only make it younger: processes
    // that tell each other never drive it to ever earlier times.
    GwView_NoteNamed(p->options.view, age->model, age->version,
                     now - ago * GW_MILLISECOND);
}

static void
send_engine_(GwPeers *p, Peer *peer)
{
    GW_FRAME(frame, state, ENGINE_STATE, EngineState, engine_state);
    Waiting others;

    state.instance = p->engine_id;
    state.incarnation = p->engine.incarnation;
    state.weights = p->engine.weights;
    state.preparing = p->engine.preparing;
    state.switching = p->engine.switching;
    state.down = p->engine.down;
    state.running = p->engine.running;
    state.queued = p->engine.queued;
    state.kv_used = p->engine.kv_used;
    state.kv_total = p->engine.kv_total;
    state.entries = count_entries_(p);
    others = others_(p, peer);
    peer->told_tokens = others.tokens;
    peer->told_yielding = others.yielding;
    state.others_tokens = others.tokens;
    state.others_yielding = others.yielding;
    state.others_yielding_memory = others.yielding_memory;
    GwSession_Send(peer->session, &frame);
}

// What one entry waits for matters to the others: each sees only its own.
static void
take_note_(GwPeers *p, const GwSession *session,
           const Gw__Wire__PrefillNote *note)
{
    Peer *from = find_(p, session);
    Peer *peer;

    if (from == NULL || !p->has_engine ||
        note->incarnation < p->engine.incarnation)
        return;
    from->prefill_tokens = note->tokens;
    from->yielding = note->yielding;
    from->yielding_memory = note->yielding_memory;
    from->long_runs = note->long_runs;
    TAILQ_FOREACH(peer, &p->peers, link)
    {
        Waiting others;

        if (!peer->is_entry || peer == from ||
            !GwSession_IsReady(peer->session))
            continue;
        others = others_(p, peer);
        if (differs_(others.tokens, peer->told_tokens) ||
            differs_(others.yielding, peer->told_yielding))
            send_engine_(p, peer);
    }
}

static bool
differs_(uint64_t tokens, uint64_t told)
{
    return ABS((int64_t)(tokens - told)) >= TELL_TOKENS;
}

// What all entries but @p peer wait for.
static Waiting
others_(const GwPeers *p, const Peer *peer)
{
    const Peer *other;
    Waiting sum = {0};

    TAILQ_FOREACH(other, &p->peers, link)
    {
        if (other == peer)
            continue;
        sum.tokens += other->prefill_tokens;
        sum.yielding += other->yielding;
        sum.yielding_memory += other->yielding_memory;
    }
    return sum;
}

static void
take_engine_(GwPeers *p, const Gw__Wire__EngineState *state)
{
    GwInstance *instance =
        GwInstances_Find(GwView_Instances(p->options.view), state->instance);
    bool went_down;
    bool has_news;

    if (state->entries > 0)
        p->entries = state->entries;
    if (instance == NULL || state->incarnation < instance->incarnation)
        return;
    // The word of the process beside the engine is ahead of the list.
    if (state->incarnation > instance->incarnation)
        instance = GwInstances_Restarted(GwView_Instances(p->options.view),
                                         state->instance, state->incarnation,
                                         GW_LEARNED_AGENT);
    went_down = state->down && !instance->advice.down;
    has_news = GwInstance_SetWeights(instance, state->weights);
    if (has_news || instance->advice.switching != state->switching ||
        instance->advice.preparing != state->preparing ||
        instance->advice.down != state->down) {
        GwEvent_Begin(p->options.log, "engine", NULL);
        GwEvent_Text(p->options.log, "instance", instance->id);
        GwEvent_Number(p->options.log, "weights", instance->weights);
        GwEvent_Text(p->options.log, "state",
                     state->down        ? "down"
                     : state->switching ? "switching"
                     : state->preparing ? "preparing"
                                        : "serving");
        GwEvent_End(p->options.log);
    }
    instance->advice = (GwAdvice){
        .at = GwTime_Now(),
        .preparing = state->preparing,
        .switching = state->switching,
        .down = state->down,
        .others_tokens = state->others_tokens,
        .others_yielding = state->others_yielding,
        .others_yielding_memory = state->others_yielding_memory,
        .running = state->running,
        .queued = state->queued,
        .kv_used = state->kv_used,
        .kv_total = state->kv_total,
    };
    if (went_down && p->options.on_engine_down != NULL)
        p->options.on_engine_down(p->options.user, instance);
}

static unsigned
count_entries_(const GwPeers *p)
{
    const Peer *peer;
    unsigned n = 0;

    TAILQ_FOREACH(peer, &p->peers, link)
    n += peer->is_entry && GwSession_IsReady(peer->session);
    return n;
}

static bool
is_connected_(const GwPeers *p)
{
    const Peer *peer;

    TAILQ_FOREACH(peer, &p->peers, link)
    {
        if (GwSession_IsReady(peer->session))
            return true;
    }
    return false;
}

// A peer that saw the store go away and return knows that these removals may
// be undone. We may have missed that: our own call waited all the while, and
// taking them at once would leave callers without an endpoint.
static void
hold_removals_(GwPeers *p, const Gw__Wire__RecordsTell *tell)
{
    GwTime now = GwTime_Now();
    GwTime until = now + MIN((GwTime)tell->removals_held_ms * GW_MILLISECOND,
                             REMOVALS_HELD_MOST);

    if (tell->list == GW_LIST_INSTANCES && tell->removals_held_ms > 0)
        GwInstances_HoldTold(GwView_Instances(p->options.view), until);
}
