#include "proxy.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "resource_monitor.h"

Proxy::Proxy(GwLoop *loop, const GwAddress &listen, const GwAddress &target)
    : address(listen), loop_(loop), target_(target)
{
    GwError err = {};

    server_ = GwTcpServer_New(loop, &listen, OnAccept, this, &err);
    if (server_ == nullptr) {
        fprintf(stderr, "gw-soak: a proxy cannot listen: %s\n", err.message);
        exit(2);
    }
}

Proxy::~Proxy()
{
    ResetAll();
    GwTcpServer_Delete(server_);
}

void
Proxy::SetDelay(GwTime delay)
{
    delay_ = delay;
}

void
Proxy::SetCut(bool forward, bool back)
{
    cut_forward_ = forward;
    cut_back_ = back;
    for (Pair *pair : pairs_)
        ApplyCut(pair);
}

void
Proxy::StallOpenConnections()
{
    for (Pair *pair : pairs_) {
        pair->is_stalled = true;
        ApplyCut(pair);
    }
}

void
Proxy::SetRefusing(bool refuse)
{
    is_refusing_ = refuse;
}

void
Proxy::ResetAll()
{
    while (!pairs_.empty()) {
        Pair *pair = pairs_.front();

        for (Side *side : {&pair->caller, &pair->target}) {
            if (!side->is_closed)
                GwTcp_Reset(side->tcp);
            side->is_closed = true;
        }
        RemovePair(pair);
    }
}

void
Proxy::OnAccept(void *user, GwTcp *tcp)
{
    static const GwTcpOps ops = {OnOpen, OnData, OnClosed, nullptr};
    Proxy *p = static_cast<Proxy *>(user);

    if (p->is_refusing_) {
        GwTcp_SetOps(tcp, &ops, nullptr);
        GwTcp_Reset(tcp);
        return;
    }
    Pair *pair = new Pair();

    pair->proxy = p;
    pair->caller.pair = pair->target.pair = pair;
    pair->caller.to_target = true;
    pair->target.to_target = false;
    pair->caller.tcp = tcp;
    GwTcp_SetOps(tcp, &ops, &pair->caller);
    pair->target.tcp =
        GwTcp_Connect(p->loop_, &p->target_, &ops, &pair->target);
    for (Side *side : {&pair->caller, &pair->target})
        GwTimer_Init(&side->timer, p->loop_, OnDelayTimer, side);
    pair->list_position = p->pairs_.insert(p->pairs_.end(), pair);
    p->ApplyCut(pair);
}

// A cut may have been set while the connection to the target was being opened.
void
Proxy::OnOpen(void *user)
{
    Pair *pair = static_cast<Side *>(user)->pair;

    pair->proxy->ApplyCut(pair);
}

void
Proxy::OnData(void *user, const uint8_t *data, size_t len)
{
    Side *side = static_cast<Side *>(user);
    Side *other = OtherSide(side);
    GwTime delay = side->pair->proxy->delay_;

    if (other->is_closed)
        return;
    if (delay == 0 && side->delayed_bytes.empty()) {
        GwTcp_Write(other->tcp, data, len);
        return;
    }
    side->delayed_bytes.emplace_back(
        GwTime_Now() + delay,
        std::string(reinterpret_cast<const char *>(data), len));
    if (side->delayed_bytes.size() == 1)
        GwTimer_Start(&side->timer, delay);
}

void
Proxy::OnDelayTimer(void *user)
{
    Side *side = static_cast<Side *>(user);
    Side *other = OtherSide(side);
    GwTime now = GwTime_Now();

    while (!side->delayed_bytes.empty() &&
           side->delayed_bytes.front().first <= now) {
        const std::string &bytes = side->delayed_bytes.front().second;

        if (!other->is_closed)
            GwTcp_Write(other->tcp,
                        reinterpret_cast<const uint8_t *>(bytes.data()),
                        bytes.size());
        side->delayed_bytes.pop_front();
    }
    if (!side->delayed_bytes.empty())
        GwTimer_Start(
            &side->timer,
            std::max<GwTime>(side->delayed_bytes.front().first - now, 1));
    else if (side->is_closed)
        PropagateClose(side);
}

void
Proxy::OnClosed(void *user, GwTcpEnd close_kind)
{
    Side *side = static_cast<Side *>(user);

    side->is_closed = true;
    side->close_kind = close_kind;
    ResourceMonitor::unopened_connections += close_kind == GW_TCP_UNREACHABLE;
    // A reset discards delayed bytes. An orderly close follows them.
    if (close_kind == GW_TCP_FINISHED && !side->delayed_bytes.empty())
        return;
    PropagateClose(side);
}

Proxy::Side *
Proxy::OtherSide(Side *side)
{
    return side->to_target ? &side->pair->target : &side->pair->caller;
}

void
Proxy::PropagateClose(Side *side)
{
    Side *other = OtherSide(side);

    if (!other->is_closed) {
        if (side->close_kind == GW_TCP_FINISHED)
            GwTcp_Finish(other->tcp);
        else
            GwTcp_Reset(other->tcp);
        other->is_closed = true;
    }
    side->pair->proxy->RemovePair(side->pair);
}

void
Proxy::ApplyCut(Pair *pair)
{
    if (!pair->caller.is_closed)
        GwTcp_Pause(pair->caller.tcp, cut_forward_ || pair->is_stalled);
    if (!pair->target.is_closed)
        GwTcp_Pause(pair->target.tcp, cut_back_ || pair->is_stalled);
}

void
Proxy::RemovePair(Pair *pair)
{
    GwTimer_Stop(&pair->caller.timer);
    GwTimer_Stop(&pair->target.timer);
    pairs_.erase(pair->list_position);
    delete pair;
}
