#include "main/entry/entrymetrics.h"
#include "main/metrics.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include <criterion/criterion.h>

using namespace ApricotStep;

namespace
{

/** Returns the content of a file of the source tree, whose root is in APRICOTSTEP_SOURCE. */
std::string sourceFile(const std::string &name)
{
    const char *root = std::getenv("APRICOTSTEP_SOURCE");
    std::ifstream file(std::string(root != nullptr ? root : ".") + "/" + name);
    cr_assert(file.good(), "%s is not there; run in the root of the sources or set APRICOTSTEP_SOURCE", name.c_str());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Returns the rows that the reference page must have for the metrics in @p text, in Prometheus' text format. */
std::set<std::string> rowsOf(const std::string &text)
{
    std::map<std::string, std::string> help;
    std::map<std::string, std::string> type;
    std::map<std::string, std::set<std::string>> labels;
    std::istringstream lines(text);
    const std::regex label("([a-z_]+)=\"");
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string prefix;
        std::string kind;
        std::string name;
        words >> prefix >> kind >> name;
        if (prefix == "#") {
            std::string rest;
            std::getline(words >> std::ws, rest);
            (kind == "HELP" ? help : type)[name] = rest;
            continue;
        }
        const std::string sample = line.substr(0, line.find_first_of("{ "));
        for (std::sregex_iterator at(line.begin(), line.end(), label), end; at != end; ++at) {
            for (const char *suffix : { "", "_bucket" }) {
                const std::string family = sample.ends_with(suffix) ? sample.substr(0, sample.size() - std::string(suffix).size()) : "";
                if (help.contains(family) && at->str(1) != "le") {
                    labels[family].insert('`' + at->str(1) + '`');
                }
            }
        }
    }
    std::set<std::string> rows;
    for (const auto &[name, description] : help) {
        std::string all;
        for (const std::string &one : labels[name]) {
            all += (all.empty() ? "" : ", ") + one;
        }
        rows.insert("| `" + name + "` | " + type[name] + " | " + (all.empty() ? "none" : all) + " | " + description + " |");
    }
    return rows;
}

} // namespace

Test(metrics, referencePageMatchesMetrics)
{
    // Operators write alert rules with the reference page. A rule on a metric or label that no longer exists silently never fires.
    Metrics metrics;
    metrics.completionServed(Priority::Urgent, Duration(1), Duration(2), Duration(3));
    metrics.serviceCall("payments", 200, Duration(1));
    metrics.adapterLoad(true, Duration(1));
    metrics.eviction(true);
    metrics.forward("tried");
    metrics.configRefused("conflict");
    metrics.retry("engines");
    metrics.ejection("e1");
    EntryMetrics entry;
    entry.requestEnded(RequestKind::Stream, RequestOutcome::Served, Duration(1));
    entry.answerBegan(RequestKind::Stream, Duration(1));
    entry.sent(RequestKind::Stream, Duration(1), false);
    entry.upstreamFailed("broken");
    entry.upstreamLimitChanged(true);
    entry.withheld();
    entry.noEngineMemory();
    entry.upstreamRests();
    entry.brittleRefusal();
    entry.upstreamProbed("answered");
    entry.quarantine("held");
    entry.serviceReachability(false);
    entry.relayed("sent");
    entry.resumed("own");
    entry.slowReader("buffered");
    entry.clientLimit(ClientLimit::BodyMemory);
    entry.streamEnded(StreamTiming::OnTime);
    entry.order("done");
    entry.keyRefused("unauthenticated");
    entry.teamRequest(TeamName("t"), "admitted");
    entry.teamCredit(TeamName("t"), "spent", 1);
    const std::string page = sourceFile("docs/METRICS.md");
    std::set<std::string> documented;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("| `apricotstep_")) {
            documented.insert(line);
        }
    }
    for (const std::string &row : rowsOf(metrics.text() + entry.text(EntryGauges {}))) {
        cr_expect(documented.contains(row), "docs/METRICS.md lacks: %s", row.c_str());
        documented.erase(row);
    }
    for (const std::string &row : documented) {
        cr_expect(false, "no such metric, or not used above: %s", row.c_str());
    }
    // A metric with labels appears only after its first use, so metrics that are not used above are found in the source.
    const std::string source = sourceFile("main/metrics.cpp") + sourceFile("main/metrics.h") + sourceFile("main/entry/entrymetrics.cpp");
    const std::regex name("\"(apricotstep_[a-z_]+)\"");
    for (std::sregex_iterator at(source.begin(), source.end(), name), end; at != end; ++at) {
        cr_expect(page.find('`' + at->str(1) + '`') != std::string::npos, "docs/METRICS.md lacks %s", at->str(1).c_str());
    }
}

Test(metrics, alertRulesUseExistingMetrics)
{
    const std::string page = sourceFile("docs/METRICS.md");
    const std::string rules = sourceFile("examples/alert-rules.yml");
    const std::regex name("apricotstep_[a-z_]+");
    int count = 0;
    for (std::sregex_iterator at(rules.begin(), rules.end(), name), end; at != end; ++at, ++count) {
        const std::string family = std::regex_replace(at->str(), std::regex("_(bucket|count|sum)$"), "");
        cr_expect(page.find('`' + family + '`') != std::string::npos, "docs/METRICS.md lacks %s", family.c_str());
    }
    cr_assert_gt(count, 0);
}
