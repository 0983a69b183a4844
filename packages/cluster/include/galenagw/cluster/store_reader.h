/**
 * @defgroup store_reader Store reader
 * @brief Reads the platform's two lists from its store.
 *
 * Each list is read in full once, then by long polls for changes (see
 * long_poll). After a failed call, short calls follow until one of them is
 * answered, so that the end of an outage is noticed at once and not only with
 * the next change. If a read fails because the records have expired, the list
 * is read in full again. A later era in an answer means that the store was
 * restored from a backup; both lists are then read in full again.
 *
 * In large fleets most processes do not read the lists themselves but get them
 * from their peers (see read_schedule).
 * @{
 */
#ifndef GALENAGW_CLUSTER_STORE_READER_H
#define GALENAGW_CLUSTER_STORE_READER_H

#include "galenagw/cluster/fetch.h"
#include "galenagw/cluster/store_reader_options.h"

#ifdef __cplusplus
extern "C" {
#endif

GwStoreReader *GwStoreReader_New(GwLoop *loop,
                                 const GwStoreReaderOptions *options);
void GwStoreReader_Delete(GwStoreReader *reader);
/**
 * Pause between an entry's reads of the instances when @p entries entries read
 * them. A roll of new weights changes a record for each engine; when each
 * entry read each change separately, these calls were the largest cost of a
 * quiet day. The pause grows with the number of entries, so that all of them
 * together do not read more often than a few do, up to half of @p
 * leaving_bound, the time within which a draining endpoint must get no new
 * requests.
 */
GwTime GwStoreReader_EntryMinInterval(unsigned entries, GwTime leaving_bound);
void GwStoreReader_SetInstancesMinInterval(GwStoreReader *reader,
                                           GwTime pause);
/** Set the number of processes that follow the store and exchange updates,
 * this one included; 1: this process is connected to no other. */
void GwStoreReader_SetClusterSize(GwStoreReader *reader,
                                  unsigned cluster_size);
/**
 * A peer has reported a later end of @p list. If the list stays behind and no
 * byte of an answer is received, the connection to the store is considered
 * lost and is reopened.
 */
void GwStoreReader_NotePeerAhead(GwStoreReader *reader, GwList list);
/** Whether this process gets the lists from its peers instead of reading them
 * from the store. */
bool GwStoreReader_ReadsFromPeers(const GwStoreReader *reader);
/** A peer reports that @p list is complete up to @p at, and this process has
 * all of the peer's records. */
void GwStoreReader_Confirm(GwStoreReader *reader, GwList list, GwTime at);
/** Time since @p list was last known to be complete; -1: it never was. */
GwTime GwStoreReader_Age(const GwStoreReader *reader, GwList list);
/** A peer reports that the store answered regularly from @p since to @p until.
 * Removals that were deferred because of an outage are applied if there was
 * none. */
void GwStoreReader_NoteStoreAvailable(GwStoreReader *reader, GwList list,
                                      GwTime since, GwTime until);
/** See GwReadSchedule_AvailableFor. */
GwTime GwStoreReader_AvailableFor(const GwStoreReader *reader, GwList list);
/** See GwReadSchedule_SettledAt. */
GwTime GwStoreReader_SettledAt(const GwStoreReader *reader, GwList list);
/** Read @p list now, without waiting for the end of the pause between two
 * reads. A pause after a failure is kept. */
void GwStoreReader_ReadNow(GwStoreReader *reader, GwList list);
/** State of the current read of @p list. */
GwReadState GwStoreReader_ReadState(const GwStoreReader *reader, GwList list);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
