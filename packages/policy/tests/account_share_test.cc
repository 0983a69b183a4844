#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "galenagw/policy/account_share.h"
#include "galenagw/policy/limit_share.h"

// Simulates gateways, limit owners and engines without network. Each account
// sends requests to all gateways, a different part of them to each. The queues
// of the engines are limited by the rules of admission (MayJoin). Mutation
// that turns OthersKeepTheirService red: the rule ignores the account
// (Conditions::ignores_account, or a GwAccountShare_Add that returns 1); it is
// run by IgnoringTheAccountIsNoticed.
namespace {

const GwTime kNow = 1000 * GW_SECOND; // arbitrary
const GwTime kStep = GW_MILLISECOND;
const GwTime kTarget = 500 * GW_MILLISECOND;
const GwTime kDeadline = 3 * GW_SECOND;
const unsigned kAccounts = 16;
const unsigned kPool = 8;
const double kRequestTokens = 2368;
// Agents report the queues of their engines at this interval.
const GwTime kReportInterval = 200 * GW_MILLISECOND;
// Engines that a request may be sent to: those with a part of its prompt.
const unsigned kCandidates = 4;
const GwTime kTransit = 2 * GW_MILLISECOND;

struct Conditions {
    unsigned gateways = 6;
    unsigned engines = 8;
    double load = 300;      // usual requests per second of all accounts
    double capacity = 1.06; // of all engines, in relation to the usual load
    unsigned loud = 0;      // account
    double loud_factor = 7; // of its usual use; 1: none is loud
    bool ignores_account = false;
    std::vector<unsigned> lost_owners; // from the begin of the loud time
    int cut_off_gateway = -1;
    int restarted_gateway = -1; // in the middle of the loud time
    int restarted_owner = -1;
    bool knows_use = true; // false: owners do not report it
    unsigned seed = 1;
};

class Simulation {
  public:
    explicit Simulation(const Conditions &setup) : s(setup), rng(setup.seed)
    {
        double sum = 0;

        for (unsigned i = 0; i < kPool; i++) {
            nodes[i] = 100 + 7 * i;
            owners.push_back(nullptr);
        }
        pool = GwLimitPool_Of(nodes, kPool);
        for (unsigned i = 0; i < kPool; i++)
            StartOwner(i);
        for (unsigned i = 0; i < kAccounts; i++) {
            usual.push_back(1.0 / (1 + i));
            sum += usual[i];
            names.push_back("account-" + std::to_string(i));
        }
        for (double &u : usual)
            u *= s.load / sum;
        gateways.resize(s.gateways);
        for (unsigned i = 0; i < s.gateways; i++) {
            gateways[i].sim = this;
            gateways[i].index = i;
            gateways[i].rand = g_rand_new_with_seed(i);
            StartGateway(i);
        }
        for (unsigned a = 0; a < kAccounts; a++) {
            std::vector<double> w;

            for (unsigned i = 0; i < s.gateways; i++)
                w.push_back(0.2 + (double)(rng() % 1000) / 1000);
            parts.emplace_back(w.begin(), w.end());
        }
        queues.resize(s.engines);
    }
    ~Simulation()
    {
        for (Gateway &g : gateways) {
            GwLimitShare_Delete(g.limit_share);
            GwAccountShare_Delete(g.account_share);
            g_rand_free(g.rand);
        }
        for (GwLimitOwner *o : owners)
            GwLimitOwner_Delete(o);
    }
    // @return the share of requests in target of the accounts that are not
    // loud, while one is
    double
    Run()
    {
        const GwTime loud_at = now + 8 * GW_SECOND;
        const GwTime end = loud_at + 6 * GW_SECOND;
        double n = 0, served = 0;

        for (; now < end; now += kStep) {
            is_loud = now >= loud_at;
            if (now == loud_at) {
                for (unsigned i : s.lost_owners)
                    is_lost[i] = true;
            }
            if (now == loud_at + 2 * GW_SECOND) {
                if (s.restarted_gateway >= 0)
                    StartGateway((unsigned)s.restarted_gateway);
                if (s.restarted_owner >= 0)
                    StartOwner((unsigned)s.restarted_owner);
            }
            Step();
        }
        for (unsigned a = 0; a < kAccounts; a++) {
            if (a == s.loud)
                continue;
            n += sent[a];
            served += in_target[a];
        }
        return served / n;
    }

    double sent[kAccounts] = {}, in_target[kAccounts] = {};
    double worst_excess[kAccounts] = {};

  private:
    struct Gateway {
        Simulation *sim;
        unsigned index;
        GRand *rand;
        GwLimitShare *limit_share = nullptr;
        GwAccountShare *account_share = nullptr;
        std::vector<double> seen;  // queues by the last report
        std::vector<double> added; // by this gateway since then
        GwTime reported_at = 0;
        GwTime above_since = 0; // 0: the last wait was short
        GwTime refused_at = 0;
        bool is_sustained = false;
    };
    struct Request {
        Gateway *gateway;
        unsigned account;
        GwTime arrived_at;
        GwLimitWaiter waiter;
    };
    struct Message {
        unsigned gateway;
        unsigned owner;
        bool is_answer;
        GwLimitRequest request;
        std::string account;
        double units, use;
    };

    void
    StartOwner(unsigned i)
    {
        GwLimitOwner_Delete(owners[i]);
        owners[i] = GwLimitOwner_New(now - GW_SECOND);
        GwLimitOwner_SetPool(owners[i], &pool, nodes[i], now - GW_SECOND);
    }
    void
    StartGateway(unsigned i)
    {
        static const GwLimitShareOps ops = {SendRequest};
        Gateway *g = &gateways[i];
        GwLimitShareOptions options = {&ops, g, i * 7919, g->rand};

        // Waiting requests of the earlier process are lost with it.
        GwLimitShare_Delete(g->limit_share);
        GwAccountShare_Delete(g->account_share);
        g->limit_share = GwLimitShare_New(&options);
        g->account_share = GwAccountShare_New();
        GwLimitShare_SetPool(g->limit_share, &pool);
        g->seen.assign(s.engines, 0);
        g->added.assign(s.engines, 0);
        g->reported_at = now - (GwTime)(i * 31) * GW_MILLISECOND;
        g->is_sustained = false;
        g->above_since = 0;
    }
    GwLimit
    LimitOf(unsigned account) const
    {
        double rate = 1.8 * usual[account] * kRequestTokens;

        return {rate, rate / 2, rate / 10, 0};
    }
    bool
    Reaches(unsigned gateway, unsigned owner) const
    {
        return !is_lost[owner] &&
               !(is_loud && (int)gateway == s.cut_off_gateway);
    }
    static bool
    SendRequest(void *user, uint64_t node, const GwLimitRequest *request)
    {
        Gateway *g = (Gateway *)user;
        Simulation *sim = g->sim;
        unsigned owner = (unsigned)((node - 100) / 7);

        if (!sim->Reaches(g->index, owner))
            return false;
        sim->messages.insert(
            {sim->now + kTransit,
             {g->index, owner, false, *request, request->account, 0, -1}});
        return true;
    }
    void
    Deliver()
    {
        while (!messages.empty() && messages.begin()->first <= now) {
            Message m = messages.begin()->second;
            Gateway *g = &gateways[m.gateway];
            unsigned account = (unsigned)std::stoi(m.account.substr(8));
            GwLimit limit = LimitOf(account);

            messages.erase(messages.begin());
            if (!Reaches(m.gateway, m.owner))
                continue;
            m.request.account = m.account.c_str();
            if (m.is_answer) {
                if (m.use >= 0 && s.knows_use)
                    GwLimitShare_OnUse(g->limit_share, nodes[m.owner],
                                       m.account.c_str(), m.use, now);
                GwLimitShare_OnAnswer(g->limit_share, nodes[m.owner],
                                      &m.request, m.units, now);
                continue;
            }
            m.units =
                GwLimitOwner_Answer(owners[m.owner], &limit, &m.request, now);
            m.use = GwLimitOwner_Use(owners[m.owner], m.account.c_str(), now);
            m.is_answer = true;
            if (m.request.lease_id != 0)
                messages.insert({now + kTransit, m});
        }
    }
    void
    Step()
    {
        double speed = s.load * s.capacity * kRequestTokens / s.engines *
                       (double)kStep / GW_SECOND;

        Deliver();
        for (double &q : queues)
            q = std::max(q - speed, 0.0);
        for (Gateway &g : gateways) {
            if (now - g.reported_at >= kReportInterval) {
                g.reported_at = now;
                g.seen = queues;
                g.added.assign(s.engines, 0);
            }
            GwLimitShare_Tick(g.limit_share, now);
        }
        for (unsigned a = 0; a < kAccounts; a++) {
            double rate =
                usual[a] * (is_loud && a == s.loud ? s.loud_factor : 1);
            unsigned n = std::poisson_distribution<unsigned>(
                rate * (double)kStep / GW_SECOND)(rng);

            for (; n > 0; n--)
                Arrive(&gateways[parts[a](rng)], a);
        }
    }
    void
    Arrive(Gateway *g, unsigned account)
    {
        GwLimitedAccount limited = {
            names[account].c_str(), LimitOf(account), {}};
        Request *r = new Request{g, account, now, {}};

        if (is_loud)
            sent[account]++;
        // What the platform tolerates while no owner is reached.
        limited.offline_limit = {limited.limit.rate / s.gateways,
                                 limited.limit.burst / s.gateways, 0, 0};
        r->waiter.on_decided = OnDecided;
        r->waiter.user = r;
        requests.emplace_back(r);
        GwLimitDecision d = GwLimitShare_Take(g->limit_share, &limited,
                                              kRequestTokens, &r->waiter, now);
        if (d.state == GW_LIMIT_GRANTED)
            Attempt(r);
    }
    static void
    OnDecided(GwLimitWaiter *waiter, const GwLimitDecision *d)
    {
        Request *r = (Request *)waiter->user;

        if (d->state == GW_LIMIT_GRANTED)
            r->gateway->sim->Attempt(r);
    }
    void
    Attempt(Request *r)
    {
        Gateway *g = r->gateway;
        const char *name = names[r->account].c_str();
        GwAccountRequest request = {
            name,
            false,
            LimitOf(r->account).rate,
            kRequestTokens,
            GwLimitShare_Use(g->limit_share, name, now),
            s.gateways,
            GwLimitShare_IsCutOff(g->limit_share, now)};
        GwAccountShareChange change;
        double excess =
            GwAccountShare_Add(g->account_share, &request, now, &change);
        double per_us = s.load * s.capacity * kRequestTokens / s.engines /
                        (double)GW_SECOND;
        unsigned first = (unsigned)(rng() % s.engines), best = first;
        double wait, prefill = kRequestTokens / per_us;

        if (is_loud)
            worst_excess[r->account] =
                std::max(worst_excess[r->account], excess);
        for (unsigned i = 1; i < kCandidates; i++) {
            unsigned e = (unsigned)(rng() % s.engines);

            if (Seen(g, e) < Seen(g, best))
                best = e;
        }
        if (s.ignores_account)
            excess = 1;
        wait = Seen(g, best);
        if (g->is_sustained ||
            (excess > 1 && wait > (double)kTarget / 4 * per_us))
            wait += std::min(g->added[best] * (s.gateways - 1),
                             (double)kTarget * per_us);
        wait /= per_us;
        if (wait + prefill > kDeadline || !MayJoin(g, wait, prefill, excess)) {
            GwLimitShare_ReturnUnits(g->limit_share, name, kRequestTokens,
                                     now);
            GwAccountShare_Return(g->account_share, name, kRequestTokens, now);
            return;
        }
        g->added[best] += kRequestTokens;
        queues[best] += kRequestTokens;
        if (is_loud &&
            (double)(now - r->arrived_at) + queues[best] / per_us <= kTarget)
            in_target[r->account]++;
    }
    // The rules of admission for urgent requests. Overload is sustained after
    // waits above the target for one target. While it is, a request may wait
    // for half of its target divided by the excess of its account. Before, an
    // account beyond its share may wait for half of its target, and above half
    // of this, the wait includes an estimate of what others have sent, as it
    // does under sustained overload. A part of the gateways use the last
    // places.
    bool
    MayJoin(Gateway *g, double wait, double prefill, double excess)
    {
        double limit = (double)kTarget / 2 / (g->is_sustained ? excess : 1);
        double others = std::min(s.gateways * prefill, limit / 2);
        bool has_place =
            limit - wait >= (double)(rng() % 1000) / 1000 * others;

        if (g->is_sustained) {
            if (wait < (double)kTarget / 4 && now - g->refused_at >= kTarget) {
                g->is_sustained = false;
                g->above_since = 0;
                return true;
            }
            if (!has_place)
                g->refused_at = now;
            return has_place;
        }
        if (wait <= (double)kTarget)
            g->above_since = 0;
        else if (g->above_since == 0)
            g->above_since = now;
        else if (now - g->above_since >= kTarget) {
            g->is_sustained = true;
            g->refused_at = now;
        }
        return excess <= 1 || has_place;
    }
    // The queue of an engine as the gateway knows it.
    static double
    Seen(const Gateway *g, unsigned e)
    {
        return g->seen[e] + g->added[e];
    }

    Conditions s;
    std::mt19937 rng;
    GwTime now = kNow;
    bool is_loud = false;
    bool is_lost[kPool] = {};
    uint64_t nodes[kPool];
    GwLimitPool pool;
    std::vector<GwLimitOwner *> owners;
    std::vector<Gateway> gateways;
    std::vector<double> usual;
    std::vector<std::string> names;
    std::vector<std::discrete_distribution<unsigned>> parts;
    std::vector<double> queues; // tokens that wait at each engine
    std::multimap<GwTime, Message> messages;
    std::vector<std::unique_ptr<Request>> requests;
};

// How much less of the other accounts' requests meet their target while one
// account is loud than while it sends its usual amount.
double
Loss(Conditions setup)
{
    Conditions usual = setup;

    usual.loud_factor = 1;
    usual.ignores_account = true;
    return Simulation(usual).Run() - Simulation(setup).Run();
}

} // namespace

// Guards against accounts that lose service because another one sends 7 times
// its usual amount.
TEST(AccountShares, OthersKeepTheirService)
{
    for (unsigned loud : {0, 1, 2}) {
        for (unsigned seed = 1; seed <= 4; seed++) {
            Conditions s;

            s.loud = loud;
            s.seed = seed;
            EXPECT_LE(Loss(s), 0.05)
                << "account " << loud << ", seed " << seed;
        }
    }
}

// The mutation: without shares, the test above fails.
TEST(AccountShares, IgnoringTheAccountIsNoticed)
{
    Conditions s;

    s.ignores_account = true;
    EXPECT_GT(Loss(s), 0.05);
}

TEST(AccountShares, OthersKeepTheirServiceInFailures)
{
    std::vector<std::pair<const char *, Conditions>> cases(5);

    cases[0].first = "one limit owner lost";
    cases[0].second.lost_owners = {3};
    cases[1].first = "half of the limit owners lost";
    cases[1].second.lost_owners = {0, 2, 4, 6};
    cases[2].first = "a gateway is cut off";
    cases[2].second.cut_off_gateway = 2;
    cases[3].first = "a gateway restarts";
    cases[3].second.restarted_gateway = 1;
    cases[4].first = "a limit owner restarts";
    cases[4].second.restarted_owner = 5;
    for (auto &c : cases) {
        for (unsigned seed = 1; seed <= 3; seed++) {
            c.second.seed = seed;
            EXPECT_LE(Loss(c.second), 0.05) << c.first << ", seed " << seed;
        }
    }
}

// Older limit owners do not report use. A gateway's own counts are less exact,
// as it gets a different part of each account's requests, but must be better
// than none.
TEST(AccountShares, OwnCountsAreBetterThanNone)
{
    for (unsigned seed = 1; seed <= 3; seed++) {
        Conditions own, none;

        own.seed = none.seed = seed;
        own.knows_use = false;
        none.ignores_account = true;
        EXPECT_LE(Loss(own), 0.5 * Loss(none)) << "seed " << seed;
    }
}

// Calls GwAccountShare_Add for two accounts of the same limit, with these
// uses.
class TwoAccounts : public testing::Test {
  protected:
    ~TwoAccounts() override
    {
        GwAccountShare_Delete(share);
    }
    double
    Add(const char *account, double use, GwTime at, bool yields = false,
        bool is_cut_off = false, double units = 1)
    {
        GwAccountRequest r = {account, yields, 100, units, use, 2, is_cut_off};

        return GwAccountShare_Add(share, &r, kNow + at, &change);
    }
    void
    Warm()
    {
        for (GwTime at = 0; at <= 4 * GW_SECOND; at += GW_SECOND / 10) {
            Add("a", 0.3, at);
            Add("b", 0.9, at);
        }
    }

    GwAccountShare *share = GwAccountShare_New();
    GwAccountShareChange change;
};

// A gateway that has just started does not know the uses.
TEST_F(TwoAccounts, WithinShareAfterStart)
{
    Add("a", 0.3, 0);
    EXPECT_EQ(Add("b", 0.9, GW_SECOND / 4), 1);
    Warm();
    EXPECT_NEAR(Add("b", 0.9, 4 * GW_SECOND), 1.5, 0.01);
    EXPECT_EQ(Add("a", 0.3, 4 * GW_SECOND), 1);
}

// A gateway that is cut off must not refuse by what it knew earlier.
TEST_F(TwoAccounts, WithinShareWhileCutOff)
{
    Warm();
    EXPECT_EQ(Add("b", 0.9, 5 * GW_SECOND, false, true), 1);
    EXPECT_EQ(Add("b", 0.9, 5 * GW_SECOND + GW_SECOND / 4), 1);
}

// Idle accounts leave their shares to others.
TEST_F(TwoAccounts, IdleAccountsDoNotCount)
{
    Warm();
    Add("b", 0.9, 9 * GW_SECOND + GW_SECOND / 2);
    EXPECT_EQ(Add("b", 0.9, 10 * GW_SECOND), 1);
}

// Paying accounts must not be refused because trial accounts use little.
TEST_F(TwoAccounts, ClassesAreNotCompared)
{
    Warm();
    for (int i = 0; i < 50; i++)
        Add("trial", 0.0, 4 * GW_SECOND, true);
    EXPECT_NEAR(Add("b", 0.9, 4 * GW_SECOND + GW_SECOND / 2), 1.5, 0.01);
    EXPECT_EQ(Add("trial", 0.0, 4 * GW_SECOND + GW_SECOND / 2, true), 1);
}

// Older limit owners do not report use.
TEST_F(TwoAccounts, OwnCountsWithoutReports)
{
    double excess = 0;

    for (GwTime at = 0; at <= 6 * GW_SECOND; at += GW_SECOND / 10) {
        Add("a", -1, at, false, false, 1);
        excess = Add("b", -1, at, false, false, 3);
    }
    EXPECT_NEAR(excess, 1.5, 0.1);
}

// The log must stay readable when many accounts change often.
TEST_F(TwoAccounts, LogLinesAreBounded)
{
    int lines = 0;

    for (GwTime at = 0; at < 100 * GW_SECOND; at += GW_SECOND / 10) {
        Add("a", 0.1, at);
        for (int i = 0; i < 100; i++) {
            Add(("n" + std::to_string(i)).c_str(),
                (at / GW_SECOND + i) % 2 == 0 ? 0.9 : 0.1, at);
            lines += change != GW_ACCOUNT_SHARE_SAME;
        }
    }
    EXPECT_GT(lines, 0);
    EXPECT_LE(lines, 20 * 11);
}

// Guards against a use that is wrong after a restart of an owner, or counts
// units that came back.
TEST(LimitOwnerUse, IsAveragedAndNetOfReturns)
{
    GwLimit limit = {300, 300, 0, 0};
    uint64_t self = 1;
    GwLimitPool pool = GwLimitPool_Of(&self, 1);
    GwLimitOwner *owner = GwLimitOwner_New(kNow - 10 * GW_SECOND);
    GwLimitRequest request = {"a", 1, 3, 0, 0};
    GwTime now = kNow;

    GwLimitOwner_SetPool(owner, &pool, self, kNow - 10 * GW_SECOND);
    EXPECT_LT(GwLimitOwner_Use(owner, "a", now), 0);
    for (; now < kNow + GW_SECOND / 2; now += GW_SECOND / 50)
        GwLimitOwner_Answer(owner, &limit, &request, now);
    EXPECT_LT(GwLimitOwner_Use(owner, "a", now), 0) << "too early";
    for (; now < kNow + 3 * GW_SECOND / 2; now += GW_SECOND / 50)
        GwLimitOwner_Answer(owner, &limit, &request, now);
    EXPECT_NEAR(GwLimitOwner_Use(owner, "a", now), 0.45, 0.07);
    request.unused = 2;
    for (; now < kNow + 12 * GW_SECOND; now += GW_SECOND / 50)
        GwLimitOwner_Answer(owner, &limit, &request, now);
    EXPECT_NEAR(GwLimitOwner_Use(owner, "a", now), 0.14, 0.06);
    GwLimitOwner_Delete(owner);
}
