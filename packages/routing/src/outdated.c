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
/* The same at an engine that no load order is sure to reach: its queue is not
 * known, and it may read the close late. */
#define UNREPORTED_LEAD_TIME (1 * GW_SECOND)
/* Time for the rest of a run after its first token, at an engine that ends it
 * by its deadline. */
#define RUN_TIME (2 * GW_SECOND)

static GwTime lead_time_(const GwOutdatedEngine *e);

bool
GwOutdated_MaySend(const GwOutdatedFacts *f)
{
    const GwOutdatedEngine *e = &f->engine;
    GwTime wait =
        GwOverload_SlowestPrefill(f->tokens, f->prefill_tokens_per_ms);

    if (e->since == 0)
        return true;
    if (f->is_full)
        wait += SLOT_WAIT;
    wait = MAX(wait, f->observed_wait) + ESTIMATE_MARGIN + e->lateness;
    if (!e->is_reported)
        wait += RUN_TIME;
    return f->now - e->since + wait <= e->bound;
}

GwTime
GwOutdated_WithdrawAt(const GwOutdatedEngine *e)
{
    return e->since != 0 ? e->since + e->bound - lead_time_(e) : 0;
}

// At an engine with an agent, a running request may go on past the bound.
GwTime
GwOutdated_DropAt(const GwOutdatedEngine *e)
{
    if (e->since == 0 || e->is_reported)
        return GW_NEVER;
    return e->since + e->bound - WITHDRAW_LEAD_TIME;
}

static GwTime
lead_time_(const GwOutdatedEngine *e)
{
    return (e->is_reported ? WITHDRAW_LEAD_TIME : UNREPORTED_LEAD_TIME) +
           e->lateness;
}
