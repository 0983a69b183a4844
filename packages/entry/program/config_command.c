/* galenagw config: checks configuration files and publishes them. To publish
 * is to append a change record to the `config` stream of the platform's log
 * service, called the log below. */
#define GW_LOG_PART "config"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "galenagw/base/log.h"
#include "galenagw/platform/config_feed.h"

/* The base and up to 64 overlays, one for each site; or SALT and SECRET. */
#define CONFIG_ARGS_MAX 65
#define APPEND_RETRY_INTERVAL (500 * GW_MILLISECOND)

typedef struct {
    GwAddress log_address;
    const char *author;
    int64_t timeout_ms;
    int64_t expect; /* publish only if this revision is in force; -1: any */
} ConfigSettings;

typedef enum {
    PHASE_READING = 0, /* reads the log to its end */
    PHASE_PUBLISHING,  /* until the appended record is read back */
    PHASE_DONE,
} Phase;

/* State of one command run; most fields are for commands that need the log. */
typedef struct {
    ConfigSettings settings;
    GwLoop *loop;
    GwHttpLog *http_log;
    GwConfigFeed *feed;
    GwCounters counters;
    GRand *rand;
    GwTimer poll;
    GwTime deadline;
    Phase phase;
    json_t *new_document; /* from the files; NULL for show */
    bool publish;         /* else show or diff */
    char id[40];          /* of the change record */
    json_t *change;       /* the record to append */
    GwLogCall *append;    /* pending append, or NULL */
    GwTime append_at;     /* time of the next append, if none is pending */
    bool ok;
    GwError *err;
} ConfigRun;

static const GwSetting settings_table[] = {
    {"log", "IP:PORT", "Address of the platform's log service",
     GW_SETTING_ADDRESS, offsetof(ConfigSettings, log_address), 0, 0, false},
    {"author", "NAME", "Who makes the change", GW_SETTING_TEXT,
     offsetof(ConfigSettings, author), 0, 0, false},
    {"timeout-ms", "MS", "How long to wait for the log", GW_SETTING_INT,
     offsetof(ConfigSettings, timeout_ms), 100, 600000, false},
    {"expect", "REVISION", "Publish only on top of this revision",
     GW_SETTING_INT, offsetof(ConfigSettings, expect), 0, INT64_MAX, false},
    {0},
};

static const char *const verbs[] = {"check",    "diff",   "publish", "show",
                                    "hash-key", "--help", NULL};

static bool print_key_hash_(const char **args, int n, GwError *err);
static bool load_document_(const char **files, int n, json_t **document,
                           GwError *err);
static bool check_site_(const GwYaml *base, const GwYaml *overlay,
                        GwError *err);
static bool run_with_log_(ConfigRun *run);
static void on_poll_(void *user);
static void on_new_revision_(void *user);
static void on_change_record_(void *user, const char *id, GwFoldResult result);
static void on_log_read_(ConfigRun *run);
static void print_document_(ConfigRun *run);
static void print_diff_(ConfigRun *run);
static void begin_publish_(ConfigRun *run);
static void append_change_(ConfigRun *run);
static void on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset);
static void finish_config_run_(ConfigRun *run, bool ok);

bool
Command_Config(int argc, char **argv, GwError *err)
{
    const char *positional[CONFIG_ARGS_MAX];
    ConfigRun run = {
        .settings = {.author = "operator", .timeout_ms = 10000, .expect = -1},
        .err = err,
    };
    GwSettingsOptions parse = {
        .table = settings_table,
        .args_doc = "BASE.yaml [SITE=OVERLAY.yaml...]",
        .doc = "check: check the files.  diff: compare them with what is in "
               "force.  publish: put them in force.  show: print what is in "
               "force.  hash-key SALT SECRET: print an account's key_hash.",
        .target = &run.settings,
        .max_args = CONFIG_ARGS_MAX,
        .args = positional,
    };
    const char *verb = argc > 1 ? argv[1] : "";
    // Not used for hash-key and --help, which return earlier.
    bool needs_log = strcmp(verb, "check") != 0;
    bool ok;

    if (!g_strv_contains(verbs, verb))
        return GwError_Set(err, GW_ERROR_USAGE,
                           "'%s' is unknown; use check, diff, publish, show "
                           "or hash-key",
                           verb);
    // argp takes argv[0] as the name of the program. The verb is that name,
    // except for --help, which argp must parse as an option: it prints the
    // help text and exits.
    if (strcmp(verb, "--help") == 0
            ? !GwSettings_Parse(&parse, argc, argv, err)
            : !GwSettings_Parse(&parse, argc - 1, argv + 1, err))
        return false;
    if (!GwLog_Init("warning", err))
        return false;
    if (strcmp(verb, "hash-key") == 0)
        return print_key_hash_(positional, parse.n_args, err);
    if (strcmp(verb, "show") != 0 &&
        !load_document_(positional, parse.n_args, &run.new_document, err))
        return false;
    run.publish = strcmp(verb, "publish") == 0;
    if (needs_log && run.settings.log_address.host[0] == '\0')
        ok = GwError_Set(err, GW_ERROR_USAGE,
                         "--log is missing; give the flag or set "
                         "GALENAGW_LOG");
    else
        ok = !needs_log || run_with_log_(&run);
    if (ok && !needs_log)
        printf("ok\n");
    json_decref(run.new_document);
    json_decref(run.change);
    return ok;
}

static bool
print_key_hash_(const char **args, int n, GwError *err)
{
    g_autofree char *hash = NULL;

    if (n != 2)
        return GwError_Set(err, GW_ERROR_USAGE,
                           "give SALT and SECRET after hash-key");
    hash = GwConfig_HashKey(args[0], args[1]);
    printf("%s\n", hash);
    return true;
}

static bool
load_document_(const char **files, int n, json_t **document, GwError *err)
{
    GwYaml base = {0};
    json_t *sites = json_object();
    bool ok;

    if (n == 0) {
        json_decref(sites);
        return GwError_Set(err, GW_ERROR_USAGE,
                           "no file is given; name BASE.yaml and "
                           "SITE=OVERLAY.yaml for each site");
    }
    ok =
        GwYaml_LoadFile(&base, files[0], err) && check_site_(&base, NULL, err);
    for (int i = 1; ok && i < n; i++) {
        const char *eq = strchr(files[i], '=');
        GwYaml overlay = {0};
        g_autofree char *site = NULL;

        if (eq == NULL) {
            ok = GwError_Set(err, GW_ERROR_USAGE,
                             "'%s' has no site; write SITE=FILE", files[i]);
            break;
        }
        site = g_strndup(files[i], (gsize)(eq - files[i]));
        ok = GwYaml_LoadFile(&overlay, eq + 1, err) &&
             check_site_(&base, &overlay, err);
        if (ok)
            json_object_set(sites, site, overlay.value);
        GwYaml_Clear(&overlay);
    }
    *document =
        ok ? json_pack("{s:O, s:O}", "base", base.value, "sites", sites)
           : NULL;
    json_decref(sites);
    GwYaml_Clear(&base);
    return ok;
}

// Check the configuration of one site, which is the base merged with the
// site's overlay, if any: an overlay alone is incomplete. With an overlay,
// errors name the overlay's file and its line of the field or else of the
// closest enclosing field that it contains, or line 0. Errors of the base
// alone are found earlier, when the base is checked without an overlay.
static bool
check_site_(const GwYaml *base, const GwYaml *overlay, GwError *err)
{
    json_t *effective = overlay != NULL
                            ? GwDocument_Merge(base->value, overlay->value)
                            : json_incref(base->value);
    bool ok = GwConfig_Check(effective, overlay != NULL ? overlay : base, err);

    json_decref(effective);
    return ok;
}

static bool
run_with_log_(ConfigRun *run)
{
    GwConfigFeedOptions options = {
        .counters = &run->counters,
        .on_change = on_new_revision_,
        .on_record_folded = on_change_record_,
        .user = run,
    };

    run->loop = GwLoop_New(NULL, run->err);
    if (run->loop == NULL)
        return false;
    run->rand = g_rand_new();
    options.rand = run->rand;
    run->deadline = GwTime_Now() + run->settings.timeout_ms * GW_MILLISECOND;
    run->http_log =
        GwHttpLog_New(run->loop, &run->settings.log_address, &run->counters);
    run->feed = GwConfigFeed_New(run->loop, GwHttpLog_Interface(run->http_log),
                                 &options);
    GwTimer_Init(&run->poll, run->loop, on_poll_, run);
    GwTimer_Start(&run->poll, GW_MILLISECOND);
    GwLoop_Run(run->loop);
    GwTimer_Stop(&run->poll);
    GwConfigFeed_Delete(run->feed);
    GwHttpLog_Delete(run->http_log);
    GwLoop_Delete(run->loop);
    g_rand_free(run->rand);
    return run->ok;
}

static void
on_poll_(void *user)
{
    ConfigRun *run = user;

    // At the end of the log the store can still lack a state: if old records
    // have expired, it waits for a snapshot.
    if (run->phase == PHASE_READING && GwConfigFeed_IsCurrent(run->feed) &&
        !GwStore_IsWaiting(GwConfigFeed_Store(run->feed))) {
        on_log_read_(run);
    }
    else if (GwTime_Now() >= run->deadline) {
        GwError_Set(
            run->err, GW_ERROR_UNAVAILABLE,
            run->phase == PHASE_READING
                ? "the log service did not answer within --timeout-ms; "
                  "nothing was published, try again"
                : "the change was not read back within --timeout-ms; "
                  "it may still take effect: check with 'config "
                  "show' before publishing again");
        finish_config_run_(run, false);
    }
    else if (run->phase == PHASE_PUBLISHING && run->append == NULL &&
             GwTime_Now() >= run->append_at) {
        append_change_(run);
    }
    if (run->phase != PHASE_DONE)
        GwTimer_Start(&run->poll, 5 * GW_MILLISECOND);
}

// A new revision is in force. The feed requires this callback, but this
// command evaluates the change records instead, see on_change_record_.
static void
on_new_revision_(void *user)
{
}

// A change record was read from the log; @p result is what it did to the
// configuration. Only this shows whether the change of this command took
// effect. The record is appended every APPEND_RETRY_INTERVAL until it is read
// back, because an append may have taken effect although its answer was lost.
// Further copies are rejected, because their base revision is outdated.
static void
on_change_record_(void *user, const char *id, GwFoldResult result)
{
    ConfigRun *run = user;

    if (run->phase != PHASE_PUBLISHING || strcmp(id, run->id) != 0)
        return;
    if (result == GW_FOLD_APPLIED) {
        printf("revision %" PRIu64 " is in force\n",
               GwConfigFeed_Revision(run->feed));
        finish_config_run_(run, true);
        return;
    }
    // The expected result is GW_FOLD_REJECTED: the record's base revision is
    // no longer in force. Any other result is reported in the same way.
    GwError_Set(run->err, GW_ERROR_CONFLICT,
                "another change was published first: revision %" PRIu64
                " is in force; compare it with 'config diff', then "
                "publish again",
                GwConfigFeed_Revision(run->feed));
    finish_config_run_(run, false);
}

static void
on_log_read_(ConfigRun *run)
{
    if (run->new_document == NULL)
        print_document_(run);
    else if (run->publish)
        begin_publish_(run);
    else
        print_diff_(run);
}

static void
print_document_(ConfigRun *run)
{
    const GwStore *store = GwConfigFeed_Store(run->feed);
    char *text =
        json_dumps(GwStore_Document(store), JSON_INDENT(2) | JSON_SORT_KEYS);

    printf("revision %" PRIu64 "\n%s\n", GwStore_Revision(store), text);
    free(text);
    finish_config_run_(run, true);
}

static void
print_diff_(ConfigRun *run)
{
    const GwStore *store = GwConfigFeed_Store(run->feed);
    json_t *diff = GwDocument_Diff(GwStore_Document(store), run->new_document);
    char *text = json_dumps(diff, JSON_INDENT(2) | JSON_SORT_KEYS);

    // The merge patch turns the revision in force into the files' content.
    printf("against revision %" PRIu64 ", as a merge patch:\n%s\n",
           GwStore_Revision(store), text);
    free(text);
    json_decref(diff);
    finish_config_run_(run, true);
}

static void
begin_publish_(ConfigRun *run)
{
    const GwStore *store = GwConfigFeed_Store(run->feed);
    uint64_t revision = GwStore_Revision(store);
    g_autofree char *uuid = g_uuid_string_random();
    json_t *patch;

    if (run->settings.expect >= 0 &&
        (uint64_t)run->settings.expect != revision) {
        GwError_Set(run->err, GW_ERROR_CONFLICT,
                    "revision %" PRIu64 " is in force, not %" PRId64
                    "; compare it with 'config diff', then publish again",
                    revision, run->settings.expect);
        finish_config_run_(run, false);
        return;
    }
    patch = GwDocument_Diff(GwStore_Document(store), run->new_document);
    if (json_object_size(patch) == 0) {
        printf("revision %" PRIu64 " has this content already\n", revision);
        json_decref(patch);
        finish_config_run_(run, true);
        return;
    }
    g_strlcpy(run->id, uuid, sizeof(run->id));
    run->change =
        GwStore_MakeChange(revision, run->id, run->settings.author, patch);
    json_decref(patch);
    run->phase = PHASE_PUBLISHING;
    append_change_(run);
}

static void
append_change_(ConfigRun *run)
{
    GwLog log_interface = GwHttpLog_Interface(run->http_log);

    run->append_at = GwTime_Now() + APPEND_RETRY_INTERVAL;
    run->append = log_interface.ops->append(
        log_interface.impl, GW_CONFIG_STREAM, run->change, on_appended_, run);
}

static void
on_appended_(void *user, GwAppendOutcome outcome, uint64_t offset)
{
    // The outcome is not used, because on_change_record_ decides between
    // success and failure. Until then on_poll_ appends again.
    ((ConfigRun *)user)->append = NULL;
}

static void
finish_config_run_(ConfigRun *run, bool ok)
{
    run->phase = PHASE_DONE;
    run->ok = ok;
    GwLoop_Stop(run->loop);
}
