#include "prefill_queue.h"

#include <algorithm>
#include <utility>

PrefillQueue::PrefillQueue(GwLoop *loop, Callback on_begin, Callback on_end,
                           ClosedCallback on_closed_end)
    : on_begin_(std::move(on_begin)), on_end_(std::move(on_end)),
      on_closed_end_(std::move(on_closed_end))
{
    GwTimer_Init(&timer_, loop, OnTimer, this);
}

PrefillQueue::~PrefillQueue()
{
    Clear();
}

void
PrefillQueue::Add(FakeExchange *x, const std::string &request, GwTime time)
{
    waiting_.push_back({x, request, time});
    if (!is_busy())
        BeginNext();
}

void
PrefillQueue::Remove(FakeExchange *x)
{
    const auto is_closed = [x](const Prompt &p) { return p.exchange == x; };

    if (keeps_closed) {
        for (Prompt &p : waiting_)
            p.exchange = is_closed(p) ? nullptr : p.exchange;
        if (is_closed(current_))
            current_.exchange = nullptr;
        return;
    }
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_closed),
                   waiting_.end());
    if (!is_busy_ || !is_closed(current_))
        return;
    GwTimer_Stop(&timer_);
    BeginNext();
}

std::vector<FakeExchange *>
PrefillQueue::TakeWaiting()
{
    std::vector<FakeExchange *> all;

    for (const Prompt &p : waiting_) {
        if (p.exchange != nullptr)
            all.push_back(p.exchange);
    }
    waiting_.clear();
    return all;
}

void
PrefillQueue::Clear()
{
    GwTimer_Stop(&timer_);
    waiting_.clear();
    is_busy_ = false;
    current_ = {};
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
    Prompt done = std::exchange(q->current_, {});

    q->is_busy_ = false;
    if (done.exchange != nullptr)
        q->on_end_(done.exchange);
    else
        q->on_closed_end_(done.request);
    if (!q->is_busy())
        q->BeginNext();
}

void
PrefillQueue::BeginNext()
{
    is_busy_ = false;
    current_ = {};
    if (waiting_.empty())
        return;
    current_ = waiting_.front();
    waiting_.pop_front();
    is_busy_ = true;
    GwTime time = (GwTime)((double)current_.time * slowness);

    end_at_ = GwTime_Now() + time;
    GwTimer_Start(&timer_, time);
    if (current_.exchange != nullptr)
        on_begin_(current_.exchange);
}
