#include "tests/scenarios/runner/script.h"

#include <absl/strings/str_split.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Scenario
{

const std::string &Line::word(std::size_t index) const
{
    if (index >= words.size()) {
        throw std::runtime_error("'" + command + "' needs at least " + std::to_string(index + 1) + " words");
    }
    return words[index];
}

std::vector<Line> readScript(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        throw std::runtime_error(file + ": cannot open the scenario file");
    }
    std::vector<Line> lines;
    int number = 0;
    for (std::string text; std::getline(input, text);) {
        ++number;
        if (text.starts_with('#')) {
            continue;
        }
        Line line;
        line.number = number;
        for (const std::string &word : std::vector<std::string>(absl::StrSplit(text, absl::ByAnyChar(" \t"), absl::SkipEmpty()))) {
            const std::size_t equals = word.find('=');
            if (line.command.empty()) {
                line.command = word;
            } else if (equals != std::string::npos && equals > 0 && word.find_first_of("<>") == std::string::npos) {
                line.options[word.substr(0, equals)] = word.substr(equals + 1);
            } else {
                line.words.push_back(word);
            }
        }
        if (line.command == "include") {
            const auto included = readScript((std::filesystem::path(file).parent_path() / line.word(0)).string());
            lines.insert(lines.end(), included.begin(), included.end());
        } else if (!line.command.empty()) {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

} // namespace Scenario
