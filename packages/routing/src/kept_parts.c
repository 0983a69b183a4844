#include "galenagw/routing/kept_parts.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct GwKeptParts {
    GHashTable *tokens; /* key to count, as pointer */
    unsigned max_parts;
    int refs;
};

GwKeptParts *
GwKeptParts_New(unsigned max_parts)
{
    GwKeptParts *k = g_new0(GwKeptParts, 1);

    k->tokens =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    k->max_parts = max_parts;
    k->refs = 1;
    return k;
}

GwKeptParts *
GwKeptParts_Ref(GwKeptParts *k)
{
    k->refs++;
    return k;
}

void
GwKeptParts_Unref(GwKeptParts *k)
{
    if (k == NULL || --k->refs > 0)
        return;
    g_hash_table_unref(k->tokens);
    g_free(k);
}

uint64_t
GwKeptParts_Key(const char *scope, uint64_t part)
{
    return XXH64(scope, strlen(scope), part);
}

void
GwKeptParts_Set(GwKeptParts *k, uint64_t key, uint32_t tokens)
{
    if (tokens == 0)
        g_hash_table_remove(k->tokens, &key);
    else if (g_hash_table_size(k->tokens) < k->max_parts ||
             g_hash_table_contains(k->tokens, &key))
        g_hash_table_insert(k->tokens, g_memdup2(&key, sizeof(key)),
                            GUINT_TO_POINTER(tokens));
}

void
GwKeptParts_Clear(GwKeptParts *k)
{
    g_hash_table_remove_all(k->tokens);
}

unsigned
GwKeptParts_Count(const GwKeptParts *k)
{
    return g_hash_table_size(k->tokens);
}

void
GwKeptParts_Each(const GwKeptParts *k, GwKeptParts_OnPart fn, void *user)
{
    GHashTableIter iter;
    gpointer key;
    gpointer tokens;

    g_hash_table_iter_init(&iter, k->tokens);
    while (g_hash_table_iter_next(&iter, &key, &tokens))
        fn(user, *(uint64_t *)key, GPOINTER_TO_UINT(tokens));
}

unsigned
GwKeptParts_Leading(const GwKeptParts *k, const GwAsk *ask, const char *scope)
{
    unsigned n = 0;

    while (n < ask->n_parts) {
        uint64_t key = GwKeptParts_Key(scope, ask->parts[n].id);

        if (!g_hash_table_contains(k->tokens, &key))
            break;
        n++;
    }
    return n;
}
