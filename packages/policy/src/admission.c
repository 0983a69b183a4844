#include "galenagw/policy/admission.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

/* Weight of a new sample in the learned hold time of a slot. */
#define LEARN_SHARE 0.05
#define FIRST_GAP GW_SECOND
#define FIRST_HOLD (50 * GW_MILLISECOND)
#define MAX_RETRY_AFTER (60 * GW_SECOND)
/* Pauses of more than this many times the usual one do not come. */
#define MAX_PAUSES 20.0
#define MIN_RETRY_AFTER (50 * GW_MILLISECOND)

const char *const GwTicketState_Names[GW_TICKET_STATES] = {
    "idle", "reserved", "queued", "running", "streaming",
};

TAILQ_HEAD(TicketList, GwTicket);

struct GwAdmission {
    GwAdmissionOptions options;
    struct TicketList reserved; /* oldest first */
    struct TicketList queue;    /* in order of service */
    struct TicketList running;  /* oldest first */
    int n_reserved;
    int n_queued;
    int n_running;
    int n_running_trials;
    int n_paying_prefills; /* running, paying, no output yet */
    uint64_t next_order;
    double hold; /* learned time in a slot, microseconds */
    double gap;  /* learned time between paying requests */
    GwTime last_paying;
};

/* What stands before a ticket. */
typedef struct {
    GwTime prefill;
    int count;
} Ahead;

static bool before_(const GwTicket *a, const GwTicket *b);
static Ahead count_ahead_(const GwAdmission *a, const GwTicket *ticket,
                          GwTime now);
static GwTime slot_wait_(const GwAdmission *a, const GwTicket *ticket,
                         int ahead);
static int trial_slots_(const GwAdmission *a);
static bool may_run_(const GwAdmission *a, const GwTicket *ticket, GwTime now);
static bool fits_gap_(const GwAdmission *a, const GwTicket *ticket,
                      GwTime now);
static GwTime quiet_wait_(const GwAdmission *a, const GwTicket *ticket,
                          GwTime now);
static void learn_gap_(GwAdmission *a, GwTime now);
static void insert_(GwAdmission *a, GwTicket *ticket);
static void take_out_(GwAdmission *a, GwTicket *ticket);

GwAdmission *
GwAdmission_New(const GwAdmissionOptions *options)
{
    GwAdmission *a = g_new0(GwAdmission, 1);

    a->options = *options;
    a->hold = (double)FIRST_HOLD;
    a->gap = (double)FIRST_GAP;
    TAILQ_INIT(&a->reserved);
    TAILQ_INIT(&a->queue);
    TAILQ_INIT(&a->running);
    return a;
}

void
GwAdmission_Delete(GwAdmission *a)
{
    g_free(a);
}

void
GwAdmission_SetOptions(GwAdmission *a, const GwAdmissionOptions *options)
{
    a->options = *options;
}

GwEstimate
GwAdmission_Estimate(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    Ahead ahead = count_ahead_(a, ticket, now);
    GwEstimate e = {GW_REFUSAL_NONE, 0, 0};

    e.wait = ahead.prefill + slot_wait_(a, ticket, ahead.count) +
             quiet_wait_(a, ticket, now);
    e.retry_after = CLAMP(e.wait, MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    if (ahead.count >= a->options.queue_max)
        e.refusal = GW_REFUSAL_QUEUE_FULL;
    else if (ticket->trial && trial_slots_(a) == 0)
        e.refusal = GW_REFUSAL_TRIAL_ROOM;
    else if (ticket->deadline != GW_NEVER &&
             now + e.wait + ticket->prefill > ticket->deadline)
        e.refusal = GW_REFUSAL_DEADLINE;
    return e;
}

void
GwAdmission_Reserve(GwAdmission *a, GwTicket *ticket, GwTime now)
{
    assert(ticket->state == GW_TICKET_IDLE);
    ticket->state = GW_TICKET_RESERVED;
    ticket->since = now;
    ticket->order = a->next_order++;
    TAILQ_INSERT_TAIL(&a->reserved, ticket, link);
    a->n_reserved++;
}

GwTicket *
GwAdmission_ExpireReservation(GwAdmission *a, GwTime now)
{
    GwTicket *t = TAILQ_FIRST(&a->reserved);

    if (t == NULL || now - t->since < a->options.reserve_time)
        return NULL;
    take_out_(a, t);
    return t;
}

GwRefusal
GwAdmission_Enter(GwAdmission *a, GwTicket *ticket, GwTime now)
{
    int limit = a->options.queue_max;

    // A reservation was counted by its offer already.
    if (ticket->state == GW_TICKET_RESERVED)
        take_out_(a, ticket);
    assert(ticket->state == GW_TICKET_IDLE);
    // Trials may fill half of the queue at most: the rest is paying room.
    if (ticket->trial)
        limit = (limit + 1) / 2;
    if (a->n_queued >= limit)
        return GW_REFUSAL_QUEUE_FULL;
    if (!ticket->trial)
        learn_gap_(a, now);
    ticket->state = GW_TICKET_QUEUED;
    ticket->since = now;
    ticket->order = a->next_order++;
    insert_(a, ticket);
    return GW_REFUSAL_NONE;
}

GwTicket *
GwAdmission_Next(GwAdmission *a, GwTime now)
{
    GwTicket *t;

    // Paying requests stand first: if one may not run, none behind it may.
    // A long trial that waits for a quiet time lets shorter ones pass.
    TAILQ_FOREACH(t, &a->queue, link)
    {
        if (may_run_(a, t, now))
            break;
        if (!t->trial)
            return NULL;
    }
    if (t == NULL)
        return NULL;
    take_out_(a, t);
    t->state = GW_TICKET_RUNNING;
    t->since = now;
    TAILQ_INSERT_TAIL(&a->running, t, link);
    a->n_running++;
    a->n_running_trials += t->trial;
    a->n_paying_prefills += !t->trial;
    return t;
}

GwTicket *
GwAdmission_Preempt(GwAdmission *a, GwTime now)
{
    const GwTicket *waiting = TAILQ_FIRST(&a->queue);
    GwTicket *t;

    if (a->n_paying_prefills == 0 &&
        (waiting == NULL || waiting->trial || may_run_(a, waiting, now)))
        return NULL;
    // The youngest trial has the least prefill to lose.
    TAILQ_FOREACH_REVERSE(t, &a->running, TicketList, link)
    {
        if (!t->trial || t->state != GW_TICKET_RUNNING)
            continue;
        take_out_(a, t);
        t->state = GW_TICKET_QUEUED;
        t->since = now;
        insert_(a, t);
        return t;
    }
    return NULL;
}

GwTicket *
GwAdmission_ExpireQueued(GwAdmission *a, GwTime now)
{
    GwTicket *t;

    TAILQ_FOREACH(t, &a->queue, link)
    {
        if (t->deadline == GW_NEVER || t->deadline > now)
            continue;
        take_out_(a, t);
        return t;
    }
    return NULL;
}

void
GwAdmission_Output(GwAdmission *a, GwTicket *ticket, GwTime now)
{
    if (ticket->state != GW_TICKET_RUNNING)
        return;
    ticket->state = GW_TICKET_STREAMING;
    a->n_paying_prefills -= !ticket->trial;
}

void
GwAdmission_Leave(GwAdmission *a, GwTicket *ticket, GwTime now)
{
    if (ticket->state == GW_TICKET_STREAMING)
        a->hold += LEARN_SHARE * ((double)(now - ticket->since) - a->hold);
    if (ticket->state != GW_TICKET_IDLE)
        take_out_(a, ticket);
}

double
GwAdmission_Hold(const GwAdmission *a)
{
    return a->hold;
}

int
GwAdmission_Running(const GwAdmission *a)
{
    return a->n_running;
}

int
GwAdmission_Queued(const GwAdmission *a)
{
    return a->n_queued;
}

int
GwAdmission_Present(const GwAdmission *a)
{
    return a->n_queued + a->n_running;
}

// Order of service: paying, then urgency, then earliest deadline, then age.
static bool
before_(const GwTicket *a, const GwTicket *b)
{
    if (a->trial != b->trial)
        return b->trial;
    if (a->urgency != b->urgency)
        return a->urgency < b->urgency;
    if (a->deadline != b->deadline)
        return a->deadline < b->deadline;
    return a->order < b->order;
}

static Ahead
count_ahead_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    Ahead ahead = {0, 0};
    const GwTicket *t;

    TAILQ_FOREACH(t, &a->running, link)
    {
        GwTime left = t->prefill - (now - t->since);

        // A trial without output would be set aside for a paying request.
        if (t->state != GW_TICKET_RUNNING || (t->trial && !ticket->trial))
            continue;
        ahead.prefill += MAX(left, 0);
    }
    TAILQ_FOREACH(t, &a->queue, link)
    {
        if (!before_(t, ticket))
            continue;
        ahead.prefill += t->prefill;
        ahead.count++;
    }
    TAILQ_FOREACH(t, &a->reserved, link)
    {
        if (t->trial && !ticket->trial)
            continue;
        ahead.prefill += t->prefill;
        ahead.count++;
    }
    return ahead;
}

// Time until a slot is free for the request after `ahead` others: slots
// come free at one a hold time each, spread evenly.
static GwTime
slot_wait_(const GwAdmission *a, const GwTicket *ticket, int ahead)
{
    int slots = ticket->trial ? trial_slots_(a) : a->options.slots;
    int taken =
        ticket->trial ? a->n_running : a->n_running - a->n_running_trials;
    int missing = taken + ahead + 1 - slots;

    if (missing <= 0)
        return 0;
    return (GwTime)(a->hold * missing / MAX(slots, 1));
}

static int
trial_slots_(const GwAdmission *a)
{
    int kept = (int)ceil(a->options.paying_reserve * a->options.slots);

    return MAX(a->options.slots - kept, 0);
}

static bool
may_run_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    if (!ticket->trial)
        return a->n_running < a->options.slots;
    // Engines prefill one prompt after another: a trial's would stand in
    // the way of a paying one's even if slots are free.
    return a->n_running < trial_slots_(a) && a->n_paying_prefills == 0 &&
           fits_gap_(a, ticket, now);
}

// A prefill longer than the usual time between paying requests would most
// likely be set aside, and what it had computed be lost. After a quiet time
// it may start all the same.
static bool
fits_gap_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    GwTime quiet = now - a->last_paying;

    return a->last_paying == 0 || (double)ticket->prefill <= a->gap ||
           ticket->prefill <= quiet;
}

// How long a trial waits for a pause as long as its prefill, if paying
// requests come at random: told at once, not found out at its deadline.
static GwTime
quiet_wait_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    double pauses = (double)ticket->prefill / a->gap;

    if (!ticket->trial || fits_gap_(a, ticket, now))
        return 0;
    return (GwTime)((exp(MIN(pauses, MAX_PAUSES)) - 1) * a->gap);
}

static void
learn_gap_(GwAdmission *a, GwTime now)
{
    if (a->last_paying > 0)
        a->gap += LEARN_SHARE * ((double)(now - a->last_paying) - a->gap);
    a->last_paying = now;
}

static void
insert_(GwAdmission *a, GwTicket *ticket)
{
    GwTicket *t;

    a->n_queued++;
    // New tickets mostly go last, so the search starts there.
    TAILQ_FOREACH_REVERSE(t, &a->queue, TicketList, link)
    {
        if (!before_(t, ticket))
            continue;
        TAILQ_INSERT_AFTER(&a->queue, t, ticket, link);
        return;
    }
    TAILQ_INSERT_HEAD(&a->queue, ticket, link);
}

static void
take_out_(GwAdmission *a, GwTicket *ticket)
{
    switch (ticket->state) {
    case GW_TICKET_RESERVED:
        TAILQ_REMOVE(&a->reserved, ticket, link);
        a->n_reserved--;
        break;
    case GW_TICKET_QUEUED:
        TAILQ_REMOVE(&a->queue, ticket, link);
        a->n_queued--;
        break;
    case GW_TICKET_RUNNING:
    case GW_TICKET_STREAMING:
        TAILQ_REMOVE(&a->running, ticket, link);
        a->n_running--;
        a->n_running_trials -= ticket->trial;
        if (ticket->state == GW_TICKET_RUNNING)
            a->n_paying_prefills -= !ticket->trial;
        break;
    default:
        break;
    }
    ticket->state = GW_TICKET_IDLE;
}
