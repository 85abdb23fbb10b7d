#include "core/jsonnesting.h"

#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;

Test(jsonnesting, depthIsCountedOutsideOfStrings)
{
    const auto nested = [](int levels) { return std::string(levels, '[') + std::string(levels, ']'); };
    cr_assert_not(isJsonNestedTooDeep(nested(MaxJsonNesting)));
    cr_assert(isJsonNestedTooDeep(nested(MaxJsonNesting + 1)));
    cr_assert_not(isJsonNestedTooDeep("[\"" + std::string(1000, '[') + "\"]"));
    cr_assert_not(isJsonNestedTooDeep("[\"\\\"" + std::string(1000, '{') + "\"]"));
    cr_assert(isJsonNestedTooDeep("[\"\\\\\"," + std::string(1000, '{')));
    std::string siblings = "[";
    for (int i = 0; i < 1000; ++i) {
        siblings += "[{}],";
    }
    cr_assert_not(isJsonNestedTooDeep(siblings + "0]"));
}
