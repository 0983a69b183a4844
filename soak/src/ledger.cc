#include "ledger.h"

#include <algorithm>
#include <cstdio>

void
Ledger::Sent(const std::string &id, Kind kind)
{
    requests_[id].kind = kind;
}

void
Ledger::Ran(const std::string &id, const std::string &endpoint, bool goes_on)
{
    auto it = requests_.find(id);

    if (it == requests_.end()) {
        Broken("own requests only", id + " ran at " + endpoint);
        return;
    }
    Request &r = it->second;
    r.runs++;
    if (r.refused != 0)
        Broken("not run is true", id + " was answered " +
                                      std::to_string(r.refused) +
                                      " and ran later at " + endpoint);
    if (r.runs > 1 && (r.kind == Kind::kOnce || r.kind == Kind::kStream))
        Broken("at most once", id + " ran again at " + endpoint);
    if (r.runs > 1 && r.kind == Kind::kResumable && !goes_on && r.left != 0)
        Broken("nobody waits", id + " ran again after its caller had left");
}

void
Ledger::Refused(const std::string &id, int status)
{
    Request &r = requests_[id];

    r.refused = status;
    if (r.runs > 0)
        Broken("not run is true",
               id + " had run and was answered " + std::to_string(status));
}

void
Ledger::Used(const std::string &id)
{
    if (used_.insert(id).second)
        uses_.push_back(GwTime_Now());
}

int
Ledger::MostUses(GwTime window) const
{
    size_t first = 0, most = 0;

    for (size_t i = 0; i < uses_.size(); i++) {
        while (uses_[first] <= uses_[i] - window)
            first++;
        most = std::max(most, i + 1 - first);
    }
    return (int)most;
}

int
Ledger::UsesSince(GwTime since) const
{
    return (int)(uses_.end() -
                 std::lower_bound(uses_.begin(), uses_.end(), since));
}

void
Ledger::Left(const std::string &id)
{
    requests_[id].left = GwTime_Now();
}

bool
Ledger::HasRun(const std::string &id) const
{
    auto it = requests_.find(id);

    return it != requests_.end() && it->second.runs > 0;
}

GwTime
Ledger::LeftAt(const std::string &id) const
{
    auto it = requests_.find(id);

    return it != requests_.end() ? it->second.left : 0;
}

void
Ledger::UsedScope(const std::string &scope, const std::string &weights,
                  const std::string &account, bool isolated)
{
    Scope &s = scopes_[scope];

    if (s.weights.empty())
        s.weights = weights;
    if (s.weights != weights)
        Broken("no cache of older weights",
               "scope " + scope + " serves " + s.weights + " and " + weights);
    s.accounts.insert(account);
    s.isolated = s.isolated || isolated;
    if (s.isolated && s.accounts.size() > 1)
        Broken("no cache of another account", "scope " + scope);
}

void
Ledger::Broken(const std::string &promise, const std::string &what)
{
    broken_.push_back(promise + ": " + what);
    fprintf(stderr, "broken: %s: %s\n", promise.c_str(), what.c_str());
}
