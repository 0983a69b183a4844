#include "store_reader_silence.h"

#include "galenagw/cluster/fetch.h"
#include "store_reader_calls.h"

/* Time for which a peer may be ahead before the call under way is checked: a
 * peer may receive a change one round trip earlier. */
#define PEER_AHEAD_GRACE (300 * GW_MILLISECOND)
/* Interval between two checks of a call whose answer makes progress. */
#define SILENCE_RECHECK_INTERVAL (300 * GW_MILLISECOND)

static void on_silence_timer_(void *user);

void
GwStoreReaderSilence_Init(ListReader *lr)
{
    GwTimer_Init(&lr->silence_timer, lr->owner->loop, on_silence_timer_, lr);
}

void
GwStoreReaderSilence_Release(ListReader *lr)
{
    GwTimer_Stop(&lr->silence_timer);
}

void
GwStoreReaderSilence_NotePeerAhead(ListReader *lr)
{
    const GwStoreReader *r = lr->owner;

    if (!lr->poll.is_current || lr->silence_timer.place != NULL)
        return;
    lr->behind_end = GwRecords_End(GwView_Records(r->options.view), lr->list);
    lr->behind_at = GwTime_Now();
    GwTimer_Start(&lr->silence_timer, PEER_AHEAD_GRACE);
}

void
GwStoreReaderSilence_Reopen(ListReader *lr, const char *why)
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
    GwStoreReaderCalls_Send(lr);
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
        GwStoreReaderSilence_Reopen(lr, "peers_ahead");
}
