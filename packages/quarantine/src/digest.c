#include "galenagw/quarantine/digest.h"

#include <string.h>
#include <xxhash.h>

/* Hexadecimal digits of one half of a key. */
#define HALF_KEY_DIGITS ((GW_DIGEST_KEY_SIZE - 1) / 2)
/* Seed of the hash of a part's scope, so that no part has the digest of a
 * request. */
#define PART_SEED 0x70617274

GwDigest
GwDigest_Of(const GwDigestSource *source)
{
    const char *account = source->account != NULL ? source->account : "";
    XXH64_hash_t content;

    // Each part is the seed of the next one, so that moving bytes from one
    // part to another changes the hash.
    content = XXH3_64bits(source->method, strlen(source->method));
    content =
        XXH3_64bits_withSeed(source->target, strlen(source->target), content);
    content = XXH3_64bits_withSeed(source->body != NULL ? source->body : "",
                                   source->body_len, content);
    return (GwDigest){
        .account = XXH3_64bits(account, strlen(account)),
        .content = content,
    };
}

GwDigest
GwDigest_OfPart(const char *model, const char *isolated_account, uint64_t id)
{
    const char *account = isolated_account != NULL ? isolated_account : "";
    XXH64_hash_t scope = PART_SEED;

    if (model != NULL)
        scope = XXH3_64bits_withSeed(model, strlen(model), scope);
    return (GwDigest){
        .account = XXH3_64bits_withSeed(account, strlen(account), scope),
        .content = id,
    };
}

bool
GwDigest_Equal(const GwDigest *a, const GwDigest *b)
{
    return a->account == b->account && a->content == b->content;
}

void
GwDigest_Text(const GwDigest *d, char text[GW_DIGEST_TEXT_SIZE])
{
    g_snprintf(text, GW_DIGEST_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x",
               d->account ^ d->content);
}

void
GwDigest_Key(const GwDigest *d, char key[GW_DIGEST_KEY_SIZE])
{
    g_snprintf(key, GW_DIGEST_KEY_SIZE,
               "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
               d->account, d->content);
}

bool
GwDigest_FromKey(const char *key, GwDigest *d)
{
    char half[HALF_KEY_DIGITS + 1] = "";

    if (strlen(key) != GW_DIGEST_KEY_SIZE - 1 ||
        strspn(key, "0123456789abcdef") != GW_DIGEST_KEY_SIZE - 1)
        return false;
    memcpy(half, key, HALF_KEY_DIGITS);
    d->account = g_ascii_strtoull(half, NULL, 16);
    d->content = g_ascii_strtoull(key + HALF_KEY_DIGITS, NULL, 16);
    return true;
}

guint
GwDigest_Hash(gconstpointer digest)
{
    const GwDigest *d = digest;

    return (guint)(d->content ^ d->account);
}

gboolean
GwDigest_EqualKeys(gconstpointer a, gconstpointer b)
{
    return GwDigest_Equal(a, b);
}
