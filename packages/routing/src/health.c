#include "galenagw/routing/health.h"

/* Weight that older signs keep at each new one: about the last 20 count. */
#define DECAY 0.95
/* Fewer signs than this prove nothing of a rate. */
#define MIN_SAMPLES 6.0
/* A rate this far above the peers' is a fault of the endpoint. Services may
 * answer some requests with errors by nature, all endpoints alike. */
#define WORSE_BY 0.25
/* First exclusion, doubled for each further failure in a row. A restart
 * takes a second or so; longer waits would leave a returned endpoint idle. */
#define EXCLUDE_FIRST (250 * GW_MILLISECOND)
#define EXCLUDE_MOST (2 * GW_SECOND)
/* Silent attempts in a row that exclude: one may be a slow request. */
#define SILENT_LIMIT 3

const char *const GwHealthSign_Names[GW_HEALTH_SIGNS] = {
    [GW_HEALTH_GOOD] = "good",     [GW_HEALTH_ERROR] = "error",
    [GW_HEALTH_BROKEN] = "broken", [GW_HEALTH_UNREACHABLE] = "unreachable",
    [GW_HEALTH_SILENT] = "silent",
};

static void exclude_(GwHealth *health, GwTime now);

bool
GwHealth_Note(GwHealth *health, GwHealthSign sign, GwTime now)
{
    double bad = sign == GW_HEALTH_GOOD ? 0.0 : 1.0;

    health->samples = health->samples * DECAY + 1.0;
    health->error_rate += (bad - health->error_rate) / health->samples;
    if (sign == GW_HEALTH_GOOD || sign == GW_HEALTH_ERROR) {
        health->streak = 0;
        health->excluded_until = 0;
        return false;
    }
    health->streak++;
    if (sign == GW_HEALTH_BROKEN ||
        (sign == GW_HEALTH_SILENT && health->streak < SILENT_LIMIT))
        return false;
    exclude_(health, now);
    return true;
}

bool
GwHealth_IsUsable(const GwHealth *health, unsigned in_flight, GwTime now)
{
    if (health->excluded_until == 0)
        return true;
    // Half open: many callers must not all find out that it is still gone.
    return now >= health->excluded_until && in_flight == 0;
}

bool
GwHealth_IsWorse(const GwHealth *health, double peer_rate)
{
    return health->samples >= MIN_SAMPLES &&
           health->error_rate > peer_rate + WORSE_BY;
}

static void
exclude_(GwHealth *health, GwTime now)
{
    GwTime time = EXCLUDE_FIRST;

    for (unsigned i = 1; i < health->streak && time < EXCLUDE_MOST; i++)
        time *= 2;
    health->excluded_until = now + MIN(time, EXCLUDE_MOST);
}
