#include "event_splitter.h"

#include <string.h>

#define ID_FIELD "id:"

static void store_last_id_(GwEventSplitter *s, const char *event, size_t len);
static size_t event_length_(const char *data, size_t len);
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
}

void
GwEventSplitter_Push(GwEventSplitter *s, const char *data, size_t len,
                     GString *out)
{
    size_t at = 0;
    size_t n;

    g_string_append_len(s->tail, data, (gssize)len);
    while ((n = event_length_(s->tail->str + at, s->tail->len - at)) > 0) {
        // An empty line that follows an event is not an event.
        if (!is_line_end_(s->tail->str[at])) {
            store_last_id_(s, s->tail->str + at, n);
            s->n_complete++;
        }
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
// Lines end with LF, CR or CRLF.
static size_t
event_length_(const char *data, size_t len)
{
    size_t line = 0;
    bool after_crlf = false;

    for (size_t i = 0; i < len; i++) {
        size_t at = i;
        bool is_crlf;

        if (!is_line_end_(data[at]))
            continue;
        is_crlf = data[at] == '\r' && at + 1 < len && data[at + 1] == '\n';
        // Where lines end with CRLF, the LF of this one is still missing.
        if (after_crlf && data[at] == '\r' && at + 1 == len)
            return 0;
        i += is_crlf;
        if (at == line)
            return i + 1;
        line = i + 1;
        after_crlf = is_crlf;
    }
    return 0;
}

// Stores the id of @p event, if it has one, as the last event id.
static void
store_last_id_(GwEventSplitter *s, const char *event, size_t len)
{
    const char *limit = event + len;

    while (event < limit) {
        const char *end = event;

        while (end < limit && !is_line_end_(*end))
            end++;
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
}

static bool
is_line_end_(char c)
{
    return c == '\n' || c == '\r';
}
