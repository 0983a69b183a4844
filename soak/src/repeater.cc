#include "repeater.h"

Repeater::Repeater(GwLoop *loop, Options options)
    : loop_(loop), options_(std::move(options))
{
    GwTimer_Init(&timer_, loop, OnTimer, this);
    OnTimer(this);
}

Repeater::~Repeater()
{
    GwTimer_Stop(&timer_);
    GwTcp_Close(tcp_);
}

void
Repeater::OnTimer(void *user)
{
    Repeater *r = static_cast<Repeater *>(user);

    // Abandons the previous request if it is still running.
    GwTcp_Close(r->tcp_);
    r->tcp_ = nullptr;
    r->Send();
    GwTimer_Start(&r->timer_, r->options_.interval);
}

void
Repeater::OnData(void *, const uint8_t *, size_t)
{
}

void
Repeater::OnClosed(void *user, GwTcpEnd)
{
    static_cast<Repeater *>(user)->tcp_ = nullptr;
}

void
Repeater::Send()
{
    static const GwTcpOps ops = {nullptr, OnData, OnClosed, nullptr};
    const GwAddress &to = options_.gateway;
    std::string text =
        options_.request(options_.prefix + "-" + std::to_string(to.port) +
                         to.host + "-" + std::to_string(++sent_count_));

    tcp_ = GwTcp_Connect(loop_, &to, &ops, this);
    GwTcp_Write(tcp_, reinterpret_cast<const uint8_t *>(text.data()),
                text.size());
}
