#include "galenagw/cluster/store_reader.h"

#include "galenagw/adapter/store.h"
#include "galenagw/http/caller.h"
#include "galenagw/routing/long_poll.h"
#include "galenagw/routing/read_schedule.h"

/* Removals are deferred until so long after the store's return. By the
 * platform's specification, endpoints whose records expired during an outage
 * write them again within about two seconds of the store's return; half a
 * second covers this process's delay. */
#define REMOVAL_DEFERRAL_TERM (2500 * GW_MILLISECOND)
/* Only removals read within this time of the store's return are deferred. A
 * record that is removed later has not expired during the outage: the endpoint
 * has left and must get no more requests. */
#define REMOVAL_DEFERRAL_WINDOW (500 * GW_MILLISECOND)
/* A call under way is replaced if the rest of its wait is longer than this
 * multiple of the longest wait of a new call. */
#define OVERLONG_WAIT_FACTOR 2
/* An endpoint's record expires after this many heartbeat intervals without
 * renewal. */
#define EXPIRE_AFTER_INTERVALS 3
/* Allowance for the store's delay in removing an expired record. */
#define REMOVAL_DELAY (1400 * GW_MILLISECOND)
/* Delay before a list is read in full again if a read expires right after a
 * full read. */
#define EXPIRED_REREAD_DELAY (500 * GW_MILLISECOND)
/* No record expires during outages up to this length. */
#define HARMLESS_OUTAGE_MAX (1 * GW_SECOND)
/* Time for which a peer may be ahead before the call under way is checked: a
 * peer may receive a change one round trip earlier. */
#define PEER_AHEAD_GRACE (300 * GW_MILLISECOND)
/* Interval between two checks of a call whose answer makes progress. */
#define SILENCE_RECHECK_INTERVAL (300 * GW_MILLISECOND)

/* Pause between an entry's reads of the instances. For up to
 * ENTRY_PAUSE_MIN_ENTRIES entries it is ENTRY_PAUSE_MIN, a tenth of the
 * shortest bound (two seconds) within which a draining endpoint must get no
 * new requests. In larger fleets it grows with the number of entries, up to
 * the share ENTRY_PAUSE_MAX_SHARE of the bound. */
#define ENTRY_PAUSE_MIN (200 * GW_MILLISECOND)
#define ENTRY_PAUSE_MIN_ENTRIES 4
#define ENTRY_PAUSE_MAX_SHARE 0.5

/* Reads one list from the store. */
typedef struct {
    GwStoreReader *owner;
    GwList list;
    GwHttpCaller *http_call;
    GwTimer call_timer;    /* next call, or next check whether one is due */
    GwTimer silence_timer; /* next check for a silent connection */
    GwTimer reread_timer;  /* see restored_reread_delay_ */
    GString *request;
    char *page_after; /* in a full read, key after which the next page starts;
                         NULL: the next page is the first one */
    bool needs_full_read;    /* the next call reads the list in full */
    bool is_after_full_read; /* no other read has succeeded since the last full
                                read */
    bool is_after_restore;   /* this full read is the first one after a restore
                                of the store */
    int64_t era; /* in which the list was last read; -1: not read yet */
    int64_t full_read_end; /* end of the list according to the first page of
                              the full read */
    int64_t call_from;     /* start position of the call under way */
    GwLongPoll poll;
    GwTime call_wait_until;    /* until when the call under way may wait at the
                                  store; 0: it does not wait */
    int64_t behind_end;        /* end of our copy when a peer was ahead */
    GwTime behind_at;          /* when a peer was last ahead */
    GwTime full_read_at;       /* time of the request for its first page */
    bool is_waiting_for_peers; /* after the start, until peers have sent the
                                  list */
    unsigned silent_reopens; /* consecutive calls that were cancelled before a
                                byte of the answer was received */
    unsigned records_read;   /* since the current full read began */
    unsigned records_not_newer; /* of records_read, those not newer than the
                                   stored record */
} ListReader;

struct GwStoreReader {
    GwLoop *loop;
    GwStoreReaderOptions options;
    GwReadSchedule schedule;
    int64_t era; /* last era that the store reported; -1: none yet */
    ListReader list_readers[GW_LISTS];
};

static void start_reading_(ListReader *lr);
static void stop_waiting_for_peers_(ListReader *lr);
static void skip_full_read_(ListReader *lr);
static void check_schedule_(void *user);
static void send_call_(ListReader *lr);
static void on_call_done_(void *user, GwCallOutcome outcome, int status,
                          const char *body, size_t len);
static bool update_era_(ListReader *lr, int64_t era);
static void restart_other_calls_(GwStoreReader *r, const ListReader *current);
static bool adopt_era_(ListReader *lr);
static void restart_full_read_(ListReader *lr);
static GwTime restored_reread_delay_(const GwStoreReader *r);
static void on_reread_timer_(void *user);
static void on_records_expired_(ListReader *lr);
static void schedule_next_call_(ListReader *lr);
static void confirm_list_(ListReader *lr);
static bool apply_answer_(ListReader *lr, const char *body, size_t len,
                          GwError *err);
static void finish_full_read_(ListReader *lr);
static void on_record_(void *user, GwList list, const GwRecord *record);
static void log_unconfirmed_(const ListReader *lr);
static void log_list_read_(const ListReader *lr, int64_t known_end);
static void log_records_expired_(const ListReader *lr);
static void on_call_failed_(ListReader *lr, const char *why, int status);
static void on_call_answered_(ListReader *lr);
static void defer_removals_(GwStoreReader *r, const char *why, GwTime outage);
static void on_silence_timer_(void *user);
static void reopen_connection_(ListReader *lr, const char *why);

GwStoreReader *
GwStoreReader_New(GwLoop *loop, const GwStoreReaderOptions *options)
{
    GwStoreReader *r = g_new0(GwStoreReader, 1);

    r->loop = loop;
    r->options = *options;
    r->era = -1;
    GwReadSchedule_Init(&r->schedule, options->name, options->bound);
    GwReadSchedule_SetHeartbeatInterval(&r->schedule,
                                        options->heartbeat_interval);
    if (options->asks_peers_first)
        GwReadSchedule_WaitForPeers(&r->schedule, GwTime_Now(), options->rand);
    for (int i = 0; i < GW_LISTS; i++) {
        ListReader *lr = &r->list_readers[i];

        lr->owner = r;
        lr->list = (GwList)i;
        lr->needs_full_read = true;
        lr->era = -1;
        GwLongPoll_Init(&lr->poll, options->bound);
        lr->request = g_string_new(NULL);
        lr->http_call = GwHttpCaller_New(loop, &options->store);
        GwHttpCaller_UseIdleTimeout(lr->http_call);
        GwTimer_Init(&lr->call_timer, loop, check_schedule_, lr);
        GwTimer_Init(&lr->silence_timer, loop, on_silence_timer_, lr);
        GwTimer_Init(&lr->reread_timer, loop, on_reread_timer_, lr);
        start_reading_(lr);
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

        GwTimer_Stop(&lr->call_timer);
        GwTimer_Stop(&lr->silence_timer);
        GwTimer_Stop(&lr->reread_timer);
        GwHttpCaller_Delete(lr->http_call);
        g_string_free(lr->request, TRUE);
        g_free(lr->page_after);
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

        stop_waiting_for_peers_(lr);
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
            reopen_connection_(lr, "few_peers");
    }
}

void
GwStoreReader_NotePeerAhead(GwStoreReader *r, GwList list)
{
    ListReader *lr = &r->list_readers[list];

    if (!lr->poll.is_current || lr->silence_timer.place != NULL)
        return;
    lr->behind_end = GwRecords_End(GwView_Records(r->options.view), list);
    lr->behind_at = GwTime_Now();
    GwTimer_Start(&lr->silence_timer, PEER_AHEAD_GRACE);
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
    send_call_(lr);
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
}

GwTime
GwStoreReader_Age(const GwStoreReader *r, GwList list)
{
    return GwReadSchedule_Age(&r->schedule, list, GwTime_Now());
}

bool
GwStoreReader_WasStoreAvailable(const GwStoreReader *r, GwList list)
{
    return GwReadSchedule_WasStoreAvailable(&r->schedule, list, GwTime_Now());
}

GwReadState
GwStoreReader_ReadState(const GwStoreReader *r, GwList list)
{
    const ListReader *lr = &r->list_readers[list];

    return GwReadState_Of(
        GwHttpCaller_IsBusy(lr->http_call), lr->poll.failing_since != 0,
        GwHttpCaller_LastReceivedAt(lr->http_call), GwTime_Now());
}

static void
start_reading_(ListReader *lr)
{
    check_schedule_(lr);
    lr->is_waiting_for_peers = !GwHttpCaller_IsBusy(lr->http_call);
}

// Ends the start-up wait if peers have sent the list.
static void
stop_waiting_for_peers_(ListReader *lr)
{
    GwStoreReader *r = lr->owner;

    if (!lr->is_waiting_for_peers ||
        GwReadSchedule_IsWaitingForPeers(&r->schedule, lr->list, GwTime_Now()))
        return;
    lr->is_waiting_for_peers = false;
    GwTimer_Start(&lr->call_timer,
                  GwReadSchedule_DelayAfterStart(r->options.rand));
}

// If peers sent the complete list before this process has read anything, the
// first full read is skipped and reading continues at the list's end.
static void
skip_full_read_(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    int64_t end = GwRecords_End(GwView_Records(r->options.view), lr->list);

    if (lr->era >= 0 || end == 0 || GwStoreReader_Age(r, lr->list) < 0)
        return;
    lr->needs_full_read = false;
    lr->era = GwPosition_Era(end);
    r->era = MAX(r->era, lr->era);
}

static void
check_schedule_(void *user)
{
    ListReader *lr = user;
    GwStoreReader *r = lr->owner;
    GwTime pause = GwReadSchedule_Delay(&r->schedule, lr->list, GwTime_Now(),
                                        r->options.rand);

    lr->is_waiting_for_peers = false;
    if (pause == 0) {
        log_unconfirmed_(lr);
        send_call_(lr);
        return;
    }
    // Peers confirm the list, so there is no store outage after which removals
    // would have to be deferred.
    GwLongPoll_ResetFailures(&lr->poll);
    GwTimer_Start(&lr->call_timer, pause);
}

static void
send_call_(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    GwPollCall call;

    if (GwHttpCaller_IsBusy(lr->http_call))
        return;
    skip_full_read_(lr);
    // Records from peers may move the end of the list while this call waits.
    lr->call_from = GwRecords_End(GwView_Records(r->options.view), lr->list);
    call = GwLongPoll_Next(&lr->poll, lr->needs_full_read, r->options.rand);
    lr->call_wait_until = call.wait > 0 ? GwTime_Now() + call.wait : 0;
    g_string_truncate(lr->request, 0);
    if (!lr->needs_full_read)
        GwStore_EncodeRead(lr->list, GwPosition_Offset(lr->call_from),
                           (int)(call.wait / GW_MILLISECOND), lr->request);
    else {
        if (lr->page_after == NULL) {
            lr->full_read_at = GwTime_Now();
            lr->records_read = lr->records_not_newer = 0;
            GwRecords_BeginFullRead(GwView_Records(r->options.view), lr->list);
        }
        GwStore_EncodeFullRead(lr->list, lr->page_after, lr->request);
    }
    GwCounters_Add(r->options.counters, GW_COUNTER_STORE_CALLS, 1);
    GwHttpCaller_Send(lr->http_call, lr->request, call.timeout, on_call_done_,
                      lr);
}

static void
on_call_done_(void *user, GwCallOutcome outcome, int status, const char *body,
              size_t len)
{
    ListReader *lr = user;
    GwError err = {0};

    if (outcome != GW_CALL_ANSWERED) {
        on_call_failed_(lr, GwCallOutcome_Names[outcome], 0);
        return;
    }
    if (!update_era_(lr, GwStore_Era(GwHttpCaller_Head(lr->http_call)))) {
        on_call_failed_(lr, "older_era", status);
        return;
    }
    switch (GwStore_Verdict(status)) {
    case GW_STORE_OK:
        on_call_answered_(lr);
        if (!adopt_era_(lr))
            restart_full_read_(lr);
        else if (!apply_answer_(lr, body, len, &err))
            on_call_failed_(lr, err.message, status);
        else if (lr->needs_full_read && lr->page_after == NULL)
            on_records_expired_(lr);
        else {
            confirm_list_(lr);
            schedule_next_call_(lr);
        }
        return;
    case GW_STORE_EXPIRED:
        // Missed records have been deleted from the store, so only a full read
        // shows which records remain.
        on_call_answered_(lr);
        on_records_expired_(lr);
        return;
    default:
        on_call_failed_(lr, GwStoreVerdict_Names[GwStore_Verdict(status)],
                        status);
        return;
    }
}

static void
schedule_next_call_(ListReader *lr)
{
    const GwStoreReader *r = lr->owner;
    GwTime pause =
        lr->list == GW_LIST_INSTANCES ? r->options.instances_min_interval : 0;

    pause = GwReadSchedule_DelayAfterAnswer(
        &r->schedule, lr->is_after_full_read, pause, r->options.rand);
    if (!lr->needs_full_read && pause > 0)
        GwTimer_Start(&lr->call_timer, pause);
    else
        send_call_(lr);
}

// Records that the list is known to be complete: as of now after a read of
// changes, and as of the request for the first page after a full read.
static void
confirm_list_(ListReader *lr)
{
    if (!lr->needs_full_read)
        GwReadSchedule_Confirm(&lr->owner->schedule, lr->list,
                               lr->is_after_full_read ? lr->full_read_at
                                                      : GwTime_Now());
}

static bool
apply_answer_(ListReader *lr, const char *body, size_t len, GwError *err)
{
    GwRecords *records = GwView_Records(lr->owner->options.view);
    int64_t end = 0;
    char *page_after = NULL;

    if (!lr->needs_full_read) {
        int64_t next = GwPosition_Offset(lr->call_from);

        if (!GwStore_DecodeRead(body, len, lr->list, &next, on_record_, lr,
                                &end, err))
            return false;
        GwRecords_SetEnd(records, lr->list, GwPosition_Of(lr->era, next));
        lr->is_after_full_read = false;
        // Within an era the store keeps all acknowledged records, so an
        // earlier end means a different store with unrelated offsets.
        lr->needs_full_read = GwPosition_Of(lr->era, end) < lr->call_from;
        return true;
    }
    if (!GwStore_DecodeFullRead(body, len, lr->list, on_record_, lr, &end,
                                &page_after, err))
        return false;
    // Pages are not a snapshot: a record on an earlier page may have changed
    // since that page was sent. Reading therefore continues at the end given
    // with the first page, not with the last one.
    if (lr->page_after == NULL)
        lr->full_read_end = end;
    g_free(lr->page_after);
    lr->page_after = page_after;
    if (page_after == NULL)
        finish_full_read_(lr);
    return true;
}

static void
finish_full_read_(ListReader *lr)
{
    GwView *view = lr->owner->options.view;
    GwRecords *records = GwView_Records(view);

    log_list_read_(lr, GwRecords_End(records, lr->list));
    // Live endpoints that the restored copy lacks write their records again
    // shortly.
    if (lr->is_after_restore && lr->list == GW_LIST_INSTANCES)
        defer_removals_(lr->owner, "restore", 0);
    GwRecords_EndFullRead(records, lr->list,
                          GwPosition_Of(lr->era, lr->full_read_end));
    if (lr->is_after_restore && lr->records_not_newer > 0)
        GwTimer_Start(&lr->reread_timer, restored_reread_delay_(lr->owner));
    lr->is_after_restore = false;
    lr->is_after_full_read = true;
    lr->needs_full_read = false;
}

// Returns the delay before a restored list is read again. Until then, records
// of keys that were removed before the restore are ignored; by that time the
// records of departed endpoints have expired.
static GwTime
restored_reread_delay_(const GwStoreReader *r)
{
    GwTime interval = r->options.heartbeat_interval > 0
                          ? r->options.heartbeat_interval
                          : GW_HEARTBEAT_INTERVAL_DEFAULT;

    return EXPIRE_AFTER_INTERVALS * interval + REMOVAL_DELAY;
}

static void
on_record_(void *user, GwList list, const GwRecord *record)
{
    ListReader *lr = user;
    GwRecords *records = GwView_Records(lr->owner->options.view);
    GwRecord positioned = *record;
    bool is_newer;

    positioned.offset = GwPosition_Of(lr->era, record->offset);
    if (!lr->needs_full_read)
        is_newer = GwRecords_Apply(records, list, &positioned);
    else if (lr->is_after_restore)
        is_newer = GwRecords_ApplyRestored(records, list, &positioned);
    else
        is_newer = GwRecords_ApplyFullRead(records, list, &positioned);
    lr->records_read++;
    lr->records_not_newer += !is_newer;
}

// Returns false if the answer is from an earlier era than a previous one.
static bool
update_era_(ListReader *lr, int64_t era)
{
    GwStoreReader *r = lr->owner;
    int64_t before = r->era;

    // A store that was never restored may omit its era.
    if (era < 0)
        era = MAX(before, 0);
    if (era < before)
        return false;
    r->era = era;
    if (era == MAX(before, 0))
        return true;
    GwEvent_Begin(r->options.log, "store_era", NULL);
    GwEvent_Number(r->options.log, "era", era);
    GwEvent_Number(r->options.log, "before", before);
    GwEvent_End(r->options.log);
    if (before < 0)
        return true;
    restart_other_calls_(r, lr);
    return true;
}

// The waiting call for the other list may wait for an offset beyond the
// restored store's end.
static void
restart_other_calls_(GwStoreReader *r, const ListReader *current)
{
    for (int i = 0; i < GW_LISTS; i++) {
        ListReader *lr = &r->list_readers[i];

        if (lr == current || !GwHttpCaller_IsBusy(lr->http_call))
            continue;
        GwHttpCaller_Cancel(lr->http_call);
        restart_full_read_(lr);
    }
}

// Returns false if the request used an offset or page key of an earlier era.
// Otherwise sets the list reader's era to the store's.
static bool
adopt_era_(ListReader *lr)
{
    int64_t era = lr->owner->era;

    if (lr->era == era)
        return true;
    if (!lr->needs_full_read || lr->page_after != NULL)
        return false;
    lr->is_after_restore = lr->era >= 0;
    lr->era = era;
    return true;
}

static void
restart_full_read_(ListReader *lr)
{
    g_clear_pointer(&lr->page_after, g_free);
    lr->needs_full_read = true;
    send_call_(lr);
}

static void
on_reread_timer_(void *user)
{
    ListReader *lr = user;

    lr->needs_full_read = true;
    // After a failure the pause limits the load on the store and must not be
    // shortened.
    if (lr->poll.failures > 0)
        return;
    GwTimer_Stop(&lr->call_timer);
    GwHttpCaller_Cancel(lr->http_call);
    restart_full_read_(lr);
}

// Another full read right after the last one would have the same result, so it
// is delayed to limit the rate of calls.
static void
on_records_expired_(ListReader *lr)
{
    log_records_expired_(lr);
    lr->needs_full_read = true;
    if (lr->is_after_full_read && lr->era == lr->owner->era)
        GwTimer_Start(&lr->call_timer, EXPIRED_REREAD_DELAY);
    else
        send_call_(lr);
}

// Logs that a process that reads from peers must read the list itself, because
// none of its peers has confirmed the list recently.
static void
log_unconfirmed_(const ListReader *lr)
{
    const GwStoreReader *r = lr->owner;
    GwTime age = GwStoreReader_Age(r, lr->list);

    if (!GwReadSchedule_ReadsFromPeers(&r->schedule) || age < 0)
        return;
    GwCounters_Add(r->options.counters, GW_COUNTER_LISTS_UNCONFIRMED, 1);
    GwEvent_Begin(r->options.log, "list_unconfirmed", NULL);
    GwEvent_Text(r->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Time(r->options.log, "age_ms", age);
    GwEvent_End(r->options.log);
}

static void
log_list_read_(const ListReader *lr, int64_t known_end)
{
    GwEventLog *log = lr->owner->options.log;

    GwEvent_Begin(log, "list_read", NULL);
    GwEvent_Text(log, "list", GwList_Names[lr->list]);
    GwEvent_Number(log, "records", lr->records_read);
    GwEvent_Number(log, "older", lr->records_not_newer);
    GwEvent_Number(log, "end", lr->full_read_end);
    GwEvent_Number(log, "known_end", GwPosition_Offset(known_end));
    GwEvent_End(log);
}

static void
log_records_expired_(const ListReader *lr)
{
    GwEventLog *log = lr->owner->options.log;

    GwEvent_Begin(log, "records_expired", NULL);
    GwEvent_Text(log, "list", GwList_Names[lr->list]);
    GwEvent_Number(log, "from", GwPosition_Offset(lr->call_from));
    GwEvent_End(log);
}

static void
on_call_failed_(ListReader *lr, const char *why, int status)
{
    GwStoreReader *r = lr->owner;
    GwTime now = GwTime_Now();
    bool first = lr->poll.failing_since == 0;
    GwTime pause;

    GwCounters_Add(r->options.counters, GW_COUNTER_STORE_ERRORS, 1);
    // A full read restarts at its first page, because its pages must belong to
    // one pass.
    g_clear_pointer(&lr->page_after, g_free);
    pause = GwLongPoll_Failed(&lr->poll, now, r->options.rand);
    GwTimer_Start(&lr->call_timer, GwReadSchedule_DelayAfterFailure(
                                       &r->schedule, pause, r->options.rand));
    if (!first)
        return;
    GwEvent_Begin(r->options.log, "store_lost", NULL);
    GwEvent_Text(r->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Text(r->options.log, "why", why);
    GwEvent_Number(r->options.log, "status", status);
    GwEvent_End(r->options.log);
}

static void
on_call_answered_(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    GwTime now = GwTime_Now();
    GwTime since = GwLongPoll_Answered(&lr->poll);

    lr->silent_reopens = 0;
    if (since == 0)
        return;
    GwEvent_Begin(r->options.log, "store_regained", NULL);
    GwEvent_Text(r->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Time(r->options.log, "away_ms", now - since);
    GwEvent_End(r->options.log);
    // The store's return is noticed at most about one call late, because the
    // calls during an outage are short. Removals in this answer may therefore
    // be of records that expired during the outage; later removals are not.
    // Nor are any if the store answered peers meanwhile.
    if (lr->list == GW_LIST_INSTANCES && now - since > HARMLESS_OUTAGE_MAX &&
        !GwStoreReader_WasStoreAvailable(r, lr->list))
        defer_removals_(r, "outage", now - since);
}

// Defers the removals of the next REMOVAL_DEFERRAL_WINDOW. @p outage: the
// duration of the store outage that is the reason.
static void
defer_removals_(GwStoreReader *r, const char *why, GwTime outage)
{
    GwEventLog *log = r->options.log;
    GwTime now = GwTime_Now();

    GwEvent_Begin(log, "removals_deferred", NULL);
    GwEvent_Text(log, "why", why);
    GwEvent_Time(log, "away_ms", outage);
    GwEvent_Time(log, "confirmed_ms", GwStoreReader_Age(r, GW_LIST_INSTANCES));
    GwEvent_End(log);
    GwInstances_DeferRemovals(GwView_Instances(r->options.view),
                              now + REMOVAL_DEFERRAL_WINDOW,
                              now + REMOVAL_DEFERRAL_TERM);
}

static void
on_silence_timer_(void *user)
{
    ListReader *lr = user;
    GwRecords *records = GwView_Records(lr->owner->options.view);
    GwTime last_byte_at = GwHttpCaller_LastReceivedAt(lr->http_call);
    GwTime since = MAX(last_byte_at, lr->behind_at);
    GwTime silence_limit =
        GwReadState_SilenceTimeout(last_byte_at > 0, lr->silent_reopens);

    // Between two calls there is no connection that could have failed
    // silently.
    if (!GwHttpCaller_IsBusy(lr->http_call) ||
        GwRecords_End(records, lr->list) != lr->behind_end) {
        lr->silent_reopens = 0;
        return;
    }
    // A large answer on a slow link makes progress; if it were cancelled it
    // would restart from its beginning.
    if (GwTime_Now() - since < silence_limit)
        GwTimer_Start(&lr->silence_timer, SILENCE_RECHECK_INTERVAL);
    else
        reopen_connection_(lr, "peers_ahead");
}

static void
reopen_connection_(ListReader *lr, const char *why)
{
    GwEvent_Begin(lr->owner->options.log, "store_silent", NULL);
    GwEvent_Text(lr->owner->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Text(lr->owner->options.log, "why", why);
    GwEvent_Number(lr->owner->options.log, "received",
                   (int64_t)GwHttpCaller_Received(lr->http_call));
    GwEvent_End(lr->owner->options.log);
    lr->silent_reopens =
        GwHttpCaller_Received(lr->http_call) > 0 ? 0 : lr->silent_reopens + 1;
    GwHttpCaller_Cancel(lr->http_call);
    GwLongPoll_AssumeLost(&lr->poll);
    send_call_(lr);
}
