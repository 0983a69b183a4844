#include "galenagw/routing/outdated.h"

#include "galenagw/routing/overload.h"

/* Allowance for what an estimate does not include: urgent prompts that arrive
 * later and are prefilled first, requests that other entries send at the same
 * time, and the age of the engine's report (200 ms). */
#define ESTIMATE_MARGIN (800 * GW_MILLISECOND)
/* Remaining time until one of the running requests completes and releases its
 * slot or memory. Requests run for two to three seconds, and several complete
 * within that time. */
#define SLOT_WAIT (600 * GW_MILLISECOND)
/* Closing the connection takes some milliseconds to reach the engine, and an
 * entry receives a new version up to 200 ms after the platform acknowledged it
 * to the operator. */
#define WITHDRAW_LEAD_TIME (300 * GW_MILLISECOND)

bool
GwOutdated_MaySend(const GwOutdatedFacts *f)
{
    GwTime wait =
        GwOverload_SlowestPrefill(f->tokens, f->prefill_tokens_per_ms) +
        ESTIMATE_MARGIN;

    if (f->since == 0)
        return true;
    if (f->is_full)
        wait += SLOT_WAIT;
    return f->now - f->since + wait <= f->bound;
}

GwTime
GwOutdated_WithdrawAt(GwTime since, GwTime bound)
{
    return since != 0 ? since + bound - WITHDRAW_LEAD_TIME : 0;
}
