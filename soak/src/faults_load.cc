/* Load on engines of unequal speed, while versions of weights are named. */
#include "faults.h"

/* Slowness of the engines, and the factor by which some of them are slower for
 * a while. */
static const double kMinSlowness = 1, kMaxSlowness = 2.4;
static const double kMinSlowFactor = 1.5, kMaxSlowFactor = 2.5;
static const GwTime kMinSlowTime = 200 * GW_MILLISECOND;
static const GwTime kMaxSlowTime = 900 * GW_MILLISECOND;
/* Time between two changes: an engine slows down, or a burst begins. */
static const GwTime kMinChangeInterval = 100 * GW_MILLISECOND;
static const GwTime kMaxChangeInterval = 800 * GW_MILLISECOND;
static const GwTime kMinBurst = 200 * GW_MILLISECOND;
static const GwTime kMaxBurst = 700 * GW_MILLISECOND;
/* Time between the names of two versions: less than all engines need. */
static const GwTime kMinVersionInterval = GW_SECOND;
static const GwTime kMaxVersionInterval = 4 * GW_SECOND;
/* Time for which account "acme" sends several times its usual rate, and the
 * time before it. */
static const GwTime kSurgeTime = 6 * GW_SECOND;
static const GwTime kMaxTimeToSurge = 4 * GW_SECOND;

double
Faults::DrawFactor(double least, double most)
{
    return std::uniform_real_distribution<double>(least, most)(load_random_);
}

void
Faults::StartLoad()
{
    Platform *p = options_.platform;

    log_("load begins");
    p->has_load = true;
    for (auto &e : p->endpoints)
        e->prefills.slowness = DrawFactor(kMinSlowness, kMaxSlowness);
    ScheduleAction(DrawFrom(&load_random_, 0, kMaxTimeToSurge), [this, p] {
        log_("surge of an account begins");
        p->has_surge = true;
        ScheduleAction(kSurgeTime, [p] { p->has_surge = false; });
    });
    OnVersionTimer(this);
    OnLoadTimer(this);
}

void
Faults::EndLoad()
{
    GwTimer_Stop(&version_timer_);
    GwTimer_Stop(&load_timer_);
    options_.platform->has_load = false;
}

void
Faults::OnVersionTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);

    f->log_("release weights under load");
    f->options_.platform->ReleaseWeights();
    GwTimer_Start(
        &f->version_timer_,
        DrawFrom(&f->load_random_, kMinVersionInterval, kMaxVersionInterval));
}

void
Faults::OnLoadTimer(void *user)
{
    Faults *f = static_cast<Faults *>(user);
    Platform *p = f->options_.platform;

    if (DrawFrom(&f->load_random_, 0, 2) == 0) {
        f->log_("burst");
        p->bursts++;
        f->ScheduleAction(DrawFrom(&f->load_random_, kMinBurst, kMaxBurst),
                          [p] { p->bursts--; });
    }
    else
        f->SlowEngineDown();
    GwTimer_Start(
        &f->load_timer_,
        DrawFrom(&f->load_random_, kMinChangeInterval, kMaxChangeInterval));
}

void
Faults::SlowEngineDown()
{
    Endpoint *e = RandomEndpoint(&load_random_);
    double factor = DrawFactor(kMinSlowFactor, kMaxSlowFactor);

    if (!e->is_engine)
        return;
    log_(e->id + " is slower");
    e->prefills.slowness *= factor;
    ScheduleAction(DrawFrom(&load_random_, kMinSlowTime, kMaxSlowTime),
                   [e, factor] { e->prefills.slowness /= factor; });
}
