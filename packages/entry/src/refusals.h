/* Refusals as callers read them. */
#ifndef GALENAGW_ENTRY_REFUSALS_H
#define GALENAGW_ENTRY_REFUSALS_H

#include "entry_private.h"

/* Answer @p call; @p id "": no exchange was begun for it. */
void Refusals_Respond(GwEntry *entry, GwHttpCall *call, const char *id,
                      GwRefusal refusal, GwRan ran, GwTime retry_after,
                      const char *detail);
/* Answer @p call, for which nothing was begun. */
void Refusals_RespondEarly(GwEntry *entry, GwHttpCall *call, GwRefusal refusal,
                           const char *detail);

#endif
