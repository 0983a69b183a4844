/**
 * @defgroup orders Orders
 * @brief Load orders: weights are loaded under a lease from the log.
 *
 * A site may load weights on a limited number of engines at once. Each of its
 * load slots is a chain of lease records in the log: a record names its
 * predecessor and is valid only if that is the slot's latest lease, so all
 * readers agree on the holder. The fencing number of an order is the offset of
 * its lease record plus one. A holder checks the lease against its own clock,
 * with a margin, before it sends an order. A successor first waits until the
 * previous lease has expired on its own clock, which also protects engines
 * that ignore fencing numbers. The engine's state is read back before an order
 * is sent again.
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
    const char *stream; /* log stream of this site's leases */
    const char *holder; /* name of this instance */
    const char *engine; /* name of the engine that the orders are for */
    uint64_t incarnation;
    GRand *rand;
} OrdersOptions;

/* Callbacks of the agent. */
typedef struct {
    /* Start no more jobs. Returns true once the engine is idle. */
    bool (*pause_work)(void *user);
    /* Start jobs again. */
    void (*resume_work)(void *user);
    /* Send the load order to the engine now. */
    void (*send_order)(void *user, const char *weights, uint64_t fence);
} OrdersOps;

Orders *Orders_New(GwLoop *loop, GwLog log, const OrdersOptions *options,
                   const OrdersOps *ops, void *user);
void Orders_Delete(Orders *orders);
/* Number of load slots of the site and duration of a lease, from the
 * configuration. */
void Orders_SetLimits(Orders *orders, int slots, GwTime lease_duration);
/* The weights that the configuration names, and the engine's last report. */
void Orders_Update(Orders *orders, const char *wanted, const char *loaded,
                   bool loading);
/* The engine answered the order, or its answer was lost. `fenced`: the engine
 * refused the order because it has seen a newer fencing number. */
void Orders_OnAnswer(Orders *orders, bool fenced);

#ifdef __cplusplus
}
#endif

#endif
