#pragma once

#include "core/result.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ApricotStep
{

/** A label of an adapter version, such as track=stable. */
struct Label
{
    std::string name;
    std::string value;

    auto operator<=>(const Label &) const = default;
};

/** One adapter version as an operator publishes it. */
struct AdapterSpec
{
    AdapterKey key;
    std::vector<Label> labels;
    /** The base model that the adapter belongs to; empty where the fleet has one only. */
    BaseModelId baseModel;

    bool operator==(const AdapterSpec &) const = default;
};

enum class UpstreamKind {
    Engine,
    Service,
};

/** One upstream as an operator publishes it. */
struct UpstreamSpec
{
    UpstreamId id;
    UpstreamKind kind = UpstreamKind::Engine;
    /** host:port. */
    std::string address;
    ZoneId zone;
    /** Adapters that fit at once, 1 to 1024; engines only. */
    int slots = 8;
    /** Requests that run at once, 1 to 4096. */
    int batch = 16;
    /** The upstream refuses an order whose fencing token is lower than one it has seen. */
    bool checksFencing = false;
    /** The upstream itself runs a request at most once for each Idempotency-Key. */
    bool checksKeys = false;
    /** The base model that an engine serves; it runs the adapters of this one alone. */
    BaseModelId baseModel;

    bool operator==(const UpstreamSpec &) const = default;
};

/** A plain service: a name under /svc/ and the upstreams that serve it. */
struct ServiceSpec
{
    ServiceName name;
    std::vector<UpstreamId> upstreams;

    bool operator==(const ServiceSpec &) const = default;
};

/** What is wrong with @p spec by itself; empty when it is good. */
std::string adapterSpecError(const AdapterSpec &spec);
std::string upstreamSpecError(const UpstreamSpec &spec);

/** Everything one configuration version says. */
struct CatalogContent
{
    ConfigVersion version;
    std::vector<AdapterSpec> adapters;
    std::vector<UpstreamSpec> upstreams;
    std::vector<ServiceSpec> services;
};

/** What one configuration version changes of the one before. What is put replaces what has the same id. */
struct CatalogDelta
{
    ConfigVersion from;
    /** Greater than from. */
    ConfigVersion version;
    std::vector<AdapterSpec> adapters;
    std::vector<AdapterKey> removedAdapters;
    std::vector<UpstreamSpec> upstreams;
    std::vector<UpstreamId> removedUpstreams;
    std::vector<ServiceSpec> services;
    std::vector<ServiceName> removedServices;
};

/**
 * An immutable snapshot of one configuration version, shared between threads.
 *
 * Selectors are `adapter`, `adapter@version` or `name=value[,name=value...]`; each must resolve to exactly one adapter version.
 * Adapters are packed into blocks that successive snapshots share, so that 130,000 of them stay small and a change costs little.
 */
class Catalog
{
public:
    /** Checks @p content (unique ids, ranges, known references). Errors: ConfigInvalid with the first fault. */
    static Result<std::shared_ptr<const Catalog>> create(CatalogContent content);
    /** The snapshot that @p delta makes of this one. Errors: ConfigInvalid, also when @p delta starts from another version. */
    Result<std::shared_ptr<const Catalog>> apply(const CatalogDelta &delta) const;
    ~Catalog();

    ConfigVersion version() const;
    std::size_t adapterCount() const;
    /** Adapter versions sorted by key; any @p limit of them when there are more. */
    std::vector<AdapterSpec> adapters(std::size_t limit) const;
    const std::vector<UpstreamSpec> &upstreams() const;
    const std::vector<ServiceSpec> &services() const;

    /** Null when there is none. The pointer lives as long as the catalog. */
    const UpstreamSpec *upstream(const UpstreamId &id) const;
    const ServiceSpec *service(const ServiceName &name) const;
    bool contains(const AdapterKey &key) const;
    /** Nothing when @p key is unknown. */
    std::optional<AdapterSpec> adapter(const AdapterKey &key) const;
    /** The base model of @p key; empty when it has none or is unknown. */
    BaseModelId baseModelOf(const AdapterKey &key) const;
    /** The whole content, in a fixed order; a copy. */
    CatalogContent content() const;

    /** Errors: BadRequest (not a selector), UnknownSelector, AmbiguousSelector; the detail lists up to five that came near. */
    Result<AdapterKey> resolve(std::string_view selector) const;

private:
    Catalog();
    explicit Catalog(const Catalog &other);
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
