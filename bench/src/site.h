/* One deployment of the bench: platform, engines, agents, entries. */
#ifndef GALENAGW_BENCH_SITE_H
#define GALENAGW_BENCH_SITE_H

#include "procs.h"

#define MAX_NODES 64

typedef struct {
    int engines;
    int entries;
    int services;       /* agents before one plain service each; 0: none */
    const char *policy; /* baseline's name, or "offers" */
    int slots;
    int cache_blocks;
    int prefill_ns;
    int decode_us;
} SiteOptions;

typedef struct {
    SiteOptions options;
    Proc platform;
    Proc engines;           /* one process */
    Proc service;           /* one process */
    Proc agents[MAX_NODES]; /* of the engines, then of the services */
    Proc entries[MAX_NODES];
    int n_agents;
    int entry_ports[MAX_NODES];
    int starts; /* entries ever started, for their names */
    /* Filled in by a scenario's action during a run. */
    double noted_entry;
    double noted_agents;
    double noted_open;
} Site;

void Site_Start(Site *site, const SiteOptions *options);
void Site_StartEntry(Site *site, int i);
void Site_Stop(Site *site);

/* Sums over the engines' statistics. */
typedef struct {
    double prompt;
    double cached;
    double held_elsewhere;
    double abandoned;
} EngineSums;

EngineSums Site_EngineSums(const Site *site);
/* A counter of an entry or agent, by its full name in /metrics. */
double Site_Metric(int admin_port, const char *name);

#endif
