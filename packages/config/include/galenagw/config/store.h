/**
 * @defgroup store Configuration store
 * @brief Folds the log's records into one document; alike in every process.
 *
 * A change is accepted only if its base is the current revision, so racing
 * changes have one winner, the first in log order, everywhere. A snapshot
 * stands in for expired records. It names the offset up to which it was
 * folded, because changes may lie between that offset and its own: a reader
 * without state applies the snapshot and then the changes it had to skip.
 * A store never goes to a lower revision.
 * @{
 */
#ifndef GALENAGW_CONFIG_STORE_H
#define GALENAGW_CONFIG_STORE_H

#include <stdint.h>

#include "galenagw/config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What a record did. */
typedef enum {
    GW_FOLD_IGNORED = 0, /**< Not ours, already seen, or of no effect. */
    GW_FOLD_APPLIED,     /**< The revision rose by this change. */
    GW_FOLD_REJECTED,    /**< A change whose base was not current. */
    GW_FOLD_RESTORED,    /**< State was taken from a snapshot or a peer. */
    GW_FOLD_WAITING,     /**< No state yet; kept until a snapshot comes. */
    GW_FOLDS
} GwFold;

extern const char *const GwFold_Names[GW_FOLDS];

typedef struct GwStore GwStore;

/** @param site whose overlay is in force here; NULL for none */
GwStore *GwStore_New(const char *site);
void GwStore_Delete(GwStore *store);

/**
 * Tell the store that the log starts at @p first. A start above what the
 * store expects next means lost records: it then waits for a snapshot.
 */
void GwStore_LogStarts(GwStore *store, uint64_t first);
/** Fold the record at @p offset. Records come in order of offset. */
GwFold GwStore_Fold(GwStore *store, uint64_t offset, const json_t *record);
/** Take a peer's state if its revision is higher. */
GwFold GwStore_Restore(GwStore *store, uint64_t revision, uint64_t folded_to,
                       const json_t *document);

/** Whether any state is known; only then do the getters mean anything. */
bool GwStore_HasState(const GwStore *store);
/** Whether records are missing and a snapshot is waited for. */
bool GwStore_IsWaiting(const GwStore *store);
uint64_t GwStore_Revision(const GwStore *store);
/** Offset of the last record that the state includes, plus one. */
uint64_t GwStore_FoldedTo(const GwStore *store);
/** Offset to read next. */
uint64_t GwStore_NextOffset(const GwStore *store);
/** Records folded since the last snapshot seen. */
uint64_t GwStore_SinceSnapshot(const GwStore *store);
const json_t *GwStore_Document(const GwStore *store);
/** Typed form for the site; NULL before any valid state. */
const GwConfig *GwStore_Config(const GwStore *store);

/** @return a new change record, by merge patch, on revision @p base. */
json_t *GwStore_MakeChange(uint64_t base, const char *id, const char *author,
                           const json_t *patch);
/** @return a new snapshot record of the present state. */
json_t *GwStore_MakeSnapshot(const GwStore *store);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
