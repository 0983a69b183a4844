#include "outdated_engine.h"

GwOutdatedEngine
GwOutdatedEngine_Of(const GwGateway *g, const GwInstance *instance, GwTime now)
{
    const GwModelVersions *versions =
        GwView_ModelVersions(g->view, instance->model);

    return (GwOutdatedEngine){
        .since = GwModelVersions_OutdatedSince(versions, instance->weights),
        .bound = g->weights_bound,
        .is_reported =
            GwInstance_ReportState(instance, now) == GW_REPORT_FRESH,
        .lateness = g->timer_lateness,
    };
}
