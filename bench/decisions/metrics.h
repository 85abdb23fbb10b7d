#pragma once

#include "bench/decisions/run.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace DecisionBench
{

/** Figures of one run by name, each with its unit. */
struct Metric
{
    double value = 0;
    std::string unit;
};
using Metrics = std::map<std::string, Metric>;

double percentile(std::vector<double> values, double fraction);

/** What the callers received, by class, and how the engines and the store were used. */
Metrics computeMetrics(const Deployment &deployment, const RunResult &result);

/** Seconds to the first token at the 95th of 100 over the requests that @p isSelected names and that were answered. */
double firstTokenP95(const RunResult &result, const std::function<bool(const Arrival &)> &isSelected);

/** Loads a second that clairvoyant eviction (Belady) needs for what was served, with all slots in one pool and one by one. */
double clairvoyantLoads(const Deployment &deployment, const RunResult &result);

/**
 * The greatest part of the batch that could be filled: urgent and standard requests start on arrival and on as few engines as hold them,
 * and patient ones fill these steps and otherwise run in full batches.
 */
double batchFillBound(const Deployment &deployment, const RunResult &result);

} // namespace DecisionBench
