#include "tests/scenarios/runner/judge.h"

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

int countOf(const std::map<std::string, int> &counts, const std::string &mark)
{
    const auto at = counts.find(mark);
    return at == counts.end() ? 0 : at->second;
}

void judgeAnswer(const Record &record, const Answer &answer, std::vector<std::string> &broken)
{
    if (answer.isSilentlyCut) {
        broken.push_back(record.mark + ": an answer was cut and looked whole");
    }
    if (answer.outcome != Outcome::Ok || record.isPayment || answer.isSilentlyCut) {
        return;
    }
    if (!answer.body.starts_with(answer.adapter + ":" + record.mark)) {
        broken.push_back(record.mark + ": got another request's answer or ran on another adapter: '" + answer.body.substr(0, 60) + "'");
    }
    if (!record.allowed.empty() && std::find(record.allowed.begin(), record.allowed.end(), answer.adapter) == record.allowed.end()) {
        broken.push_back(record.mark + ": ran on " + answer.adapter);
    }
}

void judgeRecord(const Record &record, const Counts &counts, std::vector<std::string> &broken)
{
    for (const Answer &answer : record.answers) {
        judgeAnswer(record, answer, broken);
    }
    const int ran = countOf(record.isPayment ? counts.runs : counts.generated, record.mark);
    const bool isToldNotRun =
        std::all_of(record.answers.begin(), record.answers.end(), [](const Answer &answer) { return answer.outcome == Outcome::NotRun; });
    if (isToldNotRun && ran > 0) {
        broken.push_back(record.mark + ": told 'not run' (" + record.last().code + ") and ran " + std::to_string(ran) + " times");
    }
    if (record.isPayment && ran > 1) {
        broken.push_back(record.mark + ": a one-time request ran " + std::to_string(ran) + " times");
    }
    if (record.isPayment && record.last().outcome == Outcome::Ok && ran != 1) {
        broken.push_back(record.mark + ": answered as done and ran " + std::to_string(ran) + " times");
    }
}

} // namespace

Counts readCounts(const TestCluster &cluster)
{
    Counts counts;
    for (const std::string &engine : cluster.engines()) {
        const Json prompts = readJson(cluster.directAddress(engine), "/control/prompts");
        for (const auto &[mark, count] : prompts.items()) {
            counts.generated[mark] += count.get<int>();
        }
        counts.evictedInUse += readJson(cluster.directAddress(engine), "/v1/load_report").value("evicted_in_use", 0);
    }
    for (const std::string &service : cluster.services()) {
        const Json bodies = readJson(cluster.directAddress(service), "/control/runs").value("bodies", Json::object());
        for (const auto &[mark, count] : bodies.items()) {
            counts.runs[mark] += count.get<int>();
        }
    }
    return counts;
}

std::vector<std::string> brokenPromises(const std::vector<Record> &records, const Counts &counts)
{
    std::vector<std::string> broken;
    for (const Record &record : records) {
        judgeRecord(record, counts, broken);
    }
    if (counts.evictedInUse > 0) {
        broken.push_back("an adapter in use was evicted " + std::to_string(counts.evictedInUse) + " times");
    }
    return broken;
}

} // namespace Scenario
