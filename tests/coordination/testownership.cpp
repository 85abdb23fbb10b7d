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

// An owner and an upstream that remembers the highest token it has received and answers at once.
struct OwnershipFixture
{
    explicit OwnershipFixture(bool checksFencing)
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
    bool reportsToken = true;
    int claims = 0;

    void handle(const OwnershipEvent &event)
    {
        for (const OwnershipAction &action : ownership.handle(event, now)) {
            if (std::holds_alternative<RequestReport>(action) && isReachable) {
                const auto reportedToken = reportsToken ? std::optional(highest) : std::nullopt;
                handle(OwnershipReport { now, reportedToken, loaded, inUse });
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

Test(ownership, aTakeoverClaimsAHigherTokenWithTheNodesNumber)
{
    OwnershipFixture fixture(true);
    fixture.highest = FencingToken((9ULL << 16U) | 3U);
    fixture.run(Duration(200));
    const auto token = fixture.ownership.loadToken(fixture.now);
    cr_assert(token.has_value());
    cr_assert_gt(token->value() >> 16U, 9);
    cr_assert_eq(token->value() & 0xffffU, OwnNumber);
    cr_assert(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, nothingIsEvictedBeforeTheSettleTimeIsOver)
{
    // The former owner may still consider itself the owner and send requests; an early eviction would break off their answers.
    OwnershipFixture fixture(true);
    fixture.highest = FencingToken(1U << 16U);
    fixture.run(Duration::seconds(9));
    cr_assert_not(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
    fixture.run(Duration::seconds(4));
    cr_assert(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
}

Test(ownership, anAdapterReportedInUseIsNotEvicted)
{
    OwnershipFixture fixture(true);
    fixture.inUse = { adapter("a") };
    fixture.run(Duration::seconds(20));
    cr_assert_not(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
    cr_assert(fixture.ownership.evictToken(adapter("b"), fixture.now).has_value());
}

Test(ownership, withoutFencingANewOwnerDoesNotDispatchBeforeTheSettleTimeIsOver)
{
    // This upstream does not check tokens, so the last eviction of the former owner may still arrive and hit requests of the new owner.
    OwnershipFixture fixture(false);
    fixture.highest = FencingToken(1U << 16U);
    fixture.run(Duration::seconds(9));
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
    cr_assert(fixture.ownership.loadToken(fixture.now).has_value());
    fixture.run(Duration::seconds(3));
    cr_assert(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, anUpstreamWithoutFormerOwnerIsUsedAtOnce)
{
    OwnershipFixture fixture(false);
    fixture.run(Duration(200));
    cr_assert(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, anUpstreamClaimedByAnotherNodeIsNotUsedAtOnce)
{
    // Two nodes find a new engine at the same time. The other node uses it for a while before this node's claim, so its evictions may still
    // arrive. Guards against a dispatch before the settle time, as found with seed 1390 of the exploration.
    OwnershipFixture fixture(false);
    fixture.run(Duration(200));
    fixture.view.isFresh = false;
    fixture.highest = FencingToken(1ULL << 40U);
    fixture.run(Duration::seconds(2));
    fixture.view.isFresh = true;
    fixture.run(Duration::seconds(5));
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
    fixture.run(Duration::seconds(10));
    cr_assert(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, anOwnerThatWasPausedGivesNoOrders)
{
    // The process was paused for a minute. Its state still says that it owns the upstream, but another node may have taken over.
    OwnershipFixture fixture(true);
    fixture.run(Duration::seconds(20));
    fixture.now = fixture.now + Duration::seconds(60);
    cr_assert_not(fixture.ownership.loadToken(fixture.now).has_value());
    cr_assert_not(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, aFormerOwnerStopsAfterAReportWithAHigherToken)
{
    // In a partition the other side takes over the upstream. No other node answers on this side, so the view is not fresh.
    OwnershipFixture fixture(true);
    fixture.run(Duration::seconds(20));
    fixture.view.isFresh = false;
    fixture.highest = FencingToken(UINT64_MAX - 5);
    fixture.run(Duration::seconds(2));
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
    cr_assert_eq(fixture.claims, 1);
}

Test(ownership, anOwnerWithoutReportsStopsWithinTheLease)
{
    OwnershipFixture fixture(true);
    fixture.run(Duration::seconds(20));
    fixture.isReachable = false;
    fixture.run(Duration::seconds(5));
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
}

Test(ownership, ownersThatClaimInTurnDispatchButDoNotEvict)
{
    // Both sides of a partition reach the upstream and each considers itself the owner.
    OwnershipFixture fixture(true);
    for (int i = 0; i < 20; ++i) {
        fixture.highest = FencingToken(fixture.highest.value() + (1ULL << 40U));
        fixture.run(Duration::seconds(2));
        cr_assert(fixture.ownership.mayDispatch(fixture.now));
        cr_assert_not(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
    }
}

Test(ownership, withoutReportedTokensNothingIsEvictedWhileANodeIsMissing)
{
    OwnershipFixture fixture(false);
    fixture.reportsToken = false;
    fixture.view.isNodeMissing = true;
    fixture.run(Duration::seconds(60));
    cr_assert_not(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
    fixture.view.isNodeMissing = false;
    fixture.run(Duration::seconds(12));
    cr_assert(fixture.ownership.evictToken(adapter("a"), fixture.now).has_value());
}

Test(ownership, aClaimWithoutAnswerIsRepeated)
{
    // Guards against an engine without an owner because a node waits forever for the answer to a claim that was lost in flight.
    UpstreamOwnership ownership(OwnershipFixture::limitsFor(true), 1);
    ownership.handle(OwnerView { true, true, false, OwnNumber }, Time(10'000));
    ownership.handle(OwnershipReport { Time(10'000), FencingToken(5), {}, {} }, Time(10'001));
    ownership.handle(ClaimFailed {}, Time(10'100));
    ownership.handle(OwnerView { true, true, false, OwnNumber }, Time(10'200));
    const auto actions = ownership.handle(OwnershipReport { Time(10'200), FencingToken(5), {}, {} }, Time(10'201));
    cr_assert(std::any_of(actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<Claim>(action); }));
}

Test(ownership, aNodeThatIsNoLongerOwnerStopsAtOnce)
{
    OwnershipFixture fixture(true);
    fixture.run(Duration::seconds(20));
    fixture.view.isOwner = false;
    fixture.run(Duration(100));
    cr_assert_not(fixture.ownership.mayDispatch(fixture.now));
    cr_assert(fixture.ownership.ownedSince() == Time::never());
}
