/* galenagw gateway: the program that accepts the requests of callers on the
 * users' platform. */
#include "commands.h"
#include "galenagw/gateway/gateway.h"
#include "galenagw/program/process.h"

static bool start_(GwProcess *process, GwError *err);
static void log_port_(const GwProcess *process);
static void terminate_(GwProcess *process);
static void hangup_(GwProcess *process);
static void delete_(GwProcess *process);
static void on_stopped_(void *user);

static const GwProcessOps gateway_ops = {
    .doc = "Serve callers on the users' platform, by its settings file.",
    .limits_open_files = true,
    .start = start_,
    .add_start_fields = log_port_,
    .terminate = terminate_,
    .hangup = hangup_,
    .delete_ = delete_,
};

bool
Command_Gateway(int argc, char **argv, GwError *err)
{
    return GwProcess_Run(&gateway_ops, argc, argv, err);
}

static bool
start_(GwProcess *p, GwError *err)
{
    GwGatewayOptions options = {
        .deployment = &p->deployment,
        .log = p->log,
        .on_stopped = on_stopped_,
        .user = p,
    };

    p->service = GwGateway_New(p->loop, &options, err);
    return p->service != NULL;
}

static void
log_port_(const GwProcess *p)
{
    GwEvent_Number(p->log, "port", GwGateway_CallerPort(p->service));
}

static void
terminate_(GwProcess *p)
{
    GwGateway_Drain(p->service);
}

static void
hangup_(GwProcess *p)
{
    GwDeployment fresh;
    GwError err = {0};

    // If the settings file cannot be read, the current settings stay in force.
    if (!GwDeployment_Load(&fresh, p->settings, &err)) {
        GwEvent_Begin(p->log, "reload_failed", NULL);
        GwEvent_Text(p->log, "error", err.message);
        GwEvent_End(p->log);
        return;
    }
    GwGateway_Reload(p->service, &fresh);
    GwDeployment_Clear(&fresh);
}

static void
delete_(GwProcess *p)
{
    GwGateway_Delete(p->service);
}

static void
on_stopped_(void *user)
{
    GwLoop_Stop(((GwProcess *)user)->loop);
}
