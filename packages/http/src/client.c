#include "galenagw/http/client.h"

#include <string.h>

#include "galenagw/http/message.h"
#include "galenagw/net/tcp.h"

/* Time without received data after which a request ends. */
#define DEFAULT_TIMEOUT (30 * GW_SECOND)
/* Bytes of interim answers after which a request ends as broken. */
#define INTERIM_BYTES_MAX (64 * 1024)

const char *const GwHttpOutcome_Names[GW_HTTP_OUTCOMES] = {
    "complete",
    "not_sent",
    "broken",
    "timeout",
};

struct GwHttpRequest {
    GwTcp *tcp;
    GwHttpReader *reader;
    const GwHttpRequestOps *ops;
    void *user;
    GString *message; /* the request as sent */
    GwTimer timer;    /* idle timeout */
    GwTime timeout;
    size_t max_body;      /* 0: no limit */
    size_t body_bytes;    /* received so far */
    size_t interim_bytes; /* received so far */
    bool has_no_body;     /* the answer to HEAD */
    bool is_open;         /* the connection is established */
    bool is_skipping;     /* the current answer is interim */
    bool done;          /* on_done was called, or the request was cancelled */
    int callback_depth; /* above 0 the request must not be freed */
};

static GString *encode_request_(const GwHttpRequestOptions *options);
static void on_timeout_(void *user);
static void on_open_(void *user);
static void on_data_(void *user, const uint8_t *data, size_t len);
static void on_closed_(void *user, GwTcpEnd end);
static bool on_head_(void *user, const GwHttpHead *head);
static bool on_body_(void *user, const char *data, size_t len);
static void read_answer_(GwHttpRequest *req, const char *data, size_t len);
static void finish_request_(GwHttpRequest *req, GwHttpOutcome outcome);
static void end_request_(GwHttpRequest *req);
static void free_ended_(GwHttpRequest *req);

static const GwTcpOps tcp_ops = {on_open_, on_data_, on_closed_, NULL};
static const GwHttpReaderOps reader_ops = {on_head_, on_body_};

GwHttpRequest *
GwHttpRequest_New(GwLoop *loop, const GwHttpRequestOptions *options)
{
    GwHttpRequest *req = g_new0(GwHttpRequest, 1);
    GwHttpReaderOptions reader = {
        .reads = GW_HTTP_RESPONSES, .ops = &reader_ops, .user = req};

    req->ops = options->ops;
    req->user = options->user;
    req->message = encode_request_(options);
    req->has_no_body = strcmp(options->method, "HEAD") == 0;
    req->max_body = options->max_body;
    req->timeout = options->timeout > 0 ? options->timeout : DEFAULT_TIMEOUT;
    req->reader = GwHttpReader_New(&reader);
    GwTimer_Init(&req->timer, loop, on_timeout_, req);
    GwTimer_Start(&req->timer, req->timeout);
    req->tcp = GwTcp_Connect(loop, &options->address, &tcp_ops, req);
    return req;
}

void
GwHttpRequest_Cancel(GwHttpRequest *req)
{
    if (req == NULL || req->done)
        return;
    end_request_(req);
    free_ended_(req);
}

void
GwHttpRequest_Pause(GwHttpRequest *req, bool pause)
{
    if (req->tcp != NULL)
        GwTcp_Pause(req->tcp, pause);
}

static GString *
encode_request_(const GwHttpRequestOptions *options)
{
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "%s %s HTTP/1.1\r\nHost: %s:%d\r\n"
                    "Connection: close\r\n",
                    options->method, options->path, options->address.host,
                    options->address.port);
    if (options->authorization != NULL)
        g_string_append_printf(out, "Authorization: %s\r\n",
                               options->authorization);
    if (options->header_name != NULL)
        g_string_append_printf(out, "%s: %s\r\n", options->header_name,
                               options->header_value);
    if (options->body_len > 0)
        g_string_append_printf(out, "Content-Type: %s\r\n",
                               options->content_type != NULL
                                   ? options->content_type
                                   : "application/json");
    if (options->body_len > 0 || strcmp(options->method, "POST") == 0 ||
        strcmp(options->method, "PUT") == 0)
        g_string_append_printf(out, "Content-Length: %zu\r\n",
                               options->body_len);
    g_string_append(out, "\r\n");
    if (options->body_len > 0)
        g_string_append_len(out, options->body, (gssize)options->body_len);
    return out;
}

static void
on_timeout_(void *user)
{
    GwHttpRequest *req = user;

    finish_request_(req, req->is_open ? GW_HTTP_TIMEOUT : GW_HTTP_NOT_SENT);
}

static void
on_open_(void *user)
{
    GwHttpRequest *req = user;

    req->is_open = true;
    GwTcp_Write(req->tcp, (const uint8_t *)req->message->str,
                req->message->len);
}

static void
on_data_(void *user, const uint8_t *data, size_t len)
{
    GwHttpRequest *req = user;

    GwTimer_Start(&req->timer, req->timeout);
    req->callback_depth++;
    read_answer_(req, (const char *)data, len);
    req->callback_depth--;
    free_ended_(req);
}

// An answer without length and chunks is complete after an orderly close of
// its connection only.
static void
on_closed_(void *user, GwTcpEnd end)
{
    GwHttpRequest *req = user;
    bool is_complete = end == GW_TCP_FINISHED && !req->is_skipping &&
                       GwHttpReader_Finish(req->reader) == GW_HTTP_DONE;

    req->tcp = NULL;
    finish_request_(req, is_complete    ? GW_HTTP_COMPLETE
                         : req->is_open ? GW_HTTP_BROKEN
                                        : GW_HTTP_NOT_SENT);
}

static bool
on_head_(void *user, const GwHttpHead *head)
{
    GwHttpRequest *req = user;
    const char *type = GwHttpHead_Find(head, "Content-Type");

    // An interim answer is ignored; the final one follows.
    req->is_skipping = head->status < 200;
    if (req->is_skipping)
        return true;
    GwHttpReader_ExpectNoBody(req->reader, req->has_no_body);
    if (req->ops->on_head != NULL)
        req->ops->on_head(req->user, head->status, type != NULL ? type : "");
    return !req->done;
}

static bool
on_body_(void *user, const char *data, size_t len)
{
    GwHttpRequest *req = user;

    if (req->is_skipping || req->done)
        return !req->done;
    req->body_bytes += len;
    if (req->max_body > 0 && req->body_bytes > req->max_body)
        return false;
    req->ops->on_data(req->user, data, len);
    return !req->done;
}

static void
read_answer_(GwHttpRequest *req, const char *data, size_t len)
{
    while (len > 0 && !req->done) {
        size_t used = 0;
        GwHttpProgress progress =
            GwHttpReader_Feed(req->reader, data, len, &used);

        if (req->is_skipping)
            req->interim_bytes += used;
        if (req->done || (progress == GW_HTTP_MORE &&
                          req->interim_bytes <= INTERIM_BYTES_MAX))
            return;
        if (progress != GW_HTTP_DONE || req->interim_bytes > INTERIM_BYTES_MAX)
            finish_request_(req, GW_HTTP_BROKEN);
        else if (!req->is_skipping)
            finish_request_(req, GW_HTTP_COMPLETE);
        data += used;
        len -= used;
    }
}

static void
finish_request_(GwHttpRequest *req, GwHttpOutcome outcome)
{
    end_request_(req);
    req->callback_depth++;
    req->ops->on_done(req->user, outcome);
    req->callback_depth--;
    free_ended_(req);
}

static void
end_request_(GwHttpRequest *req)
{
    req->done = true;
    GwTimer_Stop(&req->timer);
    GwTcp_Close(req->tcp);
    req->tcp = NULL;
}

// Frees a request that has ended, unless a callback is in progress.
static void
free_ended_(GwHttpRequest *req)
{
    if (!req->done || req->callback_depth > 0)
        return;
    GwHttpReader_Delete(req->reader);
    g_string_free(req->message, TRUE);
    g_free(req);
}
