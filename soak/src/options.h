/* Options of a run of the soak. */
#ifndef GALENAGW_SOAK_OPTIONS_H
#define GALENAGW_SOAK_OPTIONS_H

#include <cstdint>

#include "galenagw/base/settings.h"

struct Options {
    int64_t seed = 0; /* 0: chosen at random */
    int64_t seeds = 1;
    int64_t seconds = 20;
    int64_t gateways = 3;
    int64_t engines = 4;
    int64_t callers = 24;
    int64_t restores = 0;
    int64_t limits = 0;
    int64_t departures = 0;
    int64_t versions = 0;
    int64_t parts = 0;
    int64_t load = 0;
    int64_t retries = 0;
    int64_t weights = 0;
    const char *regressions = nullptr;
    const char *logs = "/tmp/gw-soak";
};

extern const GwSetting kSettings[];

#endif
