#include "admin.h"

#include <inttypes.h>
#include <string.h>

#include "claims.h"
#include "drain.h"

#define BODY_MAX_BYTES 4096

static char *status_json_(GwAgent *agent);
static void on_call_(void *user, GwHttpCall *call);
static void respond_metrics_(GwAgent *agent, GwHttpCall *call);
static void respond_(GwHttpCall *call, int status, const char *text);

static const GwHttpServerOps server_ops = {on_call_, NULL, NULL, NULL};

bool
Admin_Start(GwAgent *agent, GwError *err)
{
    GwHttpServerOptions options = {
        .address = agent->options.admin,
        .limits = {.max_body = BODY_MAX_BYTES, .body_timeout = 10 * GW_SECOND},
        .ops = &server_ops,
        .user = agent,
    };

    agent->admin = GwHttpServer_New(agent->loop, &options, err);
    return agent->admin != NULL;
}

static char *
status_json_(GwAgent *agent)
{
    json_t *root = json_pack(
        "{s:s, s:s, s:s, s:I, s:b, s:b, s:b, s:s, s:i, s:i, s:i, s:I, s:I, "
        "s:f}",
        "instance", agent->options.name, "pool", agent->options.pool,
        "failure_domain", agent->options.failure_domain, "revision",
        (json_int_t)GwConfigFeed_Revision(agent->config_feed), "log_current",
        GwConfigFeed_IsCurrent(agent->config_feed), "endpoint_up",
        agent->endpoint_up, "draining", agent->draining, "weights",
        agent->loaded_weights != NULL ? agent->loaded_weights : "", "slots",
        agent->slots, "running", GwAdmission_Running(agent->admission),
        "queued", GwAdmission_Queued(agent->admission), "cached_chunks",
        (json_int_t)GwCacheView_Size(agent->cache_view), "claims",
        (json_int_t)(agent->claims != NULL ? Claims_Count(agent->claims) : 0),
        "prefill_us_per_token", agent->prefill_cost.us_per_token);
    char *text = json_dumps(root, JSON_COMPACT);
    char *copy = g_strdup(text);

    free(text);
    json_decref(root);
    return copy;
}

static void
on_call_(void *user, GwHttpCall *call)
{
    GwAgent *agent = user;
    const char *path = GwHttpCall_Path(call);
    bool is_post = strcmp(GwHttpCall_Method(call), "POST") == 0;

    if (strcmp(path, "/healthz") == 0) {
        bool ok = agent->endpoint_up && !agent->draining;

        respond_(call, ok ? 200 : 503, ok ? "ok\n" : "not serving\n");
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics_(agent, call);
    }
    else if (strcmp(path, "/status") == 0) {
        char *text = status_json_(agent);

        GwHttpCall_Respond(call, 200, "application/json", text, strlen(text));
        g_free(text);
    }
    else if (strcmp(path, "/drain") == 0 && is_post) {
        respond_(call, 202, "draining\n");
        AgentDrain_Start(agent);
    }
    else {
        respond_(call, 404, "no such path\n");
    }
}

static void
respond_metrics_(GwAgent *agent, GwHttpCall *call)
{
    g_autoptr(GString) text = g_string_new(NULL);

    GwCounters_Print(&agent->counters, text);
    g_string_append_printf(text, "galenagw_running %d\n",
                           GwAdmission_Running(agent->admission));
    g_string_append_printf(text, "galenagw_queued %d\n",
                           GwAdmission_Queued(agent->admission));
    g_string_append_printf(text, "galenagw_revision %" PRIu64 "\n",
                           GwConfigFeed_Revision(agent->config_feed));
    GwHttpCall_Respond(call, 200, "text/plain; version=0.0.4", text->str,
                       text->len);
}

static void
respond_(GwHttpCall *call, int status, const char *text)
{
    GwHttpCall_Respond(call, status, "text/plain", text, strlen(text));
}
