/* Outdated weights, while engines are away and all processes restart. */
#include "faults.h"

/* Slowness of the engines, and the factor by which their queues grow. */
static const double kMinSlowness = 1, kMaxSlowness = 3;
static const double kLateOrderShare = 0.5, kEndlessShare = 0.05;
/* The version is named this long after the first engines went away. */
static const GwTime kNamedAfter = 300 * GW_MILLISECOND;
/* All processes restart this long before or after the bound of the version. */
static const GwTime kMaxRestartOffset = GW_SECOND;
/* Time after the restart at which the engines return: the processes are in
 * touch again, and their bound, if counted anew, has not passed. */
static const GwTime kMinReturnDelay = 2500 * GW_MILLISECOND;
static const GwTime kMaxReturnDelay = 5 * GW_SECOND;
/* Percentage of the engines that are away when the version is named. */
static const GwTime kAwayPercent = 40;

void
Faults::StartWeights()
{
    Platform *p = options_.platform;
    GwTime restart_at =
        p->weights_bound +
        DrawFrom(&weights_random_, -kMaxRestartOffset, kMaxRestartOffset);
    bool restarts_twice = DrawFrom(&weights_random_, 0, 1) == 0;

    log_("weights become outdated");
    p->has_load = true;
    for (auto &e : p->endpoints) {
        if (!e->is_engine)
            continue;
        VaryEngine(e.get());
        if (!e->is_running ||
            DrawFrom(&weights_random_, 1, 100) > kAwayPercent)
            continue;
        log_(e->id + " goes away");
        e->proxy->fault_history.BeginFault();
        e->Crash();
        e->proxy->fault_history.EndFault();
        ScheduleAction(restart_at + DrawFrom(&weights_random_, kMinReturnDelay,
                                             kMaxReturnDelay),
                       [this, engine = e.get()] {
                           log_("return of " + engine->id);
                           engine->Restart();
                       });
    }
    ScheduleAction(kNamedAfter, [this, p] {
        log_("release weights");
        p->ReleaseWeights();
    });
    ScheduleAction(restart_at, [this] { RestartAllProcesses(); });
    if (restarts_twice)
        ScheduleAction(restart_at + kMinReturnDelay,
                       [this] { RestartAllProcesses(); });
}

void
Faults::VaryEngine(Endpoint *e)
{
    static const HeadTime head_times[] = {HeadTime::kWithFirstToken,
                                          HeadTime::kAtOnce,
                                          HeadTime::kAtOnceWithComment};

    e->head_time = head_times[DrawFrom(&weights_random_, 0, 2)];
    e->prefills.keeps_closed = DrawFrom(&weights_random_, 0, 1) == 0;
    e->prefills.slowness = std::uniform_real_distribution<double>(
        kMinSlowness, kMaxSlowness)(weights_random_);
    if (DrawFrom(&weights_random_, 0, 2) == 0)
        e->late_order_share = kLateOrderShare;
    if (DrawFrom(&weights_random_, 0, 2) == 0)
        e->endless_share = kEndlessShare;
    // EndAll ends it.
    ScheduleAction(kWeightsPhaseTime * 2, [e] {
        e->head_time = HeadTime::kWithFirstToken;
        e->prefills.keeps_closed = false;
        e->late_order_share = e->endless_share = 0;
    });
}

void
Faults::RestartAllProcesses()
{
    log_("all processes restart");
    for (auto &g : *options_.gateways)
        KillProcess(g->process.get());
    for (auto &s : *options_.sidecars)
        KillProcess(s.get());
}
