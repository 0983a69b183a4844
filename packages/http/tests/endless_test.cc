#include <gtest/gtest.h>

#include <string>

#include "galenagw/http/message.h"

namespace {

// Counts what a reader reports.
struct Reports {
    size_t heads = 0, body_bytes = 0;
};

bool
OnHead(void *user, const GwHttpHead *)
{
    static_cast<Reports *>(user)->heads++;
    return true;
}

bool
OnBody(void *user, const char *, size_t len)
{
    static_cast<Reports *>(user)->body_bytes += len;
    return true;
}

} // namespace

// Guards against servers that send bytes that are no answer, without end: a
// reader that neither reports them nor gives up would read on until the
// caller's deadline.
TEST(HttpReaderEndless, BytesThatAreNoAnswerEndTheMessage)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const struct {
        const char *name;
        std::string start, repeated;
    } cases[] = {
        {"garbage", "", "\x01garbage"},
        {"empty lines", "", "\r\n"},
        {"line feeds", "", "\n"},
        {"version", "HTTP/1.", "1"},
        {"reason", "HTTP/1.1 200 ", "x"},
        {"header name", ok, "x"},
        {"header value", ok + "X: ", "y"},
        {"blanks in a header value", ok + "X:", " "},
        {"headers", ok, "X: y\r\n"},
        {"empty headers", ok, "X:\r\n"},
        {"chunk size", chunked, "0"},
        {"chunk extension", chunked + "1;", "x"},
        {"trailers", chunked + "0\r\n", "X: y\r\n"},
        {"trailer name", chunked + "0\r\n", "x"},
        {"trailer value", chunked + "0\r\nX: ", "y"},
        {"blanks in a trailer value", chunked + "0\r\nX:", " "},
    };
    const size_t most = 1024 * 1024;

    for (auto &c : cases) {
        for (size_t piece : {1, 7, 1400, 65536}) {
            Reports reports;
            const GwHttpReaderOps ops = {OnHead, OnBody};
            GwHttpReaderOptions options = {};
            GwHttpProgress progress = GW_HTTP_MORE;
            std::string data = c.start;
            size_t sent = 0;

            options.reads = GW_HTTP_RESPONSES;
            options.ops = &ops;
            options.user = &reports;
            GwHttpReader *reader = GwHttpReader_New(&options);
            while (progress == GW_HTTP_MORE && sent < most) {
                while (data.size() < piece)
                    data += c.repeated;
                for (size_t at = 0; at < data.size() && sent < most &&
                                    progress == GW_HTTP_MORE;
                     at += piece) {
                    size_t used;
                    size_t n = std::min(piece, data.size() - at);

                    progress =
                        GwHttpReader_Feed(reader, data.data() + at, n, &used);
                    sent += n;
                }
                data.clear();
            }
            EXPECT_NE(progress, GW_HTTP_MORE) << c.name << " by " << piece;
            EXPECT_EQ(reports.body_bytes, 0u) << c.name;
            GwHttpReader_Delete(reader);
        }
    }
}
