/**
 * @defgroup origin_ask Queries for stream origins
 * @brief A query to agents for the software that began a stream.
 *
 * While several versions of a service's software are in use, entries send the
 * origin of each stream to two agents of the limit owner pool, selected by
 * rendezvous hashing (GwPeers_TellStreamOrigin). An entry that does not know a
 * stream asks all agents of the pool, and others that it is connected to
 * (GwPeers_AskStreamOrigin).
 * @{
 */
#ifndef GALENAGW_CLUSTER_ORIGIN_ASK_H
#define GALENAGW_CLUSTER_ORIGIN_ASK_H

#include <sys/queue.h>

#include "galenagw/net/loop.h"
#include "galenagw/policy/limit_owner.h"
#include "galenagw/wire/session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time after which a query is decided without the missing answers. Agents of
 * an earlier version never answer. */
#define GW_ORIGIN_ASK_TIMEOUT (150 * GW_MILLISECOND)
/** Maximum number of agents that a query is sent to: those of the pool first,
 * then others that the entry is connected to. */
#define GW_ORIGIN_ASKED_MAX (2 * GW_LIMIT_POOL_MAX)
/** Maximum number of streams whose origins an agent stores. */
#define GW_STREAM_ORIGINS_MAX 65536

/** Result of a query. */
typedef enum {
    /** At least one agent did not answer, or none is connected, and the others
     * do not know the stream. */
    GW_ORIGIN_NO_ANSWER = 0,
    GW_ORIGIN_UNKNOWN, /**< All agents asked answered that they do not know the
                          stream. */
    GW_ORIGIN_KNOWN,   /**< An agent knows the stream. */
} GwOriginAnswer;

typedef struct GwOriginAsk GwOriginAsk;

/** A query; owned by the caller and zero-initialised. It must not be freed or
 * moved while waiting. */
struct GwOriginAsk {
    /** The query is decided, and no longer waiting. Called from the event
     * loop, never within another function of GwPeers. May free @p ask and call
     * any function of GwPeers except GwPeers_Delete.
     * @param software 0 unless @p answer is GW_ORIGIN_KNOWN */
    void (*on_decided)(GwOriginAsk *ask, GwOriginAnswer answer,
                       uint64_t software);
    void *user;          /**< for the caller */
    const char *service; /**< of the stream, or NULL; borrowed */
    /** Result: the highest number of software versions of the service, listed
     * now or lately, that an agent knows; 0: no agent knows a number. */
    unsigned versions;
    unsigned n_answers; /**< result: number of agents that answered */

    /** @privatesection */
    LIST_ENTRY(GwOriginAsk) link;
    GwTimer timer;         /**< decides the query */
    bool is_waiting;       /**< `link` and `timer` are in use */
    bool has_failed;       /**< an agent that was asked has disconnected */
    GwOriginAnswer answer; /**< so far */
    uint64_t stream;
    uint64_t software;                           /**< 0: unknown so far */
    const GwSession *asked[GW_ORIGIN_ASKED_MAX]; /**< have not answered yet */
    unsigned n_asked;
    unsigned n_owners; /**< agents of the pool that were asked */
};

/** Stop waiting; on_decided is not called. Has no effect on a query that is
 * not waiting. */
void GwOriginAsk_Cancel(GwOriginAsk *ask);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
