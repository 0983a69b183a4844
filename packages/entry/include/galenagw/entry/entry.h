/**
 * @defgroup entry Entry
 * @brief The process that callers connect to: it chooses an endpoint for each
 * request and delivers the answer.
 *
 * An entry needs no persistent state: after a restart it receives the
 * configuration from the log or from agents, and the state of caches and load
 * with the offers for each request.
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

/**
 * Listen for callers and start reading the log and the instance list.
 * @return NULL with @p err
 */
GwEntry *GwEntry_New(GwLoop *loop, const GwEntryOptions *options,
                     GwError *err);
/** Stop without finishing requests, and free. Delete it before the loop. */
void GwEntry_Delete(GwEntry *entry);
/**
 * Fail the health check, accept requests for another @p balancer_lag, finish
 * all answers, then call on_drained. Idempotent.
 */
void GwEntry_Drain(GwEntry *entry);
/** Port of the callers' listener. */
int GwEntry_Port(const GwEntry *entry);
/** Port of the admin listener. */
int GwEntry_AdminPort(const GwEntry *entry);
const GwCounters *GwEntry_Counters(const GwEntry *entry);
/** Number of requests that are not completed. */
int GwEntry_OpenRequests(const GwEntry *entry);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
