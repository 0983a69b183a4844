/**
 * @defgroup fake_store The platform's store, small
 * @brief Speaks the platform's published log calls, kept in memory.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_STORE_H
#define GALENAGW_FAKES_FAKE_STORE_H

#include "galenagw/fakes/fake_httpd.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeStore FakeStore;

FakeStore *FakeStore_New(GwLoop *loop, const GwAddress *address, GwError *err);
void FakeStore_Delete(FakeStore *store);
int FakeStore_Port(const FakeStore *store);
/** Write a record; without a value (NULL) its key is removed. */
void FakeStore_Put(FakeStore *store, const char *topic, const char *key,
                   const char *value);
/** Answer all calls with @p status from now on; 0: as it should. */
void FakeStore_Refuse(FakeStore *store, int status);
/** Keep connections and say nothing. */
void FakeStore_SetSilent(FakeStore *store, bool silent);
/** Take calls and never answer them, on connections that stay open. */
void FakeStore_SetMute(FakeStore *store, bool mute);
/** Answer each call so much later. */
void FakeStore_SetDelay(FakeStore *store, GwTime delay);
/** Give whole lists in pages of so many records; 0: in one. */
void FakeStore_SetPage(FakeStore *store, unsigned records);
/** Drop the history: reads from before now get 410. */
void FakeStore_Compact(FakeStore *store);
/** Saves the current contents for FakeStore_Restore. */
void FakeStore_Backup(FakeStore *store);
/**
 * Reverts the contents to the last FakeStore_Backup and resets all
 * connections. Later records are lost and their offsets are reused. The era in
 * the answers, absent until the first restore, increases by one.
 */
void FakeStore_Restore(FakeStore *store);
/** The same, but connections and waiting reads are kept. */
void FakeStore_RestoreKeepingCalls(FakeStore *store);
/** Sets the era in the answers. */
void FakeStore_SetEra(FakeStore *store, unsigned era);
/** Deletes all records and resets all connections; the era stays the same. */
void FakeStore_Clear(FakeStore *store);
/** Calls that were taken so far. */
unsigned FakeStore_Calls(const FakeStore *store);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
