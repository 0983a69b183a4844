#include "galenagw/http/events.h"

#include <string.h>

static const char byte_order_mark[] = {'\xEF', '\xBB', '\xBF'};

static bool scan_byte_order_mark_(GwEventScan *scan, char c);
static bool end_event_(GwEventScan *scan, size_t at, size_t *n);
static size_t line_length_(const char *data, size_t len);

bool
GwEventScan_Next(GwEventScan *scan, const char *data, size_t len, size_t *n)
{
    for (size_t i = 0; i < len; i++) {
        char c = data[i];

        if (!scan->has_begun && scan_byte_order_mark_(scan, c))
            continue;
        if (c == '\n' && scan->is_after_cr) {
            scan->is_after_cr = false;
            scan->is_after_crlf = true;
            if (scan->is_end_due || !scan->is_inside)
                return end_event_(scan, i + 1, n);
            continue;
        }
        scan->is_after_cr = false;
        if (scan->is_end_due)
            return end_event_(scan, i, n);
        if (c != '\n' && c != '\r') {
            scan->is_inside = true;
            scan->is_in_line = true;
            continue;
        }
        scan->is_after_cr = c == '\r';
        if (scan->is_in_line) {
            scan->is_in_line = false;
            scan->is_after_crlf = false;
            continue;
        }
        // Where lines end with CR alone, the event must not wait for the byte
        // behind it.
        if (c == '\r' &&
            (i + 1 < len ? data[i + 1] == '\n' : scan->is_after_crlf)) {
            scan->is_inside = true;
            scan->is_end_due = true;
            continue;
        }
        return end_event_(scan, i + 1, n);
    }
    *n = len;
    return false;
}

bool
GwEventScan_IsInsideEvent(const GwEventScan *scan)
{
    return scan->is_inside || (!scan->has_begun && scan->n_bom > 0);
}

size_t
GwEventScan_BomLength(const GwEventScan *scan)
{
    return scan->n_ends == 1 ? scan->n_bom : 0;
}

bool
GwEventField_Next(GwEventField *field, const char **event, size_t *len)
{
    while (*len > 0) {
        const char *line = *event;
        size_t n = line_length_(line, *len);
        size_t used = n < *len ? n + 1 : n;
        const char *colon = memchr(line, ':', n);

        *event += used;
        *len -= used;
        if (n == 0 || colon == line)
            continue;
        field->name = line;
        field->name_len = colon != NULL ? (size_t)(colon - line) : n;
        field->value = line + field->name_len + (colon != NULL);
        field->value_len = (size_t)(line + n - field->value);
        if (field->value_len > 0 && *field->value == ' ') {
            field->value++;
            field->value_len--;
        }
        return true;
    }
    return false;
}

bool
GwEventField_Is(const GwEventField *field, const char *name)
{
    return field->name_len == strlen(name) &&
           memcmp(field->name, name, field->name_len) == 0;
}

// Whether @p c belongs to a byte order mark. Bytes that only begin like one
// belong to the first line.
static bool
scan_byte_order_mark_(GwEventScan *scan, char c)
{
    if (c == byte_order_mark[scan->n_bom]) {
        scan->n_bom++;
        scan->has_begun = scan->n_bom == sizeof(byte_order_mark);
        return true;
    }
    scan->has_begun = true;
    scan->is_inside = scan->n_bom > 0;
    scan->is_in_line = scan->n_bom > 0;
    scan->n_bom = 0;
    return false;
}

static bool
end_event_(GwEventScan *scan, size_t at, size_t *n)
{
    scan->n_ends++;
    scan->is_inside = false;
    scan->is_in_line = false;
    scan->is_after_crlf = false;
    scan->is_end_due = false;
    *n = at;
    return true;
}

static size_t
line_length_(const char *data, size_t len)
{
    size_t n = 0;

    while (n < len && data[n] != '\n' && data[n] != '\r')
        n++;
    return n;
}
