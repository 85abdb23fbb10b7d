#include "main/entry/relayedrequest.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

namespace ApricotStep
{

namespace
{

constexpr const char *ConfigVersionName = "relay-config-version";
constexpr const char *TeamHeaderName = "relay-team";
constexpr const char *WaitedName = "relay-waited-ms";
constexpr const char *Names[] = { ConfigVersionName, TeamHeaderName, WaitedName };

bool isRelayHeader(const std::pair<std::string, std::string> &header)
{
    return std::any_of(
        std::begin(Names), std::end(Names), [&header](const char *name) { return absl::EqualsIgnoreCase(header.first, name); });
}

} // namespace

void addRelayHeaders(HttpHeaders &headers, const RelayedRequest &relayed)
{
    std::erase_if(headers, isRelayHeader);
    headers.emplace_back(ConfigVersionName, std::to_string(relayed.configVersion.value()));
    headers.emplace_back(WaitedName, std::to_string(relayed.waited.milliseconds()));
    if (!relayed.team.isEmpty()) {
        headers.emplace_back(TeamHeaderName, relayed.team.value());
    }
}

std::optional<RelayedRequest> takeRelayHeaders(HttpRequest &request)
{
    std::uint64_t version = 0;
    std::int64_t waited = 0;
    const bool isRelayed = absl::SimpleAtoi(request.header(ConfigVersionName), &version)
        && absl::SimpleAtoi(request.header(WaitedName), &waited) && waited >= 0;
    if (!isRelayed) {
        return std::nullopt;
    }
    const RelayedRequest relayed { ConfigVersion(version), TeamName(request.header(TeamHeaderName)), Duration(waited) };
    std::erase_if(request.headerList, isRelayHeader);
    for (const char *name : Names) {
        request.headers.erase(name);
    }
    return relayed;
}

} // namespace ApricotStep
