/* The stored terminations of a quarantine, and their order in time. */
#ifndef QUARANTINE_STORED_TERMINATIONS_H
#define QUARANTINE_STORED_TERMINATIONS_H

#include "quarantine_private.h"

/* Terminations at most this far apart may have a common cause. */
#define SIMULTANEOUS_INTERVAL GW_SECOND

/* Stores a termination. Returns NULL if there is no place. */
StoredTermination *StoredTerminations_Add(GwQuarantine *q,
                                          const Termination *termination);
/* Uses @p at if it is earlier than the stored time. Returns whether that may
 * change the suspects' quarantine. */
bool StoredTerminations_SetEarlier(GwQuarantine *q, StoredTermination *stored,
                                   GwTime at);
/* Sorts by_time and finds the simultaneous terminations of each, unless that
 * is up to date. */
void StoredTerminations_Sort(GwQuarantine *q);

static inline bool
StoredTerminations_AreSimultaneous(GwTime a, GwTime b)
{
    return ABS(a - b) <= SIMULTANEOUS_INTERVAL;
}

#endif
