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
// The service and, after a space, the software version, which may be empty.
constexpr const char *OriginName = "relay-stream-origin";
constexpr const char *Names[] = { ConfigVersionName, TeamHeaderName, WaitedName, OriginName };

bool isRelayHeader(const std::pair<std::string, std::string> &header)
{
    return std::any_of(
        std::begin(Names), std::end(Names), [&header](const char *name) { return absl::EqualsIgnoreCase(header.first, name); });
}

bool isOriginHeader(const std::pair<std::string, std::string> &header)
{
    return absl::EqualsIgnoreCase(header.first, OriginName);
}

std::optional<StreamOrigin> decodeOrigin(const std::string &text)
{
    const std::size_t space = text.find(' ');
    const std::string service = text.substr(0, space);
    if (service.empty()) {
        return std::nullopt;
    }
    return StreamOrigin { ServiceName(service), SoftwareVersion(space == std::string::npos ? std::string() : text.substr(space + 1)) };
}

} // namespace

void addOriginHeader(HttpHeaders &headers, const StreamOrigin &origin)
{
    std::erase_if(headers, isOriginHeader);
    const std::string &software = origin.software.value();
    headers.emplace_back(OriginName, software.empty() ? origin.service.value() : origin.service.value() + ' ' + software);
}

std::optional<StreamOrigin> takeOriginHeader(HttpHeaders &headers)
{
    const auto at = std::find_if(headers.begin(), headers.end(), isOriginHeader);
    if (at == headers.end()) {
        return std::nullopt;
    }
    auto origin = decodeOrigin(at->second);
    std::erase_if(headers, isOriginHeader);
    return origin;
}

void addRelayHeaders(HttpHeaders &headers, const RelayedRequest &relayed)
{
    std::erase_if(headers, isRelayHeader);
    headers.emplace_back(ConfigVersionName, std::to_string(relayed.configVersion.value()));
    headers.emplace_back(WaitedName, std::to_string(relayed.waited.milliseconds()));
    if (!relayed.team.isEmpty()) {
        headers.emplace_back(TeamHeaderName, relayed.team.value());
    }
    if (relayed.origin) {
        addOriginHeader(headers, *relayed.origin);
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
    const RelayedRequest relayed { ConfigVersion(version), TeamName(request.header(TeamHeaderName)), Duration(waited),
        decodeOrigin(request.header(OriginName)) };
    std::erase_if(request.headerList, isRelayHeader);
    for (const char *name : Names) {
        request.headers.erase(name);
    }
    return relayed;
}

} // namespace ApricotStep
