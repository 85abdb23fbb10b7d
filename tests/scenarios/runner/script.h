#pragma once

#include "tests/scenarios/runner/testcluster.h"

#include <string>
#include <vector>

namespace Scenario
{

/** One line of a scenario: a command, plain words, and key=value options. */
struct Line
{
    int number = 0;
    std::string command;
    std::vector<std::string> words;
    Options options;

    /** The word at @p index; throws with the line's number when it is missing. */
    const std::string &word(std::size_t index) const;
};

/** Reads a scenario file. '#' begins a comment. Throws std::runtime_error naming file and line. */
std::vector<Line> readScript(const std::string &file);

} // namespace Scenario
