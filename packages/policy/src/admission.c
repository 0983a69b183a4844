#include "galenagw/policy/admission.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.05
/* Values of the averages before the first sample. */
#define INITIAL_PAYING_INTERVAL GW_SECOND
#define INITIAL_SLOT_TIME (50 * GW_MILLISECOND)
#define RETRY_AFTER_MAX (60 * GW_SECOND)
/* Bound of the exponent in estimate_quiet_wait_, which is the duration of a
 * trial's prefill in average intervals between paying requests. A pause of so
 * many average intervals practically never occurs, and a greater exponent
 * could make the result exceed the range of GwTime. */
#define QUIET_WAIT_EXPONENT_MAX 20.0
#define RETRY_AFTER_MIN (50 * GW_MILLISECOND)

const char *const GwTicketState_Names[GW_TICKET_STATES] = {
    "idle", "reserved", "queued", "running", "streaming",
};

TAILQ_HEAD(TicketList, GwTicket);

struct GwAdmission {
    GwAdmissionOptions options;
    struct TicketList reserved; /* in the order of reservation */
    struct TicketList queue;    /* in the order of precedes_ */
    struct TicketList running;  /* at the endpoint, with or without output; in
                                   the order of their start */
    int n_reserved;
    int n_queued;
    int n_running;         /* in `running`, so with or without output */
    int n_running_trials;  /* trials among them */
    int n_paying_prefills; /* paying requests among them, without output */
    uint64_t next_order;
    double slot_time_us;       /* average time that a request holds a slot */
    double paying_interval_us; /* average time between paying requests */
    GwTime last_paying_at;
};

/* Work that is served before a ticket. */
typedef struct {
    GwTime prefill; /* total duration of the prefills that are left: of running
                       requests and of those that `count` counts */
    int count;      /* queued requests that precede it, and reservations */
} WorkAhead;

static bool precedes_(const GwTicket *a, const GwTicket *b);
static WorkAhead sum_work_ahead_(const GwAdmission *a, const GwTicket *ticket,
                                 GwTime now);
static GwTime estimate_slot_wait_(const GwAdmission *a, const GwTicket *ticket,
                                  int ahead);
static int count_trial_slots_(const GwAdmission *a);
static bool may_run_(const GwAdmission *a, const GwTicket *ticket, GwTime now);
static bool fits_paying_interval_(const GwAdmission *a, const GwTicket *ticket,
                                  GwTime now);
static GwTime estimate_quiet_wait_(const GwAdmission *a,
                                   const GwTicket *ticket, GwTime now);
static void update_paying_interval_(GwAdmission *a, GwTime now);
static void insert_into_queue_(GwAdmission *a, GwTicket *ticket);
static void remove_ticket_(GwAdmission *a, GwTicket *ticket);

GwAdmission *
GwAdmission_New(const GwAdmissionOptions *options)
{
    GwAdmission *a = g_new0(GwAdmission, 1);

    a->options = *options;
    a->slot_time_us = (double)INITIAL_SLOT_TIME;
    a->paying_interval_us = (double)INITIAL_PAYING_INTERVAL;
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
    WorkAhead ahead = sum_work_ahead_(a, ticket, now);
    GwEstimate e = {GW_REFUSAL_NONE, 0, 0};

    // The parts may overlap, as the slot time includes the prefill. Their sum
    // can be too long an estimate.
    e.wait = ahead.prefill + estimate_slot_wait_(a, ticket, ahead.count) +
             estimate_quiet_wait_(a, ticket, now);
    e.retry_after = CLAMP(e.wait, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    // Reservations count here, but not in GwAdmission_Enter; queued requests
    // that the ticket precedes count there, but not here.
    if (ahead.count >= a->options.queue_max)
        e.refusal = GW_REFUSAL_QUEUE_FULL;
    else if (ticket->trial && count_trial_slots_(a) == 0)
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
    remove_ticket_(a, t);
    return t;
}

GwRefusal
GwAdmission_Enter(GwAdmission *a, GwTicket *ticket, GwTime now)
{
    int limit = a->options.queue_max;

    // Estimates have counted the reservation already. It is released before
    // the ticket is queued, so that they do not count both.
    if (ticket->state == GW_TICKET_RESERVED)
        remove_ticket_(a, ticket);
    assert(ticket->state == GW_TICKET_IDLE);
    // A trial is queued only while less than half of the queue is in use, by
    // requests of either kind; the other half is for paying requests.
    if (ticket->trial)
        limit = (limit + 1) / 2;
    if (a->n_queued >= limit)
        return GW_REFUSAL_QUEUE_FULL;
    if (!ticket->trial)
        update_paying_interval_(a, now);
    ticket->state = GW_TICKET_QUEUED;
    ticket->since = now;
    ticket->order = a->next_order++;
    insert_into_queue_(a, ticket);
    return GW_REFUSAL_NONE;
}

GwTicket *
GwAdmission_Next(GwAdmission *a, GwTime now)
{
    GwTicket *t;

    // Paying requests are first in the queue: if one may not run, none behind
    // it may. A long trial that waits for a pause in paying requests lets
    // shorter trials pass.
    TAILQ_FOREACH(t, &a->queue, link)
    {
        if (may_run_(a, t, now))
            break;
        if (!t->trial)
            return NULL;
    }
    if (t == NULL)
        return NULL;
    remove_ticket_(a, t);
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

    // A trial is preempted if a paying request is in its prefill, since
    // engines prefill one prompt after another, or if the first request of the
    // queue is a paying one for which no slot is free.
    if (a->n_paying_prefills == 0 &&
        (waiting == NULL || waiting->trial || may_run_(a, waiting, now)))
        return NULL;
    // The trial that started last loses the least prefill work.
    TAILQ_FOREACH_REVERSE(t, &a->running, TicketList, link)
    {
        if (!t->trial || t->state != GW_TICKET_RUNNING)
            continue;
        remove_ticket_(a, t);
        t->state = GW_TICKET_QUEUED;
        t->since = now;
        insert_into_queue_(a, t);
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
        remove_ticket_(a, t);
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
    // Requests that leave without output, because they failed or were
    // cancelled, are no samples.
    if (ticket->state == GW_TICKET_STREAMING)
        a->slot_time_us +=
            SAMPLE_WEIGHT * ((double)(now - ticket->since) - a->slot_time_us);
    if (ticket->state != GW_TICKET_IDLE)
        remove_ticket_(a, ticket);
}

double
GwAdmission_AverageSlotTime(const GwAdmission *a)
{
    return a->slot_time_us;
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

// Whether a is served before b: paying requests first, then by urgency,
// earliest deadline and order of arrival.
static bool
precedes_(const GwTicket *a, const GwTicket *b)
{
    if (a->trial != b->trial)
        return b->trial;
    if (a->urgency != b->urgency)
        return a->urgency < b->urgency;
    if (a->deadline != b->deadline)
        return a->deadline < b->deadline;
    return a->order < b->order;
}

// The work that is served before the ticket: the remaining prefills at the
// endpoint, queued tickets that precede it, and reservations of whatever
// urgency. For a paying ticket, trials are left out.
static WorkAhead
sum_work_ahead_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    WorkAhead ahead = {0, 0};
    const GwTicket *t;

    TAILQ_FOREACH(t, &a->running, link)
    {
        GwTime remaining = t->prefill - (now - t->since);

        // A trial without output would be preempted by a paying request.
        if (t->state != GW_TICKET_RUNNING || (t->trial && !ticket->trial))
            continue;
        ahead.prefill += MAX(remaining, 0);
    }
    TAILQ_FOREACH(t, &a->queue, link)
    {
        if (!precedes_(t, ticket))
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

// Time until a slot is free for the ticket if `ahead` other requests get slots
// before it. Each slot is taken to become free once in the average slot time,
// and the times at which the slots become free are taken to be evenly spread.
// For a paying request all slots of trials count as free, although trials with
// output are not preempted; the estimate can then be too short.
static GwTime
estimate_slot_wait_(const GwAdmission *a, const GwTicket *ticket, int ahead)
{
    int slots = ticket->trial ? count_trial_slots_(a) : a->options.slots;
    int taken =
        ticket->trial ? a->n_running : a->n_running - a->n_running_trials;
    int missing = taken + ahead + 1 - slots;

    if (missing <= 0)
        return 0;
    return (GwTime)(a->slot_time_us * missing / MAX(slots, 1));
}

// Slots that trials may use.
static int
count_trial_slots_(const GwAdmission *a)
{
    int n_reserved_slots =
        (int)ceil(a->options.paying_reserve * a->options.slots);

    return MAX(a->options.slots - n_reserved_slots, 0);
}

static bool
may_run_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    if (!ticket->trial)
        return a->n_running < a->options.slots;
    // Engines prefill one prompt after another, so that the prefill of a trial
    // would delay that of a paying request even if slots are free.
    return a->n_running < count_trial_slots_(a) && a->n_paying_prefills == 0 &&
           fits_paying_interval_(a, ticket, now);
}

// Whether the trial's prefill is no longer than the average interval between
// paying requests. A longer prefill would probably be preempted and its work
// lost. It may nevertheless start after a pause without paying requests that
// is as long as the prefill: the average changes only when a paying request
// arrives, so without this rule it would not start when no more arrive.
static bool
fits_paying_interval_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    GwTime quiet_time = now - a->last_paying_at;

    return a->last_paying_at == 0 ||
           (double)ticket->prefill <= a->paying_interval_us ||
           ticket->prefill <= quiet_time;
}

// Expected wait of a trial until there was a pause without paying requests as
// long as its prefill, if paying requests arrive at random (as a Poisson
// process). With the estimate, a trial that would miss its deadline is refused
// at once.
static GwTime
estimate_quiet_wait_(const GwAdmission *a, const GwTicket *ticket, GwTime now)
{
    double n_intervals = (double)ticket->prefill / a->paying_interval_us;

    if (!ticket->trial || fits_paying_interval_(a, ticket, now))
        return 0;
    return (GwTime)((exp(MIN(n_intervals, QUIET_WAIT_EXPONENT_MAX)) - 1) *
                    a->paying_interval_us);
}

static void
update_paying_interval_(GwAdmission *a, GwTime now)
{
    if (a->last_paying_at > 0)
        a->paying_interval_us +=
            SAMPLE_WEIGHT *
            ((double)(now - a->last_paying_at) - a->paying_interval_us);
    a->last_paying_at = now;
}

static void
insert_into_queue_(GwAdmission *a, GwTicket *ticket)
{
    GwTicket *t;

    a->n_queued++;
    // New tickets mostly go to the end, so the search starts there.
    TAILQ_FOREACH_REVERSE(t, &a->queue, TicketList, link)
    {
        if (!precedes_(t, ticket))
            continue;
        TAILQ_INSERT_AFTER(&a->queue, t, ticket, link);
        return;
    }
    TAILQ_INSERT_HEAD(&a->queue, ticket, link);
}

static void
remove_ticket_(GwAdmission *a, GwTicket *ticket)
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
