#include "openai.h"

#include <string.h>

#include "galenagw/http/events.h"

/* JSON members that only the agent may send to engines: the scheduling
   priority, the salt that isolates accounts in the engine's cache, and the
   hashes and sizes of the prompt's prefixes. They are removed from bodies of
   clients, which could otherwise set their own priority or salt. */
static const char *const reserved[] = {"priority", "cache_salt",
                                       "prefix_blocks", "prefix_bytes"};

static bool check_messages_(const json_t *messages, GwError *err);
static bool check_parts_(const json_t *parts, GwError *err);
static bool strip_reserved_(json_t *root);
static void add_message_(GwChain *chain, const json_t *message);
static void collect_event_text_(const char *event, size_t len, GString *text,
                                int *tokens);
static void collect_data_text_(const char *data, size_t len, GString *text,
                               int *tokens);

bool
OpenAi_Parse(OpenAiRequest *r, bool chat, const char *body, size_t len,
             GwError *err)
{
    json_error_t why;
    const json_t *prompt;

    memset(r, 0, sizeof(*r));
    r->chat = chat;
    r->root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &why);
    if (!json_is_object(r->root))
        return GwError_Set(err, GW_ERROR_PROTOCOL,
                           "the body is not one JSON object: line %d: %s",
                           r->root == NULL ? why.line : 1,
                           r->root == NULL ? why.text : "another type");
    r->model = json_string_value(json_object_get(r->root, "model"));
    if (r->model == NULL)
        return GwError_Set(err, GW_ERROR_PROTOCOL,
                           "'model' is missing or no text; name one of "
                           "/v1/models");
    r->stream = json_is_true(json_object_get(r->root, "stream"));
    prompt = json_object_get(r->root, chat ? "messages" : "prompt");
    if (chat && !check_messages_(prompt, err))
        return false;
    if (!chat && !json_is_string(prompt))
        return GwError_Set(err, GW_ERROR_PROTOCOL,
                           "'prompt' must be one text");
    if (strip_reserved_(r->root))
        r->body = json_dumps(r->root, JSON_COMPACT);
    else
        r->body = strndup(body, len);
    r->body_len = strlen(r->body);
    return true;
}

void
OpenAi_Finish(OpenAiRequest *r)
{
    json_decref(r->root);
    free(r->body);
    memset(r, 0, sizeof(*r));
}

void
OpenAi_FillChain(const OpenAiRequest *r, GwChain *chain)
{
    size_t i;
    json_t *message;
    const json_t *prompt;

    if (r->chat) {
        json_array_foreach(json_object_get(r->root, "messages"), i, message)
            add_message_(chain, message);
        return;
    }
    prompt = json_object_get(r->root, "prompt");
    // A text completion has no roles.
    GwChain_AddMessage(chain, "", json_string_value(prompt),
                       json_string_length(prompt));
}

void
OpenAi_CollectText(const char *data, size_t len, GString *text, int *tokens)
{
    GwEventScan scan = {0};
    size_t n;

    while (GwEventScan_Next(&scan, data, len, &n)) {
        collect_event_text_(data, n, text, tokens);
        data += n;
        len -= n;
    }
}

char *
OpenAi_MakeContinuation(const char *body, size_t len, bool chat,
                        const char *text, int tokens)
{
    json_t *root = json_loadb(body, len, 0, NULL);
    // 0: not given, so the number of tokens is not limited.
    json_int_t token_limit =
        json_integer_value(json_object_get(root, "max_tokens"));
    char *out = NULL;

    if (root == NULL || (token_limit > 0 && token_limit <= tokens)) {
        json_decref(root);
        return NULL;
    }
    if (token_limit > 0)
        json_object_set_new(root, "max_tokens",
                            json_integer(token_limit - tokens));
    if (chat) {
        json_array_append_new(
            json_object_get(root, "messages"),
            json_pack("{s:s, s:s}", "role", "assistant", "content", text));
        // Extensions of the protocol that engines must support: continue the
        // last message, and do not begin a new one of the assistant.
        json_object_set_new(root, "continue_final_message", json_true());
        json_object_set_new(root, "add_generation_prompt", json_false());
    }
    else {
        g_autofree char *prompt = g_strconcat(
            json_string_value(json_object_get(root, "prompt")), text, NULL);

        json_object_set_new(root, "prompt", json_string(prompt));
    }
    out = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return out;
}

char *
OpenAi_FormatError(GwRefusal refusal, GwRan ran, const char *request_id,
                   const char *detail)
{
    int status = GwRefusal_Status(refusal);
    json_t *root =
        json_pack("{s:{s:s, s:s, s:s, s:s, s:s}}", "error", "message",
                  detail != NULL ? detail : GwRefusal_Message(refusal), "type",
                  status < 500 ? "invalid_request_error" : "server_error",
                  "code", GwRefusal_Names[refusal], "ran", GwRan_Names[ran],
                  "request_id", request_id);
    char *text = json_dumps(root, JSON_COMPACT);
    char *copy = g_strdup(text);

    free(text);
    json_decref(root);
    return copy;
}

static bool
check_messages_(const json_t *messages, GwError *err)
{
    size_t i;
    json_t *message;

    if (!json_is_array(messages) || json_array_size(messages) == 0)
        return GwError_Set(err, GW_ERROR_PROTOCOL,
                           "'messages' must be a list with one or more");
    json_array_foreach((json_t *)messages, i, message)
    {
        const json_t *content = json_object_get(message, "content");

        if (!json_is_string(json_object_get(message, "role")))
            return GwError_Set(err, GW_ERROR_PROTOCOL,
                               "message %zu has no 'role'; add it", i);
        if (json_is_string(content) || json_is_null(content))
            continue;
        if (!json_is_array(content) || !check_parts_(content, err))
            return GwError_Set(err, GW_ERROR_PROTOCOL,
                               "message %zu: 'content' must be text or a "
                               "list of typed parts",
                               i);
    }
    return true;
}

static bool
check_parts_(const json_t *parts, GwError *err)
{
    size_t i;
    json_t *part;

    json_array_foreach((json_t *)parts, i, part)
    {
        if (!json_is_string(json_object_get(part, "type")))
            return false;
    }
    return true;
}

static bool
strip_reserved_(json_t *root)
{
    bool found = false;

    for (size_t i = 0; i < G_N_ELEMENTS(reserved); i++)
        found |= json_object_del(root, reserved[i]) == 0;
    return found;
}

static void
add_message_(GwChain *chain, const json_t *message)
{
    const char *role = json_string_value(json_object_get(message, "role"));
    const json_t *content = json_object_get(message, "content");
    size_t i;
    json_t *part;

    if (json_is_string(content)) {
        GwChain_AddMessage(chain, role, json_string_value(content),
                           json_string_length(content));
        return;
    }
    json_array_foreach((json_t *)content, i, part)
    {
        const json_t *text = json_object_get(part, "text");
        // GwChain_AddMessage hashes the text. Of parts other than text, such
        // as images, the JSON is hashed.
        char *other =
            json_is_string(text) ? NULL : json_dumps(part, JSON_COMPACT);

        if (other == NULL)
            GwChain_AddMessage(chain, role, json_string_value(text),
                               json_string_length(text));
        else
            GwChain_AddMessage(chain, role, other, strlen(other));
        free(other);
    }
}

static void
collect_event_text_(const char *event, size_t len, GString *text, int *tokens)
{
    GwEventField field;

    // Other fields are ignored. The end marker "[DONE]" is ignored as well,
    // because it is not JSON.
    while (GwEventField_Next(&field, &event, &len)) {
        if (GwEventField_Is(&field, "data"))
            collect_data_text_(field.value, field.value_len, text, tokens);
    }
}

static void
collect_data_text_(const char *data, size_t len, GString *text, int *tokens)
{
    json_t *root = json_loadb(data, len, 0, NULL);
    const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
    const char *piece = json_string_value(
        json_object_get(json_object_get(choice, "delta"), "content"));

    if (piece == NULL)
        piece = json_string_value(json_object_get(choice, "text"));
    if (piece != NULL && piece[0] != '\0') {
        g_string_append(text, piece);
        (*tokens)++;
    }
    json_decref(root);
}
