/* Sends the requests of a trace to entries and records the answers. */
#ifndef GALENAGW_BENCH_LOAD_H
#define GALENAGW_BENCH_LOAD_H

#include "galenagw/http/client.h"
#include "workload.h"

#define MAX_TARGETS 16

/* Outcome of one request. */
typedef struct {
    GwTime send_time;
    GwTime first_output; /* time from sending to first output; -1: none */
    GwTime total_time;   /* time from sending to the end of the answer */
    int status;
    bool complete;       /* all tokens in order, or a refusal */
    bool refused;        /* answered by an error */
    bool is_run_unknown; /* the error reports that it may have run */
    bool done;
    uint32_t prompt_tokens; /* as reported in the usage of the answer */
    uint32_t cached_tokens;
    char code[24]; /* of the error; "": none */
} Result;

typedef struct Load Load;

/* A call of a function at a time of the run. */
typedef struct {
    GwTime at; /* after the start of the run */
    void (*fn)(Load *load, void *user);
    void *user;
} Action;

struct Load {
    GwLoop *loop;
    const Workload *workload;
    int targets[MAX_TARGETS]; /* ports; may change during the run */
    int n_targets;
    bool direct;     /* sent to stand-in engines without an entry or key */
    Result *results; /* by index of the trace item */
    size_t n_results;
    size_t next_item; /* index of the next trace item to send */
    size_t n_open;    /* requests in flight */
    GwTime started_at;
    GwTimer timer;
    const Action *actions;
    int n_actions;
    int next_action;
};

/* Sends all requests of the trace at their times and waits for the answers. */
void Load_Run(Load *load, const Workload *workload, const int *targets,
              int n_targets, const Action *actions, int n_actions);
void Load_Finish(Load *load);

/* Figures over a group of requests. */
typedef struct {
    size_t requests;
    size_t refused;
    size_t failed;   /* without a complete answer or an error answer */
    double hit_rate; /* cached share of the prompt tokens */
    double p50_ms;   /* time to first output */
    double p99_ms;   /* time to first output */
} Summary;

typedef enum {
    GROUP_PAYING = 0,
    GROUP_TRIAL,
    GROUP_CALLS,
    GROUP_ALL
} RequestGroup;

/* Summarizes the requests with times in [from, to) of the run. */
Summary Load_Summary(const Load *load, RequestGroup group, GwTime from,
                     GwTime to);
/* Returns the number of refusals by code, as "code=n ..."; free with g_free.
 */
char *Load_Refusals(const Load *load, RequestGroup group);

#endif
