#include "galenagw/base/event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Enough for a few lines per request at the load of one entry. Ten times that
 * rate is caused by a fault that repeats. */
#define DEFAULT_LINES_PER_S 300
/* Memory limit while nobody reads the log. */
#define DEFAULT_MAX_PENDING_BYTES (256 * 1024)
/* Lines are written in batches, to avoid a system call per line. */
#define FLUSH_THRESHOLD_BYTES (16 * 1024)

struct GwEventLog {
    GwEventLogOptions options;
    GString *pending;  /* lines that are not written yet */
    bool is_line_open; /* between GwEvent_Begin and GwEvent_End of an admitted
                          line */
    GwTime current_second;    /* second of lines_in_second */
    unsigned lines_in_second; /* admitted in current_second */
    uint64_t lines_dropped;
    uint64_t lines_dropped_reported; /* of these, reported in the log */
};

static bool admit_line_(GwEventLog *log);
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
    if (log->options.max_pending_bytes == 0)
        log->options.max_pending_bytes = DEFAULT_MAX_PENDING_BYTES;
    log->pending = g_string_new(NULL);
    // A write to a pipe whose reader is stalled must not block requests.
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
    log->is_line_open = admit_line_(log);
    if (!log->is_line_open)
        return;
    now = g_get_real_time();
    g_string_append_printf(
        log->pending, "{\"time\":%" G_GINT64_FORMAT ".%06d,\"event\":\"%s\"",
        now / GW_SECOND, (int)(now % GW_SECOND), event);
    if (id != NULL)
        GwEvent_Text(log, "id", id);
    if (log->lines_dropped > log->lines_dropped_reported) {
        GwEvent_Number(
            log, "lines_left_out",
            (int64_t)(log->lines_dropped - log->lines_dropped_reported));
        log->lines_dropped_reported = log->lines_dropped;
    }
}

void
GwEvent_Text(GwEventLog *log, const char *name, const char *value)
{
    if (log == NULL || !log->is_line_open || value == NULL)
        return;
    append_name_(log, name);
    g_string_append_c(log->pending, '"');
    append_escaped_(log->pending, value);
    g_string_append_c(log->pending, '"');
}

void
GwEvent_Number(GwEventLog *log, const char *name, int64_t value)
{
    if (log == NULL || !log->is_line_open)
        return;
    append_name_(log, name);
    g_string_append_printf(log->pending, "%" G_GINT64_FORMAT, value);
}

void
GwEvent_Real(GwEventLog *log, const char *name, double value)
{
    if (log == NULL || !log->is_line_open)
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
    if (log == NULL || !log->is_line_open)
        return;
    g_string_append(log->pending, "}\n");
    log->is_line_open = false;
    if (log->pending->len >= FLUSH_THRESHOLD_BYTES)
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
    // The reader has closed its end, or the file failed: the buffer could
    // only grow.
    log->lines_dropped++;
    g_string_truncate(log->pending, 0);
}

uint64_t
GwEventLog_Dropped(const GwEventLog *log)
{
    return log->lines_dropped;
}

// Counts the line against the limits, as admitted or as dropped.
static bool
admit_line_(GwEventLog *log)
{
    GwTime current_second = GwTime_Now() / GW_SECOND;

    if (current_second != log->current_second) {
        log->current_second = current_second;
        log->lines_in_second = 0;
    }
    if (log->lines_in_second < log->options.lines_per_s &&
        log->pending->len < log->options.max_pending_bytes) {
        log->lines_in_second++;
        return true;
    }
    log->lines_dropped++;
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
        // Clients choose some of the texts: bytes above 0x7f may be invalid
        // UTF-8, so each one is written as a code point.
        if (c < 0x20 || c >= 0x7f)
            g_string_append_printf(out, "\\u%04x", c);
        else
            g_string_append_c(out, (char)c);
    }
}
