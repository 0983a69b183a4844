/**
 * @defgroup config Effective configuration
 * @brief The typed, validated configuration of one site at one revision.
 * @{
 */
#ifndef GALENAGW_CONFIG_CONFIG_H
#define GALENAGW_CONFIG_CONFIG_H

#include "galenagw/config/document.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Tier of a client account; paying requests have precedence over trials. */
typedef enum { GW_TIER_PAYING = 0, GW_TIER_TRIAL, GW_TIERS } GwTier;

/** Names of ::GwTier in the configuration, by value. */
extern const char *const GwTier_Names[GW_TIERS];

/** A traffic class: the urgency of the requests of its accounts. */
typedef struct {
    char *name;
    int urgency;        /**< 0 (most urgent) to 9 (least urgent) */
    int first_token_ms; /**< deadline of the first token; 0: none */
} GwTrafficClass;

/** A client account. */
typedef struct {
    char *name;
    GwTier tier;
    const GwTrafficClass *class_; /**< owned by the configuration */
    char *key_salt;               /**< salt of key_hash */
    char *key_hash; /**< hex HMAC-SHA256 of the secret, keyed by the salt */
    double requests_per_s; /**< rate limit; 0: unlimited */
} GwAccount;

/** A model, which a pool of engines serves. */
typedef struct {
    char *name;
    char *weights; /**< version of the weights that its engines must load */
    char *adapter; /**< adapter on these weights; "": none */
} GwModel;

/** A plain service, which a pool of endpoints serves. */
typedef struct {
    char *name;
    char **idempotent_methods; /**< methods that may be retried;
                                  NULL-terminated */
    int key_life_s;            /**< lifetime of the claim of a key, seconds
                                */
} GwService;

/** Tuning parameters of routing and admission. */
typedef struct {
    double paying_reserve;    /**< share of the slots of an engine that trials
                                 must leave free; 0 to 1 */
    double trial_cache_share; /**< share of the KV cache of an engine, in
                                 blocks, that trials may fill; 0 to 1. A single
                                 larger trial may exceed it while no other
                                 trial has blocks. */
    int queue_max;            /**< longest queue of one endpoint, requests */
    int probes;               /**< endpoints probed for each request */
    double recompute_weight;  /**< weight of the time to recompute missing
                                 tokens, relative to the waiting time */
    double retry_share;       /**< retries allowed per first attempt; 0 to 1 */
    int weight_loads; /**< engines of a site that may load weights at the same
                         time */
    int order_lease_ms; /**< duration of the lease on load orders */
} GwTuning;

/** The effective configuration of one site; immutable. */
typedef struct {
    GHashTable *classes;  /**< name to GwTrafficClass */
    GHashTable *accounts; /**< name to GwAccount */
    GHashTable *models;   /**< name to GwModel */
    GHashTable *services; /**< name to GwService */
    GwTuning tuning;
} GwConfig;

/**
 * Check @p effective against the schema, and the references in it.
 * @param yaml source of the file and line in error messages; may be NULL
 * @return false, with @p err set to the file, line, field and remedy
 */
bool GwConfig_Check(const json_t *effective, const GwYaml *yaml, GwError *err);
/** @return the typed form of @p effective, or NULL with @p err set */
GwConfig *GwConfig_New(const json_t *effective, GwError *err);
void GwConfig_Delete(GwConfig *config);

/**
 * Authenticate a client by @p bearer ("ACCOUNT.SECRET").
 * @return its account, or NULL if the account is unknown or the secret is
 * wrong
 */
const GwAccount *GwConfig_Authenticate(const GwConfig *config,
                                       const char *bearer);
/** @return the hex HMAC-SHA256 of @p secret, keyed by @p salt; freed with
 * g_free */
char *GwConfig_HashKey(const char *salt, const char *secret);
/** Whether requests of HTTP method @p method to @p service may be retried. */
bool GwService_IsIdempotent(const GwService *service, const char *method);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
