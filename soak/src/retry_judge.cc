#include "retry_judge.h"

#include <algorithm>

/* The number of times in (from, to]. */
static size_t
CountIn(const std::vector<GwTime> &times, GwTime from, GwTime to)
{
    return (size_t)(std::upper_bound(times.begin(), times.end(), to) -
                    std::upper_bound(times.begin(), times.end(), from));
}

void
RetryJudge::RecordRequest(const std::string &id)
{
    if (arrivals_.emplace(id, 0).second)
        requests_.push_back(GwTime_Now());
}

void
RetryJudge::RecordArrival(const std::string &id)
{
    // Some senders do not record what they send; it counts on its arrival.
    RecordRequest(id);
    if (++arrivals_[id] > 1)
        retries_.push_back(GwTime_Now());
}

RetryJudge::Window
RetryJudge::At(GwTime end) const
{
    size_t requests = 0;

    // Requests count in the window, in the one before it, or in the one half
    // a window before it, whichever has most.
    for (GwTime back : {(GwTime)0, kRetryWindow / 2, kRetryWindow})
        requests =
            std::max(requests, CountIn(requests_, end - back - kRetryWindow,
                                       end - back));
    return {CountIn(retries_, end - kRetryWindow, end),
            kRetryRatio * (double)requests + kRetrySlack};
}

RetryJudge::Window
RetryJudge::Fullest() const
{
    Window fullest = {0, kRetrySlack};

    for (GwTime end : retries_) {
        Window w = At(end);

        if ((double)w.retries / w.allowed >
            (double)fullest.retries / fullest.allowed)
            fullest = w;
    }
    return fullest;
}

void
RetryJudge::Judge(Ledger *ledger) const
{
    Window w = Fullest();

    if ((double)w.retries > w.allowed)
        ledger->RecordViolation("retries stay within their budget",
                                std::to_string(w.retries) + " retries to " +
                                    service_ + ", allowed are " +
                                    std::to_string((int)w.allowed) +
                                    " in a window");
}

std::string
RetryJudge::Describe() const
{
    Window w = Fullest();

    return std::to_string(w.retries) + " of " +
           std::to_string((int)w.allowed) + " retries to " + service_;
}
