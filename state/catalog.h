#pragma once

#include "core/result.h"
#include "core/strongid.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
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
};

/** A plain service: a name under /svc/ and the upstreams that serve it. */
struct ServiceSpec
{
    ServiceName name;
    std::vector<UpstreamId> upstreams;
};

/** Everything one configuration version says. */
struct CatalogContent
{
    ConfigVersion version;
    std::vector<AdapterSpec> adapters;
    std::vector<UpstreamSpec> upstreams;
    std::vector<ServiceSpec> services;
};

/**
 * An immutable snapshot of one configuration version, shared between threads.
 *
 * Selectors are `adapter`, `adapter@version` or `name=value[,name=value...]`; each must resolve to exactly one adapter version.
 */
class Catalog
{
public:
    /** Checks @p content (unique ids, ranges, known references). Errors: ConfigInvalid with the first fault. */
    static Result<std::shared_ptr<const Catalog>> create(CatalogContent content);
    ~Catalog();

    ConfigVersion version() const;
    /** Adapter versions, sorted by key. */
    const std::vector<AdapterSpec> &adapters() const;
    const std::vector<UpstreamSpec> &upstreams() const;
    const std::vector<ServiceSpec> &services() const;

    /** Null when there is none. The pointer lives as long as the catalog. */
    const UpstreamSpec *upstream(const UpstreamId &id) const;
    const ServiceSpec *service(const ServiceName &name) const;
    bool contains(const AdapterKey &key) const;

    /** Errors: BadRequest (not a selector), UnknownSelector, AmbiguousSelector; the detail lists up to five that came near. */
    Result<AdapterKey> resolve(std::string_view selector) const;

private:
    Catalog();
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace ApricotStep
