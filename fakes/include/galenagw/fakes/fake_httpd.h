/**
 * @defgroup fake_httpd A server that may misbehave
 * @brief Takes HTTP requests and lets its user write any bytes back.
 * @{
 */
#ifndef GALENAGW_FAKES_FAKE_HTTPD_H
#define GALENAGW_FAKES_FAKE_HTTPD_H

#include "galenagw/http/message.h"
#include "galenagw/net/tcp.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct FakeHttpd FakeHttpd;
typedef struct FakeExchange FakeExchange;

/** One request. Freed with its connection, or when the next one comes. */
struct FakeExchange {
    const GwHttpHead *head;
    GString *body;
    void *user; /**< of the connection; NULL at first */
};

typedef struct {
    void (*on_request)(void *user, FakeExchange *exchange);
    /** Its connection ended; the last use of it. May be NULL. */
    void (*on_gone)(void *user, FakeExchange *exchange);
} FakeHttpdOps;

FakeHttpd *FakeHttpd_New(GwLoop *loop, const GwAddress *address,
                         const FakeHttpdOps *ops, void *user, GwError *err);
void FakeHttpd_Delete(FakeHttpd *httpd);
int FakeHttpd_Port(const FakeHttpd *httpd);
/** Connections open now. */
unsigned FakeHttpd_Open(const FakeHttpd *httpd);
/** Connections that peers have reset so far. */
unsigned FakeHttpd_Resets(const FakeHttpd *httpd);
/** Reset all connections. */
void FakeHttpd_ResetAll(FakeHttpd *httpd);
/** Take connections and requests, and answer nothing any more. */
void FakeHttpd_SetSilent(FakeHttpd *httpd, bool silent);

/** Write bytes. */
void FakeExchange_Write(FakeExchange *exchange, const char *data, size_t len);
/** Write a whole answer with a length; @p headers end with CRLF each. */
void FakeExchange_Answer(FakeExchange *exchange, int status,
                         const char *headers, const char *body, size_t len);
/** End the connection in order, or by a reset. */
void FakeExchange_Close(FakeExchange *exchange, bool reset);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
