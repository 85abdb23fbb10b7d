#include "protocol/fleetcodec.h"

#include "protocol/fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <vector>

namespace ApricotStep
{

namespace
{

// No valid datagram is larger than this when unpacked. The limit bounds the memory and time that a forged datagram can cost.
constexpr std::uint64_t MaxTraversalWords = 64U << 10U;
// A node counts as alive for a few message intervals. The limit bounds that time for senders of forged messages.
constexpr Duration MaxInterval = Duration::seconds(5);
// Far more than any team's limit, while sums of amounts stay far from overflow.
constexpr double MaxCreditAmount = 1e12;

// Statements of upstreams are repeated for a few seconds, and so are rests. Forged ones must not hold for long.
constexpr Duration MaxStatementAge = Duration::seconds(60);
constexpr Duration MaxContentAge = Duration::seconds(86'400);
constexpr std::uint32_t MaxCount = 1'000'000;
// Each makes this node call an upstream.
constexpr std::size_t MaxProbeRequests = 16;

// Bounds the memory that forged messages can take.
constexpr Duration MaxStreamLifetime = Duration::seconds(600);

std::string textOf(capnp::Text::Reader text)
{
    return std::string(text.cStr(), text.size());
}

// Creates no list if there are no entries: even an empty list takes bytes of each message.
template<typename Entries, typename Init>
auto initList(const Entries &entries, Init init)
{
    using Builder = decltype(init(0U));
    return entries.empty() ? Builder() : init(static_cast<unsigned int>(entries.size()));
}

using CopyGroup = std::tuple<BaseModelId, AdapterVersion, bool>;

void encodeResidency(const EngineResidency &residency, Wire::EngineRowWire::Builder wire)
{
    wire.setEngine(residency.engine.value());
    wire.setStartedAt(residency.startedAt);
    wire.setFence(residency.fence.value());
    wire.setSequence(residency.sequence);
    std::map<CopyGroup, std::vector<const AdapterCopy *>> groups;
    for (const AdapterCopy &copy : residency.copies) {
        groups[CopyGroup { copy.model, copy.version, copy.isReady }].push_back(&copy);
    }
    auto copies = wire.initCopies(static_cast<unsigned int>(groups.size()));
    unsigned int index = 0;
    for (const auto &[group, members] : groups) {
        auto groupWire = copies[index++];
        groupWire.setModel(std::get<BaseModelId>(group).value());
        groupWire.setVersion(std::get<AdapterVersion>(group).value());
        groupWire.setIsReady(std::get<bool>(group));
        auto adapters = groupWire.initAdapters(static_cast<unsigned int>(members.size()));
        for (unsigned int i = 0; i < adapters.size(); ++i) {
            adapters.set(i, members[i]->adapter.value());
        }
    }
}

EngineResidency decodeResidency(Wire::EngineRowWire::Reader wire)
{
    EngineResidency residency;
    residency.engine = UpstreamId(textOf(wire.getEngine()));
    residency.startedAt = wire.getStartedAt();
    residency.fence = FencingToken(wire.getFence());
    residency.sequence = wire.getSequence();
    for (const auto group : wire.getCopies()) {
        const BaseModelId model(textOf(group.getModel()));
        const AdapterVersion version(textOf(group.getVersion()));
        for (const auto adapter : group.getAdapters()) {
            residency.copies.push_back(AdapterCopy { model, AdapterId(textOf(adapter)), version, group.getIsReady() });
        }
    }
    return residency;
}

void encodeLeases(const FleetMessage &message, Wire::FleetMessageWire::Builder wire)
{
    auto claims = initList(message.claims, [&wire](unsigned int size) { return wire.initClaims(size); });
    for (unsigned int i = 0; i < claims.size(); ++i) {
        claims[i].setShard(message.claims[i].shard.value());
        claims[i].setFence(message.claims[i].fence.value());
        claims[i].setOrdersInMs(message.claims[i].ordersIn.milliseconds());
        claims[i].setSentAt(message.claims[i].sentAt.milliseconds());
    }
    auto grants = initList(message.grants, [&wire](unsigned int size) { return wire.initGrants(size); });
    for (unsigned int i = 0; i < grants.size(); ++i) {
        grants[i].setShard(message.grants[i].shard.value());
        grants[i].setHolder(message.grants[i].holder.value());
        grants[i].setIncarnation(message.grants[i].incarnation.value());
        grants[i].setSentAt(message.grants[i].sentAt.milliseconds());
        grants[i].setGreatestFence(message.grants[i].greatestFence.value());
    }
    wire.setUptimeMs(message.uptime.milliseconds());
    wire.setRememberedNodes(message.rememberedNodes);
    wire.setIsFleetKnown(message.isFleetKnown);
    wire.setReportedNodes(message.reportedNodes);
    wire.setReportedAgoMs(message.reportedAgo.milliseconds());
    auto lastOrders = initList(message.lastOrders, [&wire](unsigned int size) { return wire.initLastOrders(size); });
    for (unsigned int i = 0; i < lastOrders.size(); ++i) {
        lastOrders[i].setShard(message.lastOrders[i].shard.value());
        lastOrders[i].setAgoMs(message.lastOrders[i].ago.milliseconds());
    }
    auto releases = initList(message.releases, [&wire](unsigned int size) { return wire.initReleases(size); });
    for (unsigned int i = 0; i < releases.size(); ++i) {
        releases.set(i, message.releases[i].value());
    }
}

void decodeLeases(Wire::FleetMessageWire::Reader wire, FleetMessage &message)
{
    for (const auto claim : wire.getClaims()) {
        message.claims.push_back(LeaseClaim {
            EngineShard(claim.getShard()), FencingToken(claim.getFence()), Duration(claim.getOrdersInMs()), Time(claim.getSentAt()) });
    }
    for (const auto grant : wire.getGrants()) {
        message.grants.push_back(LeaseGrant { EngineShard(grant.getShard()), NodeId(textOf(grant.getHolder())),
            Incarnation(grant.getIncarnation()), Time(grant.getSentAt()), FencingToken(grant.getGreatestFence()) });
    }
    message.uptime = Duration(wire.getUptimeMs());
    message.rememberedNodes = wire.getRememberedNodes();
    message.isFleetKnown = wire.getIsFleetKnown();
    message.reportedNodes = wire.getReportedNodes();
    message.reportedAgo = Duration(wire.getReportedAgoMs());
    for (const auto order : wire.getLastOrders()) {
        message.lastOrders.push_back(LastOrder { EngineShard(order.getShard()), Duration(order.getAgoMs()) });
    }
    for (const auto shard : wire.getReleases()) {
        message.releases.emplace_back(shard);
    }
}

void encodeLoads(const std::vector<UpstreamLoad> &loads, capnp::List<Wire::UpstreamLoadWire>::Builder wire)
{
    for (unsigned int i = 0; i < wire.size(); ++i) {
        wire[i].setUpstream(loads[i].upstream.value());
        wire[i].setRunning(loads[i].running);
        wire[i].setPendingTokens(loads[i].pendingTokens);
        wire[i].setReservedTokens(loads[i].reservedTokens);
    }
}

std::vector<UpstreamLoad> decodeLoads(capnp::List<Wire::UpstreamLoadWire>::Reader wire)
{
    std::vector<UpstreamLoad> loads;
    for (const auto load : wire) {
        loads.push_back(
            UpstreamLoad { UpstreamId(textOf(load.getUpstream())), load.getRunning(), load.getPendingTokens(), load.getReservedTokens() });
    }
    return loads;
}

void encodeLists(const FleetMessage &message, Wire::FleetMessageWire::Builder wire)
{
    if (message.loads) {
        wire.setHasLoads(true);
        encodeLoads(*message.loads, initList(*message.loads, [&wire](unsigned int size) { return wire.initLoads(size); }));
    }
    encodeLoads(message.engineLoads, initList(message.engineLoads, [&wire](unsigned int size) { return wire.initEngineLoads(size); }));
    auto contacts = initList(message.contacts, [&wire](unsigned int size) { return wire.initContacts(size); });
    for (unsigned int i = 0; i < contacts.size(); ++i) {
        contacts.set(i, message.contacts[i]);
    }
    auto uses = initList(message.uses, [&wire](unsigned int size) { return wire.initUses(size); });
    for (unsigned int i = 0; i < uses.size(); ++i) {
        uses[i].setModel(message.uses[i].model.value());
        uses[i].setAdapter(message.uses[i].adapter.value());
        uses[i].setEngine(message.uses[i].engine.value());
        uses[i].setCount(message.uses[i].count);
        uses[i].setIsCrowded(message.uses[i].hasOverloadedCopies);
        uses[i].setWaiting(message.uses[i].waiting);
        uses[i].setInTimeForMs(static_cast<std::int32_t>(message.uses[i].latencySlack.milliseconds()));
        if (!message.uses[i].software.isEmpty()) {
            uses[i].setSoftware(message.uses[i].software.value());
        }
    }
    auto residencies = initList(message.residencies, [&wire](unsigned int size) { return wire.initRows(size); });
    for (unsigned int i = 0; i < residencies.size(); ++i) {
        encodeResidency(message.residencies[i], residencies[i]);
    }
}

void decodeLists(Wire::FleetMessageWire::Reader wire, FleetMessage &message)
{
    if (wire.getHasLoads()) {
        message.loads = decodeLoads(wire.getLoads());
    }
    message.engineLoads = decodeLoads(wire.getEngineLoads());
    for (const auto contact : wire.getContacts()) {
        message.contacts.push_back(textOf(contact));
    }
    for (const auto use : wire.getUses()) {
        message.uses.push_back(AdapterUse { BaseModelId(textOf(use.getModel())), AdapterId(textOf(use.getAdapter())),
            UpstreamId(textOf(use.getEngine())), use.getCount(), use.getIsCrowded(), use.getWaiting(), Duration(use.getInTimeForMs()),
            SoftwareVersion(textOf(use.getSoftware())) });
    }
    for (const auto residency : wire.getRows()) {
        message.residencies.push_back(decodeResidency(residency));
    }
}

template<typename Builder>
void encodeAccount(const CreditAccount &account, Builder wire)
{
    wire.setAccount(account.name);
    wire.setIsUpstream(account.kind == CreditAccount::Kind::Upstream);
    wire.setStartedAt(account.startedAt);
}

template<typename Reader>
CreditAccount decodeAccount(Reader wire)
{
    const auto kind = wire.getIsUpstream() ? CreditAccount::Kind::Upstream : CreditAccount::Kind::Team;
    return CreditAccount { kind, textOf(wire.getAccount()), wire.getStartedAt() };
}

void encodeCredit(const FleetMessage &message, Wire::FleetMessageWire::Builder wire)
{
    auto queries = initList(message.creditQueries, [&wire](unsigned int size) { return wire.initCreditQueries(size); });
    for (unsigned int i = 0; i < queries.size(); ++i) {
        const CreditQuery &query = message.creditQueries[i];
        encodeAccount(query.account, queries[i]);
        queries[i].setSequence(query.sequence);
        queries[i].setNeeded(query.needed);
        queries[i].setCheapest(query.cheapest);
        queries[i].setAhead(query.ahead);
    }
    auto grants = initList(message.creditGrants, [&wire](unsigned int size) { return wire.initCreditGrants(size); });
    for (unsigned int i = 0; i < grants.size(); ++i) {
        const CreditGrant &grant = message.creditGrants[i];
        encodeAccount(grant.account, grants[i]);
        grants[i].setSequence(grant.sequence);
        grants[i].setAmount(grant.amount);
        grants[i].setRetryAfterMs(grant.retryAfter.milliseconds());
    }
}

// An infinite or undefined amount would empty an issuer's bucket for good.
double decodeAmount(double amount)
{
    return amount >= 0 ? std::min(amount, MaxCreditAmount) : 0;
}

void decodeCredit(Wire::FleetMessageWire::Reader wire, FleetMessage &message)
{
    for (const auto query : wire.getCreditQueries()) {
        message.creditQueries.push_back(CreditQuery { decodeAccount(query), query.getSequence(), decodeAmount(query.getNeeded()),
            decodeAmount(query.getCheapest()), decodeAmount(query.getAhead()) });
    }
    for (const auto grant : wire.getCreditGrants()) {
        message.creditGrants.push_back(CreditGrant { decodeAccount(grant), grant.getSequence(), decodeAmount(grant.getAmount()),
            Duration(std::clamp<std::int64_t>(grant.getRetryAfterMs(), 0, MaxInterval.milliseconds())) });
    }
}

void encodeLimits(const std::vector<UpstreamLimitStatement> &limits, capnp::List<Wire::UpstreamLimitWire>::Builder wire)
{
    for (unsigned int i = 0; i < wire.size(); ++i) {
        wire[i].setUpstream(limits[i].upstream.value());
        wire[i].setStartedAt(limits[i].startedAt);
        wire[i].setIsLimited(limits[i].requestsPerSecond.has_value());
        wire[i].setRequestsPerSecond(limits[i].requestsPerSecond.value_or(0));
        wire[i].setAgeMs(limits[i].age.milliseconds());
    }
}

std::vector<UpstreamLimitStatement> decodeLimits(capnp::List<Wire::UpstreamLimitWire>::Reader wire)
{
    std::vector<UpstreamLimitStatement> limits;
    for (const auto limit : wire) {
        limits.push_back(UpstreamLimitStatement { UpstreamId(textOf(limit.getUpstream())), limit.getStartedAt(),
            limit.getIsLimited() ? std::optional(decodeAmount(limit.getRequestsPerSecond())) : std::nullopt,
            Duration(std::clamp<std::int64_t>(limit.getAgeMs(), 0, MaxStatementAge.milliseconds())) });
    }
    return limits;
}

void encodeRests(const std::vector<UpstreamRest> &rests, capnp::List<Wire::UpstreamRestWire>::Builder wire)
{
    for (unsigned int i = 0; i < wire.size(); ++i) {
        wire[i].setUpstream(rests[i].upstream.value());
        wire[i].setStartedAt(rests[i].startedAt);
        wire[i].setRemainingMs(rests[i].remaining.milliseconds());
    }
}

std::vector<UpstreamRest> decodeRests(capnp::List<Wire::UpstreamRestWire>::Reader wire)
{
    std::vector<UpstreamRest> rests;
    for (const auto rest : wire) {
        rests.push_back(UpstreamRest { UpstreamId(textOf(rest.getUpstream())), rest.getStartedAt(),
            Duration(std::clamp<std::int64_t>(rest.getRemainingMs(), 0, MaxStatementAge.milliseconds())) });
    }
    return rests;
}

void encodeSpeeds(const std::vector<EngineSpeedReport> &speeds, capnp::List<Wire::EngineSpeedWire>::Builder wire)
{
    for (unsigned int i = 0; i < wire.size(); ++i) {
        wire[i].setUpstream(speeds[i].upstream.value());
        wire[i].setStartedAt(speeds[i].startedAt);
        wire[i].setSlownessPercent(static_cast<std::uint16_t>(std::clamp(speeds[i].slownessPercent, 0, int(UINT16_MAX))));
        wire[i].setAgeMs(static_cast<std::int32_t>(speeds[i].age.milliseconds()));
    }
}

// Forged reports must neither keep requests away from an engine for good nor draw all of them to it.
std::vector<EngineSpeedReport> decodeSpeeds(capnp::List<Wire::EngineSpeedWire>::Reader wire)
{
    constexpr int MinPercent = static_cast<int>(EngineSpeed::MinSlowness * 100);
    constexpr int MaxPercent = static_cast<int>(EngineSpeed::MaxSlowness * 100);
    std::vector<EngineSpeedReport> speeds;
    for (const auto speed : wire) {
        if (speeds.size() == EngineSpeed::MaxReports) {
            break;
        }
        speeds.push_back(EngineSpeedReport { UpstreamId(textOf(speed.getUpstream())), speed.getStartedAt(),
            std::clamp<int>(speed.getSlownessPercent(), MinPercent, MaxPercent),
            Duration(std::clamp<std::int64_t>(speed.getAgeMs(), 0, EngineSpeed::Lifetime.milliseconds())) });
    }
    return speeds;
}

void encodeStarts(const std::vector<UpstreamStart> &starts, capnp::List<Wire::UpstreamStartWire>::Builder wire)
{
    for (unsigned int i = 0; i < wire.size(); ++i) {
        wire[i].setUpstream(starts[i].upstream.value());
        wire[i].setStartedAt(starts[i].startedAt);
    }
}

void encodeBrittle(const std::vector<BrittleStatement> &statements, capnp::List<Wire::BrittleUpstreamWire>::Builder wire)
{
    unsigned int index = 0;
    for (const BrittleStatement &statement : statements) {
        auto entry = wire[index++];
        entry.setUpstream(statement.upstream.value());
        entry.setStartedAt(statement.startedAt);
        entry.setIsBrittle(statement.refusalsPerSecond.has_value());
        entry.setRefusalsPerSecond(statement.refusalsPerSecond.value_or(0));
        entry.setAgeMs(statement.age.milliseconds());
        entry.setIsRefusing(statement.sinceRefusal.has_value());
        entry.setSinceRefusalMs(statement.sinceRefusal.value_or(Duration(0)).milliseconds());
    }
}

std::vector<BrittleStatement> decodeBrittle(capnp::List<Wire::BrittleUpstreamWire>::Reader wire)
{
    std::vector<BrittleStatement> statements;
    for (const auto entry : wire) {
        BrittleStatement statement { UpstreamId(textOf(entry.getUpstream())), entry.getStartedAt() };
        if (entry.getIsBrittle()) {
            statement.refusalsPerSecond = decodeAmount(entry.getRefusalsPerSecond());
        }
        statement.age = Duration(std::clamp<std::int64_t>(entry.getAgeMs(), 0, MaxStatementAge.milliseconds()));
        if (entry.getIsRefusing()) {
            statement.sinceRefusal = Duration(std::clamp<std::int64_t>(entry.getSinceRefusalMs(), 0, MaxStatementAge.milliseconds()));
        }
        statements.push_back(std::move(statement));
    }
    return statements;
}

std::vector<UpstreamStart> decodeStarts(capnp::List<Wire::UpstreamStartWire>::Reader wire)
{
    std::vector<UpstreamStart> starts;
    for (const auto start : wire) {
        starts.push_back(UpstreamStart { UpstreamId(textOf(start.getUpstream())), start.getStartedAt() });
    }
    return starts;
}

void encodeProbes(const FleetMessage &message, Wire::FleetMessageWire::Builder wire)
{
    encodeStarts(
        message.probeRequests, initList(message.probeRequests, [&wire](unsigned int size) { return wire.initProbeRequests(size); }));
    auto results = initList(message.probeResults, [&wire](unsigned int size) { return wire.initProbeResults(size); });
    for (unsigned int i = 0; i < message.probeResults.size(); ++i) {
        const ProbeResult &result = message.probeResults[i];
        results[i].setUpstream(result.upstream.upstream.value());
        results[i].setStartedAt(result.upstream.startedAt);
        results[i].setIsAnswered(result.isAnswered);
    }
}

void decodeProbes(Wire::FleetMessageWire::Reader wire, FleetMessage &message)
{
    message.probeRequests = decodeStarts(wire.getProbeRequests());
    message.probeRequests.resize(std::min(message.probeRequests.size(), MaxProbeRequests));
    for (const auto result : wire.getProbeResults()) {
        const UpstreamStart upstream { UpstreamId(textOf(result.getUpstream())), result.getStartedAt() };
        message.probeResults.push_back(ProbeResult { upstream, result.getIsAnswered() });
    }
}

void encodeStreams(const FleetMessage &message, Wire::FleetMessageWire::Builder wire)
{
    std::map<StreamOrigin, std::vector<const BegunStream *>> byOrigin;
    for (const BegunStream &begun : message.begunStreams) {
        byOrigin[begun.origin].push_back(&begun);
    }
    auto groups = initList(byOrigin, [&wire](unsigned int size) { return wire.initBegunStreams(size); });
    unsigned int index = 0;
    for (const auto &[origin, streams] : byOrigin) {
        auto group = groups[index++];
        group.setService(origin.service.value());
        group.setSoftware(origin.software.value());
        auto ids = group.initStreams(static_cast<unsigned int>(streams.size()));
        Duration lifetime;
        for (unsigned int i = 0; i < ids.size(); ++i) {
            ids.set(i, streams[i]->stream.value());
            lifetime = std::max(lifetime, streams[i]->lifetime);
        }
        group.setLifetimeMs(lifetime.milliseconds());
    }
    auto queries = initList(message.streamQueries, [&wire](unsigned int size) { return wire.initStreamQueries(size); });
    for (unsigned int i = 0; i < queries.size(); ++i) {
        queries[i].setStream(message.streamQueries[i].stream.value());
        queries[i].setService(message.streamQueries[i].service.value());
    }
    auto answers = initList(message.streamAnswers, [&wire](unsigned int size) { return wire.initStreamAnswers(size); });
    for (unsigned int i = 0; i < answers.size(); ++i) {
        const StreamAnswer &answer = message.streamAnswers[i];
        answers[i].setStream(answer.query.stream.value());
        answers[i].setService(answer.query.service.value());
        answers[i].setIsKnown(answer.origin.has_value());
        if (answer.origin) {
            answers[i].setOriginService(answer.origin->service.value());
            answers[i].setOriginSoftware(answer.origin->software.value());
        }
    }
}

std::uint32_t encodeContentAge(Duration age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.milliseconds(), 0, MaxContentAge.milliseconds()));
}

void encodeQuarantine(const QuarantineStatements &statements, Wire::FleetMessageWire::Builder wire)
{
    auto crashes = initList(statements.crashes, [&wire](unsigned int size) { return wire.initCrashes(size); });
    for (unsigned int i = 0; i < crashes.size(); ++i) {
        const CrashReport &report = statements.crashes[i];
        crashes[i].setUpstream(report.upstream.upstream.value());
        crashes[i].setStartedAt(report.upstream.startedAt);
        crashes[i].setAgeMs(report.age.milliseconds());
        crashes[i].setService(report.group.service.value());
        crashes[i].setGroupSize(static_cast<std::uint32_t>(report.group.size));
        auto suspects = crashes[i].initSuspects(static_cast<unsigned int>(report.suspects.size()));
        for (unsigned int j = 0; j < suspects.size(); ++j) {
            const RequestContent &suspect = report.suspects[j].content;
            suspects[j].setHasBegun(report.suspects[j].hasBegun);
            suspects[j].setExposureMs(encodeContentAge(report.suspects[j].exposure));
            suspects[j].setAnswerAgeMs(encodeContentAge(report.suspects[j].answerAge));
            suspects[j].setRequest(suspect.request.value());
            suspects[j].setAdapter(suspect.adapter.value());
            auto parts = initList(suspect.parts, [&](unsigned int size) { return suspects[j].initParts(size); });
            for (unsigned int k = 0; k < parts.size(); ++k) {
                parts.set(k, suspect.parts[k].value());
            }
        }
    }
    auto answers = initList(statements.answers, [&wire](unsigned int size) { return wire.initAnsweredContents(size); });
    for (unsigned int i = 0; i < answers.size(); ++i) {
        answers[i].setContent(statements.answers[i].content.value());
        answers[i].setAgeMs(statements.answers[i].age.milliseconds());
        answers[i].setIsPart(statements.answers[i].progress != AnswerProgress::Whole);
        answers[i].setHasContinued(statements.answers[i].progress == AnswerProgress::Continued);
        answers[i].setAnswerAgeMs(encodeContentAge(statements.answers[i].answerAge));
    }
    auto held = initList(statements.held, [&wire](unsigned int size) { return wire.initHeldContents(size); });
    for (unsigned int i = 0; i < held.size(); ++i) {
        const HeldContent &statement = statements.held[i];
        held[i].setContent(statement.content.value());
        held[i].setCrashes(static_cast<std::uint32_t>(statement.crashes));
        held[i].setSinceFirstCrashMs(statement.sinceFirstCrash.milliseconds());
        held[i].setSinceLastCrashMs(statement.sinceLastCrash.milliseconds());
        held[i].setTrials(static_cast<std::uint32_t>(statement.trials));
        held[i].setSinceLastTrialMs(statement.sinceLastTrial.value_or(Duration(0)).milliseconds());
        held[i].setSinceLastRequestMs(statement.sinceLastRequest.milliseconds());
    }
}

Duration decodeContentAge(std::int64_t milliseconds)
{
    return Duration(std::clamp<std::int64_t>(milliseconds, 0, MaxContentAge.milliseconds()));
}

QuarantineStatements decodeQuarantine(Wire::FleetMessageWire::Reader wire)
{
    QuarantineStatements statements;
    for (const auto crash : wire.getCrashes()) {
        CrashReport report { { UpstreamId(textOf(crash.getUpstream())), crash.getStartedAt() }, decodeContentAge(crash.getAgeMs()), {} };
        for (const auto suspect : crash.getSuspects()) {
            RequestContent content { ContentDigest(suspect.getRequest()), ContentDigest(suspect.getAdapter()) };
            for (const std::uint64_t part : suspect.getParts()) {
                content.parts.emplace_back(part);
            }
            report.suspects.push_back(CrashSuspect { std::move(content), suspect.getHasBegun(), decodeContentAge(suspect.getExposureMs()),
                decodeContentAge(suspect.getAnswerAgeMs()) });
        }
        report.group =
            UpstreamGroup { ServiceName(textOf(crash.getService())), static_cast<int>(std::min(crash.getGroupSize(), MaxCount)) };
        statements.crashes.push_back(std::move(report));
    }
    for (const auto answer : wire.getAnsweredContents()) {
        const AnswerProgress part = answer.getHasContinued() ? AnswerProgress::Continued : AnswerProgress::Begun;
        statements.answers.push_back(AnsweredContent { ContentDigest(answer.getContent()), decodeContentAge(answer.getAgeMs()),
            answer.getIsPart() ? part : AnswerProgress::Whole, decodeContentAge(answer.getAnswerAgeMs()) });
    }
    for (const auto entry : wire.getHeldContents()) {
        HeldContent held { ContentDigest(entry.getContent()), static_cast<int>(std::min(entry.getCrashes(), MaxCount)),
            decodeContentAge(entry.getSinceFirstCrashMs()), decodeContentAge(entry.getSinceLastCrashMs()),
            static_cast<int>(std::min(entry.getTrials(), MaxCount)) };
        if (held.trials > 0) {
            held.sinceLastTrial = decodeContentAge(entry.getSinceLastTrialMs());
        }
        held.sinceLastRequest = decodeContentAge(entry.getSinceLastRequestMs());
        statements.held.push_back(held);
    }
    return statements;
}

StreamOrigin decodeOrigin(capnp::Text::Reader service, capnp::Text::Reader software)
{
    return StreamOrigin { ServiceName(textOf(service)), SoftwareVersion(textOf(software)) };
}

void decodeStreams(Wire::FleetMessageWire::Reader wire, FleetMessage &message)
{
    for (const auto group : wire.getBegunStreams()) {
        const StreamOrigin origin = decodeOrigin(group.getService(), group.getSoftware());
        const Duration lifetime(std::clamp<std::int64_t>(group.getLifetimeMs(), 0, MaxStreamLifetime.milliseconds()));
        for (const std::uint64_t stream : group.getStreams()) {
            message.begunStreams.push_back(BegunStream { StreamId(stream), origin, lifetime });
        }
    }
    for (const auto query : wire.getStreamQueries()) {
        message.streamQueries.push_back(StreamQuery { StreamId(query.getStream()), ServiceName(textOf(query.getService())) });
    }
    for (const auto answer : wire.getStreamAnswers()) {
        const StreamQuery query { StreamId(answer.getStream()), ServiceName(textOf(answer.getService())) };
        const auto origin =
            answer.getIsKnown() ? std::optional(decodeOrigin(answer.getOriginService(), answer.getOriginSoftware())) : std::nullopt;
        message.streamAnswers.push_back(StreamAnswer { query, origin });
    }
}

void encodeStore(const StoreView &store, Wire::StoreViewWire::Builder wire)
{
    wire.setFetchesAtOnce(store.maxConcurrentFetches);
    wire.setShortestFetchMs(store.minFetchTime.milliseconds());
    wire.setUsualFetchMs(store.typicalFetchTime.milliseconds());
    wire.setUsualAtHandMs(store.typicalCachedLoadTime.milliseconds());
    wire.setHasSlowedDown(store.hasSeenContention);
    wire.setScopeFetches(store.scopeFetches);
    wire.setScopeDemand(store.scopeDemand);
}

StoreView decodeStore(Wire::StoreViewWire::Reader wire)
{
    return StoreView { wire.getFetchesAtOnce(), Duration(wire.getShortestFetchMs()), Duration(wire.getUsualFetchMs()),
        Duration(wire.getUsualAtHandMs()), wire.getHasSlowedDown(), wire.getScopeFetches(), wire.getScopeDemand() };
}

FleetMessage decode(Wire::FleetMessageWire::Reader wire)
{
    FleetMessage message;
    message.sender = NodeId(textOf(wire.getSender()));
    message.incarnation = Incarnation(wire.getIncarnation());
    message.zone = ZoneId(textOf(wire.getZone()));
    message.scope = ZoneId(textOf(wire.getScope()));
    message.capacity = wire.getCapacity();
    message.requestRate = decodeAmount(wire.getRequestRate());
    message.interval = Duration(std::clamp<std::int64_t>(wire.getIntervalMs(), 0, MaxInterval.milliseconds()));
    message.callerAddress = textOf(wire.getCallerAddress());
    message.peerAddress = textOf(wire.getPeerAddress());
    message.readRevision = wire.getReadRevision();
    message.isReadingStore = wire.getIsReadingStore();
    message.storeReadingTime = Duration(wire.getStoreReadingMs());
    message.isReady = wire.getIsReady();
    message.isLeaving = wire.getIsLeaving();
    message.hasOutdatedKeys = wire.getHasOutdatedKeys();
    message.configVersion = ConfigVersion(wire.getConfigVersion());
    decodeLeases(wire, message);
    decodeLists(wire, message);
    decodeCredit(wire, message);
    message.upstreamLimits = decodeLimits(wire.getUpstreamLimits());
    message.upstreamRests = decodeRests(wire.getUpstreamRests());
    message.engineSpeeds = decodeSpeeds(wire.getEngineSpeeds());
    message.leavingUpstreams = decodeStarts(wire.getLeavingUpstreams());
    message.brittleUpstreams = decodeBrittle(wire.getBrittleUpstreams());
    decodeStreams(wire, message);
    decodeProbes(wire, message);
    message.quarantine = decodeQuarantine(wire);
    for (const auto service : wire.getUnreachableServices()) {
        message.unreachableServices.emplace_back(textOf(service));
    }
    if (wire.hasStore()) {
        message.store = decodeStore(wire.getStore());
    }
    return message;
}

} // namespace

std::string encodeFleetMessage(const FleetMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto wire = builder.initRoot<Wire::FleetMessageWire>();
    wire.setSender(message.sender.value());
    wire.setIncarnation(message.incarnation.value());
    wire.setZone(message.zone.value());
    wire.setScope(message.scope.value());
    wire.setCapacity(message.capacity);
    wire.setRequestRate(static_cast<float>(message.requestRate));
    wire.setIntervalMs(message.interval.milliseconds());
    wire.setCallerAddress(message.callerAddress);
    wire.setPeerAddress(message.peerAddress);
    wire.setReadRevision(message.readRevision);
    wire.setIsReadingStore(message.isReadingStore);
    wire.setStoreReadingMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(message.storeReadingTime.milliseconds(), 0, std::numeric_limits<std::uint32_t>::max())));
    wire.setIsReady(message.isReady);
    wire.setIsLeaving(message.isLeaving);
    wire.setHasOutdatedKeys(message.hasOutdatedKeys);
    wire.setConfigVersion(message.configVersion.value());
    encodeLeases(message, wire);
    encodeLists(message, wire);
    encodeCredit(message, wire);
    encodeLimits(
        message.upstreamLimits, initList(message.upstreamLimits, [&wire](unsigned int size) { return wire.initUpstreamLimits(size); }));
    encodeRests(
        message.upstreamRests, initList(message.upstreamRests, [&wire](unsigned int size) { return wire.initUpstreamRests(size); }));
    encodeSpeeds(message.engineSpeeds, initList(message.engineSpeeds, [&wire](unsigned int size) { return wire.initEngineSpeeds(size); }));
    encodeStarts(message.leavingUpstreams,
        initList(message.leavingUpstreams, [&wire](unsigned int size) { return wire.initLeavingUpstreams(size); }));
    encodeBrittle(message.brittleUpstreams,
        initList(message.brittleUpstreams, [&wire](unsigned int size) { return wire.initBrittleUpstreams(size); }));
    encodeStreams(message, wire);
    encodeProbes(message, wire);
    encodeQuarantine(message.quarantine, wire);
    auto services = initList(message.unreachableServices, [&wire](unsigned int size) { return wire.initUnreachableServices(size); });
    for (unsigned int i = 0; i < message.unreachableServices.size(); ++i) {
        services.set(i, message.unreachableServices[i].value());
    }
    if (message.store) {
        encodeStore(*message.store, wire.initStore());
    }
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

Result<FleetMessage> decodeFleetMessage(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = MaxTraversalWords;
        capnp::PackedMessageReader reader(in, options);
        FleetMessage message = decode(reader.getRoot<Wire::FleetMessageWire>());
        if (message.sender.isEmpty()) {
            return Error { ErrorKind::BadRequest, "a fleet message must name its sender" };
        }
        return message;
    } catch (const kj::Exception &error) {
        return Error { ErrorKind::BadRequest, std::string("a fleet message cannot be decoded: ") + error.getDescription().cStr() };
    }
}

} // namespace ApricotStep
