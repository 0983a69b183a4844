#include "galenagw/sidecar/switch_schedule.h"

#include <glib.h>

#include "galenagw/sidecar/roll.h"

/* A sixth of the engines switch at once. Platforms load weights for about a
 * fifth of the engines at full speed and make all others wait, so more would
 * only be unavailable for longer. */
#define CONCURRENT_DIVISOR 6
#define CONCURRENT_MIN 2
/* Time of a switch before one was measured: settling, and a load without
 * competition. */
#define DEFAULT_SWITCH_TIME (1 * GW_SECOND)
/* Allowance for the preparation, and for switches that take longer than
 * measured, as under more load than before. */
#define TIME_ALLOWANCE 1.25
/* An engine that has been switching for this many times the usual time, or
 * whose sidecar has been silent for that long, is lost and does not delay the
 * others: an order that is lost is repeated well within it. */
#define LOST_TIME_FACTOR 2
#define LOST_TIME_MIN (1500 * GW_MILLISECOND)
/* The next engine stops to accept long runs this long before the one that
 * switches is expected to serve again; the preparation takes no longer. */
#define PREPARE_LEAD_TIME (200 * GW_MILLISECOND)
/* Prefill speed if none is known: that of a specified engine (66) with some
 * running requests. */
#define DEFAULT_PREFILL_TOKENS_PER_MS 45.0

const char *const GwSwitchReason_Names[GW_SWITCH_REASONS] = {
    [GW_SWITCH_CURRENT] = "current",
    [GW_SWITCH_WAITS_TURN] = "waits_turn",
    [GW_SWITCH_WAITS_GROUP] = "waits_group",
    [GW_SWITCH_WAITS_LOAD] = "waits_load",
    [GW_SWITCH_STARTS] = "starts",
    [GW_SWITCH_STARTS_LATEST] = "starts_latest",
};

/* What the engines of the group do. */
typedef struct {
    size_t switching;       /* engines that switch and are not lost */
    GwTime switching_since; /* latest start of a switch in progress; 0: none */
    size_t before_own;      /* engines whose turn is before this one's */
    bool is_about_to_serve; /* the only one that switches will serve soon */
    bool is_isolated;       /* no state of another engine is recent */
    GwTime switch_time;     /* median of the measured times */
    GArray *bounds;         /* GwTime: when each engine that is outdated and
                               serves must have switched, earliest first */
} GroupState;

static void compute_group_state_(const GwSwitchFacts *f, GroupState *state);
static bool is_lost_(const GwSwitchFacts *f, const GwSwitchMember *m,
                     GwTime switch_time);
static bool is_before_(const GwSwitchFacts *f, size_t i);
static bool is_measured_(const GwSwitchFacts *f);
static GwTime median_switch_time_(const GwSwitchFacts *f);
static size_t required_at_once_(const GwSwitchFacts *f,
                                const GroupState *state);
static GwTime latest_start_(const GroupState *state, size_t at_once,
                            GwTime duration);
static bool has_room_(const GwSwitchFacts *f, const GroupState *state);
static double mean_prefill_speed_(const GwSwitchFacts *f);
static int compare_times_(gconstpointer a, gconstpointer b);

size_t
GwSwitchSchedule_Groups(size_t engines)
{
    size_t n = (engines + CONCURRENT_DIVISOR - 1) / CONCURRENT_DIVISOR;

    return MAX(n, CONCURRENT_MIN);
}

GwSwitchDecision
GwSwitchSchedule_Decide(const GwSwitchFacts *f)
{
    GwSwitchDecision decision = {.reason = GW_SWITCH_CURRENT, .at_once = 1};
    g_autoptr(GArray) bounds = g_array_new(FALSE, FALSE, sizeof(GwTime));
    GroupState state = {.bounds = bounds};
    bool may_be_early;
    bool is_due;

    if (f->members[f->own].outdated_since == 0)
        return decision;
    compute_group_state_(f, &state);
    decision.at_once = required_at_once_(f, &state);
    decision.latest_start =
        latest_start_(&state, decision.at_once,
                      (GwTime)((double)state.switch_time * TIME_ALLOWANCE));
    decision.is_late =
        latest_start_(&state, f->n_members, state.switch_time) < f->now;
    is_due = f->now >= decision.latest_start;
    may_be_early =
        (has_room_(f, &state) || !is_measured_(f)) && !state.is_isolated;
    if (state.before_own >= decision.at_once)
        decision.reason = GW_SWITCH_WAITS_TURN;
    else if (state.switching + state.before_own >= decision.at_once)
        decision.reason = GW_SWITCH_WAITS_GROUP;
    else if (!is_due && !may_be_early)
        decision.reason = GW_SWITCH_WAITS_LOAD;
    else
        decision.reason = is_due ? GW_SWITCH_STARTS_LATEST : GW_SWITCH_STARTS;
    decision.may_start = decision.reason >= GW_SWITCH_STARTS;
    decision.may_prepare =
        decision.may_start ||
        (decision.reason == GW_SWITCH_WAITS_GROUP && state.before_own == 0 &&
         state.is_about_to_serve && (is_due || may_be_early));
    return decision;
}

GwTime
GwSwitchSchedule_UpdateTime(GwTime known, GwTime measured)
{
    // One switch whose order was lost must not count in full.
    if (known == 0)
        return measured;
    return (known + CLAMP(measured, known / 2, known * 2)) / 2;
}

static void
compute_group_state_(const GwSwitchFacts *f, GroupState *state)
{
    size_t silent = 0;

    state->switch_time = median_switch_time_(f);
    for (size_t i = 0; i < f->n_members; i++) {
        const GwSwitchMember *m = &f->members[i];
        GwTime bound = m->outdated_since + f->bound;

        if (i != f->own && is_lost_(f, m, state->switch_time)) {
            silent += !m->is_down;
            continue;
        }
        if (i != f->own && m->switching_since != 0) {
            state->switching++;
            state->switching_since =
                MAX(state->switching_since, m->switching_since);
            continue;
        }
        if (m->outdated_since == 0)
            continue;
        g_array_append_val(state->bounds, bound);
        if (i != f->own && is_before_(f, i))
            state->before_own++;
    }
    g_array_sort(state->bounds, compare_times_);
    // A process that sees none of the others is cut off itself, and must
    // assume that they see each other and keep switching.
    state->is_isolated = silent > 0 && silent == f->n_members - 1;
    state->is_about_to_serve =
        state->switching == 1 &&
        f->now - state->switching_since + PREPARE_LEAD_TIME >=
            state->switch_time;
}

// Whether the engine is down, or its sidecar silent, or its switch stuck.
static bool
is_lost_(const GwSwitchFacts *f, const GwSwitchMember *m, GwTime switch_time)
{
    GwTime lost_time = MAX(LOST_TIME_FACTOR * switch_time, LOST_TIME_MIN);

    return m->is_down || f->now - m->reported_at > lost_time ||
           (m->switching_since != 0 &&
            f->now - m->switching_since > lost_time);
}

// Whether the turn of member @p i is before that of the engine itself: it has
// older weights, or equal ones and comes before it in the group.
static bool
is_before_(const GwSwitchFacts *f, size_t i)
{
    const GwSwitchMember *m = &f->members[i];
    const GwSwitchMember *own = &f->members[f->own];

    if (m->weights != own->weights)
        return m->weights < own->weights;
    return i < f->own;
}

// Whether any switch of the group was measured. Until then the latest start is
// not known, so no switch is delayed.
static bool
is_measured_(const GwSwitchFacts *f)
{
    for (size_t i = 0; i < f->n_members; i++) {
        if (f->members[i].switch_time > 0)
            return true;
    }
    return false;
}

// The median is robust to a single engine that is stuck.
static GwTime
median_switch_time_(const GwSwitchFacts *f)
{
    g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(GwTime));

    for (size_t i = 0; i < f->n_members; i++) {
        if (f->members[i].switch_time > 0)
            g_array_append_val(times, f->members[i].switch_time);
    }
    if (times->len == 0)
        return DEFAULT_SWITCH_TIME;
    g_array_sort(times, compare_times_);
    return g_array_index(times, GwTime, times->len / 2);
}

// How many engines of the group must switch at a time so that all meet their
// bounds: one if that suffices. Counts without the allowance, which only makes
// switches start earlier.
static size_t
required_at_once_(const GwSwitchFacts *f, const GroupState *state)
{
    GwTime free_at = MAX(state->switching_since + state->switch_time, f->now);
    size_t n = 1;

    while (n < f->n_members && latest_start_(state, n, state->switch_time) <
                                   (state->switching >= n ? free_at : f->now))
        n++;
    return n;
}

// Latest start of the next switch, if @p at_once engines switch at a time and
// each takes @p duration.
static GwTime
latest_start_(const GroupState *state, size_t at_once, GwTime duration)
{
    GwTime latest = GW_NEVER;

    for (guint i = 0; i < state->bounds->len; i++) {
        GwTime bound = g_array_index(state->bounds, GwTime, i);
        GwTime rounds = (GwTime)(i / at_once) + 1;

        latest = MIN(latest, GwRoll_TimeLeft(0, bound) - rounds * duration);
    }
    return latest;
}

// Whether the other engines of the group can serve the engine's requests as
// well without a queue beyond the target latency. They also take over the
// prompts that wait at the engine itself.
static bool
has_room_(const GwSwitchFacts *f, const GroupState *state)
{
    uint64_t tokens = 0;
    size_t others = 0;
    double wait_ms;

    if (f->target_latency == 0)
        return true;
    for (size_t i = 0; i < f->n_members; i++) {
        const GwSwitchMember *m = &f->members[i];

        if (i != f->own && is_lost_(f, m, state->switch_time))
            continue;
        tokens += m->waiting_tokens;
        others += i != f->own && m->switching_since == 0;
    }
    wait_ms = (double)tokens / (double)MAX(others, 1) / mean_prefill_speed_(f);
    return wait_ms * GW_MILLISECOND <= (double)f->target_latency;
}

// Tokens per millisecond of an engine of the group.
static double
mean_prefill_speed_(const GwSwitchFacts *f)
{
    double sum = 0;
    size_t n = 0;

    for (size_t i = 0; i < f->n_members; i++) {
        sum += f->members[i].prefill_tokens_per_ms;
        n += f->members[i].prefill_tokens_per_ms > 0;
    }
    return n > 0 ? sum / (double)n : DEFAULT_PREFILL_TOKENS_PER_MS;
}

static int
compare_times_(gconstpointer a, gconstpointer b)
{
    GwTime x = *(const GwTime *)a;
    GwTime y = *(const GwTime *)b;

    return (x > y) - (x < y);
}
