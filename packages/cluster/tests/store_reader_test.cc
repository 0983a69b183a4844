#include <gtest/gtest.h>

#include "galenagw/cluster/store_reader.h"

// All entries together read the list of endpoints about as often as four do,
// and each of them often enough to leave an endpoint in time.
TEST(StoreReader, ManyEntriesReadTheEndpointsLessOftenEach)
{
    const struct {
        unsigned entries;
        int64_t pause_ms;
    } cases[] = {{0, 200},   {1, 200},    {4, 200},   {8, 400},
                 {20, 1000}, {100, 1000}, {380, 1000}};

    for (auto &c : cases)
        EXPECT_EQ(GwStoreReader_EntryPause(c.entries),
                  c.pause_ms * GW_MILLISECOND)
            << c.entries;
}
