#include "galenagw/http/server.h"

#include "server_private.h"

#include <string.h>

/* Upper bound of the size of a chunk's size line and final line end. */
#define CHUNK_FRAMING_BYTES 24

static void send_head_start_(GwHttpCall *call, int status, const char *type);

const char *
GwHttpCall_Method(const GwHttpCall *call)
{
    return call->head->method;
}

const char *
GwHttpCall_Path(const GwHttpCall *call)
{
    return call->head->target;
}

const char *
GwHttpCall_Header(const GwHttpCall *call, const char *name)
{
    return GwHttpHead_Find(call->head, name);
}

const GwHttpHead *
GwHttpCall_Head(const GwHttpCall *call)
{
    return call->head;
}

const char *
GwHttpCall_Body(const GwHttpCall *call, size_t *len)
{
    *len = call->body->len;
    return (const char *)call->body->data;
}

void
GwHttpCall_SetUser(GwHttpCall *call, void *user)
{
    call->user = user;
}

void *
GwHttpCall_User(const GwHttpCall *call)
{
    return call->user;
}

void
GwHttpCall_AddHeader(GwHttpCall *call, const char *name, const char *value)
{
    if (call->extra_head == NULL)
        call->extra_head = g_string_new(NULL);
    g_string_append_printf(call->extra_head, "%s: %s\r\n", name, value);
}

void
GwHttpCall_Respond(GwHttpCall *call, int status, const char *type,
                   const char *body, size_t len)
{
    char line[64];

    send_head_start_(call, status, type);
    g_snprintf(line, sizeof(line), "content-length: %zu\r\n\r\n", len);
    GwHttpCall_Send(call, line, strlen(line));
    GwHttpCall_Send(call, body, len);
    GwHttpCall_Done(call, false);
}

void
GwHttpCall_Begin(GwHttpCall *call, int status, const char *type)
{
    static const char chunked[] = "transfer-encoding: chunked\r\n";
    static const char end[] = "cache-control: no-store\r\n\r\n";

    if (call->head != NULL && !call->head->accepts_chunks)
        GwHttpCall_EndWithConnection(call);
    send_head_start_(call, status, type);
    if (!call->is_unframed)
        GwHttpCall_Send(call, chunked, sizeof(chunked) - 1);
    GwHttpCall_Send(call, end, sizeof(end) - 1);
}

void
GwHttpCall_EndWithConnection(GwHttpCall *call)
{
    call->is_unframed = true;
    call->conn->must_close = true;
    GwTcp_ResetUnlessFinished(call->conn->tcp);
}

void
GwHttpCall_Write(GwHttpCall *call, const char *data, size_t len)
{
    g_autoptr(GString) chunk = NULL;

    // A chunk of size 0 would end the answer.
    if (len == 0)
        return;
    if (call->is_unframed) {
        GwHttpCall_Send(call, data, len);
        return;
    }
    // The chunk is written in one piece, because each write causes a system
    // call and a packet.
    chunk = g_string_sized_new(len + CHUNK_FRAMING_BYTES);
    g_string_append_printf(chunk, "%zx\r\n", len);
    g_string_append_len(chunk, data, (gssize)len);
    g_string_append(chunk, "\r\n");
    GwHttpCall_Send(call, chunk->str, chunk->len);
}

void
GwHttpCall_End(GwHttpCall *call)
{
    if (!call->is_unframed)
        GwHttpCall_Send(call, "0\r\n\r\n", 5);
    GwHttpCall_Done(call, false);
}

void
GwHttpCall_Send(GwHttpCall *call, const char *data, size_t len)
{
    call->answer_started = true;
    GwTcp_Write(call->conn->tcp, (const uint8_t *)data, len);
}

bool
GwHttpCall_MustClose(const GwHttpCall *call)
{
    return call->conn->must_close || call->conn->server->draining;
}

void
GwHttpCall_Done(GwHttpCall *call, bool close)
{
    if (close || GwHttpCall_MustClose(call))
        HttpConnection_Close(call->conn);
    else
        HttpConnection_EndCall(call->conn);
}

void
GwHttpCall_Abort(GwHttpCall *call)
{
    if (call->is_unframed)
        HttpConnection_Reset(call->conn);
    else
        HttpConnection_Close(call->conn);
}

size_t
GwHttpCall_Pending(const GwHttpCall *call)
{
    return GwTcp_Pending(call->conn->tcp);
}

// Sends all of the head but the framing of the body and the final empty line.
static void
send_head_start_(GwHttpCall *call, int status, const char *type)
{
    g_autofree char *head = g_strdup_printf(
        "HTTP/1.1 %d %s\r\ncontent-type: %s\r\n%s%s", status,
        status < 400 ? "OK" : "Error", type,
        GwHttpCall_MustClose(call) ? "connection: close\r\n" : "",
        call->extra_head != NULL ? call->extra_head->str : "");

    GwHttpCall_Send(call, head, strlen(head));
}
