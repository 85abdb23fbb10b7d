#include "main/inidocument.h"

#include <ini.h>

#include <cstdio>
#include <sstream>

namespace ApricotStep
{

namespace
{

// inih silently truncates longer names, and a truncated name would identify another adapter.
constexpr std::size_t MaxNameLength = 49;

// inih does not pass the line number to the handler, but it calls the handler before it reads the next line, so the count of lines read so
// far is the line number.
struct Reader
{
    std::istringstream input;
    IniDocument document;

    // Returns an error message if inih would truncate a part of the line, otherwise an empty string.
    std::string checkLine(const std::string &line, std::size_t size) const;
};

std::string Reader::checkLine(const std::string &line, std::size_t size) const
{
    if (line.size() + 2 > size) {
        return "the line is longer than " + std::to_string(size - 2) + " characters; shorten it";
    }
    const bool isSection = !line.empty() && line.front() == '[';
    const std::size_t end = isSection ? line.find(']') : line.find_first_of("=:");
    if (end != std::string::npos && end > MaxNameLength && line.find_first_not_of(" \t") == 0 && line.front() != ';'
        && line.front() != '#') {
        return "a name is longer than " + std::to_string(MaxNameLength) + " characters; shorten it";
    }
    return {};
}

char *readLine(char *out, int size, void *context)
{
    auto &reader = *static_cast<Reader *>(context);
    IniDocument &document = reader.document;
    std::string line;
    if (!std::getline(reader.input, line)) {
        return nullptr;
    }
    ++document.lineCount;
    const std::string lineError = reader.checkLine(line, static_cast<std::size_t>(size));
    if (!lineError.empty()) {
        document.addError(document.lineCount, lineError);
        line.clear();
    } else if (!line.empty() && line.front() == '[' && line.find(']') != std::string::npos) {
        document.sections.push_back({ line.substr(1, line.find(']') - 1), document.lineCount });
    }
    std::snprintf(out, static_cast<std::size_t>(size), "%s\n", line.c_str());
    return out;
}

int onPair(void *context, const char *section, const char *key, const char *value)
{
    auto &document = static_cast<Reader *>(context)->document;
    document.pairs.push_back({ section, key, value, document.lineCount });
    return 1;
}

} // namespace

void IniDocument::addError(int line, const std::string &what)
{
    errors += name + ":" + std::to_string(line) + ": " + what + "\n";
}

IniDocument parseIni(const std::string &text, const std::string &name)
{
    Reader reader { std::istringstream(text), {} };
    reader.document.name = name;
    const int badLine = ini_parse_stream(readLine, &reader, onPair, &reader);
    if (badLine > 0) {
        reader.document.addError(badLine, "is neither '[section]' nor 'key = value'; correct or remove the line");
    }
    return std::move(reader.document);
}

} // namespace ApricotStep
