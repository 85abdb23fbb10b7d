#include "main/configcheck.h"

#include "core/jsonnesting.h"
#include "platform/configfields.h"
#include "platform/records.h"
#include "state/routetable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <utility>

namespace ApricotStep
{

namespace ConfigField = Platform::ConfigField;

namespace
{

using Json = nlohmann::json;
using Findings = std::vector<ConfigFinding>;

constexpr const char *WholeConfiguration = "configuration";

std::string fieldOf(const std::string &path, const char *name)
{
    return path + "." + name;
}

std::string entryPath(const std::string &list, std::size_t index)
{
    return fmt::format("{}[{}]", list, index);
}

void addError(Findings &findings, std::string field, std::string message)
{
    findings.push_back({ FindingSeverity::Error, std::move(field), std::move(message) });
}

void addWarning(Findings &findings, std::string field, std::string message)
{
    findings.push_back({ FindingSeverity::Warning, std::move(field), std::move(message) });
}

// The messages of nlohmann::json quote the text, which may be a key, so only the position is used.
std::string syntaxError(std::string_view text, std::size_t position)
{
    const std::string_view before = text.substr(0, std::min(position == 0 ? 0 : position - 1, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n');
    const std::size_t column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    return fmt::format(
        "not valid JSON at line {}, column {}{}", line, column, before.size() == text.size() ? " (the end of the text)" : "");
}

std::optional<Json> parseJson(std::string_view text, Findings &findings)
{
    if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
        addError(findings, WholeConfiguration, "the text is empty");
        return std::nullopt;
    }
    if (isJsonNestedTooDeep(text)) {
        addError(findings, WholeConfiguration, fmt::format("nested more than {} levels deep", MaxJsonNesting));
        return std::nullopt;
    }
    try {
        return Json::parse(text);
    } catch (const Json::parse_error &error) {
        addError(findings, WholeConfiguration, syntaxError(text, error.byte));
    } catch (const Json::out_of_range &) {
        addError(findings, WholeConfiguration, "a number is too large for a 64-bit floating-point value");
    }
    return std::nullopt;
}

/** The number of letters to insert, remove, replace or swap with the next one to get from one word to the other. */
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::vector<std::size_t>> rows(from.size() + 1, std::vector<std::size_t>(to.size() + 1));
    for (std::size_t i = 0; i <= from.size(); ++i) {
        for (std::size_t j = 0; j <= to.size(); ++j) {
            if (i == 0 || j == 0) {
                rows[i][j] = i + j;
                continue;
            }
            const std::size_t replaced = rows[i - 1][j - 1] + (from[i - 1] == to[j - 1] ? 0 : 1);
            rows[i][j] = std::min({ replaced, rows[i - 1][j] + 1, rows[i][j - 1] + 1 });
            if (i > 1 && j > 1 && from[i - 1] == to[j - 2] && from[i - 2] == to[j - 1]) {
                rows[i][j] = std::min(rows[i][j], rows[i - 2][j - 2] + 1);
            }
        }
    }
    return rows[from.size()][to.size()];
}

std::string decodeError(const Json &root)
{
    const auto decoded = Platform::decodeConfiguration(root.dump());
    return decoded.isOk() ? std::string() : decoded.error().detail;
}

std::string tableError(RouteTableSource source)
{
    const auto table = RouteTable::make(std::move(source));
    return table.isOk() ? std::string() : table.error().detail;
}

// The decoder stops at its first error. Decoding each entry by itself finds the errors of all entries, and where they are.
void addDecodeErrors(const Json &root, const std::string &wholeError, Findings &findings)
{
    const std::size_t countBefore = findings.size();
    const auto check = [&findings](const std::string &key, Json value, std::string field) {
        Json part = { { "version", 1 } };
        part[key] = std::move(value);
        if (std::string error = decodeError(part); !error.empty()) {
            addError(findings, std::move(field), std::move(error));
        }
    };
    if (!root.is_object()) {
        addError(findings, WholeConfiguration, wholeError);
        return;
    }
    if (!root.contains("version")) {
        check("version", nullptr, "version");
    }
    for (const auto &[key, value] : root.items()) {
        if (!value.is_array()) {
            check(key, value, key);
            continue;
        }
        for (std::size_t i = 0; i < value.size(); ++i) {
            check(key, Json::array_t(1, value[i]), fmt::format("{}[{}]", key, i));
        }
    }
    if (findings.size() == countBefore) {
        addError(findings, WholeConfiguration, wholeError);
    }
}

// Like addDecodeErrors(): entries that are invalid by themselves first, then those that contradict each other.
void addTableErrors(const RouteTableSource &source, const std::string &wholeError, Findings &findings)
{
    const std::size_t countBefore = findings.size();
    RouteTableSource validRoutes;
    validRoutes.services = source.services;
    for (std::size_t i = 0; i < source.routes.size(); ++i) {
        RouteTableSource part;
        part.routes = { source.routes[i] };
        for (const RouteTarget &target : source.routes[i].targets) {
            const auto isTarget = [&target](const RoutedService &service) { return service.name == target.service; };
            const auto at = std::find_if(source.services.begin(), source.services.end(), isTarget);
            if (at != source.services.end()) {
                part.services.push_back(*at);
            }
        }
        if (std::string error = tableError(std::move(part)); !error.empty()) {
            addError(findings, entryPath(ConfigField::Routes, i), std::move(error));
        } else {
            validRoutes.routes.push_back(source.routes[i]);
        }
    }
    if (std::string error = tableError(std::move(validRoutes)); !error.empty()) {
        addError(findings, ConfigField::Routes, std::move(error));
    }
    RouteTableSource validTeams;
    for (std::size_t i = 0; i < source.teams.size(); ++i) {
        RouteTableSource part;
        part.teams = { source.teams[i] };
        if (std::string error = tableError(std::move(part)); !error.empty()) {
            addError(findings, entryPath(ConfigField::Teams, i), std::move(error));
        } else {
            validTeams.teams.push_back(source.teams[i]);
        }
    }
    if (std::string error = tableError(std::move(validTeams)); !error.empty()) {
        addError(findings, ConfigField::Teams, std::move(error));
    }
    if (findings.size() == countBefore) {
        addError(findings, WholeConfiguration, wholeError);
    }
}

void checkRoutes(const RouteTableSource &source, const RouteTable &table, Findings &findings)
{
    absl::flat_hash_map<std::string, std::size_t> indexByName;
    for (std::size_t i = 0; i < source.routes.size(); ++i) {
        const Route &route = source.routes[i];
        const std::string path = entryPath(ConfigField::Routes, i);
        const Route *found = table.find(route.host, route.pathPrefix);
        if (found == nullptr) {
            addWarning(findings, path + ".host",
                fmt::format(
                    "route '{}' never matches: requests are compared without a port, and the host is '{}'", route.name, route.host));
        } else if (found->name != route.name || found->pathPrefix != route.pathPrefix) {
            addWarning(findings, fieldOf(path, ConfigField::PathPrefix),
                fmt::format("route '{}' is shadowed by route '{}'", route.name, found->name));
        }
        if (route.pathPrefix.find_first_of("?#") != std::string::npos) {
            addWarning(findings, fieldOf(path, ConfigField::PathPrefix),
                fmt::format("route '{}' never matches: requests are compared by path without query, and the prefix is '{}'", route.name,
                    route.pathPrefix));
        }
        if (route.timeout < route.latencyObjective) {
            addWarning(findings, fieldOf(path, ConfigField::Timeout),
                fmt::format("route '{}' ends requests after {} ms, before its '{}' of {} ms", route.name, route.timeout.milliseconds(),
                    ConfigField::LatencyObjective, route.latencyObjective.milliseconds()));
        }
        if (route.eventGapObjective > route.timeout) {
            addWarning(findings, fieldOf(path, ConfigField::EventGapObjective),
                fmt::format("route '{}' allows gaps of {} ms between events, which is over its '{}' of {} ms", route.name,
                    route.eventGapObjective.milliseconds(), ConfigField::Timeout, route.timeout.milliseconds()));
        }
        if (const auto [at, isNew] = indexByName.emplace(route.name, i); !isNew) {
            addWarning(findings, path + ".name",
                fmt::format("routes[{}] has the name '{}' as well, so logs and metrics do not tell them apart", at->second, route.name));
        }
    }
}

void checkEngine(const RoutedService &service, const std::string &path, Findings &findings)
{
    const EngineSpec &engine = *service.engine;
    const bool hasAdapters =
        std::any_of(engine.models.begin(), engine.models.end(), [](const BaseModelSpec &model) { return model.adapterMb > 0; });
    if (engine.adapterSlots == 0 && hasAdapters) {
        addWarning(findings, fieldOf(path, ConfigField::AdapterSlots),
            fmt::format("service '{}' has models with adapters, but no adapter slots, so no adapter can be loaded", service.name.value()));
    }
    if (!(engine.kvCacheTokens > 0)) {
        addWarning(findings, fieldOf(path, ConfigField::KvCacheTokens),
            fmt::format("service '{}' has a KV cache of 0 tokens, so requests are not checked against the memory of its engines",
                service.name.value()));
    }
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
        const BaseModelSpec &model = engine.models[i];
        if (model.weightsMb > engine.weightsMb) {
            addWarning(findings, fieldOf(entryPath(fieldOf(path, ConfigField::Models), i), ConfigField::WeightsMb),
                fmt::format("model '{}' needs {} MB, and engines of service '{}' have {} MB for weights", model.id.value(), model.weightsMb,
                    service.name.value(), engine.weightsMb));
        } else if (engine.weightsMb > 0 && model.weightsMb + model.adapterMb > engine.weightsMb) {
            addWarning(findings, fieldOf(entryPath(fieldOf(path, ConfigField::Models), i), ConfigField::AdapterMb),
                fmt::format(
                    "an adapter of model '{}' needs {} MB, and engines of service '{}' have room for {} MB beside the model, so requests "
                    "for its adapters are refused",
                    model.id.value(), model.adapterMb, service.name.value(), engine.weightsMb - model.weightsMb));
        }
    }
}

void checkServices(const RouteTableSource &source, Findings &findings)
{
    absl::flat_hash_set<ServiceName> routed;
    for (const Route &route : source.routes) {
        for (const RouteTarget &target : route.targets) {
            routed.insert(target.service);
        }
    }
    absl::flat_hash_map<ServiceName, std::size_t> indexByName;
    for (std::size_t i = 0; i < source.services.size(); ++i) {
        const RoutedService &service = source.services[i];
        const std::string path = entryPath(ConfigField::Services, i);
        if (const auto [at, isNew] = indexByName.emplace(service.name, i); !isNew) {
            addWarning(findings, path + ".name",
                fmt::format("services[{}] has the name '{}' as well, so this one is not used", at->second, service.name.value()));
        } else if (!routed.contains(service.name)) {
            addWarning(findings, path + ".name", fmt::format("no route sends requests to service '{}'", service.name.value()));
        }
        if (service.engine) {
            checkEngine(service, fieldOf(path, ConfigField::Engine), findings);
        }
    }
}

void checkTeams(const RouteTableSource &source, const Json &root, Findings &findings)
{
    for (std::size_t i = 0; i < source.teams.size(); ++i) {
        const Team &team = source.teams[i];
        const std::string path = entryPath(ConfigField::Teams, i);
        if (team.keys.empty()) {
            addWarning(findings, fieldOf(path, ConfigField::Keys),
                fmt::format("team '{}' has no key, so no request can name it", team.name.value()));
        }
        // The decoder leaves out a limit without a rate; only the text tells that the operator wrote one.
        const Json &entry = root[ConfigField::Teams][i];
        const auto isSet = [&entry](const char *name) { return entry.contains(name) && !entry[name].is_null(); };
        if (!team.limit && (isSet(ConfigField::Unit) || isSet(ConfigField::Burst))) {
            addWarning(findings, fieldOf(path, ConfigField::RequestRate),
                fmt::format("team '{}' has a limit without a rate, so its requests are not limited", team.name.value()));
        }
    }
}

using FieldNames = std::vector<std::string_view>;

// Nodes ignore fields that they do not know, so a misspelled one has no effect. Other unknown fields may be meant for other programs.
std::string_view meantName(std::string_view written, const FieldNames &known)
{
    constexpr std::size_t MinLength = 4;
    constexpr std::size_t MinLengthForTwo = 8;
    const auto isMeant = [written](std::string_view name) {
        if (absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()), absl::string_view(written.data(), written.size()))) {
            return true;
        }
        const std::size_t length = std::min(name.size(), written.size());
        const std::size_t maxDistance = length >= MinLengthForTwo ? 2 : 1;
        const std::size_t difference = std::max(name.size(), written.size()) - length;
        return length >= MinLength && difference <= maxDistance && editDistance(written, name) <= maxDistance;
    };
    if (std::find(known.begin(), known.end(), written) != known.end()) {
        return {};
    }
    const auto at = std::find_if(known.begin(), known.end(), isMeant);
    return at != known.end() ? *at : std::string_view();
}

void checkFieldNames(const Json &object, const std::string &path, const FieldNames &known, Findings &findings)
{
    if (!object.is_object()) {
        return;
    }
    for (const auto &[key, value] : object.items()) {
        if (const std::string_view meant = meantName(key, known); !meant.empty()) {
            addWarning(findings, path.empty() ? key : fieldOf(path, key.c_str()),
                fmt::format("unknown field, which has no effect; is '{}' meant?", meant));
        }
    }
}

const Json &member(const Json &object, const char *name)
{
    static const Json nothing;
    const auto at = object.is_object() ? object.find(name) : object.end();
    return at != object.end() ? *at : nothing;
}

void checkListNames(const Json &object, const char *list, const std::string &path, const FieldNames &known, Findings &findings)
{
    const Json &entries = member(object, list);
    for (std::size_t i = 0; entries.is_array() && i < entries.size(); ++i) {
        checkFieldNames(entries[i], entryPath(path.empty() ? list : fieldOf(path, list), i), known, findings);
    }
}

void checkNames(const Json &root, Findings &findings)
{
    namespace Field = ConfigField;
    checkFieldNames(root, "", { Field::Version, Field::Routes, Field::Services, Field::Teams, Field::Limits }, findings);
    checkListNames(root, Field::Routes, "",
        { Field::Name, Field::Host, Field::PathPrefix, Field::Kind, Field::Timeout, Field::LatencyObjective, Field::EventGapObjective,
            Field::MaxAttempts, Field::Resumable, Field::Public, Field::Priority, Field::Service, Field::Split, Field::Sticky },
        findings);
    checkListNames(root, Field::Services, "", { Field::Name, Field::HealthPath, Field::MaxConnections, Field::Engine }, findings);
    const Json &services = member(root, Field::Services);
    for (std::size_t i = 0; services.is_array() && i < services.size(); ++i) {
        const std::string path = fieldOf(entryPath(Field::Services, i), Field::Engine);
        const Json &engine = member(services[i], Field::Engine);
        checkFieldNames(
            engine, path, { Field::WeightsMb, Field::AdapterSlots, Field::KvCacheTokens, Field::LoadsPerSecond, Field::Models }, findings);
        checkListNames(engine, Field::Models, path,
            { Field::Name, Field::WeightsMb, Field::AdapterMb, Field::LoadTime, Field::AdapterCount }, findings);
    }
    checkListNames(root, Field::Teams, "",
        { Field::Name, Field::Keys, Field::Priority, Field::Unit, Field::RequestRate, Field::Burst, Field::PlainTokens }, findings);
    checkFieldNames(member(root, Field::Limits), Field::Limits,
        { Field::MaxHeaderBytes, Field::MaxBodyBytes, Field::HeaderTimeout, Field::IdleTimeout }, findings);
}

/** A configuration that nodes accept. */
struct ValidConfiguration
{
    Json root;
    RouteTableSource source;
    std::shared_ptr<const RouteTable> table;
};

std::optional<ValidConfiguration> readConfiguration(std::string_view text, Findings &findings)
{
    std::optional<Json> root = parseJson(text, findings);
    if (!root) {
        return std::nullopt;
    }
    const auto decoded = Platform::decodeConfiguration(text);
    if (!decoded.isOk()) {
        addDecodeErrors(*root, decoded.error().detail, findings);
        return std::nullopt;
    }
    const auto table = RouteTable::make(decoded.value());
    if (!table.isOk()) {
        addTableErrors(decoded.value(), table.error().detail, findings);
        return std::nullopt;
    }
    return ValidConfiguration { std::move(*root), decoded.value(), table.value() };
}

// Fields as an operator writes them, in the order in which differences are listed.
using Fields = std::vector<std::pair<std::string, std::string>>;

/** One entry of a configuration in a form that can be compared. */
struct Entry
{
    std::string name;
    Fields fields;
    std::vector<KeyDigest> keys;
};

Entry entryOf(const Route &route)
{
    std::string targets;
    for (const RouteTarget &target : route.targets) {
        targets += fmt::format("{}{}:{}", targets.empty() ? "" : ", ", target.service.value(), target.weight);
    }
    return { route.name,
        { { "host", route.host }, { ConfigField::PathPrefix, route.pathPrefix }, { "kind", std::string(requestKindName(route.kind)) },
            { ConfigField::Timeout, fmt::to_string(route.timeout.milliseconds()) },
            { ConfigField::LatencyObjective, fmt::to_string(route.latencyObjective.milliseconds()) },
            { ConfigField::EventGapObjective, fmt::to_string(route.eventGapObjective.milliseconds()) },
            { ConfigField::Priority, fmt::to_string(route.priority) }, { ConfigField::MaxAttempts, fmt::to_string(route.maxAttempts) },
            { ConfigField::Resumable, fmt::to_string(route.isResumable) }, { ConfigField::Public, fmt::to_string(route.isPublic) },
            { "services", targets } },
        {} };
}

Entry entryOf(const RoutedService &service)
{
    Entry entry { service.name.value(),
        { { ConfigField::HealthPath, service.healthPath }, { ConfigField::MaxConnections, fmt::to_string(service.maxConnections) } }, {} };
    if (!service.engine) {
        return entry;
    }
    const EngineSpec &engine = *service.engine;
    entry.fields.emplace_back(fieldOf(ConfigField::Engine, ConfigField::WeightsMb), fmt::to_string(engine.weightsMb));
    entry.fields.emplace_back(fieldOf(ConfigField::Engine, ConfigField::AdapterSlots), fmt::to_string(engine.adapterSlots));
    entry.fields.emplace_back(fieldOf(ConfigField::Engine, ConfigField::KvCacheTokens), fmt::to_string(engine.kvCacheTokens));
    entry.fields.emplace_back(fieldOf(ConfigField::Engine, ConfigField::LoadsPerSecond), fmt::to_string(engine.loadsPerSecond));
    for (const BaseModelSpec &model : engine.models) {
        const std::string path = fmt::format("{}.{}['{}'].", ConfigField::Engine, ConfigField::Models, model.id.value());
        entry.fields.emplace_back(path + ConfigField::WeightsMb, fmt::to_string(model.weightsMb));
        entry.fields.emplace_back(path + ConfigField::AdapterMb, fmt::to_string(model.adapterMb));
        entry.fields.emplace_back(path + ConfigField::LoadTime, fmt::to_string(model.loadTime.toSeconds()));
    }
    return entry;
}

Entry entryOf(const Team &team)
{
    Entry entry { team.name.value(), {}, team.keys };
    if (team.priority) {
        entry.fields.emplace_back(ConfigField::Priority, fmt::to_string(*team.priority));
    }
    if (team.limit) {
        entry.fields.emplace_back(
            ConfigField::Unit, team.limit->unit == LimitUnit::Tokens ? ConfigField::TokenUnit : ConfigField::RequestUnit);
        entry.fields.emplace_back(ConfigField::RequestRate, fmt::to_string(team.limit->ratePerSecond));
        entry.fields.emplace_back(ConfigField::Burst, fmt::to_string(team.limit->burst));
        entry.fields.emplace_back(ConfigField::PlainTokens, fmt::to_string(team.limit->plainRequestTokens));
    }
    return entry;
}

Entry entryOf(const CallerLimits &limits)
{
    return { {},
        { { ConfigField::MaxHeaderBytes, fmt::to_string(limits.headerBytes) },
            { ConfigField::MaxBodyBytes, fmt::to_string(limits.bodyBytes) },
            { ConfigField::HeaderTimeout, fmt::to_string(limits.headerTimeout.milliseconds()) },
            { ConfigField::IdleTimeout, fmt::to_string(limits.idleTimeout.milliseconds()) } },
        {} };
}

std::vector<FieldChange> compareFields(const Entry &before, const Entry &after)
{
    const auto valueOf = [](const Fields &fields, const std::string &name) {
        const auto at = std::find_if(fields.begin(), fields.end(), [&name](const auto &field) { return field.first == name; });
        return at == fields.end() ? std::string() : at->second;
    };
    std::vector<FieldChange> changes;
    for (const auto &[name, value] : after.fields) {
        if (std::string old = valueOf(before.fields, name); old != value) {
            changes.push_back({ name, std::move(old), value });
        }
    }
    for (const auto &[name, value] : before.fields) {
        if (valueOf(after.fields, name).empty() && !value.empty()
            && std::none_of(changes.begin(), changes.end(), [&name = name](const FieldChange &change) { return change.field == name; })) {
            changes.push_back({ name, value, {} });
        }
    }
    const absl::flat_hash_set<KeyDigest> oldKeys(before.keys.begin(), before.keys.end());
    const absl::flat_hash_set<KeyDigest> newKeys(after.keys.begin(), after.keys.end());
    if (oldKeys != newKeys) {
        const auto added = std::count_if(newKeys.begin(), newKeys.end(), [&](const KeyDigest &key) { return !oldKeys.contains(key); });
        changes.push_back({ ConfigField::Keys, fmt::to_string(oldKeys.size()), fmt::format("{} ({} new)", newKeys.size(), added) });
    }
    return changes;
}

// Entries are compared by name. The first of two entries with the same name counts, as it does for services.
template<typename T>
void compareEntries(const char *type, const std::vector<T> &before, const std::vector<T> &after, std::vector<ConfigDifference> &differences)
{
    std::map<std::string, std::pair<std::optional<Entry>, std::optional<Entry>>> pairs;
    const auto collect = [&pairs](const std::vector<T> &values, auto member) {
        for (const T &value : values) {
            Entry entry = entryOf(value);
            std::optional<Entry> &place = pairs[entry.name].*member;
            if (!place) {
                place = std::move(entry);
            }
        }
    };
    using Pair = std::pair<std::optional<Entry>, std::optional<Entry>>;
    collect(before, &Pair::first);
    collect(after, &Pair::second);
    for (const auto &[name, pair] : pairs) {
        if (!pair.first) {
            differences.push_back({ ChangeKind::Added, type, name, {} });
        } else if (!pair.second) {
            differences.push_back({ ChangeKind::Removed, type, name, {} });
        } else if (auto fields = compareFields(*pair.first, *pair.second); !fields.empty()) {
            differences.push_back({ ChangeKind::Changed, type, name, std::move(fields) });
        }
    }
}

// Nodes order routes by host and prefix, so the order of the text makes no difference.
std::vector<ConfigDifference> compare(const RouteTableSource &before, const RouteTableSource &after)
{
    std::vector<ConfigDifference> differences;
    compareEntries("route", before.routes, after.routes, differences);
    compareEntries("service", before.services, after.services, differences);
    compareEntries("team", before.teams, after.teams, differences);
    if (auto fields = compareFields(entryOf(before.limits), entryOf(after.limits)); !fields.empty()) {
        differences.push_back({ ChangeKind::Changed, "limits", {}, std::move(fields) });
    }
    return differences;
}

} // namespace

std::size_t ConfigReport::count(FindingSeverity severity) const
{
    const auto hasSeverity = [severity](const ConfigFinding &finding) { return finding.severity == severity; };
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), hasSeverity));
}

ConfigReport checkConfiguration(std::string_view text, std::optional<std::string_view> inForce)
{
    ConfigReport report;
    const auto checked = readConfiguration(text, report.findings);
    if (checked) {
        checkNames(checked->root, report.findings);
        report.version = checked->source.version.value();
        report.routes = checked->source.routes.size();
        report.services = checked->source.services.size();
        report.teams = checked->source.teams.size();
        checkRoutes(checked->source, *checked->table, report.findings);
        checkServices(checked->source, report.findings);
        checkTeams(checked->source, checked->root, report.findings);
    }
    if (!inForce) {
        return report;
    }
    Findings faultsInForce;
    const auto active = readConfiguration(*inForce, faultsInForce);
    for (ConfigFinding &finding : faultsInForce) {
        addError(report.findings, "in force: " + finding.field, std::move(finding.message));
    }
    if (!checked || !active) {
        return report;
    }
    report.differences = compare(active->source, checked->source);
    if (!report.differences.empty() && checked->source.version <= active->source.version) {
        addWarning(report.findings, "version",
            fmt::format("nodes ignore version {}, because version {} is in force", report.version, active->source.version.value()));
    }
    return report;
}

} // namespace ApricotStep
