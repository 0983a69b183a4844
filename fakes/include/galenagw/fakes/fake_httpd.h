/**
 * @defgroup fake_httpd HTTP server for fault tests
 * @brief Parses HTTP requests; its user writes the answers as raw bytes.
 *
 * Answers may thus be invalid, partial or missing.
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

/** One request. Valid until its connection closes or the next request of the
 * connection arrives. */
struct FakeExchange {
    const GwHttpHead *head;
    GString *body;
    void *user; /**< kept for the connection; NULL at first */
};

typedef struct {
    void (*on_request)(void *user, FakeExchange *exchange);
    /** The connection closed; the exchange is freed after this call. May be
     * NULL. */
    void (*on_gone)(void *user, FakeExchange *exchange);
} FakeHttpdOps;

/** Starts a server at @p address; port 0: a free one. @p ops is copied.
 * @return NULL with @p err */
FakeHttpd *FakeHttpd_New(GwLoop *loop, const GwAddress *address,
                         const FakeHttpdOps *ops, void *user, GwError *err);
void FakeHttpd_Delete(FakeHttpd *httpd);
int FakeHttpd_Port(const FakeHttpd *httpd);
/** @return number of open connections */
unsigned FakeHttpd_Open(const FakeHttpd *httpd);
/** @return number of connections that clients have reset so far */
unsigned FakeHttpd_Resets(const FakeHttpd *httpd);
/** Resets all connections. */
void FakeHttpd_ResetAll(FakeHttpd *httpd);
/** While set, connections are accepted and received bytes are discarded. */
void FakeHttpd_SetSilent(FakeHttpd *httpd, bool silent);

/** Writes bytes to the connection. */
void FakeExchange_Write(FakeExchange *exchange, const char *data, size_t len);
/** Writes a complete answer with Content-Length. @p headers is empty or
 * contains header lines that each end with CRLF. */
void FakeExchange_Answer(FakeExchange *exchange, int status,
                         const char *headers, const char *body, size_t len);
/** Closes the connection orderly, or with a reset. */
void FakeExchange_Close(FakeExchange *exchange, bool reset);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
