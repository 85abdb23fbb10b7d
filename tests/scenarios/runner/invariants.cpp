#include "tests/scenarios/runner/invariants.h"

#include "tests/scenarios/runner/plainhttp.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Scenario
{

namespace
{

using Json = nlohmann::json;

constexpr int CountTimeoutMs = 3000;

Json readJson(const std::string &address, const std::string &path)
{
    return Json::parse(callHttp("http://" + address + path, "", {}, CountTimeoutMs).body, nullptr, false);
}

int countFor(const std::map<std::string, int> &counts, const std::string &tag)
{
    const auto at = counts.find(tag);
    return at == counts.end() ? 0 : at->second;
}

void checkAttempt(const RequestRecord &record, const Attempt &attempt, std::vector<std::string> &violations)
{
    if (attempt.isSilentlyTruncated) {
        violations.push_back(record.tag + ": a truncated response looked complete to the caller");
    }
    if (attempt.outcome != Outcome::Ok || record.isPayment || attempt.isSilentlyTruncated) {
        return;
    }
    if (!attempt.body.starts_with(attempt.adapter + ":" + record.tag)) {
        violations.push_back(record.tag + ": received the response of another request or adapter: '" + attempt.body.substr(0, 60) + "'");
    }
    if (!record.allowed.empty() && std::find(record.allowed.begin(), record.allowed.end(), attempt.adapter) == record.allowed.end()) {
        violations.push_back(record.tag + ": ran on " + attempt.adapter);
    }
}

void checkRecord(const RequestRecord &record, const StandinCounts &counts, std::vector<std::string> &violations)
{
    for (const Attempt &attempt : record.attempts) {
        checkAttempt(record, attempt, violations);
    }
    const int runCount = countFor(record.isPayment ? counts.runs : counts.generated, record.tag);
    const bool isReportedNotRun = std::all_of(
        record.attempts.begin(), record.attempts.end(), [](const Attempt &attempt) { return attempt.outcome == Outcome::NotRun; });
    if (isReportedNotRun && runCount > 0) {
        violations.push_back(record.tag + ": the caller was told 'not run' (" + record.lastAttempt().code + "), but it ran "
            + std::to_string(runCount) + " times");
    }
    if (record.isPayment && runCount > 1) {
        violations.push_back(record.tag + ": a one-time request ran " + std::to_string(runCount) + " times");
    }
    if (record.isPayment && record.lastAttempt().outcome == Outcome::Ok && runCount != 1) {
        violations.push_back(record.tag + ": reported as done, but ran " + std::to_string(runCount) + " times");
    }
}

} // namespace

StandinCounts readCounts(const TestCluster &cluster)
{
    StandinCounts counts;
    for (const std::string &engine : cluster.engines()) {
        const Json prompts = readJson(cluster.directAddress(engine), "/control/prompts");
        for (const auto &[tag, count] : prompts.items()) {
            counts.generated[tag] += count.get<int>();
        }
        counts.evictedInUse += readJson(cluster.directAddress(engine), "/v1/load_report").value("evicted_in_use", 0);
    }
    for (const std::string &service : cluster.services()) {
        const Json bodies = readJson(cluster.directAddress(service), "/control/runs").value("bodies", Json::object());
        for (const auto &[tag, count] : bodies.items()) {
            counts.runs[tag] += count.get<int>();
        }
    }
    return counts;
}

std::vector<std::string> findViolations(const std::vector<RequestRecord> &records, const StandinCounts &counts)
{
    std::vector<std::string> violations;
    for (const RequestRecord &record : records) {
        checkRecord(record, counts, violations);
    }
    if (counts.evictedInUse > 0) {
        violations.push_back("an adapter in use was evicted " + std::to_string(counts.evictedInUse) + " times");
    }
    return violations;
}

} // namespace Scenario
