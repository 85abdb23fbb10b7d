#pragma once

#include "tests/scenarios/runner/testcluster.h"

#include <string>
#include <vector>

namespace Scenario
{

/** One line of a scenario: a command, its positional words and its key=value options. */
struct Line
{
    int number = 0;
    std::string command;
    std::vector<std::string> words;
    Options options;

    /** Returns the positional word at @p index. Throws std::runtime_error if the line has too few words. */
    const std::string &word(std::size_t index) const;
};

/** Reads a scenario file and its includes. Lines that begin with '#' are comments. Throws std::runtime_error if a file cannot be read. */
std::vector<Line> readScript(const std::string &file);

} // namespace Scenario
