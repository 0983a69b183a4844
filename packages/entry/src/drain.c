#define GW_LOG_PART "entry"
#include "drain.h"

#include "galenagw/base/log.h"

/* A closing socket must have taken the last bytes. */
#define LINGER_TIME (100 * GW_MILLISECOND)

static unsigned open_(const GwEntry *entry);
static void on_lag_over_(void *user);
static void on_lingered_(void *user);

void
EntryDrain_Init(GwEntry *entry)
{
    GwTimer_Init(&entry->drain, entry->loop, on_lag_over_, entry);
    GwTimer_Init(&entry->linger, entry->loop, on_lingered_, entry);
}

void
EntryDrain_Start(GwEntry *entry)
{
    if (entry->draining)
        return;
    GW_INFO("draining: %u requests open", open_(entry));
    entry->draining = true;
    // The balancer sends new requests until it has seen the failed check;
    // they are served like any other.
    GwTimer_Start(&entry->drain, entry->options.balancer_lag);
}

void
EntryDrain_Check(GwEntry *entry)
{
    if (entry->draining && entry->lag_over && open_(entry) == 0)
        GwTimer_Start(&entry->linger, LINGER_TIME);
}

void
EntryDrain_Stop(GwEntry *entry)
{
    GwTimer_Stop(&entry->drain);
    GwTimer_Stop(&entry->linger);
}

static unsigned
open_(const GwEntry *entry)
{
    return g_hash_table_size(entry->exchanges);
}

static void
on_lag_over_(void *user)
{
    GwEntry *entry = user;

    entry->lag_over = true;
    GwHttpServer_Drain(entry->server);
    EntryDrain_Check(entry);
}

static void
on_lingered_(void *user)
{
    GwEntry *entry = user;

    // A request may have come in on a kept connection in the meantime.
    if (open_(entry) > 0)
        return;
    GW_INFO("drained");
    if (entry->options.on_drained != NULL)
        entry->options.on_drained(entry->options.user);
}
