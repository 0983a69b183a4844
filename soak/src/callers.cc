#include "callers.h"

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

int Caller::requests_sent, Caller::requests_answered;

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
    auto &k = kinds[Draw(0, 3)];
    std::string path = k.path, text, body;
    GwTime draw = Draw(0, 99);

    kind_ = k.kind;
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
    text = (body.empty() ? "GET " : "POST ") + path +
           "1 HTTP/1.1\r\nHost: h\r\nX-Key: " + (draw % 2 ? "key" : "wall") +
           "\r\nX-Request-Id: " + request_id_ + "\r\nX-Deadline-Ms: " +
           std::to_string(kRequestDeadline / GW_MILLISECOND) + "\r\n";
    if (kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable)
        text += "X-Model: m\r\nX-Token-Usage: 900,40\r\nX-Prefix-Hash: a" +
                std::to_string(draw % 8) + ":700,f" +
                std::to_string(sent_count_) + ":200\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    platform_->ledger->RecordSent(request_id_, kind_, gateway_->process->name);
    answer_body_.clear();
    signature_.clear();
    answer_request_id_.clear();
    has_head_ = has_retry_after_ = false;
    answer_status_ = 0;
    sent_at_ = GwTime_Now();
    abandons_ = Draw(0, 99) < 4;
    requests_sent++;
    GwTcp_Write(tcp_, reinterpret_cast<const uint8_t *>(text.data()),
                text.size());
    GwTimer_Start(&timer_, abandons_ ? Draw(1, 300 * GW_MILLISECOND)
                                     : kRequestDeadline + kAnswerSlack);
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
    c->has_retry_after_ = GwHttpHead_Find(head, "Retry-After") != nullptr;
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
        (c->has_head_ || c->platform_->ledger->HasRun(id)))
        c->platform_->ledger->RecordViolation("no answer is truncated",
                                              id + " at " +
                                                  c->gateway_->process->name);
    c->FinishRequest(c->has_head_ ? "cut" : "closed");
}

void
Caller::FinishRequest(const std::string &outcome)
{
    platform_->ledger->outcomes[outcome]++;
    if (answer_status_ == 200 ||
        (answer_status_ == 500 && !signature_.empty()) || abandons_)
        requests_answered++;
    request_id_.clear();
    GwTimer_Stop(&timer_);
    GwTimer_Start(&timer_, Draw(2 * GW_MILLISECOND, 40 * GW_MILLISECOND));
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

void
Caller::CheckSuccess()
{
    std::string expected_body;

    if (kind_ == RequestKind::kStream || kind_ == RequestKind::kResumable) {
        for (int n = 1; n <= EventCountOf(request_id_); n++)
            expected_body += EventTextOf(request_id_, n);
    }
    else {
        expected_body = AnswerBodyOf(request_id_);
    }
    if (signature_ != "sig-" + request_id_ || answer_body_ != expected_body)
        platform_->ledger->RecordViolation(
            "answers are complete and in order",
            request_id_ + " got " + std::to_string(answer_body_.size()) +
                " of " + std::to_string(expected_body.size()) +
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
