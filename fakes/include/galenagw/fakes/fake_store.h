/**
 * @defgroup fake_store Stand-in store
 * @brief The platform's store with its HTTP log calls, in memory.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_STORE_H
#define GALENAGW_FAKES_FAKE_STORE_H

#include "galenagw/fakes/fake_httpd.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeStore FakeStore;

/** Starts a store at @p address; port 0: a free one. @return NULL with @p err
 */
FakeStore *FakeStore_New(GwLoop *loop, const GwAddress *address, GwError *err);
void FakeStore_Delete(FakeStore *store);
int FakeStore_Port(const FakeStore *store);
/** Appends a record to @p topic. @p value NULL removes the key. */
void FakeStore_Put(FakeStore *store, const char *topic, const char *key,
                   const char *value);
/** Answers all calls with @p status from now on; 0: answers normally. Resets
 * all connections. */
void FakeStore_Refuse(FakeStore *store, int status);
/** While set, connections stay open and received bytes are discarded. */
void FakeStore_SetSilent(FakeStore *store, bool silent);
/** While set, calls are received and counted, but never answered. */
void FakeStore_SetMute(FakeStore *store, bool mute);
/** Processes each call @p delay after its arrival. */
void FakeStore_SetDelay(FakeStore *store, GwTime delay);
/** Limits answers to full reads to @p records records each; 0: no limit. */
void FakeStore_SetPage(FakeStore *store, unsigned records);
/** Deletes the history: reads from offsets before the current end get 410.
 * Resets all connections. */
void FakeStore_Compact(FakeStore *store);
/** Saves the current contents for FakeStore_Restore. */
void FakeStore_Backup(FakeStore *store);
/**
 * Reverts the contents to the last FakeStore_Backup and resets all
 * connections. Later records are lost and their offsets are reused. The era in
 * the answers, absent until the first restore, increases by one.
 */
void FakeStore_Restore(FakeStore *store);
/** Like FakeStore_Restore, but connections and waiting reads stay open. */
void FakeStore_RestoreKeepingCalls(FakeStore *store);
/** Sets the era in the answers. */
void FakeStore_SetEra(FakeStore *store, unsigned era);
/** Deletes all records and resets all connections; the era stays the same. */
void FakeStore_Clear(FakeStore *store);
/** @return number of calls received so far */
unsigned FakeStore_Calls(const FakeStore *store);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
