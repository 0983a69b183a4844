/* The platform's lists on their way between peers: who is behind asks one that
 * told of more, and is told the records that it lacks. */
#ifndef GALENAGW_CLUSTER_EXCHANGE_H
#define GALENAGW_CLUSTER_EXCHANGE_H

#include <sys/queue.h>

#include "galenagw/cluster/fetch.h"
#include "galenagw/cluster/store_reader.h"
#include "galenagw/cluster/view.h"
#include "galenagw/wire/session.h"

/* A peer, as far as lists go; embed it. */
typedef struct GwExchangePeer {
    TAILQ_ENTRY(GwExchangePeer) link;
    GwSession *session;
    const char *name;  /* by its hello; may change */
    uint64_t revision; /* how far it knows the lists, as it told */
    GwTime revision_at;
    uint64_t sent_ends[GW_LISTS]; /* what was queued to it, up to here */
} GwExchangePeer;

typedef struct {
    GwView *view;
    GwStoreReader *reader; /* told when peers are ahead; or NULL */
    GwEventLog *log;
    GwCounters *counters;
} GwExchangeOptions;

/* Its fields are its own; embed it. */
typedef struct {
    GwExchangeOptions options;
    TAILQ_HEAD(, GwExchangePeer) peers;
    GwFetch fetches[GW_LISTS];
    uint64_t wanted[GW_LISTS];       /* the furthest end that peers told */
    GwExchangePeer *asked[GW_LISTS]; /* the last one; NULL: none, or gone */
    GwTimer ask_timer;
} GwExchange;

void GwExchange_Init(GwExchange *exchange, GwLoop *loop,
                     const GwExchangeOptions *options);
/* Ask nobody any more. */
void GwExchange_Stop(GwExchange *exchange);
/* @p peer is all zero; its session and name are set by its owner. */
void GwExchange_Join(GwExchange *exchange, GwExchangePeer *peer);
void GwExchange_Leave(GwExchange *exchange, GwExchangePeer *peer);
/* @p peer told how far it knows the lists. */
void GwExchange_NoteRevision(GwExchange *exchange, GwExchangePeer *peer,
                             uint64_t revision);
/* @p peer asked. */
void GwExchange_Tell(GwExchange *exchange, GwExchangePeer *peer,
                     const Gw__Wire__RecordsAsk *ask);
/* A peer told records. */
void GwExchange_Take(GwExchange *exchange, const Gw__Wire__RecordsTell *tell);
/* Tell for how long versions of weights have been named; they are known with
 * the records then. */
void GwExchange_TellAges(GwExchange *exchange, GwSession *session);
void GwExchange_TakeAge(GwExchange *exchange, const Gw__Wire__WeightsAge *age);

#endif
