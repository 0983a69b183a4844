#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "galenagw/http/events.h"

namespace {

const std::string kBom = "\xEF\xBB\xBF";

// Splits `in`, which arrives in pieces, at the ends of its events; the last
// element is what follows the last end.
std::vector<std::string>
Split(const std::string &in, size_t piece, bool *is_inside)
{
    std::vector<std::string> events(1);
    GwEventScan scan = {};

    for (size_t at = 0; at < in.size(); at += piece) {
        const char *data = in.data() + at;
        size_t left = std::min(piece, in.size() - at);
        bool is_end = true;

        while (is_end) {
            size_t n;

            is_end = GwEventScan_Next(&scan, data, left, &n);
            events.back().append(data, n);
            data += n;
            left -= n;
            if (is_end)
                events.emplace_back();
        }
        EXPECT_EQ(left, 0u);
    }
    *is_inside = GwEventScan_IsInsideEvent(&scan);
    return events;
}

} // namespace

TEST(EventScan, FindsTheEndsOfEvents)
{
    const struct {
        const char *name;
        std::string in;
        std::vector<std::string> events; // the last one: behind the last end
        bool is_inside;
    } cases[] = {
        {"no byte", "", {""}, false},
        {"LF", "a\n\nb\n\n", {"a\n\n", "b\n\n", ""}, false},
        {"CRLF", "a\r\n\r\nb\r\n\r\n", {"a\r\n\r\n", "b\r\n\r\n", ""}, false},
        {"CR", "a\r\rb\r\r", {"a\r\r", "b\r\r", ""}, false},
        {"LF, then CRLF", "a\n\r\n\n", {"a\n\r\n", "\n", ""}, false},
        {"CRLF, then LF", "a\r\n\nb", {"a\r\n\n", "b"}, true},
        {"CRLF, then CR", "a\r\n\rb\n", {"a\r\n\r", "b\n"}, true},
        {"CR, then LF alone", "a\rb\n\n", {"a\rb\n\n", ""}, false},
        {"a line", "a\n", {"a\n"}, true},
        {"a line with CRLF", "a\r\n", {"a\r\n"}, true},
        {"without the last LF", "a\r\n\r", {"a\r\n\r"}, true},
        {"comment", ":\n\n", {":\n\n", ""}, false},
        {"mark", kBom, {kBom}, false},
        {"part of a mark", kBom.substr(0, 2), {kBom.substr(0, 2)}, true},
        {"no mark", "\xEF\n\nb", {"\xEF\n\n", "b"}, true},
        {"mark before an event", kBom + "a\n\n", {kBom + "a\n\n", ""}, false},
        {"mark before an empty line", kBom + "\n", {kBom + "\n", ""}, false},
        {"second mark",
         kBom + kBom + "\n\n",
         {kBom + kBom + "\n\n", ""},
         false},
        {"mark inside", "a\n\n" + kBom, {"a\n\n", kBom}, true},
    };

    for (auto &c : cases) {
        for (size_t piece : {c.in.size() + 1, size_t(2), size_t(1)}) {
            bool is_inside;
            auto events = Split(c.in, piece, &is_inside);

            // Cut behind the CR of an empty line, its LF comes by itself.
            if (std::string(c.name) == "LF, then CRLF" && piece == 1)
                EXPECT_EQ(events.size(), c.events.size() + 1);
            else
                EXPECT_EQ(events, c.events) << c.name << ", " << piece;
            EXPECT_EQ(is_inside, c.is_inside) << c.name << ", " << piece;
        }
    }
}

TEST(EventScan, KnowsTheByteOrderMarkOfTheFirstEvent)
{
    const struct {
        std::string in;
        size_t bom;
    } cases[] = {{kBom + "a\n\n", 3},
                 {"a\n\n", 0},
                 {"\xEF"
                  "a\n\n",
                  0},
                 {kBom + "a\n\nb\n\n", 0},
                 {"a\n\n" + kBom + "b\n\n", 0}};

    for (auto &c : cases) {
        GwEventScan scan = {};
        size_t at = 0;
        size_t n;

        while (GwEventScan_Next(&scan, c.in.data() + at, c.in.size() - at, &n))
            at += n;
        EXPECT_EQ(GwEventScan_BomLength(&scan), c.bom) << c.in;
    }
}

TEST(EventField, AreReadWithAnyLineEnd)
{
    const std::string event =
        "id: 1\r\n: comment\rdata:  x: y\ndata\n:\nevent:\r\nid:2\n\n";
    const std::vector<std::string> expected = {"id=1", "data= x: y",
                                               "data=", "event=", "id=2"};
    std::vector<std::string> fields;
    const char *rest = event.data();
    size_t len = event.size();
    GwEventField field;

    while (GwEventField_Next(&field, &rest, &len))
        fields.push_back(std::string(field.name, field.name_len) + "=" +
                         std::string(field.value, field.value_len));
    EXPECT_EQ(fields, expected);
    EXPECT_TRUE(GwEventField_Is(&field, "id"));
    EXPECT_FALSE(GwEventField_Is(&field, "i"));
    EXPECT_FALSE(GwEventField_Is(&field, "idx"));
}
