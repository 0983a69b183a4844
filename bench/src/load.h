/* Plays a trace against entries and records what callers see. */
#ifndef GALENAGW_BENCH_LOAD_H
#define GALENAGW_BENCH_LOAD_H

#include "galenagw/net/http_client.h"
#include "workload.h"

#define MAX_TARGETS 16

typedef struct {
    GwTime sent;
    GwTime first; /* time to first output; -1: none */
    GwTime total;
    int status;
    bool complete; /* whole and in order, or a truthful refusal */
    bool refused;
    bool ran_unknown;
    bool done;
    uint32_t prompt;
    uint32_t cached;
    char code[24];
} Result;

typedef struct Load Load;

/* Something to do at a time of the run. */
typedef struct {
    GwTime at;
    void (*fn)(Load *load, void *user);
    void *user;
} Action;

struct Load {
    GwLoop *loop;
    const Workload *workload;
    int targets[MAX_TARGETS]; /* ports; may change during the run */
    int n_targets;
    bool direct; /* straight to a stand-in engine, no key */
    Result *results;
    size_t n;
    size_t next;
    size_t open;
    GwTime begun;
    GwTimer timer;
    const Action *actions;
    int n_actions;
    int next_action;
};

/* Run the whole trace. */
void Load_Run(Load *load, const Workload *workload, const int *targets,
              int n_targets, const Action *actions, int n_actions);
void Load_Finish(Load *load);

/* Figures over a part of the results. */
typedef struct {
    size_t requests;
    size_t refused;
    size_t failed; /* neither complete nor truthfully refused */
    double hit_rate;
    double p50_ms;
    double p99_ms;
} Summary;

typedef enum { PART_PAYING = 0, PART_TRIAL, PART_CALLS, PART_ALL } Part;

/* Of requests sent in [from, to) of the run. */
Summary Load_Summary(const Load *load, Part part, GwTime from, GwTime to);
/* Refusals by code, "code=n ..."; free with g_free. */
char *Load_Refusals(const Load *load, Part part);

#endif
