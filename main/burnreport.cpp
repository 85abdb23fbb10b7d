#include "main/burnreport.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t FiveMinutes = 5;
constexpr std::size_t HalfHour = 30;
constexpr std::size_t OneHour = 60;
constexpr std::size_t SixHours = ServiceLevels::MinuteCount;
constexpr double PageBurn = 14.4;
constexpr double TicketBurn = 6;

std::string_view alertName(BurnAlert alert)
{
    switch (alert) {
    case BurnAlert::None:
        return "none";
    case BurnAlert::Ticket:
        return "ticket";
    case BurnAlert::Page:
        return "page";
    }
    return "";
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string all;
    for (const std::string &name : names) {
        all += (all.empty() ? "" : ", ") + name;
    }
    return all.empty() ? "none" : all;
}

std::string escapeHtml(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        safe += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
    }
    return safe;
}

Json classJson(const BurnClass &burnClass)
{
    Json minutes = Json::array();
    for (const EventCounts &counts : burnClass.minutes) {
        minutes.push_back({ counts.good, counts.bad });
    }
    const EventCounts all = burnClass.window(SixHours);
    return { { "target", burnClass.objective.target }, { "limit_ms", burnClass.objective.limit.milliseconds() }, { "good", all.good },
        { "bad", all.bad }, { "burn_5m", burnClass.burn(FiveMinutes) }, { "burn_30m", burnClass.burn(HalfHour) },
        { "burn_1h", burnClass.burn(OneHour) }, { "burn_6h", burnClass.burn(SixHours) }, { "budget_left", burnClass.budgetLeft() },
        { "alert", alertName(alertOf(burnClass)) }, { "minutes", minutes } };
}

BurnClass parseClass(const Json &json)
{
    BurnClass burnClass;
    burnClass.objective = { json.at("target").get<double>(), Duration(json.at("limit_ms").get<std::int64_t>()) };
    for (const Json &minute : json.at("minutes")) {
        burnClass.minutes.push_back({ minute.at(0).get<std::uint64_t>(), minute.at(1).get<std::uint64_t>() });
    }
    return burnClass;
}

// Plots the burn rate of each minute over six hours. The y axis ends at the highest rate, but never below 1.
std::string plotSvg(const BurnClass &burnClass)
{
    constexpr double Width = 720;
    constexpr double Height = 120;
    double maxRate = 1;
    for (const EventCounts &counts : burnClass.minutes) {
        maxRate = std::max(maxRate, burnRate(counts, burnClass.objective));
    }
    std::string points;
    const double step = Width / static_cast<double>(std::max<std::size_t>(burnClass.minutes.size(), 2) - 1);
    for (std::size_t i = 0; i < burnClass.minutes.size(); ++i) {
        const double rate = burnRate(burnClass.minutes[i], burnClass.objective);
        points += fmt::format("{:.1f},{:.1f} ", static_cast<double>(i) * step, Height - rate / maxRate * Height);
    }
    const double unitRateY = Height - Height / maxRate;
    return fmt::format(
        "<svg viewBox=\"-2 -2 {0} {1}\" width=\"100%\" role=\"img\" aria-label=\"burn rate by minute\"><rect width=\"{2}\" height=\"{3}\" "
        "fill=\"#f6f6f6\"/><line x1=\"0\" x2=\"{2}\" y1=\"{4:.1f}\" y2=\"{4:.1f}\" stroke=\"#999\" stroke-dasharray=\"4\"/>"
        "<polyline points=\"{5}\" fill=\"none\" stroke=\"#b03030\" stroke-width=\"1.5\"/>"
        "<text x=\"4\" y=\"12\" font-size=\"11\">highest {6:.2f}; dashed: 1</text></svg>",
        Width + 4, Height + 4, Width, Height, unitRateY, points, maxRate);
}

} // namespace

EventCounts BurnClass::window(std::size_t count) const
{
    EventCounts sum;
    for (std::size_t i = minutes.size() - std::min(count, minutes.size()); i < minutes.size(); ++i) {
        sum.good += minutes[i].good;
        sum.bad += minutes[i].bad;
    }
    return sum;
}

double BurnClass::burn(std::size_t minuteCount) const
{
    return burnRate(window(minuteCount), objective);
}

double BurnClass::budgetLeft() const
{
    return 1.0 - burn(SixHours);
}

BurnAlert alertOf(const BurnClass &burnClass)
{
    if (burnClass.burn(FiveMinutes) > PageBurn && burnClass.burn(OneHour) > PageBurn) {
        return BurnAlert::Page;
    }
    if (burnClass.burn(HalfHour) > TicketBurn && burnClass.burn(SixHours) > TicketBurn) {
        return BurnAlert::Ticket;
    }
    return BurnAlert::None;
}

Result<bool> BurnReport::add(const BurnReport &other)
{
    if (deployment != other.deployment) {
        return Error { ErrorKind::BadRequest,
            "node " + joinNames(other.nodes) + " belongs to deployment '" + other.deployment + "', not '" + deployment + "'" };
    }
    for (std::size_t i = 0; i < classes.size(); ++i) {
        BurnClass &mine = classes[i];
        const BurnClass &theirs = other.classes[i];
        if (mine.objective.target != theirs.objective.target || mine.objective.limit != theirs.objective.limit
            || mine.minutes.size() != theirs.minutes.size()) {
            return Error { ErrorKind::BadRequest,
                "node " + joinNames(other.nodes) + " has different objectives; set [objectives] alike on all nodes" };
        }
    }
    for (std::size_t i = 0; i < classes.size(); ++i) {
        for (std::size_t minute = 0; minute < classes[i].minutes.size(); ++minute) {
            classes[i].minutes[minute].good += other.classes[i].minutes[minute].good;
            classes[i].minutes[minute].bad += other.classes[i].minutes[minute].bad;
        }
    }
    nodes.insert(nodes.end(), other.nodes.begin(), other.nodes.end());
    missing.insert(missing.end(), other.missing.begin(), other.missing.end());
    return true;
}

BurnReport burnReportOf(const ServiceLevels &levels, const std::string &deployment, const std::string &node, Time now)
{
    BurnReport report;
    report.deployment = deployment;
    report.nodes = { node };
    for (std::size_t i = 0; i < ServiceClassCount; ++i) {
        const auto serviceClass = static_cast<ServiceClass>(i);
        report.classes[i] = { levels.objective(serviceClass), levels.series(serviceClass, SixHours, now) };
    }
    return report;
}

std::string burnJson(const BurnReport &report)
{
    Json classes = Json::object();
    for (std::size_t i = 0; i < ServiceClassCount; ++i) {
        classes[std::string(ServiceClassNames[i])] = classJson(report.classes[i]);
    }
    return Json {
        { "deployment", report.deployment }, { "nodes", report.nodes }, { "missing", report.missing }, { "classes", classes }
    }.dump();
}

Result<BurnReport> parseBurnJson(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        BurnReport report;
        report.deployment = json.at("deployment").get<std::string>();
        report.nodes = json.at("nodes").get<std::vector<std::string>>();
        report.missing = json.at("missing").get<std::vector<std::string>>();
        for (std::size_t i = 0; i < ServiceClassCount; ++i) {
            report.classes[i] = parseClass(json.at("classes").at(std::string(ServiceClassNames[i])));
        }
        return report;
    } catch (const Json::exception &exception) {
        return Error { ErrorKind::BadRequest, std::string("not a burn report: ") + exception.what() };
    }
}

std::string burnText(const BurnReport &report)
{
    std::string text =
        fmt::format("deployment {}  nodes {}  missing {}\n", report.deployment, joinNames(report.nodes), joinNames(report.missing));
    text += fmt::format("{:<9} {:>8} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>12} {}\n", "class", "target", "limit ms", "events 6h",
        "bad 6h", "burn 5m", "30m", "1h", "6h", "budget left", "alert");
    for (std::size_t i = 0; i < ServiceClassCount; ++i) {
        const BurnClass &burnClass = report.classes[i];
        const EventCounts all = burnClass.window(SixHours);
        text += fmt::format("{:<9} {:>8.4f} {:>9} {:>10} {:>8} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f} {:>11.1f}% {}\n", ServiceClassNames[i],
            burnClass.objective.target, burnClass.objective.limit.milliseconds(), all.total(), all.bad, burnClass.burn(FiveMinutes),
            burnClass.burn(HalfHour), burnClass.burn(OneHour), burnClass.burn(SixHours), burnClass.budgetLeft() * 100,
            alertName(alertOf(burnClass)));
    }
    return text;
}

std::string burnHtml(const BurnReport &report)
{
    std::string page = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>"
                       "body{font:15px sans-serif;max-width:800px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
                       "td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}.page{background:#f4b6b6}.ticket{background:#f7e3a1}"
                       "</style></head><body><h1>Service-level burn</h1>";
    page += "<p>Deployment " + escapeHtml(report.deployment) + ". Nodes: " + escapeHtml(joinNames(report.nodes))
        + ". Missing: " + escapeHtml(joinNames(report.missing)) + ".</p>";
    for (std::size_t i = 0; i < ServiceClassCount; ++i) {
        const BurnClass &burnClass = report.classes[i];
        const std::string_view alert = alertName(alertOf(burnClass));
        const EventCounts all = burnClass.window(SixHours);
        page += fmt::format(
            "<h2>{}</h2><table><tr><th>target</th><th>limit ms</th><th>events 6 h</th><th>bad</th><th>5 min</th><th>30 min</th>"
            "<th>1 h</th><th>6 h</th><th>budget left</th><th>alert</th></tr><tr><td>{:.4f}</td><td>{}</td><td>{}</td><td>{}</td>"
            "<td>{:.2f}</td><td>{:.2f}</td><td>{:.2f}</td><td>{:.2f}</td><td>{:.1f} %</td><td class=\"{}\">{}</td></tr></table>",
            ServiceClassNames[i], burnClass.objective.target, burnClass.objective.limit.milliseconds(), all.total(), all.bad,
            burnClass.burn(FiveMinutes), burnClass.burn(HalfHour), burnClass.burn(OneHour), burnClass.burn(SixHours),
            burnClass.budgetLeft() * 100, alert, alert);
        page += plotSvg(burnClass);
    }
    return page + "</body></html>\n";
}

} // namespace ApricotStep
