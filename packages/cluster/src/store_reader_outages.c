#include "store_reader_outages.h"

/* Removals are deferred until so long after the store's first answer. By the
 * platform's specification, endpoints whose records expired during an outage
 * write them again within about two seconds of the store's return; half a
 * second covers this process's delay. */
#define REMOVAL_DEFERRAL_TERM (2500 * GW_MILLISECOND)
/* Only removals read within this time of the store's return are deferred. A
 * record that is removed later has not expired during the outage: the endpoint
 * has left and must get no more requests. */
#define REMOVAL_DEFERRAL_WINDOW (500 * GW_MILLISECOND)
/* No record expires during outages up to this length. */
#define HARMLESS_OUTAGE_MAX (1 * GW_SECOND)
/* Allowance for the timers that apply deferred removals, and for requests that
 * are on their way. */
#define APPLY_DELAY (200 * GW_MILLISECOND)

static GwTime deferral_end_(const ListReader *lr, GwTime now);

void
GwStoreReaderOutages_OnCallFailed(ListReader *lr, const char *why, int status)
{
    GwStoreReader *r = lr->owner;
    GwTime now = GwTime_Now();
    bool first = lr->poll.failing_since == 0;
    GwTime pause;

    GwCounters_Add(r->options.counters, GW_COUNTER_STORE_ERRORS, 1);
    // A full read restarts at its first page, because its pages must belong to
    // one pass.
    g_clear_pointer(&lr->page_after, g_free);
    lr->failed_call_sent_at = lr->call_sent_at;
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

void
GwStoreReaderOutages_OnCallAnswered(ListReader *lr)
{
    GwStoreReader *r = lr->owner;
    GwTime now = GwTime_Now();
    GwTime since = GwLongPoll_Answered(&lr->poll);

    lr->silent_reopens = 0;
    if (since == 0) {
        if (!lr->needs_full_read)
            lr->failed_call_sent_at = 0;
        return;
    }
    GwEvent_Begin(r->options.log, "store_regained", NULL);
    GwEvent_Text(r->options.log, "list", GwList_Names[lr->list]);
    GwEvent_Time(r->options.log, "away_ms", now - since);
    GwEvent_End(r->options.log);
    // The store's return is noticed at most about one call late, because the
    // calls during an outage are short. Removals in this answer may therefore
    // be of records that expired during the outage; later removals are not.
    // Nor are any if the store answered peers meanwhile.
    if (lr->list == GW_LIST_INSTANCES && now - since > HARMLESS_OUTAGE_MAX &&
        !GwReadSchedule_WasStoreAvailable(&r->schedule, lr->list, now))
        r->outage_deferral_until =
            GwStoreReaderOutages_DeferRemovals(r, "outage", now - since);
}

GwTime
GwStoreReaderOutages_DeferRemovals(GwStoreReader *r, const char *why,
                                   GwTime outage)
{
    GwEventLog *log = r->options.log;
    GwTime now = GwTime_Now();
    GwTime until = deferral_end_(&r->list_readers[GW_LIST_INSTANCES], now);

    GwEvent_Begin(log, "removals_deferred", NULL);
    GwEvent_Text(log, "why", why);
    GwEvent_Time(log, "away_ms", outage);
    GwEvent_Time(log, "for_ms", until - now);
    GwEvent_Time(log, "confirmed_ms",
                 GwReadSchedule_Age(&r->schedule, GW_LIST_INSTANCES, now));
    GwEvent_End(log);
    GwInstances_DeferRemovals(GwView_Instances(r->options.view),
                              now + REMOVAL_DEFERRAL_WINDOW, until);
    return until;
}

void
GwStoreReaderOutages_OnPeerAvailable(GwStoreReader *r)
{
    GwTime now = GwTime_Now();

    if (now >= r->outage_deferral_until ||
        !GwReadSchedule_WasStoreAvailable(&r->schedule, GW_LIST_INSTANCES,
                                          now))
        return;
    r->outage_deferral_until = 0;
    GwEvent_Begin(r->options.log, "removals_due", NULL);
    GwEvent_Text(r->options.log, "why", "store_answered_peers");
    GwEvent_End(r->options.log);
    GwInstances_EndDeferral(GwView_Instances(r->options.view), now);
}

// A lost call does not show whether the store was away or only this process.
// In the second case endpoints may have departed at any time, and this process
// may have been connected again since the last lost call was sent. From then
// on the bound of a reconnected process runs, not from the first answer.
static GwTime
deferral_end_(const ListReader *lr, GwTime now)
{
    GwTime bound = lr->owner->options.reconnect_bound;
    GwTime until = now + REMOVAL_DEFERRAL_TERM;

    if (lr->failed_call_sent_at == 0)
        return until;
    return MIN(until, lr->failed_call_sent_at + bound - APPLY_DELAY);
}
