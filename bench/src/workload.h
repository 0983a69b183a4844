/* A trace of requests with nested, shared prompts; decided by its seed. */
#ifndef GALENAGW_BENCH_WORKLOAD_H
#define GALENAGW_BENCH_WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "galenagw/base/clock.h"
#include "galenagw/policy/chain.h"

#define BENCH_ACCOUNTS 8
#define BENCH_PAYING 6 /* the first six; the last two are trials */

typedef struct {
    uint32_t seed;
    GwTime length;
    double paying_per_s;
    double trial_per_s;
    double calls_per_s; /* keyed calls to the plain service */
    int halls;          /* third-level prefixes of each account */
    GwTime shift_at;    /* when other prefixes become the hot ones; 0: never */
    int tokens;
} WorkloadOptions;

typedef struct {
    GwTime at;
    int account;
    int language;
    int hall;
    uint32_t question; /* unique */
    bool call;         /* to the plain service */
} TraceItem;

typedef struct {
    WorkloadOptions options;
    GArray *items; /* TraceItem, by time */
} Workload;

Workload *Workload_New(const WorkloadOptions *options);
void Workload_Delete(Workload *workload);
const char *Workload_Account(int account);
/* The request's body; free with g_free. */
char *Workload_Body(const Workload *workload, const TraceItem *item);
/* The tag that its answer carries. */
void Workload_Tag(const TraceItem *item, char tag[9]);
/* The request's prefix chain, as entries compute it. */
void Workload_Chain(const TraceItem *item, GwChain *chain);
/*
 * Hit rate of a reference that knows all caches at all times and sends each
 * request to the engine that holds most of it, whatever its load.
 */
double Workload_GreedyHitRate(const Workload *workload, int engines,
                              size_t blocks);
/* The configuration document for the bench's accounts; free with free(). */
char *Workload_Config(void);

#endif
