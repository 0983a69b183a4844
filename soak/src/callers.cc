#include "callers.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

#include "resource_monitor.h"

/* Deadline that a request names, and how much later its answer may be
 * complete: because of the route's timeout, the latency and the load of the
 * soak itself. */
static const GwTime kRequestDeadline = 5 * GW_SECOND;
static const GwTime kAnswerSlack = 2 * GW_SECOND;
/* Time after the write of a configuration from which all gateways must use
 * it. */
static const GwTime kMaxConfigPropagation = 3 * GW_SECOND;

/* Time until a caller takes up a stream whose connection broke, the longest
 * Retry-After that it waits for, and the number of its requests for a stream.
 */
static const GwTime kMinTakeUpDelay = 20 * GW_MILLISECOND;
static const GwTime kMaxTakeUpDelay = 300 * GW_MILLISECOND;
static const GwTime kMaxRetryAfter = 3 * GW_SECOND;
static const int kMaxStreamTries = 4;
/* Percent of the streams that their callers leave if they take streams up, and
 * of the requests that name an unknown id or none when they do. */
static const GwTime kLeftStreams = 20;
static const GwTime kUnknownNames = 6;
static const GwTime kAbsentNames = 6;
/* Endpoints of the stream's software that serve if it must go on. */
static const int kMinServingEngines = 2;
/* Prompt tokens: usually, in a burst, and the percent of the prompts under
 * load that are as long as in a burst. */
static const int kPromptTokens = 900;
static const int kLongPromptTokens = 4000;
static const GwTime kLongPrompts = 20;
/* Pause between two requests in a burst, and between two looks of a caller
 * that waits for a surge. */
static const GwTime kBurstPause = 2 * GW_MILLISECOND;
static const GwTime kSurgeLookInterval = 50 * GW_MILLISECOND;

int Caller::requests_sent, Caller::requests_answered;
int Caller::prompts_sent, Caller::prompts_answered;

Caller::Caller(Platform *platform,
               std::vector<std::unique_ptr<Gateway>> *gateways, int number)
    : platform_(platform), gateways_(gateways), number_(number)
{
    GwTimer_Init(&timer_, platform->loop, OnTimer, this);
    GwTimer_Start(&timer_, Draw(1, 200 * GW_MILLISECOND));
}

Caller::~Caller()
{
    GwTimer_Stop(&timer_);
    Disconnect();
}

GwTime
Caller::Draw(GwTime least, GwTime most)
{
    return std::uniform_int_distribution<GwTime>(least,
                                                 most)(platform_->random);
}

void
Caller::OnTimer(void *user)
{
    Caller *c = static_cast<Caller *>(user);

    if (!c->request_id_.empty()) {
        if (c->abandons_) {
            c->platform_->ledger->RecordAbandoned(c->request_id_);
            c->FinishRequest("left");
        }
        else {
            const Gateway &g = *c->gateway_;
            if (g.process->fault_history.IsFaultFreeSince(c->sent_at_) &&
                g.caller_proxy->fault_history.IsFaultFreeSince(c->sent_at_) &&
                g.process->incarnation() == c->incarnation_)
                c->platform_->ledger->RecordViolation(
                    "each request is answered",
                    c->request_id_ + " has no complete answer " +
                        std::to_string((kRequestDeadline + kAnswerSlack) /
                                       GW_SECOND) +
                        " s after it was sent to " + g.process->name);
            c->platform_->ledger->RecordAbandoned(c->request_id_);
            c->FinishRequest("silence");
        }
        c->Disconnect();
    }
    else {
        GwTime wait = c->stream_.next_try_at - GwTime_Now();

        if (c->IsSurgeCaller() && !c->platform_->has_surge) {
            c->Disconnect();
            GwTimer_Start(&c->timer_, kSurgeLookInterval);
            return;
        }
        if (!c->stream_.stream.empty() && wait > 0) {
            GwTimer_Start(&c->timer_, wait);
            return;
        }
        if (c->tcp_ == nullptr)
            c->Connect();
        if (c->tcp_ != nullptr)
            c->SendRequest();
    }
    if (c->request_id_.empty())
        GwTimer_Start(&c->timer_,
                      c->Draw(5 * GW_MILLISECOND, 60 * GW_MILLISECOND));
}

void
Caller::Connect()
{
    static const GwTcpOps ops = {nullptr, OnData, OnClosed, nullptr};
    static const GwHttpReaderOps reader_ops = {OnHead, OnBody};
    GwHttpReaderOptions options = {GW_HTTP_RESPONSES, 0, &reader_ops, this};
    size_t i = (size_t)Draw(0, (GwTime)gateways_->size() - 1);

    gateway_ = (*gateways_)[i].get();
    if (!gateway_->process->IsRunning() || gateway_->process->IsStopping())
        return;
    incarnation_ = gateway_->process->incarnation();
    tcp_ = GwTcp_Connect(platform_->loop, &gateway_->caller_proxy->address,
                         &ops, this);
    reader_ = GwHttpReader_New(&options);
}

void
Caller::Disconnect()
{
    GwTcp_Close(tcp_);
    tcp_ = nullptr;
    GwHttpReader_Delete(reader_);
    reader_ = nullptr;
}

void
Caller::SendRequest()
{
    static const struct {
        RequestKind kind;
        const char *path;
    } kinds[] = {{RequestKind::kIdempotent, "/plain/"},
                 {RequestKind::kNonIdempotent, "/once/"},
                 {RequestKind::kStream, "/stream/"},
                 {RequestKind::kResumable, "/resume/"}};
    bool is_burst = platform_->bursts > 0;
    auto &k = kinds[is_burst ? Draw(2, 3) : Draw(0, 3)];
    std::string path = k.path, text, body;
    GwTime draw = Draw(0, 99);

    kind_ = k.kind;
    if (!stream_.stream.empty()) {
        kind_ = RequestKind::kResumable;
        path = "/resume/";
    }
    route_version_ = 0;
    if (kind_ == RequestKind::kIdempotent && platform_->config_version > 1 &&
        draw < 30) {
        route_version_ = (int)Draw(2, platform_->config_version);
        path = "/added" + std::to_string(route_version_) + "/";
    }
    if (kind_ == RequestKind::kNonIdempotent && draw < 20)
        body.assign((size_t)Draw(1, 30000), 'b');
    request_id_ =
        "r" + std::to_string(number_) + "-" + std::to_string(++sent_count_);
    first_event_ = 1;
    must_go_on_ = false;
    if (!stream_.stream.empty())
        request_id_ = stream_.stream + "." + std::to_string(++stream_.tries);
    text = (body.empty() ? "GET " : "POST ") + path +
           "1 HTTP/1.1\r\nHost: h\r\nX-Key: " +
           (draw % 2 || IsSurgeCaller() ? "key" : "wall") +
           "\r\nX-Request-Id: " + request_id_ + "\r\nX-Deadline-Ms: " +
           std::to_string(kRequestDeadline / GW_MILLISECOND) + "\r\n";
    if (stream_.last_event > 0)
        text += TakeUpHeaders();
    if (kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable)
        text += PromptHeaders(is_burst);
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    platform_->ledger->RecordSent(request_id_, kind_, gateway_->process->name);
    platform_
        ->RetriesTo(kind_ == RequestKind::kStream ||
                    kind_ == RequestKind::kResumable)
        .RecordRequest(request_id_);
    answer_body_.clear();
    signature_.clear();
    answer_request_id_.clear();
    has_head_ = has_retry_after_ = false;
    answer_status_ = 0;
    sent_at_ = GwTime_Now();
    must_go_on_ =
        stream_.last_event > 0 &&
        platform_->store_fault_history.IsFaultFreeSince(sent_at_ -
                                                        kContactTime) &&
        platform_->is_sender_in_touch(request_id_) &&
        platform_->ServingEngines(stream_.software) >= kMinServingEngines;
    retry_after_ = 0;
    abandons_ = Draw(0, 99) < (platform_->takes_up_streams &&
                                       kind_ == RequestKind::kResumable
                                   ? kLeftStreams
                                   : 4);
    requests_sent++;
    prompts_sent +=
        kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable;
    GwTcp_Write(tcp_, reinterpret_cast<const uint8_t *>(text.data()),
                text.size());
    GwTimer_Start(&timer_, abandons_ ? Draw(1, 300 * GW_MILLISECOND)
                                     : kRequestDeadline + kAnswerSlack);
}

bool
Caller::IsSurgeCaller() const
{
    return platform_->usual_callers > 0 && number_ >= platform_->usual_callers;
}

std::string
Caller::PromptHeaders(bool is_burst)
{
    bool is_long =
        is_burst || (platform_->has_load && Draw(0, 99) < kLongPrompts);
    int tokens = is_long ? kLongPromptTokens : kPromptTokens;

    return "X-Model: m\r\nX-Token-Usage: " + std::to_string(tokens) +
           ",40\r\nX-Prefix-Hash: a" + std::to_string(Draw(0, 7)) + ":700,f" +
           std::to_string(sent_count_) + ":" + std::to_string(tokens - 700) +
           "\r\n";
}

std::string
Caller::TakeUpHeaders()
{
    GwTime draw = Draw(0, 99);
    std::string text =
        "Last-Event-Id: " + std::to_string(stream_.last_event) + "\r\n";

    first_event_ = stream_.last_event + 1;
    stream_name_ = draw < kUnknownNames                  ? StreamName::kUnknown
                   : draw < kUnknownNames + kAbsentNames ? StreamName::kAbsent
                                                         : StreamName::kKnown;
    if (stream_name_ == StreamName::kAbsent)
        return text;
    return text +
           "Resumes: " + (stream_name_ == StreamName::kUnknown ? "x" : "") +
           stream_.first_answer + "\r\n";
}

bool
Caller::OnHead(void *user, const GwHttpHead *head)
{
    Caller *c = static_cast<Caller *>(user);
    const char *signature = GwHttpHead_Find(head, "X-Response-Signature");
    const char *id = GwHttpHead_Find(head, "X-Request-Id");

    c->has_head_ = true;
    c->answer_status_ = head->status;
    c->signature_ = signature != nullptr ? signature : "";
    c->answer_request_id_ = id != nullptr ? id : "";
    const char *retry_after = GwHttpHead_Find(head, "Retry-After");
    c->has_retry_after_ = retry_after != nullptr;
    if (c->has_retry_after_)
        c->retry_after_ = (GwTime)(atof(retry_after) * GW_SECOND);
    c->keeps_connection_ = head->keep_alive;
    return true;
}

bool
Caller::OnBody(void *user, const char *data, size_t len)
{
    static_cast<Caller *>(user)->answer_body_.append(data, len);
    return true;
}

void
Caller::OnData(void *user, const uint8_t *data, size_t len)
{
    Caller *c = static_cast<Caller *>(user);
    size_t used = 0;

    if (c->request_id_.empty()) {
        c->platform_->ledger->RecordViolation(
            "each answer belongs to its request",
            "received bytes on a connection without a request");
        c->Disconnect();
        return;
    }
    switch (GwHttpReader_Feed(c->reader_, reinterpret_cast<const char *>(data),
                              len, &used)) {
    case GW_HTTP_MORE:
        return;
    case GW_HTTP_DONE:
        if (used != len)
            c->platform_->ledger->RecordViolation(
                "each answer belongs to its request",
                c->request_id_ + " got bytes after its answer");
        c->CheckAnswer();
        c->FinishRequest(std::to_string(c->answer_status_));
        if (!c->keeps_connection_)
            c->Disconnect();
        return;
    default:
        c->platform_->ledger->RecordViolation(
            "each answer belongs to its request",
            c->request_id_ + " got invalid HTTP");
        c->FinishRequest("garbage");
        c->Disconnect();
    }
}

void
Caller::OnClosed(void *user, GwTcpEnd end)
{
    Caller *c = static_cast<Caller *>(user);
    std::string id = c->request_id_;

    c->tcp_ = nullptr;
    GwHttpReader_Delete(c->reader_);
    c->reader_ = nullptr;
    ResourceMonitor::unopened_connections += end == GW_TCP_UNREACHABLE;
    if (id.empty())
        return;
    // The gateway may close an idle connection while a request is on its way
    // to it. That breaks a promise only if the request was forwarded to an
    // endpoint or its answer had begun.
    if (c->platform_->is_settled_since(c->sent_at_) &&
        !c->platform_->streams.WasBrokenOff(id) &&
        (c->has_head_ || c->platform_->ledger->HasRun(id)))
        c->platform_->ledger->RecordViolation("no answer is truncated",
                                              id + " at " +
                                                  c->gateway_->process->name);
    c->FinishRequest(c->has_head_ ? "cut" : "closed");
}

void
Caller::FinishRequest(const std::string &outcome)
{
    bool has_prompt =
        kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable;
    bool is_answered = answer_status_ == 200 ||
                       (answer_status_ == 500 && !signature_.empty()) ||
                       abandons_;

    platform_->ledger->outcomes[outcome]++;
    if (has_prompt)
        FinishStream(outcome);
    requests_answered += is_answered;
    prompts_answered += is_answered && has_prompt;
    request_id_.clear();
    GwTimer_Stop(&timer_);
    GwTimer_Start(&timer_, platform_->bursts > 0 ? kBurstPause
                                                 : Draw(2 * GW_MILLISECOND,
                                                        40 * GW_MILLISECOND));
}

void
Caller::CheckAnswer()
{
    Ledger *ledger = platform_->ledger;

    if (answer_request_id_ != request_id_)
        ledger->RecordViolation("each answer belongs to its request",
                                request_id_ + " got the answer of '" +
                                    answer_request_id_ + "'");
    switch (answer_status_) {
    case 200:
        CheckSuccess();
        break;
    case 408:
    case 421:
    case 429:
    case 503:
        ledger->RecordRefusal(request_id_, answer_status_);
        if (answer_status_ == 503 && !has_retry_after_)
            ledger->RecordViolation("an answer with 503 has Retry-After",
                                    request_id_ + " got 503 without it");
        break;
    case 404:
        CheckMissingRoute();
        break;
    case 500:
        if (signature_ != "sig-" + request_id_)
            ledger->RecordViolation("each answer belongs to its request",
                                    request_id_ +
                                        " got a 500 that no endpoint sent");
        break;
    case 502:
    case 504:
        if (!signature_.empty())
            ledger->RecordViolation(
                "each answer belongs to its request",
                request_id_ +
                    " got an endpoint's signature with a status that the "
                    "endpoint did not send");
        break;
    default:
        ledger->RecordViolation("valid requests are served",
                                request_id_ + " got " +
                                    std::to_string(answer_status_));
    }
}

// A stream that its endpoint broke off may be complete only if it went on to
// its end.
void
Caller::CheckSuccess()
{
    Ledger *ledger = platform_->ledger;
    bool is_stream =
        kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable;
    bool is_complete;

    if (is_stream) {
        std::string stream = StreamOf(request_id_);
        StreamPart part(stream, first_event_, answer_body_);

        is_complete = part.is_in_order && !part.has_rest &&
                      part.last == EventCountOf(stream);
    }
    else
        is_complete = answer_body_ == AnswerBodyOf(request_id_);
    if (!is_complete && platform_->streams.WasBrokenOff(request_id_))
        ledger->RecordViolation("a stream that is broken off is not complete",
                                request_id_ + " got a complete answer of " +
                                    std::to_string(answer_body_.size()) +
                                    " bytes");
    else if (!is_complete || signature_ != "sig-" + request_id_)
        ledger->RecordViolation("answers are complete and in order",
                                request_id_ + " got " +
                                    std::to_string(answer_body_.size()) +
                                    " bytes, with signature " + signature_);
    if (route_version_ == 0)
        return;
    if (gateway_->seen_incarnation != incarnation_)
        gateway_->newest_seen_version = 0;
    gateway_->seen_incarnation = incarnation_;
    gateway_->newest_seen_version =
        std::max(gateway_->newest_seen_version, route_version_);
}

void
Caller::ReadEvents()
{
    std::string stream = StreamOf(request_id_);
    StreamPart part(stream, first_event_, answer_body_);

    if (!part.is_in_order)
        platform_->ledger->RecordViolation(
            "answers are complete and in order",
            request_id_ + " got other events than those from " +
                std::to_string(first_event_));
    platform_->streams.RecordWriters(stream, part.writer);
    if (part.writer.empty())
        return;
    if (stream_.last_event == 0) {
        stream_.first_answer = request_id_;
        stream_.software = part.writer[0];
    }
    stream_.last_event = part.last;
}

// A caller that leaves says nothing about whether its stream would have begun
// or gone on.
void
Caller::FinishStream(const std::string &outcome)
{
    bool takes_up = first_event_ > 1, is_first_try = stream_.tries == 0;
    bool is_complete = outcome == "200";
    int known_events = stream_.last_event;
    GwTime wait = Draw(kMinTakeUpDelay, kMaxTakeUpDelay);

    if (answer_status_ == 200)
        ReadEvents();
    bool has_event = stream_.last_event > known_events || is_complete;
    if (is_first_try && (has_event || !abandons_))
        platform_->streams.RecordFirstTry(has_event);
    if (takes_up && (has_event || !abandons_))
        platform_->streams.RecordTakeUp(
            stream_.stream, stream_name_,
            must_go_on_ && gateway_->process->incarnation() == incarnation_ &&
                platform_->is_sender_in_touch(request_id_) &&
                platform_->ServingEngines(stream_.software) >=
                    kMinServingEngines,
            has_event);
    if (is_complete || kind_ != RequestKind::kResumable ||
        !platform_->takes_up_streams || stream_.tries >= kMaxStreamTries ||
        retry_after_ > kMaxRetryAfter) {
        stream_ = StreamState();
        return;
    }
    stream_.stream = StreamOf(request_id_);
    stream_.next_try_at = GwTime_Now() + std::max(wait, retry_after_);
    // The next request goes to a random gateway.
    keeps_connection_ = false;
}

void
Caller::CheckMissingRoute()
{
    Ledger *ledger = platform_->ledger;

    if (route_version_ == 0)
        ledger->RecordViolation("valid requests are served",
                                request_id_ + " got 404");
    else if (gateway_->seen_incarnation == incarnation_ &&
             route_version_ <= gateway_->newest_seen_version)
        ledger->RecordViolation("configuration never reverts",
                                request_id_ + ": " + gateway_->process->name +
                                    " has lost version " +
                                    std::to_string(route_version_));
    else if (sent_at_ - platform_->config_written_at > kMaxConfigPropagation &&
             platform_->is_settled_since(sent_at_))
        ledger->RecordViolation("configuration is in force",
                                request_id_ + ": " + gateway_->process->name +
                                    " does not use version " +
                                    std::to_string(route_version_));
}
