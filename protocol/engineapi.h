#pragma once

#include "core/strongid.h"

#include <string>
#include <string_view>

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

} // namespace ApricotStep
