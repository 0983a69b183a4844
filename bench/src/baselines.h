/* Ways of placing that the bench compares with. */
#ifndef GALENAGW_BENCH_BASELINES_H
#define GALENAGW_BENCH_BASELINES_H

#include "galenagw/policy/placement.h"

/* Names in order of the tables; NULL-terminated. */
extern const char *const Baselines_Names[];

/* The baseline called `name`, or NULL. */
const GwPlacement *Baselines_Find(const char *name);

#endif
