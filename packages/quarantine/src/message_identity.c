#include "galenagw/quarantine/message_identity.h"

#include <string.h>
#include <xxhash.h>

/* Length of the shortest leading part of a text, in bytes. */
#define TEXT_PART_BYTES_MIN 256

static void add_messages_(const GwMessageSource *source,
                          const json_t *messages, GwRequestIdentity *identity);
static uint64_t hash_message_(const json_t *message);
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
    for (size_t i = 0; i + 1 < json_array_size(messages); i++)
        add_part_(source, hash_message_(json_array_get(messages, i)),
                  identity);
}

// Nearly all messages have a role and a text only, and are long: these are
// hashed without a copy.
static uint64_t
hash_message_(const json_t *message)
{
    const json_t *role = json_object_get(message, "role");
    const json_t *text = json_object_get(message, "content");
    XXH64_hash_t hash;
    char *encoded;

    if (json_is_string(role) && json_is_string(text) &&
        json_object_size(message) == 2) {
        hash = XXH3_64bits(json_string_value(role), json_string_length(role));
        return XXH3_64bits_withSeed(json_string_value(text),
                                    json_string_length(text), hash);
    }
    encoded = json_dumps(message, JSON_COMPACT | JSON_SORT_KEYS);
    hash = encoded != NULL ? XXH3_64bits(encoded, strlen(encoded)) : 0;
    free(encoded);
    return hash;
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
