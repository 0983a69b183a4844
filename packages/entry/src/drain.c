#define GW_LOG_PART "entry"
#include "drain.h"

#include "galenagw/base/log.h"

/* Time for the sockets to send the last bytes of answers. */
#define LINGER_DELAY (100 * GW_MILLISECOND)

static unsigned count_open_requests_(const GwEntry *entry);
static void on_balancer_lag_over_(void *user);
static void on_linger_over_(void *user);

void
EntryDrain_Init(GwEntry *entry)
{
    GwTimer_Init(&entry->drain, entry->loop, on_balancer_lag_over_, entry);
    GwTimer_Init(&entry->linger, entry->loop, on_linger_over_, entry);
}

void
EntryDrain_Start(GwEntry *entry)
{
    if (entry->draining)
        return;
    GW_INFO("draining: %u requests open", count_open_requests_(entry));
    entry->draining = true;
    // The load balancer sends new requests until its health check has failed;
    // they are served as before.
    GwTimer_Start(&entry->drain, entry->options.balancer_lag);
}

void
EntryDrain_Check(GwEntry *entry)
{
    if (entry->draining && entry->balancer_lag_over &&
        count_open_requests_(entry) == 0)
        GwTimer_Start(&entry->linger, LINGER_DELAY);
}

void
EntryDrain_Stop(GwEntry *entry)
{
    GwTimer_Stop(&entry->drain);
    GwTimer_Stop(&entry->linger);
}

static unsigned
count_open_requests_(const GwEntry *entry)
{
    return g_hash_table_size(entry->exchanges);
}

static void
on_balancer_lag_over_(void *user)
{
    GwEntry *entry = user;

    entry->balancer_lag_over = true;
    GwHttpServer_Drain(entry->server);
    EntryDrain_Check(entry);
}

static void
on_linger_over_(void *user)
{
    GwEntry *entry = user;

    // A request may have arrived on a keep-alive connection meanwhile.
    if (count_open_requests_(entry) > 0)
        return;
    GW_INFO("drained");
    if (entry->options.on_drained != NULL)
        entry->options.on_drained(entry->options.user);
}
