#include "list_sync.h"

#include "list_sync_outages.h"
#include "records_batch.h"

/* End position in a request for a list whose records are not requested: no
 * record is at or after it. */
#define END_NOT_REQUESTED G_MAXINT64
/* Least delay between two checks of whether to send a request. */
#define RECHECK_DELAY_MIN (100 * GW_MILLISECOND)
/* Maximum number of records in the first request for instances to a seed:
 * enough to find agents, which send the rest. When a fleet starts, all entries
 * send requests to the few seeds, whose links may be slow. */
#define SEED_FIRST_RECORDS 64
/* Time for which agents may still send a list before it is requested from a
 * seed. */
#define SEED_REQUEST_DELAY (2 * GW_SECOND)
/* Time for which a peer in this process's failure domain may still get a
 * configuration before it is requested from a peer in another domain. Each
 * domain has store readers of its own, and copies between domains are
 * expensive. */
#define OTHER_DOMAIN_REQUEST_DELAY (100 * GW_MILLISECOND)
/* Time for which a peer may still report the missing records of a list before
 * the list is read from the store. */
#define STORE_READ_DELAY (1 * GW_SECOND)
/* Copies of at least this size are sent one at a time, and use COPY_LINK_SHARE
 * of the link, so that client traffic keeps the rest of a slow link. When a
 * configuration is announced, all peers request it at the same time. */
#define LARGE_COPY_BYTES (16 * 1024)
#define COPY_LINK_SHARE 0.5

static void send_due_requests_(void *user);
static void send_queued_replies_(void *user);
static void send_records_(GwListSync *sync, GwListSyncPeer *peer,
                          const Gw__Wire__RecordsAsk *request);
static bool is_large_copy_(const GwListSync *sync,
                           const Gw__Wire__RecordsAsk *request);
static void add_value_bytes_(void *user, GwList list, const GwRecord *record);
static void send_unable_(GwListSyncPeer *peer, GwList list);
static bool has_ready_agent_(const GwListSync *sync);
static bool has_ready_peer_in_domain_(const GwListSync *sync);
static GwTime next_request_at_(GwListSync *sync, GwList list, GwTime now);
static void request_list_(GwListSync *sync, GwList list, GwTime now);
static GwListSyncPeer *choose_source_(GwListSync *sync, GwList list);
static bool is_better_source_(const GwListSync *sync, GwList list,
                              const GwListSyncPeer *peer,
                              const GwListSyncPeer *other);
static void clear_requested_peer_(GwListSync *sync,
                                  const GwListSyncPeer *peer);
static void log_request_sent_(GwListSync *sync, const GwListSyncPeer *peer,
                              const Gw__Wire__RecordsAsk *request);
static void log_sent_records_(GwListSync *sync, const GwListSyncPeer *peer,
                              const RecordsBatch *batch);
static void send_weights_age_(void *user, const char *model, int64_t version,
                              GwTime named_at);

void
GwListSync_Init(GwListSync *sync, GwLoop *loop,
                const GwListSyncOptions *options)
{
    sync->options = *options;
    TAILQ_INIT(&sync->peers);
    GwTimer_Init(&sync->request_timer, loop, send_due_requests_, sync);
    GwTimer_Init(&sync->queue_timer, loop, send_queued_replies_, sync);
}

void
GwListSync_Stop(GwListSync *sync)
{
    GwTimer_Stop(&sync->request_timer);
    GwTimer_Stop(&sync->queue_timer);
}

void
GwListSync_AddPeer(GwListSync *sync, GwListSyncPeer *peer)
{
    TAILQ_INSERT_TAIL(&sync->peers, peer, link);
}

void
GwListSync_RemovePeer(GwListSync *sync, GwListSyncPeer *peer)
{
    clear_requested_peer_(sync, peer);
    g_clear_pointer(&peer->queued_request, g_free);
    TAILQ_REMOVE(&sync->peers, peer, link);
}

void
GwListSync_OnSyncStatus(GwListSync *sync, GwListSyncPeer *peer,
                        const GwSyncStatus *sync_status)
{
    GwRecords *records = GwView_Records(sync->options.view);
    const GwTime ages[GW_LISTS] = {
        [GW_LIST_OPERATOR] = sync_status->operator_age,
        [GW_LIST_INSTANCES] = sync_status->instances_age,
    };
    GwTime now = GwTime_Now();
    bool behind = false;

    peer->status_at = now;
    GwListSyncOutages_NoteAvailable(sync->options.reader, sync_status, now);
    for (int i = 0; i < GW_LISTS; i++) {
        // Records may have been received since the last check, from another
        // peer or from the store.
        GwFetch_SetBehind(
            &sync->fetches[i],
            GwRecords_IsBehind(records, (GwList)i, sync->latest_ends[i]), now);
        peer->ends[i] = GwRecords_StampEnd(
            (GwList)i, (int64_t)sync_status->epoch, sync_status->revision);
        if (!GwRecords_IsBehind(records, (GwList)i, peer->ends[i])) {
            // This process has all records that the peer has, so the ages that
            // the peer reports apply to its own copy too.
            if (ages[i] >= 0 && sync->options.reader != NULL)
                GwStoreReader_Confirm(sync->options.reader, (GwList)i,
                                      now - ages[i]);
            continue;
        }
        behind = true;
        sync->latest_ends[i] = MAX(sync->latest_ends[i], peer->ends[i]);
        if (sync_status->has_news)
            GwFetch_SkipBackoff(&sync->fetches[i]);
        if (sync->options.reader != NULL)
            GwStoreReader_NotePeerAhead(sync->options.reader, (GwList)i);
    }
    if (behind)
        send_due_requests_(sync);
}

void
GwListSync_FillSyncStatus(const GwListSync *sync, GwSyncStatus *sync_status)
{
    const GwRecords *records = GwView_Records(sync->options.view);
    const GwStoreReader *reader = sync->options.reader;

    sync_status->revision = GwRecords_Stamp(records);
    sync_status->epoch = (uint64_t)GwRecords_Era(records);
    if (reader == NULL)
        return;
    sync_status->operator_age = GwStoreReader_Age(reader, GW_LIST_OPERATOR);
    sync_status->instances_age = GwStoreReader_Age(reader, GW_LIST_INSTANCES);
    sync_status->instances_available_for =
        GwStoreReader_AvailableFor(reader, GW_LIST_INSTANCES);
}

void
GwListSync_OnRequest(GwListSync *sync, GwListSyncPeer *peer,
                     const Gw__Wire__RecordsAsk *request)
{
    GwTime now = GwTime_Now();

    if (now >= sync->link_busy_until || !is_large_copy_(sync, request)) {
        send_records_(sync, peer, request);
        return;
    }
    g_clear_pointer(&peer->queued_request, g_free);
    peer->queued_request = g_memdup2(request, sizeof(*request));
    if (sync->queue_timer.place == NULL)
        GwTimer_Start(&sync->queue_timer, sync->link_busy_until - now);
}

// Small copies are not queued: they hardly load the link, and the record of an
// endpoint that drains must reach peers without delay.
static bool
is_large_copy_(const GwListSync *sync, const Gw__Wire__RecordsAsk *request)
{
    GwRecords *records = GwView_Records(sync->options.view);
    size_t bytes = 0;

    GwRecords_Each(records, GW_LIST_OPERATOR, (int64_t)request->operator_end,
                   add_value_bytes_, &bytes);
    GwRecords_Each(records, GW_LIST_INSTANCES, (int64_t)request->instances_end,
                   add_value_bytes_, &bytes);
    return bytes >= LARGE_COPY_BYTES;
}

static void
add_value_bytes_(void *user, GwList list, const GwRecord *record)
{
    size_t *bytes = user;

    *bytes += record->value != NULL ? record->len : 0;
}

// The link is free again: sends the next queued replies, until a large copy
// occupies the link. A peer that has received its records from elsewhere in
// the meantime gets none.
static void
send_queued_replies_(void *user)
{
    GwListSync *sync = user;
    GwListSyncPeer *peer;

    TAILQ_FOREACH(peer, &sync->peers, link)
    {
        if (peer->queued_request == NULL)
            continue;
        if (GwTime_Now() < sync->link_busy_until) {
            GwTimer_Start(&sync->queue_timer,
                          sync->link_busy_until - GwTime_Now());
            return;
        }
        send_records_(sync, peer, peer->queued_request);
        g_clear_pointer(&peer->queued_request, g_free);
    }
}

static void
send_records_(GwListSync *sync, GwListSyncPeer *peer,
              const Gw__Wire__RecordsAsk *request)
{
    GwRecords *records = GwView_Records(sync->options.view);
    int64_t ends[GW_LISTS] = {
        [GW_LIST_OPERATOR] = (int64_t)request->operator_end,
        [GW_LIST_INSTANCES] = (int64_t)request->instances_end,
    };

    // Sent before the records, so that the receiver has the ages when it
    // applies the records.
    GwListSync_SendWeightsAges(sync, peer->session);
    for (int i = 0; i < GW_LISTS; i++) {
        g_autofree RecordsBatch *batch = g_new0(RecordsBatch, 1);

        batch->instances = GwView_Instances(sync->options.view);
        batch->session = peer->session;
        batch->list = (GwList)i;
        batch->end = GwRecords_End(records, (GwList)i);
        // Sessions are reliable: records queued to the peer are received, or
        // the peer requests them again over a new session. Records that the
        // peer has received from elsewhere since its request are covered by
        // the ends in its heartbeats.
        ends[i] = MAX(ends[i], MAX(peer->sent_ends[i], peer->ends[i]));
        // A peer of an older version, which does not know eras, would use the
        // position as an offset in the store.
        if (batch->end <= ends[i] ||
            (!request->knows_eras && GwPosition_Era(batch->end) > 0))
            continue;
        if (i == GW_LIST_INSTANCES &&
            !GwRecords_HasAllSince(records, (GwList)i, ends[i])) {
            send_unable_(peer, (GwList)i);
            continue;
        }
        batch->max_records =
            i == GW_LIST_INSTANCES ? request->most_instances : 0;
        GwRecords_Each(records, (GwList)i, ends[i], RecordsBatch_Add, batch);
        if (batch->is_cut)
            batch->end = 0;
        else
            peer->sent_ends[i] = batch->end;
        RecordsBatch_Send(batch);
        if (sync->options.link_rate > 0 &&
            batch->sent_bytes >= LARGE_COPY_BYTES)
            sync->link_busy_until =
                GwTime_Now() +
                (GwTime)((double)batch->sent_bytes * (double)GW_SECOND /
                         (sync->options.link_rate * COPY_LINK_SHARE));
        log_sent_records_(sync, peer, batch);
    }
}

// Reports that this process lacks some of the requested records or removals,
// so that the peer requests the list elsewhere.
static void
send_unable_(GwListSyncPeer *peer, GwList list)
{
    GW_FRAME(frame, reply, RECORDS_TELL, RecordsTell, records_tell);

    reply.list = list;
    reply.is_cut = true;
    GwSession_Send(peer->session, &frame);
}

void
GwListSync_OnRecords(GwListSync *sync, GwListSyncPeer *peer,
                     const Gw__Wire__RecordsTell *reply)
{
    GwRecords *records = GwView_Records(sync->options.view);
    unsigned new_records = 0;
    size_t bytes = 0;

    if (reply->list >= GW_LISTS)
        return;
    if (reply->is_cut && reply->n_records == 0) {
        peer->ends[reply->list] = 0;
        GwFetch_NoteComplete(&sync->fetches[reply->list]);
        GwFetch_SkipBackoff(&sync->fetches[reply->list]);
        send_due_requests_(sync);
        return;
    }
    GwListSyncOutages_AdoptDeferral(sync->options.reader, sync->options.view,
                                    reply);
    for (size_t i = 0; i < reply->n_records; i++) {
        const Gw__Wire__ListRecord *r = reply->records[i];
        GwRecord record = {
            .key = r->key,
            .value = r->removed ? NULL : (const char *)r->value.data,
            .len = r->value.len,
            .offset = (int64_t)r->offset,
            .learned_from = peer->name,
        };

        bytes += r->value.len;
        if (GwRecords_Apply(records, (GwList)reply->list, &record))
            new_records++;
    }
    GwInstances_SetPeerDeferral(GwView_Instances(sync->options.view), 0);
    GwRecords_SetEnd(records, (GwList)reply->list, (int64_t)reply->end);
    // The end is set only in the last frame of a reply.
    if (reply->end > 0 || reply->is_cut)
        GwFetch_NoteComplete(&sync->fetches[reply->list]);
    else
        GwFetch_NoteProgress(&sync->fetches[reply->list], GwTime_Now());
    // Records that were known already are counted too, because they used the
    // link.
    GwCounters_Add(sync->options.counters, GW_COUNTER_BYTES_FROM_PEERS, bytes);
    if (new_records == 0)
        return;
    GwCounters_Add(sync->options.counters, GW_COUNTER_RECORDS_FROM_PEERS,
                   new_records);
    GwEvent_Begin(sync->options.log, "records_from_peer", NULL);
    GwEvent_Text(sync->options.log, "list", GwList_Names[reply->list]);
    GwEvent_Number(sync->options.log, "records", new_records);
    GwEvent_Number(sync->options.log, "bytes", (int64_t)bytes);
    GwEvent_Number(sync->options.log, "end",
                   GwPosition_Offset((int64_t)reply->end));
    GwEvent_End(sync->options.log);
}

void
GwListSync_SendWeightsAges(GwListSync *sync, GwSession *session)
{
    GwView_EachNamed(sync->options.view, send_weights_age_, session);
}

void
GwListSync_OnWeightsAge(GwListSync *sync, const Gw__Wire__WeightsAge *age)
{
    GwTime now = GwTime_Now();
    // An age that is longer, as in an invalid message, is no different.
    GwTime ago = (GwTime)MIN(age->named_ms,
                             (uint64_t)(-GW_NAMED_LONG_AGO / GW_MILLISECOND));

    // The age is rounded down to whole milliseconds and excludes the
    // transmission time, so it is never too high: processes that exchange
    // it cannot move the recorded time further and further back.
    GwView_NoteNamed(sync->options.view, age->model, age->version,
                     now - ago * GW_MILLISECOND);
}

// Sends the requests that are due and restarts the timer for the time when the
// next request may be due.
static void
send_due_requests_(void *user)
{
    GwListSync *sync = user;
    GwTime now = GwTime_Now();
    GwTime next = 0;

    for (int i = 0; i < GW_LISTS; i++) {
        GwTime at = next_request_at_(sync, (GwList)i, now);

        if (at == 0)
            continue;
        if (at <= now) {
            request_list_(sync, (GwList)i, now);
            at = MAX(next_request_at_(sync, (GwList)i, now),
                     now + RECHECK_DELAY_MIN);
        }
        next = next == 0 ? at : MIN(next, at);
    }
    if (next > 0)
        GwTimer_Start(&sync->request_timer, next - now);
}

// Returns when to request @p list from a peer; 0: not before a peer reports a
// later end.
static GwTime
next_request_at_(GwListSync *sync, GwList list, GwTime now)
{
    GwFetch *fetch = &sync->fetches[list];
    int64_t end = GwRecords_End(GwView_Records(sync->options.view), list);
    GwReadState read_state =
        sync->options.reader != NULL
            ? GwStoreReader_ReadState(sync->options.reader, list)
            : GW_READ_INACTIVE;
    const GwListSyncPeer *source;
    GwTime at;

    GwFetch_SetBehind(fetch, sync->latest_ends[list] > end, now);
    if (sync->latest_ends[list] <= end)
        return 0;
    source = choose_source_(sync, list);
    if (source == NULL) {
        // No connected peer can provide the missing records: the peer that
        // reported them is disconnected or lacks some of them.
        if (now - fetch->behind_since >= STORE_READ_DELAY && end > 0 &&
            sync->options.reader != NULL)
            GwStoreReader_ReadNow(sync->options.reader, list);
        return now + STORE_READ_DELAY;
    }
    if (sync->requested_peers[list] != NULL)
        GwFetch_NoteProgress(fetch, GwSession_LargeFrameProgressAt(
                                        sync->requested_peers[list]->session));
    at = GwFetch_NextRequestAt(fetch, read_state, now);
    // The delay applies to configurations only; instance records are small.
    if (list == GW_LIST_OPERATOR && !source->is_same_domain &&
        has_ready_peer_in_domain_(sync))
        at = MAX(at, fetch->behind_since + OTHER_DOMAIN_REQUEST_DELAY);
    return at;
}

static void
request_list_(GwListSync *sync, GwList list, GwTime now)
{
    GwRecords *records = GwView_Records(sync->options.view);
    GwListSyncPeer *peer = choose_source_(sync, list);
    GW_FRAME(frame, request, RECORDS_ASK, RecordsAsk, records_ask);

    request.operator_end =
        (uint64_t)(list == GW_LIST_OPERATOR ? GwRecords_End(records, list)
                                            : END_NOT_REQUESTED);
    request.instances_end =
        (uint64_t)(list == GW_LIST_INSTANCES ? GwRecords_End(records, list)
                                             : END_NOT_REQUESTED);
    request.knows_eras = true;
    if (list == GW_LIST_INSTANCES && peer->is_seed &&
        !peer->has_instances_request)
        request.most_instances = SEED_FIRST_RECORDS;
    peer->has_instances_request |= list == GW_LIST_INSTANCES;
    sync->requested_peers[list] = peer;
    GwFetch_NoteRequest(&sync->fetches[list], now);
    GwSession_Send(peer->session, &frame);
    log_request_sent_(sync, peer, &request);
}

// Chooses the peer to request @p list from among those that are ahead: the one
// whose heartbeat is the most recent. A seed, or the peer of the last request,
// is chosen only if there is no other; for configurations, peers in the same
// failure domain come first.
static GwListSyncPeer *
choose_source_(GwListSync *sync, GwList list)
{
    GwRecords *records = GwView_Records(sync->options.view);
    GwTime behind = GwTime_Now() - sync->fetches[list].behind_since;
    bool avoids_seeds = behind < SEED_REQUEST_DELAY && has_ready_agent_(sync);
    GwListSyncPeer *best = NULL;
    GwListSyncPeer *peer;

    TAILQ_FOREACH(peer, &sync->peers, link)
    {
        if (GwSession_IsReady(peer->session) &&
            GwRecords_IsBehind(records, list, peer->ends[list]) &&
            !(peer->is_seed && avoids_seeds) &&
            (best == NULL || is_better_source_(sync, list, peer, best)))
            best = peer;
    }
    return best;
}

static bool
has_ready_agent_(const GwListSync *sync)
{
    const GwListSyncPeer *peer;

    TAILQ_FOREACH(peer, &sync->peers, link)
    {
        if (!peer->is_seed && GwSession_IsReady(peer->session))
            return true;
    }
    return false;
}

static bool
has_ready_peer_in_domain_(const GwListSync *sync)
{
    const GwListSyncPeer *peer;

    TAILQ_FOREACH(peer, &sync->peers, link)
    {
        if (peer->is_same_domain && GwSession_IsReady(peer->session))
            return true;
    }
    return false;
}

static bool
is_better_source_(const GwListSync *sync, GwList list,
                  const GwListSyncPeer *peer, const GwListSyncPeer *other)
{
    bool is_requested =
        peer == sync->requested_peers[list] && sync->fetches[list].is_pending;

    if (peer->is_seed != other->is_seed)
        return other->is_seed;
    if (list == GW_LIST_OPERATOR && !is_requested &&
        peer->is_same_domain != other->is_same_domain)
        return peer->is_same_domain;
    return other == sync->requested_peers[list] ||
           (!is_requested && peer->status_at > other->status_at);
}

static void
clear_requested_peer_(GwListSync *sync, const GwListSyncPeer *peer)
{
    for (int i = 0; i < GW_LISTS; i++) {
        if (sync->requested_peers[i] != peer)
            continue;
        sync->requested_peers[i] = NULL;
        GwFetch_NotePeerLost(&sync->fetches[i]);
    }
}

// Logs which lists are requested from which peer. The log otherwise doesn't
// show repeated copies, which can fill a slow link.
static void
log_request_sent_(GwListSync *sync, const GwListSyncPeer *peer,
                  const Gw__Wire__RecordsAsk *request)
{
    GwCounters_Add(sync->options.counters, GW_COUNTER_RECORDS_ASKED, 1);
    GwEvent_Begin(sync->options.log, "records_asked", NULL);
    GwEvent_Text(sync->options.log, "peer", peer->name);
    GwEvent_Number(sync->options.log, "operator_end",
                   GwPosition_Offset((int64_t)request->operator_end));
    GwEvent_Number(sync->options.log, "instances_end",
                   GwPosition_Offset((int64_t)request->instances_end));
    GwEvent_End(sync->options.log);
}

static void
log_sent_records_(GwListSync *sync, const GwListSyncPeer *peer,
                  const RecordsBatch *batch)
{
    GwCounters_Add(sync->options.counters, GW_COUNTER_RECORDS_TOLD_BYTES,
                   batch->sent_bytes);
    GwEvent_Begin(sync->options.log, "records_told", NULL);
    GwEvent_Text(sync->options.log, "peer", peer->name);
    GwEvent_Text(sync->options.log, "list", GwList_Names[batch->list]);
    GwEvent_Number(sync->options.log, "records", (int64_t)batch->sent_records);
    GwEvent_Number(sync->options.log, "bytes", (int64_t)batch->sent_bytes);
    GwEvent_Number(sync->options.log, "end", GwPosition_Offset(batch->end));
    GwEvent_End(sync->options.log);
}

static void
send_weights_age_(void *user, const char *model, int64_t version,
                  GwTime named_at)
{
    GW_FRAME(frame, age, WEIGHTS_AGE, WeightsAge, weights_age);

    age.model = (char *)model;
    age.version = version;
    age.named_ms = (uint64_t)MAX(GwTime_Now() - named_at, 0) / GW_MILLISECOND;
    GwSession_Send(user, &frame);
}
