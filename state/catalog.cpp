#include "state/catalog.h"

#include "core/hash.h"
#include "state/recordtable.h"
#include "state/sharedindex.h"

#include <absl/strings/str_split.h>

#include <algorithm>

namespace ApricotStep
{

namespace
{

constexpr int MaxSlots = 1024;
constexpr int MaxBatch = 4096;
constexpr std::size_t MaxListedMatches = 5;
constexpr std::size_t MaxCountedMatches = 100;
constexpr std::size_t MaxNameLength = 256;
constexpr std::size_t MaxLabels = 32;
constexpr int RecordNumberBits = 32;

Error invalid(std::string detail)
{
    return { ErrorKind::ConfigInvalid, std::move(detail) };
}

std::string labelText(std::string_view name, std::string_view value)
{
    return std::string(name) + '=' + std::string(value);
}

bool isValidName(std::string_view text)
{
    const auto isBad = [](unsigned char c) { return c <= ' ' || c == 0x7f || c == '@' || c == '=' || c == ','; };
    return !text.empty() && text.size() <= MaxNameLength && std::none_of(text.begin(), text.end(), isBad);
}

// A record is id, version, base model and then the labels, separated by newlines: valid names contain none.
std::string recordOf(const AdapterSpec &spec)
{
    std::string record = spec.key.id.value() + '\n' + spec.key.version.value() + '\n' + spec.baseModel.value();
    for (const Label &label : spec.labels) {
        record += '\n' + labelText(label.name, label.value);
    }
    return record;
}

std::string_view nextField(std::string_view &rest)
{
    const std::size_t end = rest.find('\n');
    const std::string_view field = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return field;
}

AdapterSpec specOf(std::string_view record)
{
    AdapterSpec spec;
    spec.key.id = AdapterId(std::string(nextField(record)));
    spec.key.version = AdapterVersion(std::string(nextField(record)));
    spec.baseModel = BaseModelId(std::string(nextField(record)));
    while (!record.empty()) {
        const std::string_view label = nextField(record);
        const std::size_t split = label.find('=');
        spec.labels.push_back({ std::string(label.substr(0, split)), std::string(label.substr(split + 1)) });
    }
    return spec;
}

bool hasLabel(std::string_view record, std::string_view label)
{
    nextField(record);
    nextField(record);
    nextField(record);
    while (!record.empty()) {
        if (nextField(record) == label) {
            return true;
        }
    }
    return false;
}

// An index entry has the upper half of a hash in its high bits and a record number in its low bits. Hashes can collide, so each hit is
// checked against the record.
std::uint64_t firstIndexEntry(std::string_view text)
{
    return stableHash(text) >> RecordNumberBits << RecordNumberBits;
}

std::uint64_t lastIndexEntry(std::string_view text)
{
    return firstIndexEntry(text) | UINT32_MAX;
}

} // namespace

std::string adapterSpecError(const AdapterSpec &spec)
{
    if (!isValidName(spec.key.id.value()) || !isValidName(spec.key.version.value())) {
        return "adapter '" + spec.key.name()
            + "': id and version must have 1 to 256 characters without '@', '=', ',', blanks or control characters";
    }
    if (!spec.baseModel.isEmpty() && !isValidName(spec.baseModel.value())) {
        return "adapter '" + spec.key.name() + "': base model '" + spec.baseModel.value() + "' is not a valid name";
    }
    if (spec.labels.size() > MaxLabels) {
        return "adapter '" + spec.key.name() + "' has more than " + std::to_string(MaxLabels) + " labels";
    }
    for (const Label &label : spec.labels) {
        if (!isValidName(label.name) || !isValidName(label.value)) {
            return "adapter '" + spec.key.name() + "': label '" + labelText(label.name, label.value) + "' is not name=value";
        }
        if (std::count_if(spec.labels.begin(), spec.labels.end(), [&](const Label &other) { return other.name == label.name; }) > 1) {
            return "adapter '" + spec.key.name() + "' has the label '" + label.name + "' twice";
        }
    }
    return {};
}

std::string upstreamSpecError(const UpstreamSpec &spec)
{
    if (!isValidName(spec.id.value())) {
        return "upstream '" + spec.id.value() + "': the id is not a valid name";
    }
    if (spec.address.find(':') == std::string::npos) {
        return "upstream '" + spec.id.value() + "': address '" + spec.address + "' is not host:port";
    }
    if (spec.slots < 1 || spec.slots > MaxSlots || spec.batch < 1 || spec.batch > MaxBatch) {
        return "upstream '" + spec.id.value() + "': slots must be 1 to 1024 and batch 1 to 4096";
    }
    return {};
}

namespace
{

// The upstreams and services of one snapshot. Successive snapshots share one table as long as no delta changes it.
struct UpstreamTable
{
    std::vector<UpstreamSpec> upstreams;
    std::vector<ServiceSpec> services;
    absl::flat_hash_map<UpstreamId, std::uint32_t> upstreamIndex;
    absl::flat_hash_map<ServiceName, std::uint32_t> serviceIndex;

    std::string check();
};

std::string UpstreamTable::check()
{
    upstreamIndex.clear();
    serviceIndex.clear();
    for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
        std::string fault = upstreamSpecError(upstreams[i]);
        if (!fault.empty()) {
            return fault;
        }
        if (!upstreamIndex.emplace(upstreams[i].id, i).second) {
            return "upstream '" + upstreams[i].id.value() + "' is listed twice";
        }
    }
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        const ServiceSpec &spec = services[i];
        if (!isValidName(spec.name.value()) || !serviceIndex.emplace(spec.name, i).second) {
            return "service '" + spec.name.value() + "': the name is not valid or is listed twice";
        }
        for (const UpstreamId &id : spec.upstreams) {
            if (!upstreamIndex.contains(id)) {
                return "service '" + spec.name.value() + "' names unknown upstream '" + id.value() + "'";
            }
        }
    }
    return {};
}

template<typename Spec, typename Id>
bool removeById(std::vector<Spec> &specs, const Id &id, Id Spec::*member)
{
    return std::erase_if(specs, [&](const Spec &spec) { return spec.*member == id; }) > 0;
}

template<typename Spec, typename Id>
void putById(std::vector<Spec> &specs, const Spec &changed, Id Spec::*member)
{
    const auto at = std::find_if(specs.begin(), specs.end(), [&](const Spec &spec) { return spec.*member == changed.*member; });
    if (at != specs.end()) {
        *at = changed;
    } else {
        specs.push_back(changed);
    }
}

} // namespace

struct Catalog::Private
{
    ConfigVersion version;
    RecordTable records;
    SharedIndex byId;
    SharedIndex byLabel;
    std::shared_ptr<const UpstreamTable> upstreamTable = std::make_shared<UpstreamTable>();

    std::string setAdapters(std::vector<AdapterSpec> adapters);
    std::string setUpstreamTable(std::vector<UpstreamSpec> upstreams, std::vector<ServiceSpec> services);
    std::string applyAdapters(const CatalogDelta &delta);
    std::string applyUpstreams(const CatalogDelta &delta);
    void unindexLabels(std::uint32_t number);
    void indexLabels(std::uint32_t number, const AdapterSpec &spec);

    std::optional<std::uint32_t> find(const AdapterKey &key) const;
    std::vector<std::uint32_t> versionsOf(std::string_view id) const;
    std::vector<std::uint32_t> matching(const std::vector<std::string> &labels) const;
    AdapterKey keyOf(std::uint32_t number) const;
    Result<AdapterKey> resolveUnique(
        const std::vector<std::uint32_t> &found, std::string_view selector, const std::vector<std::uint32_t> &similar) const;
};

std::string Catalog::Private::setAdapters(std::vector<AdapterSpec> adapters)
{
    std::sort(adapters.begin(), adapters.end(), [](const AdapterSpec &a, const AdapterSpec &b) { return a.key < b.key; });
    std::vector<std::string> texts;
    std::vector<std::uint64_t> ids;
    std::vector<std::uint64_t> labels;
    texts.reserve(adapters.size());
    ids.reserve(adapters.size());
    for (std::uint32_t i = 0; i < adapters.size(); ++i) {
        const AdapterSpec &spec = adapters[i];
        std::string fault = adapterSpecError(spec);
        if (!fault.empty()) {
            return fault;
        }
        if (i > 0 && adapters[i - 1].key == spec.key) {
            return "adapter '" + spec.key.name() + "' is listed twice";
        }
        texts.push_back(recordOf(spec));
        ids.push_back(firstIndexEntry(spec.key.id.value()) | i);
        for (const Label &label : spec.labels) {
            labels.push_back(firstIndexEntry(labelText(label.name, label.value)) | i);
        }
    }
    records = RecordTable::build(texts);
    byId = SharedIndex::build(std::move(ids));
    byLabel = SharedIndex::build(std::move(labels));
    return {};
}

std::string Catalog::Private::setUpstreamTable(std::vector<UpstreamSpec> upstreams, std::vector<ServiceSpec> services)
{
    auto changed = std::make_shared<UpstreamTable>();
    changed->upstreams = std::move(upstreams);
    changed->services = std::move(services);
    std::string fault = changed->check();
    upstreamTable = std::move(changed);
    return fault;
}

void Catalog::Private::unindexLabels(std::uint32_t number)
{
    for (const Label &label : specOf(records.at(number)).labels) {
        byLabel.erase(firstIndexEntry(labelText(label.name, label.value)) | number);
    }
}

void Catalog::Private::indexLabels(std::uint32_t number, const AdapterSpec &spec)
{
    for (const Label &label : spec.labels) {
        byLabel.insert(firstIndexEntry(labelText(label.name, label.value)) | number);
    }
}

std::string Catalog::Private::applyAdapters(const CatalogDelta &delta)
{
    for (const AdapterKey &key : delta.removedAdapters) {
        const auto number = find(key);
        if (!number) {
            return "adapter '" + key.name() + "' is removed but does not exist";
        }
        unindexLabels(*number);
        byId.erase(firstIndexEntry(key.id.value()) | *number);
        records.remove(*number);
    }
    for (const AdapterSpec &spec : delta.adapters) {
        std::string fault = adapterSpecError(spec);
        if (!fault.empty()) {
            return fault;
        }
        auto number = find(spec.key);
        if (number) {
            unindexLabels(*number);
            records.replace(*number, recordOf(spec));
        } else {
            number = records.add(recordOf(spec));
            byId.insert(firstIndexEntry(spec.key.id.value()) | *number);
        }
        indexLabels(*number, spec);
    }
    return {};
}

std::string Catalog::Private::applyUpstreams(const CatalogDelta &delta)
{
    if (delta.upstreams.empty() && delta.removedUpstreams.empty() && delta.services.empty() && delta.removedServices.empty()) {
        return {};
    }
    std::vector<UpstreamSpec> upstreams = upstreamTable->upstreams;
    std::vector<ServiceSpec> services = upstreamTable->services;
    for (const UpstreamId &id : delta.removedUpstreams) {
        if (!removeById(upstreams, id, &UpstreamSpec::id)) {
            return "upstream '" + id.value() + "' is removed but does not exist";
        }
    }
    for (const ServiceName &name : delta.removedServices) {
        if (!removeById(services, name, &ServiceSpec::name)) {
            return "service '" + name.value() + "' is removed but does not exist";
        }
    }
    for (const UpstreamSpec &spec : delta.upstreams) {
        putById(upstreams, spec, &UpstreamSpec::id);
    }
    for (const ServiceSpec &spec : delta.services) {
        putById(services, spec, &ServiceSpec::name);
    }
    return setUpstreamTable(std::move(upstreams), std::move(services));
}

AdapterKey Catalog::Private::keyOf(std::uint32_t number) const
{
    std::string_view record = records.at(number);
    AdapterKey key;
    key.id = AdapterId(std::string(nextField(record)));
    key.version = AdapterVersion(std::string(nextField(record)));
    return key;
}

std::optional<std::uint32_t> Catalog::Private::find(const AdapterKey &key) const
{
    std::optional<std::uint32_t> found;
    byId.visit(firstIndexEntry(key.id.value()), lastIndexEntry(key.id.value()), [&](std::uint64_t entry) {
        const auto number = static_cast<std::uint32_t>(entry);
        std::string_view record = records.at(number);
        if (nextField(record) == key.id.value() && nextField(record) == key.version.value()) {
            found = number;
        }
        return !found.has_value();
    });
    return found;
}

std::vector<std::uint32_t> Catalog::Private::versionsOf(std::string_view id) const
{
    std::vector<std::uint32_t> found;
    byId.visit(firstIndexEntry(id), lastIndexEntry(id), [&](std::uint64_t entry) {
        const auto number = static_cast<std::uint32_t>(entry);
        std::string_view record = records.at(number);
        if (nextField(record) == id) {
            found.push_back(number);
        }
        return found.size() < MaxCountedMatches;
    });
    return found;
}

std::vector<std::uint32_t> Catalog::Private::matching(const std::vector<std::string> &labels) const
{
    // Visits only the records with the rarest label and checks them for the other labels.
    const std::string *rarest = &labels.front();
    std::size_t fewest = SIZE_MAX;
    for (const std::string &label : labels) {
        const std::size_t count = byLabel.estimateCount(firstIndexEntry(label), lastIndexEntry(label));
        if (count < fewest) {
            fewest = count;
            rarest = &label;
        }
    }
    std::vector<std::uint32_t> found;
    byLabel.visit(firstIndexEntry(*rarest), lastIndexEntry(*rarest), [&](std::uint64_t entry) {
        const auto number = static_cast<std::uint32_t>(entry);
        const std::string_view record = records.at(number);
        if (std::all_of(labels.begin(), labels.end(), [&](const std::string &label) { return hasLabel(record, label); })) {
            found.push_back(number);
        }
        return found.size() < MaxCountedMatches;
    });
    return found;
}

Result<AdapterKey> Catalog::Private::resolveUnique(
    const std::vector<std::uint32_t> &found, std::string_view selector, const std::vector<std::uint32_t> &similar) const
{
    if (found.size() == 1) {
        return keyOf(found.front());
    }
    std::vector<AdapterKey> listed;
    for (const std::uint32_t number : found.empty() ? similar : found) {
        listed.push_back(keyOf(number));
    }
    std::sort(listed.begin(), listed.end());
    std::string detail = "'" + std::string(selector) + "' matches " + (found.size() < MaxCountedMatches ? "" : "at least ")
        + std::to_string(found.size()) + " adapter versions in configuration " + std::to_string(version.value());
    for (std::size_t i = 0; i < std::min(listed.size(), MaxListedMatches); ++i) {
        detail += (i == 0 ? "; candidates: " : ", ") + listed[i].name();
    }
    return Error { found.empty() ? ErrorKind::UnknownSelector : ErrorKind::AmbiguousSelector, detail };
}

Catalog::Catalog()
    : d(std::make_unique<Private>())
{
}

Catalog::Catalog(const Catalog &other)
    : d(std::make_unique<Private>(*other.d))
{
}

Catalog::~Catalog() = default;

Result<std::shared_ptr<const Catalog>> Catalog::create(CatalogContent content)
{
    std::shared_ptr<Catalog> catalog(new Catalog);
    catalog->d->version = content.version;
    std::string fault = catalog->d->setAdapters(std::move(content.adapters));
    if (fault.empty()) {
        fault = catalog->d->setUpstreamTable(std::move(content.upstreams), std::move(content.services));
    }
    if (!fault.empty()) {
        return invalid(std::move(fault));
    }
    return std::shared_ptr<const Catalog>(std::move(catalog));
}

Result<std::shared_ptr<const Catalog>> Catalog::apply(const CatalogDelta &delta) const
{
    if (delta.from != d->version || delta.version <= d->version) {
        return invalid("a delta from version " + std::to_string(delta.from.value()) + " to " + std::to_string(delta.version.value())
            + " does not apply to configuration version " + std::to_string(d->version.value()));
    }
    std::shared_ptr<Catalog> next(new Catalog(*this));
    next->d->version = delta.version;
    std::string fault = next->d->applyAdapters(delta);
    if (fault.empty()) {
        fault = next->d->applyUpstreams(delta);
    }
    if (!fault.empty()) {
        return invalid(std::move(fault));
    }
    return std::shared_ptr<const Catalog>(std::move(next));
}

ConfigVersion Catalog::version() const
{
    return d->version;
}

std::size_t Catalog::adapterCount() const
{
    return d->records.size();
}

std::vector<AdapterSpec> Catalog::adapters(std::size_t limit) const
{
    std::vector<AdapterSpec> all;
    for (std::uint32_t number = 0; number < d->records.end() && all.size() < limit; ++number) {
        const std::string_view record = d->records.at(number);
        if (!record.empty()) {
            all.push_back(specOf(record));
        }
    }
    std::sort(all.begin(), all.end(), [](const AdapterSpec &a, const AdapterSpec &b) { return a.key < b.key; });
    return all;
}

const std::vector<UpstreamSpec> &Catalog::upstreams() const
{
    return d->upstreamTable->upstreams;
}

const std::vector<ServiceSpec> &Catalog::services() const
{
    return d->upstreamTable->services;
}

const UpstreamSpec *Catalog::upstream(const UpstreamId &id) const
{
    const auto at = d->upstreamTable->upstreamIndex.find(id);
    return at == d->upstreamTable->upstreamIndex.end() ? nullptr : &d->upstreamTable->upstreams[at->second];
}

const ServiceSpec *Catalog::service(const ServiceName &name) const
{
    const auto at = d->upstreamTable->serviceIndex.find(name);
    return at == d->upstreamTable->serviceIndex.end() ? nullptr : &d->upstreamTable->services[at->second];
}

bool Catalog::contains(const AdapterKey &key) const
{
    return d->find(key).has_value();
}

std::optional<AdapterSpec> Catalog::adapter(const AdapterKey &key) const
{
    const auto number = d->find(key);
    return number ? std::optional(specOf(d->records.at(*number))) : std::nullopt;
}

BaseModelId Catalog::baseModelOf(const AdapterKey &key) const
{
    const auto number = d->find(key);
    if (!number) {
        return {};
    }
    std::string_view record = d->records.at(*number);
    nextField(record);
    nextField(record);
    return BaseModelId(std::string(nextField(record)));
}

CatalogContent Catalog::content() const
{
    CatalogContent content;
    content.version = d->version;
    content.adapters = adapters(SIZE_MAX);
    content.upstreams = d->upstreamTable->upstreams;
    content.services = d->upstreamTable->services;
    std::sort(content.upstreams.begin(), content.upstreams.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    std::sort(content.services.begin(), content.services.end(), [](const auto &a, const auto &b) { return a.name < b.name; });
    return content;
}

Result<AdapterKey> Catalog::resolve(std::string_view selector) const
{
    if (selector.empty()) {
        return Error { ErrorKind::BadRequest, "the selector is empty; it must be adapter, adapter@version or name=value[,name=value]" };
    }
    if (selector.find('=') != std::string_view::npos) {
        const std::vector<std::string> labels = absl::StrSplit(std::string(selector), ',');
        return d->resolveUnique(d->matching(labels), selector, d->matching({ labels.front() }));
    }
    const std::size_t at = selector.find('@');
    const auto versions = d->versionsOf(selector.substr(0, at));
    if (at == std::string_view::npos) {
        return d->resolveUnique(versions, selector, {});
    }
    const AdapterKey key { AdapterId(std::string(selector.substr(0, at))), AdapterVersion(std::string(selector.substr(at + 1))) };
    if (!contains(key)) {
        return d->resolveUnique({}, selector, versions);
    }
    return key;
}

} // namespace ApricotStep
