#include "event_splitter.h"

#include <string.h>

#define ID_FIELD "id:"

static size_t event_length_(const char *data, size_t len, GwEventScan *scan);
static bool read_event_(GwEventSplitter *s, const char *event, size_t len);
static bool is_line_end_(char c);

void
GwEventSplitter_Init(GwEventSplitter *s)
{
    memset(s, 0, sizeof(*s));
    s->tail = g_string_new(NULL);
}

void
GwEventSplitter_Clear(GwEventSplitter *s)
{
    if (s->tail != NULL)
        g_string_free(s->tail, TRUE);
    s->tail = NULL;
}

void
GwEventSplitter_Restart(GwEventSplitter *s)
{
    g_string_truncate(s->tail, 0);
    s->scanned = (GwEventScan){0};
    s->n_complete = 0;
}

void
GwEventSplitter_Push(GwEventSplitter *s, const char *data, size_t len,
                     GString *out)
{
    size_t at = 0;
    size_t n;

    g_string_append_len(s->tail, data, (gssize)len);
    while ((n = event_length_(s->tail->str + at, s->tail->len - at,
                              &s->scanned)) > 0) {
        s->n_complete += read_event_(s, s->tail->str + at, n);
        at += n;
    }
    g_string_append_len(out, s->tail->str, (gssize)at);
    g_string_erase(s->tail, 0, (gssize)at);
}

bool
GwEventSplitter_IsInsideEvent(const GwEventSplitter *s)
{
    return s->tail->len > 0;
}

// Length of the first event, with the empty line that ends it; 0: incomplete.
// Lines end with LF, CR or CRLF. Continues behind the bytes that were scanned
// before, as an event may arrive in many pieces.
static size_t
event_length_(const char *data, size_t len, GwEventScan *scan)
{
    for (size_t i = scan->n; i < len; i++) {
        bool is_empty = i == scan->line;
        size_t end = i + 1;

        if (!is_line_end_(data[i]))
            continue;
        // A LF may follow and belong to this line end. Where lines end with CR
        // alone, the event is complete without it.
        if (data[i] == '\r' && end == len &&
            (!is_empty || scan->is_after_crlf)) {
            scan->n = i;
            return 0;
        }
        scan->is_after_crlf =
            data[i] == '\r' && end < len && data[end] == '\n';
        end += scan->is_after_crlf;
        if (is_empty) {
            *scan = (GwEventScan){0};
            return end;
        }
        scan->line = end;
        i = end - 1;
    }
    scan->n = len;
    return 0;
}

// Stores the id of @p event, if it has one, as the last event id. Returns
// whether it has any field: an empty line or a comment is no event.
static bool
read_event_(GwEventSplitter *s, const char *event, size_t len)
{
    const char *limit = event + len;
    bool has_field = false;

    while (event < limit) {
        const char *end = event;

        while (end < limit && !is_line_end_(*end))
            end++;
        has_field = has_field || (end > event && *event != ':');
        if ((size_t)(end - event) >= strlen(ID_FIELD) &&
            strncmp(event, ID_FIELD, strlen(ID_FIELD)) == 0) {
            size_t n;

            event += strlen(ID_FIELD);
            event += *event == ' ';
            n = MIN((size_t)(end - event), GW_EVENT_ID_MAX - 1);
            memcpy(s->last_id, event, n);
            s->last_id[n] = '\0';
            g_strchomp(s->last_id);
            s->has_id = true;
        }
        event = end + 1;
    }
    return has_field;
}

static bool
is_line_end_(char c)
{
    return c == '\n' || c == '\r';
}
