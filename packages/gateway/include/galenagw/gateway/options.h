/**
 * @ingroup gateway
 * @file
 * @brief What a gateway is started with.
 */
#ifndef GALENAGW_GATEWAY_OPTIONS_H
#define GALENAGW_GATEWAY_OPTIONS_H

#include "galenagw/adapter/deployment.h"
#include "galenagw/base/event_log.h"

/** Construction options. */
typedef struct {
    const GwDeployment *deployment; /**< copied where it is kept */
    GwEventLog *log;                /**< or NULL; outlives the gateway */
    void (*on_stopped)(void *user); /**< a drain is over */
    void *user;
} GwGatewayOptions;

#endif
