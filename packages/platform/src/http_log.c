#define GW_LOG_PART "log"
#include "galenagw/platform/log_service.h"

#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>

/* The outcome of an append without an answer in this time is unknown. */
#define APPEND_TIMEOUT GW_SECOND
/* Timeout of a read, in addition to the time that the service may wait. */
#define READ_TIMEOUT_MARGIN (2 * GW_SECOND)
/* Several times the largest configuration with its changes. */
#define READ_MAX_BYTES (32 * 1024 * 1024)
#define APPEND_ANSWER_MAX_BYTES (64 * 1024)

const char *const GwAppendOutcome_Names[GW_APPENDS] = {
    "done",
    "not_done",
    "unknown",
};

struct GwHttpLog {
    GwLoop *loop;
    GwAddress address;
    GwCounters *counters;
    TAILQ_HEAD(, GwLogCall) calls; /* in progress */
};

struct GwLogCall {
    TAILQ_ENTRY(GwLogCall) link;
    GwHttpLog *log;
    GwHttpRequest *request;
    GByteArray *body;     /* of the answer, as received so far */
    int status;           /* HTTP status of the answer; 0: none yet */
    GwAppendFn on_append; /* NULL for a read */
    GwReadFn on_read;     /* NULL for an append */
    void *user;
};

static GwLogCall *append_record_(void *impl, const char *stream,
                                 const json_t *record, GwAppendFn fn,
                                 void *user);
static GwLogCall *read_stream_(void *impl, const char *stream, uint64_t from,
                               int wait_ms, GwReadFn fn, void *user);
static void cancel_call_(void *impl, GwLogCall *call);
static GwLogCall *call_new_(GwHttpLog *log, void *user);
static void call_delete_(GwLogCall *call);
static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);
static void finish_append_(GwLogCall *call, GwHttpOutcome outcome,
                           const json_t *answer);
static void finish_read_(GwLogCall *call, const json_t *answer);

static const GwHttpRequestOps request_ops = {on_head_, on_data_, on_done_};
static const GwLogOps log_ops = {append_record_, read_stream_, cancel_call_};

GwHttpLog *
GwHttpLog_New(GwLoop *loop, const GwAddress *address, GwCounters *counters)
{
    GwHttpLog *log = g_new0(GwHttpLog, 1);

    log->loop = loop;
    log->address = *address;
    log->counters = counters;
    TAILQ_INIT(&log->calls);
    return log;
}

void
GwHttpLog_Delete(GwHttpLog *log)
{
    GwLogCall *call;

    if (log == NULL)
        return;
    while ((call = TAILQ_FIRST(&log->calls)) != NULL)
        cancel_call_(log, call);
    g_free(log);
}

GwLog
GwHttpLog_Interface(GwHttpLog *log)
{
    return (GwLog){&log_ops, log};
}

static GwLogCall *
append_record_(void *impl, const char *stream, const json_t *record,
               GwAppendFn fn, void *user)
{
    GwHttpLog *log = impl;
    GwLogCall *call = call_new_(log, user);
    g_autofree char *path = g_strdup_printf("/streams/%s/append", stream);
    char *body = json_dumps(record, JSON_COMPACT);
    GwHttpRequestOptions options = {
        .address = log->address,
        .method = "POST",
        .path = path,
        .body = body,
        .body_len = strlen(body),
        .timeout = APPEND_TIMEOUT,
        .max_body = APPEND_ANSWER_MAX_BYTES,
        .ops = &request_ops,
        .user = call,
    };

    call->on_append = fn;
    call->request = GwHttpRequest_New(log->loop, &options);
    GwCounters_Add(log->counters, GW_COUNTER_LOG_APPENDS, 1);
    free(body);
    return call;
}

static GwLogCall *
read_stream_(void *impl, const char *stream, uint64_t from, int wait_ms,
             GwReadFn fn, void *user)
{
    GwHttpLog *log = impl;
    GwLogCall *call = call_new_(log, user);
    g_autofree char *path = g_strdup_printf(
        "/streams/%s/read?from=%" PRIu64 "&wait_ms=%d", stream, from, wait_ms);
    GwHttpRequestOptions options = {
        .address = log->address,
        .method = "GET",
        .path = path,
        .timeout = wait_ms * GW_MILLISECOND + READ_TIMEOUT_MARGIN,
        .max_body = READ_MAX_BYTES,
        .ops = &request_ops,
        .user = call,
    };

    call->on_read = fn;
    call->request = GwHttpRequest_New(log->loop, &options);
    return call;
}

static void
cancel_call_(void *impl, GwLogCall *call)
{
    GwHttpRequest_Cancel(call->request);
    call_delete_(call);
}

static GwLogCall *
call_new_(GwHttpLog *log, void *user)
{
    GwLogCall *call = g_new0(GwLogCall, 1);

    call->log = log;
    call->user = user;
    call->body = g_byte_array_new();
    TAILQ_INSERT_TAIL(&log->calls, call, link);
    return call;
}

static void
call_delete_(GwLogCall *call)
{
    TAILQ_REMOVE(&call->log->calls, call, link);
    g_byte_array_unref(call->body);
    g_free(call);
}

static void
on_head_(void *user, int status, const char *type)
{
    ((GwLogCall *)user)->status = status;
}

static void
on_data_(void *user, const char *data, size_t len)
{
    g_byte_array_append(((GwLogCall *)user)->body, (const guint8 *)data,
                        (guint)len);
}

static void
on_done_(void *user, GwHttpOutcome outcome)
{
    GwLogCall *call = user;
    json_t *answer = NULL;

    if (outcome == GW_HTTP_COMPLETE && call->status == 200)
        answer = json_loadb((const char *)call->body->data, call->body->len, 0,
                            NULL);
    if (answer == NULL)
        GwCounters_Add(call->log->counters, GW_COUNTER_LOG_ERRORS, 1);
    if (call->on_append != NULL)
        finish_append_(call, outcome, answer);
    else
        finish_read_(call, answer);
    json_decref(answer);
    call_delete_(call);
}

static void
finish_append_(GwLogCall *call, GwHttpOutcome outcome, const json_t *answer)
{
    const json_t *offset = json_object_get(answer, "offset");
    bool refused = outcome == GW_HTTP_COMPLETE && call->status >= 400 &&
                   call->status < 500;

    if (json_is_integer(offset))
        call->on_append(call->user, GW_APPEND_DONE,
                        (uint64_t)json_integer_value(offset));
    else if (outcome == GW_HTTP_NOT_SENT || refused)
        call->on_append(call->user, GW_APPEND_NOT_DONE, 0);
    else
        // A 5xx status may be that of a proxy in front of the service,
        // although the append has taken effect.
        call->on_append(call->user, GW_APPEND_UNKNOWN, 0);
}

static void
finish_read_(GwLogCall *call, const json_t *answer)
{
    GwLogBatch batch = {0};

    batch.records = json_object_get(answer, "records");
    batch.ok = json_is_array(batch.records);
    batch.first_offset =
        (uint64_t)json_integer_value(json_object_get(answer, "first"));
    batch.end_offset =
        (uint64_t)json_integer_value(json_object_get(answer, "next"));
    call->on_read(call->user, &batch);
}
