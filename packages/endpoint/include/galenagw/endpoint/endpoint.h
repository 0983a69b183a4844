/**
 * @defgroup endpoint Endpoint
 * @brief What an agent needs of the endpoint beside it, as one table.
 *
 * Two forms exist: a model engine (OpenAI-style HTTP with cache events,
 * load reports and orders) and a plain HTTP service. A further kind is one
 * more module that fills the table. Assumptions: docs/INTERFACES.md.
 * @{
 */
#ifndef GALENAGW_ENDPOINT_ENDPOINT_H
#define GALENAGW_ENDPOINT_ENDPOINT_H

#include "galenagw/net/http_client.h"
#include "galenagw/policy/cache_view.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How a call at the endpoint ended. */
typedef enum {
    GW_CALL_COMPLETE = 0, /**< The whole answer was handed over. */
    GW_CALL_NOT_RUN,      /**< Proven: the endpoint did not start it. */
    GW_CALL_BROKEN,       /**< It broke off, or never answered. */
    GW_CALL_ENDS
} GwCallEnd;

extern const char *const GwCallEnd_Names[GW_CALL_ENDS];

/** One call. Pointers need only live through start. */
typedef struct {
    const char *method;
    const char *path;
    const char *content_type;
    const char *body;
    size_t body_len;
    const char *key; /**< idempotency key passed on, or NULL */
    bool stream;     /**< an event stream is expected */
    /* Engines only: */
    int priority;           /**< 0 is served first */
    const char *cache_salt; /**< isolates accounts in the engine's cache */
    const uint64_t *chain;
    const uint32_t *chunk_bytes;
    size_t chain_len;
} GwEndpointRequest;

/** What an endpoint tells with its last callback. */
typedef struct {
    GwCallEnd end;
    uint64_t prompt_tokens; /**< 0 when not told */
    uint64_t cached_tokens;
} GwEndpointResult;

/** Callbacks of one call; on_done is the last. */
typedef struct {
    void (*on_head)(void *user, int status, const char *type);
    /** One event of a stream, or a piece of a whole answer. */
    void (*on_chunk)(void *user, const char *data, size_t len);
    void (*on_done)(void *user, const GwEndpointResult *result);
} GwEndpointCallOps;

/** An endpoint's own state, as last reported. */
typedef struct {
    uint64_t incarnation;
    int slots;
    size_t cache_chunks;
    const char *weights; /**< loaded version; "" while loading */
    bool loading;
} GwEndpointReport;

/** Callbacks about the endpoint itself. */
typedef struct {
    void (*on_report)(void *user, const GwEndpointReport *report);
    void (*on_cache_event)(void *user, uint64_t seq, GwCacheEventKind kind,
                           const uint64_t *hashes, size_t count);
    /** It does not answer. */
    void (*on_down)(void *user);
} GwEndpointWatchOps;

/** How an order ended. */
typedef enum {
    GW_ORDER_DONE = 0,
    GW_ORDER_FENCED,  /**< refused: the fencing number is old */
    GW_ORDER_UNKNOWN, /**< no answer: read the endpoint's state back */
    GW_ORDERS
} GwOrderEnd;

extern const char *const GwOrderEnd_Names[GW_ORDERS];

typedef void (*GwOrderFn)(void *user, GwOrderEnd end);

typedef struct GwEndpointCall GwEndpointCall;

/** The interface. Callbacks come from the loop, never from within. */
typedef struct {
    GwEndpointCall *(*start)(void *impl, const GwEndpointRequest *request,
                             const GwEndpointCallOps *ops, void *user);
    /** Cancel at the endpoint too; no further callback. */
    void (*cancel)(void *impl, GwEndpointCall *call);
    void (*pause)(void *impl, GwEndpointCall *call, bool pause);
    void (*watch)(void *impl, const GwEndpointWatchOps *ops, void *user);
    /** Load @p weights; NULL where orders do not apply. */
    void (*load_weights)(void *impl, const char *weights, uint64_t fence,
                         GwOrderFn fn, void *user);
    void (*delete_)(void *impl);
} GwEndpointOps;

/** An endpoint: the table and its instance. */
typedef struct {
    const GwEndpointOps *ops;
    void *impl;
} GwEndpoint;

/** Construction options of both kinds. */
typedef struct {
    GwAddress address;
    GwTime report_period;    /**< engines: between load reports */
    GwTime progress_timeout; /**< a call without output for so long broke */
} GwEndpointOptions;

/** A model engine. */
GwEndpoint GwEngine_New(GwLoop *loop, const GwEndpointOptions *options);
/** A plain HTTP service. */
GwEndpoint GwPlainService_New(GwLoop *loop, const GwEndpointOptions *options);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
