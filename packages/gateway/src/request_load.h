/* What a request weighs at its engine, and what its agent is told of it. */
#ifndef GALENAGW_GATEWAY_REQUEST_LOAD_H
#define GALENAGW_GATEWAY_REQUEST_LOAD_H

#include "request_private.h"

/* Tokens of memory that it takes at an engine, at most. */
int64_t GwRequestLoad_Memory(const GwRequest *request);
/* Count @p tokens to read and @p runs at its instance, or less by them. Its
 * agent is told at once when a long run comes or goes, else when enough tokens
 * have changed. */
void GwRequestLoad_Add(GwRequest *request, int64_t tokens, int runs);

#endif
