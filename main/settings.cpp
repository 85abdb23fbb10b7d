#include "main/settings.h"

#include "main/inidocument.h"

#include <absl/strings/numbers.h>
#include <spdlog/fmt/fmt.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace ApricotStep
{

namespace
{

constexpr std::size_t MinSecretLength = 16;

const SettingSpec *findSpec(std::string_view name)
{
    for (const SettingSpec &spec : settingTable()) {
        const std::size_t dot = spec.section.size();
        if (name.size() == dot + 1 + spec.key.size() && name.starts_with(spec.section) && name[dot] == '.' && name.ends_with(spec.key)) {
            return &spec;
        }
    }
    return nullptr;
}

std::string settingName(const SettingSpec &spec)
{
    return std::string(spec.section) + '.' + std::string(spec.key);
}

// Returns the pairs by name. Unknown and repeated settings are added to the errors.
std::map<std::string, IniPair, std::less<>> indexPairs(IniDocument &document)
{
    std::map<std::string, IniPair, std::less<>> pairsByName;
    for (const IniPair &pair : std::vector<IniPair>(document.pairs)) {
        const std::string name = pair.section + '.' + pair.key;
        if (findSpec(name) == nullptr) {
            document.addError(
                pair.line, "unknown setting '" + pair.key + "' in [" + pair.section + "]; see 'apricotstep node --help' for all of them");
        } else if (!pairsByName.emplace(name, pair).second) {
            document.addError(pair.line, "'" + pair.key + "' in [" + pair.section + "] is set twice; remove one");
        }
    }
    return pairsByName;
}

// Returns an error message, or an empty string if the value is valid.
std::string checkValue(const SettingSpec &spec, const std::string &value)
{
    const std::string name = fmt::format("'{}'", spec.key);
    if (spec.type == SettingType::Number || spec.type == SettingType::Milliseconds) {
        std::int64_t number = 0;
        if (!absl::SimpleAtoi(value, &number) || number < spec.min || number > spec.max) {
            return name + " must be a whole number from " + std::to_string(spec.min) + " to " + std::to_string(spec.max) + ", not '" + value
                + "'";
        }
    }
    if (spec.type == SettingType::Flag && value != "true" && value != "false") {
        return name + " must be true or false, not '" + value + "'";
    }
    if (spec.isRequired && value.empty()) {
        return name + " must not be empty";
    }
    if (spec.section == "fleet" && spec.key == "secret" && value.size() < MinSecretLength) {
        return "'secret' must have at least " + std::to_string(MinSecretLength) + " characters";
    }
    if (spec.section == "node" && spec.key == "id" && value.find_first_of(". \t@/") != std::string::npos) {
        return "'id' must be a word without dots, '@' or '/', not '" + value + "'";
    }
    return {};
}

std::string_view typeName(const SettingSpec &spec)
{
    switch (spec.type) {
    case SettingType::Text:
        return "text";
    case SettingType::Number:
        return "number";
    case SettingType::Milliseconds:
        return "milliseconds";
    case SettingType::Flag:
        return "true or false";
    }
    return "";
}

std::string rangeText(const SettingSpec &spec)
{
    if (spec.type == SettingType::Number || spec.type == SettingType::Milliseconds) {
        return std::to_string(spec.min) + " to " + std::to_string(spec.max);
    }
    return "";
}

} // namespace

struct Settings::Private
{
    std::map<std::string, std::string, std::less<>> values;
};

Settings::Settings()
    : d(std::make_unique<Private>())
{
}

Settings::~Settings() = default;

Result<std::shared_ptr<const Settings>> Settings::load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error { ErrorKind::SettingsInvalid,
            path + ":0: cannot be read (" + std::strerror(errno) + "); give a readable file with --settings\n" };
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

Result<std::shared_ptr<const Settings>> Settings::parse(const std::string &text, const std::string &name)
{
    IniDocument document = parseIni(text, name);
    const auto pairsByName = indexPairs(document);
    std::shared_ptr<Settings> settings(new Settings);
    for (const SettingSpec &spec : settingTable()) {
        const std::string fullName = settingName(spec);
        const auto found = pairsByName.find(fullName);
        if (found == pairsByName.end()) {
            if (spec.isRequired) {
                document.addError(document.lineCount, fmt::format("'{}' is missing; add it to [{}]", spec.key, spec.section));
            }
            settings->d->values[fullName] = std::string(spec.defaultValue);
            continue;
        }
        const std::string valueError = checkValue(spec, found->second.value);
        if (!valueError.empty()) {
            document.addError(found->second.line, valueError);
        }
        settings->d->values[fullName] = found->second.value;
    }
    if (!document.errors.empty()) {
        return Error { ErrorKind::SettingsInvalid, document.errors };
    }
    return std::shared_ptr<const Settings>(std::move(settings));
}

const std::string &Settings::text(std::string_view name) const
{
    const auto at = d->values.find(name);
    if (at == d->values.end()) {
        std::cerr << "settings: '" << name << "' is not a known setting.\n";
        std::abort();
    }
    return at->second;
}

std::int64_t Settings::number(std::string_view name) const
{
    return std::strtoll(text(name).c_str(), nullptr, 10);
}

Duration Settings::duration(std::string_view name) const
{
    return Duration(number(name));
}

bool Settings::flag(std::string_view name) const
{
    return text(name) == "true";
}

std::string settingsPage()
{
    std::string page = "# Settings\n\nWritten by `apricotstep settings-page`; the table in main/settingtable.cpp is the source.\n";
    std::string_view section;
    for (const SettingSpec &spec : settingTable()) {
        if (spec.section != section) {
            section = spec.section;
            page += "\n## [" + std::string(section) + "]\n\n| key | type | range | default | meaning |\n|---|---|---|---|---|\n";
        }
        const std::string unit = spec.unit.empty() ? "" : fmt::format(" ({})", spec.unit);
        const std::string defaultText = spec.isRequired ? "required" : fmt::format("`{}`", spec.defaultValue);
        page +=
            fmt::format("| `{}` | {}{} | {} | {} | {} |\n", spec.key, typeName(spec), unit, rangeText(spec), defaultText, spec.description);
    }
    return page;
}

std::string settingsHelp()
{
    std::string help = "Settings (INI):\n";
    std::string_view section;
    for (const SettingSpec &spec : settingTable()) {
        if (spec.section != section) {
            section = spec.section;
            help += "  [" + std::string(section) + "]\n";
        }
        const std::string range = rangeText(spec);
        help += "    " + std::string(spec.key) + (spec.isRequired ? " (required)" : " = " + std::string(spec.defaultValue))
            + (range.empty() ? "" : "  [" + range + "]") + "\n        " + std::string(spec.description) + "\n";
    }
    return help;
}

} // namespace ApricotStep
