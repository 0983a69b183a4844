/**
 * @defgroup store Configuration store
 * @brief Builds the configuration document from the records of the log.
 *
 * A configuration store applies ("folds") the records of the log in the order
 * of their offsets. Every process that has read the same records has the same
 * document. A change is applied only if its base is the current revision: of
 * concurrent changes to one revision, every process applies the first in log
 * order and rejects the others.
 *
 * A snapshot replaces records that have expired. It contains the offset up to
 * which its state includes all records (`folded_to`), because other processes
 * may append changes between that offset and the offset of the snapshot
 * itself. A process without state therefore queues the changes that it reads
 * before a snapshot, restores the snapshot and then applies those of the
 * queued changes that the snapshot does not include.
 *
 * The revision of a configuration store never decreases.
 * @{
 */
#ifndef GALENAGW_CONFIG_STORE_H
#define GALENAGW_CONFIG_STORE_H

#include <stdint.h>

#include "galenagw/config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Effect of a record on the configuration store. */
typedef enum {
    GW_FOLD_IGNORED = 0, /**< Other type, already read, or no effect. */
    GW_FOLD_APPLIED,     /**< The change was applied: a new revision. */
    GW_FOLD_REJECTED,    /**< The base of the change is not current. */
    GW_FOLD_RESTORED, /**< The state was restored from a snapshot or a peer. */
    GW_FOLD_WAITING,  /**< Records are missing; a change is queued until a
                         snapshot or a peer's state covers them. */
    GW_FOLDS
} GwFoldResult;

/** Names of ::GwFoldResult, by value. */
extern const char *const GwFold_Names[GW_FOLDS];

/** A configuration store. */
typedef struct GwStore GwStore;

/** @param site whose overlay is applied to the base; NULL: none */
GwStore *GwStore_New(const char *site);
void GwStore_Delete(GwStore *store);

/**
 * Note that the first available offset of the log is @p first. If it is above
 * GwStore_NextOffset, records have expired before they were read: the
 * configuration store then waits for a snapshot or the state of a peer.
 */
void GwStore_NoteLogStart(GwStore *store, uint64_t first);
/** Fold the record at @p offset. Calls must be in the order of offsets. */
GwFoldResult GwStore_Fold(GwStore *store, uint64_t offset,
                          const json_t *record);
/**
 * Replace the state by the state of a peer if its revision is higher.
 * @param folded_to GwStore_FoldedTo of the peer
 */
GwFoldResult GwStore_Restore(GwStore *store, uint64_t revision,
                             uint64_t folded_to, const json_t *document);

/** Whether there is a state; revision, document and configuration are valid
 * only then. */
bool GwStore_HasState(const GwStore *store);
/** Whether records are missing, so that a snapshot or the state of a peer is
 * needed. */
bool GwStore_IsWaiting(const GwStore *store);
/** Number of changes that the state includes. */
uint64_t GwStore_Revision(const GwStore *store);
/** The state includes all records below this offset. */
uint64_t GwStore_FoldedTo(const GwStore *store);
/** Offset of the next record to read. */
uint64_t GwStore_NextOffset(const GwStore *store);
/** Number of records read since the last snapshot. */
uint64_t GwStore_SinceSnapshot(const GwStore *store);
/** The document; owned by the configuration store. */
const json_t *GwStore_Document(const GwStore *store);
/**
 * Typed configuration of the site: the last revision that was valid for it.
 * @return NULL if there was none
 */
const GwConfig *GwStore_Config(const GwStore *store);

/**
 * Make a change record.
 * @param base revision that the change is based on
 * @param id identifies the change
 * @param author operator who makes the change
 * @param patch merge patch to the document
 * @return a new reference
 */
json_t *GwStore_MakeChange(uint64_t base, const char *id, const char *author,
                           const json_t *patch);
/** @return a new snapshot record of the current state */
json_t *GwStore_MakeSnapshot(const GwStore *store);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
