#include "galenagw/config/document.h"

#include <libfyaml.h>
#include <string.h>

/* A conversion from YAML to JSON that is in progress. */
typedef struct {
    GwYaml *yaml;  /* receives the lines */
    GString *path; /* of the current node, "a.b.c" */
} YamlConversion;

static json_t *convert_node_(YamlConversion *conversion, struct fy_node *node);
static json_t *convert_mapping_(YamlConversion *conversion,
                                struct fy_node *node);
static json_t *convert_sequence_(YamlConversion *conversion,
                                 struct fy_node *node);
static json_t *convert_scalar_(struct fy_node *node);
static void record_line_(YamlConversion *conversion, struct fy_node *node);
static const char *strip_buffer_name_(char *report);
static void append_diagnostic_(struct fy_diag *diag, void *user,
                               const char *buf, size_t len);

bool
GwYaml_LoadFile(GwYaml *yaml, const char *file, GwError *err)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) why = NULL;

    if (!g_file_get_contents(file, &text, NULL, &why))
        return GwError_Set(err, GW_ERROR_CONFIG,
                           "%s; check the path and its permissions",
                           why->message);
    return GwYaml_LoadText(yaml, text, file, err);
}

bool
GwYaml_LoadText(GwYaml *yaml, const char *text, const char *file, GwError *err)
{
    struct fy_diag_cfg diag_cfg;
    struct fy_parse_cfg cfg = {0};
    struct fy_document *doc;
    g_autoptr(GString) report = g_string_new(NULL);
    YamlConversion conversion = {yaml, NULL};

    memset(yaml, 0, sizeof(*yaml));
    fy_diag_cfg_default(&diag_cfg);
    diag_cfg.fp = NULL;
    diag_cfg.output_fn = append_diagnostic_;
    diag_cfg.user = report;
    diag_cfg.colorize = false;
    cfg.diag = fy_diag_create(&diag_cfg);
    doc = fy_document_build_from_string(&cfg, text, FY_NT);
    if (doc == NULL) {
        fy_diag_destroy(cfg.diag);
        return GwError_Set(err, GW_ERROR_CONFIG,
                           "%s%s; not valid YAML: correct the syntax", file,
                           strip_buffer_name_(report->str));
    }
    yaml->file = g_strdup(file);
    yaml->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    conversion.path = g_string_new(NULL);
    yaml->value = convert_node_(&conversion, fy_document_root(doc));
    g_string_free(conversion.path, TRUE);
    fy_document_destroy(doc);
    fy_diag_destroy(cfg.diag);
    return true;
}

void
GwYaml_Clear(GwYaml *yaml)
{
    json_decref(yaml->value);
    if (yaml->lines != NULL)
        g_hash_table_unref(yaml->lines);
    g_free(yaml->file);
    memset(yaml, 0, sizeof(*yaml));
}

int
GwYaml_Line(const GwYaml *yaml, const char *path)
{
    g_autofree char *at = g_strdup(path);

    for (;;) {
        gpointer line = g_hash_table_lookup(yaml->lines, at);
        char *dot;

        if (line != NULL)
            return GPOINTER_TO_INT(line);
        dot = strrchr(at, '.');
        if (dot == NULL)
            return 0;
        *dot = '\0';
    }
}

json_t *
GwDocument_Merge(const json_t *target, const json_t *patch)
{
    json_t *out;
    const char *key;
    json_t *value;

    if (!json_is_object(patch))
        return json_deep_copy(patch);
    out = json_is_object(target) ? json_deep_copy(target) : json_object();
    json_object_foreach((json_t *)patch, key, value)
    {
        if (json_is_null(value))
            json_object_del(out, key);
        else
            json_object_set_new(
                out, key, GwDocument_Merge(json_object_get(out, key), value));
    }
    return out;
}

json_t *
GwDocument_Diff(const json_t *from, const json_t *to)
{
    json_t *patch = json_object();
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)from, key, value)
    {
        if (json_object_get(to, key) == NULL)
            json_object_set_new(patch, key, json_null());
    }
    json_object_foreach((json_t *)to, key, value)
    {
        json_t *old = json_object_get(from, key);

        if (json_equal(old, value))
            continue;
        if (json_is_object(old) && json_is_object(value))
            json_object_set_new(patch, key, GwDocument_Diff(old, value));
        else
            json_object_set_new(patch, key, json_deep_copy(value));
    }
    return patch;
}

json_t *
GwDocument_Effective(const json_t *document, const char *site)
{
    const json_t *base = json_object_get(document, "base");
    const json_t *sites = json_object_get(document, "sites");
    const json_t *overlay = json_object_get(sites, site);

    if (overlay == NULL)
        return base != NULL ? json_deep_copy(base) : json_object();
    return GwDocument_Merge(base, overlay);
}

static json_t *
convert_node_(YamlConversion *conversion, struct fy_node *node)
{
    if (node == NULL)
        return json_null();
    record_line_(conversion, node);
    if (fy_node_is_mapping(node))
        return convert_mapping_(conversion, node);
    if (fy_node_is_sequence(node))
        return convert_sequence_(conversion, node);
    return convert_scalar_(node);
}

static json_t *
convert_mapping_(YamlConversion *conversion, struct fy_node *node)
{
    json_t *out = json_object();
    struct fy_node_pair *pair;
    void *it = NULL;

    while ((pair = fy_node_mapping_iterate(node, &it)) != NULL) {
        struct fy_node *key = fy_node_pair_key(pair);
        gsize len = conversion->path->len;
        const char *name = fy_node_get_scalar0(key);

        if (name == NULL)
            continue;
        g_string_append_printf(conversion->path, "%s%s", len > 0 ? "." : "",
                               name);
        record_line_(conversion, key);
        json_object_set_new(
            out, name, convert_node_(conversion, fy_node_pair_value(pair)));
        g_string_truncate(conversion->path, len);
    }
    return out;
}

static json_t *
convert_sequence_(YamlConversion *conversion, struct fy_node *node)
{
    json_t *out = json_array();
    struct fy_node *item;
    void *it = NULL;

    while ((item = fy_node_sequence_iterate(node, &it)) != NULL)
        json_array_append_new(out, convert_node_(conversion, item));
    return out;
}

// Quoted scalars are texts; plain ones may be null, booleans or numbers.
static json_t *
convert_scalar_(struct fy_node *node)
{
    const char *text = fy_node_get_scalar0(node);
    gint64 integer;
    char *end;
    double real;

    if (text == NULL)
        return json_null();
    if (fy_node_get_style(node) != FYNS_PLAIN)
        return json_string(text);
    if (text[0] == '\0' || strcmp(text, "null") == 0 || strcmp(text, "~") == 0)
        return json_null();
    if (strcmp(text, "true") == 0)
        return json_true();
    if (strcmp(text, "false") == 0)
        return json_false();
    if (g_ascii_string_to_signed(text, 10, G_MININT64, G_MAXINT64, &integer,
                                 NULL))
        return json_integer(integer);
    real = g_ascii_strtod(text, &end);
    if (*end == '\0' && end != text && strpbrk(text, "xXnN") == NULL)
        return json_real(real);
    return json_string(text);
}

// Records the line of `node` as the line of the current path.
static void
record_line_(YamlConversion *conversion, struct fy_node *node)
{
    struct fy_token *token = fy_node_get_scalar_token(node);
    const struct fy_mark *mark =
        token != NULL ? fy_token_start_mark(token) : NULL;

    if (mark == NULL)
        return;
    // The line of the key was recorded before the line of its value. It is
    // the line that an operator looks for.
    if (g_hash_table_contains(conversion->yaml->lines, conversion->path->str))
        return;
    g_hash_table_insert(conversion->yaml->lines,
                        g_strdup(conversion->path->str),
                        GINT_TO_POINTER(mark->line + 1));
}

// A report of the YAML library starts with the name of its buffer, in angle
// brackets, followed by ":LINE:COLUMN: error: ...". Returns the first line
// without the buffer name, to be appended to the file name.
static const char *
strip_buffer_name_(char *report)
{
    char *at = strchr(report, '>');

    report[strcspn(report, "\n")] = '\0';
    return at != NULL ? at + 1 : report;
}

// Output function of the YAML library: appends to the report, a GString.
static void
append_diagnostic_(struct fy_diag *diag, void *user, const char *buf,
                   size_t len)
{
    g_string_append_len(user, buf, (gssize)len);
}
