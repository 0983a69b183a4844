/* Prompt tokens for which entries wait at one engine. Each entry sends its own
 * load to the engine's agent, which sends each entry the sum of the others'
 * loads, because an entry does not see the requests of other entries. */
#ifndef GALENAGW_CLUSTER_ENTRY_LOAD_H
#define GALENAGW_CLUSTER_ENTRY_LOAD_H

#include <stdbool.h>

#include "galenagw/wire/galenagw.pb-c.h"

typedef struct {
    uint64_t tokens;
    uint64_t urgent;   /* of these, tokens of the most urgent priority */
    uint64_t yielding; /* of these, tokens of low-priority accounts */
    /* Tokens that all requests of low-priority accounts hold in KV memory, or
     * will hold. */
    uint64_t yielding_memory;
} GwWaitingTokens;

/* Load of one entry at an engine, stored by the engine's agent; initialize
 * with zeros. */
typedef struct {
    GwWaitingTokens own; /* for which the entry waits */
    unsigned long_runs;  /* that the entry has in flight at the engine */
    GwWaitingTokens sent_others; /* load of the other entries that was last
                                    sent to the entry */
} GwEntryLoad;

/* Store the load that the entry has sent. */
void GwEntryLoad_OnNote(GwEntryLoad *load, const Gw__Wire__PrefillNote *note);
/* The engine has restarted and has no requests of the entry. */
void GwEntryLoad_Reset(GwEntryLoad *load);
void GwWaitingTokens_Add(GwWaitingTokens *sum, const GwEntryLoad *load);
/* The part of @p all that other entries than this one wait for. */
GwWaitingTokens GwWaitingTokens_Without(const GwWaitingTokens *all,
                                        const GwEntryLoad *load);
/* Whether @p others has changed enough since it was last sent to the entry. */
bool GwEntryLoad_ShouldNotify(const GwEntryLoad *load,
                              const GwWaitingTokens *others);

#endif
