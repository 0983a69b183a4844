#include "peer_pair.h"

// An agent sends its gateways the cached parts of its engine.
class CacheSyncTest : public PeerPair {
  protected:
    void
    SetUp() override
    {
        PeerPair::SetUp();
        cached_parts_ = GwCachedParts_New(100);
        GwPeers_SetCachedParts(agent_.peers, cached_parts_);
    }
    void
    TearDown() override
    {
        PeerPair::TearDown();
        GwCachedParts_Unref(cached_parts_);
    }
    // Changes the engine's cached parts and broadcasts the changes.
    void
    ApplyChanges(std::vector<GwCachedPartChange> changes)
    {
        for (const GwCachedPartChange &c : changes)
            GwCachedParts_Set(cached_parts_, c.key, c.tokens);
        GwPeers_BroadcastCachedParts(agent_.peers, changes.data(),
                                     changes.size());
    }
    // Keys of the parts that the gateway has stored for the engine; a single 0
    // if it does not know the engine.
    std::vector<uint64_t>
    EntryKeys()
    {
        std::vector<uint64_t> keys;

        if (EntryInstance() == nullptr)
            return {0};
        GwCachedParts_Each(
            EntryInstance()->cached_parts,
            [](void *user, uint64_t key, uint32_t) {
                static_cast<std::vector<uint64_t> *>(user)->push_back(key);
            },
            &keys);
        std::sort(keys.begin(), keys.end());
        return keys;
    }
    bool
    WaitForKeys(const std::vector<uint64_t> &keys)
    {
        return f.Until([&] { return EntryKeys() == keys; });
    }

    GwCachedParts *cached_parts_ = nullptr;
};

TEST_F(CacheSyncTest, FullUpdateIsFollowedByDeltas)
{
    ApplyChanges({{1, 800}, {2, 400}});
    SendEngineState(10, 1);
    ApplyChanges({});
    EXPECT_TRUE(WaitForKeys({1, 2})) << "cached before the gateway connected";
    ApplyChanges({{3, 100}, {1, 0}});
    EXPECT_TRUE(WaitForKeys({2, 3}));
    ApplyChanges({{2, 0}, {3, 0}});
    EXPECT_TRUE(WaitForKeys({}));
}

// After a gap in the engine's events the agent reads its full contents. Parts
// sent before must be discarded, because requests would be sent to parts that
// have been evicted.
TEST_F(CacheSyncTest, ResetAfterGapDiscardsEarlierParts)
{
    SendEngineState(10, 1);
    ApplyChanges({{1, 800}, {2, 400}});
    ASSERT_TRUE(WaitForKeys({1, 2}));
    GwCachedParts_Clear(cached_parts_);
    GwPeers_ResetCachedParts(agent_.peers);
    ApplyChanges({{5, 100}});
    EXPECT_TRUE(WaitForKeys({5}));
}

// The engine restarts with an empty cache. Its agent notices that and sends
// the cached parts of the later incarnation before the gateway has read the
// engine's row. They must be present with the row, and no part of the earlier
// incarnation.
TEST_F(CacheSyncTest, LaterIncarnationStartsWithEmptyCache)
{
    SendEngineState(10, 1);
    ApplyChanges({{1, 800}});
    ASSERT_TRUE(WaitForKeys({1}));
    GwCachedParts_Clear(cached_parts_);
    GwPeers_ResetCachedParts(agent_.peers);
    SendEngineState(20, 1);
    EXPECT_EQ(EntryInstance()->incarnation, 20);
    EXPECT_EQ(EntryKeys(), std::vector<uint64_t>{});
    ApplyChanges({{7, 100}});
    EXPECT_TRUE(WaitForKeys({7}));
}

// After a restart of the whole fleet an agent often knows its engine's new id
// before a gateway has read it. Updates received before must apply once the id
// is known.
TEST_F(CacheSyncTest, UpdatesBeforeListingApplyOnceListed)
{
    GwInstances_Forget(GwView_Instances(entry_.view), "i-1", GwTime_Now());
    SendEngineState(10, 1);
    ApplyChanges({{1, 800}});
    ApplyChanges({{2, 400}});
    f.Wait(100 * GW_MILLISECOND);
    EXPECT_EQ(EntryKeys(), std::vector<uint64_t>{0});
    PutInstanceRow(&entry_, 10, 1);
    ApplyChanges({{3, 200}});
    EXPECT_TRUE(WaitForKeys({1, 2, 3}));
}
