/**
 * @defgroup naming_store Naming store
 * @brief Stores in the platform's store when versions of weights were named.
 *
 * Processes keep these times in memory and tell them to each other. A restart
 * of all processes at once would lose them; see model_versions for what
 * follows from that. So each process that reads the operator list from the
 * store also stores the time at which it read a new version, unless the store
 * has it already. A process that learned of the version late, as after a
 * suspension, gets the earlier time by the same call. A process that has
 * started, and whose peers don't know the time either, reads it from there if
 * an engine has older weights.
 *
 * Times are stored by the time of day, which differs between machines by less
 * than the allowance that a reader adds. Two writers can't overwrite each
 * other's times: a write names the end of the list that was read before it.
 * @{
 */
#ifndef GALENAGW_CLUSTER_NAMING_STORE_H
#define GALENAGW_CLUSTER_NAMING_STORE_H

#include "galenagw/cluster/view.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwNamingStore GwNamingStore;

/** Construction options. */
typedef struct {
    GwAddress store;
    GwView *view; /**< gets the times that are read */
    GwEventLog *log;
    GwCounters *counters;
    GRand *rand;
} GwNamingStoreOptions;

GwNamingStore *GwNamingStore_New(GwLoop *loop,
                                 const GwNamingStoreOptions *options);
void GwNamingStore_Delete(GwNamingStore *store);
/** A version was named, or a time has become known: store it. */
void GwNamingStore_OnNamed(GwNamingStore *store,
                           const GwModelVersions *versions);
/** Store all times that this process knows and the store does not. */
void GwNamingStore_Save(GwNamingStore *store);
/** Look the times up if an engine has older weights for an unknown time. To be
 * called regularly. */
void GwNamingStore_Check(GwNamingStore *store);
/** Whether an answer to such a lookup may still come soon. Until then, it is
 * not known whether a switch to newer weights is late. */
bool GwNamingStore_IsLookingUp(const GwNamingStore *store);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
