#pragma once

#include "fixtures.h"
#include "main/entry/requestforwarder.h"
#include "scriptedupstream.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Fixtures of the tests that run a request forwarder before scripted upstreams.

namespace Fixtures
{

using namespace ApricotStep;

constexpr const char *CompleteAnswer =
    "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwhole";
/** The report of an engine that says nothing of its start. */
constexpr const char *EmptyReport = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

inline bool asksForReport(const std::string &request)
{
    return absl::StartsWith(request, "GET /apricotstep/report ");
}

constexpr const char *IncompleteAnswer =
    "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: 500\r\n\r\nhalf";
constexpr const char *FailureAnswer =
    "HTTP/1.1 500 No\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nContent-Length: 4\r\n\r\nfail";
constexpr const char *NotRunAnswer =
    "HTTP/1.1 503 Full\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char *StreamHead =
    "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/** The head of a stream that another node passes on; it names the software that began the stream. */
constexpr const char *RelayedStreamHead = "HTTP/1.1 200 OK\r\nApricotstep-Request-Id: {id}\r\nApricotstep-Server-Seal: s\r\n"
                                          "relay-stream-origin: svc\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

/** A forwarder with one service of scripted upstreams, on a loop that the test runs. */
struct ForwarderFixture
{
    SystemClock clock;
    IoLoop loop { clock };
    EventLog log { clock, "test" };
    EntryMetrics metrics;
    ClusterState clusterState;
    std::unique_ptr<RequestForwarder> forwarder;
    bool isLeaving = false;
    /** How long a request may take to be accepted. */
    Duration longestAccepted = Duration::seconds(3600);
    std::optional<Duration> ordersIn = Duration(0);
    std::vector<RelayNode> relays;
    int brittleRefusals = 0;
    std::optional<int> trialRank;
    /** Nodes that find what probeAnswers says when they are asked to probe an upstream. */
    std::vector<ProbePeer> probePeers;
    bool probeAnswers = false;
    std::function<int(const StreamQuery &)> sendStreamQuery = [](const StreamQuery &) { return 0; };

    explicit ForwarderFixture(const ForwarderSettings &settings = {})
    {
        ForwarderCallbacks callbacks;
        callbacks.onPendingAdapters = [] {};
        callbacks.nodeCount = [] { return 1; };
        callbacks.isLeaving = [this] { return isLeaving; };
        callbacks.canAccept = [this](Duration longest) { return longest < longestAccepted; };
        callbacks.ordersIn = [this] { return ordersIn; };
        callbacks.fleetSize = [] { return std::optional(1); };
        callbacks.onBrittleRefusal = [this] { ++brittleRefusals; };
        callbacks.onQuarantineNews = [] {};
        callbacks.trialRank = [this](ContentDigest) { return trialRank; };
        callbacks.probePeers = [this] { return probePeers; };
        callbacks.requestProbes = [this](const UpstreamStart &upstream, const std::vector<NodeId> &peers) {
            for (const NodeId &peer : peers) {
                loop.after(Duration(1), [this, peer, upstream] {
                    forwarder->onProbeResults(peer, { ProbeResult { upstream, probeAnswers } });
                });
            }
        };
        callbacks.tellProbeResult = [](const NodeId &, const ProbeResult &) {};
        callbacks.sendStreamQuery = [this](const StreamQuery &query) { return sendStreamQuery(query); };
        callbacks.relays = [this](const ServiceName &, ConfigVersion) { return relays; };
        callbacks.sendCreditQueries = [this](const std::vector<CreditQuery> &queries) { return answerAsIssuer(queries); };
        forwarder = std::make_unique<RequestForwarder>(loop, log, metrics, clusterState, settings, std::move(callbacks));
    }

    /** This node itself issues all credit. */
    std::vector<CreditAccount> answerAsIssuer(const std::vector<CreditQuery> &queries)
    {
        forwarder->holdCreditShard(0, FencingToken(1));
        std::vector<CreditGrant> grants;
        for (const CreditQuery &query : queries) {
            if (const auto grant = forwarder->answerCreditQuery(0, NodeId("n"), Incarnation(1), query)) {
                grants.push_back(*grant);
            }
        }
        forwarder->onCreditGrants(grants);
        return {};
    }
    void configure(RequestKind kind, int maxAttempts, bool isResumable = false, Duration timeout = Duration(1500), double kvCacheTokens = 0)
    {
        RouteTableSource source;
        source.version = ConfigVersion(1);
        EngineSpec engine;
        engine.adapterSlots = 2;
        engine.kvCacheTokens = kvCacheTokens;
        source.services.push_back(RoutedService { ServiceName("svc"), "/health", 10, engine });
        Route route;
        route.name = "r";
        route.host = "host.example";
        route.pathPrefix = "/in/";
        route.kind = kind;
        route.timeout = timeout;
        route.latencyObjective = Duration(600);
        route.maxAttempts = maxAttempts;
        route.isResumable = isResumable;
        route.targets = { RouteTarget { ServiceName("svc"), 1 } };
        source.routes.push_back(route);
        source.limits.bodyBytes = 1000;
        clusterState.routes = RouteTable::make(source).value();
    }
    void addUpstreamAt(const std::string &id, const std::string &address, const std::string &software = "")
    {
        UpstreamRecord record;
        record.id = UpstreamId(id);
        record.service = ServiceName("svc");
        record.address = address;
        record.slots = 4;
        record.startedAt = 1;
        record.softwareVersion = SoftwareVersion(software);
        clusterState.upstreams.put(record, clock.now());
    }
    void addUpstream(const std::string &id, const ScriptedUpstream &upstream, const std::string &software = "")
    {
        addUpstreamAt(id, upstream.address(), software);
    }
    /** An upstream at which no connection can be established. */
    void addUnreachableUpstream(const std::string &id)
    {
        addUpstreamAt(id, "127.0.0.1:1"); // No program listens there.
    }
    static HttpRequest request(const std::string &method = "POST")
    {
        HttpRequest request;
        request.method = method;
        request.target = "/in/a%20b?x=1&y=%2F";
        request.path = "/in/a b";
        request.headerList = { { "Host", "host.example" }, { "Apricotstep-Request-Id", "r-1" }, { "X-Own", "v" }, { "Connection", "X-Hop" },
            { "X-Hop", "h" }, { "Apricotstep-Hold", "h1" }, { "Kv-From", "1.2.3.4:1/2" }, { "Apricotstep-Deadline-Ms", "1200" } };
        for (const auto &[name, value] : request.headerList) {
            request.headers[absl::AsciiStrToLower(name)] = value;
        }
        request.body = method == "POST" ? "body" : "";
        return request;
    }
    static void setRequestId(HttpRequest &request, const std::string &id)
    {
        request.headers["apricotstep-request-id"] = id;
        for (auto &[name, value] : request.headerList) {
            value = name == "Apricotstep-Request-Id" ? id : value;
        }
    }
    static HttpRequest requestWithId(const std::string &id)
    {
        HttpRequest result = request();
        setRequestId(result, id);
        return result;
    }
    std::shared_ptr<Fixtures::Caller> send(HttpRequest httpRequest)
    {
        auto caller = std::make_shared<Fixtures::Caller>();
        forwarder->onRequest(std::move(httpRequest), caller);
        return caller;
    }
    /** The engine holds the adapter of the model "m/a7". */
    void loadAdapter(const std::string &engine)
    {
        clusterState.residencies.put(EngineResidency {
            UpstreamId(engine), 1, FencingToken(1), 1, { AdapterCopy { BaseModelId("m"), AdapterId("a7"), AdapterVersion("1"), true } } });
    }
    void addRelay(const std::string &id, const ScriptedUpstream &node)
    {
        relays.push_back(RelayNode { NodeId(id), node.address(), 1, 0 });
    }
    /** Runs the loop until @p isDone returns true, for at most two seconds. */
    void runUntil(const std::function<bool()> &isDone)
    {
        const Time end = clock.now() + Duration(2000);
        std::function<void()> check = [&] {
            if (isDone() || clock.now() >= end) {
                loop.stop();
            } else {
                loop.after(Duration(5), check);
            }
        };
        check();
        loop.run();
    }
};

/** Sends a request of @p kind to two upstreams with the same script, and returns its caller once the answer has ended. */
inline std::shared_ptr<Caller> answerOfTwo(RequestKind kind, int maxAttempts, bool isResumable, const ScriptedUpstream::Script &script)
{
    const ScriptedUpstream first(script);
    const ScriptedUpstream second(script);
    ForwarderFixture fixture;
    fixture.configure(kind, maxAttempts, isResumable);
    fixture.addUpstream("u1", first);
    fixture.addUpstream("u2", second);
    const auto caller = fixture.send(ForwarderFixture::request());
    fixture.runUntil([&] { return caller->isDone(); });
    return caller;
}

/** A forwarder whose configuration has one team with the key "good". */
struct KeyFixture : ForwarderFixture
{
    KeyFixture()
    {
        ForwarderSettings settings;
        settings.revocationBound = RevocationBound(Duration(5000));
        ForwarderCallbacks callbacks;
        callbacks.onPendingAdapters = [] {};
        callbacks.nodeCount = [] { return 1; };
        callbacks.isLeaving = [] { return false; };
        callbacks.canAccept = [this](Duration longest) { return longest < longestAccepted; };
        callbacks.ordersIn = [] { return std::optional(Duration(0)); };
        callbacks.canOthersAcceptKeys = [] { return true; };
        callbacks.fleetSize = [] { return std::optional(100); };
        callbacks.onBrittleRefusal = [this] { ++brittleRefusals; };
        callbacks.onQuarantineNews = [] {};
        callbacks.trialRank = [this](ContentDigest) { return trialRank; };
        callbacks.sendStreamQuery = [this](const StreamQuery &query) { return sendStreamQuery(query); };
        callbacks.relays = [this](const ServiceName &, ConfigVersion) { return relays; };
        callbacks.sendCreditQueries = [this](const std::vector<CreditQuery> &queries) { return answerQueries(queries); };
        settings.teamCredit.overrun = 0.25;
        forwarder = std::make_unique<RequestForwarder>(loop, log, metrics, clusterState, settings, std::move(callbacks));
        clusterState.routesKnownAt = clock.now();
        RouteTableSource source;
        source.version = ConfigVersion(1);
        source.services.push_back(RoutedService { ServiceName("svc"), "/health", 10, {} });
        for (const bool isPublic : { false, true }) {
            Route route;
            route.name = isPublic ? "open" : "closed";
            route.host = "host.example";
            route.pathPrefix = isPublic ? "/open/" : "/in/";
            route.timeout = Duration(1500);
            route.isPublic = isPublic;
            route.targets = { RouteTarget { ServiceName("svc"), 1 } };
            source.routes.push_back(route);
        }
        source.limits.bodyBytes = 1000;
        Team team;
        team.name = TeamName("mine");
        team.keys = { KeyDigest::of("good") };
        source.teams.push_back(team);
        team.name = TeamName("limited");
        team.keys = { KeyDigest::of("limited") };
        team.limit = TeamLimit { LimitUnit::Tokens, 1000, 1000, 200 };
        source.teams.push_back(team);
        clusterState.routes = RouteTable::make(source).value();
    }
    /** What an issuer has left; unset if none answers. */
    std::optional<double> issuerCredit;

    std::vector<CreditAccount> answerQueries(const std::vector<CreditQuery> &queries)
    {
        std::vector<CreditGrant> grants;
        for (const CreditQuery &query : queries) {
            if (issuerCredit) {
                const bool suffices = *issuerCredit >= query.needed;
                *issuerCredit -= suffices ? query.needed : 0;
                grants.push_back(CreditGrant { query.account, query.sequence, suffices ? query.needed : 0, Duration(suffices ? 0 : 400) });
            }
        }
        forwarder->onCreditGrants(grants);
        return {};
    }
    static HttpRequest requestOf(const std::string &path, const std::string &credentials, const std::string &tokens)
    {
        HttpRequest request = ForwarderFixture::request();
        request.target = path;
        if (!tokens.empty()) {
            request.headerList.emplace_back("Apricotstep-Token-Count", tokens);
        }
        if (!credentials.empty()) {
            request.headerList.emplace_back("Authorization", credentials);
            request.headers["authorization"] = credentials;
        }
        return request;
    }
    /** Sends a request and returns its status. */
    int statusOf(const std::string &path, const std::string &credentials, const std::string &tokens = "")
    {
        const auto caller = send(requestOf(path, credentials, tokens));
        runUntil([&] { return caller->isDone(); });
        return caller->status();
    }
};

} // namespace Fixtures
