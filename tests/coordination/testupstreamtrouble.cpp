#include "coordination/attempt.h"
#include "coordination/concurrencylimit.h"
#include "coordination/outlierdetector.h"
#include "coordination/retrybudget.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

const UpstreamId Sick("sick");

std::vector<UpstreamId> upstreams(int count)
{
    std::vector<UpstreamId> all { Sick };
    for (int i = 1; i < count; ++i) {
        all.emplace_back("u" + std::to_string(i));
    }
    return all;
}

struct Retrying
{
    RetryBudget budget { {}, Time(0) };
    std::mt19937_64 random { 7 };

    bool triesAgain(const AttemptFailure &failure, const RetryContext &facts, Time now = Time(10))
    {
        return std::holds_alternative<TryAgain>(decideRetry(failure, facts, {}, budget, random, now));
    }
};

RetryContext facts(Idempotency idempotency, int attempts = 1)
{
    return { idempotency, false, attempts, Time(10'000), true };
}

} // namespace

Test(retrybudget, retriesAreLimitedToAShareOfTheTraffic)
{
    // All upstreams fail for a while and every request needs two more attempts. Without a bound the upstreams would get three times their
    // load when they can bear it least, and the outage would outlast its cause.
    RetryBudget budget({ 0.1, 16, 0 }, Time(0));
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        i % 2 == 0 ? budget.onSuccess(Time(i)) : void();
        retries += budget.take(Time(i)) ? 1 : 0;
        retries += budget.take(Time(i)) ? 1 : 0;
    }
    cr_assert_leq(retries, 16 + 50);
    cr_assert_geq(retries, 16 + 48);
}

Test(retrybudget, aNodeWithoutTrafficMayRetryASingleFailure)
{
    RetryBudget budget({ 0.1, 1, 0.5 }, Time(0));
    cr_assert(budget.take(Time(0)));
    cr_assert_not(budget.take(Time(1000)));
    cr_assert(budget.take(Time(2000)));
}

Test(attempt, aPaymentThatMayHaveBeenSentIsNotRetried)
{
    // The service dies after it has received the payment. The caller must get an unknown outcome; a retry could charge twice.
    Retrying retrying;
    for (const AttemptPhase phase : { AttemptPhase::Sending, AttemptPhase::Unknown, AttemptPhase::Answered }) {
        cr_assert_not(retrying.triesAgain({ phase, ErrorKind::UpstreamFailed }, facts(Idempotency::NonIdempotent)));
    }
    cr_assert(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::UpstreamUnreachable }, facts(Idempotency::NonIdempotent)));
}

Test(attempt, aPartlyReadAnswerIsNotRetried)
{
    // An engine dies in the middle of a stream. After a retry the caller would read the first half twice.
    Retrying retrying;
    RetryContext begun = facts(Idempotency::Idempotent);
    begun.hasSentToCaller = true;
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Unknown, ErrorKind::UpstreamFailed }, begun));
}

Test(attempt, noRetryPastTheDeadlineOrForAnErrorOfTheCaller)
{
    Retrying retrying;
    const AttemptFailure unreachable { AttemptPhase::Queued, ErrorKind::UpstreamUnreachable };
    cr_assert_not(retrying.triesAgain(unreachable, facts(Idempotency::Idempotent), Time(10'000)));
    cr_assert_not(retrying.triesAgain(unreachable, facts(Idempotency::Idempotent, 3)));
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::CallerGone }, facts(Idempotency::Idempotent)));
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Answered, ErrorKind::BadRequest }, facts(Idempotency::Idempotent)));
    cr_assert_eq(timeLeft(Time(10), Time(500)), Duration(1));
}

Test(attempt, aMissingAdapterIsReloadedOnItsEngineWithoutBudget)
{
    // An engine restarts without its adapters and refuses a whole batch at once, before execution. Each request must still be answered.
    Retrying retrying;
    retrying.budget = RetryBudget({ 0.1, 0, 0 }, Time(0));
    const auto decision = decideRetry({ AttemptPhase::Answered, ErrorKind::UpstreamRefused, true }, facts(Idempotency::Idempotent), {},
        retrying.budget, retrying.random, Time(1));
    cr_assert(std::holds_alternative<TryAgain>(decision));
    cr_assert(std::get<TryAgain>(decision).target == RetryTarget::SameUpstream);
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::UpstreamUnreachable }, facts(Idempotency::Idempotent)));
}

// An engine has just crashed and is still listed. Its adapters are loaded on no other engine, so without a backoff each waiting request
// would try it again at each placement decision: thousands of failed connections that leave no node time for requests that could be served.
Test(outliers, anUnreachableUpstreamHasABackoff)
{
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(9));
    cr_assert(outliers.isReachable(Sick, Time(1000)));
    outliers.onUnreachable(Sick, Time(1000));
    cr_assert_not(outliers.isReachable(Sick, Time(1100)));
    cr_assert(outliers.isReachable(Sick, Time(1400)));
}

// An upstream that has ended stays listed for seconds, and a silent host keeps each request that is sent to it.
Test(outliers, upstreamThatHasEndedGetsNothingUntilItStartsAgainOrAnswers)
{
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(9));
    outliers.onStarted(Sick);
    outliers.onEnded(Sick, Time(1000));
    cr_assert_not(outliers.isReachable(Sick, Time(3900)));
    cr_assert(outliers.isReachable(Sick, Time(4000)));
    outliers.onEnded(Sick, Time(4000));
    outliers.onStarted(Sick);
    cr_assert(outliers.isReachable(Sick, Time(4001)));
    outliers.onEnded(Sick, Time(4002));
    outliers.onSuccess(Sick, Time(4100));
    cr_assert(outliers.isReachable(Sick, Time(4101)), "it has not ended after all");
}

// Engines come and go all day under new ids. If removed engines counted as ejected, the limit of a third would soon be reached, and the
// next failing engine would keep getting requests.
Test(outliers, removedUpstreamsDoNotCountAsEjected)
{
    OutlierDetector outliers({});
    for (int old = 0; old < 4; ++old) {
        const UpstreamId gone("gone" + std::to_string(old));
        outliers.onSuccess(UpstreamId("well"), Time(1));
        for (int i = 0; i < 9; ++i) {
            outliers.onFailure(gone, Time(i));
        }
        outliers.remove(gone);
    }
    cr_assert_eq(outliers.ejectedCount(Time(10)), 0);
}

Test(outliers, aFailingUpstreamIsEjectedAndStartsSlowly)
{
    // One engine of nine hangs. Without ejection each request sent there would lose an attempt; with its full share right after its return
    // it would fail again.
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(9));
    for (int i = 0; i < 4; ++i) {
        outliers.onFailure(Sick, Time(i));
    }
    cr_assert_not(outliers.isEjected(Sick, Time(4)));
    outliers.onFailure(Sick, Time(4));
    cr_assert_eq(outliers.share(Sick, Time(5)), 0);
    const Time back = Time(4) + OutlierLimits {}.baseEjectionTime;
    cr_assert_not(outliers.isEjected(Sick, back));
    cr_assert_float_eq(outliers.share(Sick, back), 0.1, 1e-9);
    cr_assert_float_eq(outliers.share(Sick, back + Duration(5000)), 0.5, 1e-9);
    cr_assert_eq(outliers.share(Sick, back + Duration(10'000)), 1);
}

Test(outliers, aFlappingUpstreamIsEjectedForLongerEachTime)
{
    // An upstream works briefly after each restart and fails again. With ejections of constant length it would fail requests every few
    // seconds.
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(9));
    int failures = 0;
    for (int second = 0; second < 600; ++second) {
        const Time now(second * 1000);
        if (!outliers.isEjected(Sick, now)) {
            outliers.onFailure(Sick, now);
            ++failures;
        }
    }
    cr_assert_leq(failures, 20);
}

Test(outliers, aFaultOfAllUpstreamsEjectsNone)
{
    // A bad adapter fails on every engine, or all engines are overloaded. Each ejection would move load to the others, until requests for
    // good adapters have no upstream at all.
    OutlierDetector outliers({});
    const auto all = upstreams(9);
    outliers.setUpstreams(all);
    for (int i = 0; i < 100; ++i) {
        for (const UpstreamId &id : all) {
            outliers.onFailure(id, Time(i));
        }
    }
    cr_assert_eq(outliers.ejectedCount(Time(100)), 0);
}

Test(outliers, atMostAThirdIsEjectedAndASingleUpstreamNever)
{
    // Five of nine engines fail at once. The other four cannot bear the whole load, so some of the failing ones must still get requests.
    OutlierDetector outliers({});
    const auto all = upstreams(9);
    outliers.setUpstreams(all);
    for (int i = 0; i < 100; ++i) {
        for (std::size_t k = 0; k < all.size(); ++k) {
            k < 5 ? outliers.onFailure(all[k], Time(i)) : outliers.onSuccess(all[k], Time(i));
        }
    }
    cr_assert_eq(outliers.ejectedCount(Time(100)), 3);
    for (const int count : { 1, 2 }) {
        OutlierDetector few({});
        few.setUpstreams(upstreams(count));
        for (int i = 0; i < 100; ++i) {
            few.onFailure(Sick, Time(i));
        }
        cr_assert_eq(few.isEjected(Sick, Time(100)), count == 2);
    }
}

Test(outliers, aRestartedUpstreamStartsWithASmallShare)
{
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(3));
    outliers.onRestart(Sick, Time(1000));
    cr_assert_float_eq(outliers.share(Sick, Time(1000)), 0.1, 1e-9);
    cr_assert_eq(outliers.share(Sick, Time(12'000)), 1);
}

Test(concurrencylimit, theLimitFollowsASlowdownAndARecovery)
{
    // A noisy neighbour makes an engine three times slower for a while. Requests sent at the old rate would wait inside the engine, where
    // urgent ones cannot overtake; after the slowdown the engine must get its full batch again.
    ConcurrencyLimit limit({ 1, 16 });
    Time now(0);
    const auto run = [&](int samples, int milliseconds) {
        for (int i = 0; i < samples; ++i) {
            now = now + Duration(10);
            limit.onSample(Duration(milliseconds), limit.limit(), now);
        }
    };
    run(200, 100);
    cr_assert_eq(limit.limit(), 16);
    run(50, 300);
    cr_assert_leq(limit.limit(), 3);
    cr_assert_geq(limit.limit(), 1);
    run(200, 100);
    cr_assert_eq(limit.limit(), 16);
}

Test(concurrencylimit, droppedRequestsHalveTheLimitOncePerWindow)
{
    ConcurrencyLimit limit({ 1, 16 });
    for (int i = 0; i < 16; ++i) {
        limit.onDropped(Time(1000 + i));
    }
    cr_assert_eq(limit.limit(), 8);
}

// A hundred nodes restart together and know only a few others at first, so each takes a quarter of the fleet's retry budget. Once a node
// knows all others, it must lose the retries saved beyond its part; otherwise failing upstreams get many times the allowed retries.
Test(retrybudget, aSmallerReserveRemovesSavedRetries)
{
    RetryBudget budget({ 0.1, 50, 0 }, Time(0));
    cr_assert_eq(budget.available(Time(0)), 50);
    budget.setLimits({ 0.1, 2, 0 }, Time(0));
    cr_assert_eq(budget.available(Time(0)), 2);
    for (int i = 0; i < 100; ++i) {
        budget.onSuccess(Time(0));
    }
    cr_assert_eq(budget.available(Time(0)), 2);
}
