/* The configuration that the platform writes. */
#include "platform.h"

/* Time within which a configuration must be in force. */
static const GwTime kConfigBound = 2 * GW_SECOND;

void
Platform::WriteNewConfig()
{
    const std::string common =
        "\"host\":\"h\",\"max_attempts\":2,\"timeout_ms\":6000,"
        "\"target_latency_ms\":300";
    const struct {
        const char *name, *service, *type, *more;
    } routes[] = {{"plain", "plain", "idempotent", ""},
                  {"once", "plain", "non_idempotent", ""},
                  {"stream", "model", "streaming", ",\"sticky\":true"},
                  {"resume", "model", "streaming",
                   ",\"sticky\":true,\"resumable\":true"}};
    const std::string rate =
        account_rate > 0 ? ",\"rate_per_s\":" + std::to_string(account_rate) +
                               ",\"burst\":" + std::to_string(account_rate)
                         : "";
    std::string text =
        "{\"version\":" + std::to_string(++config_version) + ",\"routes\":[";

    for (auto &r : routes) {
        text += std::string(r.name == routes[0].name ? "" : ",") +
                "{\"name\":\"" + r.name + "\",\"path_prefix\":\"/" + r.name +
                "/\",\"service\":\"" + r.service + "\",\"route_type\":\"" +
                r.type + "\"," + common + r.more + "}";
    }
    for (int i = 2; i <= config_version; i++)
        text += ",{\"name\":\"added" + std::to_string(i) +
                "\",\"path_prefix\":\"/added" + std::to_string(i) +
                "/\",\"service\":\"plain\",\"route_type\":\"idempotent\"," +
                common + "}";
    text += "],\"services\":[{\"name\":\"plain\"},{\"name\":\"model\","
            "\"engine\":{\"slots\":64}}],\"limits\":{\"max_header_bytes\":"
            "4096,\"max_body_bytes\":65536,\"header_timeout_ms\":2000,"
            "\"idle_timeout_ms\":4000},\"tenants\":[{\"name\":\"acme\","
            "\"api_keys\":[\"key\"]" +
            IsolationField("acme", config_version % 5 == 4) + rate +
            "},{\"name\":\"walled\",\"api_keys\":"
            "[\"wall\"]" +
            IsolationField("walled", config_version % 4 != 3) + rate +
            "},{\"name\":\"loud\",\"api_keys\":"
            "[\"loud\"],\"rate_per_s\":" +
            std::to_string(kLoudRate) +
            ",\"burst\":" + std::to_string(kLoudBurst) + "}]}";
    config = text;
    FakeStore_Put(store, "keyed.op", "config", text.c_str());
    config_written_at = GwTime_Now();
}

std::string
Platform::IsolationField(const std::string &account, bool isolated)
{
    if (!isolated)
        isolated_since_.erase(account);
    else
        isolated_since_.emplace(account, GwTime_Now());
    return std::string(",\"isolated\":") + (isolated ? "true" : "false");
}

std::set<std::string>
Platform::IsolatedAccounts(const std::string &request) const
{
    GwTime applied_before = GwTime_Now() - kConfigBound;
    std::set<std::string> accounts;

    if (!store_fault_history.IsFaultFreeSince(applied_before - kContactTime) ||
        !is_sender_in_touch(request))
        return accounts;
    for (auto &isolated : isolated_since_) {
        if (isolated.second < applied_before)
            accounts.insert(isolated.first);
    }
    return accounts;
}
