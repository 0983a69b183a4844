#include <gtest/gtest.h>

#include "galenagw/routing/stream_origins.h"

static const GwTime kNow = 5000 * GW_SECOND;

class StreamOrigins : public testing::Test {
  protected:
    ~StreamOrigins() override
    {
        GwStreamOrigins_Delete(o);
    }
    void
    Store(uint64_t stream, uint64_t software, GwTime at)
    {
        GwStreamOrigins_Store(o, stream, software, kNow + at);
    }
    uint64_t
    Find(uint64_t stream, GwTime at)
    {
        return GwStreamOrigins_Find(o, stream, kNow + at);
    }

    GwStreamOrigins *o = GwStreamOrigins_New(3);
};

// A stream must not be resumed by other software than the last one stored for
// it, nor according to an entry that has expired.
TEST_F(StreamOrigins, LatestSoftwareIsFoundDuringTerm)
{
    const GwTime term = GW_STREAM_LIFETIME;
    const struct {
        const char *name;
        uint64_t stream;
        GwTime at;
        uint64_t software;
    } cases[] = {
        {"at once", 1, 20, 11},
        {"another stream", 2, 20, 12},
        {"software of a used id", 3, 20, 23},
        {"never stored", 4, 20, 0},
        {"no stream", 0, 20, 0},
        {"end of term", 2, term + 1, 12},
        {"after the term", 2, term + 2, 0},
        {"renewed", 1, term + 10, 11},
        {"after the renewed term", 1, term + 11, 0},
        {"largest hash", UINT64_MAX, 20, 0},
    };

    Store(1, 11, 0);
    Store(2, 12, 1);
    Store(3, 13, 2);
    Store(3, 23, 3);
    Store(1, 11, 10);
    Store(4, 0, 10);
    EXPECT_EQ(GwStreamOrigins_Count(o), 3u) << "software 0 is not stored";
    for (const auto &c : cases)
        EXPECT_EQ(Find(c.stream, c.at), c.software) << c.name;
}

// Streams whose hashes differ in few bits must not be taken for one another.
TEST_F(StreamOrigins, StreamsAreComparedWhole)
{
    Store(0x100000000, 11, 0);
    Store(1, 12, 0);
    Store(UINT64_MAX, 13, 0);
    EXPECT_EQ(Find(0x100000000, 0), 11u);
    EXPECT_EQ(Find(1, 0), 12u);
    EXPECT_EQ(Find(UINT64_MAX, 0), 13u);
    EXPECT_EQ(Find(0x100000001, 0), 0u);
}

// More streams than the table holds must not make it grow, nor remove a stream
// that was stored again recently.
TEST_F(StreamOrigins, FullTableLosesOldest)
{
    Store(1, 11, 0);
    Store(2, 12, 1);
    Store(3, 13, 2);
    Store(1, 11, 3);
    Store(4, 14, 4);
    EXPECT_EQ(GwStreamOrigins_Count(o), 3u);
    EXPECT_EQ(Find(2, 4), 0u) << "the oldest";
    EXPECT_EQ(Find(1, 4), 11u) << "stored again";
    EXPECT_EQ(Find(3, 4), 13u);
    EXPECT_EQ(Find(4, 4), 14u);
}

// After a peak the table must release the memory of expired streams, also if
// no two streams follow each other closely, and no store may take long.
TEST(StreamOriginsSize, ExpiredStreamsAreRemoved)
{
    GwStreamOrigins *o = GwStreamOrigins_New(1000);
    const GwTime later = kNow + GW_STREAM_LIFETIME + 1;

    for (uint64_t i = 1; i <= 1000; i++)
        GwStreamOrigins_Store(o, i, i, kNow);
    EXPECT_EQ(GwStreamOrigins_Count(o), 1000u);
    GwStreamOrigins_Store(o, 2000, 1, later);
    EXPECT_LT(GwStreamOrigins_Count(o), 1000u);
    EXPECT_GT(GwStreamOrigins_Count(o), 990u) << "only a few for each store";
    for (uint64_t i = 2001; i < 2500; i++)
        GwStreamOrigins_Store(o, i, 1, later);
    EXPECT_EQ(GwStreamOrigins_Count(o), 500u);
    EXPECT_EQ(GwStreamOrigins_Find(o, 2000, later), 1u);
    GwStreamOrigins_Delete(o);
}

// A hash that differs between processes or is 0 would make every stream
// unknown.
TEST(StreamOriginsHash, IsStableAndNotZero)
{
    EXPECT_EQ(GwStreamOrigins_Hash("r-1"), GwStreamOrigins_Hash("r-1"));
    EXPECT_NE(GwStreamOrigins_Hash("r-1"), GwStreamOrigins_Hash("r-2"));
    EXPECT_EQ(GwStreamOrigins_Hash(""), 0xef46db3751d8e999u) << "XXH64";
}
