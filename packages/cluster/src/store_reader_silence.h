/* Connections to the store that fail silently: a peer is ahead of this
 * process, but no byte of the answer is received. */
#ifndef GALENAGW_CLUSTER_STORE_READER_SILENCE_H
#define GALENAGW_CLUSTER_STORE_READER_SILENCE_H

#include "store_reader_private.h"

/* Initialise or release the timer of @p lr. */
void GwStoreReaderSilence_Init(ListReader *lr);
void GwStoreReaderSilence_Release(ListReader *lr);
/* See GwStoreReader_NotePeerAhead. */
void GwStoreReaderSilence_NotePeerAhead(ListReader *lr);
/* Cancel the call under way and send another one on a new connection. */
void GwStoreReaderSilence_Reopen(ListReader *lr, const char *why);

#endif
