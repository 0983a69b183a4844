/**
 * @defgroup store_reader_options Store reader options
 * @brief Construction options of GwStoreReader.
 * @{
 */
#ifndef GALENAGW_CLUSTER_STORE_READER_OPTIONS_H
#define GALENAGW_CLUSTER_STORE_READER_OPTIONS_H

#include "galenagw/cluster/view.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwStoreReader GwStoreReader;

/** Construction options. */
typedef struct {
    GwAddress store;
    /** Name of this process, decides whether it reads the lists in a large
     * fleet (see read_schedule); NULL: it reads them in any fleet. */
    const char *name;
    GwView *view; /**< the records read are applied to it */
    GwEventLog *log;
    GwCounters *counters;
    GRand *rand;
    /** Pause between two reads of the instances. Changes within a pause are
     * read with one call, because each call has a cost. */
    GwTime instances_min_interval;
    /** Propagation bound: time within which a change must be known. 0: two
     * seconds. */
    GwTime bound;
    /** Interval at which endpoints renew their records. A record expires after
     * three intervals without renewal. 0: 1.2 seconds. */
    GwTime heartbeat_interval;
    /** Time after a disconnection of this process until it must apply removals
     * in time again. 0: three seconds. */
    GwTime reconnect_bound;
    /** At the start, wait for peers to send the lists before reading them from
     * the store; for processes that no client waits for. */
    bool asks_peers_first;
} GwStoreReaderOptions;

#ifdef __cplusplus
}
#endif
/** @} */
#endif
