#include "prefill_queue.h"

#include <algorithm>
#include <utility>

PrefillQueue::PrefillQueue(GwLoop *loop, Callback on_begin, Callback on_end)
    : on_begin_(std::move(on_begin)), on_end_(std::move(on_end))
{
    GwTimer_Init(&timer_, loop, OnTimer, this);
}

PrefillQueue::~PrefillQueue()
{
    Clear();
}

void
PrefillQueue::Add(FakeExchange *x, GwTime time)
{
    waiting_.push_back({x, time});
    if (!is_busy())
        BeginNext();
}

void
PrefillQueue::Remove(FakeExchange *x)
{
    waiting_.erase(
        std::remove_if(waiting_.begin(), waiting_.end(),
                       [x](const Prompt &p) { return p.exchange == x; }),
        waiting_.end());
    if (prefilling_ != x)
        return;
    GwTimer_Stop(&timer_);
    BeginNext();
}

std::vector<FakeExchange *>
PrefillQueue::TakeWaiting()
{
    std::vector<FakeExchange *> all;

    for (const Prompt &p : waiting_)
        all.push_back(p.exchange);
    waiting_.clear();
    return all;
}

void
PrefillQueue::Clear()
{
    GwTimer_Stop(&timer_);
    waiting_.clear();
    prefilling_ = nullptr;
}

GwTime
PrefillQueue::TimeLeft() const
{
    return is_busy() ? std::max<GwTime>(end_at_ - GwTime_Now(), 0) : 0;
}

void
PrefillQueue::OnTimer(void *user)
{
    PrefillQueue *q = static_cast<PrefillQueue *>(user);

    q->on_end_(std::exchange(q->prefilling_, nullptr));
    if (!q->is_busy())
        q->BeginNext();
}

void
PrefillQueue::BeginNext()
{
    prefilling_ = nullptr;
    if (waiting_.empty())
        return;
    Prompt next = waiting_.front();
    waiting_.pop_front();
    prefilling_ = next.exchange;
    GwTime time = (GwTime)((double)next.time * slowness);

    end_at_ = GwTime_Now() + time;
    GwTimer_Start(&timer_, time);
    on_begin_(next.exchange);
}
