#pragma once

#include "coordination/fleetmessage.h"
#include "core/clock.h"
#include "core/strongid.h"
#include "state/upstreamrecord.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <vector>

namespace ApricotStep
{

/** An adapter of a base model. */
struct AdapterRef
{
    BaseModelId model;
    AdapterId adapter;

    auto operator<=>(const AdapterRef &) const = default;

    template<typename H>
    friend H AbslHashValue(H state, const AdapterRef &ref)
    {
        return H::combine(std::move(state), ref.model, ref.adapter);
    }
};

/**
 * Which adapters are loaded on which engine: as the lease holder reports it, or as the engine's own record says until the holder has
 * reported. Not thread-safe.
 *
 * A residency with a lower fencing token or sequence never replaces a later one. Datagrams may arrive out of order, and a copy that has
 * been unloaded meanwhile would get requests again.
 */
class ResidencyTable
{
public:
    /** Returns whether @p residency was newer than the stored one. */
    bool put(const EngineResidency &residency);
    /** The engine refused a request for the adapter: the residency is taken as wrong until a newer one arrives. */
    void markMissing(const UpstreamId &engine, const AdapterRef &adapter);
    void remove(const UpstreamId &engine);

    /** The copy of @p adapter on the engine of @p record, if it is loaded or being loaded there. */
    std::optional<AdapterCopy> copy(const UpstreamRecord &record, const AdapterRef &adapter) const;
    /** Null when no holder has reported on this start of the engine. */
    const EngineResidency *residency(const UpstreamRecord &record) const;

private:
    absl::btree_map<UpstreamId, EngineResidency> m_residencies;
    absl::btree_map<std::pair<UpstreamId, AdapterRef>, bool> m_missing;
};

} // namespace ApricotStep
