#include "state/catalogdifference.h"

#include <algorithm>

namespace ApricotStep
{

namespace
{

template<typename Spec, typename Id>
void collectChanges(std::vector<Spec> old, std::vector<Spec> next, Id Spec::*id, std::vector<Spec> &changed, std::vector<Id> &removed)
{
    const auto isLess = [id](const Spec &a, const Spec &b) { return a.*id < b.*id; };
    std::sort(old.begin(), old.end(), isLess);
    std::sort(next.begin(), next.end(), isLess);
    for (const Spec &spec : next) {
        const auto before = std::lower_bound(old.begin(), old.end(), spec, isLess);
        if (before == old.end() || !(*before == spec)) {
            changed.push_back(spec);
        }
    }
    for (const Spec &spec : old) {
        if (!std::binary_search(next.begin(), next.end(), spec, isLess)) {
            removed.push_back(spec.*id);
        }
    }
}

} // namespace

CatalogDelta catalogDifference(const CatalogContent &old, const CatalogContent &next)
{
    CatalogDelta delta;
    delta.from = old.version;
    delta.version = next.version;
    collectChanges(old.adapters, next.adapters, &AdapterSpec::key, delta.adapters, delta.removedAdapters);
    collectChanges(old.upstreams, next.upstreams, &UpstreamSpec::id, delta.upstreams, delta.removedUpstreams);
    collectChanges(old.services, next.services, &ServiceSpec::name, delta.services, delta.removedServices);
    return delta;
}

bool isEmpty(const CatalogDelta &delta)
{
    return delta.adapters.empty() && delta.removedAdapters.empty() && delta.upstreams.empty() && delta.removedUpstreams.empty()
        && delta.services.empty() && delta.removedServices.empty();
}

} // namespace ApricotStep
