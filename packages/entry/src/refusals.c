#include "refusals.h"

#include <inttypes.h>
#include <string.h>

#include "openai.h"

void
Refusals_Respond(GwEntry *entry, GwHttpCall *call, const char *id,
                 GwRefusal refusal, GwRan ran, GwTime retry_after,
                 const char *detail)
{
    g_autofree char *body = OpenAi_FormatError(refusal, ran, id, detail);
    char seconds[24];

    GwCounters_AddRefusal(&entry->counters, refusal);
    if (id[0] != '\0')
        GwHttpCall_AddHeader(call, "x-request-id", id);
    if (retry_after > 0) {
        // The header has a resolution of one second; round up, so that no
        // caller retries too early.
        g_snprintf(seconds, sizeof(seconds), "%" PRId64,
                   (retry_after + GW_SECOND - 1) / GW_SECOND);
        GwHttpCall_AddHeader(call, "retry-after", seconds);
    }
    GwHttpCall_Respond(call, GwRefusal_Status(refusal), "application/json",
                       body, strlen(body));
}

void
Refusals_RespondEarly(GwEntry *entry, GwHttpCall *call, GwRefusal refusal,
                      const char *detail)
{
    Refusals_Respond(entry, call, "", refusal, GW_RAN_NO, 0, detail);
}
