/* Applies the answers to reads of a list to the view. */
#ifndef GALENAGW_CLUSTER_STORE_READER_ANSWERS_H
#define GALENAGW_CLUSTER_STORE_READER_ANSWERS_H

#include "store_reader_private.h"

/* Apply the answer to the call under way: changes, or a page of a full read.
 * Removals after a restore of the store are deferred. Returns false with @p
 * err set if the answer cannot be decoded. */
bool GwStoreReaderAnswers_Apply(ListReader *lr, const char *body, size_t len,
                                GwError *err);

#endif
