/* Decides which requests and parts are the cause of the stored terminations.
 */
#ifndef QUARANTINE_ATTRIBUTION_H
#define QUARANTINE_ATTRIBUTION_H

#include "quarantine_private.h"

/* The terminations of a suspect that is taken to be their cause. */
typedef struct {
    /* Number up to a maximum that gives the longest quarantine. Simultaneous
     * ones of most of a group count as one. */
    unsigned n_failures;
    unsigned n_rounds;      /* simultaneous ones of any group count as one */
    GwTime last_at;         /* time of the last one */
    uint64_t last_endpoint; /* that terminated then */
} Cause;

/* Whether the suspect is taken to be the cause of its terminations: enough of
 * them are independent, and they are a large enough share of all terminations
 * around them. If so, sets @p cause. */
bool Attribution_FindCause(GwQuarantine *q, const Suspect *s, Cause *cause);

#endif
