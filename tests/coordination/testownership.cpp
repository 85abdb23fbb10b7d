#include "coordination/ownership.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::uint16_t OwnNumber = 7;

AdapterKey adapter(const char *id)
{
    return { AdapterId(id), AdapterVersion("1") };
}

// One owner before an upstream that keeps the highest token it was shown and answers at once.
struct Bench
{
    explicit Bench(bool checksFencing)
        : ownership(limitsFor(checksFencing), 1)
    {
    }

    static OwnershipLimits limitsFor(bool checksFencing)
    {
        OwnershipLimits limits;
        limits.checksFencing = checksFencing;
        return limits;
    }

    UpstreamOwnership ownership;
    OwnerView view { true, true, false, OwnNumber };
    Time now { 10'000 };
    FencingToken highest;
    std::vector<AdapterKey> loaded;
    std::vector<AdapterKey> inUse;
    bool isReachable = true;
    bool tellsToken = true;
    int claims = 0;

    void handle(const OwnershipEvent &event)
    {
        for (const OwnershipAction &action : ownership.handle(event, now)) {
            if (std::holds_alternative<RequestReport>(action) && isReachable) {
                const auto told = tellsToken ? std::optional(highest) : std::nullopt;
                handle(OwnershipReport { now, told, loaded, inUse });
            } else if (std::holds_alternative<RequestReport>(action)) {
                handle(ReportFailed {});
            } else if (const auto *claim = std::get_if<Claim>(&action)) {
                ++claims;
                highest = std::max(highest, claim->token);
                handle(ClaimAccepted { claim->token });
            }
        }
    }
    void run(Duration span)
    {
        for (const Time end = now + span; now < end; now = now + Duration(100)) {
            handle(view);
        }
    }
};

} // namespace

Test(ownership, aTakeoverGoesAboveTheHighestTokenAndEndsInTheOwnNumber)
{
    Bench bench(true);
    bench.highest = FencingToken((9ULL << 16U) | 3U);
    bench.run(Duration(200));
    const auto token = bench.ownership.loadToken(bench.now);
    cr_assert(token.has_value());
    cr_assert_gt(token->value() >> 16U, 9);
    cr_assert_eq(token->value() & 0xffffU, OwnNumber);
    cr_assert(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, nothingIsEvictedUntilAFormerOwnerHasSurelyStopped)
{
    // The former owner may still believe that it owns the upstream and send to it. An eviction then breaks its answer off midway.
    Bench bench(true);
    bench.highest = FencingToken(1U << 16U);
    bench.run(Duration::seconds(9));
    cr_assert_not(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
    bench.run(Duration::seconds(4));
    cr_assert(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
}

Test(ownership, whatTheReportShowsInUseIsNotEvicted)
{
    Bench bench(true);
    bench.inUse = { adapter("a") };
    bench.run(Duration::seconds(20));
    cr_assert_not(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
    cr_assert(bench.ownership.evictToken(adapter("b"), bench.now).has_value());
}

Test(ownership, withoutFencingANewOwnerDoesNotEvenDispatchBefore)
{
    // This upstream obeys anybody, so the former owner's last eviction may still come and hit what the new owner sends.
    Bench bench(false);
    bench.highest = FencingToken(1U << 16U);
    bench.run(Duration::seconds(9));
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
    cr_assert(bench.ownership.loadToken(bench.now).has_value());
    bench.run(Duration::seconds(3));
    cr_assert(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, anUpstreamThatNobodyOrderedYetIsUsedAtOnce)
{
    Bench bench(false);
    bench.run(Duration(200));
    cr_assert(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, anUpstreamThatAnotherNodeClaimedIsNoLongerUntouched)
{
    // Two nodes find a new engine at the same time. The other one works there for a while before this one's claim; its evictions may
    // still come. Seed 1390 of the exploration showed this one dispatching at once.
    Bench bench(false);
    bench.run(Duration(200));
    bench.view.isFresh = false;
    bench.highest = FencingToken(1ULL << 40U);
    bench.run(Duration::seconds(2));
    bench.view.isFresh = true;
    bench.run(Duration::seconds(5));
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
    bench.run(Duration::seconds(10));
    cr_assert(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, anOwnerThatWakesLateGivesNoOrders)
{
    // The process stood still for a minute. Its own memory says that it owns the upstream; the other nodes have long gone on.
    Bench bench(true);
    bench.run(Duration::seconds(20));
    bench.now = bench.now + Duration::seconds(60);
    cr_assert_not(bench.ownership.loadToken(bench.now).has_value());
    cr_assert_not(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, aFormerOwnerStopsWhenTheReportShowsAHigherToken)
{
    // A partition: the other side took the upstream over, and here nobody answers, so the view is not fresh.
    Bench bench(true);
    bench.run(Duration::seconds(20));
    bench.view.isFresh = false;
    bench.highest = FencingToken(UINT64_MAX - 5);
    bench.run(Duration::seconds(2));
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
    cr_assert_eq(bench.claims, 1);
}

Test(ownership, aFormerOwnerThatHearsNothingStopsWithinTheLease)
{
    Bench bench(true);
    bench.run(Duration::seconds(20));
    bench.isReachable = false;
    bench.run(Duration::seconds(5));
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
}

Test(ownership, twoSidesThatClaimInTurnServeButNeverEvict)
{
    // Both sides of a partition reach the upstream and each takes itself for the owner.
    Bench bench(true);
    for (int i = 0; i < 20; ++i) {
        bench.highest = FencingToken(bench.highest.value() + (1ULL << 40U));
        bench.run(Duration::seconds(2));
        cr_assert(bench.ownership.mayDispatch(bench.now));
        cr_assert_not(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
    }
}

Test(ownership, whereNoTokenIsToldDoubtLastsWhileANodeIsMissing)
{
    Bench bench(false);
    bench.tellsToken = false;
    bench.view.isNodeMissing = true;
    bench.run(Duration::seconds(60));
    cr_assert_not(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
    bench.view.isNodeMissing = false;
    bench.run(Duration::seconds(12));
    cr_assert(bench.ownership.evictToken(adapter("a"), bench.now).has_value());
}

Test(ownership, aClaimWithoutAnswerIsMadeAgain)
{
    // The claim is lost on its way. A node that waited for its answer for ever would leave the engine without an owner.
    UpstreamOwnership ownership(Bench::limitsFor(true), 1);
    ownership.handle(OwnerView { true, true, false, OwnNumber }, Time(10'000));
    ownership.handle(OwnershipReport { Time(10'000), FencingToken(5), {}, {} }, Time(10'001));
    ownership.handle(ClaimFailed {}, Time(10'100));
    ownership.handle(OwnerView { true, true, false, OwnNumber }, Time(10'200));
    const auto actions = ownership.handle(OwnershipReport { Time(10'200), FencingToken(5), {}, {} }, Time(10'201));
    cr_assert(std::any_of(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<Claim>(action); }));
}

Test(ownership, aLostOwnershipIsLostAtOnce)
{
    Bench bench(true);
    bench.run(Duration::seconds(20));
    bench.view.isOwner = false;
    bench.run(Duration(100));
    cr_assert_not(bench.ownership.mayDispatch(bench.now));
    cr_assert(bench.ownership.ownedSince() == Time::never());
}
