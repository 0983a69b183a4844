/* Cache updates: an agent sends each entry the cached parts of its engine, all
 * of them once and then the changes. Sessions deliver frames in order or are
 * closed, so no acknowledgement or repetition is needed. */
#ifndef GALENAGW_CLUSTER_CACHE_SYNC_H
#define GALENAGW_CLUSTER_CACHE_SYNC_H

#include "galenagw/routing/instances.h"
#include "galenagw/wire/session.h"

/* State of the cache updates to one peer (in an agent) or from one peer (in an
 * entry); initialize with zeros. */
typedef struct {
    bool has_full_update; /* agent: the peer was sent all parts */
    /* Entry: the parts received, and the engine and incarnation that they are
     * of. They may be received before the instance list contains that engine,
     * for example after a restart of the whole fleet. NULL: none. */
    GwCachedParts *parts;
    char instance[128];
    int64_t incarnation;
} GwCacheSync;

/* Agent: its engine and the engine's cached parts. */
typedef struct {
    const char *instance;
    int64_t incarnation;
    const GwCachedParts *parts;
} GwLocalCache;

/* Agent: send the peer the changes @p list, or all parts if it has not
 * received them yet. */
void GwCacheSync_Send(GwCacheSync *sync, GwSession *session,
                      const GwLocalCache *cache,
                      const GwCachedPartChange *list, size_t n);
/* Agent: the parts sent so far are void; the next update contains all of them.
 */
void GwCacheSync_Reset(GwCacheSync *sync);
/* Entry: apply an update from an agent and attach the parts to the instance.
 */
void GwCacheSync_OnUpdate(GwCacheSync *sync, const Gw__Wire__KeptParts *msg,
                          GwInstances *instances);
/* Entry: release the received parts. An instance that they are attached to
 * keeps them. */
void GwCacheSync_Clear(GwCacheSync *sync);

#endif
