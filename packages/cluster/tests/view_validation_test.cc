#include <gtest/gtest.h>

#include <string>

#include "galenagw/cluster/view.h"

// The view of one process; records are applied as if from the store or from
// peers.
class ViewValidationTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        static const GwViewOps ops = {};
        GwViewOptions options = {&ops, nullptr, nullptr, &counters};

        view = GwView_New(&options);
    }
    void
    TearDown() override
    {
        GwView_Delete(view);
    }
    void
    Put(GwList list, const char *key, const std::string &value, int times = 1)
    {
        GwRecord record = {key, value.data(), value.size(), ++offset, nullptr};

        for (int i = 0; i < times; i++)
            GwRecords_Apply(GwView_Records(view), list, &record);
    }
    static std::string
    Config(int version, const std::string &service)
    {
        return "{\"version\":" + std::to_string(version) +
               ",\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/"
               "\",\"service\":"
               "\"" +
               service + "\"}],\"services\":[{\"name\":\"" + service + "\"}]}";
    }
    static std::string
    Row(const std::string &service, int port)
    {
        return "{\"service\":\"" + service +
               "\",\"address\":\"10.0.0.1:" + std::to_string(port) +
               "\",\"zone\":\"d\",\"version\":\"v1\",\"slots\":4,\"state\":"
               "\"ready\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":5}";
    }
    uint64_t
    Unreadable() const
    {
        return counters.plain[GW_COUNTER_RECORDS_UNREADABLE];
    }
    GwInstance *
    Find(const char *id)
    {
        return GwInstances_Find(GwView_Instances(view), id);
    }

    GwCounters counters = {};
    GwView *view = nullptr;
    int64_t offset = 0;
};

// An unreadable document must not take all routes, or a model's newest
// weights, away from callers. The one in force stays until a valid one is
// received.
TEST_F(ViewValidationTest, InvalidDocumentNeverReplacesValidOne)
{
    Put(GW_LIST_OPERATOR, "config", Config(3, "s"));
    Put(GW_LIST_OPERATOR, "version/m", R"({"model":"m","version":4})");
    for (const char *bad :
         {"", "\xff", "[]", "{}", R"({"version":9})",
          R"({"version":"9","routes":[]})", R"({"version":9,"routes":{}})",
          R"({"version":9,"routes":[{"host":"h"}]})"}) {
        Put(GW_LIST_OPERATOR, "config", bad, 3);
        ASSERT_NE(GwView_Routes(view), nullptr) << bad;
        EXPECT_EQ(GwView_Routes(view)->version, 3u) << bad;
    }
    EXPECT_EQ(Unreadable(), 8u)
        << "each is counted once, however often it is read";
    for (const char *bad : {"5", R"({"model":"m"})", R"({"version":5})",
                            R"({"model":"m","version":"5"})"}) {
        Put(GW_LIST_OPERATOR, "version/m", bad, 2);
        EXPECT_EQ(GwView_ModelVersions(view, "m")->version, 4) << bad;
    }
    EXPECT_EQ(Unreadable(), 12u);
    Put(GW_LIST_OPERATOR, "config", Config(7, "s"));
    Put(GW_LIST_OPERATOR, "version/m", R"({"model":"m","version":6})");
    EXPECT_EQ(GwView_Routes(view)->version, 7u);
    EXPECT_EQ(GwView_ModelVersions(view, "m")->version, 6);
}

// An unreadable row with the id of a known endpoint must not change the
// endpoint. Its next valid row, and its removal, apply again.
TEST_F(ViewValidationTest, KnownEndpointSurvivesInvalidRow)
{
    Put(GW_LIST_OPERATOR, "config", Config(1, "s"));
    Put(GW_LIST_INSTANCES, "i-1", Row("s", 1));
    for (const std::string &bad : {std::string("\xff"), std::string("{}"),
                                   Row("nobody's", 2), Row("s", 0)}) {
        Put(GW_LIST_INSTANCES, "i-1", bad);
        ASSERT_NE(Find("i-1"), nullptr) << bad;
        EXPECT_EQ(Find("i-1")->address.port, 1) << bad;
        EXPECT_FALSE(Find("i-1")->draining) << bad;
    }
    EXPECT_EQ(Unreadable(), 4u);
    std::string leaving = Row("s", 1);
    leaving.replace(leaving.find("ready"), 5, "draining");
    Put(GW_LIST_INSTANCES, "i-1", leaving);
    EXPECT_TRUE(Find("i-1")->draining);
    GwRecord removal = {"i-1", nullptr, 0, ++offset, nullptr};
    GwRecords_Apply(GwView_Records(view), GW_LIST_INSTANCES, &removal);
    EXPECT_EQ(Find("i-1"), nullptr);
}

// Endpoints may be listed before the configuration that names their service,
// or before any configuration; in the latter case they are used at once. A row
// of an unknown service at the address of one of them must not take its
// requests away.
TEST_F(ViewValidationTest, RowsOfUnknownServicesWaitForRoutes)
{
    Put(GW_LIST_INSTANCES, "i-1", Row("s", 1));
    Put(GW_LIST_INSTANCES, "f-1", Row("nobody's", 1));
    EXPECT_TRUE(Find("i-1")->draining)
        << "the service of f-1 cannot be checked yet";
    Put(GW_LIST_OPERATOR, "config", Config(1, "s"));
    EXPECT_FALSE(Find("i-1")->draining);
    EXPECT_EQ(Find("f-1"), nullptr);
    EXPECT_EQ(Unreadable(), 1u);
    Put(GW_LIST_INSTANCES, "i-2", Row("later", 2));
    EXPECT_EQ(Find("i-2"), nullptr);
    EXPECT_EQ(Unreadable(), 2u);
    Put(GW_LIST_OPERATOR, "config", Config(2, "later"));
    ASSERT_NE(Find("i-2"), nullptr);
    EXPECT_NE(Find("i-1"), nullptr) << "requests in flight may continue there";
    EXPECT_EQ(Find("f-1"), nullptr);
}
