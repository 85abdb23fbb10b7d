#pragma once

#include <string>
#include <vector>

namespace ApricotStep
{

/** A `key = value` pair with its section and line number. */
struct IniPair
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

struct IniSection
{
    std::string name;
    int line = 0;
};

/** The content of an INI file in the order of the file, and the errors in it. */
struct IniDocument
{
    std::string name;
    std::vector<IniSection> sections;
    std::vector<IniPair> pairs;
    /** One line per error: file, line and the fix. */
    std::string errors;
    int lineCount = 0;

    void addError(int line, const std::string &what);
};

/** Parses @p text; @p name is the file name in error messages. */
IniDocument parseIni(const std::string &text, const std::string &name);

} // namespace ApricotStep
