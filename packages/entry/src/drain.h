/* The entry's planned end: the balancer is waited for, then requests. */
#ifndef GALENAGW_ENTRY_DRAIN_H
#define GALENAGW_ENTRY_DRAIN_H

#include "entry_private.h"

void EntryDrain_Init(GwEntry *entry);
/* A second call changes nothing. */
void EntryDrain_Start(GwEntry *entry);
/* A request has ended: it may have been the last. */
void EntryDrain_Check(GwEntry *entry);
void EntryDrain_Stop(GwEntry *entry);

#endif
