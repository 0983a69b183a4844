/**
 * @defgroup orders Orders
 * @brief Weight loads, under a lease from the log.
 *
 * A site may load weights on a few engines at once. Each of its load slots
 * is a chain of lease records in the log: a record names its predecessor,
 * and counts only if that is the slot's latest, so all readers agree who
 * holds it. The record's offset is the fencing number of the order. A
 * holder checks its own clock, with a margin, before it orders; a successor
 * first waits until the old lease has run out on its own clock, which also
 * covers engines that ignore the number. The engine's state is read back
 * before an order is repeated.
 */
#ifndef GALENAGW_AGENT_ORDERS_H
#define GALENAGW_AGENT_ORDERS_H

#include "galenagw/platform/log_service.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct Orders Orders;

/* Strings must outlive the module. */
typedef struct {
    const char *stream; /* of this site's leases */
    const char *holder;
    const char *engine; /* whom the orders are for */
    uint64_t incarnation;
    GRand *rand;
} OrdersOptions;

/* Whom Orders asks and tells. */
typedef struct {
    /* Stop starting work; true once the engine is idle. */
    bool (*hold)(void *user);
    void (*release)(void *user);
    /* Give the order now. */
    void (*order)(void *user, const char *weights, uint64_t fence);
} OrdersOps;

Orders *Orders_New(GwLoop *loop, GwLog log, const OrdersOptions *options,
                   const OrdersOps *ops, void *user);
void Orders_Delete(Orders *orders);
/* Slots and lease time, from configuration. */
void Orders_SetLimits(Orders *orders, int slots, GwTime lease);
/* What is wanted, and what the engine last reported. */
void Orders_Update(Orders *orders, const char *wanted, const char *loaded,
                   bool loading);
/* The order was answered, or its answer was lost. */
void Orders_Answered(Orders *orders, bool fenced);

#ifdef __cplusplus
}
#endif

#endif
