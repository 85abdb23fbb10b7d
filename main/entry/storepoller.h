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

/** What is asked of the store. */
struct StoreQuery
{
    /** Path and query of a call that begins now. */
    std::function<std::string()> target;
    /** How long the store may hold a call. */
    Duration holdTime;
    /** For one call. */
    Duration timeout;
    /** Takes an answer by its status and body; an error where it is none to use, and the store is asked again. */
    std::function<std::optional<Error>(int, const std::string &)> onAnswer;
};

/** Puts one question at a time to the platform's store, in as many calls as StoreCallScheduler decides, and takes the first answer. */
class StorePoller
{
public:
    struct Callbacks
    {
        /** A call ended without an answer to use, @p waited after it began. */
        std::function<void(const std::string &reason, Duration waited)> onFailed;
        /** No call has been answered for so long that the store counts as lost. */
        std::function<void()> onOverdue;
    };

    StorePoller(IoLoop &loop, std::string address, StoreCallLimits limits, Callbacks callbacks);
    ~StorePoller();

    /** Asks at once. Calls of an earlier question end. */
    void ask(StoreQuery query);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace ApricotStep
