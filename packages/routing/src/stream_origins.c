#include "galenagw/routing/stream_origins.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

/* Maximum number of expired streams that one call removes: more than are
 * stored, so that all of them are removed in time, and few enough that no call
 * delays the event loop. */
#define EXPIRED_REMOVALS_MAX 4

typedef struct Origin {
    uint64_t stream; /* key of the table; the first member */
    uint64_t software;
    GwTime stored_at;
    TAILQ_ENTRY(Origin) link;
} Origin;

struct GwStreamOrigins {
    size_t max;
    GHashTable *table;                   /* set of Origin */
    TAILQ_HEAD(OriginList, Origin) list; /* by stored_at */
};

static bool is_expired_(const Origin *origin, GwTime now);
static void remove_expired_(GwStreamOrigins *o, GwTime now);
static void remove_origin_(GwStreamOrigins *o, Origin *origin);

GwStreamOrigins *
GwStreamOrigins_New(size_t max)
{
    GwStreamOrigins *o = g_new0(GwStreamOrigins, 1);

    o->max = MAX(max, 1);
    o->table =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    TAILQ_INIT(&o->list);
    return o;
}

void
GwStreamOrigins_Delete(GwStreamOrigins *o)
{
    if (o == NULL)
        return;
    g_hash_table_unref(o->table);
    g_free(o);
}

void
GwStreamOrigins_Store(GwStreamOrigins *o, uint64_t stream, uint64_t software,
                      GwTime now)
{
    Origin *origin;

    remove_expired_(o, now);
    if (software == 0)
        return;
    origin = g_hash_table_lookup(o->table, &stream);
    if (origin != NULL) {
        TAILQ_REMOVE(&o->list, origin, link);
    }
    else {
        if (GwStreamOrigins_Count(o) == o->max)
            remove_origin_(o, TAILQ_FIRST(&o->list));
        origin = g_new0(Origin, 1);
        origin->stream = stream;
        g_hash_table_add(o->table, origin);
    }
    origin->software = software;
    origin->stored_at = now;
    TAILQ_INSERT_TAIL(&o->list, origin, link);
}

uint64_t
GwStreamOrigins_Find(GwStreamOrigins *o, uint64_t stream, GwTime now)
{
    const Origin *origin = g_hash_table_lookup(o->table, &stream);

    return origin != NULL && !is_expired_(origin, now) ? origin->software : 0;
}

void
GwStreamOrigins_EachRecent(const GwStreamOrigins *o, size_t max, GwTime now,
                           void (*fn)(void *user, uint64_t stream,
                                      uint64_t software),
                           void *user)
{
    const Origin *origin;

    TAILQ_FOREACH_REVERSE(origin, &o->list, OriginList, link)
    {
        if (max-- == 0 || is_expired_(origin, now))
            return;
        fn(user, origin->stream, origin->software);
    }
}

size_t
GwStreamOrigins_Count(const GwStreamOrigins *o)
{
    return g_hash_table_size(o->table);
}

uint64_t
GwStreamOrigins_Hash(const char *request_id)
{
    uint64_t hash = XXH64(request_id, strlen(request_id), 0);

    return hash != 0 ? hash : 1;
}

static bool
is_expired_(const Origin *origin, GwTime now)
{
    return now - origin->stored_at > GW_STREAM_LIFETIME;
}

static void
remove_expired_(GwStreamOrigins *o, GwTime now)
{
    Origin *origin;

    for (int i = 0;
         i < EXPIRED_REMOVALS_MAX &&
         (origin = TAILQ_FIRST(&o->list)) != NULL && is_expired_(origin, now);
         i++)
        remove_origin_(o, origin);
}

static void
remove_origin_(GwStreamOrigins *o, Origin *origin)
{
    TAILQ_REMOVE(&o->list, origin, link);
    g_hash_table_remove(o->table, origin);
}
