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
    void
    Remove(const char *key)
    {
        GwRecord removal = {key, nullptr, 0, ++offset, nullptr};

        GwRecords_Apply(GwView_Records(view), GW_LIST_INSTANCES, &removal);
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

namespace {

std::string
Nested(int levels)
{
    return std::string((size_t)levels, '[') + std::string((size_t)levels, ']');
}

std::string
With(const std::string &text, const std::string &from, const std::string &to)
{
    std::string copy = text;

    return copy.replace(copy.find(from), from.size(), to);
}

} // namespace

// Other programs write one odd row among those of the endpoints: very deeply
// nested, with a number too large, or with a port out of range. Guards against
// processes that terminate, or that follow neither this endpoint nor the
// others any longer.
TEST_F(ViewValidationTest, OddRowsDoNotStopFollowingTheList)
{
    const std::string row = Row("s", 1);
    const struct {
        const char *name;
        std::string value;
    } cases[] = {
        {"100,000 lists", Nested(100000)},
        {"100,000 lists in a field", With(row, "5}", Nested(100000) + "}")},
        {"100,000 lists without end", std::string(100000, '[')},
        {"100,000 objects without end",
         [] {
             std::string text;

             for (int i = 0; i < 100000; i++)
                 text += "{\"a\":";
             return text;
         }()},
        {"1e999", With(row, "\"slots\":4", "\"slots\":1e999")},
        {"20 digits", With(row, "\"seq\":1", "\"seq\":99999999999999999999")},
        {"-1e308", With(row, "_ms\":0", "_ms\":-1e308")},
        {"1e308", With(row, "_ms\":0", "_ms\":1e308")},
        {"slots beyond an integer",
         With(row, "\"slots\":4", "\"slots\":9223372036854775807")},
        {"start beyond any date",
         With(row, "\"born\":5", "\"born\":9223372036854775807")},
        {"start at a million years",
         With(row, "\"born\":5", "\"born\":31557600000000000")},
        {"port 70000", Row("s", 70000)},
        {"port -1", Row("s", -1)},
        {"port 0", Row("s", 0)},
        {"no port", With(row, ":1\"", "\"")},
        {"a port of 30 digits",
         With(row, ":1\"", ":" + std::string(30, '9') + "\"")},
        {"no UTF-8", "{\"service\":\"\xff\xfe\"}"},
        {"a NUL", std::string("{\"service\":\"s\0\"}", 17)},
        {"cut off", row.substr(0, row.size() / 2)},
        {"a megabyte of text", With(row, "v1", std::string(1 << 20, 'v'))},
    };
    int n = 0;

    Put(GW_LIST_OPERATOR, "config", Config(1, "s"));
    for (auto &c : cases) {
        std::string id = "i-" + std::to_string(++n);
        std::string leaving = With(row, "ready", "draining");

        for (const std::string &key : {id, std::string("foreign")}) {
            Put(GW_LIST_INSTANCES, id.c_str(), row);
            ASSERT_NE(Find(id.c_str()), nullptr) << c.name;
            Put(GW_LIST_INSTANCES, key.c_str(), c.value, 2);
            Put(GW_LIST_INSTANCES, id.c_str(), row);
            ASSERT_NE(Find(id.c_str()), nullptr) << c.name;
            EXPECT_EQ(Find(id.c_str())->address.port, 1) << c.name;
        }
        Remove("foreign");
        EXPECT_FALSE(Find(id.c_str())->draining) << c.name;
        Put(GW_LIST_INSTANCES, id.c_str(), leaving);
        EXPECT_TRUE(Find(id.c_str())->draining) << c.name;
        Remove(id.c_str());
        EXPECT_EQ(Find(id.c_str()), nullptr) << c.name;
    }
}

// Another program writes a row of an engine without its model, before or after
// the engine's own. Guards against requests that are sent to it without a
// cache scope and without the weights that they expect.
TEST_F(ViewValidationTest, RowsOfEnginesNeedAModel)
{
    const std::string config =
        R"({"version":1,"routes":[{"host":"h","path_prefix":"/","service":"s"}],)"
        R"("services":[{"name":"s","engine":{"slots":64}}]})";
    const std::string odd = Row("s", 1);
    const std::string own =
        With(odd, "{", R"({"models":[{"name":"m","version":1}],)");
    const struct {
        const char *name;
        std::vector<std::string> rows;
        bool config_first;
    } cases[] = {
        {"odd row first", {odd, own}, true},
        {"odd row last", {own, odd}, true},
        {"odd row first, configuration last", {odd, own}, false},
        {"odd row last, configuration last", {own, odd, own}, false},
        {"empty list of models",
         {With(odd, "{", R"({"models":[],)"), own},
         true},
    };

    for (auto &c : cases) {
        TearDown();
        SetUp();
        if (c.config_first)
            Put(GW_LIST_OPERATOR, "config", config);
        for (const std::string &row : c.rows)
            Put(GW_LIST_INSTANCES, "i-1", row);
        if (!c.config_first)
            Put(GW_LIST_OPERATOR, "config", config);
        ASSERT_NE(Find("i-1"), nullptr) << c.name;
        ASSERT_NE(Find("i-1")->model, nullptr) << c.name;
        Remove("i-1");
        if (!c.config_first)
            continue;
        Put(GW_LIST_INSTANCES, "i-2", odd);
        EXPECT_EQ(Find("i-2"), nullptr) << c.name;
    }
}

// The same for entries of the operator: after an odd one, the next valid one
// must be in force, and no number of it may become another one.
TEST_F(ViewValidationTest, OddEntriesOfTheOperatorDoNotStopFollowing)
{
    const std::string route =
        R"({"host":"h","path_prefix":"/","service":"s",)";
    const auto config = [&](int version, const std::string &fields) {
        return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
               route + fields + "}],\"services\":[{\"name\":\"s\"}]}";
    };
    const char *const fields[] = {
        R"("priority":1e300)",
        R"("priority":-1e300)",
        R"("timeout_ms":1e300)",
        R"("timeout_ms":9223372036854775807)",
        R"("timeout_ms":-1e300)",
        R"("target_latency_ms":1e300)",
        R"("max_attempts":4294967296)",
        R"("max_attempts":9223372036854775807)",
    };
    int version = 0;

    for (const char *field : fields) {
        Put(GW_LIST_OPERATOR, "config", config(++version, field));
        Put(GW_LIST_OPERATOR, "config",
            "{\"version\":" + Nested(100000) + "}");
        ASSERT_NE(GwView_Routes(view), nullptr) << field;
        const GwRoute *r = GwRoutes_Match(GwView_Routes(view), "h", "/");
        ASSERT_NE(r, nullptr) << field;
        EXPECT_GE(r->timeout, 0) << field;
        EXPECT_GE(r->target_latency, 0) << field;
        EXPECT_GT(r->max_attempts, 0u) << field;
        if (strstr(field, "priority\":1") != nullptr) {
            EXPECT_GT(r->priority, 0) << field;
        }
        if (strstr(field, "timeout_ms\":1") != nullptr) {
            EXPECT_GT(r->timeout, GW_SECOND) << field;
        }
    }
    Put(GW_LIST_OPERATOR, "version/m", R"({"model":"m","version":4})");
    for (const char *bad : {R"({"model":"m","version":1e999})",
                            R"({"model":"m","version":99999999999999999999})"})
        Put(GW_LIST_OPERATOR, "version/m", bad);
    Put(GW_LIST_OPERATOR, "version/m", R"({"model":"m","version":5})");
    EXPECT_EQ(GwView_ModelVersions(view, "m")->version, 5);
}
