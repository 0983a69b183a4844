#define GW_LOG_PART "instances"
#include "galenagw/platform/instance_list.h"

#include <jansson.h>
#include <string.h>

#include "galenagw/base/log.h"

/* Timeout of one HTTP request for the list. */
#define POLL_TIMEOUT (2 * GW_SECOND)
/* A row takes some hundred bytes: room for tens of thousands of instances. */
#define LIST_MAX_BYTES (16 * 1024 * 1024)

struct GwInstanceList {
    GwLoop *loop;
    GwAddress address;
    GwTime period;
    GRand *rand;
    const GwInstanceListOps *ops;
    void *user;
    GwTimer timer;
    GwHttpRequest *request;
    GByteArray *body; /* of the answer, as received so far */
    int status;       /* HTTP status of the answer; 0: none yet */
};

static void start_poll_(void *user);
static void on_head_(void *user, int status, const char *type);
static void on_data_(void *user, const char *data, size_t len);
static void on_done_(void *user, GwHttpOutcome outcome);
static bool decode_row_(const json_t *row, GwInstance *instance);
static const char *get_text_(const json_t *row, const char *name);

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
    GwTimer_Init(&list->timer, loop, start_poll_, list);
    start_poll_(list);
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
GwInstanceList_Decode(const char *json, size_t len,
                      const GwInstanceListOps *ops, void *user)
{
    json_t *root = json_loadb(json, len, 0, NULL);
    const json_t *rows = json_object_get(root, "instances");
    size_t i;
    json_t *row;

    // An invalid answer must not be taken for an empty list.
    if (!json_is_array(rows)) {
        json_decref(root);
        return false;
    }
    ops->on_begin(user);
    json_array_foreach((json_t *)rows, i, row)
    {
        GwInstance instance = {0};

        if (decode_row_(row, &instance))
            ops->on_instance(user, &instance);
    }
    ops->on_end(user);
    json_decref(root);
    return true;
}

static void
start_poll_(void *user)
{
    GwInstanceList *list = user;
    GwHttpRequestOptions options = {
        .address = list->address,
        .method = "GET",
        .path = "/instances",
        .timeout = POLL_TIMEOUT,
        .max_body = LIST_MAX_BYTES,
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
        !GwInstanceList_Decode((const char *)list->body->data, list->body->len,
                               list->ops, list->user))
        GW_DEBUG(
            "reading the instance list failed; the last list stays in use");
    GwTimer_Start(&list->timer, GwTime_Jitter(list->rand, list->period));
}

// False if the row has no name or no valid address.
static bool
decode_row_(const json_t *row, GwInstance *instance)
{
    GwError err = {0};

    instance->name = get_text_(row, "name");
    instance->role = get_text_(row, "role");
    instance->pool = get_text_(row, "pool");
    instance->failure_domain = get_text_(row, "failure_domain");
    instance->leaving = strcmp(get_text_(row, "state"), "leaving") == 0;
    return instance->name[0] != '\0' &&
           GwAddress_Parse(&instance->address, get_text_(row, "address"),
                           &err);
}

// Text member `name` of `row`, or "".
static const char *
get_text_(const json_t *row, const char *name)
{
    const char *text = json_string_value(json_object_get(row, name));

    return text != NULL ? text : "";
}
