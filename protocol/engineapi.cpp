#include "protocol/engineapi.h"

#include <nlohmann/json.hpp>

#include <map>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

// Names of adapters always contain '@', so no adapter has this name.
constexpr std::string_view ClaimAdapterName = "apricotstep-claim";
constexpr int ConflictStatus = 409;
constexpr std::string_view FencedMarker = "fenced";

void addAdapter(std::vector<AdapterKey> &adapters, const std::string &name)
{
    const std::size_t at = name.rfind('@');
    if (at != std::string::npos) {
        adapters.push_back({ AdapterId(name.substr(0, at)), AdapterVersion(name.substr(at + 1)) });
    }
}

} // namespace

std::string engineLoadBody(const AdapterKey &adapter)
{
    return nlohmann::json({ { "lora_name", adapter.name() }, { "lora_path", "store:" + adapter.name() } }).dump();
}

std::string engineUnloadBody(const AdapterKey &adapter)
{
    return nlohmann::json({ { "lora_name", adapter.name() } }).dump();
}

std::string engineClaimBody()
{
    return nlohmann::json({ { "lora_name", ClaimAdapterName } }).dump();
}

Result<EngineLoadReport> parseEngineLoadReport(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        EngineLoadReport report;
        for (const auto &name : json.at("loaded").get<std::vector<std::string>>()) {
            addAdapter(report.loaded, name);
        }
        for (const auto &[name, count] : json.at("running").get<std::map<std::string, int>>()) {
            addAdapter(report.inUse, name);
            report.running += count;
        }
        report.waiting = json.value("waiting", 0);
        if (json.contains("fencing_token")) {
            report.fencingToken = FencingToken(json.at("fencing_token").get<std::uint64_t>());
        }
        return report;
    } catch (const Json::exception &exception) {
        return Error { ErrorKind::UpstreamFailed, std::string("invalid load report: ") + exception.what() };
    }
}

bool isFencedAnswer(int status, std::string_view body)
{
    return status == ConflictStatus && body.find(FencedMarker) != std::string_view::npos;
}

} // namespace ApricotStep
