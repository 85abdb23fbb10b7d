#include "protocol/configvalues.h"

#include "core/hash.h"

#include <nlohmann/json.hpp>

namespace ApricotStep
{

namespace
{

using Json = nlohmann::json;

// A page is complete once it is larger than this. The margin to MaxConfigValueBytes leaves room for one entry of the largest size.
constexpr std::size_t PageBytes = 900'000;

AdapterKey keyFrom(const std::string &name)
{
    const std::size_t at = name.find('@');
    if (at == std::string::npos) {
        return { AdapterId(name), {} };
    }
    return { AdapterId(name.substr(0, at)), AdapterVersion(name.substr(at + 1)) };
}

AdapterSpec adapterFrom(const Json &json)
{
    AdapterSpec spec;
    spec.key.id = AdapterId(json.at("id").get<std::string>());
    spec.key.version = AdapterVersion(json.at("version").get<std::string>());
    spec.baseModel = BaseModelId(json.value("base_model", ""));
    if (json.contains("labels")) {
        for (const auto &[name, value] : json.at("labels").items()) {
            spec.labels.push_back({ name, value.get<std::string>() });
        }
    }
    return spec;
}

Json toJson(const AdapterSpec &spec)
{
    Json json = { { "id", spec.key.id.value() }, { "version", spec.key.version.value() } };
    for (const Label &label : spec.labels) {
        json["labels"][label.name] = label.value;
    }
    if (!spec.baseModel.isEmpty()) {
        json["base_model"] = spec.baseModel.value();
    }
    return json;
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
    spec.baseModel = BaseModelId(json.value("base_model", ""));
    return spec;
}

Json toJson(const UpstreamSpec &spec)
{
    Json json = { { "id", spec.id.value() }, { "kind", spec.kind == UpstreamKind::Service ? "service" : "engine" },
        { "address", spec.address }, { "zone", spec.zone.value() }, { "slots", spec.slots }, { "batch", spec.batch },
        { "checks_fencing", spec.checksFencing }, { "checks_keys", spec.checksKeys } };
    if (!spec.baseModel.isEmpty()) {
        json["base_model"] = spec.baseModel.value();
    }
    return json;
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

Json toJson(const ServiceSpec &spec)
{
    Json ids = Json::array();
    for (const UpstreamId &id : spec.upstreams) {
        ids.push_back(id.value());
    }
    return { { "name", spec.name.value() }, { "upstreams", ids } };
}

template<typename Spec>
void read(const Json &json, const char *field, Spec (*from)(const Json &), std::vector<Spec> &specs)
{
    for (const Json &item : json.value(field, Json::array())) {
        specs.push_back(from(item));
    }
}

template<typename Spec>
void write(Json &json, const char *field, const std::vector<Spec> &specs)
{
    for (const Spec &spec : specs) {
        json[field].push_back(toJson(spec));
    }
}

ConfigHead headFrom(const Json &json)
{
    ConfigHead head;
    head.version = ConfigVersion(json.at("version").get<std::uint64_t>());
    head.baseVersion = ConfigVersion(json.at("base").at("version").get<std::uint64_t>());
    head.baseHash = json.at("base").at("hash").get<std::string>();
    head.deltaHash = json.value("delta", "");
    return head;
}

ConfigDelta deltaFrom(const Json &json)
{
    ConfigDelta delta;
    delta.previous = json.value("previous", "");
    delta.change.from = ConfigVersion(json.at("from").get<std::uint64_t>());
    delta.change.version = ConfigVersion(json.at("version").get<std::uint64_t>());
    read(json, "adapters", adapterFrom, delta.change.adapters);
    read(json, "upstreams", upstreamFrom, delta.change.upstreams);
    read(json, "services", serviceFrom, delta.change.services);
    for (const Json &name : json.value("removed_adapters", Json::array())) {
        delta.change.removedAdapters.push_back(keyFrom(name.get<std::string>()));
    }
    for (const Json &id : json.value("removed_upstreams", Json::array())) {
        delta.change.removedUpstreams.emplace_back(id.get<std::string>());
    }
    for (const Json &name : json.value("removed_services", Json::array())) {
        delta.change.removedServices.emplace_back(name.get<std::string>());
    }
    return delta;
}

ConfigBase baseFrom(const Json &json)
{
    ConfigBase base;
    base.version = ConfigVersion(json.at("version").get<std::uint64_t>());
    base.pages = json.at("pages").get<std::vector<std::string>>();
    return base;
}

ConfigPage pageFrom(const Json &json)
{
    ConfigPage page;
    read(json, "adapters", adapterFrom, page.content.adapters);
    read(json, "upstreams", upstreamFrom, page.content.upstreams);
    read(json, "services", serviceFrom, page.content.services);
    return page;
}

ConfigValue valueFrom(ConfigValueKind kind, const Json &json)
{
    switch (kind) {
    case ConfigValueKind::Head:
        return headFrom(json);
    case ConfigValueKind::Delta:
        return deltaFrom(json);
    case ConfigValueKind::Base:
        return baseFrom(json);
    case ConfigValueKind::Page:
        return pageFrom(json);
    }
    return ConfigHead {};
}

// Splits entries into pages and keeps their order.
class PageWriter
{
public:
    template<typename Spec>
    void add(const char *field, const std::vector<Spec> &specs)
    {
        for (const Spec &spec : specs) {
            Json json = toJson(spec);
            m_bytes += json.dump().size() + 1;
            m_page[field].push_back(std::move(json));
            if (m_bytes > PageBytes) {
                close();
            }
        }
    }
    std::vector<std::string> finish()
    {
        if (m_bytes > 0) {
            close();
        }
        return std::move(m_pages);
    }

private:
    void close()
    {
        m_pages.push_back(m_page.dump());
        m_page = Json::object();
        m_bytes = 0;
    }

    Json m_page = Json::object();
    std::size_t m_bytes = 0;
    std::vector<std::string> m_pages;
};

} // namespace

Result<ConfigValue> parseConfigValue(ConfigValueKind kind, const std::string &hash, std::string_view text)
{
    const std::string actual = sha256Hex(text);
    if (kind != ConfigValueKind::Head && actual != hash) {
        // A truncated or mistaken value would activate a configuration that no operator published.
        return Error { ErrorKind::StaleConfig, "the content of value " + hash + " does not match its hash" };
    }
    if (text.size() > MaxConfigValueBytes) {
        return Error { ErrorKind::ConfigInvalid, "a value is larger than " + std::to_string(MaxConfigValueBytes) + " bytes" };
    }
    try {
        ConfigValue value = valueFrom(kind, Json::parse(text));
        std::visit([&](auto &content) { content.hash = actual; }, value);
        return value;
    } catch (const Json::exception &exception) {
        return Error { ErrorKind::ConfigInvalid, std::string("a published value cannot be parsed: ") + exception.what() };
    }
}

std::string configHeadText(const ConfigHead &head)
{
    Json json = { { "version", head.version.value() }, { "base", { { "version", head.baseVersion.value() }, { "hash", head.baseHash } } } };
    if (!head.deltaHash.empty()) {
        json["delta"] = head.deltaHash;
    }
    return json.dump();
}

std::string configDeltaText(const ConfigDelta &delta)
{
    Json json = { { "from", delta.change.from.value() }, { "version", delta.change.version.value() } };
    if (!delta.previous.empty()) {
        json["previous"] = delta.previous;
    }
    write(json, "adapters", delta.change.adapters);
    write(json, "upstreams", delta.change.upstreams);
    write(json, "services", delta.change.services);
    for (const AdapterKey &key : delta.change.removedAdapters) {
        json["removed_adapters"].push_back(key.name());
    }
    for (const UpstreamId &id : delta.change.removedUpstreams) {
        json["removed_upstreams"].push_back(id.value());
    }
    for (const ServiceName &name : delta.change.removedServices) {
        json["removed_services"].push_back(name.value());
    }
    return json.dump();
}

ConfigBaseTexts configBaseTexts(const CatalogContent &content)
{
    PageWriter writer;
    writer.add("adapters", content.adapters);
    writer.add("upstreams", content.upstreams);
    writer.add("services", content.services);
    ConfigBaseTexts texts;
    texts.pages = writer.finish();
    Json index = { { "version", content.version.value() }, { "pages", Json::array() } };
    for (const std::string &page : texts.pages) {
        index["pages"].push_back(sha256Hex(page));
    }
    texts.index = index.dump();
    return texts;
}

} // namespace ApricotStep
