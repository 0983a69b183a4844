/* galenagw status and drain: send one request to an admin address. */
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "galenagw/base/log.h"
#include "galenagw/http/client.h"

typedef struct {
    GwAddress admin;
} AdminSettings;

typedef struct {
    GwLoop *loop;
    int status;
    GwHttpOutcome outcome;
} AdminRequest;

static const GwSetting settings_table[] = {
    {"admin", "IP:PORT", "Admin address of the instance", GW_SETTING_ADDRESS,
     offsetof(AdminSettings, admin), 0, 0, true},
    {0},
};

static bool send_request_(int argc, char **argv, const char *method,
                          const char *path, const char *doc, GwError *err);
static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);

static const GwHttpRequestOps admin_request_ops = {on_head_, on_data_,
                                                   on_done_};

bool
Command_Status(int argc, char **argv, GwError *err)
{
    return send_request_(argc, argv, "GET", "/status",
                         "Show the state of an entry or agent, as JSON.", err);
}

bool
Command_Drain(int argc, char **argv, GwError *err)
{
    return send_request_(
        argc, argv, "POST", "/drain",
        "Drain an entry or agent: it accepts no new work, finishes "
        "every answer, and its process exits.",
        err);
}

static bool
send_request_(int argc, char **argv, const char *method, const char *path,
              const char *doc, GwError *err)
{
    AdminSettings settings = {0};
    GwSettingsOptions parse = {
        .table = settings_table, .doc = doc, .target = &settings};
    AdminRequest request = {0};
    GwHttpRequestOptions options = {
        .method = method,
        .path = path,
        // With a body, a POST has a Content-Length.
        .body = "{}",
        .body_len = strcmp(method, "POST") == 0 ? 2 : 0,
        .timeout = 5 * GW_SECOND,
        .ops = &admin_request_ops,
        .user = &request,
    };

    if (!GwSettings_Parse(&parse, argc, argv, err) ||
        !GwLog_Init("warning", err))
        return false;
    request.loop = GwLoop_New(NULL, err);
    if (request.loop == NULL)
        return false;
    options.address = settings.admin;
    GwHttpRequest_New(request.loop, &options);
    GwLoop_Run(request.loop);
    GwLoop_Delete(request.loop);
    if (request.outcome == GW_HTTP_COMPLETE && request.status < 300)
        return true;
    return GwError_Set(err, GW_ERROR_UNAVAILABLE,
                       "%s:%d answered %d (%s); check the admin address",
                       settings.admin.host, settings.admin.port,
                       request.status, GwHttpOutcome_Names[request.outcome]);
}

static void
on_head_(void *user, int status, const char *type)
{
    ((AdminRequest *)user)->status = status;
}

static void
on_data_(void *user, const char *data, size_t len)
{
    fwrite(data, 1, len, stdout);
}

static void
on_done_(void *user, GwHttpOutcome outcome)
{
    AdminRequest *request = user;

    printf("\n");
    request->outcome = outcome;
    GwLoop_Stop(request->loop);
}
