/* Retries that this gateway may send to each service. */
#ifndef GALENAGW_GATEWAY_RETRIES_H
#define GALENAGW_GATEWAY_RETRIES_H

#include "gateway_private.h"

/* What a retry is counted against. */
typedef enum {
    GW_RETRY_SOURCE_NONE = 0,  /* the budget is used up */
    GW_RETRY_SOURCE_RATIO,     /* the ratio of this gateway's requests */
    GW_RETRY_SOURCE_LEASE,     /* a lease on the slack of all gateways */
    GW_RETRY_SOURCE_NOT_SENT,  /* nothing: the attempt reached no endpoint, so
                                  the next one takes its place */
    GW_RETRY_SOURCE_NOT_ASKED, /* there is no retry, whatever the budget */
    GW_RETRY_SOURCES
} GwRetrySource;

/* Names of GwRetrySource in logs, by value. */
extern const char *const GwRetrySource_Names[GW_RETRY_SOURCES];

/* Create the table of budgets and the leases of @p gateway. */
void GwRetries_Init(GwGateway *gateway);
void GwRetries_Clear(GwGateway *gateway);
/* Count a request for @p service. */
void GwRetries_AddRequest(GwGateway *gateway, const char *service);
/* Use one retry, if the budget allows it. */
GwRetrySource GwRetries_Use(GwGateway *gateway, const char *service);
/* Renew leases, and log what was used. To be called several times in
 * GW_RETRY_LEASE_TERM. */
void GwRetries_Tick(GwGateway *gateway);

#endif
