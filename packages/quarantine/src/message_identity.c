#include "galenagw/quarantine/message_identity.h"

#include <string.h>
#include <xxhash.h>

/* Length of the shortest leading part of a text, in bytes. */
#define TEXT_PART_BYTES_MIN 256

static void add_messages_(const GwMessageSource *source,
                          const json_t *messages, GwRequestIdentity *identity);
static void add_text_(const GwMessageSource *source, const json_t *text,
                      GwRequestIdentity *identity);
static void add_part_(const GwMessageSource *source, uint64_t id,
                      GwRequestIdentity *identity);

GwRequestIdentity
GwMessageIdentity_Of(const GwMessageSource *source)
{
    GwRequestIdentity identity = {.request = GwDigest_Of(&source->digest)};
    json_t *parsed = source->root != NULL
                         ? json_incref((json_t *)source->root)
                         : json_loadb(source->digest.body,
                                      source->digest.body_len, 0, NULL);

    add_messages_(source, json_object_get(parsed, "messages"), &identity);
    add_text_(source, json_object_get(parsed, "prompt"), &identity);
    json_decref(parsed);
    return identity;
}

static void
add_messages_(const GwMessageSource *source, const json_t *messages,
              GwRequestIdentity *identity)
{
    for (size_t i = 0; i + 1 < json_array_size(messages); i++) {
        char *text = json_dumps(json_array_get(messages, i),
                                JSON_COMPACT | JSON_SORT_KEYS);

        if (text != NULL)
            add_part_(source, XXH3_64bits(text, strlen(text)), identity);
        free(text);
    }
}

static void
add_text_(const GwMessageSource *source, const json_t *text,
          GwRequestIdentity *identity)
{
    for (size_t len = TEXT_PART_BYTES_MIN; len < json_string_length(text);
         len *= 2)
        add_part_(source, XXH3_64bits(json_string_value(text), len), identity);
}

static void
add_part_(const GwMessageSource *source, uint64_t id,
          GwRequestIdentity *identity)
{
    if (identity->n_parts < GW_IDENTITY_PARTS_MAX)
        identity->parts[identity->n_parts++] =
            GwDigest_OfPart(source->model, source->digest.account, id);
}
