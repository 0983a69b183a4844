// Which accounts share the KV cache of engines, over changes of configuration
// and weights.
#include <map>
#include <set>

#include "galenagw/fakes/fleet.h"

static const char kPrompt[] = "X-Model: m\r\nX-Token-Usage: 30,5\r\n"
                              "X-Prefix-Hash: a1:10,b2:20\r\n";

static std::string
RequestWithKey(const char *key)
{
    std::string bytes = Fleet::Request("POST", "/stream/1", "x", kPrompt);

    return bytes.replace(bytes.find("X-Key: key"), 10,
                         std::string("X-Key: ") + key);
}

// The cache scope of the request that the endpoint has received last.
static std::string
LastScope(const Endpoint *e)
{
    const std::string &text = e->seen.back();
    size_t at = text.find("X-Cache-Salt: ");

    return at == std::string::npos ? ""
                                   : text.substr(at, text.find('\n', at) - at);
}

static std::string
ScopeOfRequest(Fleet *f, GwGateway *g, const Endpoint *e, const char *key)
{
    auto c = f->Call(g, RequestWithKey(key));

    EXPECT_TRUE(f->Until([&] { return c->Has(1); }));
    return LastScope(e);
}

static void
ConfigureIsolation(Fleet *f, int version, bool acme, bool walled)
{
    f->acme_fields = acme ? ",\"isolated\":true" : "";
    f->walled_is_isolated = walled;
    f->Configure(version);
}

// Cached parts may be shared only among requests with the same weights and,
// for an isolated account, of the same account.
TEST(CacheScope, SeparatesWeightsAndIsolatedAccounts)
{
    Fleet f;
    f.Configure(1);
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());

    std::string shared = ScopeOfRequest(&f, g, e, "key");
    std::string isolated = ScopeOfRequest(&f, g, e, "wall");
    EXPECT_NE(shared, isolated);
    EXPECT_EQ(shared, ScopeOfRequest(&f, g, e, "key"));
    EXPECT_EQ(shared, ScopeOfRequest(&f, g, e, "try"));
    f.ListEndpoint(e, "ready", 2);
    f.Wait(400 * GW_MILLISECOND);
    EXPECT_NE(shared, ScopeOfRequest(&f, g, e, "key"));
    EXPECT_NE(isolated, ScopeOfRequest(&f, g, e, "wall"));
    EXPECT_NE(e->seen.back().find("X-Expect-Version: 2"), std::string::npos);
}

// Accounts become isolated and shared again. Guards against other accounts
// that go on using the parts which an account's requests made before it became
// isolated, also at a gateway that was started after the change.
TEST(CacheScope, PartsOfAnAccountThatBecomesIsolatedAreNotShared)
{
    const struct {
        const char *name;
        bool acme, walled; // isolated
        bool restart;      // of the gateway
    } steps[] = {
        {"all share", false, false, false},
        {"one becomes isolated", true, false, false},
        {"gateway restarts", true, false, true},
        {"it shares again", false, false, false},
        {"it becomes isolated again", true, false, false},
        {"a second one becomes isolated", true, true, false},
        {"the first one shares again", false, true, false},
    };
    const struct {
        const char *key, *name;
    } accounts[] = {{"key", "acme"}, {"wall", "walled"}, {"try", "guest"}};
    Fleet f;
    std::map<std::string, std::set<std::string>> makers; // by scope
    std::map<std::pair<bool, bool>, std::string> guest_scopes;
    int version = 0;

    ConfigureIsolation(&f, ++version, false, false);
    Endpoint *e = f.AddEndpoint("i-1", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    for (auto &step : steps) {
        ConfigureIsolation(&f, ++version, step.acme, step.walled);
        if (step.restart)
            g = f.AddGateway("gateway-2");
        ASSERT_TRUE(f.Ready());
        f.Wait(400 * GW_MILLISECOND);
        auto isolated = [&](const std::string &account) {
            return (account == "acme" && step.acme) ||
                   (account == "walled" && step.walled);
        };
        for (auto &a : accounts) {
            std::string scope = ScopeOfRequest(&f, g, e, a.key);

            EXPECT_NE(scope, "") << step.name;
            for (const std::string &maker : makers[scope])
                EXPECT_TRUE(maker == a.name ||
                            (!isolated(maker) && !isolated(a.name)))
                    << step.name << ": " << a.name << " uses parts of "
                    << maker;
            makers[scope].insert(a.name);
            if (a.name != std::string("guest"))
                continue;
            // What was read with the same accounts isolated is used again.
            std::string &before = guest_scopes[{step.acme, step.walled}];

            EXPECT_TRUE(before.empty() || before == scope) << step.name;
            before = scope;
        }
    }
}

// A request waits until an account has become isolated, and is then sent to
// an engine. Guards against scopes of the configuration with which a request
// began.
TEST(CacheScope, FollowsTheConfigurationAtTheTimeOfSending)
{
    Fleet f;
    FakeExchange *open = nullptr;
    ConfigureIsolation(&f, 1, false, false);
    Endpoint *e = f.AddEndpoint("i-1", "model");
    Endpoint *other = f.AddEndpoint("i-2", "model");
    GwGateway *g = f.AddGateway();
    ASSERT_TRUE(f.Ready());
    auto hold = [&](Endpoint *, FakeExchange *x) { open = x; };
    e->serve = other->serve = hold;
    auto c = f.Call(g, RequestWithKey("try"));
    ASSERT_TRUE(f.Until([&] { return open != nullptr; }));
    Endpoint *first = e->seen.empty() ? other : e;
    Endpoint *second = e->seen.empty() ? e : other;
    std::string before = LastScope(first);

    ConfigureIsolation(&f, 2, true, false);
    f.Wait(400 * GW_MILLISECOND);
    second->serve = nullptr;
    Endpoint::Decline(open);
    ASSERT_TRUE(f.Until([&] { return c->Has(1); }));
    ASSERT_EQ(second->seen.size(), 1u);
    EXPECT_NE(LastScope(second), before);
}
