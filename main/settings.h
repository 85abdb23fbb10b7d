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

/** One row of the table of settings, which the check, --help and docs/SETTINGS.md are based on. */
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    std::string_view unit;
    /** The range of a Number or Milliseconds. */
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view defaultValue;
    bool isRequired = false;
    std::string_view description;
};

const std::vector<SettingSpec> &settingTable();

/** The validated settings of a process. */
class Settings
{
public:
    /** Reads an INI file. Errors: SettingsInvalid; the detail has one line per error: file, line and the fix. */
    static Result<std::shared_ptr<const Settings>> load(const std::string &path);
    /** Like load(), for the content of a file; @p name is the file name in error messages. */
    static Result<std::shared_ptr<const Settings>> parse(const std::string &text, const std::string &name);
    ~Settings();

    // The getters take "section.key" from the table; another name is a programming error and aborts the process.
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
