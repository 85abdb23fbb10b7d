#include "transport/httpfields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>

namespace ApricotStep
{

bool isToken(std::string_view text)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [Symbols](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || Symbols.find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c)); });
}

std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t first = text.find_first_not_of(Blanks);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

std::optional<std::pair<std::string_view, std::string_view>> parseField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || !isFieldText(line.substr(colon + 1))) {
        return std::nullopt;
    }
    return std::pair(line.substr(0, colon), trimBlanks(line.substr(colon + 1)));
}

std::optional<std::uint64_t> parseContentLength(std::string_view text)
{
    const bool isDigits = !text.empty() && std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
    std::uint64_t length = 0;
    return isDigits && absl::SimpleAtoi(std::string(text), &length) ? std::optional(length) : std::nullopt;
}

} // namespace ApricotStep
