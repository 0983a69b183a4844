/* The scenarios of `make bench`; each is one section of the table. */
#ifndef GALENAGW_BENCH_SCENARIOS_H
#define GALENAGW_BENCH_SCENARIOS_H

#include <stdint.h>

typedef struct {
    const char *name;
    void (*run)(uint32_t seed);
    const char *doc;
} Scenario;

/* The table ends with a NULL name. */
extern const Scenario Scenarios_All[];

/* Processor time of forwarding on the users' platform. */
void Forward_Run(uint32_t seed);
/* Cost against size, for docs/CAPACITY.md. */
void Slopes_Run(uint32_t seed);

#endif
