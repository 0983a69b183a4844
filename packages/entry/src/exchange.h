/**
 * @defgroup exchange Exchanges
 * @brief One caller's request, from its arrival to its one answer.
 *
 * An exchange asks candidates for offers, submits to the best, delivers the
 * numbered chunks in order, and on each failure either goes on in a way
 * that cannot run a call twice or ends with a refusal that says what is
 * known. The steps have the names that spec/fence.pml gives them.
 */
#ifndef GALENAGW_ENTRY_EXCHANGE_H
#define GALENAGW_ENTRY_EXCHANGE_H

#include "entry_private.h"
#include "peers.h"

typedef enum {
    EXCHANGE_WAITING = 0, /* for configuration, members or credits */
    EXCHANGE_PROBING,     /* offers are awaited */
    EXCHANGE_SUBMITTED,   /* at an agent, nothing back yet */
    EXCHANGE_STREAMING,   /* chunks arrive */
    EXCHANGE_RESUMING,    /* session lost; asked for on a new one */
    EXCHANGE_STATES
} ExchangeState;

extern const char *const ExchangeState_Names[EXCHANGE_STATES];

/* What a caller asked for; strings are taken over. */
typedef struct {
    char *bearer;
    char *pool; /* model or service */
    char *method;
    char *path;
    char *content_type;
    char *key; /* Idempotency-Key, or NULL */
    char *body;
    size_t body_len;
    bool service; /* a plain service, else a model */
    bool chat;
    bool stream;
    GwTime deadline; /* the caller's own, for the first output; or 0 */
    void *parsed;    /* OpenAiRequest, for models */
} ExchangeRequest;

/* Begin; `call` gets its answer from now on. */
void Exchange_Start(GwEntry *entry, GwHttpCall *call,
                    const ExchangeRequest *request);
/* The caller has left. */
void Exchange_CallerGone(Exchange *x);
/* The caller's socket has room again. */
void Exchange_CallerDrained(Exchange *x);
/* Answer `call` with a refusal, outside of any exchange. */
void Exchange_RefuseCall(GwEntry *entry, GwHttpCall *call, GwRefusal refusal,
                         const char *detail);
void Exchange_Clear(GwEntry *entry);

/* From peers and credits. */
void Exchange_PeerReady(Peer *peer);
void Exchange_PeerLost(Peer *peer);
void Exchange_OnOffer(Peer *peer, const Gw__Wire__Offer *offer);
void Exchange_OnChunk(Peer *peer, const Gw__Wire__Chunk *chunk);
void Exchange_OnFinal(Peer *peer, const Gw__Wire__Final *final);
void Exchange_OnRefused(Peer *peer, const Gw__Wire__Refused *refused);
void Exchange_OnResumeResult(Peer *peer, const Gw__Wire__ResumeResult *result);
void Exchange_CreditsChanged(GwEntry *entry, const char *account);

#endif
