#include "coordination/ownership.h"

#include "core/result.h"

#include <algorithm>
#include <random>

namespace ApricotStep
{

namespace
{

constexpr std::uint64_t NumberBits = 16;
// Two nodes that have drawn the same number on the two sides of a partition make equal tokens only if they also draw the same step.
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
    /** Since when the token has been known without interruption to be the highest at the upstream. */
    Time claimedAt = Time::never();
    /** Lower bound of the last time at which the upstream is known to have had the token as its highest; the lease starts here. */
    Time confirmedAt;
    /** The newest report; empty if hasReport is false. */
    OwnershipReport report;
    bool hasReport = false;
    bool isPolling = false;
    bool isClaiming = false;
    Time claimSentAt;
    /** No node has given orders to the upstream since it started, so there is no former owner whose orders could arrive. */
    bool isUntouched = false;
    Time nextPoll;
    std::optional<EvictionRule> rule;
    std::vector<OwnershipAction> actions;

    void on(const OwnerView &event, Time now);
    void on(const OwnershipReport &event, Time now);
    void on(const ReportFailed &event, Time now);
    void on(const ClaimAccepted &event, Time now);
    void on(const ClaimFailed &event, Time now);
    void on(const OrderFenced &event, Time now);

    void relinquish();
    void claimAbove(FencingToken highest, Time now);
    void pollWhenDue(Time now);
    void reportRuleChange(Time now);
    bool isViewCurrent(Time now) const;
    bool isLeaseValid(Time now) const;
    bool isSettled(Time now) const;
    bool mayEvictAny(Time now) const;
    bool isInUse(const AdapterKey &adapter) const;
};

// Checks the age because a node that was paused still has its view from before the pause.
bool UpstreamOwnership::Private::isViewCurrent(Time now) const
{
    return view.isOwner && view.isFresh && now - viewAt < limits.viewMaxAge;
}

bool UpstreamOwnership::Private::isLeaseValid(Time now) const
{
    return claimedAt != Time::never() && now - confirmedAt < limits.lease;
}

bool UpstreamOwnership::Private::isSettled(Time now) const
{
    return claimedAt != Time::never() && now - claimedAt >= limits.settleTime();
}

void UpstreamOwnership::Private::relinquish()
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
        relinquish();
        return;
    }
    // A stale view does not end the ownership: the next report shows whether another node has claimed the upstream meanwhile.
    if (event.isFresh && ownedSince == Time::never()) {
        ownedSince = now;
        nextPoll = now;
    }
    if (hasNewNumber && hasReport && event.isFresh) {
        claimAbove(std::max(token, report.highest.value_or(FencingToken())), now);
    }
    pollWhenDue(now);
}

void UpstreamOwnership::Private::pollWhenDue(Time now)
{
    if (ownedSince != Time::never() && !isPolling && now >= nextPoll) {
        isPolling = true;
        nextPoll = now + limits.pollInterval;
        actions.emplace_back(RequestReport {});
    }
}

void UpstreamOwnership::Private::on(const OwnershipReport &event, Time now)
{
    isPolling = false;
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
        // Another node has given orders since then and may do so again.
        isUntouched = false;
    }
    if (!event.highest.has_value()) {
        // Without tokens in the report other owners cannot be detected. The token is still sent, and the owner counts as uncertain
        // while a node is missing.
        if (isFirst) {
            claimAbove(highest, now);
        }
        confirmedAt = event.takenAt;
        return;
    }
    if (highest == token && token != FencingToken()) {
        claimedAt = std::min(claimedAt, now);
        confirmedAt = std::max(confirmedAt, event.takenAt);
        isClaiming = false;
    } else if (highest < token && !isFirst && (isClaiming || (claimedAt != Time::never() && event.takenAt < claimedAt))) {
        return; // The claim is in flight, or the report may describe a time before it.
    } else if (isViewCurrent(now)) {
        // Another node claimed the upstream, or the upstream restarted and lost the token. Both sides of a partition may claim in turn:
        // each then serves the loaded adapters, and neither keeps its claim for long enough to evict.
        claimAbove(std::max(token, highest), now);
    } else {
        claimedAt = Time::never();
        isClaiming = false;
    }
}

void UpstreamOwnership::Private::on(const ReportFailed &, Time)
{
    isPolling = false;
}

void UpstreamOwnership::Private::on(const ClaimAccepted &event, Time now)
{
    if (event.token != token || ownedSince == Time::never() || !isClaiming) {
        return;
    }
    isClaiming = false;
    claimedAt = now;
    confirmedAt = claimSentAt;
}

void UpstreamOwnership::Private::on(const ClaimFailed &, Time now)
{
    isClaiming = false;
    nextPoll = now;
}

void UpstreamOwnership::Private::on(const OrderFenced &, Time now)
{
    claimedAt = Time::never();
    isClaiming = false;
    nextPoll = now;
}

bool UpstreamOwnership::Private::mayEvictAny(Time now) const
{
    if (!isViewCurrent(now) || !isLeaseValid(now) || !isSettled(now) || !hasReport) {
        return false;
    }
    const bool isReportAfterSettling = report.takenAt >= claimedAt + limits.settleTime();
    const bool isOwnerUncertain = !report.highest.has_value() && now - missingSince < limits.settleTime();
    return isReportAfterSettling && !isOwnerUncertain;
}

bool UpstreamOwnership::Private::isInUse(const AdapterKey &adapter) const
{
    return std::find(report.inUse.begin(), report.inUse.end(), adapter) != report.inUse.end();
}

void UpstreamOwnership::Private::reportRuleChange(Time now)
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
    d->reportRuleChange(now);
    return std::move(d->actions);
}

bool UpstreamOwnership::mayDispatch(Time now) const
{
    // A stale view may not yet contain that the upstream is leaving.
    if (!d->isViewCurrent(now) || !d->isLeaseValid(now)) {
        return false;
    }
    // If the upstream does not refuse old tokens, a former owner may still evict until the settle time is over.
    return d->limits.checksFencing || d->isUntouched || d->isSettled(now);
}

std::optional<FencingToken> UpstreamOwnership::loadToken(Time now) const
{
    if (!d->isViewCurrent(now) || !d->isLeaseValid(now)) {
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
