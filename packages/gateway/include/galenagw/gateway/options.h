/**
 * @ingroup gateway
 * @file
 * @brief Construction options of a gateway.
 */
#ifndef GALENAGW_GATEWAY_OPTIONS_H
#define GALENAGW_GATEWAY_OPTIONS_H

#include "galenagw/adapter/deployment.h"
#include "galenagw/base/event_log.h"

/** See GwGateway_New. */
typedef struct {
    const GwDeployment *deployment; /**< values that are used later are
                                       copied */
    GwEventLog *log;                /**< or NULL; must outlive the gateway */
    void (*on_stopped)(void *user); /**< a drain is complete */
    void *user;
} GwGatewayOptions;

#endif
