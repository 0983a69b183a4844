/* galenagw gateway: the program that callers reach, on the users' platform. */
#define GW_LOG_PART "gateway"
#include <unistd.h>

#include "commands.h"
#include "galenagw/base/log.h"
#include "galenagw/base/settings.h"
#include "galenagw/gateway/gateway.h"

typedef struct {
    const char *settings;
    const char *log_level;
    int64_t log_lines;
    GwDeployment deployment;
    GwEventLog *log;
    GwLoop *loop;
    GwGateway *gateway;
} GatewayProgram;

#define FIELD(name) offsetof(GatewayProgram, name)

static const GwSetting gateway_settings[] = {
    {"settings", "FILE",
     "The platform's settings file (default: where the "
     "platform's variable points)",
     GW_SETTING_TEXT, FIELD(settings), 0, 0, false},
    {"log-level", "LEVEL", "error, warning, info or debug, of plain messages",
     GW_SETTING_TEXT, FIELD(log_level), 0, 0, false},
    {"log-lines", "N", "Most event lines a second (default 300)",
     GW_SETTING_INT, FIELD(log_lines), 1, 100000, false},
    {0},
};

static void
on_terminate_(void *user)
{
    GwGateway_Drain(((GatewayProgram *)user)->gateway);
}

static void
on_hangup_(void *user)
{
    GatewayProgram *p = user;
    GwDeployment fresh;
    GwError err = {0};

    // Settings that cannot be read leave those in force as they are.
    if (!GwDeployment_Load(&fresh, p->settings, &err)) {
        GwEvent_Begin(p->log, "reload_failed", NULL);
        GwEvent_Text(p->log, "error", err.message);
        GwEvent_End(p->log);
        return;
    }
    GwGateway_Reload(p->gateway, &fresh);
    GwDeployment_Clear(&fresh);
}

static void
on_stopped_(void *user)
{
    GwLoop_Stop(((GatewayProgram *)user)->loop);
}

static bool
serve_(GatewayProgram *p, GwError *err)
{
    GwGatewayOptions options = {
        .deployment = &p->deployment,
        .log = p->log,
        .on_stopped = on_stopped_,
        .user = p,
    };
    GwLoopOptions loop = {.max_connections =
                              (int)p->deployment.max_connections};

    p->loop = GwLoop_New(&loop, err);
    if (p->loop == NULL)
        return false;
    p->gateway = GwGateway_New(p->loop, &options, err);
    if (p->gateway == NULL) {
        GwLoop_Delete(p->loop);
        return false;
    }
    GwEvent_Begin(p->log, "start", NULL);
    GwEvent_Text(p->log, "instance", p->deployment.name);
    GwEvent_Text(p->log, "version", GW_VERSION);
    GwEvent_Number(p->log, "port", GwGateway_CallerPort(p->gateway));
    GwEvent_End(p->log);
    GwLoop_OnTerminate(p->loop, on_terminate_, p);
    GwLoop_OnHangup(p->loop, on_hangup_, p);
    GwLoop_Run(p->loop);
    GwGateway_Delete(p->gateway);
    GwLoop_Delete(p->loop);
    return true;
}

bool
Command_Gateway(int argc, char **argv, GwError *err)
{
    GatewayProgram p = {.log_level = "info", .settings = GwDeployment_Path()};
    GwSettingsOptions parse = {
        .table = gateway_settings,
        .doc = "Serve callers on the users' platform, by its settings file.",
        .target = &p,
    };
    GwEventLogOptions log = {.fd = STDOUT_FILENO};
    bool ok;

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init(p.log_level, err) ||
        !GwDeployment_Load(&p.deployment, p.settings, err))
        return false;
    log.lines_per_s = (unsigned)p.log_lines;
    p.log = GwEventLog_New(&log);
    ok = serve_(&p, err);
    GwEventLog_Delete(p.log);
    GwDeployment_Clear(&p.deployment);
    return ok;
}
