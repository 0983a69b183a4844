#include "galenagw/routing/software.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Endpoints of one identity that are listed. */
typedef struct {
    uint64_t identity;
    unsigned endpoints;
} ListedSoftware;

/* An identity of which no endpoint is listed any longer. */
typedef struct {
    uint64_t identity;
    GwTime listed_until;
} DepartedSoftware;

typedef struct {
    GArray *listed;     /* of ListedSoftware, without unknown ones */
    unsigned n_unknown; /* listed endpoints of unknown version */
    DepartedSoftware departed[GW_SOFTWARE_DEPARTED_MAX]; /* earliest first */
    unsigned n_departed;
    GwTime dropped_until; /* when the last identity that could not be stored
                             was listed; 0: none */
} ServiceSoftware;

struct GwSoftwareHistory {
    GHashTable *services; /* service name to ServiceSoftware */
    unsigned n_unlisted;  /* services without a listed endpoint */
    /* When the last endpoint of the services that could not be stored was
     * listed; 0: none. They are not known by name, so that it applies to each
     * service that is not stored. */
    GwTime dropped_until;
};

static ServiceSoftware *get_service_(GwSoftwareHistory *history,
                                     const char *service);
static void free_service_(gpointer item);
static bool is_listed_(const ServiceSoftware *s);
static ListedSoftware *find_listed_(const ServiceSoftware *s,
                                    uint64_t identity);
static void remove_departed_(ServiceSoftware *s, uint64_t identity);
static void add_departed_(ServiceSoftware *s, uint64_t identity, GwTime now);
static void limit_unlisted_(GwSoftwareHistory *history, GwTime now);
static GwTime last_listed_(const ServiceSoftware *s);
static bool may_be_in_progress_(GwTime listed_until, GwTime now);

uint64_t
GwSoftware_Identity(const char *service, const char *version)
{
    uint64_t hash;

    if (version == NULL || version[0] == '\0')
        return 0;
    hash = XXH64(version, strlen(version), XXH64(service, strlen(service), 0));
    return hash != 0 ? hash : 1;
}

GwSoftwareHistory *
GwSoftwareHistory_New(void)
{
    GwSoftwareHistory *history = g_new0(GwSoftwareHistory, 1);

    history->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service_);
    return history;
}

void
GwSoftwareHistory_Delete(GwSoftwareHistory *history)
{
    if (history == NULL)
        return;
    g_hash_table_unref(history->services);
    g_free(history);
}

void
GwSoftwareHistory_Add(GwSoftwareHistory *history, const char *service,
                      uint64_t identity)
{
    ServiceSoftware *s = get_service_(history, service);
    ListedSoftware *listed;

    if (!is_listed_(s))
        history->n_unlisted--;
    if (identity == 0) {
        s->n_unknown++;
        return;
    }
    listed = find_listed_(s, identity);
    if (listed != NULL) {
        listed->endpoints++;
        return;
    }
    g_array_append_vals(s->listed, &(ListedSoftware){identity, 1}, 1);
    remove_departed_(s, identity);
}

void
GwSoftwareHistory_Remove(GwSoftwareHistory *history, const char *service,
                         uint64_t identity, GwTime now)
{
    ServiceSoftware *s = g_hash_table_lookup(history->services, service);
    ListedSoftware *listed = s != NULL ? find_listed_(s, identity) : NULL;

    if (s == NULL || (identity == 0 ? s->n_unknown == 0 : listed == NULL))
        return;
    if (identity == 0)
        s->n_unknown--;
    else if (--listed->endpoints > 0)
        return;
    else
        g_array_remove_index_fast(
            s->listed,
            (guint)(listed - &g_array_index(s->listed, ListedSoftware, 0)));
    // No stream that can be resumed begins at an unknown version as long as
    // there is another endpoint.
    if (identity != 0)
        add_departed_(s, identity, now);
    if (is_listed_(s))
        return;
    history->n_unlisted++;
    limit_unlisted_(history, now);
}

void
GwSoftwareHistory_Identify(GwSoftwareHistory *history, const char *service,
                           uint64_t identity)
{
    ServiceSoftware *s = g_hash_table_lookup(history->services, service);

    if (s == NULL || s->n_unknown == 0)
        return;
    // Added first, so that the service has a listed endpoint throughout.
    GwSoftwareHistory_Add(history, service, identity);
    s->n_unknown--;
}

unsigned
GwSoftwareHistory_Count(const GwSoftwareHistory *history, const char *service,
                        GwTime now, uint64_t *only)
{
    const ServiceSoftware *s = g_hash_table_lookup(history->services, service);
    GwTime dropped_until =
        s != NULL ? s->dropped_until : history->dropped_until;
    uint64_t last = 0;
    unsigned n = 0;

    if (s != NULL) {
        n = s->listed->len + s->n_unknown;
        if (s->listed->len > 0)
            last = g_array_index(s->listed, ListedSoftware, 0).identity;
    }
    for (unsigned i = 0; s != NULL && i < s->n_departed; i++) {
        if (!may_be_in_progress_(s->departed[i].listed_until, now))
            continue;
        n++;
        last = s->departed[i].identity;
    }
    if (may_be_in_progress_(dropped_until, now))
        n = MAX(n + 1, 2);
    *only = n == 1 ? last : 0;
    return n;
}

// Returns the entry of the service. A new one has no listed endpoint yet.
static ServiceSoftware *
get_service_(GwSoftwareHistory *history, const char *service)
{
    ServiceSoftware *s = g_hash_table_lookup(history->services, service);

    if (s != NULL)
        return s;
    s = g_new0(ServiceSoftware, 1);
    s->listed = g_array_new(FALSE, FALSE, sizeof(ListedSoftware));
    // It may be one of those that were dropped.
    s->dropped_until = history->dropped_until;
    history->n_unlisted++;
    g_hash_table_insert(history->services, g_strdup(service), s);
    return s;
}

static void
free_service_(gpointer item)
{
    ServiceSoftware *s = item;

    g_array_unref(s->listed);
    g_free(s);
}

static bool
is_listed_(const ServiceSoftware *s)
{
    return s->listed->len > 0 || s->n_unknown > 0;
}

static ListedSoftware *
find_listed_(const ServiceSoftware *s, uint64_t identity)
{
    for (guint i = 0; i < s->listed->len; i++) {
        ListedSoftware *listed = &g_array_index(s->listed, ListedSoftware, i);

        if (listed->identity == identity)
            return listed;
    }
    return NULL;
}

static void
remove_departed_(ServiceSoftware *s, uint64_t identity)
{
    for (unsigned i = 0; i < s->n_departed; i++) {
        if (s->departed[i].identity != identity)
            continue;
        s->n_departed--;
        memmove(&s->departed[i], &s->departed[i + 1],
                (s->n_departed - i) * sizeof(s->departed[0]));
        return;
    }
}

// Adds the identity as the last one. If there is no space, the first one is
// dropped, which expires before the others.
static void
add_departed_(ServiceSoftware *s, uint64_t identity, GwTime now)
{
    if (s->n_departed == GW_SOFTWARE_DEPARTED_MAX) {
        s->dropped_until = MAX(s->dropped_until, s->departed[0].listed_until);
        s->n_departed--;
        memmove(&s->departed[0], &s->departed[1],
                s->n_departed * sizeof(s->departed[0]));
    }
    s->departed[s->n_departed++] = (DepartedSoftware){identity, now};
}

// Removes the services without a listed endpoint that have expired. If there
// are too many others, the one that expires first is removed as well.
static void
limit_unlisted_(GwSoftwareHistory *history, GwTime now)
{
    const char *first = NULL;
    GwTime first_until = 0;
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    if (history->n_unlisted <= GW_SOFTWARE_SERVICES_MAX)
        return;
    g_hash_table_iter_init(&iter, history->services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        GwTime until = last_listed_(value);

        if (is_listed_(value))
            continue;
        if (!may_be_in_progress_(until, now)) {
            g_hash_table_iter_remove(&iter);
            history->n_unlisted--;
        }
        else if (first == NULL || until < first_until) {
            first = name;
            first_until = until;
        }
    }
    if (first == NULL || history->n_unlisted <= GW_SOFTWARE_SERVICES_MAX)
        return;
    history->dropped_until = MAX(history->dropped_until, first_until);
    g_hash_table_remove(history->services, first);
    history->n_unlisted--;
}

static GwTime
last_listed_(const ServiceSoftware *s)
{
    return s->n_departed > 0 ? MAX(s->dropped_until,
                                   s->departed[s->n_departed - 1].listed_until)
                             : s->dropped_until;
}

static bool
may_be_in_progress_(GwTime listed_until, GwTime now)
{
    return listed_until != 0 && now - listed_until <= GW_STREAM_LIFETIME;
}
