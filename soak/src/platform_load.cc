/* Checks on the schedule of switches. */
#include <algorithm>

#include "galenagw/routing/placement.h"
#include "platform.h"

/* Engines in a group of the schedule, of which one may switch at a time, and
 * the least number of groups. */
static const size_t kGroupSize = 6;
static const size_t kMinGroups = 2;
/* Longest regular duration of a switch: 0.2 s of preparation, 0.9 s until the
 * queue is empty, 0.4 s for the load, and 0.25 s for the reports before and
 * after it. */
static const GwTime kSwitchTime = 1750 * GW_MILLISECOND;

uint64_t
Endpoint::AddressHash() const
{
    GwAddress listed = platform_->ports.At(
        is_engine ? kEngineGroup : kPlainGroup, number_, kListedPort);

    return GwPlacement_HashAddress(&listed);
}

bool
Platform::IsEngineInTouch(const Endpoint &e) const
{
    return is_sidecar_in_touch(e.number()) &&
           e.proxy->fault_history.IsFaultFreeSince(GwTime_Now() -
                                                   kContactTime);
}

// Faults of other machines than the two engines' excuse nothing. With less
// time left than the remaining switches of the group take one after the other,
// they may overlap: the bound takes precedence.
void
Platform::CheckSwitchSchedule(const Endpoint &engine) const
{
    std::vector<const Endpoint *> engines;
    GwTime now = GwTime_Now(), earliest = GW_NEVER;
    int remaining = 0;

    if (!has_load)
        return;
    for (auto &e : endpoints) {
        if (e->is_engine && !e->IsDeparting())
            engines.push_back(e.get());
    }
    std::sort(engines.begin(), engines.end(),
              [](const Endpoint *a, const Endpoint *b) {
                  return a->AddressHash() < b->AddressHash();
              });
    size_t groups =
        std::max((engines.size() + kGroupSize - 1) / kGroupSize, kMinGroups);
    size_t own = (size_t)(std::find(engines.begin(), engines.end(), &engine) -
                          engines.begin());
    for (size_t i = own % groups; i < engines.size(); i += groups) {
        GwTime since = OutdatedSince(engines[i]->weights_version());

        if (since == 0)
            continue;
        remaining++;
        earliest = std::min(earliest, since + weights_bound);
    }
    if (earliest - now < remaining * kSwitchTime || !IsEngineInTouch(engine))
        return;
    for (size_t i = own % groups; i < engines.size(); i += groups) {
        if (i == own || !engines[i]->IsLoadingWeights() ||
            !IsEngineInTouch(*engines[i]))
            continue;
        ledger->RecordViolation(
            "one engine of a group switches at a time",
            engine.id + " begins to load while " + engines[i]->id +
                " loads, " +
                std::to_string((earliest - now) / GW_MILLISECOND) +
                " ms before the bound, " + std::to_string(remaining) +
                " engines of " + std::to_string(groups) +
                " groups outdated here");
    }
}
