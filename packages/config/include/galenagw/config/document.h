/**
 * @defgroup document Configuration documents
 * @brief YAML in, JSON inside: load, merge, diff.
 *
 * A document is a JSON object with the members `base` (the base file) and
 * `sites` (an overlay per site). The effective configuration of a site is
 * the base with its overlay applied as a JSON merge patch (RFC 7386).
 * @{
 */
#ifndef GALENAGW_CONFIG_DOCUMENT_H
#define GALENAGW_CONFIG_DOCUMENT_H

#include <glib.h>
#include <jansson.h>

#include "galenagw/base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A loaded YAML file: its value and where each member stands. */
typedef struct {
    json_t *value;
    GHashTable *lines; /**< "a.b.c" to line number, 1-based */
    char *file;
} GwYaml;

/** Load a file. @return false with @p err naming file and line. */
bool GwYaml_LoadFile(GwYaml *yaml, const char *file, GwError *err);
/** Load text; @p file is used in messages only. */
bool GwYaml_LoadText(GwYaml *yaml, const char *text, const char *file,
                     GwError *err);
void GwYaml_Finish(GwYaml *yaml);
/** Line of @p path, or of its nearest ancestor; 0 if none. */
int GwYaml_Line(const GwYaml *yaml, const char *path);

/** @return a new reference: @p target with @p patch applied. */
json_t *GwDocument_Merge(const json_t *target, const json_t *patch);
/** @return a new reference: the patch that turns @p from into @p to. */
json_t *GwDocument_Diff(const json_t *from, const json_t *to);
/** @return a new reference: the configuration in force at @p site. */
json_t *GwDocument_Effective(const json_t *document, const char *site);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
