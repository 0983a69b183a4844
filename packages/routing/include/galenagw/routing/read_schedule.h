/**
 * @defgroup read_schedule Schedule of store reads
 * @brief Which processes read the platform's lists from the store, and when.
 *
 * Each process can read both lists from the store. If all of them did, calls
 * and bytes at the store would grow with the fleet, and would be simultaneous
 * at its start and after an outage. Therefore, only about two dozen processes,
 * the store readers, read from the store and forward changes to the others.
 * Whether a process is a store reader is determined by a hash of its name, so
 * that processes need not agree on it.
 *
 * Peers also exchange how long ago each list was confirmed, that is known to
 * be complete by an answer of the store to any process. A process whose lists
 * were not confirmed recently reads them itself. This covers store readers
 * that are disconnected, suspended, slow or rejected by the store, without any
 * need to detect these cases.
 * @{
 */
#ifndef GALENAGW_ROUTING_READ_SCHEDULE_H
#define GALENAGW_ROUTING_READ_SCHEDULE_H

#include <glib.h>
#include <stdbool.h>

#include "galenagw/base/clock.h"
#include "galenagw/routing/records.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Approximate number of store readers in larger fleets. */
#define GW_STORE_READERS 24
/** Default time within which a change must be known. */
#define GW_READ_BOUND_DEFAULT (2 * GW_SECOND)

/** State of one process. Initialise with GwReadSchedule_Init. */
typedef struct {
    double hash_fraction;  /**< hash of the process name, scaled to 0 to 1 */
    GwTime bound;          /**< time within which a change must be known */
    unsigned cluster_size; /**< connected processes that exchange updates, this
                              one included */
    GwTime wait_for_peers_until;   /**< end of the start-up wait for peers to
                                      send the lists */
    GwTime confirmed_at[GW_LISTS]; /**< when each list was last known to be
                                      complete; 0: never */
    GwTime max_gap; /**< between two confirmations; a longer one suggests an
                       outage in which records expired */
    GwTime available_since[GW_LISTS]; /**< confirmation since which there was
                                         no gap that suggests an outage */
} GwReadSchedule;

/**
 * @param name  name of the process; NULL: it is always a store reader
 * @param bound time within which a change must be known; 0:
 *   GW_READ_BOUND_DEFAULT
 * @param heartbeat_interval between two heartbeats of an endpoint, with which
 *   it renews its record
 */
void GwReadSchedule_Init(GwReadSchedule *schedule, const char *name,
                         GwTime bound, GwTime heartbeat_interval);
/** Wait at the start until peers have sent the lists, for one to two times the
 * bound. For processes that serve no clients. */
void GwReadSchedule_WaitForPeers(GwReadSchedule *schedule, GwTime now,
                                 GRand *rand);
/** Set the number of connected processes that exchange updates, this one
 * included; 1: it has no connection. */
void GwReadSchedule_SetClusterSize(GwReadSchedule *schedule,
                                   unsigned cluster_size);
/** Whether this process gets the lists from its peers. */
bool GwReadSchedule_ReadsFromPeers(const GwReadSchedule *schedule);
/** Whether it is still in the start-up wait for peers to send @p list. */
bool GwReadSchedule_IsWaitingForPeers(const GwReadSchedule *schedule,
                                      GwList list, GwTime now);
/**
 * Check whether it is time for a call to the store for @p list.
 * @return 0: send a call now; else delay until the next check
 */
GwTime GwReadSchedule_Delay(const GwReadSchedule *schedule, GwList list,
                            GwTime now, GRand *rand);
/**
 * Delay until the next check after an answered call.
 * @param was_full_read the answer was the last page of a full read
 * @param pause delay of a store reader; in large fleets, a random part of it
 */
GwTime GwReadSchedule_DelayAfterAnswer(const GwReadSchedule *schedule,
                                       bool was_full_read, GwTime pause,
                                       GRand *rand);
/**
 * Delay until the next check after a failed call.
 * @param pause delay of a store reader
 */
GwTime GwReadSchedule_DelayAfterFailure(const GwReadSchedule *schedule,
                                        GwTime pause, GRand *rand);
/** Delay until the first check of a process that received the lists from peers
 * at its start. */
GwTime GwReadSchedule_DelayAfterStart(GRand *rand);
/** All records of @p list that were written before @p at are known, by an
 * answer of the store to this process or to a peer. */
void GwReadSchedule_Confirm(GwReadSchedule *schedule, GwList list, GwTime at);
/** Whether the store has answered this process or its peers regularly in the
 * last seconds. If so, failures of this process's calls were not caused by an
 * outage of the store, and no records of @p list have expired in one. */
bool GwReadSchedule_WasStoreAvailable(const GwReadSchedule *schedule,
                                      GwList list, GwTime now);
/**
 * When the effects of an outage of the store on @p list have ended: all live
 * endpoints whose records expired have written them again by then.
 * @return that time; 0: the store is not known to be available now
 */
GwTime GwReadSchedule_SettledAt(const GwReadSchedule *schedule, GwList list,
                                GwTime now);
/** For how long before its last confirmation @p list was confirmed without a
 * gap that suggests an outage, to be sent to peers; -1: never confirmed. */
GwTime GwReadSchedule_AvailableFor(const GwReadSchedule *schedule,
                                   GwList list);
/** A peer reports that the store answered regularly from @p since to @p until.
 * This process may have been disconnected meanwhile. */
void GwReadSchedule_NoteAvailable(GwReadSchedule *schedule, GwList list,
                                  GwTime since, GwTime until);
/** Time since @p list was confirmed, to be sent to peers; -1: never. */
GwTime GwReadSchedule_Age(const GwReadSchedule *schedule, GwList list,
                          GwTime now);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
