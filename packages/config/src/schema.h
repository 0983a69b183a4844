/* The configuration schema as a table; private to this package. */
#ifndef GALENAGW_CONFIG_SCHEMA_H
#define GALENAGW_CONFIG_SCHEMA_H

#include "galenagw/config/document.h"

typedef enum {
    SCHEMA_TEXT = 0,
    SCHEMA_WHOLE,
    SCHEMA_REAL,
    SCHEMA_CHOICE,
    SCHEMA_TEXT_LIST,
    SCHEMA_OBJECT,
    SCHEMA_MAP, /* any member name, each member an object of `fields` */
} SchemaType;

typedef struct SchemaField SchemaField;
struct SchemaField {
    const char *name;
    SchemaType type;
    bool required;
    double min;
    double max;
    const char *const *choices;
    const SchemaField *fields;
    double fallback; /* for numbers that are not given */
};

/* Root of the schema; the table ends with a NULL name. */
extern const SchemaField Schema_Root[];

/* Check `value` against `fields`; messages name file, line and path. */
bool Schema_Check(const SchemaField *fields, const json_t *value,
                  const char *path, const GwYaml *yaml, GwError *err);
/* Number at `name`, or the schema's fallback. */
double Schema_Number(const SchemaField *fields, const json_t *value,
                     const char *name);
/* The fields under `name` of `fields`. */
const SchemaField *Schema_Fields(const SchemaField *fields, const char *name);

#endif
