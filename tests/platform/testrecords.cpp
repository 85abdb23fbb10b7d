#include "core/compression.h"
#include "platform/enginecalls.h"
#include "platform/records.h"
#include "platform/settings.h"
#include "platform/store.h"

#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace ApricotStep;
using namespace ApricotStep::Platform;

namespace
{

const std::string Configuration = R"({"version":8,"routes":[
 {"name":"r1","host":"h.example","pathPrefix":"/p/","kind":"stream","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"llm",
  "maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":250},
 {"name":"r2","host":"h.example","pathPrefix":"/q/","kind":"idempotent","timeoutMs":1000,
  "trafficSplit":[{"service":"api","weight":3},{"service":"llm","weight":1}]}],
 "services":[{"name":"api","healthPath":"/health","maxConns":192},
 {"name":"llm","maxConns":720,"engine":{"kvCapacity":232000,"weightsMb":67100.0,"adapterSlots":8,"loadsPerS":2.1,
  "models":[{"name":"m","weightsMb":65500.0,"loadS":1.9,"adapterMb":40.0}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const std::string UpstreamEntry =
    R"({"service":"llm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready","seq":1,"coldLeftMs":0,
 "born":1769525387965,"models":[{"name":"m","version":1,"adapters":["a7@2","a9@1"]}]})";

const std::string Settings = R"(
node = "n1"
zone = "z"
region = "r"
ip = "10.0.0.1"
seeds = ["10.0.0.2:8144"]
unknown = true
[zones]
z = "r"
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[limits]
maxFds = 2870
cpuShare = 0.17
[bounds]
graceS = 8
configBoundMs = 2000
drainMs = 2000
leaseMs = 3000
version_ms = 5000
budgetRatio = 0.2
budgetExtra = 104
budgetWindowS = 10
ttl_max_s = 5
[platform]
address = "10.0.0.9:1"
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    cr_assert(at != std::string::npos, "no '%s'", from.c_str());
    return text.replace(at, from.size(), to);
}

} // namespace

Test(records, configurationIsDecoded)
{
    const auto source = decodeConfiguration(Configuration);
    cr_assert(source.isOk(), "%s", source.isOk() ? "" : source.error().detail.c_str());
    const Route &stream = source.value().routes[0];
    cr_assert(stream.kind == RequestKind::Stream && stream.isResumable && stream.maxAttempts == 2);
    cr_assert(stream.eventGapObjective == Duration(250) && stream.latencyObjective == Duration(600));
    const Route &split = source.value().routes[1];
    cr_assert_eq(split.targets.size(), 2);
    cr_assert_eq(split.targets[0].weight, 3);
    cr_assert_eq(source.value().services[1].engine->adapterSlots, 8);
    cr_assert(source.value().services[1].engine->models[0].loadTime == Duration(1900));
    cr_assert_eq(source.value().limits.bodyBytes, 1000);
}

// A configuration with a fault must be rejected with an error that names the field, so that the last valid one stays active. A faulty
// field must never be read as a valid zero.
Test(records, errorOfInvalidConfigurationNamesField)
{
    const auto faultOf = [](const std::string &from, const std::string &to) {
        const auto decoded = decodeConfiguration(replaced(Configuration, from, to));
        return decoded.isOk() ? std::string() : decoded.error().detail;
    };
    cr_assert(faultOf("\"timeoutMs\":5000", "\"timeoutMs\":\"soon\"").find("timeoutMs") != std::string::npos);
    cr_assert(faultOf("\"timeoutMs\":5000", "\"timeoutMs\":-1").find("r1") != std::string::npos);
    cr_assert(faultOf("\"timeoutMs\":5000", "\"timeoutMs\":1e300").find("timeoutMs") != std::string::npos);
    cr_assert(faultOf("\"kind\":\"stream\"", "\"kind\":\"poem\"").find("poem") != std::string::npos);
    cr_assert_not(faultOf("\"version\":8", "\"version\":0").empty());
    cr_assert_not(faultOf("\"routes\":[", "\"routes\":3,\"x\":[").empty());
    cr_assert_not(decodeConfiguration("not json").isOk());
    cr_assert_not(decodeConfiguration("[]").isOk());
}

Test(records, upstreamRecordIsDecoded)
{
    const auto record = decodeUpstream(UpstreamId("u"), UpstreamEntry);
    cr_assert(record.isOk(), "%s", record.isOk() ? "" : record.error().detail.c_str());
    cr_assert(record.value().hasModel(BaseModelId("m")));
    cr_assert(record.value().models[0].adapters[0].name() == "a7@2");
    cr_assert_eq(record.value().startedAt, 1769525387965);
    cr_assert(decodeUpstream(UpstreamId("u"), replaced(UpstreamEntry, "ready", "draining")).value().isLeaving);
}

// Records in the store are written by other programs and may have missing fields, wrong types or unknown states, or not be JSON at all.
// They must be rejected, or requests would be sent to an upstream that does not exist.
Test(records, incompleteUpstreamRecordIsRejected)
{
    const auto isRejected = [](const std::string &from, const std::string &to) {
        return !decodeUpstream(UpstreamId("u"), replaced(UpstreamEntry, from, to)).isOk();
    };
    for (const char *field : { "\"service\":\"llm\",", "\"address\":\"10.0.0.1:80\",", "\"zone\":\"z\",", "\"version\":\"v1\",",
             "\"slots\":64,", "\"state\":\"ready\",", "\"seq\":1,", "\"coldLeftMs\":0," }) {
        cr_assert(isRejected(field, ""), "without %s", field);
    }
    cr_assert(isRejected("\"seq\":1", "\"seq\":\"1\""));
    cr_assert(isRejected("\"seq\":1", "\"seq\":1e400"));
    cr_assert(isRejected("\"coldLeftMs\":0", "\"coldLeftMs\":-1"));
    cr_assert(isRejected("\"version\":\"v1\"", "\"version\":[1]"));
    cr_assert(isRejected("\"slots\":64", "\"slots\":\"many\""));
    cr_assert(isRejected("\"slots\":64", "\"slots\":0"));
    cr_assert(isRejected("\"ready\"", "\"dreaming\""));
    cr_assert(isRejected("1769525387965", "\"today\""));
    cr_assert(isRejected("\"models\":[", "\"models\":5,\"x\":["));
    std::mt19937_64 random(5);
    for (int round = 0; round < 2000; ++round) {
        std::string bytes = UpstreamEntry;
        for (int change = 0; change < 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        static_cast<void>(decodeUpstream(UpstreamId("u"), bytes).isOk()); // The result does not matter; it must not crash.
    }
}

Test(records, storeKeysAreDecodedToTheirKind)
{
    cr_assert(std::holds_alternative<ConfigurationKey>(decodeKey("op/config")));
    cr_assert(std::holds_alternative<AdapterVersionKey>(decodeKey("op/version/m.a1")));
    cr_assert(std::get<UpstreamKey>(decodeKey("servers/i-1")).id == UpstreamId("i-1"));
    cr_assert(std::holds_alternative<OtherKey>(decodeKey("servers/")));
    cr_assert(std::holds_alternative<OtherKey>(decodeKey("op/other")));
    const auto version = decodeAdapterVersion(R"({"model":"m","adapter":"a1","version":3})");
    cr_assert(version.value().adapter.version == AdapterVersion("3"));
    cr_assert_not(decodeAdapterVersion(R"({"model":"m","adapter":"a1"})").isOk());
}

Test(store, encodedWatchIsDecodedUnchanged)
{
    const auto page =
        decodeWatch(encodeWatch({ StoreItem { "op/config", "\x01\xff", 7, false }, StoreItem { "servers/u", "", 8, true } }, 9));
    cr_assert(page.isOk());
    cr_assert_eq(page.value().revision, 9);
    cr_assert(page.value().items[0].value == "\x01\xff" && page.value().items[0].revision == 7);
    cr_assert(page.value().items[1].isDeleted && page.value().items[1].key == "servers/u" && page.value().items[1].revision == 8);
    cr_assert(rangeTarget("a b", "k/1").find("pathPrefix=a%20b&after=k/1") != std::string::npos);
}

// Nodes send each other large values compressed. One that cannot be restored must be skipped like any unreadable item.
Test(store, compressedValuesAreRestored)
{
    const std::string value(100'000, 'r');
    StoreItem item { "op/config", value, 7, false };
    item.compressedValue = compress(value);
    const std::string body = encodeWatch({ item, StoreItem { "servers/u", "small", 8, false } }, 9);
    cr_assert_lt(body.size(), 5000);
    const auto page = decodeWatch(body);
    cr_assert_eq(page.value().items.size(), 2);
    cr_assert(page.value().items[0].value == value && page.value().items[1].value == "small");
    item.compressedValue = "damaged";
    cr_assert(decodeWatch(encodeWatch({ item }, 9)).value().items.empty());
}

// A watch must report deletions. An invalid or truncated answer of the store must be an error and never be read as an empty store.
Test(store, deletionsAreDecodedAndInvalidAnswersAreErrors)
{
    const auto page = decodeWatch(R"({"events":[{"key":"servers/u","revision":4,"tombstone":true}],"storeRevision":4})");
    cr_assert(page.value().items[0].isDeleted);
    cr_assert_not(decodeWatch(R"({"events":[]})").isOk());
    cr_assert_not(decodeWatch(R"({"storeRevision":4})").isOk());
    cr_assert_not(decodeRange("").isOk());
}

// Guards against a node that ends because a name in an order is no UTF-8.
Test(enginecalls, orderWithANameThatIsNoTextIsStillEncoded)
{
    const EngineOrder order { EngineOrder::Kind::Load, BaseModelId("m"), AdapterId("a\xff\xfe"), AdapterVersion(), UpstreamId("u") };
    const std::string body = orderBody(order, OrderAuthority { NodeId("n"), FencingToken(1) });
    cr_assert(body.find("\"model\":\"m\"") != std::string::npos);
}

Test(enginecalls, orderNamesLeaseHolderAndReportIsDecoded)
{
    const EngineOrder order { EngineOrder::Kind::Load, BaseModelId("m"), AdapterId("a1"), AdapterVersion("3"), UpstreamId("u") };
    const std::string body = orderBody(order, OrderAuthority { NodeId("n"), FencingToken(41) });
    cr_assert(body.find("\"fence\":41") != std::string::npos && body.find("\"holder\":\"n\"") != std::string::npos);
    cr_assert(body.find("\"version\":3") != std::string::npos);
    const auto report = decodeReport(R"({"models":[{"name":"m","adapters":["a1@1"]}],"coming":["m/a2@1"],"running":2})");
    cr_assert(report.value().loading[0].id == AdapterId("a2"));
    cr_assert_not(decodeReport(R"({"models":3})").isOk());
    cr_assert(decodeOrderAnswer(202) == OrderAnswer::Accepted && decodeOrderAnswer(500) == OrderAnswer::Refused);
}

// Guards against an adapter that occupies a place though its place is taken for free: an engine that cannot answer now may have taken an
// earlier order to load it.
Test(enginecalls, answerOfAnEngineThatIsUnavailableDoesNotFreeThePlace)
{
    cr_assert(decodeOrderAnswer(503) == OrderAnswer::Busy);
    cr_assert(decodeOrderAnswer(429) == OrderAnswer::Busy);
}

// A missing or invalid field must be an error that names it, so that the process does not start without it. Unknown fields are ignored.
Test(settings, errorNamesField)
{
    const auto settings = decodeSettings(Settings);
    cr_assert(settings.isOk(), "%s", settings.isOk() ? "" : settings.error().detail.c_str());
    cr_assert(settings.value().grace == Duration::seconds(8));
    cr_assert(settings.value().peerAddress == "10.0.0.1:3");
    cr_assert(decodeSettings(replaced(Settings, "graceS = 8", "")).error().detail.find("graceS") != std::string::npos);
    cr_assert(decodeSettings(replaced(Settings, "maxFds = 2870", "maxFds = 0")).error().detail.find("maxFds") != std::string::npos);
    cr_assert_eq(settings.value().maxAnswerBytes, 4U << 20U);
    cr_assert_eq(settings.value().memoryBytes, 128'000'000);
    const auto ownLimits = decodeSettings(Settings + "[answers]\nmaxBytes = 2048\nmaxEventBytes = 4096\nmaxUnreadBytes = 8192\n");
    cr_assert_eq(ownLimits.value().maxAnswerBytes, 2048);
    cr_assert_eq(ownLimits.value().maxEventBytes, 4096);
    cr_assert_eq(ownLimits.value().maxUnreadBytes, 8192);
    cr_assert_not(
        ownLimits.value().placement.limitsMemory || ownLimits.value().placement.weighsSpeed || ownLimits.value().placement.weighsDelays);
    const auto weighing = decodeSettings(Settings + "[engines]\nlimitMemory = true\nweighSpeed = true\nweighDelays = true\n");
    cr_assert(weighing.value().placement.limitsMemory && weighing.value().placement.weighsSpeed && weighing.value().placement.weighsDelays);
    cr_assert_not(decodeSettings(Settings + "[engines]\nlimitMemory = 1\n").isOk());
    const auto withoutAnswers = decodeSettings(Settings + "[answers]\nmaxEventBytes = 0\n");
    cr_assert(!withoutAnswers.isOk() && withoutAnswers.error().detail.find("answers.maxEventBytes") != std::string::npos);
    const auto withoutBound = decodeSettings(replaced(Settings, "configBoundMs = 2000", "configBoundMs = 0"));
    cr_assert(!withoutBound.isOk() && withoutBound.error().detail.find("configBoundMs") != std::string::npos);
    cr_assert(decodeSettings("node = ").error().detail.find("line 1") != std::string::npos);
}

namespace
{

std::string configurationWithTeams(const std::string &teams)
{
    std::string text = Configuration;
    text.insert(text.rfind('}'), ",\"tenants\":" + teams);
    return text;
}

} // namespace

Test(records, teamsAreDecoded)
{
    const auto decoded = decodeConfiguration(configurationWithTeams(
        R"([{"name":"t1","apiKeys":["k1","k2"],"priority":0,"unit":"token_stream","plainTokens":200,"ratePerS":1000,"burst":500},
            {"name":"t2","apiKeys":["k3"],"ratePerS":0}])"));
    cr_assert(decoded.isOk());
    const Team &first = decoded.value().teams.at(0);
    cr_assert(first.name == TeamName("t1") && first.keys.at(1) == KeyDigest::of("k2") && first.priority == 0);
    const TeamLimit limit { LimitUnit::Tokens, 1000, 500, 200 };
    cr_assert(*first.limit == limit);
    cr_assert(!decoded.value().teams.at(1).limit && !decoded.value().teams.at(1).priority);
    cr_assert(decodeConfiguration(Configuration).value().teams.empty());
}

// Guards against a configuration that is taken with teams that cannot be told apart, and against an error that shows a key.
Test(records, invalidTeamsAreRefusedWithoutShowingKeys)
{
    for (const char *teams : { R"([{"name":"t1","apiKeys":["secret1",""]}])", R"([{"name":"t1","apiKeys":["secret1",7]}])",
             R"([{"name":"t1","apiKeys":"secret1"}])", R"([{"apiKeys":["secret1"]}])",
             R"([{"name":"t1","apiKeys":["secret1"],"unit":"furlong"}])", R"([{"name":"t1","apiKeys":["secret1"],"ratePerS":-1}])" }) {
        const auto decoded = decodeConfiguration(configurationWithTeams(teams));
        cr_assert(!decoded.isOk() && decoded.error().detail.find("secret1") == std::string::npos, "%s", teams);
        // It stays invalid where nodes pass it on.
        cr_assert_not(decodeConfiguration(withKeyDigests(configurationWithTeams(teams))).isOk(), "%s", teams);
    }
}

// Guards against callers' keys in what nodes send each other.
Test(records, keysAreReplacedByDigests)
{
    const std::string text = configurationWithTeams(R"([{"name":"t1","apiKeys":["secret1","secret2"],"ratePerS":5}])");
    const std::string replaced = withKeyDigests(text);
    cr_assert(replaced.find("secret1") == std::string::npos && replaced.find("secret2") == std::string::npos);
    const auto before = decodeConfiguration(text);
    const auto after = decodeConfiguration(replaced);
    cr_assert(after.isOk() && after.value().version == before.value().version && after.value().routes.size() == 2);
    cr_assert(after.value().teams.at(0).keys == before.value().teams.at(0).keys);
    cr_assert(withKeyDigests(replaced) == replaced);
    cr_assert(withKeyDigests(R"({"apiKeys":["secret1")").find("secret1") == std::string::npos);
}

// Guards against a node that starts without the bound after which it must refuse keys.
Test(settings, boundOfWithdrawnKeysIsDecoded)
{
    std::string text = Settings;
    cr_assert_not(decodeSettings(text).value().revocationBound.has_value());
    text.insert(text.find("graceS"), "strictRevoke = true\nrevokeMs = 5000\nquotaWindowS = 8\nquotaOverage = 0.25\nquotaSlack = 110000\n");
    const auto settings = decodeSettings(text);
    cr_assert(settings.isOk() && settings.value().revocationBound == Duration(5000));
    cr_assert(settings.value().limitWindow == Duration(8000) && settings.value().limitReserve == 110'000);
    text = Settings;
    text.insert(text.find("graceS"), "strictRevoke = true\n");
    cr_assert_not(decodeSettings(text).isOk());
    text = Settings;
    text.insert(text.find("graceS"), "strictRevoke = \"yes\"\n");
    cr_assert_not(decodeSettings(text).isOk());
}

// A value of the store that is nested very deeply ended all nodes that read it.
Test(records, configurationThatIsNestedTooDeepIsInvalid)
{
    constexpr std::size_t Levels = 400'000;
    const std::string teams = R"([{"name":"t1","apiKeys":["secret1"],"x":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}]";
    const std::string text = configurationWithTeams(teams);
    cr_assert_not(decodeConfiguration(withKeyDigests(text)).isOk());
    cr_assert_not(decodeConfiguration(text).isOk());
}
