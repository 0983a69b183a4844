/* When a suspect under quarantine may be sent again. */
#ifndef QUARANTINE_RETRIES_H
#define QUARANTINE_RETRIES_H

#include "quarantine_private.h"

/* Quarantine term of a suspect by its number of failures. */
GwTime Retries_Term(unsigned n_failures);
/* Time for which the suspect must not be sent: until the end of its term, and
 * then until this process is selected to retry it. 0: it may be sent. */
GwTime Retries_TimeLeft(const GwQuarantine *q, const Suspect *s, GwTime now);
/* Time until this process may probe the suspect, which may be harmless. 0: it
 * may now. */
GwTime Retries_ProbeTimeLeft(const GwQuarantine *q, const Suspect *s,
                             GwTime now);

#endif
