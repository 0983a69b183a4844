/* Timers that abandon an attempt although nothing failed. Their callbacks are
 * in request_abandon. */
#ifndef GALENAGW_GATEWAY_REQUEST_TIMERS_H
#define GALENAGW_GATEWAY_REQUEST_TIMERS_H

#include "request_private.h"

/* Start the timers of the current attempt, which was just sent. */
void GwRequestTimers_Start(GwRequest *request);
/* Start or move the timer that withdraws the request from an engine with
 * outdated weights. */
void GwRequestTimers_StartWithdrawal(GwRequest *request);
/* Time at which the request is withdrawn from its engine; 0: never, as the
 * engine has the newest weights. */
GwTime GwRequestTimers_WithdrawAt(const GwRequest *request);

#endif
