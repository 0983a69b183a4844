/* Exchange of stream origins: entries send them to agents of the limit owner
 * pool and query them there. The functions of entries are in peers.h and
 * origin_ask.h. */
#ifndef GALENAGW_CLUSTER_ORIGIN_SYNC_H
#define GALENAGW_CLUSTER_ORIGIN_SYNC_H

#include "galenagw/cluster/origin_ask.h"
#include "galenagw/routing/instances.h"
#include "galenagw/routing/stream_origins.h"

typedef struct {
    GwStreamOrigins *origins;      /* agent: received; else NULL */
    GwTime started_at;             /* agent */
    LIST_HEAD(, GwOriginAsk) asks; /* entry: waiting queries */
} GwOriginSync;

void GwOriginSync_Init(GwOriginSync *sync, bool is_agent);
/* Stops the waiting queries without callback, and frees the table. */
void GwOriginSync_Stop(GwOriginSync *sync);
/* Entry: @p ask was sent to the agents in its `asked`; wait for the answers.
 */
void GwOriginSync_Wait(GwOriginSync *sync, GwLoop *loop, GwOriginAsk *ask);
/* Agent: store the origin that an entry sent. */
void GwOriginSync_OnTell(GwOriginSync *sync,
                         const Gw__Wire__StreamOriginTell *msg);
/* Agent: answer an entry's query. */
void GwOriginSync_OnAsk(GwOriginSync *sync, const GwInstances *instances,
                        GwSession *session,
                        const Gw__Wire__StreamOriginAsk *msg);
/* Entry: an agent has answered a query. */
void GwOriginSync_OnAnswer(GwOriginSync *sync, const GwSession *session,
                           const Gw__Wire__StreamOriginAnswer *msg);
/* Entry: @p session is closed, so it answers no query any more. */
void GwOriginSync_OnClosed(GwOriginSync *sync, const GwSession *session);

#endif
