/* What callers and endpoints saw, and the promises that this is held to. */
#ifndef GALENAGW_SOAK_LEDGER_H
#define GALENAGW_SOAK_LEDGER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "galenagw/base/clock.h"

/* What a request may do. */
enum class Kind { kIdempotent, kOnce, kStream, kResumable };

/* How long the effects of a fault may last after its end: connections are
 * found silent and opened anew, lists are read again. */
constexpr GwTime kSettle = 3 * GW_SECOND;

/* When a part of the system was last disturbed by a fault. */
class Disturbance {
  public:
    void
    Begin()
    {
        active_++;
    }
    void
    End()
    {
        active_--;
        ended_ = GwTime_Now();
    }
    /* Whether no fault has touched it since @p since, less the settling. */
    bool
    CalmSince(GwTime since) const
    {
        return active_ == 0 && (ended_ == 0 || ended_ + kSettle < since);
    }

    /* Whether no fault has touched it itself since then; for what the end of
     * a fault cures at once. */
    bool
    UntouchedSince(GwTime since) const
    {
        return active_ == 0 && ended_ < since;
    }

  private:
    int active_ = 0;
    GwTime ended_ = 0;
};

/* Requests by id, and every promise that was broken. */
class Ledger {
  public:
    void Sent(const std::string &id, Kind kind);
    /* An endpoint has begun to work on it. */
    void Ran(const std::string &id, const std::string &endpoint, bool goes_on);
    /* A request of the limited account runs; counted once. */
    void Used(const std::string &id);
    /* Uses in any span of @p window, at most; and since @p since. */
    int MostUses(GwTime window) const;
    int UsesSince(GwTime since) const;
    /* A caller was told that it has not run and never will. */
    void Refused(const std::string &id, int status);
    void Left(const std::string &id);
    bool HasRun(const std::string &id) const;
    /* When its caller left; 0: it has not. */
    GwTime LeftAt(const std::string &id) const;
    /* KV cache of @p scope is used for @p weights and @p account. */
    void UsedScope(const std::string &scope, const std::string &weights,
                   const std::string &account, bool isolated);
    void Broken(const std::string &promise, const std::string &what);

    const std::vector<std::string> &
    broken() const
    {
        return broken_;
    }
    size_t
    requests() const
    {
        return requests_.size();
    }
    std::map<std::string, int> outcomes; /* status or end to count */

  private:
    struct Request {
        Kind kind;
        int runs = 0;
        int refused = 0; /* status, or 0 */
        GwTime left = 0;
    };
    struct Scope {
        std::string weights;
        std::set<std::string> accounts;
        bool isolated = false;
    };
    std::map<std::string, Request> requests_;
    std::map<std::string, Scope> scopes_;
    std::vector<GwTime> uses_; /* in order */
    std::set<std::string> used_;
    std::vector<std::string> broken_;
};

#endif
