/* Samples of the speed of endpoints, from the answers to requests. */
#ifndef GALENAGW_GATEWAY_REQUEST_SPEED_H
#define GALENAGW_GATEWAY_REQUEST_SPEED_H

#include "request_private.h"

/* The first byte of the answer's body arrived; its tokens are still counted in
 * the load of the instance. */
void GwRequestSpeed_FirstByte(GwRequest *request);
/* The answer is complete. */
void GwRequestSpeed_Completed(GwRequest *request);

#endif
