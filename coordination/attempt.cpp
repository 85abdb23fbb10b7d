#include "coordination/attempt.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

// Returns whether a retry cannot help: the request is invalid, the caller is gone or the deadline has passed.
bool isFinal(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::UpstreamUnreachable:
    case ErrorKind::UpstreamRefused:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::UpstreamTimeout:
    case ErrorKind::StreamCut:
    case ErrorKind::AdapterLoadFailed:
        return false;
    default:
        return true;
    }
}

Duration jitteredPause(int attempts, const RetryLimits &limits, std::mt19937_64 &random)
{
    constexpr int MaxDoublings = 16;
    const std::int64_t doubled = limits.initialBackoff.milliseconds() << std::min(attempts - 1, MaxDoublings);
    const std::int64_t cap = std::min(doubled, limits.maxBackoff.milliseconds());
    return Duration(std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(cap, 0))(random));
}

} // namespace

bool isSafeToRetry(const AttemptFailure &failure, const RetryContext &facts)
{
    if (facts.hasSentToCaller) {
        return false;
    }
    // Engines refuse a request for a missing adapter before execution.
    const bool hasNotRun = failure.phase == AttemptPhase::Queued || (failure.phase == AttemptPhase::Answered && failure.isAdapterMissing);
    return hasNotRun || facts.idempotency == Idempotency::Idempotent;
}

RetryDecision decideRetry(const AttemptFailure &failure, const RetryContext &facts, const RetryLimits &limits, RetryBudget &budget,
    std::mt19937_64 &random, Time now)
{
    const GiveUp giveUp { failure.kind };
    if (!isSafeToRetry(failure, facts) || isFinal(failure.kind) || facts.attempts >= limits.maxAttempts) {
        return giveUp;
    }
    const bool isOtherUpstream = facts.hasOtherUpstream && !failure.isAdapterMissing;
    // A request whose adapter must be reloaded is queued again without delay; all requests that wait for the adapter share one load.
    const Duration delay = isOtherUpstream || failure.isAdapterMissing ? Duration(0) : jitteredPause(facts.attempts, limits, random);
    if (now + delay >= facts.deadline) {
        return giveUp;
    }
    // A refusal for a missing adapter takes no budget: it costs the engine nothing, and one restart refuses a whole batch at once.
    if (!failure.isAdapterMissing && !budget.take(now)) {
        return giveUp;
    }
    return TryAgain { isOtherUpstream ? RetryTarget::OtherUpstream : RetryTarget::SameUpstream, delay };
}

Duration timeLeft(Time deadline, Time now)
{
    return std::max(deadline - now, Duration(1));
}

} // namespace ApricotStep
