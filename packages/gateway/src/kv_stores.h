/* The stores of KV cache of a deployment, and which one keeps what.
 *
 * Each prompt belongs to one store, by rendezvous hashing on its anchor, so
 * that all gateways look for it, and save it, in the same place. Their room
 * and their links add up. */
#ifndef GALENAGW_GATEWAY_KV_STORES_H
#define GALENAGW_GATEWAY_KV_STORES_H

#include "galenagw/routing/routes.h"
#include "kv_store.h"

typedef struct GwKvStores GwKvStores;

GwKvStores *GwKvStores_New(GwLoop *loop, GwEventLog *log, GRand *rand);
void GwKvStores_Delete(GwKvStores *stores);
/* Follow the stores of @p routes, and no others. */
void GwKvStores_Follow(GwKvStores *stores, const GwRoutes *routes);
/* How many gateways follow the stores, this one included. */
void GwKvStores_SetFollowers(GwKvStores *stores, unsigned followers);
unsigned GwKvStores_Count(const GwKvStores *stores);
/* The store of @p anchor among those that answer, or NULL: one in the failure
 * domain @p domain if there is any. */
GwKvStore *GwKvStores_Pick(const GwKvStores *stores, uint64_t anchor,
                           uint64_t domain);

#endif
