/* The configuration schema as tables of fields; private to this package. */
#ifndef GALENAGW_CONFIG_SCHEMA_H
#define GALENAGW_CONFIG_SCHEMA_H

#include "galenagw/config/document.h"

/* Type of a field. */
typedef enum {
    SCHEMA_TEXT = 0,
    SCHEMA_INTEGER,   /* from `min` to `max` */
    SCHEMA_REAL,      /* from `min` to `max` */
    SCHEMA_CHOICE,    /* one of the texts in `choices` */
    SCHEMA_TEXT_LIST, /* array of texts */
    SCHEMA_OBJECT,    /* object with the members `fields` */
    SCHEMA_MAP, /* object with any member names; each member is an object with
                   the members `fields` */
} SchemaType;

/* A field of an object. A table of fields ends with a NULL name. */
typedef struct SchemaField SchemaField;
struct SchemaField {
    const char *name;
    SchemaType type;
    bool required;
    double min;
    double max;
    const char *const *choices; /* ends with NULL */
    const SchemaField *fields;  /* of SCHEMA_OBJECT and SCHEMA_MAP */
    double default_value;       /* of a number that is not given */
};

/* Fields of the effective configuration. */
extern const SchemaField Schema_Root[];

/* Checks object `value`, which is at `path` in the document, against `fields`.
 * Error messages contain the path and, if `yaml` is not NULL, file and line.
 */
bool Schema_Check(const SchemaField *fields, const json_t *value,
                  const char *path, const GwYaml *yaml, GwError *err);
/* The number in member `name` of `value`, or its default value. */
double Schema_Number(const SchemaField *fields, const json_t *value,
                     const char *name);
/* The fields of the objects in member `name`. */
const SchemaField *Schema_Fields(const SchemaField *fields, const char *name);

#endif
