/* The state of a request in progress, shared by the modules that serve it. */
#ifndef GALENAGW_GATEWAY_REQUEST_PRIVATE_H
#define GALENAGW_GATEWAY_REQUEST_PRIVATE_H

#include "event_splitter.h"
#include "galenagw/adapter/messages.h"
#include "galenagw/http/message.h"
#include "galenagw/cluster/origin_ask.h"
#include "galenagw/quarantine/in_flight.h"
#include "galenagw/routing/placement.h"
#include "gateway_private.h"
#include "upstream.h"

/* Maximum number of endpoints of a request that are remembered as tried. */
#define TRIED_MAX 8

struct GwRequest {
    TAILQ_ENTRY(GwRequest) link;
    GwGateway *gateway;
    GwHttpCall *call;
    /* The head and the body belong to the call, and so do strings of info. */
    const GwHttpHead *head;
    const char *body;
    size_t body_len;
    GwRequestInfo info;
    GwRoutes *routes; /* in force when the request arrived */
    const GwRoute *route;
    const GwAccount *account; /* NULL: none */
    const char *service;
    GwTime arrived_at;
    GwTime deadline;
    GwLimitWaiter limit_waiter;
    double granted_units; /* of its account's limit */
    double share_excess;  /* usage of its account in relation to the account's
                             share; at most 1: within the share, or unknown */
    GwTimer deadline_timer;
    GwTimer silence_timer;    /* abandons an attempt whose endpoint has not
                                 begun to answer */
    GwTimer unusable_timer;   /* ends an attempt whose answer is unusable and
                                 does not end */
    GwTimer withdrawal_timer; /* abandons an attempt shortly before its
                                 engine's outdated weights reach the bound */

    GwInstance *instance; /* of the current attempt; NULL: none */
    GwUpstream *upstream; /* of the current attempt; NULL: none */
    GwTime sent_at;
    GwTime last_received_at; /* last bytes from the endpoint; 0: none yet */
    GwTime first_byte_at;    /* first byte to the caller; 0: none sent */
    unsigned sends; /* attempts of which bytes may have reached an endpoint */
    unsigned attempts;
    GwTime admitted_at; /* by the quarantine, for its first attempt; 0: not */
    GwTime retry_after; /* of a refusal, for its Retry-After; 0: not set */
    bool may_have_run;  /* in an earlier attempt; a refusal must not state that
                           the request has not run */
    uint64_t tried_serials[TRIED_MAX]; /* of the instances tried */
    unsigned n_tried;
    uint64_t preferred_domain; /* hash of the failure domain for its prompt; 0:
                                  none */
    GwCandidate chosen;        /* state of the instance when it was chosen */
    char *cache_scope;         /* of the current attempt */
    uint64_t prefill_tokens;   /* counted in the load of the instance */
    GwReply reply;             /* to the current attempt */
    bool has_reply;
    GwTime reply_at;  /* when the head of the reply was received */
    bool has_started; /* the current attempt; see GwRequestStart_Note */
    bool is_unframed; /* the reply has neither a length nor chunks */
    bool is_usable; /* the reply may be forwarded, as far as its head shows */
    size_t unusable_bytes;  /* received of an unusable reply */
    GwHttpHead *reply_head; /* held until it is forwarded */
    GString *held_body;     /* start of the endpoint's body, held with the
                               head */
    bool is_events;         /* the answer is a stream of events */
    bool is_held;   /* the answer is forwarded only when it is complete */
    bool head_sent; /* to the caller */
    GwFraming framing;
    GwEventSplitter event_splitter;
    bool has_begun;        /* its stream: the caller has events of it */
    bool is_origin_stored; /* see GwRequestOrigin_Begun */
    uint64_t software;     /* that began its stream; 0: none yet, or unknown */
    uint64_t stream; /* GwStreamOrigins_Hash of the request that began its
                        stream; 0: none yet */
    GwOriginAsk origin_ask;
    GwRequestIdentity *identity; /* see GwRequestContent_Identity; NULL: not
                                    yet computed */
};

#endif
