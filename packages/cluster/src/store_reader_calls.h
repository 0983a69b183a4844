/* Calls to the store: when each list is read, and from where. */
#ifndef GALENAGW_CLUSTER_STORE_READER_CALLS_H
#define GALENAGW_CLUSTER_STORE_READER_CALLS_H

#include "store_reader_private.h"

/* Initialise or release the parts of @p lr that calls use. */
void GwStoreReaderCalls_Init(ListReader *lr);
void GwStoreReaderCalls_Release(ListReader *lr);
/* Send the first call, or wait for peers to send the list. */
void GwStoreReaderCalls_Start(ListReader *lr);
/* End the start-up wait if peers have sent the list. */
void GwStoreReaderCalls_StopWaitingForPeers(ListReader *lr);
/* Send the next call, unless one is under way. */
void GwStoreReaderCalls_Send(ListReader *lr);

#endif
