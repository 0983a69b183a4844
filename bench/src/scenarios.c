#include "scenarios.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "baselines.h"
#include "load.h"
#include "report.h"
#include "site.h"

#define RUN_TIME (20 * GW_SECOND)
/* The first seconds fill the caches and are not counted. */
#define WARM_UP (4 * GW_SECOND)
#define CACHE_BLOCKS 600
/* Stand-ins: 100 us for a missing token, 2 ms between tokens. */
#define PREFILL_NS 100000
#define DECODE_US 2000
#define SLOTS 8
#define TOKENS 8
#define PAYING_PER_ENGINE 16.0
#define TRIAL_PER_ENGINE 2.0
#define HALLS 12

static void try_offers_(uint32_t seed);
static void compare_policies_(uint32_t seed);
static void compare_trials_(uint32_t seed);
static void restart_entry_(uint32_t seed);
static void restart_herd_(uint32_t seed);
static void fail_endpoints_(uint32_t seed);
static void measure_latency_(uint32_t seed);
static void measure_cost_(uint32_t seed);

const Scenario Scenarios_All[] = {
    {"policies", compare_policies_, "hit rate, recomputation, tail latency"},
    {"quick", try_offers_, "the product alone, for tuning"},
    {"trials", compare_trials_, "paying latency with trials at 2x capacity"},
    {"restart", restart_entry_, "one entry restarts under load"},
    {"herd", restart_herd_, "all entries restart, the log is down"},
    {"faults", fail_endpoints_, "one killed, one silent, one leaving"},
    {"latency", measure_latency_, "latency added to a direct call"},
    {"cost", measure_cost_, "requests, tokens and memory per core"},
    {"forward", Forward_Run, "cost of forwarding on the users' platform"},
    {NULL, NULL, NULL},
};

/* A site, the load on it, and its trace. */
typedef struct {
    Site site;
    Load load;
    Workload *workload;
} Run;

static void
run_begin_(Run *run, const WorkloadOptions *o, const SiteOptions *s,
           const Action *action)
{
    memset(&run->load, 0, sizeof(run->load));
    run->workload = Workload_New(o);
    Site_Start(&run->site, s);
    Load_Run(&run->load, run->workload, run->site.entry_ports, s->entries,
             action, action != NULL);
}

static void
run_end_(Run *run)
{
    Site_Stop(&run->site);
    Load_Finish(&run->load);
    Workload_Delete(run->workload);
}

static SiteOptions
site_options_(int engines, const char *policy)
{
    return (SiteOptions){
        .engines = engines,
        .entries = 2,
        .policy = policy,
        .slots = SLOTS,
        .cache_blocks = CACHE_BLOCKS,
        .prefill_ns = PREFILL_NS,
        .decode_us = DECODE_US,
    };
}

static WorkloadOptions
workload_options_(uint32_t seed, int engines)
{
    return (WorkloadOptions){
        .seed = seed,
        .length = RUN_TIME,
        .paying_per_s = PAYING_PER_ENGINE * engines,
        .trial_per_s = TRIAL_PER_ENGINE * engines,
        .halls = HALLS * engines / 9,
        .tokens = TOKENS,
    };
}

/* What one policy did on one trace. */
typedef struct {
    Summary paying;
    Summary trial;
    Summary all;
    EngineSums sums;
} PolicyRun;

static PolicyRun
run_policy_(const Workload *w, int engines, const char *policy)
{
    SiteOptions o = site_options_(engines, policy);
    Site site;
    Load load = {0};
    PolicyRun run;
    g_autofree char *refusals = NULL;
    g_autofree char *name = g_strdup_printf("%s: refusals", policy);

    Site_Start(&site, &o);
    Load_Run(&load, w, site.entry_ports, o.entries, NULL, 0);
    run.paying = Load_Summary(&load, PART_PAYING, WARM_UP, GW_NEVER);
    run.trial = Load_Summary(&load, PART_TRIAL, WARM_UP, GW_NEVER);
    run.all = Load_Summary(&load, PART_ALL, 0, GW_NEVER);
    run.sums = Site_EngineSums(&site);
    refusals = Load_Refusals(&load, PART_ALL);
    Report_Text(name, refusals[0] != '\0' ? refusals : "none");
    Site_Stop(&site);
    Load_Finish(&load);
    return run;
}

static void
report_policy_(const char *policy, const PolicyRun *run)
{
    const struct {
        const char *name;
        double value;
        const char *unit;
    } rows[] = {
        {"hit rate", run->sums.cached / MAX(run->sums.prompt, 1), ""},
        {"recomputed though held", run->sums.held_elsewhere, "tokens"},
        {"prefills begun and cancelled", run->sums.abandoned, "tokens"},
        {"paying p50 first token", run->paying.p50_ms, "ms"},
        {"paying p99 first token", run->paying.p99_ms, "ms"},
        {"trial p50 first token", run->trial.p50_ms, "ms"},
        {"trial p99 first token", run->trial.p99_ms, "ms"},
        {"neither whole nor refused", (double)run->all.failed, ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_autofree char *name =
            g_strdup_printf("%s: %s", policy, rows[i].name);

        Report_Value(name, rows[i].value, rows[i].unit);
    }
}

static void
compare_on_(uint32_t seed, int engines, bool shift)
{
    WorkloadOptions o = workload_options_(seed, engines);
    Workload *w;
    PolicyRun ours;
    double best_hit = 0;
    double best_waste = INFINITY;
    double best_p99 = INFINITY;
    double greedy;
    double hit;
    g_autofree char *title =
        g_strdup_printf("policies, %d engines, %s", engines,
                        shift ? "hot prefixes shift half-way" : "steady");

    o.shift_at = shift ? RUN_TIME / 2 : 0;
    w = Workload_New(&o);
    Report_Section(title);
    for (int i = 0; Baselines_Names[i] != NULL; i++) {
        PolicyRun run = run_policy_(w, engines, Baselines_Names[i]);

        report_policy_(Baselines_Names[i], &run);
        best_hit = MAX(best_hit, run.sums.cached / MAX(run.sums.prompt, 1));
        best_waste = MIN(best_waste, run.sums.held_elsewhere);
        best_p99 = MIN(best_p99, run.paying.p99_ms);
    }
    ours = run_policy_(w, engines, "offers");
    report_policy_("offers", &ours);
    hit = ours.sums.cached / MAX(ours.sums.prompt, 1);
    greedy = Workload_GreedyHitRate(w, engines, CACHE_BLOCKS);
    Report_Value("reference that knows all: hit rate", greedy, "");
    Report_Bound("hit rate against the best baseline", hit / best_hit, true,
                 1.0);
    Report_Bound("hit rate against the reference", hit / greedy, true, 0.95);
    // A baseline that never spreads a prefix has none: no share of it.
    if (best_waste > 0)
        Report_Bound("recomputed though held, against best baseline",
                     ours.sums.held_elsewhere / best_waste, false, 0.5);
    else
        Report_Bound("recomputed though held; the best baseline has none",
                     ours.sums.held_elsewhere, false, 0);
    Report_Bound("paying p99 against the best baseline",
                 ours.paying.p99_ms / best_p99, false, 1.0);
    Report_Bound("offers: neither whole nor refused", (double)ours.all.failed,
                 false, 0);
    Workload_Delete(w);
}

static void
try_offers_(uint32_t seed)
{
    WorkloadOptions o = workload_options_(seed, 9);
    Workload *w = Workload_New(&o);
    PolicyRun run;

    Report_Section("offers alone, 9 engines");
    run = run_policy_(w, 9, "offers");
    report_policy_("offers", &run);
    Report_Value("reference that knows all: hit rate",
                 Workload_GreedyHitRate(w, 9, CACHE_BLOCKS), "");
    Workload_Delete(w);
}

static void
compare_policies_(uint32_t seed)
{
    compare_on_(seed, 9, false);
    compare_on_(seed, 9, true);
    compare_on_(seed, 18, false);
    compare_on_(seed, 18, true);
}

static void
compare_trials_(uint32_t seed)
{
    const int engines = 9;
    WorkloadOptions o = workload_options_(seed, engines);
    SiteOptions s = site_options_(engines, "offers");
    // One question's 64 tokens and a fixed part, prefills one by one.
    double capacity = engines * 1e6 / (64 * (double)PREFILL_NS / 1000 + 300);
    Summary without = {0};
    Summary with = {0};
    Summary trials = {0};

    Report_Section("trials at twice the capacity");
    for (int pass = 0; pass < 2; pass++) {
        Run run;

        o.trial_per_s = pass == 0 ? 0 : 2 * capacity;
        run_begin_(&run, &o, &s, NULL);
        if (pass == 0)
            without = Load_Summary(&run.load, PART_PAYING, WARM_UP, GW_NEVER);
        else
            with = Load_Summary(&run.load, PART_PAYING, WARM_UP, GW_NEVER);
        trials = Load_Summary(&run.load, PART_TRIAL, WARM_UP, GW_NEVER);
        if (pass == 1) {
            g_autofree char *text = Load_Refusals(&run.load, PART_TRIAL);

            Report_Text("trials refused, by reason", text);
        }
        run_end_(&run);
    }
    Report_Value("trials offered", o.trial_per_s, "/s");
    Report_Value("trials served, share",
                 1 - (double)trials.refused / MAX(trials.requests, 1), "");
    Report_Value("paying p50 without trials", without.p50_ms, "ms");
    Report_Value("paying p50 with trials", with.p50_ms, "ms");
    Report_Value("paying p99 without trials", without.p99_ms, "ms");
    Report_Value("paying p99 with trials", with.p99_ms, "ms");
    Report_Value("paying hit rate without trials", without.hit_rate, "");
    Report_Value("paying hit rate with trials", with.hit_rate, "");
    Report_Bound("paying p99, with against without",
                 with.p99_ms / without.p99_ms, false, 1.1);
    Report_Bound("paying requests refused", (double)with.refused, false, 0);
    Report_Bound("neither whole nor refused",
                 (double)(with.failed + trials.failed), false, 0);
}

static void
do_restart_entry_(Load *load, void *user)
{
    Site *site = user;

    // The balancer has not heard of it yet: connections are refused and
    // its callers come again; the new one takes its place at once.
    Procs_Kill(&site->entries[0]);
    Site_StartEntry(site, 0);
    load->targets[0] = site->entry_ports[0];
}

static void
restart_entry_(uint32_t seed)
{
    const int engines = 9;
    WorkloadOptions o = workload_options_(seed, engines);
    SiteOptions s = site_options_(engines, "offers");
    Run run;
    const GwTime at = RUN_TIME / 2;
    Action action = {at, do_restart_entry_, &run.site};
    Summary before;
    Summary after;

    run_begin_(&run, &o, &s, &action);
    before = Load_Summary(&run.load, PART_PAYING, at - 4 * GW_SECOND, at);
    after = Load_Summary(&run.load, PART_PAYING, at + 100 * GW_MILLISECOND,
                         at + 2 * GW_SECOND);
    Report_Section("one entry of two is killed and restarts under load");
    Report_Value("hit rate before", before.hit_rate, "");
    Report_Value("hit rate in its first 2 s", after.hit_rate, "");
    Report_Value("p99 before", before.p99_ms, "ms");
    Report_Value("p99 in its first 2 s", after.p99_ms, "ms");
    Report_Bound("hit rate, after against before",
                 after.hit_rate / before.hit_rate, true, 0.97);
    Report_Bound("refused in its first 2 s", (double)after.refused, false, 0);
    Report_Bound("not whole in its first 2 s", (double)after.failed, false, 0);
    run_end_(&run);
}

static void
do_restart_herd_(Load *load, void *user)
{
    Site *site = user;

    g_free(Procs_Http(site->platform.ports[0], "POST", "/faults",
                      "{\"log\":\"down\"}"));
    for (int i = 0; i < site->options.entries; i++)
        Procs_Kill(&site->entries[i]);
    for (int i = 0; i < site->options.entries; i++) {
        Site_StartEntry(site, i);
        load->targets[i] = site->entry_ports[i];
    }
}

static void
restart_herd_(uint32_t seed)
{
    const int engines = 9;
    WorkloadOptions o = workload_options_(seed, engines);
    SiteOptions s = site_options_(engines, "offers");
    Run run;
    const GwTime at = RUN_TIME / 2;
    Action action = {at, do_restart_herd_, &run.site};
    Summary after;
    double requests = 0;
    double attempts = 0;
    g_autofree char *refusals = NULL;

    s.entries = 4;
    run_begin_(&run, &o, &s, &action);
    after = Load_Summary(&run.load, PART_PAYING, at + 100 * GW_MILLISECOND,
                         GW_NEVER);
    refusals = Load_Refusals(&run.load, PART_ALL);
    for (int i = 0; i < s.entries; i++) {
        requests +=
            Site_Metric(run.site.entries[i].admin, "galenagw_requests_total");
        attempts +=
            Site_Metric(run.site.entries[i].admin, "galenagw_attempts_total");
    }
    Report_Section("all four entries restart together, the log is down");
    Report_Text("refusals", refusals[0] != '\0' ? refusals : "none");
    Report_Value("p99 after", after.p99_ms, "ms");
    Report_Bound("paying refused after", (double)after.refused, false, 0);
    Report_Bound("not whole after", (double)after.failed, false, 0);
    Report_Bound("attempts per request", attempts / MAX(requests, 1), false,
                 1.1);
    run_end_(&run);
}

static void
do_fail_(Load *load, void *user)
{
    Site *site = user;

    Procs_Kill(&site->agents[0]);
    Procs_Freeze(&site->agents[1], true);
    g_free(Procs_Http(site->agents[2].admin, "POST", "/drain", "{}"));
    // The same to the services: one killed, one silent, one left.
    Procs_Kill(&site->agents[9]);
    Procs_Freeze(&site->agents[10], true);
}

static void
fail_endpoints_(uint32_t seed)
{
    const int engines = 9;
    WorkloadOptions o = workload_options_(seed, engines);
    SiteOptions s = site_options_(engines, "offers");
    Run run;
    const GwTime at = RUN_TIME / 2;
    Action action = {at, do_fail_, &run.site};
    Summary before;
    Summary during;
    Summary after;
    Summary calls;
    double most = 0;
    g_autofree char *refusals = NULL;
    g_autofree char *call_refusals = NULL;

    s.services = 3;
    o.calls_per_s = 20;
    run_begin_(&run, &o, &s, &action);
    before = Load_Summary(&run.load, PART_PAYING, WARM_UP, at);
    during = Load_Summary(&run.load, PART_PAYING, at, at + 5 * GW_SECOND);
    after = Load_Summary(&run.load, PART_PAYING, at + 5 * GW_SECOND, GW_NEVER);
    calls = Load_Summary(&run.load, PART_CALLS, 0, GW_NEVER);
    for (int i = 0; i < s.services; i++) {
        g_autofree char *text =
            Procs_Http(run.site.service.ports[i], "GET", "/runs", NULL);
        const char *m = strstr(text, "\"most\":");

        most = MAX(most, m != NULL ? g_ascii_strtod(m + 7, NULL) : 99);
    }
    refusals = Load_Refusals(&run.load, PART_PAYING);
    call_refusals = Load_Refusals(&run.load, PART_CALLS);
    Report_Section("one agent killed, one silent, one leaving; of engines "
                   "and services");
    Report_Text("paying refusals", refusals[0] != '\0' ? refusals : "none");
    Report_Text("call refusals",
                call_refusals[0] != '\0' ? call_refusals : "none");
    Report_Value("p99 before", before.p99_ms, "ms");
    Report_Value("p99 in the 5 s after", during.p99_ms, "ms");
    Report_Value("p99 from 5 s after on", after.p99_ms, "ms");
    Report_Bound("p99, from 5 s after on against before",
                 after.p99_ms / before.p99_ms, false, 1.2);
    Report_Bound("most runs of a keyed call", most, false, 1);
    Report_Bound(
        "requests neither whole nor refused",
        (double)(before.failed + during.failed + after.failed + calls.failed),
        false, 0);
    Procs_Freeze(&run.site.agents[1], false);
    Procs_Freeze(&run.site.agents[10], false);
    run_end_(&run);
}

static int
compare_times_(gconstpointer a, gconstpointer b)
{
    GwTime x = *(const GwTime *)a;
    GwTime y = *(const GwTime *)b;

    return (x > y) - (x < y);
}

static double
overall_quantile_(const Load *load, double q, bool total)
{
    GArray *v = g_array_new(FALSE, FALSE, sizeof(GwTime));
    GwTime out;

    for (size_t i = 0; i < load->n; i++) {
        const Result *r = &load->results[i];

        if (!r->refused)
            g_array_append_val(v, *(total ? &r->total : &r->first));
    }
    g_array_sort(v, compare_times_);
    out = g_array_index(v, GwTime, (guint)(q * (v->len - 1)));
    g_array_unref(v);
    return (double)out / 1000;
}

// Each request alone at an idle engine: what the router adds. Half load of
// the router would queue at the stand-ins, whose wait is not ours.
static void
measure_latency_(uint32_t seed)
{
    const int engines = 3;
    WorkloadOptions o = workload_options_(seed, engines);
    SiteOptions s = site_options_(engines, "offers");
    double p50[2];
    double p99[2];

    o.length = RUN_TIME / 2;
    o.paying_per_s = 100;
    o.trial_per_s = 0;
    o.halls = 1;
    o.tokens = 1;
    s.prefill_ns = 0;
    for (int direct = 0; direct < 2; direct++) {
        Workload *w = Workload_New(&o);
        Site site;
        Load load = {0};

        Site_Start(&site, &s);
        Load_Run(&load, w, direct ? site.engines.ports : site.entry_ports,
                 direct ? engines : s.entries, NULL, 0);
        p50[direct] = overall_quantile_(&load, 0.5, false);
        p99[direct] = overall_quantile_(&load, 0.99, false);
        Site_Stop(&site);
        Load_Finish(&load);
        Workload_Delete(w);
    }
    Report_Section("latency added to a direct call, 100 requests/s");
    Report_Value("direct p50 first token", p50[1], "ms");
    Report_Value("through the router p50 first token", p50[0], "ms");
    Report_Value("direct p99 first token", p99[1], "ms");
    Report_Value("through the router p99 first token", p99[0], "ms");
    Report_Bound("added p50, ms", p50[0] - p50[1], false, 0.5);
    Report_Bound("added p99, ms", p99[0] - p99[1], false, 3);
}

static void
measure_cost_(uint32_t seed)
{
    const int engines = 9;
    SiteOptions s = site_options_(engines, "offers");
    const double rates[] = {100, 200, 400};

    Report_Section("cost, at three rates");
    s.prefill_ns = 1000;
    s.slots = 64;
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        WorkloadOptions o = workload_options_(seed, engines);
        Workload *w;
        Site site;
        Load load = {0};
        double entry_cpu = 0;
        double agent_cpu = 0;
        double requests;
        g_autofree char *entry_name = g_strdup_printf(
            "entry: core time for a request, at %.0f/s", rates[i]);
        g_autofree char *agent_name = g_strdup_printf(
            "agent: core time for a request, at %.0f/s", rates[i]);

        o.length = RUN_TIME / 2;
        o.paying_per_s = rates[i];
        o.trial_per_s = 0;
        o.tokens = 32;
        w = Workload_New(&o);
        Site_Start(&site, &s);
        for (int e = 0; e < s.entries; e++)
            entry_cpu -= Procs_Cpu(&site.entries[e]);
        for (int a = 0; a < site.n_agents; a++)
            agent_cpu -= Procs_Cpu(&site.agents[a]);
        Load_Run(&load, w, site.entry_ports, s.entries, NULL, 0);
        for (int e = 0; e < s.entries; e++)
            entry_cpu += Procs_Cpu(&site.entries[e]);
        for (int a = 0; a < site.n_agents; a++)
            agent_cpu += Procs_Cpu(&site.agents[a]);
        requests = (double)load.n;
        Report_Value(entry_name, entry_cpu / requests * 1e6, "us");
        Report_Value(agent_name, agent_cpu / requests * 1e6, "us");
        if (i == G_N_ELEMENTS(rates) - 1) {
            Report_Value("entry: requests a second for a core",
                         requests / entry_cpu, "");
            Report_Value("entry: streamed tokens a second for a core",
                         requests * o.tokens / entry_cpu, "");
            Report_Value("agent: requests a second for a core",
                         requests / agent_cpu, "");
            Report_Value("agent: streamed tokens a second for a core",
                         requests * o.tokens / agent_cpu, "");
        }
        Site_Stop(&site);
        Load_Finish(&load);
        Workload_Delete(w);
    }
}
