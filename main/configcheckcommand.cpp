#include "main/configcheckcommand.h"

#include "main/checkcommand.h"
#include "main/configcheck.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <optional>
#include <ostream>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

constexpr int WarningExit = 1;
constexpr int ErrorExit = 2;
// The store serves values of at most 16 MiB.
constexpr std::size_t MaxFileBytes = 16U << 20U;

std::optional<std::string> readFile(const std::string &path, std::ostream &errors)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(MaxFileBytes + 1, '\0');
    if (!file || file.read(text.data(), static_cast<std::streamsize>(text.size())).bad()) {
        errors << path << ": cannot be read\n";
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > MaxFileBytes) {
        errors << path << ": has more than " << MaxFileBytes << " bytes\n";
        return std::nullopt;
    }
    return text;
}

const char *severityName(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

const char *changeName(ChangeKind change)
{
    switch (change) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "";
}

// Names come from the file; control characters in them must not reach the terminal.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char byte) { return std::iscntrl(byte) != 0; }, '?');
    return text;
}

void printText(const ConfigReport &report, const ConfigCheckOptions &options, std::ostream &out)
{
    for (const ConfigFinding &finding : report.findings) {
        out << printable(fmt::format("{}: {}: {}: {}", options.file, severityName(finding.severity), finding.field, finding.message))
            << "\n";
    }
    for (const ConfigDifference &difference : report.differences) {
        std::string line = fmt::format("{} {}", changeName(difference.change), difference.type);
        line += difference.name.empty() ? "" : fmt::format(" '{}'", difference.name);
        const char *separator = ": ";
        for (const FieldChange &field : difference.fields) {
            line += fmt::format("{}{} {} -> {}", separator, field.field, field.before.empty() ? "none" : field.before,
                field.after.empty() ? "none" : field.after);
            separator = "; ";
        }
        out << printable(std::move(line)) << "\n";
    }
    const std::size_t errorCount = report.count(FindingSeverity::Error);
    out << printable(options.file) << ": ";
    if (errorCount == 0) {
        out << fmt::format("version {}, routes={} services={} teams={}, ", report.version, report.routes, report.services, report.teams);
    }
    out << fmt::format("errors={} warnings={}", errorCount, report.count(FindingSeverity::Warning));
    if (errorCount == 0 && !options.inForceFile.empty()) {
        out << " differences=" << report.differences.size();
    }
    out << "\n";
}

void printJson(const ConfigReport &report, const ConfigCheckOptions &options, std::ostream &out)
{
    Json root = { { "file", options.file }, { "errors", report.count(FindingSeverity::Error) },
        { "warnings", report.count(FindingSeverity::Warning) }, { "findings", Json::array() }, { "differences", Json::array() } };
    for (const ConfigFinding &finding : report.findings) {
        root["findings"].push_back(
            { { "severity", severityName(finding.severity) }, { "field", finding.field }, { "message", finding.message } });
    }
    for (const ConfigDifference &difference : report.differences) {
        Json fields = Json::array();
        for (const FieldChange &field : difference.fields) {
            fields.push_back({ { "field", field.field }, { "before", field.before }, { "after", field.after } });
        }
        root["differences"].push_back({ { "change", changeName(difference.change) }, { "type", difference.type },
            { "name", difference.name }, { "fields", std::move(fields) } });
    }
    if (report.count(FindingSeverity::Error) == 0) {
        root["version"] = report.version;
        root["routes"] = report.routes;
        root["services"] = report.services;
        root["teams"] = report.teams;
    }
    out << root.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

} // namespace

int runConfigCheck(const ConfigCheckOptions &options, std::ostream &out, std::ostream &errors)
{
    if (options.file.ends_with(".ini")) {
        if (options.isJson || options.isWarningError || !options.inForceFile.empty()) {
            errors << options.file << ": a catalog is checked without further options\n";
            return ErrorExit;
        }
        return checkConfig(options.file, out, errors);
    }
    const auto text = readFile(options.file, errors);
    const auto inForce = options.inForceFile.empty() ? std::optional<std::string>(std::string()) : readFile(options.inForceFile, errors);
    if (!text || !inForce) {
        return ErrorExit;
    }
    const ConfigReport report =
        checkConfiguration(*text, options.inForceFile.empty() ? std::nullopt : std::optional<std::string_view>(*inForce));
    if (options.isJson) {
        printJson(report, options, out);
    } else {
        printText(report, options, out);
    }
    if (report.count(FindingSeverity::Error) > 0) {
        return ErrorExit;
    }
    return options.isWarningError && !report.findings.empty() ? WarningExit : 0;
}

} // namespace ApricotStep
