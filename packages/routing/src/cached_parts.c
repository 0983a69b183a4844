#include "galenagw/routing/cached_parts.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct GwCachedParts {
    GHashTable *tokens; /* key to number of tokens, stored as pointer */
    unsigned max_parts;
    int refs;
};

GwCachedParts *
GwCachedParts_New(unsigned max_parts)
{
    GwCachedParts *k = g_new0(GwCachedParts, 1);

    k->tokens =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    k->max_parts = max_parts;
    k->refs = 1;
    return k;
}

GwCachedParts *
GwCachedParts_Ref(GwCachedParts *k)
{
    k->refs++;
    return k;
}

void
GwCachedParts_Unref(GwCachedParts *k)
{
    if (k == NULL || --k->refs > 0)
        return;
    g_hash_table_unref(k->tokens);
    g_free(k);
}

uint64_t
GwCachedParts_Key(const char *scope, uint64_t part)
{
    return XXH64(scope, strlen(scope), part);
}

void
GwCachedParts_Set(GwCachedParts *k, uint64_t key, uint32_t tokens)
{
    if (tokens == 0)
        g_hash_table_remove(k->tokens, &key);
    else if (g_hash_table_size(k->tokens) < k->max_parts ||
             g_hash_table_contains(k->tokens, &key))
        g_hash_table_insert(k->tokens, g_memdup2(&key, sizeof(key)),
                            GUINT_TO_POINTER(tokens));
}

void
GwCachedParts_Clear(GwCachedParts *k)
{
    g_hash_table_remove_all(k->tokens);
}

unsigned
GwCachedParts_Count(const GwCachedParts *k)
{
    return g_hash_table_size(k->tokens);
}

void
GwCachedParts_Each(const GwCachedParts *k, GwCachedParts_OnPart fn, void *user)
{
    GHashTableIter iter;
    gpointer key;
    gpointer tokens;

    g_hash_table_iter_init(&iter, k->tokens);
    while (g_hash_table_iter_next(&iter, &key, &tokens))
        fn(user, *(uint64_t *)key, GPOINTER_TO_UINT(tokens));
}

unsigned
GwCachedParts_Leading(const GwCachedParts *k, const GwRequestInfo *info,
                      const char *scope)
{
    unsigned n = 0;

    while (n < info->n_parts) {
        uint64_t key = GwCachedParts_Key(scope, info->parts[n].id);

        if (!g_hash_table_contains(k->tokens, &key))
            break;
        n++;
    }
    return n;
}
