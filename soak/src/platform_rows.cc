/* Rows of endpoints in the instance list. */
#include <cstring>

#include "platform.h"

std::string
FormatAddress(const GwAddress &a)
{
    return std::string(a.host) + ":" + std::to_string(a.port);
}

void
Endpoint::WriteRow() const
{
    if (is_unlisted) {
        RemoveRow(id);
        return;
    }
    platform_->listed_keys.insert(id);
    FakeStore_Put(platform_->store, "keyed.servers", id.c_str(),
                  RowText().c_str());
}

void
Endpoint::RemoveRow(const std::string &key) const
{
    FakeStore_Put(platform_->store, "keyed.servers", key.c_str(), nullptr);
}

std::string
Endpoint::WriteInvalidRow()
{
    static const std::string nested(50000, '[');
    static const struct {
        const char *from, *to;
    } invalid_edits[] = {
        {"\"service\":\"", "\"service\":\"nobody's "},
        {"\"state\":\"", "\"state\":\"un"},
        {"\"seq\":1,", ""},
        {"\"slots\":64", "\"slots\":\"64\""},
        {"\"born\":", "\"born\":0.5"},
        {"{", "\xff"},
        {"\"zone\":\"d\"", "\"zone\":null"},
        {"\"born\":", "\"born\":9"},
        {"\"seq\":1,", "\"seq\":99999999999999999999,"},
        {"\"slots\":64", "\"slots\":1e999"},
        {"\"address\":\"", "\"address\":\"127.0.0.1:70000\",\"was\":\""},
        {"\"seq\":", nested.c_str()},
    };
    auto &s = invalid_edits[platform_->random() %
                            (sizeof(invalid_edits) / sizeof(*invalid_edits))];
    std::string key = platform_->random() % 2 == 0
                          ? id
                          : "foreign-" + std::to_string(id_count_);
    std::string row = RowText();

    row.replace(row.find(s.from), strlen(s.from), s.to);
    platform_->listed_keys.insert(key);
    FakeStore_Put(platform_->store, "keyed.servers", key.c_str(), row.c_str());
    return key;
}

std::string
Endpoint::RowText() const
{
    GwAddress listed = platform_->ports.At(
        is_engine ? kEngineGroup : kPlainGroup, number_, kListedPort);
    std::string text = std::string("{\"service\":\"") +
                       (is_engine ? "model" : "plain") + "\",\"address\":\"" +
                       FormatAddress(listed) +
                       "\",\"zone\":\"d\",\"version\":\"" + software +
                       "\",\"slots\":64,"
                       "\"cold_remaining_ms\":0,\"seq\":1,\"born\":" +
                       std::to_string(started_at_ms_) + ",\"state\":\"" +
                       (row_shows_draining_ ? "draining" : "ready") + "\"";

    if (is_engine)
        text += ",\"models\":[{\"name\":\"m\",\"version\":" +
                std::to_string(weights_version_) + "}]";
    return text + "}";
}
