#pragma once

#include "tests/scenarios/runner/callers.h"
#include "tests/scenarios/runner/testcluster.h"

#include <string>
#include <vector>

namespace Scenario
{

/** Counters read from the stand-in engines and services. */
struct StandinCounts
{
    /** Number of times that engines started to generate, by request tag. */
    std::map<std::string, int> generated;
    /** Number of times that services ran a request, by request body. */
    std::map<std::string, int> runs;
    int evictedInUse = 0;
};

StandinCounts readCounts(const TestCluster &cluster);

/** Returns one message for each violated invariant, from what callers received and what the stand-ins counted. */
std::vector<std::string> findViolations(const std::vector<RequestRecord> &records, const StandinCounts &counts);

} // namespace Scenario
