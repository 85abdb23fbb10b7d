#include "main/entry/tracecommand.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr int NotFoundExit = 1;
constexpr int UsageExit = 2;
// State changes shortly before the arrival of a request affect how it is handled, so they are included.
constexpr std::int64_t LookbackMs = 3000;

/** Nodes, upstreams and time range that the log lines of a request name. */
struct RequestSpan
{
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    std::int64_t from = INT64_MAX;
    std::int64_t to = 0;
};

bool readLines(const std::vector<std::string> &files, std::vector<Json> &lines, std::ostream &errors)
{
    for (const std::string &file : files) {
        std::ifstream in(file);
        if (!in) {
            errors << "cannot read " << file << "\n";
            return false;
        }
        std::string text;
        while (std::getline(in, text)) {
            const std::size_t begin = text.find('{');
            if (begin == std::string::npos) {
                continue;
            }
            Json line = Json::parse(text.substr(begin), nullptr, false);
            if (line.is_object() && line.contains("at") && line["at"].is_number_integer() && line.contains("node")
                && line.contains("part")) {
                lines.push_back(std::move(line));
            }
        }
    }
    return true;
}

RequestSpan findSpan(const std::vector<Json> &lines, const std::string &request)
{
    RequestSpan span;
    for (const Json &line : lines) {
        if (line.value("request", "") != request) {
            continue;
        }
        span.nodes.insert(line.value("node", ""));
        span.upstreams.insert(line.value("upstream", ""));
        span.from = std::min(span.from, line["at"].get<std::int64_t>());
        span.to = std::max(span.to, line["at"].get<std::int64_t>());
    }
    return span;
}

bool isRelevant(const Json &line, const std::string &request, const RequestSpan &span)
{
    if (line.contains("request")) {
        return line.value("request", "") == request;
    }
    const std::int64_t at = line["at"].get<std::int64_t>();
    if (!span.nodes.contains(line.value("node", "")) || at < span.from - LookbackMs || at > span.to) {
        return false;
    }
    const std::string part = line.value("part", "");
    if (part == "upstream") {
        return span.upstreams.contains(line.value("upstream", ""));
    }
    if (part == "orders") {
        return line.value("event", "") != "answered" || span.upstreams.contains(line.value("engine", ""));
    }
    return part == "config" || part == "store" || part == "node";
}

void printLine(const Json &line, std::int64_t from, std::ostream &out)
{
    out << line["at"].get<std::int64_t>() - from << " ms  " << line.value("node", "") << "  " << line.value("part", "") << ": "
        << line.value("event", "");
    for (const auto &[name, value] : line.items()) {
        if (name != "at" && name != "node" && name != "part" && name != "event" && name != "request") {
            out << "  " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    out << "\n";
}

} // namespace

int traceRequest(const TraceOptions &options, std::ostream &out, std::ostream &errors)
{
    std::vector<Json> lines;
    if (!readLines(options.files, lines, errors)) {
        return UsageExit;
    }
    const RequestSpan span = findSpan(lines, options.request);
    if (span.nodes.empty()) {
        errors << "no log line names request " << options.request << "\n";
        return NotFoundExit;
    }
    std::erase_if(lines, [&](const Json &line) { return !isRelevant(line, options.request, span); });
    std::stable_sort(
        lines.begin(), lines.end(), [](const Json &a, const Json &b) { return a["at"].get<std::int64_t>() < b["at"].get<std::int64_t>(); });
    for (const Json &line : lines) {
        if (options.isJson) {
            out << line.dump() << "\n";
        } else {
            printLine(line, span.from, out);
        }
    }
    return 0;
}

} // namespace ApricotStep
