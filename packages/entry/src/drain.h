/* Graceful shutdown of the entry: wait until the load balancer sends no more
 * requests, then until all open ones are answered. */
#ifndef GALENAGW_ENTRY_DRAIN_H
#define GALENAGW_ENTRY_DRAIN_H

#include "entry_private.h"

void EntryDrain_Init(GwEntry *entry);
/* Start to drain. Idempotent. */
void EntryDrain_Start(GwEntry *entry);
/* A request was completed: finish the drain if it was the last one. */
void EntryDrain_Check(GwEntry *entry);
/* Stop the timers. Reset entry->draining first; otherwise the completion of
 * the last exchange starts the linger timer again. */
void EntryDrain_Stop(GwEntry *entry);

#endif
