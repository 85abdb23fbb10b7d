#pragma once

#include "coordination/retrybudget.h"
#include "core/clock.h"
#include "core/errors.h"

#include <random>
#include <variant>

namespace ApricotStep
{

// Retry rules for upstreams that restart, refuse connections or die while a request is in flight.
// Without these rules a payment whose connection broke is sent again and charged twice, a stream of which the caller has read half starts
// over, a request is retried long after its caller has given up, or the restart of one engine becomes an error for every caller of its
// adapters. The first two faults would only show in the service's own records.
// Three attempts reach the preferred engine of an adapter and two alternatives; a fourth would meet the same fault. The initial backoff is
// about the time of one reconnect. It doubles with full jitter so that requests that failed together are not retried together.

/** How far an attempt at an upstream got. */
enum class AttemptPhase {
    /** No byte has been sent. */
    Queued,
    /** The request may be in flight or running. */
    Sending,
    /** The upstream has answered or refused the request. */
    Answered,
    /** The request was sent and its outcome cannot be learned. */
    Unknown,
};

/** Whether a request may run more than once. */
enum class Idempotency {
    /** Running it twice does no harm. */
    Idempotent,
    /** It must run at most once. */
    NonIdempotent,
};

/** Where the next attempt goes. */
enum class RetryTarget {
    SameUpstream,
    OtherUpstream,
};

struct RetryLimits
{
    /** Attempts per request, including the first; at least 1. */
    int maxAttempts = 3;
    Duration initialBackoff { 20 };
    Duration maxBackoff { 500 };
};

/** A failed attempt. */
struct AttemptFailure
{
    AttemptPhase phase = AttemptPhase::Queued;
    /** The error that the caller gets if the request is not retried. */
    ErrorKind kind = ErrorKind::Internal;
    /** The upstream refused before execution because the adapter is not loaded there; a retry after loading it can succeed. */
    bool isAdapterMissing = false;
};

/** The state of the request whose attempt failed. */
struct RetryContext
{
    Idempotency idempotency = Idempotency::Idempotent;
    /** Whether any byte of an answer has been sent to the caller. */
    bool hasSentToCaller = false;
    /** Attempts made so far, at least 1. */
    int attempts = 1;
    Time deadline;
    /** Whether another upstream could run the request. */
    bool hasOtherUpstream = false;
};

struct TryAgain
{
    RetryTarget target = RetryTarget::SameUpstream;
    /** Time to wait before the retry. */
    Duration delay;
};
struct GiveUp
{
    ErrorKind kind = ErrorKind::Internal;
};
using RetryDecision = std::variant<TryAgain, GiveUp>;

/**
 * Returns whether a retry after @p failure does no harm: no byte has reached the caller, and the request either did not run or is
 * idempotent. Does not check deadlines or budgets.
 */
bool isSafeToRetry(const AttemptFailure &failure, const RetryContext &facts);

/** Decides whether a failed attempt is retried. Takes from @p budget only if it returns TryAgain. */
RetryDecision decideRetry(const AttemptFailure &failure, const RetryContext &facts, const RetryLimits &limits, RetryBudget &budget,
    std::mt19937_64 &random, Time now);

/** Returns the time left until @p deadline for the deadline header of an upstream call; at least 1 ms. */
Duration timeLeft(Time deadline, Time now);

} // namespace ApricotStep
