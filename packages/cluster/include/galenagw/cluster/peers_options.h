/**
 * @defgroup peers_options Peer options
 * @brief Construction options of GwPeers, and the engine state that agents
 * send.
 * @{
 */
#ifndef GALENAGW_CLUSTER_PEERS_OPTIONS_H
#define GALENAGW_CLUSTER_PEERS_OPTIONS_H

#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/net/loop.h"
#include "galenagw/policy/limit_share.h"
#include "galenagw/quarantine/quarantine_sync.h"
#include "galenagw/routing/limit_tolerance.h"
#include "galenagw/routing/retry_leases.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwPeers GwPeers;

/** State of an engine, as its agent sends it to entries. */
typedef struct {
    const char *instance; /**< id of the engine */
    int64_t incarnation;  /**< see GwInstanceRow; 0: unknown */
    int64_t weights;      /**< version of the loaded weights */
    /** The engine accepts no requests that are expected to run for long ("long
     * runs"), because it will load new weights once those in progress have
     * ended. */
    bool preparing;
    /** New weights are about to be loaded; entries send the engine no
     * requests. */
    bool switching;
    bool down;          /**< does not answer its agent */
    unsigned running;   /**< requests in progress */
    unsigned queued;    /**< requests that wait in the engine */
    uint32_t kv_used;   /**< tokens of KV memory in use, also by low-priority
                           accounts */
    uint32_t kv_total;  /**< tokens of KV memory; 0: unknown */
    GwTime switch_time; /**< how long a switch of the engine takes; 0: not
                           measured */
} GwEngineState;

/** Construction options; strings must outlive the GwPeers object. */
typedef struct {
    bool is_agent;    /**< else this process is an entry */
    const char *name; /**< of this process */
    const char *failure_domain;
    GwAddress listen;
    int agent_port; /**< that all agents listen on */
    const GwAddress *seeds;
    int n_seeds;
    GwView *view;
    /** Notified when a peer reports a later end of a list than this process
     * has (GwStoreReader_NotePeerAhead); or NULL. */
    GwStoreReader *reader;
    GwEventLog *log;
    GwCounters *counters;
    /** Rate of the network link of this process's machine, in bytes per
     * second. Large copies of lists are sent to peers at a share of it. 0:
     * unknown. */
    double link_rate;
    /** Entry: an agent has reported that its engine does not answer; or NULL.
     */
    void (*on_engine_down)(void *user, GwInstance *instance);
    GwQuarantine *quarantine; /**< its updates are exchanged with peers; or
                                 NULL */
    /** A peer has reported the termination of an endpoint; or NULL. */
    void (*on_endpoint_terminated)(void *user,
                                   const GwEndpointTermination *end);
    /** Agent: answers the requests for units of account limits, for the
     * accounts of which this process is a limit owner; NULL: none. */
    GwLimitOwner *limit_owner;
    /** Entry: is given the limit owner pool, and the units that limit owners
     * grant; or NULL. */
    GwLimitShare *limit_share;
    /** Agent: its part of the slack of the retry budgets; or NULL. */
    GwRetrySlack *retry_slack;
    /** Entry: is given the slack owners, which are the limit owner pool, and
     * what they grant; or NULL. */
    GwRetryLeases *retry_leases;
    /** Agent: tolerance with which its limit owner applies account limits. */
    GwLimitTolerance limit_tolerance;
    void *user;
} GwPeersOptions;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
