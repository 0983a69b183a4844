/* A caller's request, as the API hands it over. */
#ifndef GALENAGW_ENTRY_EXCHANGE_REQUEST_H
#define GALENAGW_ENTRY_EXCHANGE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include "galenagw/net/loop.h"

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

#endif
