#include "list_sync_outages.h"

/* Longest time that removals deferred by a peer are deferred here, whatever
 * time the peer sends. Endpoints whose records expired during a store outage
 * write them again within about this time. */
#define REMOVAL_DEFERRAL_MAX (2500 * GW_MILLISECOND)

void
GwListSyncOutages_NoteAvailable(GwStoreReader *reader,
                                const GwSyncStatus *sync_status, GwTime now)
{
    GwTime until = now - sync_status->instances_age;

    if (reader == NULL || sync_status->instances_age < 0 ||
        sync_status->instances_available_for < 0)
        return;
    GwStoreReader_NoteStoreAvailable(
        reader, GW_LIST_INSTANCES,
        until - sync_status->instances_available_for, until);
}

void
GwListSyncOutages_AdoptDeferral(const GwStoreReader *reader, GwView *view,
                                const Gw__Wire__RecordsTell *reply)
{
    GwTime now = GwTime_Now();
    GwTime until = now + MIN((GwTime)reply->removals_held_ms * GW_MILLISECOND,
                             REMOVAL_DEFERRAL_MAX);

    if (reply->list != GW_LIST_INSTANCES || reply->removals_held_ms == 0)
        return;
    if (reader != NULL) {
        GwTime settled_at = GwStoreReader_SettledAt(reader, GW_LIST_INSTANCES);

        // The peer may have been disconnected for longer than this process.
        if (settled_at > 0)
            until = MIN(until, settled_at);
    }
    if (until > now)
        GwInstances_SetPeerDeferral(GwView_Instances(view), until);
}
