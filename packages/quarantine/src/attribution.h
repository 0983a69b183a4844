/* Decides which requests are the cause of the stored terminations. */
#ifndef QUARANTINE_ATTRIBUTION_H
#define QUARANTINE_ATTRIBUTION_H

#include "quarantine_private.h"

/* Whether the request is taken to be the cause of its terminations: enough of
 * them are independent, and they are a large enough share of all terminations
 * around them. */
bool Attribution_IsCause(GwQuarantine *q, const Suspect *s);

#endif
