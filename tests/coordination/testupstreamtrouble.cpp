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

Test(retrybudget, aRetryStormIsHeldToAShareOfTheTraffic)
{
    // All upstreams fail for a while and every request wants two more attempts. Unbounded, the fleet would get three times its load just
    // when it is weakest, and callers would see the outage last after its cause is gone.
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

Test(retrybudget, aQuietNodeMayStillRepeatALoneFailure)
{
    RetryBudget budget({ 0.1, 1, 0.5 }, Time(0));
    cr_assert(budget.take(Time(0)));
    cr_assert_not(budget.take(Time(1000)));
    cr_assert(budget.take(Time(2000)));
}

Test(attempt, aPaymentThatMayHaveBeenSentIsNeverRepeated)
{
    // The service dies after it took the payment. The caller must learn that the outcome is unknown; a second try could charge twice.
    Retrying retrying;
    for (const AttemptPhase phase : { AttemptPhase::Sending, AttemptPhase::Unknown, AttemptPhase::Answered }) {
        cr_assert_not(retrying.triesAgain({ phase, ErrorKind::UpstreamFailed }, facts(Idempotency::NonIdempotent)));
    }
    cr_assert(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::UpstreamUnreachable }, facts(Idempotency::NonIdempotent)));
}

Test(attempt, anAnswerThatTheCallerHasBegunToReadIsNotBegunAnew)
{
    // An engine dies in the middle of a stream. Begun anew, the caller would read the first half twice.
    Retrying retrying;
    RetryContext begun = facts(Idempotency::Idempotent);
    begun.hasSentToCaller = true;
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Unknown, ErrorKind::UpstreamFailed }, begun));
}

Test(attempt, nothingIsTriedPastTheDeadlineOrForTheCallersOwnFault)
{
    Retrying retrying;
    const AttemptFailure unreachable { AttemptPhase::Queued, ErrorKind::UpstreamUnreachable };
    cr_assert_not(retrying.triesAgain(unreachable, facts(Idempotency::Idempotent), Time(10'000)));
    cr_assert_not(retrying.triesAgain(unreachable, facts(Idempotency::Idempotent, 3)));
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::CallerGone }, facts(Idempotency::Idempotent)));
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Answered, ErrorKind::BadRequest }, facts(Idempotency::Idempotent)));
    cr_assert_eq(timeLeft(Time(10), Time(500)), Duration(1));
}

Test(attempt, aMissingAdapterIsReloadedWhereItWasWithoutBudget)
{
    // An engine restarted and lost its adapters: a whole batch is refused at once, before anything ran. Each must get its answer.
    Retrying retrying;
    retrying.budget = RetryBudget({ 0.1, 0, 0 }, Time(0));
    const auto decision = decideRetry({ AttemptPhase::Answered, ErrorKind::UpstreamRefused, true }, facts(Idempotency::Idempotent), {},
        retrying.budget, retrying.random, Time(1));
    cr_assert(std::holds_alternative<TryAgain>(decision));
    cr_assert(std::get<TryAgain>(decision).target == RetryTarget::SameUpstream);
    cr_assert_not(retrying.triesAgain({ AttemptPhase::Queued, ErrorKind::UpstreamUnreachable }, facts(Idempotency::Idempotent)));
}

// An engine crashed a moment ago and is still listed. Its adapters stand nowhere else, so each waiting request tries it again at each look:
// thousands of connections that cannot be made, and no node has time left for the callers that could be served.
Test(outliers, anUnreachableUpstreamIsLeftAloneForAWhile)
{
    OutlierDetector outliers({});
    outliers.setUpstreams(upstreams(9));
    cr_assert(outliers.isReachable(Sick, Time(1000)));
    outliers.onUnreachable(Sick, Time(1000));
    cr_assert_not(outliers.isReachable(Sick, Time(1100)));
    cr_assert(outliers.isReachable(Sick, Time(1400)));
}

// Engines come and go all day under new ids. If those that are gone stayed among the ejected, a third of all would soon be, and the next
// one that fails would go on getting requests.
Test(outliers, thoseThatAreGoneDoNotCountAsEjected)
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

Test(outliers, aFailingUpstreamIsEjectedAndReturnsSlowly)
{
    // One engine of nine hangs. Its callers would each lose an attempt; after its return a full share at once would fail it again.
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

Test(outliers, aFlappingUpstreamIsOutForLongerEachTime)
{
    // An upstream works for a moment after each restart and fails again. Callers would meet it anew every few seconds.
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

Test(outliers, aFaultThatAllShareEjectsNone)
{
    // A bad adapter fails on every engine, or all of them are overloaded. Each ejection would push its load onto the rest, until callers
    // of good adapters find no upstream at all.
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

Test(outliers, noMoreThanAThirdIsEjectedAndALoneOneNever)
{
    // Five of nine engines fail at once. The other four cannot bear the load of all; some of the failing ones must go on being tried.
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

Test(concurrencylimit, aSlowUpstreamGetsLessAndIsFilledAgainWhenWell)
{
    // A noisy neighbour makes an engine three times slower for a while. Work sent on at the old rate would wait inside the engine, where
    // urgent requests cannot pass; after the trouble the engine must not stay half empty.
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

Test(concurrencylimit, droppedRequestsHalveItOnceAWindow)
{
    ConcurrencyLimit limit({ 1, 16 });
    for (int i = 0; i < 16; ++i) {
        limit.onDropped(Time(1000 + i));
    }
    cr_assert_eq(limit.limit(), 8);
}

// A hundred nodes restart together and hear of a few others first, so each takes a fourth of the fleet's allowance for its own. Once it
// hears of all, what it saved up beyond its part is gone; else upstreams that fail get many times the repeats that the operators allow.
Test(retrybudget, aSmallerPartTakesBackWhatWasSavedUp)
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
