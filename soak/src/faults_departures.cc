/* Departures of endpoints around outages, disconnections and restarts. */
#include "faults.h"

#include <utility>

/* Time between two departures, and the time for which a departing endpoint
 * continues to serve: at times many seconds. */
static const GwTime kMinDepartureInterval = 300 * GW_MILLISECOND;
static const GwTime kMaxDepartureInterval = GW_SECOND;
static const GwTime kMinLongDrainTime = 3500 * GW_MILLISECOND;
static const GwTime kMaxLongDrainTime = 13 * GW_SECOND;
/* The store is slow at the begin of a phase of departures only, so that later
 * the lasting effects are checked. */
static const GwTime kSlowStoreTime = 5 * GW_SECOND;
/* A departure is at most this long before or after the end of an outage, or a
 * restart. */
static const GwTime kMaxDepartureOffset = 700 * GW_MILLISECOND;
/* Duration of an outage around whose end endpoints depart. */
static const GwTime kMinOutage = 1200 * GW_MILLISECOND;
static const GwTime kMaxOutage = 4 * GW_SECOND;
/* Most time for which all processes are disconnected from the store, and the
 * departures around its end. */
static const GwTime kMaxIsolation = 7 * GW_SECOND;
static const int kIsolatedDepartures = 3;

GwTime
Faults::DrawForDeparture(GwTime least, GwTime most)
{
    return DrawFrom(&departure_random_, least, most);
}

void
Faults::StartDepartures()
{
    Platform *p = options_.platform;

    log_("store is slow");
    slow_store_until_ = GwTime_Now() + kSlowStoreTime;
    p->store_fault_history.BeginFault();
    FakeStore_SetDelay(p->store, kSlowStoreDelay);
    ScheduleAction(kSlowStoreTime, [p] {
        FakeStore_SetDelay(p->store, 0);
        p->store_fault_history.EndFault();
    });
    OnDepartureTimer(this);
}

// Each departure is combined with one disturbance of another part of the
// system, so that rules that hold machine by machine are judged while other
// machines are disturbed.
void
Faults::OnDepartureTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    if (GwTime_Now() < f->slow_store_until_)
        f->DepartWhileGatewaysStart();
    else if (GwTime_Now() >= f->isolated_until_)
        switch (f->DrawForDeparture(0, 3)) {
        case 0:
            f->DepartAfterStoreIsolation();
            break;
        case 1:
            f->DepartAfterIsolationOfAll();
            break;
        case 2:
            f->DepartAfterInterruption();
            break;
        default:
            f->DepartAfterRestart();
        }
    GwTimer_Start(
        &f->departure_timer_,
        f->DrawForDeparture(kMinDepartureInterval, kMaxDepartureInterval));
}

// Peers that lag send their copies of the list to gateways that start, before
// the store answers.
void
Faults::DepartWhileGatewaysStart()
{
    auto &gateways = *options_.gateways;
    GwTime departs_in = DrawForDeparture(kSlowStoreDelay, 2 * kSlowStoreDelay);
    size_t kills = (size_t)DrawForDeparture(1, (GwTime)gateways.size() - 1);

    for (size_t i = 0; i < kills; i++)
        ScheduleKill(gateways[i]->process.get(),
                     departs_in + DrawForDeparture(-kSlowStoreDelay,
                                                   kSlowStoreDelay / 2));
    ScheduleDeparture(RandomEndpoint(&departure_random_), departs_in,
                      kMaxLongDrainTime);
}

// Several processes lose the store and find it again at one moment.
void
Faults::DepartAfterStoreIsolation()
{
    GwTime processes = (GwTime)options_.store_proxies->size();
    GwTime isolated = DrawForDeparture(1, std::max<GwTime>(processes / 3, 1));
    GwTime outage = DrawForDeparture(kMinOutage, kMaxOutage);

    for (GwTime i = 0; i < isolated; i++)
        IsolateFromStore((size_t)DrawForDeparture(0, processes - 1),
                         DrawForDeparture(0, 1) == 0, outage);
    ScheduleDepartureAround(outage);
}

// All processes are disconnected from the store, so no process hears that it
// answers others meanwhile. Nothing else is disturbed until they are in touch
// again.
void
Faults::DepartAfterIsolationOfAll()
{
    GwTime outage = DrawForDeparture(kMaxOutage, kMaxIsolation);

    isolated_until_ = GwTime_Now() + outage + kContactTime + GW_SECOND;
    for (size_t i = 0; i < options_.store_proxies->size(); i++)
        IsolateFromStore(i, false, outage);
    for (int i = 0; i < kIsolatedDepartures; i++)
        ScheduleDepartureAround(outage);
}

void
Faults::DepartAfterInterruption()
{
    GwTime outage = DrawForDeparture(kMinOutage, kMaxOutage);

    ScheduleInterruption(RandomProcess(&departure_random_), outage);
    ScheduleDepartureAround(outage);
}

void
Faults::DepartAfterRestart()
{
    Endpoint *e = RandomEndpoint(&departure_random_);

    if (!e->is_running || e->IsDeparting())
        return;
    log_("restart of " + e->id);
    RestartEndpoint(e);
    ScheduleDeparture(e, DrawForDeparture(0, kMaxDepartureOffset),
                      DrawForDeparture(kMinLongDrainTime, kMaxLongDrainTime));
}

void
Faults::ScheduleDepartureAround(GwTime time)
{
    ScheduleDeparture(
        RandomEndpoint(&departure_random_),
        time + DrawForDeparture(-kMaxDepartureOffset, kMaxDepartureOffset),
        DrawForDeparture(kMinLongDrainTime, kMaxLongDrainTime));
}

void
Faults::ScheduleDeparture(Endpoint *e, GwTime time, GwTime drain_time)
{
    static const Departure departures[] = {
        Departure::kRemoval, Departure::kRemoval, Departure::kRow,
        Departure::kAnswers, Departure::kRowAndAnswers};
    Departure departure =
        departures[DrawForDeparture(0, (GwTime)G_N_ELEMENTS(departures) - 1)];

    ScheduleAction(time, [this, e, departure, drain_time] {
        if (e->is_running && !e->IsDeparting() && HasAlternative(e))
            DepartEndpoint(e, departure, drain_time);
    });
}

void
Faults::DepartEndpoint(Endpoint *e, Departure departure, GwTime drain_time)
{
    static const char *const how[] = {"row and answers", "row", "answers",
                                      "removal"};

    log_("departure of " + e->id + " by " + how[(int)departure]);
    e->Depart(departure);
    ScheduleAction(drain_time, [e] { RestartEndpoint(e); });
}

bool
Faults::HasAlternative(const Endpoint *endpoint) const
{
    for (auto &e : options_.platform->endpoints) {
        if (e.get() != endpoint && e->is_engine == endpoint->is_engine &&
            e->is_running && !e->IsDeparting())
            return true;
    }
    return false;
}

void
Faults::IsolateFromStore(size_t process, bool refuse, GwTime time)
{
    Proxy *proxy = (*options_.store_proxies)[process].get();

    log_(std::string(refuse ? "refuse" : "cut") + " the store to " +
         proxy->address.host);
    proxy->fault_history.BeginFault();
    if (refuse) {
        proxy->SetRefusing(true);
        proxy->ResetAll();
    }
    else
        proxy->SetCut(true, true);
    ScheduleAction(time, [proxy, refuse] {
        if (refuse)
            proxy->SetRefusing(false);
        else {
            // What was sent during the outage is lost.
            proxy->StallOpenConnections();
            proxy->SetCut(false, false);
        }
        proxy->fault_history.EndFault();
    });
}

void
Faults::ScheduleInterruption(Process *process, GwTime time)
{
    GwTime draw = DrawForDeparture(0, 2);

    if (draw == 0)
        ScheduleKill(process, time);
    else if (draw == 1)
        ScheduleAction(time, [this, process] {
            log_("stop " + process->name);
            process->Stop();
        });
    else if (process->IsRunning() && !process->IsStopping())
        SuspendProcess(process, time);
}
