#include "ledger.h"

#include <algorithm>
#include <cstdio>

/* A retry and the close of the caller's connection may cross; after this time,
 * none may reach an endpoint. */
static const GwTime kMaxRunAfterClose = 500 * GW_MILLISECOND;

void
Ledger::RecordSent(const std::string &id, RequestKind kind,
                   const std::string &gateway)
{
    requests_[id].kind = kind;
    requests_[id].gateway = gateway;
}

std::string
Ledger::GatewayOf(const std::string &id) const
{
    auto it = requests_.find(id);

    return it != requests_.end() ? it->second.gateway : "";
}

void
Ledger::RecordRun(const std::string &id, const std::string &endpoint,
                  bool is_resumption)
{
    auto it = requests_.find(id);

    if (it == requests_.end()) {
        RecordViolation("endpoints receive only requests of callers",
                        id + " ran at " + endpoint);
        return;
    }
    Request &r = it->second;
    r.run_count++;
    if (r.refusal_status != 0)
        RecordViolation("a refused request never runs",
                        id + " was refused with status " +
                            std::to_string(r.refusal_status) +
                            " and ran later at " + endpoint);
    if (r.run_count > 1 && (r.kind == RequestKind::kNonIdempotent ||
                            r.kind == RequestKind::kStream))
        RecordViolation("at most once", id + " ran again at " + endpoint);
    if (r.run_count > 1 && r.kind == RequestKind::kResumable &&
        !is_resumption && r.abandoned_at != 0 &&
        GwTime_Now() - r.abandoned_at > kMaxRunAfterClose)
        RecordViolation("abandoned requests are cancelled",
                        id + " ran again after its caller had abandoned it");
}

void
Ledger::RecordRefusal(const std::string &id, int status)
{
    Request &r = requests_[id];

    r.refusal_status = status;
    if (r.run_count > 0)
        RecordViolation("a refused request never runs",
                        id + " had run and was refused with status " +
                            std::to_string(status));
}

void
Ledger::RecordLoudUse(const std::string &id)
{
    if (loud_request_ids_.insert(id).second)
        loud_use_times_.push_back(GwTime_Now());
}

int
Ledger::MaxLoudUses(GwTime window) const
{
    size_t first = 0, max_uses = 0;

    for (size_t i = 0; i < loud_use_times_.size(); i++) {
        while (loud_use_times_[first] <= loud_use_times_[i] - window)
            first++;
        max_uses = std::max(max_uses, i + 1 - first);
    }
    return (int)max_uses;
}

int
Ledger::LoudUsesSince(GwTime since) const
{
    return (int)(loud_use_times_.end() -
                 std::lower_bound(loud_use_times_.begin(),
                                  loud_use_times_.end(), since));
}

void
Ledger::RecordAbandoned(const std::string &id)
{
    requests_[id].abandoned_at = GwTime_Now();
}

bool
Ledger::HasRun(const std::string &id) const
{
    auto it = requests_.find(id);

    return it != requests_.end() && it->second.run_count > 0;
}

GwTime
Ledger::AbandonedAt(const std::string &id) const
{
    auto it = requests_.find(id);

    return it != requests_.end() ? it->second.abandoned_at : 0;
}

void
Ledger::RecordCacheScope(const std::string &scope,
                         const std::string &weights_version,
                         const std::string &account,
                         const std::set<std::string> &isolated)
{
    Scope &s = scopes_[scope];

    if (s.weights_version.empty())
        s.weights_version = weights_version;
    if (s.weights_version != weights_version)
        RecordViolation("a cache scope has one version of weights",
                        "scope " + scope + " is used for versions " +
                            s.weights_version + " and " + weights_version);
    for (const std::string &maker : s.accounts) {
        if (maker != account &&
            (isolated.count(maker) > 0 || isolated.count(account) > 0))
            RecordViolation(
                "a cache scope of an isolated account is not shared",
                "scope " + scope + ", used by " + maker + ", then by " +
                    account);
    }
    s.accounts.insert(account);
}

void
Ledger::RecordViolation(const std::string &promise, const std::string &what)
{
    violations_.push_back(promise + ": " + what);
    fprintf(stderr, "broken: %s: %s\n", promise.c_str(), what.c_str());
}
