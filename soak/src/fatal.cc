#include "fatal.h"

#include <string>

#include "platform.h"

static const GwTime kPause = 150 * GW_MILLISECOND;

FatalCaller::FatalCaller(GwLoop *loop, const GwAddress &gateway,
                         bool to_engines)
    : loop_(loop), gateway_(gateway), to_engines_(to_engines)
{
    GwTimer_Init(&timer_, loop, OnTimer, this);
    OnTimer(this);
}

FatalCaller::~FatalCaller()
{
    GwTimer_Stop(&timer_);
    GwTcp_Close(tcp_);
}

void
FatalCaller::OnTimer(void *user)
{
    FatalCaller *c = static_cast<FatalCaller *>(user);

    // Whatever became of the one before: it comes again.
    GwTcp_Close(c->tcp_);
    c->tcp_ = nullptr;
    c->Send();
    GwTimer_Start(&c->timer_, kPause);
}

void
FatalCaller::OnData(void *, const uint8_t *, size_t)
{
}

void
FatalCaller::OnClosed(void *user, GwTcpEnd)
{
    static_cast<FatalCaller *>(user)->tcp_ = nullptr;
}

void
FatalCaller::Send()
{
    static const GwTcpOps ops = {nullptr, OnData, OnClosed, nullptr};
    std::string body = kFatal;
    std::string text =
        std::string("POST ") + (to_engines_ ? "/resume/9" : "/plain/9") +
        " HTTP/1.1\r\nHost: h\r\nX-Key: key\r\nX-Deadline-Ms: 4000\r\n"
        "X-Request-Id: fatal-" +
        std::to_string(gateway_.port) + gateway_.host + "-" +
        std::to_string(++sent_) +
        (to_engines_ ? "\r\nX-Model: m\r\nX-Token-Usage: 9,5" : "") +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;

    tcp_ = GwTcp_Connect(loop_, &gateway_, &ops, this);
    GwTcp_Write(tcp_, reinterpret_cast<const uint8_t *>(text.data()),
                text.size());
}
