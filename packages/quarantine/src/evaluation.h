/* Decides which suspects are under quarantine, by the current terminations and
 * records. */
#ifndef QUARANTINE_EVALUATION_H
#define QUARANTINE_EVALUATION_H

#include "quarantine_private.h"

/* Puts the suspect under quarantine or releases it, and reports a change. */
void Evaluation_Update(GwQuarantine *q, Suspect *s, GwTime now);
/* The same for all suspects whose state may have changed. */
void Evaluation_UpdateAll(GwQuarantine *q, GwTime now);
/* The same for a harmless part, unless that was done shortly before: such
 * parts are not updated at each termination, as they are in flight at nearly
 * all of them. */
void Evaluation_Refresh(GwQuarantine *q, Suspect *s, GwTime now);

#endif
