// The retry budget of a whole fleet: entries and slack owners are terminated,
// suspended, cut off, added and replaced while most attempts fail.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "galenagw/routing/budget.h"
#include "galenagw/routing/retry_leases.h"

namespace {

const GwTime kStep = 10 * GW_MILLISECOND;
const GwTime kDelayMax = 20 * GW_MILLISECOND;
const GwTime kListDelayMax = 800 * GW_MILLISECOND;
// Faults begin once the owners have counted for a whole window.
const GwTime kCalm = 20 * GW_SECOND;
const GwTime kEnd = 80 * GW_SECOND;
const char kService[] = "service";
const unsigned kAttemptsMax = 3;

// One kind of fault: it strikes a share of the processes at each interval.
struct Fault {
    GwTime interval = 0; // 0: never
    double share = 0;
    GwTime lasts = 0;
    GwTime offset = 0; // of the strike in the interval
};

// Share of what is allowed that must be used: most of it while no process is
// lost, and a good part of it while many are.
const double kUsedInCalm = 0.5;
const double kUsedUnderFaults = 0.25;

struct Case {
    const char *name;
    unsigned entries = 5, owners = 8;
    double requests_per_s = 16; // of each entry
    double failures = 0.9;      // share of the attempts
    // If set: attempts fail only in the second half of each interval.
    GwTime outage_interval = 0;
    // If set: in the second half of each interval, one entry gets all
    // requests.
    GwTime moved_interval = 0;
    GwTime moved_delay = 0; // of these seconds
    Fault kill_entries, kill_owners, suspend, cut;
    GwTime add_entry_interval = 0, replace_owner_interval = 0;
    double used_min = kUsedUnderFaults;
};

const GwBudgetBound kBound = {0.2, 58, 10 * GW_SECOND};

std::vector<Case>
AllCases()
{
    const Fault kill_all = {2500 * GW_MILLISECOND, 1, 500 * GW_MILLISECOND, 0};
    const Fault kill_some = {1500 * GW_MILLISECOND, 0.4, 500 * GW_MILLISECOND,
                             0};
    std::vector<Case> cases;
    auto add = [&](const char *name) -> Case & {
        cases.push_back({});
        cases.back().name = name;
        return cases.back();
    };
    Case *c = &add("calm");

    c->used_min = kUsedInCalm;
    c = &add("few requests");
    c->requests_per_s = 1;
    c->used_min = kUsedInCalm;
    add("all entries killed in series").kill_entries = kill_all;
    c = &add("all entries killed in series, few requests");
    c->kill_entries = kill_all;
    c->requests_per_s = 2;
    add("some entries killed in series").kill_entries = kill_some;
    add("one entry restarted after the other").kill_entries = {
        GW_SECOND, 0.2, 200 * GW_MILLISECOND, 0};
    add("entries lost for half a minute").kill_entries = {15 * GW_SECOND, 0.6,
                                                          30 * GW_SECOND, 0};
    c = &add("all entries killed soon after an outage begins");
    c->requests_per_s = 60;
    c->outage_interval = 24 * GW_SECOND;
    c->kill_entries = {24 * GW_SECOND, 1, 100 * GW_MILLISECOND,
                       12500 * GW_MILLISECOND};
    c->used_min = 0;
    c = &add("traffic moves to one entry");
    c->requests_per_s = 60;
    c->moved_interval = 14 * GW_SECOND;
    c = &add("traffic moves to one entry soon after an outage begins");
    c->requests_per_s = 60;
    c->moved_interval = 24 * GW_SECOND;
    c->moved_delay = GW_SECOND;
    c->outage_interval = 24 * GW_SECOND;
    c->used_min = 0;
    add("entries suspended").suspend = {3 * GW_SECOND, 0.4,
                                        2500 * GW_MILLISECOND, 0};
    add("entries cut off").cut = {8 * GW_SECOND, 0.5, 6 * GW_SECOND, 0};
    c = &add("entries added");
    c->entries = 3;
    c->add_entry_interval = 4 * GW_SECOND;
    c = &add("owners killed in series");
    c->requests_per_s = 4;
    c->kill_owners = {3 * GW_SECOND, 0.4, GW_SECOND, 0};
    c = &add("owners replaced");
    c->requests_per_s = 4;
    c->replace_owner_interval = 5 * GW_SECOND;
    c = &add("few owners, replaced");
    c->requests_per_s = 4;
    c->owners = 3;
    c->replace_owner_interval = 5 * GW_SECOND;
    c = &add("all processes killed");
    c->requests_per_s = 4;
    c->kill_entries =
        c->kill_owners = {6 * GW_SECOND, 1, 500 * GW_MILLISECOND, 0};
    c = &add("many entries, few requests");
    c->entries = 60;
    c->requests_per_s = 1;
    c->kill_entries = {2500 * GW_MILLISECOND, 0.5, 500 * GW_MILLISECOND, 0};
    c = &add("everything at once");
    c->entries = 7;
    c->requests_per_s = 6;
    c->failures = 0.7;
    c->kill_entries = {2500 * GW_MILLISECOND, 0.5, 500 * GW_MILLISECOND, 0};
    c->kill_owners = {7 * GW_SECOND, 0.3, 800 * GW_MILLISECOND, 0};
    c->suspend = {4 * GW_SECOND, 0.3, 2500 * GW_MILLISECOND, 0};
    c->cut = {9 * GW_SECOND, 0.4, 5 * GW_SECOND, 0};
    c->add_entry_interval = 9 * GW_SECOND;
    c->replace_owner_interval = 11 * GW_SECOND;
    return cases;
}

class Fleet;

// A process of the fleet; it starts anew after each termination.
struct Process {
    Fleet *fleet = nullptr;
    uint64_t id = 0;
    bool alive = true;
    unsigned life = 0;
    GwTime starts_at = 0;
    GwTime suspended_until = 0;
    GwTime cut_until = 0;
};

struct Entry : Process {
    ~Entry()
    {
        GwRetryLeases_Delete(leases);
    }
    GwBudget budget = {};
    GwRetryLeases *leases = nullptr;
};

struct Owner : Process {
    ~Owner()
    {
        GwRetrySlack_Delete(slack);
    }
    GwRetrySlack *slack = nullptr;
};

// What endpoints see of the fleet.
struct Ledger {
    std::vector<GwTime> requests, retries;

    static size_t
    CountIn(const std::vector<GwTime> &times, GwTime from, GwTime to)
    {
        return (size_t)(std::lower_bound(times.begin(), times.end(), to) -
                        std::lower_bound(times.begin(), times.end(), from));
    }
    // Retries that are allowed in the window that ends with @p to. Requests
    // count in it, in the one before, or in the one half a window before.
    double
    Allowed(const GwBudgetBound &bound, GwTime to) const
    {
        size_t most = 0;

        for (GwTime back : {(GwTime)0, bound.window / 2, bound.window})
            most = std::max(
                most, CountIn(requests, to - bound.window - back, to - back));
        return bound.ratio * (double)most + bound.slack;
    }
};

class Fleet {
  public:
    Fleet(const Case &c, unsigned seed) : c_(c), rng_(seed)
    {
        for (unsigned i = 0; i < c.owners; i++)
            AddOwner();
        for (unsigned i = 0; i < c.entries; i++)
            AddEntry();
    }

    void
    Run()
    {
        for (now_ = GW_SECOND; now_ < kEnd; now_ += kStep) {
            if (now_ > kCalm)
                Strike();
            Restart();
            Deliver();
            for (auto &entry : entries_)
                Serve(entry.get());
        }
    }

    Ledger ledger;

  private:
    const Case &c_;
    std::mt19937 rng_;
    GwTime now_ = GW_SECOND;
    uint64_t next_id_ = 1;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<std::unique_ptr<Owner>> owners_;
    std::vector<uint64_t> owner_list_;
    std::multimap<GwTime, std::function<void()>> messages_;

    static bool
    Send(void *user, uint64_t owner, const char *service,
         const GwRetryLeaseRequest *request)
    {
        Entry *e = static_cast<Entry *>(user);

        return e->fleet->SendRequest(e, owner, *request);
    }
    static const GwRetryLeasesOps ops_;

    double
    Random()
    {
        return std::uniform_real_distribution<>(0, 1)(rng_);
    }
    GwTime
    Delay(GwTime max)
    {
        return (GwTime)(Random() * (double)max) + 1;
    }

    void
    AddEntry()
    {
        entries_.push_back(std::make_unique<Entry>());
        entries_.back()->fleet = this;
        entries_.back()->id = next_id_++;
        Start(entries_.back().get());
    }
    void
    AddOwner()
    {
        owners_.push_back(std::make_unique<Owner>());
        owners_.back()->fleet = this;
        owners_.back()->id = next_id_++;
        owner_list_.push_back(owners_.back()->id);
        Start(owners_.back().get());
        TellList();
    }
    void
    Start(Entry *e)
    {
        e->budget = {};
        e->budget.seed = rng_();
        GwRetryLeases_Delete(e->leases);
        e->leases = GwRetryLeases_New(&ops_, e);
        LearnList(e, owner_list_);
    }
    void
    Start(Owner *o)
    {
        GwRetrySlack_Delete(o->slack);
        o->slack = GwRetrySlack_New(&kBound, now_);
        LearnList(o, owner_list_);
    }
    void
    LearnList(Entry *e, const std::vector<uint64_t> &list)
    {
        GwRetryLeases_SetOwners(e->leases, list.data(), (unsigned)list.size());
    }
    void
    LearnList(Owner *o, const std::vector<uint64_t> &list)
    {
        bool listed = std::find(list.begin(), list.end(), o->id) != list.end();

        GwRetrySlack_SetOwners(o->slack, listed ? (unsigned)list.size() : 0,
                               now_);
    }
    // Each process learns of a change of the list at a moment of its own.
    void
    TellList()
    {
        auto list = owner_list_;

        for (auto &e : entries_)
            Post(e.get(), Delay(kListDelayMax),
                 [this, p = e.get(), list] { LearnList(p, list); });
        for (auto &o : owners_)
            Post(o.get(), Delay(kListDelayMax),
                 [this, p = o.get(), list] { LearnList(p, list); });
    }

    // Delivers to the same life of @p to only; a suspended process reads the
    // message when it goes on.
    void
    Post(Process *to, GwTime delay, std::function<void()> action)
    {
        unsigned life = to->life;

        messages_.emplace(now_ + delay, [this, to, life, action] {
            if (!to->alive || to->life != life)
                return;
            if (to->suspended_until > now_)
                Post(to, to->suspended_until - now_, action);
            else
                action();
        });
    }
    bool
    SendRequest(Entry *e, uint64_t owner, GwRetryLeaseRequest request)
    {
        for (auto &o : owners_) {
            if (o->id != owner || !o->alive || IsCut(e) || IsCut(o.get()))
                continue;
            Post(o.get(), Delay(kDelayMax),
                 [this, e, life = e->life, p = o.get(), request] {
                     Answer(e, life, p, request);
                 });
            return true;
        }
        return false;
    }
    void
    Answer(Entry *e, unsigned life, Owner *o,
           const GwRetryLeaseRequest &request)
    {
        GwRetryLeaseGrant grant =
            GwRetrySlack_Answer(o->slack, kService, &request, now_);

        if (e->life != life || IsCut(e) || IsCut(o))
            return;
        Post(e, Delay(kDelayMax), [this, e, id = o->id, grant] {
            GwRetryLeases_OnGrant(e->leases, id, kService, &grant, now_);
        });
    }
    bool
    IsCut(const Process *p)
    {
        return p->cut_until > now_;
    }
    void
    Deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            auto action = messages_.begin()->second;

            messages_.erase(messages_.begin());
            action();
        }
    }

    bool
    IsDue(GwTime interval, GwTime offset = 0)
    {
        return interval != 0 && now_ % interval >= offset &&
               now_ % interval < offset + kStep;
    }
    bool
    IsInSecondHalf(GwTime interval, GwTime delay = 0)
    {
        return interval != 0 && (now_ - delay) % interval >= interval / 2;
    }
    // Draws the processes that @p fault strikes now.
    std::vector<Process *>
    Draw(const Fault &fault, const std::vector<Process *> &all)
    {
        std::vector<Process *> drawn;

        for (Process *p : all) {
            if (IsDue(fault.interval, fault.offset) && p->alive &&
                Random() < fault.share)
                drawn.push_back(p);
        }
        return drawn;
    }
    void
    Strike()
    {
        std::vector<Process *> entries, owners;

        for (auto &e : entries_)
            entries.push_back(e.get());
        for (auto &o : owners_)
            owners.push_back(o.get());
        for (Process *p : Draw(c_.kill_entries, entries))
            Kill(p, c_.kill_entries.lasts);
        for (Process *p : Draw(c_.kill_owners, owners))
            Kill(p, c_.kill_owners.lasts);
        for (auto *all : {&entries, &owners}) {
            for (Process *p : Draw(c_.suspend, *all))
                p->suspended_until = now_ + c_.suspend.lasts;
            for (Process *p : Draw(c_.cut, *all))
                p->cut_until = now_ + c_.cut.lasts;
        }
        if (IsDue(c_.add_entry_interval))
            AddEntry();
        if (IsDue(c_.replace_owner_interval)) {
            owner_list_.erase(owner_list_.begin() +
                              (long)(rng_() % owner_list_.size()));
            AddOwner();
        }
    }
    void
    Kill(Process *p, GwTime lasts)
    {
        p->alive = false;
        p->starts_at = now_ + lasts;
        p->suspended_until = 0;
    }
    void
    Restart()
    {
        for (auto &e : entries_)
            RestartOne(e.get());
        for (auto &o : owners_)
            RestartOne(o.get());
    }
    template <class P>
    void
    RestartOne(P *p)
    {
        if (p->alive || now_ < p->starts_at)
            return;
        p->alive = true;
        p->life++;
        Start(p);
    }

    double
    RequestsPerSecond(const Entry *e)
    {
        bool is_moved = IsInSecondHalf(c_.moved_interval, c_.moved_delay);

        if (!is_moved)
            return c_.requests_per_s;
        return e == entries_.front().get()
                   ? c_.requests_per_s * (double)entries_.size()
                   : 0;
    }
    bool
    Fails()
    {
        bool is_outage =
            c_.outage_interval == 0 || IsInSecondHalf(c_.outage_interval);

        return is_outage && Random() < c_.failures;
    }
    // Callers send at all times; a process that does not run serves none.
    void
    Serve(Entry *e)
    {
        double mean = RequestsPerSecond(e) * (double)kStep / (double)GW_SECOND;
        int n = std::poisson_distribution<>(mean)(rng_);

        if (!e->alive)
            return;
        ledger.requests.insert(ledger.requests.end(), (size_t)n, now_);
        if (e->suspended_until > now_)
            return;
        for (int i = 0; i < n; i++)
            ServeOne(e);
        Refresh(e);
    }
    void
    ServeOne(Entry *e)
    {
        GwBudget_AddRequest(&e->budget, &kBound, now_);
        Refresh(e);
        for (unsigned i = 1; i < kAttemptsMax && Fails(); i++) {
            if (!GwBudget_UseRetry(&e->budget, &kBound, now_) &&
                !GwRetryLeases_Take(e->leases, kService, now_))
                return;
            ledger.retries.push_back(now_);
        }
    }
    void
    Refresh(Entry *e)
    {
        GwRetryLeases_Refresh(e->leases, kService,
                              GwBudget_IsLow(&e->budget, &kBound, now_), now_);
    }
};

const GwRetryLeasesOps Fleet::ops_ = {Fleet::Send};

} // namespace

// More retries than the bound reach a service while processes are lost and
// return, as each start counts from zero.
TEST(RetryBudgetFleet, SumStaysWithinBoundWhileProcessesAreLost)
{
    for (const Case &c : AllCases()) {
        for (unsigned seed = 1; seed <= 4; seed++) {
            Fleet fleet(c, seed);
            double worst = 0;

            fleet.Run();
            for (GwTime t : fleet.ledger.retries) {
                double allowed = fleet.ledger.Allowed(kBound, t + 1);
                size_t sent = Ledger::CountIn(fleet.ledger.retries,
                                              t + 1 - kBound.window, t + 1);

                worst = std::max(worst, (double)sent / allowed);
            }
            EXPECT_LE(worst, 1) << c.name << ", seed " << seed;
        }
    }
}

// A budget that is safe by refusing nearly all retries: requests fail that
// another endpoint would have served.
TEST(RetryBudgetFleet, MostOfTheBoundCanBeUsed)
{
    for (const Case &c : AllCases()) {
        Fleet fleet(c, 1);
        double sent = 0, allowed = 0;

        fleet.Run();
        for (GwTime t = kCalm; t < kEnd; t += GW_SECOND) {
            sent += (double)Ledger::CountIn(fleet.ledger.retries,
                                            t - kBound.window, t);
            allowed += fleet.ledger.Allowed(kBound, t);
        }
        EXPECT_GE(sent / allowed, c.used_min) << c.name;
    }
}
