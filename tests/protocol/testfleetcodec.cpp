#include "protocol/eventsplitter.h"
#include "protocol/fleetcodec.h"

#include <random>

#include <chrono>
#include <limits>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

FleetMessage fullMessage()
{
    FleetMessage message;
    message.sender = NodeId("n1");
    message.incarnation = Incarnation(77);
    message.zone = ZoneId("z");
    message.scope = ZoneId("s");
    message.capacity = 0.25;
    message.requestRate = 12.5;
    message.interval = Duration(200);
    message.readRevision = 41;
    message.storeReadingTime = Duration(7300);
    message.isReadingStore = true;
    message.rememberedNodes = 17;
    message.isFleetKnown = true;
    message.reportedNodes = 12;
    message.reportedAgo = Duration(450);
    message.callerAddress = "10.0.0.1:80";
    message.peerAddress = "10.0.0.1:81";
    message.isReady = true;
    message.hasOutdatedKeys = true;
    message.creditQueries = { CreditQuery { accountOf(TeamName("t")), 8, 1200, 200, 300 } };
    message.creditGrants = { CreditGrant { accountOf(TeamName("t")), 7, 900, Duration(150) } };
    message.upstreamLimits = { UpstreamLimitStatement { UpstreamId("u"), 12, 1.5, Duration(40) },
        UpstreamLimitStatement { UpstreamId("v"), 13, std::nullopt, Duration(90) } };
    message.upstreamRests = { UpstreamRest { UpstreamId("w"), 14, Duration(2900) } };
    message.engineSpeeds = { EngineSpeedReport { UpstreamId("w"), 14, 250, Duration(40) },
        EngineSpeedReport { UpstreamId("v"), 13, 78, Duration(1900) } };
    message.leavingUpstreams = { UpstreamStart { UpstreamId("x"), 15 } };
    message.brittleUpstreams = { BrittleStatement { UpstreamId("y"), 16, 5, Duration(20), Duration(10) },
        BrittleStatement { UpstreamId("z"), 17, std::nullopt, Duration(30), std::nullopt } };
    message.unreachableServices = { ServiceName("s1"), ServiceName("s2") };
    const StreamOrigin first { ServiceName("s1"), SoftwareVersion("v1") };
    const StreamOrigin second { ServiceName("s1"), SoftwareVersion() };
    message.begunStreams = { BegunStream { StreamId(21), second, Duration(17) }, BegunStream { StreamId(~0ULL), first, Duration(18) },
        BegunStream { StreamId(23), first, Duration(18) } };
    message.streamQueries = { StreamQuery { StreamId(24), ServiceName("s2") } };
    message.streamAnswers = { StreamAnswer { message.streamQueries.front(), std::nullopt },
        StreamAnswer { StreamQuery { StreamId(25), ServiceName("s1") }, first }, StreamAnswer { StreamQuery {}, second } };
    message.probeRequests = { UpstreamStart { UpstreamId("p"), 19 } };
    message.probeResults = { ProbeResult { { UpstreamId("p"), 19 }, true }, ProbeResult { { UpstreamId("q"), 20 }, false } };
    const RequestContent one { ContentDigest(~0ULL) };
    const RequestContent two { ContentDigest(31), ContentDigest(32), { ContentDigest(33), ContentDigest(34) } };
    message.quarantine.crashes = { CrashReport {
        { UpstreamId("c"), 18 }, Duration(40), { { one, true, Duration(300), Duration(200) }, { two } }, { ServiceName("s"), 9 } } };
    message.quarantine.answers = { AnsweredContent { two.request, Duration(41) },
        AnsweredContent { one.request, Duration(42), AnswerProgress::Begun },
        AnsweredContent { one.request, Duration(43), AnswerProgress::Continued } };
    message.quarantine.held = { HeldContent { one.request, 4, Duration(90), Duration(50), 1, Duration(12), Duration(11) },
        HeldContent { two.request, 3, Duration(80), Duration(60), 0, std::nullopt, Duration(5) } };
    message.configVersion = ConfigVersion(9);
    message.claims = { LeaseClaim { EngineShard(2), FencingToken(5), Duration(30), Time(4) } };
    message.grants = { LeaseGrant { EngineShard(1), NodeId("n2"), Incarnation(3), Time(8), FencingToken(6) } };
    message.uptime = Duration(1234);
    message.lastOrders = { LastOrder { EngineShard(2), Duration(7) } };
    message.releases = { EngineShard(3) };
    message.contacts = { "10.0.0.2:81" };
    message.loads = { UpstreamLoad { UpstreamId("u"), 2, 300, 1200 } };
    message.uses = { AdapterUse { BaseModelId("m"), AdapterId("a"), UpstreamId("u"), 4, true, 3, Duration(-70), SoftwareVersion("v2") } };
    message.engineLoads = { UpstreamLoad { UpstreamId("e7"), 4, 900, 2500 } };
    message.residencies = { EngineResidency {
        UpstreamId("u"), 12, FencingToken(5), 6, { AdapterCopy { BaseModelId("m"), AdapterId("a"), AdapterVersion("1"), true } } } };
    message.store = StoreView { 24.5, Duration(250), Duration(260), Duration(26), true };
    return message;
}

} // namespace

Test(fleetcodec, messageRoundTrips)
{
    const FleetMessage sent = fullMessage();
    const auto decoded = decodeFleetMessage(encodeFleetMessage(sent));
    cr_assert(decoded.isOk());
    const FleetMessage &message = decoded.value();
    cr_assert(message.sender == sent.sender && message.incarnation == sent.incarnation && message.peerAddress == sent.peerAddress);
    cr_assert(message.scope == sent.scope && message.capacity == sent.capacity && message.interval == sent.interval);
    cr_assert_eq(message.rememberedNodes, 17);
    cr_assert(message.isFleetKnown && message.reportedNodes == 12 && message.reportedAgo == Duration(450));
    cr_assert_eq(message.requestRate, 12.5);
    cr_assert(message.hasOutdatedKeys && message.creditQueries == sent.creditQueries && message.creditGrants == sent.creditGrants);
    cr_assert(message.readRevision == 41 && message.isReadingStore);
    cr_assert_eq(message.storeReadingTime.milliseconds(), 7300);
    cr_assert(message.claims.front().ordersIn == Duration(30) && message.claims.front().shard == EngineShard(2));
    cr_assert(message.grants.front().holder == NodeId("n2") && message.grants.front().greatestFence == FencingToken(6));
    cr_assert(message.lastOrders.front().ago == Duration(7) && message.uptime == Duration(1234));
    cr_assert(message.releases == sent.releases && message.contacts == sent.contacts);
    cr_assert(message.loads == sent.loads && message.uses == sent.uses && message.residencies == sent.residencies);
    cr_assert(message.engineLoads == sent.engineLoads);
    cr_assert(message.store == sent.store && message.upstreamLimits == sent.upstreamLimits);
    cr_assert(message.upstreamRests == sent.upstreamRests && message.leavingUpstreams == sent.leavingUpstreams);
    cr_assert(message.brittleUpstreams == sent.brittleUpstreams && message.engineSpeeds == sent.engineSpeeds);
    cr_assert(message.unreachableServices == sent.unreachableServices);
    cr_assert(message.begunStreams == sent.begunStreams);
    cr_assert(message.quarantine == sent.quarantine);
    cr_assert(message.streamQueries == sent.streamQueries && message.streamAnswers == sent.streamAnswers);
    cr_assert(message.probeRequests == sent.probeRequests && message.probeResults == sent.probeResults);
}

// Datagrams may be truncated, modified or sent by other programs. None may crash a node, and one without a sender is rejected.
Test(fleetcodec, malformedMessagesAreRejectedWithoutACrash)
{
    const std::string whole = encodeFleetMessage(fullMessage());
    std::mt19937_64 random(3);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes = whole.substr(0, random() % (whole.size() + 1));
        for (int change = 0; change < 3 && !bytes.empty(); ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        static_cast<void>(decodeFleetMessage(bytes).isOk()); // Any result is accepted; it must not crash.
    }
    cr_assert_not(decodeFleetMessage("").isOk());
    cr_assert_not(decodeFleetMessage(encodeFleetMessage(FleetMessage {})).isOk());
}

// A node plans its heartbeats by the bytes that a report takes; more would exceed what control may use.
Test(fleetcodec, reportOfAnEnginesSpeedTakesNoMoreBytesThanPlanned)
{
    FleetMessage message = fullMessage();
    message.engineSpeeds.clear();
    const std::size_t without = encodeFleetMessage(message).size();
    for (std::size_t i = 0; i < EngineSpeed::MaxReports; ++i) {
        const std::int64_t startedAt = 1'796'428'585'374 + static_cast<std::int64_t>(i) * 1001;
        message.engineSpeeds.push_back(
            EngineSpeedReport { UpstreamId("i-3c58c91f" + std::to_string(10 + i)), startedAt, 251, Duration(1234) });
    }
    const std::size_t bytes = encodeFleetMessage(message).size() - without;
    cr_assert_leq(bytes, EngineSpeed::MaxReports * 32, "%zu bytes", bytes);
}

// Guards against a forged report that makes an engine endlessly slow or infinitely fast, or that counts for longer than a true one.
Test(fleetcodec, forgedEngineSpeedsAreBounded)
{
    FleetMessage sent = fullMessage();
    sent.engineSpeeds.assign(400, EngineSpeedReport { UpstreamId("w"), 14, 65'000, Duration(-7) });
    sent.engineSpeeds.front() = EngineSpeedReport { UpstreamId("v"), 13, 0, Duration(1'000'000) };
    const auto decoded = decodeFleetMessage(encodeFleetMessage(sent));
    cr_assert(decoded.isOk() && decoded.value().engineSpeeds.size() == EngineSpeed::MaxReports);
    const EngineSpeedReport first { UpstreamId("v"), 13, 25, EngineSpeed::Lifetime };
    const EngineSpeedReport last { UpstreamId("w"), 14, 400, Duration(0) };
    cr_assert(decoded.value().engineSpeeds.front() == first && decoded.value().engineSpeeds.back() == last);
}

// Guards against a reception that completes several events and is taken for a single, short gap.
Test(eventsplitter, countsEvents)
{
    const auto countOf = [](std::string_view bytes) {
        EventSplitter splitter;
        splitter.push(bytes);
        return splitter.count();
    };
    cr_assert_eq(countOf(""), 0);
    cr_assert_eq(countOf("id: 1\ndata: a\n\n"), 1);
    cr_assert_eq(countOf("data: a\r\n\r\n\r\ndata: b\n\n\ndata: c\n\n"), 3);
}

// A stream arrives in pieces that end anywhere. Only whole events are returned, byte for byte, and the id of the last one is kept.
Test(eventsplitter, emitsOnlyWholeEvents)
{
    EventSplitter splitter;
    cr_assert(splitter.push("id: 1\nda").empty());
    cr_assert(splitter.push("ta: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    cr_assert(splitter.lastId() == "1");
    cr_assert(splitter.partialEvent() == "id: 2\nda");
    splitter.discardPartialEvent();
    cr_assert(splitter.push("id:3\r\ndata: c\r\n\r\n") == "id:3\r\ndata: c\r\n\r\n");
    cr_assert(splitter.lastId() == "3");
}

// A delimiter that arrives in several pieces ends its event, wherever they are cut.
Test(eventsplitter, delimitersMayArriveInPieces)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            EventSplitter splitter;
            std::string events = splitter.push(stream.substr(0, first));
            events += splitter.push(stream.substr(first, second - first));
            events += splitter.push(stream.substr(second));
            cr_assert(events == stream);
            cr_assert(splitter.lastId() == "3");
            cr_assert_eq(splitter.count(), 3);
        }
    }
}

// Guards against lengths of answers that include blank lines, and comments that keep a connection alive.
Test(eventsplitter, countsEventsWithData)
{
    EventSplitter splitter;
    splitter.push("data: a\n\n\n\n: alive\n\nid: 2\n\ndata: b\ndata: c\n\r\n");
    cr_assert_eq(splitter.count(), 2);
    splitter.push("data: d\n");
    splitter.discardPartialEvent();
    cr_assert_eq(splitter.count(), 2);
}

// An event without end made each part cost as much as all before it together.
Test(eventsplitter, costOfAPartDoesNotGrowWithTheEvent)
{
    constexpr int Parts = 4000;
    const std::string part(8000, 'x');
    EventSplitter splitter;
    const auto timeOf = [&](int parts) {
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < parts; ++i) {
            cr_assert(splitter.push(part).empty());
        }
        return std::chrono::steady_clock::now() - begin;
    };
    timeOf(Parts / 2);
    cr_assert_lt(std::chrono::duration_cast<std::chrono::milliseconds>(timeOf(Parts)).count(), 2000);
}

// Guards against a damaged amount that empties an issuer's bucket for good, or that a node could spend without end.
Test(fleetcodec, invalidCreditAmountsAreLimited)
{
    FleetMessage message = fullMessage();
    const double infinite = std::numeric_limits<double>::infinity();
    message.creditQueries = { CreditQuery { accountOf(TeamName("t")), 8, infinite, std::numeric_limits<double>::quiet_NaN(), -5 } };
    message.creditGrants = { CreditGrant { accountOf(TeamName("t")), 7, -infinite, Duration::seconds(100'000) } };
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    const CreditQuery &query = decoded.value().creditQueries.at(0);
    cr_assert(query.needed <= 1e12 && query.cheapest == 0 && query.ahead == 0);
    cr_assert(decoded.value().creditGrants.at(0).amount == 0 && decoded.value().creditGrants.at(0).retryAfter == Duration::seconds(5));
}
