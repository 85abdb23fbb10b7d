#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <array>
#include <optional>
#include <string_view>

namespace ApricotStep
{

/** The class of a request, which says how long it may wait. */
enum class Priority {
    Urgent,
    Standard,
    Patient,
};
inline constexpr std::size_t PriorityCount = 3;
inline constexpr std::array<std::string_view, PriorityCount> PriorityNames { "urgent", "standard", "patient" };

/** Why a permit or a permit request ends. */
enum class PermitEnd {
    /** The load that the permit was used for has ended. */
    Used,
    /** The permit was granted and will not be used. */
    Unused,
    /** The permit is no longer requested. */
    Withdrawn,
};

/** A request as the scheduler sees it. */
struct WorkItem
{
    RequestId id;
    AdapterKey adapter;
    Priority priority = Priority::Standard;
    CallerId caller;
    Time arrival;
    /** Deadline for the first token; a request that is still queued then is refused as not run. */
    Time deadline;
    /** Estimated number of generated tokens; at least 1. */
    int tokens = 1;
};

} // namespace ApricotStep
