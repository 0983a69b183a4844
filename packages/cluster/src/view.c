#define GW_LOG_PART "view"
#include "galenagw/cluster/view.h"

#include <string.h>

#include "galenagw/adapter/documents.h"
#include "galenagw/base/log.h"

struct GwView {
    GwViewOptions options;
    GwRecords *records;
    GwInstances *instances;
    GwEndpointLimits *endpoint_limits;
    GwRoutes *routes;
    GHashTable *model_versions; /* name of a model to GwModelVersions */
    GHashTable *unrouted_rows; /* set of keys of instance records whose service
                                  no route names */
    uint64_t urgent_changes;
    bool is_operator_list_complete; /* it was, at least once */
};

static void on_record_(void *user, GwList list, const GwRecord *record);
static void on_operator_record_(GwView *view, const GwRecord *record);
static void note_urgent_change_(GwView *view);
static void on_routes_record_(GwView *view, const GwRecord *record);
static void on_weights_record_(GwView *view, const GwRecord *record);
static void note_named_(GwView *view, const char *model, int64_t version,
                        GwTime named_at);
static void on_instance_record_(GwView *view, const GwRecord *record);
static void apply_row_(GwView *view, const GwRecord *record,
                       const GwInstanceRow *row);
static void apply_removal_(GwView *view, const GwRecord *record);
static void reapply_rows_(GwView *view, bool had_no_routes);
static void retry_unrouted_row_(void *user, GwList list,
                                const GwRecord *record);
static bool is_usable_row_(const GwView *view, const GwInstanceRow *row);
static bool may_serve_(const GwRoutes *routes, const char *service,
                       const char *model);
static void add_unrouted_row_(GwView *view, const GwRecord *record,
                              const GwInstanceRow *row);
static void on_added_(void *user, GwInstance *instance);
static void on_freed_(void *user, GwInstance *instance);
static void on_restarted_(void *user, GwInstance *before, GwInstance *after,
                          GwUpdateSource from);
static void on_removal_applied_(void *user, const GwInstance *instance,
                                GwTime now);
static void log_instance_(GwView *view, const GwRecord *record,
                          const GwInstanceRow *row);
static void log_removal_(GwView *view, const GwRecord *record,
                         GwTime deferred_until);
static void log_ignored_row_(GwView *view, const GwRecord *record,
                             const GwInstanceRow *row);
static void log_source_(GwView *view, const GwRecord *record);
static void log_unreadable_(GwView *view, GwList list, const GwRecord *record,
                            const GwError *err);

static const GwInstancesOps instances_ops = {
    on_added_, on_freed_, on_restarted_, on_removal_applied_};

GwView *
GwView_New(const GwViewOptions *options)
{
    GwView *view = g_new0(GwView, 1);

    view->options = *options;
    view->records = GwRecords_New(on_record_, view);
    view->instances = GwInstances_New(&instances_ops, view);
    view->endpoint_limits = GwEndpointLimits_New(g_random_int());
    view->model_versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    view->unrouted_rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return view;
}

void
GwView_Delete(GwView *view)
{
    if (view == NULL)
        return;
    GwInstances_Delete(view->instances);
    GwEndpointLimits_Delete(view->endpoint_limits);
    GwRecords_Delete(view->records);
    GwRoutes_Unref(view->routes);
    g_hash_table_unref(view->model_versions);
    g_hash_table_unref(view->unrouted_rows);
    g_free(view);
}

GwRecords *
GwView_Records(GwView *view)
{
    return view->records;
}

GwInstances *
GwView_Instances(GwView *view)
{
    return view->instances;
}

GwEndpointLimits *
GwView_EndpointLimits(GwView *view)
{
    return view->endpoint_limits;
}

GwRoutes *
GwView_Routes(const GwView *view)
{
    return view->routes;
}

const GwModelVersions *
GwView_ModelVersions(const GwView *view, const char *model)
{
    static const GwModelVersions none = {.version = -1};
    const GwModelVersions *versions =
        model != NULL ? g_hash_table_lookup(view->model_versions, model)
                      : NULL;

    return versions != NULL ? versions : &none;
}

void
GwView_NoteOperatorListComplete(GwView *view)
{
    view->is_operator_list_complete = true;
}

void
GwView_NoteNamed(GwView *view, const char *model, int64_t version,
                 GwTime named_at)
{
    // The clock may have started after the naming: times before it are
    // negative. 0 would mean that weights are not outdated.
    if (named_at == 0)
        named_at = -1;
    note_named_(view, model, version, MAX(named_at, GW_NAMED_LONG_AGO + 1));
}

void
GwView_EachNamed(const GwView *view,
                 void (*fn)(void *user, const char *model, int64_t version,
                            GwTime named_at),
                 void *user)
{
    GHashTableIter iter;
    gpointer model;
    gpointer value;

    g_hash_table_iter_init(&iter, view->model_versions);
    while (g_hash_table_iter_next(&iter, &model, &value)) {
        const GwModelVersions *versions = value;

        for (unsigned i = 0; i < versions->n_history; i++) {
            const GwNamedVersion *named = &versions->history[i];

            if (named->named_at != GW_NAMED_LONG_AGO)
                fn(user, model, named->version, named->named_at);
        }
    }
}

uint64_t
GwView_UrgentChanges(const GwView *view)
{
    return view->urgent_changes;
}

static void
on_record_(void *user, GwList list, const GwRecord *record)
{
    GwView *view = user;

    if (list == GW_LIST_OPERATOR)
        on_operator_record_(view, record);
    else
        on_instance_record_(view, record);
}

static void
on_operator_record_(GwView *view, const GwRecord *record)
{
    switch (GwDocuments_Kind(record)) {
    case GW_OPERATOR_CONFIG:
        on_routes_record_(view, record);
        return;
    case GW_OPERATOR_WEIGHTS:
        on_weights_record_(view, record);
        return;
    default:
        return;
    }
}

static void
note_urgent_change_(GwView *view)
{
    view->urgent_changes++;
    if (view->options.ops->on_urgent != NULL)
        view->options.ops->on_urgent(view->options.user);
}

static void
on_routes_record_(GwView *view, const GwRecord *record)
{
    GwError err = {0};
    GwRoutes *routes = GwDocuments_DecodeRoutes(record, &err);
    bool had_no_routes = view->routes == NULL;

    if (routes == NULL) {
        // The configuration in force stays: an unreadable one must not remove
        // the routes.
        GwCounters_Add(view->options.counters, GW_COUNTER_CONFIG_REJECTED, 1);
        log_unreadable_(view, GW_LIST_OPERATOR, record, &err);
        return;
    }
    if (view->routes != NULL && routes->version <= view->routes->version) {
        GwRoutes_Unref(routes);
        return;
    }
    GwEvent_Begin(view->options.log, "routes", NULL);
    GwEvent_Number(view->options.log, "version", (int64_t)routes->version);
    GwEvent_Number(view->options.log, "before",
                   view->routes != NULL ? (int64_t)view->routes->version : -1);
    GwEvent_Number(view->options.log, "routes", routes->routes->len);
    GwEvent_Number(view->options.log, "offset",
                   GwPosition_Offset(record->offset));
    GwEvent_End(view->options.log);
    GwCounters_Add(view->options.counters, GW_COUNTER_CONFIG_CHANGES, 1);
    GwRoutes_Unref(view->routes);
    view->routes = routes;
    note_urgent_change_(view);
    reapply_rows_(view, had_no_routes);
    if (view->options.ops->on_routes != NULL)
        view->options.ops->on_routes(view->options.user);
}

static void
on_weights_record_(GwView *view, const GwRecord *record)
{
    GwNamedWeights named;
    GwError err = {0};

    if (!GwDocuments_DecodeWeights(record, &named, &err)) {
        log_unreadable_(view, GW_LIST_OPERATOR, record, &err);
        return;
    }
    note_named_(view, named.model, named.version,
                view->is_operator_list_complete ? GwTime_Now()
                                                : GW_NAMED_LONG_AGO);
}

static void
note_named_(GwView *view, const char *model, int64_t version, GwTime named_at)
{
    GwModelVersions *versions =
        g_hash_table_lookup(view->model_versions, model);
    GwEventLog *log = view->options.log;
    bool is_newest;

    if (versions == NULL) {
        versions = g_new(GwModelVersions, 1);
        GwModelVersions_Init(versions);
        g_hash_table_insert(view->model_versions, g_strdup(model), versions);
    }
    is_newest = version > versions->version;
    if (!GwModelVersions_Note(versions, version, named_at))
        return;
    if (is_newest)
        note_urgent_change_(view);
    GwEvent_Begin(log, is_newest ? "weights_named" : "weights_age", NULL);
    GwEvent_Text(log, "model", model);
    GwEvent_Number(log, "version", version);
    if (named_at == GW_NAMED_LONG_AGO)
        GwEvent_Text(log, "age", "unknown");
    else
        GwEvent_Time(log, "age_ms", GwTime_Now() - named_at);
    GwEvent_End(log);
    if (view->options.ops->on_weights != NULL)
        view->options.ops->on_weights(view->options.user, model, versions);
}

static void
on_instance_record_(GwView *view, const GwRecord *record)
{
    GwRowDocument *document;
    GwError err = {0};

    g_hash_table_remove(view->unrouted_rows, record->key);
    if (record->value == NULL) {
        apply_removal_(view, record);
        return;
    }
    document = GwDocuments_DecodeRow(record, &err);
    if (document == NULL) {
        log_unreadable_(view, GW_LIST_INSTANCES, record, &err);
        return;
    }
    if (!is_usable_row_(view, GwDocuments_Row(document)))
        add_unrouted_row_(view, record, GwDocuments_Row(document));
    else
        apply_row_(view, record, GwDocuments_Row(document));
    GwDocuments_RowFree(document);
}

static void
apply_row_(GwView *view, const GwRecord *record, const GwInstanceRow *row)
{
    switch (GwInstances_ApplyRow(view->instances, row, GwTime_Now())) {
    case GW_ROW_CHANGED:
        log_instance_(view, record, row);
        if (row->draining)
            note_urgent_change_(view);
        return;
    case GW_ROW_EARLIER_INCARNATION:
        log_ignored_row_(view, record, row);
        return;
    default:
        return;
    }
}

// A removal may be read again, at a later position, while it is deferred: a
// process that learned of it by a full read stores the last position before
// the end of that read for it.
static void
apply_removal_(GwView *view, const GwRecord *record)
{
    bool was_deferred =
        GwInstances_RemovalDeferredUntil(view->instances, record->key) != 0;
    GwTime deferred_until;

    note_urgent_change_(view);
    deferred_until =
        GwInstances_ApplyRemoval(view->instances, record->key, GwTime_Now());
    GwCounters_Add(view->options.counters, GW_COUNTER_REMOVALS_DEFERRED,
                   deferred_until != 0 && !was_deferred);
    log_removal_(view, record, deferred_until);
}

// Applies the new routes to the instance records. A record may arrive before
// the routes that name its service. Records that arrived before any routes
// were all accepted, because their services could not be checked; one of an
// unknown service at the address of an endpoint was then taken for that
// endpoint's successor.
static void
reapply_rows_(GwView *view, bool had_no_routes)
{
    const GPtrArray *listed = GwInstances_All(view->instances);

    for (guint i = had_no_routes ? listed->len : 0; i > 0; i--) {
        GwInstance *instance = g_ptr_array_index(listed, i - 1);

        if (may_serve_(view->routes, instance->service, instance->model))
            continue;
        g_hash_table_add(view->unrouted_rows, g_strdup(instance->id));
        GwInstances_Forget(view->instances, instance->id, GwTime_Now());
    }
    if (had_no_routes)
        GwInstances_RecomputeDraining(view->instances);
    if (g_hash_table_size(view->unrouted_rows) > 0)
        GwRecords_Each(view->records, GW_LIST_INSTANCES, 0,
                       retry_unrouted_row_, view);
}

static void
retry_unrouted_row_(void *user, GwList list, const GwRecord *record)
{
    GwView *view = user;

    if (record->value != NULL &&
        g_hash_table_contains(view->unrouted_rows, record->key))
        on_instance_record_(view, record);
}

// Before any routes are known, all rows are usable, except that an id must not
// change its service, nor lose its model.
static bool
is_usable_row_(const GwView *view, const GwInstanceRow *row)
{
    const GwInstance *known;

    if (view->routes != NULL)
        return may_serve_(view->routes, row->service, row->model);
    known = GwInstances_Find(view->instances, row->id);
    return known == NULL || (strcmp(known->service, row->service) == 0 &&
                             (known->model != NULL) == (row->model != NULL));
}

// Requests to an engine whose model is unknown would have no cache scope and
// expect no weights.
static bool
may_serve_(const GwRoutes *routes, const char *service, const char *model)
{
    const GwService *known = GwRoutes_Service(routes, service);

    return known != NULL && (!known->is_model || model != NULL);
}

// Stores the key of a row that is not usable with these routes. Before any
// routes are known that is not an error and is not logged.
static void
add_unrouted_row_(GwView *view, const GwRecord *record,
                  const GwInstanceRow *row)
{
    GwError err = {0};

    GwError_Set(
        &err, GW_ERROR_CONFIG,
        "service %s has no route, or its engines need a model that the row "
        "does not name; the endpoint is used once this changes",
        row->service);
    g_hash_table_add(view->unrouted_rows, g_strdup(record->key));
    if (view->routes == NULL)
        return;
    log_unreadable_(view, GW_LIST_INSTANCES, record, &err);
}

static void
on_added_(void *user, GwInstance *instance)
{
    GwView *view = user;

    if (view->options.ops->on_instance_added != NULL)
        view->options.ops->on_instance_added(view->options.user, instance);
}

static void
on_freed_(void *user, GwInstance *instance)
{
    GwView *view = user;

    if (view->options.ops->on_instance_freed != NULL)
        view->options.ops->on_instance_freed(view->options.user, instance);
}

static void
on_restarted_(void *user, GwInstance *before, GwInstance *after,
              GwUpdateSource from)
{
    GwView *view = user;
    GwEventLog *log = view->options.log;

    note_urgent_change_(view);
    GwCounters_Add(view->options.counters, GW_COUNTER_RESTARTS_SEEN, 1);
    GwEvent_Begin(log, "restarted", NULL);
    GwEvent_Text(log, "instance", after->id);
    GwEvent_Number(log, "before", before->incarnation);
    GwEvent_Number(log, "incarnation", after->incarnation);
    GwEvent_Text(log, "learned_from", GwUpdateSource_Names[from]);
    GwEvent_End(log);
    if (view->options.ops->on_instance_restarted != NULL)
        view->options.ops->on_instance_restarted(view->options.user, before,
                                                 after);
}

static void
on_removal_applied_(void *user, const GwInstance *instance, GwTime now)
{
    GwView *view = user;
    GwEventLog *log = view->options.log;

    GwEvent_Begin(log, "instance", NULL);
    GwEvent_Text(log, "instance", instance->id);
    GwEvent_Text(log, "state", "removed");
    GwEvent_Time(log, "deferred_ms", now - instance->removed_at);
    GwEvent_End(log);
}

static void
log_instance_(GwView *view, const GwRecord *record, const GwInstanceRow *row)
{
    GwEventLog *log = view->options.log;

    GwEvent_Begin(log, "instance", NULL);
    GwEvent_Text(log, "instance", record->key);
    GwEvent_Text(log, "state", row->draining ? "draining" : "ready");
    GwEvent_Text(log, "service", row->service);
    GwEvent_Text(log, "address", row->address.host);
    GwEvent_Number(log, "weights", row->weights);
    if (row->software != NULL)
        GwEvent_Text(log, "software", row->software);
    GwEvent_Number(log, "incarnation", row->incarnation);
    log_source_(view, record);
    GwEvent_End(log);
}

// A deferred removal is logged a second time when it is applied, because the
// endpoint gets requests until then.
static void
log_removal_(GwView *view, const GwRecord *record, GwTime deferred_until)
{
    GwEventLog *log = view->options.log;

    GwEvent_Begin(log, "instance", NULL);
    GwEvent_Text(log, "instance", record->key);
    GwEvent_Text(log, "state",
                 deferred_until != 0 ? "removal_deferred" : "removed");
    if (deferred_until != 0)
        GwEvent_Time(log, "for_ms", deferred_until - GwTime_Now());
    log_source_(view, record);
    GwEvent_End(log);
}

static void
log_ignored_row_(GwView *view, const GwRecord *record,
                 const GwInstanceRow *row)
{
    const GwInstance *known = GwInstances_Find(view->instances, row->id);
    GwEventLog *log = view->options.log;

    GwCounters_Add(view->options.counters, GW_COUNTER_ROWS_IGNORED, 1);
    GwEvent_Begin(log, "row_ignored", NULL);
    GwEvent_Text(log, "instance", record->key);
    GwEvent_Text(log, "why", GwRowVerdict_Names[GW_ROW_EARLIER_INCARNATION]);
    GwEvent_Text(log, "state", row->draining ? "draining" : "ready");
    GwEvent_Number(log, "incarnation", row->incarnation);
    GwEvent_Number(log, "known", known->incarnation);
    log_source_(view, record);
    GwEvent_End(log);
}

// Logs where a record was learned from and its offset.
static void
log_source_(GwView *view, const GwRecord *record)
{
    GwEvent_Text(view->options.log, "learned_from",
                 record->learned_from != NULL ? record->learned_from
                                              : "store");
    GwEvent_Number(view->options.log, "offset",
                   GwPosition_Offset(record->offset));
}

static void
log_unreadable_(GwView *view, GwList list, const GwRecord *record,
                const GwError *err)
{
    // A record is reported once, however often it is read, except that a row
    // of an unknown service is reported again with each new configuration.
    GwCounters_Add(view->options.counters, GW_COUNTER_RECORDS_UNREADABLE, 1);
    GwEvent_Begin(view->options.log, "record_unreadable", NULL);
    GwEvent_Text(view->options.log, "list", GwList_Names[list]);
    GwEvent_Text(view->options.log, "key", record->key);
    GwEvent_Number(view->options.log, "offset",
                   GwPosition_Offset(record->offset));
    GwEvent_Text(view->options.log, "error", err->message);
    GwEvent_End(view->options.log);
}
