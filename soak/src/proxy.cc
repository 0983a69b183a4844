#include "proxy.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "strain.h"

Proxy::Proxy(GwLoop *loop, const GwAddress &listen, const GwAddress &target)
    : address(listen), loop_(loop), target_(target)
{
    GwError err = {};

    server_ = GwTcpServer_New(loop, &listen, OnAccept, this, &err);
    if (server_ == nullptr) {
        fprintf(stderr, "soak: %s\n", err.message);
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
Proxy::SilenceOpen()
{
    for (Pair *pair : pairs_) {
        pair->silent = true;
        ApplyCut(pair);
    }
}

void
Proxy::SetRefusing(bool refuse)
{
    refusing_ = refuse;
}

void
Proxy::ResetAll()
{
    while (!pairs_.empty()) {
        Pair *pair = pairs_.front();

        for (Side *side : {&pair->caller, &pair->target}) {
            if (!side->ended)
                GwTcp_Reset(side->tcp);
            side->ended = true;
        }
        Drop(pair);
    }
}

void
Proxy::OnAccept(void *user, GwTcp *tcp)
{
    static const GwTcpOps ops = {OnOpen, OnData, OnClosed, nullptr};
    Proxy *p = static_cast<Proxy *>(user);

    if (p->refusing_) {
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
        GwTimer_Init(&side->timer, p->loop_, OnLate, side);
    pair->at = p->pairs_.insert(p->pairs_.end(), pair);
    p->ApplyCut(pair);
}

// A cut made while it was being opened.
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
    Side *other = Other(side);
    GwTime delay = side->pair->proxy->delay_;

    if (other->ended)
        return;
    if (delay == 0 && side->late.empty()) {
        GwTcp_Write(other->tcp, data, len);
        return;
    }
    side->late.emplace_back(
        GwTime_Now() + delay,
        std::string(reinterpret_cast<const char *>(data), len));
    if (side->late.size() == 1)
        GwTimer_Start(&side->timer, delay);
}

void
Proxy::OnLate(void *user)
{
    Side *side = static_cast<Side *>(user);
    Side *other = Other(side);
    GwTime now = GwTime_Now();

    while (!side->late.empty() && side->late.front().first <= now) {
        const std::string &bytes = side->late.front().second;

        if (!other->ended)
            GwTcp_Write(other->tcp,
                        reinterpret_cast<const uint8_t *>(bytes.data()),
                        bytes.size());
        side->late.pop_front();
    }
    if (!side->late.empty())
        GwTimer_Start(&side->timer,
                      std::max<GwTime>(side->late.front().first - now, 1));
    else if (side->ended)
        PassEnd(side);
}

void
Proxy::OnClosed(void *user, GwTcpEnd end)
{
    Side *side = static_cast<Side *>(user);

    side->ended = true;
    side->end = end;
    Strain::unopened += end == GW_TCP_UNREACHABLE;
    // A reset overtakes what is on its way; an orderly end does not.
    if (end == GW_TCP_FINISHED && !side->late.empty())
        return;
    PassEnd(side);
}

Proxy::Side *
Proxy::Other(Side *side)
{
    return side->to_target ? &side->pair->target : &side->pair->caller;
}

void
Proxy::PassEnd(Side *side)
{
    Side *other = Other(side);

    if (!other->ended) {
        if (side->end == GW_TCP_FINISHED)
            GwTcp_Finish(other->tcp);
        else
            GwTcp_Reset(other->tcp);
        other->ended = true;
    }
    side->pair->proxy->Drop(side->pair);
}

void
Proxy::ApplyCut(Pair *pair)
{
    if (!pair->caller.ended)
        GwTcp_Pause(pair->caller.tcp, cut_forward_ || pair->silent);
    if (!pair->target.ended)
        GwTcp_Pause(pair->target.tcp, cut_back_ || pair->silent);
}

void
Proxy::Drop(Pair *pair)
{
    GwTimer_Stop(&pair->caller.timer);
    GwTimer_Stop(&pair->target.timer);
    pairs_.erase(pair->at);
    delete pair;
}
