/**
 * @defgroup records Records
 * @brief The newest record of each key of the platform's two lists.
 *
 * The platform that galenagw runs on has a store with two lists. A list is a
 * log of records, each with a key and an offset; only the newest record of a
 * key is current. Operators and endpoints write to the lists. Each process
 * holds a replica of both lists, which it reads from the store if possible and
 * from peers otherwise. Records are ordered by position, so an older record
 * never replaces a newer one.
 *
 * The era of a store grows when the store is restored from a backup; its
 * answers contain the era. Offsets that were assigned after the backup are
 * assigned again in the new era. A position combines an era and an offset;
 * positions are ordered by era first, then by offset.
 *
 * The end of a list is the position up to which this process has the list: all
 * records before the end that are current are stored. Records after the end
 * may be stored, too, because records arrive in any order.
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

/** The platform's lists. */
typedef enum {
    GW_LIST_OPERATOR = 0, /**< configuration, and the versions of weights that
                             operators named for engines to load */
    GW_LIST_INSTANCES,    /**< endpoints, by instance id */
    GW_LISTS
} GwList;

extern const char *const GwList_Names[GW_LISTS];

/** The position of @p offset in @p era, each clamped to its valid range. */
int64_t GwPosition_Of(int64_t era, int64_t offset);
int64_t GwPosition_Era(int64_t position);
int64_t GwPosition_Offset(int64_t position);

/** One record. A record without a value (NULL) is the removal of its key. */
typedef struct {
    const char *key;
    const char *value;
    size_t len;
    int64_t offset; /**< the offset as read from the store; the position in
                       all functions of this file, which do not convert it */
    const char *learned_from; /**< name of the peer that sent it; NULL: it was
                                 read from the store */
} GwRecord;

typedef struct GwRecords GwRecords;

/** Called with one record: by GwRecords for each change, that is each record
 * that is newer than the stored one of its key; by GwRecords_Each for each
 * stored record. */
typedef void (*GwRecords_OnRecord)(void *user, GwList list,
                                   const GwRecord *record);

GwRecords *GwRecords_New(GwRecords_OnRecord fn, void *user);
void GwRecords_Delete(GwRecords *records);

/**
 * Store a record that a peer sent or that was read as a change, unless this
 * one or a newer one of its key is stored. It is also ignored if it is before
 * the end of the list and no record of its key is stored: the key has been
 * removed since. The end of the list is unchanged, because records may arrive
 * in any order.
 * @return whether the record was stored
 */
bool GwRecords_Apply(GwRecords *records, GwList list, const GwRecord *record);
/**
 * Store a record of the current full read, unless this one or a newer one of
 * its key is stored.
 * @return whether the record was stored
 */
bool GwRecords_ApplyFullRead(GwRecords *records, GwList list,
                             const GwRecord *record);
/**
 * Like GwRecords_ApplyFullRead, for a record that the platform's store had
 * when it was restored from a backup. If the key was removed in an earlier
 * era, the record is ignored, because the backup may predate the removal. Only
 * for the first full read after the restoration: a record that was written
 * later makes the key current again, and is passed to one of the other
 * functions.
 * @return whether the record was stored
 */
bool GwRecords_ApplyRestored(GwRecords *records, GwList list,
                             const GwRecord *record);
/** Advance the end of @p list: all current records before @p end have been
 * stored. A lower end than the present one is ignored. */
void GwRecords_SetEnd(GwRecords *records, GwList list, int64_t end);
/** The end of @p list; 0: nothing has been read. */
int64_t GwRecords_End(const GwRecords *records, GwList list);
/** The latest era of the two ends. */
int64_t GwRecords_Era(const GwRecords *records);

/** Begin or end a full read: a read of all current records of a list from the
 * store. GwRecords_EndFullRead removes the keys whose records were not part of
 * the read, unless their position is @p end or later, and advances the end of
 * the list to @p end. Records that peers send in the meantime are not part of
 * the read: a peer's copy may be older than the removal of a key. */
void GwRecords_BeginFullRead(GwRecords *records, GwList list);
void GwRecords_EndFullRead(GwRecords *records, GwList list, int64_t end);

/** Whether all removals from position @p from on are stored, so that this
 * process can send all changes since @p from to a peer whose end is @p from.
 * Removals may be missing if @p from is before the end of the first read, or
 * after the begin and before the end of a later full read: a full read
 * contains current records only, so a key that was written and removed in
 * between is never stored here. @p from 0 means a peer without any records,
 * which needs no removals. */
bool GwRecords_HasAllSince(const GwRecords *records, GwList list,
                           int64_t from);

/** Call @p fn for each record from position @p from on, including removals. */
void GwRecords_Each(const GwRecords *records, GwList list, int64_t from,
                    GwRecords_OnRecord fn, void *user);

/** Stamp: the offsets of the ends of the two lists, combined in one number for
 * heartbeats (GwSyncStatus). The offset of a list whose end is of an earlier
 * era than GwRecords_Era is 0. */
uint64_t GwRecords_Stamp(const GwRecords *records);
/** The end of @p list, as a position, that a peer's @p stamp contains. @p era
 * is the peer's GwRecords_Era. 0: the peer has read nothing in this era. */
int64_t GwRecords_StampEnd(GwList list, int64_t era, uint64_t stamp);
/** Whether @p end, reported by a peer, is after this process's end of @p list.
 */
bool GwRecords_IsBehind(const GwRecords *records, GwList list, int64_t end);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
