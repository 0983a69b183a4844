#include "entry_load.h"

#include <glib.h>
#include <string.h>

/* The agent sends an entry the load of the others when it has changed by at
 * least this much: 2000 tokens take about 30 ms to prefill. */
#define NOTIFY_TOKENS 2000

static bool is_notable_change_(uint64_t tokens, uint64_t sent);

void
GwEntryLoad_OnNote(GwEntryLoad *load, const Gw__Wire__PrefillNote *note)
{
    load->own = (GwWaitingTokens){
        .tokens = note->tokens,
        .urgent = MIN(note->urgent, note->tokens),
        .yielding = note->yielding,
        .yielding_memory = note->yielding_memory,
    };
    load->long_runs = note->long_runs;
}

void
GwEntryLoad_Reset(GwEntryLoad *load)
{
    memset(&load->own, 0, sizeof(load->own));
    load->long_runs = 0;
}

void
GwWaitingTokens_Add(GwWaitingTokens *sum, const GwEntryLoad *load)
{
    sum->tokens += load->own.tokens;
    sum->urgent += load->own.urgent;
    sum->yielding += load->own.yielding;
    sum->yielding_memory += load->own.yielding_memory;
}

GwWaitingTokens
GwWaitingTokens_Without(const GwWaitingTokens *all, const GwEntryLoad *load)
{
    return (GwWaitingTokens){
        .tokens = all->tokens - load->own.tokens,
        .urgent = all->urgent - load->own.urgent,
        .yielding = all->yielding - load->own.yielding,
        .yielding_memory = all->yielding_memory - load->own.yielding_memory,
    };
}

bool
GwEntryLoad_ShouldNotify(const GwEntryLoad *load,
                         const GwWaitingTokens *others)
{
    return is_notable_change_(others->tokens, load->sent_others.tokens) ||
           is_notable_change_(others->urgent, load->sent_others.urgent) ||
           is_notable_change_(others->yielding, load->sent_others.yielding);
}

static bool
is_notable_change_(uint64_t tokens, uint64_t sent)
{
    return ABS((int64_t)(tokens - sent)) >= NOTIFY_TOKENS;
}
