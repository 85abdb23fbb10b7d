#include "state/catalog.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr int MaxSlots = 1024;
constexpr int MaxBatch = 4096;
constexpr std::size_t MaxListed = 5;

Error invalid(std::string detail)
{
    return { ErrorKind::ConfigInvalid, std::move(detail) };
}

std::string labelText(std::string_view name, std::string_view value)
{
    return std::string(name) + '=' + std::string(value);
}

bool isWord(std::string_view text)
{
    return !text.empty() && text.find_first_of("@=, \t\r\n") == std::string_view::npos;
}

} // namespace

struct Catalog::Private
{
    CatalogContent content;
    absl::flat_hash_map<UpstreamId, std::uint32_t> upstreamIndex;
    absl::flat_hash_map<ServiceName, std::uint32_t> serviceIndex;
    // Positions in content.adapters, ascending, for each label.
    absl::flat_hash_map<std::string, std::vector<std::uint32_t>> labelIndex;

    std::string checkAdapters();
    std::string checkUpstreams();
    std::string checkServices();
    std::vector<std::uint32_t> versionsOf(std::string_view id) const;
    std::vector<std::uint32_t> matching(const std::vector<std::string> &labels) const;
    Result<AdapterKey> exactlyOne(
        const std::vector<std::uint32_t> &found, std::string_view selector, const std::vector<std::uint32_t> &near) const;
};

std::string Catalog::Private::checkAdapters()
{
    auto &adapters = content.adapters;
    std::sort(adapters.begin(), adapters.end(), [](const AdapterSpec &a, const AdapterSpec &b) { return a.key < b.key; });
    for (std::uint32_t i = 0; i < adapters.size(); ++i) {
        const AdapterSpec &spec = adapters[i];
        if (!isWord(spec.key.id.value()) || !isWord(spec.key.version.value())) {
            return "adapter '" + spec.key.name() + "': id and version must be words without '@', '=', ',' or blanks";
        }
        if (i > 0 && adapters[i - 1].key == spec.key) {
            return "adapter '" + spec.key.name() + "' is listed twice";
        }
        for (const Label &label : spec.labels) {
            if (!isWord(label.name) || !isWord(label.value)) {
                return "adapter '" + spec.key.name() + "': label '" + labelText(label.name, label.value) + "' is not name=value";
            }
            labelIndex[labelText(label.name, label.value)].push_back(i);
        }
    }
    return {};
}

std::string Catalog::Private::checkUpstreams()
{
    for (std::uint32_t i = 0; i < content.upstreams.size(); ++i) {
        const UpstreamSpec &spec = content.upstreams[i];
        if (!isWord(spec.id.value())) {
            return "upstream '" + spec.id.value() + "': the id must be a word";
        }
        if (!upstreamIndex.emplace(spec.id, i).second) {
            return "upstream '" + spec.id.value() + "' is listed twice";
        }
        if (spec.address.find(':') == std::string::npos) {
            return "upstream '" + spec.id.value() + "': address '" + spec.address + "' is not host:port";
        }
        if (spec.slots < 1 || spec.slots > MaxSlots || spec.batch < 1 || spec.batch > MaxBatch) {
            return "upstream '" + spec.id.value() + "': slots must be 1 to 1024 and batch 1 to 4096";
        }
    }
    return {};
}

std::string Catalog::Private::checkServices()
{
    for (std::uint32_t i = 0; i < content.services.size(); ++i) {
        const ServiceSpec &spec = content.services[i];
        if (!isWord(spec.name.value()) || !serviceIndex.emplace(spec.name, i).second) {
            return "service '" + spec.name.value() + "': the name must be a word and listed once";
        }
        for (const UpstreamId &id : spec.upstreams) {
            if (!upstreamIndex.contains(id)) {
                return "service '" + spec.name.value() + "' names unknown upstream '" + id.value() + "'";
            }
        }
    }
    return {};
}

std::vector<std::uint32_t> Catalog::Private::versionsOf(std::string_view id) const
{
    const auto &adapters = content.adapters;
    auto at = std::lower_bound(adapters.begin(), adapters.end(), id,
        [](const AdapterSpec &spec, std::string_view wanted) { return spec.key.id.value() < wanted; });
    std::vector<std::uint32_t> found;
    for (; at != adapters.end() && at->key.id.value() == id; ++at) {
        found.push_back(static_cast<std::uint32_t>(at - adapters.begin()));
    }
    return found;
}

std::vector<std::uint32_t> Catalog::Private::matching(const std::vector<std::string> &labels) const
{
    std::vector<std::uint32_t> found;
    for (std::size_t i = 0; i < labels.size(); ++i) {
        const auto at = labelIndex.find(labels[i]);
        if (at == labelIndex.end()) {
            return {};
        }
        if (i == 0) {
            found = at->second;
            continue;
        }
        std::vector<std::uint32_t> both;
        std::set_intersection(found.begin(), found.end(), at->second.begin(), at->second.end(), std::back_inserter(both));
        found = std::move(both);
    }
    return found;
}

Result<AdapterKey> Catalog::Private::exactlyOne(
    const std::vector<std::uint32_t> &found, std::string_view selector, const std::vector<std::uint32_t> &near) const
{
    if (found.size() == 1) {
        return content.adapters[found.front()].key;
    }
    const auto &listed = found.empty() ? near : found;
    std::string detail = "'" + std::string(selector) + "' matches " + std::to_string(found.size()) + " adapter versions in configuration "
        + std::to_string(content.version.value());
    for (std::size_t i = 0; i < std::min(listed.size(), MaxListed); ++i) {
        detail += (i == 0 ? "; near: " : ", ") + content.adapters[listed[i]].key.name();
    }
    return Error { found.empty() ? ErrorKind::UnknownSelector : ErrorKind::AmbiguousSelector, detail };
}

Catalog::Catalog()
    : d(std::make_unique<Private>())
{
}

Catalog::~Catalog() = default;

Result<std::shared_ptr<const Catalog>> Catalog::create(CatalogContent content)
{
    std::shared_ptr<Catalog> catalog(new Catalog);
    catalog->d->content = std::move(content);
    for (const auto check : { &Private::checkAdapters, &Private::checkUpstreams, &Private::checkServices }) {
        std::string fault = (*catalog->d.*check)();
        if (!fault.empty()) {
            return invalid(std::move(fault));
        }
    }
    return std::shared_ptr<const Catalog>(std::move(catalog));
}

ConfigVersion Catalog::version() const
{
    return d->content.version;
}

const std::vector<AdapterSpec> &Catalog::adapters() const
{
    return d->content.adapters;
}

const std::vector<UpstreamSpec> &Catalog::upstreams() const
{
    return d->content.upstreams;
}

const std::vector<ServiceSpec> &Catalog::services() const
{
    return d->content.services;
}

const UpstreamSpec *Catalog::upstream(const UpstreamId &id) const
{
    const auto at = d->upstreamIndex.find(id);
    return at == d->upstreamIndex.end() ? nullptr : &d->content.upstreams[at->second];
}

const ServiceSpec *Catalog::service(const ServiceName &name) const
{
    const auto at = d->serviceIndex.find(name);
    return at == d->serviceIndex.end() ? nullptr : &d->content.services[at->second];
}

bool Catalog::contains(const AdapterKey &key) const
{
    const auto &adapters = d->content.adapters;
    const auto at = std::lower_bound(
        adapters.begin(), adapters.end(), key, [](const AdapterSpec &spec, const AdapterKey &wanted) { return spec.key < wanted; });
    return at != adapters.end() && at->key == key;
}

Result<AdapterKey> Catalog::resolve(std::string_view selector) const
{
    if (selector.empty()) {
        return Error { ErrorKind::BadRequest, "the selector is empty; give adapter, adapter@version or name=value[,name=value]" };
    }
    if (selector.find('=') != std::string_view::npos) {
        const std::vector<std::string> labels = absl::StrSplit(std::string(selector), ',');
        return d->exactlyOne(d->matching(labels), selector, d->matching({ labels.front() }));
    }
    const std::size_t at = selector.find('@');
    const auto versions = d->versionsOf(selector.substr(0, at));
    if (at == std::string_view::npos) {
        return d->exactlyOne(versions, selector, {});
    }
    const AdapterKey key { AdapterId(std::string(selector.substr(0, at))), AdapterVersion(std::string(selector.substr(at + 1))) };
    if (!contains(key)) {
        return d->exactlyOne({}, selector, versions);
    }
    return key;
}

} // namespace ApricotStep
