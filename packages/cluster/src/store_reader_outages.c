#include "store_reader_outages.h"

/* Removals are deferred until so long after the store's return. By the
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
        !GwReadSchedule_WasStoreAvailable(&r->schedule, lr->list, now))
        GwStoreReaderOutages_DeferRemovals(r, "outage", now - since);
}

void
GwStoreReaderOutages_DeferRemovals(GwStoreReader *r, const char *why,
                                   GwTime outage)
{
    GwEventLog *log = r->options.log;
    GwTime now = GwTime_Now();

    GwEvent_Begin(log, "removals_deferred", NULL);
    GwEvent_Text(log, "why", why);
    GwEvent_Time(log, "away_ms", outage);
    GwEvent_Time(log, "confirmed_ms",
                 GwReadSchedule_Age(&r->schedule, GW_LIST_INSTANCES, now));
    GwEvent_End(log);
    GwInstances_DeferRemovals(GwView_Instances(r->options.view),
                              now + REMOVAL_DEFERRAL_WINDOW,
                              now + REMOVAL_DEFERRAL_TERM);
}
