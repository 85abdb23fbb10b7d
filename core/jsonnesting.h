#pragma once

#include <string_view>

namespace ApricotStep
{

/** nlohmann::json copies and writes nested values recursively, so deeper ones could exhaust the stack. */
constexpr int MaxJsonNesting = 64;

/** Whether arrays and objects in @p text, which need not be valid JSON, are nested deeper than MaxJsonNesting. */
bool isJsonNestedTooDeep(std::string_view text);

} // namespace ApricotStep
