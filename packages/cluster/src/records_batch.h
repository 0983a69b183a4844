/* Records of one list that are sent to one peer, in several frames if they are
 * many. */
#ifndef GALENAGW_CLUSTER_RECORDS_BATCH_H
#define GALENAGW_CLUSTER_RECORDS_BATCH_H

#include "galenagw/cluster/view.h"
#include "galenagw/wire/session.h"

/* Maximum number of records in one frame. A single record, such as a
 * configuration, may have megabytes. */
#define FRAME_RECORDS_MAX 200

typedef struct {
    const GwInstances *instances;
    GwSession *session;
    GwList list;
    int64_t end; /* of the list, for the last frame; 0: not sent */
    Gw__Wire__ListRecord records[FRAME_RECORDS_MAX];
    Gw__Wire__ListRecord *pointers[FRAME_RECORDS_MAX];
    size_t n;           /* records in the frame */
    size_t bytes;       /* of their values */
    size_t max_records; /* maximum number of records to send; 0: all */
    bool is_cut; /* max_records was reached: further records are left out */
    bool has_removal;
    GwTime deferred_until; /* deferral of the removals in the frame; 0: they
                              are final */
    size_t sent_records;   /* in all frames so far */
    size_t sent_bytes;
} RecordsBatch;

/* Callback of GwRecords_Each: adds a record, and sends a frame if it is full.
 */
void RecordsBatch_Add(void *batch, GwList list, const GwRecord *record);
/* Sends the last frame, with the end of the list. */
void RecordsBatch_Send(RecordsBatch *batch);

#endif
