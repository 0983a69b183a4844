#include "request_log.h"

#include "selection.h"
#include "cache_nodes.h"
#include "request_content.h"
#include "request_software.h"
#include "terminations.h"

/* Names of GwOriginSource in logs, by value. */
static const char *const origin_source_names[GW_ORIGIN_SOURCES] = {
    [GW_ORIGIN_SOURCE_OWN] = "own",
    [GW_ORIGIN_SOURCE_AGENT] = "agent",
    [GW_ORIGIN_SOURCE_ONLY_VERSION] = "only_version",
    [GW_ORIGIN_SOURCE_NOT_NAMED] = "not_named",
    [GW_ORIGIN_SOURCE_UNKNOWN] = "unknown",
    [GW_ORIGIN_SOURCE_NO_ANSWER] = "no_answer",
};

static const char *software_name_(const GwRequest *r);
static void log_prompt_(const GwRequest *r);
static void log_digest_(const GwRequest *r);
static void log_parts_(const GwRequest *r);

void
GwRequestLog_Attempt(const GwRequest *r, const GwDispatch *dispatch)
{
    GwEventLog *log = r->gateway->log;
    const GwInstance *instance = r->instance;
    GwTime now = GwTime_Now();
    double limit;

    GwEvent_Begin(log, "attempt", r->info.id);
    GwEvent_Text(log, "route", r->route->name);
    GwEvent_Number(log, "routes_version", (int64_t)r->routes->version);
    GwEvent_Text(log, "instance", instance->id);
    GwEvent_Number(log, "in_flight", instance->in_flight);
    limit = GwEndpointLimits_Rate(GwView_EndpointLimits(r->gateway->view),
                                  instance, now);
    if (limit >= 0)
        GwEvent_Real(log, "limit", limit);
    if (instance->model != NULL) {
        GwEvent_Number(log, "weights", instance->weights);
        GwEvent_Number(log, "prefill_tokens",
                       (int64_t)instance->prefill_tokens);
        GwEvent_Text(log, "fetch_from",
                     dispatch->fetch_from != NULL ? dispatch->fetch_from->host
                                                  : "none");
        GwEvent_Number(log, "copy_ms", (int64_t)r->chosen.copy_ms);
        GwEvent_Number(log, "read_tokens", (int64_t)r->chosen.read_tokens);
        GwEvent_Number(log, "save", dispatch->save_to != NULL);
        log_prompt_(r);
        if (instance->agent_report.at != 0) {
            GwEvent_Number(log, "running", instance->agent_report.running);
            GwEvent_Number(log, "queued", instance->agent_report.queued);
            GwEvent_Number(log, "others_tokens",
                           (int64_t)instance->agent_report.others_tokens);
            GwEvent_Number(log, "kv_used", instance->agent_report.kv_used);
            GwEvent_Time(log, "advice_age_ms",
                         now - instance->agent_report.at);
        }
    }
    GwEvent_Time(log, "left_ms", r->deadline - now);
    GwEvent_End(log);
}

void
GwRequestLog_Failed(const GwRequest *r, GwAttemptOutcome attempt_outcome,
                    const char *why, GwNextStep next, GwRetrySource source)
{
    GwEventLog *log = r->gateway->log;
    GwTime now = GwTime_Now();

    GwEvent_Begin(log, "attempt_failed", r->info.id);
    GwEvent_Text(log, "instance", r->instance->id);
    GwEvent_Text(log, "why", why);
    GwEvent_Number(log, "status", r->has_reply ? r->reply.status : 0);
    GwEvent_Number(log, "started", r->has_started);
    GwEvent_Text(log, "fate", GwAttemptOutcome_Names[attempt_outcome]);
    GwEvent_Time(log, "after_ms", now - r->sent_at);
    GwEvent_Time(log, "left_ms", r->deadline - now);
    GwEvent_Text(log, "next", GwNextStep_Names[next]);
    GwEvent_Text(log, "budget", GwRetrySource_Names[source]);
    log_digest_(r);
    log_parts_(r);
    GwEvent_End(log);
}

void
GwRequestLog_Abandoned(const GwRequest *r)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "attempt_left", r->info.id);
    GwEvent_Text(log, "instance", r->instance->id);
    GwEvent_Time(log, "after_ms", GwTime_Now() - r->sent_at);
    GwEvent_End(log);
}

void
GwRequestLog_StreamOrigin(const GwRequest *r, GwOriginSource source)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "stream_origin", r->info.id);
    GwEvent_Text(log, "resumes",
                 r->info.resumes != NULL ? r->info.resumes : "none");
    GwEvent_Text(log, "software", software_name_(r));
    GwEvent_Text(log, "learned_from", origin_source_names[source]);
    GwEvent_Time(log, "after_ms", GwTime_Now() - r->arrived_at);
    GwEvent_End(log);
}

void
GwRequestLog_Deferred(const GwRequest *r, const GwInstance *instance,
                      const GwAdmissionFacts *facts,
                      const GwAdmissionDecision *decision)
{
    const GwOverloadFacts *load = &facts->load;
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "deferred", r->info.id);
    GwEvent_Text(log, "why", GwAdmissionVerdict_Names[decision->verdict]);
    GwEvent_Text(log, "route", r->route->name);
    GwEvent_Text(log, "instance", instance->id);
    GwEvent_Time(log, "wait_ms", decision->wait);
    GwEvent_Time(log, "prefill_ms", decision->prefill);
    GwEvent_Time(log, "limit_ms", decision->limit);
    GwEvent_Number(log, "sustained", decision->is_sustained);
    GwEvent_Real(log, "tokens_per_ms", decision->tokens_per_ms);
    GwEvent_Number(log, "waiting_tokens", (int64_t)load->waiting_tokens);
    GwEvent_Number(log, "estimated_tokens",
                   (int64_t)decision->estimated_tokens);
    GwEvent_Number(log, "own_tokens", (int64_t)load->own_tokens);
    GwEvent_Number(log, "kv_used", load->kv_used);
    GwEvent_Number(log, "kv_needed", load->kv_needed);
    GwEvent_Number(log, "kv_total", load->kv_total);
    if (facts->share_excess > 1)
        GwEvent_Real(log, "share_excess", facts->share_excess);
    GwEvent_Time(log, "aim_ms", load->target_latency);
    GwEvent_Time(log, "left_ms", load->left);
    if (instance->agent_report.at != 0)
        GwEvent_Time(log, "advice_age_ms",
                     GwTime_Now() - instance->agent_report.at);
    GwEvent_Time(log, "retry_after_ms", decision->retry_after);
    GwEvent_End(log);
}

void
GwRequestLog_Limited(const GwRequest *r, const GwLimitDecision *verdict)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "limited", r->info.id);
    GwEvent_Text(log, "account", r->account->name);
    GwEvent_Text(log, "state", GwLimitState_Names[verdict->state]);
    GwEvent_Number(log, "rate", (int64_t)r->account->limit_rate);
    GwEvent_Number(log, "burst", (int64_t)r->account->limit_burst);
    GwEvent_Number(log, "routes_version", (int64_t)r->routes->version);
    GwEvent_Number(log, "units", (int64_t)r->granted_units);
    GwEvent_Number(log, "missing", (int64_t)verdict->missing);
    GwEvent_Time(log, "waited_ms", GwTime_Now() - r->arrived_at);
    GwEvent_Time(log, "retry_after_ms", verdict->retry_after);
    GwEvent_End(log);
}

void
GwRequestLog_Quarantined(const GwRequest *r,
                         const GwQuarantineVerdict *verdict)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "quarantined", r->info.id);
    GwTerminations_LogSuspect(log, verdict->kind, &verdict->suspect);
    GwEvent_Number(log, "ends", verdict->n_terminations);
    GwEvent_Time(log, "since_ms", GwTime_Now() - verdict->since);
    GwEvent_Text(log, "learned", GwQuarantineSource_Names[verdict->source]);
    GwEvent_Time(log, "retry_after_ms", verdict->time_left);
    GwEvent_End(log);
}

void
GwRequestLog_StartOutdated(const GwRequest *r, GwTime outdated_for)
{
    GwEventLog *log = r->gateway->log;
    GwTime now = GwTime_Now();

    GwEvent_Begin(log,
                  outdated_for > r->gateway->weights_bound
                      ? "started_late"
                      : "started_outdated",
                  r->info.id);
    GwEvent_Text(log, "instance", r->instance->id);
    GwEvent_Number(log, "weights", r->instance->weights);
    GwEvent_Time(log, "outdated_ms", outdated_for);
    GwEvent_Time(log, "after_ms", now - r->sent_at);
    GwEvent_Time(log, "head_ms", r->reply_at - r->sent_at);
    GwEvent_End(log);
}

void
GwRequestLog_End(const GwRequest *r, const char *outcome, int status)
{
    GwEventLog *log = r->gateway->log;

    GwEvent_Begin(log, "end", r->info.id);
    GwEvent_Text(log, "outcome", outcome);
    GwEvent_Number(log, "status", status);
    GwEvent_Number(log, "attempts", r->attempts);
    GwEvent_Text(log, "route", r->route != NULL ? r->route->name : NULL);
    if (r->first_byte_at != 0)
        GwEvent_Time(log, "first_ms", r->first_byte_at - r->arrived_at);
    GwEvent_Time(log, "took_ms", GwTime_Now() - r->arrived_at);
    GwEvent_End(log);
}

// The version that began the stream, as far as an endpoint of it is listed.
static const char *
software_name_(const GwRequest *r)
{
    const GwInstance *instance;

    if (r->software == 0)
        return "unknown";
    instance = GwRequestSoftware_Endpoint(r, r->service);
    return instance != NULL ? instance->software_version : "not_listed";
}

// Logs the hash of the shared parts, so that the events of all requests with
// the same parts can be found, and how many of these parts the KV store has
// cached.
static void
log_prompt_(const GwRequest *r)
{
    GwEventLog *log = r->gateway->log;
    const GwKvStore *store = GwCacheNodes_KvStore(r);
    char subject[17];

    if (r->info.n_parts < 2)
        return;
    g_snprintf(subject, sizeof(subject), "%016" G_GINT64_MODIFIER "x",
               GwPlacement_HashPrefix(r->info.parts, r->info.n_parts - 1));
    GwEvent_Text(log, "subject", subject);
    GwEvent_Text(log, "scope", r->cache_scope);
    GwEvent_Number(log, "shared_tokens",
                   GwPlacement_SumTokens(r->info.parts, r->info.n_parts - 1));
    GwEvent_Number(log, "shared_parts", r->info.n_parts - 1);
    GwEvent_Number(log, "kept_parts",
                   store != NULL ? GwKvStore_CountCachedParts(store, &r->info,
                                                              r->cache_scope,
                                                              GwTime_Now())
                                 : 0);
}

// Logs the digest of the content. Callers send a new request id with each
// retry; the digest identifies the failures of the same request at all
// gateways.
static void
log_digest_(const GwRequest *r)
{
    GwDigest digest = GwRequestContent_Digest(r);
    char text[GW_DIGEST_TEXT_SIZE];

    GwDigest_Text(&digest, text);
    GwEvent_Text(r->gateway->log, "digest", text);
}

// Logs the ids of the shared parts as the caller gave them. They identify the
// failures of requests that have a part in common.
static void
log_parts_(const GwRequest *r)
{
    g_autoptr(GString) ids = g_string_new(NULL);

    if (r->info.n_parts < 2)
        return;
    for (unsigned i = 0; i + 1 < r->info.n_parts; i++)
        g_string_append_printf(ids, "%s%" G_GINT64_MODIFIER "x",
                               i > 0 ? "," : "", r->info.parts[i].id);
    GwEvent_Text(r->gateway->log, "parts", ids->str);
}
