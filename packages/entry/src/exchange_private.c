#include "exchange_private.h"

#include <string.h>

#include "drain.h"
#include "openai.h"
#include "refusals.h"

const char *const ExchangeState_Names[EXCHANGE_STATES] = {
    "waiting", "probing", "submitted", "streaming", "resuming",
};

static void end_with_error_(Exchange *x, GwRefusal refusal, GwRan ran);

Exchange *
Exchange_Find(GwEntry *entry, uint64_t id)
{
    return g_hash_table_lookup(entry->exchanges, &id);
}

void
Exchange_Refuse(Exchange *x, GwRefusal refusal, GwRan ran, GwTime retry_after)
{
    GwHttpCall *call = x->call;

    if (x->answer_started) {
        end_with_error_(x, refusal, ran);
        return;
    }
    GwHttpCall_SetUser(call, NULL);
    Refusals_Respond(x->entry, call, x->id_text, refusal, ran, retry_after,
                     NULL);
    Exchange_Delete(x);
}

void
Exchange_Finish(Exchange *x)
{
    GwCounters_Add(&x->entry->counters, GW_COUNTER_ANSWERS, 1);
    Exchange_Delete(x);
}

void
Exchange_Delete(Exchange *x)
{
    GwEntry *entry = x->entry;

    Exchange_EndProbeRound(x);
    Exchange_DetachFromPeer(x);
    GwTimer_Stop(&x->timer);
    g_hash_table_remove(entry->exchanges, &x->id);
    GwChain_Finish(&x->chain);
    if (x->request.parsed != NULL)
        OpenAi_Finish(x->request.parsed);
    g_free(x->request.parsed);
    g_free(x->request.bearer);
    g_free(x->request.pool);
    g_free(x->request.method);
    g_free(x->request.path);
    g_free(x->request.content_type);
    g_free(x->request.key);
    free(x->request.body);
    g_free(x->account);
    g_free(x->weights);
    g_free(x->adapter);
    g_free(x->answer_content_type);
    if (x->held_answer != NULL)
        g_byte_array_unref(x->held_answer);
    g_byte_array_unref(x->unparsed_events);
    g_string_free(x->delivered_text, TRUE);
    g_free(x);
    EntryDrain_Check(entry);
}

void
Exchange_DetachFromPeer(Exchange *x)
{
    if (x->peer == NULL)
        return;
    TAILQ_REMOVE(&x->peer->exchanges, x, link);
    x->peer->in_flight--;
    x->peer->last_used = GwTime_Now();
    x->peer = NULL;
}

void
Exchange_EndProbeRound(Exchange *x)
{
    g_hash_table_remove(x->entry->probes, &x->probe_id);
}

void
Exchange_RecheckAfter(Exchange *x, GwTime delay)
{
    x->state = EXCHANGE_WAITING;
    GwTimer_Start(&x->timer, delay);
}

GwTime
Exchange_TimeToDeadline(const Exchange *x)
{
    if (x->deadline == GW_NEVER || x->answer_started)
        return 0;
    return MAX(x->deadline - GwTime_Now(), GW_MILLISECOND);
}

// End an answer whose head was sent already. A model's event stream gets an
// error event and no end marker, so that the caller cannot take it for
// complete. Other formats have no place for an error, and a service's stream
// has no end marker: the connection is closed without the end of the answer.
static void
end_with_error_(Exchange *x, GwRefusal refusal, GwRan ran)
{
    g_autofree char *error =
        OpenAi_FormatError(refusal, ran, x->id_text, NULL);
    g_autofree char *event = g_strdup_printf("data: %s\n\n", error);
    GwHttpCall *call = x->call;

    GwCounters_AddRefusal(&x->entry->counters, refusal);
    GwHttpCall_SetUser(call, NULL);
    if (x->is_event_stream && !x->request.service) {
        GwHttpCall_Write(call, event, strlen(event));
        GwHttpCall_End(call);
    }
    else {
        GwHttpCall_Abort(call);
    }
    Exchange_Delete(x);
}
