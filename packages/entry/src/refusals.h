/* Refusals as HTTP answers to callers. */
#ifndef GALENAGW_ENTRY_REFUSALS_H
#define GALENAGW_ENTRY_REFUSALS_H

#include "entry_private.h"

/*
 * Answer @p call. @p id is the request id, or "" if no exchange was started;
 * @p retry_after 0: no Retry-After; @p detail replaces the message, or NULL.
 */
void Refusals_Respond(GwEntry *entry, GwHttpCall *call, const char *id,
                      GwRefusal refusal, GwRan ran, GwTime retry_after,
                      const char *detail);
/* Answer @p call, for which no exchange was started. */
void Refusals_RespondEarly(GwEntry *entry, GwHttpCall *call, GwRefusal refusal,
                           const char *detail);

#endif
