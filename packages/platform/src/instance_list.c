#define GW_LOG_PART "instances"
#include "galenagw/platform/instance_list.h"

#include <jansson.h>
#include <string.h>

#include "galenagw/base/log.h"

#define TIMEOUT (2 * GW_SECOND)

struct GwInstanceList {
    GwLoop *loop;
    GwAddress address;
    GwTime period;
    GRand *rand;
    const GwInstanceListOps *ops;
    void *user;
    GwTimer timer;
    GwHttpRequest *request;
    GByteArray *body;
    int status;
};

static void poll_(void *user);
static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);
static bool read_row_(const json_t *row, GwInstance *instance);
static const char *text_(const json_t *row, const char *name);

static const GwHttpRequestOps request_ops = {on_head_, on_data_, on_done_};

GwInstanceList *
GwInstanceList_New(GwLoop *loop, const GwAddress *address, GwTime period,
                   GRand *rand, const GwInstanceListOps *ops, void *user)
{
    GwInstanceList *list = g_new0(GwInstanceList, 1);

    list->loop = loop;
    list->address = *address;
    list->period = period;
    list->rand = rand;
    list->ops = ops;
    list->user = user;
    list->body = g_byte_array_new();
    GwTimer_Init(&list->timer, loop, poll_, list);
    poll_(list);
    return list;
}

void
GwInstanceList_Delete(GwInstanceList *list)
{
    if (list == NULL)
        return;
    GwTimer_Stop(&list->timer);
    GwHttpRequest_Cancel(list->request);
    g_byte_array_unref(list->body);
    g_free(list);
}

bool
GwInstanceList_Read(const char *json, size_t len, const GwInstanceListOps *ops,
                    void *user)
{
    json_t *root = json_loadb(json, len, 0, NULL);
    const json_t *rows = json_object_get(root, "instances");
    size_t i;
    json_t *row;

    // A reading that does not parse must not look like an empty list.
    if (!json_is_array(rows)) {
        json_decref(root);
        return false;
    }
    ops->on_begin(user);
    json_array_foreach((json_t *)rows, i, row)
    {
        GwInstance instance = {0};

        if (read_row_(row, &instance))
            ops->on_instance(user, &instance);
    }
    ops->on_end(user);
    json_decref(root);
    return true;
}

static void
poll_(void *user)
{
    GwInstanceList *list = user;
    GwHttpRequestOptions options = {
        .address = list->address,
        .method = "GET",
        .path = "/instances",
        .timeout = TIMEOUT,
        .ops = &request_ops,
        .user = list,
    };

    g_byte_array_set_size(list->body, 0);
    list->status = 0;
    list->request = GwHttpRequest_New(list->loop, &options);
}

static void
on_head_(void *user, int status, const char *type)
{
    ((GwInstanceList *)user)->status = status;
}

static void
on_data_(void *user, const char *data, size_t len)
{
    g_byte_array_append(((GwInstanceList *)user)->body, (const guint8 *)data,
                        (guint)len);
}

static void
on_done_(void *user, GwHttpOutcome outcome)
{
    GwInstanceList *list = user;

    list->request = NULL;
    if (outcome != GW_HTTP_COMPLETE || list->status != 200 ||
        !GwInstanceList_Read((const char *)list->body->data, list->body->len,
                             list->ops, list->user))
        GW_DEBUG("the instance list cannot be read; keeping the last one");
    GwTimer_Start(&list->timer, GwTime_Jitter(list->rand, list->period));
}

static bool
read_row_(const json_t *row, GwInstance *instance)
{
    GwError err = {0};

    instance->name = text_(row, "name");
    instance->role = text_(row, "role");
    instance->pool = text_(row, "pool");
    instance->failure_domain = text_(row, "failure_domain");
    instance->leaving = strcmp(text_(row, "state"), "leaving") == 0;
    return instance->name[0] != '\0' &&
           GwAddress_Parse(&instance->address, text_(row, "address"), &err);
}

static const char *
text_(const json_t *row, const char *name)
{
    const char *text = json_string_value(json_object_get(row, name));

    return text != NULL ? text : "";
}
