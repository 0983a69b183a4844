#include "galenagw/http/message.h"

#include <http_parser.h>
#include <string.h>

#define DEFAULT_MAX_HEAD_BYTES (64 * 1024)
/* Bytes of empty lines that are ignored before a message; the parser would
 * ignore any number of them. */
#define MAX_LEADING_LINE_END_BYTES 16

/* Where the name and the value of a header begin in GwHttpHead.text. */
typedef struct {
    guint name;
    guint value;
} FieldOffsets;

#define STATUS_MIN 100
#define STATUS_MAX 599

struct GwHttpReader {
    http_parser parser;
    GwHttpReaderOptions options;
    GwHttpHead head;      /* of the current message */
    size_t head_bytes;    /* received so far, trailers included */
    size_t leading_bytes; /* of empty lines before it */
    bool in_message;      /* the current message has begun */
    /* the parser last reported a piece of a value, not of a name */
    bool in_value;
    bool head_done;      /* the head was read completely */
    bool no_body;        /* see GwHttpReader_ExpectNoBody */
    bool message_done;   /* the message was read completely */
    bool stopped;        /* a callback returned false */
    bool head_above_max; /* the head exceeds options.max_head */
};

const char *const GwHttpProgress_Names[GW_HTTP_PROGRESSES] = {
    [GW_HTTP_MORE] = "more",
    [GW_HTTP_DONE] = "done",
    [GW_HTTP_STOPPED] = "stopped",
    [GW_HTTP_MALFORMED] = "malformed",
    [GW_HTTP_HEAD_TOO_LONG] = "head_too_long",
};

static bool is_status_valid_(const GwHttpReader *reader);
static int on_begin_(http_parser *parser);
static int on_target_(http_parser *parser, const char *at, size_t len);
static int on_name_(http_parser *parser, const char *at, size_t len);
static int on_value_(http_parser *parser, const char *at, size_t len);
static int on_head_(http_parser *parser);
static int on_body_(http_parser *parser, const char *at, size_t len);
static int on_complete_(http_parser *parser);
static void reset_reader_(GwHttpReader *reader);
static bool count_head_bytes_(GwHttpReader *reader, size_t len);
static void terminate_string_(GwHttpReader *reader);
static void set_fields_(GwHttpHead *head);
static bool are_names_without_blanks_(const GwHttpHead *head);

static const http_parser_settings settings = {
    .on_message_begin = on_begin_,
    .on_url = on_target_,
    .on_header_field = on_name_,
    .on_header_value = on_value_,
    .on_headers_complete = on_head_,
    .on_body = on_body_,
    .on_message_complete = on_complete_,
};

const char *
GwHttpHead_Find(const GwHttpHead *head, const char *name)
{
    for (guint i = 0; i < head->n_fields; i++) {
        if (g_ascii_strcasecmp(head->fields[i].name, name) == 0)
            return head->fields[i].value;
    }
    return NULL;
}

GwHttpHead *
GwHttpHead_Copy(const GwHttpHead *head)
{
    GwHttpHead *copy = g_new0(GwHttpHead, 1);

    *copy = *head;
    copy->text = g_string_new_len(head->text->str, (gssize)head->text->len);
    copy->offsets = g_array_sized_new(FALSE, FALSE, sizeof(FieldOffsets),
                                      head->offsets->len);
    g_array_append_vals(copy->offsets, head->offsets->data,
                        head->offsets->len);
    copy->fields = NULL;
    set_fields_(copy);
    return copy;
}

void
GwHttpHead_Free(GwHttpHead *head)
{
    if (head == NULL)
        return;
    g_string_free(head->text, TRUE);
    g_array_unref(head->offsets);
    g_free(head->fields);
    g_free(head);
}

GwHttpReader *
GwHttpReader_New(const GwHttpReaderOptions *options)
{
    GwHttpReader *reader = g_new0(GwHttpReader, 1);

    reader->options = *options;
    if (reader->options.max_head == 0)
        reader->options.max_head = DEFAULT_MAX_HEAD_BYTES;
    reader->head.text = g_string_new(NULL);
    reader->head.offsets = g_array_new(FALSE, FALSE, sizeof(FieldOffsets));
    reset_reader_(reader);
    return reader;
}

void
GwHttpReader_Delete(GwHttpReader *reader)
{
    if (reader == NULL)
        return;
    g_string_free(reader->head.text, TRUE);
    g_array_unref(reader->head.offsets);
    g_free(reader->head.fields);
    g_free(reader);
}

void
GwHttpReader_SetMaxHead(GwHttpReader *reader, size_t max_head)
{
    reader->options.max_head = max_head;
}

GwHttpProgress
GwHttpReader_Feed(GwHttpReader *reader, const char *data, size_t len,
                  size_t *used)
{
    size_t skipped = 0;
    size_t n;

    if (reader->message_done)
        reset_reader_(reader);
    // Empty lines before a message are allowed and ignored.
    while (!reader->in_message && skipped < len &&
           (data[skipped] == '\r' || data[skipped] == '\n'))
        skipped++;
    reader->leading_bytes += skipped;
    *used = skipped;
    if (reader->leading_bytes > MAX_LEADING_LINE_END_BYTES)
        return GW_HTTP_MALFORMED;
    if (skipped == len)
        return GW_HTTP_MORE;
    n = http_parser_execute(&reader->parser, &settings, data + skipped,
                            len - skipped);
    *used += n;
    if (reader->stopped)
        return GW_HTTP_STOPPED;
    if (reader->head_above_max)
        return GW_HTTP_HEAD_TOO_LONG;
    if (reader->message_done)
        return GW_HTTP_DONE;
    if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK || reader->parser.upgrade)
        return GW_HTTP_MALFORMED;
    return GW_HTTP_MORE;
}

GwHttpProgress
GwHttpReader_Finish(GwHttpReader *reader)
{
    if (!reader->in_message || reader->message_done)
        return reader->message_done ? GW_HTTP_DONE : GW_HTTP_MORE;
    http_parser_execute(&reader->parser, &settings, NULL, 0);
    if (reader->message_done)
        return GW_HTTP_DONE;
    return reader->stopped ? GW_HTTP_STOPPED : GW_HTTP_MALFORMED;
}

bool
GwHttpReader_InMessage(const GwHttpReader *reader)
{
    return reader->in_message && !reader->message_done;
}

void
GwHttpReader_ExpectNoBody(GwHttpReader *reader, bool no_body)
{
    reader->no_body = no_body;
}

static int
on_begin_(http_parser *parser)
{
    GwHttpReader *reader = parser->data;

    reader->in_message = true;
    return 0;
}

static int
on_target_(http_parser *parser, const char *at, size_t len)
{
    GwHttpReader *reader = parser->data;

    g_string_append_len(reader->head.text, at, (gssize)len);
    return count_head_bytes_(reader, len) ? 0 : 1;
}

static int
on_name_(http_parser *parser, const char *at, size_t len)
{
    GwHttpReader *reader = parser->data;
    GwHttpHead *head = &reader->head;

    // Trailers of a chunked body are counted and ignored.
    if (reader->head_done)
        return count_head_bytes_(reader, len) ? 0 : 1;
    if (reader->in_value || head->offsets->len == 0) {
        FieldOffsets offsets = {0, 0};

        terminate_string_(reader);
        offsets.name = (guint)head->text->len;
        g_array_append_val(head->offsets, offsets);
        reader->in_value = false;
    }
    g_string_append_len(head->text, at, (gssize)len);
    return count_head_bytes_(reader, len) ? 0 : 1;
}

static int
on_value_(http_parser *parser, const char *at, size_t len)
{
    GwHttpReader *reader = parser->data;
    GwHttpHead *head = &reader->head;

    if (reader->head_done)
        return count_head_bytes_(reader, len) ? 0 : 1;
    if (!reader->in_value) {
        terminate_string_(reader);
        g_array_index(head->offsets, FieldOffsets, head->offsets->len - 1)
            .value = (guint)head->text->len;
        reader->in_value = true;
    }
    g_string_append_len(head->text, at, (gssize)len);
    return count_head_bytes_(reader, len) ? 0 : 1;
}

static int
on_head_(http_parser *parser)
{
    GwHttpReader *reader = parser->data;
    GwHttpHead *head = &reader->head;

    terminate_string_(reader);
    reader->head_done = true;
    head->method = http_method_str((enum http_method)parser->method);
    head->status = parser->status_code;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->accepts_chunks = parser->http_major > 1 || parser->http_minor > 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    head->length = (parser->flags & F_CONTENTLENGTH) != 0
                       ? (int64_t)parser->content_length
                       : -1;
    set_fields_(head);
    if (!are_names_without_blanks_(head) || !is_status_valid_(reader))
        return -1;
    if (!reader->options.ops->on_head(reader->options.user, head)) {
        reader->stopped = true;
        return -1;
    }
    return reader->no_body ? 1 : 0;
}

// A status outside of the five classes is no answer: passed on, it would have
// no meaning that the caller knows.
static bool
is_status_valid_(const GwHttpReader *reader)
{
    return reader->options.reads == GW_HTTP_REQUESTS ||
           (reader->head.status >= STATUS_MIN &&
            reader->head.status <= STATUS_MAX);
}

static int
on_body_(http_parser *parser, const char *at, size_t len)
{
    GwHttpReader *reader = parser->data;

    if (reader->options.ops->on_body(reader->options.user, at, len))
        return 0;
    reader->stopped = true;
    return 1;
}

static int
on_complete_(http_parser *parser)
{
    GwHttpReader *reader = parser->data;

    reader->message_done = true;
    // Following bytes belong to the next message, which must not be parsed
    // before this one has been processed.
    http_parser_pause(parser, 1);
    return 0;
}

static void
reset_reader_(GwHttpReader *reader)
{
    GwHttpHead *head = &reader->head;

    http_parser_init(&reader->parser, reader->options.reads == GW_HTTP_REQUESTS
                                          ? HTTP_REQUEST
                                          : HTTP_RESPONSE);
    reader->parser.data = reader;
    g_string_truncate(head->text, 0);
    g_array_set_size(head->offsets, 0);
    head->n_fields = 0;
    reader->head_bytes = 0;
    reader->leading_bytes = 0;
    reader->in_message = false;
    reader->in_value = false;
    reader->head_done = false;
    reader->no_body = false;
    reader->message_done = false;
    reader->stopped = false;
    reader->head_above_max = false;
}

// Returns false if the head exceeds its maximum size.
static bool
count_head_bytes_(GwHttpReader *reader, size_t len)
{
    reader->head_bytes += len;
    reader->head_above_max = reader->head_bytes > reader->options.max_head;
    return !reader->head_above_max;
}

static void
terminate_string_(GwHttpReader *reader)
{
    g_string_append_c(reader->head.text, '\0');
}

// Sets the pointers into the text, which must not grow any more.
static void
set_fields_(GwHttpHead *head)
{
    head->n_fields = head->offsets->len;
    head->fields = g_renew(GwHttpField, head->fields, head->n_fields + 1);
    head->target = head->text->str;
    for (guint i = 0; i < head->n_fields; i++) {
        const FieldOffsets *o = &g_array_index(head->offsets, FieldOffsets, i);

        head->fields[i].name = head->text->str + o->name;
        // For a header without a value, no value was stored in the text.
        head->fields[i].value = o->value > 0 ? head->text->str + o->value : "";
    }
}

// Debian's build of http_parser accepts blanks in header names. The next
// parser on the path may interpret such a name as a different one, for example
// as Content-Length, and then find the end of the message at another position
// than this reader.
static bool
are_names_without_blanks_(const GwHttpHead *head)
{
    for (guint i = 0; i < head->n_fields; i++) {
        if (strpbrk(head->fields[i].name, " \t") != NULL)
            return false;
    }
    return true;
}
