/**
 * @defgroup entry Entry
 * @brief The process that callers reach: choice of endpoint and delivery.
 *
 * An entry holds nothing that a restart must rebuild: configuration comes
 * from the log or from agents, knowledge of caches and load comes with the
 * offers of each request.
 * @{
 */
#ifndef GALENAGW_ENTRY_ENTRY_H
#define GALENAGW_ENTRY_ENTRY_H

#include "galenagw/base/counters.h"
#include "galenagw/entry/options.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwEntry GwEntry;

/** Start. @return NULL with @p err. */
GwEntry *GwEntry_New(GwLoop *loop, const GwEntryOptions *options,
                     GwError *err);
/** Stop at once and free; call before the loop is deleted. */
void GwEntry_Delete(GwEntry *entry);
/**
 * Fail the health check, go on accepting for the balancer's lag, finish
 * every stream, then call on_drained. Idempotent.
 */
void GwEntry_Drain(GwEntry *entry);
int GwEntry_Port(const GwEntry *entry);
int GwEntry_AdminPort(const GwEntry *entry);
const GwCounters *GwEntry_Counters(const GwEntry *entry);
/** Requests in progress. */
int GwEntry_Open(const GwEntry *entry);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
