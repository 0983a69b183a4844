#include "galenagw/cluster/store_reader.h"

#include "store_reader_calls.h"
#include "store_reader_outages.h"
#include "store_reader_silence.h"

#define HEARTBEAT_INTERVAL_DEFAULT (1200 * GW_MILLISECOND)
#define RECONNECT_BOUND_DEFAULT (3 * GW_SECOND)
/* A call under way is replaced if the rest of its wait is longer than this
 * multiple of the longest wait of a new call. */
#define OVERLONG_WAIT_FACTOR 2

/* Pause between an entry's reads of the instances. For up to
 * ENTRY_PAUSE_MIN_ENTRIES entries it is ENTRY_PAUSE_MIN, a tenth of the
 * shortest bound (two seconds) within which a draining endpoint must get no
 * new requests. In larger fleets it grows with the number of entries, up to
 * the share ENTRY_PAUSE_MAX_SHARE of the bound. */
#define ENTRY_PAUSE_MIN (200 * GW_MILLISECOND)
#define ENTRY_PAUSE_MIN_ENTRIES 4
#define ENTRY_PAUSE_MAX_SHARE 0.5

GwStoreReader *
GwStoreReader_New(GwLoop *loop, const GwStoreReaderOptions *options)
{
    GwStoreReader *r = g_new0(GwStoreReader, 1);

    r->loop = loop;
    r->options = *options;
    r->era = -1;
    if (r->options.heartbeat_interval <= 0)
        r->options.heartbeat_interval = HEARTBEAT_INTERVAL_DEFAULT;
    if (r->options.reconnect_bound <= 0)
        r->options.reconnect_bound = RECONNECT_BOUND_DEFAULT;
    GwReadSchedule_Init(&r->schedule, options->name, options->bound,
                        r->options.heartbeat_interval);
    if (options->asks_peers_first)
        GwReadSchedule_WaitForPeers(&r->schedule, GwTime_Now(), options->rand);
    for (int i = 0; i < GW_LISTS; i++) {
        ListReader *lr = &r->list_readers[i];

        lr->owner = r;
        lr->list = (GwList)i;
        GwStoreReaderCalls_Init(lr);
        GwStoreReaderSilence_Init(lr);
        GwStoreReaderCalls_Start(lr);
    }
    return r;
}

void
GwStoreReader_Delete(GwStoreReader *r)
{
    if (r == NULL)
        return;
    for (int i = 0; i < GW_LISTS; i++) {
        ListReader *lr = &r->list_readers[i];

        GwStoreReaderSilence_Release(lr);
        GwStoreReaderCalls_Release(lr);
    }
    g_free(r);
}

GwTime
GwStoreReader_EntryMinInterval(unsigned entries, GwTime leaving_bound)
{
    GwTime pause = ENTRY_PAUSE_MIN * MAX(entries, 1) / ENTRY_PAUSE_MIN_ENTRIES;
    GwTime max_pause = (GwTime)(ENTRY_PAUSE_MAX_SHARE * (double)leaving_bound);

    return MAX(MIN(pause, max_pause), ENTRY_PAUSE_MIN);
}

void
GwStoreReader_SetInstancesMinInterval(GwStoreReader *r, GwTime pause)
{
    r->options.instances_min_interval = pause;
}

void
GwStoreReader_SetClusterSize(GwStoreReader *r, unsigned cluster_size)
{
    bool did_read_from_peers = GwReadSchedule_ReadsFromPeers(&r->schedule);

    GwReadSchedule_SetClusterSize(&r->schedule, cluster_size);
    cluster_size = MIN(cluster_size, GW_STORE_READERS);
    for (int i = 0; i < GW_LISTS; i++) {
        ListReader *lr = &r->list_readers[i];
        GwTime left = lr->call_wait_until - GwTime_Now();

        GwStoreReaderCalls_StopWaitingForPeers(lr);
        if (did_read_from_peers &&
            !GwReadSchedule_ReadsFromPeers(&r->schedule))
            GwStoreReader_ReadNow(r, lr->list);
        if (lr->poll.cluster_size == cluster_size)
            continue;
        GwLongPoll_SetClusterSize(&lr->poll, cluster_size);
        // Only a few processes are connected. The long wait of this call
        // relied on updates from other processes in case the call is lost. A
        // call whose answer is being received is not lost.
        if (GwHttpCaller_IsBusy(lr->http_call) &&
            GwStoreReader_ReadState(r, lr->list) != GW_READ_RECEIVING &&
            left > OVERLONG_WAIT_FACTOR * GwLongPoll_MaxWait(&lr->poll))
            GwStoreReaderSilence_Reopen(lr, "few_peers");
    }
}

void
GwStoreReader_NotePeerAhead(GwStoreReader *r, GwList list)
{
    GwStoreReaderSilence_NotePeerAhead(&r->list_readers[list]);
}

void
GwStoreReader_ReadNow(GwStoreReader *r, GwList list)
{
    ListReader *lr = &r->list_readers[list];

    // After a failure the pause limits the load on the store and must not be
    // shortened.
    if (lr->poll.failures > 0 || lr->is_waiting_for_peers ||
        GwHttpCaller_IsBusy(lr->http_call))
        return;
    GwTimer_Stop(&lr->call_timer);
    GwStoreReaderCalls_Send(lr);
}

bool
GwStoreReader_ReadsFromPeers(const GwStoreReader *r)
{
    return GwReadSchedule_ReadsFromPeers(&r->schedule);
}

void
GwStoreReader_Confirm(GwStoreReader *r, GwList list, GwTime at)
{
    GwReadSchedule_Confirm(&r->schedule, list, at);
    if (list == GW_LIST_OPERATOR)
        GwView_NoteOperatorListComplete(r->options.view);
}

void
GwStoreReader_NoteStoreAvailable(GwStoreReader *r, GwList list, GwTime since,
                                 GwTime until)
{
    GwReadSchedule_NoteAvailable(&r->schedule, list, since, until);
    if (list == GW_LIST_INSTANCES)
        GwStoreReaderOutages_OnPeerAvailable(r);
}

GwTime
GwStoreReader_Age(const GwStoreReader *r, GwList list)
{
    return GwReadSchedule_Age(&r->schedule, list, GwTime_Now());
}

GwTime
GwStoreReader_AvailableFor(const GwStoreReader *r, GwList list)
{
    return GwReadSchedule_AvailableFor(&r->schedule, list);
}

GwTime
GwStoreReader_SettledAt(const GwStoreReader *r, GwList list)
{
    return GwReadSchedule_SettledAt(&r->schedule, list, GwTime_Now());
}

GwReadState
GwStoreReader_ReadState(const GwStoreReader *r, GwList list)
{
    const ListReader *lr = &r->list_readers[list];

    return GwReadState_Of(
        GwHttpCaller_IsBusy(lr->http_call), lr->poll.failing_since != 0,
        GwHttpCaller_LastReceivedAt(lr->http_call), GwTime_Now());
}
