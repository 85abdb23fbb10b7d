#pragma once

#include "core/result.h"
#include "state/servicelevel.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** The events of one service class, of one node or summed over several nodes. */
struct BurnClass
{
    Objective objective;
    /** Counts of each minute, oldest first; the last one is the current minute. */
    std::vector<EventCounts> minutes;

    EventCounts window(std::size_t count) const;
    double burn(std::size_t minuteCount) const;
    /** Remaining share of the error budget of the last six hours; negative when overspent. */
    double budgetLeft() const;
};

enum class BurnAlert {
    None,
    /** The burn rate is above 6 over both 30 min and 6 h. */
    Ticket,
    /** The burn rate is above 14.4 over both 5 min and 1 h: that spends 2 % of a 30-day budget in an hour. */
    Page,
};

BurnAlert alertOf(const BurnClass &burnClass);

/** Burn rates of the error budgets by service class, as `apricotstep burn` shows them. */
struct BurnReport
{
    std::string deployment;
    std::vector<std::string> nodes;
    /** Nodes whose events are not included: they did not answer, or their report could not be added. */
    std::vector<std::string> missing;
    std::array<BurnClass, ServiceClassCount> classes;

    /** Adds the counts of @p other. Errors: BadRequest if its deployment or its objectives differ. */
    Result<bool> add(const BurnReport &other);
};

BurnReport burnReportOf(const ServiceLevels &levels, const std::string &deployment, const std::string &node, Time now);

std::string burnJson(const BurnReport &report);
/** Errors: BadRequest. */
Result<BurnReport> parseBurnJson(std::string_view text);
std::string burnText(const BurnReport &report);
/** A self-contained HTML page with plots. */
std::string burnHtml(const BurnReport &report);

} // namespace ApricotStep
