#pragma once

#include "coordination/storecallscheduler.h"
#include "core/result.h"
#include "transport/ioloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ApricotStep
{

/** A query to the store. */
struct StoreQuery
{
    /** Path and query string of a call that starts now. */
    std::function<std::string()> target;
    /** How long the store may hold a call until something changes. */
    Duration holdTime;
    /** The timeout of one call. */
    Duration timeout;
    /** Handles the status and body of an answer. Returns an error if the answer is unusable; the query is then retried. */
    std::function<std::optional<Error>(int, const std::string &)> onAnswer;
};

/** Runs one query at a time against the platform's store, in as many calls as StoreCallScheduler decides, and uses the first answer. */
class StorePoller
{
public:
    struct Callbacks
    {
        /** A call ended without a usable answer, @p waited after it started. */
        std::function<void(const std::string &reason, Duration waited)> onFailed;
        /** The store counts as lost because of the time since it last answered a call. */
        std::function<void()> onOverdue;
    };

    StorePoller(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks);
    ~StorePoller();

    /** Sends @p query at once and cancels the calls of the previous one. */
    void ask(StoreQuery query);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
