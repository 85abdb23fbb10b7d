#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// The grammar of HTTP fields (RFC 9110), which requests and answers share. Internal to transport, but for the types.

namespace ApricotStep
{

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Whether @p text is a token (section 5.6.2), as names of fields are. */
bool isToken(std::string_view text);
/** Whether @p text holds nothing but visible characters, blanks, tabs and bytes above 127 (section 5.5). */
bool isFieldText(std::string_view text);
/** Returns @p text without the blanks and tabs around it. */
std::string_view trimBlanks(std::string_view text);
/** Returns name and value of the field in @p line, which has no line end; nothing if it is no field. A folded line is none. */
std::optional<std::pair<std::string_view, std::string_view>> parseField(std::string_view line);
/** Returns the value of Content-Length in @p text; nothing if it is no decimal number or exceeds 64 bits. */
std::optional<std::uint64_t> parseContentLength(std::string_view text);

} // namespace ApricotStep
