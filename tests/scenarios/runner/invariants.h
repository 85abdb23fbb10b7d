#pragma once

#include "tests/scenarios/runner/callers.h"
#include "tests/scenarios/runner/testcluster.h"

#include <string>
#include <vector>

namespace Scenario
{

/** What the stand-ins counted. */
struct StandinCounts
{
    /** How often an engine began to generate for a mark. */
    std::map<std::string, int> generated;
    /** How often a service ran a body. */
    std::map<std::string, int> runs;
    int evictedInUse = 0;
};

StandinCounts readCounts(const TestCluster &cluster);

/** Each broken promise as a sentence; empty when all were kept. Judged by what callers received and the stand-ins counted. */
std::vector<std::string> findViolations(const std::vector<RequestRecord> &records, const StandinCounts &counts);

} // namespace Scenario
