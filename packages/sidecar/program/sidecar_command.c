#include "sidecar_command.h"

#include "galenagw/program/process.h"
#include "galenagw/sidecar/sidecar.h"

static bool start_(GwProcess *process, GwError *err);
static void terminate_(GwProcess *process);
static void hangup_(GwProcess *process);
static void delete_(GwProcess *process);

static const GwProcessOps sidecar_ops = {
    .doc = "The process beside one engine of the platform.",
    .start = start_,
    .terminate = terminate_,
    .hangup = hangup_,
    .delete_ = delete_,
};

bool
Command_Sidecar(int argc, char **argv, GwError *err)
{
    return GwProcess_Run(&sidecar_ops, argc, argv, err);
}

static bool
start_(GwProcess *p, GwError *err)
{
    GwSidecarOptions options = {.deployment = &p->deployment, .log = p->log};

    p->service = GwSidecar_New(p->loop, &options, err);
    return p->service != NULL;
}

// No requests pass through this process, so it stops without a drain.
static void
terminate_(GwProcess *p)
{
    GwEvent_Begin(p->log, "stop", NULL);
    GwEvent_End(p->log);
    GwLoop_Stop(p->loop);
}

// This process has no setting that can change while it runs.
static void
hangup_(GwProcess *p)
{
    GwEvent_Begin(p->log, "reload", NULL);
    GwEvent_End(p->log);
}

static void
delete_(GwProcess *p)
{
    GwSidecar_Delete(p->service);
}
