/* Engines that fail most requests, while processes are lost in series. */
#include "faults.h"

/* Share of the engines that fail, and of the requests that each of them fails.
 */
static const int kFailingPercent = 80;
static const double kFailingShare = 0.9;
/* Time between two losses: several in the window of the retry budget. */
static const GwTime kMinLossInterval = 500 * GW_MILLISECOND;
static const GwTime kMaxLossInterval = 2500 * GW_MILLISECOND;
static const GwTime kMinSuspension = 300 * GW_MILLISECOND;
static const GwTime kMaxSuspension = 4 * GW_SECOND;
/* Percentage of the processes that a loss of some of them hits. */
static const int kLostPercent = 40;

void
Faults::StartRetries()
{
    log_("engines fail most requests");
    for (auto &e : options_.platform->endpoints) {
        if (e->is_engine && DrawFrom(&retry_random_, 1, 100) < kFailingPercent)
            FailRequests(e.get());
    }
    OnRetryTimer(this);
}

void
Faults::FailRequests(Endpoint *e)
{
    FaultHistory *history = &e->proxy->fault_history;
    double *share =
        (double *[]){&e->error_share, &e->reset_share,
                     &e->overload_share}[DrawFrom(&retry_random_, 0, 2)];

    history->BeginFault();
    *share = kFailingShare;
    // EndAll ends it.
    ScheduleAction(kRetryPhaseTime * 2, [share, history] {
        *share = 0;
        history->EndFault();
    });
}

void
Faults::OnRetryTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    f->LoseProcesses();
    GwTimer_Start(
        &f->retry_timer_,
        DrawFrom(&f->retry_random_, kMinLossInterval, kMaxLossInterval));
}

void
Faults::LoseProcesses()
{
    GwTime draw = DrawFrom(&retry_random_, 0, 9);
    bool all = draw < 3;

    for (auto &g : *options_.gateways) {
        Process *process = g->process.get();

        if (!all && DrawFrom(&retry_random_, 1, 100) > kLostPercent)
            continue;
        if (draw < 7)
            KillProcess(process);
        else if (process->IsRunning() && !process->IsStopping())
            SuspendProcess(process, DrawFrom(&retry_random_, kMinSuspension,
                                             kMaxSuspension));
    }
    if (draw == 9)
        KillSidecars();
}
