/* galenagw-agent: the agent of one endpoint, or with the first argument
 * `sidecar` the sidecar of an engine. */
#define GW_LOG_PART "agent"
#include <stdio.h>
#include <string.h>

#include "galenagw/agent/agent.h"
#include "sidecar_command.h"
#include "galenagw/base/log.h"

typedef struct {
    GwAgentOptions options;
    int64_t plain_service;
    int64_t snapshot_every;
    int64_t progress_ms;
    int64_t silent_ms;
    const char *log_level;
    GwLoop *loop;
} Program;

#define FIELD(name) offsetof(Program, name)

static const GwSetting settings[] = {
    {"name", "NAME", "Name of this instance, as the platform lists it",
     GW_SETTING_TEXT, FIELD(options.name), 0, 0, true},
    {"pool", "POOL", "Model or service of the endpoint", GW_SETTING_TEXT,
     FIELD(options.pool), 0, 0, true},
    {"failure-domain", "NAME", "Failure domain of this instance",
     GW_SETTING_TEXT, FIELD(options.failure_domain), 0, 0, true},
    {"site", "NAME", "Site whose overlay applies (default: failure domain)",
     GW_SETTING_TEXT, FIELD(options.site), 0, 0, false},
    {"listen", "IP:PORT", "Address for entries (default 127.0.0.1:0)",
     GW_SETTING_ADDRESS, FIELD(options.listen), 0, 0, false},
    {"admin", "IP:PORT", "Address of /metrics and /healthz",
     GW_SETTING_ADDRESS, FIELD(options.admin), 0, 0, false},
    {"endpoint", "IP:PORT", "Address of the endpoint", GW_SETTING_ADDRESS,
     FIELD(options.endpoint), 0, 0, true},
    {"log", "IP:PORT", "Address of the platform's log service",
     GW_SETTING_ADDRESS, FIELD(options.log), 0, 0, true},
    {"plain-service", NULL,
     "The endpoint is a plain service instead of an engine", GW_SETTING_FLAG,
     FIELD(plain_service), 0, 1, false},
    {"snapshot-every", "RECORDS",
     "Configuration records between snapshots (default 1000)", GW_SETTING_INT,
     FIELD(snapshot_every), 1, 1000000, false},
    {"progress-ms", "MS", "Timeout of an endpoint that sends no output",
     GW_SETTING_INT, FIELD(progress_ms), 100, 100000, false},
    {"silent-ms", "MS", "Timeout of a session without traffic", GW_SETTING_INT,
     FIELD(silent_ms), 100, 60000, false},
    {"log-level", "LEVEL", "error, warning, info or debug", GW_SETTING_TEXT,
     FIELD(log_level), 0, 0, false},
    {0},
};

static void
on_terminate_(void *user)
{
    GwAgent_Drain(user);
}

static void
on_drained_(void *user)
{
    GwLoop_Stop(((Program *)user)->loop);
}

static bool
run_(Program *p, GwError *err)
{
    GwAgent *agent;

    p->loop = GwLoop_New(NULL, err);
    if (p->loop == NULL)
        return false;
    p->options.on_drained = on_drained_;
    p->options.user = p;
    agent = GwAgent_New(p->loop, &p->options, err);
    if (agent == NULL) {
        GwLoop_Delete(p->loop);
        return false;
    }
    // The platform's launcher reads the ports from standard output.
    printf("listening port=%d admin=%d\n", GwAgent_Port(agent),
           GwAgent_AdminPort(agent));
    fflush(stdout);
    GwLoop_OnTerminate(p->loop, on_terminate_, agent);
    GwLoop_Run(p->loop);
    GwAgent_Delete(agent);
    GwLoop_Delete(p->loop);
    return true;
}

static int
end_(bool ok, const GwError *err)
{
    if (ok)
        return 0;
    fprintf(stderr, "galenagw-agent: %s\n", err->message);
    return err->kind == GW_ERROR_USAGE ? 2 : 1;
}

int
main(int argc, char **argv)
{
    Program p = {
        .options.listen = {"127.0.0.1", 0},
        .options.admin = {"127.0.0.1", 0},
        .snapshot_every = 1000,
        .progress_ms = 10000,
        .silent_ms = 1500,
        .log_level = "info",
    };
    GwSettingsOptions parse = {
        .table = settings,
        .program = "galenagw-agent",
        .doc = "The process beside one endpoint that admits and runs all "
               "requests "
               "to it.",
        .target = &p,
    };
    GwError err = {0};
    bool ok;

    if (argc > 1 && strcmp(argv[1], "sidecar") == 0)
        return end_(Command_Sidecar(argc - 1, argv + 1, &err), &err);
    ok = GwSettings_Parse(&parse, argc, argv, &err) &&
         GwLog_Init(p.log_level, &err);
    if (ok) {
        if (p.options.site == NULL)
            p.options.site = p.options.failure_domain;
        p.options.plain_service = p.plain_service != 0;
        p.options.snapshot_every = (uint64_t)p.snapshot_every;
        p.options.progress_timeout = p.progress_ms * GW_MILLISECOND;
        p.options.silence_timeout = p.silent_ms * GW_MILLISECOND;
        ok = run_(&p, &err);
    }
    return end_(ok, &err);
}
