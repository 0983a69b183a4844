#include "schema.h"

#include <string.h>

static const char *const tier_names[] = {"paying", "trial", NULL};

/* Columns: name, type, required, min, max, choices, fields, default. */
static const SchemaField class_fields[] = {
    {"urgency", SCHEMA_INTEGER, true, 0, 9, NULL, NULL, 5},
    {"first_token_ms", SCHEMA_INTEGER, false, 0, 3600000, NULL, NULL, 0},
    {0},
};
static const SchemaField account_fields[] = {
    {"tier", SCHEMA_CHOICE, true, 0, 0, tier_names, NULL, 0},
    {"class", SCHEMA_TEXT, true, 0, 0, NULL, NULL, 0},
    {"key_salt", SCHEMA_TEXT, true, 0, 0, NULL, NULL, 0},
    {"key_hash", SCHEMA_TEXT, true, 0, 0, NULL, NULL, 0},
    {"requests_per_s", SCHEMA_REAL, false, 0, 1e6, NULL, NULL, 0},
    {0},
};
static const SchemaField model_fields[] = {
    {"weights", SCHEMA_TEXT, true, 0, 0, NULL, NULL, 0},
    {"adapter", SCHEMA_TEXT, false, 0, 0, NULL, NULL, 0},
    {0},
};
static const SchemaField service_fields[] = {
    {"idempotent_methods", SCHEMA_TEXT_LIST, false, 0, 0, NULL, NULL, 0},
    {"key_life_s", SCHEMA_INTEGER, false, 1, 604800, NULL, NULL, 86400},
    {0},
};
static const SchemaField tuning_fields[] = {
    {"paying_reserve", SCHEMA_REAL, false, 0, 1, NULL, NULL, 0.25},
    {"trial_cache_share", SCHEMA_REAL, false, 0, 1, NULL, NULL, 0.1},
    {"queue_max", SCHEMA_INTEGER, false, 1, 10000, NULL, NULL, 256},
    {"probes", SCHEMA_INTEGER, false, 1, 8, NULL, NULL, 3},
    {"recompute_weight", SCHEMA_REAL, false, 0, 100, NULL, NULL, 1},
    {"retry_share", SCHEMA_REAL, false, 0, 1, NULL, NULL, 0.1},
    {"weight_loads", SCHEMA_INTEGER, false, 1, 1000, NULL, NULL, 2},
    {"order_lease_ms", SCHEMA_INTEGER, false, 100, 600000, NULL, NULL, 10000},
    {0},
};
const SchemaField Schema_Root[] = {
    {"classes", SCHEMA_MAP, true, 0, 0, NULL, class_fields, 0},
    {"accounts", SCHEMA_MAP, true, 0, 0, NULL, account_fields, 0},
    {"models", SCHEMA_MAP, false, 0, 0, NULL, model_fields, 0},
    {"services", SCHEMA_MAP, false, 0, 0, NULL, service_fields, 0},
    {"tuning", SCHEMA_OBJECT, false, 0, 0, NULL, tuning_fields, 0},
    {0},
};

static bool check_field_(const SchemaField *f, const json_t *value,
                         const char *path, const GwYaml *yaml, GwError *err);
static bool check_map_(const SchemaField *f, const json_t *value,
                       const char *path, const GwYaml *yaml, GwError *err);
static bool check_choice_(const SchemaField *f, const json_t *value,
                          const char *path, const GwYaml *yaml, GwError *err);
static bool check_text_list_(const json_t *value, const char *path,
                             const GwYaml *yaml, GwError *err);
static const SchemaField *find_field_(const SchemaField *fields,
                                      const char *name);
static char *join_path_(const char *path, const char *name);
/* Sets `err` to the message, with path and, if known, file and line; returns
 * false. */
static bool set_error_(const GwYaml *yaml, const char *path, GwError *err,
                       const char *format, ...)
    __attribute__((format(printf, 4, 5)));

bool
Schema_Check(const SchemaField *fields, const json_t *value, const char *path,
             const GwYaml *yaml, GwError *err)
{
    const char *key;
    json_t *member;

    if (!json_is_object(value))
        return set_error_(yaml, path, err,
                          "must be a mapping; indent its members");
    json_object_foreach((json_t *)value, key, member)
    {
        const SchemaField *f = find_field_(fields, key);
        g_autofree char *at = join_path_(path, key);

        if (f == NULL)
            return set_error_(yaml, at, err,
                              "is not a known field; check its spelling or "
                              "remove it");
        if (!check_field_(f, member, at, yaml, err))
            return false;
    }
    for (const SchemaField *f = fields; f->name != NULL; f++) {
        g_autofree char *at = join_path_(path, f->name);

        if (f->required && json_object_get(value, f->name) == NULL)
            return set_error_(yaml, at, err, "is missing; add it");
    }
    return true;
}

double
Schema_Number(const SchemaField *fields, const json_t *value, const char *name)
{
    const json_t *member = json_object_get(value, name);

    if (json_is_number(member))
        return json_number_value(member);
    return find_field_(fields, name)->default_value;
}

const SchemaField *
Schema_Fields(const SchemaField *fields, const char *name)
{
    return find_field_(fields, name)->fields;
}

static bool
check_field_(const SchemaField *f, const json_t *value, const char *path,
             const GwYaml *yaml, GwError *err)
{
    switch (f->type) {
    case SCHEMA_TEXT:
        if (json_is_string(value))
            return true;
        return set_error_(yaml, path, err,
                          "must be a string; put it in quotes");
    case SCHEMA_INTEGER:
    case SCHEMA_REAL:
        if (json_is_number(value) &&
            (f->type == SCHEMA_REAL || json_is_integer(value)) &&
            json_number_value(value) >= f->min &&
            json_number_value(value) <= f->max)
            return true;
        return set_error_(yaml, path, err, "must be a %s from %g to %g",
                          f->type == SCHEMA_INTEGER ? "whole number"
                                                    : "number",
                          f->min, f->max);
    case SCHEMA_CHOICE:
        return check_choice_(f, value, path, yaml, err);
    case SCHEMA_TEXT_LIST:
        return check_text_list_(value, path, yaml, err);
    case SCHEMA_OBJECT:
        return Schema_Check(f->fields, value, path, yaml, err);
    default:
        return check_map_(f, value, path, yaml, err);
    }
}

static bool
check_map_(const SchemaField *f, const json_t *value, const char *path,
           const GwYaml *yaml, GwError *err)
{
    const char *key;
    json_t *member;

    if (!json_is_object(value))
        return set_error_(yaml, path, err,
                          "must be a mapping; indent its members");
    json_object_foreach((json_t *)value, key, member)
    {
        g_autofree char *at = join_path_(path, key);

        // Names become parts of bearer keys and of URL paths, where these
        // characters are separators.
        if (key[0] == '\0' || strpbrk(key, "./ \t?#") != NULL)
            return set_error_(yaml, at, err,
                              "is not a usable name; leave out '.', '/', '?', "
                              "'#' and spaces");
        if (!Schema_Check(f->fields, member, at, yaml, err))
            return false;
    }
    return true;
}

static bool
check_choice_(const SchemaField *f, const json_t *value, const char *path,
              const GwYaml *yaml, GwError *err)
{
    const char *text = json_string_value(value);
    g_autofree char *all = g_strjoinv(", ", (char **)f->choices);

    if (text != NULL && g_strv_contains(f->choices, text))
        return true;
    return set_error_(yaml, path, err, "'%s' is not one of %s; choose one",
                      text != NULL ? text : "?", all);
}

static bool
check_text_list_(const json_t *value, const char *path, const GwYaml *yaml,
                 GwError *err)
{
    size_t i;
    json_t *item;

    if (!json_is_array(value))
        return set_error_(yaml, path, err, "must be a list; write [A, B]");
    json_array_foreach((json_t *)value, i, item)
    {
        if (!json_is_string(item))
            return set_error_(yaml, path, err, "must contain strings only");
    }
    return true;
}

static const SchemaField *
find_field_(const SchemaField *fields, const char *name)
{
    for (const SchemaField *f = fields; f->name != NULL; f++) {
        if (strcmp(f->name, name) == 0)
            return f;
    }
    return NULL;
}

// Path of member `name` of the object at `path`.
static char *
join_path_(const char *path, const char *name)
{
    return g_strconcat(path, path[0] != '\0' ? "." : "", name, NULL);
}

static bool
set_error_(const GwYaml *yaml, const char *path, GwError *err,
           const char *format, ...)
{
    g_autofree char *what = NULL;
    va_list args;

    va_start(args, format);
    what = g_strdup_vprintf(format, args);
    va_end(args);
    if (yaml == NULL || yaml->file == NULL)
        return GwError_Set(err, GW_ERROR_CONFIG, "%s %s", path, what);
    return GwError_Set(err, GW_ERROR_CONFIG, "%s:%d: %s %s", yaml->file,
                       GwYaml_Line(yaml, path), path, what);
}
