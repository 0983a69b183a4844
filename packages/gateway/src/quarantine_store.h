/* Requests under quarantine, in the platform's store: what a process finds
 * must outlive an end of all of them at once. Written by who saw the last end
 * under one, read by each gateway at its start. */
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
    GwQuarantine *quarantine; /* fed with what is read */
    GwEventLog *log;
    GwCounters *counters;
    GRand *rand;
    bool is_first_start; /* of the whole system: nothing was written before */
} GwQuarantineStoreOptions;

GwQuarantineStore *
GwQuarantineStore_New(GwLoop *loop, const GwQuarantineStoreOptions *options);
void GwQuarantineStore_Delete(GwQuarantineStore *store);
/* Write how long @p request is under quarantine. */
void GwQuarantineStore_Keep(GwQuarantineStore *store, const GwDigest *request);
/* @p request was let out: if we wrote it, it is removed. */
void GwQuarantineStore_Drop(GwQuarantineStore *store, const GwDigest *request);
/* Writes all entries of this process again, after the store was restored. */
void GwQuarantineStore_RewriteAll(GwQuarantineStore *store);

#endif
