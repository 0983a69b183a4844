#include <set>

#include "galenagw/fakes/fleet.h"

// A store of KV cache: tells as kept what a test puts in.
struct KvStore {
    FakeHttpd *httpd = nullptr;
    std::string failure_domain = "d";
    std::string events; // of all, as JSON rows
    std::string held;   // all that it keeps, if its events have a gap
    int status = 200;
    int calls = 0;
    int lists = 0;     // calls for all that it keeps
    int polls = 0;     // calls that did not wait
    std::string later; // told to the second such call

    explicit KvStore(GwLoop *loop)
    {
        static const FakeHttpdOps ops = {OnRequest, nullptr};
        GwAddress any = {"127.0.0.1", 0};
        GwError err = {};

        httpd = FakeHttpd_New(loop, &any, &ops, this, &err);
    }
    ~KvStore()
    {
        FakeHttpd_Delete(httpd);
    }
    int
    Port() const
    {
        return FakeHttpd_Port(httpd);
    }
    static void
    OnRequest(void *user, FakeExchange *x)
    {
        KvStore *s = static_cast<KvStore *>(user);
        const char *wait = GwHttpHead_Find(x->head, "Wait-Ms");

        if (strcmp(x->head->target, "/galenagw/kv-list") == 0) {
            std::string all = "{\"boot_epoch\":7,\"next_token\":9,\"held\":[" +
                              s->held + "]}";
            s->lists++;
            FakeExchange_Answer(x, 200, "", all.data(), all.size());
            return;
        }
        bool waits = wait != nullptr && atoi(wait) > 0;

        if (!waits && ++s->polls == 2)
            s->events = s->later;
        std::string body =
            std::string("{\"boot_epoch\":7,\"next_token\":1,\"lost\":") +
            (s->held.empty() ? "false" : "true") + ",\"events\":[" +
            (s->calls++ == 0 || s->polls == 2 ? s->events : "") + "]}";

        // The first answer at once, later ones when something would come.
        if (s->calls > 1 && s->status == 200 && waits)
            return;
        FakeExchange_Answer(x, s->status, "", body.data(), body.size());
    }
};

class KvStoresTest : public testing::Test {
  protected:
    void
    Start(const std::vector<KvStore *> &stores)
    {
        for (KvStore *s : stores)
            f.kv_stores.push_back(
                {s->Port(), s->failure_domain, max_followers});
        f.Configure(1);
        e = f.AddEndpoint("i-1", "model");
        g = f.AddGateway();
        ASSERT_TRUE(f.Ready());
    }
    // The header as the engine saw it for a prompt with this shared part.
    std::string
    Ask(const std::string &part, const char *header, bool reads = true,
        int own = 100)
    {
        std::string prompt =
            "X-Model: m\r\nX-Token-Usage: " + std::to_string(800 + own) +
            ",5\r\nX-Prefix-Hash: " + part + ":800,ff:" + std::to_string(own) +
            "\r\n";
        auto c = f.Call(g, Fleet::Request("POST", "/stream/1", "x", prompt));
        EXPECT_TRUE(f.Until([&] { return c->Has(1); }));
        if (!reads)
            return "";
        const std::string &text = e->seen.back();
        size_t at = text.find(std::string(header) + ": ");
        if (at == std::string::npos)
            return "";
        at += strlen(header) + 2;
        return text.substr(at, text.find('\n', at) - at);
    }

    Fleet f;
    Endpoint *e = nullptr;
    GwGateway *g = nullptr;
    int max_followers = 8;
};

TEST_F(KvStoresTest, WhatAStoreKeepsIsFetchedAndWhatItLacksIsSaved)
{
    KvStore s(f.loop);
    s.events = "[1,\"+\",\"w1\",\"a1\",800,\"m\"]";
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());

    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), address);
    EXPECT_EQ(Ask("a1", "X-Kv-Save"), "");
    EXPECT_EQ(Ask("b2", "X-Kv-Save"), address);
    EXPECT_EQ(Ask("b2", "X-Kv-Save"), "") << "asked for a moment ago";
}

// A prompt of one part shares nothing: nobody is asked for a copy, and nothing
// of it is saved. Callers of such prompts lost their gateway, and with it all
// others who were being served there.
TEST_F(KvStoresTest, APromptThatSharesNothingIsServedWithoutACopy)
{
    KvStore s(f.loop);
    Start({&s});
    auto c = f.Call(g, Fleet::Request("POST", "/stream/1", "x",
                                      "X-Model: m\r\nX-Token-Usage: 100,5\r\n"
                                      "X-Prefix-Hash: ff:100\r\n"));

    ASSERT_TRUE(f.Until([&] { return c->Has(1); }));
    EXPECT_EQ(e->seen.back().find("X-Kv-Fetch: "), std::string::npos);
    EXPECT_EQ(e->seen.back().find("X-Kv-Save: "), std::string::npos);
}

// Many gateways follow a store, and it turns this one away: it lives, so it is
// used, by what this gateway has saved itself.
TEST_F(KvStoresTest, AStoreWithTooManyFollowersIsUsedBlindly)
{
    KvStore s(f.loop);
    s.status = 429;
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());

    EXPECT_EQ(Ask("a1", "X-Kv-Save"), address);
    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), address);
}

// Another gateway has a part saved, and this one hears of it a second later,
// as many follow the store. Meanwhile callers would wait for what is read
// again: the store is asked all the same, as one that lacks it costs little.
TEST_F(KvStoresTest, AStoreIsAskedForAPartThatItMayHaveByNow)
{
    KvStore s(f.loop);
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());

    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), address);
    EXPECT_EQ(Ask("b2", "X-Kv-Save"), address) << "and to keep it";
}

// The store is dead. Named as a source it would cost an engine some hundred
// milliseconds, so it is not named.
TEST_F(KvStoresTest, AStoreThatDoesNotAnswerIsNotUsed)
{
    KvStore s(f.loop);
    FakeHttpd_SetSilent(s.httpd, true);
    Start({&s});

    EXPECT_EQ(Ask("a1", "X-Kv-Save"), "");
    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), "");
}

TEST_F(KvStoresTest, PromptsSpreadOverAllStoresThatAnswer)
{
    KvStore a(f.loop), b(f.loop), dead(f.loop);
    std::set<std::string> used;
    FakeHttpd_SetSilent(dead.httpd, true);
    Start({&a, &b, &dead});

    for (int i = 16; i < 48; i++) {
        char part[8];
        snprintf(part, sizeof(part), "%x", i);
        used.insert(Ask(part, "X-Kv-Save"));
    }
    EXPECT_EQ(used, (std::set<std::string>{
                        "127.0.0.1:" + std::to_string(a.Port()),
                        "127.0.0.1:" + std::to_string(b.Port())}));
}

// More gateways follow a store than may wait for its events. Those that were
// turned away used to guess what it keeps, and had engines read a third of
// all shared parts again; now all ask in short calls, and each learns.
TEST_F(KvStoresTest, AStoreWithManyFollowersIsAskedInShortCalls)
{
    KvStore s(f.loop);
    s.later = "[1,\"+\",\"w1\",\"a1\",800,\"m\"]";
    max_followers = 1;
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());

    ASSERT_TRUE(f.Until([&] { return s.polls >= 3; }));
    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), address);
    EXPECT_EQ(Ask("a1", "X-Kv-Save"), "");
}

// An engine and a store in each of two failure domains: every prompt has its
// engine and its store in the same one.
TEST_F(KvStoresTest, APromptsStoreIsInTheFailureDomainOfItsEngine)
{
    KvStore a(f.loop), b(f.loop);
    b.failure_domain = "e";
    Start({&a, &b});
    Endpoint *far = f.AddEndpoint("i-2", "model", false, "e");
    f.Wait(400 * GW_MILLISECOND);
    std::string near_store = "127.0.0.1:" + std::to_string(a.Port());
    std::string far_store = "127.0.0.1:" + std::to_string(b.Port());

    for (int i = 16; i < 48; i++) {
        char part[8];
        snprintf(part, sizeof(part), "%x", i);
        Ask(part, "X-Kv-Save", false);
    }
    ASSERT_FALSE(e->seen.empty());
    ASSERT_FALSE(far->seen.empty());
    for (const std::string &text : e->seen)
        EXPECT_NE(text.find("X-Kv-Save: " + near_store), std::string::npos);
    for (const std::string &text : far->seen)
        EXPECT_NE(text.find("X-Kv-Save: " + far_store), std::string::npos);
}

// A gateway starts beside a store that has run for long: most of what it keeps
// came before the oldest event that it still has. The gateway asks for all of
// it once, and has nothing read or saved that is there already.
TEST_F(KvStoresTest, AStoreWhoseEventsHaveAGapIsAskedForAllItKeeps)
{
    KvStore s(f.loop);
    s.held = "[\"w1\",\"a1\",800,\"m\"]";
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());

    ASSERT_TRUE(f.Until([&] { return s.lists == 1; }));
    EXPECT_EQ(Ask("a1", "X-Kv-Fetch"), address);
    EXPECT_EQ(Ask("a1", "X-Kv-Save"), "");
    EXPECT_EQ(Ask("b2", "X-Kv-Save"), address);
    EXPECT_EQ(s.lists, 1);
}

// A save sends the request's own part too: where that is long, another request
// with the same shared parts is left to save them.
TEST_F(KvStoresTest, AShortOwnPartIsSavedWithTheSharedOnes)
{
    KvStore s(f.loop);
    Start({&s});
    std::string address = "127.0.0.1:" + std::to_string(s.Port());
    const struct {
        const char *part;
        int own;
        bool saved;
    } cases[] = {{"a1", 500, true},
                 {"b2", 2200, true},
                 {"c3", 2300, false},
                 {"d4", 9000, false}};

    for (auto &c : cases)
        EXPECT_EQ(Ask(c.part, "X-Kv-Save", true, c.own),
                  c.saved ? address : "")
            << c.own;
}
