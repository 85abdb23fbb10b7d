#include "main/settings.h"

#include <absl/strings/numbers.h>
#include <ini.h>

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

struct Row
{
    std::string value;
    int line = 0;
};

// inih does not tell the handler its line, but it reads line by line and calls the handler before the next: counting reads is exact.
struct Reader
{
    std::istringstream input;
    std::string name;
    int line = 0;
    std::map<std::string, Row, std::less<>> rows;
    std::string faults;

    void fault(int at, const std::string &what)
    {
        faults += name + ":" + std::to_string(at) + ": " + what + "\n";
    }
};

char *readLine(char *out, int size, void *context)
{
    auto &reader = *static_cast<Reader *>(context);
    std::string line;
    if (!std::getline(reader.input, line)) {
        return nullptr;
    }
    ++reader.line;
    if (line.size() + 2 > static_cast<std::size_t>(size)) {
        reader.fault(reader.line, "the line is longer than " + std::to_string(size - 2) + " characters; shorten it");
        line.clear();
    }
    std::snprintf(out, static_cast<std::size_t>(size), "%s\n", line.c_str());
    return out;
}

const SettingSpec *specOf(std::string_view name)
{
    for (const SettingSpec &spec : settingTable()) {
        const std::size_t dot = spec.section.size();
        if (name.size() == dot + 1 + spec.key.size() && name.starts_with(spec.section) && name[dot] == '.' && name.ends_with(spec.key)) {
            return &spec;
        }
    }
    return nullptr;
}

std::string nameOf(const SettingSpec &spec)
{
    return std::string(spec.section) + '.' + std::string(spec.key);
}

int onPair(void *context, const char *section, const char *key, const char *value)
{
    auto &reader = *static_cast<Reader *>(context);
    const std::string name = std::string(section) + '.' + key;
    if (specOf(name) == nullptr) {
        reader.fault(
            reader.line, "unknown setting '" + std::string(key) + "' in [" + section + "]; see 'apricotstep node --help' for all of them");
    } else if (!reader.rows.emplace(name, Row { value, reader.line }).second) {
        reader.fault(reader.line, "'" + std::string(key) + "' in [" + section + "] is set twice; remove one");
    }
    return 1;
}

// Empty when the value is good, else what to change.
std::string checkValue(const SettingSpec &spec, const std::string &value)
{
    const std::string name = "'" + std::string(spec.key) + "'";
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

std::string_view typeWord(const SettingSpec &spec)
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
    Reader reader { std::istringstream(text), name, 0, {}, {} };
    const int badLine = ini_parse_stream(readLine, &reader, onPair, &reader);
    if (badLine > 0) {
        reader.fault(badLine, "is neither '[section]' nor 'key = value'; correct or remove the line");
    }
    std::shared_ptr<Settings> settings(new Settings);
    for (const SettingSpec &spec : settingTable()) {
        const std::string full = nameOf(spec);
        const auto row = reader.rows.find(full);
        if (row == reader.rows.end()) {
            if (spec.isRequired) {
                reader.fault(reader.line, "'" + std::string(spec.key) + "' is missing; add it to [" + std::string(spec.section) + "]");
            }
            settings->d->values[full] = std::string(spec.defaultValue);
            continue;
        }
        const std::string wrong = checkValue(spec, row->second.value);
        if (!wrong.empty()) {
            reader.fault(row->second.line, wrong);
        }
        settings->d->values[full] = row->second.value;
    }
    if (!reader.faults.empty()) {
        return Error { ErrorKind::SettingsInvalid, reader.faults };
    }
    return std::shared_ptr<const Settings>(std::move(settings));
}

const std::string &Settings::text(std::string_view name) const
{
    const auto at = d->values.find(name);
    if (at == d->values.end()) {
        std::cerr << "settings: '" << name << "' is not in the table.\n";
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
        const std::string unit = spec.unit.empty() ? "" : " (" + std::string(spec.unit) + ")";
        page += "| `" + std::string(spec.key) + "` | " + std::string(typeWord(spec)) + unit + " | " + rangeText(spec) + " | "
            + (spec.isRequired ? "required" : "`" + std::string(spec.defaultValue) + "`") + " | " + std::string(spec.description) + " |\n";
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
