#include "coordination/ownership.h"

#include "core/result.h"

#include <algorithm>
#include <random>

namespace ApricotStep
{

namespace
{

constexpr std::uint64_t NumberBits = 16;
// Two nodes that drew the same number on two sides of a partition still have to draw the same step to make equal tokens.
constexpr std::uint64_t MaxCounterStep = 1U << 16U;

} // namespace

struct UpstreamOwnership::Private
{
    OwnershipLimits limits;
    std::mt19937_64 random;
    OwnerView view;
    Time viewAt;
    Time ownedSince = Time::never();
    Time missingSince;
    FencingToken token;
    /** When the upstream was first known to hold the token as its highest, without a break since. */
    Time claimedAt = Time::never();
    /** Earliest moment that the newest report speaks of in which the token was the highest. */
    Time heldAt;
    /** The newest report; empty inUse when none came. */
    OwnershipReport report;
    bool hasReport = false;
    bool isAsking = false;
    bool isClaiming = false;
    Time claimSentAt;
    /** Nothing was ever ordered there since the upstream started, so no former owner can act. */
    bool isUntouched = false;
    Time nextAsk;
    std::optional<EvictionRule> rule;
    std::vector<OwnershipAction> actions;

    void on(const OwnerView &event, Time now);
    void on(const OwnershipReport &event, Time now);
    void on(const ReportFailed &event, Time now);
    void on(const ClaimAccepted &event, Time now);
    void on(const ClaimFailed &event, Time now);
    void on(const OrderFenced &event, Time now);

    void giveUp();
    void claimAbove(FencingToken highest, Time now);
    void askWhenDue(Time now);
    void tellRule(Time now);
    bool isViewGood(Time now) const;
    bool isHeld(Time now) const;
    bool isSettled(Time now) const;
    bool mayEvictAny(Time now) const;
    bool isInUse(const AdapterKey &adapter) const;
};

// A node that was paused finds its own view of a moment ago here; the gap tells.
bool UpstreamOwnership::Private::isViewGood(Time now) const
{
    return view.isOwner && view.isFresh && now - viewAt < limits.viewMaxAge;
}

bool UpstreamOwnership::Private::isHeld(Time now) const
{
    return claimedAt != Time::never() && now - heldAt < limits.lease;
}

bool UpstreamOwnership::Private::isSettled(Time now) const
{
    return claimedAt != Time::never() && now - claimedAt >= limits.settleTime();
}

void UpstreamOwnership::Private::giveUp()
{
    ownedSince = Time::never();
    claimedAt = Time::never();
    hasReport = false;
    isClaiming = false;
    isUntouched = false;
    report = {};
}

void UpstreamOwnership::Private::claimAbove(FencingToken highest, Time now)
{
    const std::uint64_t counter = (highest.value() >> NumberBits) + 1 + random() % MaxCounterStep;
    token = FencingToken((counter << NumberBits) | view.number);
    claimedAt = Time::never();
    isClaiming = true;
    claimSentAt = now;
    actions.emplace_back(Claim { token });
}

void UpstreamOwnership::Private::on(const OwnerView &event, Time now)
{
    const bool hasGap = now - viewAt >= limits.viewMaxAge;
    if (event.isNodeMissing || hasGap) {
        missingSince = now;
    }
    const bool hasNewNumber = event.number != view.number;
    view = event;
    viewAt = now;
    if (!event.isOwner) {
        giveUp();
        return;
    }
    // Not giving up on a stale view: when nobody else has claimed the upstream meanwhile, the next report says so.
    if (event.isFresh && ownedSince == Time::never()) {
        ownedSince = now;
        nextAsk = now;
    }
    if (hasNewNumber && hasReport && event.isFresh) {
        claimAbove(std::max(token, report.highest.value_or(FencingToken())), now);
    }
    askWhenDue(now);
}

void UpstreamOwnership::Private::askWhenDue(Time now)
{
    if (ownedSince != Time::never() && !isAsking && now >= nextAsk) {
        isAsking = true;
        nextAsk = now + limits.pollInterval;
        actions.emplace_back(RequestReport {});
    }
}

void UpstreamOwnership::Private::on(const OwnershipReport &event, Time now)
{
    isAsking = false;
    if (ownedSince == Time::never()) {
        return;
    }
    const bool isFirst = !hasReport;
    report = event;
    hasReport = true;
    const FencingToken highest = event.highest.value_or(FencingToken());
    const bool isUnclaimed = event.highest.has_value() && highest == FencingToken();
    if (isFirst) {
        isUntouched = isUnclaimed && event.loaded.empty() && event.inUse.empty();
    } else if (!isUnclaimed && highest != token) {
        // Somebody else ordered there since, and may do so again.
        isUntouched = false;
    }
    if (!event.highest.has_value()) {
        // Nobody can tell who else orders there. The token is still sent, and doubt lasts while a node is missing.
        if (isFirst) {
            claimAbove(highest, now);
        }
        heldAt = event.takenAt;
        return;
    }
    if (highest == token && token != FencingToken()) {
        claimedAt = std::min(claimedAt, now);
        heldAt = std::max(heldAt, event.takenAt);
        isClaiming = false;
    } else if (highest < token && !isFirst && (isClaiming || (claimedAt != Time::never() && event.takenAt < claimedAt))) {
        return; // The claim is on its way, or the report may speak of the time before it.
    } else if (isViewGood(now)) {
        // Somebody else claimed it, or the upstream restarted and forgot. Both sides of a partition may claim in turn; each then serves
        // what is loaded, and neither holds its claim for long enough to evict.
        claimAbove(std::max(token, highest), now);
    } else {
        claimedAt = Time::never();
        isClaiming = false;
    }
}

void UpstreamOwnership::Private::on(const ReportFailed &, Time)
{
    isAsking = false;
}

void UpstreamOwnership::Private::on(const ClaimAccepted &event, Time now)
{
    if (event.token != token || ownedSince == Time::never() || !isClaiming) {
        return;
    }
    isClaiming = false;
    claimedAt = now;
    heldAt = claimSentAt;
}

void UpstreamOwnership::Private::on(const ClaimFailed &, Time now)
{
    isClaiming = false;
    nextAsk = now;
}

void UpstreamOwnership::Private::on(const OrderFenced &, Time now)
{
    claimedAt = Time::never();
    isClaiming = false;
    nextAsk = now;
}

bool UpstreamOwnership::Private::mayEvictAny(Time now) const
{
    if (!isViewGood(now) || !isHeld(now) || !isSettled(now) || !hasReport) {
        return false;
    }
    const bool isReportLater = report.takenAt >= claimedAt + limits.settleTime();
    const bool isInDoubt = !report.highest.has_value() && now - missingSince < limits.settleTime();
    return isReportLater && !isInDoubt;
}

bool UpstreamOwnership::Private::isInUse(const AdapterKey &adapter) const
{
    return std::find(report.inUse.begin(), report.inUse.end(), adapter) != report.inUse.end();
}

void UpstreamOwnership::Private::tellRule(Time now)
{
    EvictionRule next { mayEvictAny(now), report.inUse };
    if (!rule.has_value() || rule->mayEvict != next.mayEvict || rule->inUseElsewhere != next.inUseElsewhere) {
        rule = next;
        actions.emplace_back(EvictionRuleChanged { std::move(next) });
    }
}

UpstreamOwnership::UpstreamOwnership(OwnershipLimits limits, std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    d->limits = limits;
    d->random.seed(seed);
}

UpstreamOwnership::~UpstreamOwnership() = default;

std::vector<OwnershipAction> UpstreamOwnership::handle(const OwnershipEvent &event, Time now)
{
    d->actions.clear();
    std::visit([&](const auto &what) { d->on(what, now); }, event);
    d->tellRule(now);
    return std::move(d->actions);
}

bool UpstreamOwnership::mayDispatch(Time now) const
{
    // A stale view may not know yet that the upstream is leaving.
    if (!d->isViewGood(now) || !d->isHeld(now)) {
        return false;
    }
    // Where old tokens are not refused, a former owner may still evict until the settle time is over.
    return d->limits.checksFencing || d->isUntouched || d->isSettled(now);
}

std::optional<FencingToken> UpstreamOwnership::loadToken(Time now) const
{
    if (!d->isViewGood(now) || !d->isHeld(now)) {
        return std::nullopt;
    }
    return d->token;
}

std::optional<FencingToken> UpstreamOwnership::evictToken(const AdapterKey &adapter, Time now) const
{
    if (!d->mayEvictAny(now) || d->isInUse(adapter)) {
        return std::nullopt;
    }
    return d->token;
}

Time UpstreamOwnership::ownedSince() const
{
    return d->ownedSince;
}

} // namespace ApricotStep
