// A test fixture with an event loop of its own.
#ifndef GALENAGW_FAKES_LOOP_TEST_H
#define GALENAGW_FAKES_LOOP_TEST_H

#include <gtest/gtest.h>

#include <functional>

#include "galenagw/net/loop.h"
#include "galenagw/base/settings.h"

const GwAddress kAny = {"127.0.0.1", 0};

struct LoopTest : ::testing::Test {
    GwLoop *loop = GwLoop_New(nullptr, nullptr);
    GwTime wait_timeout = 8 * GW_SECOND; // timeout of Until

    ~LoopTest() override
    {
        GwLoop_Delete(loop);
    }
    // Runs the loop until `done`. Returns false after the timeout.
    bool
    Until(const std::function<bool()> &done)
    {
        GwTime end = GwTime_Now() + wait_timeout;

        while (!done() && GwTime_Now() < end)
            GwLoop_Step(loop);
        return done();
    }
};

#endif
