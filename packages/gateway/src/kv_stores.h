/* The KV stores of a deployment, and which of them a prompt uses.
 *
 * Each prompt belongs to one KV store, by rendezvous hashing on a hash of its
 * leading parts, so that all gateways save it to, and fetch it from, the same
 * one. The capacity and the bandwidth of all KV stores add up that way. */
#ifndef GALENAGW_GATEWAY_KV_STORES_H
#define GALENAGW_GATEWAY_KV_STORES_H

#include "galenagw/routing/routes.h"
#include "kv_store.h"

typedef struct GwKvStores GwKvStores;

GwKvStores *GwKvStores_New(GwLoop *loop, GwEventLog *log, GRand *rand);
void GwKvStores_Delete(GwKvStores *stores);
/* Follow the KV stores of @p routes, and no others. */
void GwKvStores_Follow(GwKvStores *stores, const GwRoutes *routes);
/* Set how many gateways follow the KV stores, this one included. */
void GwKvStores_SetFollowers(GwKvStores *stores, unsigned followers);
unsigned GwKvStores_Count(const GwKvStores *stores);
/* The KV store that rendezvous hashing gives @p prefix_hash, among those that
 * answer; one in the failure domain @p domain if there is any. NULL if none
 * answers. */
GwKvStore *GwKvStores_Pick(const GwKvStores *stores, uint64_t prefix_hash,
                           uint64_t domain);

#endif
