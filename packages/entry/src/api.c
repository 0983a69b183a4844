#include "api.h"

#include <inttypes.h>
#include <string.h>

#include "drain.h"
#include "exchange.h"
#include "openai.h"
#include "refusals.h"

#define ADMIN_MAX_BODY_BYTES 4096
/* Longest time without progress while a client sends a request body. */
#define BODY_TIMEOUT (30 * GW_SECOND)
#define SERVICE_PREFIX "/v1/services/"

static char *format_status_(GwEntry *entry);
static void on_call_(void *user, GwHttpCall *call);
static void on_caller_closed_(void *user, GwHttpCall *call);
static void on_caller_writable_(void *user, GwHttpCall *call);
static void on_refused_(void *user, GwHttpCall *call, GwHttpRefusal why);
static void on_admin_call_(void *user, GwHttpCall *call);
static void start_model_request_(GwEntry *entry, GwHttpCall *call, bool chat);
static void start_service_request_(GwEntry *entry, GwHttpCall *call,
                                   const char *path);
static void list_models_(GwEntry *entry, GwHttpCall *call);
static void fill_common_fields_(ExchangeRequest *r, const GwHttpCall *call);
static char *copy_bearer_token_(const GwHttpCall *call);
static int count_open_requests_(const GwEntry *entry);
static void respond_metrics_(GwEntry *entry, GwHttpCall *call);
static void respond_text_(GwHttpCall *call, int status, const char *text);

static const GwHttpServerOps caller_ops = {on_call_, on_caller_closed_,
                                           on_caller_writable_, on_refused_};
static const GwHttpServerOps admin_ops = {on_admin_call_, NULL, NULL, NULL};

bool
Api_Start(GwEntry *entry, GwError *err)
{
    GwHttpServerOptions callers = {
        .address = entry->options.listen,
        .limits = {.max_body = entry->options.max_body,
                   .body_timeout = BODY_TIMEOUT},
        .ops = &caller_ops,
        .user = entry,
    };
    GwHttpServerOptions admin = {
        .address = entry->options.admin,
        .limits = {.max_body = ADMIN_MAX_BODY_BYTES,
                   .body_timeout = BODY_TIMEOUT},
        .ops = &admin_ops,
        .user = entry,
    };

    entry->server = GwHttpServer_New(entry->loop, &callers, err);
    if (entry->server == NULL)
        return false;
    entry->admin = GwHttpServer_New(entry->loop, &admin, err);
    return entry->admin != NULL;
}

static char *
format_status_(GwEntry *entry)
{
    const GPtrArray *all = GwMembership_All(entry->members);
    json_t *members = json_array();
    json_t *root;
    char *text;
    char *copy;

    for (guint i = 0; i < all->len; i++) {
        const GwMember *m = all->pdata[i];

        json_array_append_new(members,
                              json_pack("{s:s, s:s, s:s, s:s, s:f}", "name",
                                        m->name, "pool", m->pool,
                                        "failure_domain", m->failure_domain,
                                        "state", GwMemberState_Names[m->state],
                                        "error_rate", m->error_rate));
    }
    root = json_pack("{s:s, s:I, s:b, s:b, s:i, s:o}", "instance",
                     entry->options.name, "revision",
                     (json_int_t)GwConfigFeed_Revision(entry->feed),
                     "log_current", GwConfigFeed_IsCurrent(entry->feed),
                     "draining", entry->draining, "open",
                     count_open_requests_(entry), "members", members);
    text = json_dumps(root, JSON_COMPACT);
    copy = g_strdup(text);
    free(text);
    json_decref(root);
    return copy;
}

static void
on_call_(void *user, GwHttpCall *call)
{
    GwEntry *entry = user;
    const char *path = GwHttpCall_Path(call);
    bool is_post = strcmp(GwHttpCall_Method(call), "POST") == 0;

    if (is_post && strcmp(path, "/v1/chat/completions") == 0)
        start_model_request_(entry, call, true);
    else if (is_post && strcmp(path, "/v1/completions") == 0)
        start_model_request_(entry, call, false);
    else if (!is_post && strcmp(path, "/v1/models") == 0)
        list_models_(entry, call);
    else if (g_str_has_prefix(path, SERVICE_PREFIX))
        start_service_request_(entry, call, path + strlen(SERVICE_PREFIX));
    else if (strcmp(path, "/healthz") == 0)
        // The load balancer checks health on the callers' port.
        respond_text_(call, entry->draining ? 503 : 200,
                      entry->draining ? "draining\n" : "ok\n");
    else
        Refusals_RespondEarly(entry, call, GW_REFUSAL_UNKNOWN_ROUTE, NULL);
}

static void
on_caller_closed_(void *user, GwHttpCall *call)
{
    Exchange *x = GwHttpCall_User(call);

    if (x != NULL)
        Exchange_OnCallerClosed(x);
}

static void
on_caller_writable_(void *user, GwHttpCall *call)
{
    Exchange *x = GwHttpCall_User(call);

    if (x != NULL)
        Exchange_OnCallerWritable(x);
}

static void
on_refused_(void *user, GwHttpCall *call, GwHttpRefusal why)
{
    GwEntry *entry = user;

    GwCounters_AddRefusal(&entry->counters, GwHttpRefusal_Reason(why));
}

static void
on_admin_call_(void *user, GwHttpCall *call)
{
    GwEntry *entry = user;
    const char *path = GwHttpCall_Path(call);
    bool is_post = strcmp(GwHttpCall_Method(call), "POST") == 0;

    if (strcmp(path, "/healthz") == 0) {
        respond_text_(call, entry->draining ? 503 : 200,
                      entry->draining ? "draining\n" : "ok\n");
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics_(entry, call);
    }
    else if (strcmp(path, "/status") == 0) {
        char *text = format_status_(entry);

        GwHttpCall_Respond(call, 200, "application/json", text, strlen(text));
        g_free(text);
    }
    else if (strcmp(path, "/drain") == 0 && is_post) {
        respond_text_(call, 202, "draining\n");
        EntryDrain_Start(entry);
    }
    else {
        respond_text_(call, 404, "no such path\n");
    }
}

static void
start_model_request_(GwEntry *entry, GwHttpCall *call, bool chat)
{
    OpenAiRequest *parsed = g_new0(OpenAiRequest, 1);
    ExchangeRequest r = {.chat = chat, .parsed = parsed};
    GwError err = {0};
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);

    if (!OpenAi_Parse(parsed, chat, body, len, &err)) {
        OpenAi_Finish(parsed);
        g_free(parsed);
        Refusals_RespondEarly(entry, call, GW_REFUSAL_BAD_REQUEST,
                              err.message);
        return;
    }
    fill_common_fields_(&r, call);
    r.pool = g_strdup(parsed->model);
    r.path = g_strdup(GwHttpCall_Path(call));
    r.stream = parsed->stream;
    r.body = g_steal_pointer(&parsed->body);
    r.body_len = parsed->body_len;
    Exchange_Start(entry, call, &r);
}

static void
start_service_request_(GwEntry *entry, GwHttpCall *call, const char *path)
{
    ExchangeRequest r = {.service = true};
    size_t name_len = strcspn(path, "/?");
    const char *key = GwHttpCall_Header(call, "idempotency-key");
    size_t len;
    const char *body = GwHttpCall_Body(call, &len);

    fill_common_fields_(&r, call);
    r.pool = g_strndup(path, name_len);
    r.path = path[name_len] == '/' ? g_strdup(path + name_len)
                                   : g_strconcat("/", path + name_len, NULL);
    r.key = g_strdup(key);
    r.body = malloc(len + 1);
    memcpy(r.body, body, len);
    r.body[len] = '\0';
    r.body_len = len;
    Exchange_Start(entry, call, &r);
}

static void
list_models_(GwEntry *entry, GwHttpCall *call)
{
    const GwConfig *config = GwConfigFeed_Config(entry->feed);
    g_autofree char *bearer = copy_bearer_token_(call);
    json_t *data = json_array();
    json_t *root;
    GHashTableIter it;
    gpointer name;
    char *text;

    if (config == NULL || bearer == NULL ||
        GwConfig_Authenticate(config, bearer) == NULL) {
        json_decref(data);
        Refusals_RespondEarly(entry, call,
                              config == NULL ? GW_REFUSAL_NO_CONFIG
                                             : GW_REFUSAL_UNAUTHORIZED,
                              NULL);
        return;
    }
    g_hash_table_iter_init(&it, config->models);
    while (g_hash_table_iter_next(&it, &name, NULL))
        json_array_append_new(data, json_pack("{s:s, s:s, s:s}", "id",
                                              (char *)name, "object", "model",
                                              "owned_by", "galenagw"));
    root = json_pack("{s:s, s:o}", "object", "list", "data", data);
    text = json_dumps(root, JSON_COMPACT);
    GwHttpCall_Respond(call, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(root);
}

static void
fill_common_fields_(ExchangeRequest *r, const GwHttpCall *call)
{
    const char *type = GwHttpCall_Header(call, "content-type");
    const char *deadline = GwHttpCall_Header(call, "x-deadline-ms");

    r->bearer = copy_bearer_token_(call);
    r->method = g_strdup(GwHttpCall_Method(call));
    r->content_type = g_strdup(type != NULL ? type : "application/json");
    // The value modulo 2^32, so that the multiplication cannot overflow.
    if (deadline != NULL)
        r->deadline =
            (GwTime)(g_ascii_strtoull(deadline, NULL, 10) & 0xffffffff) *
            GW_MILLISECOND;
}

static char *
copy_bearer_token_(const GwHttpCall *call)
{
    static const char scheme[] = "Bearer ";
    const char *header = GwHttpCall_Header(call, "authorization");

    if (header == NULL ||
        g_ascii_strncasecmp(header, scheme, sizeof(scheme) - 1) != 0)
        return NULL;
    return g_strdup(header + sizeof(scheme) - 1);
}

static int
count_open_requests_(const GwEntry *entry)
{
    return (int)g_hash_table_size(entry->exchanges);
}

static void
respond_metrics_(GwEntry *entry, GwHttpCall *call)
{
    g_autoptr(GString) text = g_string_new(NULL);

    GwCounters_Print(&entry->counters, text);
    g_string_append_printf(text, "galenagw_open_requests %d\n",
                           count_open_requests_(entry));
    g_string_append_printf(text, "galenagw_revision %" PRIu64 "\n",
                           GwConfigFeed_Revision(entry->feed));
    GwHttpCall_Respond(call, 200, "text/plain; version=0.0.4", text->str,
                       text->len);
}

static void
respond_text_(GwHttpCall *call, int status, const char *text)
{
    GwHttpCall_Respond(call, status, "text/plain", text, strlen(text));
}
