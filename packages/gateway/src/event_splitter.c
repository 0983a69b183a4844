#include "event_splitter.h"

#include <string.h>

static bool read_event_(GwEventSplitter *s, const char *event, size_t len);
static void note_token_(GwEventSplitter *s);

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
    s->scan = (GwEventScan){0};
    s->n_complete = 0;
    s->has_token = false;
    s->bytes_without_token = 0;
}

bool
GwEventSplitter_Push(GwEventSplitter *s, const char *data, size_t len,
                     GString *out)
{
    size_t n;

    while (GwEventScan_Next(&s->scan, data, len, &n)) {
        size_t bom = GwEventScan_BomLength(&s->scan);

        s->bytes_without_token += n;
        g_string_append_len(s->tail, data, (gssize)n);
        data += n;
        len -= n;
        s->n_complete +=
            read_event_(s, s->tail->str + bom, s->tail->len - bom);
        if (s->has_output)
            g_string_erase(s->tail, 0, (gssize)bom);
        g_string_append_len(out, s->tail->str, (gssize)s->tail->len);
        g_string_truncate(s->tail, 0);
        s->has_output = true;
    }
    s->bytes_without_token += len;
    g_string_append_len(s->tail, data, (gssize)len);
    return s->bytes_without_token <= GW_EVENT_MAX_BYTES;
}

bool
GwEventSplitter_IsInsideEvent(const GwEventSplitter *s)
{
    return GwEventScan_IsInsideEvent(&s->scan);
}

// Stores the id of @p event, if it has one, as the last event id. Returns
// whether it has any field: an empty line or a comment is no event.
static bool
read_event_(GwEventSplitter *s, const char *event, size_t len)
{
    bool has_field = false;
    GwEventField field;

    while (GwEventField_Next(&field, &event, &len)) {
        size_t n = MIN(field.value_len, GW_EVENT_ID_MAX - 1);

        has_field = true;
        if (GwEventField_Is(&field, "data") || GwEventField_Is(&field, "id"))
            note_token_(s);
        if (!GwEventField_Is(&field, "id"))
            continue;
        memcpy(s->last_id, field.value, n);
        s->last_id[n] = '\0';
        g_strchomp(s->last_id);
        s->has_id = true;
    }
    return has_field;
}

static void
note_token_(GwEventSplitter *s)
{
    s->has_token = true;
    s->bytes_without_token = 0;
}
