#include "galenagw/base/log.h"

#include <stdio.h>
#include <string.h>

static const struct {
    const char *name;
    GLogLevelFlags level;
} log_levels[] = {
    {"error", G_LOG_LEVEL_CRITICAL},
    {"warning", G_LOG_LEVEL_WARNING},
    {"info", G_LOG_LEVEL_INFO},
    {"debug", G_LOG_LEVEL_DEBUG},
};

/* g_log_set_writer_func may be called only once. */
static bool writer_installed = false;
/* Least severe level that is written. */
static GLogLevelFlags level_threshold = G_LOG_LEVEL_INFO;

static GLogWriterOutput write_line_(GLogLevelFlags level,
                                    const GLogField *fields, gsize n,
                                    gpointer user);

bool
GwLog_Init(const char *level, GwError *err)
{
    for (size_t i = 0; i < G_N_ELEMENTS(log_levels); i++) {
        if (strcmp(log_levels[i].name, level) != 0)
            continue;
        level_threshold = log_levels[i].level;
        if (!writer_installed)
            g_log_set_writer_func(write_line_, NULL, NULL);
        writer_installed = true;
        return true;
    }
    return GwError_Set(err, GW_ERROR_USAGE,
                       "--log-level: '%s' is not a level; use error, warning, "
                       "info or debug",
                       level);
}

static GLogWriterOutput
write_line_(GLogLevelFlags level, const GLogField *fields, gsize n,
            gpointer user)
{
    const char *domain = "galenagw";
    const char *message = "";
    g_autoptr(GDateTime) now = NULL;
    g_autofree char *stamp = NULL;

    // In GLib, a larger value is a less severe level.
    if ((level & G_LOG_LEVEL_MASK) > level_threshold)
        return G_LOG_WRITER_HANDLED;
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, "GLIB_DOMAIN") == 0)
            domain = fields[i].value;
        else if (strcmp(fields[i].key, "MESSAGE") == 0)
            message = fields[i].value;
    }
    now = g_date_time_new_now_utc();
    stamp = g_date_time_format(now, "%H:%M:%S.%f");
    fprintf(stderr, "%s %s: %s\n", stamp, domain, message);
    return G_LOG_WRITER_HANDLED;
}
