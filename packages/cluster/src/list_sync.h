/* Replication of the platform's lists between peers. A process whose copy of a
 * list is behind requests the missing records from a peer that reported a
 * later end of the list, and receives them from that peer. */
#ifndef GALENAGW_CLUSTER_LIST_SYNC_H
#define GALENAGW_CLUSTER_LIST_SYNC_H

#include <sys/queue.h>

#include "galenagw/cluster/fetch.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/wire/session.h"

/* State of one peer in the replication of the lists; embedded in its owner's
 * structure. */
typedef struct GwListSyncPeer {
    TAILQ_ENTRY(GwListSyncPeer) link;
    GwSession *session;
    const char *name;       /* from its Hello; may change */
    int64_t ends[GW_LISTS]; /* of the lists, as last reported by the peer; 0:
                               unknown */
    GwTime status_at;       /* when its last heartbeat was received */
    int64_t sent_ends[GW_LISTS]; /* ends of the lists after the records that
                                    were queued to it */
    bool is_same_domain;         /* in the failure domain of this process */
    /* A configured seed, which many processes send requests to when they
     * start: used only if no other peer has the records. */
    bool is_seed;
    bool has_instances_request; /* instances were requested from it before */
    /* Request of the peer that waits until the link of this process is free;
     * NULL: none. */
    Gw__Wire__RecordsAsk *queued_request;
} GwListSyncPeer;

typedef struct {
    GwView *view;
    /* Notified when a peer reports a later end of a list than this process has
     * (GwStoreReader_NotePeerAhead); or NULL. */
    GwStoreReader *reader;
    GwEventLog *log;
    GwCounters *counters;
    /* Rate of the network link of this process's machine, in bytes per second.
     * Large copies of lists are sent at a share of it. 0: unknown. */
    double link_rate;
} GwListSyncOptions;

/* Embedded in its owner's structure; the fields are private to this module. */
typedef struct {
    GwListSyncOptions options;
    TAILQ_HEAD(, GwListSyncPeer) peers;
    GwFetch fetches[GW_LISTS];
    int64_t latest_ends[GW_LISTS]; /* latest end of each list that a peer
                                      reported */
    /* Peer that each list was last requested from; NULL: none, or its session
     * was closed. */
    GwListSyncPeer *requested_peers[GW_LISTS];
    GwTimer request_timer;
    GwTimer queue_timer;
    GwTime link_busy_until; /* time until which the copies sent so far are
                               assumed to occupy the link of this process */
} GwListSync;

void GwListSync_Init(GwListSync *sync, GwLoop *loop,
                     const GwListSyncOptions *options);
/* Send no further requests and replies. */
void GwListSync_Stop(GwListSync *sync);
/* Add @p peer, zero-initialized by its owner, which sets its session and name.
 */
void GwListSync_AddPeer(GwListSync *sync, GwListSyncPeer *peer);
void GwListSync_RemovePeer(GwListSync *sync, GwListSyncPeer *peer);
/* Store the ends of the lists that @p peer reported in a heartbeat: the
 * status's revision is a stamp of both ends (GwRecords_Stamp), in the era
 * given by its epoch. */
void GwListSync_OnSyncStatus(GwListSync *sync, GwListSyncPeer *peer,
                             const GwSyncStatus *sync_status);
/* Fill in what this process's heartbeats report of its own copies of the
 * lists. */
void GwListSync_FillSyncStatus(const GwListSync *sync,
                               GwSyncStatus *sync_status);
/* Send @p peer the records that it requested, at once or when the link is
 * free. */
void GwListSync_OnRequest(GwListSync *sync, GwListSyncPeer *peer,
                          const Gw__Wire__RecordsAsk *request);
/* Apply records that @p peer sent. */
void GwListSync_OnRecords(GwListSync *sync, GwListSyncPeer *peer,
                          const Gw__Wire__RecordsTell *reply);
/* Send for how long each stored version of weights has been named. Sent before
 * the records, so that the receiver has the ages when it applies the records.
 */
void GwListSync_SendWeightsAges(GwListSync *sync, GwSession *session);
/* Apply the age of a version of weights that a peer sent. */
void GwListSync_OnWeightsAge(GwListSync *sync,
                             const Gw__Wire__WeightsAge *age);

#endif
