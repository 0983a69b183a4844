#include "callers.h"

#include <cstring>

#include "strain.h"

/* What a caller allows, and how much later its answer may end: the route's
 * timeout, the way, and the soak's own load. */
static const GwTime kDeadline = 5 * GW_SECOND;
static const GwTime kSlack = 2 * GW_SECOND;
/* A configuration is in force so long after it was written. */
static const GwTime kInForce = 3 * GW_SECOND;

int Caller::asked, Caller::answered;

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

    if (!c->id_.empty()) {
        if (c->leaves_) {
            c->platform_->ledger->Left(c->id_);
            c->Finish("left");
        }
        else {
            const Gateway &g = *c->gateway_;
            if (g.process->disturbance.UntouchedSince(c->sent_at_) &&
                g.path->disturbance.UntouchedSince(c->sent_at_) &&
                g.process->incarnation() == c->incarnation_)
                c->platform_->ledger->Broken(
                    "no silence",
                    c->id_ + " has no answer " +
                        std::to_string((kDeadline + kSlack) / GW_SECOND) +
                        " s later, of " + g.process->name);
            c->platform_->ledger->Left(c->id_);
            c->Finish("silence");
        }
        c->Disconnect();
    }
    else {
        if (c->tcp_ == nullptr)
            c->Connect();
        if (c->tcp_ != nullptr)
            c->Ask();
    }
    if (c->id_.empty())
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
    tcp_ =
        GwTcp_Connect(platform_->loop, &gateway_->path->address, &ops, this);
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
Caller::Ask()
{
    static const struct {
        Kind kind;
        const char *path;
    } kinds[] = {{Kind::kIdempotent, "/plain/"},
                 {Kind::kOnce, "/once/"},
                 {Kind::kStream, "/stream/"},
                 {Kind::kResumable, "/resume/"}};
    auto &k = kinds[Draw(0, 3)];
    std::string path = k.path, text, body;
    GwTime draw = Draw(0, 99);

    kind_ = k.kind;
    added_ = 0;
    if (kind_ == Kind::kIdempotent && platform_->version > 1 && draw < 30) {
        added_ = (int)Draw(2, platform_->version);
        path = "/added" + std::to_string(added_) + "/";
    }
    if (kind_ == Kind::kOnce && draw < 20)
        body.assign((size_t)Draw(1, 30000), 'b');
    id_ = "r" + std::to_string(number_) + "-" + std::to_string(++asked_);
    text = (body.empty() ? "GET " : "POST ") + path +
           "1 HTTP/1.1\r\nHost: h\r\nX-Key: " + (draw % 2 ? "key" : "wall") +
           "\r\nX-Request-Id: " + id_ +
           "\r\nX-Deadline-Ms: " + std::to_string(kDeadline / GW_MILLISECOND) +
           "\r\n";
    if (kind_ == Kind::kStream || kind_ == Kind::kResumable)
        text += "X-Model: m\r\nX-Token-Usage: 900,40\r\nX-Prefix-Hash: a" +
                std::to_string(draw % 8) + ":700,f" + std::to_string(asked_) +
                ":200\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    platform_->ledger->Sent(id_, kind_);
    body_.clear();
    signature_.clear();
    answered_id_.clear();
    head_ = retry_after_ = false;
    status_ = 0;
    sent_at_ = GwTime_Now();
    leaves_ = Draw(0, 99) < 4;
    asked++;
    GwTcp_Write(tcp_, reinterpret_cast<const uint8_t *>(text.data()),
                text.size());
    GwTimer_Start(&timer_, leaves_ ? Draw(1, 300 * GW_MILLISECOND)
                                   : kDeadline + kSlack);
}

bool
Caller::OnHead(void *user, const GwHttpHead *head)
{
    Caller *c = static_cast<Caller *>(user);
    const char *signature = GwHttpHead_Find(head, "X-Response-Signature");
    const char *id = GwHttpHead_Find(head, "X-Request-Id");

    c->head_ = true;
    c->status_ = head->status;
    c->signature_ = signature != nullptr ? signature : "";
    c->answered_id_ = id != nullptr ? id : "";
    c->retry_after_ = GwHttpHead_Find(head, "Retry-After") != nullptr;
    c->keep_ = head->keep_alive;
    return true;
}

bool
Caller::OnBody(void *user, const char *data, size_t len)
{
    static_cast<Caller *>(user)->body_.append(data, len);
    return true;
}

void
Caller::OnData(void *user, const uint8_t *data, size_t len)
{
    Caller *c = static_cast<Caller *>(user);
    size_t used = 0;

    if (c->id_.empty()) {
        c->platform_->ledger->Broken("own answers only",
                                     "bytes that nobody asked for");
        c->Disconnect();
        return;
    }
    switch (GwHttpReader_Feed(c->reader_, reinterpret_cast<const char *>(data),
                              len, &used)) {
    case GW_HTTP_MORE:
        return;
    case GW_HTTP_DONE:
        if (used != len)
            c->platform_->ledger->Broken("own answers only",
                                         c->id_ + " has bytes behind it");
        c->Judge();
        c->Finish(std::to_string(c->status_));
        if (!c->keep_)
            c->Disconnect();
        return;
    default:
        c->platform_->ledger->Broken("own answers only",
                                     c->id_ + " got no HTTP");
        c->Finish("garbage");
        c->Disconnect();
    }
}

void
Caller::OnClosed(void *user, GwTcpEnd end)
{
    Caller *c = static_cast<Caller *>(user);
    std::string id = c->id_;

    c->tcp_ = nullptr;
    GwHttpReader_Delete(c->reader_);
    c->reader_ = nullptr;
    Strain::unopened += end == GW_TCP_UNREACHABLE;
    if (id.empty())
        return;
    // A close that crosses a request cuts nothing unless it was passed on.
    if (c->platform_->is_calm(c->sent_at_) &&
        (c->head_ || c->platform_->ledger->HasRun(id)))
        c->platform_->ledger->Broken("no answer is cut",
                                     id + " of " + c->gateway_->process->name);
    c->Finish(c->head_ ? "cut" : "closed");
}

void
Caller::Finish(const std::string &outcome)
{
    platform_->ledger->outcomes[outcome]++;
    if (status_ == 200 || (status_ == 500 && !signature_.empty()) || leaves_)
        answered++;
    id_.clear();
    GwTimer_Stop(&timer_);
    GwTimer_Start(&timer_, Draw(2 * GW_MILLISECOND, 40 * GW_MILLISECOND));
}

void
Caller::Judge()
{
    Ledger *ledger = platform_->ledger;

    if (answered_id_ != id_)
        ledger->Broken("own answers only",
                       id_ + " got the answer of '" + answered_id_ + "'");
    switch (status_) {
    case 200:
        JudgeSuccess();
        break;
    case 408:
    case 421:
    case 429:
    case 503:
        ledger->Refused(id_, status_);
        if (status_ == 503 && !retry_after_)
            ledger->Broken("a time to come back", id_ + " has none");
        break;
    case 404:
        JudgeMissingRoute();
        break;
    case 500:
        if (signature_ != "sig-" + id_)
            ledger->Broken("own answers only", id_ + " got a 500 of our own");
        break;
    case 502:
    case 504:
        if (!signature_.empty())
            ledger->Broken("own answers only",
                           id_ + " has another status than its endpoint's");
        break;
    default:
        ledger->Broken("proper requests are served",
                       id_ + " got " + std::to_string(status_));
    }
}

void
Caller::JudgeSuccess()
{
    std::string want;

    if (kind_ == Kind::kStream || kind_ == Kind::kResumable) {
        for (int n = 1; n <= EventsOf(id_); n++)
            want += EventOf(id_, n);
    }
    else {
        want = BodyOf(id_);
    }
    if (signature_ != "sig-" + id_ || body_ != want)
        platform_->ledger->Broken(
            "whole answers, in order",
            id_ + " got " + std::to_string(body_.size()) + " of " +
                std::to_string(want.size()) + " bytes, signed " + signature_);
    if (added_ == 0)
        return;
    if (gateway_->seen_incarnation != incarnation_)
        gateway_->seen_version = 0;
    gateway_->seen_incarnation = incarnation_;
    gateway_->seen_version = std::max(gateway_->seen_version, added_);
}

void
Caller::JudgeMissingRoute()
{
    Ledger *ledger = platform_->ledger;

    if (added_ == 0)
        ledger->Broken("proper requests are served", id_ + " got 404");
    else if (gateway_->seen_incarnation == incarnation_ &&
             added_ <= gateway_->seen_version)
        ledger->Broken("configuration never reverts",
                       id_ + ": " + gateway_->process->name +
                           " has lost version " + std::to_string(added_));
    else if (sent_at_ - platform_->configured_at > kInForce &&
             platform_->is_calm(sent_at_))
        ledger->Broken("configuration is in force",
                       id_ + ": " + gateway_->process->name +
                           " lacks version " + std::to_string(added_));
}
