/* What the store of KV cache keeps, by its own events.
 *
 * Engines evict shared parts within seconds, as requests' own parts push
 * them out; reading one again costs tens of milliseconds of an engine, and
 * copying it from the store a third of that. */
#ifndef GALENAGW_GATEWAY_KV_STORE_H
#define GALENAGW_GATEWAY_KV_STORE_H

#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/net/loop.h"
#include "galenagw/routing/ask.h"

typedef struct GwKvStore GwKvStore;

GwKvStore *GwKvStore_New(GwLoop *loop, GwEventLog *log, GRand *rand);
void GwKvStore_Delete(GwKvStore *store);
/* Follow the store at @p address; NULL: there is none. */
void GwKvStore_SetAddress(GwKvStore *store, const GwAddress *address);
/* Its address while it answers, else NULL: a dead source costs an engine
 * some hundred milliseconds. */
const GwAddress *GwKvStore_Address(const GwKvStore *store);
/* How many leading parts of @p ask it keeps for @p scope. */
unsigned GwKvStore_Kept(const GwKvStore *store, const GwAsk *ask,
                        const char *scope);
/* Whether this request should save its parts: the store lacks a shared one,
 * and nobody here has asked for it a moment ago. Notes that it was asked. */
bool GwKvStore_TakeSave(GwKvStore *store, const GwAsk *ask, const char *scope,
                        GwTime now);

#endif
