#pragma once

#include "core/result.h"
#include "core/strongid.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

// The calls that make an engine load or unload adapters, as in the API of vLLM. No other module depends on their wire format.

inline constexpr std::string_view EngineLoadPath = "/v1/load_lora_adapter";
inline constexpr std::string_view EngineUnloadPath = "/v1/unload_lora_adapter";
inline constexpr std::string_view EngineReportPath = "/v1/load_report";
inline constexpr std::string_view FencingHeader = "X-Fencing-Token";
inline constexpr std::string_view AttemptHeader = "X-Attempt-Id";

std::string engineLoadBody(const AdapterKey &adapter);
std::string engineUnloadBody(const AdapterKey &adapter);
/**
 * The body of an unload request for a name that no adapter has. The request changes no adapter; it only makes the engine see the fencing
 * token that is sent with it.
 */
std::string engineClaimBody();

/** An engine's report on its adapters and its load. */
struct EngineLoadReport
{
    std::vector<AdapterKey> loaded;
    /** Adapters with running requests. */
    std::vector<AdapterKey> inUse;
    /** Running and waiting requests, including those without an adapter. */
    int running = 0;
    int waiting = 0;
    /** The highest fencing token that the engine has seen; empty if it does not report any. */
    std::optional<FencingToken> fencingToken;
};

/** Errors: UpstreamFailed if @p text is not a load report. */
Result<EngineLoadReport> parseEngineLoadReport(std::string_view text);

/** Returns whether an engine refused an order because it has seen a higher fencing token. */
bool isFencedAnswer(int status, std::string_view body);

} // namespace ApricotStep
