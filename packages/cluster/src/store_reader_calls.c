#include "store_reader_calls.h"

#include "galenagw/adapter/store.h"
#include "store_reader_answers.h"
#include "store_reader_outages.h"

/* Delay before a list is read in full again if a read expires right after a
 * full read. */
#define EXPIRED_REREAD_DELAY (500 * GW_MILLISECOND)

static void check_schedule_(void *user);
static void skip_full_read_(ListReader *lr);
static void on_call_done_(void *user, GwCallOutcome outcome, int status,
                          const char *body, size_t len);
static void schedule_next_call_(ListReader *lr);
static void confirm_list_(ListReader *lr);
static bool update_era_(ListReader *lr, int64_t era);
static void restart_other_calls_(GwStoreReader *r, const ListReader *current);
static bool adopt_era_(ListReader *lr);
static void restart_full_read_(ListReader *lr);
static void on_reread_timer_(void *user);
static void on_records_expired_(ListReader *lr);
static void log_unconfirmed_(const ListReader *lr);
static void log_records_expired_(const ListReader *lr);

void
GwStoreReaderCalls_Init(ListReader *lr)
{
    GwStoreReader *r = lr->owner;

    lr->needs_full_read = true;
    lr->era = -1;
    GwLongPoll_Init(&lr->poll, r->options.bound);
    lr->request = g_string_new(NULL);
    lr->http_call = GwHttpCaller_New(r->loop, &r->options.store);
    GwHttpCaller_UseIdleTimeout(lr->http_call);
    GwTimer_Init(&lr->call_timer, r->loop, check_schedule_, lr);
    GwTimer_Init(&lr->reread_timer, r->loop, on_reread_timer_, lr);
}

void
GwStoreReaderCalls_Release(ListReader *lr)
{
    GwTimer_Stop(&lr->call_timer);
    GwTimer_Stop(&lr->reread_timer);
    GwHttpCaller_Delete(lr->http_call);
    g_string_free(lr->request, TRUE);
    g_free(lr->page_after);
}

void
GwStoreReaderCalls_Start(ListReader *lr)
{
    check_schedule_(lr);
    lr->is_waiting_for_peers = !GwHttpCaller_IsBusy(lr->http_call);
}

void
GwStoreReaderCalls_StopWaitingForPeers(ListReader *lr)
{
    GwStoreReader *r = lr->owner;

    if (!lr->is_waiting_for_peers ||
        GwReadSchedule_IsWaitingForPeers(&r->schedule, lr->list, GwTime_Now()))
        return;
    lr->is_waiting_for_peers = false;
    GwTimer_Start(&lr->call_timer,
                  GwReadSchedule_DelayAfterStart(r->options.rand));
}

void
GwStoreReaderCalls_Send(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    GwPollCall call;

    if (GwHttpCaller_IsBusy(lr->http_call))
        return;
    skip_full_read_(lr);
    // Records from peers may move the end of the list while this call waits.
    lr->call_from = GwRecords_End(GwView_Records(r->options.view), lr->list);
    call = GwLongPoll_Next(&lr->poll, lr->needs_full_read, r->options.rand);
    lr->call_sent_at = GwTime_Now();
    lr->call_wait_until = call.wait > 0 ? lr->call_sent_at + call.wait : 0;
    g_string_truncate(lr->request, 0);
    if (!lr->needs_full_read)
        GwStore_EncodeRead(lr->list, GwPosition_Offset(lr->call_from),
                           (int)(call.wait / GW_MILLISECOND), lr->request);
    else {
        if (lr->page_after == NULL) {
            lr->full_read_at = lr->call_sent_at;
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
check_schedule_(void *user)
{
    ListReader *lr = user;
    GwStoreReader *r = lr->owner;
    GwTime pause = GwReadSchedule_Delay(&r->schedule, lr->list, GwTime_Now(),
                                        r->options.rand);

    lr->is_waiting_for_peers = false;
    if (pause == 0) {
        log_unconfirmed_(lr);
        GwStoreReaderCalls_Send(lr);
        return;
    }
    // Peers confirm the list, so there is no store outage after which removals
    // would have to be deferred.
    GwLongPoll_ResetFailures(&lr->poll);
    GwTimer_Start(&lr->call_timer, pause);
}

// If peers sent the complete list before this process has read anything, the
// first full read is skipped and reading continues at the list's end.
static void
skip_full_read_(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    int64_t end = GwRecords_End(GwView_Records(r->options.view), lr->list);

    if (lr->era >= 0 || end == 0 ||
        GwReadSchedule_Age(&r->schedule, lr->list, GwTime_Now()) < 0)
        return;
    lr->needs_full_read = false;
    lr->era = GwPosition_Era(end);
    r->era = MAX(r->era, lr->era);
}

static void
on_call_done_(void *user, GwCallOutcome outcome, int status, const char *body,
              size_t len)
{
    ListReader *lr = user;
    GwError err = {0};

    if (outcome != GW_CALL_ANSWERED) {
        GwStoreReaderOutages_OnCallFailed(lr, GwCallOutcome_Names[outcome], 0);
        return;
    }
    if (!update_era_(lr, GwStore_Era(GwHttpCaller_Head(lr->http_call)))) {
        GwStoreReaderOutages_OnCallFailed(lr, "older_era", status);
        return;
    }
    switch (GwStore_Verdict(status)) {
    case GW_STORE_OK:
        GwStoreReaderOutages_OnCallAnswered(lr);
        if (!adopt_era_(lr))
            restart_full_read_(lr);
        else if (!GwStoreReaderAnswers_Apply(lr, body, len, &err))
            GwStoreReaderOutages_OnCallFailed(lr, err.message, status);
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
        GwStoreReaderOutages_OnCallAnswered(lr);
        on_records_expired_(lr);
        return;
    default:
        GwStoreReaderOutages_OnCallFailed(
            lr, GwStoreVerdict_Names[GwStore_Verdict(status)], status);
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
        GwStoreReaderCalls_Send(lr);
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
    GwStoreReaderCalls_Send(lr);
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
        GwStoreReaderCalls_Send(lr);
}

// Logs that a process that reads from peers must read the list itself, because
// none of its peers has confirmed the list recently.
static void
log_unconfirmed_(const ListReader *lr)
{
    const GwStoreReader *r = lr->owner;
    GwTime age = GwReadSchedule_Age(&r->schedule, lr->list, GwTime_Now());

    if (!GwReadSchedule_ReadsFromPeers(&r->schedule) || age < 0)
        return;
    GwCounters_Add(r->options.counters, GW_COUNTER_LISTS_UNCONFIRMED, 1);
    GwEvent_Begin(r->options.log, "list_unconfirmed", NULL);
    GwEvent_Text(r->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Time(r->options.log, "age_ms", age);
    GwEvent_End(r->options.log);
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
