/* Records what callers and endpoints observe, and each broken promise. */
#ifndef GALENAGW_SOAK_LEDGER_H
#define GALENAGW_SOAK_LEDGER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "galenagw/base/clock.h"

/* Whether a request may run more than once: an idempotent one may; a resumable
 * stream may be continued at another endpoint, or restarted while its caller
 * waits; the others must not. */
enum class RequestKind { kIdempotent, kNonIdempotent, kStream, kResumable };

/* Time that the effects of a fault may last after its end. Processes detect
 * stalled connections, reconnect and read the lists again. */
constexpr GwTime kSettleTime = 3 * GW_SECOND;
/* A machine is in touch if neither it nor its links nor the store had a fault
 * for this time. Rules with a time bound hold for each such machine, whatever
 * happens to others. */
constexpr GwTime kContactTime = 3 * GW_SECOND;

/* Number of active faults of a part of the system, and the end of the last
 * one. */
class FaultHistory {
  public:
    void
    BeginFault()
    {
        active_count_++;
    }
    void
    EndFault()
    {
        active_count_--;
        last_ended_at_ = GwTime_Now();
    }
    /* Whether no fault is active and the last one ended more than kSettleTime
     * before @p since, so that its effects have ended too. */
    bool
    IsSettledSince(GwTime since) const
    {
        return active_count_ == 0 &&
               (last_ended_at_ == 0 || last_ended_at_ + kSettleTime < since);
    }

    /* Whether no fault is active and the last one ended before @p since; for
     * checks that faults affect only while they are active. */
    bool
    IsFaultFreeSince(GwTime since) const
    {
        return active_count_ == 0 && last_ended_at_ < since;
    }

  private:
    int active_count_ = 0;
    GwTime last_ended_at_ = 0;
};

/* The requests by id, and the broken promises. */
class Ledger {
  public:
    void RecordSent(const std::string &id, RequestKind kind,
                    const std::string &gateway);
    /* The name of the gateway that the request was sent to; empty: unknown. */
    std::string GatewayOf(const std::string &id) const;
    /* An endpoint starts to run the request. @p is_resumption: it continues a
     * stream after the last event that arrived. */
    void RecordRun(const std::string &id, const std::string &endpoint,
                   bool is_resumption);
    /* A request of account "loud" runs. Each id counts once. */
    void RecordLoudUse(const std::string &id);
    /* The largest number of such requests in any period of @p window. */
    int MaxLoudUses(GwTime window) const;
    /* The number of such requests since @p since. */
    int LoudUsesSince(GwTime since) const;
    /* The caller received an answer that means: the request has not run and
     * will never run. */
    void RecordRefusal(const std::string &id, int status);
    /* The caller closes its connection before the answer is complete. */
    void RecordAbandoned(const std::string &id);
    bool HasRun(const std::string &id) const;
    /* Time of RecordAbandoned, or 0. */
    GwTime AbandonedAt(const std::string &id) const;
    /* A request of @p account for @p weights_version uses the KV cache of @p
     * scope. A scope must not be used with two versions of weights, and not
     * by two accounts of which one is among @p isolated. */
    void RecordCacheScope(const std::string &scope,
                          const std::string &weights_version,
                          const std::string &account,
                          const std::set<std::string> &isolated);
    /* Record and print that @p promise was broken. */
    void RecordViolation(const std::string &promise, const std::string &what);

    const std::vector<std::string> &
    violations() const
    {
        return violations_;
    }
    size_t
    requests() const
    {
        return requests_.size();
    }
    /* Number of the callers' requests with each outcome: the status of the
     * answer, or "left" (the caller abandoned the request), "silence"
     * (timeout), "cut" or "closed" (the connection was closed after or before
     * the head of the answer), "garbage" (invalid HTTP). */
    std::map<std::string, int> outcomes;

  private:
    struct Request {
        RequestKind kind;
        std::string gateway;
        int run_count = 0;
        int refusal_status = 0;  /* of the RecordRefusal call, or 0 */
        GwTime abandoned_at = 0; /* 0: not abandoned */
    };
    /* Use of one cache scope. */
    struct Scope {
        std::string weights_version;
        std::set<std::string> accounts; /* that ever used it */
    };
    std::map<std::string, Request> requests_;
    std::map<std::string, Scope> scopes_;
    std::vector<GwTime> loud_use_times_; /* ascending */
    std::set<std::string> loud_request_ids_;
    std::vector<std::string> violations_;
};

#endif
