#define GW_LOG_PART "orders"
#include "orders.h"

#include <inttypes.h>
#include <string.h>

#include "galenagw/base/log.h"

#define MAX_SLOTS 64
#define STEP_PERIOD (20 * GW_MILLISECOND)
/* Clocks may drift by a hundredth between two instances. */
#define DRIFT_SHARE 100
#define NO_SLOT (-1)

/* One load slot, as folded from the log. */
typedef struct {
    uint64_t latest; /* offset + 1 of its latest lease record; 0: none */
    char *holder;
    char *engine;
    GwTime until; /* on our clock; 0: released */
} Slot;

typedef enum {
    ORDERS_IDLE = 0,
    ORDERS_WAITING,   /* for a free slot */
    ORDERS_APPENDING, /* our lease record is on its way */
    ORDERS_HOLDING,   /* lease held; the engine is emptied */
    ORDERS_ORDERED,   /* the order is out */
} OrdersState;

struct Orders {
    GwLoop *loop;
    GwLog log;
    OrdersOptions options;
    const OrdersOps *ops;
    void *user;
    char *stream;
    GwLogTail *tail;
    GwLogCall *append;
    GwTimer timer;
    Slot slots[MAX_SLOTS];
    int n_slots;
    GwTime lease;
    bool known; /* the log was read to its end */
    OrdersState state;
    int slot; /* in use, or NO_SLOT */
    uint64_t fence;
    int release_slot; /* to be released, or NO_SLOT */
    uint64_t release_fence;
    GwTime valid_until; /* of our lease, on our clock */
    GwTime asked_at;
    char *wanted;
    char *loaded;
    bool loading;
};

static void on_record_(void *user, uint64_t offset, const json_t *data);
static void on_round_(void *user, bool ok, bool at_end);
static void fold_lease_(Orders *o, uint64_t offset, const json_t *data);
static void fold_release_(Orders *o, const json_t *data);
static void step_(void *user);
static bool satisfied_(const Orders *o);
static int free_slot_(const Orders *o, GwTime now);
static bool engine_is_leased_(const Orders *o, GwTime now);
static void take_(Orders *o, GwTime now);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);
static void give_up_(Orders *o);
static void send_release_(Orders *o);
static void on_released_(void *user, GwAppendOutcome outcome, uint64_t offset);

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
    GwTimer_Init(&o->timer, loop, step_, o);
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
    if (o->append != NULL)
        o->log.ops->cancel(o->log.impl, o->append);
    GwLogTail_Delete(o->tail);
    for (int i = 0; i < MAX_SLOTS; i++) {
        g_free(o->slots[i].holder);
        g_free(o->slots[i].engine);
    }
    g_free(o->wanted);
    g_free(o->loaded);
    g_free(o->stream);
    g_free(o);
}

void
Orders_SetLimits(Orders *o, int slots, GwTime lease)
{
    o->n_slots = MIN(slots, MAX_SLOTS);
    o->lease = lease;
}

void
Orders_Update(Orders *o, const char *wanted, const char *loaded, bool loading)
{
    if (g_strcmp0(o->wanted, wanted) != 0) {
        g_free(o->wanted);
        o->wanted = g_strdup(wanted);
    }
    if (g_strcmp0(o->loaded, loaded) != 0) {
        g_free(o->loaded);
        o->loaded = g_strdup(loaded);
    }
    o->loading = loading;
    if (!satisfied_(o) || o->state != ORDERS_IDLE)
        GwTimer_Start(&o->timer, 0);
}

void
Orders_Answered(Orders *o, bool fenced)
{
    if (o->state != ORDERS_ORDERED || !fenced)
        return;
    // Someone newer gives orders to this engine.
    GW_WARN("the engine refused fencing number %" PRIu64, o->fence);
    give_up_(o);
}

static void
on_record_(void *user, uint64_t offset, const json_t *data)
{
    const char *type = json_string_value(json_object_get(data, "t"));

    if (g_strcmp0(type, "lease") == 0)
        fold_lease_(user, offset, data);
    else if (g_strcmp0(type, "release") == 0)
        fold_release_(user, data);
}

static void
on_round_(void *user, bool ok, bool at_end)
{
    Orders *o = user;

    if (at_end)
        o->known = true;
}

// Step "compare and set": a lease counts only on top of the slot's latest
// one, so two successors cannot both hold it.
static void
fold_lease_(Orders *o, uint64_t offset, const json_t *data)
{
    int i = (int)json_integer_value(json_object_get(data, "slot"));
    uint64_t prev =
        (uint64_t)json_integer_value(json_object_get(data, "prev"));
    GwTime ms = json_integer_value(json_object_get(data, "ms"));
    const char *holder = json_string_value(json_object_get(data, "holder"));
    uint64_t incarnation =
        (uint64_t)json_integer_value(json_object_get(data, "incarnation"));
    bool ours;
    Slot *s;

    if (i < 0 || i >= MAX_SLOTS || holder == NULL)
        return;
    s = &o->slots[i];
    ours = o->state == ORDERS_APPENDING && i == o->slot &&
           incarnation == o->options.incarnation &&
           strcmp(holder, o->options.holder) == 0;
    if (prev != s->latest && s->latest != 0) {
        // Lost the race for this slot: look for another one.
        if (ours) {
            o->state = ORDERS_WAITING;
            o->slot = NO_SLOT;
        }
        return;
    }
    g_free(s->holder);
    g_free(s->engine);
    s->latest = offset + 1;
    s->holder = g_strdup(holder);
    s->engine = g_strdup(json_string_value(json_object_get(data, "engine")));
    // Counted from when we read it, which is no earlier than the holder
    // counts, and longer by the drift of clocks.
    s->until =
        GwTime_Now() + ms * GW_MILLISECOND + ms * GW_MILLISECOND / DRIFT_SHARE;
    if (!ours)
        return;
    o->state = ORDERS_HOLDING;
    o->fence = offset + 1;
    GwTimer_Start(&o->timer, 0);
}

static void
fold_release_(Orders *o, const json_t *data)
{
    int i = (int)json_integer_value(json_object_get(data, "slot"));
    uint64_t latest =
        (uint64_t)json_integer_value(json_object_get(data, "lease"));

    if (i >= 0 && i < MAX_SLOTS && o->slots[i].latest == latest)
        o->slots[i].until = 0;
}

static void
step_(void *user)
{
    Orders *o = user;
    GwTime now = GwTime_Now();

    if (satisfied_(o)) {
        if (o->state != ORDERS_IDLE)
            give_up_(o);
        return;
    }
    if (o->state >= ORDERS_HOLDING && now >= o->valid_until)
        // The lease ran out while we waited or were paused: another may
        // hold it by now, so nothing may be ordered under it.
        give_up_(o);
    if (o->state == ORDERS_APPENDING && now >= o->valid_until) {
        o->state = ORDERS_WAITING;
        o->slot = NO_SLOT;
    }
    if (o->state <= ORDERS_WAITING)
        take_(o, now);
    if (o->state == ORDERS_HOLDING && o->ops->hold(o->user) &&
        GwTime_Now() < o->valid_until) {
        o->state = ORDERS_ORDERED;
        GW_INFO("ordering weights %s under lease %" PRIu64, o->wanted,
                o->fence);
        o->ops->order(o->user, o->wanted, o->fence);
    }
    GwTimer_Start(&o->timer, STEP_PERIOD);
}

static bool
satisfied_(const Orders *o)
{
    return o->wanted == NULL || o->loaded == NULL ||
           (!o->loading && strcmp(o->wanted, o->loaded) == 0);
}

static int
free_slot_(const Orders *o, GwTime now)
{
    for (int i = 0; i < o->n_slots; i++) {
        if (now >= o->slots[i].until)
            return i;
    }
    return NO_SLOT;
}

// An earlier holder of orders for this engine may still have one under way,
// and the engine may ignore its number: its lease is waited out.
static bool
engine_is_leased_(const Orders *o, GwTime now)
{
    for (int i = 0; i < MAX_SLOTS; i++) {
        const Slot *s = &o->slots[i];

        if (now < s->until && g_strcmp0(s->engine, o->options.engine) == 0)
            return true;
    }
    return false;
}

static void
take_(Orders *o, GwTime now)
{
    json_t *record;

    o->state = ORDERS_WAITING;
    if (!o->known || o->append != NULL || o->loading ||
        engine_is_leased_(o, now) || now < o->asked_at)
        return;
    o->slot = free_slot_(o, now);
    if (o->slot == NO_SLOT)
        return;
    record =
        json_pack("{s:s, s:i, s:I, s:s, s:s, s:I, s:I}", "t", "lease", "slot",
                  o->slot, "prev", (json_int_t)o->slots[o->slot].latest,
                  "holder", o->options.holder, "engine", o->options.engine,
                  "incarnation", (json_int_t)o->options.incarnation, "ms",
                  (json_int_t)(o->lease / GW_MILLISECOND));
    o->state = ORDERS_APPENDING;
    // Counted from before the append, shorter by the drift of clocks.
    o->valid_until = now + o->lease - o->lease / DRIFT_SHARE;
    // Losers of a race come back spread out.
    o->asked_at = now + GwTime_Jitter(o->options.rand, 5 * STEP_PERIOD);
    o->append =
        o->log.ops->append(o->log.impl, o->stream, record, on_appended_, o);
    json_decref(record);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    Orders *o = user;

    o->append = NULL;
    send_release_(o);
    // Done or unknown, the tail tells who holds the slot.
    if (outcome == GW_APPEND_NOT_DONE && o->state == ORDERS_APPENDING) {
        o->state = ORDERS_WAITING;
        o->slot = NO_SLOT;
    }
}

static void
give_up_(Orders *o)
{
    o->ops->release(o->user);
    if (o->state >= ORDERS_HOLDING) {
        o->release_slot = o->slot;
        o->release_fence = o->fence;
        send_release_(o);
    }
    o->state = ORDERS_IDLE;
    o->slot = NO_SLOT;
}

// The lease may be read back before its append is answered; the release then
// waits for that answer, or others would wait for the lease to run out.
static void
send_release_(Orders *o)
{
    json_t *record;

    if (o->append != NULL || o->release_slot == NO_SLOT)
        return;
    record = json_pack("{s:s, s:i, s:I}", "t", "release", "slot",
                       o->release_slot, "lease", (json_int_t)o->release_fence);
    o->release_slot = NO_SLOT;
    o->append =
        o->log.ops->append(o->log.impl, o->stream, record, on_released_, o);
    json_decref(record);
}

static void
on_released_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    // If it was lost, the lease runs out by itself.
    ((Orders *)user)->append = NULL;
}
