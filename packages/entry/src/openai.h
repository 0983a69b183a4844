/**
 * @defgroup openai OpenAI protocol
 * @brief Parses requests and formats errors and continuations; no state.
 */
#ifndef GALENAGW_ENTRY_OPENAI_H
#define GALENAGW_ENTRY_OPENAI_H

#include <glib.h>
#include <jansson.h>

#include "galenagw/base/error.h"
#include "galenagw/base/reason.h"
#include "galenagw/policy/chain.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A parsed request; released by OpenAi_Finish. */
typedef struct {
    json_t *root;      /* parsed body, without the reserved members */
    const char *model; /* borrowed from root */
    bool stream;
    bool chat; /* chat completion (messages), else text completion (prompt) */
    /* Body to send to the engine. The members that only galenagw may set, such
     * as priority and cache_salt (see openai.c), are removed. */
    char *body;
    size_t body_len;
} OpenAiRequest;

/* Parse a body of the form that `chat` selects. Returns false with the reason
 * in `err`; OpenAi_Finish must be called in this case, too. */
bool OpenAi_Parse(OpenAiRequest *request, bool chat, const char *body,
                  size_t len, GwError *err);
void OpenAi_Finish(OpenAiRequest *request);
/* Add the messages, or the prompt of a text completion as one message, to the
 * hashes by which endpoints with a cached prefix are found. */
void OpenAi_FillChain(const OpenAiRequest *request, GwChain *chain);

/* Append the text of the server-sent events in `data`, which must be complete:
 * an incomplete one at the end is ignored. Add one to `tokens` for each event
 * with text, that is, each such event is counted as one token. */
void OpenAi_CollectText(const char *data, size_t len, GString *text,
                        int *tokens);
/*
 * Make a request body by which another engine continues an interrupted answer.
 * `body` is the body sent to the first engine, `text` the part of the answer
 * that the caller has received, `tokens` its number of tokens as counted by
 * OpenAi_CollectText; max_tokens is reduced by it. Returns NULL if the caller
 * has received max_tokens tokens already, or if `body` is not JSON. Free with
 * free().
 */
char *OpenAi_MakeContinuation(const char *body, size_t len, bool chat,
                              const char *text, int tokens);

/* Format the JSON error body of a refusal. `ran`: whether an endpoint may have
 * run the request. `detail`: message to use instead of the standard message
 * of `refusal`, or NULL. Free with g_free. */
char *OpenAi_FormatError(GwRefusal refusal, GwRan ran, const char *request_id,
                         const char *detail);

#ifdef __cplusplus
}
#endif

#endif
