#include "faults.h"

#include <signal.h>

#include <utility>

/* Time between the starts of two faults, and the duration of a fault. Most
 * faults last longer than the interval, so that they overlap. */
static const GwTime kMinFaultInterval = 50 * GW_MILLISECOND;
static const GwTime kMaxFaultInterval = 700 * GW_MILLISECOND;
static const GwTime kMinFaultTime = 200 * GW_MILLISECOND;
static const GwTime kMaxFaultTime = 2500 * GW_MILLISECOND;
/* An endpoint that announced its departure refuses new connections after
 * kRefuseConnectionsDelay, which is longer than gateways need to receive the
 * announcement and shorter than the longest streams. The endpoint terminates
 * after kDrainTime, when these streams have ended. */
static const GwTime kRefuseConnectionsDelay = 1200 * GW_MILLISECOND;
static const GwTime kDrainTime = 3500 * GW_MILLISECOND;
/* Time until restored rows of stopped endpoints expire: three heartbeat
 * intervals. */
static const GwTime kStaleRowLifetime = 3600 * GW_MILLISECOND;
/* Drain time of an endpoint that announces its departure only in its answers:
 * two seconds longer than it may receive requests after the first such
 * answer. */
static const GwTime kAnswerOnlyDrainTime = 4500 * GW_MILLISECOND;

/* Rate limits of endpoints, in requests per second, and their duration, which
 * is longer than any phase, so that EndAll ends them. */
static const double kMinEndpointRate = 0.5;
static const double kMaxEndpointRate = 8;
static const GwTime kEndpointLimitTime = 30 * GW_SECOND;

/* How long endpoints stall around the stop of a gateway, the share of their
 * requests that then get no answer, and the time until the stop. */
static const GwTime kStallTime = 3 * GW_SECOND;
static const double kStalledShare = 0.5;
static const GwTime kMaxStopDelay = 300 * GW_MILLISECOND;

Faults::Faults(const FaultOptions &options,
               std::function<void(const std::string &)> log)
    : options_(options), log_(std::move(log)), random_(options.seed),
      restore_random_(~options.seed), limit_random_(options.seed + 1),
      departure_random_(options.seed + 2), stream_random_(options.seed + 3),
      load_random_(options.seed + 4), retry_random_(options.seed + 5),
      weights_random_(options.seed + 6), stop_random_(options.seed + 7)
{
    GwTimer_Init(&next_fault_timer_, options.platform->loop, OnNextFaultTimer,
                 this);
    GwTimer_Init(&planned_work_timer_, options.platform->loop,
                 OnPlannedWorkTimer, this);
    GwTimer_Init(&departure_timer_, options.platform->loop, OnDepartureTimer,
                 this);
    GwTimer_Init(&software_timer_, options.platform->loop, OnSoftwareTimer,
                 this);
    GwTimer_Init(&version_timer_, options.platform->loop, OnVersionTimer,
                 this);
    GwTimer_Init(&load_timer_, options.platform->loop, OnLoadTimer, this);
    GwTimer_Init(&retry_timer_, options.platform->loop, OnRetryTimer, this);
}

Faults::~Faults()
{
    EndAll();
}

void
Faults::StartRandomFaults()
{
    OnNextFaultTimer(this);
    BreakStreams();
    if (options_.limits)
        LimitEndpoints(false);
    if (!options_.restores)
        return;
    if (!has_backup_)
        FakeStore_Backup(options_.platform->store);
    else
        ScheduleAction(std::uniform_int_distribution<GwTime>(
                           kMinFaultTime, kMaxFaultTime)(restore_random_),
                       [this] { RestoreStore(); });
    has_backup_ = true;
}

void
Faults::EndAll()
{
    GwTimer_Stop(&next_fault_timer_);
    GwTimer_Stop(&planned_work_timer_);
    GwTimer_Stop(&departure_timer_);
    GwTimer_Stop(&software_timer_);
    GwTimer_Stop(&retry_timer_);
    EndLoad();
    while (!scheduled_actions_.empty())
        RunAction(scheduled_actions_.front().get());
}

void
Faults::StartPlannedWork()
{
    if (options_.limits)
        LimitEndpoints(false);
    OnPlannedWorkTimer(this);
}

GwTime
Faults::DrawFrom(std::mt19937_64 *random, GwTime least, GwTime most)
{
    return std::uniform_int_distribution<GwTime>(least, most)(*random);
}

GwTime
Faults::Draw(GwTime least, GwTime most)
{
    return DrawFrom(&random_, least, most);
}

void
Faults::OnNextFaultTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    f->InjectFault();
    GwTimer_Start(&f->next_fault_timer_,
                  f->Draw(kMinFaultInterval, kMaxFaultInterval));
}

void
Faults::OnActionTimer(void *user)
{
    ScheduledAction *scheduled = static_cast<ScheduledAction *>(user);

    scheduled->faults->RunAction(scheduled);
}

void
Faults::ScheduleAction(GwTime time, std::function<void()> action)
{
    auto scheduled = std::make_unique<ScheduledAction>();

    scheduled->faults = this;
    scheduled->action = std::move(action);
    GwTimer_Init(&scheduled->timer, options_.platform->loop, OnActionTimer,
                 scheduled.get());
    GwTimer_Start(&scheduled->timer, time);
    scheduled_actions_.push_back(std::move(scheduled));
}

void
Faults::RunAction(ScheduledAction *scheduled)
{
    std::function<void()> action = std::move(scheduled->action);

    GwTimer_Stop(&scheduled->timer);
    scheduled_actions_.remove_if(
        [&](const std::unique_ptr<ScheduledAction> &a) {
            return a.get() == scheduled;
        });
    action();
}

Process *
Faults::RandomProcess(std::mt19937_64 *random)
{
    size_t n = options_.gateways->size();
    size_t i = (size_t)DrawFrom(random, 0,
                                (GwTime)(n + options_.sidecars->size()) - 1);

    return i < n ? (*options_.gateways)[i]->process.get()
                 : (*options_.sidecars)[i - n].get();
}

Endpoint *
Faults::RandomEndpoint(std::mt19937_64 *random)
{
    auto &all = options_.platform->endpoints;

    return all[(size_t)DrawFrom(random, 0, (GwTime)all.size() - 1)].get();
}

Proxy *
Faults::RandomProxy()
{
    switch (Draw(0, 2)) {
    case 0:
        return RandomEndpoint(&random_)->proxy.get();
    case 1:
        return (*options_
                     .gateways)[(size_t)Draw(
                                    0, (GwTime)options_.gateways->size() - 1)]
            ->caller_proxy.get();
    default:
        return (*options_.store_proxies)
            [(size_t)Draw(0, (GwTime)options_.store_proxies->size() - 1)]
                .get();
    }
}

void
Faults::InjectFault()
{
    GwTime draw = Draw(0, 99);

    if (draw < 25)
        InjectProcessFault(RandomProcess(&random_));
    else if (draw < 28)
        KillProcesses();
    else if (draw < 60)
        InjectProxyFault(RandomProxy());
    else if (draw < 80)
        InjectEndpointFault(RandomEndpoint(&random_));
    else if (draw < 88)
        InjectStoreFault();
    else if (draw < 94)
        options_.platform->WriteNewConfig();
    else if (draw < 97)
        options_.platform->ReleaseWeights();
    else
        WriteInvalidRow(RandomEndpoint(&random_));
}

// The endpoint's next heartbeat overwrites an invalid row under its own id. A
// row under another key is removed.
void
Faults::WriteInvalidRow(Endpoint *e)
{
    std::string key = e->WriteInvalidRow();

    log_("invalid row under " + key);
    ScheduleAction(kMinFaultTime, [e, key] {
        if (key != e->id)
            e->RemoveRow(key);
        else if (e->is_running)
            e->WriteRow();
    });
}

void
Faults::InjectProcessFault(Process *process)
{
    GwTime time = Draw(kMinFaultTime, kMaxFaultTime);

    if (!process->IsRunning() || process->IsStopping())
        return;
    switch (Draw(0, 3)) {
    case 0:
        SuspendProcess(process, time);
        return;
    case 1:
        log_("kill " + process->name);
        process->fault_history.BeginFault();
        process->Kill();
        ScheduleAction(time, [process] { process->fault_history.EndFault(); });
        return;
    case 2:
        log_("stop " + process->name);
        process->fault_history.BeginFault();
        process->Stop();
        ScheduleAction(time, [process] { process->fault_history.EndFault(); });
        return;
    default:
        log_("reload " + process->name);
        process->Signal(SIGHUP);
    }
}

void
Faults::KillProcesses()
{
    bool all = Draw(0, 1) == 0;

    log_(all ? "kill all processes" : "kill all gateways");
    for (auto &g : *options_.gateways) {
        g->process->fault_history.BeginFault();
        g->process->Kill();
    }
    for (auto &s : *options_.sidecars) {
        if (all)
            s->Kill();
    }
    ScheduleAction(kMinFaultTime, [this] {
        for (auto &g : *options_.gateways)
            g->process->fault_history.EndFault();
    });
}

void
Faults::InjectProxyFault(Proxy *proxy)
{
    GwTime draw = Draw(0, 4);
    bool forward = Draw(0, 1) == 0;
    GwTime time = Draw(kMinFaultTime, kMaxFaultTime);

    log_(std::string((const char *[]){"delay", "cut", "cut one direction of",
                                      "stall open connections of",
                                      "reset"}[draw]) +
         " " + proxy->address.host + ":" +
         std::to_string(proxy->address.port));
    proxy->fault_history.BeginFault();
    if (draw == 0)
        proxy->SetDelay(Draw(GW_MILLISECOND, 150 * GW_MILLISECOND));
    else if (draw <= 2)
        proxy->SetCut(draw == 1 || forward, draw == 1 || !forward);
    else if (draw == 3)
        proxy->StallOpenConnections();
    else
        proxy->ResetAll();
    ScheduleAction(draw <= 2 ? time : kMinFaultTime, [proxy, draw] {
        if (draw == 0)
            proxy->SetDelay(0);
        else if (draw <= 2)
            proxy->SetCut(false, false);
        proxy->fault_history.EndFault();
    });
}

void
Faults::InjectEndpointFault(Endpoint *e)
{
    GwTime time = Draw(kMinFaultTime, kMaxFaultTime);
    FaultHistory *history = &e->proxy->fault_history;
    GwTime draw = Draw(0, 4);
    double *share_field =
        (double *[]){&e->error_share, &e->reset_share, &e->overload_share,
                     &e->invalid_header_share}[draw % 4];

    if (!e->is_running)
        return;
    log_(
        std::string((const char *[]){"errors of", "resets of", "overload of",
                                     "invalid headers of", "crash of"}[draw]) +
        " " + e->id);
    history->BeginFault();
    if (draw == 4) {
        e->Crash();
        ScheduleAction(time, [e, history] {
            e->Restart();
            history->EndFault();
        });
        return;
    }
    *share_field = 0.4;
    ScheduleAction(time, [share_field, history] {
        *share_field = 0;
        history->EndFault();
    });
}

void
Faults::InjectStoreFault()
{
    static const struct {
        const char *what;
        void (*begin)(FakeStore *store);
        void (*end)(FakeStore *store);
    } store_faults[] = {
        {"store does not answer",
         [](FakeStore *s) { FakeStore_SetSilent(s, true); },
         [](FakeStore *s) { FakeStore_SetSilent(s, false); }},
        {"store loses answers",
         [](FakeStore *s) { FakeStore_SetMute(s, true); },
         [](FakeStore *s) { FakeStore_SetMute(s, false); }},
        {"store is slow",
         [](FakeStore *s) { FakeStore_SetDelay(s, kSlowStoreDelay); },
         [](FakeStore *s) { FakeStore_SetDelay(s, 0); }},
        {"store answers 503", [](FakeStore *s) { FakeStore_Refuse(s, 503); },
         [](FakeStore *s) { FakeStore_Refuse(s, 0); }},
        {"store drops its history", [](FakeStore *s) { FakeStore_Compact(s); },
         [](FakeStore *) {}},
    };
    Platform *p = options_.platform;
    auto &fault = store_faults[Draw(0, G_N_ELEMENTS(store_faults) - 1)];

    log_(fault.what);
    p->store_fault_history.BeginFault();
    fault.begin(p->store);
    ScheduleAction(Draw(kMinFaultTime, kMaxFaultTime), [p, &fault] {
        fault.end(p->store);
        p->store_fault_history.EndFault();
    });
}

// Restores the backup of the previous fault phase, so that later writes are
// lost, and makes a new one. Restored rows of endpoints that no longer run are
// removed after kStaleRowLifetime, as the platform expires them.
void
Faults::RestoreStore()
{
    Platform *p = options_.platform;

    log_("store is restored from backup");
    p->store_fault_history.BeginFault();
    std::vector<std::string> stale_keys = p->RestoreStore();
    FakeStore_Backup(p->store);
    ScheduleAction(kStaleRowLifetime, [p, stale_keys] {
        for (const std::string &key : stale_keys) {
            bool is_live = false;

            for (auto &e : p->endpoints)
                is_live = is_live || (e->is_running && e->id == key);
            if (!is_live)
                FakeStore_Put(p->store, "keyed.servers", key.c_str(), nullptr);
        }
        p->store_fault_history.EndFault();
    });
}

// Half of the limits change once, after a time between kMinFaultTime and
// kMaxFaultTime.
void
Faults::LimitEndpoints(bool all)
{
    std::uniform_real_distribution<double> rate(kMinEndpointRate,
                                                kMaxEndpointRate);
    std::uniform_int_distribution<GwTime> time(kMinFaultTime, kMaxFaultTime);

    for (auto &it : options_.platform->endpoints) {
        Endpoint *e = it.get();

        if (!all && limit_random_() % 3 != 0)
            continue;
        e->SetRateLimit(rate(limit_random_));
        log_("rate limit of " + e->id);
        ScheduleAction(kEndpointLimitTime, [e] { e->SetRateLimit(-1); });
        if (limit_random_() % 2 == 0) {
            double changed = rate(limit_random_);

            ScheduleAction(time(limit_random_), [e, changed] {
                if (e->HasRateLimit())
                    e->SetRateLimit(changed);
            });
        }
    }
}

void
Faults::OnPlannedWorkTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    switch (f->planned_count_++ % 4) {
    case 0:
        f->StopGateway();
        break;
    case 1:
        f->log_("configure");
        f->options_.platform->WriteNewConfig();
        break;
    case 2:
        f->DrainEndpoint();
        break;
    default:
        f->log_("release weights");
        f->options_.platform->ReleaseWeights();
    }
    GwTimer_Start(&f->planned_work_timer_,
                  f->Draw(300 * GW_MILLISECOND, 900 * GW_MILLISECOND));
}

void
Faults::StopGateway()
{
    size_t i = (size_t)Draw(0, (GwTime)options_.gateways->size() - 1);
    Process *process = (*options_.gateways)[i]->process.get();
    unsigned running = 0;

    for (auto &g : *options_.gateways)
        running += g->process->IsRunning() && !g->process->IsStopping();
    if (running < 2 || !process->IsRunning() || process->IsStopping())
        return;
    StallEndpoints();
    ScheduleAction(Draw(1, kMaxStopDelay), [this, process] {
        if (!process->IsRunning() || process->IsStopping())
            return;
        log_("planned stop of " + process->name);
        process->Stop();
    });
}

// Some endpoints are at work until the grace time of a stopped gateway ends.
void
Faults::StallEndpoints()
{
    for (auto &e : options_.platform->endpoints) {
        if (stop_random_() % 3 != 0)
            continue;
        log_("stall of " + e->id);
        e->silent_share = kStalledShare;
        ScheduleAction(kStallTime, [e = e.get()] { e->silent_share = 0; });
    }
}

void
Faults::DrainEndpoint()
{
    Endpoint *e = RandomEndpoint(&random_);

    if (!e->is_running)
        return;
    bool by_answers_only = Draw(0, 1) == 0;
    log_("planned drain of " + e->id +
         (by_answers_only ? ", announced only in its answers" : ""));
    e->Depart(by_answers_only ? Departure::kAnswers
                              : Departure::kRowAndAnswers);
    // An endpoint whose row shows the departure first refuses new connections
    // and then finishes its running requests. One that announces the departure
    // only in its answers accepts connections until it terminates, because
    // gateways that sent it nothing are not notified.
    if (!by_answers_only)
        ScheduleAction(kRefuseConnectionsDelay,
                       [e] { e->proxy->SetRefusing(true); });
    ScheduleAction(by_answers_only ? kAnswerOnlyDrainTime : kDrainTime, [e] {
        e->proxy->SetRefusing(false);
        RestartEndpoint(e);
    });
}

void
Faults::RestartEndpoint(Endpoint *e, const std::string &software)
{
    e->proxy->fault_history.BeginFault();
    e->Crash();
    e->Restart(software);
    e->proxy->fault_history.EndFault();
}

void
Faults::SuspendProcess(Process *process, GwTime time)
{
    log_("suspend " + process->name);
    process->fault_history.BeginFault();
    process->Signal(SIGSTOP);
    ScheduleAction(time, [process] {
        process->Signal(SIGCONT);
        process->fault_history.EndFault();
    });
}

void
Faults::ScheduleKill(Process *process, GwTime time)
{
    ScheduleAction(time, [this, process] {
        if (!process->IsRunning())
            return;
        log_("kill " + process->name);
        process->Kill();
    });
}
