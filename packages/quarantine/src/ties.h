/* Parts that were in flight at the same terminations. */
#ifndef QUARANTINE_TIES_H
#define QUARANTINE_TIES_H

#include "galenagw/quarantine/in_flight.h"
#include "quarantine_private.h"

/* Whether the request has all parts that are tied with its part @p s. */
bool Ties_ContainsAll(const GwQuarantine *q, const GwRequestIdentity *request,
                      const Suspect *s);
/* Hash of the parts that are tied with @p s, itself included; 0: none is. */
uint64_t Ties_Hash(const GwQuarantine *q, const Suspect *s);

#endif
