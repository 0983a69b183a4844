/* Decides which requests are the cause of the stored terminations. */
#ifndef QUARANTINE_ATTRIBUTION_H
#define QUARANTINE_ATTRIBUTION_H

#include "quarantine_private.h"

/* Whether the request is taken to be the cause of its terminations: enough of
 * them are independent, and they are a large enough share of all terminations
 * around them. */
bool Attribution_IsCause(GwQuarantine *q, const Suspect *s);
/* Number of terminations of the request, up to a maximum that gives the
 * longest quarantine. Simultaneous ones of most of a group count as one, even
 * if the request is taken to be their cause. */
unsigned Attribution_CountFailures(const GwQuarantine *q, const Suspect *s);

#endif
