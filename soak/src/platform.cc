#include "platform.h"

#include <cstdlib>
#include <cstring>

/* Interval of the events of a stream, and of the pieces of a plain answer. */
static const GwTime kEventInterval = 8 * GW_MILLISECOND;
static const GwTime kPieceInterval = 2 * GW_MILLISECOND;
static const int kMaxPieces = 4;
/* Time after the announcement of its departure from which an endpoint must
 * receive no requests. */
static const GwTime kMaxDrainPropagation = 2 * GW_SECOND;
/* Later than kLimitGrace after an endpoint's rate limit is set, it receives in
 * any kLimitWindow at most kLimitFactor times the limit plus kLimitSlack
 * requests. */
static const GwTime kLimitGrace = 3 * GW_SECOND;
static const GwTime kLimitWindow = 4 * GW_SECOND;
static const double kLimitFactor = 1.5;
static const double kLimitSlack = 5;
/* Time after which an engine must be notified, over two hops, that the caller
 * of a stream closed its connection. */
static const GwTime kMaxCancelPropagation = 1500 * GW_MILLISECOND;

/* Prompt tokens that an engine prefills in a millisecond at slowness 1. */
static const int kPrefillTokensPerMs = 60;

static size_t
HashOf(const std::string &id)
{
    return std::hash<std::string>()(id);
}

std::string
AnswerBodyOf(const std::string &id)
{
    size_t length = HashOf(id) % 30 == 0 ? 400000 : 100 + HashOf(id) % 3000;
    std::string body = id;

    while (body.size() < length)
        body += "." + std::to_string(body.size());
    return body;
}

GwAddress
Ports::At(int group, int i, int port) const
{
    GwAddress a = {};

    snprintf(a.host, sizeof(a.host), "127.1.%d.%d", group, i + 1);
    a.port = base + port;
    return a;
}

std::string
HeaderValue(const FakeExchange *x, const char *name)
{
    const char *value = GwHttpHead_Find(x->head, name);

    return value != nullptr ? value : "";
}

Endpoint::Endpoint(Platform *platform, int number, bool engine)
    : is_engine(engine),
      prefills(
          platform->loop, [this](FakeExchange *x) { BeginRun(x); },
          [this](FakeExchange *x) { AnswerRequest(x); },
          [this](const std::string &request) { CheckWeights(request); }),
      platform_(platform), number_(number)
{
    int group = engine ? kEngineGroup : kPlainGroup;
    GwAddress listed = platform->ports.At(group, number, kListedPort);
    GwAddress served = platform->ports.At(group, number, kServedPort);

    proxy = std::make_unique<Proxy>(platform->loop, listed, served);
    GwTimer_Init(&load_timer_, platform->loop, OnLoadTimer, this);
    GwTimer_Init(&late_order_timer_, platform->loop, OnLateOrderTimer, this);
    GwTimer_Init(&restart_timer_, platform->loop, OnRestartTimer, this);
    GwTimer_Init(&fatal_answer_timer_, platform->loop, OnFatalAnswerTimer,
                 this);
    is_running = false;
    Restart();
}

Endpoint::~Endpoint()
{
    GwTimer_Stop(&load_timer_);
    GwTimer_Stop(&late_order_timer_);
    GwTimer_Stop(&restart_timer_);
    GwTimer_Stop(&fatal_answer_timer_);
    prefills.Clear();
    FakeHttpd_Delete(httpd_);
}

void
Endpoint::Crash()
{
    is_running = false;
    GwTimer_Stop(&load_timer_);
    GwTimer_Stop(&fatal_answer_timer_);
    prefills.Clear();
    FakeHttpd_Delete(httpd_);
    httpd_ = nullptr;
    proxy->ResetAll();
}

void
Endpoint::Restart(const std::string &new_software)
{
    static const FakeHttpdOps ops = {OnRequest, OnConnectionClosed};
    GwAddress served = platform_->ports.At(
        is_engine ? kEngineGroup : kPlainGroup, number_, kServedPort);
    GwError err = {};

    if (is_running)
        return;
    std::string previous_row = id.empty() ? "" : RowText();
    if (!new_software.empty())
        software = new_software;
    bool same_id = !id.empty() && platform_->random() % 2 == 0;
    if (!same_id) {
        // The row of the old id expires, because its heartbeats end.
        if (!id.empty())
            RemoveRow(id);
        id = std::string(is_engine ? "e" : "p") + std::to_string(number_) +
             "-" + std::to_string(++id_count_);
    }
    httpd_ = FakeHttpd_New(platform_->loop, &served, &ops, this, &err);
    if (httpd_ == nullptr) {
        // The endpoint stays down. The run has failed, so this does not
        // matter.
        platform_->ledger->RecordViolation("the soak itself works",
                                           err.message);
        return;
    }
    is_running = true;
    started_at_ = GwTime_Now();
    started_at_ms_ = std::max(started_at_ms_ + 1, g_get_real_time() / 1000);
    is_draining_ = row_shows_draining_ = is_unlisted = false;
    departed_at_ = 0;
    rate_limit_ = -1;
    loading_version_ = load_order_count_ = 0;
    WriteRow();
    // The last heartbeat of the previous incarnation arrives in the store
    // after the first one of this incarnation, which is followed by another.
    if (same_id && platform_->random() % 2 == 0) {
        FakeStore_Put(platform_->store, "keyed.servers", id.c_str(),
                      previous_row.c_str());
        WriteRow();
    }
}

void
Endpoint::Depart(Departure departure)
{
    is_draining_ = departure == Departure::kRowAndAnswers ||
                   departure == Departure::kAnswers;
    row_shows_draining_ =
        departure == Departure::kRowAndAnswers || departure == Departure::kRow;
    is_unlisted = departure == Departure::kRemoval;
    if (departure == Departure::kAnswers)
        return;
    departed_at_ = GwTime_Now();
    WriteRow();
}

bool
Endpoint::IsDeparting() const
{
    return is_draining_ || row_shows_draining_ || is_unlisted;
}

bool
Endpoint::HasServedFor(GwTime time) const
{
    GwTime now = GwTime_Now();

    return is_running && !IsDeparting() && started_at_ <= now - time &&
           proxy->fault_history.IsFaultFreeSince(now);
}

// A machine in touch acknowledges a departure by receiving an answer that
// announces it, whatever the status of the answer.
void
Endpoint::NoteAnnounced(bool is_receiver_in_touch)
{
    GwTime now = GwTime_Now();

    if (is_draining_ && departed_at_ == 0 && is_receiver_in_touch &&
        proxy->fault_history.IsFaultFreeSince(now - kContactTime))
        departed_at_ = now;
}

// The time runs from the acknowledgement, or from the moment at which the
// store has been without faults for kContactTime if that is later. Faults of
// other machines than the sender's excuse nothing.
void
Endpoint::CheckDeparture(const std::string &request) const
{
    GwTime now = GwTime_Now();

    if (departed_at_ == 0 || now - departed_at_ <= kMaxDrainPropagation ||
        !proxy->fault_history.IsFaultFreeSince(now - kContactTime) ||
        !platform_->store_fault_history.IsFaultFreeSince(
            now - kMaxDrainPropagation - kContactTime) ||
        !platform_->is_sender_in_touch(request))
        return;
    platform_->ledger->RecordViolation(
        "a leaving endpoint gets no work",
        request + " of " + platform_->ledger->GatewayOf(request) + " at " +
            id + ", " + std::to_string((now - departed_at_) / GW_MILLISECOND) +
            " ms after its departure");
}

void
Endpoint::SetRateLimit(double rate)
{
    rate_limit_ = rate;
    rate_limit_set_at_ = GwTime_Now();
    arrivals_.clear();
}

bool
Endpoint::HasRateLimit() const
{
    return rate_limit_ >= 0;
}

std::string
Endpoint::LimitHeader() const
{
    char text[64];

    if (rate_limit_ < 0)
        return "";
    snprintf(text, sizeof(text), "Server-Limit: %g\r\n", rate_limit_);
    return text;
}

void
Endpoint::CheckRateLimit()
{
    GwTime now = GwTime_Now();

    if (rate_limit_ < 0 || now - rate_limit_set_at_ < kLimitGrace)
        return;
    arrivals_.push_back(now);
    while (now - arrivals_.front() > kLimitWindow)
        arrivals_.pop_front();
    if ((double)arrivals_.size() >
            kLimitFactor * rate_limit_ * (double)kLimitWindow / GW_SECOND +
                kLimitSlack &&
        platform_->is_settled_since(rate_limit_set_at_)) {
        platform_->ledger->RecordViolation(
            "an endpoint's rate limit is respected",
            id + " with a limit per second of " + std::to_string(rate_limit_) +
                " received within the window " +
                std::to_string(arrivals_.size()));
        arrivals_.clear();
    }
}

// Invalid headers must be ignored: they must not
// make gateways stop using the endpoint.
std::string
Endpoint::StatusHeaders()
{
    static const char *const invalid_headers[] = {
        "Server-Leaving: 0\r\n",   "Server-Leaving: yes\r\n",
        "Server-Leaving: 1 1\r\n", "Retry-After: soon\r\n",
        "Retry-After: -5\r\n",     "Retry-After: 1e9\r\n"};
    std::uniform_real_distribution<double> draw(0, 1);

    if (is_draining_)
        return "Server-Leaving: 1\r\n" + LimitHeader();
    if (draw(platform_->random) < invalid_header_share)
        return invalid_headers[platform_->random() %
                               G_N_ELEMENTS(invalid_headers)] +
               LimitHeader();
    return LimitHeader();
}

void
Endpoint::OnRequest(void *user, FakeExchange *x)
{
    Endpoint *e = static_cast<Endpoint *>(user);
    std::string target = x->head->target;

    x->user = nullptr;
    if (target == "/galenagw/report") {
        e->SendReport(x);
        return;
    }
    std::string id = HeaderValue(x, "X-Request-Id");

    // A sidecar's polls of its engine have no id.
    if (!id.empty())
        e->platform_->RetriesTo(e->is_engine).RecordArrival(id);
    if (HeaderValue(x, "X-Expect-Instance") != e->id) {
        e->Reject(x, 421);
        return;
    }
    if (target == "/galenagw/order")
        e->OnLoadOrder(x);
    else
        e->ServeRequest(x);
}

void
Endpoint::OnConnectionClosed(void *user, FakeExchange *x)
{
    static_cast<Endpoint *>(user)->prefills.Remove(x);
    static_cast<Endpoint *>(user)->early_heads_.erase(x);
    AnswerSender::Delete(static_cast<AnswerSender *>(x->user));
}

// These promises hold for each request, whether the endpoint runs it or not.
bool
Endpoint::CheckRequest(FakeExchange *x) const
{
    Ledger *ledger = platform_->ledger;
    std::string account = HeaderValue(x, "X-Tenant-Id");
    std::string scope = HeaderValue(x, "X-Cache-Salt");

    if (account != "acme" && account != "walled" && account != "loud")
        ledger->RecordViolation("an API key is replaced by its account",
                                "account '" + account + "'");
    if (!HeaderValue(x, "X-Key").empty())
        ledger->RecordViolation("an API key is replaced by its account",
                                "the key was forwarded");
    if (!scope.empty())
        ledger->RecordCacheScope(
            scope, HeaderValue(x, "X-Expect-Version"), account,
            platform_->IsolatedAccounts(HeaderValue(x, "X-Request-Id")));
    CheckDeparture(HeaderValue(x, "X-Request-Id"));
    return is_engine && atoi(HeaderValue(x, "X-Expect-Version").c_str()) !=
                            weights_version_;
}

void
Endpoint::ServeRequest(FakeExchange *x)
{
    std::uniform_real_distribution<double> draw(0, 1);
    bool outdated = CheckRequest(x);

    CheckRateLimit();
    if (x->body->len == strlen(kFatalBody) &&
        !strcmp(x->body->str, kFatalBody)) {
        TerminateByFatalRequest();
        return;
    }
    if (draw(platform_->random) < endless_share) {
        RejectWithoutEnd(x);
        return;
    }
    if (loading_version_ != 0 || draw(platform_->random) < overload_share) {
        Reject(x, 503);
        return;
    }
    if (outdated) {
        Reject(x, 421);
        return;
    }
    if (HeaderValue(x, "X-Prefix-Hash").find(kFatalPart) !=
        std::string::npos) {
        BeginFatalAnswer(x);
        return;
    }
    if (is_engine && platform_->has_load) {
        int tokens = atoi(HeaderValue(x, "X-Token-Usage").c_str());

        if (head_time != HeadTime::kWithFirstToken)
            SendHeadEarly(x);
        prefills.Add(x, HeaderValue(x, "X-Request-Id"),
                     tokens * GW_MILLISECOND / kPrefillTokensPerMs);
        return;
    }
    BeginRun(x);
    AnswerRequest(x);
}

void
Endpoint::BeginRun(FakeExchange *x)
{
    std::string request = HeaderValue(x, "X-Request-Id");

    platform_->ledger->RecordRun(request, id,
                                 !HeaderValue(x, "Last-Event-Id").empty());
    if (HeaderValue(x, "X-Tenant-Id") == "loud")
        platform_->ledger->RecordLoudUse(request);
}

void
Endpoint::AnswerRequest(FakeExchange *x)
{
    std::uniform_real_distribution<double> draw(0, 1);
    std::string request = HeaderValue(x, "X-Request-Id");

    if (is_engine)
        CheckWeights(request);
    if (draw(platform_->random) < reset_share) {
        FakeExchange_Close(x, true);
        return;
    }
    std::string headers = "X-Request-Id: " + request +
                          "\r\nX-Response-Signature: sig-" + request +
                          "\r\nKeep-Alive: timeout=5\r\n" + StatusHeaders();
    NoteAnnounced(platform_->is_sender_in_touch(request));
    if (draw(platform_->random) < silent_share)
        return;
    if (draw(platform_->random) < error_share) {
        if (early_heads_.count(x) != 0)
            FakeExchange_Close(x, true);
        else
            FakeExchange_Answer(x, 500, headers.c_str(), "failed", 6);
        return;
    }
    if (is_engine)
        StartStream(x, "HTTP/1.1 200 OK\r\n" + headers, request);
    else
        SendPlainAnswer(x, "HTTP/1.1 200 OK\r\n" + headers, request);
}

void
Endpoint::SendPlainAnswer(FakeExchange *x, const std::string &head,
                          const std::string &request)
{
    AnswerPlan plan;
    int pieces = 1 + (int)(platform_->random() % kMaxPieces);

    plan.head = head;
    plan.body = AnswerBodyOf(request);
    plan.DrawFraming(&platform_->random);
    for (int i = 1; i <= pieces; i++)
        plan.piece_ends.push_back(plan.body.size() * i / pieces);
    plan.MovePieceEnds(&platform_->random);
    if (platform_->random() % 2 == 0)
        plan.interval = kPieceInterval;
    AnswerSender::Start(platform_->loop, x, plan, [] {});
}

void
Endpoint::StartStream(FakeExchange *x, const std::string &head,
                      const std::string &request)
{
    std::uniform_real_distribution<double> draw(0, 1);
    std::string last_event_id = HeaderValue(x, "Last-Event-Id");
    std::string stream = StreamOf(request);
    AnswerPlan plan;

    plan.head = head +
                "X-Weight-Versions: " + std::to_string(weights_version_) +
                "\r\nContent-Type: text/event-stream\r\n";
    for (int n = last_event_id.empty() ? 1 : atoi(last_event_id.c_str()) + 1;
         n <= EventCountOf(stream); n++) {
        plan.body += EventTextOf(stream, n, software);
        plan.piece_ends.push_back(plan.body.size());
    }
    plan.interval = kEventInterval;
    plan.DrawFraming(&platform_->random);
    if (early_heads_.erase(x) != 0) {
        plan.is_head_sent = true;
        plan.framing = Framing::kChunked;
    }
    plan.MovePieceEnds(&platform_->random);
    if (!plan.body.empty() && draw(platform_->random) < broken_stream_share) {
        plan.DrawBreakOff(&platform_->random);
        platform_->streams.RecordBrokenOff(request);
    }
    AnswerSender::Start(platform_->loop, x, plan,
                        [this, request, is_recorded = false]() mutable {
                            CheckAbandoned(request, &is_recorded);
                        });
}

void
Endpoint::CheckAbandoned(const std::string &request, bool *is_recorded) const
{
    GwTime abandoned_at = platform_->ledger->AbandonedAt(request);

    if (*is_recorded || abandoned_at == 0 ||
        GwTime_Now() - abandoned_at <= kMaxCancelPropagation ||
        !platform_->is_settled_since(abandoned_at))
        return;
    *is_recorded = true;
    platform_->ledger->RecordViolation(
        "abandoned requests are cancelled",
        request + " continues after its caller abandoned it");
}

void
Endpoint::SendReport(FakeExchange *x)
{
    std::string text = "{\"models\":[{\"name\":\"m\",\"version\":" +
                       std::to_string(weights_version_) + "}],\"busy\":" +
                       (loading_version_ != 0 ? "true" : "false") +
                       ",\"seq\":" + std::to_string(load_order_count_) +
                       ",\"queued\":" + std::to_string(prefills.waiting()) +
                       ",\"running\":" + std::to_string(prefills.is_busy()) +
                       ",\"kv_used\":0,\"kv_total\":100000,"
                       "\"born\":" +
                       std::to_string(started_at_ms_) + "}";

    // An endpoint that announced its departure closes the connection after
    // each report.
    std::string headers =
        StatusHeaders() + (is_draining_ ? "Connection: close\r\n" : "");
    NoteAnnounced(platform_->is_sidecar_in_touch(number_));
    FakeExchange_Answer(x, 200, headers.c_str(), text.data(), text.size());
    if (is_draining_)
        FakeExchange_Close(x, false);
}

void
Endpoint::Reject(FakeExchange *x, int status)
{
    std::string request = HeaderValue(x, "X-Request-Id");
    std::string headers = "X-Not-Executed: 1\r\nX-Request-Id: " + request +
                          "\r\nX-Instance-Id: " + id + "\r\n" +
                          StatusHeaders() +
                          (status == 503 ? "Retry-After: 0.3\r\n" : "");

    NoteAnnounced(platform_->is_sender_in_touch(request));
    FakeExchange_Answer(x, status, headers.c_str(), "", 0);
}

Platform::Platform(GwLoop *the_loop, uint64_t seed, const Ports &the_ports,
                   int engines, int plain, Ledger *the_ledger)
    : loop(the_loop), random(seed), ports(the_ports), ledger(the_ledger)
{
    GwAddress any = {"127.0.0.1", 0};
    GwError err = {};

    store = FakeStore_New(loop, &any, &err);
    WriteNewConfig();
    for (int i = 0; i < engines; i++)
        endpoints.push_back(std::make_unique<Endpoint>(this, i, true));
    for (int i = 0; i < plain; i++)
        endpoints.push_back(std::make_unique<Endpoint>(this, i, false));
}

Platform::~Platform()
{
    endpoints.clear();
    FakeStore_Delete(store);
}

std::vector<std::string>
Platform::RestoreStore()
{
    std::set<std::string> stale_keys = listed_keys;

    FakeStore_Restore(store);
    FakeStore_Put(store, "keyed.op", "config", config.c_str());
    WriteReleasedWeights();
    for (auto &e : endpoints) {
        if (!e->is_running || e->is_unlisted)
            continue;
        e->WriteRow();
        stale_keys.erase(e->id);
    }
    return {stale_keys.begin(), stale_keys.end()};
}

int
Platform::ServingEngines(const std::string &software) const
{
    int n = 0;

    for (auto &e : endpoints)
        n += e->is_engine && e->software == software &&
             e->HasServedFor(kContactTime);
    return n;
}

void
Platform::ReleaseWeights()
{
    weights_version++;
    named_at_.push_back(GwTime_Now());
    // A row of another writer, with a version that is never named.
    FakeStore_Put(store, "keyed.namings", "m",
                  "{\"versions\":[[9000000000000000000,1]]}");
    WriteReleasedWeights();
}

void
Platform::WriteReleasedWeights()
{
    std::string text =
        "{\"model\":\"m\",\"version\":" + std::to_string(weights_version) +
        "}";

    FakeStore_Put(store, "keyed.op", "version/m", text.c_str());
}
