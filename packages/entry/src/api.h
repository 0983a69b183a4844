/* HTTP interfaces: OpenAI-compatible and services for callers, admin. */
#ifndef GALENAGW_ENTRY_API_H
#define GALENAGW_ENTRY_API_H

#include "entry_private.h"

/* Listen on both addresses. @return false with @p err */
bool Api_Start(GwEntry *entry, GwError *err);

#endif
