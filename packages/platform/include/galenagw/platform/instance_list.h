/**
 * @defgroup instance_list Instance list
 * @brief Polls the instance list of the platform over HTTP.
 *
 * The list is updated with a delay and may be unavailable or stale. Its user
 * therefore treats it as one of several sources, of which others are more
 * recent (see @ref membership). While the list is unavailable, the last
 * successful read stays in use.
 * @{
 */
#ifndef GALENAGW_PLATFORM_INSTANCE_LIST_H
#define GALENAGW_PLATFORM_INSTANCE_LIST_H

#include "galenagw/http/client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** One row of the list; its strings are valid during the callback. */
typedef struct {
    const char *name;
    const char *role; /**< "entry" or "agent" */
    const char *pool; /**< model or service; "" for entries */
    const char *failure_domain;
    GwAddress address;
    bool leaving; /**< the row has state "leaving" */
} GwInstance;

/** Callbacks of one full read: on_begin, on_instance for each row with a name
 * and a valid address, on_end. */
typedef struct {
    void (*on_begin)(void *user);
    void (*on_instance)(void *user, const GwInstance *instance);
    void (*on_end)(void *user);
} GwInstanceListOps;

/** The poller. An adapter to another list service replaces only this module.
 */
typedef struct GwInstanceList GwInstanceList;

/** Poll @p address at once, then every @p period with jitter. */
GwInstanceList *GwInstanceList_New(GwLoop *loop, const GwAddress *address,
                                   GwTime period, GRand *rand,
                                   const GwInstanceListOps *ops, void *user);
void GwInstanceList_Delete(GwInstanceList *list);
/**
 * Report the rows of @p json, the body of an answer of the list service. Used
 * by the poller and by tests.
 * @return false, without callbacks, if @p json is no valid list
 */
bool GwInstanceList_Decode(const char *json, size_t len,
                           const GwInstanceListOps *ops, void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
