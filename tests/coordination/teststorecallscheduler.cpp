#include "coordination/storecallscheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr Duration Bound { 2000 };
constexpr Time Start { 10'000 };

/** A store that responds after @p latency, and never to calls started while it is unresponsive. */
struct Store
{
    Time unresponsiveFrom;
    Time unresponsiveUntil;
    Duration latency;

    /** When a call that is started at @p now gets its response. */
    Time replyTime(Time now) const
    {
        return now >= unresponsiveFrom && now < unresponsiveUntil ? Time::never() : now + latency;
    }
};

/**
 * Simulates one node that queries @p store in steps of a millisecond. Returns the time of its first response from @p since on, or never if
 * there is none before @p limit.
 */
Time firstReplyTime(const Store &store, std::uint64_t seed, Time queryAt, Time since, Time limit)
{
    const StoreCallLimits limits = StoreCallLimits::within(Bound);
    StoreCallScheduler node(limits, seed);
    std::vector<Time> open;
    node.ask(limits.longPollTimeout, queryAt);
    for (Time now = queryAt; now < limit; now = now + Duration(1)) {
        const bool isAnswered = std::any_of(open.begin(), open.end(), [now](Time at) { return at <= now; });
        if (isAnswered && now >= since) {
            return now;
        }
        if (isAnswered) {
            open.clear();
            node.onAnswered();
            node.ask(limits.longPollTimeout, now);
        }
        if (node.step(now).isCallDue) {
            open.push_back(store.replyTime(now));
        }
    }
    return Time::never();
}

} // namespace

// Guards against a fleet that misses changes after the store recovers because all of its calls were started just before.
Test(storecallscheduler, recoveryOfTheStoreIsNoticedWithinHalfTheBound)
{
    const Time unresponsiveFrom = Start + Duration(100);
    for (int outage = 200; outage < 9'000; outage += 37) {
        const Store store { unresponsiveFrom, unresponsiveFrom + Duration(outage), Duration(4) };
        for (std::uint64_t node = 0; node < 12; ++node) {
            const Time firstReply = firstReplyTime(store, node, unresponsiveFrom, store.unresponsiveUntil, store.unresponsiveUntil + Bound);
            cr_assert(firstReply - store.unresponsiveUntil <= Duration(Bound.milliseconds() / 2), "unresponsive for %d ms", outage);
        }
    }
}

// Guards against a slow store whose responses are never received because each call is abandoned for the next one.
Test(storecallscheduler, responseOfASlowStoreIsReceived)
{
    const Store store { Time::never(), Time::never(), Duration(1400) };
    const Time firstReply = firstReplyTime(store, 1, Start, Start, Start + Duration(5000));
    cr_assert_eq((firstReply - Start).milliseconds(), 1400);
}

// Guards against a large response over a slow link that is fetched several times in parallel, so that none completes.
Test(storecallscheduler, noCallIsRepeatedWhileAResponseArrives)
{
    StoreCallScheduler node(StoreCallLimits::within(Bound), 1);
    node.ask(Duration(0), Start);
    cr_assert(node.step(Start).isCallDue);
    for (Time now = Start; now < Start + Duration(3000); now = now + Duration(50)) {
        node.onProgress(now);
        cr_assert_not(node.step(now).isCallDue);
        cr_assert_not(node.isOverdue(now));
    }
}

// Guards against calls to a store that rejects them at once being repeated without delay, or so rarely that its recovery is missed.
Test(storecallscheduler, callsThatFailAtOnceAreRetriedWithDelays)
{
    const StoreCallLimits limits = StoreCallLimits::within(Bound);
    StoreCallScheduler node(limits, 1);
    node.ask(limits.longPollTimeout, Start);
    int calls = 0;
    Time last = Start;
    Duration longest;
    for (Time now = Start; now < Start + Duration(10'000); now = now + Duration(1)) {
        if (node.step(now).isCallDue) {
            longest = std::max(longest, now - std::exchange(last, now));
            ++calls;
            node.onFailed(now);
        }
    }
    cr_assert(calls <= 30, "%d calls", calls);
    cr_assert(longest <= Duration(Bound.milliseconds() / 2), "%d ms", static_cast<int>(longest.milliseconds()));
}

// Guards against scope peers that follow a reader which receives nothing: it must detect the lost store before a call fails.
Test(storecallscheduler, unresponsiveStoreCountsAsLostBeforeACallFails)
{
    const StoreCallLimits limits = StoreCallLimits::within(Bound);
    StoreCallScheduler node(limits, 1);
    node.ask(limits.longPollTimeout, Start);
    cr_assert(node.step(Start).isCallDue);
    cr_assert_not(node.isOverdue(Start + limits.longPollTimeout + limits.hedgeDelay));
    cr_assert(node.isOverdue(Start + Bound));
    node.onAnswered();
    cr_assert_not(node.isOverdue(Start + Bound));
}

// Guards against a deployment with a tighter bound whose changes wait for the next poll longer than the bound allows.
Test(storecallscheduler, tighterBoundShortensTheDelays)
{
    const StoreCallLimits limits = StoreCallLimits::within(Duration(600));
    cr_assert(limits.pollDelay + limits.longPollTimeout + limits.hedgeDelay <= Duration(600));
    cr_assert(StoreCallLimits::within(Bound).pollDelay <= Duration(Bound.milliseconds() / 2));
}
