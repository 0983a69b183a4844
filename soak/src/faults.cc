#include "faults.h"

#include <signal.h>

#include <utility>

/* Between two faults; most last longer, so that they overlap. */
static const GwTime kGapLeast = 50 * GW_MILLISECOND;
static const GwTime kGapMost = 700 * GW_MILLISECOND;
static const GwTime kLeast = 200 * GW_MILLISECOND;
static const GwTime kMost = 2500 * GW_MILLISECOND;
/* Answers of a slow store, a hundred times later than usual. */
static const GwTime kSlow = 400 * GW_MILLISECOND;
/* A leaving endpoint takes no connection after this, which is longer than it
 * takes gateways to learn of it and shorter than its longest streams; and is
 * gone after that, when those have ended. */
static const GwTime kPortClosed = 1200 * GW_MILLISECOND;
static const GwTime kDrained = 3500 * GW_MILLISECOND;
/* Lapse of restored rows of stopped endpoints: three heartbeat intervals. */
static const GwTime kRowLapse = 3600 * GW_MILLISECOND;
/* Two seconds longer than work may come after the first such answer. */
static const GwTime kToldDrained = 4500 * GW_MILLISECOND;

/* Rate limits of endpoints, in requests per second, and how long they last;
 * longer than any phase, so that Heal ends them. */
static const double kLeastLimit = 0.5;
static const double kMostLimit = 8;
static const GwTime kLimitTime = 30 * GW_SECOND;

Faults::Faults(const World &world,
               std::function<void(const std::string &)> log)
    : world_(world), log_(std::move(log)), random_(world.seed),
      restore_random_(~world.seed), limit_random_(world.seed + 1)
{
    GwTimer_Init(&next_, world.platform->loop, OnNext, this);
    GwTimer_Init(&plan_, world.platform->loop, OnPlan, this);
}

Faults::~Faults()
{
    Heal();
}

void
Faults::Run()
{
    OnNext(this);
    if (world_.limits)
        LimitEndpoints(false);
    if (!world_.restores)
        return;
    if (!has_backup_)
        FakeStore_Backup(world_.platform->store);
    else
        During(std::uniform_int_distribution<GwTime>(kLeast,
                                                     kMost)(restore_random_),
               [this] { RestoreStore(); });
    has_backup_ = true;
}

void
Faults::Heal()
{
    GwTimer_Stop(&next_);
    GwTimer_Stop(&plan_);
    while (!active_.empty())
        Finish(active_.front().get());
}

void
Faults::Plan()
{
    if (world_.limits)
        LimitEndpoints(false);
    OnPlan(this);
}

GwTime
Faults::Draw(GwTime least, GwTime most)
{
    return std::uniform_int_distribution<GwTime>(least, most)(random_);
}

void
Faults::OnNext(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    f->Harm();
    GwTimer_Start(&f->next_, f->Draw(kGapLeast, kGapMost));
}

void
Faults::OnOver(void *user)
{
    Active *active = static_cast<Active *>(user);

    active->faults->Finish(active);
}

void
Faults::During(GwTime time, std::function<void()> undo)
{
    auto active = std::make_unique<Active>();

    active->faults = this;
    active->undo = std::move(undo);
    GwTimer_Init(&active->timer, world_.platform->loop, OnOver, active.get());
    GwTimer_Start(&active->timer, time);
    active_.push_back(std::move(active));
}

void
Faults::Finish(Active *active)
{
    std::function<void()> undo = std::move(active->undo);

    GwTimer_Stop(&active->timer);
    active_.remove_if(
        [&](const std::unique_ptr<Active> &a) { return a.get() == active; });
    undo();
}

Process *
Faults::AnyProcess()
{
    size_t n = world_.gateways->size();
    size_t i = (size_t)Draw(0, (GwTime)(n + world_.sidecars->size()) - 1);

    return i < n ? (*world_.gateways)[i]->process.get()
                 : (*world_.sidecars)[i - n].get();
}

Endpoint *
Faults::AnyEndpoint()
{
    auto &all = world_.platform->endpoints;

    return all[(size_t)Draw(0, (GwTime)all.size() - 1)].get();
}

Proxy *
Faults::AnyProxy()
{
    switch (Draw(0, 2)) {
    case 0:
        return AnyEndpoint()->proxy.get();
    case 1:
        return (*world_.gateways)[(size_t)Draw(
                                      0, (GwTime)world_.gateways->size() - 1)]
            ->path.get();
    default:
        return (*world_.store_paths)
            [(size_t)Draw(0, (GwTime)world_.store_paths->size() - 1)]
                .get();
    }
}

void
Faults::Harm()
{
    GwTime draw = Draw(0, 99);

    if (draw < 25)
        HarmProcess(AnyProcess());
    else if (draw < 28)
        KillMany();
    else if (draw < 60)
        HarmProxy(AnyProxy());
    else if (draw < 80)
        HarmEndpoint(AnyEndpoint());
    else if (draw < 88)
        HarmStore();
    else if (draw < 94)
        world_.platform->Configure();
    else if (draw < 97)
        world_.platform->NameWeights();
    else
        WriteForeign(AnyEndpoint());
}

// Its own heartbeat follows, as a worker's do.
void
Faults::WriteForeign(Endpoint *e)
{
    std::string key = e->WriteForeign();

    log_("foreign row under " + key);
    During(kLeast, [e, key] {
        if (key != e->id)
            e->Unlist(key);
        else if (e->up)
            e->List();
    });
}

void
Faults::HarmProcess(Process *process)
{
    GwTime time = Draw(kLeast, kMost);

    if (!process->IsRunning() || process->IsStopping())
        return;
    switch (Draw(0, 3)) {
    case 0:
        log_("pause " + process->name);
        process->disturbance.Begin();
        process->Signal(SIGSTOP);
        During(time, [process] {
            process->Signal(SIGCONT);
            process->disturbance.End();
        });
        return;
    case 1:
        log_("kill " + process->name);
        process->disturbance.Begin();
        process->Kill();
        During(time, [process] { process->disturbance.End(); });
        return;
    case 2:
        log_("stop " + process->name);
        process->disturbance.Begin();
        process->Stop();
        During(time, [process] { process->disturbance.End(); });
        return;
    default:
        log_("reload " + process->name);
        process->Signal(SIGHUP);
    }
}

void
Faults::KillMany()
{
    bool all = Draw(0, 1) == 0;

    log_(all ? "kill all processes" : "kill all gateways");
    for (auto &g : *world_.gateways) {
        g->process->disturbance.Begin();
        g->process->Kill();
    }
    for (auto &s : *world_.sidecars) {
        if (all)
            s->Kill();
    }
    During(kLeast, [this] {
        for (auto &g : *world_.gateways)
            g->process->disturbance.End();
    });
}

void
Faults::HarmProxy(Proxy *proxy)
{
    GwTime draw = Draw(0, 4);
    bool forward = Draw(0, 1) == 0;
    GwTime time = Draw(kLeast, kMost);

    log_(std::string((const char *[]){"delay", "cut", "cut one way of",
                                      "silence open connections of",
                                      "reset"}[draw]) +
         " " + proxy->address.host + ":" +
         std::to_string(proxy->address.port));
    proxy->disturbance.Begin();
    if (draw == 0)
        proxy->SetDelay(Draw(GW_MILLISECOND, 150 * GW_MILLISECOND));
    else if (draw <= 2)
        proxy->SetCut(draw == 1 || forward, draw == 1 || !forward);
    else if (draw == 3)
        proxy->SilenceOpen();
    else
        proxy->ResetAll();
    During(draw <= 2 ? time : kLeast, [proxy, draw] {
        if (draw == 0)
            proxy->SetDelay(0);
        else if (draw <= 2)
            proxy->SetCut(false, false);
        proxy->disturbance.End();
    });
}

void
Faults::HarmEndpoint(Endpoint *e)
{
    GwTime time = Draw(kLeast, kMost);
    Disturbance *d = &e->proxy->disturbance;
    GwTime draw = Draw(0, 4);
    double *share = (double *[]){&e->error_share, &e->reset_share,
                                 &e->full_share, &e->garbled_share}[draw % 4];

    if (!e->up)
        return;
    log_(std::string((const char *[]){"errors of", "resets of", "fullness of",
                                      "garbled words of", "crash of"}[draw]) +
         " " + e->id);
    d->Begin();
    if (draw == 4) {
        e->Crash();
        During(time, [e, d] {
            e->ComeBack();
            d->End();
        });
        return;
    }
    *share = 0.4;
    During(time, [share, d] {
        *share = 0;
        d->End();
    });
}

void
Faults::HarmStore()
{
    static const struct {
        const char *what;
        void (*begin)(FakeStore *store);
        void (*end)(FakeStore *store);
    } harms[] = {
        {"store is silent", [](FakeStore *s) { FakeStore_SetSilent(s, true); },
         [](FakeStore *s) { FakeStore_SetSilent(s, false); }},
        {"store drops answers",
         [](FakeStore *s) { FakeStore_SetMute(s, true); },
         [](FakeStore *s) { FakeStore_SetMute(s, false); }},
        {"store is slow", [](FakeStore *s) { FakeStore_SetDelay(s, kSlow); },
         [](FakeStore *s) { FakeStore_SetDelay(s, 0); }},
        {"store refuses", [](FakeStore *s) { FakeStore_Refuse(s, 503); },
         [](FakeStore *s) { FakeStore_Refuse(s, 0); }},
        {"store forgets its history",
         [](FakeStore *s) { FakeStore_Compact(s); }, [](FakeStore *) {}},
    };
    Platform *p = world_.platform;
    auto &harm = harms[Draw(0, G_N_ELEMENTS(harms) - 1)];

    log_(harm.what);
    p->store_disturbance.Begin();
    harm.begin(p->store);
    During(Draw(kLeast, kMost), [p, &harm] {
        harm.end(p->store);
        p->store_disturbance.End();
    });
}

// Uses the backup of the previous fault phase, so that later writes are lost.
void
Faults::RestoreStore()
{
    Platform *p = world_.platform;

    log_("store is restored from backup");
    p->store_disturbance.Begin();
    std::vector<std::string> stale_keys = p->RestoreStore();
    FakeStore_Backup(p->store);
    During(kRowLapse, [p, stale_keys] {
        for (const std::string &key : stale_keys) {
            bool is_live = false;

            for (auto &e : p->endpoints)
                is_live = is_live || (e->up && e->id == key);
            if (!is_live)
                FakeStore_Put(p->store, "keyed.servers", key.c_str(), nullptr);
        }
        p->store_disturbance.End();
    });
}

// Half of the limits change once, after kLeast to kMost.
void
Faults::LimitEndpoints(bool all)
{
    std::uniform_real_distribution<double> rate(kLeastLimit, kMostLimit);
    std::uniform_int_distribution<GwTime> time(kLeast, kMost);

    for (auto &it : world_.platform->endpoints) {
        Endpoint *e = it.get();

        if (!all && limit_random_() % 3 != 0)
            continue;
        e->SetLimit(rate(limit_random_));
        log_("rate limit of " + e->id);
        During(kLimitTime, [e] { e->SetLimit(-1); });
        if (limit_random_() % 2 == 0) {
            double changed = rate(limit_random_);

            During(time(limit_random_), [e, changed] {
                if (e->IsLimited())
                    e->SetLimit(changed);
            });
        }
    }
}

void
Faults::OnPlan(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    switch (f->planned_++ % 4) {
    case 0:
        f->StopGateway();
        break;
    case 1:
        f->log_("configure");
        f->world_.platform->Configure();
        break;
    case 2:
        f->DrainEndpoint();
        break;
    default:
        f->log_("name weights");
        f->world_.platform->NameWeights();
    }
    GwTimer_Start(&f->plan_,
                  f->Draw(300 * GW_MILLISECOND, 900 * GW_MILLISECOND));
}

void
Faults::StopGateway()
{
    size_t i = (size_t)Draw(0, (GwTime)world_.gateways->size() - 1);
    Process *process = (*world_.gateways)[i]->process.get();
    unsigned running = 0;

    for (auto &g : *world_.gateways)
        running += g->process->IsRunning() && !g->process->IsStopping();
    if (running < 2 || !process->IsRunning() || process->IsStopping())
        return;
    log_("planned stop of " + process->name);
    process->Stop();
}

void
Faults::DrainEndpoint()
{
    Endpoint *e = AnyEndpoint();

    if (!e->up)
        return;
    bool by_answers = Draw(0, 1) == 0;
    log_("planned drain of " + e->id +
         (by_answers ? ", told by its answers alone" : ""));
    e->Drain(by_answers);
    // It closes its port first, and then finishes what it runs; one that has
    // told nobody but who asked it takes what comes.
    if (!by_answers)
        During(kPortClosed, [e] { e->proxy->SetRefusing(true); });
    During(by_answers ? kToldDrained : kDrained, [e] {
        e->proxy->SetRefusing(false);
        e->proxy->disturbance.Begin();
        e->Crash();
        e->ComeBack();
        e->proxy->disturbance.End();
    });
}
