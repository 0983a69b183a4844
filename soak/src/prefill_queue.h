/* Prompts at an engine that wait for their first token. */
#ifndef GALENAGW_SOAK_PREFILL_QUEUE_H
#define GALENAGW_SOAK_PREFILL_QUEUE_H

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "galenagw/fakes/fake_httpd.h"

/* Prefills one prompt after the other, first come, first served. */
class PrefillQueue {
  public:
    using Callback = std::function<void(FakeExchange *)>;
    using ClosedCallback = std::function<void(const std::string &request)>;

    /* @p on_begin is called when the prefill of a prompt begins, @p on_end
     * when its first token is due, @p on_closed_end instead of that if its
     * connection has closed meanwhile; see keeps_closed. */
    PrefillQueue(GwLoop *loop, Callback on_begin, Callback on_end,
                 ClosedCallback on_closed_end);
    ~PrefillQueue();
    /* Add the prompt of @p request, whose prefill takes @p time at slowness 1.
     */
    void Add(FakeExchange *x, const std::string &request, GwTime time);
    /* The connection closed: remove its prompt, if it is here. */
    void Remove(FakeExchange *x);
    /* Remove the prompts whose prefill has not begun. Returns those whose
     * connections are open. */
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
        return is_busy_;
    }
    /* Time until the first token of the prompt that is prefilled; 0: none is.
     */
    GwTime TimeLeft() const;
    /* Factor by which prefills that begin from now on take longer. */
    double slowness = 1;
    /* Prompts whose connection closes stay in the queue and begin. */
    bool keeps_closed = false;

  private:
    struct Prompt {
        FakeExchange *exchange = nullptr; // null: its connection has closed
        std::string request;
        GwTime time = 0;
    };
    static void OnTimer(void *user);
    void BeginNext();

    Callback on_begin_, on_end_;
    ClosedCallback on_closed_end_;
    GwTimer timer_;
    std::deque<Prompt> waiting_;
    bool is_busy_ = false;
    Prompt current_;    /* while is_busy_ */
    GwTime end_at_ = 0; /* of its prefill */
};

#endif
