/* Judges the retries that reach the endpoints of a service, summed over all
 * gateways. */
#ifndef GALENAGW_SOAK_RETRY_JUDGE_H
#define GALENAGW_SOAK_RETRY_JUDGE_H

#include <map>
#include <string>
#include <vector>

#include "ledger.h"

/* In each window, a service may get this share of its requests as retries, and
 * so many more. */
constexpr double kRetryRatio = 0.2;
constexpr int kRetrySlack = 54;
constexpr GwTime kRetryWindow = 10 * GW_SECOND;

class RetryJudge {
  public:
    explicit RetryJudge(std::string service) : service_(std::move(service))
    {
    }
    /* A caller sends a request to the service. */
    void RecordRequest(const std::string &id);
    /* A caller's request arrives at an endpoint, which may reject it. */
    void RecordArrival(const std::string &id);
    /* Check each window that ends with a retry. */
    void Judge(Ledger *ledger) const;
    /* Most retries in a window as a share of those allowed, for the report. */
    std::string Describe() const;

  private:
    struct Window {
        size_t retries;
        double allowed;
    };
    /* The window that ends with the retry at @p end. */
    Window At(GwTime end) const;
    /* The window that uses most of what is allowed. */
    Window Fullest() const;

    std::string service_;
    std::map<std::string, int> arrivals_;    /* by request id */
    std::vector<GwTime> requests_, retries_; /* times, ascending */
};

#endif
