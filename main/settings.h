#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

enum class SettingType {
    Text,
    Number,
    Milliseconds,
    Flag,
};

/** One row of the table of settings: the check, --help and docs/SETTINGS.md all come from it. */
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    std::string_view unit;
    /** For Number and Milliseconds. */
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view defaultValue;
    bool isRequired = false;
    std::string_view description;
};

const std::vector<SettingSpec> &settingTable();

/** The checked settings of a process. */
class Settings
{
public:
    /** Reads an INI file. Errors: SettingsInvalid; the detail has one line a fault: file, line and the fix. */
    static Result<std::shared_ptr<const Settings>> load(const std::string &path);
    /** The same from a text; @p name stands for the file in errors. */
    static Result<std::shared_ptr<const Settings>> parse(const std::string &text, const std::string &name);
    ~Settings();

    // @p name is "section.key" of the table; asking for one that is not there is a programming error and ends the process.
    const std::string &text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    Duration duration(std::string_view name) const;
    bool flag(std::string_view name) const;

private:
    Settings();
    struct Private;
    std::unique_ptr<Private> d;
};

/** The table as a Markdown page (docs/SETTINGS.md). */
std::string settingsPage();
/** The table as plain text for --help. */
std::string settingsHelp();

} // namespace ApricotStep
