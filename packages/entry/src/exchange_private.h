/* The exchange's state and its end, shared by its three parts. */
#ifndef GALENAGW_ENTRY_EXCHANGE_PRIVATE_H
#define GALENAGW_ENTRY_EXCHANGE_PRIVATE_H

/* The streaming state is embedded, so its size must be known. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "exchange_request.h"
#include "galenagw/policy/recovery.h"
#include "peers.h"

#define MAX_TRIED 16

typedef enum {
    EXCHANGE_WAITING = 0, /* for configuration, members or credits */
    EXCHANGE_PROBING,     /* offers are awaited */
    EXCHANGE_SUBMITTED,   /* at an agent, nothing back yet */
    EXCHANGE_STREAMING,   /* chunks arrive */
    EXCHANGE_RESUMING,    /* session lost; asked for on a new one */
    EXCHANGE_STATES
} ExchangeState;

extern const char *const ExchangeState_Names[EXCHANGE_STATES];

/* One candidate of a round of offers. */
typedef struct {
    Peer *peer;
    bool sent;
    bool failed;
    GwOffer offer;
} Candidate;

struct Exchange {
    TAILQ_ENTRY(Exchange) link; /* in its peer's list */
    GwEntry *entry;
    GwHttpCall *call;
    uint64_t id;
    char id_text[17];
    ExchangeState state;
    GwTimer timer;
    ExchangeRequest request;

    /* From configuration, copied: a new revision may come meanwhile. */
    bool admitted;
    char *account;
    char *weights;
    char *adapter;
    bool trial;
    bool idempotent;
    int urgency;
    GwTime begun;
    GwTime deadline; /* for the first output; GW_NEVER: none */
    bool credit_asked;
    bool credit_spent;

    /* Placement. */
    GwChain chain;
    uint64_t anchor;
    Candidate candidates[GW_CANDIDATES_MAX];
    int n_candidates;
    uint64_t probe_id;
    uint32_t width;
    bool by_affinity;    /* placed without offers */
    GwTime offered_ttft; /* what the place promised last */
    GwTime probed_at;
    GwTime sought_at; /* since when an endpoint is looked for */
    int rounds;
    const GwMember *tried[MAX_TRIED];
    int n_tried;

    /* The attempt under way. */
    Peer *peer;
    uint64_t incarnation; /* of the agent it was submitted to */
    uint32_t attempt;
    bool may_have_run;     /* an earlier attempt may have */
    GwRefusal failed_with; /* how the last attempt failed, or NONE */
    bool asked_holder;
    uint32_t next_seq;
    uint32_t acked;
    XXH64_state_t digest;
    GwTime lost_at;

    /* Delivery. */
    int status;
    char *answer_type;
    bool events;        /* the answer is an event stream */
    GByteArray *whole;  /* an answer in one piece, until it is complete */
    bool begun_answer;  /* the caller has got its head */
    GByteArray *recent; /* delivered events whose text was not taken yet */
    GString *text;      /* delivered text */
    int tokens;
    bool skip_head; /* continued: the caller has a head already */
};

/* NULL: it has ended, or never was. */
Exchange *Exchange_Find(GwEntry *entry, uint64_t id);
/*
 * Answer with a refusal and end. A caller that has part of an answer is told
 * within the stream.
 */
void Exchange_Refuse(Exchange *x, GwRefusal refusal, GwRan ran,
                     GwTime retry_after);
/* End, the answer having been handed to the server. */
void Exchange_Finish(Exchange *x);
/* End without a word: its caller has left, or the entry goes. */
void Exchange_Delete(Exchange *x);
/* Its attempt is over: its peer has it no more. */
void Exchange_Detach(Exchange *x);
/* Its round of offers is over. */
void Exchange_ForgetRound(Exchange *x);
/* Wait a moment, then look for endpoints again. */
void Exchange_Wait(Exchange *x, GwTime delay);
GwTime Exchange_Budget(const Exchange *x);

#endif
