#pragma once

#include <string>
#include <vector>

namespace ApricotStep
{

/** `key = value` with the place where it stands. */
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

/** The content of an INI file in its order, and everything in it that cannot be read. */
struct IniDocument
{
    std::string name;
    std::vector<IniSection> sections;
    std::vector<IniPair> pairs;
    /** One line a fault: file, line and the fix. */
    std::string errors;
    int lineCount = 0;

    void addError(int line, const std::string &what);
};

/** Reads @p text; @p name stands for the file in faults. */
IniDocument parseIni(const std::string &text, const std::string &name);

} // namespace ApricotStep
