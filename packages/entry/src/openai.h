/**
 * @defgroup openai OpenAI form
 * @brief Pure parsing and writing of the callers' protocol.
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
    json_t *root;
    const char *model; /* in root */
    bool stream;
    bool chat;
    char *body; /* what the engine gets, without our reserved members */
    size_t body_len;
} OpenAiRequest;

/* Parse a body. Returns false with the fault in `err`. */
bool OpenAi_Parse(OpenAiRequest *request, bool chat, const char *body,
                  size_t len, GwError *err);
void OpenAi_Finish(OpenAiRequest *request);
/* Add the prompt's messages to `chain`. */
void OpenAi_FillChain(const OpenAiRequest *request, GwChain *chain);

/* Append the text that the events in `data` (whole events) carry. */
void OpenAi_CollectText(const char *data, size_t len, GString *text,
                        int *tokens);
/*
 * A body that goes on after `text`, which took `tokens` tokens. Returns
 * NULL when all the tokens asked for were delivered. Free with free().
 */
char *OpenAi_Continue(const char *body, size_t len, bool chat,
                      const char *text, int tokens);

/* The error body of a refusal; free with g_free. */
char *OpenAi_Error(GwRefusal refusal, GwRan ran, const char *request_id,
                   const char *detail);

#ifdef __cplusplus
}
#endif

#endif
