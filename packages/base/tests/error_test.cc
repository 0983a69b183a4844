#include <gtest/gtest.h>

#include <cstring>

#include "galenagw/base/error.h"
#include "galenagw/base/reason.h"

TEST(Error, KeepsKindAndMessage)
{
    GwError err = {};

    EXPECT_FALSE(GwError_Set(&err, GW_ERROR_USAGE, "%s is wrong", "x"));
    EXPECT_EQ(err.kind, GW_ERROR_USAGE);
    EXPECT_STREQ(err.message, "x is wrong");
}

TEST(Reason, EveryRefusalHasNameStatusAndMessage)
{
    for (int i = 0; i < GW_REFUSALS; i++) {
        auto r = static_cast<GwRefusal>(i);

        EXPECT_NE(GwRefusal_Names[i], nullptr);
        EXPECT_GE(GwRefusal_Status(r), 400) << GwRefusal_Names[i];
        EXPECT_GT(strlen(GwRefusal_Message(r)), 5u) << GwRefusal_Names[i];
    }
}
