/* galenagw status and drain: one request to an instance's admin address. */
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "galenagw/base/log.h"
#include "galenagw/net/http_client.h"

typedef struct {
    GwAddress admin;
} AdminSettings;

typedef struct {
    GwLoop *loop;
    int status;
    GwHttpOutcome outcome;
} Ask;

static const GwSetting settings_table[] = {
    {"admin", "IP:PORT", "Admin address of the instance", GW_SETTING_ADDRESS,
     offsetof(AdminSettings, admin), 0, 0, true},
    {0},
};

static bool ask_(int argc, char **argv, const char *method, const char *path,
                 const char *doc, GwError *err);
static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);

static const GwHttpRequestOps ask_ops = {on_head_, on_data_, on_done_};

bool
Command_Status(int argc, char **argv, GwError *err)
{
    return ask_(argc, argv, "GET", "/status",
                "Show the state of an entry or agent, as JSON.", err);
}

bool
Command_Drain(int argc, char **argv, GwError *err)
{
    return ask_(argc, argv, "POST", "/drain",
                "Make an entry or agent leave: no new work, every answer "
                "finished, then the process ends.",
                err);
}

static bool
ask_(int argc, char **argv, const char *method, const char *path,
     const char *doc, GwError *err)
{
    AdminSettings settings = {0};
    GwSettingsOptions parse = {
        .table = settings_table, .doc = doc, .target = &settings};
    Ask ask = {0};
    GwHttpRequestOptions options = {
        .method = method,
        .path = path,
        // A body, so that POST carries a length.
        .body = "{}",
        .body_len = strcmp(method, "POST") == 0 ? 2 : 0,
        .timeout = 5 * GW_SECOND,
        .ops = &ask_ops,
        .user = &ask,
    };

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init("warning", err))
        return false;
    ask.loop = GwLoop_New(NULL, err);
    if (ask.loop == NULL)
        return false;
    options.address = settings.admin;
    GwHttpRequest_New(ask.loop, &options);
    GwLoop_Run(ask.loop);
    GwLoop_Delete(ask.loop);
    if (ask.outcome == GW_HTTP_COMPLETE && ask.status < 300)
        return true;
    return GwError_Set(err, GW_ERROR_UNAVAILABLE,
                       "%s:%d answered %d (%s); check the admin address",
                       settings.admin.host, settings.admin.port, ask.status,
                       GwHttpOutcome_Names[ask.outcome]);
}

static void
on_head_(void *user, int status, const char *type)
{
    ((Ask *)user)->status = status;
}

static void
on_data_(void *user, const char *data, size_t len)
{
    fwrite(data, 1, len, stdout);
}

static void
on_done_(void *user, GwHttpOutcome outcome)
{
    Ask *ask = user;

    printf("\n");
    ask->outcome = outcome;
    GwLoop_Stop(ask->loop);
}
