/**
 * @defgroup config Configuration in force
 * @brief The typed, checked configuration of one site at one revision.
 * @{
 */
#ifndef GALENAGW_CONFIG_CONFIG_H
#define GALENAGW_CONFIG_CONFIG_H

#include "galenagw/config/document.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum { GW_TIER_PAYING = 0, GW_TIER_TRIAL, GW_TIERS } GwTier;

extern const char *const GwTier_Names[GW_TIERS];

/** How urgent a kind of traffic is. */
typedef struct {
    char *name;
    int urgency;        /**< 0 is most urgent, 9 least. */
    int first_token_ms; /**< Deadline of the first token; 0: none. */
} GwClass;

/** A client account. */
typedef struct {
    char *name;
    GwTier tier;
    const GwClass *class_;
    char *key_salt;
    char *key_hash; /**< hex HMAC-SHA256 of the secret, keyed by the salt */
    double requests_per_s; /**< 0: unlimited */
} GwAccount;

/** A model pool. */
typedef struct {
    char *name;
    char *weights; /**< version in force */
    char *adapter; /**< or "" */
} GwModel;

/** A pool of plain services. */
typedef struct {
    char *name;
    char **idempotent_methods; /**< NULL-terminated */
    int key_life_s;            /**< how long a claim binds its key */
} GwService;

/** Numbers that steer the decisions. */
typedef struct {
    double paying_reserve;    /**< share of slots that trials never take */
    double trial_cache_share; /**< of an engine's blocks */
    int queue_max;            /**< waiting requests at one endpoint */
    int probes;               /**< candidates asked for each request */
    double recompute_weight;  /**< of a missing token against a wait */
    double retry_share;       /**< retries for each first attempt */
    int weight_loads;         /**< at once in a site */
    int order_lease_ms;       /**< of the lease on orders */
} GwTuning;

/** Everything in force at one site; immutable once made. */
typedef struct {
    GHashTable *classes;  /**< name to GwClass */
    GHashTable *accounts; /**< name to GwAccount */
    GHashTable *models;   /**< name to GwModel */
    GHashTable *services; /**< name to GwService */
    GwTuning tuning;
} GwConfig;

/**
 * Check @p effective against the schema.
 * @param yaml names file and line in messages; may be NULL
 */
bool GwConfig_Check(const json_t *effective, const GwYaml *yaml, GwError *err);
/** @return the typed form, or NULL with @p err. */
GwConfig *GwConfig_New(const json_t *effective, GwError *err);
void GwConfig_Delete(GwConfig *config);

/**
 * The account that @p bearer ("ACCOUNT.SECRET") belongs to.
 * @return NULL when it is unknown or the secret is wrong
 */
const GwAccount *GwConfig_Authenticate(const GwConfig *config,
                                       const char *bearer);
/** Hex HMAC-SHA256 of @p secret under @p salt; free with g_free. */
char *GwConfig_HashKey(const char *salt, const char *secret);
/** Whether @p method may be repeated at @p service. */
bool GwService_IsIdempotent(const GwService *service, const char *method);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
