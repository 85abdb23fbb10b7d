#pragma once

#include "core/clock.h"
#include "core/strongid.h"

#include <array>
#include <optional>
#include <string_view>

namespace ApricotStep
{

/** Class of a request: how long it may wait. */
enum class Priority {
    Urgent,
    Standard,
    Patient,
};
inline constexpr std::size_t PriorityCount = 3;
inline constexpr std::array<std::string_view, PriorityCount> PriorityNames { "urgent", "standard", "patient" };

/** Why a permit, or the wish for one, ends. */
enum class PermitEnd {
    /** The load that it was for has ended. */
    Used,
    /** It was granted and will not be used. */
    Unused,
    /** It is no longer asked for. */
    Withdrawn,
};

/** A request as the decisions see it. */
struct WorkItem
{
    RequestId id;
    AdapterKey adapter;
    Priority priority = Priority::Standard;
    CallerId caller;
    Time arrival;
    /** The first token must have been sent by then, else the request is refused as not run. */
    Time deadline;
    /** Estimated size in generated tokens; at least 1. */
    int tokens = 1;
};

} // namespace ApricotStep
