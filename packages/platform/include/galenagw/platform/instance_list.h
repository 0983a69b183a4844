/**
 * @defgroup instance_list Instance list
 * @brief Polls the platform's list of instances.
 *
 * The list lags, may be down, and may be stale; its reader treats it as one
 * hint among fresher ones (see @ref membership). While it is down the last
 * good reading stays in use.
 * @{
 */
#ifndef GALENAGW_PLATFORM_INSTANCE_LIST_H
#define GALENAGW_PLATFORM_INSTANCE_LIST_H

#include "galenagw/net/http_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One row. */
typedef struct {
    const char *name;
    const char *role; /**< "entry" or "agent" */
    const char *pool; /**< model or service; "" for entries */
    const char *failure_domain;
    GwAddress address;
    bool leaving;
} GwInstance;

/** One whole reading: begin, rows, end. */
typedef struct {
    void (*on_begin)(void *user);
    void (*on_instance)(void *user, const GwInstance *instance);
    void (*on_end)(void *user);
} GwInstanceListOps;

/** The interface: its real form replaces one module. */
typedef struct GwInstanceList GwInstanceList;

/** Poll @p address every @p period, jittered. */
GwInstanceList *GwInstanceList_New(GwLoop *loop, const GwAddress *address,
                                   GwTime period, GRand *rand,
                                   const GwInstanceListOps *ops, void *user);
void GwInstanceList_Delete(GwInstanceList *list);
/** Hand a reading's JSON text over; what the poller does, for tests too. */
bool GwInstanceList_Read(const char *json, size_t len,
                         const GwInstanceListOps *ops, void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
