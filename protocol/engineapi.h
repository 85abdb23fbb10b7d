#pragma once

#include "core/result.h"
#include "core/strongid.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

// The engine's order calls, in the manner of vLLM. The exact wire form of an engine stands in this module alone.

inline constexpr std::string_view EngineLoadPath = "/v1/load_lora_adapter";
inline constexpr std::string_view EngineUnloadPath = "/v1/unload_lora_adapter";
inline constexpr std::string_view EngineReportPath = "/v1/load_report";
inline constexpr std::string_view FencingHeader = "X-Fencing-Token";
inline constexpr std::string_view AttemptHeader = "X-Attempt-Id";

std::string engineLoadBody(const AdapterKey &adapter);
std::string engineUnloadBody(const AdapterKey &adapter);
/** An unload of a name that no adapter has: it changes nothing, but shows the engine the fencing token that comes with it. */
std::string engineClaimBody();

/** What an engine says of itself. */
struct EngineLoadReport
{
    std::vector<AdapterKey> loaded;
    /** Adapters that some request runs on there. */
    std::vector<AdapterKey> inUse;
    int running = 0;
    int waiting = 0;
    /** The highest token that it has seen; empty when it does not tell. */
    std::optional<FencingToken> fencingToken;
};

/** Errors: UpstreamFailed when @p text is no load report. */
Result<EngineLoadReport> parseEngineLoadReport(std::string_view text);

/** Whether the answer to an order says that the engine has seen a higher fencing token. */
bool isFencedAnswer(int status, std::string_view body);

} // namespace ApricotStep
