// Reads of the quarantine's rows from the store.
#include "galenagw/fakes/fleet.h"

extern "C" {
#include "quarantine_store.h"
}

// An answer of the store without framing is cut and ends in order; guards
// against taking it for one that can never be read, and losing the quarantine.
TEST(QuarantineStore, CutAnswerIsReadAgain)
{
    static const GwAddress any = {"127.0.0.1", 0};
    static const FakeHttpdOps ops = {
        [](void *user, FakeExchange *x) {
            static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
            std::string body =
                "{\"items\":[{\"key\":\"00000000000000000000000000000001\","
                "\"value\":\"" +
                *static_cast<std::string *>(user) +
                "\",\"offset\":1}],\"end\":2}";
            static int calls = 0;

            FakeExchange_Write(x, head, strlen(head));
            FakeExchange_Write(x, body.data(),
                               calls++ == 0 ? body.size() / 2 : body.size());
            FakeExchange_Close(x, false);
        },
        nullptr};
    Fleet f;
    GwError err = {};
    std::string until =
        std::to_string(g_get_real_time() / GW_MILLISECOND + 50000);
    std::string row = "{\"until_ms\":" + until + "}";
    g_autofree char *encoded =
        g_base64_encode((const guchar *)row.data(), row.size());
    std::string value = encoded;
    FakeHttpd *store = FakeHttpd_New(f.loop, &any, &ops, &value, &err);
    GwQuarantineOptions nothing = {};
    GwCounters counters = {};
    GwQuarantineStoreOptions options = {};

    ASSERT_NE(store, nullptr) << err.message;
    options.store = any;
    options.store.port = FakeHttpd_Port(store);
    options.quarantine = GwQuarantine_New(&nothing);
    options.counters = &counters;
    options.rand = g_rand_new();
    GwQuarantineStore *s = GwQuarantineStore_New(f.loop, &options);
    EXPECT_TRUE(
        f.Until([&] { return !GwQuarantine_IsEmpty(options.quarantine); }));
    GwQuarantineStore_Delete(s);
    GwQuarantine_Delete(options.quarantine);
    g_rand_free(options.rand);
    FakeHttpd_Delete(store);
}
