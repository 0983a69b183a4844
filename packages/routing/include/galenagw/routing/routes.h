/**
 * @defgroup routes Routes
 * @brief One version of the routes, services, client accounts and limits.
 *
 * A table is not modified after GwRoutes_Finish. Requests in flight keep a
 * reference to the version they started with.
 * @{
 */
#ifndef GALENAGW_ROUTING_ROUTES_H
#define GALENAGW_ROUTING_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Decides which requests may be retried. */
typedef enum {
    GW_ROUTE_IDEMPOTENT = 0, /**< may run more than once */
    GW_ROUTE_NON_IDEMPOTENT, /**< may run once for each attempt of the client
                              */
    GW_ROUTE_STREAMING, /**< answered by events; may run once, unless resumable
                         */
    GW_ROUTE_TYPES
} GwRouteType;

extern const char *const GwRouteType_Names[GW_ROUTE_TYPES];

/** One service of a route's traffic split. */
typedef struct {
    char *service;
    unsigned weight;
} GwSplit;

typedef struct {
    char *name;
    char *host;
    char *path_prefix;
    GwRouteType type;
    GwTime timeout;        /**< maximum time until the answer is complete;
                              a longer one is broken off */
    GwTime target_latency; /**< up to the answer, or to the first event of a
                              stream */
    int priority;          /**< 0: most urgent */
    unsigned max_attempts; /**< maximum number of endpoints that a request is
                              sent to */
    bool is_public;        /**< no API key is required */
    bool resumable;   /**< a stream may be continued by another endpoint */
    bool has_prompts; /**< requests declare the parts of their prompts */
    GArray *splits;   /**< of GwSplit: services and their weights */
} GwRoute;

typedef struct {
    char *name;
    int priority;  /**< 0: most urgent; takes precedence over the route's; -1:
                      not set, treated like 0 */
    bool isolated; /**< shares no KV cache with other accounts */
    /** units per second, tokens or requests; 0: no limit */
    double limit_rate;
    double limit_burst; /**< units that may be used at once after a pause; 0:
                           not set */
    bool counts_tokens; /**< units are tokens, else requests */
    uint32_t default_tokens; /**< units of a request that does not declare its
                              tokens */
} GwAccount;

/** A service, or a KV store. */
typedef struct {
    char *name;
    /** connections that one endpoint accepts from all processes combined; 0:
     * no limit */
    unsigned max_connections;
    bool is_model; /**< its endpoints are model engines */
    bool is_kv_store;
    GwAddress kv_store;   /**< address, if it is a KV store */
    char *failure_domain; /**< of a KV store; NULL: not set */
    double link_mbps; /**< of an engine's or KV store's link, in Mbit/s; 0: not
                         set */
    double token_bytes; /**< KV cache of one prompt token at its engines, in
                           bytes; 0: not set */
    unsigned max_followers; /**< maximum number of processes whose calls for
                               events of a KV store may wait at the same time;
                               0: not set */
} GwService;

/** Limits on what clients may send, in bytes and time. */
typedef struct {
    size_t max_head;
    size_t max_body;
    GwTime head_timeout;
    GwTime idle_timeout;
} GwLimits;

typedef struct {
    int refs;
    uint64_t version;
    GPtrArray *routes;   /**< of GwRoute, owned */
    GHashTable *by_host; /**< host to GPtrArray of GwRoute, longest path prefix
                            first */
    GHashTable *accounts;    /**< API key to GwAccount */
    GPtrArray *account_list; /**< of GwAccount, owned */
    GHashTable *by_name;     /**< name to GwAccount */
    GHashTable *services;    /**< name to GwService, owned */
    bool has_accounts;
    bool has_limits; /**< at least one account has a limit */
    /** Of the names of the isolated accounts, in any order; 0: there are none.
     */
    uint64_t isolation_hash;
    int most_urgent_priority; /**< engine priority of the most urgent routes
                        with prompts */
    GwLimits limits;
} GwRoutes;

GwRoutes *GwRoutes_New(uint64_t version);
GwRoutes *GwRoutes_Ref(GwRoutes *routes);
void GwRoutes_Unref(GwRoutes *routes);

/** Add a route, owned by @p routes. The caller fills in its fields. */
GwRoute *GwRoutes_AddRoute(GwRoutes *routes);
void GwRoute_AddSplit(GwRoute *route, const char *service, unsigned weight);
GwAccount *GwRoutes_AddAccount(GwRoutes *routes, const char *name);
void GwRoutes_AddKey(GwRoutes *routes, const char *key, GwAccount *account);
GwService *GwRoutes_AddService(GwRoutes *routes, const char *name);
/** Build the indices. To be called once, after everything was added and before
 * GwRoutes_Match. */
void GwRoutes_Finish(GwRoutes *routes);

/** Shortest target latency of the routes to @p service; 0: none has one. */
GwTime GwRoutes_ShortestTarget(const GwRoutes *routes, const char *service);
/** The route of @p host whose path prefix is the longest that @p target starts
 * with, or NULL. */
const GwRoute *GwRoutes_Match(const GwRoutes *routes, const char *host,
                              const char *target);
/** The account of the API key @p key, or NULL. */
const GwAccount *GwRoutes_Account(const GwRoutes *routes, const char *key);
/** The account named @p name, or NULL. */
const GwAccount *GwRoutes_AccountNamed(const GwRoutes *routes,
                                       const char *name);
const GwService *GwRoutes_Service(const GwRoutes *routes, const char *name);
/**
 * Select a service by the route's weights. @p random_value is uniformly
 * distributed in [0, 1).
 * @return NULL if the route has no services
 */
const char *GwRoute_PickService(const GwRoute *route, double random_value);
/** Number of priorities of engines: 0 (most urgent) to 9. */
#define GW_ENGINE_PRIORITIES 10
/** Priority of a request at engines. The account's priority takes precedence.
 * Among equal accounts the route's decides, so that short urgent requests do
 * not wait behind long prompts. @p account may be NULL. */
int GwRoute_EnginePriority(const GwRoute *route, const GwAccount *account);
/** Whether engines schedule the account's requests after those of others. */
bool GwAccount_IsLowPriority(const GwAccount *account);
/** Units of the account's limit that a request of @p tokens uses; 0 tokens: it
 * declares none. */
double GwAccount_Units(const GwAccount *account, uint64_t tokens);
/** Whether a request that may have run may be retried. */
bool GwRoute_MayRetry(const GwRoute *route);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
