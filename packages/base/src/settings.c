#include "galenagw/base/settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <inttypes.h>
#include <string.h>

/* argp keys of the settings start above the characters, which argp would take
 * for short options. */
#define FIRST_OPTION_KEY 0x1000
#define MAX_SETTINGS 64

const char *const GwSettingType_Names[GW_SETTING_TYPES] = {
    "text",
    "int",
    "address",
    "flag",
};

/* Printed by argp for --version. */
const char *argp_program_version = "galenagw " GW_VERSION;

typedef struct {
    GwSettingsOptions *options;
    GwError *err;
    bool is_given[MAX_SETTINGS]; /* by row: as flag or variable */
    bool failed;                 /* a flag has an invalid value */
} ParseState;

static error_t parse_option_(int key, char *arg, struct argp_state *state);
static bool assign_value_(const GwSetting *s, void *target, const char *text,
                          const char *source, GwError *err);
static bool assign_int_(const GwSetting *s, int64_t *field, const char *text,
                        const char *source, GwError *err);
static bool read_environment_(ParseState *ps);
static bool check_required_(ParseState *ps);
static void format_env_name_(const char *name, char *out, size_t size);

bool
GwAddress_Equal(const GwAddress *a, const GwAddress *b)
{
    return a->port == b->port && strcmp(a->host, b->host) == 0;
}

bool
GwAddress_Parse(GwAddress *addr, const char *text, GwError *err)
{
    const char *colon = strrchr(text, ':');
    unsigned char raw[16];
    size_t len;
    char *end;
    long port;

    if (colon == NULL)
        return GwError_Set(err, GW_ERROR_USAGE,
                           "address '%s' has no port; write IP:PORT", text);
    len = (size_t)(colon - text);
    if (len > 1 && text[0] == '[' && text[len - 1] == ']') {
        text++;
        len -= 2;
    }
    if (len >= sizeof(addr->host))
        return GwError_Set(err, GW_ERROR_USAGE,
                           "'%s' is too long for an IP address", text);
    memcpy(addr->host, text, len);
    addr->host[len] = '\0';
    if (inet_pton(AF_INET, addr->host, raw) != 1 &&
        inet_pton(AF_INET6, addr->host, raw) != 1)
        return GwError_Set(err, GW_ERROR_USAGE,
                           "'%s' is not an IP address; host names are not "
                           "resolved",
                           addr->host);
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 0 || port > 65535)
        return GwError_Set(
            err, GW_ERROR_USAGE,
            "port '%s' is invalid; use a number from 0 to 65535", colon + 1);
    addr->port = (int)port;
    return true;
}

bool
GwSettings_Parse(GwSettingsOptions *options, int argc, char **argv,
                 GwError *err)
{
    struct argp_option rows[MAX_SETTINGS + 1] = {0};
    ParseState ps = {.options = options, .err = err};
    struct argp argp = {rows,         parse_option_, options->args_doc,
                        options->doc, NULL,          NULL,
                        NULL};
    int n = 0;

    for (const GwSetting *s = options->table; s->name != NULL; s++, n++) {
        g_assert(n < MAX_SETTINGS);
        rows[n].name = s->name;
        rows[n].key = FIRST_OPTION_KEY + n;
        rows[n].arg = s->type == GW_SETTING_FLAG ? NULL : s->value_name;
        rows[n].doc = s->doc;
    }
    if (!read_environment_(&ps))
        return false;
    if (argp_parse(&argp, argc, argv, 0, NULL, &ps) != 0 || ps.failed)
        return false;
    return check_required_(&ps);
}

static error_t
parse_option_(int key, char *arg, struct argp_state *state)
{
    ParseState *ps = state->input;
    const GwSetting *s;

    if (key == ARGP_KEY_ARG) {
        if (ps->options->n_args >= ps->options->max_args)
            return ARGP_ERR_UNKNOWN;
        ps->options->args[ps->options->n_args++] = arg;
        return 0;
    }
    if (key < FIRST_OPTION_KEY || key >= FIRST_OPTION_KEY + MAX_SETTINGS)
        return ARGP_ERR_UNKNOWN;
    s = &ps->options->table[key - FIRST_OPTION_KEY];
    ps->is_given[key - FIRST_OPTION_KEY] = true;
    if (!assign_value_(s, ps->options->target, arg != NULL ? arg : "1", "flag",
                       ps->err)) {
        ps->failed = true;
        return EINVAL;
    }
    return 0;
}

// Sets the field of `s` in `target` from `text`. `source` is "flag" or the
// name of the environment variable, for the error text.
static bool
assign_value_(const GwSetting *s, void *target, const char *text,
              const char *source, GwError *err)
{
    void *field = (char *)target + s->offset;
    GwError why = {0};

    switch (s->type) {
    case GW_SETTING_TEXT:
        *(const char **)field = text;
        return true;
    case GW_SETTING_ADDRESS:
        if (GwAddress_Parse(field, text, &why))
            return true;
        return GwError_Set(err, GW_ERROR_USAGE, "%s --%s: %s", source, s->name,
                           why.message);
    default:
        return assign_int_(s, field, text, source, err);
    }
}

static bool
assign_int_(const GwSetting *s, int64_t *field, const char *text,
            const char *source, GwError *err)
{
    gint64 value;

    if (!g_ascii_string_to_signed(text, 10, s->min, s->max, &value, NULL))
        return GwError_Set(err, GW_ERROR_USAGE,
                           "%s --%s: '%s' is not a whole number from %" PRId64
                           " to %" PRId64 "; use one",
                           source, s->name, text, s->min, s->max);
    *field = value;
    return true;
}

static bool
read_environment_(ParseState *ps)
{
    char name[128];
    int i = 0;

    for (const GwSetting *s = ps->options->table; s->name; s++, i++) {
        const char *text;

        format_env_name_(s->name, name, sizeof(name));
        text = getenv(name);
        if (text == NULL)
            continue;
        ps->is_given[i] = true;
        if (!assign_value_(s, ps->options->target, text, name, ps->err))
            return false;
    }
    return true;
}

// Whether all required settings are given.
static bool
check_required_(ParseState *ps)
{
    char name[128];
    int i = 0;

    for (const GwSetting *s = ps->options->table; s->name; s++, i++) {
        if (!s->required || ps->is_given[i])
            continue;
        format_env_name_(s->name, name, sizeof(name));
        return GwError_Set(ps->err, GW_ERROR_USAGE,
                           "--%s is missing; give the flag or set %s", s->name,
                           name);
    }
    return true;
}

// Writes the environment variable of setting `name`, such as
// GALENAGW_FAILURE_DOMAIN for "failure-domain".
static void
format_env_name_(const char *name, char *out, size_t size)
{
    g_snprintf(out, size, "GALENAGW_%s", name);
    for (char *c = out; *c != '\0'; c++)
        *c = *c == '-' ? '_' : g_ascii_toupper(*c);
}
