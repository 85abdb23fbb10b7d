#include "protocol/platformvalues.h"

#include <nlohmann/json.hpp>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

Error invalid(std::string detail)
{
    return { ErrorKind::ConfigInvalid, std::move(detail) };
}

AdapterSpec adapterFrom(const Json &json)
{
    AdapterSpec spec;
    spec.key.id = AdapterId(json.at("id").get<std::string>());
    spec.key.version = AdapterVersion(json.at("version").get<std::string>());
    if (json.contains("labels")) {
        for (const auto &[name, value] : json.at("labels").items()) {
            spec.labels.push_back({ name, value.get<std::string>() });
        }
    }
    return spec;
}

Json adapterJson(const AdapterSpec &spec)
{
    Json labels = Json::object();
    for (const Label &label : spec.labels) {
        labels[label.name] = label.value;
    }
    return { { "id", spec.key.id.value() }, { "version", spec.key.version.value() }, { "labels", labels } };
}

UpstreamSpec upstreamFrom(const Json &json)
{
    UpstreamSpec spec;
    spec.id = UpstreamId(json.at("id").get<std::string>());
    spec.kind = json.value("kind", "engine") == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
    spec.address = json.at("address").get<std::string>();
    spec.zone = ZoneId(json.value("zone", ""));
    spec.slots = json.value("slots", spec.slots);
    spec.batch = json.value("batch", spec.batch);
    spec.checksFencing = json.value("checks_fencing", false);
    spec.checksKeys = json.value("checks_keys", false);
    return spec;
}

Json upstreamJson(const UpstreamSpec &spec)
{
    return { { "id", spec.id.value() }, { "kind", spec.kind == UpstreamKind::Service ? "service" : "engine" }, { "address", spec.address },
        { "zone", spec.zone.value() }, { "slots", spec.slots }, { "batch", spec.batch }, { "checks_fencing", spec.checksFencing },
        { "checks_keys", spec.checksKeys } };
}

ServiceSpec serviceFrom(const Json &json)
{
    ServiceSpec spec;
    spec.name = ServiceName(json.at("name").get<std::string>());
    for (const Json &id : json.at("upstreams")) {
        spec.upstreams.emplace_back(id.get<std::string>());
    }
    return spec;
}

VmRecord vmFrom(const Json &json)
{
    VmRecord record;
    record.id = json.at("id").get<std::string>();
    record.role = json.at("role").get<std::string>() == "entry" ? VmRole::Entry : VmRole::Upstream;
    record.zone = ZoneId(json.value("zone", ""));
    record.leaving = json.value("state", "live") == "leaving";
    record.callerAddress = json.value("caller_address", "");
    record.rpcAddress = json.value("rpc_address", "");
    record.membershipAddress = json.value("membership_address", "");
    return record;
}

} // namespace

Result<CatalogContent> parseCatalog(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        CatalogContent content;
        content.version = ConfigVersion(json.at("version").get<std::uint64_t>());
        for (const Json &item : json.at("adapters")) {
            content.adapters.push_back(adapterFrom(item));
        }
        for (const Json &item : json.at("upstreams")) {
            content.upstreams.push_back(upstreamFrom(item));
        }
        for (const Json &item : json.value("services", Json::array())) {
            content.services.push_back(serviceFrom(item));
        }
        return content;
    } catch (const Json::exception &exception) {
        return invalid(std::string("configuration: ") + exception.what());
    }
}

std::string catalogText(const CatalogContent &content)
{
    Json json = { { "version", content.version.value() }, { "adapters", Json::array() }, { "upstreams", Json::array() },
        { "services", Json::array() } };
    for (const AdapterSpec &spec : content.adapters) {
        json["adapters"].push_back(adapterJson(spec));
    }
    for (const UpstreamSpec &spec : content.upstreams) {
        json["upstreams"].push_back(upstreamJson(spec));
    }
    for (const ServiceSpec &spec : content.services) {
        Json ids = Json::array();
        for (const UpstreamId &id : spec.upstreams) {
            ids.push_back(id.value());
        }
        json["services"].push_back({ { "name", spec.name.value() }, { "upstreams", ids } });
    }
    return json.dump();
}

Result<VmList> parseVmList(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        VmList list;
        for (const Json &item : json.at("vms")) {
            list.vms.push_back(vmFrom(item));
        }
        return list;
    } catch (const Json::exception &exception) {
        return invalid(std::string("VM list: ") + exception.what());
    }
}

} // namespace ApricotStep
