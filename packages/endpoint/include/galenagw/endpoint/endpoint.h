/**
 * @defgroup endpoint Endpoint
 * @brief The interface of an agent to its endpoint: a table of functions.
 *
 * Two implementations exist: a model engine (OpenAI-style HTTP with cache
 * events, load reports and load orders) and a plain HTTP service. Another kind
 * of endpoint is one more module that provides this table. What is assumed of
 * endpoints is documented in docs/INTERFACES.md.
 * @{
 */
#ifndef GALENAGW_ENDPOINT_ENDPOINT_H
#define GALENAGW_ENDPOINT_ENDPOINT_H

#include "galenagw/http/client.h"
#include "galenagw/policy/cache_view.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Outcome of a call at the endpoint. */
typedef enum {
    GW_ENDPOINT_COMPLETE = 0, /**< the answer was received completely */
    GW_ENDPOINT_NOT_RUN,      /**< proven: the endpoint did not start it */
    GW_ENDPOINT_BROKEN,       /**< the answer was broken off, or none came */
    GW_ENDPOINT_OUTCOMES
} GwEndpointOutcome;

extern const char *const GwEndpointOutcome_Names[GW_ENDPOINT_OUTCOMES];

/** One call. The pointers are used only until GwEndpointOps.start returns. */
typedef struct {
    const char *method;
    const char *path;
    const char *content_type;
    const char *body;
    size_t body_len;
    const char *key; /**< idempotency key to be forwarded, or NULL */
    bool stream;     /**< an event stream is expected */
    /* Engines only: */
    int priority; /**< 0 is the highest */
    /** Isolates accounts in the engine's cache: prompts share cached parts
     * only if their salts are equal. */
    const char *cache_salt;
    const uint64_t *chain; /**< prefix hashes of the prompt, one per chunk */
    const uint32_t *chunk_bytes; /**< size of each chunk, bytes */
    size_t chain_len;            /**< number of chunks */
} GwEndpointRequest;

/** Passed to the last callback of a call. */
typedef struct {
    GwEndpointOutcome outcome;
    uint64_t prompt_tokens; /**< 0: not reported */
    uint64_t cached_tokens; /**< prompt tokens reused from the cache */
} GwEndpointResult;

/** Callbacks of one call; on_done is the last. */
typedef struct {
    void (*on_head)(void *user, int status, const char *type);
    /** One event of an event stream, or a piece of another answer. */
    void (*on_chunk)(void *user, const char *data, size_t len);
    void (*on_done)(void *user, const GwEndpointResult *result);
} GwEndpointCallOps;

/** The state that an endpoint reports. */
typedef struct {
    uint64_t incarnation;
    int slots;           /**< requests that it runs at once */
    size_t cache_chunks; /**< capacity of its cache */
    const char *weights; /**< loaded version; "" while loading */
    bool loading;        /**< new weights are being loaded */
} GwEndpointReport;

/** Callbacks on the state of the endpoint. */
typedef struct {
    void (*on_report)(void *user, const GwEndpointReport *report);
    /** Parts of prompts entered or left the engine's cache. */
    void (*on_cache_event)(void *user, uint64_t seq, GwCacheEventKind kind,
                           const uint64_t *hashes, size_t count);
    /** The endpoint did not answer a request for its report. */
    void (*on_down)(void *user);
} GwEndpointWatchOps;

/** Outcome of a load order. */
typedef enum {
    GW_ORDER_DONE = 0, /**< accepted */
    GW_ORDER_FENCED,   /**< refused: the endpoint has seen a newer fence */
    GW_ORDER_UNKNOWN,  /**< no answer: its reports show what happened */
    GW_ORDER_OUTCOMES
} GwOrderOutcome;

extern const char *const GwOrderOutcome_Names[GW_ORDER_OUTCOMES];

typedef void (*GwOrderFn)(void *user, GwOrderOutcome outcome);

typedef struct GwEndpointCall GwEndpointCall;

/**
 * The interface. Callbacks are called from the event loop, never from within
 * one of these functions.
 */
typedef struct {
    /** Send a request. */
    GwEndpointCall *(*start)(void *impl, const GwEndpointRequest *request,
                             const GwEndpointCallOps *ops, void *user);
    /** Cancel the call, also at the endpoint; no callback follows. */
    void (*cancel)(void *impl, GwEndpointCall *call);
    /** Stop or resume reading the answer. */
    void (*pause)(void *impl, GwEndpointCall *call, bool pause);
    /** Start to report the endpoint's state through @p ops. */
    void (*watch)(void *impl, const GwEndpointWatchOps *ops, void *user);
    /** Order the endpoint to load @p weights; NULL for a plain service. */
    void (*load_weights)(void *impl, const char *weights, uint64_t fence,
                         GwOrderFn fn, void *user);
    void (*delete_)(void *impl);
} GwEndpointOps;

/** An endpoint: the function table and the object to pass to it. */
typedef struct {
    const GwEndpointOps *ops;
    void *impl;
} GwEndpoint;

/** Construction options of both implementations. */
typedef struct {
    GwAddress address;
    GwTime report_period;    /**< engines: interval of load reports */
    GwTime progress_timeout; /**< a call without output for this long is
                                broken */
} GwEndpointOptions;

/** Create the interface to a model engine. */
GwEndpoint GwEngine_New(GwLoop *loop, const GwEndpointOptions *options);
/** Create the interface to a plain HTTP service. */
GwEndpoint GwPlainService_New(GwLoop *loop, const GwEndpointOptions *options);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
