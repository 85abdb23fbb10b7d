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
    /** The base model that the adapter was trained for; empty if the fleet has only one. */
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
    /** Number of adapters that can be loaded at the same time, 1 to 1024; engines only. */
    int slots = 8;
    /** Number of requests that run at the same time, 1 to 4096. */
    int batch = 16;
    /** The upstream refuses an order whose fencing token is lower than one it has seen. */
    bool checksFencing = false;
    /** The upstream itself ensures that a request runs at most once per Idempotency-Key. */
    bool checksKeys = false;
    /** The base model that an engine serves; it can run only adapters of this model. */
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

/** Returns why @p spec by itself is invalid; empty if it is valid. */
std::string adapterSpecError(const AdapterSpec &spec);
std::string upstreamSpecError(const UpstreamSpec &spec);

/** The whole content of one configuration version. */
struct CatalogContent
{
    ConfigVersion version;
    std::vector<AdapterSpec> adapters;
    std::vector<UpstreamSpec> upstreams;
    std::vector<ServiceSpec> services;
};

/** The changes from one configuration version to the next. A listed entry replaces the one with the same id, or is added. */
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
 * Adapters are packed into blocks that successive snapshots share, so that 130,000 adapters take little memory and a change is cheap.
 */
class Catalog
{
public:
    /** Checks @p content (unique ids, ranges, existing references). Errors: ConfigInvalid with the first problem found. */
    static Result<std::shared_ptr<const Catalog>> create(CatalogContent content);
    /** Returns the snapshot that results from applying @p delta. Errors: ConfigInvalid, also if @p delta starts from another version. */
    Result<std::shared_ptr<const Catalog>> apply(const CatalogDelta &delta) const;
    ~Catalog();

    ConfigVersion version() const;
    std::size_t adapterCount() const;
    /** Adapter versions sorted by key; an arbitrary selection of @p limit of them if there are more. */
    std::vector<AdapterSpec> adapters(std::size_t limit) const;
    const std::vector<UpstreamSpec> &upstreams() const;
    const std::vector<ServiceSpec> &services() const;

    /** Null if there is none. The pointer is valid for the lifetime of the catalog. */
    const UpstreamSpec *upstream(const UpstreamId &id) const;
    const ServiceSpec *service(const ServiceName &name) const;
    bool contains(const AdapterKey &key) const;
    /** Empty if @p key is unknown. */
    std::optional<AdapterSpec> adapter(const AdapterKey &key) const;
    /** The base model of @p key; empty if the adapter names none or is unknown. */
    BaseModelId baseModelOf(const AdapterKey &key) const;
    /** Returns a copy of the whole content, in a fixed order. */
    CatalogContent content() const;

    /** Errors: BadRequest (not a selector), UnknownSelector, AmbiguousSelector; the detail lists up to five candidates. */
    Result<AdapterKey> resolve(std::string_view selector) const;

private:
    Catalog();
    explicit Catalog(const Catalog &other);
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
