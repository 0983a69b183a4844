/* What peers tell about outages of the store. */
#ifndef GALENAGW_CLUSTER_LIST_SYNC_OUTAGES_H
#define GALENAGW_CLUSTER_LIST_SYNC_OUTAGES_H

#include "galenagw/cluster/store_reader.h"
#include "galenagw/wire/session.h"

/* A peer reports for how long the store answered it. @p reader may be NULL.
 * Applies also if this process lacks records of the peer. */
void GwListSyncOutages_NoteAvailable(GwStoreReader *reader,
                                     const GwSyncStatus *sync_status,
                                     GwTime now);
/* The peer has seen a store outage after which these removals may be undone.
 * This process may not have noticed the outage, because its own call to the
 * store was waiting all the time; removing the endpoints now could leave
 * clients without any endpoint. If the store has answered other processes
 * meanwhile, only the peer was disconnected from it, and the endpoints have
 * departed. */
void GwListSyncOutages_AdoptDeferral(const GwStoreReader *reader, GwView *view,
                                     const Gw__Wire__RecordsTell *reply);

#endif
