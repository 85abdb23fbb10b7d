#include "coordination/upstreamends.h"

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

constexpr std::int64_t FirstStart = 1'000;
constexpr Time Begin { 500'000 };

UpstreamRecord record(std::int64_t startedAt, const std::string &id = "u", const std::string &address = "10.0.0.1:80")
{
    UpstreamRecord result;
    result.id = UpstreamId(id);
    result.address = address;
    result.startedAt = startedAt;
    return result;
}

/** A request that got no answer, or broke off if @p brokenAt is set. The upstream's clock agrees with this node's but for @p clockError. */
UnansweredRequest unanswered(std::uint64_t content, Time sentAt, std::optional<Time> brokenAt, Duration clockError = Duration())
{
    const CrashSuspect suspect { RequestContent { ContentDigest(content) } };
    return UnansweredRequest { record(FirstStart), suspect, sentAt, sentAt + clockError, std::nullopt, brokenAt };
}

std::vector<std::uint64_t> contentsOf(const UpstreamEnd &end)
{
    std::vector<std::uint64_t> result;
    for (const CrashSuspect &suspect : end.suspects) {
        result.push_back(suspect.content.request.value());
    }
    return result;
}

} // namespace

// A supervisor starts the next process at the same address before this node can see a refused connection.
Test(upstreamends, newStartShowsTheEndOfAnUpstreamThatIsBackAtOnce)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const Time brokenAt = Begin + Duration(30);
    cr_assert_not(ends.onUnanswered(unanswered(7, Begin, brokenAt), brokenAt));
    cr_assert(ends.isSuspected({ UpstreamId("u"), FirstStart }));
    const auto found = ends.onStarted(record((Begin + Duration(40)).milliseconds()), Begin + Duration(700));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].sign, EndSign::NewStart);
    cr_assert_eq(found[0].at, brokenAt);
    cr_assert_eq(found[0].upstream.startedAt, FirstStart);
    cr_assert_eq(contentsOf(found[0]), std::vector<std::uint64_t> { 7 });
    cr_assert_not(ends.isSuspected({ UpstreamId("u"), FirstStart }));
    cr_assert(ends.onStarted(record((Begin + Duration(900)).milliseconds()), Begin + Duration(950)).empty());
}

// The next process has another id, as most new starts have.
Test(upstreamends, anotherUpstreamAtTheAddressShowsTheEnd)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30)), Begin + Duration(30));
    cr_assert(ends.onStarted(record(2'000, "v", "10.0.0.2:80"), Begin + Duration(50)).empty());
    const auto found = ends.onStarted(record(2'000, "v"), Begin + Duration(60));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].upstream.id, UpstreamId("u"));
}

// A host falls silent: nothing is reset or refused, and its entry lapses some seconds later.
Test(upstreamends, lapsedEntryShowsTheEndOfASilentUpstream)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    ends.onUnanswered(unanswered(7, Begin, std::nullopt), Begin + Duration(1500));
    UnansweredRequest stream = unanswered(8, Begin - Duration(300), std::nullopt);
    stream.lastPartAt = Begin + Duration(20);
    ends.onUnanswered(stream, Begin + Duration(4000));
    cr_assert(ends.onLapsed(UpstreamId("other"), Begin + Duration(4000)).empty());
    const auto found = ends.onLapsed(UpstreamId("u"), Begin + Duration(4000));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].sign, EndSign::EntryLapsed);
    cr_assert_eq(found[0].at, Begin + Duration(20), "the last sign of life counts");
    cr_assert_eq(contentsOf(found[0]).size(), 2);
}

// A connection is reset by an upstream that goes on, and restarts some seconds later for another reason.
Test(upstreamends, answerOnAnOlderConnectionClearsTheUpstream)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const UpstreamStart start { UpstreamId("u"), FirstStart };
    const Time brokenAt = Begin + Duration(30);
    ends.onUnanswered(unanswered(7, Begin, brokenAt), brokenAt);
    cr_assert_not(ends.onAnswer(start, Begin, brokenAt + Duration(5)), "it may have been on its way when the upstream ended");
    cr_assert_not(ends.onAnswer(start, brokenAt + Duration(10), brokenAt + Duration(500)), "it may be of the next process");
    cr_assert(ends.onAnswer(start, Begin, brokenAt + Duration(500)));
    cr_assert(ends.onStarted(record((Begin + Duration(3000)).milliseconds()), Begin + Duration(3100)).empty());
}

// A connection is reset long before the upstream restarts.
Test(upstreamends, oldSuspicionIsDropped)
{
    UpstreamEnds ends { UpstreamEndsLimits { Duration::seconds(6) } };
    ends.onUnanswered(unanswered(7, Begin, Begin), Begin);
    const Time later = Begin + Duration::seconds(7);
    ends.onUnanswered(unanswered(8, later, later), later);
    const auto found = ends.onStarted(record(later.milliseconds() + 1), later + Duration(100));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(contentsOf(found[0]), std::vector<std::uint64_t> { 8 });
}

// An upstream ends, is back and ends again before this node has read its first new start: two ends, not one.
Test(upstreamends, eachStartOfASeriesTakesItsOwnRequests)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30)), Begin + Duration(30));
    ends.onUnanswered(unanswered(8, Begin + Duration(300), Begin + Duration(330)), Begin + Duration(330));
    ends.onUnanswered(unanswered(9, Begin + Duration(600), Begin + Duration(630)), Begin + Duration(630));
    const std::int64_t second = (Begin + Duration(50)).milliseconds();
    const std::int64_t third = (Begin + Duration(350)).milliseconds();
    const auto first = ends.onStarted(record(second), Begin + Duration(900));
    const auto next = ends.onStarted(record(third), Begin + Duration(900));
    cr_assert_eq(first.size(), 1);
    cr_assert_eq(contentsOf(first[0]), std::vector<std::uint64_t> { 7 });
    cr_assert_eq(next.size(), 1);
    cr_assert_eq(next[0].upstream.startedAt, second);
    cr_assert_eq(contentsOf(next[0]), std::vector<std::uint64_t> { 8 });
    cr_assert(ends.isSuspected({ UpstreamId("u"), third }), "the third start may live on");
}

// The same where the host refuses connections after each end.
Test(upstreamends, laterStartThatRefusesConnectionsHasEndedToo)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const UpstreamStart start { UpstreamId("u"), FirstStart };
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30)), Begin + Duration(30));
    cr_assert(ends.onConnectionRefused(start, Begin + Duration(40)));
    cr_assert_not(ends.onUnanswered(unanswered(8, Begin + Duration(300), Begin + Duration(330)), Begin + Duration(330)));
    cr_assert_not(ends.onConnectionRefused(start, Begin + Duration(340)));
    const std::int64_t second = (Begin + Duration(200)).milliseconds();
    const auto found = ends.onStarted(record(second), Begin + Duration(700));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].upstream.startedAt, second);
    cr_assert_eq(contentsOf(found[0]), std::vector<std::uint64_t> { 8 });
}

// After the end, a request is sent on a kept connection to the dead process: that is no second end.
Test(upstreamends, requestOnADeadConnectionIsNoFurtherEnd)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30)), Begin + Duration(30));
    cr_assert(ends.onConnectionRefused({ UpstreamId("u"), FirstStart }, Begin + Duration(40)));
    ends.onUnanswered(unanswered(8, Begin + Duration(300), Begin + Duration(301)), Begin + Duration(301));
    cr_assert(ends.onStarted(record((Begin + Duration(3000)).milliseconds()), Begin + Duration(3100)).empty());
}

// A request that was under way when the end became known, and is reported after a pause of this process, belongs to it.
Test(upstreamends, requestThatIsReportedLaterBelongsToTheKnownEnd)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30)), Begin + Duration(30));
    cr_assert(ends.onConnectionRefused({ UpstreamId("u"), FirstStart }, Begin + Duration(40)));
    const auto end = ends.onUnanswered(unanswered(8, Begin + Duration(10), Begin + Duration(500)), Begin + Duration(500));
    cr_assert(end);
    cr_assert_eq(end->at, Begin + Duration(30));
    cr_assert_eq(contentsOf(*end), std::vector<std::uint64_t> { 8 });
}

// The wall clock of this node is ahead of the upstream's, so all requests seem to be sent after the new start.
Test(upstreamends, firstRequestBelongsToTheEndedStartWhateverTheClocks)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const Duration ahead = Duration::seconds(100);
    ends.onUnanswered(unanswered(7, Begin, Begin + Duration(30), ahead), Begin + Duration(30));
    const auto found = ends.onStarted(record((Begin + Duration(50)).milliseconds()), Begin + Duration(700));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(contentsOf(found[0]), std::vector<std::uint64_t> { 7 });
}

// Requests that were sent into the silence of a host have not reached it, though they break off when it is back.
Test(upstreamends, requestsSentIntoTheSilenceAreNotAccused)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const Time backAt = Begin + Duration::seconds(3);
    ends.onUnanswered(unanswered(7, Begin, backAt), backAt);
    ends.onUnanswered(unanswered(8, Begin + Duration(100), backAt), backAt);
    ends.onUnanswered(unanswered(9, Begin + Duration(1200), backAt), backAt);
    const auto found = ends.onStarted(record(backAt.milliseconds()), backAt + Duration(500));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].at, Begin);
    cr_assert_eq(contentsOf(found[0]), (std::vector<std::uint64_t> { 7, 8 }));
}

// An upstream resets the connections of many requests and goes on for long, and then ends under another one.
Test(upstreamends, fewRequestsOfAnUpstreamThatGoesOnAreRemembered)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    Time now = Begin;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        now = now + Duration(100);
        ends.onUnanswered(unanswered(i, now - Duration(20), now), now);
    }
    const auto found = ends.onStarted(record(now.milliseconds() + 1), now + Duration(100));
    cr_assert_eq(found.size(), 1);
    cr_assert_eq(found[0].suspects.size(), UpstreamEndsLimits {}.maxOpen);
    cr_assert_eq(contentsOf(found[0]).back(), 999);
}

// The host answers no node any more, while the store still lists it.
Test(upstreamends, silenceToAllNodesShowsTheEnd)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const UpstreamStart start { UpstreamId("u"), FirstStart };
    cr_assert_not(ends.onSilent(start, Begin), "nobody waits for it");
    ends.onUnanswered(unanswered(7, Begin, std::nullopt), Begin + Duration(1500));
    cr_assert_eq(ends.open().size(), 1);
    const auto end = ends.onSilent(start, Begin + Duration(2000));
    cr_assert(end && end->sign == EndSign::Silence);
    cr_assert_eq(end->at, Begin);
    cr_assert_eq(contentsOf(*end), std::vector<std::uint64_t> { 7 });
    cr_assert(ends.open().empty());
    cr_assert_not(ends.onSilent(start, Begin + Duration(2000)), "it has ended once");
}

// Sound requests were sent to a silent host before anybody knew, and are given up after that.
Test(upstreamends, requestsSentAfterTheLastSignOfLifeAreNotAccusedLater)
{
    UpstreamEnds ends { UpstreamEndsLimits {} };
    const UpstreamStart start { UpstreamId("u"), FirstStart };
    ends.onUnanswered(unanswered(7, Begin, std::nullopt), Begin + Duration(1500));
    cr_assert(ends.onSilent(start, Begin + Duration(2000)));
    cr_assert_not(ends.onUnanswered(unanswered(8, Begin + Duration(900), std::nullopt), Begin + Duration(2500)));
    const auto further = ends.onUnanswered(unanswered(9, Begin + Duration(300), std::nullopt), Begin + Duration(2500));
    cr_assert(further && contentsOf(*further) == std::vector<std::uint64_t> { 9 });
}
