#define GW_LOG_PART "sidecar"
#include "sidecar_command.h"

#include <unistd.h>

#include "galenagw/base/log.h"
#include "galenagw/base/settings.h"
#include "galenagw/sidecar/sidecar.h"

typedef struct {
    const char *settings;
    const char *log_level;
    GwEventLog *log;
    GwLoop *loop;
} SidecarProgram;

#define FIELD(name) offsetof(SidecarProgram, name)

static const GwSetting sidecar_settings[] = {
    {"settings", "FILE",
     "The platform's settings file (default: where the "
     "platform's variable points)",
     GW_SETTING_TEXT, FIELD(settings), 0, 0, false},
    {"log-level", "LEVEL", "error, warning, info or debug, of plain messages",
     GW_SETTING_TEXT, FIELD(log_level), 0, 0, false},
    {0},
};

// Requests do not pass here: there is nothing to finish.
static void
on_terminate_(void *user)
{
    SidecarProgram *p = user;

    GwEvent_Begin(p->log, "stop", NULL);
    GwEvent_End(p->log);
    GwLoop_Stop(p->loop);
}

// No setting of this process may change while it runs.
static void
on_hangup_(void *user)
{
    SidecarProgram *p = user;

    GwEvent_Begin(p->log, "reload", NULL);
    GwEvent_End(p->log);
}

static bool
serve_(SidecarProgram *p, const GwDeployment *deployment, GwError *err)
{
    GwSidecarOptions options = {.deployment = deployment, .log = p->log};
    GwSidecar *sidecar;

    p->loop = GwLoop_New(NULL, err);
    if (p->loop == NULL)
        return false;
    sidecar = GwSidecar_New(p->loop, &options, err);
    if (sidecar == NULL) {
        GwLoop_Delete(p->loop);
        return false;
    }
    GwEvent_Begin(p->log, "start", NULL);
    GwEvent_Text(p->log, "instance", deployment->name);
    GwEvent_Text(p->log, "version", GW_VERSION);
    GwEvent_End(p->log);
    GwLoop_OnTerminate(p->loop, on_terminate_, p);
    GwLoop_OnHangup(p->loop, on_hangup_, p);
    GwLoop_Run(p->loop);
    GwSidecar_Delete(sidecar);
    GwLoop_Delete(p->loop);
    return true;
}

bool
Command_Sidecar(int argc, char **argv, GwError *err)
{
    SidecarProgram p = {.log_level = "info", .settings = GwDeployment_Path()};
    GwSettingsOptions parse = {
        .table = sidecar_settings,
        .doc = "The process beside one engine of the users' platform.",
        .target = &p,
    };
    GwEventLogOptions log = {.fd = STDOUT_FILENO};
    GwDeployment deployment;
    bool ok;

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init(p.log_level, err) ||
        !GwDeployment_Load(&deployment, p.settings, err))
        return false;
    p.log = GwEventLog_New(&log);
    ok = serve_(&p, &deployment, err);
    GwEventLog_Delete(p.log);
    GwDeployment_Clear(&deployment);
    return ok;
}
