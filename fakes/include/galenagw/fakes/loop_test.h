// A loop of its own for a test, and waiting on events.
#ifndef GALENAGW_FAKES_LOOP_TEST_H
#define GALENAGW_FAKES_LOOP_TEST_H

#include <gtest/gtest.h>

#include <functional>

#include "galenagw/net/loop.h"
#include "galenagw/base/settings.h"

const GwAddress kAny = {"127.0.0.1", 0};

struct LoopTest : ::testing::Test {
    GwLoop *loop = GwLoop_New(nullptr, nullptr);
    GwTime patience = 8 * GW_SECOND;

    // Step the loop until `done`; false when patience is over.
    bool
    Until(const std::function<bool()> &done)
    {
        GwTime end = GwTime_Now() + patience;

        while (!done() && GwTime_Now() < end)
            GwLoop_Step(loop);
        return done();
    }
};

#endif
