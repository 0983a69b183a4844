/**
 * @defgroup document Configuration documents
 * @brief Load configuration from YAML; merge and compare JSON documents.
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

/** A loaded YAML file: its value and the line of each member. */
typedef struct {
    json_t *value;     /**< content as JSON */
    GHashTable *lines; /**< path ("a.b.c") to line number, 1-based */
    char *file;        /**< file name for error messages */
} GwYaml;

/**
 * Load a file.
 * @return false, with @p err set to the file and, for invalid YAML, the line
 */
bool GwYaml_LoadFile(GwYaml *yaml, const char *file, GwError *err);
/** As GwYaml_LoadFile, but from @p text; @p file is used in messages only. */
bool GwYaml_LoadText(GwYaml *yaml, const char *text, const char *file,
                     GwError *err);
/** Free the content of @p yaml, and zero it. */
void GwYaml_Clear(GwYaml *yaml);
/** Line of the member at @p path or of its nearest ancestor; 0: unknown. */
int GwYaml_Line(const GwYaml *yaml, const char *path);

/** @return a new document: @p target with merge patch @p patch applied */
json_t *GwDocument_Merge(const json_t *target, const json_t *patch);
/** @return a new merge patch that changes @p from into @p to */
json_t *GwDocument_Diff(const json_t *from, const json_t *to);
/** @return a new document: the effective configuration of @p site */
json_t *GwDocument_Effective(const json_t *document, const char *site);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
