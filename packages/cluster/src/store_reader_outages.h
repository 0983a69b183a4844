/* Failures of calls to the store, and removals that are deferred after an
 * outage or a restore of the store. */
#ifndef GALENAGW_CLUSTER_STORE_READER_OUTAGES_H
#define GALENAGW_CLUSTER_STORE_READER_OUTAGES_H

#include "store_reader_private.h"

/* A call failed: log the begin of an outage, and schedule the next call.
 * @p status: of the answer; 0: there was none. */
void GwStoreReaderOutages_OnCallFailed(ListReader *lr, const char *why,
                                       int status);
/* A call was answered: log the end of an outage, and defer removals if records
 * may have expired in it. */
void GwStoreReaderOutages_OnCallAnswered(ListReader *lr);
/* Defer the removals that are read in the next half second. @p outage: the
 * duration of the store outage that is the reason. Returns when they are
 * applied. */
GwTime GwStoreReaderOutages_DeferRemovals(GwStoreReader *r, const char *why,
                                          GwTime outage);
/* A peer has reported for how long the store answered it: removals that are
 * deferred for an outage are applied if there was none. */
void GwStoreReaderOutages_OnPeerAvailable(GwStoreReader *r);

#endif
