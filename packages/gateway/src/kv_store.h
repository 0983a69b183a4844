/* One KV store: which parts of prompts it has cached, by its events.
 *
 * Engines evict shared parts within seconds, because the requests' own parts
 * fill their memory. Prefilling a shared part again takes tens of milliseconds
 * of an engine; copying it from the KV store takes a third of that. */
#ifndef GALENAGW_GATEWAY_KV_STORE_H
#define GALENAGW_GATEWAY_KV_STORE_H

#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/net/loop.h"
#include "galenagw/routing/request_info.h"

typedef struct GwKvStore GwKvStore;

typedef struct {
    GwAddress address;
    uint64_t domain;        /* hash of its failure domain; 0: none */
    double link_mbps;       /* megabits per second; 0: not configured */
    unsigned max_followers; /* gateways whose calls for events may wait at the
                               same time; 0: not configured */
    GwEventLog *log;
    GRand *rand;
} GwKvStoreOptions;

/* Start to follow the events of a KV store. */
GwKvStore *GwKvStore_New(GwLoop *loop, const GwKvStoreOptions *options);
void GwKvStore_Delete(GwKvStore *store);
/* Set how many gateways follow the KV store, this one included. If that
 * exceeds max_followers, all of them poll it at intervals instead of waiting
 * for events. */
void GwKvStore_SetFollowers(GwKvStore *store, unsigned followers);
/* Its address, or NULL while it does not answer: an engine that tries to copy
 * from an unreachable source loses some hundred milliseconds. */
const GwAddress *GwKvStore_Address(const GwKvStore *store);
/* Hash of its failure domain; 0: none. */
uint64_t GwKvStore_Domain(const GwKvStore *store);
/* Bandwidth of its link, in megabits per second; 0: not configured. */
double GwKvStore_LinkMbps(const GwKvStore *store);
/* Time at which copies for requests of this gateway stop using its link. */
GwTime GwKvStore_BusyUntil(const GwKvStore *store);
void GwKvStore_SetBusyUntil(GwKvStore *store, GwTime until);
/* Whether it answers, but refuses to send events to this gateway because it
 * has too many followers. */
bool GwKvStore_IsOversubscribed(const GwKvStore *store);
/* Number of leading parts of the prompt in @p info that it has cached for
 * @p scope, as far as this gateway can tell. */
unsigned GwKvStore_CountCachedParts(const GwKvStore *store,
                                    const GwRequestInfo *info,
                                    const char *scope, GwTime now);
/* Whether this request should save its parts: the KV store lacks a shared
 * part, and no request of this gateway was sent to save it within the last
 * seconds. If so, the save is recorded. */
bool GwKvStore_TryStartSave(GwKvStore *store, const GwRequestInfo *info,
                            const char *scope, GwTime now);

#endif
