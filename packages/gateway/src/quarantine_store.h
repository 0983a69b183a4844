/* Stores quarantined requests and parts in the platform's store, so that the
 * quarantine survives a simultaneous termination of all processes. A request
 * is written by the gateway that detected the last termination under it. Each
 * gateway reads all rows when it starts. */
#ifndef GALENAGW_GATEWAY_QUARANTINE_STORE_H
#define GALENAGW_GATEWAY_QUARANTINE_STORE_H

#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/base/settings.h"
#include "galenagw/net/loop.h"
#include "galenagw/quarantine/quarantine.h"

typedef struct GwQuarantineStore GwQuarantineStore;

typedef struct {
    GwAddress store;
    GwQuarantine *quarantine; /* rows that are read are added to it */
    GwEventLog *log;
    GwCounters *counters;
    GRand *rand;
    bool is_first_start; /* of the whole system: the store has no rows yet, so
                            none are read */
} GwQuarantineStoreOptions;

GwQuarantineStore *
GwQuarantineStore_New(GwLoop *loop, const GwQuarantineStoreOptions *options);
void GwQuarantineStore_Delete(GwQuarantineStore *store);
/* Write until when the suspect is quarantined, if it is. */
void GwQuarantineStore_Write(GwQuarantineStore *store, GwSuspectKind kind,
                             const GwDigest *suspect);
/* Remove the row of the suspect, which was released, if this process wrote it.
 */
void GwQuarantineStore_Remove(GwQuarantineStore *store, GwSuspectKind kind,
                              const GwDigest *suspect);
/* Write all rows of this process again, after the store was restored from a
 * backup. */
void GwQuarantineStore_RewriteAll(GwQuarantineStore *store);

#endif
