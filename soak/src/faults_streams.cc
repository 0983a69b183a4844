/* Faults of streams and changes of software. */
#include "faults.h"

/* Share of the streams that an engine breaks off, and for how long. */
static const double kBrokenShare = 0.4;
static const GwTime kMinBreakTime = GW_SECOND;
static const GwTime kMaxBreakTime = 3 * GW_SECOND;
/* The same, while software changes. */
static const double kBrokenShareOfChanges = 0.15;
static const GwTime kSoftwareChangesTime = 60 * GW_SECOND;
/* Time between two changes, and until the release. */
static const GwTime kMinChangeInterval = 500 * GW_MILLISECOND;
static const GwTime kMaxChangeInterval = 1500 * GW_MILLISECOND;
static const GwTime kMinReleaseDelay = 3 * GW_SECOND;
static const GwTime kMaxReleaseDelay = 6 * GW_SECOND;
/* Time between the replacements of two engines, and for which each drains. */
static const GwTime kReplacementInterval = 700 * GW_MILLISECOND;
static const GwTime kReplacementDrainTime = 2500 * GW_MILLISECOND;
/* Longest time between two kills of a series of agents. */
static const GwTime kMaxSidecarInterval = 400 * GW_MILLISECOND;
/* One of so many engines waits for the next release. */
static const size_t kEnginesPerSpare = 4;

// "v1", "v1.1", "v2", "v2.1" and so on.
static std::string
SoftwareName(int number)
{
    return "v" + std::to_string(number / 2 + 1) + (number % 2 ? ".1" : "");
}

GwTime
Faults::DrawForStreams(GwTime least, GwTime most)
{
    return DrawFrom(&stream_random_, least, most);
}

Endpoint *
Faults::RandomEngine()
{
    Endpoint *e;

    do
        e = RandomEndpoint(&stream_random_);
    while (!e->is_engine);
    return e;
}

void
Faults::BreakStreams()
{
    for (auto &it : options_.platform->endpoints) {
        Endpoint *e = it.get();

        if (!e->is_engine || DrawForStreams(0, 2) != 0)
            continue;
        log_("broken streams of " + e->id);
        e->proxy->fault_history.BeginFault();
        e->broken_stream_share = kBrokenShare;
        ScheduleAction(DrawForStreams(kMinBreakTime, kMaxBreakTime), [e] {
            e->broken_stream_share = 0;
            e->proxy->fault_history.EndFault();
        });
    }
}

void
Faults::DivideSoftware(bool one_version)
{
    size_t n = 0;

    has_one_version_ = one_version;
    newest_software_ = one_version ? 0 : 1;
    for (auto &e : options_.platform->endpoints) {
        if (!e->is_engine)
            continue;
        if (++n % kEnginesPerSpare == 0) {
            e->Crash();
            e->RemoveRow(e->id);
        }
        else if (!one_version && n % 2 == 0)
            RestartEngine(e.get(), SoftwareName(newest_software_));
    }
}

void
Faults::StartSoftwareChanges()
{
    for (auto &it : options_.platform->endpoints) {
        Endpoint *e = it.get();

        e->broken_stream_share = kBrokenShareOfChanges;
        ScheduleAction(kSoftwareChangesTime,
                       [e] { e->broken_stream_share = 0; });
    }
    if (!has_one_version_)
        ScheduleAction(DrawForStreams(kMinReleaseDelay, kMaxReleaseDelay),
                       [this] { ReleaseSoftware(); });
    OnSoftwareTimer(this);
}

void
Faults::OnSoftwareTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);
    Endpoint *e = f->RandomEngine();
    GwTime draw = f->DrawForStreams(0, 9);
    auto &gateways = *f->options_.gateways;
    GwTime last = (GwTime)gateways.size() - 1;

    if (draw < 4)
        f->KillProcess(
            gateways[(size_t)f->DrawForStreams(0, last)]->process.get());
    else if (draw < 5)
        f->KillSidecars();
    else if (e->is_running && !e->IsDeparting())
        f->RestartEngine(e, draw < 8 || f->has_one_version_
                                ? e->software
                                : SoftwareName(f->newest_software_ -
                                               (int)f->DrawForStreams(0, 1)));
    GwTimer_Start(&f->software_timer_,
                  f->DrawForStreams(kMinChangeInterval, kMaxChangeInterval));
}

void
Faults::KillSidecars()
{
    GwTime time = 0;

    for (auto &s : *options_.sidecars) {
        Process *process = s.get();

        if (DrawForStreams(0, 1) == 0)
            continue;
        ScheduleAction(time, [this, process] { KillProcess(process); });
        time += DrawForStreams(0, kMaxSidecarInterval);
    }
}

void
Faults::KillProcess(Process *process)
{
    if (!process->IsRunning() || process->IsStopping())
        return;
    log_("kill " + process->name);
    process->fault_history.BeginFault();
    process->Kill();
    process->fault_history.EndFault();
}

void
Faults::ReleaseSoftware()
{
    std::string oldest = SoftwareName(newest_software_ - 1);
    std::string newest = SoftwareName(++newest_software_);
    GwTime time = 0;

    log_("release software " + newest);
    for (auto &e : options_.platform->endpoints) {
        if (!e->is_engine)
            continue;
        if (!e->is_running)
            e->Restart(newest);
        else if (e->software == oldest)
            ScheduleReplacement(e.get(), time += kReplacementInterval, newest);
    }
}

void
Faults::ScheduleReplacement(Endpoint *e, GwTime time,
                            const std::string &software)
{
    ScheduleAction(time, [this, e, software] {
        if (!e->is_running || e->IsDeparting())
            return;
        log_("replacement of " + e->id);
        e->Depart(Departure::kRowAndAnswers);
        ScheduleAction(kReplacementDrainTime,
                       [this, e, software] { RestartEngine(e, software); });
    });
}

void
Faults::RestartEngine(Endpoint *e, const std::string &software)
{
    log_("restart of " + e->id + " with software " + software);
    RestartEndpoint(e, software);
}
