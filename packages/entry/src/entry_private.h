/* State shared by the modules of the entry; private to this package. */
#ifndef GALENAGW_ENTRY_PRIVATE_H
#define GALENAGW_ENTRY_PRIVATE_H

#include <sys/queue.h>

#include "galenagw/entry/options.h"
#include "galenagw/http/server.h"
#include "galenagw/platform/config_feed.h"
#include "galenagw/platform/instance_list.h"
#include "galenagw/policy/affinity.h"
#include "galenagw/policy/candidates.h"
#include "galenagw/policy/choice.h"
#include "galenagw/policy/credit.h"
#include "galenagw/policy/heat.h"
#include "galenagw/policy/membership.h"
#include "galenagw/quarantine/quarantine_sync.h"
#include "galenagw/wire/session.h"

/* The width of a hot prefix is the number of members over which its requests
   are spread. Offers report it; without further reports it is halved after
   this time. */
#define GW_PREFIX_WIDTH_HALF_LIFE GW_SECOND

typedef struct GwEntry GwEntry;
typedef struct Peer Peer;
typedef struct Exchange Exchange;

TAILQ_HEAD(ExchangeList, Exchange);

/* Callbacks of the sessions to agents, which peers.c manages. entry.c sets
 * them, so that peers.c does not depend on the modules that handle frames. */
typedef struct {
    void (*on_peer_ready)(Peer *peer);
    void (*on_peer_lost)(Peer *peer);
    /* A frame that peers.c does not handle itself, such as one on a request,
     * on credits or on the quarantine. */
    void (*on_peer_frame)(Peer *peer, const GwFrame *frame);
} PeerOps;

struct GwEntry {
    GwLoop *loop;
    GwEntryOptions options;
    GRand *rand;
    GwCounters counters;
    uint64_t incarnation; /* of this process, sent in each Hello */

    GwHttpLog *http_log;
    GwConfigFeed *feed;
    GwInstanceList *list;
    bool list_loaded;      /* the instance list was read at least once */
    int n_entries;         /* in the instance list, at least 1 */
    int n_entries_counted; /* so far in the current read of the list */
    GwMembership *members; /* agents and whether they may get requests */
    const PeerOps *peer_ops;
    GHashTable *credits; /* account name to AccountCredit */
    /* The limit owner of an account answered. A pointer, so that credits.c
     * does not depend on exchange.c. */
    void (*on_credits_changed)(GwEntry *entry, const char *account);

    GwHttpServer *server;  /* for clients */
    GwHttpServer *admin;   /* for operators */
    GHashTable *exchanges; /* &exchange->id to Exchange */
    uint64_t next_probe;   /* id of the next probe round */
    GHashTable *probes;    /* probe id to Exchange */
    GwAffinity *affinity;  /* member that last served an anchor well */
    GwHeat *widths;       /* anchor (hash of a prefix) to width, from offers */
    GwRetryBudget budget; /* limits retries to a share of the requests */
    GwQuarantine *quarantine;
    GwTime trials_rejected_until; /* trial requests are refused until then */

    GwTimer tick;
    GwTimer drain; /* runs for options.balancer_lag after a drain began */
    bool draining;
    bool balancer_lag_over;
    GwTimer linger; /* delay between the last answer and on_drained */
};

#endif
