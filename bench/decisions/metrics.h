#pragma once

#include "bench/decisions/run.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace DecisionBench
{

/** A measured value with its unit. */
struct Metric
{
    double value = 0;
    std::string unit;
};
/** Metrics of one run by name. */
using Metrics = std::map<std::string, Metric>;

double percentile(std::vector<double> values, double fraction);

/** Computes the results for callers by priority class, and the utilization of the engines and the weight store. */
Metrics computeMetrics(const Deployment &deployment, const RunResult &result);

/**
 * Returns the 95th percentile of the seconds to the first token over the requests that received one and for which @p isSelected returns
 * true.
 */
double firstTokenP95(const RunResult &result, const std::function<bool(const Arrival &)> &isSelected);

/**
 * Returns the loads per second that clairvoyant eviction (Belady) needs for the dispatched requests, one at a time in order of arrival,
 * with the slots of all engines in one pool.
 */
double clairvoyantLoads(const Deployment &deployment, const RunResult &result);

/**
 * Returns an upper bound for the mean batch utilization, 0 to 1: urgent and standard requests start on arrival on the fewest engines
 * that have room for them, and patient requests fill the rest of these steps and otherwise run in full batches.
 */
double batchFillBound(const Deployment &deployment, const RunResult &result);

} // namespace DecisionBench
