#pragma once

#include "coordination/retrybudget.h"
#include "core/clock.h"
#include "core/errors.h"

#include <random>
#include <variant>

namespace ApricotStep
{

// Load pattern: upstreams that restart, refuse connections, or die while a request is on its way.
// Without these rules: a payment whose connection broke is sent again and charged twice; a stream of which the caller has read half begins
// anew; a request is tried long after its caller has given up; or the restart of one engine becomes an error for every caller of its
// adapters. The first two would show only at the service's books.
// Grounds for the figures: three attempts reach the home of an adapter and two alternates; a fourth would wait for the same fault. The
// first pause is about one reconnect; it doubles, with full jitter, so that those who failed together do not come back together.

/** How far one attempt at an upstream came. */
enum class AttemptPhase {
    /** Nothing can have left yet. */
    Queued,
    /** The request may be on its way or running. */
    Sending,
    /** The upstream's answer is known, a refusal included. */
    Answered,
    /** It was sent and its end will never be known. */
    Unknown,
};

enum class Idempotency {
    /** Running it twice does no harm. */
    Idempotent,
    /** It must run at most once. */
    NonIdempotent,
};

/** The next attempt goes to... */
enum class RetryTarget {
    SameUpstream,
    OtherUpstream,
};

struct RetryLimits
{
    /** Attempts of one request, the first included; at least 1. */
    int maxAttempts = 3;
    Duration initialBackoff { 20 };
    Duration maxBackoff { 500 };
};

/** An attempt that did not succeed. */
struct AttemptFailure
{
    AttemptPhase phase = AttemptPhase::Queued;
    /** What the caller is told if nothing is tried again. */
    ErrorKind kind = ErrorKind::Internal;
    /** The upstream refused before execution because it does not hold the adapter; a reload cures it. */
    bool isAdapterMissing = false;
};

/** What is known of the request whose attempt failed. */
struct RetryContext
{
    Idempotency idempotency = Idempotency::Idempotent;
    /** Some byte of an answer went to the caller. */
    bool hasSentToCaller = false;
    /** Attempts made so far, at least 1. */
    int attempts = 1;
    Time deadline;
    /** Whether there is another upstream that could take it. */
    bool hasOtherUpstream = false;
};

struct TryAgain
{
    RetryTarget target = RetryTarget::SameUpstream;
    /** Wait this long first. */
    Duration delay;
};
struct GiveUp
{
    ErrorKind kind = ErrorKind::Internal;
};
using RetryDecision = std::variant<TryAgain, GiveUp>;

/** Whether running the request again cannot run it twice, as far as @p failure tells. Deadlines and budgets left aside. */
bool isSafeToRetry(const AttemptFailure &failure, const RetryContext &facts);

/** Decides what follows a failed attempt. Takes from @p budget only when it says TryAgain. */
RetryDecision decideRetry(const AttemptFailure &failure, const RetryContext &facts, const RetryLimits &limits, RetryBudget &budget,
    std::mt19937_64 &random, Time now);

/** The time left until @p deadline for a header of the upstream call, at least 1 ms. */
Duration timeLeft(Time deadline, Time now);

} // namespace ApricotStep
