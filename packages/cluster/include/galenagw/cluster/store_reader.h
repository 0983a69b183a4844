/**
 * @defgroup store_reader Store reader
 * @brief Follows the platform's two lists in its store.
 *
 * Each list is read whole once, then by calls that wait for news. A call
 * that fails is repeated with growing, jittered pauses; records that expired
 * meanwhile are made up for by reading the whole list again.
 * @{
 */
#ifndef GALENAGW_CLUSTER_STORE_READER_H
#define GALENAGW_CLUSTER_STORE_READER_H

#include "galenagw/cluster/view.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwStoreReader GwStoreReader;

/** Construction options. */
typedef struct {
    GwAddress store;
    GwView *view; /**< whose records are fed */
    GwEventLog *log;
    GwCounters *counters;
    GRand *rand;
    /** Between readings of the endpoints. Changes that come close together
     * are read at once, each call having its price. */
    GwTime instances_pause;
} GwStoreReaderOptions;

GwStoreReader *GwStoreReader_New(GwLoop *loop,
                                 const GwStoreReaderOptions *options);
void GwStoreReader_Delete(GwStoreReader *reader);
/**
 * A peer knows more of @p list than we do. If that lasts, the connection
 * has gone silent and is opened anew.
 */
void GwStoreReader_Suspect(GwStoreReader *reader, GwList list);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
