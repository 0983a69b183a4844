/**
 * @defgroup records Records
 * @brief The newest record of each key of the platform's two lists.
 *
 * Every process holds a copy of what operators and endpoints have written:
 * from the store while it can be read, from peers while it cannot. Offsets
 * of the store order all copies, so nothing older replaces what is held.
 * @{
 */
#ifndef GALENAGW_ROUTING_RECORDS_H
#define GALENAGW_ROUTING_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The lists that the platform keeps. */
typedef enum {
    GW_LIST_OPERATOR = 0, /**< configuration, named weights */
    GW_LIST_INSTANCES,    /**< endpoints, by their id */
    GW_LISTS
} GwList;

extern const char *const GwList_Names[GW_LISTS];

/** One record; without a value (NULL) the key was removed. */
typedef struct {
    const char *key;
    const char *value;
    size_t len;
    int64_t offset;
} GwRecord;

typedef struct GwRecords GwRecords;

/** Called for each record that is newer than what was held. */
typedef void (*GwRecords_OnRecord)(void *user, GwList list,
                                   const GwRecord *record);

GwRecords *GwRecords_New(GwRecords_OnRecord fn, void *user);
void GwRecords_Delete(GwRecords *records);

/**
 * Take one record. The end stays: records may come in any order.
 * @return whether it was news
 */
bool GwRecords_Apply(GwRecords *records, GwList list, const GwRecord *record);
/** All before @p end is known now. */
void GwRecords_SetEnd(GwRecords *records, GwList list, int64_t end);
/** Offset behind the newest record that is known; 0: none. */
int64_t GwRecords_End(const GwRecords *records, GwList list);

/**
 * A reading of the whole list begins or ends. Keys that it did not tell, and
 * that were held from before its end, are then removed.
 */
void GwRecords_BeginWhole(GwRecords *records, GwList list);
void GwRecords_EndWhole(GwRecords *records, GwList list, int64_t end);

/** Call @p fn for each record from offset @p from on, removals too. */
void GwRecords_Each(const GwRecords *records, GwList list, int64_t from,
                    GwRecords_OnRecord fn, void *user);

/** Both ends in one number, for heartbeats between peers. */
uint64_t GwRecords_Stamp(const GwRecords *records);
/** The end of @p list that @p stamp tells. */
uint64_t GwRecords_StampEnd(GwList list, uint64_t stamp);
/** Whether @p stamp of a peer is ahead of ours for @p list. */
bool GwRecords_IsBehind(const GwRecords *records, GwList list, uint64_t stamp);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
