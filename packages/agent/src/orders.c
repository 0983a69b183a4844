#define GW_LOG_PART "orders"
#include "orders.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

#define MAX_LOAD_SLOTS 64
/* Longest term of a lease; the configuration allows up to this. */
#define LEASE_MAX_MS 600000
/* Interval of advance_state_ while the engine lacks the wanted weights. */
#define STATE_CHECK_PERIOD (20 * GW_MILLISECOND)
/* The clocks of two instances may drift apart by a hundredth. */
#define CLOCK_DRIFT_DIVISOR 100
#define NO_SLOT (-1)

/* One load slot of the site, as read from the log. */
typedef struct {
    uint64_t latest_lease; /* offset + 1 of its latest lease record; 0: none */
    char *holder;
    char *engine;
    GwTime leased_until; /* by this process's clock; 0: released */
} Slot;

typedef enum {
    ORDERS_IDLE = 0,  /* the engine has the wanted weights */
    ORDERS_WAITING,   /* for a free slot */
    ORDERS_APPENDING, /* the lease record is being appended */
    ORDERS_LEASED,    /* lease held; running jobs finish */
    ORDERS_ORDERED,   /* the order was sent */
} OrdersState;

struct Orders {
    GwLoop *loop;
    GwLog log;
    OrdersOptions options;
    const OrdersOps *ops;
    void *user;
    char *stream;
    GwLogTail *tail;
    GwLogCall *append_call;
    GwTimer timer;
    Slot slots[MAX_LOAD_SLOTS];
    int n_slots;
    GwTime lease_duration;
    bool is_log_read; /* to its end, at least once */
    OrdersState state;
    int slot;         /* leased or being leased, or NO_SLOT */
    uint64_t fence;   /* fencing number of the lease */
    int release_slot; /* whose release is to be appended, or NO_SLOT */
    uint64_t release_fence;
    GwTime lease_valid_until; /* by this process's clock */
    GwTime next_request_at;   /* no lease is requested before */
    char *wanted_weights;
    char *loaded_weights;
    bool loading;
};

static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_round_(void *user, bool ok, bool at_end);
static void apply_lease_(Orders *o, uint64_t offset, const json_t *data);
static void apply_release_(Orders *o, const json_t *data);
static void advance_state_(void *user);
static bool is_satisfied_(const Orders *o);
static int find_free_slot_(const Orders *o, GwTime now);
static bool engine_is_leased_(const Orders *o, GwTime now);
static void request_lease_(Orders *o, GwTime now);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);
static void return_to_idle_(Orders *o);
static void append_release_(Orders *o);
static void on_release_appended_(void *user, GwAppendOutcome outcome,
                                 uint64_t offset);

static const GwLogTailOps tail_ops = {NULL, on_record_, on_round_};

Orders *
Orders_New(GwLoop *loop, GwLog log, const OrdersOptions *options,
           const OrdersOps *ops, void *user)
{
    Orders *o = g_new0(Orders, 1);

    o->loop = loop;
    o->log = log;
    o->options = *options;
    o->ops = ops;
    o->user = user;
    o->stream = g_strdup(options->stream);
    o->slot = o->release_slot = NO_SLOT;
    GwTimer_Init(&o->timer, loop, advance_state_, o);
    o->tail =
        GwLogTail_New(loop, log, o->stream, 0, options->rand, &tail_ops, o);
    return o;
}

void
Orders_Delete(Orders *o)
{
    if (o == NULL)
        return;
    GwTimer_Stop(&o->timer);
    if (o->append_call != NULL)
        o->log.ops->cancel(o->log.impl, o->append_call);
    GwLogTail_Delete(o->tail);
    for (int i = 0; i < MAX_LOAD_SLOTS; i++) {
        g_free(o->slots[i].holder);
        g_free(o->slots[i].engine);
    }
    g_free(o->wanted_weights);
    g_free(o->loaded_weights);
    g_free(o->stream);
    g_free(o);
}

void
Orders_SetLimits(Orders *o, int slots, GwTime lease_duration)
{
    o->n_slots = MIN(slots, MAX_LOAD_SLOTS);
    o->lease_duration = lease_duration;
}

void
Orders_Update(Orders *o, const char *wanted, const char *loaded, bool loading)
{
    if (g_strcmp0(o->wanted_weights, wanted) != 0) {
        g_free(o->wanted_weights);
        o->wanted_weights = g_strdup(wanted);
    }
    if (g_strcmp0(o->loaded_weights, loaded) != 0) {
        g_free(o->loaded_weights);
        o->loaded_weights = g_strdup(loaded);
    }
    o->loading = loading;
    if (!is_satisfied_(o) || o->state != ORDERS_IDLE)
        GwTimer_Start(&o->timer, 0);
}

void
Orders_OnAnswer(Orders *o, bool fenced)
{
    if (o->state != ORDERS_ORDERED || !fenced)
        return;
    // Another process with a newer lease sends orders to this engine.
    GW_WARN("the engine refused a load order and the lease is released: the "
            "engine has seen a newer fencing number than %" PRIu64,
            o->fence);
    return_to_idle_(o);
}

static void
on_record_(void *user, uint64_t offset, const json_t *data)
{
    const char *type = json_string_value(json_object_get(data, "t"));

    if (g_strcmp0(type, "lease") == 0)
        apply_lease_(user, offset, data);
    else if (g_strcmp0(type, "release") == 0)
        apply_release_(user, data);
}

static void
on_round_(void *user, bool ok, bool at_end)
{
    Orders *o = user;

    if (at_end)
        o->is_log_read = true;
}

// Step "compare and set": a lease is valid only if it names the slot's latest
// lease as its predecessor, so two successors cannot both hold the slot.
static void
apply_lease_(Orders *o, uint64_t offset, const json_t *data)
{
    int i = (int)json_integer_value(json_object_get(data, "slot"));
    uint64_t prev =
        (uint64_t)json_integer_value(json_object_get(data, "prev"));
    GwTime ms = json_integer_value(json_object_get(data, "ms"));
    const char *holder = json_string_value(json_object_get(data, "holder"));
    uint64_t incarnation =
        (uint64_t)json_integer_value(json_object_get(data, "incarnation"));
    bool is_own_lease;
    Slot *s;

    if (i < 0 || i >= MAX_LOAD_SLOTS || holder == NULL || ms < 0 ||
        ms > LEASE_MAX_MS)
        return;
    s = &o->slots[i];
    is_own_lease = o->state == ORDERS_APPENDING && i == o->slot &&
                   incarnation == o->options.incarnation &&
                   strcmp(holder, o->options.holder) == 0;
    if (prev != s->latest_lease && s->latest_lease != 0) {
        // Another process leased this slot first: request another one.
        if (is_own_lease) {
            o->state = ORDERS_WAITING;
            o->slot = NO_SLOT;
        }
        return;
    }
    g_free(s->holder);
    g_free(s->engine);
    s->latest_lease = offset + 1;
    s->holder = g_strdup(holder);
    s->engine = g_strdup(json_string_value(json_object_get(data, "engine")));
    // The lease duration is counted from when this process read the record,
    // which is not before the time from which the holder counts, and is
    // extended by the clock drift. So the lease has expired for the holder
    // when it has expired here.
    s->leased_until = GwTime_Now() + ms * GW_MILLISECOND +
                      ms * GW_MILLISECOND / CLOCK_DRIFT_DIVISOR;
    if (!is_own_lease)
        return;
    o->state = ORDERS_LEASED;
    o->fence = offset + 1;
    GwTimer_Start(&o->timer, 0);
}

static void
apply_release_(Orders *o, const json_t *data)
{
    int i = (int)json_integer_value(json_object_get(data, "slot"));
    uint64_t latest_lease =
        (uint64_t)json_integer_value(json_object_get(data, "lease"));

    if (i >= 0 && i < MAX_LOAD_SLOTS &&
        o->slots[i].latest_lease == latest_lease)
        o->slots[i].leased_until = 0;
}

static void
advance_state_(void *user)
{
    Orders *o = user;
    GwTime now = GwTime_Now();

    if (is_satisfied_(o)) {
        if (o->state != ORDERS_IDLE)
            return_to_idle_(o);
        return;
    }
    if (o->state >= ORDERS_LEASED && now >= o->lease_valid_until)
        // The lease expired while the engine was not idle yet or this process
        // was suspended. Another process may hold the slot by now, so no
        // order may be sent under this lease.
        return_to_idle_(o);
    if (o->state == ORDERS_APPENDING && now >= o->lease_valid_until) {
        o->state = ORDERS_WAITING;
        o->slot = NO_SLOT;
    }
    if (o->state <= ORDERS_WAITING)
        request_lease_(o, now);
    if (o->state == ORDERS_LEASED && o->ops->pause_work(o->user) &&
        GwTime_Now() < o->lease_valid_until) {
        o->state = ORDERS_ORDERED;
        GW_INFO("sending the order to load weights %s under lease %" PRIu64,
                o->wanted_weights, o->fence);
        o->ops->send_order(o->user, o->wanted_weights, o->fence);
    }
    GwTimer_Start(&o->timer, STATE_CHECK_PERIOD);
}

static bool
is_satisfied_(const Orders *o)
{
    return o->wanted_weights == NULL || o->loaded_weights == NULL ||
           (!o->loading && strcmp(o->wanted_weights, o->loaded_weights) == 0);
}

static int
find_free_slot_(const Orders *o, GwTime now)
{
    for (int i = 0; i < o->n_slots; i++) {
        if (now >= o->slots[i].leased_until)
            return i;
    }
    return NO_SLOT;
}

// An order that an earlier holder sent to this engine may still be in transit,
// and the engine may ignore fencing numbers. So no lease is requested before
// that holder's lease has expired.
static bool
engine_is_leased_(const Orders *o, GwTime now)
{
    for (int i = 0; i < MAX_LOAD_SLOTS; i++) {
        const Slot *s = &o->slots[i];

        if (now < s->leased_until &&
            g_strcmp0(s->engine, o->options.engine) == 0)
            return true;
    }
    return false;
}

static void
request_lease_(Orders *o, GwTime now)
{
    json_t *record;

    o->state = ORDERS_WAITING;
    if (!o->is_log_read || o->append_call != NULL || o->loading ||
        engine_is_leased_(o, now) || now < o->next_request_at)
        return;
    o->slot = find_free_slot_(o, now);
    if (o->slot == NO_SLOT)
        return;
    record =
        json_pack("{s:s, s:i, s:I, s:s, s:s, s:I, s:I}", "t", "lease", "slot",
                  o->slot, "prev", (json_int_t)o->slots[o->slot].latest_lease,
                  "holder", o->options.holder, "engine", o->options.engine,
                  "incarnation", (json_int_t)o->options.incarnation, "ms",
                  (json_int_t)(o->lease_duration / GW_MILLISECOND));
    o->state = ORDERS_APPENDING;
    // The lease duration is counted from before the append, and is reduced by
    // the clock drift, so that the lease expires here before it does for other
    // processes.
    o->lease_valid_until =
        now + o->lease_duration - o->lease_duration / CLOCK_DRIFT_DIVISOR;
    // Random delay: processes that lost the race for a slot retry at
    // different times.
    o->next_request_at =
        now + GwTime_Jitter(o->options.rand, 5 * STATE_CHECK_PERIOD);
    o->append_call =
        o->log.ops->append(o->log.impl, o->stream, record, on_appended_, o);
    json_decref(record);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    Orders *o = user;

    o->append_call = NULL;
    append_release_(o);
    // If the append is done or its outcome is unknown, the records that are
    // then read from the log decide which process holds the slot.
    if (outcome == GW_APPEND_NOT_DONE && o->state == ORDERS_APPENDING) {
        o->state = ORDERS_WAITING;
        o->slot = NO_SLOT;
    }
}

static void
return_to_idle_(Orders *o)
{
    o->ops->resume_work(o->user);
    if (o->state >= ORDERS_LEASED) {
        o->release_slot = o->slot;
        o->release_fence = o->fence;
        append_release_(o);
    }
    o->state = ORDERS_IDLE;
    o->slot = NO_SLOT;
}

// The lease may be read back before its append is answered, and only one
// append is made at a time. The release is then sent when that answer comes.
// Without a release, other processes would wait until the lease expires.
static void
append_release_(Orders *o)
{
    json_t *record;

    if (o->append_call != NULL || o->release_slot == NO_SLOT)
        return;
    record = json_pack("{s:s, s:i, s:I}", "t", "release", "slot",
                       o->release_slot, "lease", (json_int_t)o->release_fence);
    o->release_slot = NO_SLOT;
    o->append_call = o->log.ops->append(o->log.impl, o->stream, record,
                                        on_release_appended_, o);
    json_decref(record);
}

static void
on_release_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    // If the release was lost, the lease expires.
    ((Orders *)user)->append_call = NULL;
}
