#include "core/jsonnesting.h"

#include <cstddef>

namespace ApricotStep
{

bool isJsonNestedTooDeep(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (character == '"') {
            isInString = !isInString;
        } else if (isInString) {
            i += character == '\\' ? 1 : 0;
        } else if (character == '[' || character == '{') {
            ++depth;
        } else if (character == ']' || character == '}') {
            --depth;
        }
        if (depth > MaxJsonNesting) {
            return true;
        }
    }
    return false;
}

} // namespace ApricotStep
