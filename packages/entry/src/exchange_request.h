/* A caller's request, as api.c passes it to Exchange_Start. */
#ifndef GALENAGW_ENTRY_EXCHANGE_REQUEST_H
#define GALENAGW_ENTRY_EXCHANGE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include "galenagw/net/loop.h"

/* The strings are owned by the exchange once it has started. */
typedef struct {
    char *bearer; /* API key of the Authorization header, or NULL */
    char *pool;   /* model or service */
    char *method;
    char *path;
    char *content_type;
    char *key; /* Idempotency-Key, or NULL */
    char *body;
    size_t body_len;
    bool service; /* for a plain service, else for a model */
    bool chat;    /* chat completion, else text completion */
    bool stream;  /* the caller requested an event stream */
    /* Set by the caller: time from arrival to the first output; 0: none. */
    GwTime deadline;
    void *parsed; /* OpenAiRequest, for models; NULL once its chain is built */
} ExchangeRequest;

#endif
