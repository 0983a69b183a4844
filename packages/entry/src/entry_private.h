/* What the entry's modules share; private to this package. */
#ifndef GALENAGW_ENTRY_PRIVATE_H
#define GALENAGW_ENTRY_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/entry/entry.h"
#include "galenagw/http/server.h"
#include "galenagw/platform/config_feed.h"
#include "galenagw/platform/instance_list.h"
#include "galenagw/policy/affinity.h"
#include "galenagw/policy/candidates.h"
#include "galenagw/policy/choice.h"
#include "galenagw/policy/heat.h"
#include "galenagw/policy/limits.h"
#include "galenagw/policy/membership.h"
#include "galenagw/wire/session.h"

#define GW_WIDTH_HALF_LIFE GW_SECOND

typedef struct Peer Peer;
typedef struct Exchange Exchange;

TAILQ_HEAD(ExchangeList, Exchange);

struct GwEntry {
    GwLoop *loop;
    GwEntryOptions options;
    GRand *rand;
    GwCounters counters;
    uint64_t incarnation;

    GwHttpLog *http_log;
    GwConfigFeed *feed;
    GwInstanceList *list;
    bool listed; /* the list was read once */
    int n_entries;
    int n_entries_read;
    GwMembership *members;
    GHashTable *credits; /* account to AccountCredit */

    GwHttpServer *server;
    GwHttpServer *admin;
    GHashTable *exchanges; /* &exchange->id to Exchange */
    uint64_t next_probe;
    GHashTable *probes; /* probe id to Exchange */
    GwAffinity *affinity;
    GwHeat *widths; /* anchor to width, as offers told it */
    GwRetryBudget budget;
    GwTime trials_closed_until;

    GwTimer tick;
    GwTimer drain;
    bool draining;
    bool lag_over;
    GwTimer linger; /* between the last answer and the end */
};

/* entry.c */
void Entry_CheckDrained(GwEntry *entry);

/* api.c */
bool Api_Start(GwEntry *entry, GwError *err);
char *Api_Status(GwEntry *entry);

#endif
