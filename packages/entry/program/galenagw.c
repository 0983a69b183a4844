/* galenagw: runs the entry and the operators' commands. */
#define GW_LOG_PART "entry"
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "galenagw/base/log.h"
#include "galenagw/entry/entry.h"

/* The settings of `galenagw entry` as parsed; run_entry_ converts them. */
typedef struct {
    GwEntryOptions options;
    int64_t snapshot_every;
    int64_t silent_ms;
    int64_t balancer_lag_ms;
    int64_t list_ms;
    int64_t max_body;
    const char *log_level;
    GwLoop *loop;
} EntryProgram;

typedef struct {
    const char *name;
    bool (*run)(int argc, char **argv, GwError *err);
    const char *doc;
} Command;

#define FIELD(name) offsetof(EntryProgram, name)

static const GwSetting entry_settings[] = {
    {"name", "NAME", "Name of this instance, as the platform lists it",
     GW_SETTING_TEXT, FIELD(options.name), 0, 0, true},
    {"failure-domain", "NAME", "Failure domain of this instance",
     GW_SETTING_TEXT, FIELD(options.failure_domain), 0, 0, true},
    {"site", "NAME", "Site whose overlay applies (default: failure domain)",
     GW_SETTING_TEXT, FIELD(options.site), 0, 0, false},
    {"listen", "IP:PORT", "Address for callers (default 127.0.0.1:0)",
     GW_SETTING_ADDRESS, FIELD(options.listen), 0, 0, false},
    {"admin", "IP:PORT", "Address of /metrics, /status and /drain",
     GW_SETTING_ADDRESS, FIELD(options.admin), 0, 0, false},
    {"log", "IP:PORT", "Address of the platform's log service",
     GW_SETTING_ADDRESS, FIELD(options.log), 0, 0, true},
    {"instances", "IP:PORT", "Address of the platform's instance list",
     GW_SETTING_ADDRESS, FIELD(options.instances), 0, 0, true},
    {"list-ms", "MS", "Time between reads of the instance list",
     GW_SETTING_INT, FIELD(list_ms), 10, 60000, false},
    {"silent-ms", "MS",
     "Close a session after this time without data or a pong", GW_SETTING_INT,
     FIELD(silent_ms), 100, 60000, false},
    {"balancer-lag-ms", "MS", "How long a drain still accepts requests",
     GW_SETTING_INT, FIELD(balancer_lag_ms), 1, 600000, false},
    {"max-body", "BYTES", "Largest request body", GW_SETTING_INT,
     FIELD(max_body), 1024, 15 * 1024 * 1024, false},
    {"snapshot-every", "RECORDS",
     "Configuration records between snapshots (default 1000)", GW_SETTING_INT,
     FIELD(snapshot_every), 1, 1000000, false},
    {"log-level", "LEVEL", "error, warning, info or debug", GW_SETTING_TEXT,
     FIELD(log_level), 0, 0, false},
    {0},
};

static bool run_entry_(int argc, char **argv, GwError *err);

static const Command commands[] = {
    {"entry", run_entry_, "serve callers"},
    {"gateway", Command_Gateway, "serve callers on the users' platform"},
    {"config", Command_Config, "check, diff, publish or show configuration"},
    {"status", Command_Status, "show an instance's state"},
    {"drain", Command_Drain, "make an instance finish its requests and exit"},
};

static void
on_terminate_(void *user)
{
    GwEntry_Drain(user);
}

static void
on_drained_(void *user)
{
    GwLoop_Stop(((EntryProgram *)user)->loop);
}

static bool
serve_until_drained_(EntryProgram *p, GwError *err)
{
    GwEntry *entry;

    p->loop = GwLoop_New(NULL, err);
    if (p->loop == NULL)
        return false;
    p->options.on_drained = on_drained_;
    p->options.user = p;
    entry = GwEntry_New(p->loop, &p->options, err);
    if (entry == NULL) {
        GwLoop_Delete(p->loop);
        return false;
    }
    // The launcher of the platform reads the ports in use from this line.
    printf("listening port=%d admin=%d\n", GwEntry_Port(entry),
           GwEntry_AdminPort(entry));
    fflush(stdout);
    GwLoop_OnTerminate(p->loop, on_terminate_, entry);
    GwLoop_Run(p->loop);
    GwEntry_Delete(entry);
    GwLoop_Delete(p->loop);
    return true;
}

static bool
run_entry_(int argc, char **argv, GwError *err)
{
    EntryProgram p = {
        .options.listen = {"127.0.0.1", 0},
        .options.admin = {"127.0.0.1", 0},
        .snapshot_every = 1000,
        .silent_ms = 1500,
        .balancer_lag_ms = 2000,
        .list_ms = 500,
        .max_body = 4 * 1024 * 1024,
        .log_level = "info",
    };
    GwSettingsOptions parse = {
        .table = entry_settings,
        .doc = "Serve callers: choose an endpoint, deliver its answer.",
        .target = &p,
    };

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init(p.log_level, err))
        return false;
    if (p.options.site == NULL)
        p.options.site = p.options.failure_domain;
    p.options.snapshot_every = (uint64_t)p.snapshot_every;
    p.options.silence_timeout = p.silent_ms * GW_MILLISECOND;
    p.options.balancer_lag = p.balancer_lag_ms * GW_MILLISECOND;
    p.options.list_period = p.list_ms * GW_MILLISECOND;
    p.options.max_body = (size_t)p.max_body;
    return serve_until_drained_(&p, err);
}

static int
print_help_(FILE *out, int code)
{
    fprintf(out, "Usage: galenagw COMMAND [OPTION...]\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        fprintf(out, "  %-9s %s\n", commands[i].name, commands[i].doc);
    fprintf(out, "\nRun 'galenagw COMMAND --help' for a command's options.\n");
    return code;
}

int
main(int argc, char **argv)
{
    GwError err = {0};

    if (argc < 2)
        return print_help_(stderr, 2);
    if (strcmp(argv[1], "--help") == 0)
        return print_help_(stdout, 0);
    if (strcmp(argv[1], "--version") == 0) {
        printf("galenagw %s\n", GW_VERSION);
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) != 0)
            continue;
        if (commands[i].run(argc - 1, argv + 1, &err))
            return 0;
        fprintf(stderr, "galenagw %s: %s\n", argv[1], err.message);
        return err.kind == GW_ERROR_USAGE ? 2 : 1;
    }
    fprintf(stderr, "galenagw: '%s' is not a command; see galenagw --help\n",
            argv[1]);
    return 2;
}
