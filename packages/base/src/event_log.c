#include "galenagw/base/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* A few lines for each request at the load of one entry; ten times that is
 * a fault that repeats itself. */
#define DEFAULT_LINES_PER_S 300
#define DEFAULT_PENDING (256 * 1024)
/* Written at once, so that a line costs no system call of its own. */
#define WRITE_ABOVE (16 * 1024)

struct GwEventLog {
    GwEventLogOptions options;
    GString *pending;
    bool in_line;  /* the line begun is kept */
    GwTime second; /* the one that lines are counted in */
    unsigned lines;
    uint64_t dropped;
    uint64_t dropped_told;
};

static bool may_begin_(GwEventLog *log);
static void append_name_(GwEventLog *log, const char *name);
static void append_escaped_(GString *out, const char *text);

GwEventLog *
GwEventLog_New(const GwEventLogOptions *options)
{
    GwEventLog *log = g_new0(GwEventLog, 1);
    int flags;

    log->options = *options;
    if (log->options.lines_per_s == 0)
        log->options.lines_per_s = DEFAULT_LINES_PER_S;
    if (log->options.max_pending == 0)
        log->options.max_pending = DEFAULT_PENDING;
    log->pending = g_string_new(NULL);
    // A reader that stands still must not hold up requests.
    flags = fcntl(options->fd, F_GETFL);
    if (flags >= 0)
        fcntl(options->fd, F_SETFL, flags | O_NONBLOCK);
    return log;
}

void
GwEventLog_Delete(GwEventLog *log)
{
    if (log == NULL)
        return;
    GwEventLog_Flush(log);
    g_string_free(log->pending, TRUE);
    g_free(log);
}

void
GwEvent_Begin(GwEventLog *log, const char *event, const char *id)
{
    int64_t now;

    if (log == NULL)
        return;
    log->in_line = may_begin_(log);
    if (!log->in_line)
        return;
    now = g_get_real_time();
    g_string_append_printf(
        log->pending, "{\"time\":%" G_GINT64_FORMAT ".%06d,\"event\":\"%s\"",
        now / GW_SECOND, (int)(now % GW_SECOND), event);
    if (id != NULL)
        GwEvent_Text(log, "id", id);
    if (log->dropped > log->dropped_told) {
        GwEvent_Number(log, "lines_left_out",
                       (int64_t)(log->dropped - log->dropped_told));
        log->dropped_told = log->dropped;
    }
}

void
GwEvent_Text(GwEventLog *log, const char *name, const char *value)
{
    if (log == NULL || !log->in_line || value == NULL)
        return;
    append_name_(log, name);
    g_string_append_c(log->pending, '"');
    append_escaped_(log->pending, value);
    g_string_append_c(log->pending, '"');
}

void
GwEvent_Number(GwEventLog *log, const char *name, int64_t value)
{
    if (log == NULL || !log->in_line)
        return;
    append_name_(log, name);
    g_string_append_printf(log->pending, "%" G_GINT64_FORMAT, value);
}

void
GwEvent_Real(GwEventLog *log, const char *name, double value)
{
    if (log == NULL || !log->in_line)
        return;
    append_name_(log, name);
    g_string_append_printf(log->pending, "%.3f", value);
}

void
GwEvent_Time(GwEventLog *log, const char *name, GwTime value)
{
    GwEvent_Real(log, name, (double)value / (double)GW_MILLISECOND);
}

void
GwEvent_End(GwEventLog *log)
{
    if (log == NULL || !log->in_line)
        return;
    g_string_append(log->pending, "}\n");
    log->in_line = false;
    if (log->pending->len >= WRITE_ABOVE)
        GwEventLog_Flush(log);
}

void
GwEventLog_Flush(GwEventLog *log)
{
    ssize_t n;

    if (log->pending->len == 0)
        return;
    n = write(log->options.fd, log->pending->str, log->pending->len);
    if (n > 0) {
        g_string_erase(log->pending, 0, n);
        return;
    }
    if (errno == EAGAIN || errno == EINTR)
        return;
    // Nobody can read it any more; keeping it would only cost memory.
    log->dropped++;
    g_string_truncate(log->pending, 0);
}

uint64_t
GwEventLog_Dropped(const GwEventLog *log)
{
    return log->dropped;
}

static bool
may_begin_(GwEventLog *log)
{
    GwTime second = GwTime_Now() / GW_SECOND;

    if (second != log->second) {
        log->second = second;
        log->lines = 0;
    }
    if (log->lines < log->options.lines_per_s &&
        log->pending->len < log->options.max_pending) {
        log->lines++;
        return true;
    }
    log->dropped++;
    return false;
}

static void
append_name_(GwEventLog *log, const char *name)
{
    g_string_append_printf(log->pending, ",\"%s\":", name);
}

static void
append_escaped_(GString *out, const char *text)
{
    for (; *text != '\0'; text++) {
        unsigned char c = (unsigned char)*text;

        if (c == '"' || c == '\\')
            g_string_append_c(out, '\\');
        // Bytes above 0x7f need not be UTF-8: a caller chose them.
        if (c < 0x20 || c >= 0x7f)
            g_string_append_printf(out, "\\u%04x", c);
        else
            g_string_append_c(out, (char)c);
    }
}
