#include "galenagw/program/process.h"

#include <unistd.h>

#include "galenagw/base/log.h"
#include "galenagw/base/settings.h"

#define FIELD(name) offsetof(GwProcess, name)

static const GwSetting settings[] = {
    {"settings", "FILE",
     "The platform's settings file (default: the path in the "
     "platform's environment variable)",
     GW_SETTING_TEXT, FIELD(settings), 0, 0, false},
    {"log-level", "LEVEL", "error, warning, info or debug, of plain messages",
     GW_SETTING_TEXT, FIELD(log_level), 0, 0, false},
    {"log-lines", "N", "Most event lines a second (default 300)",
     GW_SETTING_INT, FIELD(log_lines_per_s), 1, 100000, false},
    {0},
};

static bool run_loop_(GwProcess *process, GwError *err);
static void log_start_event_(const GwProcess *process);
static void on_terminate_(void *user);
static void on_hangup_(void *user);

bool
GwProcess_Run(const GwProcessOps *ops, int argc, char **argv, GwError *err)
{
    GwProcess p = {
        .ops = ops, .log_level = "info", .settings = GwDeployment_Path()};
    GwSettingsOptions parse = {
        .table = settings, .doc = ops->doc, .target = &p};
    GwEventLogOptions log = {.fd = STDOUT_FILENO};
    bool ok;

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init(p.log_level, err) ||
        !GwDeployment_Load(&p.deployment, p.settings, err))
        return false;
    log.lines_per_s = (unsigned)p.log_lines_per_s;
    p.log = GwEventLog_New(&log);
    ok = run_loop_(&p, err);
    GwEventLog_Delete(p.log);
    GwDeployment_Clear(&p.deployment);
    return ok;
}

static bool
run_loop_(GwProcess *p, GwError *err)
{
    GwLoopOptions loop = {0};

    if (p->ops->limits_open_files)
        loop.max_connections = (int)p->deployment.max_connections;
    p->loop = GwLoop_New(&loop, err);
    if (p->loop == NULL)
        return false;
    if (!p->ops->start(p, err)) {
        GwLoop_Delete(p->loop);
        return false;
    }
    log_start_event_(p);
    GwLoop_OnTerminate(p->loop, on_terminate_, p);
    GwLoop_OnHangup(p->loop, on_hangup_, p);
    GwLoop_Run(p->loop);
    p->ops->delete_(p);
    GwLoop_Delete(p->loop);
    return true;
}

static void
log_start_event_(const GwProcess *p)
{
    GwEvent_Begin(p->log, "start", NULL);
    GwEvent_Text(p->log, "instance", p->deployment.name);
    GwEvent_Text(p->log, "version", GW_VERSION);
    if (p->ops->add_start_fields != NULL)
        p->ops->add_start_fields(p);
    GwEvent_End(p->log);
}

static void
on_terminate_(void *user)
{
    GwProcess *p = user;

    p->ops->terminate(p);
}

static void
on_hangup_(void *user)
{
    GwProcess *p = user;

    p->ops->hangup(p);
}
