/* State of the store reader that the store_reader_* modules share; private to
 * this package. */
#ifndef GALENAGW_CLUSTER_STORE_READER_PRIVATE_H
#define GALENAGW_CLUSTER_STORE_READER_PRIVATE_H

#include "galenagw/cluster/store_reader_options.h"
#include "galenagw/http/caller.h"
#include "galenagw/routing/long_poll.h"
#include "galenagw/routing/read_schedule.h"

/* Reads one list from the store. */
typedef struct {
    GwStoreReader *owner;
    GwList list;
    GwHttpCaller *http_call;
    GwTimer call_timer;    /* next call, or next check whether one is due */
    GwTimer silence_timer; /* next check for a silent connection */
    GwTimer reread_timer;  /* next full read after a restore */
    GString *request;
    char *page_after; /* in a full read, key after which the next page starts;
                         NULL: the next page is the first one */
    bool needs_full_read;    /* the next call reads the list in full */
    bool is_after_full_read; /* no other read has succeeded since the last full
                                read */
    bool is_after_restore;   /* this full read is the first one after a restore
                                of the store */
    int64_t era; /* in which the list was last read; -1: not read yet */
    int64_t full_read_end; /* end of the list according to the first page of
                              the full read */
    int64_t call_from;     /* start position of the call under way */
    GwLongPoll poll;
    GwTime call_wait_until; /* until when the call under way may wait at the
                               store; 0: it does not wait */
    GwTime call_sent_at;    /* of the call under way */
    GwTime failed_call_sent_at; /* of the last failed call, until the list is
                                   current again; 0: none */
    int64_t behind_end;         /* end of our copy when a peer was ahead */
    GwTime behind_at;           /* when a peer was last ahead */
    GwTime full_read_at;        /* time of the request for its first page */
    bool is_waiting_for_peers;  /* after the start, until peers have sent the
                                   list */
    unsigned silent_reopens; /* consecutive calls that were cancelled before a
                                byte of the answer was received */
    unsigned records_read;   /* since the current full read began */
    unsigned records_not_newer; /* of records_read, those not newer than the
                                   stored record */
} ListReader;

struct GwStoreReader {
    GwLoop *loop;
    GwStoreReaderOptions options;
    GwReadSchedule schedule;
    int64_t era; /* last era that the store reported; -1: none yet */
    GwTime outage_deferral_until; /* end of the deferral after an outage; 0: no
                                     removals are deferred */
    ListReader list_readers[GW_LISTS];
};

#endif
