/* The callers' HTTP, and the operators'. */
#ifndef GALENAGW_ENTRY_API_H
#define GALENAGW_ENTRY_API_H

#include "entry_private.h"

bool Api_Start(GwEntry *entry, GwError *err);

#endif
