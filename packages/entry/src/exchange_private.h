/*
 * State of an exchange and the ways to finish it, shared by exchange.c
 * (admission), placement.c (choice of an endpoint) and delivery.c (answer).
 */
#ifndef GALENAGW_ENTRY_EXCHANGE_PRIVATE_H
#define GALENAGW_ENTRY_EXCHANGE_PRIVATE_H

/* Declares XXH64_state_t completely, which Exchange embeds. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "exchange_request.h"
#include "galenagw/policy/recovery.h"
#include "peers.h"

/* Members that one exchange excludes after a decline or a failed attempt. */
#define TRIED_MEMBERS_MAX 16

typedef enum {
    /* Waits for configuration, the instance list, credits or a usable
     * member; the timer starts the next check. */
    EXCHANGE_WAITING = 0,
    EXCHANGE_PROBING,   /* a probe round waits for offers */
    EXCHANGE_SUBMITTED, /* sent to an agent; no chunk received yet */
    EXCHANGE_STREAMING, /* chunks are being received */
    EXCHANGE_RESUMING,  /* session lost; waits for a new one to resume on */
    EXCHANGE_STATES
} ExchangeState;

extern const char *const ExchangeState_Names[EXCHANGE_STATES];

/* A member that is asked for an offer in a probe round. */
typedef struct {
    Peer *peer;
    bool probe_sent;
    bool failed; /* its session could not be opened or was lost */
    GwOffer offer;
} Candidate;

struct Exchange {
    TAILQ_ENTRY(Exchange) link; /* in peer->exchanges, while peer is set */
    GwEntry *entry;
    GwHttpCall *call;
    uint64_t id;
    char id_text[17]; /* id in hexadecimal, for x-request-id */
    ExchangeState state;
    GwTimer timer; /* meaning depends on state */
    ExchangeRequest request;

    /* Admission. Copied from the configuration, because a new revision can
     * replace it during the exchange. */
    bool admitted;
    char *account;
    char *weights;
    char *adapter;
    bool trial;      /* the account is of the trial tier */
    bool idempotent; /* a second run does no harm */
    int urgency;     /* 0 is most urgent */
    GwTime started_at;
    GwTime deadline;       /* for the first byte of output; GW_NEVER: none */
    bool credit_requested; /* waits for a grant of the limit owner */
    bool credit_spent;

    /* Placement. */
    GwChain chain;   /* prefix hashes of the prompt */
    uint64_t anchor; /* hash of its deepest sharable prefix; 0: no prompt */
    Candidate candidates[GW_CANDIDATES_MAX];
    int n_candidates;
    uint64_t probe_id;        /* of the current probe round */
    uint32_t width;           /* members that the anchor is spread over */
    bool placed_by_affinity;  /* submitted without a probe round */
    GwTime offered_ttft;      /* time to first token of the remembered offer */
    GwTime probed_at;         /* start of the probe round */
    GwTime search_started_at; /* of the choice for the current attempt */
    int n_declined_rounds;    /* probe rounds without a usable offer */
    /* Excluded from further rounds: declined, or an attempt failed there. */
    const GwMember *tried_members[TRIED_MEMBERS_MAX];
    int n_tried_members;

    /* The current attempt. */
    Peer *peer;             /* NULL: none */
    uint64_t incarnation;   /* of the agent, when it was submitted */
    uint32_t attempt;       /* number of the attempt, from 1 */
    bool may_have_run;      /* an earlier attempt may have run */
    GwRefusal last_refusal; /* why the last attempt failed, or NONE */
    bool holder_tried;      /* submitted to the holder of its key's claim */
    uint32_t next_seq;      /* number of the next chunk to deliver */
    uint32_t acked;         /* next_seq of the last Ack */
    size_t unacked_bytes;   /* of the chunks received since then */
    XXH64_state_t digest;   /* over all chunks of the attempt */
    GwTime session_lost_at;

    /* Delivery. */
    GwRequestIdentity identity; /* in the quarantine, once it is admitted */
    int status;                 /* HTTP status of the endpoint's answer */
    char *answer_content_type;
    bool is_event_stream;    /* the answer is a server-sent event stream */
    GByteArray *held_answer; /* an unstreamed answer, until it is complete */
    bool answer_started;     /* the head of the answer was sent */
    /* Delivered events that are not yet parsed into delivered_text. */
    GByteArray *unparsed_events;
    /* Text and tokens delivered by this attempt, for a continuation. */
    GString *delivered_text;
    int delivered_tokens;
    /* Continuation: drop the event that only repeats the role. */
    bool skip_role_event;
};

/* @return NULL if there is no exchange of this id, or no longer */
Exchange *Exchange_Find(GwEntry *entry, uint64_t id);
/*
 * Answer with a refusal and delete the exchange. If part of the answer was
 * delivered already, an event stream ends with an error event and any other
 * answer is aborted.
 */
void Exchange_Refuse(Exchange *x, GwRefusal refusal, GwRan ran,
                     GwTime retry_after);
/* Count the answer and delete; the HTTP server already has all of it. */
void Exchange_Finish(Exchange *x);
/* Delete without an answer: the caller closed, or the entry is deleted. */
void Exchange_Delete(Exchange *x);
/* End the current attempt: remove the exchange from its peer. */
void Exchange_DetachFromPeer(Exchange *x);
/* End the probe round: later offers are ignored. */
void Exchange_EndProbeRound(Exchange *x);
/* Set state WAITING and, after @p delay, check the conditions again. */
void Exchange_RecheckAfter(Exchange *x, GwTime delay);
/* @return time left for the first output, at least 1 ms; 0: no deadline, or
 * output has begun */
GwTime Exchange_TimeToDeadline(const Exchange *x);

#endif
