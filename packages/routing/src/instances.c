#include "galenagw/routing/instances.h"

#include "instances_private.h"

#include <string.h>

#include "galenagw/routing/placement.h"

/* Agents send reports four times a second. One missing report, or the delay of
 * a retransmitted packet, does not indicate a failure yet. After two missing
 * reports, the report is overdue shortly before the third one is due at 750
 * ms. An agent that is killed closes its session, which is handled separately.
 */
#define REPORT_OVERDUE_AFTER (700 * GW_MILLISECOND)
/* By then, either the engine was removed from the list, or only its agent has
 * failed. Requests to the engine show which of the two is the case. */
#define REPORT_EXPIRES_AFTER (6 * GW_SECOND)

const char *const GwUpdateSource_Names[GW_SOURCES] = {
    [GW_SOURCE_LIST] = "list",     [GW_SOURCE_AGENT] = "agent",
    [GW_SOURCE_REPORT] = "report", [GW_SOURCE_ANSWER] = "answer",
    [GW_SOURCE_PEER] = "peer",
};

const char *const GwRowVerdict_Names[GW_ROW_VERDICTS] = {
    [GW_ROW_UNCHANGED] = "unchanged",
    [GW_ROW_CHANGED] = "changed",
    [GW_ROW_EARLIER_INCARNATION] = "earlier_incarnation",
};

static GwInstance *add_instance_(GwInstances *m, const GwInstanceRow *row);
static bool mark_older_replaced_(GwInstances *m, const GwInstance *listed);
static void recompute_draining_(GwInstances *m, const GwAddress *address);
static GPtrArray *get_service_instances_(GwInstances *m, const char *service);
static void remove_instance_(GwInstances *m, GwInstance *instance, GwTime now);
static void apply_removal_(GwInstances *m, GwInstance *instance, GwTime now);
static bool apply_software_(GwInstances *m, GwInstance *instance,
                            const GwInstanceRow *row, GwTime now);
static GwInstance *supersede_instance_(GwInstances *m, GwInstance *before,
                                       const GwInstanceRow *row,
                                       GwUpdateSource from, GwTime now);

GwInstances *
GwInstances_New(const GwInstancesOps *ops, void *user)
{
    GwInstances *m = g_new0(GwInstances, 1);

    m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    m->departure_updates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    m->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
    m->all = g_ptr_array_new();
    m->software = GwSoftwareHistory_New();
    m->ops = *ops;
    m->user = user;
    return m;
}

void
GwInstances_Delete(GwInstances *m)
{
    if (m == NULL)
        return;
    while (m->all->len > 0)
        remove_instance_(m, g_ptr_array_index(m->all, 0), 0);
    g_hash_table_unref(m->by_id);
    g_hash_table_unref(m->departure_updates);
    g_hash_table_unref(m->by_service);
    g_ptr_array_unref(m->all);
    GwSoftwareHistory_Delete(m->software);
    g_free(m);
}

GwRowVerdict
GwInstances_ApplyRow(GwInstances *m, const GwInstanceRow *row, GwTime now)
{
    GwInstance *instance = g_hash_table_lookup(m->by_id, row->id);
    bool changed = false;

    if (instance == NULL) {
        instance = add_instance_(m, row);
        changed = true;
    }
    // The process that wrote the row has terminated. The row is from an
    // outdated page of the list, from an older record of a peer, or from a
    // heartbeat of the earlier incarnation that the store accepted after the
    // restart.
    if (row->incarnation < instance->incarnation)
        return GW_ROW_EARLIER_INCARNATION;
    if (row->incarnation > instance->incarnation) {
        instance = supersede_instance_(m, instance, row, GW_SOURCE_LIST, now);
        changed = true;
    }
    if (instance->removed_at != 0) {
        instance->removed_at = 0;
        m->n_deferred--;
        changed = true;
    }
    changed = apply_software_(m, instance, row, now) || changed;
    instance->offset = MAX(instance->offset, row->offset);
    changed = mark_older_replaced_(m, instance) || changed;
    // A departure in the row is final for an incarnation: leaving_until 0
    // means that it does not expire. One announced in an answer expires.
    instance->leaving = instance->leaving || row->draining;
    if (row->draining)
        instance->leaving_until = 0;
    if (instance->leaving && !instance->draining) {
        instance->draining = true;
        changed = true;
    }
    changed = GwInstance_SetWeights(instance, row->weights) || changed;
    return changed ? GW_ROW_CHANGED : GW_ROW_UNCHANGED;
}

GwInstance *
GwInstances_ApplyRestart(GwInstances *m, const char *id, int64_t incarnation,
                         GwUpdateSource from, GwTime now)
{
    GwInstance *before = g_hash_table_lookup(m->by_id, id);
    GwInstanceRow row;

    if (before == NULL || incarnation <= before->incarnation)
        return NULL;
    row = (GwInstanceRow){
        .id = before->id,
        .incarnation = incarnation,
        .service = before->service,
        .address = before->address,
        .failure_domain = before->failure_domain,
        .slots = before->slots,
        .model = before->model,
        .weights = -1,
        .offset = before->offset,
    };
    return supersede_instance_(m, before, &row, from, now);
}

void
GwInstance_SetReplaced(GwInstance *instance)
{
    instance->draining = true;
}

GwTime
GwInstances_ApplyRemoval(GwInstances *m, const char *id, GwTime now)
{
    GwInstance *instance = g_hash_table_lookup(m->by_id, id);

    if (instance == NULL)
        return 0;
    if (instance->removed_at == 0) {
        if (GwInstances_RemovalsDeferredUntil(m, now) == 0) {
            apply_removal_(m, instance, now);
            return 0;
        }
        instance->removed_at = now;
        m->n_deferred++;
    }
    return m->apply_deferred_at;
}

void
GwInstances_Forget(GwInstances *m, const char *id, GwTime now)
{
    GwInstance *instance = g_hash_table_lookup(m->by_id, id);

    if (instance != NULL)
        remove_instance_(m, instance, now);
}

void
GwInstances_RecomputeDraining(GwInstances *m)
{
    recompute_draining_(m, NULL);
}

void
GwInstances_DeferRemovals(GwInstances *m, GwTime defer_received_before,
                          GwTime until)
{
    m->defer_received_before =
        MAX(m->defer_received_before, defer_received_before);
    m->apply_deferred_at = MAX(m->apply_deferred_at, until);
}

void
GwInstances_EndDeferral(GwInstances *m, GwTime now)
{
    m->defer_received_before = 0;
    m->apply_deferred_at = MIN(m->apply_deferred_at, now);
    GwInstances_Sweep(m, now);
}

GwTime
GwInstances_RemovalsDeferredUntil(const GwInstances *m, GwTime now)
{
    return now < MAX(m->defer_received_before, m->peer_defer_received_before)
               ? m->apply_deferred_at
               : 0;
}

void
GwInstances_SetPeerDeferral(GwInstances *m, GwTime until)
{
    m->peer_defer_received_before = until;
    m->apply_deferred_at = MAX(m->apply_deferred_at, until);
}

GwTime
GwInstances_RemovalDeferredUntil(const GwInstances *m, const char *id)
{
    const GwInstance *instance = g_hash_table_lookup(m->by_id, id);

    return instance != NULL && instance->removed_at != 0 ? m->apply_deferred_at
                                                         : 0;
}

GwTime
GwInstances_NextRemovalAt(const GwInstances *m)
{
    return m->n_deferred > 0 ? m->apply_deferred_at : 0;
}

void
GwInstances_Sweep(GwInstances *m, GwTime now)
{
    GwInstancesDepartures_Expire(m, now);
    if (m->n_deferred == 0 || now < m->apply_deferred_at)
        return;
    for (guint i = m->all->len; i > 0; i--) {
        GwInstance *instance = g_ptr_array_index(m->all, i - 1);

        if (instance->removed_at == 0)
            continue;
        if (m->ops.on_removal_applied != NULL)
            m->ops.on_removal_applied(m->user, instance, now);
        apply_removal_(m, instance, now);
    }
}

GwInstance *
GwInstances_Find(const GwInstances *m, const char *id)
{
    return g_hash_table_lookup(m->by_id, id);
}

GwInstance *
GwInstances_At(const GwInstances *m, const GwAddress *address)
{
    for (guint i = m->all->len; i > 0; i--) {
        GwInstance *instance = g_ptr_array_index(m->all, i - 1);

        if (GwAddress_Equal(&instance->address, address))
            return instance;
    }
    return NULL;
}

const GPtrArray *
GwInstances_Of(const GwInstances *m, const char *service)
{
    return g_hash_table_lookup(m->by_service, service);
}

const GPtrArray *
GwInstances_All(const GwInstances *m)
{
    return m->all;
}

unsigned
GwInstances_SoftwareVersions(const GwInstances *m, const char *service,
                             GwTime now, uint64_t *only)
{
    return GwSoftwareHistory_Count(m->software, service, now, only);
}

void
GwInstance_SetBackoff(GwInstance *instance, GwTime time, GwTime now)
{
    GwTime until = now + MIN(time, GW_BACKOFF_MAX);

    instance->backoff_until = MAX(instance->backoff_until, until);
}

GwReportState
GwInstance_ReportState(const GwInstance *instance, GwTime now)
{
    GwTime age = now - instance->agent_report.at;

    if (instance->agent_report.at == 0 || age > REPORT_EXPIRES_AFTER)
        return GW_REPORT_NONE;
    return age <= REPORT_OVERDUE_AFTER ? GW_REPORT_FRESH : GW_REPORT_OVERDUE;
}

bool
GwInstance_SetWeights(GwInstance *instance, int64_t weights)
{
    // Versions of the model's weights only increase within one incarnation. A
    // lower version comes from a source that lags behind. -1, no version, is
    // lower than any version.
    if (weights <= instance->weights)
        return false;
    instance->weights = weights;
    return true;
}

void
GwInstance_SetCachedParts(GwInstance *instance, GwCachedParts *cached)
{
    GwCachedParts *before = instance->cached_parts;

    instance->cached_parts = GwCachedParts_Ref(cached);
    GwCachedParts_Unref(before);
}

GwInstance *
GwInstance_Ref(GwInstance *instance)
{
    instance->refs++;
    return instance;
}

void
GwInstance_Unref(GwInstances *m, GwInstance *instance)
{
    if (--instance->refs > 0)
        return;
    if (m->ops.on_freed != NULL)
        m->ops.on_freed(m->user, instance);
    g_free(instance->id);
    g_free(instance->service);
    g_free(instance->failure_domain);
    g_free(instance->model);
    g_free(instance->software_version);
    GwCachedParts_Unref(instance->cached_parts);
    g_free(instance);
}

static GwInstance *
add_instance_(GwInstances *m, const GwInstanceRow *row)
{
    GwInstance *instance = g_new0(GwInstance, 1);

    instance->id = g_strdup(row->id);
    instance->incarnation = row->incarnation;
    instance->serial = ++m->serial;
    instance->service = g_strdup(row->service);
    instance->failure_domain = g_strdup(row->failure_domain);
    instance->model = g_strdup(row->model);
    instance->address = row->address;
    instance->address_hash = GwPlacement_HashAddress(&row->address);
    instance->domain = GwPlacement_HashDomain(row->failure_domain);
    instance->slots = row->slots;
    instance->offset = row->offset;
    instance->weights = -1; // GwInstances_ApplyRow sets the row's version
    instance->software = GwSoftware_Identity(row->service, row->software);
    if (instance->software != 0)
        instance->software_version = g_strdup(row->software);
    GwSoftwareHistory_Add(m->software, row->service, instance->software);
    GwInstancesDepartures_Apply(m, instance);
    if (row->model != NULL)
        instance->cached_parts = GwCachedParts_New(GW_MAX_CACHED_PARTS);
    instance->refs = 1;
    g_hash_table_insert(m->by_id, instance->id, instance);
    g_ptr_array_add(get_service_instances_(m, row->service), instance);
    g_ptr_array_add(m->all, instance);
    if (m->ops.on_added != NULL)
        m->ops.on_added(m->user, instance);
    return instance;
}

// Marks as replaced the older one of @p listed and each other instance that
// is listed at the same address, whatever their services. The older instance,
// whose record has the lower offset (@p listed itself if the offsets are
// equal), has terminated. After a crash its row remains in the list until it
// expires, and the newer instance would refuse each request that is addressed
// to the older one.
static bool
mark_older_replaced_(GwInstances *m, const GwInstance *listed)
{
    bool changed = false;

    for (guint i = 0; i < m->all->len; i++) {
        GwInstance *other = g_ptr_array_index(m->all, i);
        GwInstance *older =
            other->offset < listed->offset ? other : (GwInstance *)listed;

        if (other == listed || older->draining ||
            !GwAddress_Equal(&other->address, &listed->address))
            continue;
        GwInstance_SetReplaced(older);
        changed = true;
    }
    return changed;
}

// Those at @p address, or all if it is NULL, drain if they are leaving or were
// replaced.
static void
recompute_draining_(GwInstances *m, const GwAddress *address)
{
    for (guint i = 0; i < m->all->len; i++) {
        GwInstance *instance = g_ptr_array_index(m->all, i);

        if (address == NULL || GwAddress_Equal(&instance->address, address))
            instance->draining = instance->leaving;
    }
    for (guint i = 0; i < m->all->len; i++) {
        const GwInstance *instance = g_ptr_array_index(m->all, i);

        if (address == NULL || GwAddress_Equal(&instance->address, address))
            mark_older_replaced_(m, instance);
    }
}

static GPtrArray *
get_service_instances_(GwInstances *m, const char *service)
{
    GPtrArray *pool = g_hash_table_lookup(m->by_service, service);

    if (pool == NULL) {
        pool = g_ptr_array_new();
        g_hash_table_insert(m->by_service, g_strdup(service), pool);
    }
    return pool;
}

static void
remove_instance_(GwInstances *m, GwInstance *instance, GwTime now)
{
    if (instance->removed_at != 0)
        m->n_deferred--;
    g_hash_table_remove(m->by_id, instance->id);
    g_ptr_array_remove(get_service_instances_(m, instance->service), instance);
    g_ptr_array_remove(m->all, instance);
    GwSoftwareHistory_Remove(m->software, instance->service,
                             instance->software, now);
    GwInstance_Unref(m, instance);
}

// Those that the instance had replaced at its address serve again. If another
// writer had listed it there, they have never ended.
static void
apply_removal_(GwInstances *m, GwInstance *instance, GwTime now)
{
    GwAddress address = instance->address;

    remove_instance_(m, instance, now);
    recompute_draining_(m, &address);
}

// Stores the software version of a row of the instance's incarnation. A
// version that is not in the newest record, or no version, changes nothing.
static bool
apply_software_(GwInstances *m, GwInstance *instance, const GwInstanceRow *row,
                GwTime now)
{
    uint64_t software = GwSoftware_Identity(instance->service, row->software);

    if (software == 0 || software == instance->software ||
        (instance->software != 0 && row->offset < instance->offset))
        return false;
    // The software of one incarnation does not change: the endpoint whose
    // version was unknown has been of this version since its start. Otherwise
    // the row is of an incarnation that the list does not distinguish from the
    // previous one.
    if (instance->software == 0 && instance->incarnation != 0) {
        GwSoftwareHistory_Identify(m->software, instance->service, software);
    }
    else {
        GwSoftwareHistory_Add(m->software, instance->service, software);
        GwSoftwareHistory_Remove(m->software, instance->service,
                                 instance->software, now);
    }
    instance->software = software;
    g_free(instance->software_version);
    instance->software_version = g_strdup(row->software);
    return true;
}

// All state of an endpoint belongs to its GwInstance: the later incarnation
// gets a new one, and requests in flight keep a reference to the earlier one
// until they complete.
static GwInstance *
supersede_instance_(GwInstances *m, GwInstance *before,
                    const GwInstanceRow *row, GwUpdateSource from, GwTime now)
{
    GwInstance *after;

    // Strings of the row may belong to the earlier instance.
    GwInstance_Ref(before);
    before->superseded = true;
    remove_instance_(m, before, now);
    after = add_instance_(m, row);
    if (m->ops.on_restarted != NULL)
        m->ops.on_restarted(m->user, before, after, from);
    GwInstance_Unref(m, before);
    return after;
}
