#include "journalreader_p.h"

#include <sstream>

#include <fmt/format.h>

#include "httpclient_p.h"

namespace Galenarock::Standin
{

namespace
{
constexpr auto journalTimeout = seconds(60);

Result<std::string> get(const std::string &address, const std::string &path)
{
    HttpCall call;
    call.url = "http://" + address + path;
    call.timeout = journalTimeout;
    BOOST_LEAF_AUTO(reply, callHttp(call));
    if (reply.status != 200) {
        return fail(ErrorCode::Unavailable, fmt::format("GET {} returned {}", call.url, reply.status));
    }
    return std::move(reply.body);
}

Result<void> readJournal(const std::string &address, CollectedJournals &journals)
{
    BOOST_LEAF_AUTO(text, get(address, "/control/journal"));
    std::istringstream lines(text);
    std::uint64_t entries = 0;
    for (std::string line; std::getline(lines, line);) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object()) {
            return fail(ErrorCode::MalformedJson, "journal line of " + address);
        }
        if (json.contains("end")) {
            const auto isWhole = json.value("entries", std::uint64_t(0)) == entries && json.value("dropped", 1) == 0;
            return isWhole ? Result<void>() : fail(ErrorCode::Truncated, "journal of " + address);
        }
        BOOST_LEAF_AUTO(entry, journalEntryFromJson(json));
        journals.entries.push_back(std::move(entry));
        ++entries;
    }
    return fail(ErrorCode::Truncated, "journal of " + address);
}

Result<void> readServers(const std::string &address, CollectedJournals &journals)
{
    BOOST_LEAF_AUTO(text, get(address, "/control/servers"));
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array()) {
        return fail(ErrorCode::MalformedJson, "server list of " + address);
    }
    for (const auto &it : json) {
        journals.servers.push_back({it.value("name", ""), it.value("service", "")});
    }
    return {};
}
}

CollectedJournals collectJournals(const std::vector<std::string> &addresses)
{
    CollectedJournals journals;
    journals.isComplete = !addresses.empty();
    for (const auto &address : addresses) {
        tryOr(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(readJournal(address, journals));
                BOOST_LEAF_CHECK(readServers(address, journals));
                return 0;
            },
            [&](ErrorCode code, const std::string &detail) {
                journals.isComplete = false;
                journals.findings.push_back({code, address, detail});
                return 1;
            });
    }
    return journals;
}

}
