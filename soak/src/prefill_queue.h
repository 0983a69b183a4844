/* Prompts at an engine that wait for their first token. */
#ifndef GALENAGW_SOAK_PREFILL_QUEUE_H
#define GALENAGW_SOAK_PREFILL_QUEUE_H

#include <deque>
#include <functional>
#include <vector>

#include "galenagw/fakes/fake_httpd.h"

/* Prefills one prompt after the other, first come, first served. */
class PrefillQueue {
  public:
    using Callback = std::function<void(FakeExchange *)>;

    /* @p on_begin is called when the prefill of a prompt begins, @p on_end
     * when its first token is due. */
    PrefillQueue(GwLoop *loop, Callback on_begin, Callback on_end);
    ~PrefillQueue();
    /* Add a prompt whose prefill takes @p time at slowness 1. */
    void Add(FakeExchange *x, GwTime time);
    /* The connection closed: remove its prompt, if it is here. */
    void Remove(FakeExchange *x);
    /* Remove and return the prompts whose prefill has not begun. */
    std::vector<FakeExchange *> TakeWaiting();
    /* Remove all prompts. */
    void Clear();
    size_t
    waiting() const
    {
        return waiting_.size();
    }
    bool
    is_busy() const
    {
        return prefilling_ != nullptr;
    }
    /* Time until the first token of the prompt that is prefilled; 0: none is.
     */
    GwTime TimeLeft() const;
    /* Factor by which prefills that begin from now on take longer. */
    double slowness = 1;

  private:
    struct Prompt {
        FakeExchange *exchange;
        GwTime time;
    };
    static void OnTimer(void *user);
    void BeginNext();

    Callback on_begin_, on_end_;
    GwTimer timer_;
    std::deque<Prompt> waiting_;
    FakeExchange *prefilling_ = nullptr;
    GwTime end_at_ = 0; /* of its prefill */
};

#endif
