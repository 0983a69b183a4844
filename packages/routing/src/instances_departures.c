#include "galenagw/routing/instances.h"

#include "instances_private.h"

bool
GwInstances_SetLeaving(GwInstances *m, const char *id, int64_t incarnation,
                       GwTime received_at, GwTime now)
{
    GwInstance *instance = g_hash_table_lookup(m->by_id, id);
    const DepartureUpdate *known =
        g_hash_table_lookup(m->departure_updates, id);
    bool is_new = known == NULL || known->incarnation < incarnation;
    bool was_listed;

    received_at = MIN(received_at, now);
    if (now - received_at >= GW_LEAVING_TERM ||
        (known != NULL && (known->incarnation > incarnation ||
                           known->received_at >= received_at)) ||
        (instance != NULL && incarnation != 0 &&
         incarnation < instance->incarnation))
        return false;
    was_listed = instance != NULL || (known != NULL && known->was_listed);
    // Only the number of updates for ids that were never listed is limited,
    // because a peer may send any id. The ids of all other updates have been
    // in the list, which limits their number.
    if (known == NULL && !was_listed &&
        m->n_unlisted_updates >= GW_LEAVING_MAX)
        return false;
    m->n_unlisted_updates += !was_listed;
    m->n_unlisted_updates -= known != NULL && !known->was_listed;
    g_hash_table_insert(
        m->departure_updates, g_strdup(id),
        g_memdup2(&(DepartureUpdate){incarnation, received_at, was_listed},
                  sizeof(DepartureUpdate)));
    if (instance != NULL)
        GwInstancesDepartures_Apply(m, instance);
    return is_new;
}

void
GwInstances_EachLeaving(const GwInstances *m,
                        void (*fn)(void *user, const char *id,
                                   int64_t incarnation, GwTime received_at),
                        void *user)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    g_hash_table_iter_init(&iter, m->departure_updates);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const DepartureUpdate *leaving = value;

        fn(user, id, leaving->incarnation, leaving->received_at);
    }
}

void
GwInstancesDepartures_Apply(GwInstances *m, GwInstance *instance)
{
    DepartureUpdate *update =
        g_hash_table_lookup(m->departure_updates, instance->id);

    if (update != NULL && !update->was_listed) {
        update->was_listed = true;
        m->n_unlisted_updates--;
    }
    if (update == NULL ||
        (update->incarnation != 0 &&
         update->incarnation != instance->incarnation) ||
        (instance->leaving && instance->leaving_until == 0))
        return;
    instance->leaving = instance->draining = true;
    instance->leaving_until = update->received_at + GW_LEAVING_TERM;
}

void
GwInstancesDepartures_Expire(GwInstances *m, GwTime now)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    bool recompute = false;

    g_hash_table_iter_init(&iter, m->departure_updates);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        GwInstance *instance = g_hash_table_lookup(m->by_id, id);

        if (now - ((const DepartureUpdate *)value)->received_at <
            GW_LEAVING_TERM)
            continue;
        if (instance != NULL && instance->leaving_until != 0) {
            instance->leaving = false;
            instance->leaving_until = 0;
            recompute = true;
        }
        m->n_unlisted_updates -= !((const DepartureUpdate *)value)->was_listed;
        g_hash_table_iter_remove(&iter);
    }
    // An instance that is no longer leaving must still be draining if a newer
    // instance has been listed at its address in the meantime.
    if (recompute)
        GwInstances_RecomputeDraining(m);
}
