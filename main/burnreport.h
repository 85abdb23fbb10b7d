#pragma once

#include "core/result.h"
#include "state/servicelevel.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** One class in a report, over one node or summed over several. */
struct BurnClass
{
    Objective objective;
    /** Minute by minute, the oldest first; the last is the current one. */
    std::vector<EventCounts> minutes;

    EventCounts window(std::size_t count) const;
    double burn(std::size_t minuteCount) const;
    /** Share of the error budget of the last six hours that is left; negative when overspent. */
    double budgetLeft() const;
};

enum class BurnAlert {
    None,
    /** The six-hour budget goes in about six times its due speed over 30 min and 6 h. */
    Ticket,
    /** At more than 14.4 times its due speed over 5 min and 1 h: 2 % of a 30-day budget in an hour. */
    Page,
};

BurnAlert alertOf(const BurnClass &burnClass);

/** Service-level burn by class, as `apricotstep burn` shows it. */
struct BurnReport
{
    std::string deployment;
    std::vector<std::string> nodes;
    /** Nodes that did not answer; their events are missing here. */
    std::vector<std::string> missing;
    std::array<BurnClass, ServiceClassCount> classes;

    /** Adds the counts of @p other, which must have the same objectives. Errors: BadRequest when it has not, or another deployment. */
    Result<bool> add(const BurnReport &other);
};

BurnReport burnReportOf(const ServiceLevels &levels, const std::string &deployment, const std::string &node, Time now);

std::string burnJson(const BurnReport &report);
/** Errors: BadRequest. */
Result<BurnReport> parseBurnJson(std::string_view text);
std::string burnText(const BurnReport &report);
/** One page with plots that needs nothing else. */
std::string burnHtml(const BurnReport &report);

} // namespace ApricotStep
