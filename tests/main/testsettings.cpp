#include "main/settings.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const std::string ValidSettings =
    "[node]\nid = n1\nzone = a\n[platform]\nconfig_url = http://127.0.0.1:1\nvm_list_url = http://127.0.0.1:2\n"
    "[fleet]\nsecret = 0123456789abcdef\n";

bool hasError(const std::string &text, const std::string &part)
{
    const auto settings = Settings::parse(text, "n.ini");
    return !settings.isOk() && settings.error().detail.find(part) != std::string::npos;
}

} // namespace

Test(settings, unsetSettingsHaveDefaults)
{
    const auto settings = Settings::parse(ValidSettings, "n.ini");
    cr_assert(settings.isOk());
    cr_assert(settings.value()->text("node.id") == "n1");
    cr_assert_eq(settings.value()->number("callers.port"), 8080);
}

Test(settings, errorsNameFileLineAndFix)
{
    cr_assert(hasError(ValidSettings + "[callers]\nprot = 1\n", "n.ini:10: unknown setting 'prot'"));
    cr_assert(hasError(ValidSettings + "[callers]\nport = 70000\n", "n.ini:10: 'port' must be a whole number from 0 to 65535"));
    cr_assert(hasError("[node]\nid = n1\n", "'zone' is missing; add it to [node]"));
    cr_assert(hasError(ValidSettings + "nonsense\n", "n.ini:9: is neither"));
}
