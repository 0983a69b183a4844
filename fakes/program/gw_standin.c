/* gw-standin: runs stand-ins of the platform, of engines or of services. */
#include <stdio.h>
#include <string.h>

#include "galenagw/base/log.h"
#include "galenagw/fakes/fake_deployment.h"
#include "galenagw/fakes/fake_engine.h"
#include "galenagw/fakes/fake_platform.h"
#include "galenagw/fakes/fake_service.h"

#define MAX_ENGINES 64

typedef struct {
    GwAddress listen;
    int64_t count;
    int64_t slots;
    int64_t cache_blocks;
    int64_t prefill_ns_per_token;
    int64_t decode_us;
    int64_t tokens;
    int64_t event_delay_ms;
    int64_t drop_events;
    int64_t load_ms;
    const char *weights;
} StandinOptions;

#define FIELD(name) offsetof(StandinOptions, name)

static const GwSetting settings[] = {
    {"listen", "IP:PORT", "Address (default 127.0.0.1:0)", GW_SETTING_ADDRESS,
     FIELD(listen), 0, 0, false},
    {"count", "N", "How many engines or services", GW_SETTING_INT,
     FIELD(count), 1, MAX_ENGINES, false},
    {"slots", "N", "Slots of an engine", GW_SETTING_INT, FIELD(slots), 1, 1000,
     false},
    {"cache-blocks", "N", "Blocks an engine caches", GW_SETTING_INT,
     FIELD(cache_blocks), 1, 1000000, false},
    {"prefill-ns", "NS", "Prefill cost of a token", GW_SETTING_INT,
     FIELD(prefill_ns_per_token), 0, 1000000000, false},
    {"decode-us", "US", "Time between tokens", GW_SETTING_INT,
     FIELD(decode_us), 1, 10000000, false},
    {"tokens", "N", "Tokens of an answer", GW_SETTING_INT, FIELD(tokens), 1,
     100000, false},
    {"event-delay-ms", "MS", "Delay of cache events", GW_SETTING_INT,
     FIELD(event_delay_ms), 0, 60000, false},
    {"drop-events", "N", "Lose one in N event batches", GW_SETTING_INT,
     FIELD(drop_events), 0, 1000000, false},
    {"load-ms", "MS", "Time to load weights", GW_SETTING_INT, FIELD(load_ms),
     0, 60000, false},
    {"weights", "VERSION", "Weights loaded at the start", GW_SETTING_TEXT,
     FIELD(weights), 0, 0, false},
    {0},
};

static void
on_terminate_(void *user)
{
    GwLoop_Stop(user);
}

static bool
start_engines_(GwLoop *loop, const StandinOptions *s, GwError *err)
{
    static FakeEngine *fleet[MAX_ENGINES];
    FakeEngineOptions o = {
        .slots = (int)s->slots,
        .cache_blocks = (size_t)s->cache_blocks,
        .prefill_us_per_token = (double)s->prefill_ns_per_token / 1000,
        .prefill_base = 300,
        .decode = s->decode_us,
        .tokens = (int)s->tokens,
        .event_delay = s->event_delay_ms * GW_MILLISECOND,
        .drop_events = (int)s->drop_events,
        .load_time = s->load_ms * GW_MILLISECOND,
        .weights = s->weights,
    };

    for (int64_t i = 0; i < s->count; i++) {
        fleet[i] = FakeEngine_New(loop, &s->listen, &o, err);
        if (fleet[i] == NULL)
            return false;
        printf("listening port=%d\n", FakeEngine_Port(fleet[i]));
    }
    for (int64_t i = 0; i < s->count; i++)
        FakeEngine_SetFleet(fleet[i], fleet, (size_t)s->count);
    return true;
}

// Operator actions of the demo, which has no calls for them. A trigger file
// names the next weights version, another one restarts all engines.
typedef struct {
    FakeDeployment *deployment;
    GwTimer timer;
    int version;
    int engines;
} Operator;

// @return whether the file named by an environment variable existed
static bool remove_trigger_file_(const char *variable);

static void
on_poll_timer_(void *user)
{
    Operator *o = user;

    if (remove_trigger_file_("GW_STANDIN_WEIGHTS"))
        FakeDeployment_NameWeights(o->deployment, ++o->version);
    if (remove_trigger_file_("GW_STANDIN_RESTART")) {
        for (int i = 0; i < o->engines; i++)
            FakeDeployment_Restart(o->deployment, i);
    }
    GwTimer_Start(&o->timer, 50 * GW_MILLISECOND);
}

static bool
remove_trigger_file_(const char *variable)
{
    const char *file = g_getenv(variable);

    if (file == NULL || !g_file_test(file, G_FILE_TEST_EXISTS))
        return false;
    remove(file);
    return true;
}

static bool
start_deployment_(GwLoop *loop, const StandinOptions *s, GwError *err)
{
    static Operator operator= {.version = 1};
    FakeDeployment *d = FakeDeployment_New(loop, (int)s->count, err);

    if (d == NULL)
        return false;
    operator.deployment = d;
    operator.engines =(int) s->count;
    GwTimer_Init(&operator.timer, loop, on_poll_timer_, &operator);
    on_poll_timer_(&operator);
    printf("listening port=%d\n", FakeDeployment_StorePort(d));
    for (int i = 0; i < s->count; i++) {
        GwAddress a = FakeDeployment_Engine(d, i);

        printf("engine %s:%d\n", a.host, a.port);
    }
    return true;
}

static bool
start_standin_(GwLoop *loop, const char *kind, const StandinOptions *s,
               GwError *err)
{
    FakeServiceOptions service = {.delay = GW_MILLISECOND};

    if (strcmp(kind, "engine") == 0)
        return start_engines_(loop, s, err);
    if (strcmp(kind, "platform") == 0) {
        FakePlatform *p = FakePlatform_New(loop, &s->listen, err);

        if (p != NULL)
            printf("listening port=%d\n", FakePlatform_Port(p));
        return p != NULL;
    }
    if (strcmp(kind, "deployment") == 0)
        return start_deployment_(loop, s, err);
    if (strcmp(kind, "service") != 0)
        return GwError_Set(err, GW_ERROR_USAGE,
                           "'%s' is unknown; expected platform, "
                           "deployment, engine or service",
                           kind);
    for (int64_t i = 0; i < s->count; i++) {
        FakeService *f = FakeService_New(loop, &s->listen, &service, err);

        if (f == NULL)
            return false;
        printf("listening port=%d\n", FakeService_Port(f));
    }
    return true;
}

int
main(int argc, char **argv)
{
    StandinOptions s = {
        .listen = {"127.0.0.1", 0},
        .count = 1,
        .slots = 8,
        .cache_blocks = 2000,
        .prefill_ns_per_token = 20000,
        .decode_us = 2000,
        .tokens = 8,
        .event_delay_ms = 20,
        .load_ms = 500,
        .weights = "v1",
    };
    GwSettingsOptions parse = {
        .table = settings, .doc = "A stand-in, for tests.", .target = &s};
    GwError err = {0};
    GwLoop *loop;

    if (argc > 1 && GwSettings_Parse(&parse, argc - 1, argv + 1, &err) &&
        GwLog_Init("warning", &err)) {
        loop = GwLoop_New(NULL, &err);
        if (loop != NULL && start_standin_(loop, argv[1], &s, &err)) {
            fflush(stdout);
            GwLoop_OnTerminate(loop, on_terminate_, loop);
            GwLoop_Run(loop);
            return 0;
        }
    }
    fprintf(stderr, "gw-standin: %s\n",
            err.message[0] != '\0'
                ? err.message
                : "no stand-in given; expected platform, deployment, "
                  "engine or service");
    return 1;
}
