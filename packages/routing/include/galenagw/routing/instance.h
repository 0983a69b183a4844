/**
 * @defgroup instance Instance
 * @brief Types of the instance list: rows, endpoints, reports and callbacks.
 * @{
 */
#ifndef GALENAGW_ROUTING_INSTANCE_H
#define GALENAGW_ROUTING_INSTANCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/settings.h"
#include "galenagw/routing/admission.h"
#include "galenagw/routing/engine_speed.h"
#include "galenagw/routing/first_token_wait.h"
#include "galenagw/routing/health.h"
#include "galenagw/routing/cached_parts.h"
#include "galenagw/routing/software.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A decoded row of the instance list; strings are borrowed. */
typedef struct {
    const char *id;
    /** Incarnation of the id: time of its start by its own clock, used for
     * ordering only. 0: unknown, before all others. */
    int64_t incarnation;
    const char *service;
    GwAddress address;
    const char *failure_domain;
    unsigned slots;
    bool draining;
    const char *model;    /**< NULL: not a model engine */
    int64_t weights;      /**< version of the model's weights; -1: none */
    const char *software; /**< version of its software; NULL: unknown */
    int64_t offset; /**< position of its record; higher for newer records */
} GwInstanceRow;

/** Source of an update on an endpoint. */
typedef enum {
    /** its row in the instance list, read from the store or a peer */
    GW_SOURCE_LIST = 0,
    GW_SOURCE_AGENT,  /**< the agent beside it */
    GW_SOURCE_REPORT, /**< its own report to the agent beside it */
    GW_SOURCE_ANSWER, /**< its answer to a request */
    GW_SOURCE_PEER,   /**< another process, which may have received it from any
                         source */
    GW_SOURCES
} GwUpdateSource;

extern const char *const GwUpdateSource_Names[GW_SOURCES];

/** How recent the agent's last report on an engine is. */
typedef enum {
    /** no agent is connected, or its last report is too old */
    GW_REPORT_NONE = 0,
    GW_REPORT_FRESH,
    GW_REPORT_OVERDUE, /**< the agent, or the whole machine, is suspended or
                          disconnected */
    GW_REPORT_STATES
} GwReportState;

/** Last report of the agent beside an engine. */
typedef struct {
    GwTime at; /**< when it was received; 0: never, or the session to the agent
                  was closed */
    bool preparing; /**< to load new weights soon; gets no more long requests
                       until then */
    bool switching; /**< loading new weights, or about to */
    bool down;      /**< the engine does not answer the agent */
    uint64_t others_tokens;   /**< prompt tokens that other entries' requests
                                 wait to have prefilled */
    uint64_t others_urgent;   /**< of these, tokens of the most urgent
                                 priority; all if the agent does not report
                                 them */
    uint64_t others_yielding; /**< of these, tokens of low-priority accounts;
                                 see low_priority_tokens */
    uint64_t others_yielding_memory; /**< tokens of KV memory for other
                                        entries' low-priority requests; see
                                        yielding_memory */
    unsigned running;
    unsigned queued;
    uint32_t kv_used;
    uint32_t kv_total;
    GwTime switching_since; /**< when `switching` was first reported; 0: it is
                               not */
    double prefill_tokens_per_ms; /**< measured by the requests of all entries;
                                     0: unknown */
    GwTime switch_time; /**< how long a switch to new weights takes there; 0:
                           not measured */
} GwAgentReport;

/** One endpoint. Users may only change in_flight and user. */
typedef struct {
    char *id;
    int64_t incarnation; /**< see GwInstanceRow */
    uint64_t serial;     /**< unique among the instances of this process */
    bool superseded;     /**< a later incarnation of its id is known */
    char *service;
    char *failure_domain;
    char *model;
    GwAddress address;
    uint64_t address_hash; /**< hash of the address: its identity in rendezvous
                              hashing, the same after a restart */
    uint64_t domain;       /**< hash of the failure domain */
    unsigned slots;
    bool draining;        /**< gets no new requests: it is leaving, or it was
                             replaced (a newer instance is listed at its
                             address, or a different one answers there). That
                             it was replaced is not stored separately, see
                             GwInstances_RecomputeDraining */
    bool leaving;         /**< it announced its departure */
    GwTime leaving_until; /**< when the announcement expires, if it was in an
                             answer; 0: it was in the row, which is final for
                             an incarnation */
    bool followed;     /**< a model engine to whose agent this process keeps a
                          session */
    int64_t offset;    /**< position of its newest record */
    GwTime removed_at; /**< when its removal from the list was received, if the
                          removal is deferred; else 0 */
    int64_t weights;   /**< newest known version of weights; -1: none */
    char *software_version; /**< version of its software, for logs; NULL:
                               unknown */
    uint64_t software;      /**< GwSoftware_Identity of its service and that
                               version; 0: unknown */
    GwHealth health;
    GwAgentReport agent_report;
    /** parts that a model engine has cached, as reported by its agent; NULL:
     * not an engine */
    GwCachedParts *cached_parts;
    GwTime copying_until; /**< its link is busy until then with copies of KV
                             cache to or from it that this process requested
                           */
    GwTime avoid_until;   /**< avoided until then, because it was full or
                             loading; 0: no such restriction. It still gets
                             requests if no other endpoint is usable */
    GwTime backoff_until; /**< gets no requests from this process until then,
                             by its Retry-After */
    unsigned in_flight;   /**< uncompleted requests of this process */
    uint64_t prefill_tokens; /**< prompt tokens of those without a first event
                                yet */
    /** of these, tokens of accounts that engines schedule after others, such
     * as trials */
    uint64_t low_priority_tokens;
    uint64_t urgent_tokens; /**< of prefill_tokens, those of the most urgent
                               priority */
    /** requests in flight that are expected to run for long */
    unsigned long_runs;
    uint64_t yielding_memory; /**< tokens of KV memory that requests in flight
                                 of low-priority accounts use or will use */
    uint64_t reported_prefill_tokens; /**< prefill_tokens, as last sent to its
                                         agent */
    uint64_t reported_low_priority_tokens; /**< low_priority_tokens, as last
                                              sent to its agent */
    uint64_t reported_urgent_tokens; /**< urgent_tokens, as last sent to its
                                        agent */
    GwEngineSpeed speed;             /**< by the answers to this process */
    uint64_t sample_tokens;          /**< prefilled tokens measured since the
                                        agent was last notified */
    uint64_t sample_us;              /**< time that they took */
    uint64_t urgent_sent; /**< tokens of all urgent requests that were sent to
                             it */
    GwUnreportedTokens unreported_urgent; /**< urgent tokens sent to it since
                                             its agent's last report */
    GwFirstTokenWait first_token_wait;    /**< of requests of this process */
    void *user;                           /**< the owner's connections to it */
    int refs;
} GwInstance;

/** How long a departure that was announced in an answer applies: longer than
 * any endpoint takes to leave. It expires so that an erroneous announcement,
 * as from a corrupted message, does not exclude an endpoint indefinitely. */
#define GW_LEAVING_TERM (600 * GW_SECOND)
/** Maximum number of stored departures of endpoints that were not listed
 * since. They are limited because any peer may send any id. */
#define GW_LEAVING_MAX 256

/** Effect of a row of the list. */
typedef enum {
    GW_ROW_UNCHANGED = 0, /**< nothing but the position of its record changed
                           */
    GW_ROW_CHANGED,
    GW_ROW_EARLIER_INCARNATION, /**< ignored: a later incarnation is known */
    GW_ROW_VERDICTS
} GwRowVerdict;

extern const char *const GwRowVerdict_Names[GW_ROW_VERDICTS];

typedef struct GwInstances GwInstances;

/** Callbacks; NULL for those that are not needed. */
typedef struct {
    /** An endpoint was added. The callback may set its user pointer. */
    void (*on_added)(void *user, GwInstance *instance);
    /** The last reference was released; the instance is freed after this call.
     */
    void (*on_freed)(void *user, GwInstance *instance);
    /** @p after is a later incarnation of the id of @p before. @p before is no
     * longer listed; only requests in flight refer to it. */
    void (*on_restarted)(void *user, GwInstance *before, GwInstance *after,
                         GwUpdateSource from);
    /** A deferred removal is applied. */
    void (*on_removal_applied)(void *user, const GwInstance *instance,
                               GwTime now);
} GwInstancesOps;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
